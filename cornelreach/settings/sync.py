"""Keeps a state up to date from the platform: lists once, then watches.

Only the few instances chosen as watchers do this. ``is_watcher`` returns whether this
instance is one; ``on_platform_result`` is called after each step with whether the
platform was reached::

    backoff = backoff_module.Backoff(random.Random(), limit_ms=RETRY_LIMIT_MS)
    sync = Sync(objects, state, backoff)
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
MAX_MARGIN_MS = 4_000
RETRY_LIMIT_MS = 2_000
IDLE_POLL_MS = 200

LISTED = events.define(
    1111, "INFO", "Listed {count} items at revision {revision}.", "Nothing."
)
APPLIED = events.define(
    1112, "INFO", "Applied {count} items up to revision {revision}.", "Nothing."
)
PLATFORM_UNAVAILABLE = events.define(
    1113,
    "WARNING",
    "Cannot read the platform: {error}; keeping settings of revision {revision}.",
    "Check the platform; instances keep exchanging the settings they hold.",
)
PLATFORM_BEHIND = events.define(
    1114,
    "ERROR",
    "The platform is at revision {found}, below the held revision {revision}.",
    "Restore the platform with its version counter at or above the held revision.",
)

Outcome = result.Result[
    results.Listing | results.Changes, results.ReadError | results.WatchError
]


class Sync:
    """The loop that keeps a state at the platform's revision."""

    def __init__(
        self,
        objects: results.ObjectStore,
        state: state_module.State,
        backoff: backoff_module.Backoff,
        is_watcher: typing.Callable[[], bool] = lambda: True,
        watch_ms: int = WATCH_MS,
        on_platform_result: typing.Callable[[bool], None] = lambda reached: None,
    ) -> None:
        self.objects = objects
        self.state = state
        self.backoff = backoff
        self.is_watcher = is_watcher
        self.watch_ms = watch_ms
        self.on_platform_result = on_platform_result
        self.platform_ok = False
        self.since = 0
        self._compacted = False

    async def run(self) -> None:
        """List and watch the platform until cancelled."""
        while True:
            delay_ms = await self.step() if self.is_watcher() else IDLE_POLL_MS
            if delay_ms:
                await asyncio.sleep(delay_ms / 1_000)

    async def step(self) -> float:
        """Do one list or watch call and return the delay until the next."""
        watch_from = self.watch_from
        if self.must_list:
            outcome = await self.objects.list(items.PREFIX)
        else:
            outcome = await self.objects.watch(
                items.PREFIX, watch_from, self.wait_ms, self.margin_ms
            )
        return self.handle(outcome, watch_from)

    @property
    def must_list(self) -> bool:
        """Return whether to list because there is no revision to watch from."""
        return self._compacted or self.watch_from == 0

    @property
    def wait_ms(self) -> int:
        """Return how long a watch call may take; short after a failure."""
        return min(PROBE_MS, self.watch_ms) if self.backoff.failures else self.watch_ms

    @property
    def margin_ms(self) -> int:
        """Return the extra time allowed for the response; longer after failures."""
        return min(MAX_MARGIN_MS, MARGIN_MS * 2 ** min(self.backoff.failures, 8))

    @property
    def watch_from(self) -> int:
        """Return the revision to watch from; a lower one in a response is an error.

        The state may be ahead of ``since`` because peers relay settings too.
        """
        return max(self.since, self.state.revision)

    def handle(self, outcome: Outcome, watch_from: int) -> float:
        """Apply the outcome of a list, or of a watch from ``watch_from``.

        Returns the delay in milliseconds until the next call.
        """
        if isinstance(outcome, result.Failure):
            return self._handle_failure(outcome.failure())
        self._record_result(True)
        self.backoff.reset()
        found = outcome.unwrap()
        if found.revision < watch_from:
            return self._platform_behind(found.revision)
        if isinstance(found, results.Listing):
            self._apply_listing(found)
        else:
            self._apply_changes(found, watch_from)
        return IDLE_POLL_MS if self.must_list else 0

    def _record_result(self, reached: bool) -> None:
        self.platform_ok = reached
        self.on_platform_result(reached)

    def _apply_listing(self, found: results.Listing) -> None:
        delta = state_module.Delta(0, found.revision, found.records, snapshot=True)
        self.state.apply(delta)
        self.since, self._compacted = found.revision, False
        events.emit(LISTED, count=len(found.records), revision=found.revision)

    def _apply_changes(self, found: results.Changes, watch_from: int) -> None:
        self.since = max(self.since, found.revision)
        if not found.records:
            return
        newest_version = max(record.version for record in found.records)
        # Versions between the state's revision and watch_from belong to other objects
        # than settings: the watches since that revision have returned no settings.
        since = min(watch_from, self.state.revision)
        changed = self.state.apply(
            state_module.Delta(since, newest_version, found.records)
        )
        events.emit(APPLIED, count=len(changed), revision=self.state.revision)

    def _platform_behind(self, found: int) -> float:
        events.emit(PLATFORM_BEHIND, found=found, revision=self.state.revision)
        return self.backoff.next_ms()

    def _handle_failure(self, error: results.ReadError | results.WatchError) -> float:
        if isinstance(error, results.Compacted):
            self._compacted = True
            return 0
        self._record_result(False)
        events.emit(
            PLATFORM_UNAVAILABLE, error=error.message, revision=self.state.revision
        )
        retry_ms = getattr(error, "retry_after_ms", 0)
        return self.backoff.next_ms(retry_ms)
