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

    # Guards against taking the versions listed now for those of a stream's whole life.
    def test_software_versions_are_remembered_after_their_targets_have_gone(self):
        self.registry.replace(("t1",), 100_000)
        self.assertFalse(self.registry.is_listed_for(1_000, 100_999))
        self.assertTrue(self.registry.is_listed_for(1_000, 101_000))
        self.registry.put(target(software="v1"), 0, 100_000)
        self.registry.put(target("t2", software="v2"), 0, 110_000)
        self.assertEqual(self.versions(120_000), {"v1", "v2"})
        self.registry.remove("t1", 130_000)
        self.assertEqual(self.versions(130_999), {"v1", "v2"})
        self.assertEqual(self.versions(131_001), {"v2"})

    # Guards against a target that came back under its identifier with other software.
    def test_software_that_changes_under_one_identifier_is_remembered(self):
        self.registry.put(target(software="v1"), 0, 0)
        self.registry.put(target(software="v2", born_ms=2), 0, 100_000)
        self.assertEqual(self.versions(100_900), {"v1", "v2"})
        self.assertEqual(self.versions(101_001), {"v2"})
        self.assertEqual(self.registry.usable("s", 101_001, "v1"), [])

    def versions(self, now_ms):
        """Return the software versions of the last second."""
        return self.registry.software_versions("s", 1_000, now_ms)

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


class Departures(unittest.TestCase):
    """Targets that leave or ask for a rest, and a list from an older copy."""

    def setUp(self):
        self.registry = registry.TargetRegistry()
        self.registry.put(target(), 0, 0)

    def is_open(self):
        """Return whether the target takes requests."""
        return self.registry.is_open("t1", "s")

    def test_a_target_that_said_it_leaves_stays_closed_for_its_lifetime(self):
        self.assertTrue(self.registry.mark_leaving("t1", 1))
        self.assertFalse(self.registry.mark_leaving("t1", 1))
        self.registry.remove("t1", 60_000)
        self.registry.put(target(), 0, 60_100)
        self.assertFalse(self.is_open())
        self.registry.put(target(born_ms=2), 0, 60_200)
        self.assertTrue(self.is_open())
        self.assertFalse(self.registry.mark_leaving("t1", 1))

    # Guards against requests to a target that said it leaves while its entry was gone:
    # the mark was dropped, and the entry came back.
    def test_a_target_that_leaves_while_its_entry_is_missing_stays_closed(self):
        self.registry.remove("t1", 60_000)
        self.assertTrue(self.registry.mark_leaving("t1", 1))
        self.registry.put(target(), 0, 60_100)
        self.assertFalse(self.is_open())

    # Guards against requests to a target that said it leaves, after a copy of the list
    # brought back the lifetime before, or an entry that shows it only later.
    def test_marks_of_two_lifetimes_stand_beside_each_other(self):
        self.registry.mark_leaving("t1", 1)
        self.registry.mark_leaving("t1", 2)
        self.assertFalse(self.is_open())
        self.registry.put(target(born_ms=2), 0, 60_000)
        self.assertFalse(self.is_open())
        self.registry.put(target(born_ms=3), 0, 60_100)
        self.assertTrue(self.is_open())

    # Guards against requests to a draining target after an older write of it: the store
    # may carry one out late, or come back from a copy.
    def test_an_older_write_of_a_target_reopens_nothing(self):
        self.registry.put(target(sequence=7, draining=True), 0, 60_000)
        self.registry.put(target(sequence=6), 0, 60_100)
        self.assertFalse(self.is_open())
        self.registry.put(target(sequence=8), 0, 60_200)
        self.assertTrue(self.is_open())

    # Guards against requests to a target whose answer, read as one of the lifetime
    # before, said that it leaves: its entry showed the restart only later.
    def test_a_new_lifetime_of_a_target_that_leaves_is_probed_first(self):
        self.registry.put(target("t2"), 0, 0)
        self.registry.mark_leaving("t1", 1)
        self.registry.put(target(born_ms=2), 0, 60_000)
        usable = [one.id for one in self.registry.usable("s", 60_001)]
        self.assertEqual(usable, ["t2"])
        self.registry.restore("t1", 0.0, 60_100)
        self.assertEqual(len(self.registry.usable("s", 60_101)), 2)

    def test_without_a_start_time_an_entry_that_returns_is_a_new_lifetime(self):
        self.registry.put(target(born_ms=0), 0, 1)
        self.registry.mark_leaving("t1", 0)
        self.registry.remove("t1", 60_000)
        self.registry.put(target(born_ms=0), 0, 60_100)
        self.assertTrue(self.is_open())

    def test_a_resting_target_is_left_out_even_if_it_is_the_only_one(self):
        self.registry.rest("t1", 500.0, 1_000)
        self.assertEqual(self.registry.usable("s", 1_499), [])
        self.assertEqual(self.registry.rest_left_ms("s", 1_100), 400.0)
        self.assertFalse(self.registry.accepts_calls("t1", 1_499))
        self.assertEqual(len(self.registry.usable("s", 1_500)), 1)
        self.assertIsNone(self.registry.rest_left_ms("s", 1_500))

    def test_an_answer_does_not_shorten_a_rest_and_an_absurd_one_is_bounded(self):
        self.registry.rest("t1", float("inf"), 0)
        reply = calls.Reply(200, "id", True, False, False, None, None)
        self.registry.record_reply("t1", reply, 1, 1)
        self.registry.rest("t1", 10.0, 1)
        self.assertEqual(self.registry.usable("s", registry.MAX_REST_MS - 1), [])
        self.assertEqual(len(self.registry.usable("s", registry.MAX_REST_MS)), 1)

    def test_an_older_copy_of_the_list_reopens_no_draining_target(self):
        self.registry.put(target(draining=True), 0, 100)
        self.registry.record_restore(1_000)
        self.registry.put(target(), 0, 1_001)
        self.registry.expire(1_002)
        self.assertFalse(self.is_open())
        self.registry.expire(1_000 + registry.RESTORE_GRACE_MS)
        self.assertTrue(self.is_open())

    def test_an_older_copy_of_the_list_reopens_no_target_that_was_removed(self):
        self.registry.remove("t1", 60_000)
        self.registry.record_restore(61_000)
        self.registry.put(target(), 0, 61_001)
        self.assertFalse(self.is_open())
        self.registry.put(target(born_ms=2), 0, 61_002)
        self.registry.expire(61_000 + registry.RESTORE_GRACE_MS)
        self.assertTrue(self.is_open())

    def test_a_target_that_the_copy_lacks_is_kept_for_a_grace_period(self):
        self.registry.record_restore(61_000)
        self.registry.replace(set(), 61_001)
        self.assertTrue(self.is_open())


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
        self.registry.record_reply("a", reply, 1, 1)
        self.assertEqual(len(self.registry.usable("s", 1)), 2)
        state = self.registry.state("a")
        self.assertEqual((state.load.waiting, state.is_cold(900)), (2, True))
        self.assertFalse(state.is_cold(901))

    def test_refusals_in_a_row_pause_longer(self):
        self.registry.back_off("a", 100, 0)
        self.assertEqual(len(self.registry.usable("s", 100)), 2)
        self.registry.back_off("a", 100, 100)
        self.assertEqual(len(self.registry.usable("s", 250)), 1)
