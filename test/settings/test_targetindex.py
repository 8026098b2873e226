"""Tests of the index of targets by pool and data centre."""

import unittest

from hypothesis import given, settings, strategies

from cornelreach.settings import items, targetindex

TARGETS = strategies.builds(
    items.Target,
    name=strategies.sampled_from(["a", "b", "c", "d"]),
    kind=strategies.sampled_from(["engine", "store"]),
    data_centre=strategies.sampled_from(["north", "south"]),
    address=strategies.just("127.0.0.1:1"),
    serves=strategies.sampled_from(["", "m", "n"]),
    pool=strategies.sampled_from(["", "p", "q"]),
)
STEPS = strategies.lists(strategies.tuples(TARGETS, strategies.booleans()), max_size=20)


class TargetIndexTest(unittest.TestCase):
    """After any changes, the index equals one rebuilt from the remaining targets."""

    @settings(derandomize=True, deadline=None, database=None)
    @given(STEPS)
    def test_updated_index_equals_rebuilt_index(self, steps):
        index, held = targetindex.TargetIndex(), {}
        for target, keep in steps:
            index.replace(held.pop(target.name, None), target if keep else None)
            if keep:
                held[target.name] = target
        rebuilt = targetindex.TargetIndex()
        for target in held.values():
            rebuilt.replace(None, target)
        self.assertEqual(vars(index), vars(rebuilt))
        by_pool = {}
        for target in sorted(held.values()):
            by_pool.setdefault(target.pool_name, []).append(target)
        self.assertEqual(index.by_pool, by_pool)

    def test_two_items_with_one_name_can_be_removed(self):
        index = targetindex.TargetIndex()
        target = items.Target("a", "engine", "north", "127.0.0.1:1", "m")
        for old, held in ((None, target), (None, target)):
            index.replace(old, held)
        for _ in range(2):
            index.replace(target, None)
        self.assertEqual(vars(index), vars(targetindex.TargetIndex()))
