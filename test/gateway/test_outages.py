"""What an instance makes of entries that go around a time without the platform."""

import unittest
from unittest import mock

from returns import result

from cornelreach.gateway import edge as edge_module, hubs
from cornelreach.platform import records, results, site as site_module, software
from cornelreach.util import timers
from test.gateway import harness

ZONE = "lj"
SERVER = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": ZONE,
    "state": "ready",
    "slots": 8,
    "born": 1,
    "sequence": 1,
    "version": "v1",
}
WATCHED = (records.CONFIG, records.TARGETS, software.PREFIX)
STEP_MS = 100.0


class Store:
    """The platform's store: entries of targets, their changes, and who is cut off."""

    def __init__(self):
        self.revision = 1
        self.changes = []
        self.away = set()
        self.add("t1")
        self.add("t2")

    def add(self, name):
        """Write the entry of a target."""
        self._change(name, SERVER)

    def remove(self, name):
        """Remove the entry of a target."""
        self._change(name, None)

    def _change(self, name, value):
        self.revision += 1
        key = f"{records.TARGETS}{name}"
        self.changes.append(results.Record(key, self.revision, value))


class Objects:
    """The store as one instance reaches it."""

    def __init__(self, store, name):
        self.store = store
        self.name = name

    async def list(self, prefix, after=""):
        return self._answer(prefix, 0, results.Listing)

    async def watch(self, prefix, since, wait_ms, margin_ms=0):
        return self._answer(prefix, since, results.Changes)

    def _answer(self, prefix, since, kind):
        if self.name in self.store.away:
            return result.Failure(results.Unavailable("unavailable"))
        found = tuple(
            one
            for one in self.store.changes
            if one.version > since and one.key.startswith(prefix)
        )
        return result.Success(kind(self.store.revision, found))


class Transport:
    """Delivers datagrams between the instances of a test at once."""

    def __init__(self, edges):
        self.edges = edges

    def sendto(self, data, address):
        """Deliver a datagram to the instance that listens at an address."""
        receiver = self.edges.get(address[0])
        if receiver is not None:
            receiver.gossip.datagram_received(data, ("peer", 1))


def make_site(name):
    """Return the settings of an instance."""
    return site_module.Site(
        name=name,
        zone=ZONE,
        regions={ZONE: "r"},
        front="127.0.0.1:0",
        readiness="127.0.0.1:0",
        ip="127.0.0.1",
        ports=(1, 2),
        platform="127.0.0.1:1",
        bounds=harness.BOUNDS,
        reads_per_s=100,
        writes_per_s=100,
    )


