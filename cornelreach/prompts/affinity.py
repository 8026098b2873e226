"""Choice of a pool for a prompt by the instance that receives the call.

Every instance ranks the pools of a model in the same order, by rendezvous hashing of
the prompt's root. A returning prompt is therefore routed to the pool that holds it,
whichever instance receives it. Another pool is preferred if it is expected to give the
first token sooner, even though it has to import or compute the prompt::

    edge = affinity.Affinity()
    choice = edge.rank_pools(prompt.root, summaries, move_ms=1_250.0, now_ms=now_ms)
    choice.pools[0]

Summaries can be as old as a heartbeat, and all instances use the same ones. Three
rules keep the instances from moving load back and forth in step: the calls that this
instance has sent since a summary are added to it, the gain at which a prompt moves to
another pool differs by root, and a prompt that has moved stays there until its first
pool is clearly better.
"""

import collections
import typing

from cornelreach.util import hashing

STALE_AFTER_MS = 5_000
LAST_POOL_TTL_MS = 600_000
MAX_LAST_POOLS = 20_000
LAST_POOL_BONUS_MS = 100.0
MOVE_JITTER_MS = 300.0
NO_ROOM_COST_MS = 500.0
STALE_COST_MS = 5_000.0
COLD_COST_MS = 250.0


class PoolSummary(typing.NamedTuple):
    """The state of a pool according to its owner's last heartbeat.

    ``wait_ms`` is the shortest queue of its engines, ``room`` the number of its free
    sequences. ``revision`` grows with each summary; ``age_ms`` is the summary's age.
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
    """The estimated cost of a pool until the first token."""

    pool: str
    total_ms: float
    wait_ms: float
    move_ms: float


class Choice(typing.NamedTuple):
    """The costs of the pools to ask in turn, best first."""

    costs: tuple[PoolCost, ...]

    @property
    def pools(self) -> list[str]:
        """Return the names of the pools, best first."""
        return [cost.pool for cost in self.costs]


class _Sent(typing.NamedTuple):
    """Prefill time that this instance has sent to a pool since one of its summaries."""

    revision: int
    prefill_ms: float


class _LastPool(typing.NamedTuple):
    pool: str
    at_ms: float


class Affinity:
    """Ranks pools for the prompts that one instance receives.

    It keeps the last pool of at most ``MAX_LAST_POOLS`` prompts, and evicts the least
    recently used one first.
    """

    def __init__(self) -> None:
        self._sent: dict[str, _Sent] = {}
        self._last_pools: collections.OrderedDict[str, _LastPool] = (
            collections.OrderedDict()
        )

    def rank_pools(
        self,
        root: str,
        summaries: typing.Sequence[PoolSummary],
        move_ms: float,
        now_ms: float,
    ) -> Choice:
        """Return the pools to ask for a prompt; ``root`` is in hex.

        ``move_ms`` is the time in which a pool that does not hold the prompt can import
        or compute it.
        """
        key = bytes.fromhex(root)
        by_name = {summary.pool: summary for summary in summaries}
        ranked = hashing.rendezvous(key, by_name)
        last = self._last_pool(root, now_ms)
        costs = []
        for rank, name in enumerate(ranked):
            wait_ms = self._wait_ms(by_name[name])
            pool_move_ms = 0.0
            if rank and name != last:
                pool_move_ms = move_ms + _move_jitter_ms(key, name)
            total_ms = (
                wait_ms + pool_move_ms - (LAST_POOL_BONUS_MS if name == last else 0.0)
            )
            costs.append(PoolCost(name, total_ms, wait_ms, pool_move_ms))
        return Choice(tuple(sorted(costs, key=lambda cost: cost.total_ms)))

    def record_sent(
        self, root: str, summary: PoolSummary, prefill_ms: float, now_ms: float
    ) -> None:
        """Record a call that this instance sent to a pool.

        ``prefill_ms`` is the prefill time of the call according to its plan.
        """
        share_ms = prefill_ms / max(1, summary.targets)
        previous = self._sent.get(summary.pool)
        if previous is not None and previous.revision == summary.revision:
            share_ms += previous.prefill_ms
        self._sent[summary.pool] = _Sent(summary.revision, share_ms)
        self._last_pools[root] = _LastPool(summary.pool, now_ms)
        self._last_pools.move_to_end(root)
        if len(self._last_pools) > MAX_LAST_POOLS:
            self._last_pools.popitem(last=False)

    def _last_pool(self, root: str, now_ms: float) -> str:
        last = self._last_pools.get(root)
        if last is None or now_ms - last.at_ms > LAST_POOL_TTL_MS:
            return ""
        return last.pool

    def _wait_ms(self, summary: PoolSummary) -> float:
        wait_ms = summary.wait_ms
        sent = self._sent.get(summary.pool)
        if sent is not None and sent.revision == summary.revision:
            wait_ms += sent.prefill_ms
        if summary.room <= 0:
            wait_ms += NO_ROOM_COST_MS
        if summary.cold_targets >= summary.targets:
            wait_ms += COLD_COST_MS
        if summary.age_ms > STALE_AFTER_MS:
            wait_ms += STALE_COST_MS
        return wait_ms


def _move_jitter_ms(key: bytes, name: str) -> float:
    """Return a share of ``MOVE_JITTER_MS`` that depends on the prompt and the pool."""
    return (hashing.score(key, f"spread/{name}") >> 40) / (1 << 24) * MOVE_JITTER_MS
