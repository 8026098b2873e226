"""Tests of directives and of their merge into the platform's item."""

import unittest

from returns import result

from cornelreach.fleet import directives as directives_module
from cornelreach.settings import items, state, view
from test.fleet import simulation

KEY = items.key_of("data-centre", "a")
SIX = {"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b", "b3": "b"}


class DirectivesTest(unittest.TestCase):
    """Two instances, an item of the platform, and concurrent changes to it."""

    def setUp(self):
        self.version = 0
        self.states = [state.State(), state.State()]
        self.first, self.second = map(directives_module.Directives, self.states)
        self.write({"name": "a", "region": "eu", "state": "in_service"})

    def write(self, value):
        """Apply a new version of the item on both instances."""
        since, self.version = self.version, self.version + 1
        entry = state.Entry(KEY, self.version, value)
        for held in self.states:
            held.apply(state.Delta(since, self.version, (entry,)))

    def issue(self, directives, wanted_state, operator="ana"):
        """Issue a directive and return it."""
        outcome = directives.issue(
            KEY, wanted_state, f"why {wanted_state}", operator, self.version
        )
        return outcome.unwrap()

    def exchange(self):
        """Exchange directives and return the state that both instances see."""
        self.first.receive(self.second.directives_for_message())
        self.second.receive(self.first.directives_for_message())
        found = {self.first.effective(KEY), self.second.effective(KEY)}
        self.assertEqual(len(found), 1)
        return found.pop()

    def merge(self):
        """Write the merge of the first instance and return the value written."""
        (merge,) = self.first.pending_merges()
        self.assertEqual(merge.if_version, self.version)
        self.write(merge.value)
        return merge.value

    def test_take_out_spreads_and_is_dropped_after_the_merge(self):
        self.issue(self.first, "taken_out")
        settings_view = view.View(self.states[0], self.first.effective)
        self.assertEqual(settings_view.data_centre_state("a"), "taken_out")
        self.assertEqual(self.exchange(), "taken_out")
        value = self.merge()
        self.assertEqual((value["state"], value["region"]), ("taken_out", "eu"))
        self.assertIn("ana", value["reason"])
        self.assertEqual(self.first.pending_merges(), ())
        self.assertEqual(settings_view.data_centre_state("a"), "taken_out")

    def test_bring_back_based_on_a_take_out_wins_even_after_its_merge(self):
        self.issue(self.first, "taken_out")
        self.exchange()
        self.issue(self.second, "in_service")
        self.merge()
        self.assertEqual(self.exchange(), "in_service")
        self.assertEqual(self.merge()["state"], "in_service")

    def test_concurrent_directives_keep_it_out_and_are_both_recorded(self):
        take_out = self.issue(self.first, "taken_out")
        bring_back = self.issue(self.second, "in_service", "bor")
        self.assertEqual(self.exchange(), "taken_out")
        value = self.merge()
        self.assertEqual(set(value["directives"]), {take_out.ident, bring_back.ident})
        self.assertIn("bor", value["reason"])

    def test_a_newer_platform_take_out_is_not_undone_by_an_old_bring_back(self):
        bring_back = self.issue(self.first, "in_service")
        self.write({"name": "a", "state": "taken_out", "reason": "flood"})
        self.assertEqual(self.exchange(), "taken_out")
        value = self.merge()
        self.assertEqual(value["state"], "taken_out")
        self.assertIn("flood", value["reason"])
        self.assertIn(bring_back.reason, value["reason"])

    def test_invalid_directives_are_rejected(self):
        for subject, wanted_state in (
            (KEY, "gone"),
            ("settings/data-centre/z", "taken_out"),
        ):
            outcome = self.first.issue(subject, wanted_state, "why", "ana", 0)
            self.assertIsInstance(outcome, result.Failure)


class PropagationTest(unittest.TestCase):
    """A take-out issued on one instance during a platform outage."""

    def test_reaches_all_instances_and_late_starters_within_seconds(self):
        fleet = simulation.Simulation(1, SIX)
        fleet.write(KEY, {"name": "a"})
        fleet.advance(15_000)
        fleet.platform_down = True
        outcome = fleet.hosts["a2"].node.directives.issue(KEY, "taken_out", "f", "o", 1)
        self.assertIsInstance(outcome, result.Success)
        fleet.advance(5_000)
        late_starter = fleet.start("a4", "a", listed=False)
        late_starter.node.membership.set_seeds(["a1"])
        fleet.advance(3_000)
        for host in fleet.hosts.values():
            self.assertEqual(host.node.directives.effective(KEY), "taken_out")
