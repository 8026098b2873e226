"""Following the platform's records of one kind: list once, then watch.

A ``Follower`` hands every record to its ``Reader`` and says how fresh the proof is that
nothing newer exists. When one follower has lost the platform and regains it, the others
start their waiting calls anew, since a connection may have gone silent with it.
"""

import asyncio
import contextlib
import random
import typing

from returns import result

from cornelreach.platform import results
from cornelreach.util import events, timers

RETRY_MS = 120.0
MOST_RETRY_MS = 600.0
RETRY_SPREAD = 0.5
MARGIN_MS = 800
RETURN_WAIT_MS = 10

LOST = events.define(
    2111,
    "WARNING",
    "The platform's records {prefix} cannot be followed: {reason}.",
    "Look at the platform; requests go on with what is known while that is allowed.",
)
REGAINED = events.define(
    2112,
    "INFO",
    "The platform's records {prefix} are followed again after {lost_ms} ms.",
    "Nothing.",
)


class Reader(typing.Protocol):
    """Takes the records of one kind."""

    prefix: str

    def listed(self, records: tuple[results.Record, ...], regained: bool) -> None:
        """Take all records; ``regained`` if the platform was away before."""

    def changed(self, record: results.Record) -> None:
        """Take one record; its value is None where it was deleted."""

    def proved(self, at_ms: float) -> None:
        """Note that nothing newer than what was taken existed at a time."""

    def regained(self) -> None:
        """Note that the platform answers again."""


class Follower:
    """Keeps one reader up to date; ``wait_ms`` bounds how old its proof gets.

    Changes that come within ``pace_ms`` of others are taken with one call.
    """

    def __init__(
        self,
        objects: results.Objects,
        reader: Reader,
        wait_ms: int,
        clock: timers.Timers,
        source: random.Random,
        pace_ms: float = 0.0,
    ) -> None:
        self.pace_ms = pace_ms
        self.objects = objects
        self.reader = reader
        self.wait_ms = wait_ms
        self.clock = clock
        self.random = source
        self.lost_ms: float | None = None
        self.on_regained: typing.Callable[[], None] = lambda: None
        self._revision: int | None = None
        self._failures = 0
        self._call: asyncio.Task[typing.Any] | None = None

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            await self.once()

    async def once(self) -> None:
        """Make one call and hand on what it brought."""
        sent_ms = self.clock.now_ms()
        work = self._list() if self._revision is None else self._watch()
        self._call = asyncio.ensure_future(work)
        try:
            outcome = await self._call
        except asyncio.CancelledError:
            if not self._call.cancelled() or asyncio.current_task().cancelling():
                self._call.cancel()
                raise
            return
        if isinstance(outcome, result.Success):
            found = outcome.unwrap()
            self._succeeded(found, sent_ms)
            if found.records and self.pace_ms:
                await asyncio.sleep(self.pace_ms / 1_000)
        else:
            await self._failed(outcome.failure())

    def restart(self) -> None:
        """Make the waiting call anew, on another connection."""
        if self._call is not None and not self._call.done():
            self._call.cancel()

    async def _list(self) -> result.Result[results.Listing, results.ReadError]:
        return await self.objects.list(self.reader.prefix)

    async def _watch(self) -> result.Result[results.Changes, results.WatchError]:
        # While the platform is away the calls are short, so that its return shows at
        # once and not with the next event.
        wait_ms = self.wait_ms if self.lost_ms is None else RETURN_WAIT_MS
        return await self.objects.watch(
            self.reader.prefix, self._revision, wait_ms, MARGIN_MS
        )

    def _succeeded(
        self, found: results.Listing | results.Changes, sent_ms: float
    ) -> None:
        regained = self.lost_ms is not None
        if regained:
            self._regain()
        if isinstance(found, results.Listing):
            self.reader.listed(found.records, regained)
            self.reader.proved(sent_ms)
        else:
            for record in found.records:
                self.reader.changed(record)
            self.reader.proved(self._proof_ms(found, sent_ms))
        self._failures = 0
        self._revision = found.revision

    def _proof_ms(self, found: results.Changes, sent_ms: float) -> float:
        # An empty answer was given once the wait was over, so it proves that moment.
        whole = self.clock.now_ms() - sent_ms >= self.wait_ms
        return sent_ms + self.wait_ms if whole and not found.records else sent_ms

    def _regain(self) -> None:
        lost_ms = round(self.clock.now_ms() - self.lost_ms)
        events.emit(REGAINED, prefix=self.reader.prefix, lost_ms=lost_ms)
        self.lost_ms = None
        self.reader.regained()
        self.on_regained()

    async def _failed(self, error: results.ReadError | results.WatchError) -> None:
        if isinstance(error, results.Compacted):
            self._revision = None
            return
        if self.lost_ms is None:
            self.lost_ms = self.clock.now_ms()
            events.emit(
                LOST, prefix=self.reader.prefix, reason=getattr(error, "message", "")
            )
        self._failures += 1
        wait_ms = min(MOST_RETRY_MS, RETRY_MS * 2 ** min(self._failures - 1, 6))
        wait_ms *= 1 + self.random.random() * RETRY_SPREAD
        with contextlib.suppress(TimeoutError):
            await asyncio.sleep(wait_ms / 1_000)
