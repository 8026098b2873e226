"""The settings that one instance holds, each at the highest version it has seen.

The state is monotonic: an entry is replaced only by one of a higher version, and a
deletion is an entry too. The state is complete up to ``revision``. Entries of higher
versions may arrive earlier; they take effect at once without advancing the revision::

    state = State()
    state.apply(Delta(0, 7, (Entry("settings/account/tirnica", 7, {...}),)))
    state.delta(since=0)
"""

import bisect
import typing

from cornelreach.platform import results
from cornelreach.util import hashing

MAX_TOMBSTONES = 20_000
DELTA_BYTES = 262_144

Entry = results.Record


class Delta(typing.NamedTuple):
    """The changes after ``since``, complete up to ``revision``.

    A ``revision`` of 0 marks a page that is not the last. A ``snapshot`` has the
    complete state: a key that is missing from it does not exist, unless its version is
    higher than ``revision``.
    """

    since: int
    revision: int
    entries: tuple[Entry, ...]
    snapshot: bool = False


class Changed(typing.NamedTuple):
    """Sent to subscribers: entries that have just taken effect."""

    entries: tuple[Entry, ...]
    revision: int


Subscriber = typing.Callable[[Changed], None]


class State:
    """The entries that an instance holds, including deletions.

    Beyond ``max_tombstones``, the oldest deletions are discarded; ``discarded_version``
    is the highest version discarded. An entry at or below the revision whose key is
    unknown has therefore been deleted since.
    """

    def __init__(self, max_tombstones: int = MAX_TOMBSTONES) -> None:
        self.revision = 0
        self.digest = 0
        self.discarded_version = 0
        self._max_tombstones = max_tombstones
        self._entries: dict[str, Entry] = {}
        self._by_version: list[tuple[int, str]] = []
        self._tombstone_count = 0
        self._subscribers: list[Subscriber] = []

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call ``subscriber`` with each later ``Changed`` event."""
        self._subscribers.append(subscriber)

    def get(self, key: str) -> Entry | None:
        """Return the entry of a key, which may be a deletion, or None."""
        return self._entries.get(key)

    def live(self) -> list[Entry]:
        """Return the entries that are not deletions, sorted by key."""
        held = [entry for entry in self._entries.values() if entry.value is not None]
        return sorted(held)

    def apply(self, delta: Delta) -> tuple[Entry, ...]:
        """Store the entries that are newer than the held ones and return them.

        The revision advances only if the delta starts at or before it, so that a delta
        that arrives out of order cannot hide a gap.
        """
        entries = delta.entries
        if delta.snapshot:
            entries += self._implied_deletions(delta)
        changed = tuple(entry for entry in entries if self._store_if_newer(entry))
        if delta.snapshot or delta.since <= self.revision:
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
        snapshot: bool = False,
    ) -> Delta | None:
        """Return a page of the changes after ``since``, oldest first.

        A page that is not the last has revision 0; the next page starts ``after`` the
        version of its last entry. Returns None if deletions after ``since`` have been
        discarded, since the receiver then needs a snapshot. Pages of a ``snapshot`` do
        not need them, nor does an empty receiver (``since`` 0).
        """
        if 0 < since < self.discarded_version and not snapshot:
            return None
        after_version = since if after is None else after
        start = bisect.bisect_right(self._by_version, (after_version, "\U0010ffff"))
        chosen: list[Entry] = []
        size_bytes = 0
        for version, key in self._by_version[start:]:
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

    def _implied_deletions(self, delta: Delta) -> tuple[Entry, ...]:
        present = {entry.key for entry in delta.entries}
        return tuple(
            Entry(key, delta.revision, None)
            for key, entry in self._entries.items()
            if key not in present
            and entry.value is not None
            and entry.version < delta.revision
        )

    def _store_if_newer(self, entry: Entry) -> bool:
        held = self._entries.get(entry.key)
        known_version = self.revision if held is None else held.version
        if entry.version <= known_version:
            return False
        self._update_totals(held, -1)
        self._update_totals(entry, 1)
        self._entries[entry.key] = entry
        bisect.insort(self._by_version, (entry.version, entry.key))
        return True

    def _update_totals(self, entry: Entry | None, sign: int) -> None:
        if entry is None:
            return
        if entry.value is None:
            self._tombstone_count += sign
            return
        self.digest ^= hashing.score(entry.key.encode(), str(entry.version))

    def _compact(self) -> None:
        if len(self._by_version) > 2 * len(self._entries) + 100:
            self._by_version = sorted(
                (entry.version, key) for key, entry in self._entries.items()
            )
        if self._tombstone_count <= self._max_tombstones:
            return
        tombstones = [
            entry
            for entry in self._entries.values()
            if entry.value is None and entry.version <= self.revision
        ]
        tombstones.sort(key=lambda entry: entry.version)
        for entry in tombstones[: self._tombstone_count - self._max_tombstones // 2]:
            del self._entries[entry.key]
            self._tombstone_count -= 1
            self.discarded_version = entry.version


def size_of(entry: Entry) -> int:
    """Return the approximate size of an entry in a message, in bytes."""
    fields = entry.value or {}
    return len(entry.key) + 16 + sum(len(str(field)) + 12 for field in fields.items())
