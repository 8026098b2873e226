"""Tests of the cached prompts of an owned pool, with fake targets on loopback."""

import asyncio
import random
import unittest
from unittest import mock

from cornelreach.http import client
from cornelreach.prompts import cachemanager, follower, pieces, plans
from cornelreach.settings import items
from cornelreach.targets import admission, choice, permits
from cornelreach.util import timers
from test.prompts import fakes

TEXT = "rule " * 4_000
LIMITS = admission.Limits(16, 200_000, 1, 5_000)
LOCATION = cachemanager.PoolLocation(
    "here/m", "here", {"here/m": "here", "there/m": "there"}
)
SHORT_INTERVALS = {
    (follower, "POLL_INTERVAL_MS"): 5,
    (follower, "LONG_POLL_MS"): 20,
    (follower, "STORE_STATE_INTERVAL_MS"): 20,
    (cachemanager, "EXPORT_INTERVAL_MS"): 10,
    (cachemanager, "REMOVAL_INTERVAL_MS"): 10,
    (cachemanager, "WARM_UP_INTERVAL_MS"): 10,
}


class CacheManagerTest(unittest.IsolatedAsyncioTestCase):
    """A pool of two engines, and a store in another data centre."""

    async def asyncSetUp(self):
        for (module, name), value in SHORT_INTERVALS.items():
            patch = mock.patch.object(module, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        self.targets = {name: fakes.FakeTarget() for name in ("one", "two", "store")}
        for target in self.targets.values():
            await target.start()
            target.export_target = self.targets["store"]
        self.client = client.Client()
        self.clock = timers.LoopTimers()
        self.manager = cachemanager.CacheManager(
            self.client, self.clock, random.Random(1)
        )
        self.configure()
        self.manager.start()
        await self.until(
            lambda: not any(self.manager.directory.stale(name) for name in self.targets)
        )

    async def asyncTearDown(self):
        await self.manager.stop()
        await self.client.close()
        for target in self.targets.values():
            target.stop()

    def configure(self):
        targets = {
            name: items.Target(
                name,
                "store" if name == "store" else "engine",
                "there" if name == "store" else "here",
                str(target.address),
            )
            for name, target in self.targets.items()
        }
        store = {"store": targets.pop("store")}
        self.manager.configure(LOCATION, targets, store, items.Model("m"))

    async def until(self, condition):
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.005)

    def prompt(self, question=""):
        chat = [{"role": "system", "content": TEXT}]
        return pieces.split(
            "a", "m", "1", [*chat, {"role": "user", "content": question}]
        )

    def choose(self, run, prompt, fitting=("one", "two")):
        request = permits.PermitRequest(
            request=run,
            instance="i",
            instance_boot="b",
            pool="here/m",
            account="a",
            prompt_tokens=prompt.total_tokens,
            piece_keys=tuple(key[:16] for key in prompt.keys),
            piece_tokens=prompt.tokens,
            root=prompt.root,
        )
        room = admission.Load(8, 100_000)
        candidates = [
            choice.Candidate(name, "b", False, name in fitting, room, room, LIMITS)
            for name in ("one", "two")
        ]
        return self.manager.choose(request, candidates, self.clock.now_ms())

    def compute(self, target, prompt):
        for key in prompt.keys:
            self.targets[target].store(key, "x")

    async def test_document_is_computed_copied_and_imported_again(self):
        prompt = self.prompt()
        first = self.choose("run-1", prompt)
        self.assertEqual(first.prefill_tokens, prompt.total_tokens)
        self.assertEqual(len(self.manager.explain("run-1")), 2)
        self.compute(first.target, prompt)
        await self.until(lambda: len(self.manager.copies.key_index) == len(prompt.keys))
        self.manager.record_release("run-1", served=True)
        store = self.targets["store"]
        await self.until(lambda: set(store.blocks) == set(prompt.keys[:5]))
        await self.until(lambda: self.manager.directory.holders(prompt.keys[4]))
        engine = self.targets[first.target]
        engine.import_content = dict.fromkeys(prompt.keys, "x")
        engine.restart("boot-2")
        await self.until(lambda: set(engine.blocks) == set(prompt.keys[:5]))

    async def test_second_prompt_waits_for_the_first_of_its_document(self):
        first = self.choose("run-1", self.prompt("One? " * 200))
        other = "two" if first.target == "one" else "one"
        self.assertEqual(self.choose("run-2", self.prompt("Two? " * 200)).target, "")
        self.manager.record_release("run-1", served=True)
        second = self.choose("run-2", self.prompt("Two? " * 200))
        self.assertEqual(second.target, first.target)
        self.assertLess(second.prefill_tokens, 300)
        third = self.choose("run-3", self.prompt(), fitting=(other,))
        self.assertEqual(third.target, other)
        self.assertEqual(plans.decode(third.plan).after, "")

    async def test_pieces_are_removed_from_a_nearly_full_store(self):
        prompt = self.prompt()
        first = self.choose("run-1", prompt)
        self.compute(first.target, prompt)
        await self.until(lambda: len(self.manager.copies.key_index) == len(prompt.keys))
        for key in prompt.keys[:5]:
            self.targets["store"].store(key, "x")
        self.targets["store"].used = 95
        await self.until(lambda: not self.targets["store"].blocks)

    async def test_load_reports_and_requests_without_room(self):
        self.manager.record_load_report("one", 50_000)
        self.assertEqual(self.choose("run-1", self.prompt()).target, "two")
        self.assertGreater(self.manager.wait_ms(), -1)
        self.assertEqual(
            self.choose("run-2", self.prompt(), fitting=()), choice.NO_TARGET
        )
