"""Quarantine of prompt parts: confirmation, release and trials."""

import unittest

from cornelreach.gateway import crashes, quarantine
from cornelreach.util import timers


class Quarantine(unittest.TestCase):
    """One instance in virtual time."""

    def setUp(self):
        self.clock = timers.VirtualTimers(start_ms=100_000)
        self.quarantine = quarantine.Quarantine(self.clock)
        self.quarantine.confirm_ms = lambda: 400.0
        self.due, self.held, self.released = [], [], []
        self.quarantine.on_trial_due = self.due.append
        self.quarantine.on_hold = self.held.append
        self.quarantine.on_release = lambda part, version: self.released.append(
            (part, version)
        )

    def crash(self, count=2):
        """Crash some targets by prompts with a bad part."""
        for number in range(count):
            self.clock.advance(500)
            lifetime = crashes.Lifetime(f"t{number}", round(self.clock.now_ms()))
            parts = ("a", "bad", f"doc{number}")
            self.quarantine.record_loss(lifetime, number, parts, begun=True)
            self.quarantine.record_answer(("a",))

    def hold(self):
        """Quarantine the bad part, with an entry in the store."""
        self.crash()
        self.clock.advance(500)
        self.quarantine.apply_entry("bad", 7, 0)

    def test_a_guilty_part_is_refused_once_it_is_confirmed(self):
        self.crash()
        self.clock.advance(quarantine.EVALUATE_MS + 399)
        self.assertIsNone(self.quarantine.refuse_ms(("a", "bad")))
        self.clock.advance(1)
        self.assertGreater(self.quarantine.refuse_ms(("a", "bad")), 290_000)
        self.assertIsNone(self.quarantine.refuse_ms(("a", "doc1")))
        self.assertEqual(self.held, ["bad"])

    def test_a_whole_answer_elsewhere_ends_the_suspicion(self):
        self.crash()
        self.clock.advance(100)
        self.quarantine.crash_log.record_sound(("bad",), self.clock.now_ms())
        self.clock.advance(400)
        self.assertIsNone(self.quarantine.refuse_ms(("bad",)))

    def test_a_whole_answer_here_releases_the_part(self):
        self.hold()
        self.quarantine.record_answer(("a", "bad"))
        self.assertIsNone(self.quarantine.refuse_ms(("bad",)))
        self.assertEqual(self.released, [("bad", 7)])

    # Guards against holding a sound part again whose entry was being written.
    def test_an_entry_that_shows_after_the_release_is_given_back(self):
        self.crash()
        self.clock.advance(500)
        self.quarantine.record_answer(("bad",))
        self.quarantine.apply_entry("bad", 7, 0)
        self.assertIsNone(self.quarantine.refuse_ms(("bad",)))
        self.assertEqual(self.released, [("bad", None), ("bad", 7)])
        self.quarantine.remove_entry("bad")
        self.quarantine.apply_entry("bad", 9, 0)
        self.assertTrue(self.quarantine.holds(("bad",)))

    def test_a_later_whole_answer_elsewhere_releases_the_part_without_a_write(self):
        self.hold()
        held_ms = self.quarantine.held["bad"].since_ms
        self.quarantine.record_answer_elsewhere("bad", held_ms - 1)
        self.assertTrue(self.quarantine.holds(("bad",)))
        self.quarantine.record_answer_elsewhere("bad", held_ms + 1)
        self.assertFalse(self.quarantine.holds(("bad",)))
        self.assertEqual(self.released, [])

    # Guards against a restarted instance that sends such prompts again.
    def test_an_entry_of_the_store_is_held_without_any_crash(self):
        self.quarantine.apply_entry("bad", 7, 0)
        self.assertGreater(self.quarantine.refuse_ms(("bad",)), 290_000)
        self.quarantine.remove_entry("bad")
        self.assertIsNone(self.quarantine.refuse_ms(("bad",)))

    def test_a_trial_sends_one_prompt_and_defers_the_next_trial(self):
        self.hold()
        self.clock.advance(quarantine.FIRST_TRIAL_MS)
        self.assertIsNotNone(self.quarantine.refuse_ms(("bad",)))
        self.assertIsNotNone(self.quarantine.refuse_ms(("bad",)))
        self.assertEqual(self.due, ["bad"])
        held = self.quarantine.held["bad"]
        held.update(8, 1, self.clock.now_ms())
        held.has_trial = True
        self.assertIsNone(self.quarantine.refuse_ms(("bad", "doc5")))
        left_ms = self.quarantine.refuse_ms(("bad", "doc6"))
        self.assertGreater(left_ms, 3.9 * quarantine.FIRST_TRIAL_MS)

    def test_a_trial_that_another_instance_has_defers_this_one(self):
        self.hold()
        self.clock.advance(quarantine.FIRST_TRIAL_MS)
        self.quarantine.apply_entry("bad", 8, 1)
        left_ms = self.quarantine.refuse_ms(("bad",))
        self.assertGreater(left_ms, 3.9 * quarantine.FIRST_TRIAL_MS)
        self.assertEqual(self.due, [])

    # Guards against refusing a sound request alone, in place of the guilty one.
    def test_requests_of_the_same_crashes_are_refused_together(self):
        names = ("request-bad", "request-sound")
        for number in range(crashes.REQUEST_LIMITS.in_doubt):
            self.clock.advance(500)
            self.assertFalse(self.quarantine.holds(names))
            for one in names:
                lifetime = crashes.Lifetime(f"t{number}", 1)
                self.quarantine.record_loss(lifetime, hash(one), (one,), begun=False)
        self.clock.advance(500)
        self.assertEqual(set(self.quarantine.held), set(names))

    def lose(self, name, targets):
        """Crash targets on a plain request, one after the other."""
        for target in targets:
            self.clock.advance(500)
            lifetime = crashes.Lifetime(target, 1)
            self.quarantine.record_loss(lifetime, hash(name), (name,), begun=False)
        self.clock.advance(500)

    # Guards against refusing a sound request for crashes of one that is found later.
    def test_a_request_held_for_the_crashes_of_another_is_released(self):
        shared = [f"t{number}" for number in range(crashes.REQUEST_LIMITS.usual)]
        self.lose("request-sound", shared)
        self.quarantine.apply_entry("request-sound", 7, 0)
        self.assertEqual(self.held, ["request-sound"])
        self.lose("request-bad", shared)
        self.assertEqual(set(self.quarantine.held), {"request-sound"})
        self.lose("request-bad", ("t7", "t8", "t9"))
        self.assertEqual(set(self.quarantine.held), {"request-bad"})
        self.assertEqual(self.released, [("request-sound", 7)])

    # Guards against releasing a guilty request because another one is guilty as well.
    def test_a_request_with_crashes_of_its_own_stays_held(self):
        self.lose("request-first", ("t0", "t1", "t2"))
        self.quarantine.apply_entry("request-known", 7, 0)
        self.lose("request-second", ("t3", "t4", "t5"))
        self.assertEqual(self.released, [])
        self.assertEqual(self.quarantine.count(requests=True), 3)

    # Guards against releasing a guilty request that was often lost with another one.
    def test_a_request_with_a_single_crash_of_its_own_stays_held(self):
        self.lose("request-first", ("t0", "t1", "t2"))
        self.lose("request-second", ("t1", "t2"))
        self.assertEqual(set(self.quarantine.held), {"request-first"})
        self.lose("request-second", ("t3", "t4", "t5"))
        self.assertEqual(self.released, [])
        self.assertEqual(self.quarantine.count(requests=True), 2)

    # Guards against giving back the entry of what is guilty again after a release.
    def test_a_request_that_is_held_again_keeps_its_entry(self):
        self.lose("request-bad", ("t0", "t1", "t2"))
        self.quarantine.record_answer(("request-bad",))
        self.lose("request-bad", ("t3", "t4", "t5", "t6", "t7"))
        self.quarantine.apply_entry("request-bad", 9, 0)
        self.assertEqual(self.released, [("request-bad", None)])
        self.assertEqual(self.quarantine.held["request-bad"].version, 9)

    def test_the_oldest_of_very_many_requests_are_released(self):
        for number in range(quarantine.MAX_REQUESTS + 1):
            self.quarantine.apply_entry(f"request-{number}", 7, 0)
        self.quarantine.apply_entry("bad", 7, 0)
        self.assertEqual(self.quarantine.count(requests=True), quarantine.MAX_REQUESTS)
        self.assertEqual(self.quarantine.count(requests=False), 1)
        self.assertEqual(self.released, [("request-0", 7)])

    def test_entries_are_written_again_after_a_restore(self):
        self.hold()
        self.held.clear()
        self.quarantine.forget_entries()
        self.assertEqual(self.held, ["bad"])
        self.assertIsNotNone(self.quarantine.refuse_ms(("bad",)))
