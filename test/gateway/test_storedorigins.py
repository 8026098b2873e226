"""Tests of the origins of streams that the store keeps."""

import asyncio
import unittest

from cornelreach.gateway import (
    mirror as mirror_module,
    quotas,
    storedorigins,
    streamorigins,
)
from cornelreach.platform import origins, results
from cornelreach.util import timers
from test.platform import objects

FIRST = streamorigins.Origin("llm-pool", "2.4.1")
SECOND = streamorigins.Origin("llm-pool", "2.5.0")
KEEP_MS = 60.0


class StoredOrigins(unittest.IsolatedAsyncioTestCase):
    """Instances that write and read entries of one store."""

    async def asyncSetUp(self):
        self.store = objects.FakeObjectStore()

    def start(self, name="edge-1", fleet=("edge-1", "edge-2"), writes_per_s=4_000):
        """Return the origins at a process that has just started."""
        mirror = mirror_module.Mirror(name, 5_000, True)
        mirror.fleet = quotas.Fleet(name, fleet)
        started = storedorigins.StoredOrigins(
            self.store, mirror, timers.LoopTimers(), writes_per_s
        )
        self.addCleanup(started.close)
        return started

    async def settle(self):
        """Let writes go on."""
        await asyncio.sleep(0.02)

    async def test_another_instance_finds_an_origin(self):
        one, other = self.start(), self.start("edge-2")
        one.record("a", FIRST, 10_000)
        one.record("b", SECOND, 10_000)
        await self.settle()
        self.assertEqual(await other.find("a"), FIRST)
        self.assertEqual(await other.find("b"), SECOND)
        self.assertEqual(self.store.calls.count("list"), 2)
        self.assertIsNone(await other.find("never seen"))
        self.assertEqual(self.store.calls.count("list"), 2)

    # Guards against a process that overwrites what the one before it, killed, had kept.
    async def test_a_new_process_keeps_the_streams_of_the_one_before(self):
        before = self.start()
        before.record("a", FIRST, 10_000)
        await self.settle()
        before.close()
        self.start().record("b", SECOND, 10_000)
        await self.settle()
        other = self.start("edge-2")
        self.assertEqual(await other.find("a"), FIRST)
        self.assertEqual(await other.find("b"), SECOND)

    # Guards against entries that stay for ever once one version is left.
    async def test_an_entry_is_deleted_once_its_streams_have_ended(self):
        one = self.start()
        one.record("a", FIRST, KEEP_MS)
        await self.settle()
        one.check()
        await self.settle()
        self.assertIn(origins.key("edge-1"), self.store.store.records)
        await asyncio.sleep(KEEP_MS / 1_000)
        one.check()
        await self.settle()
        self.assertEqual(self.store.store.records, {})
        one.record("b", SECOND, 10_000)
        await self.settle()
        self.assertEqual(await self.start("edge-2").find("b"), SECOND)

    # Guards against origins that are lost with one answer of the store.
    async def test_a_write_without_an_outcome_is_made_again(self):
        for fault in ("lost", "dropped", "unavailable"):
            with self.subTest(fault):
                one = self.start(fault)
                self.store.faults = [None, fault]
                one.record(fault, FIRST, 10_000)
                await asyncio.sleep(storedorigins.RETRY_MS / 1_000 + 0.05)
                self.assertEqual(await self.start("edge-2").find(fault), FIRST)

    # Guards against all origins unread for one entry that another writer damaged.
    async def test_damaged_entries_are_passed_over(self):
        one = self.start()
        one.record("a", FIRST, 10_000)
        await self.settle()
        group = {"service": "s", "software": "v", "attempts": ["0" * 16]}
        for number, value in enumerate(
            (
                None,
                [],
                {"groups": {}},
                {"groups": [{}]},
                {"groups": [{**group, "attempts": ["x" * 16]}]},
                {"groups": [{**group, "attempts": ["0" * 17]}]},
                {"groups": [{**group, "attempts": [-1]}]},
                {"groups": [{**group, "service": 7}]},
                {"groups": [group] * (origins.MAX_GROUPS + 1)},
                results.Unreadable("nested too deeply"),
            )
        ):
            key = f"origins/bad-{number}"
            self.store.store.records[key] = results.Record(key, 1, value)
        found = self.start("edge-2")
        self.assertEqual(await found.find("a"), FIRST)
        self.assertEqual(len(found._read), 1)

    # Guards against more writes than a share of what the store bears.
    async def test_writes_keep_to_a_share_of_the_rate(self):
        one = self.start(fleet=[f"edge-{n}" for n in range(10)], writes_per_s=400)
        for number in range(100):
            one.record(f"attempt-{number}", FIRST, 10_000)
            await asyncio.sleep(0.003)
        self.assertLessEqual(self.store.calls.count("put"), 6)

    # Guards against an entry that an older copy of the store lacks for good.
    async def test_an_entry_is_written_again_after_a_restore(self):
        one = self.start()
        one.record("a", FIRST, 10_000)
        await self.settle()
        self.store.store.records.clear()
        one.forget_version()
        await self.settle()
        self.assertEqual(await self.start("edge-2").find("a"), FIRST)

    # Guards against an entry that grows without a bound.
    async def test_an_entry_holds_the_newest_origins(self):
        one = self.start()
        for number in range(storedorigins.MAX_KEPT + 1):
            one.record(f"attempt-{number}", FIRST, 10_000)
        await self.settle()
        other = self.start("edge-2")
        self.assertIsNone(await other.find("attempt-0"))
        self.assertEqual(await other.find(f"attempt-{storedorigins.MAX_KEPT}"), FIRST)
