"""The index of the prompt stores, and when a part may be fetched from one."""

import asyncio
import contextlib
import random
import unittest

from cornelreach.gateway import (
    calls,
    catalogue,
    datagrams,
    promptindex,
)
from cornelreach.platform import promptstores
from tools import hub_fleet as fleet

Part = calls.Part
Stored = promptstores.Stored
Key = promptstores.PartKey


def store(name, tokens=10_000, link_mbps=1_000.0):
    """Return a store whose address is derived from its name."""
    return catalogue.PromptStore(name, f"{name}:1", "lj", tokens, link_mbps, 1.0)


def batch(position, *changes, epoch=7, gap=False):
    """Return a batch of events or a listing."""
    return promptstores.Batch(epoch, position, gap, changes)


class Sources(unittest.TestCase):
    """A part is fetched only from a store that is known to hold it completely."""

    def setUp(self):
        self.prompt_index = promptindex.PromptIndex()
        self.prompt_index.configure([store("a"), store("b", link_mbps=9_000.0)])
        self.a, self.b = self.prompt_index.stores.values()
        for contents in (self.a, self.b):
            contents.apply_listing(batch(0), 0)

    def source(self, now_ms=1, tokens=500, salt="v1."):
        return self.prompt_index.find_source(Part("p", tokens), salt, now_ms)

    def test_a_part_can_be_fetched_once_it_is_reported_complete(self):
        self.assertIsNone(self.source())
        self.a.apply_events(batch(1, Stored(Key("v1.", "p"), 500)), 1)
        self.assertEqual(self.source(), "a:1")
        self.assertIsNone(self.source(salt="v2."))
        self.assertIsNone(self.source(tokens=501))

    def test_the_faster_store_is_preferred(self):
        for contents in (self.a, self.b):
            contents.apply_events(batch(1, Stored(Key("v1.", "p"), 500)), 1)
        self.assertEqual(self.source(), "b:1")

    def test_a_deleted_part_is_not_fetched(self):
        self.a.apply_events(batch(1, Stored(Key("v1.", "p"), 500)), 1)
        self.a.apply_events(batch(2, Stored(Key("v1.", "p"), 0)), 2)
        self.assertIsNone(self.source())
        self.assertEqual(self.a.tokens, 0)

    def test_a_silent_store_is_not_used(self):
        self.a.apply_events(batch(1, Stored(Key("v1.", "p"), 500)), 1)
        self.assertEqual(self.source(1 + promptindex.FRESH_MS), "a:1")
        self.assertIsNone(self.source(2 + promptindex.FRESH_MS))

    def test_a_new_incarnation_or_a_gap_clears_the_contents(self):
        for changed in ({"epoch": 8}, {"gap": True}):
            self.a.apply_listing(batch(0, Stored(Key("v1.", "p"), 500)), 1)
            self.assertEqual(self.source(), "a:1")
            self.assertFalse(self.a.apply_events(batch(1, **changed), 2))
            self.assertIsNone(self.source(2))

    def test_a_slow_store_is_not_used_for_a_while(self):
        self.a.apply_events(batch(1, Stored(Key("v1.", "p"), 500)), 1)
        for _ in range(20):
            self.prompt_index.record_delay({"a:1", "unknown:1"}, 400.0, 1)
        part = Part("p", 500)
        self.assertIsNone(
            self.prompt_index.find_source(part, "v1.", 1, prefill_rate=100.0)
        )
        self.a.answered_ms = 8_000
        self.assertEqual(
            self.prompt_index.find_source(part, "v1.", 8_000, prefill_rate=100.0), "a:1"
        )


class Places(unittest.TestCase):
    """The store that a new part is saved to."""

    def setUp(self):
        self.prompt_index = promptindex.PromptIndex()
        self.prompt_index.configure([store("small", 10_000), store("large", 90_000)])
        for contents in self.prompt_index.stores.values():
            contents.apply_listing(batch(0), -promptindex.SETTLE_MS)
            contents.apply_events(batch(0), 0)

    # Guards against fetches of parts that are being written: one instance saves them in
    # a store that came back empty while another still takes them for held there.
    def test_a_part_is_not_saved_while_others_may_offer_that_of_an_earlier_epoch(self):
        held = batch(1, Stored(Key("v1.", "p"), 100))
        part = Part("p", 100)
        other = promptindex.PromptIndex()
        other.configure([store("small"), store("large")])
        for index in (self.prompt_index, other):
            for contents in index.stores.values():
                contents.apply_listing(held, 0)
        for contents in self.prompt_index.stores.values():
            contents.apply_listing(batch(0, epoch=8), 1)
        places = set()
        for now_ms in range(1, 2 * int(promptindex.SETTLE_MS), 50):
            for contents in self.prompt_index.stores.values():
                contents.apply_events(batch(0, epoch=8), now_ms)
            offered = other.find_source(part, "v1.", now_ms)
            saved = self.prompt_index.choose_store(part, "v1.", now_ms)
            self.assertFalse(offered and saved, now_ms)
            places.add(saved)
        self.assertGreater(len(places), 1)  # it is saved once that is over

    def test_parts_are_spread_in_proportion_to_size(self):
        counts = {"small:1": 0, "large:1": 0}
        for number in range(400):
            part = Part(f"p{number}", 1)
            place = self.prompt_index.choose_store(part, "v1.", 1)
            counts[place] += 1
        self.assertTrue(20 <= counts["small:1"] <= 70, counts)

    def test_a_part_stored_or_being_saved_is_not_saved_again(self):
        part = Part("p", 100)
        place = self.prompt_index.choose_store(part, "v1.", 1)
        self.assertIsNone(self.prompt_index.choose_store(part, "v1.", 2))
        again = self.prompt_index.choose_store(part, "v1.", 1_000)
        self.assertIsNone(again)
        contents = self.prompt_index.stores[place]
        contents.apply_events(batch(1, Stored(Key("v1.", "p"), 100)), 1_100)
        self.assertIsNone(self.prompt_index.choose_store(part, "v1.", 1_200))

    def test_a_full_store_gets_no_more_parts(self):
        large = self.prompt_index.stores["large:1"]
        small = self.prompt_index.stores["small:1"]
        large.apply_events(batch(1, Stored(Key("v1.", "x"), 89_000)), 1)
        places = {
            self.prompt_index.choose_store(Part(f"p{number}", 100), "v1.", 2)
            for number in range(30)
        }
        self.assertEqual(places, {"small:1"})
        small.apply_events(batch(1, Stored(Key("v1.", "y"), 9_900)), 1)
        self.assertIsNone(self.prompt_index.choose_store(Part("q", 1_000), "v1.", 2))


