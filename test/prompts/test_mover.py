"""Tests of transfers over HTTP."""

import unittest

from cornelreach.http import client
from cornelreach.prompts import mover
from test.prompts import fakes

KEYS = ["a", "b"]


class Bring(unittest.IsolatedAsyncioTestCase):
    """Transfers between two small targets."""

    async def asyncSetUp(self):
        self.source, self.target = fakes.Holder(), fakes.Holder()
        await self.source.start()
        await self.target.start()
        for key in KEYS:
            self.source.store(key, f"content of {key}")
        self.target.arriving = {key: f"content of {key}" for key in KEYS}
        self.client = client.Client()
        self.mover = mover.Mover(self.client)

    async def asyncTearDown(self):
        await self.client.close()
        self.source.stop()
        self.target.stop()

    async def bring(self, limit_ms=5_000):
        return await self.mover.bring(
            self.source.address, self.target.address, KEYS, limit_ms
        )

    async def test_brings_blocks(self):
        outcome = await self.bring()
        self.assertEqual((outcome.ending, list(outcome.keys)), ("done", KEYS))
        self.assertEqual(list(self.target.blocks), KEYS)

    async def test_drops_what_changed_or_arrived_in_part(self):
        def free(path):
            if path == "/v1/kv/import":
                self.source.remove("b")

        self.target.before = free
        self.assertEqual((await self.bring()).keys, ("a",))
        self.target.before = lambda path: None
        self.target.arriving["a"] = "content"
        outcome = await self.bring()
        self.assertEqual((outcome.ending, outcome.keys), ("changed", ()))

    async def test_a_restarted_source_proves_nothing(self):
        def restart(path):
            if path == "/v1/kv/import":
                self.source.restart("boot-2")
                for key in KEYS:
                    self.source.store(key, f"content of {key}")

        self.target.before = restart
        self.assertEqual((await self.bring()).ending, "changed")
        self.assertEqual(self.target.blocks, {})

    async def test_a_stall_ends_at_the_limit(self):
        self.target.delay_s = 5
        outcome = await self.bring(limit_ms=100)
        self.assertEqual(outcome.ending, "timed_out")

    async def test_a_dead_target_is_a_failure(self):
        self.target.stop()
        self.assertEqual((await self.bring()).ending, "failed")
