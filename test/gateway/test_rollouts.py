"""Rollouts of weights: a single lease holder, delayed orders, death of the holder."""

import asyncio
import unittest

from cornelreach.gateway import gossip, mirror, quotas, rollouts
from cornelreach.platform import engines as engines_module, leases
from test import virtualloop
from test.gateway import test_registry
from test.platform import objects as objects_module

LEASE_MS = 3_000
QUIET_MS = LEASE_MS + rollouts.QUIET_MARGIN_MS


class Engines:
    """Engines that load weights immediately, and the orders that reached them."""

    def __init__(self, clock, names):
        self.clock = clock
        self.versions = dict.fromkeys(names, 1)
        self.accepted = dict.fromkeys(names, 0)
        self.orders = []
        self.late = []
        self.dead = False

    async def report(self, address):
        """Return an engine's report."""
        await asyncio.sleep(0.002)
        name = address.partition(":")[0]
        if self.dead:
            return None
        held = {"m": self.versions[name]}
        return engines_module.Report(held, False, self.accepted[name], 0)

    async def order(self, address, order, before_write):
        """Record an order, and carry it out unless it is to be delayed."""
        await asyncio.sleep(0.002)
        before_write()
        self.orders.append((self.clock.now_ms(), order))
        if self.late is not None and order.target in self.late:
            return 0
        return self.carry_out(order)

    def carry_out(self, order):
        """Check the precondition and load the version."""
        name = order.target
        if order.expected_orders != self.accepted[name]:
            return 409
        self.accepted[name] += 1
        self.versions[name] = max(self.versions[name], order.version)
        return 202


class Member:
    """One instance with its copy of the records and its rollouts."""

    def __init__(self, name, names, store, engines, clock):
        self.clock = clock
        self.mirror = mirror.Mirror(name, 5_000, True)
        self.mirror.fleet = quotas.Fleet(name, names)
        for target in engines.versions:
            entry = test_registry.target(target, address=f"{target}:1")
            self.mirror.registry.put(entry, 0, 0)
        self.lease = leases.Lease(
            rollouts.LEASE, name, "boot", rollouts.TERM_MS, QUIET_MS
        )
        loads = gossip.Gossip(name, "boot", self.mirror.registry, clock)
        lease_runner = leases.LeaseRunner(store, self.lease, clock)
        self.rollouts = rollouts.Rollouts(
            self.mirror, self.lease, lease_runner, engines, clock, loads
        )

    def is_holder(self):
        """Return whether this instance holds the lease."""
        return self.lease.is_held(self.clock.now_ms())

    def set_version(self, version):
        """Set the desired version of the model."""
        now_ms = self.clock.now_ms()
        self.mirror.set_version("m", version, now_ms, now_ms + 5_000)


