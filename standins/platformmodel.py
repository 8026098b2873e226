"""Model of the platform's object API, without I/O.

Every operation takes the current time and returns one typed result, so that tests can
run it in virtual time and ``standins.platform`` can serve it over HTTP::

    model = Model()
    model.put("a", b"1", if_version=0, now_ms=0.0)  # Written(version=1)
    model.put("a", b"2", if_version=0, now_ms=0.0)  # Mismatch(version=1)
"""

import bisect
import collections
import typing

MAX_VALUE_BYTES = 1_048_576
MAX_PAGE_ITEMS = 1_000
MAX_PAGE_BYTES = 4_194_304
MAX_CHANGES = 20_000
ABSENT = 0


class Object(typing.NamedTuple):
    """A stored value and the revision of its last change, or of its status.

    ``created`` is the revision that created it, in place of a time.
    """

    key: str
    version: int
    value: bytes
    created: int = 0
    status: bytes | None = None


class Change(typing.NamedTuple):
    """One entry of the change log; a deleted object has no value."""

    key: str
    version: int
    value: bytes | None
    created: int = 0
    status: bytes | None = None


class Instance(typing.NamedTuple):
    """One entry of the platform's list of instances."""

    name: str
    data_centre: str
    peer_address: str
    state: str = "live"


class Written(typing.NamedTuple):
    """The write or deletion took effect at this revision."""

    version: int


class Mismatch(typing.NamedTuple):
    """The precondition failed; ``version`` is the current one, 0 if absent."""

    version: int


class Missing(typing.NamedTuple):
    """No object has this key."""

    key: str


class TooLarge(typing.NamedTuple):
    """The value exceeds the limit."""

    limit_bytes: int


class Throttled(typing.NamedTuple):
    """The rate limit is reached."""

    retry_after_ms: int


class Outage(typing.NamedTuple):
    """The store is in an outage."""

    retry_after_ms: int


class AnswerLost(typing.NamedTuple):
    """The write took effect, but its response must not reach the client."""

    version: int


class Page(typing.NamedTuple):
    """One page of a list; ``next`` is the last key if more pages follow, else None."""

    revision: int
    items: list[Object]
    next: str | None


class Changes(typing.NamedTuple):
    """The changes after a revision."""

    revision: int
    changes: list[Change]


class Compacted(typing.NamedTuple):
    """The change log no longer contains the changes after the requested revision."""

    oldest: int


class Faults(typing.NamedTuple):
    """Faults and limits that a test sets; ``lose_answers`` counts the next writes."""

    outage_ms: float = 0.0
    slow_ms: float = 0.0
    lose_answers: int = 0
    reads_per_s: float = 2_000.0
    writes_per_s: float = 500.0
    list_lag_ms: float = 0.0


Refused = Throttled | Outage


class Copy(typing.NamedTuple):
    """A copy of the objects and of the change log at one moment."""

    era: int
    revision: int
    objects: dict[str, Object]
    log: tuple[Change, ...]


class Bucket:
    """A token bucket that holds at most one second of its rate."""

    def __init__(self, rate_per_s: float) -> None:
        self.rate_per_s = rate_per_s
        self.tokens = rate_per_s
        self.filled_ms = 0.0

    def take(self, now_ms: float) -> int | None:
        """Take a token; return None, or the wait in milliseconds if there is none."""
        gained = max(0.0, now_ms - self.filled_ms) * self.rate_per_s / 1_000
        self.tokens = min(self.rate_per_s, self.tokens + gained)
        self.filled_ms = max(self.filled_ms, now_ms)
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return None
        return 1 + int((1.0 - self.tokens) / max(self.rate_per_s, 0.001) * 1_000)


