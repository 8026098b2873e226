"""Writes the status of orders of rollouts, on the revision that was last read.

A few instances write, each later than the one before, so that mostly one does. A writer
that was frozen or cut off fails on the revision, reads the order again, and writes only
what then still follows::

    writer = Writer(orders, objects, clock)
    writer.check(release, rank)
"""

import typing

from returns import result

from cornelreach.gateway import releasestate
from cornelreach.platform import releases as platform_releases, results
from cornelreach.util import events, timers

WRITERS = 5
STAGGER_MS = 400.0
RETRY_MS = 500.0
MAX_RETRY_MS = 1_000.0

WRITTEN = events.define(
    2626,
    "INFO",
    "Wrote that the rollout of {target} to {service} is {state}.",
    "Nothing.",
)
NOT_WRITTEN = events.define(
    2627,
    "WARNING",
    "Could not write that the rollout of {target} to {service} is {state}: {error}.",
    "If it repeats: check the platform; traffic follows the decision meanwhile.",
)


class Orders(typing.Protocol):
    """What is told of the orders that were read."""

    def apply_record(self, record: results.Record) -> None:
        """Apply an order as it is stored."""

    def apply_written(
        self, release: releasestate.Release, state: str, version: int
    ) -> None:
        """Apply a status that was written."""

    def withdraw(self, service: str, reason: str) -> None:
        """Follow that an order is gone."""

    def spawn(self, work: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
        """Run a task."""


class _Job:
    """The write of one state: when it is next due, and whether it is under way."""

    def __init__(
        self, identity: tuple[str, str, str], state: str, due_ms: float
    ) -> None:
        self.identity = identity
        self.state = state
        self.due_ms = due_ms
        self.failures = 0
        self.is_running = False


class Writer:
    """Writes the status of each order once it is due."""

    def __init__(
        self, orders: Orders, objects: results.ObjectStore, clock: timers.Timers
    ) -> None:
        self.orders = orders
        self.objects = objects
        self.clock = clock
        self._jobs: dict[str, _Job] = {}

    def check(self, release: releasestate.Release, rank: int | None) -> None:
        """Write the state that an order calls for, if it is this instance's turn."""
        now_ms = self.clock.now_ms()
        service = release.order.service
        state = release.wanted_state(now_ms)
        job = self._jobs.get(service)
        if not state or rank is None or release.version is None:
            if job is not None and not job.is_running:
                del self._jobs[service]
            return
        is_same = job is not None and (job.identity, job.state) == (
            release.identity,
            state,
        )
        if job is None or not (is_same or job.is_running):
            due_ms = now_ms + rank * STAGGER_MS
            job = self._jobs[service] = _Job(release.identity, state, due_ms)
        if now_ms >= job.due_ms and not job.is_running:
            job.is_running = True
            self.orders.spawn(self._write(release, job))

    async def _write(self, release: releasestate.Release, job: _Job) -> None:
        order = release.order
        try:
            outcome = await self.objects.put_status(
                platform_releases.key(order.service),
                platform_releases.status(job.state, order.target),
                release.version,
            )
            if isinstance(outcome, result.Success):
                self._jobs.pop(order.service, None)
                self._written(release, job.state, outcome.unwrap())
            else:
                await self._failed(release, job, outcome.failure())
        finally:
            job.is_running = False

    def _written(self, release: releasestate.Release, state: str, version: int) -> None:
        order = release.order
        events.emit(WRITTEN, service=order.service, target=order.target, state=state)
        self.orders.apply_written(release, state, version)

    async def _failed(
        self, release: releasestate.Release, job: _Job, error: results.WriteError
    ) -> None:
        """Read the order again if that tells more, and let the write be repeated."""
        order = release.order
        wait_ms = min(MAX_RETRY_MS, RETRY_MS * 2**job.failures)
        job.failures = min(job.failures + 1, 8)
        job.due_ms = self.clock.now_ms() + wait_ms
        events.emit(
            NOT_WRITTEN,
            service=order.service,
            target=order.target,
            state=job.state,
            error=error.message,
        )
        if isinstance(error, results.Unavailable):
            return
        found = await self.objects.get(platform_releases.key(order.service))
        if isinstance(found, result.Success):
            self.orders.apply_record(found.unwrap())
            if isinstance(error, results.Conflict):
                job.due_ms = self.clock.now_ms()
        elif isinstance(found.failure(), results.NotFound):
            self.orders.withdraw(order.service, "it was deleted")