class Rolling(unittest.TestCase):
    """Three instances and four engines, in virtual time."""

    def play(self, scenario):
        """Run a scenario on an event loop with virtual time."""
        loop = virtualloop.Loop()
        self.addCleanup(loop.close)
        virtualloop.run(scenario(virtualloop.Clock(loop)), loop)

    def build(self, clock):
        """Make instances, engines and a store."""
        self.engines = Engines(clock, [f"e{number}" for number in range(4)])
        store = objects_module.FakeObjectStore(objects_module.Store())
        names = ("a", "b", "c")
        self.members = {
            name: Member(name, names, store, self.engines, clock) for name in names
        }
        self.tasks = {
            name: asyncio.ensure_future(one.rollouts.run())
            for name, one in self.members.items()
        }

    # Guards against new weights that wait for a holder that reaches no engine.
    def test_a_holder_that_reaches_no_engine_leaves_the_lease_to_others(self):
        async def scenario(clock):
            self.build(clock)
            for one in self.members.values():
                one.set_version(2)
            while not (
                holders := [n for n, m in self.members.items() if m.is_holder()]
            ):
                await asyncio.sleep(0.01)
            cut = self.members[holders[0]]
            lost = Engines(clock, list(self.engines.versions))
            lost.dead = True
            cut.rollouts.engines = lost
            cut.rollouts.gossip.is_cut_off = lambda: True
            await asyncio.sleep(8)
            self.assertEqual(set(self.engines.versions.values()), {2})
            self.check_orders()
            for task in self.tasks.values():
                task.cancel()

        self.play(scenario)

    def check_orders(self):
        """Assert a single holder for each fence, and the pause between two holders."""
        fences = {}
        last = {}
        for at_ms, order in self.engines.orders:
            self.assertEqual(fences.setdefault(order.fence, order.holder), order.holder)
            if order.target in last:
                before_ms, before = last[order.target]
                self.assertGreaterEqual(order.fence, before.fence)
                if before.holder != order.holder:
                    self.assertGreaterEqual(at_ms - before_ms, LEASE_MS)
            last[order.target] = (at_ms, order)

    def close(self):
        """End every task."""
        for task in self.tasks.values():
            task.cancel()
        for member in self.members.values():
            member.rollouts.close()

    def test_every_engine_gets_the_version_from_one_holder(self):
        async def scenario(clock):
            self.build(clock)
            for member in self.members.values():
                member.set_version(2)
            await asyncio.sleep(6)
            self.close()

        self.play(scenario)
        self.assertEqual(set(self.engines.versions.values()), {2})
        self.assertEqual(len({order.holder for _, order in self.engines.orders}), 1)
        self.check_orders()

    def test_another_instance_continues_when_the_holder_dies(self):
        async def scenario(clock):
            self.build(clock)
            self.engines.late = list(self.engines.versions)
            for member in self.members.values():
                member.set_version(2)
            while not self.engines.orders:
                await asyncio.sleep(0.01)
            holder = self.engines.orders[0][1].holder
            await asyncio.sleep(0.1)
            self.tasks[holder].cancel()
            self.engines.late = []
            await asyncio.sleep(20)
            self.close()

        self.play(scenario)
        self.assertEqual(set(self.engines.versions.values()), {2})
        self.check_orders()

    def test_a_delayed_order_has_no_effect_after_a_newer_one(self):
        async def scenario(clock):
            self.build(clock)
            self.engines.late = ["e0"]
            for member in self.members.values():
                member.set_version(2)
            await asyncio.sleep(2)
            lost = [one for _, one in self.engines.orders if one.target == "e0"]
            self.engines.late = []
            for member in self.members.values():
                member.set_version(3)
            await asyncio.sleep(8)
            accepted = dict(self.engines.accepted)
            for order in lost:
                self.assertEqual(self.engines.carry_out(order), 409)
            self.assertEqual(self.engines.accepted, accepted)
            self.close()

        self.play(scenario)
        self.assertEqual(set(self.engines.versions.values()), {3})
        self.check_orders()

    def test_an_engine_that_rests_or_leaves_gets_no_order(self):
        async def scenario(clock):
            self.build(clock)
            for member in self.members.values():
                member.mirror.registry.rest("e0", 3_000.0, clock.now_ms())
                member.mirror.registry.mark_leaving("e1", 1)
                member.set_version(2)
            await asyncio.sleep(2.5)
            sent = {order.target for _, order in self.engines.orders}
            self.assertEqual(sent, {"e2", "e3"})
            await asyncio.sleep(4)
            self.close()

        self.play(scenario)
        self.assertEqual(self.engines.versions, {"e0": 2, "e1": 1, "e2": 2, "e3": 2})

    def test_no_order_is_sent_once_the_lease_has_expired(self):
        async def scenario(clock):
            self.build(clock)
            member = self.members["a"]
            with self.assertRaises(rollouts.LeaseLost):
                member.rollouts._before_write()
            self.close()

        self.play(scenario)


class Concurrency(unittest.TestCase):
    """How many engines load at once."""

    def test_a_third_and_at_least_two(self):
        found = [rollouts.max_loading(engines) for engines in (3, 6, 30, 45)]
        self.assertEqual(found, [2, 2, 10, 15])
