"""Leases stored as platform objects, with a fencing token for each holder.

The record names the holder, and every renewal is a conditional write that changes its
version. Clocks are never compared between instances: a contender takes over once the
version has not changed for a whole term by its own monotonic clock. The holder counts
the term from before it sent the write and subtracts an allowance for clock drift, so
its lease expires first. A holder that resumes after a pause checks ``is_held`` before
it acts and sends ``fence``, the fencing token, with its orders::

The store may come back from a copy that lacks the newest writes. The lease is then lost
to its holder at once, nobody else takes it before the holder's term is over, and the
fences of the new era are greater than all that were given out before::

    lease = Lease("rollout/m", "lj-1", boot)
    task = asyncio.create_task(LeaseRunner(objects, lease, timers).run())
    if lease.is_held(timers.now_ms()): order(fence=lease.fence)
"""

import asyncio
import typing

import msgspec
from returns import result

from cornelreach.platform import results
from cornelreach.util import decoding, events, timers as timers_module

PREFIX = "leases/"
TERM_MS = 9_000
DRIFT_SHARE = 0.02
RENEWALS_IN_TERM = 3
READ_MS = 1_000
RETRY_MS = 300
MAX_FENCE = 2**53 - 1
MAX_TERM_MS = 600_000
ERA_FENCES = 1_000_000_000  # more than the revisions of one era of the store

ACQUIRED = events.define(
    1201, "INFO", "Acquired lease {name} with fence {fence}.", "Nothing."
)
LOST = events.define(
    1202,
    "WARNING",
    "Lost lease {name} with fence {fence}.",
    "Nothing; another instance takes over the work.",
)


UNREADABLE = events.define(
    1205,
    "WARNING",
    "The entry of lease {key} cannot be decoded and names no holder: {error}.",
    "Nothing; the next holder replaces it. If it repeats: find out who writes there.",
)


class Record(typing.TypedDict):
    """Value of the object of a lease; an empty ``holder`` means released.

    ``attempt`` is unique to one write, by which its sender recognises it when read.
    """

    holder: str
    boot: str
    fence: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_FENCE)]
    term_ms: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_TERM_MS)]
    attempt: str


def _read_record(record: results.Record) -> tuple[results.Record, int]:
    """Return a record and its fence; one that cannot be decoded names no holder.

    Each fence was written at a revision that is not lower than it, so the record's own
    is at least as high as the fence that is lost with it.
    """
    if record.value is None:
        return record, 0
    try:
        value = msgspec.convert(record.value, Record)
    except decoding.DECODE_ERRORS as error:
        events.emit(UNREADABLE, key=record.key, error=str(error))
        return record._replace(value=None), results.revision_of(record.version)
    return record._replace(value=value), value["fence"]


class Read(typing.NamedTuple):
    """Step: read the object of the lease."""


class Write(typing.NamedTuple):
    """Step: write the object at ``if_version``; its revision is 0 if it is absent."""

    if_version: int
    value: Record


class Wait(typing.NamedTuple):
    """Step: do nothing for ``wait_ms``."""

    wait_ms: float


Step = Read | Write | Wait


