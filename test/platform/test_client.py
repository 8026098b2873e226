"""Tests of the platform client against a small HTTP server on loopback."""

import json
import unittest

from returns import result

from cornelreach.http import client as http_client, messages, server
from cornelreach.platform import client, results
from test.platform import objects


def condition(request):
    """Return the version that a write requires."""
    matched = request.header("if-match")
    return int(matched) if matched else 0


class ClientCalls(unittest.IsolatedAsyncioTestCase):
    """Each call, its typed result and the failures."""

    async def asyncSetUp(self):
        self.store = objects.Store()
        self.status = None
        self.cut = False
        self.server = await server.start("127.0.0.1", 0, self.answer)
        self.http = http_client.Client()
        address = http_client.Address("127.0.0.1", self.server.port)
        self.kinds = []
        self.told = []
        self.client = client.Client(
            self.http, address, self.gate, 200, lambda *told: self.told.append(told)
        )

    async def gate(self, kind):
        self.kinds.append(kind)

    async def asyncTearDown(self):
        await self.http.close()
        self.server.stop_listening()
        self.server.abort()

    async def answer(self, request):
        if self.status:
            headers = ((b"retry-after", b"3"),)
            return messages.json_response(self.status, {}, headers)
        response = self.route(request)
        if self.cut:
            self.server.abort()
        return response

    def route(self, request):
        if request.path == "/v1/objects":
            return self.page(request.query)
        if request.path == "/v1/watch":
            return self.changes(request.query)
        if request.path == "/v1/instances":
            entry = {"name": "a", "data_centre": "x", "peer_address": "h:1"}
            entry["state"] = "live"
            return messages.json_response(200, {"instances": [entry]})
        key = request.path.removeprefix("/v1/objects/")
        if request.method == "GET":
            found = self.store.read(key)
            if isinstance(found, result.Failure):
                return messages.json_response(404, {})
            return messages.json_response(200, found.unwrap()._asdict())
        value = json.loads(request.body) if request.method == "PUT" else None
        outcome = self.store.write(key, value, condition(request))
        if isinstance(outcome, result.Failure):
            held = outcome.failure().version
            return messages.json_response(412, {"version": held})
        return messages.json_response(200, {"version": outcome.unwrap()})

    def page(self, query):
        listing = self.store.listing(query["prefix"])
        left = [item for item in listing.records if item.key > query["after"]]
        shown = [item._asdict() for item in left[:2]]
        more = shown[-1]["key"] if len(left) > 2 else None
        value = {"revision": listing.revision, "items": shown, "next": more}
        return messages.json_response(200, value)

    def changes(self, query):
        found = self.store.changes(query["prefix"], int(query["since"]))
        if isinstance(found, result.Failure):
            return messages.json_response(410, {})
        value = found.unwrap()
        shown = [item._asdict() for item in value.records]
        body = {"revision": value.revision, "changes": shown}
        return messages.json_response(200, body)

    async def test_write_read_list_watch_delete(self):
        for number in range(5):
            outcome = await self.client.put(f"a/é {number}", number, if_absent=True)
            self.assertEqual(outcome, result.Success(number + 1))
        again = await self.client.put("a/é 0", 9, if_version=7)
        self.assertEqual(again.failure().version, 1)
        found = await self.client.get("a/é 3")
        self.assertEqual(found.unwrap(), results.Record("a/é 3", 4, 3))
        self.assertEqual((await self.client.get("b")).failure(), results.NotFound("b"))
        listing = (await self.client.list("a/")).unwrap()
        self.assertEqual((listing.revision, len(listing.records)), (5, 5))
        self.assertEqual(await self.client.delete("a/é 1", 2), result.Success(6))
        changes = (await self.client.watch("a/", 4, 10)).unwrap()
        self.assertEqual([record.value for record in changes.records], [4, None])
        self.assertEqual((await self.client.instances()).unwrap()[0].state, "live")
        self.store.compacted = 9
        compacted = await self.client.watch("a/", 4, 10)
        self.assertEqual(compacted.failure(), results.Compacted(4))
        self.assertEqual(set(self.kinds), {"read", "write", "watch"})

    async def test_failures_tell_what_is_known(self):
        self.status = 429
        limited = (await self.client.put("k", 1, if_absent=True)).failure()
        self.assertEqual(limited.retry_after_ms, 3_000)
        self.status = 503
        away = (await self.client.get("k")).failure()
        self.assertIsInstance(away, results.Unavailable)
        unknown = (await self.client.put("k", 1, if_absent=True)).failure()
        self.assertIsInstance(unknown, results.OutcomeUnknown)
        self.status, self.cut = None, True
        lost = (await self.client.put("k", 1, if_absent=True)).failure()
        self.assertIsInstance(lost, results.OutcomeUnknown)
        self.assertEqual(self.store.revision, 1)
        expected = [("write", 429), ("read", 503), ("write", 503), ("write", 0)]
        self.assertEqual(self.told, expected)
        self.server.stop_listening()
        refused = (await self.client.put("k", 1, if_absent=True)).failure()
        self.assertIsInstance(refused, results.Unavailable)
