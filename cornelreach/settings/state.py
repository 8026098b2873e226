"""The items that one instance holds, each at the highest version it has seen.

Knowledge only grows: an entry is replaced only by a higher version, and a deletion is
an entry too. ``revision`` is the point up to which the state is complete; entries that
arrived ahead of it are in force at once and do not move it::

    state = State()
    state.apply(Delta(0, 7, (Entry("settings/account/tirnica", 7, {...}),)))
    state.delta(since=0)
"""

import bisect
import typing

from cornelreach.platform import results
from cornelreach.util import hashing

TOMBSTONES = 20_000
DELTA_BYTES = 262_144

Entry = results.Record


class Delta(typing.NamedTuple):
    """What changed after ``since``, complete up to ``revision``.

    A ``revision`` of 0 marks a page that is not the last. A delta of a whole state
    (``whole``) says that a key that is not in it and has no higher version than
    ``revision`` does not exist.
    """

    since: int
    revision: int
    entries: tuple[Entry, ...]
    whole: bool = False


class Changed(typing.NamedTuple):
    """Told to subscribers: entries that are in force from now on."""

    entries: tuple[Entry, ...]
    revision: int


Subscriber = typing.Callable[[Changed], None]


class State:
    """The aggregate of all held entries.

    Deletions are forgotten beyond ``tombstones`` of them; ``horizon`` is the highest
    version forgotten. An unknown entry at or below the revision is one that was
    deleted since.
    """

    def __init__(self, tombstones: int = TOMBSTONES) -> None:
        self.revision = 0
        self.digest = 0
        self.horizon = 0
        self._tombstones = tombstones
        self._entries: dict[str, Entry] = {}
        self._order: list[tuple[int, str]] = []
        self._deleted = 0
        self._subscribers: list[Subscriber] = []

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call ``subscriber`` with each Changed from now on."""
        self._subscribers.append(subscriber)

    def get(self, key: str) -> Entry | None:
        """Return the entry of a key, a deletion included, or None."""
        return self._entries.get(key)

    def live(self) -> list[Entry]:
        """Return the entries that are not deletions, in the order of their keys."""
        held = [entry for entry in self._entries.values() if entry.value is not None]
        return sorted(held)

    def apply(self, delta: Delta) -> tuple[Entry, ...]:
        """Take over what is newer than held and return it.

        The revision moves only if the delta starts at or before it, so a delta that
        arrives ahead of another leaves no gap unseen.
        """
        candidates = delta.entries
        if delta.whole:
            candidates += self._missing(delta)
        changed = tuple(entry for entry in candidates if self._take(entry))
        if delta.whole or delta.since <= self.revision:
            self.revision = max(self.revision, delta.revision)
        self._compact()
        if changed:
            event = Changed(changed, self.revision)
            for subscriber in self._subscribers:
                subscriber(event)
        return changed

    def delta(
        self,
        since: int,
        after: int | None = None,
        limit_bytes: int = DELTA_BYTES,
        forgotten: bool = False,
    ) -> Delta | None:
        """Return the changes after ``since``, oldest first, up to a size.

        A page that is not the last has revision 0; the next one begins ``after`` its
        last entry. None if deletions after ``since`` are forgotten, unless
        ``forgotten`` says that the receiver can do without: then only a whole listing
        helps. An empty receiver (``since`` 0) misses no deletion.
        """
        if 0 < since < self.horizon and not forgotten:
            return None
        first = since if after is None else after
        start = bisect.bisect_right(self._order, (first, "\U0010ffff"))
        chosen: list[Entry] = []
        size_bytes = 0
        for version, key in self._order[start:]:
            if version > self.revision:
                break
            entry = self._entries.get(key)
            if entry is None or entry.version != version:
                continue
            size_bytes += size_of(entry)
            if chosen and size_bytes > limit_bytes:
                return Delta(since, 0, tuple(chosen))
            chosen.append(entry)
        return Delta(since, self.revision, tuple(chosen))

    def _missing(self, delta: Delta) -> tuple[Entry, ...]:
        named = {entry.key for entry in delta.entries}
        return tuple(
            Entry(key, delta.revision, None)
            for key, entry in self._entries.items()
            if key not in named
            and entry.value is not None
            and entry.version < delta.revision
        )

    def _take(self, entry: Entry) -> bool:
        held = self._entries.get(entry.key)
        known_up_to = self.revision if held is None else held.version
        if entry.version <= known_up_to:
            return False
        self._count(held, -1)
        self._count(entry, 1)
        self._entries[entry.key] = entry
        bisect.insort(self._order, (entry.version, entry.key))
        return True

    def _count(self, entry: Entry | None, step: int) -> None:
        if entry is None:
            return
        if entry.value is None:
            self._deleted += step
            return
        self.digest ^= hashing.score(entry.key.encode(), str(entry.version))

    def _compact(self) -> None:
        if len(self._order) > 2 * len(self._entries) + 100:
            self._order = sorted(
                (entry.version, key) for key, entry in self._entries.items()
            )
        if self._deleted <= self._tombstones:
            return
        dead = [
            entry
            for entry in self._entries.values()
            if entry.value is None and entry.version <= self.revision
        ]
        dead.sort(key=lambda entry: entry.version)
        for entry in dead[: self._deleted - self._tombstones // 2]:
            del self._entries[entry.key]
            self._deleted -= 1
            self.horizon = entry.version


def size_of(entry: Entry) -> int:
    """Return about how many bytes an entry takes in a message."""
    fields = entry.value or {}
    return len(entry.key) + 16 + sum(len(str(field)) + 12 for field in fields.items())
