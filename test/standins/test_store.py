import unittest

import msgspec

from cornelreach.http import client as client_module, server
from cornelreach.util import timers as timers_module
from standins import httpcommon, kvcache, service, store, storemodel


class StoreModelTest(unittest.TestCase):
    def setUp(self):
        self.timers = timers_module.VirtualTimers()
        settings = storemodel.Settings("s", 2_000, 3_000, 1_000_000, 100_000)
        self.store = storemodel.Store(settings, self.timers)

    def put(self, key):
        wait_ms = self.store.write(key, 1_000)
        self.store.commit(key)
        return wait_ms

    def test_the_link_queues_and_the_disk_is_slower(self):
        self.assertEqual([1.0, 2.0, 3.0], [self.put(key) for key in "abc"])
        self.timers.advance(10)
        self.assertEqual(10.0, self.store.read_ms("a"))
        self.timers.advance(100)
        self.assertEqual(1.0, self.store.read_ms("c"))

    def test_a_full_store_refuses_writes_and_keeps_its_blocks(self):
        for key in "abcde":
            self.put(key)
        with self.assertRaises(storemodel.Full):
            self.put("f")
        self.assertEqual(5, len(self.store.blocks))
        self.store.delete("a")
        self.put("f")

    def test_an_uncommitted_block_cannot_be_read(self):
        self.store.write("a", 10)
        self.assertIsNone(self.store.read_ms("a"))

    def test_a_restart_drops_all_blocks_and_changes_the_boot_id(self):
        self.put("a")
        boot = self.store.boot_id
        self.store.restart()
        self.assertNotEqual(boot, self.store.boot_id)
        self.assertIsNone(self.store.read_ms("a"))


class HttpTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.client = client_module.Client()
        self.addAsyncCleanup(self.client.close)

    async def start(self, stand_in):
        running = await server.start("127.0.0.1", 0, stand_in.routes.handle)
        self.addCleanup(running.abort)
        self.addCleanup(running.stop_listening)
        self.address = client_module.Address("127.0.0.1", running.port)

    async def call(self, method, path, body=b"", headers=()):
        status, answer, _ = await self.client.call(
            self.address, method, path, body, headers, 5_000
        )
        return status, answer

    async def test_a_partly_written_block_is_not_committed(self):
        timers = httpcommon.ScaledTimers(50.0)
        stand_in = store.Store(storemodel.Settings("s"), timers)
        await self.start(stand_in)
        data = kvcache.content("k", 1_000)
        commit_body = msgspec.json.encode({"checksum": kvcache.checksum(data)})
        for partial_writes, status in ((True, 409), (False, 200)):
            stand_in.partial_writes = partial_writes
            await self.call("PUT", "/v1/kv/k", data)
            self.assertEqual(404, (await self.call("GET", "/v1/kv/k/data"))[0])
            committed = await self.call("POST", "/v1/kv/k/commit", commit_body)
            self.assertEqual(status, committed[0])
        self.assertEqual((200, data), await self.call("GET", "/v1/kv/k/data"))

    async def test_a_full_store_answers_507(self):
        timers = httpcommon.ScaledTimers(50.0)
        await self.start(store.Store(storemodel.Settings("s", 10, 10), timers))
        self.assertEqual(507, (await self.call("PUT", "/v1/kv/k", b"x" * 11))[0])

    async def test_a_service_records_an_execution_whose_response_is_lost(self):
        stand_in = service.Service("booking")
        await self.start(stand_in)
        stand_in.faults = service.Faults(lose_answers=1, fail_before=1)
        self.assertEqual(503, (await self.call("POST", "/block", b"{}"))[0])
        with self.assertRaises(client_module.ResponseLost):
            await self.call("POST", "/block", b"{}")
        key = ((b"idempotency-key", b"k1"),)
        self.assertEqual(201, (await self.call("POST", "/block", b"{}", key))[0])
        _, body = await self.call("GET", "/executions")
        listed = msgspec.json.decode(body)["executions"]
        self.assertEqual([None, "k1"], [each["key"] for each in listed])
