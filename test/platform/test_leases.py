"""Exclusion of leases under pauses, drift, outages and lost or late answers."""

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
    """A host with a drifting clock that may be paused at any moment."""

    def __init__(self, run, name, make):
        self.run = run
        self.name = name
        self.rate = run.source.uniform(0.99, 1.01)
        self.offset_ms = run.source.uniform(0, 1e6)
        self.lease = make("job", name, f"boot-{name}", TERM_MS)
        self.paused_until_ms = 0
        self.tenures = []
        self.later(run.source.uniform(0, 500), self.step)
        self.later(run.source.uniform(0, ACT_MS), self.act)

    def now_ms(self):
        """Return this host's own monotonic time."""
        return self.run.clock.now_ms() * self.rate + self.offset_ms

    def later(self, delay_ms, work):
        """Run after a delay, and not before a pause has ended."""

        def awake():
            left_ms = self.paused_until_ms - self.run.clock.now_ms()
            if left_ms > 0:
                self.later(left_ms, work)
            else:
                work()

        self.run.clock.after(delay_ms, awake)

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
        """Record a moment of holding, and send an order that may come late."""
        now_ms = self.run.clock.now_ms()
        if self.lease.held(self.now_ms()):
            fence = self.lease.fence
            until_ms = now_ms + self.lease.remaining_ms(self.now_ms()) / self.rate
            self.tenures.append(
                histories.Tenure(self.name, fence, now_ms, min(until_ms, now_ms + 20))
            )
            self.later(self.run.source.choice((1, 1, 400)), lambda: self.order(fence))
        self.later(ACT_MS, self.act)

    def order(self, fence):
        """Reach a target that checks fences."""
        order = histories.Order(self.name, fence, self.run.clock.now_ms())
        self.run.received(order)


class Run:
    """One seeded run of several contenders."""

    def __init__(self, seed, make=leases.Lease):
        self.source = random.Random(seed)
        self.clock = timers.VirtualTimers()
        self.store = objects.Store()
        self.away_until_ms = 0
        self.orders = []
        self.newest = 0
        self.hosts = [Contender(self, name, make) for name in "abc"]
        self.clock.every(1_000, self.disturb)
        self.clock.advance(RUN_MS)

    def disturb(self):
        """Pause a host or take the platform away now and then."""
        now_ms = self.clock.now_ms()
        host = self.source.choice(self.hosts)
        if self.source.random() < 0.2:
            host.paused_until_ms = now_ms + self.source.uniform(100, 3 * TERM_MS)
        if self.source.random() < 0.1:
            self.away_until_ms = now_ms + self.source.uniform(100, 2 * TERM_MS)
        if self.source.random() < 0.05:
            host.lease.wanted = not host.lease.wanted

    def received(self, order):
        """Take an order unless its fence is older than one seen."""
        if order.fence >= self.newest:
            self.newest = order.fence
            self.orders.append(order)

    def delay_ms(self):
        """Return the time of one way, at times a long one."""
        return self.source.choice((2, 5, 10, 50, 400, 2_500))

    def answer(self, host, outcome, lost, take):
        """Bring an outcome back, or the silence after a timeout."""
        if self.clock.now_ms() < self.away_until_ms:
            outcome = result.Failure(results.Unavailable("away"))
        delay_ms = 2_000 if lost else self.delay_ms()

        def arrive():
            take(outcome)
            host.step()

        host.later(delay_ms, arrive)

    def read(self, host, key):
        """Read, at times an answer from the past."""

        def arrive():
            outcome = self.store.read(key)
            past = [r for r in self.store.history if r.key == key]
            if past and self.source.random() < 0.1:
                outcome = result.Success(self.source.choice(past))
            self.answer(
                host, outcome, False, lambda o: host.lease.read(o, host.now_ms())
            )

        self.clock.after(self.delay_ms(), arrive)

    def write(self, host, step):
        """Write; the answer may be lost and the write may come late."""

        def take(outcome):
            host.lease.written(step, outcome, host.now_ms())

        def arrive():
            if self.clock.now_ms() < self.away_until_ms:
                away = result.Failure(results.Unavailable("away"))
                self.answer(host, away, False, take)
                return
            outcome = self.store.write(host.lease.key, step.value, step.if_version)
            if not lost:
                self.answer(host, outcome, False, take)

        lost = self.source.random() < 0.15
        self.clock.after(self.delay_ms() + (1_500 if lost else 0), arrive)
        if lost:
            unknown = result.Failure(results.OutcomeUnknown(host.lease.key, "lost"))
            self.answer(host, unknown, True, take)

    def wrong(self):
        """Return what the checkers find."""
        tenures = [tenure for host in self.hosts for tenure in host.tenures]
        return (
            histories.overlaps(tenures)
            + histories.reused_fences(tenures)
            + histories.late_orders(self.orders)
        )


class CountsFromAnswer(leases.Lease):
    """Planted fault: the term counts from the answer."""

    def written(self, write, outcome, now_ms):
        for attempt in self._attempts:
            self._attempts[attempt] = now_ms
        super().written(write, outcome, now_ms)


class TakesOverEarly(leases.Lease):
    """Planted fault: a contender waits for half of the term."""

    def _can_take_over(self, now_ms):
        return super()._can_take_over(now_ms + self.term_ms / 2)


class KeepsFence(leases.Lease):
    """Planted fault: a new holder takes the former fence."""

    def _last_fence(self):
        return max(0, super()._last_fence() - 1)


class HoldsWhileReleasing(leases.Lease):
    """Planted fault: a holder acts on while its release is on its way."""

    def step(self, now_ms):
        fence = self.fence
        step = super().step(now_ms)
        self.fence = fence
        return step


class Exclusion(unittest.TestCase):
    """Seeded runs, and planted faults that the checkers must find."""

    def test_no_two_hold_and_fences_grow(self):
        held = handed_over = 0
        for seed in range(SEEDS):
            run = Run(seed)
            self.assertEqual(run.wrong(), [], f"seed {seed}")
            held += sum(len(host.tenures) for host in run.hosts)
            handed_over += run.newest
        self.assertGreater(held * ACT_MS, 0.3 * SEEDS * RUN_MS)
        self.assertGreater(handed_over, 2 * SEEDS)

    def test_planted_faults_are_found(self):
        for fault in (
            CountsFromAnswer,
            TakesOverEarly,
            KeepsFence,
            HoldsWhileReleasing,
        ):
            with self.subTest(fault.__name__):
                found = any(Run(seed, fault).wrong() for seed in range(SEEDS))
                self.assertTrue(found)


class Keeping(unittest.IsolatedAsyncioTestCase):
    """The shell over a fake platform."""

    async def test_takes_renews_and_releases(self):
        clock = timers.VirtualTimers()
        fake = objects.Fake()
        keepers = [
            leases.Keeper(fake, leases.Lease("job", name, name), clock) for name in "ab"
        ]
        for _ in range(30):
            for keeper in keepers:
                clock.advance(max(1, min(500, await keeper.once())))
        first, second = (keeper.lease for keeper in keepers)
        self.assertTrue(first.held(clock.now_ms()))
        self.assertFalse(second.held(clock.now_ms()))
        with unittest.mock.patch("asyncio.sleep", unittest.mock.AsyncMock()):
            await keepers[0].release()
        for _ in range(10):
            clock.advance(max(1, min(500, await keepers[1].once())))
        self.assertTrue(second.held(clock.now_ms()))
        self.assertEqual(second.fence, 2)
