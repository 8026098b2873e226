"""Tests of the node's I/O: three instances in one process over real sockets."""

import asyncio
import random
import unittest
import unittest.mock

from cornelreach.fleet import node, noderunner, peermessages
from cornelreach.peers import wire
from cornelreach.platform import backoff, budget, results
from cornelreach.settings import items, state, sync
from cornelreach.util import timers
from test.platform import objects

WAIT_S = 10
KEY = items.key_of("data-centre", "a")


class RunningInstance:
    """A node with its heartbeats and its watch of the platform."""

    async def start(self, name, platform):
        self.clock = timers.LoopTimers()
        self.state = state.State()
        self.server = wire.Server(self.sender, lambda sender: None)
        self.peers = wire.Client(self.sender, lambda sender: None)
        self.name = name
        self.objects = platform
        await self.create_node()

    def sender(self):
        return wire.Sender(self.name, "a", f"boot-{self.name}", self.state.revision)

    async def create_node(self):
        """Create the node, listen for peers and create the loops."""
        identity = peermessages.Identity(self.name, f"boot-{self.name}", 1, "a", "")
        self.node = node.Node(
            identity, self.state, random.Random(self.name), self.clock.now_ms()
        )
        self.node_runner = noderunner.NodeRunner(
            self.node, self.peers, self.server, self.objects, self.clock
        )
        await self.server.start("127.0.0.1:0")
        address = f"127.0.0.1:{self.server.port}"
        node_membership = self.node.membership
        node_membership.me = node_membership.me._replace(
            identity=identity._replace(address=address)
        )
        self.address = address
        self.sync = sync.Sync(
            self.objects,
            self.state,
            backoff.Backoff(random.Random(1)),
            self.node_runner.is_watcher,
            5,
            self.node_runner.record_platform_result,
        )

    def run(self):
        """Start the loops."""
        loops = (
            self.node_runner.run(),
            self.node_runner.follow_platform(),
            self.sync.run(),
        )
        self.tasks = [asyncio.ensure_future(loop) for loop in loops]

    async def stop(self):
        """Cancel the loops and close the sockets."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.peers.close()
        await self.server.stop(0)


class HeartbeatTest(unittest.IsolatedAsyncioTestCase):
    """Heartbeats, pulls and merges over gRPC."""

    async def until(self, condition):
        """Wait until a condition holds."""
        async with asyncio.timeout(WAIT_S):
            while not condition():
                await asyncio.sleep(0.02)

    async def test_instances_find_peers_relay_settings_and_merge_directives(self):
        patch = unittest.mock.patch.object(budget, "START_SPREAD_MS", 1)
        patch.start()
        self.addCleanup(patch.stop)
        platform = objects.FakeObjectStore()
        platform.store.write(KEY, {"name": "a"}, 0)
        instances = [RunningInstance() for _ in range(3)]
        for name, instance in zip("xyz", instances, strict=True):
            await instance.start(name, platform)
        platform.entries = tuple(
            results.Instance(instance.name, "a", instance.address)
            for instance in instances
        )
        for instance in instances:
            instance.run()
        await self.until(
            lambda: all(len(p.node.membership.serving()) == 3 for p in instances)
        )
        await self.until(lambda: all(p.state.revision == 1 for p in instances))
        directive = instances[0].node.directives.issue(
            KEY, "taken_out", "fire", "ana", 1
        )
        ident = directive.unwrap().ident
        await self.until(
            lambda: ident in platform.store.records[KEY].value.get("directives", ())
        )
        await self.until(lambda: all(p.state.revision == 2 for p in instances))
        self.assertEqual(instances[2].state.get(KEY).value["state"], "taken_out")
        for instance in instances:
            await instance.stop()
