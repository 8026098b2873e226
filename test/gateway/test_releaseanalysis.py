"""Verdicts over software rollouts, from simulated responses and from given counts."""

import random
import time
import unittest

from cornelreach.gateway import releaseanalysis, releasecomparison, releasecounts
from test.gateway import releaseworld

SEEDS = 4
FALSE_ALARM_RUNS = 1_000
Phase = releaseanalysis.Phase
bad = releaseworld.bad
BAD = {
    "fails 0.1": bad(0.1),
    "fails 0.3": bad(0.3),
    "fails 0.9": bad(0.9),
    "fails late": bad(0.3, since_ms=3_000),
    "fails under load": bad(0.5, load=0.6),
    "fails on one route": bad(0.5, route="/run/"),
    "slow by 3": bad(times=3),
    "slow by 8": bad(times=8),
    "slow in part": bad(times=3, slow_share=0.3),
    "slow in half": bad(times=3, slow_share=0.5),
    "slow late": bad(times=4, since_ms=3_000),
    "slow under load": bad(times=8, load=0.6),
    "slow on one route": bad(times=3, route="/run/"),
    "fails and slow": bad(0.3, times=3),
}


def flaky(source, route, age_ms, load):
    """Fail 14 of 100 on one route, and 1 of 100 on the others."""
    return source.random() < (0.14 if route == "/run/" else 0.01), 1.0


def impaired(source, route, age_ms, load):
    """Fail half of the responses and respond slowly, in every fourth second."""
    is_bad = age_ms % 4_000 < 1_000
    return is_bad and source.random() < 0.5, 3.0 if is_bad else 1.0


def counts(old, new, route="/chat/", times=(0, 0)):
    """Return counts; ``old`` and ``new`` are responses and failures."""
    result = {}
    for is_new, (responses, failures) in ((False, old), (True, new)):
        held = [0] * releasecounts.BUCKETS
        held[8 + 3 * is_new] = times[is_new]
        result[route, is_new] = releaseanalysis.RouteCounts(
            responses, failures, tuple(held)
        )
    return result


def analysis(duration_ms=12_000.0):
    """Return the analysis of an order that has just been given."""
    order = releaseanalysis.Order("s", "v2", "1", duration_ms)
    return releaseanalysis.Analysis(order)


class Simulated(unittest.TestCase):
    """Orders that are played from their beginning to their deadline."""

    def check(self, phase, new, **options):
        """Play orders, and check how they end and what the new version got."""
        for seed in range(SEEDS):
            world = releaseworld.World(seed, new, **options).run()
            detail = (seed, options, world.judgement)
            self.assertEqual(world.phase, phase, detail)
            if phase == Phase.REVERTED:
                self.assertLessEqual(world.excess(), 0, detail)
                self.assertLess(world.late_ms(), releaseworld.GOAL_MS, detail)

    # Guards against a bad version that is taken for good, or gets too many requests.
    def test_bad_versions_are_reverted(self):
        for name, version in BAD.items():
            for targets in (2, 6, 20):
                with self.subTest(name, targets=targets):
                    self.check(Phase.REVERTED, version, targets=targets, per_s=160)

    # Guards against a version that is bad on the route of requests that run once only,
    # and against an old version whose failures on one route hide those on others.
    def test_bad_routes_are_found(self):
        once, chat = bad(0.9, route="/once/"), bad(0.5, route="/chat/")
        self.check(Phase.REVERTED, once, per_s=160)
        self.check(Phase.REVERTED, once, per_s=160, routes={"/once/": 1.0})
        self.check(Phase.REVERTED, chat, old=flaky, per_s=160)

    # Guards against few requests that do not show a bad version while it is observed,
    # or keep a good one from succeeding.
    def test_few_requests_are_enough(self):
        self.check(Phase.REVERTED, bad(0.5), per_s=20)
        for per_s in (0.01, 2, 10, 40):
            with self.subTest(per_s=per_s):
                self.check(Phase.SUCCEEDED, releaseworld.good, per_s=per_s)

    # Guards against verdicts on what impairs both versions alike.
    def test_equally_impaired_versions_give_no_verdict(self):
        for version in (flaky, impaired, bad(0.3), bad(times=4), bad(0.2, times=3)):
            self.check(Phase.SUCCEEDED, version, old=version)
            self.check(Phase.SUCCEEDED, releaseworld.good, old=version)

    # Guards against verdicts that need the reports of all instances.
    def test_half_of_the_instances_may_be_silent(self):
        options = {"instances": 8, "silent": 4, "per_s": 240}
        self.check(Phase.SUCCEEDED, releaseworld.good, **options)
        self.check(Phase.REVERTED, bad(0.3), **options)
        self.check(Phase.REVERTED, bad(times=3), **options)

    # Guards against good versions that are taken for slow while their caches are empty.
    def test_cold_targets_are_not_slow(self):
        self.check(Phase.SUCCEEDED, releaseworld.good, cold_ms=4_000)
        self.check(Phase.REVERTED, bad(0.3), cold_ms=3_000, per_s=160)

    # Guards against false alarms by chance, of which many comparisons make some.
    def test_good_versions_give_no_false_alarm(self):
        for seed in range(FALSE_ALARM_RUNS):
            source = random.Random(seed)
            version = source.choice((releaseworld.good, flaky))
            options = {
                "per_s": source.choice((20, 60)),
                "targets": source.choice((1, 2, 4, 9, 20)),
                "instances": source.choice((1, 3, 8)),
                "cold_ms": source.choice((0, 3_000)),
            }
            world = releaseworld.World(seed, version, version, **options).run()
            detail = (seed, options, world.judgement)
            self.assertEqual(world.phase, Phase.SUCCEEDED, detail)


