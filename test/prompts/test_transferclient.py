"""Tests of block transfers over HTTP."""

import unittest

from cornelreach.http import client
from cornelreach.prompts import transferclient
from test.prompts import fakes

KEYS = ["a", "b"]


class ImportTest(unittest.IsolatedAsyncioTestCase):
    """Transfers between two fake targets."""

    async def asyncSetUp(self):
        self.source, self.target = fakes.FakeTarget(), fakes.FakeTarget()
        await self.source.start()
        await self.target.start()
        for key in KEYS:
            self.source.store(key, f"content of {key}")
        self.target.import_content = {key: f"content of {key}" for key in KEYS}
        self.client = client.Client()
        self.transfer_client = transferclient.TransferClient(self.client)

    async def asyncTearDown(self):
        await self.client.close()
        self.source.stop()
        self.target.stop()

    async def import_blocks(self, limit_ms=5_000):
        return await self.transfer_client.import_blocks(
            self.source.address, self.target.address, KEYS, limit_ms
        )

    async def test_imports_blocks(self):
        outcome = await self.import_blocks()
        self.assertEqual((outcome.ending, list(outcome.keys)), ("done", KEYS))
        self.assertEqual(list(self.target.blocks), KEYS)

    async def test_drops_blocks_that_changed_or_arrived_incomplete(self):
        def remove_block(path):
            if path == "/v1/kv/import":
                self.source.remove("b")

        self.target.on_call = remove_block
        self.assertEqual((await self.import_blocks()).keys, ("a",))
        self.target.on_call = lambda path: None
        self.target.import_content["a"] = "content"
        outcome = await self.import_blocks()
        self.assertEqual((outcome.ending, outcome.keys), ("changed", ()))

    async def test_source_restart_during_the_transfer_drops_all_blocks(self):
        def restart_source(path):
            if path == "/v1/kv/import":
                self.source.restart("boot-2")
                for key in KEYS:
                    self.source.store(key, f"content of {key}")

        self.target.on_call = restart_source
        self.assertEqual((await self.import_blocks()).ending, "changed")
        self.assertEqual(self.target.blocks, {})

    async def test_stalled_transfer_ends_at_the_time_limit(self):
        self.target.delay_s = 5
        outcome = await self.import_blocks(limit_ms=100)
        self.assertEqual(outcome.ending, "timed_out")

    async def test_unreachable_target_fails_the_transfer(self):
        self.target.stop()
        self.assertEqual((await self.import_blocks()).ending, "failed")
