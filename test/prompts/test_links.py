"""Tests of the backlogs, measured rates and byte budgets of links."""

import unittest

from cornelreach.prompts import links

PATH = ("store", "engine")
MEGABYTE = 1_000_000


class LinksTest(unittest.TestCase):
    """Estimates, transfers in flight, measured rates and budgets."""

    def setUp(self):
        self.links = links.Links()
        self.links.set_rate("store", 10 * MEGABYTE)
        self.links.set_rate("engine", 50 * MEGABYTE)

    def estimate(self, size, now_ms=0.0):
        return self.links.estimate_ms(PATH, size, now_ms) - links.LATENCY_MS

    def test_estimate_counts_the_slowest_link_and_its_backlog(self):
        self.assertEqual(self.estimate(MEGABYTE), 100)
        self.links.start(PATH, 2 * MEGABYTE, 0)
        self.assertEqual(self.estimate(MEGABYTE), 300)
        self.assertEqual(self.estimate(MEGABYTE, 150), 150)
        self.links.report_backlog("store", 5 * MEGABYTE, 150)
        self.assertEqual(self.estimate(MEGABYTE, 150), 600)

    def test_measured_rate_follows_a_link_that_slows_down_and_recovers(self):
        for start_ms in range(0, 20_000, 1_000):
            transfer = self.links.start(PATH, MEGABYTE, start_ms)
            self.links.finish(transfer, start_ms + 1_000, completed=True)
        self.assertGreater(self.estimate(MEGABYTE, 20_000), 800)
        for start_ms in range(20_000, 30_000, 1_000):
            transfer = self.links.start(PATH, MEGABYTE, start_ms)
            self.links.finish(transfer, start_ms + 100, completed=True)
        self.assertLess(self.estimate(MEGABYTE, 30_000), 130)

    def test_reduced_rate_recovers_with_time(self):
        for start_ms in range(0, 20_000, 1_000):
            transfer = self.links.start(PATH, MEGABYTE, start_ms)
            self.links.finish(transfer, start_ms + 1_000, completed=True)
        later_ms = 20_000 + links.RECOVERY_DELAY_MS + links.RECOVERY_MS
        self.assertLess(self.estimate(MEGABYTE, later_ms), 130)

    def test_aborted_transfer_is_removed_from_the_backlog(self):
        transfer = self.links.start(PATH, 10 * MEGABYTE, 0)
        self.links.finish(transfer, 100, completed=False)
        self.assertLess(self.estimate(0, 100), 10)

    def test_background_transfers_stay_within_their_share(self):
        sent = 0
        for now_ms in range(0, 20_000, 10):
            if self.links.try_spend(PATH, MEGABYTE, now_ms):
                sent += MEGABYTE
        allowed = 10 * MEGABYTE * links.BACKGROUND_SHARE * 20
        self.assertLessEqual(sent, allowed + MEGABYTE)
        self.assertGreater(sent, allowed * 0.9)

    def test_background_transfers_wait_while_a_link_is_busy(self):
        self.assertTrue(self.links.try_spend(PATH, MEGABYTE, 10_000))
        self.links.start(PATH, 10 * MEGABYTE, 10_000)
        self.assertFalse(self.links.try_spend(PATH, MEGABYTE, 10_100))
