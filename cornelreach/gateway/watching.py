"""Watching the platform's records of one kind: list once, then long-poll for changes.

A ``Watcher`` passes every record to its ``RecordHandler``, and also the latest time at
which nothing newer is known to have existed, the freshness proof. When one watcher
reconnects to the platform after an outage, the others repeat their waiting calls, since
their connections may have died silently. In a larger fleet most instances make no calls
while the proofs of a hub are recent enough (``proofs``).
"""

import asyncio
import collections
import contextlib
import random
import typing

from returns import result

from cornelreach.platform import results
from cornelreach.util import events, guards, timers

RETRY_MS = 120.0
MAX_RETRY_MS = 600.0
RETRY_SPREAD = 0.5
MARGIN_MS = 800
RETURN_WAIT_MS = 10
HUB_BATCH_MS = 100.0
PUSH_GRACE_MS = 150.0  # a change that a hub's answer implies may be pushed meanwhile
MAX_REST_MS = 5_000.0
MAX_PROOFS = 8
OUTAGE_REST_MS = 3_000.0  # while another watcher polls for the platform's return

LOST = events.define(
    2111,
    "WARNING",
    "The platform's records {prefix} cannot be watched: {reason}.",
    "Check the platform; requests use the last known records while that is allowed.",
)
RECONNECTED = events.define(
    2112,
    "INFO",
    "The platform's records {prefix} are watched again after {lost_ms} ms; last "
    "confirmed {age_ms} ms ago.",
    "Nothing.",
)
RESTORED = events.define(
    2114,
    "WARNING",
    "The platform's records {prefix} were read again from a copy, era {era}.",
    "Nothing; what the copy lacks is written again by those who wrote it.",
)
SOURCE = events.define(
    2113,
    "INFO",
    "Records {prefix} now come from {source}, last confirmed {age_ms} ms ago.",
    "Nothing; if it changes often: check that hub.",
)


class RecordHandler(typing.Protocol):
    """Applies the records of one kind."""

    prefix: str

    async def on_list(
        self, records: tuple[results.Record, ...], reconnected: bool
    ) -> None:
        """Apply a full list; ``reconnected`` if the platform was unreachable before."""

    def on_change(self, record: results.Record) -> None:
        """Apply one changed record; its value is None if it was deleted."""

    def on_proof(self, at_ms: float) -> None:
        """Record that nothing newer than what was applied existed at a time."""

    def on_restore(self) -> None:
        """Record that the next list comes from an older copy of the records."""


class Outage(typing.NamedTuple):
    """A time in which the calls of a watcher failed, from the first to the last one.

    ``silent`` is set if the first one ended without any word from the platform, so that
    its connection may have been dead for some time.
    """

    lost_ms: float
    returned_ms: float
    silent: bool


class ProofSource(typing.Protocol):
    """Where freshness proofs come from other than the platform."""

    def hub(self) -> str:
        """Return the hub that proofs come from, or an empty text if there is none."""

    def is_hub(self) -> bool:
        """Return whether other instances get their proofs from this one."""

    def proved_ms(self, watcher: "Watcher") -> float | None:
        """Return when a watcher's copy is known to have been up to date."""


class Timing(typing.NamedTuple):
    """The timing of calls, in milliseconds.

    ``direct_ms`` is the wait of a watch call without hubs, ``hub_ms`` as a hub; it
    bounds the age of the proof. Changes within ``batch_ms`` of each other are fetched
    with one call. A proof from a hub that is older than ``max_proof_age_ms`` is not
    relied on.
    """

    direct_ms: int
    hub_ms: int
    batch_ms: float = 0.0
    max_proof_age_ms: float = 0.0


