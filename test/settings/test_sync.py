"""Tests of the loop between platform and state."""

import random
import unittest

from cornelreach.platform import backoff
from cornelreach.settings import state, sync
from test.platform import objects


class ListAndWatch(unittest.IsolatedAsyncioTestCase):
    """Steps against a fake store with faults."""

    def setUp(self):
        self.fake = objects.Fake()
        self.state = state.State()
        pause = backoff.Backoff(random.Random(1))
        self.sync = sync.Sync(self.fake, self.state, pause, watch_ms=1)

    async def test_lists_then_watches_and_lists_again_when_compacted(self):
        store = self.fake.store
        store.write("settings/model/m", {"name": "m"}, 0)
        store.write("claims/1", {}, 0)
        self.assertEqual(await self.sync.step(), 0)
        store.write("settings/model/m", None, 1)
        await self.sync.step()
        self.assertEqual((self.state.live(), self.state.revision), ([], 3))
        store.write("settings/model/n", {"name": "n"}, 0)
        store.compacted = 4
        await self.sync.step()
        await self.sync.step()
        self.assertEqual(len(self.state.live()), 1)
        self.assertEqual(self.fake.calls, ["list", "watch", "watch", "list"])

    async def test_writes_of_other_objects_do_not_hold_the_revision_back(self):
        store = self.fake.store
        store.write("settings/model/m", {"name": "m"}, 0)
        await self.sync.step()
        store.write("leases/rollout", {}, 0)
        await self.sync.step()
        store.write("settings/model/m", {"name": "m", "version": "2"}, 1)
        await self.sync.step()
        self.assertEqual((self.state.revision, self.sync.floor), (3, 3))

    async def test_backs_off_and_keeps_what_it_holds(self):
        self.fake.store.write("settings/model/m", {"name": "m"}, 0)
        await self.sync.step()
        self.fake.faults = ["away"] * 4
        waits_ms = [await self.sync.step() for _ in range(4)]
        self.assertEqual(waits_ms, sorted(waits_ms))
        self.assertFalse(self.sync.platform_ok)
        self.assertEqual(len(self.state.live()), 1)
        self.fake.store = objects.Store()
        self.assertGreater(await self.sync.step(), 0)
        self.assertEqual((len(self.state.live()), self.state.revision), (1, 1))
