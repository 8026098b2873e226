"""Tests of the choice of a pool for a prompt."""

import unittest

from cornelreach.prompts import affinity
from cornelreach.util import hashing

POOLS = ["a/m", "b/m", "c/m"]
MOVE_MS = 1_000.0


def root(name):
    """Return the root of the prompt with a name."""
    return hashing.digest(str(name).encode()).hex()


def summaries(waits=(0, 0, 0), revision=1, **fields):
    """Return summaries of three pools with these waits."""
    return [
        affinity.PoolSummary(pool, pool[0], "owner", wait, 8, 2, revision=revision)
        for pool, wait in zip(POOLS, waits, strict=True)
    ]


class AffinityTest(unittest.TestCase):
    """The preferred pool of a prompt, moves to another pool, and returns."""

    def setUp(self):
        self.ranking = affinity.Affinity()

    def best_pool(self, name, pool_summaries, now_ms=0.0, ranking=None):
        choice = (ranking or self.ranking).rank_pools(
            root(name), pool_summaries, MOVE_MS, now_ms
        )
        return choice.pools[0]

    def test_instances_agree_and_prompts_are_spread_over_pools(self):
        other = affinity.Affinity()
        best_pools = [self.best_pool(name, summaries()) for name in range(300)]
        again = [
            self.best_pool(name, summaries()[::-1], ranking=other)
            for name in range(300)
        ]
        self.assertEqual(best_pools, again)
        self.assertTrue(all(best_pools.count(pool) > 70 for pool in POOLS))

    def test_prompts_move_only_if_the_wait_exceeds_the_cost_of_moving(self):
        names = [
            name for name in range(200) if self.best_pool(name, summaries()) == "a/m"
        ]
        for wait, min_share, max_share in (
            (MOVE_MS - 1, 0, 0),
            (2_000, 1, 1),
            (1_150, 0.5, 0.9),
        ):
            pool_summaries = summaries((wait, 0, 0))
            moved = sum(self.best_pool(name, pool_summaries) != "a/m" for name in names)
            self.assertGreaterEqual(moved, min_share * len(names), wait)
            self.assertLessEqual(moved, max_share * len(names), wait)

    def test_moved_prompt_stays_until_its_first_pool_is_better(self):
        name = next(n for n in range(99) if self.best_pool(n, summaries()) == "a/m")
        busy_summaries = summaries((3_000, 0, 0))
        moved = self.best_pool(name, busy_summaries)
        summary = next(one for one in busy_summaries if one.pool == moved)
        self.ranking.record_sent(root(name), summary, 0.0, 0)
        self.assertEqual(self.best_pool(name, summaries()), moved)
        waits = [150 if pool == moved else 0 for pool in POOLS]
        self.assertEqual(self.best_pool(name, summaries(waits)), "a/m")
        later_ms = affinity.LAST_POOL_TTL_MS + 1
        self.assertEqual(self.best_pool(name, summaries(), later_ms), "a/m")

    def test_own_calls_count_until_the_next_summary(self):
        pool_summaries = summaries()
        for number in range(40):
            choice = self.ranking.rank_pools(root(number), pool_summaries, 10.0, 0)
            chosen = next(one for one in pool_summaries if one.pool == choice.pools[0])
            self.ranking.record_sent(root(number), chosen, 1_000.0, 0)
        waits = [cost.wait_ms for cost in choice.costs]
        self.assertGreater(min(waits), 5_000)
        fresh = self.ranking.rank_pools(root("new"), summaries(revision=2), 10.0, 0)
        self.assertEqual([cost.wait_ms for cost in fresh.costs], [0, 0, 0])

    def test_stale_full_and_cold_pools_are_ranked_lower(self):
        name = next(n for n in range(99) if self.best_pool(n, summaries()) == "a/m")
        for change in ({"age_ms": 9_000}, {"room": 0, "wait_ms": 900}):
            pool_summaries = summaries()
            pool_summaries[0] = pool_summaries[0]._replace(**change)
            self.assertNotEqual(self.best_pool(name, pool_summaries), "a/m", change)
        pool_summaries = summaries((1_200, 0, 0))
        pool_summaries[0] = pool_summaries[0]._replace(cold_targets=2)
        self.assertNotEqual(self.best_pool(name, pool_summaries), "a/m")
        self.assertEqual(self.best_pool(name, pool_summaries[:1]), "a/m")
        self.assertEqual(self.ranking.rank_pools(root(name), [], MOVE_MS, 0).pools, [])
