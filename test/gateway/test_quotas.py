"""Shares of fleet-wide limits, for fleets of many sizes."""

import unittest

import hypothesis
from hypothesis import strategies

from cornelreach.gateway import quotas

ADMITTED = quotas.Admission.ADMITTED


def fleet(name, size):
    """Return a fleet of a size, from the view of one instance."""
    return quotas.Fleet(name, tuple(f"i{number}" for number in range(size)))


class Shares(unittest.TestCase):
    """The shares of all instances add up to no more than the limit."""

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        strategies.integers(1, 120), strategies.floats(1.5, 90), strategies.text()
    )
    def test_cold_shares_stay_within_the_bound(self, size, bound, target):
        views = [fleet(f"i{number}", size) for number in range(size)]
        shares = [quotas.cold_share(view, target, bound) for view in views]
        self.assertLessEqual(sum(shares), bound)
        self.assertGreaterEqual(sum(shares), 1)

    # Guards against each instance holding to the whole limit by itself.
    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        strategies.integers(1, 120), strategies.floats(0, 200), strategies.text()
    )
    def test_limit_shares_add_up_to_what_the_target_named(self, size, per_s, target):
        views = [fleet(f"i{number}", size) for number in range(size)]
        shares = [quotas.limit_share(view, target, per_s) for view in views]
        (window_ms,) = {one.window_ms for one in shares}
        total = sum(one.requests for one in shares)
        self.assertLessEqual(total, per_s * window_ms / 1_000 + 1e-3)
        self.assertGreater(total, per_s * window_ms / 1_000 - 1 - 1e-3)
        self.assertGreaterEqual(window_ms, quotas.LIMIT_WINDOW_MS)

    def test_more_instances_ask_while_nobody_hears_from_a_target(self):
        views = [fleet(f"i{number}", 60) for number in range(60)]
        for per_s, steps in ((1.3, (5, 10, 15)), (0, (0, 1, 2))):
            for step, expected in enumerate(steps):
                unheard_ms = step * quotas.UNHEARD_MS
                shares = [
                    quotas.limit_share(one, "t", per_s, unheard_ms) for one in views
                ]
                self.assertEqual(sum(one.requests for one in shares), expected)

    def test_the_wait_for_a_share_is_until_the_oldest_request_leaves_the_window(self):
        window, share = quotas.SendWindow(), quotas.LimitShare(2, 4_000)
        for now_ms in (100, 500, 1_100):
            window.record(now_ms)
        self.assertFalse(window.admits(2, 1_200, 0, 4_000))
        self.assertEqual(window.wait_ms(share, 1_200), 3_300)
        self.assertTrue(window.admits(2, 4_500, 0, 4_000))
        self.assertEqual(window.wait_ms(quotas.LimitShare(0, 4_000), 1_200), 4_000)

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(strategies.lists(strategies.floats(0, 3_000), max_size=60))
    def test_no_one_second_window_exceeds_the_share(self, times):
        window, admitted = quotas.SendWindow(), []
        for now_ms in sorted(times):
            if window.admits(3, now_ms):
                window.reserve()
                window.confirm(now_ms)
                admitted.append(now_ms)
        for start in admitted:
            inside = [one for one in admitted if start <= one < start + 1_000]
            self.assertLessEqual(len(inside), 3)

    def test_requests_chosen_at_the_same_time_count_before_they_are_sent(self):
        window = quotas.SendWindow()
        for _ in range(2):
            self.assertTrue(window.admits(2, 0))
            window.reserve()
        self.assertFalse(window.admits(2, 0))
        self.assertTrue(window.admits(2, 0, own=1))
        window.cancel()
        window.confirm(5)
        self.assertTrue(window.admits(2, 900))
        self.assertFalse(window.admits(1, 1_000))
        self.assertTrue(window.admits(1, 1_005))

    def test_connections_are_divided_among_instances(self):
        self.assertEqual(quotas.connection_share(fleet("i0", 8), 300), 30)
        self.assertEqual(quotas.connection_share(fleet("i0", 500), 300), 1)


class RetryBudget(unittest.TestCase):
    """Retries are bounded by a ratio to requests plus a slack shared by the fleet."""

    def test_retries_of_all_instances_stay_within_ratio_and_slack(self):
        total = 0
        for number in range(8):
            view = fleet(f"i{number}", 8)
            budget = quotas.RetryBudget(0.2, 56, 10_000, -10_000)
            for step in range(100):
                budget.count_request(view, step * 90.0)
            while budget.admits_retry(view, 9_000) is ADMITTED:
                budget.count_retry(9_000)
                total += 1
        self.assertLessEqual(total, 0.2 * 800 + 56)
        self.assertGreaterEqual(total, 0.7 * (0.2 * 800 + 56))

    def test_the_budget_recovers_after_the_window(self):
        view = fleet("i0", 8)
        budget = quotas.RetryBudget(0.2, 16, 10_000, -10_000)
        while budget.admits_retry(view, 0) is ADMITTED:
            budget.count_retry(0)
        self.assertIsNot(budget.admits_retry(view, 9_999), ADMITTED)
        self.assertIs(budget.admits_retry(view, 11_001), ADMITTED)
