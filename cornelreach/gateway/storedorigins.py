"""Origins of streams in the platform's store, for when all that knew them are gone.

Other instances keep the origin of a stream in memory (``streamorigins``), so it is lost
if they are killed together. While targets of several software versions serve, each
instance therefore keeps the origins of its streams in an entry of its own as well. They
are written together, as often as a share of the store's rate of writes allows::

    origins.record("9c41d07be2a35f68", Origin("llm-pool", "2.4.1"), 15_000)
    origin = await origins.find("9c41d07be2a35f68")  # None if no entry has it

Hashes of attempts do not recur, so an entry stays true. The process that writes it next
under the same name deletes what has ended.
"""

import asyncio
import typing

from returns import result

from cornelreach.gateway import mirror as mirror_module, streamorigins
from cornelreach.platform import origins, results
from cornelreach.util import hashing, timers

WRITE_SHARE = 0.25  # of the store's rate of writes, for all instances together
MAX_KEPT = 256  # origins in one entry
READ_PAUSE_MS = 500.0  # an instance lists the entries of all others
RETRY_MS = 1_000.0  # after a write that failed
CHECK_MS = 2_000.0
FORGET_MS = 60_000.0  # what was read of the others
RECORDS_AT_ONCE = 16  # entries decoded in one turn of the event loop


class _Kept(typing.NamedTuple):
    origin: streamorigins.Origin
    until_ms: float


class StoredOrigins:
    """This instance's entry, and what was last read of all entries."""

    def __init__(
        self,
        objects: results.ObjectStore,
        mirror: mirror_module.Mirror,
        clock: timers.Timers,
        writes_per_s: float,
    ) -> None:
        self.objects = objects
        self.mirror = mirror
        self.clock = clock
        self.writes_per_s = writes_per_s
        self._own: dict[int, _Kept] = {}
        self._version: int | None = None  # of the entry; 0 if there is none
        self._is_changed = False
        self._writing: asyncio.Task[None] | None = None
        self._read: dict[int, streamorigins.Origin] = {}
        self._asked_ms = float("-inf")  # when the entries were last asked for
        self._reading = asyncio.Lock()

    # Streams of this instance.

    def record(
        self, attempt: str, origin: streamorigins.Origin, keep_ms: float
    ) -> None:
        """Write the origin of a stream soon, and keep it for ``keep_ms``."""
        until_ms = self.clock.now_ms() + keep_ms
        self._own[hashing.name_hash(attempt)] = _Kept(origin, until_ms)
        while len(self._own) > MAX_KEPT:
            del self._own[next(iter(self._own))]
        self._write_soon()

    def check(self) -> None:
        """Delete the entry once its streams have ended; called periodically."""
        now_ms = self.clock.now_ms()
        if self._asked_ms < now_ms - FORGET_MS:
            self._read = {}
        has_ended = all(one.until_ms < now_ms for one in self._own.values())
        if self._version and has_ended:
            self._write_soon()

    def forget_version(self) -> None:
        """Write the entry again, which an older copy of the store may lack."""
        if self._version is not None:
            self._version = None
            self._write_soon()

    def close(self) -> None:
        """End all calls to the store."""
        if self._writing is not None:
            self._writing.cancel()

    def _write_soon(self) -> None:
        self._is_changed = True
        if self._writing is None or self._writing.done():
            self._writing = asyncio.ensure_future(self._write_changes())

    async def _write_changes(self) -> None:
        while self._is_changed:
            self._is_changed = False
            pause_ms = self._pause_ms()
            if not await self._write():
                self._is_changed = True
                pause_ms = max(pause_ms, RETRY_MS)
            await asyncio.sleep(pause_ms / 1_000)

    def _pause_ms(self) -> float:
        size = self.mirror.fleet.size
        return 1_000 * size / max(1.0, self.writes_per_s * WRITE_SHARE)

    async def _write(self) -> bool:
        """Write or delete the entry; returns whether that is known to be done."""
        if self._version is None and not await self._read_entries():
            return False
        now_ms = self.clock.now_ms()
        self._own = {k: one for k, one in self._own.items() if one.until_ms >= now_ms}
        key, version = origins.key(self.mirror.fleet.name), self._version or 0
        kept = {k: one.origin for k, one in self._own.items()}
        if kept:
            outcome = await self.objects.put(
                key, origins.value(kept), version or None, if_absent=not version
            )
        elif version:
            outcome = await self.objects.delete(key, version)
        else:
            return True
        if isinstance(outcome, result.Success):
            self._version = outcome.unwrap() if kept else 0
            return True
        if not isinstance(outcome.failure(), results.Unavailable):
            self._version = None
        return False

    # Streams of all instances.

    async def find(self, attempt: str) -> streamorigins.Origin | None:
        """Return the origin of a stream, or None if no entry has it.

        The entries are read again unless they were a moment ago.
        """
        key, asked_ms = hashing.name_hash(attempt), self.clock.now_ms()
        if key not in self._read:
            async with self._reading:
                if self._asked_ms < asked_ms - READ_PAUSE_MS:
                    await self._list()
        return self._read.get(key)

    async def _read_entries(self) -> bool:
        async with self._reading:
            return await self._list()

    async def _list(self) -> bool:
        """Read all entries; that of this name is taken over from an earlier process."""
        self._asked_ms = self.clock.now_ms()
        outcome = await self.objects.list(origins.PREFIX)
        if not isinstance(outcome, result.Success):
            return False
        own_key, version = origins.key(self.mirror.fleet.name), 0
        found: dict[int, streamorigins.Origin] = {}
        for number, record in enumerate(outcome.unwrap().records, 1):
            entry = origins.read_origins(record)
            found.update((k, streamorigins.Origin(*one)) for k, one in entry.items())
            if record.key == own_key:
                version = record.version
                self._take_over(entry)
            if number % RECORDS_AT_ONCE == 0:
                await asyncio.sleep(0)
        if self._version is None:
            self._version = version
        self._read = found
        return True

    def _take_over(self, entry: dict[int, tuple[str, str]]) -> None:
        if self._version is not None:
            return
        until_ms = self.clock.now_ms() + FORGET_MS
        former = {
            k: _Kept(streamorigins.Origin(*one), until_ms) for k, one in entry.items()
        }
        self._own = {**former, **self._own}