class Lease:
    """State machine of one contender for one lease, without I/O.

    Only instances that should do the work contend. Two or three, chosen by rendezvous
    hashing, are enough, since each contender reads once per ``read_ms``. With
    ``takeover_delay_ms``, a lease of another instance is taken over only that long
    after its term, and that of an earlier boot of this instance at once.
    """

    def __init__(
        self,
        name: str,
        holder: str,
        boot: str,
        term_ms: int = TERM_MS,
        takeover_delay_ms: int = 0,
        read_ms: int = READ_MS,
    ) -> None:
        self.name = name
        self.key = PREFIX + name
        self.holder = holder
        self.boot = boot
        self.term_ms = term_ms
        self.takeover_delay_ms = takeover_delay_ms
        self.read_ms = read_ms
        self.wanted = True
        self.fence: int | None = None
        self._expires_ms = 0.0
        self._renewal_due_ms = 0.0
        self._record: results.Record | None = None
        self._changed_ms = 0.0
        self._era: int | None = None
        self._newest_fence = 0
        self._restored_ms: float | None = None
        self._read_due_ms = 0.0
        self._attempts: dict[str, float] = {}
        self._write_count = 0

    def is_held(self, now_ms: float) -> bool:
        """Return whether this instance holds the lease, by its own clock."""
        return self.fence is not None and now_ms < self._expires_ms

    def last_holder(self) -> str:
        """Return the last holder seen by this contender, or an empty string."""
        value = self._record.value if self._record is not None else None
        return value["holder"] if value else ""

    def remaining_ms(self, now_ms: float) -> float:
        """Return for how long the lease is certain to be held; 0 if it is not held."""
        return max(0.0, self._expires_ms - now_ms) if self.is_held(now_ms) else 0.0

    def step(self, now_ms: float) -> Step:
        """Return the next step to carry out."""
        if self._attempts or self._record is None:
            return self._read_or_wait(now_ms)
        own = self._is_own_record()
        if own and not self.wanted:
            fence, self.fence = self._record.value["fence"], None
            return self._write("", fence, now_ms)
        if own and self.is_held(now_ms):
            if now_ms >= self._renewal_due_ms:
                return self._write(self.holder, self.fence, now_ms)
            return Wait(self._renewal_due_ms - now_ms)
        if self.wanted and self._can_take_over(now_ms):
            return self._write(self.holder, self._next_fence(), now_ms)
        return self._read_or_wait(now_ms)

    def on_restore(self, era: int, now_ms: float) -> None:
        """Give the lease up, as the store came back from a copy in a new era.

        Another instance may have held the lease in a record that the copy lacks, so
        nobody takes it before that term has passed, except this one if it held it.
        """
        if self._era is not None and era <= self._era:
            return
        first = self._era is None
        if not first or era > 0:
            self._restored_ms = None if self.is_held(now_ms) else now_ms
        self._era = era
        if not first:
            self.fence = self._record = None
            self._attempts.clear()
            self._read_due_ms = now_ms

    def on_read(
        self, outcome: result.Result[results.Record, results.ReadError], now_ms: float
    ) -> None:
        """Process the outcome of a read."""
        self._read_due_ms = now_ms + self.read_ms
        if isinstance(outcome, result.Success):
            self._process_record(outcome.unwrap(), now_ms)
        elif isinstance(outcome.failure(), results.NotFound):
            version = results.make_version(outcome.failure().era, 0)
            self._process_record(results.Record(self.key, version, None), now_ms)

    def on_watch(self, record: results.Record, now_ms: float) -> None:
        """Process a record delivered by a watch.

        It is ignored while the outcome of a write is open: a read settles that.
        """
        if not self._attempts:
            self._process_record(record, now_ms)

    def on_written(
        self,
        write: Write,
        outcome: result.Result[int, results.WriteError],
        now_ms: float,
    ) -> None:
        """Process the outcome of a write."""
        if isinstance(outcome, result.Success):
            record = results.Record(self.key, outcome.unwrap(), write.value)
            self._process_record(record, now_ms)
            return
        self._read_due_ms = now_ms + RETRY_MS
        error = outcome.failure()
        if isinstance(error, results.OutcomeUnknown):
            return
        self._attempts.pop(write.value["attempt"], None)
        if isinstance(error, results.Conflict | results.NotFound):
            self._read_due_ms = now_ms
            self._record = None

    def _process_record(self, record: results.Record, now_ms: float) -> None:
        self.on_restore(results.era_of(record.version), now_ms)
        record, fence = _read_record(record)
        self._newest_fence = max(self._newest_fence, fence)
        if self._record is not None and record.version < self._record.version:
            return
        if self._record is None or record.version != self._record.version:
            self._record, self._changed_ms = record, now_ms
        sent_ms = self._attempts.get((record.value or {}).get("attempt", ""))
        if sent_ms is not None:
            self._set_holding(record.value, sent_ms)
        elif not self._is_own_record():
            self.fence = None
        self._attempts.clear()

    def _set_holding(self, value: Record, sent_ms: float) -> None:
        if not value["holder"]:
            self.fence = None
            return
        self.fence = value["fence"]
        self._expires_ms = sent_ms + self.term_ms * (1 - DRIFT_SHARE)
        self._renewal_due_ms = sent_ms + self.term_ms / RENEWALS_IN_TERM

    def _write(self, holder: str, fence: int, now_ms: float) -> Write:
        self._write_count += 1
        attempt = f"{self.boot}/{self._write_count}"
        self._attempts[attempt] = now_ms
        value = Record(
            holder=holder,
            boot=self.boot,
            fence=fence,
            term_ms=self.term_ms,
            attempt=attempt,
        )
        return Write(self._record.version, value)

    def _read_or_wait(self, now_ms: float) -> Step:
        if now_ms >= self._read_due_ms:
            return Read()
        return Wait(self._read_due_ms - now_ms)

    def _is_own_record(self) -> bool:
        value = self._record.value if self._record is not None else None
        return bool(value) and (value["holder"], value["boot"]) == (
            self.holder,
            self.boot,
        )

    def _can_take_over(self, now_ms: float) -> bool:
        value = self._record.value
        quiet_ms = self.term_ms * (1 + DRIFT_SHARE) + self.takeover_delay_ms
        if self._restored_ms is not None and now_ms - self._restored_ms < quiet_ms:
            return False
        if not value or not value["holder"] or self._is_own_record():
            return True
        if self.takeover_delay_ms and value["holder"] == self.holder:
            return True
        term_ms = max(value["term_ms"], self.term_ms) * (1 + DRIFT_SHARE)
        return now_ms - self._changed_ms >= term_ms + self.takeover_delay_ms

    def _last_fence(self) -> int:
        return self._newest_fence

    def _next_fence(self) -> int:
        following = self._last_fence() + 1
        if not self._era:
            return following
        # A write of an earlier era may take effect if its condition holds again, and
        # replace the record that named the newest fence. Revisions only rise in an era.
        revision = results.revision_of(self._record.version)
        return max(following, self._era * ERA_FENCES + revision + 1)


