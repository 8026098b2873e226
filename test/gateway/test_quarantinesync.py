"""Quarantines of several instances: datagrams between them, and their entries."""

import asyncio
import unittest

from returns import result

from cornelreach.gateway import (
    crashes,
    gossip as gossip_module,
    mirror as mirror_module,
    quarantine,
    quarantinesync,
    quotas,
    recordhandlers,
    registry,
)
from cornelreach.platform import quarantines, results
from cornelreach.util import timers
from test.platform import objects
from tools import hub_fleet as fleet_module

REQUEST = "request-bad"
CONTACT_MS = 3_000  # the shortest of the bounds on the users' sheets


class Fleet(fleet_module.HubFleet):
    """Instances with quarantines, without a store."""

    def __init__(self, size, **options):
        super().__init__(size, **options)
        self.quarantines = {}
        for name, one in self.instances.items():
            found = self.quarantines[name] = quarantine.Quarantine(self.clock)
            mirror = mirror_module.Mirror(name, 5_000, True)
            quarantinesync.QuarantineSync(found, one, None, mirror, self.clock)
            found.on_hold = lambda part: None

    def crash(self, target, prompts):
        """Crash a target with prompts, each the name of an instance and parts."""
        for name, parts in prompts:
            lifetime = crashes.Lifetime(target, 1)
            prompt = hash((target, parts))
            self.quarantines[name].record_loss(lifetime, prompt, parts, begun=True)

    def holders(self, part):
        """Return the live instances that refuse a part."""
        return [n for n in self.live_instances() if part in self.quarantines[n].held]


