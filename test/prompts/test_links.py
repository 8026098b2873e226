"""Tests of link budgets and backlogs."""

import unittest

from cornelreach.prompts import links

PATH = ("store", "engine")
MEGABYTE = 1_000_000


class Links(unittest.TestCase):
    """Estimates, what is in flight, measured rates and budgets."""

    def setUp(self):
        self.links = links.Links()
        self.links.set_rate("store", 10 * MEGABYTE)
        self.links.set_rate("engine", 50 * MEGABYTE)

    def estimate(self, size, now_ms=0.0):
        return self.links.estimate_ms(PATH, size, now_ms) - links.LATENCY_MS

    def test_the_slowest_link_and_what_is_in_flight_count(self):
        self.assertEqual(self.estimate(MEGABYTE), 100)
        self.links.start(PATH, 2 * MEGABYTE, 0)
        self.assertEqual(self.estimate(MEGABYTE), 300)
        self.assertEqual(self.estimate(MEGABYTE, 150), 150)
        self.links.report_backlog("store", 5 * MEGABYTE, 150)
        self.assertEqual(self.estimate(MEGABYTE, 150), 600)

    def test_a_slowed_link_is_learnt_and_recovers(self):
        for round_ms in range(0, 20_000, 1_000):
            transfer = self.links.start(PATH, MEGABYTE, round_ms)
            self.links.finish(transfer, round_ms + 1_000, done=True)
        self.assertGreater(self.estimate(MEGABYTE, 20_000), 800)
        for round_ms in range(20_000, 30_000, 1_000):
            transfer = self.links.start(PATH, MEGABYTE, round_ms)
            self.links.finish(transfer, round_ms + 100, done=True)
        self.assertLess(self.estimate(MEGABYTE, 30_000), 130)

    def test_a_slow_rate_is_tried_again_later(self):
        for round_ms in range(0, 20_000, 1_000):
            transfer = self.links.start(PATH, MEGABYTE, round_ms)
            self.links.finish(transfer, round_ms + 1_000, done=True)
        later_ms = 20_000 + links.RECOVER_AFTER_MS + links.RECOVER_MS
        self.assertLess(self.estimate(MEGABYTE, later_ms), 130)

    def test_an_aborted_transfer_gives_its_backlog_back(self):
        transfer = self.links.start(PATH, 10 * MEGABYTE, 0)
        self.links.finish(transfer, 100, done=False)
        self.assertLess(self.estimate(0, 100), 10)

    def test_background_bytes_stay_within_the_share(self):
        sent = 0
        for now_ms in range(0, 20_000, 10):
            if self.links.spend(PATH, MEGABYTE, now_ms):
                sent += MEGABYTE
        allowed = 10 * MEGABYTE * links.BACKGROUND_SHARE * 20
        self.assertLessEqual(sent, allowed + MEGABYTE)
        self.assertGreater(sent, allowed * 0.9)

    def test_background_waits_for_a_busy_link(self):
        self.assertTrue(self.links.spend(PATH, MEGABYTE, 10_000))
        self.links.start(PATH, 10 * MEGABYTE, 10_000)
        self.assertFalse(self.links.spend(PATH, MEGABYTE, 10_100))
