"""Tests of HTTP access to engines, against the stand-in engine."""

import unittest

from cornelreach.http import client as client_module, server
from cornelreach.pools import httptargets, rollouts
from cornelreach.settings import items
from cornelreach.targets import orders
from cornelreach.util import timers
from standins import engine, enginemodel, linkmodel


class HttpTargetsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        clock = timers.LoopTimers()
        settings = enginemodel.Settings(
            "e1", "reader", starts_cold=False, checks_fence=True
        )
        self.shell = engine.Engine(settings, clock, linkmodel.Link(1_000_000, clock))
        self.server = await server.start("127.0.0.1", 0, self.shell.routes.handle)
        address = f"http://127.0.0.1:{self.server.port}"
        e1 = items.Target("e1", "engine", "lj", address, serves="reader")
        self.engines = {"e1": e1}
        self.client = client_module.Client()
        self.targets = httptargets.HttpTargets(self.client, lambda: self.engines)

    async def asyncTearDown(self):
        await self.client.close()
        self.server.stop_listening()
        self.server.abort()

    def order(self, fence):
        return orders.Order("e1", orders.Kind.LOAD, "reader", "8", fence)

    async def test_observes_and_orders(self):
        self.assertEqual(self.targets.pools(), {"e1": "lj/reader"})
        seen = await self.targets.observe("e1")
        self.assertEqual(seen, rollouts.Observation(self.shell.model.version, True, 0))
        answer = await self.targets.send(self.order(fence=4))
        self.assertIs(answer, orders.Answer.ACCEPTED)
        answer = await self.targets.send(self.order(fence=3))
        self.assertIs(answer, orders.Answer.OLD_FENCE)

    async def test_unreachable_engine(self):
        self.server.stop_listening()
        self.server.abort()
        self.assertIsNone(await self.targets.observe("e1"))
        answer = await self.targets.send(self.order(fence=4))
        self.assertIn(answer, (orders.Answer.REFUSED, orders.Answer.LOST))
        self.assertIsNone(await self.targets.observe("e2"))
