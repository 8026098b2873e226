"""Tests of the shell: three instances in one process over real sockets."""

import asyncio
import random
import unittest
import unittest.mock

from cornelreach.fleet import beats, news, node
from cornelreach.peers import wire
from cornelreach.platform import backoff, budget, results
from cornelreach.settings import items, state, sync
from cornelreach.util import timers
from test.platform import objects

WAIT_S = 10
KEY = items.key_of("data-centre", "a")


class Part:
    """One instance's shell, node and watch."""

    async def start(self, name, fake):
        self.clock = timers.LoopTimers()
        self.state = state.State()
        self.server = wire.Server(self.sender, lambda sender: None)
        self.peers = wire.Client(self.sender, lambda sender: None)
        self.name = name
        self.objects = fake
        await self.begin()

    def sender(self):
        return wire.Sender(self.name, "a", f"boot-{self.name}", self.state.revision)

    async def begin(self):
        """Register the methods, listen, and start the loops."""
        identity = news.Identity(self.name, f"boot-{self.name}", 1, "a", "")
        self.node = node.Node(
            identity, self.state, random.Random(self.name), self.clock.now_ms()
        )
        self.beats = beats.Beats(
            self.node, self.peers, self.server, self.objects, self.clock
        )
        await self.server.start("127.0.0.1:0")
        address = f"127.0.0.1:{self.server.port}"
        member = self.node.membership
        member.me = member.me._replace(identity=identity._replace(address=address))
        self.address = address
        self.sync = sync.Sync(
            self.objects,
            self.state,
            backoff.Backoff(random.Random(1)),
            self.beats.watching,
            5,
            self.beats.report,
        )

    def run(self):
        """Start the loops."""
        loops = (self.beats.run(), self.beats.follow(), self.sync.run())
        self.tasks = [asyncio.ensure_future(loop) for loop in loops]

    async def stop(self):
        """End the loops and close the sockets."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.peers.close()
        await self.server.stop(0)


class Together(unittest.IsolatedAsyncioTestCase):
    """Heartbeats, pulls and merges over gRPC."""

    async def until(self, condition):
        """Wait for a condition."""
        async with asyncio.timeout(WAIT_S):
            while not condition():
                await asyncio.sleep(0.02)

    async def test_find_each_other_relay_and_merge(self):
        patch = unittest.mock.patch.object(budget, "START_SPREAD_MS", 1)
        patch.start()
        self.addCleanup(patch.stop)
        fake = objects.Fake()
        fake.store.write(KEY, {"name": "a"}, 0)
        parts = [Part() for _ in range(3)]
        for name, part in zip("xyz", parts, strict=True):
            await part.start(name, fake)
        fake.entries = tuple(
            results.Instance(part.name, "a", part.address) for part in parts
        )
        for part in parts:
            part.run()
        await self.until(
            lambda: all(len(p.node.membership.serving()) == 3 for p in parts)
        )
        await self.until(lambda: all(p.state.revision == 1 for p in parts))
        given = parts[0].node.directives.give(KEY, "taken_out", "fire", "ana", 1)
        ident = given.unwrap().ident
        await self.until(
            lambda: ident in fake.store.records[KEY].value.get("directives", ())
        )
        await self.until(lambda: all(p.state.revision == 2 for p in parts))
        self.assertEqual(parts[2].state.get(KEY).value["state"], "taken_out")
        for part in parts:
            await part.stop()