class Watcher:
    """Keeps one handler up to date.

    ``revision`` is the revision up to which records were read, and
    ``changed_revision`` one at or after their last change. ``proved_ms`` is the latest
    time at which nothing newer is known to have existed, and ``waiting_since_ms`` the
    time since when a call has been waiting for a change. During an outage only the
    ``recovery_watcher``, if set, polls the platform frequently.
    """

    def __init__(
        self,
        objects: results.ObjectStore,
        handler: RecordHandler,
        timing: Timing,
        clock: timers.Timers,
        random_source: random.Random,
    ) -> None:
        self.objects = objects
        self.handler = handler
        self.timing = timing
        self.clock = clock
        self.random = random_source
        self.lost_ms: float | None = None
        self._lost_silently = False
        self.on_reconnect: typing.Callable[[], None] = lambda: None
        self.on_outage: typing.Callable[[Outage], None] = lambda outage: None
        self.on_changes: typing.Callable[..., None] = lambda *changes: None
        self.source: ProofSource | None = None
        self.recovery_watcher: Watcher | None = None
        self.revision: int | None = None
        self.changed_revision = 0
        self._era: int | None = None
        self.proved_ms: float | None = None
        # When each of the newest proofs was learned, and the time that it proved.
        self._proofs: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=MAX_PROOFS
        )
        self._behind_ms: float | None = None
        self._wake = asyncio.Event()
        self._reported_source = "the platform"
        self._failures = 0
        self.waiting_since_ms: float | None = None
        self._call: asyncio.Task[typing.Any] | None = None
        self._reading = asyncio.Lock()
        self._read_ms: float | None = None  # when the last extra call was sent

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            rest_ms = self._rest_ms()
            self._report_source(rest_ms > 0)
            if rest_ms > 0:
                await self._rest(rest_ms)
            else:
                await self.poll()

    # Proofs from a hub.

    def _age_ms(self) -> float:
        if self.proved_ms is None:
            return float("inf")
        return self.clock.now_ms() - self.proved_ms

    def _rest_ms(self) -> float:
        """Return for how long no call is needed; 0 if one is needed now."""
        if self.source is None or self.revision is None or not self.source.hub():
            return 0.0
        left_ms = self.timing.max_proof_age_ms - self._age_ms()
        if self._behind_ms is not None:
            waited_ms = self.clock.now_ms() - self._behind_ms
            left_ms = min(left_ms, PUSH_GRACE_MS - waited_ms)
        return min(MAX_REST_MS, left_ms)

    async def _rest(self, rest_ms: float) -> None:
        self._wake.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(rest_ms / 1_000):
                await self._wake.wait()

    def _report_source(self, resting: bool) -> None:
        found = self.source.hub() if resting else "the platform"
        if found != self._reported_source and self._behind_ms is None:
            self._reported_source = found
            age_ms = round(min(1e9, self._age_ms()))
            events.emit(SOURCE, prefix=self.handler.prefix, source=found, age_ms=age_ms)

    def apply_hub_proof(self, revision: int, changed: int, at_ms: float) -> None:
        """Apply a hub's proof that there was no change after ``changed`` until a time.

        ``revision`` is the revision up to which the hub has read. If it has read a
        change that this instance has not, the proof is not applied and the platform is
        read soon.
        """
        if self.revision is None:
            return
        if results.era_of(revision) < results.era_of(self.revision):
            return  # the hub does not know yet that the store came back from a copy
        if changed > self.revision:
            if self._behind_ms is None:
                self._behind_ms = self.clock.now_ms()
                self._wake.set()
            return
        self._behind_ms = None
        self.revision = max(self.revision, revision)
        self._prove(at_ms)

    def apply_pushed(
        self, before: int, after: int, records: tuple[results.Record, ...]
    ) -> None:
        """Apply changes pushed by a hub, unless earlier ones are missing."""
        if self.revision is None or not before <= self.revision < after:
            return
        for record in records:
            guards.call(self.handler.on_change, record)
        self.revision = self.changed_revision = after
        self._behind_ms = None

    def _prove(self, at_ms: float) -> None:
        if self.proved_ms is None or at_ms > self.proved_ms:
            self.proved_ms = at_ms
            self._proofs.append((self.clock.now_ms(), at_ms))
        self.handler.on_proof(at_ms)

    # Calls to the platform.

    async def read_now(self) -> bool:
        """Read what has changed until now; return whether that could be done.

        The call that is waiting for changes goes on beside it. One call serves all
        that ask before it is sent.
        """
        asked_ms = self.clock.now_ms()
        async with self._reading:
            if self.revision is None or self.lost_ms is not None:
                return False
            if self._read_ms is not None and self._read_ms >= asked_ms:
                return True
            sent_ms = self.clock.now_ms()
            outcome = await self._watch(RETURN_WAIT_MS)
            if not isinstance(outcome, result.Success):
                return False
            await self._succeeded(outcome.unwrap(), sent_ms, RETURN_WAIT_MS)
            self._read_ms = sent_ms
            return True

    def _wait_ms(self) -> int:
        # During an outage calls wait only briefly: a long watch would show the return
        # of the platform only with the next event.
        if self.lost_ms is not None or self._behind_ms is not None:
            return RETURN_WAIT_MS
        is_hub = self.source is not None and self.source.is_hub()
        return self.timing.hub_ms if is_hub else self.timing.direct_ms

    async def poll(self) -> None:
        """Make one call to the platform and pass its result on."""
        sent_ms = self.clock.now_ms()
        wait_ms = self._wait_ms()
        if self.revision is None:
            call = self._list()
        else:
            call = self._watch(wait_ms)
            self.waiting_since_ms = sent_ms
        self._call = asyncio.ensure_future(call)
        try:
            outcome = await self._call
        except asyncio.CancelledError:
            if not self._call.cancelled() or asyncio.current_task().cancelling():
                self._call.cancel()
                raise
            return
        finally:
            proved_ms = self._proved_by_others_ms()
            self.waiting_since_ms = None
        if isinstance(outcome, result.Success):
            if proved_ms is not None:
                self._prove(proved_ms)
            found = outcome.unwrap()
            await self._succeeded(found, sent_ms, wait_ms)
            if found.records and self.timing.batch_ms:
                is_hub = self.source is not None and self.source.is_hub()
                batch_ms = HUB_BATCH_MS if is_hub else self.timing.batch_ms
                await asyncio.sleep(min(batch_ms, self.timing.batch_ms) / 1_000)
        else:
            await self._failed(outcome.failure())

    def proved_ms_at(self, now_ms: float) -> float | None:
        """Return the proof that this instance had at a time, if it is remembered."""
        known = (at_ms for learned_ms, at_ms in self._proofs if learned_ms <= now_ms)
        return max(known, default=None)

    def _proved_by_others_ms(self) -> float | None:
        """Return what other calls have proved while this watch was waiting.

        A long watch proves nothing by itself until it ends, and what it brings then
        must not seem to be possibly as old as the watch.
        """
        return self.source.proved_ms(self) if self.source is not None else None

    def wake(self) -> None:
        """End a rest: whether a call is needed may have changed."""
        self._wake.set()

    def restart(self) -> None:
        """Repeat the waiting call on another connection, or make the next one now."""
        self._wake.set()
        if self._call is not None and not self._call.done():
            self._call.cancel()

    async def _list(self) -> result.Result[results.Listing, results.ReadError]:
        return await self.objects.list(self.handler.prefix)

    async def _watch(
        self, wait_ms: int
    ) -> result.Result[results.Changes, results.WatchError]:
        return await self.objects.watch(
            self.handler.prefix, self.revision, wait_ms, MARGIN_MS
        )

    async def _succeeded(
        self,
        found: results.Listing | results.Changes,
        sent_ms: float,
        wait_ms: int,
    ) -> None:
        reconnected = self.lost_ms is not None
        if reconnected:
            self._reconnected()
        self._failures = 0
        if isinstance(found, results.Listing):
            self._observe_era(results.era_of(found.revision))
            await self.handler.on_list(found.records, reconnected)
            self.revision = self.changed_revision = found.revision
            self._behind_ms = None
            self._prove(sent_ms)
            return
        # A push may have been applied while the call was waiting.
        if found.revision >= self.revision:
            for record in found.records:
                guards.call(self.handler.on_change, record)
            before, self.revision = self.revision, found.revision
            if found.records:
                self.changed_revision = found.revision
                self.on_changes(
                    self.handler.prefix, before, found.revision, found.records
                )
            self._behind_ms = None
        self._prove(self._proof_ms(found, sent_ms, wait_ms))

    def _observe_era(self, era: int) -> None:
        if self._era is not None and era > self._era:
            events.emit(RESTORED, prefix=self.handler.prefix, era=era)
            self.handler.on_restore()
        self._era = era

    def _proof_ms(self, found: results.Changes, sent_ms: float, wait_ms: int) -> float:
        # An empty answer is given at the end of the wait, so it proves that moment.
        waited = self.clock.now_ms() - sent_ms >= wait_ms
        return sent_ms + wait_ms if waited and not found.records else sent_ms

    def _reconnected(self) -> None:
        outage = Outage(self.lost_ms, self.clock.now_ms(), self._lost_silently)
        events.emit(
            RECONNECTED,
            prefix=self.handler.prefix,
            lost_ms=round(outage.returned_ms - outage.lost_ms),
            age_ms=round(min(1e9, self._age_ms())),
        )
        self.lost_ms = None
        self.on_outage(outage)
        self.on_reconnect()

    async def _failed(self, error: results.ReadError | results.WatchError) -> None:
        if isinstance(error, results.Compacted):
            self.revision = None
            return
        if self.lost_ms is None:
            self.lost_ms = self.clock.now_ms()
            self._lost_silently = getattr(error, "silent", False)
            events.emit(
                LOST, prefix=self.handler.prefix, reason=getattr(error, "message", "")
            )
        self._failures += 1
        wait_ms = min(MAX_RETRY_MS, RETRY_MS * 2 ** min(self._failures - 1, 6))
        if (
            self.recovery_watcher is not None
            and self.recovery_watcher.lost_ms is not None
        ):
            wait_ms = OUTAGE_REST_MS
        await self._rest(wait_ms * (1 + self.random.random() * RETRY_SPREAD))
