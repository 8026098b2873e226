"""Tests of the ownership records that an instance writes as instances change."""

import asyncio
import unittest

from returns import result

from cornelreach.pools import ownerships
from cornelreach.settings import state as state_module
from cornelreach.targets import ownership
from cornelreach.util import timers

ME = ownership.Member("me", "boot-1")
OTHER = ownership.Member("other", "boot-2")


class Objects:
    """Accepts every conditional write and stores the records."""

    def __init__(self):
        self.version = 1
        self.records = []

    async def put(self, key, value, if_version):
        self.version += 1
        self.records.append(ownerships.decode(value))
        return result.Success(self.version)


class Fleet:
    """The instances of one data centre."""

    def __init__(self):
        self.members = [ME]

    def alive(self):
        return list(self.members)

    def address(self, instance):
        return ""

    def platform_reached(self):
        return True

    def listing(self):
        return frozenset(), float("-inf")


class Server:
    """Ignores registrations."""

    def register(self, method, handler):
        pass


class ProposalTest(unittest.IsolatedAsyncioTestCase):
    """First one instance, then two; each may own the pool."""

    def setUp(self):
        self.objects, self.fleet = Objects(), Fleet()
        self.clock, self.state = timers.VirtualTimers(), state_module.State()
        item = state_module.Entry("settings/model/m", 1, {"name": "m"})
        self.state.apply(state_module.Delta(0, 1, (item,), snapshot=True))
        self.ownerships = ownerships.Ownerships(
            ME, self.clock, self.state, self.objects, None, Server(), self.fleet
        )
        self.ownerships.configure(["p"])

    async def tick(self, times=1):
        for _ in range(times):
            self.clock.advance(ownerships.TICK_MS)
            for _ in range(5):
                await asyncio.sleep(0)

    async def test_successor_is_added_when_a_member_joins(self):
        await self.tick(2)
        self.assertEqual(self.objects.records, [ownership.Record(1, ME, None)])
        self.fleet.members = sorted([ME, OTHER])
        await self.tick(2)
        self.assertEqual(self.objects.records[-1], ownership.Record(2, ME, OTHER))

    async def test_newer_record_is_adopted_and_an_invalid_one_ignored(self):
        await self.tick(2)
        self.assertTrue(self.ownerships.owns("p"))
        theirs = ownership.Record(5, OTHER, ME)
        for value, owns in (({"epoch": "x"}, True), (ownerships.encode(theirs), False)):
            self.objects.version += 1
            version = self.objects.version
            entry = state_module.Entry(ownerships.KEY_PREFIX + "p", version, value)
            self.state.apply(state_module.Delta(version - 1, version, (entry,)))
            await self.tick()
            self.assertIs(self.ownerships.owns("p"), owns)
        self.assertEqual(self.ownerships.recorded("p"), theirs)
