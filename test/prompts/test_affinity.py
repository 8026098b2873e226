"""Tests of the edge's choice of a pool."""

import unittest

from cornelreach.prompts import affinity
from cornelreach.util import hashing

POOLS = ["a/m", "b/m", "c/m"]
MOVE_MS = 1_000.0


def root(name):
    """Return the root of a named prompt."""
    return hashing.digest(str(name).encode()).hex()


def summaries(waits=(0, 0, 0), revision=1, **fields):
    """Return the summaries of three pools."""
    return [
        affinity.PoolSummary(pool, pool[0], "owner", wait, 8, 2, revision=revision)
        for pool, wait in zip(POOLS, waits, strict=True)
    ]


class Order(unittest.TestCase):
    """Home, spill and return."""

    def setUp(self):
        self.edge = affinity.Affinity()

    def first(self, name, seen, now_ms=0.0, edge=None):
        choice = (edge or self.edge).order(root(name), seen, MOVE_MS, now_ms)
        return choice.pools[0]

    def test_all_instances_agree_and_prompts_spread(self):
        other = affinity.Affinity()
        homes = [self.first(name, summaries()) for name in range(300)]
        again = [self.first(name, summaries()[::-1], edge=other) for name in range(300)]
        self.assertEqual(homes, again)
        self.assertTrue(all(homes.count(pool) > 70 for pool in POOLS))

    def test_passes_a_pool_over_only_beyond_the_cost_of_moving(self):
        names = [name for name in range(200) if self.first(name, summaries()) == "a/m"]
        for wait, least, most in (
            (MOVE_MS - 1, 0, 0),
            (2_000, 1, 1),
            (1_150, 0.5, 0.9),
        ):
            seen = summaries((wait, 0, 0))
            spilled = sum(self.first(name, seen) != "a/m" for name in names)
            self.assertGreaterEqual(spilled, least * len(names), wait)
            self.assertLessEqual(spilled, most * len(names), wait)

    def test_a_spilled_prompt_stays_until_its_home_is_better(self):
        name = next(n for n in range(99) if self.first(n, summaries()) == "a/m")
        busy = summaries((3_000, 0, 0))
        spilled = self.first(name, busy)
        summary = next(one for one in busy if one.pool == spilled)
        self.edge.sent(root(name), summary, 0.0, 0)
        self.assertEqual(self.first(name, summaries()), spilled)
        waits = [150 if pool == spilled else 0 for pool in POOLS]
        self.assertEqual(self.first(name, summaries(waits)), "a/m")
        later_ms = affinity.REMEMBER_MS + 1
        self.assertEqual(self.first(name, summaries(), later_ms), "a/m")

    def test_own_calls_count_until_the_next_summary(self):
        seen = summaries()
        for number in range(40):
            choice = self.edge.order(root(number), seen, 10.0, 0)
            chosen = next(one for one in seen if one.pool == choice.pools[0])
            self.edge.sent(root(number), chosen, 1_000.0, 0)
        waits = [cost.wait_ms for cost in choice.costs]
        self.assertGreater(min(waits), 5_000)
        fresh = self.edge.order(root("new"), summaries(revision=2), 10.0, 0)
        self.assertEqual([cost.wait_ms for cost in fresh.costs], [0, 0, 0])

    def test_stale_full_and_cold_pools_come_later(self):
        name = next(n for n in range(99) if self.first(n, summaries()) == "a/m")
        for change in ({"age_ms": 9_000}, {"room": 0, "wait_ms": 900}):
            seen = summaries()
            seen[0] = seen[0]._replace(**change)
            self.assertNotEqual(self.first(name, seen), "a/m", change)
        seen = summaries((1_200, 0, 0))
        seen[0] = seen[0]._replace(cold_targets=2)
        self.assertNotEqual(self.first(name, seen), "a/m")
        self.assertEqual(self.first(name, seen[:1]), "a/m")
        self.assertEqual(self.edge.order(root(name), [], MOVE_MS, 0).pools, [])
