"""Tests of circuit breakers and retry budgets."""

import unittest

from cornelreach.targets import breakers, permits, retries
from cornelreach.util import errors
from test.targets import test_fairness

OK = breakers.Sample(True, 100.0, 100.0)
BAD = breakers.Sample(False)
NAMES = ["e1", "e2", "e3", "e4"]


class PoolBreakersTest(unittest.TestCase):
    def setUp(self):
        self.breakers = breakers.PoolBreakers()

    def usable(self, names, now_ms):
        return set(names) - self.breakers.ejected(names, now_ms)

    def fail(self, *names, now_ms=0.0):
        for name in names:
            for _ in range(breakers.FAILURES_TO_OPEN):
                self.breakers.record(name, BAD, now_ms)

    def test_opens_only_after_consecutive_failures(self):
        for _ in range(breakers.FAILURES_TO_OPEN - 1):
            self.breakers.record("e1", BAD, 0.0)
        self.breakers.record("e1", OK, 0.0)
        self.breakers.record("e1", BAD, 0.0)
        self.assertEqual(self.usable(NAMES, 0.0), set(NAMES))
        self.fail("e1")
        self.assertEqual(self.usable(NAMES, 0.0), {"e2", "e3", "e4"})

    def test_never_ejects_more_than_a_share(self):
        self.fail("e2", now_ms=1.0)
        self.fail("e1", now_ms=2.0)
        self.fail("e3", "e4", now_ms=3.0)
        self.assertEqual(self.usable(NAMES, 4.0), {"e3", "e4"})
        self.assertEqual(self.usable(["e1"], 4.0), {"e1"})

    def test_probes_one_at_a_time_close_it_or_open_it_for_longer(self):
        self.fail("e1")
        later_ms = float(breakers.OPEN_MS)
        self.assertIn("e1", self.usable(NAMES, later_ms))
        self.breakers.get("e1").record_sent()
        self.assertNotIn("e1", self.usable(NAMES, later_ms))
        self.breakers.record("e1", BAD, later_ms)
        self.assertNotIn("e1", self.usable(NAMES, later_ms * 2))
        for _ in range(breakers.PROBES_TO_CLOSE):
            self.breakers.get("e1").record_sent()
            self.breakers.record("e1", OK, later_ms * 4)
        self.assertFalse(self.breakers.get("e1").is_open)

    def test_target_slower_than_its_peers_is_ejected(self):
        slow = breakers.Sample(True, 2_000.0, 100.0)
        for _ in range(3 * breakers.SLOW_SAMPLES):
            for name in NAMES[1:]:
                self.breakers.record(name, OK, 0.0)
            self.breakers.record("e1", slow, 0.0)
        self.assertNotIn("e1", self.usable(NAMES, 0.0))

    def test_equally_slow_targets_are_not_ejected(self):
        slow = breakers.Sample(True, 2_000.0, 100.0)
        for _ in range(3 * breakers.SLOW_SAMPLES):
            for name in NAMES:
                self.breakers.record(name, slow, 0.0)
        self.assertEqual(self.usable(NAMES, 0.0), set(NAMES))


class OwnerTest(unittest.TestCase):
    def test_owner_skips_an_ejected_target(self):
        owner = test_fairness.warm_owner(targets=2)
        for number in range(breakers.FAILURES_TO_OPEN):
            owner.breakers.record("e0", BAD, float(number))
        for number in range(4):
            permit = owner.request(test_fairness.ask(f"{number}", tokens=10), 10.0)
            self.assertEqual(permit.unwrap().target, "e1")
        queued = owner.request(test_fairness.ask("4", tokens=10), 10.0).unwrap()
        self.assertIsInstance(queued, permits.Queued)

    def test_sudden_slowdown_queries_the_boot_id(self):
        owner = test_fairness.warm_owner()
        for number in range(breakers.SLOW_SAMPLES + 1):
            name, now_ms = str(number), number * 1_000.0
            owner.request(test_fairness.ask(name, tokens=10), now_ms)
            slow = number == breakers.SLOW_SAMPLES
            done = permits.Release(
                name, "e0", permits.Outcome.DONE, "", 5_000.0 if slow else 5.0
            )
            self.assertEqual(owner.probes(), [])
            owner.release(done, now_ms + 1)
        self.assertEqual(owner.probes(), ["e0"])


class RetryTest(unittest.TestCase):
    def setUp(self):
        self.budgets = retries.RetryBudgets(share=0.1)
        self.not_run = retries.FailedAttempt(1, errors.ExecutionStatus.NOT_RUN)

    def test_budget_is_a_share_of_first_attempts_per_account(self):
        for _ in range(1_000):
            self.budgets.record_first_attempt("a")
            self.budgets.take_retry("a", self.not_run)
        allowed = [self.budgets.take_retry("a", self.not_run) for _ in range(5)]
        self.assertNotIn(True, allowed[1:])
        for _ in range(10):
            self.budgets.record_first_attempt("a")
        self.assertTrue(self.budgets.take_retry("a", self.not_run))
        self.assertTrue(self.budgets.take_retry("b", self.not_run))

    def test_retries_only_calls_that_may_run_again(self):
        once = self.not_run._replace(repeatable=False)
        self.assertTrue(self.budgets.take_retry("a", once))
        for ran in (errors.ExecutionStatus.UNKNOWN, errors.ExecutionStatus.RAN):
            failed = once._replace(ran=ran)
            self.assertFalse(self.budgets.take_retry("a", failed))
        answered = self.not_run._replace(answered=True)
        self.assertFalse(self.budgets.take_retry("a", answered))
        spent = self.not_run._replace(tries=retries.MAX_ATTEMPTS)
        self.assertFalse(self.budgets.take_retry("a", spent))
