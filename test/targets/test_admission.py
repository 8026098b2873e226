"""Tests of admission to one target."""

import unittest

from cornelreach.targets import admission, permits

LIMITS = admission.Limits()
ADMISSION_RIGHT = admission.AdmissionRight(1, True, 0.0)
LAG_MS = admission.MAX_REPORT_AGE_MS


def report(asked_ms, boot="b1", load_boot=None, cold=None, running=0, queued=0):
    """Return a report of target e1."""
    return permits.Report(
        "e1", asked_ms, boot, load_boot or boot, cold, running, queued
    )


def release(permit, outcome=permits.Outcome.DONE, boot="b1"):
    """Return a release for target e1."""
    return permits.Release(permit, "e1", outcome, boot)


class AdmissionTest(unittest.TestCase):
    def setUp(self):
        self.target = admission.TargetAdmission("e1", LIMITS)
        self.load = admission.Load(1, 1_000)

    def observe(self, now_ms, admission_right=ADMISSION_RIGHT, **fields):
        self.target.observe(report(now_ms, **fields), admission_right, now_ms)

    def fits(self, now_ms, admission_right=ADMISSION_RIGHT):
        return self.target.available(admission_right, now_ms).covers(self.load)

    def warm(self, now_ms=0.0):
        self.observe(now_ms, cold=False)

    def test_unknown_target_admits_nothing(self):
        self.assertFalse(self.fits(0.0))
        self.assertTrue(self.target.needs_probe())

    def test_cold_target_waits_for_an_idle_report(self):
        self.observe(LAG_MS - 1)
        self.assertFalse(self.fits(LAG_MS))
        self.observe(LAG_MS, running=1)
        self.assertFalse(self.fits(LAG_MS))
        self.observe(LAG_MS + 1)
        self.assertTrue(self.fits(LAG_MS + 1))

    def test_cold_limit_is_exact(self):
        self.observe(LAG_MS)
        self.target.grant("a", self.load, 1_000, LAG_MS)
        self.assertFalse(self.fits(LAG_MS + 60_000))
        self.target.release(release("a"), ADMISSION_RIGHT, LAG_MS + 500)
        self.assertTrue(self.fits(LAG_MS + 500))

    def test_call_that_ended_without_reply_counts_until_an_idle_report(self):
        self.observe(LAG_MS)
        self.target.grant("a", self.load, 1_000, LAG_MS)
        lost = release("a", permits.Outcome.TIMED_OUT, "")
        self.target.release(lost, ADMISSION_RIGHT, 3_000)
        self.assertFalse(self.fits(100_000))
        self.observe(LAG_MS * 2 + admission.PERMIT_EXPIRY_MS)
        self.assertTrue(self.fits(100_000))

    def test_needs_the_exclusive_right_only_while_cold(self):
        self.observe(LAG_MS)
        other = admission.AdmissionRight(1, False, 0.0)
        self.assertFalse(self.fits(LAG_MS, other))
        self.warm(LAG_MS)
        self.assertTrue(self.fits(LAG_MS, other))

    def test_new_boot_clears_permits_and_is_cold(self):
        self.warm()
        for number in range(16):
            self.target.grant(str(number), self.load, 60_000, 0.0)
        self.assertFalse(self.fits(10.0))
        self.observe(20.0, boot="b2", load_boot="b1", cold=False, running=16)
        self.assertEqual(self.target.warmup_state, admission.WarmupState.COLD)
        self.assertEqual(self.target.available(ADMISSION_RIGHT, 20.0).sequences, 1)

    def test_boot_that_may_precede_the_right_is_not_accounted_for(self):
        later = admission.AdmissionRight(2, True, 50.0)
        self.warm()
        self.observe(60.0, admission_right=later, boot="b2")
        self.assertFalse(self.fits(60.0, later))

    def test_former_boot_does_not_return(self):
        self.warm()
        self.target.observe_boot("b2", 10.0, ADMISSION_RIGHT)
        self.target.observe_boot("b1", 20.0, ADMISSION_RIGHT)
        self.assertEqual(self.target.boot, "b2")

    def test_suspicion_lasts_until_a_reply_to_a_later_request(self):
        self.warm()
        self.target.grant("a", self.load, 1_000, 0.0)
        lost = release("a", permits.Outcome.CONNECTION_LOST, "")
        self.target.release(lost, ADMISSION_RIGHT, 100.0)
        self.target.observe_boot("b1", 99.0, ADMISSION_RIGHT)
        self.assertFalse(self.fits(100.0))
        self.target.observe_boot("b1", 100.0, ADMISSION_RIGHT)
        self.assertTrue(self.fits(100.0))

    def test_rejected_call_reveals_the_new_boot(self):
        self.warm()
        self.target.grant("a", self.load, 1_000, 0.0)
        rejected = release("a", permits.Outcome.REJECTED, "b2")
        self.target.release(rejected, ADMISSION_RIGHT, 100.0)
        self.assertEqual(self.target.warmup_state, admission.WarmupState.COLD)

    def test_warms_up_by_time_only_if_the_target_does_not_report_cold(self):
        self.observe(LAG_MS)
        self.target.grant("a", self.load, 1_000, LAG_MS)
        self.target.release(release("a"), ADMISSION_RIGHT, 3_000.0)
        self.observe(3_000 + LIMITS.cold_ms - 1)
        self.assertEqual(self.target.warmup_state, admission.WarmupState.COLD)
        self.observe(3_000 + LIMITS.cold_ms)
        self.assertEqual(self.target.warmup_state, admission.WarmupState.WARM)

    def test_report_does_not_count_own_permits_twice(self):
        self.warm()
        for number in range(4):
            self.target.grant(str(number), self.load, 60_000, 100.0)
        for number in range(4):
            self.target.release(release(str(number)), ADMISSION_RIGHT, 500.0)
        self.observe(600.0, cold=False, running=4)
        self.assertEqual(self.target.available(ADMISSION_RIGHT, 600.0).sequences, 16)
        self.observe(600.0 + 2 * LAG_MS, cold=False, running=4)
        self.assertEqual(self.target.available(ADMISSION_RIGHT, 600.0).sequences, 12)

    def test_warm_target_drops_overdue_permits(self):
        self.warm()
        self.target.grant("a", self.load, 1_000, 0.0)
        late_ms = 1_000 + admission.USE_GRACE_MS
        self.assertEqual(
            self.target.available(ADMISSION_RIGHT, late_ms - 1).sequences, 15
        )
        self.assertEqual(self.target.available(ADMISSION_RIGHT, late_ms).sequences, 16)
