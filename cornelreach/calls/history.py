"""History objects of one shard of the claim log.

The key of an object contains the number of the entry that follows its last one. A
reader that knows the log up to some number lists the keys after it and misses nothing:
a merge first writes the merged object under the last of the merged keys and only then
deletes the other objects.
"""

import asyncio
import typing

import msgspec
from returns import result

from cornelreach.calls import ledger
from cornelreach.platform import results

MERGE_COUNT = 16
MERGED_BYTES = 262_144


class Segment(typing.NamedTuple):
    """One history object; ``newest_ms`` is the wall time of its newest entry."""

    end: int
    version: int
    size_bytes: int
    newest_ms: int


class Segments:
    """The history objects of a shard that this instance knows of."""

    def __init__(self, objects: results.ObjectStore, shard: str) -> None:
        self.objects = objects
        self.prefix = f"claims/{shard}/"
        self.known: dict[int, Segment] = {}

    def key(self, end: int) -> str:
        """Return the platform key of the object that ends before entry ``end``."""
        return f"{self.prefix}{end:015d}"

    async def append(self, content: ledger.History, newest_ms: int) -> bool:
        """Store a part of the log; True if any instance has stored it."""
        end = content.start + len(content.entries)
        written = await self.objects.put(self.key(end), content, if_absent=True)
        if isinstance(written, result.Success):
            self._remember(end, written.unwrap(), content, newest_ms)
            return True
        return isinstance(written.failure(), results.Conflict)

    async def read(self, into: ledger.Ledger, oldest: int) -> bool:
        """Apply later entries to a ledger; False if they cannot be read.

        Entries numbered below ``oldest`` may be missing, others may not. Yields to the
        event loop after each object, so that a long history does not stall streams.
        """
        listed = await self.objects.list(self.prefix, after=self.key(into.applied))
        if isinstance(listed, result.Failure):
            return False
        for record in listed.unwrap().records:
            try:
                content = ledger.decode_history(record.value)
            except msgspec.ValidationError:
                return False
            if content.start > max(into.applied, oldest):
                return False
            into.apply_entries(content.start, content.entries)
            newest_ms = max(entry.time_ms for entry in content.entries)
            end = content.start + len(content.entries)
            self._remember(end, record.version, content, newest_ms)
            await asyncio.sleep(0)
        return True

    def expired(self, oldest_ms: float) -> list[Segment]:
        """Return the oldest objects whose entries are all older than ``oldest_ms``."""
        found: list[Segment] = []
        for segment in sorted(self.known.values()):
            if segment.newest_ms >= oldest_ms:
                break
            found.append(segment)
        return found

    async def compact(self, oldest: int) -> None:
        """Delete objects that end by entry ``oldest``; merge many small objects."""
        for segment in sorted(self.known.values()):
            if segment.end <= oldest:
                await self._delete(segment)
        small = self._mergeable()
        if len(small) >= MERGE_COUNT:
            await self._merge(small)

    def _mergeable(self) -> list[Segment]:
        """Return the newest objects that fit into one merged object."""
        chosen: list[Segment] = []
        free_bytes = MERGED_BYTES
        for segment in sorted(self.known.values(), reverse=True):
            free_bytes -= segment.size_bytes
            if free_bytes < 0:
                break
            chosen.append(segment)
        return chosen[::-1]

    async def _merge(self, small: list[Segment]) -> None:
        contents: list[ledger.History] = []
        for segment in small:
            found = await self.objects.get(self.key(segment.end))
            if isinstance(found, result.Failure):
                self.known.pop(segment.end)
                return
            contents.append(ledger.decode_history(found.unwrap().value))
        merged = concatenate(contents)
        if merged is None:
            self._forget(small[:-1])
            return
        last = small[-1]
        key = self.key(last.end)
        written = await self.objects.put(key, merged, if_version=last.version)
        if isinstance(written, result.Failure):
            self.known.pop(last.end)
            return
        self._remember(last.end, written.unwrap(), merged, last.newest_ms)
        for segment in small[:-1]:
            await self._delete(segment)

    def _forget(self, segments: list[Segment]) -> None:
        for segment in segments:
            self.known.pop(segment.end, None)

    async def _delete(self, segment: Segment) -> None:
        self.known.pop(segment.end, None)
        await self.objects.delete(self.key(segment.end), segment.version)

    def _remember(
        self, end: int, version: int, content: ledger.History, newest_ms: int
    ) -> None:
        size_bytes = sum(map(ledger.size_bytes, content.entries))
        self.known[end] = Segment(end, version, size_bytes, newest_ms)


def concatenate(contents: list[ledger.History]) -> ledger.History | None:
    """Concatenate successive parts of the log; None if there is a gap."""
    start = contents[0].start
    entries: list[ledger.LogEntry] = []
    for content in contents:
        overlap = start + len(entries) - content.start
        if overlap < 0:
            return None
        entries += content.entries[overlap:]
    return ledger.History(start, entries)
