"""One shard of the claim log: group commit by conditional write.

One write is in flight at a time; whatever arrives meanwhile goes into the next. The
write is conditional on the version of the tail that the plan was made against, so a
former owner, or one of two that write at once, fails and reads on. After a lost
answer the tail is read back before anything else is decided.
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
    "Shorten claim_retention_ms, or let large callers use tickets.",
)


class Pending(typing.NamedTuple):
    """A request that waits for the next write; ``due_ms`` is monotonic."""

    entry: ledger.Entry
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
        pause: backoff.Backoff,
    ) -> None:
        self.objects = objects
        self.clock = clock
        self.name = name
        self.retention_ms = retention_ms
        self.pause = pause
        self.ledger = ledger.Ledger()
        self.tail = ledger.Tail(0, [])
        self.version: int | None = None
        self.history = history.Segments(objects, name)
        self.writes = 0
        self.used_ms = clock.now_ms()
        self._pending: list[Pending] = []
        self._worker: asyncio.Future = _done()
        self._tidy: asyncio.Future = _done()
        self._expired_ms = -math.inf
        self._urgent = asyncio.Event()
        self._tokens = BURST_WRITES
        self._filled_ms = clock.now_ms()

    async def submit(self, entry: ledger.Entry, wait_ms: float) -> ledger.Decision:
        """Return the decision on an entry once the log holds it.

        Unavailable after ``wait_ms``: the entry may still be written later, so a
        claim that ends so must be given up for good.
        """
        self.used_ms = self.clock.now_ms()
        if len(self._pending) >= MAX_PENDING:
            return ledger.Unavailable("the claim log has too many waiting calls")
        if entry.kind is ledger.Kind.CLAIM and self._full():
            events.emit(FULL, shard=self.name)
            return ledger.Unavailable("the claim log is full")
        decided = asyncio.get_running_loop().create_future()
        due_ms = self.used_ms + wait_ms
        self._pending.append(Pending(entry, due_ms, decided))
        if entry.kind is ledger.Kind.CLAIM:
            self._urgent.set()
        if self._worker.done():
            self._worker = asyncio.ensure_future(self._work())
        try:
            async with asyncio.timeout(wait_ms / 1_000):
                return await decided
        except TimeoutError:
            return ledger.Unavailable("the platform did not take the claim in time")

    def _full(self) -> bool:
        if len(self.ledger.records) >= MAX_RECORDS:
            self._expire()
        return len(self.ledger.records) >= MAX_RECORDS

    def _expire(self) -> None:
        """Forget old claims; a pass over all of them is made now and then only."""
        now_ms = self.clock.now_ms()
        if now_ms >= self._expired_ms + EXPIRE_PERIOD_MS:
            self._expired_ms = now_ms
            self.ledger.expire(self.clock.wall_ms() - self.retention_ms())

    @property
    def idle(self) -> bool:
        """Tell whether nothing waits to be written."""
        return not self._pending and self._worker.done() and self._tidy.done()

    async def close(self) -> None:
        """Stop writing; what waits is left undecided."""
        for task in (self._worker, self._tidy):
            task.cancel()
        await asyncio.gather(self._worker, self._tidy, return_exceptions=True)

    async def _work(self) -> None:
        while self._pending:
            await self._pace()
            if self.version is None and not await self._catch_up():
                continue
            batch = self._batch()
            if batch:
                await self._commit(batch)

    async def _pace(self) -> None:
        """Wait for a write to be due: at once for claims, later for records."""
        claims = any(item.entry.kind is ledger.Kind.CLAIM for item in self._pending)
        if not claims:
            await self._claim_within(RECORD_DELAY_MS)
        self._urgent.clear()
        self._refill()
        if self._tokens < 1.0:
            await asyncio.sleep((1.0 - self._tokens) / WRITES_PER_S)

    async def _claim_within(self, wait_ms: float) -> None:
        self._urgent.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1_000):
                await self._urgent.wait()

    def _refill(self) -> None:
        now_ms = self.clock.now_ms()
        gained = (now_ms - self._filled_ms) * WRITES_PER_S / 1_000
        self._tokens = min(BURST_WRITES, self._tokens + gained)
        self._filled_ms = now_ms

    async def _commit(self, batch: list[Pending]) -> None:
        """Decide on a batch by a write, or by a fresh read if none is needed.

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
        room_bytes = MAX_BATCH_BYTES
        for item in self._pending:
            room_bytes -= ledger.size_bytes(item.entry)
            if room_bytes < 0 and batch:
                break
            batch.append(item)
        return batch

    def _plan(self, batch: list[Pending]) -> ledger.Plan:
        entries = [item.entry for item in batch]
        now_ms = self.clock.wall_ms()
        return ledger.plan(self.ledger, entries, now_ms, self.retention_ms())

    def _decide(self, batch: list[Pending], decisions: list[ledger.Decision]) -> None:
        for item, decision in zip(batch, decisions, strict=True):
            if not item.decided.done():
                item.decided.set_result(decision)
        taken = {id(item) for item in batch}
        self._pending = [item for item in self._pending if id(item) not in taken]

    async def _write(self, entries: list[ledger.Entry]) -> bool:
        """Append entries; False leaves their fate open until the log is read."""
        tail = await self._next_tail(entries)
        self._refill()
        self._tokens -= 1.0
        self.writes += 1
        written = await self.objects.put(self.tail_key, tail, if_version=self.version)
        if not isinstance(written, result.Success):
            return False
        rolled = tail.rolled > self.tail.rolled
        self._adopt(tail, written.unwrap())
        if rolled:
            self._tidy = asyncio.ensure_future(self.history.tidy(tail.oldest))
        return True

    async def _next_tail(self, entries: list[ledger.Entry]) -> ledger.Tail:
        """Return the next tail, with the present one in the history if it is full."""
        start, held, oldest = self.tail
        if sum(map(ledger.size_bytes, held)) < ROLL_BYTES or not self._tidy.done():
            return ledger.Tail(start, held + entries, oldest)
        newest_ms = max(entry.time_ms for entry in held)
        if not await self.history.append(ledger.History(start, held), newest_ms):
            return ledger.Tail(start, held + entries, oldest)
        oldest_ms = self.clock.wall_ms() - self.retention_ms()
        self._expire()
        for segment in self.history.expired(oldest_ms):
            oldest = max(oldest, segment.end)
        return ledger.Tail(start + len(held), entries, oldest)

    def _adopt(self, tail: ledger.Tail, version: int) -> None:
        self.tail = tail
        self.version = version
        self.ledger.absorb(tail.rolled, tail.entries)

    async def _catch_up(self) -> bool:
        """Read the log up to its end; False, after a pause, if that fails."""
        if await self._read():
            self.pause.reset()
            return True
        await asyncio.sleep(self.pause.next_ms() / 1_000)
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
        if tail.rolled > self.ledger.applied:
            if not await self.history.read(self.ledger, tail.oldest):
                return False
            if tail.rolled > max(self.ledger.applied, tail.oldest):
                return False
        self._adopt(tail, record.version)
        return True

    @property
    def tail_key(self) -> str:
        """Return the platform key of the tail."""
        return f"claim-tails/{self.name}"


def _done() -> asyncio.Future:
    """Return a future that stands for work that is not under way."""
    future = asyncio.get_running_loop().create_future()
    future.set_result(None)
    return future