class Model:
    """Objects, their change log, the list of instances and the faults."""

    def __init__(
        self, faults: Faults | None = None, kept_changes: int = MAX_CHANGES
    ) -> None:
        self.faults = faults or Faults()
        self.revision = 0
        self.era = 0
        self.kept_changes = kept_changes
        self.reads = 0
        self.writes = 0
        self._objects: dict[str, Object] = {}
        self._keys: list[str] = []
        self._log: collections.deque[Change] = collections.deque()
        self._compacted = 0
        self._outage_until_ms = 0.0
        self._read_bucket = Bucket(self.faults.reads_per_s)
        self._write_bucket = Bucket(self.faults.writes_per_s)
        self._instance_lists: list[tuple[float, list[Instance]]] = [(-float("inf"), [])]

    def set_faults(self, changed: dict[str, float], now_ms: float) -> None:
        """Replace the given faults; an outage starts now."""
        self.faults = self.faults._replace(**changed)
        self._read_bucket.rate_per_s = self.faults.reads_per_s
        self._write_bucket.rate_per_s = self.faults.writes_per_s
        if "outage_ms" in changed:
            self._outage_until_ms = now_ms + self.faults.outage_ms

    def get(self, key: str, now_ms: float) -> Object | Missing | Refused:
        """Return the object with a key."""
        refused = self._admit(self._read_bucket, now_ms)
        if refused is not None:
            return refused
        self.reads += 1
        return self._objects.get(key) or Missing(key)

    def page(
        self, prefix: str, after: str, limit: int, now_ms: float
    ) -> Page | Refused:
        """Return objects whose key has a prefix, in key order."""
        refused = self._admit(self._read_bucket, now_ms)
        if refused is not None:
            return refused
        self.reads += 1
        return self._page(prefix, after, max(1, min(limit, MAX_PAGE_ITEMS)))

    def put(
        self, key: str, value: bytes, if_version: int, now_ms: float
    ) -> Written | Mismatch | TooLarge | AnswerLost | Refused:
        """Write a value if the current version is ``if_version`` (0: absent)."""
        refused = self._admit(self._write_bucket, now_ms)
        if refused is not None:
            return refused
        if len(value) > MAX_VALUE_BYTES:
            return TooLarge(MAX_VALUE_BYTES)
        current = self.version_of(key)
        if current != if_version:
            return Mismatch(current)
        return self._write(key, value)

    def put_status(
        self, key: str, status: bytes, if_version: int, now_ms: float
    ) -> Written | Mismatch | Missing | AnswerLost | Refused:
        """Write an object's status; the same status again changes nothing."""
        refused = self._admit(self._write_bucket, now_ms)
        if refused is not None:
            return refused
        held = self._objects.get(key)
        if held is None:
            return Missing(key)
        if held.version != if_version:
            return Mismatch(held.version)
        if held.status == status:
            return Written(held.version)
        return self._write(key, held.value, status)

    def delete(
        self, key: str, if_version: int, now_ms: float
    ) -> Written | Mismatch | Missing | AnswerLost | Refused:
        """Delete an object if its current version is ``if_version``."""
        refused = self._admit(self._write_bucket, now_ms)
        if refused is not None:
            return refused
        current = self.version_of(key)
        if current == ABSENT:
            return Missing(key)
        if current != if_version:
            return Mismatch(current)
        return self._write(key, None)

    def watch(
        self, prefix: str, since: int, now_ms: float
    ) -> Changes | Compacted | Refused:
        """Count one watch as a read and return the changes so far."""
        refused = self._admit(self._read_bucket, now_ms)
        if refused is not None:
            return refused
        self.reads += 1
        return self.changes(prefix, since)

    def changes(self, prefix: str, since: int) -> Changes | Compacted:
        """Return the changes after a revision; not counted as a read."""
        if since < self._compacted or since > self.revision:
            return Compacted(self._compacted)
        start = bisect.bisect_right(self._log, since, key=lambda change: change.version)
        newer = [
            self._log[index]
            for index in range(start, len(self._log))
            if self._log[index].key.startswith(prefix)
        ]
        return Changes(self.revision, newer)

    def set_instances(self, instances: list[Instance], now_ms: float) -> None:
        """Replace the list of instances; it is visible after ``list_lag_ms``."""
        self._instance_lists.append((now_ms, instances))

    def has_instance_list(self) -> bool:
        """Return whether a list of instances was set, apart from the objects."""
        return len(self._instance_lists) > 1 or bool(self._instance_lists[0][1])

    def instances(self, now_ms: float) -> list[Instance] | Refused:
        """Return the list of instances as it was ``list_lag_ms`` ago."""
        refused = self._admit(self._read_bucket, now_ms)
        if refused is not None:
            return refused
        self.reads += 1
        seen_ms = now_ms - self.faults.list_lag_ms
        while len(self._instance_lists) > 1 and self._instance_lists[1][0] <= seen_ms:
            self._instance_lists.pop(0)
        return self._instance_lists[0][1]

    def version_of(self, key: str) -> int:
        """Return the current version of a key, 0 if absent; not counted as a read."""
        held = self._objects.get(key)
        return held.version if held else ABSENT

    def stored(self, key: str) -> Object:
        """Return an object that exists; not counted as a read."""
        return self._objects[key]

    def seed(self, key: str, value: bytes | None) -> None:
        """Store a value without preconditions and faults; None deletes the object."""
        if value is not None or key in self._objects:
            self._apply(key, value)

    def copy(self) -> Copy:
        """Return a copy of all objects, from which they can be restored."""
        return Copy(self.era, self.revision, dict(self._objects), tuple(self._log))

    def restore(self, copy: Copy) -> None:
        """Return to a copy; revisions of the writes since are given out again."""
        self.revision = copy.revision
        self.era += 1
        self._objects = dict(copy.objects)
        self._keys = sorted(self._objects)
        self._log = collections.deque(copy.log)

    def compact(self) -> None:
        """Drop the change log, so that watches of earlier revisions must relist."""
        self._log.clear()
        self._compacted = self.revision

    def _admit(self, bucket: Bucket, now_ms: float) -> Refused | None:
        if now_ms < self._outage_until_ms:
            return Outage(int(self._outage_until_ms - now_ms) + 1)
        wait_ms = bucket.take(now_ms)
        return None if wait_ms is None else Throttled(wait_ms)

    def _write(
        self, key: str, value: bytes | None, status: bytes | None = None
    ) -> Written | AnswerLost:
        self.writes += 1
        self._apply(key, value, status)
        if self.faults.lose_answers > 0:
            left = self.faults.lose_answers - 1
            self.faults = self.faults._replace(lose_answers=left)
            return AnswerLost(self.revision)
        return Written(self.revision)

    def _apply(
        self, key: str, value: bytes | None, status: bytes | None = None
    ) -> None:
        """Change an object; its status stays unless there is another one."""
        self.revision += 1
        before = self._objects.get(key)
        created = self.revision if before is None else before.created
        if status is None and before is not None:
            status = before.status
        if value is None:
            del self._objects[key]
            self._keys.pop(bisect.bisect_left(self._keys, key))
        else:
            if key not in self._objects:
                bisect.insort(self._keys, key)
            self._objects[key] = Object(key, self.revision, value, created, status)
        self._log.append(Change(key, self.revision, value, created, status))
        while len(self._log) > self.kept_changes:
            self._compacted = self._log.popleft().version

    def _page(self, prefix: str, after: str, limit: int) -> Page:
        start = bisect.bisect_left(self._keys, prefix)
        if after:
            start = max(start, bisect.bisect_right(self._keys, after))
        items: list[Object] = []
        size_bytes = 0
        for index in range(start, len(self._keys)):
            key = self._keys[index]
            if not key.startswith(prefix):
                break
            held = self._objects[key]
            size_bytes += len(held.value)
            full = len(items) == limit or size_bytes > MAX_PAGE_BYTES
            if items and full:
                return Page(self.revision, items, items[-1].key)
            items.append(held)
        return Page(self.revision, items, None)
