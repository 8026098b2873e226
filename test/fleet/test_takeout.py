"""Tests of directives and of how they meet the platform's copy."""

import unittest

from returns import result

from cornelreach.fleet import takeout
from cornelreach.settings import items, state, view
from test.fleet import world

KEY = items.key_of("data-centre", "a")
SIX = {"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b", "b3": "b"}


class Meeting(unittest.TestCase):
    """Two instances, a platform item, and changes that did not know each other."""

    def setUp(self):
        self.version = 0
        self.states = [state.State(), state.State()]
        self.first, self.second = map(takeout.Directives, self.states)
        self.write({"name": "a", "region": "eu", "state": "in_service"})

    def write(self, value):
        """Let both learn a version of the item."""
        since, self.version = self.version, self.version + 1
        entry = state.Entry(KEY, self.version, value)
        for held in self.states:
            held.apply(state.Delta(since, self.version, (entry,)))

    def give(self, directives, wanted, operator="ana"):
        """Give a directive and return it."""
        given = directives.give(KEY, wanted, f"why {wanted}", operator, self.version)
        return given.unwrap()

    def meet(self):
        """Exchange directives."""
        self.first.learn(self.second.message_directives())
        self.second.learn(self.first.message_directives())
        found = {self.first.effective(KEY), self.second.effective(KEY)}
        self.assertEqual(len(found), 1)
        return found.pop()

    def merge(self):
        """Write the merge that the first instance proposes."""
        (merge,) = self.first.merges()
        self.assertEqual(merge.if_version, self.version)
        self.write(merge.value)
        return merge.value

    def test_take_out_spreads_and_is_retired_by_the_merge(self):
        self.give(self.first, "taken_out")
        shown = view.View(self.states[0], self.first.effective)
        self.assertEqual(shown.data_centre_state("a"), "taken_out")
        self.assertEqual(self.meet(), "taken_out")
        value = self.merge()
        self.assertEqual((value["state"], value["region"]), ("taken_out", "eu"))
        self.assertIn("ana", value["reason"])
        self.assertEqual(self.first.merges(), ())
        self.assertEqual(shown.data_centre_state("a"), "taken_out")

    def test_bring_back_that_knew_the_take_out_holds_even_after_its_merge(self):
        self.give(self.first, "taken_out")
        self.meet()
        self.give(self.second, "in_service")
        self.merge()
        self.assertEqual(self.meet(), "in_service")
        self.assertEqual(self.merge()["state"], "in_service")

    def test_concurrent_directives_keep_it_out_and_both_are_recorded(self):
        taken = self.give(self.first, "taken_out")
        back = self.give(self.second, "in_service", "bor")
        self.assertEqual(self.meet(), "taken_out")
        value = self.merge()
        self.assertEqual(set(value["directives"]), {taken.ident, back.ident})
        self.assertIn("bor", value["reason"])

    def test_a_newer_platform_take_out_is_not_undone_by_an_old_bring_back(self):
        back = self.give(self.first, "in_service")
        self.write({"name": "a", "state": "taken_out", "reason": "flood"})
        self.assertEqual(self.meet(), "taken_out")
        value = self.merge()
        self.assertEqual(value["state"], "taken_out")
        self.assertIn("flood", value["reason"])
        self.assertIn(back.reason, value["reason"])

    def test_refuses_what_makes_no_sense(self):
        for subject, wanted in ((KEY, "gone"), ("settings/data-centre/z", "taken_out")):
            outcome = self.first.give(subject, wanted, "why", "ana", 0)
            self.assertIsInstance(outcome, result.Failure)


class Spread(unittest.TestCase):
    """A take-out handed to one instance while the platform is away."""

    def test_reaches_all_within_seconds_and_late_starters_too(self):
        site = world.World(1, SIX)
        site.write(KEY, {"name": "a"})
        site.advance(15_000)
        site.platform_away = True
        given = site.hosts["a2"].node.directives.give(KEY, "taken_out", "f", "o", 1)
        self.assertIsInstance(given, result.Success)
        site.advance(5_000)
        late = site.start("a4", "a", listed=False)
        late.node.membership.seed(["a1"])
        site.advance(3_000)
        for host in site.hosts.values():
            self.assertEqual(host.node.directives.effective(KEY), "taken_out")
