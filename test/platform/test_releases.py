"""Orders of rollouts as they are stored, and the writing of their status."""

import json
import unittest

from returns import result

from cornelreach.http import client as http_client, messages, server
from cornelreach.platform import client, pages, releases, results

SPEC = {"service": "s", "target": "2.0", "duration_s": 12}


class Decoding(unittest.TestCase):
    """What an object says."""

    def decode(self, spec, status=None):
        """Decode an order for the service s."""
        return releases.decode(results.Record("rollouts/s", 7, spec, 5, status))

    def test_an_order_has_its_identity_and_its_state(self):
        for state in ("running", "succeeded", "reverted"):
            found = self.decode(SPEC, {"state": state, "target": "2.0"}).unwrap()
            expected = releases.Entry("s", "2.0", "5", 12_000, 7, state)
            self.assertEqual(found, expected)

    # Guards against the verdict on one version being taken for that on another.
    def test_a_status_of_another_version_or_of_none_says_nothing(self):
        for status in (
            None,
            {},
            [],
            "running",
            {"state": "succeeded", "target": "1.9"},
            {"state": "paused", "target": "2.0"},
            {"state": "running"},
            results.Unreadable("deep"),
        ):
            self.assertEqual(self.decode(SPEC, status).unwrap().state, "")

    def test_other_values_are_no_orders(self):
        for changes in (
            {"duration_s": 0},
            {"duration_s": -1},
            {"duration_s": 1e300},
            {"duration_s": True},
            {"duration_s": None},
            {"target": ""},
            {"target": " 2.0"},
            {"target": "2.0\n"},
            {"target": 2},
            {"target": "x" * 129},
            {"service": "t"},
            {"service": ""},
        ):
            found = self.decode({**SPEC, **changes})
            self.assertIsInstance(found, result.Failure, changes)
        for spec in ({}, [], None, 3, results.Unreadable("deep")):
            self.assertIsInstance(self.decode(spec), result.Failure)

    # Guards against one status that cannot be decoded hiding all orders.
    def test_a_damaged_status_leaves_the_rest_of_the_page(self):
        deep = b"[" * 5_000 + b"]" * 5_000
        item = (
            b'{"metadata":{"name":"%s","revision":3,"created":9},"spec":{"a":1},'
            b'"status":%s}'
        )
        items = item % (b"a", deep), item % (b"b", b"null")
        body = b'{"items":[%s,%s],"more_pages":false,"store_revision":4}' % items
        first, second = pages.decode_page(body)["items"]
        self.assertIsInstance(first["status"], results.Unreadable)
        self.assertEqual((first["spec"], second["status"]), ({"a": 1}, None))
        self.assertEqual(first["metadata"].get("created"), 9)


class Writing(unittest.IsolatedAsyncioTestCase):
    """The calls that read an order and write its status."""

    async def asyncSetUp(self):
        self.status = {"state": "running", "target": "2.0"}
        self.revision = 7
        self.requests = []
        self.server = await server.start("127.0.0.1", 0, self.respond)
        self.http = http_client.Client()
        address = http_client.Address("127.0.0.1", self.server.port)
        self.client = client.Client(self.http, address, call_wait_ms=500)
        self.addAsyncCleanup(self.close)

    async def close(self):
        """End the server and the client."""
        await self.http.close()
        self.server.stop_listening()
        self.server.abort()

    async def respond(self, request):
        """Answer as the platform does; a status is written on the revision only."""
        self.requests.append(request)
        code = 200
        if request.method == "PUT":
            sent = json.loads(request.body)
            if sent["metadata"]["revision"] != self.revision:
                code = 409
            elif sent["status"] != self.status:
                self.status, self.revision = sent["status"], self.revision + 1
        metadata = {"name": "s", "revision": self.revision, "created": 5}
        fields = {"metadata": metadata, "spec": SPEC, "status": self.status}
        era = ((b"store-era", b"1"),)
        return messages.json_response(code, fields, era)

    # Guards against a late writer that overwrites a final state.
    async def test_a_status_is_written_on_the_revision_that_was_read(self):
        record = (await self.client.get("rollouts/s")).unwrap()
        entry = releases.decode(record).unwrap()
        self.assertEqual((entry.created, entry.state), ("5", "running"))
        put = self.client.put_status
        same = await put(record.key, self.status, record.version)
        self.assertEqual(same.unwrap(), record.version)
        reverted = releases.status(releases.REVERTED, "2.0")
        written = (await put(record.key, reverted, record.version)).unwrap()
        self.assertEqual(self.requests[-1].path, "/api/objects/rollouts/s/status")
        self.assertEqual(results.revision_of(written), 8)
        late = await put(
            record.key, releases.status(releases.SUCCEEDED, "2.0"), record.version
        )
        self.assertEqual(late, result.Failure(results.Conflict(record.key, written)))
        self.assertEqual(self.status, reverted)


if __name__ == "__main__":
    unittest.main()
