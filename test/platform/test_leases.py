"""Mutual exclusion of leases under pauses, clock drift, outages and lost responses."""

import random
import unittest
import unittest.mock

from returns import result

from cornelreach.platform import leases, results
from cornelreach.util import timers
from test.platform import histories, objects

TERM_MS = 3_000
ACT_MS = 150
RUN_MS = 30_000
SEEDS = 300


class Contender:
    """A host with a drifting clock that can be paused at any time."""

    def __init__(self, run, name, lease_type):
        self.run = run
        self.name = name
        self.rate = run.source.uniform(0.99, 1.01)
        self.offset_ms = run.source.uniform(0, 1e6)
        self.lease = lease_type("job", name, f"boot-{name}", TERM_MS)
        self.paused_until_ms = 0
        self.intervals = []
        self.later(run.source.uniform(0, 500), self.step)
        self.later(run.source.uniform(0, ACT_MS), self.act)

    def now_ms(self):
        """Return this host's own monotonic time."""
        return self.run.clock.now_ms() * self.rate + self.offset_ms

    def later(self, delay_ms, work):
        """Run work after a delay, or later if the host is paused by then."""

        def run_unless_paused():
            pause_left_ms = self.paused_until_ms - self.run.clock.now_ms()
            if pause_left_ms > 0:
                self.later(pause_left_ms, work)
            else:
                work()

        self.run.clock.after(delay_ms, run_unless_paused)

    def step(self):
        """Carry out one step of the lease."""
        step = self.lease.step(self.now_ms())
        if isinstance(step, leases.Wait):
            self.later(step.wait_ms, self.step)
        elif isinstance(step, leases.Read):
            self.run.read(self, self.lease.key)
        else:
            self.run.write(self, step)

    def act(self):
        """Record that the lease is held, and send an order that may arrive late."""
        now_ms = self.run.clock.now_ms()
        if self.lease.is_held(self.now_ms()):
            fence = self.lease.fence
            until_ms = now_ms + self.lease.remaining_ms(self.now_ms()) / self.rate
            self.intervals.append(
                histories.HoldInterval(
                    self.name, fence, now_ms, min(until_ms, now_ms + 20)
                )
            )
            self.later(self.run.source.choice((1, 1, 400)), lambda: self.order(fence))
        self.later(ACT_MS, self.act)

    def order(self, fence):
        """Deliver an order to a target that checks fences."""
        order = histories.Order(self.name, fence, self.run.clock.now_ms())
        self.run.receive_order(order)


class Run:
    """A simulation of several contenders with a random seed."""

    def __init__(self, seed, lease_type=leases.Lease):
        self.source = random.Random(seed)
        self.clock = timers.VirtualTimers()
        self.store = objects.Store()
        self.unavailable_until_ms = 0
        self.orders = []
        self.newest_fence = 0
        self.hosts = [Contender(self, name, lease_type) for name in "abc"]
        self.clock.every(1_000, self.inject_faults)
        self.clock.advance(RUN_MS)

    def inject_faults(self):
        """Randomly pause a host, start an outage or change whether a host contends."""
        now_ms = self.clock.now_ms()
        host = self.source.choice(self.hosts)
        if self.source.random() < 0.2:
            host.paused_until_ms = now_ms + self.source.uniform(100, 3 * TERM_MS)
        if self.source.random() < 0.1:
            self.unavailable_until_ms = now_ms + self.source.uniform(100, 2 * TERM_MS)
        if self.source.random() < 0.05:
            host.lease.wanted = not host.lease.wanted

    def receive_order(self, order):
        """Accept an order unless its fence is older than one already received."""
        if order.fence >= self.newest_fence:
            self.newest_fence = order.fence
            self.orders.append(order)

    def delay_ms(self):
        """Return a random one-way network delay, some of them long."""
        return self.source.choice((2, 5, 10, 50, 400, 2_500))

    def respond(self, host, outcome, lost, process_outcome):
        """Deliver an outcome, or the timeout of a write whose response is lost."""
        if self.clock.now_ms() < self.unavailable_until_ms:
            outcome = result.Failure(results.Unavailable("unavailable"))
        delay_ms = 2_000 if lost else self.delay_ms()

        def arrive():
            process_outcome(outcome)
            host.step()

        host.later(delay_ms, arrive)

    def read(self, host, key):
        """Read an object; some responses are stale."""

        def arrive():
            outcome = self.store.read(key)
            past = [r for r in self.store.history if r.key == key]
            if past and self.source.random() < 0.1:
                outcome = result.Success(self.source.choice(past))
            self.respond(
                host, outcome, False, lambda o: host.lease.on_read(o, host.now_ms())
            )

        self.clock.after(self.delay_ms(), arrive)

    def write(self, host, step):
        """Write an object; some responses are lost and their writes arrive late."""

        def process_outcome(outcome):
            host.lease.on_written(step, outcome, host.now_ms())

        def arrive():
            if self.clock.now_ms() < self.unavailable_until_ms:
                unavailable = result.Failure(results.Unavailable("unavailable"))
                self.respond(host, unavailable, False, process_outcome)
                return
            outcome = self.store.write(host.lease.key, step.value, step.if_version)
            if not lost:
                self.respond(host, outcome, False, process_outcome)

        lost = self.source.random() < 0.15
        self.clock.after(self.delay_ms() + (1_500 if lost else 0), arrive)
        if lost:
            unknown = result.Failure(results.OutcomeUnknown(host.lease.key, "lost"))
            self.respond(host, unknown, True, process_outcome)

    def violations(self):
        """Return the violations found by the checks."""
        intervals = [interval for host in self.hosts for interval in host.intervals]
        return (
            histories.overlaps(intervals)
            + histories.reused_fences(intervals)
            + histories.late_orders(self.orders)
        )