class Relaying(unittest.TestCase):
    """In a larger fleet only the hubs watch the stores, and relay updates."""

    def watcher(self, gossip):
        """Return the store watcher of an instance of a fleet."""
        found = promptindex.PromptIndex()
        found.configure([store("a"), store("b")])
        return promptindex.PromptStoreWatcher(
            found, None, gossip.clock, gossip, random.Random(1)
        )

    # Guards against instances that follow a hub offering parts of a store, or saving
    # there what others hold for kept, after the hub has lost it.
    def test_a_hub_relays_that_it_has_lost_a_store(self):
        found = fleet.HubFleet(40)
        found.run(2_000)
        watchers = list(map(self.watcher, found.instances.values()))
        hub = next(one for one in watchers if one.is_watching())
        follower = next(
            one
            for one in watchers
            if one.gossip.followed_hub() == hub.gossip.name and not one.is_watching()
        )
        part, other = Part("p", 500), Part("q", 500)
        update = datagrams.PromptStoreUpdate("a", 7, 12, 0.0, (("v1.", "p", 500),))
        follower.apply_relayed(update)

        class Client:
            async def listing(self, address):
                raise promptstores.Busy("reset")

        hub.client = Client()
        hub.random.uniform = lambda low, high: 60.0  # until it is tried again

        async def lose():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.01):
                    await hub._watch(hub.prompt_index.stores["a:1"])

        asyncio.run(lose())
        found.run(300)
        now_ms = found.clock.now_ms()
        self.assertIsNone(follower.prompt_index.find_source(part, "v1.", now_ms))
        self.assertIsNone(follower.prompt_index.choose_store(other, "v1.", now_ms))
        follower.apply_relayed(update._replace(parts=()))  # the same incarnation
        self.assertEqual(follower.prompt_index.find_source(part, "v1.", now_ms), "a:1")

    # Guards against instances that follow a hub offering parts of a store's old epoch
    # until its next event.
    def test_a_hub_relays_the_epoch_of_a_store_that_came_back(self):
        found = fleet.HubFleet(40)
        found.run(2_000)
        watchers = list(map(self.watcher, found.instances.values()))
        hub = next(one for one in watchers if one.is_watching())
        follower = next(
            one
            for one in watchers
            if one.gossip.followed_hub() == hub.gossip.name and not one.is_watching()
        )
        update = datagrams.PromptStoreUpdate("a", 7, 12, 0.0, (("v1.", "p", 500),))
        follower.apply_relayed(update)

        class Client:
            async def listing(self, address):
                return batch(0, epoch=8)

        hub.client = Client()
        asyncio.run(hub._step(hub.prompt_index.stores["a:1"]))
        found.run(500)
        now_ms = found.clock.now_ms()
        part = Part("p", 500)
        self.assertIsNone(follower.prompt_index.find_source(part, "v1.", now_ms))

    def test_all_watch_in_a_small_fleet_and_only_hubs_in_a_large_one(self):
        for size, expected in ((8, 8), (40, len(fleet.ZONES))):
            found = fleet.HubFleet(size)
            found.run(2_000)
            watching = [
                self.watcher(one).is_watching() for one in found.instances.values()
            ]
            self.assertEqual(sum(watching), expected)

    def test_others_take_over_when_the_hubs_die(self):
        found = fleet.HubFleet(40)
        found.run(2_000)
        for names in found.hubs_by_zone().values():
            found.dead |= names
        found.run(2_000)
        living = [found.instances[name] for name in found.live_instances()]
        watching = [self.watcher(one).is_watching() for one in living]
        self.assertEqual(sum(watching), len(fleet.ZONES))

    def test_relayed_parts_can_be_fetched_while_updates_arrive(self):
        found = fleet.HubFleet(40)
        found.run(2_000)
        watchers = map(self.watcher, found.instances.values())
        one = next(found for found in watchers if not found.is_watching())
        update = datagrams.PromptStoreUpdate("a", 7, 12, 0.0, (("v1.", "p", 500),))
        one.apply_relayed(update)
        part = Part("p", 500)
        now_ms = one.clock.now_ms()
        self.assertEqual(one.prompt_index.find_source(part, "v1.", now_ms), "a:1")
        self.assertEqual(one.prompt_index.stores["a:1"].position, 12)
        late_ms = now_ms + promptindex.FRESH_MS + 1
        self.assertIsNone(one.prompt_index.find_source(part, "v1.", late_ms))
        one.apply_relayed(update._replace(epoch=8, parts=()))
        self.assertIsNone(one.prompt_index.find_source(part, "v1.", now_ms))
