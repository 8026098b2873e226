"""The registry of targets: entries that appear, lapse, restart, fail and recover."""

import unittest

from cornelreach.gateway import calls, registry


def target(name="t1", **changes):
    """Return the entry of a target."""
    fields = {
        "id": name,
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "lj",
        "slots": 8,
        "draining": False,
        "versions": {"m": 1},
        "born_ms": 1,
    }
    return registry.Target(**{**fields, **changes})


class Entries(unittest.TestCase):
    """Changes of the platform's list."""

    def setUp(self):
        self.registry = registry.TargetRegistry()
        self.registry.put(target(), 0, 0)

    def test_a_draining_or_evacuated_target_is_closed(self):
        self.assertTrue(self.registry.is_open("t1", "s"))
        self.registry.put(target(draining=True), 0, 1)
        self.assertFalse(self.registry.is_open("t1", "s"))
        self.registry.put(target(), 0, 2)
        self.registry.evacuated = frozenset({"lj"})
        self.assertEqual(self.registry.usable("s", 3), [])

    def test_an_entry_removed_without_an_outage_is_dropped_at_once(self):
        self.registry.remove("t1", 60_000)
        self.assertFalse(self.registry.is_open("t1", "s"))

    def test_an_entry_that_lapsed_in_an_outage_has_a_grace_period(self):
        self.registry.reconnected_ms = 60_000
        self.registry.replace(set(), 60_010)
        self.assertTrue(self.registry.is_open("t1", "s"))
        self.registry.expire(60_000 + registry.LAPSE_GRACE_MS - 1)
        self.assertTrue(self.registry.is_open("t1", "s"))
        self.registry.expire(60_000 + registry.LAPSE_GRACE_MS)
        self.assertFalse(self.registry.is_open("t1", "s"))

    def test_a_lapsed_entry_that_comes_back_stays(self):
        self.registry.reconnected_ms = 60_000
        self.registry.remove("t1", 60_010)
        self.registry.put(target(), 0, 60_500)
        self.registry.expire(90_000)
        self.assertTrue(self.registry.is_open("t1", "s"))

    def test_a_restarted_target_of_the_same_id_is_reset(self):
        self.registry.state("t1").failures = 4
        self.registry.learn_versions("t1", {"m": 3})
        self.registry.put(target(born_ms=2), 0, 5)
        self.assertEqual(self.registry.state("t1").failures, 0)
        self.assertEqual(self.registry.targets["t1"].versions, {"m": 1})

    def test_an_outdated_entry_does_not_undo_a_reported_version(self):
        self.registry.learn_versions("t1", {"m": 2, "other": 5})
        self.registry.put(target(), 0, 5)
        self.assertEqual(self.registry.targets["t1"].versions, {"m": 2})

    def test_a_target_that_changed_its_service_belongs_to_the_new_one(self):
        self.registry.put(target(service="other"), 0, 5)
        self.assertFalse(self.registry.is_open("t1", "s"))
        self.assertTrue(self.registry.is_open("t1", "other"))


class Failures(unittest.TestCase):
    """Results of this instance's own calls."""

    def setUp(self):
        self.registry = registry.TargetRegistry()
        self.registry.put(target("a"), 0, 0)
        self.registry.put(target("b"), 0, 0)

    def test_a_failing_target_is_skipped_until_a_probe_clears_it(self):
        self.registry.eject("a", "reset", 0)
        self.assertEqual([one.id for one in self.registry.usable("s", 1)], ["b"])
        later_ms = registry.FIRST_EJECT_MS
        self.assertEqual(len(self.registry.usable("s", later_ms)), 1)
        self.registry.restore("a", 0.0, 0.0)
        self.assertEqual(len(self.registry.usable("s", later_ms)), 2)
        self.registry.eject("a", "reset", later_ms)
        self.registry.restore("a", 0.0, 0.0)
        self.assertEqual(len(self.registry.usable("s", 2 * later_ms)), 1)

    def test_all_targets_are_used_if_all_have_failed(self):
        self.registry.eject("a", "reset", 0)
        self.registry.eject("b", "reset", 0)
        self.assertEqual(len(self.registry.usable("s", 1)), 2)

    def test_an_answer_ends_the_ejection(self):
        self.registry.eject("a", "reset", 0)
        reply = calls.Reply(200, "id", True, False, False, calls.Load(1, 2, 8), 900)
        self.registry.record_reply("a", reply, 1)
        self.assertEqual(len(self.registry.usable("s", 1)), 2)
        state = self.registry.state("a")
        self.assertEqual((state.load.waiting, state.is_cold(900)), (2, True))
        self.assertFalse(state.is_cold(901))

    def test_refusals_in_a_row_pause_longer(self):
        self.registry.back_off("a", 100, 0)
        self.assertEqual(len(self.registry.usable("s", 100)), 2)
        self.registry.back_off("a", 100, 100)
        self.assertEqual(len(self.registry.usable("s", 250)), 1)