class Given(unittest.TestCase):
    """Verdicts over given counts."""

    # Guards against a verdict that the old version's rate explains.
    def test_tail_is_that_of_an_estimated_rate(self):
        tail = releasecomparison.tail_probability
        # Of a Poisson distribution with mean 1: 1 - e**-1 * (1 + 1 + 1/2 + 1/6).
        self.assertAlmostEqual(tail(4, 1.0, 1e9), 0.018988, places=5)
        # One failure in as many responses, estimated from none: a geometric one.
        self.assertAlmostEqual(tail(10, 1.0, 1.0), 2.0**-10, places=7)
        self.assertEqual(tail(0, 0.5, 1.0), 1.0)
        self.assertLess(tail(50_000, 500.0, 100.0), 1e-100)

    # Guards against data lost or counted twice when an instance starts again.
    def test_counts_may_fall(self):
        one = analysis()
        one.observe(1_000, counts((100, 0), (10, 2), times=(100, 8)))
        one.observe(1_200, counts((60, 0), (4, 0), times=(60, 4)))
        one.observe(1_400, {})
        judgement = one.judge(1_400)
        self.assertEqual(judgement[2:6], (100, 0, 10, 2))
        one.observe(1_600, counts((250, 0), (22, 10)))
        one.observe(2_100, counts((400, 0), (40, 20)))
        judgement = one.judge(2_100)
        self.assertEqual(judgement[2:6], (500, 0, 50, 22))
        self.assertEqual(judgement.phase, Phase.REVERTING)

    # Guards against verdicts on slow responses that do not say why.
    def test_slow_responses_are_named(self):
        one = analysis()
        one.observe(1_000, counts((200, 0), (14, 0), times=(200, 14)))
        judgement = one.judge(1_000)
        self.assertEqual(judgement.phase, Phase.REVERTING)
        self.assertIn("14 of 14 responses slow", judgement.reason)
        one.adopt(Phase.REVERTED)
        self.assertEqual(one.judge(1_200).reason, judgement.reason)
        self.assertEqual(one.judge(1_200).phase, Phase.REVERTED)

    # Guards against a good version that is rolled back for prompts that wait for each
    # other where caches are empty: in a trial, 48 of 751 were slow, and 19 expected.
    def test_bursts_of_slow_responses_are_no_verdict(self):
        def held(normal, slow):
            times = [0] * releasecounts.BUCKETS
            times[8], times[11] = normal, slow
            return releaseanalysis.RouteCounts(normal + slow, 0, tuple(times))

        old = {("/chat/", False): held(3_900, 100)}
        for slow, phase in ((48, Phase.SHIFTING), (250, Phase.REVERTING)):
            one = analysis()
            one.adopt(Phase.SHIFTING)
            one.observe(6_500, old)
            one.observe(7_000, old | {("/chat/", True): held(751 - slow, slow)})
            judgement = one.judge(7_100)
            self.assertLess(judgement.finding.probability, 1e-5)
            self.assertEqual(judgement.phase, phase)

    # Guards against a version that turns bad when it gets all requests.
    def test_shifting_is_reverted(self):
        one = analysis()
        one.observe(6_500, counts((800, 0), (60, 0)))
        self.assertEqual(one.judge(6_600).phase, Phase.SHIFTING)
        one.observe(7_000, counts((810, 0), (100, 6)))
        one.observe(7_500, counts((830, 0), (150, 13)))
        one.observe(8_000, counts((850, 0), (200, 20)))
        self.assertEqual(one.judge(8_000).phase, Phase.REVERTING)

    # Guards against a good version that is rolled back because one target crashed with
    # all that was under way there, and against many failures that wait for more.
    def test_one_crash_is_no_verdict(self):
        for start_ms, phase in ((2_000, Phase.OBSERVING), (7_000, Phase.SHIFTING)):
            one = analysis()
            one.observe(start_ms, counts((800, 0), (60, 0)))
            one.judge(start_ms)
            one.observe(start_ms + 400, counts((900, 0), (75, 10)))
            one.observe(start_ms + 600, counts((950, 0), (90, 24)))
            self.assertEqual(one.judge(start_ms + 600).phase, phase)
            one.observe(start_ms + 800, counts((950, 0), (120, 48)))
            self.assertEqual(one.judge(start_ms + 800).phase, Phase.REVERTING)

    # Guards against shifting to a version that has no targets, or never responds well.
    def test_version_that_does_not_respond_is_reverted(self):
        one = analysis()
        one.observe(11_000, counts((800, 0), (0, 0)))
        self.assertEqual(one.judge(11_900, has_targets=False).phase, Phase.OBSERVING)
        self.assertEqual(one.judge(12_000, has_targets=False).phase, Phase.REVERTING)
        one = analysis()
        one.observe(8_500, counts((800, 0), (3, 3)))
        self.assertEqual(one.judge(8_500).phase, Phase.OBSERVING)
        self.assertEqual(one.judge(10_800).phase, Phase.REVERTING)

    # Guards against absurd response times, which no bucket holds.
    def test_any_ratio_has_a_bucket(self):
        recorder = releaseanalysis.Recorder()
        for ratio in (0.0, -1.0, 1e-9, 0.05, 74.0, 1e300, float("inf"), float("nan")):
            recorder.add("/chat/", True, False, ratio)
        held = recorder.counts()["/chat/", True]
        self.assertEqual((held.responses, sum(held.times), held.times[-1]), (8, 8, 3))

    # Guards against success while requests run at the old targets.
    def test_handover_waits_for_old_targets(self):
        order = releaseanalysis.Order("s", "v2", "1", 12_000.0)
        one = releaseanalysis.Handover(order)
        self.assertFalse(one.is_complete(0, 7_000, True, 0))
        self.assertFalse(one.is_complete(200, 7_200, True, 1))
        self.assertFalse(one.is_complete(400, 7_400, True, 0))
        self.assertFalse(one.is_complete(800, 7_800, True, 0, is_suspect=True))
        self.assertTrue(one.is_complete(800, 7_800, True, 0))
        self.assertTrue(one.is_complete(900, 11_200, False, 3, is_suspect=True))

    # Guards against judgements that hold up the event loop, on long orders as well.
    def test_judgement_is_fast(self):
        for duration_ms in (16_000.0, 600_000.0):
            one = analysis(duration_ms)
            for step in range(80):
                total = {}
                for route in "abcdef":
                    old, new = 50 * step, 4 * step
                    total |= counts((old, 0), (new, 0), route, (old, new))
                one.observe(step * duration_ms / 80, total)
            took_s = []
            for _ in range(20):
                start_s = time.process_time()
                one.judge(duration_ms / 2)
                took_s.append(time.process_time() - start_s)
            self.assertLess(min(took_s), 0.001)
