"""Tests of the rollout executor with a fake platform, lease and targets."""

import unittest

from returns import result

from cornelreach.platform import results
from cornelreach.pools import rollouts
from cornelreach.targets import orders, rollout
from cornelreach.util import timers

KEY = rollouts.KEY_PREFIX + "reader"


class FakeObjects:
    """One object; the reply to every third write is lost after it took effect."""

    def __init__(self, record):
        self.version, self.value, self.writes = 1, rollouts.encode(record), 0

    async def get(self, key):
        return result.Success(results.Record(key, self.version, self.value))

    async def put(self, key, value, if_version=None, if_absent=False):
        if if_version != self.version:
            return result.Failure(results.Conflict(key, self.version))
        self.version, self.value = self.version + 1, value
        self.writes += 1
        if self.writes % 3 == 0:
            return result.Failure(results.OutcomeUnknown(key, "the answer was lost"))
        return result.Success(self.version)


class FakeLease:
    """A lease controlled by the test."""

    def __init__(self):
        self.fence, self.left_ms = 1, 9_000.0

    def is_held(self, now_ms):
        return self.left_ms > 0

    def remaining_ms(self, now_ms):
        return self.left_ms


class FakeTargets:
    """Targets that load at once, except for ``failing``; they record their orders."""

    warm = True

    def __init__(self, names, failing=()):
        self.versions = dict.fromkeys(names, "7")
        self.failing, self.sent = failing, []

    def pools(self):
        return dict.fromkeys(self.versions, "lj/reader")

    async def observe(self, target):
        return rollouts.Observation(self.versions[target], self.warm, 0)

    async def send(self, order):
        self.sent.append(order)
        if order.target in self.failing and order.version == "8":
            return orders.Answer.REFUSED
        self.versions[order.target] = order.version
        return orders.Answer.LOST


class RolloutExecutorTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = timers.VirtualTimers()
        self.objects = FakeObjects(rollout.Rollout("reader", "7", "8"))
        self.lease = FakeLease()
        self.targets = FakeTargets(["e1", "e2", "e3"])

    def executor(self):
        return rollouts.RolloutExecutor(
            "reader", self.objects, self.lease, self.clock, self.targets
        )

    async def run_for(self, executor, ticks):
        for _ in range(ticks):
            await executor.run_once()
            self.clock.advance(rollouts.TICK_MS)

    def record(self):
        return rollouts.decode(self.objects.value)

    async def test_loads_the_version_on_every_target(self):
        await self.run_for(self.executor(), 60)
        self.assertIs(self.record().phase, rollout.Phase.DONE)
        self.assertEqual(set(self.targets.versions.values()), {"8"})
        self.assertEqual(self.record().closed, ())
        self.assertEqual(len(self.targets.sent), 3)

    async def test_targets_that_stay_cold_without_calls_do_not_block_it(self):
        self.targets.warm = False
        ticks = 4 * int(rollouts.WARM_WAIT_MS / rollouts.TICK_MS)
        await self.run_for(self.executor(), ticks)
        self.assertIs(self.record().phase, rollout.Phase.DONE)

    async def test_pools_of_one_target_are_not_all_closed_together(self):
        self.targets.pools = lambda: {name: name for name in self.targets.versions}
        executor = self.executor()
        for _ in range(80):
            await executor.run_once()
            self.assertLessEqual(len(self.record().closed), 1)
            self.clock.advance(rollouts.TICK_MS)
        self.assertIs(self.record().phase, rollout.Phase.DONE)

    async def test_another_holder_continues(self):
        await self.run_for(self.executor(), 6)
        self.assertIs(self.record().phase, rollout.Phase.FORWARD)
        self.lease.fence = 2
        await self.run_for(self.executor(), 60)
        self.assertIs(self.record().phase, rollout.Phase.DONE)
        self.assertEqual(self.targets.sent[-1].fence, 2)

    async def test_failed_load_rolls_back(self):
        self.targets.failing = ("e2",)
        await self.run_for(self.executor(), 120)
        self.assertIs(self.record().phase, rollout.Phase.ROLLED_BACK)
        self.assertEqual(set(self.targets.versions.values()), {"7"})
        self.assertIn("e2", self.record().reason)

    async def test_sends_no_order_that_may_outlast_the_lease(self):
        self.lease.left_ms = float(orders.ORDER_MS)
        await self.run_for(self.executor(), 30)
        self.assertEqual(self.targets.sent, [])
        self.lease.left_ms = 0.0
        before = self.objects.version
        await self.run_for(self.executor(), 30)
        self.assertEqual(self.objects.version, before)
