"""Client for the prompt stores."""

import typing

import msgspec

from cornelreach.http import client as http_client
from cornelreach.util import decoding

EVENTS = "/api/kv-events"
LISTING = "/api/kv-list"
WAIT_HEADER = b"wait-ms"
CALL_MARGIN_MS = 400

FAILURES = (
    http_client.RequestNotSent,
    http_client.ResponseLost,
    *decoding.DECODE_ERRORS,
)


class PartKey(typing.NamedTuple):
    """Key of a prompt part in a store: its cache salt and its identifier."""

    salt: str
    key: str


class Stored(typing.NamedTuple):
    """A part that is stored completely, or was removed if ``tokens`` is 0."""

    part: PartKey
    tokens: int


class Batch(typing.NamedTuple):
    """Changes in a store during one epoch, or its whole content.

    ``position`` is the position to read on from. ``gap`` means that earlier changes
    were lost.
    """

    epoch: int
    position: int
    gap: bool
    changes: tuple[Stored, ...]


class Busy(Exception):
    """The store cannot take another call of this kind at present."""


# [sequence number, "+" or "-", salt, identifier, tokens now stored, model]
_Event = tuple[int, str, str, str, decoding.Whole, str]
# [salt, identifier, tokens, model]
_Held = tuple[str, str, decoding.Whole, str]


class _Events(typing.TypedDict):
    epoch: decoding.Whole
    next: decoding.Whole
    lost: bool
    events: list[_Event]


class _Listing(typing.TypedDict):
    epoch: decoding.Whole
    next: decoding.Whole
    held: list[_Held]


class PromptStoreClient:
    """Client for the API of prompt stores."""

    def __init__(self, http: http_client.Client) -> None:
        self.http = http

    async def events(self, address: str, since: int, wait_ms: int) -> Batch:
        """Return the changes since a position; raises Busy or one of FAILURES."""
        body = await self._get(
            address,
            f"{EVENTS}?since={since}",
            ((WAIT_HEADER, str(wait_ms).encode()),),
            wait_ms + CALL_MARGIN_MS,
        )
        found = msgspec.json.decode(body, type=_Events)
        changes = tuple(
            Stored(PartKey(salt, key), tokens if sign == "+" else 0)
            for _, sign, salt, key, tokens, _ in found["events"]
        )
        return Batch(found["epoch"], found["next"], found["lost"], changes)

    async def listing(self, address: str) -> Batch:
        """Return all completely stored parts; raises Busy or one of FAILURES."""
        body = await self._get(address, LISTING, (), CALL_MARGIN_MS * 2)
        found = msgspec.json.decode(body, type=_Listing)
        stored = tuple(
            Stored(PartKey(salt, key), tokens) for salt, key, tokens, _ in found["held"]
        )
        return Batch(found["epoch"], found["next"], False, stored)

    async def _get(
        self, address: str, path: str, fields: typing.Any, wait_ms: int
    ) -> bytes:
        status, body, _ = await self.http.call(
            http_client.parse_address(address), "GET", path, b"", fields, wait_ms
        )
        if status != 200:
            raise Busy(f"{path} returned HTTP status {status}")
        return body
