"""Tests of the platform stand-in: the model, and its HTTP server."""

import asyncio
import unittest

import msgspec

from cornelreach.http import client, server
from standins import platform, platformmodel

Model = platformmodel.Model


class PureModel(unittest.TestCase):
    """The model with explicit times."""

    def test_writes_only_when_the_version_matches(self):
        model = Model()
        self.assertEqual(model.put("a", b"1", 0, 0), platformmodel.Written(1))
        self.assertEqual(model.put("a", b"2", 0, 0), platformmodel.Mismatch(1))
        self.assertEqual(model.put("a", b"2", 1, 0), platformmodel.Written(2))
        self.assertEqual(model.delete("a", 1, 0), platformmodel.Mismatch(2))
        self.assertEqual(model.delete("a", 2, 0), platformmodel.Written(3))
        self.assertEqual(model.put("a", b"2", 2, 0), platformmodel.Mismatch(0))
        self.assertEqual(model.put("a", b"2", 0, 0), platformmodel.Written(4))

    def test_a_lost_answer_still_takes_effect(self):
        model = Model(platformmodel.Faults(lose_answers=1))
        self.assertEqual(model.put("a", b"1", 0, 0), platformmodel.AnswerLost(1))
        self.assertEqual(model.get("a", 0), platformmodel.Object("a", 1, b"1", 1))

    def test_pages_cover_the_prefix_once(self):
        model = Model()
        for number in range(25):
            model.put(f"p/{number:02}", b"0", 0, 0)
        model.put("q", b"0", 0, 0)
        seen, after = [], ""
        while after is not None:
            page = model.page("p/", after, 10, 0)
            seen += [item.key for item in page.items]
            after = page.next
        self.assertEqual(seen, [f"p/{number:02}" for number in range(25)])

    def test_watch_reports_changes_until_compacted(self):
        model = Model(kept_changes=2)
        for number in range(4):
            model.put("a", b"0", number, 0)
        self.assertEqual(model.watch("", 1, 0), platformmodel.Compacted(2))
        newer = model.watch("", 2, 0)
        self.assertEqual([change.version for change in newer.changes], [3, 4])

    def test_a_restored_copy_lacks_later_writes_and_gives_out_revisions_again(self):
        model = Model()
        model.put("a", b"1", 0, 0)
        copy = model.copy()
        model.put("a", b"2", 1, 0)
        model.put("b", b"2", 0, 0)
        model.restore(copy)
        self.assertEqual((model.era, model.revision), (1, 1))
        self.assertEqual(model.get("b", 0), platformmodel.Missing("b"))
        self.assertEqual(model.watch("", 3, 0), platformmodel.Compacted(0))
        self.assertEqual(model.put("a", b"3", 1, 0), platformmodel.Written(2))
        self.assertEqual([one.value for one in model.watch("", 1, 0).changes], [b"3"])

    def test_a_watch_from_before_a_compaction_has_to_relist(self):
        model = Model()
        model.put("a", b"1", 0, 0)
        model.compact()
        self.assertEqual(model.watch("", 0, 0), platformmodel.Compacted(1))
        self.assertEqual(model.watch("", 1, 0).changes, [])

    def test_instances_are_objects_unless_a_list_is_given(self):
        model = Model()
        self.assertFalse(model.has_instance_list())
        model.set_instances([platformmodel.Instance("i", "dc", "h:1")], 0)
        self.assertTrue(model.has_instance_list())

    def test_rate_limits_outage_and_list_lag(self):
        model = Model(platformmodel.Faults(writes_per_s=2, list_lag_ms=100))
        model.put("a", b"1", 0, 0)
        model.put("b", b"1", 0, 0)
        self.assertIsInstance(model.put("c", b"1", 0, 0), platformmodel.Throttled)
        self.assertIsInstance(model.put("c", b"1", 0, 500), platformmodel.Written)
        model.set_instances([platformmodel.Instance("i", "dc", "h:1")], 500)
        self.assertEqual(model.instances(599), [])
        self.assertEqual(len(model.instances(600)), 1)
        model.set_faults({"outage_ms": 50}, 600)
        self.assertIsInstance(model.get("a", 649), platformmodel.Outage)
        self.assertIsInstance(model.get("a", 650), platformmodel.Object)

    def test_refuses_a_value_above_one_megabyte(self):
        answer = Model().put("a", b"1" * 1_048_577, 0, 0)
        self.assertEqual(answer, platformmodel.TooLarge(1_048_576))


