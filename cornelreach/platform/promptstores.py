"""Calls to the stores of kept prompts."""

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
    http_client.AnswerLost,
    *decoding.UNREADABLE,
)


class PartKey(typing.NamedTuple):
    """A part as a store knows it: the text it was cached under, and its identifier."""

    salt: str
    key: str


class Stored(typing.NamedTuple):
    """A part is complete in the store, or with ``tokens`` 0 no longer there."""

    part: PartKey
    tokens: int


class Batch(typing.NamedTuple):
    """What has changed in one incarnation of a store, or all that it holds.

    ``position`` is where to go on; ``gap`` says that changes before were lost.
    """

    epoch: int
    position: int
    gap: bool
    changes: tuple[Stored, ...]


class Busy(Exception):
    """The store bears no further call of this kind now."""


# [number, "+" or "-", salt, identifier, tokens stored now, model]
_Event = tuple[int, str, str, str, int, str]
# [salt, identifier, tokens, model]
_Held = tuple[str, str, int, str]


class _Events(typing.TypedDict):
    epoch: int
    next: int
    lost: bool
    events: list[_Event]


class _Listing(typing.TypedDict):
    epoch: int
    next: int
    held: list[_Held]


class Stores:
    """Speaks to stores of kept prompts."""

    def __init__(self, http: http_client.Client) -> None:
        self.http = http

    async def events(self, address: str, since: int, wait_ms: int) -> Batch:
        """Return the changes since a position; raises one of FAILURES, or Busy."""
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
        """Return all complete parts; raises one of FAILURES, or Busy."""
        body = await self._get(address, LISTING, (), CALL_MARGIN_MS * 2)
        found = msgspec.json.decode(body, type=_Listing)
        held = tuple(
            Stored(PartKey(salt, key), tokens) for salt, key, tokens, _ in found["held"]
        )
        return Batch(found["epoch"], found["next"], False, held)

    async def _get(
        self, address: str, path: str, fields: typing.Any, wait_ms: int
    ) -> bytes:
        status, body, _ = await self.http.call(
            http_client.parse_address(address), "GET", path, b"", fields, wait_ms
        )
        if status != 200:
            raise Busy(f"{path} answered {status}")
        return body
