"""The share of requests that a new version gets while it is observed."""

import random
import unittest

from cornelreach.gateway import registry, releaseanalysis, releaseexposure

DURATION_MS = 12_000.0
SHARE = 0.1
CANARY = SHARE * releaseexposure.CANARY_SHARE
ORDER = releaseanalysis.Order("s", "v2", "1", DURATION_MS)
Phase = releaseanalysis.Phase
OLD, NEW = releaseexposure.Lane


def make_targets(count):
    """Return targets of the new version."""
    return [
        registry.Target(f"new-{n}", "s", "", "", 8, False, {}, 1) for n in range(count)
    ]


def is_warm(target):
    """Return that a target is not cold."""
    return False


class Share(unittest.TestCase):
    """Requests that come to one or several instances."""

    def exposure(self, count=0):
        """Return the exposure of one instance."""
        found = releaseexposure.Exposure(ORDER, SHARE)
        found.target_count = count
        return found

    def lane(self, exposure, now_ms, phase=Phase.OBSERVING, draw=0.0, **changes):
        """Return the lane of one request."""
        names = "is_at_most_once", "is_only_kind", "is_retry"
        options = {"is_granted": True, **dict.fromkeys(names, False), **changes}
        return exposure.lane(now_ms, now_ms, phase, draw=draw, **options)

    def sent(self, targets, instances, per_s, seed=1):
        """Return when requests of all instances went to the new version, and of all."""
        source = random.Random(seed)
        exposures = [self.exposure(targets) for _ in range(instances)]
        now_ms, times, requests = 0.0, [], 0
        while (now_ms := now_ms + source.expovariate(per_s) * 1_000) < DURATION_MS:
            requests += 1
            one = source.choice(exposures)
            if self.lane(one, now_ms, draw=source.random()) is NEW:
                times.append(now_ms)
        return times, requests

    # Guards against more requests than the bound allows, or too few for a verdict.
    def test_share_is_kept(self):
        for targets in (0, 1, 2, 3, 6, 14, 15, 21, 60):
            for instances, per_s in ((1, 100), (5, 300), (60, 120)):
                with self.subTest(targets=targets, instances=instances):
                    times, requests = self.sent(targets, instances, per_s)
                    self.assertLessEqual(len(times), SHARE * requests)
                    self.assertGreater(len(times), 0.6 * CANARY * requests)

    # Guards against few targets that are never observed under the load of an old one.
    def test_pulses_load_targets_as_old_ones(self):
        for targets in (2, 4, 8):
            times, _ = self.sent(targets, 3, 600)
            spans = [0] * int(DURATION_MS / 100)
            for at_ms in times:
                spans[int(at_ms / 100)] += 1
            chosen = len(
                self.exposure().canary_targets(0, make_targets(targets), is_warm)
            )
            usual = 60 / targets  # requests that an old target gets in 100 ms
            with self.subTest(targets=targets):
                busiest = sorted(spans)[-8:]
                self.assertGreater(sum(busiest) / 8 / chosen, 0.8 * usual)
                self.assertLess(sum(busiest) / 8 / chosen, 1.6 * usual)
                self.assertLess(min(times), 0.3 * DURATION_MS)
                self.assertGreater(spans.count(0), len(spans) / 2 if targets < 4 else 0)

    # Guards against requests for a version that no directive allows, or that is bad.
    def test_phase_and_grant_decide(self):
        one = self.exposure()
        for _ in range(100):
            self.assertIs(self.lane(one, 0.0, is_granted=False), OLD)
        self.assertIs(self.lane(one, 0.0), NEW)
        for phase in (Phase.REVERTING, Phase.REVERTED):
            self.assertIs(self.lane(one, 1.0, phase), OLD)
        self.assertIs(self.lane(one, 2.0, Phase.SHIFTING, draw=0.6), OLD)
        self.assertIs(self.lane(one, 3.0, Phase.SHIFTING, draw=0.4), NEW)
        self.assertIs(self.lane(one, 3.0, Phase.SHIFTING, is_retry=True), OLD)
        later_ms = 2.0 + releaseexposure.HALF_MS
        self.assertIs(self.lane(one, later_ms, Phase.SHIFTING, draw=0.9), NEW)
        self.assertIs(self.lane(one, later_ms, Phase.SHIFTING, is_granted=False), OLD)
        self.assertIs(self.lane(one, later_ms, Phase.SUCCEEDED, is_granted=False), NEW)

    # Guards against canary traffic of requests that may run only once, and of retries.
    def test_requests_that_may_not_fail_stay(self):
        one = self.exposure()
        for _ in range(100):
            self.lane(one, 0.0, is_granted=False)
        self.assertIs(self.lane(one, 0.0, is_retry=True), OLD)
        self.assertIs(self.lane(one, 0.0, is_at_most_once=True), OLD)
        only = {"is_at_most_once": True, "is_only_kind": True}
        self.assertIs(self.lane(one, 0.0, **only), NEW)
        late_ms = releaseexposure.AT_MOST_ONCE_SHARE * DURATION_MS
        self.assertIs(self.lane(one, late_ms, is_at_most_once=True), NEW)

    # Guards against saved tokens that are spent at once, and against lost ones.
    def test_tokens_are_bounded_and_refunded(self):
        one = self.exposure()
        for _ in range(1_000):
            self.lane(one, 0.0, is_granted=False)
        lanes = [self.lane(one, 1.0) for _ in range(5)]
        self.assertEqual(lanes.count(NEW), 2)
        one.refund(1.0)
        self.assertIs(self.lane(one, 1.0), NEW)
        for _ in range(10):
            one.refund(1.0)
        self.assertLessEqual([self.lane(one, 1.0) for _ in range(5)].count(NEW), 2)

    # Guards against instances that choose other targets, and against one bad machine.
    def test_targets_are_the_same_everywhere_and_move(self):
        targets = make_targets(30)
        first = self.exposure().canary_targets(0, targets, is_warm)
        other = self.exposure().canary_targets(3_999, targets[::-1], is_warm)
        moved = self.exposure().canary_targets(4_000, targets, is_warm)
        self.assertEqual((first, len(first)), (other, 3))
        self.assertFalse([one for one in moved if one in first])
        warm = self.exposure().canary_targets(0, targets, lambda one: one in first)
        self.assertFalse([one for one in warm if one in first])
        self.assertEqual(self.exposure().canary_targets(0, [], is_warm), [])
        one = self.exposure()
        self.assertEqual(one.canary_targets(0, targets[:2], lambda one: True)[1:], [])
        self.assertEqual(one.target_count, 2)
