"""Evidence of prompt parts that crash targets."""

import random
import unittest

from cornelreach.gateway import calls, crashes, datagrams
from cornelreach.util import timers

BAD, SOUND = "request-bad", "request-sound"


def call(*keys):
    """Return a prompt with these parts."""
    parts = tuple(calls.Part(key, 10) for key in keys)
    return calls.Call("id", None, None, "m", 10, 10, parts, None)


class Case(unittest.TestCase):
    """A log in virtual time."""

    def setUp(self):
        self.clock = timers.VirtualTimers(start_ms=100_000)
        self.log = crashes.CrashLog(self.clock)

    def crash(self, target, *prompts, begun=True, after_ms=1_000):
        """Record a crash of a target with these prompts, each a tuple of parts."""
        self.clock.advance(after_ms)
        for parts in prompts:
            prompt = hash((target, parts))
            lifetime = crashes.Lifetime(target, 1)
            self.log.record_loss(lifetime, prompt, parts, begun)

    def crash_on(self, target, *names, after_ms=1_000):
        """Record a crash of a target with plain requests, each by its name."""
        self.crash(target, *((one,) for one in names), begun=False, after_ms=after_ms)

    def sound(self, *parts):
        """Record a whole answer."""
        self.log.record_sound(parts, self.clock.now_ms())


class Names(unittest.TestCase):
    """Names of parts."""

    def test_the_last_part_is_never_shared(self):
        self.assertEqual(crashes.shared_parts(call("a", "b", "c")), ("m.a", "m.b"))
        self.assertEqual(crashes.shared_parts(call("a")), ())
        self.assertEqual(crashes.shared_parts(call()), ())

    def test_names_are_short_and_safe_in_keys(self):
        for key in ("a/b", "x" * 500, "\xe9", "", "a.b", "a\n"):
            self.assertRegex(crashes.part_name("m", key), r"^[0-9a-f]{16}\Z")

    def test_a_repeated_prompt_has_the_same_hash(self):
        self.assertEqual(crashes.prompt_hash(call("a")), crashes.prompt_hash(call("a")))
        self.assertNotEqual(
            crashes.prompt_hash(call("a")), crashes.prompt_hash(call("b"))
        )