class Spread(unittest.TestCase):
    """What instances conclude from each other's crashes."""

    def storm(self, fleet, crash_count=5):
        """Crash targets with one bad part through ever other instances."""
        names = list(fleet.instances)
        for number in range(crash_count):
            name = names[number * 7 % len(names)]
            victim = names[(number * 7 + 3) % len(names)]
            own = f"doc{number}"
            prompts = [(name, ("a", own, "bad")), (victim, ("a", f"sound{number}"))]
            fleet.crash(f"t{number}", prompts)
            fleet.run(600)
            for one in fleet.live_instances()[: len(names) // 2]:
                fleet.quarantines[one].record_answer(("a",))

    # Guards against instances that see too few crashes each to learn anything.
    def test_crashes_through_different_instances_are_added_up_everywhere(self):
        for size in (2, 7, 9, 63, 120):
            fleet = Fleet(size)
            fleet.run(2_000)
            self.storm(fleet)
            fleet.run(CONTACT_MS - 600)
            self.assertEqual(fleet.holders("bad"), fleet.live_instances(), size)
            self.assertEqual(fleet.holders("a"), [], size)
            for number in range(5):
                self.assertEqual(fleet.holders(f"doc{number}"), [], size)

    # Guards against instances that forget a request which each of them sees once.
    def test_a_request_is_refused_everywhere_after_its_third_crash(self):
        for size in (2, 7, 63, 120):
            fleet = Fleet(size)
            fleet.loss = 0.1
            fleet.run(2_000)
            names = list(fleet.instances)
            for number in range(3):
                fleet.crash(f"t{number}", [(names[number * 7 % size], (REQUEST,))])
                fleet.run(80)
            fleet.run(CONTACT_MS)
            self.assertEqual(fleet.holders(REQUEST), fleet.live_instances(), size)

    def test_lost_datagrams_and_dead_hubs_do_not_keep_it_from_spreading(self):
        for size in (7, 63):
            fleet = Fleet(size)
            fleet.loss = 0.2
            fleet.run(2_000)
            if size > 9:
                for names in fleet.hubs_by_zone().values():
                    fleet.dead |= names
                fleet.run(2_000)
            self.storm(fleet)
            fleet.run(CONTACT_MS - 600)
            self.assertEqual(fleet.holders("bad"), fleet.live_instances(), size)

    # Guards against a restarted instance refusing a part that the others know well.
    def test_an_instance_that_knows_no_answers_asks_the_others(self):
        for size in (7, 63):
            fleet = Fleet(size)
            fleet.run(2_000)
            names = list(fleet.instances)
            for name in names[1:]:
                fleet.quarantines[name].record_answer(("a",))
            for number in range(4):
                fleet.crash(f"t{number}", [(names[0], ("a", f"doc{number}"))])
                fleet.run(600)
            fleet.run(CONTACT_MS)
            self.assertEqual(fleet.holders("a"), [], size)

    # Guards against one instance's answer leaving a sound part refused at the others.
    def test_a_whole_answer_releases_the_part_everywhere(self):
        for size in (7, 63):
            fleet = Fleet(size)
            fleet.run(2_000)
            self.storm(fleet)
            fleet.run(CONTACT_MS)
            fleet.quarantines["i1"].record_answer(("bad",))
            fleet.run(CONTACT_MS / 2)
            self.assertEqual(fleet.holders("bad"), [], size)

    def test_reports_end_after_a_crash(self):
        fleet = Fleet(7)
        fleet.run(2_000)
        before = max(fleet.datagrams_per_s())
        self.storm(fleet)
        fleet.run(CONTACT_MS)
        self.assertLess(max(fleet.datagrams_per_s()), 2 * before)

    # Guards against a hub that floods its instances when many targets end at once.
    def test_reports_of_many_crashes_at_once_are_bounded(self):
        fleet = Fleet(63)
        fleet.run(2_000)
        names = list(fleet.instances)
        for number in range(400):
            for one in range(6):
                prompt = (names[(number + one) % 63], ("a", f"doc{number}.{one}"))
                fleet.crash(f"t{number}", [prompt])
        self.assertLess(max(fleet.datagrams_per_s(3_000)), 2_000)
        self.assertEqual(fleet.holders("a"), [])


class Entries(unittest.IsolatedAsyncioTestCase):
    """What instances write to the store, and read from it."""

    def start(self, name, names, store):
        """Return an instance with its quarantine and the handler of its entries."""
        clock = timers.LoopTimers()
        mirror = mirror_module.Mirror(name, 5_000, True)
        mirror.fleet = quotas.Fleet(name, tuple(names))
        gossip = gossip_module.Gossip(name, "b", registry.TargetRegistry(), clock)
        found = quarantine.Quarantine(clock)
        sync = quarantinesync.QuarantineSync(found, gossip, store, mirror, clock)
        self.addCleanup(sync.close)
        return found, recordhandlers.QuarantineHandler(mirror, clock, found)

    def hold(self, found):
        """Quarantine a part at one instance."""
        found.held["bad"] = quarantine.Held(found.clock.now_ms())
        found.on_hold("bad")

    async def wait_for(self, condition, wait_s=3.0):
        """Wait until a condition holds."""
        async with asyncio.timeout(wait_s):
            while not condition():
                await asyncio.sleep(0.01)

    # Guards against all instances forgetting a part when all are killed.
    async def test_an_instance_that_starts_later_reads_the_entry(self):
        store = objects.FakeObjectStore()
        store.faults = ["unavailable", "lost"]
        found, _ = self.start("i1", ["i1"], store)
        self.hold(found)
        await self.wait_for(lambda: store.store.records)
        later, handler = self.start("i2", ["i1", "i2"], store)
        listing = (await store.list(quarantines.PREFIX)).unwrap()
        await handler.on_list(listing.records, False)
        self.assertTrue(later.holds(("bad",)))
        self.assertEqual(later.held["bad"].version, 1)

    async def test_few_of_many_instances_write(self):
        store = objects.FakeObjectStore()
        names = [f"i{number}" for number in range(60)]
        for name in names:
            self.hold(self.start(name, names, store)[0])
        await asyncio.sleep(quarantinesync.STAGGER_MS / 1_000 / 2)
        self.assertEqual(store.calls, ["put"])

    async def test_a_whole_answer_deletes_the_entry_and_releases_the_part(self):
        store = objects.FakeObjectStore()
        found, handler = self.start("i1", ["i1"], store)
        self.hold(found)
        await self.wait_for(lambda: store.store.records)
        handler.on_change(store.store.records["quarantines/bad"])
        store.faults = ["unavailable"]
        found.record_answer(("bad",))
        await self.wait_for(lambda: not store.store.records)
        self.assertFalse(found.holds(("bad",)))
        handler.on_change(results.Record("quarantines/bad", 3, None))

    async def test_an_operator_releases_a_part_by_deleting_its_entry(self):
        found, handler = self.start("i1", ["i1"], objects.FakeObjectStore())
        handler.on_change(results.Record("quarantines/bad", 3, {"trials": 0}))
        self.assertTrue(found.holds(("bad",)))
        await handler.on_list((), False)
        self.assertFalse(found.holds(("bad",)))

    async def test_one_of_two_instances_gets_a_trial(self):
        store = objects.FakeObjectStore()
        value = quarantines.value(0)
        version = (await store.put("quarantines/bad", value, if_absent=True)).unwrap()
        record = results.Record("quarantines/bad", version, value)
        both = [self.start(name, ["i1", "i2"], store) for name in ("i1", "i2")]
        for found, handler in both:
            handler.on_change(record)
            found.held["bad"].due_ms = found.clock.now_ms()
            self.assertIsNotNone(found.refuse_ms(("bad",)))
        await asyncio.sleep(0.05)
        for _, handler in both:
            handler.on_change(store.store.records["quarantines/bad"])
        admitted = [found.refuse_ms(("bad",)) is None for found, _ in both]
        self.assertEqual(sorted(admitted), [False, True])
        for found, _ in both:
            self.assertIsNotNone(found.refuse_ms(("bad",)))

    async def test_an_entry_that_cannot_be_decoded_holds_its_part(self):
        found, handler = self.start("i1", ["i1"], objects.FakeObjectStore())
        for value in ({"trials": "x"}, [], 7):
            handler.on_change(results.Record("quarantines/bad", 3, value))
            self.assertTrue(found.holds(("bad",)))

    async def test_a_delete_is_repeated_until_its_outcome_is_known(self):
        store = objects.FakeObjectStore()
        found, handler = self.start("i1", ["i1"], store)
        await store.put("quarantines/bad", quarantines.value(0), if_absent=True)
        handler.on_change(store.store.records["quarantines/bad"])
        store.faults = ["lost"]
        found.record_answer(("bad",))
        await asyncio.sleep(0.05)
        self.assertIsInstance(store.store.read("quarantines/bad"), result.Failure)
