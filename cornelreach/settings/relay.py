"""Passes settings between instances: whoever sees that it is behind asks the other.

The relay does no I/O; it returns ``Fetch`` for its shell to carry out and takes the
answer in ``pulled``. Pages are bounded in size; a receiver so far behind that deletions
are forgotten collects all pages before it applies them as one whole.
"""

import functools
import heapq
import typing

from cornelreach.settings import state as state_module
from cornelreach.util import hashing

PULLS_AT_ONCE = 2
PULL_WAIT_MS = 3_000
DIFFERENCES_TO_REPAIR = 3
WATCHERS = 2
SCORES_KEPT = 4_096


class Pull(typing.NamedTuple):
    """Asks for changes after a revision, page by page; ``after`` ends the last page.

    ``staged`` is part of a whole transfer.
    """

    since: int
    after: int | None = None
    staged: bool = False


class Pulled(typing.NamedTuple):
    """The answer, with the sender's revision; no ``delta`` if only a whole helps."""

    revision: int
    delta: state_module.Delta | None


class Fetch(typing.NamedTuple):
    """A pull to send to a peer's address."""

    address: str
    pull: Pull
    asked_ms: float


class Relay:
    """The aggregate of pulls in progress for one state."""

    def __init__(self, state: state_module.State) -> None:
        self.state = state
        self._pending: dict[str, float] = {}
        self._staged: dict[str, dict[str, state_module.Entry]] = {}
        self._differences = 0

    @property
    def ready(self) -> bool:
        """Return whether any settings are held, without which nothing is served."""
        return self.state.revision > 0

    def serve(self, pull: Pull) -> Pulled:
        """Answer a peer's pull."""
        delta = self.state.delta(pull.since, pull.after, forgotten=pull.staged)
        return Pulled(self.state.revision, delta)

    def noticed(
        self, address: str, revision: int, digest: int, now_ms: float
    ) -> Fetch | None:
        """Compare with what a peer's message says; ask it if it holds more."""
        if revision > self.state.revision:
            return self._fetch(address, Pull(self.state.revision), now_ms)
        if revision != self.state.revision or digest == self.state.digest:
            self._differences = 0
            return None
        self._differences += 1
        if self._differences < DIFFERENCES_TO_REPAIR:
            return None
        self._differences = 0
        return self._fetch(address, Pull(0, staged=True), now_ms)

    def pulled(self, fetch: Fetch, answer: Pulled, now_ms: float) -> Fetch | None:
        """Take over a page; return the next pull if the peer holds more."""
        self._pending.pop(fetch.address, None)
        if answer.delta is None:
            return self._fetch(fetch.address, Pull(0, staged=True), now_ms)
        entries = answer.delta.entries
        if fetch.pull.staged:
            self._stage(fetch, answer)
        else:
            self.state.apply(answer.delta)
        if answer.delta.revision or not entries:
            return None
        following = fetch.pull._replace(after=entries[-1].version)
        return self._fetch(fetch.address, following, now_ms)

    def failed(self, fetch: Fetch) -> None:
        """Give up a pull that was not answered; any later message starts another."""
        self._pending.pop(fetch.address, None)
        self._staged.pop(fetch.address, None)

    def _stage(self, fetch: Fetch, answer: Pulled) -> None:
        if fetch.pull.after is None:
            self._staged[fetch.address] = {}
        staged = self._staged.setdefault(fetch.address, {})
        staged.update((entry.key, entry) for entry in answer.delta.entries)
        if answer.delta.revision:
            del self._staged[fetch.address]
            revision, entries = answer.delta.revision, tuple(staged.values())
            self.state.apply(state_module.Delta(0, revision, entries, whole=True))

    def _fetch(self, address: str, pull: Pull, now_ms: float) -> Fetch | None:
        self._pending = {
            asked: at_ms
            for asked, at_ms in self._pending.items()
            if now_ms - at_ms < PULL_WAIT_MS
        }
        if address in self._pending or len(self._pending) >= PULLS_AT_ONCE:
            return None
        self._pending[address] = now_ms
        return Fetch(address, pull, now_ms)


def watchers(
    data_centre: str, names: typing.Iterable[str], rank: typing.Callable[[str], int]
) -> list[str]:
    """Return the instances of a data centre that watch the platform for the others.

    Those of a lower ``rank`` come first: who is known to reach the platform before
    who has not tried, and last who has failed.
    """

    def preference(name: str) -> tuple[int, int, str]:
        return rank(name), -_score(data_centre, name), name

    return heapq.nsmallest(WATCHERS, names, key=preference)


@functools.lru_cache(maxsize=SCORES_KEPT)
def _score(data_centre: str, name: str) -> int:
    return hashing.score(f"watch/{data_centre}".encode(), name)