class CrashLog(Case):
    """Which parts are guilty."""

    def test_a_part_of_two_crashes_that_had_begun_is_guilty(self):
        self.crash("t1", ("a", "bad", "doc1"), ("a", "doc2"))
        self.assertEqual(self.log.guilty_parts(), [])
        self.sound("a")
        self.crash("t2", ("a", "bad", "doc3"))
        self.assertEqual(self.log.guilty_parts(), ["bad"])

    def test_prompts_that_had_not_begun_count_half(self):
        for number in range(3):
            self.crash(f"t{number}", ("bad", f"doc{number}"), begun=False)
            self.assertEqual(self.log.guilty_parts(), [])
        self.crash("t3", ("bad", "doc3"), begun=False)
        self.assertEqual(self.log.guilty_parts(), ["bad"])

    # Guards against refusing the part that most prompts share, as all crashes have it.
    def test_a_part_that_was_sound_shortly_before_needs_more_crashes(self):
        self.sound("a")
        for number in range(4):
            self.crash(f"t{number}", ("a", f"doc{number}"))
        self.assertEqual(self.log.guilty_parts(), [])
        self.crash("t4", ("a", "doc4"))
        self.assertEqual(self.log.guilty_parts(), ["a"])

    def test_a_whole_answer_clears_a_part(self):
        for number in range(20):
            self.crash(f"t{number}", ("a", f"doc{number}"))
            self.sound("a")
        self.assertEqual(self.log.guilty_parts(), [])

    # Guards against refusing a sound document that one prompt takes to several targets.
    def test_a_prompt_that_is_repeated_counts_once(self):
        for number in range(6):
            self.clock.advance(1_000)
            self.log.record_loss(
                crashes.Lifetime(f"t{number}", 1), 77, ("doc", "bad"), True
            )
        self.assertEqual(self.log.guilty_parts(), [])
        self.crash("t9", ("bad", "doc9"))
        self.assertEqual(self.log.guilty_parts(), ["bad"])

    # Guards against missing the bad part of a prompt with a long history.
    def test_a_bad_part_behind_many_sound_ones_is_found(self):
        history = [f"turn{number}" for number in range(40)]
        self.sound(*(f"m.{one}" for one in history))
        for target in ("t1", "t2"):
            prompt = call(*history, "bad", f"own{target}")
            self.crash(target, crashes.shared_parts(prompt))
        self.assertEqual(self.log.guilty_parts(), ["m.bad"])

    def test_a_crash_that_a_quarantined_part_explains_counts_against_no_other(self):
        for number in range(9):
            self.crash(f"t{number}", ("bad", f"doc{number}"), ("a", f"own{number}"))
        self.assertEqual(self.log.guilty_parts(), ["a", "bad"])
        self.assertEqual(self.log.guilty_parts({"bad"}), [])

    # Guards against refusing a sound part because it was only seen with the bad one.
    def test_parts_of_the_same_prompts_need_more_crashes(self):
        for number in range(4):
            self.crash(f"t{number}", ("a", "bad", f"doc{number}"))
            self.assertEqual(self.log.guilty_parts(), [])
        self.sound("a")
        self.assertEqual(self.log.guilty_parts(), ["bad"])
        self.crash("t5", ("b", "worse"))
        self.crash("t6", ("b", "worse"))
        self.assertEqual(self.log.guilty_parts({"bad"}), [])
        for number in range(7, 10):
            self.crash(f"t{number}", ("b", "worse"))
        self.assertEqual(self.log.guilty_parts({"bad"}), ["b", "worse"])

    # Guards against taking a power cut of many targets for crashes by a common part.
    def test_crashes_of_one_moment_count_once(self):
        for number in range(9):
            self.crash(f"t{number}", ("a", f"doc{number}"), after_ms=5)
        self.assertEqual(self.log.guilty_parts(), [])

    def test_further_losses_of_one_lifetime_are_the_same_crash(self):
        for number in range(9):
            self.crash("t1", ("a", f"doc{number}"))
        self.assertEqual(self.log.guilty_parts(), [])

    def test_old_crashes_are_forgotten(self):
        self.crash("t1", ("bad", "doc1"))
        self.clock.advance(crashes.KEPT_MS)
        self.crash("t2", ("bad", "doc2"))
        self.assertEqual(self.log.guilty_parts(), [])

    def test_memory_is_bounded(self):
        for number in range(2 * crashes.MAX_CRASHES):
            prompts = [("a", f"doc{number}.{one}") for one in range(50)]
            self.crash(f"t{number}", *prompts, begun=False, after_ms=200)
            self.crash(f"t{number}", ("b", f"doc{number}"), after_ms=0)
        self.crash("last", ("z",), begun=True, after_ms=crashes.KEPT_MS)
        self.crash("later", ("y",), after_ms=1)
        self.assertEqual(set(self.log._by_part), {"z", "y"})
        self.sound(*map(str, range(2 * crashes.MAX_SOUND)))
        self.assertLessEqual(len(self.log._crashes), crashes.MAX_CRASHES)
        self.assertLessEqual(len(self.log._sound_ms), crashes.MAX_SOUND)
        kept = next(iter(self.log._crashes.values()))
        self.assertLessEqual(len(kept.prompts), crashes.MAX_PROMPTS)

    def test_reports_of_several_instances_add_up_in_any_order(self):
        other = crashes.CrashLog(self.clock)
        self.crash("t1", ("bad", "doc1"))
        other.record_loss(crashes.Lifetime("t2", 1), 5, ("bad", "doc2"), True)
        reports = [*self.log.reports("i1", 2_500, True)]
        reports += other.reports("i2", 2_500, True)
        for seed in range(20):
            third = crashes.CrashLog(self.clock)
            order = reports * 2
            random.Random(seed).shuffle(order)
            self.clock.advance(1)
            for one in order:
                third.merge(one)
            self.assertEqual(len(third._crashes), 2)
            self.assertEqual(third.evidence("bad").weight, 2)  # the same moment

    def test_a_report_fits_into_datagrams(self):
        for number in range(40):
            parts = tuple(f"m.{'x' * 20}{part}" for part in range(16))
            self.crash("t1", (f"doc{number}", *parts), after_ms=0)
        (report,) = self.log.reports("i1", 2_500, True)
        found = datagrams.crash_reports(report)
        self.assertEqual(sum(len(one.prompts) for one in found), crashes.MAX_PROMPTS)
        for one in found:
            data = datagrams.encode(one)
            self.assertLessEqual(len(data), datagrams.MAX_BYTES)
            self.assertEqual(datagrams.decode(data), one)


