"""Tests of the owner of a pool."""

import unittest

from returns import pipeline

from cornelreach.targets import admission, permits, pool

LIMITS = admission.Limits(max_sequences=2)


def ask(name, **fields):
    """Return a request of one sequence."""
    fields = {"prompt_tokens": 100, "account": "a"} | fields
    return permits.PermitRequest(name, "n1", "nb", "p", **fields)


def release(name, target="e1", outcome=permits.Outcome.DONE):
    """Return a release with the boot ID of target e1."""
    return permits.Release(name, target, outcome, "b1")


class PoolTest(unittest.TestCase):
    def setUp(self):
        self.owner = pool.PoolOwner("p", {"e1": LIMITS})
        self.owner.set_admission_right(admission.AdmissionRight(1, True, 0.0))
        self.report(cold=False)

    def report(self, **fields):
        self.owner.report(
            permits.Report("e1", 0.0, "b1", "b1", running=0, queued=0, **fields), 0.0
        )

    def ask(self, name, now_ms=0.0, **fields):
        return self.owner.request(ask(name, **fields), now_ms)

    def test_grants_up_to_the_limit_then_queues(self):
        self.assertEqual(self.ask("1").unwrap().target, "e1")
        self.ask("2")
        self.assertIsInstance(self.ask("3").unwrap(), permits.Queued)
        self.owner.release(release("1"), 10.0)
        (decision,) = self.owner.advance(10.0)
        self.assertEqual(decision.request, "3")
        self.assertEqual(decision.answer.unwrap().boot, "b1")

    def test_repeated_request_gets_the_same_permit_once(self):
        first = self.ask("1").unwrap()
        self.assertEqual(self.ask("1").unwrap(), first)
        self.assertEqual(self.owner.targets["e1"].outstanding_load.sequences, 1)

    def test_request_repeated_after_its_end_is_refused(self):
        self.ask("1")
        self.owner.release(release("1"), 1.0)
        self.assertFalse(pipeline.is_successful(self.ask("1", 2.0)))

    def test_request_that_is_no_longer_polled_is_not_granted(self):
        self.ask("1")
        self.ask("2")
        self.ask("3")
        self.owner.release(release("1"), permits.POLL_MS)
        self.assertEqual(self.owner.advance(permits.POLL_MS), [])
        self.assertIsInstance(
            self.ask("3", permits.POLL_MS + 1).unwrap(), permits.Permit
        )

    def test_queued_request_past_its_deadline_is_refused_as_not_run(self):
        self.ask("1")
        self.ask("2")
        self.ask("3", deadline_in_ms=50.0)
        (decision,) = self.owner.advance(50.0)
        self.assertEqual(decision.answer.failure().ran, "not_run")

    def test_exclusive_permit_is_not_renewed_without_the_right(self):
        owner = pool.PoolOwner("p", {"e1": LIMITS})
        owner.set_admission_right(admission.AdmissionRight(1, True, 0.0))
        lag_ms = admission.MAX_REPORT_AGE_MS
        empty = permits.Report("e1", lag_ms, "b1", "b1", True, 0, 0)
        owner.report(empty, lag_ms)
        self.assertTrue(owner.request(ask("1"), lag_ms).unwrap().exclusive)
        owner.set_admission_right(admission.AdmissionRight(1, False, 0.0))
        again = owner.request(ask("1"), lag_ms + 1).unwrap()
        self.assertIsInstance(again, permits.Queued)

    def test_excluded_target_is_not_chosen(self):
        answer = self.ask("1", excluded=("e1",))
        self.assertFalse(pipeline.is_successful(answer))