class LeaseRunner:
    """Carries out the steps of a lease through the object API."""

    def __init__(
        self, objects: results.ObjectStore, lease: Lease, timers: timers_module.Timers
    ) -> None:
        self.objects = objects
        self.lease = lease
        self.timers = timers

    async def run(self) -> None:
        """Acquire and renew the lease until cancelled."""
        while True:
            wait_ms = await self.run_once()
            if wait_ms:
                await asyncio.sleep(wait_ms / 1_000)

    async def run_once(self) -> float:
        """Carry out one step and return the wait until the next in milliseconds."""
        lease, fence = self.lease, self.lease.fence
        step = lease.step(self.timers.now_ms())
        if isinstance(step, Wait):
            return step.wait_ms
        if isinstance(step, Read):
            outcome = await self.objects.get(lease.key)
            lease.on_read(outcome, self.timers.now_ms())
        else:
            outcome = await self._put(step)
            lease.on_written(step, outcome, self.timers.now_ms())
        self._log_change(fence)
        if isinstance(outcome, result.Success) or isinstance(
            outcome.failure(), results.NotFound
        ):
            return 0
        retry_ms = getattr(outcome.failure(), "retry_after_ms", 0)
        return min(READ_MS, max(RETRY_MS, retry_ms))

    async def release(self) -> None:
        """Release the lease, so that another instance need not wait for its term."""
        self.lease.wanted = False
        while self.lease.is_held(self.timers.now_ms()):
            await asyncio.sleep(await self.run_once() / 1_000)

    async def _put(self, step: Write) -> result.Result[int, results.WriteError]:
        if step.if_version:
            key = self.lease.key
            return await self.objects.put(key, step.value, if_version=step.if_version)
        return await self.objects.put(self.lease.key, step.value, if_absent=True)

    def _log_change(self, before: int | None) -> None:
        after = self.lease.fence
        if before is not None and after != before:
            events.emit(LOST, name=self.lease.name, fence=before)
        if after is not None and after != before:
            events.emit(ACQUIRED, name=self.lease.name, fence=after)
