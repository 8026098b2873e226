"""One shard of the claim log: group commit with conditional writes.

One write is in flight at a time; entries that arrive meanwhile go into the next. A
write requires the version of the tail that its plan was based on, so that it fails for
a former owner, or for one of two concurrent writers, which then reads the new entries.
If the answer to a write is lost, the tail is read before anything else is decided.
"""

import asyncio
import contextlib
import math
import typing

import msgspec
from returns import result

from cornelreach.calls import history, ledger
from cornelreach.platform import backoff, results
from cornelreach.util import events, timers

WRITES_PER_S = 3.0
BURST_WRITES = 3.0
RETRY_MS = 50
RETRY_LIMIT_MS = 500
RECORD_DELAY_MS = 300
MAX_PENDING = 4_096
MAX_BATCH_BYTES = 262_144
ROLL_BYTES = 16_384
MAX_RECORDS = 150_000
EXPIRE_PERIOD_MS = 30_000

UNREADABLE = events.define(
    1611,
    "ERROR",
    "Claim log object {key} is unreadable: {error}.",
    "Calls with keys of this shard are refused as not run. Restore the object.",
)
FULL = events.define(
    1612,
    "WARNING",
    "Shard {shard} of the claim log is full.",
    "Shorten claim_retention_ms, or have callers with many calls use tickets.",
)


class Pending(typing.NamedTuple):
    """An entry that waits for the next write; ``due_ms`` is monotonic time."""

    entry: ledger.LogEntry
    due_ms: float
    decided: asyncio.Future