class Outages(unittest.IsolatedAsyncioTestCase):
    """Two instances that read the entries of targets, in virtual time."""

    async def asyncSetUp(self):
        self.clock = timers.VirtualTimers(start_ms=60_000)
        self.store = Store()
        self.order = 1
        self.edges = {}
        for name in ("a", "b"):
            self.edges[name] = self.make_edge(name)
        self.first = self.edges["a"]
        await self.run_ms(3_000)
        self.assertTrue(self.is_open("t1"))

    def make_edge(self, name):
        """Return an instance on the virtual clock, whose calls the test makes."""
        with mock.patch.object(edge_module, "SuspendTimers", lambda: self.clock):
            edge = edge_module.Edge(make_site(name), "no-file")
        for member in ("a", "b"):
            edge.gossip.members[member] = hubs.Member(member, 1, ZONE)
        edge.gossip._transport = Transport(self.edges)
        for watcher in edge.watchers:
            watcher.objects = Objects(self.store, name)
            watcher.timing = watcher.timing._replace(batch_ms=0.0)
            watcher._rest = self.rest
        return edge

    async def rest(self, rest_ms):
        """Return at once; the test advances the time."""

    async def run_ms(self, duration_ms):
        """Let each instance read both kinds of records once in each step."""
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            self.clock.advance(STEP_MS)
            for edge in self.edges.values():
                for watcher in edge.watchers[:: self.order]:
                    if watcher.handler.prefix in WATCHED:
                        await watcher.poll()
                edge.mirror.registry.expire(self.clock.now_ms())

    def is_open(self, target):
        """Return whether the first instance sends requests to a target."""
        return self.first.mirror.registry.is_open(target, "s")

    # Guards against requests to a target that has left, because a watch that was cut
    # off shortly before passed for an outage in which its entry may have lapsed.
    async def test_an_entry_that_goes_after_a_watch_was_cut_off_is_gone(self):
        self.store.away = {"a", "b"}
        await self.run_ms(STEP_MS)
        self.store.away = set()
        await self.run_ms(STEP_MS)
        self.store.remove("t1")
        await self.run_ms(STEP_MS)
        self.assertFalse(self.is_open("t1"))

    # Guards against requests to a target that has left, because the instance took the
    # loss of its own link for an outage of the store.
    async def test_an_entry_that_goes_while_others_read_the_store_is_gone(self):
        self.store.away = {"a"}
        await self.run_ms(4_000)
        self.store.remove("t1")
        await self.run_ms(2_000)
        self.store.away = set()
        await self.run_ms(500)
        self.assertFalse(self.is_open("t1"))
        self.assertTrue(self.is_open("t2"))

    # Guards against requests to a target that has left shortly after the instance got
    # its own link back.
    async def test_an_entry_that_goes_soon_after_an_own_link_is_back_is_gone(self):
        self.store.away = {"a"}
        await self.run_ms(6_000)
        self.store.away = set()
        await self.run_ms(500)
        self.store.remove("t1")
        await self.run_ms(STEP_MS)
        self.assertFalse(self.is_open("t1"))

    # Guards against requests to a target that has left, in a fleet whose instances tell
    # hubs alone what they know.
    async def test_in_a_larger_fleet_the_hubs_are_asked(self):
        for edge in self.edges.values():
            for number in range(hubs.MAX_DIRECT):
                member = hubs.Member(f"x{number}", 1, "far", power=0.5)
                edge.gossip.members[f"x{number}"] = member
        self.store.away = {"a"}
        await self.run_ms(6_000)
        self.store.remove("t1")
        self.store.away = set()
        await self.run_ms(500)
        self.assertFalse(self.is_open("t1"))

    async def test_an_entry_that_lapsed_while_the_store_was_away_is_kept(self):
        self.store.away = {"a", "b"}
        await self.run_ms(6_000)
        self.store.remove("t1")
        self.store.away = set()
        await self.run_ms(1_500)
        self.assertTrue(self.is_open("t1"))
        self.store.add("t1")
        await self.run_ms(1_500)
        self.assertTrue(self.is_open("t1"))

    # Guards against engines that are dropped after an outage of the store: another
    # instance had read some kind of record again, but not noticed its own outage.
    async def test_an_instance_that_was_away_is_no_witness(self):
        self.order = -1
        self.store.away = {"a", "b"}
        await self.run_ms(6_000)
        self.store.remove("t1")
        self.store.away = set()
        await self.poll("b", software.PREFIX)
        await self.poll("a", records.CONFIG)
        await self.poll("a", records.TARGETS)
        self.assertTrue(self.is_open("t1"))
        await self.run_ms(1_500)
        self.assertTrue(self.is_open("t1"))

    async def poll(self, name, prefix):
        """Let one watcher of an instance make a call."""
        (watcher,) = [
            one for one in self.edges[name].watchers if one.handler.prefix == prefix
        ]
        await watcher.poll()

    async def test_an_entry_that_lapsed_and_stays_away_is_gone(self):
        self.store.away = {"a", "b"}
        await self.run_ms(6_000)
        self.store.remove("t1")
        self.store.away = set()
        await self.run_ms(2_500)
        self.assertFalse(self.is_open("t1"))
