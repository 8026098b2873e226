"""Tests of an owned pool's prompts against small targets on loopback."""

import asyncio
import random
import unittest
from unittest import mock

from cornelreach.http import client
from cornelreach.prompts import follower, pieces, plans, poolprompts
from cornelreach.settings import items
from cornelreach.targets import admission, choice, permits
from cornelreach.util import timers
from test.prompts import fakes

TEXT = "rule " * 4_000
LIMITS = admission.Limits(16, 200_000, 1, 5_000)
PLACE = poolprompts.Place("here/m", "here", {"here/m": "here", "there/m": "there"})
FAST = {
    (follower, "POLL_INTERVAL_MS"): 5,
    (follower, "LONG_POLL_MS"): 20,
    (follower, "STORE_STATE_INTERVAL_MS"): 20,
    (poolprompts, "EXPORT_TICK_MS"): 10,
    (poolprompts, "REMOVE_TICK_MS"): 10,
    (poolprompts, "WARM_TICK_MS"): 10,
}


class Owned(unittest.IsolatedAsyncioTestCase):
    """A pool of two engines with one store elsewhere."""

    async def asyncSetUp(self):
        for (module, name), value in FAST.items():
            patch = mock.patch.object(module, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        self.holders = {name: fakes.FakeTarget() for name in ("one", "two", "store")}
        for holder in self.holders.values():
            await holder.start()
            holder.export_target = self.holders["store"]
        self.client = client.Client()
        self.clock = timers.LoopTimers()
        self.owned = poolprompts.PoolPrompts(self.client, self.clock, random.Random(1))
        self.configure()
        self.owned.start()
        await self.until(
            lambda: not any(self.owned.directory.stale(name) for name in self.holders)
        )

    async def asyncTearDown(self):
        await self.owned.stop()
        await self.client.close()
        for holder in self.holders.values():
            holder.stop()

    def configure(self):
        targets = {
            name: items.Target(
                name,
                "store" if name == "store" else "engine",
                "there" if name == "store" else "here",
                str(holder.address),
            )
            for name, holder in self.holders.items()
        }
        store = {"store": targets.pop("store")}
        self.owned.configure(PLACE, targets, store, items.Model("m"))

    async def until(self, condition):
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.005)

    def prompt(self, question=""):
        chat = [{"role": "system", "content": TEXT}]
        return pieces.split(
            "a", "m", "1", [*chat, {"role": "user", "content": question}]
        )

    def choose(self, run, prompt, fits=("one", "two")):
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
            choice.Candidate(name, "b", False, name in fits, room, room, LIMITS)
            for name in ("one", "two")
        ]
        return self.owned.choose(request, candidates, self.clock.now_ms())

    def compute(self, target, prompt):
        for key in prompt.keys:
            self.holders[target].store(key, "x")

    async def test_a_document_is_computed_copied_and_found_again(self):
        prompt = self.prompt()
        first = self.choose("run-1", prompt)
        self.assertEqual(first.prefill_tokens, prompt.total_tokens)
        self.assertEqual(len(self.owned.explain("run-1")), 2)
        self.compute(first.target, prompt)
        await self.until(lambda: len(self.owned.copies.names) == len(prompt.keys))
        self.owned.released("run-1", served=True)
        store = self.holders["store"]
        await self.until(lambda: set(store.blocks) == set(prompt.keys[:5]))
        await self.until(lambda: self.owned.directory.holders(prompt.keys[4]))
        engine = self.holders[first.target]
        engine.import_content = dict.fromkeys(prompt.keys, "x")
        engine.restart("boot-2")
        await self.until(lambda: set(engine.blocks) == set(prompt.keys[:5]))

    async def test_a_second_prompt_waits_for_the_first_of_its_document(self):
        first = self.choose("run-1", self.prompt("One? " * 200))
        other = "two" if first.target == "one" else "one"
        self.assertEqual(self.choose("run-2", self.prompt("Two? " * 200)).target, "")
        self.owned.released("run-1", served=True)
        second = self.choose("run-2", self.prompt("Two? " * 200))
        self.assertEqual(second.target, first.target)
        self.assertLess(second.prefill_tokens, 300)
        third = self.choose("run-3", self.prompt(), fits=(other,))
        self.assertEqual(third.target, other)
        self.assertEqual(plans.decode(third.plan).after, "")

    async def test_a_nearly_full_store_is_relieved(self):
        prompt = self.prompt()
        first = self.choose("run-1", prompt)
        self.compute(first.target, prompt)
        await self.until(lambda: len(self.owned.copies.names) == len(prompt.keys))
        for key in prompt.keys[:5]:
            self.holders["store"].store(key, "x")
        self.holders["store"].used = 95
        await self.until(lambda: not self.holders["store"].blocks)

    async def test_reports_and_no_room(self):
        self.owned.reported("one", 50_000)
        self.assertEqual(self.choose("run-1", self.prompt()).target, "two")
        self.assertGreater(self.owned.wait_ms(), -1)
        self.assertEqual(self.choose("run-2", self.prompt(), fits=()), choice.NOWHERE)
