"""Tests of the loop that lists and watches the platform."""

import random
import unittest

from cornelreach.platform import backoff
from cornelreach.settings import state, sync
from test.platform import objects


class SyncTest(unittest.IsolatedAsyncioTestCase):
    """Single steps against a fake platform with faults."""

    def setUp(self):
        self.fake = objects.FakeObjectStore()
        self.state = state.State()
        retry_backoff = backoff.Backoff(random.Random(1))
        self.sync = sync.Sync(self.fake, self.state, retry_backoff, watch_ms=1)

    async def test_lists_then_watches_and_lists_again_after_compaction(self):
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

    async def test_writes_of_other_objects_do_not_block_the_revision(self):
        store = self.fake.store
        store.write("settings/model/m", {"name": "m"}, 0)
        await self.sync.step()
        store.write("leases/rollout", {}, 0)
        await self.sync.step()
        store.write("settings/model/m", {"name": "m", "version": "2"}, 1)
        await self.sync.step()
        self.assertEqual((self.state.revision, self.sync.watch_from), (3, 3))

    async def test_backs_off_and_keeps_its_settings(self):
        self.fake.store.write("settings/model/m", {"name": "m"}, 0)
        await self.sync.step()
        self.fake.faults = ["unavailable"] * 4
        delays_ms = [await self.sync.step() for _ in range(4)]
        self.assertEqual(delays_ms, sorted(delays_ms))
        self.assertFalse(self.sync.platform_ok)
        self.assertEqual(len(self.state.live()), 1)
        self.fake.store = objects.Store()
        self.assertGreater(await self.sync.step(), 0)
        self.assertEqual((len(self.state.live()), self.state.revision), (1, 1))
