import asyncio
import unittest

import msgspec

from cornelreach.http import client as client_module, server
from standins import engine, enginemodel, httpcommon, linkmodel

SPEED = 50.0


class EngineTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.timers = httpcommon.ScaledTimers(SPEED)
        self.client = client_module.Client()
        self.servers = []
        self.addAsyncCleanup(self.stop)

    async def stop(self):
        await self.client.close()
        for running in self.servers:
            running.stop_listening()
            running.abort()

    async def start(self, model="drafter"):
        settings = enginemodel.Settings("e1", model, starts_cold=False)
        link = linkmodel.Link(50_000_000, self.timers)
        stand_in = engine.Engine(settings, self.timers, link)
        running = await server.start("127.0.0.1", 0, stand_in.routes.handle)
        self.servers.append(running)
        return stand_in, client_module.Address("127.0.0.1", running.port)

    async def call(self, address, method, path, value=None, headers=()):
        body = msgspec.json.encode(value) if value is not None else b""
        return await self.client.call(address, method, path, body, headers, 5_000)

    async def complete(self, address, **fields):
        fields.setdefault("messages", [{"role": "user", "content": "May it close?"}])
        return await self.call(address, "POST", "/v1/chat/completions", fields)

    async def test_a_stream_carries_numbered_events_and_usage(self):
        _, address = await self.start()
        status, body, headers = await self.complete(
            address, run="r1", stream=True, max_tokens=9
        )
        self.assertEqual(200, status)
        self.assertIn(b"id: 10\n", body)
        self.assertTrue(body.endswith(b"data: [DONE]\n\n"))
        self.assertEqual(2, body.count(b"r1 "))
        self.assertIn(b'"completion_tokens":9', body)
        self.assertIn(b"x-boot-id", dict(headers))

    async def test_a_stream_resumes_after_an_event(self):
        _, address = await self.start()
        _, whole, _ = await self.complete(address, run="r1", stream=True, max_tokens=9)
        _, rest, _ = await self.call(address, "GET", "/v1/runs/r1/events?from=4")
        self.assertEqual(whole[whole.index(b"id: 5\n") :], rest)

    async def test_a_reader_answers_yes_or_no_in_one_document(self):
        _, address = await self.start("reader")
        _, body, _ = await self.complete(address, run="r1")
        answer = msgspec.json.decode(body)["choices"][0]["message"]["content"]
        self.assertIn(answer, ("yes", "no"))

    async def test_a_call_for_another_boot_or_version_is_not_run(self):
        stand_in, address = await self.start()
        call = {"messages": [{"role": "user", "content": "x"}]}
        status, _, _ = await self.call(
            address, "POST", "/v1/chat/completions", call, ((b"if-match", b"old"),)
        )
        self.assertEqual(412, status)
        self.assertEqual(409, (await self.complete(address, version="9"))[0])
        self.assertEqual({}, stand_in.model.runs)

    async def test_a_restart_cuts_the_stream(self):
        stand_in, address = await self.start()
        asyncio.get_running_loop().call_later(0.02, stand_in.model.turn_cold)
        with self.assertRaises(client_module.ResponseLost):
            await self.complete(address, run="r1", stream=True, max_tokens=4_000)

    async def test_an_import_rejects_blocks_with_a_wrong_checksum(self):
        stand_in, address = await self.start()
        other_engine, other_address = await self.start()
        await self.complete(address, run="r1", pieces=[{"key": "k", "tokens": 1_000}])
        _, body, _ = await self.call(address, "GET", "/v1/kv/k")
        stat = msgspec.json.decode(body)
        order = {"source": str(address), "blocks": [stat]}
        _, body, _ = await self.call(other_address, "POST", "/v1/kv/import", order)
        staged = msgspec.json.decode(body)
        self.assertEqual([], staged["failed"])
        self.assertEqual(0, other_engine.model.cache.prefix(["k"]))
        commit = {"import": staged["import"], "keys": ["k"]}
        await self.call(other_address, "POST", "/v1/kv/commit", commit)
        self.assertEqual(1, other_engine.model.cache.prefix(["k"]))
        stand_in.blocks.partial_writes = True
        _, body, _ = await self.call(other_address, "POST", "/v1/kv/import", order)
        self.assertEqual([], msgspec.json.decode(body)["failed"])
        _, empty = await self.start()
        _, body, _ = await self.call(empty, "POST", "/v1/kv/import", order)
        self.assertEqual(["k"], msgspec.json.decode(body)["failed"])
