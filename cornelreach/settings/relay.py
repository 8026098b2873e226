"""Replicates settings between instances; an instance that is behind pulls from a peer.

The relay does no I/O. It returns a ``Fetch`` for the caller to send and takes the reply
in ``pulled``. Pages are bounded in size. If the peer has already discarded deletions
that the receiver lacks, the receiver collects all pages of a snapshot before it applies
them at once.
"""

import functools
import heapq
import typing

from cornelreach.settings import state as state_module
from cornelreach.util import hashing

MAX_PENDING_PULLS = 2
PULL_WAIT_MS = 3_000
MISMATCHES_TO_REPAIR = 3
WATCHER_COUNT = 2
SCORE_CACHE_SIZE = 4_096


class Pull(typing.NamedTuple):
    """Requests a page of the changes after revision ``since``.

    ``after`` is the version of the last entry of the page before. ``snapshot`` marks a
    pull of the complete state.
    """

    since: int
    after: int | None = None
    snapshot: bool = False


class Pulled(typing.NamedTuple):
    """Reply with the sender's revision; ``delta`` is None if a snapshot is needed."""

    revision: int
    delta: state_module.Delta | None


class Fetch(typing.NamedTuple):
    """A pull to be sent to a peer's address."""

    address: str
    pull: Pull
    asked_ms: float


class Relay:
    """The pulls in progress that bring one state up to date."""

    def __init__(self, state: state_module.State) -> None:
        self.state = state
        self._pending: dict[str, float] = {}
        self._snapshots: dict[str, dict[str, state_module.Entry]] = {}
        self._mismatches = 0

    @property
    def ready(self) -> bool:
        """Return whether any settings are held; nothing is served without them."""
        return self.state.revision > 0

    def serve(self, pull: Pull) -> Pulled:
        """Return the reply to a peer's pull."""
        delta = self.state.delta(pull.since, pull.after, snapshot=pull.snapshot)
        return Pulled(self.state.revision, delta)

    def compare(
        self, address: str, revision: int, digest: int, now_ms: float
    ) -> Fetch | None:
        """Return a pull if a peer's revision is higher or its state differs.

        States that differ at the same revision are repaired after
        ``MISMATCHES_TO_REPAIR`` such messages in a row.
        """
        if revision > self.state.revision:
            return self._fetch(address, Pull(self.state.revision), now_ms)
        if revision != self.state.revision or digest == self.state.digest:
            self._mismatches = 0
            return None
        self._mismatches += 1
        if self._mismatches < MISMATCHES_TO_REPAIR:
            return None
        self._mismatches = 0
        return self._fetch(address, Pull(0, snapshot=True), now_ms)

    def pulled(self, fetch: Fetch, reply: Pulled, now_ms: float) -> Fetch | None:
        """Process a reply; return the next pull if there are more pages."""
        self._pending.pop(fetch.address, None)
        if reply.delta is None:
            return self._fetch(fetch.address, Pull(0, snapshot=True), now_ms)
        entries = reply.delta.entries
        if fetch.pull.snapshot:
            self._add_to_snapshot(fetch, reply)
        else:
            self.state.apply(reply.delta)
        if reply.delta.revision or not entries:
            return None
        next_pull = fetch.pull._replace(after=entries[-1].version)
        return self._fetch(fetch.address, next_pull, now_ms)

    def failed(self, fetch: Fetch) -> None:
        """Drop a pull that got no reply; any later message may start another."""
        self._pending.pop(fetch.address, None)
        self._snapshots.pop(fetch.address, None)

    def _add_to_snapshot(self, fetch: Fetch, reply: Pulled) -> None:
        if fetch.pull.after is None:
            self._snapshots[fetch.address] = {}
        snapshot = self._snapshots.setdefault(fetch.address, {})
        snapshot.update((entry.key, entry) for entry in reply.delta.entries)
        if reply.delta.revision:
            del self._snapshots[fetch.address]
            revision, entries = reply.delta.revision, tuple(snapshot.values())
            self.state.apply(state_module.Delta(0, revision, entries, snapshot=True))

    def _fetch(self, address: str, pull: Pull, now_ms: float) -> Fetch | None:
        self._pending = {
            pending_address: at_ms
            for pending_address, at_ms in self._pending.items()
            if now_ms - at_ms < PULL_WAIT_MS
        }
        if address in self._pending or len(self._pending) >= MAX_PENDING_PULLS:
            return None
        self._pending[address] = now_ms
        return Fetch(address, pull, now_ms)


def choose_watchers(
    data_centre: str, names: typing.Iterable[str], rank: typing.Callable[[str], int]
) -> list[str]:
    """Choose the instances of a data centre that watch the platform for all of it.

    A lower ``rank`` is preferred: instances known to reach the platform, then those
    that have not tried, then those that have failed.
    """

    def sort_key(name: str) -> tuple[int, int, str]:
        return rank(name), -_score(data_centre, name), name

    return heapq.nsmallest(WATCHER_COUNT, names, key=sort_key)


@functools.lru_cache(maxsize=SCORE_CACHE_SIZE)
def _score(data_centre: str, name: str) -> int:
    return hashing.score(f"watch/{data_centre}".encode(), name)