class OverHttp(unittest.IsolatedAsyncioTestCase):
    """The HTTP API over a socket."""

    async def asyncSetUp(self):
        self.platform = platform.Platform()
        self.server = await server.start("127.0.0.1", 0, self.platform.handle)
        self.address = client.Address("127.0.0.1", self.server.port)
        self.client = client.Client()

    async def asyncTearDown(self):
        await self.client.close()
        self.server.stop_listening()
        self.server.abort()

    async def call(self, method, target, value=None, **headers):
        body = b"" if value is None else msgspec.json.encode(value)
        sent = tuple((k.encode(), v.encode()) for k, v in headers.items())
        status, answer, _ = await self.client.call(
            self.address, method, target, body, sent
        )
        return status, msgspec.json.decode(answer)

    async def put(self, key, value, revision=0):
        kind, _, name = key.partition("/")
        if not revision:
            sent = {"metadata": {"name": name}, "spec": value}
            return await self.call("POST", f"/api/objects/{kind}", sent)
        sent = {"metadata": {"name": name, "revision": revision}, "spec": value}
        return await self.call("PUT", f"/api/objects/{key}", sent)

    async def test_objects_lists_and_preconditions(self):
        status, made = await self.put("s/a", {"x": 1})
        self.assertEqual((status, made["metadata"]["revision"]), (200, 1))
        status, held = await self.put("s/a", {"x": 2})
        self.assertEqual((status, held["spec"]), (409, {"x": 1}))
        status, held = await self.put("s/a", {"x": 2}, revision=7)
        self.assertEqual((status, held["metadata"]["revision"]), (409, 1))
        self.assertEqual(await self.call("GET", "/api/objects/s/a"), (200, held))
        _, page = await self.call("GET", "/api/objects/s")
        listed = {"items": [held], "more_pages": False, "store_revision": 1}
        self.assertEqual(page, listed)
        self.assertEqual((await self.put("s/c", 1, revision=3))[0], 404)
        status, _ = await self.call("DELETE", "/api/objects/s/a?revision=9")
        self.assertEqual(status, 409)
        status, _ = await self.call("DELETE", "/api/objects/s/a?revision=1")
        self.assertEqual(status, 200)
        self.assertEqual((await self.call("GET", "/api/objects/s/a"))[0], 404)
        self.assertEqual((await self.put("s/b", "x" * 1_048_577))[0], 413)

    async def test_a_waiting_watch_returns_at_a_change(self):
        watch = asyncio.ensure_future(
            self.call("GET", "/api/objects/s?watch=0&wait_ms=20000")
        )
        await asyncio.sleep(0.02)
        await self.put("s/a", 1)
        _, answer = await asyncio.wait_for(watch, 5)
        names = [one["object"]["metadata"]["name"] for one in answer["events"]]
        self.assertEqual(names, ["a"])

    async def test_faults_and_instances_by_control_calls(self):
        rows = [{"name": "i", "data_centre": "d", "peer_address": "h:1"}]
        await self.call("POST", "/control/instances", rows)
        _, answer = await self.call("GET", "/api/objects/instances")
        self.assertEqual(answer["items"][0]["spec"]["state"], "live")
        await self.call("POST", "/control/faults", {"lose_answers": 1})
        with self.assertRaises(client.ResponseLost):
            await self.put("s/a", 1)
        self.assertEqual((await self.call("GET", "/api/objects/s/a"))[0], 200)
        await self.call("POST", "/control/faults", {"outage_ms": 60_000})
        self.assertEqual((await self.call("GET", "/api/objects/s/a"))[0], 503)
        bad, _ = await self.call("POST", "/control/faults", {"nonsense": 1})
        self.assertEqual(bad, 400)
