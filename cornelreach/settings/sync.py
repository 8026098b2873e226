"""Reads the settings from the platform into a state: list once, then watch.

Only the few instances chosen as watchers run it; ``watching`` says whether this one
is, and ``report`` is told after each step whether the platform was reached::

    pause = backoff.Backoff(random.Random(), limit_ms=RETRY_LIMIT_MS)
    sync = Sync(objects, state, pause)
    task = asyncio.create_task(sync.run())
"""

import asyncio
import typing

from returns import result

from cornelreach.platform import backoff as backoff_module, results
from cornelreach.settings import items, state as state_module
from cornelreach.util import events

WATCH_MS = 2_500
PROBE_MS = 500
MARGIN_MS = 1_000
MARGIN_LIMIT_MS = 4_000
RETRY_LIMIT_MS = 2_000
IDLE_MS = 200

LISTED = events.define(
    1111, "INFO", "Listed {count} items at revision {revision}.", "Nothing."
)
APPLIED = events.define(
    1112, "INFO", "Applied {count} items up to revision {revision}.", "Nothing."
)
AWAY = events.define(
    1113,
    "WARNING",
    "The platform cannot be read: {error}; settings of revision {revision} stay.",
    "Check the platform; peers go on relaying what they hold.",
)
REWOUND = events.define(
    1114,
    "ERROR",
    "The platform answers revision {found} below the held revision {revision}.",
    "Restore the platform with its version counter at or above the held revision.",
)

Outcome = result.Result[
    results.Listing | results.Changes, results.ReadError | results.WatchError
]


class Sync:
    """The loop that keeps a state up to the platform's revision."""

    def __init__(
        self,
        objects: results.Objects,
        state: state_module.State,
        backoff: backoff_module.Backoff,
        watching: typing.Callable[[], bool] = lambda: True,
        watch_ms: int = WATCH_MS,
        report: typing.Callable[[bool], None] = lambda reached: None,
    ) -> None:
        self.objects = objects
        self.state = state
        self.backoff = backoff
        self.watching = watching
        self.watch_ms = watch_ms
        self.report = report
        self.platform_ok = False
        self.since = 0
        self._compacted = False

    async def run(self) -> None:
        """Follow the platform until cancelled."""
        while True:
            delay_ms = await self.step() if self.watching() else IDLE_MS
            if delay_ms:
                await asyncio.sleep(delay_ms / 1_000)

    async def step(self) -> float:
        """Do one list or watch and return the delay until the next."""
        floor = self.floor
        if self.must_list:
            outcome = await self.objects.list(items.PREFIX)
        else:
            outcome = await self.objects.watch(
                items.PREFIX, floor, self.wait_ms, self.margin_ms
            )
        return self.take(outcome, floor)

    @property
    def must_list(self) -> bool:
        """Return whether nothing is held to watch from, or too little."""
        return self._compacted or self.floor == 0

    @property
    def wait_ms(self) -> int:
        """Return how long to watch; only briefly after a failure."""
        return min(PROBE_MS, self.watch_ms) if self.backoff.failures else self.watch_ms

    @property
    def margin_ms(self) -> int:
        """Return the time for an answer to come back; longer after a failure."""
        return min(MARGIN_LIMIT_MS, MARGIN_MS * 2 ** min(self.backoff.failures, 8))

    @property
    def floor(self) -> int:
        """Return the revision to watch from; no right answer lies below it.

        Peers may have brought the state beyond what the platform told.
        """
        return max(self.since, self.state.revision)

    def take(self, outcome: Outcome, floor: int) -> float:
        """Apply the outcome of a list or of a watch from ``floor``.

        Returns the delay until the next call.
        """
        if isinstance(outcome, result.Failure):
            return self._failed(outcome.failure())
        self._reached(True)
        self.backoff.reset()
        found = outcome.unwrap()
        if found.revision < floor:
            return self._rewound(found.revision)
        if isinstance(found, results.Listing):
            self._listed(found)
        else:
            self._watched(found, floor)
        return IDLE_MS if self.must_list else 0

    def _reached(self, reached: bool) -> None:
        self.platform_ok = reached
        self.report(reached)

    def _listed(self, found: results.Listing) -> None:
        delta = state_module.Delta(0, found.revision, found.records, whole=True)
        self.state.apply(delta)
        self.since, self._compacted = found.revision, False
        events.emit(LISTED, count=len(found.records), revision=found.revision)

    def _watched(self, found: results.Changes, floor: int) -> None:
        self.since = max(self.since, found.revision)
        if not found.records:
            return
        newest = max(record.version for record in found.records)
        # Versions between the state's revision and the floor belong to objects other
        # than settings, as every watch since that revision has shown.
        since = min(floor, self.state.revision)
        changed = self.state.apply(state_module.Delta(since, newest, found.records))
        events.emit(APPLIED, count=len(changed), revision=self.state.revision)

    def _rewound(self, found: int) -> float:
        events.emit(REWOUND, found=found, revision=self.state.revision)
        return self.backoff.next_ms()

    def _failed(self, error: results.ReadError | results.WatchError) -> float:
        if isinstance(error, results.Compacted):
            self._compacted = True
            return 0
        self._reached(False)
        events.emit(AWAY, error=error.message, revision=self.state.revision)
        retry_ms = getattr(error, "retry_after_ms", 0)
        return self.backoff.next_ms(retry_ms)
