"""Tests of the index of targets by pool and data centre."""

import unittest

from hypothesis import given, settings, strategies

from cornelreach.settings import items, pools

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


class IndexTest(unittest.TestCase):
    """The index after any changes is the one made anew from what is left."""

    @settings(derandomize=True, deadline=None, database=None)
    @given(STEPS)
    def test_changes_one_by_one_give_the_whole(self, steps):
        index, held = pools.Index(), {}
        for target, stays in steps:
            index.replace(held.pop(target.name, None), target if stays else None)
            if stays:
                held[target.name] = target
        whole = pools.Index()
        for target in held.values():
            whole.replace(None, target)
        self.assertEqual(vars(index), vars(whole))
        grouped = {}
        for target in sorted(held.values()):
            grouped.setdefault(target.pool_name, []).append(target)
        self.assertEqual(index.pools, grouped)

    def test_two_items_of_one_name_can_both_go(self):
        index = pools.Index()
        target = items.Target("a", "engine", "north", "127.0.0.1:1", "m")
        for former, held in ((None, target), (None, target)):
            index.replace(former, held)
        for _ in range(2):
            index.replace(target, None)
        self.assertEqual(vars(index), vars(pools.Index()))
