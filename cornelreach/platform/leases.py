"""Leases kept as platform objects, each holder with its own fencing number.

The record names the holder; every renewal is a conditional write and moves its version.
Nobody compares clocks: a contender takes over once it has seen the same version for the
whole term by its own monotonic clock, and the holder counts the term from before it
sent the write, less an allowance for drift, so it lapses first. A paused holder that
wakes asks ``held`` before it acts and passes ``fence`` on with its orders::

    keeper = Keeper(objects, Lease("rollout/m", "lj-1", boot), timers)
    task = asyncio.create_task(keeper.run())
    if keeper.lease.held(timers.now_ms()): order(fence=keeper.lease.fence)
"""

import asyncio
import typing

from returns import result

from cornelreach.platform import results
from cornelreach.util import events, timers as timers_module

PREFIX = "leases/"
TERM_MS = 9_000
DRIFT_SHARE = 0.02
RENEWALS_IN_TERM = 3
READ_MS = 1_000
RETRY_MS = 300

TAKEN = events.define(
    1201, "INFO", "Holds lease {name} with fence {fence}.", "Nothing."
)
LAPSED = events.define(
    1202,
    "WARNING",
    "Lost lease {name} with fence {fence}.",
    "Nothing; another instance goes on with the work.",
)


class Record(typing.TypedDict):
    """The value of a lease's object; an empty ``holder`` means released.

    ``attempt`` is unique to one write, so its sender recognises it later.
    """

    holder: str
    boot: str
    fence: int
    term_ms: int
    attempt: str


class Read(typing.NamedTuple):
    """Read the lease's object."""


class Write(typing.NamedTuple):
    """Write the lease's object at a version, 0 for absent."""

    if_version: int
    value: Record


class Wait(typing.NamedTuple):
    """Nothing to do for a while."""

    wait_ms: float


Step = Read | Write | Wait


class Lease:
    """The decisions of one contender for one lease; it does no I/O.

    Only instances that should do the work contend: two or three by rendezvous are
    enough, since each contender reads about once in ``READ_MS``. A holder of another
    name is followed only ``quiet_ms`` after its term; one's own former boot at once.
    """

    def __init__(
        self,
        name: str,
        holder: str,
        boot: str,
        term_ms: int = TERM_MS,
        quiet_ms: int = 0,
    ) -> None:
        self.name = name
        self.key = PREFIX + name
        self.holder = holder
        self.boot = boot
        self.term_ms = term_ms
        self.quiet_ms = quiet_ms
        self.wanted = True
        self.fence: int | None = None
        self._held_until_ms = 0.0
        self._renew_ms = 0.0
        self._seen: results.Record | None = None
        self._seen_ms = 0.0
        self._read_due_ms = 0.0
        self._attempts: dict[str, float] = {}
        self._count = 0

    def held(self, now_ms: float) -> bool:
        """Return whether this instance holds the lease by its own clock."""
        return self.fence is not None and now_ms < self._held_until_ms

    def last_holder(self) -> str:
        """Return who held the lease last, as far as this contender has seen."""
        value = self._seen.value if self._seen is not None else None
        return value["holder"] if value else ""

    def remaining_ms(self, now_ms: float) -> float:
        """Return for how long the lease is surely held; 0 if it is not."""
        return max(0.0, self._held_until_ms - now_ms) if self.held(now_ms) else 0.0

    def step(self, now_ms: float) -> Step:
        """Return what to do now."""
        if self._attempts or self._seen is None:
            return self._read_or_wait(now_ms)
        mine = self._mine()
        if mine and not self.wanted:
            fence, self.fence = self._seen.value["fence"], None
            return self._write("", fence, now_ms)
        if mine and self.held(now_ms):
            if now_ms >= self._renew_ms:
                return self._write(self.holder, self.fence, now_ms)
            return Wait(self._renew_ms - now_ms)
        if self.wanted and self._free(now_ms):
            return self._write(self.holder, self._last_fence() + 1, now_ms)
        return self._read_or_wait(now_ms)

    def read(
        self, outcome: result.Result[results.Record, results.ReadError], now_ms: float
    ) -> None:
        """Take the outcome of a read."""
        self._read_due_ms = now_ms + READ_MS
        if isinstance(outcome, result.Success):
            self._see(outcome.unwrap(), now_ms)
        elif isinstance(outcome.failure(), results.NotFound):
            self._see(results.Record(self.key, 0, None), now_ms)

    def observed(self, record: results.Record, now_ms: float) -> None:
        """Take a record that a watch brought; one's own lost write is read back."""
        if not self._attempts:
            self._see(record, now_ms)

    def written(
        self,
        write: Write,
        outcome: result.Result[int, results.WriteError],
        now_ms: float,
    ) -> None:
        """Take the outcome of a write."""
        if isinstance(outcome, result.Success):
            record = results.Record(self.key, outcome.unwrap(), write.value)
            self._see(record, now_ms)
            return
        self._read_due_ms = now_ms + RETRY_MS
        error = outcome.failure()
        if isinstance(error, results.OutcomeUnknown):
            return
        self._attempts.pop(write.value["attempt"], None)
        if isinstance(error, results.Conflict | results.NotFound):
            self._read_due_ms = now_ms
            self._seen = None

    def _see(self, record: results.Record, now_ms: float) -> None:
        if self._seen is not None and record.version < self._seen.version:
            return
        if self._seen is None or record.version != self._seen.version:
            self._seen, self._seen_ms = record, now_ms
        sent_ms = self._attempts.get((record.value or {}).get("attempt", ""))
        if sent_ms is not None:
            self._confirm(record.value, sent_ms)
        elif not self._mine():
            self.fence = None
        self._attempts.clear()

    def _confirm(self, value: Record, sent_ms: float) -> None:
        if not value["holder"]:
            self.fence = None
            return
        self.fence = value["fence"]
        self._held_until_ms = sent_ms + self.term_ms * (1 - DRIFT_SHARE)
        self._renew_ms = sent_ms + self.term_ms / RENEWALS_IN_TERM

    def _write(self, holder: str, fence: int, now_ms: float) -> Write:
        self._count += 1
        attempt = f"{self.boot}/{self._count}"
        self._attempts[attempt] = now_ms
        value = Record(
            holder=holder,
            boot=self.boot,
            fence=fence,
            term_ms=self.term_ms,
            attempt=attempt,
        )
        return Write(self._seen.version, value)

    def _read_or_wait(self, now_ms: float) -> Step:
        if now_ms >= self._read_due_ms:
            return Read()
        return Wait(self._read_due_ms - now_ms)

    def _mine(self) -> bool:
        value = self._seen.value if self._seen is not None else None
        return bool(value) and (value["holder"], value["boot"]) == (
            self.holder,
            self.boot,
        )

    def _free(self, now_ms: float) -> bool:
        value = self._seen.value
        if not value or not value["holder"] or self._mine():
            return True
        if self.quiet_ms and value["holder"] == self.holder:
            return True
        term_ms = max(value["term_ms"], self.term_ms) * (1 + DRIFT_SHARE)
        return now_ms - self._seen_ms >= term_ms + self.quiet_ms

    def _last_fence(self) -> int:
        value = self._seen.value
        return value["fence"] if value else 0


