"""The edge's choice of a pool for a prompt.

Every instance orders the pools of a model alike, by rendezvous of the prompt's root, so
a prompt that returns meets the pool that holds it whichever instance its caller
reaches. A pool is passed over where another is expected to give the first token sooner
although it has to bring in or compute the prompt::

    edge = affinity.Affinity()
    choice = edge.order(prompt.root, summaries, move_ms=1_250.0, now_ms=now_ms)
    choice.pools[0]

Summaries are as old as a heartbeat, and other instances read the same ones. Three
things keep them from spilling and returning together: what this instance has sent since
a summary counts, the gain at which a prompt spills differs by root, and a prompt that
has spilled stays until its first pool is clearly the better one.
"""

import collections
import typing

from cornelreach.util import hashing

STALE_MS = 5_000
REMEMBER_MS = 600_000
REMEMBERED_ROOTS = 20_000
STICK_MS = 100.0
SPREAD_MS = 300.0
NO_ROOM_MS = 500.0
STALE_COST_MS = 5_000.0
COLD_COST_MS = 250.0


class PoolSummary(typing.NamedTuple):
    """A pool as its owner's last heartbeat showed it.

    ``wait_ms`` is the shortest queue of its engines, ``room`` its free sequences.
    ``revision`` grows with each summary; ``age_ms`` is the time since it was made.
    """

    pool: str
    data_centre: str
    owner: str
    wait_ms: float
    room: int
    targets: int = 1
    cold_targets: int = 0
    revision: int = 0
    age_ms: float = 0.0


class PoolCost(typing.NamedTuple):
    """What a pool is expected to cost until the first token."""

    pool: str
    total_ms: float
    wait_ms: float
    move_ms: float


class Choice(typing.NamedTuple):
    """Pools to ask in turn, best first, with their costs in the same order."""

    costs: tuple[PoolCost, ...]

    @property
    def pools(self) -> list[str]:
        """Return the names of the pools, best first."""
        return [cost.pool for cost in self.costs]


class _Sent(typing.NamedTuple):
    """Prefill that this instance sent to a pool since one of its summaries."""

    revision: int
    prefill_ms: float


class _Last(typing.NamedTuple):
    pool: str
    at_ms: float


class Affinity:
    """The order of pools on one instance, with what it remembers of its own calls.

    The last pool of at most ``REMEMBERED_ROOTS`` prompts is kept; the one used longest
    ago is dropped first.
    """

    def __init__(self) -> None:
        self._sent: dict[str, _Sent] = {}
        self._last: collections.OrderedDict[str, _Last] = collections.OrderedDict()

    def order(
        self,
        root: str,
        summaries: typing.Sequence[PoolSummary],
        move_ms: float,
        now_ms: float,
    ) -> Choice:
        """Return the pools to ask for a prompt; ``root`` is hex.

        ``move_ms`` is what a pool that does not hold the prompt takes to bring it in or
        to compute it.
        """
        key = bytes.fromhex(root)
        by_name = {summary.pool: summary for summary in summaries}
        ranked = hashing.rendezvous(key, by_name)
        last = self._last_pool(root, now_ms)
        costs = []
        for place, name in enumerate(ranked):
            wait_ms = self._wait_ms(by_name[name])
            moved_ms = 0.0
            if place and name != last:
                moved_ms = move_ms + _spread_ms(key, name)
            total_ms = wait_ms + moved_ms - (STICK_MS if name == last else 0.0)
            costs.append(PoolCost(name, total_ms, wait_ms, moved_ms))
        return Choice(tuple(sorted(costs, key=lambda cost: cost.total_ms)))

    def sent(
        self, root: str, summary: PoolSummary, prefill_ms: float, now_ms: float
    ) -> None:
        """Count a call that this instance sent to a pool, and remember where it went.

        ``prefill_ms`` is what the plan said that the call computes.
        """
        share_ms = prefill_ms / max(1, summary.targets)
        before = self._sent.get(summary.pool)
        if before is not None and before.revision == summary.revision:
            share_ms += before.prefill_ms
        self._sent[summary.pool] = _Sent(summary.revision, share_ms)
        self._last[root] = _Last(summary.pool, now_ms)
        self._last.move_to_end(root)
        if len(self._last) > REMEMBERED_ROOTS:
            self._last.popitem(last=False)

    def _last_pool(self, root: str, now_ms: float) -> str:
        last = self._last.get(root)
        if last is None or now_ms - last.at_ms > REMEMBER_MS:
            return ""
        return last.pool

    def _wait_ms(self, summary: PoolSummary) -> float:
        wait_ms = summary.wait_ms
        sent = self._sent.get(summary.pool)
        if sent is not None and sent.revision == summary.revision:
            wait_ms += sent.prefill_ms
        if summary.room <= 0:
            wait_ms += NO_ROOM_MS
        if summary.cold_targets >= summary.targets:
            wait_ms += COLD_COST_MS
        if summary.age_ms > STALE_MS:
            wait_ms += STALE_COST_MS
        return wait_ms


def _spread_ms(key: bytes, name: str) -> float:
    """Return a share of ``SPREAD_MS`` that differs by prompt and pool."""
    return (hashing.score(key, f"spread/{name}") >> 40) / (1 << 24) * SPREAD_MS
