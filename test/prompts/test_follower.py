"""Tests of following caches over HTTP."""

import asyncio
import random
import unittest
from unittest import mock

from cornelreach.http import client
from cornelreach.platform import backoff
from cornelreach.prompts import directory, documents, follower
from cornelreach.settings import items
from cornelreach.util import hashing, timers
from test.prompts import fakes

KEYS = [hashing.digest(bytes([number])).hex() for number in range(6)]


class FollowerTest(unittest.IsolatedAsyncioTestCase):
    """One directory and two fake targets."""

    async def asyncSetUp(self):
        for name, value in (("POLL_INTERVAL_MS", 5), ("LONG_POLL_MS", 20)):
            patch = mock.patch.object(follower, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        patch = mock.patch.object(backoff, "BASE_MS", 5)
        patch.start()
        self.addCleanup(patch.stop)
        self.one, self.two = fakes.FakeTarget(), fakes.FakeTarget()
        await self.one.start()
        await self.two.start()
        self.directory, self.key_index = directory.Directory(), documents.KeyIndex()
        self.client = client.Client()
        self.restarts = []
        self.follower = follower.Follower(
            self.client,
            timers.LoopTimers(),
            self.directory,
            self.key_index,
            random.Random(1),
            self.restarts.append,
        )
        self.targets = {
            name: items.Target(name, "engine", "here", str(target.address))
            for name, target in (("one", self.one), ("two", self.two))
        }
        self.follower.start()

    async def asyncTearDown(self):
        await self.follower.stop()
        await self.client.close()
        self.one.stop()
        self.two.stop()

    async def until(self, condition):
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.005)

    def holders(self, number):
        return sorted(self.directory.holders(KEYS[number]))

    async def test_lists_caches_applies_events_and_drops_removed_targets(self):
        self.one.store(KEYS[0], "x")
        self.follower.update_targets(self.targets)
        await self.until(lambda: self.holders(0) == ["one"])
        self.one.store(KEYS[1], "x")
        self.two.store(KEYS[1], "x")
        self.one.remove(KEYS[0])
        await self.until(lambda: self.holders(1) == ["one", "two"])
        await self.until(lambda: self.holders(0) == [])
        self.assertEqual(self.key_index.expand([KEYS[1][:16]]), [KEYS[1]])
        self.follower.update_targets({"two": self.targets["two"]})
        self.assertEqual(self.holders(1), ["two"])

    async def test_lists_again_after_a_gap_and_after_a_restart(self):
        self.follower.update_targets(self.targets)
        await self.until(lambda: not self.directory.stale("one"))
        self.one.blocks[KEYS[2]] = (9, "x")
        self.one.seq += 3
        self.one.store(KEYS[3], "x")
        await self.until(lambda: self.holders(2) == ["one"])
        self.one.restart("boot-2")
        self.one.store(KEYS[4], "x")
        await self.until(lambda: self.holders(4) == ["one"])
        self.assertEqual((self.holders(2), self.restarts), ([], ["one"]))

    async def test_unreachable_target_is_stale_until_it_answers(self):
        self.two.store(KEYS[0], "x")
        self.follower.update_targets(self.targets)
        await self.until(lambda: self.holders(0) == ["two"])
        self.two.stop()
        await self.until(lambda: self.follower.unreachable == {"two"})
        self.assertTrue(self.directory.stale("two"))
        await self.two.start()
        restarted_target = self.targets["two"]._replace(address=str(self.two.address))
        self.follower.update_targets({**self.targets, "two": restarted_target})
        await self.until(lambda: not self.directory.stale("two"))
        self.assertEqual(self.follower.unreachable, frozenset())
