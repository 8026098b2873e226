"""Tests of the rate limits, alone and for a fleet that restarts all at once."""

import random
import unittest

from cornelreach.platform import budget
from cornelreach.util import timers

INSTANCES = 1_100


class Fleet:
    """Instances that start and read from a platform with a fixed rate limit."""

    def __init__(self, seed, reads, spread=True, budgeted=True):
        self.clock = timers.VirtualTimers()
        self.budgeted = budgeted
        self.by_second = {}
        self.throttled = 0
        self.done_ms = []
        for number in range(INSTANCES):
            random_source = random.Random(seed * INSTANCES + number)
            instance_budget = budget.Budget(INSTANCES, 0, random_source)
            delay_ms = budget.start_delay_ms(random_source) if spread else 0
            self.schedule(delay_ms, instance_budget, reads)

    def schedule(self, delay_ms, instance_budget, remaining):
        """Schedule the next read of an instance."""
        self.clock.after(delay_ms, lambda: self.call(instance_budget, remaining))

    def call(self, instance_budget, remaining):
        """Read when the budget allows it; the platform throttles above its limit."""
        now_ms = self.clock.now_ms()
        purpose = budget.Purpose.SETTINGS
        wait_ms = (
            instance_budget.try_acquire(purpose, budget.CallKind.READ, now_ms)
            if self.budgeted
            else 0
        )
        if wait_ms:
            self.schedule(wait_ms, instance_budget, remaining)
            return
        second = int(now_ms // 1_000)
        self.by_second[second] = self.by_second.get(second, 0) + 1
        if self.by_second[second] > budget.FLEET_READS_PER_S:
            self.throttled += 1
            if self.budgeted:
                instance_budget.on_response(
                    budget.CallKind.READ, budget.TOO_MANY_REQUESTS, now_ms
                )
            self.schedule(10, instance_budget, remaining)
        elif remaining > 1:
            self.schedule(10, instance_budget, remaining - 1)
        else:
            self.done_ms.append(now_ms)


class Rates(unittest.TestCase):
    """Priority of purposes, reaction to throttling, and restart of the fleet."""

    def test_later_purposes_are_held_back_first(self):
        instance_budget = budget.Budget(8, 0, random.Random(1))
        counts = []
        for purpose in reversed(budget.Purpose):
            count = 0
            while (
                instance_budget.try_acquire(purpose, budget.CallKind.WRITE, 10_000) == 0
            ):
                count += 1
            counts.append(count)
        self.assertTrue(all(count > 0 for count in counts), counts)
        status = budget.Purpose.STATUS
        self.assertGreater(
            instance_budget.try_acquire(status, budget.CallKind.WRITE, 11_000), 0
        )

    def test_throttling_halves_the_rate_and_time_restores_it(self):
        bucket = budget.Bucket(300, 10, 0)
        before = bucket.rate_per_s
        bucket.on_throttled(0)
        self.assertEqual(bucket.rate_per_s, before / 2)
        self.assertGreater(bucket.try_acquire(0, 500), 0)
        bucket.try_acquire(0, 10_000)
        self.assertGreater(bucket.rate_per_s, before)
        bucket.try_acquire(0, 1_000_000)
        self.assertEqual(bucket.rate_per_s, 300 * budget.MAX_SHARE)

    def test_restart_of_the_whole_fleet_is_rarely_throttled(self):
        light = Fleet(1, 2)
        light.clock.advance(10_000)
        self.assertEqual((len(light.done_ms), light.throttled), (INSTANCES, 0))
        heavy = Fleet(1, 10)
        heavy.clock.advance(30_000)
        self.assertEqual(len(heavy.done_ms), INSTANCES)
        self.assertLess(heavy.throttled, 0.05 * 10 * INSTANCES)
        unlimited = Fleet(1, 10, spread=False, budgeted=False)
        unlimited.clock.advance(5_000)
        self.assertGreater(unlimited.throttled, 10_000)
