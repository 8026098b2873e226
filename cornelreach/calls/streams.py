"""Stream identifiers that any instance can check without shared state.

An identifier names the client account, the target and the attempt, and carries a
message authentication code. Any instance can therefore resume the call directly from
the target, and an account can't use an identifier of another account::

    ring = streams.KeyRing([b"secret"])
    text = ring.sign(streams.StreamId("tirnica", "engine-1", "a1", "b7", 12))
    ring.verify(text, "tirnica")
"""

import base64
import binascii
import hmac
import typing

import msgspec

from cornelreach.util import decoding

MAC_BYTES = 16
PREFIX = "run-"


class StreamId(typing.NamedTuple):
    """Which attempt of which account runs at which target."""

    account: str
    target: str
    instance: str
    boot: str
    number: int


class KeyRing:
    """Signing keys: the first one signs, all of them verify."""

    def __init__(self, keys: typing.Sequence[bytes]) -> None:
        if not keys or not all(keys):
            raise ValueError("a key ring needs at least one non-empty key")
        self.keys = tuple(keys)

    def sign(self, stream: StreamId) -> str:
        """Return the identifier for the caller."""
        payload = msgspec.msgpack.encode(stream)
        raw = payload + _mac(self.keys[0], payload)
        return PREFIX + base64.urlsafe_b64encode(raw).decode().rstrip("=")

    def verify(self, text: str, account: str) -> StreamId | None:
        """Return the decoded identifier, or None if it is not this account's."""
        raw = _decode_unpadded(text.removeprefix(PREFIX))
        payload, mac = raw[:-MAC_BYTES], raw[-MAC_BYTES:]
        if not any(hmac.compare_digest(mac, _mac(key, payload)) for key in self.keys):
            return None
        try:
            stream = msgspec.msgpack.decode(payload, type=StreamId)
        except decoding.DECODE_ERRORS:
            return None
        return stream if stream.account == account else None


def _mac(key: bytes, payload: bytes) -> bytes:
    return hmac.digest(key, payload, "sha256")[:MAC_BYTES]


def _decode_unpadded(text: str) -> bytes:
    try:
        padded = text.encode("ascii") + b"=" * (-len(text) % 4)
        return base64.b64decode(padded, altchars=b"-_", validate=True)
    except (binascii.Error, UnicodeEncodeError):
        return b""