class Shard:
    """The log of one shard as this instance reads and writes it."""

    def __init__(
        self,
        objects: results.ObjectStore,
        clock: timers.Timers,
        name: str,
        retention_ms: typing.Callable[[], float],
        retry_backoff: backoff.Backoff,
    ) -> None:
        self.objects = objects
        self.clock = clock
        self.name = name
        self.retention_ms = retention_ms
        self.retry_backoff = retry_backoff
        self.ledger = ledger.Ledger()
        self.tail = ledger.Tail(0, [])
        self.version: int | None = None
        self.history = history.Segments(objects, name)
        self.writes = 0
        self.used_ms = clock.now_ms()
        self._pending: list[Pending] = []
        self._worker: asyncio.Future = _finished_future()
        self._compaction: asyncio.Future = _finished_future()
        self._expired_ms = -math.inf
        self._claim_pending = asyncio.Event()
        self._tokens = BURST_WRITES
        self._refilled_ms = clock.now_ms()

    async def submit(self, entry: ledger.LogEntry, wait_ms: float) -> ledger.Decision:
        """Return the decision on an entry once the log holds it.

        Returns Unavailable after ``wait_ms``. The entry may still be written later, so
        the attempt of such a claim must be abandoned for good.
        """
        self.used_ms = self.clock.now_ms()
        if len(self._pending) >= MAX_PENDING:
            return ledger.Unavailable("the claim log has too many pending entries")
        if entry.kind is ledger.EntryKind.CLAIM and self._full():
            events.emit(FULL, shard=self.name)
            return ledger.Unavailable("the claim log is full")
        decided = asyncio.get_running_loop().create_future()
        due_ms = self.used_ms + wait_ms
        self._pending.append(Pending(entry, due_ms, decided))
        if entry.kind is ledger.EntryKind.CLAIM:
            self._claim_pending.set()
        if self._worker.done():
            self._worker = asyncio.ensure_future(self._work())
        try:
            async with asyncio.timeout(wait_ms / 1_000):
                return await decided
        except TimeoutError:
            return ledger.Unavailable("the platform did not store the claim in time")

    def _full(self) -> bool:
        if len(self.ledger.records) >= MAX_RECORDS:
            self._expire()
        return len(self.ledger.records) >= MAX_RECORDS

    def _expire(self) -> None:
        """Remove old claims; scans all of them, so only every EXPIRE_PERIOD_MS."""
        now_ms = self.clock.now_ms()
        if now_ms >= self._expired_ms + EXPIRE_PERIOD_MS:
            self._expired_ms = now_ms
            self.ledger.expire(self.clock.wall_ms() - self.retention_ms())

    @property
    def idle(self) -> bool:
        """Tell whether no write or compaction is pending."""
        return not self._pending and self._worker.done() and self._compaction.done()

    async def close(self) -> None:
        """Stop writing; pending entries are left undecided."""
        for task in (self._worker, self._compaction):
            task.cancel()
        await asyncio.gather(self._worker, self._compaction, return_exceptions=True)

    async def _work(self) -> None:
        while self._pending:
            await self._wait_for_turn()
            if self.version is None and not await self._catch_up():
                continue
            batch = self._batch()
            if batch:
                await self._commit(batch)

    async def _wait_for_turn(self) -> None:
        """Wait until a write is due: at once for claims, delayed for other entries.

        Writes are limited to ``WRITES_PER_S`` on average.
        """
        claims = any(
            item.entry.kind is ledger.EntryKind.CLAIM for item in self._pending
        )
        if not claims:
            await self._wait_for_claim(RECORD_DELAY_MS)
        self._claim_pending.clear()
        self._refill_tokens()
        if self._tokens < 1.0:
            await asyncio.sleep((1.0 - self._tokens) / WRITES_PER_S)

    async def _wait_for_claim(self, wait_ms: float) -> None:
        self._claim_pending.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1_000):
                await self._claim_pending.wait()

    def _refill_tokens(self) -> None:
        now_ms = self.clock.now_ms()
        added = (now_ms - self._refilled_ms) * WRITES_PER_S / 1_000
        self._tokens = min(BURST_WRITES, self._tokens + added)
        self._refilled_ms = now_ms

    async def _commit(self, batch: list[Pending]) -> None:
        """Decide on a batch by writing its entries, or by a new read if it has none.

        A batch that is left undecided is planned again after the next read.
        """
        planned = self._plan(batch)
        if planned.entries:
            if await self._write(planned.entries):
                self._decide(batch, planned.decisions)
            else:
                await self._catch_up()
        elif await self._catch_up():
            planned = self._plan(batch)
            if not planned.entries:
                self._decide(batch, planned.decisions)

    def _batch(self) -> list[Pending]:
        now_ms = self.clock.now_ms()
        self._pending = [
            item
            for item in self._pending
            if not item.decided.done() and item.due_ms > now_ms
        ]
        batch: list[Pending] = []
        free_bytes = MAX_BATCH_BYTES
        for item in self._pending:
            free_bytes -= ledger.size_bytes(item.entry)
            if free_bytes < 0 and batch:
                break
            batch.append(item)
        return batch

    def _plan(self, batch: list[Pending]) -> ledger.BatchPlan:
        entries = [item.entry for item in batch]
        now_ms = self.clock.wall_ms()
        return ledger.plan(self.ledger, entries, now_ms, self.retention_ms())

    def _decide(self, batch: list[Pending], decisions: list[ledger.Decision]) -> None:
        for item, decision in zip(batch, decisions, strict=True):
            if not item.decided.done():
                item.decided.set_result(decision)
        batch_ids = {id(item) for item in batch}
        self._pending = [item for item in self._pending if id(item) not in batch_ids]

    async def _write(self, entries: list[ledger.LogEntry]) -> bool:
        """Append entries; after False, they may or may not have been written."""
        tail = await self._next_tail(entries)
        self._refill_tokens()
        self._tokens -= 1.0
        self.writes += 1
        written = await self.objects.put(self.tail_key, tail, if_version=self.version)
        if not isinstance(written, result.Success):
            return False
        moved = tail.start > self.tail.start
        self._adopt(tail, written.unwrap())
        if moved:
            self._compaction = asyncio.ensure_future(self.history.compact(tail.oldest))
        return True

    async def _next_tail(self, entries: list[ledger.LogEntry]) -> ledger.Tail:
        """Return the next tail; a full one is first moved to the history."""
        start, current, oldest = self.tail
        if (
            sum(map(ledger.size_bytes, current)) < ROLL_BYTES
            or not self._compaction.done()
        ):
            return ledger.Tail(start, current + entries, oldest)
        newest_ms = max(entry.time_ms for entry in current)
        if not await self.history.append(ledger.History(start, current), newest_ms):
            return ledger.Tail(start, current + entries, oldest)
        oldest_ms = self.clock.wall_ms() - self.retention_ms()
        self._expire()
        for segment in self.history.expired(oldest_ms):
            oldest = max(oldest, segment.end)
        return ledger.Tail(start + len(current), entries, oldest)

    def _adopt(self, tail: ledger.Tail, version: int) -> None:
        self.tail = tail
        self.version = version
        self.ledger.apply_entries(tail.start, tail.entries)

    async def _catch_up(self) -> bool:
        """Read the log up to its end; if that fails, back off and return False."""
        if await self._read():
            self.retry_backoff.reset()
            return True
        await asyncio.sleep(self.retry_backoff.next_ms() / 1_000)
        return False

    async def _read(self) -> bool:
        found = await self.objects.get(self.tail_key)
        if isinstance(found, result.Failure):
            absent = isinstance(found.failure(), results.NotFound)
            if absent and self.version is None:
                self.version = 0
            return absent
        record = found.unwrap()
        if record.version == self.version:
            return True
        try:
            tail = ledger.decode_tail(record.value)
        except msgspec.ValidationError as error:
            events.emit(UNREADABLE, key=self.tail_key, error=error)
            return False
        if tail.start > self.ledger.applied:
            if not await self.history.read(self.ledger, tail.oldest):
                return False
            if tail.start > max(self.ledger.applied, tail.oldest):
                return False
        self._adopt(tail, record.version)
        return True

    @property
    def tail_key(self) -> str:
        """Return the platform key of the tail."""
        return f"claim-tails/{self.name}"


def _finished_future() -> asyncio.Future:
    """Return a finished future, in the place of a task not yet started."""
    future = asyncio.get_running_loop().create_future()
    future.set_result(None)
    return future