class Keeper:
    """Carries out the steps of a lease over the platform."""

    def __init__(
        self, objects: results.Objects, lease: Lease, timers: timers_module.Timers
    ) -> None:
        self.objects = objects
        self.lease = lease
        self.timers = timers

    async def run(self) -> None:
        """Contend for and renew the lease until cancelled."""
        while True:
            wait_ms = await self.once()
            if wait_ms:
                await asyncio.sleep(wait_ms / 1_000)

    async def once(self) -> float:
        """Carry out one step and return the wait until the next."""
        lease, fence = self.lease, self.lease.fence
        step = lease.step(self.timers.now_ms())
        if isinstance(step, Wait):
            return step.wait_ms
        if isinstance(step, Read):
            outcome = await self.objects.get(lease.key)
            lease.read(outcome, self.timers.now_ms())
        else:
            outcome = await self._put(step)
            lease.written(step, outcome, self.timers.now_ms())
        self._tell(fence)
        if isinstance(outcome, result.Success) or isinstance(
            outcome.failure(), results.NotFound
        ):
            return 0
        retry_ms = getattr(outcome.failure(), "retry_after_ms", 0)
        return min(READ_MS, max(RETRY_MS, retry_ms))

    async def release(self) -> None:
        """Give the lease up, so that another instance need not wait for its term."""
        self.lease.wanted = False
        while self.lease.held(self.timers.now_ms()):
            await asyncio.sleep(await self.once() / 1_000)

    async def _put(self, step: Write) -> result.Result[int, results.WriteError]:
        if step.if_version:
            key = self.lease.key
            return await self.objects.put(key, step.value, if_version=step.if_version)
        return await self.objects.put(self.lease.key, step.value, if_absent=True)

    def _tell(self, before: int | None) -> None:
        after = self.lease.fence
        if before is not None and after != before:
            events.emit(LAPSED, name=self.lease.name, fence=before)
        if after is not None and after != before:
            events.emit(TAKEN, name=self.lease.name, fence=after)
