"""Tests of orders and rollouts with simulated targets."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from cornelreach.targets import orders, rollout

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=40
)
RECORD = rollout.Rollout("reader", "7", "8")


class OrderTest(unittest.TestCase):
    def setUp(self):
        self.order = orders.TargetOrder("e1", "reader", "8", fence=4)

    def send(self, answer, now_ms=0.0):
        self.order.read("7", now_ms, now_ms)
        sent = self.order.step(now_ms)
        self.order.sent(now_ms)
        self.order.answered(answer, now_ms)
        return sent

    def test_reads_before_it_sends_and_after(self):
        self.assertIsInstance(self.order.step(0.0), orders.Read)
        sent = self.send(orders.Answer.ACCEPTED)
        self.assertEqual(sent.order.fence, 4)
        self.assertIsInstance(self.order.step(0.0), orders.Read)
        self.order.read("8", 500.0, 500.0)
        self.assertIs(self.order.step(500.0), orders.Outcome.CONVERGED)

    def test_target_that_has_the_version_gets_no_order(self):
        self.order.read("8", 0.0, 0.0)
        self.assertIs(self.order.step(0.0), orders.Outcome.CONVERGED)

    def test_lost_reply_is_resolved_by_reading(self):
        self.send(orders.Answer.LOST)
        self.order.read("7", 1_000.0, 1_000.0)
        self.assertIsInstance(self.order.step(1_000.0), orders.Wait)
        self.order.read("8", 2_000.0, 2_000.0)
        self.assertIs(self.order.step(2_000.0), orders.Outcome.CONVERGED)

    def test_fails_after_max_attempts(self):
        for _ in range(orders.MAX_ATTEMPTS):
            self.send(orders.Answer.REFUSED)
        self.assertIs(self.order.step(0.0), orders.Outcome.FAILED)

    def test_old_fence_supersedes_the_order(self):
        self.send(orders.Answer.OLD_FENCE)
        self.assertIs(self.order.step(0.0), orders.Outcome.SUPERSEDED)

    def test_sender_drops_orders_with_an_older_fence(self):
        fences = orders.Fences()
        given = [fences.admits("rollout/reader", fence) for fence in (3, 4, 3, 4)]
        self.assertEqual(given, [True, True, False, True])


class SimulatedTargets:
    """Simulated targets of a rollout, with a check of its limit on loads."""

    def __init__(self, pools, failing=()):
        self.record = RECORD
        self.failing = failing
        self.views = {}
        for pool, count in enumerate(pools):
            for number in range(count):
                name = f"p{pool}e{number}"
                self.views[name] = rollout.TargetView(name, f"p{pool}", "7", True)

    def change(self, name, **fields):
        self.views[name] = self.views[name]._replace(**fields)

    def step(self, case):
        decision = rollout.decide(self.record, list(self.views.values()))
        if decision.record != self.record:
            self.record = decision.record
            return
        for step in decision.steps:
            self.apply(step)
        loads = sum(view.loading for view in self.views.values())
        case.assertLessEqual(loads, rollout.MAX_CONCURRENT_LOADS)

    def apply(self, step):
        if isinstance(step, rollout.Close):
            self.change(step.target, closed_for_ms=0.0)
        elif isinstance(step, rollout.Open):
            self.change(step.target, closed_for_ms=None)
        else:
            self.change(step.target, loading=True)

    def settle(self, name):
        view = self.views[name]
        if view.loading:
            failed = name in self.failing and self.record.desired_version == "8"
            loaded = view.loaded if failed else self.record.desired_version
            self.change(name, loading=False, loaded=loaded, warm=False, failed=failed)
        elif not view.warm:
            self.change(name, warm=True, failed=False)

    def needed(self):
        """Return the versions that documents use."""
        share = self.record.new_share
        old = {"7"} if share < 1 else set()
        return old | ({"8"} if share > 0 else set())

    def open_versions(self, pool):
        return {
            view.loaded
            for view in self.views.values()
            if view.pool == pool and view.closed_for_ms is None
        }

    def serving(self, pool):
        return sum(
            view.warm and view.closed_for_ms is None
            for view in self.views.values()
            if view.pool == pool
        )


class RolloutTest(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(
        strategies.lists(strategies.integers(1, 9), min_size=1, max_size=3),
        strategies.integers(0, 1_000),
        strategies.booleans(),
    )
    def test_completes_while_keeping_capacity(self, pools, seed, fails):
        rng = random.Random(seed)
        targets = SimulatedTargets(pools, failing=("p0e0",) if fails else ())
        for _ in range(400):
            targets.step(self)
            for name in rng.sample(sorted(targets.views), len(targets.views) // 2 + 1):
                targets.settle(name)
            for pool, count in enumerate(pools):
                least = count - max(1, int(count * rollout.MAX_UNAVAILABLE_SHARE))
                self.assertGreaterEqual(targets.serving(f"p{pool}"), least)
                if count > 1 and not fails:
                    self.assertLessEqual(
                        targets.needed(), targets.open_versions(f"p{pool}")
                    )
        wanted = "7" if fails else "8"
        end = rollout.Phase.ROLLED_BACK if fails else rollout.Phase.DONE
        self.assertIs(targets.record.phase, end)
        self.assertEqual({view.loaded for view in targets.views.values()}, {wanted})
        self.assertEqual(targets.record.new_share, 0.0 if fails else 1.0)

    def test_open_breaker_with_the_new_version_rolls_back(self):
        targets = SimulatedTargets([4])
        targets.change("p0e0", loaded="8", breaker_open=True)
        targets.step(self)
        self.assertIs(targets.record.phase, rollout.Phase.ROLLING_BACK)
        self.assertIn("p0e0", targets.record.reason)

    def test_waits_for_running_calls_up_to_the_drain_time(self):
        targets = SimulatedTargets([4])
        targets.change("p0e0", closed_for_ms=0.0, running=1)
        targets.step(self)
        self.assertFalse(targets.views["p0e0"].loading)
        targets.change("p0e0", closed_for_ms=float(rollout.DRAIN_MS))
        targets.step(self)
        self.assertTrue(targets.views["p0e0"].loading)

    def test_document_changes_version_once(self):
        roots = [f"root{number}" for number in range(200)]
        before = set()
        for share in (0.0, 0.25, 0.5, 1.0):
            record = RECORD._replace(new_share=share)
            new = {one for one in roots if rollout.version_for(record, one) == "8"}
            self.assertLessEqual(before, new)
            before = new
        self.assertEqual(len(before), len(roots))

    def test_another_holder_continues_from_the_record(self):
        targets = SimulatedTargets([4])
        for _ in range(6):
            targets.step(self)
            for name in targets.views:
                targets.settle(name)
        other = SimulatedTargets([4])
        other.record, other.views = targets.record, dict(targets.views)
        self.assertEqual(
            rollout.decide(targets.record, list(targets.views.values())),
            rollout.decide(other.record, list(other.views.values())),
        )