class CountsFromResponse(leases.Lease):
    """Fault: the term is counted from the response."""

    def on_written(self, write, outcome, now_ms):
        for attempt in self._attempts:
            self._attempts[attempt] = now_ms
        super().on_written(write, outcome, now_ms)


class TakesOverEarly(leases.Lease):
    """Fault: a contender waits for only half of the term."""

    def _can_take_over(self, now_ms):
        return super()._can_take_over(now_ms + self.term_ms / 2)


class KeepsFence(leases.Lease):
    """Fault: a new holder reuses the previous fence."""

    def _last_fence(self):
        return max(0, super()._last_fence() - 1)


class HoldsWhileReleasing(leases.Lease):
    """Fault: a holder keeps acting while its release is being sent."""

    def step(self, now_ms):
        fence = self.fence
        step = super().step(now_ms)
        self.fence = fence
        return step


class MutualExclusion(unittest.TestCase):
    """Seeded simulations, and faults that the checks must detect."""

    def test_one_holder_at_a_time_and_fences_increase(self):
        held_count = acquisitions = 0
        for seed in range(SEEDS):
            run = Run(seed)
            self.assertEqual(run.violations(), [], f"seed {seed}")
            held_count += sum(len(host.intervals) for host in run.hosts)
            acquisitions += run.newest_fence
        self.assertGreater(held_count * ACT_MS, 0.3 * SEEDS * RUN_MS)
        self.assertGreater(acquisitions, 2 * SEEDS)

    def test_faults_are_detected(self):
        for fault in (
            CountsFromResponse,
            TakesOverEarly,
            KeepsFence,
            HoldsWhileReleasing,
        ):
            with self.subTest(fault.__name__):
                found = any(Run(seed, fault).violations() for seed in range(SEEDS))
                self.assertTrue(found)


class Runner(unittest.IsolatedAsyncioTestCase):
    """The runner with a fake object store."""

    async def test_acquires_renews_and_releases(self):
        clock = timers.VirtualTimers()
        fake = objects.FakeObjectStore()
        runners = [
            leases.LeaseRunner(fake, leases.Lease("job", name, name), clock)
            for name in "ab"
        ]
        for _ in range(30):
            for runner in runners:
                clock.advance(max(1, min(500, await runner.run_once())))
        first, second = (runner.lease for runner in runners)
        self.assertTrue(first.is_held(clock.now_ms()))
        self.assertFalse(second.is_held(clock.now_ms()))
        with unittest.mock.patch("asyncio.sleep", unittest.mock.AsyncMock()):
            await runners[0].release()
        for _ in range(10):
            clock.advance(max(1, min(500, await runners[1].run_once())))
        self.assertTrue(second.is_held(clock.now_ms()))
        self.assertEqual(second.fence, 2)