class RepeatedRequests(Case):
    """Which requests are guilty."""

    def test_a_request_of_three_crashes_is_guilty(self):
        for number in range(3):
            self.assertEqual(self.log.guilty_parts(), [])
            self.crash_on(f"t{number}", BAD, f"request-{number}")
        self.assertEqual(self.log.guilty_parts(), [BAD])

    # Guards against refusing a sound request that was lost with the guilty one.
    def test_a_request_in_the_same_crashes_needs_more_of_them(self):
        for number in range(3):
            self.crash_on(f"t{number}", BAD, SOUND)
        self.assertEqual(self.log.guilty_parts(), [])
        self.crash_on("t3", BAD)
        self.assertEqual(self.log.guilty_parts(), [BAD])
        self.crash_on("t4", BAD, SOUND)
        self.assertEqual(self.log.guilty_parts({BAD}), [])

    def test_a_whole_answer_clears_a_request(self):
        for number in range(9):
            self.crash_on(f"t{number}", SOUND)
            self.sound(SOUND)
        self.assertEqual(self.log.guilty_parts(), [])

    # Guards against taking a power cut for crashes by a request that was repeated.
    def test_crashes_of_one_moment_count_once_if_others_end_without_it(self):
        for number in range(6):
            self.crash_on(f"t{number}", BAD, after_ms=40)
        self.assertEqual(self.log.guilty_parts(), [BAD])
        self.clock.advance(crashes.KEPT_MS)
        for number in range(10, 16):
            self.crash_on(f"t{number}", SOUND, after_ms=40)
            self.crash_on(f"u{number}", f"request-{number}", after_ms=5)
        self.assertEqual(self.log.evidence(SOUND).weight, 2)

    # Guards against refusing the shared parts of a prompt that alone comes back.
    def test_a_repeated_prompt_is_refused_and_not_its_parts(self):
        for number in range(9):
            self.clock.advance(1_000)
            lifetime = crashes.Lifetime(f"t{number}", 1)
            self.log.record_loss(lifetime, 77, (BAD, "m.a", "m.b"), True)
        self.assertEqual(self.log.guilty_parts(), [BAD])

    # Guards against missing a part because each prompt with it was refused by itself.
    def test_a_part_is_found_beside_its_quarantined_requests(self):
        for number in range(4):
            self.clock.advance(1_000)
            lifetime = crashes.Lifetime(f"t{number}", 1)
            prompt = number // 2
            names = (f"request-{prompt}", "m.bad", f"m.doc{prompt}")
            self.log.record_loss(lifetime, prompt, names, True)
            self.log.record_loss(lifetime, 9, ("request-9", "m.a"), True)
        held = {"request-0", "request-1"}
        self.assertEqual(self.log.guilty_parts(held), ["m.bad"])

    # Guards against requests that wait for each other since their instance was cut off
    # from several targets at once.
    def test_losses_in_quick_succession_are_one_moment(self):
        for number, wait_ms in enumerate((0, 200, 200, 700)):
            self.clock.advance(wait_ms)
            lifetime = crashes.Lifetime(f"t{number}", 1)
            self.log.record_loss(lifetime, 1, ("request-a",), begun=False)
        self.assertEqual(self.log.crash_moments("request-a"), 2)
        self.log.record_sound(("request-a",), self.clock.now_ms())
        self.assertEqual(self.log.crash_moments("request-a"), 0)

    def test_requests_of_one_prompt_are_told_apart(self):
        lifetime = crashes.Lifetime("t1", 1)
        for name in (SOUND, BAD):
            self.log.record_loss(lifetime, 77, (name, "m.a"), True)
        for number in (2, 3):
            self.crash_on(f"t{number}", BAD)
        self.assertEqual(self.log.guilty_parts(), [BAD])
