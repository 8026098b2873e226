"""Where the origins of streams are kept, without a network."""

import asyncio
import time
import unittest

from cornelreach.gateway import hubs, streamorigins
from cornelreach.util import timers

ZONES = ("a", "b", "c")
ORIGIN = streamorigins.Origin("s", "v1")


class Network:
    """Delivers datagrams between instances that are alive."""

    def __init__(self, count, zones=ZONES):
        self.clock = timers.VirtualTimers(start_ms=5_000)
        self.dead = set()
        self.sent = 0
        members = {
            f"i{number}": hubs.Member("h", number, zones[number % len(zones)])
            for number in range(count)
        }
        self.nodes = {name: Node(self, name, members) for name in members}

    def deliver(self, datagram, names):
        """Hand a datagram to the handler of each receiver."""
        for name in names:
            self.sent += 1
            if name not in self.dead:
                self.nodes[name].handlers[type(datagram)](datagram)


class Node:
    """One instance: what origins use of its gossip, and its origins."""

    def __init__(self, network, name, members):
        self.name = name
        self.zone = members[name].zone
        self.members = dict(members)
        self.handlers = {}
        self.network = network
        self.origins = streamorigins.StreamOrigins(self, network.clock)

    def send(self, datagram, names):
        """Send a datagram, unless the node is dead."""
        if self.name not in self.network.dead:
            self.network.deliver(datagram, names)


class Origins(unittest.IsolatedAsyncioTestCase):
    """An origin outlives the instance that recorded it."""

    # Guards against a stream's version being lost with the instance that began it.
    async def test_all_instances_find_it_after_its_owner_died(self):
        for count in (2, 3, 7, 66, 200):
            network = Network(count)
            owner = network.nodes["i0"]
            for number in range(20):
                owner.origins.record(f"id-{number}", ORIGIN, 10_000)
            network.dead = {"i0"}
            for name, node in network.nodes.items():
                for number in range(20 if name != "i0" else 0):
                    found = await node.origins.find(f"id-{number}")
                    self.assertEqual(found, ORIGIN, (count, name, number))

    async def test_it_is_found_in_its_data_centre_while_that_is_cut_off(self):
        network = Network(66)
        network.nodes["i0"].origins.record("id", ORIGIN, 10_000)
        network.dead = {name for name, one in network.nodes.items() if one.zone != "a"}
        network.dead.add("i0")
        for node in network.nodes.values():
            if node.name not in network.dead:
                self.assertEqual(await node.origins.find("id"), ORIGIN)

    # Guards against instances that see the fleet differently asking the wrong ones.
    async def test_it_is_found_though_members_are_seen_differently(self):
        network = Network(66)
        for number, node in enumerate(network.nodes.values()):
            missing = f"i{(number * 7 + 3) % 66}"
            if missing != node.name:
                del node.members[missing]
            node.members["gone"] = hubs.Member("h", 1, node.zone)
        network.dead = {"gone"}
        owner = network.nodes["i0"]
        for number in range(50):
            owner.origins.record(f"id-{number}", ORIGIN, 10_000)
        network.dead.add("i0")
        for number in range(50):
            node = network.nodes[f"i{number + 1}"]
            self.assertEqual(await node.origins.find(f"id-{number}"), ORIGIN)

    # Guards against a single copy where each data centre has one instance.
    async def test_small_data_centres_have_as_many_copies(self):
        for dead in ("i1", "i2"):
            network = Network(3)
            network.nodes["i0"].origins.record("id", ORIGIN, 10_000)
            network.dead = {"i0", dead}
            for name in {"i1", "i2"} - network.dead:
                self.assertEqual(await network.nodes[name].origins.find("id"), ORIGIN)

    async def test_few_instances_keep_it(self):
        network = Network(200)
        network.nodes["i0"].origins.record("id", ORIGIN, 10_000)
        copies = streamorigins.ZONE_COPIES + streamorigins.OTHER_COPIES
        self.assertEqual(network.sent, copies)

    async def test_what_no_instance_knows_is_told_at_once(self):
        network = Network(66)
        began_s = time.monotonic()
        self.assertIsNone(await network.nodes["i0"].origins.find("id"))
        self.assertLess(time.monotonic() - began_s, 0.1)

    async def test_silent_instances_hold_the_question_for_a_bounded_time(self):
        network = Network(66)
        network.dead = set(network.nodes) - {"i0"}
        async with asyncio.timeout(1):
            self.assertIsNone(await network.nodes["i0"].origins.find("id"))

    async def test_it_expires(self):
        network = Network(3)
        network.nodes["i0"].origins.record("id", ORIGIN, 1_000)
        network.clock.advance(900)
        self.assertEqual(await network.nodes["i1"].origins.find("id"), ORIGIN)
        network.clock.advance(200)
        self.assertIsNone(await network.nodes["i1"].origins.find("id"))

    def test_memory_is_bounded(self):
        network = Network(1)
        origins = network.nodes["i0"].origins
        for number in range(streamorigins.MAX_KEPT + 100):
            origins.record(f"id-{number}", ORIGIN, 10_000)
        self.assertEqual(origins.count(), streamorigins.MAX_KEPT)
        network.clock.advance(10_001)
        origins.record("id", ORIGIN, 1_000)
        self.assertEqual(origins.count(), 1)
