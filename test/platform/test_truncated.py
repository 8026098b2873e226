"""Answers of the store that are broken off must not look complete."""

import json
import unittest

from returns import result

from cornelreach.http import client as http_client
from cornelreach.platform import client, results
from test.http import ends

OBJECT = {"metadata": {"name": "a", "revision": 3}, "spec": {}}
PAGE = {"items": [OBJECT], "store_revision": 3, "more_pages": False}


class Truncated(unittest.IsolatedAsyncioTestCase):
    """A store whose answers have neither a length nor chunks."""

    def start(self, end, value, status=200):
        """Start a store that answers so; return its client."""
        body = json.dumps(value).encode()
        head = b"HTTP/1.1 %03d X\r\n\r\n" % status
        server = ends.Server("store", end, lambda _: head + body)
        self.addCleanup(server.close)
        address = http_client.Address("127.0.0.1", server.port)
        http = http_client.Client()
        self.addAsyncCleanup(http.close)
        return client.Client(http, address, call_wait_ms=1_000)

    # Guards against records being taken from an answer that was not whole.
    async def test_a_read_that_was_reset_has_no_result(self):
        for end in ends.BROKEN:
            with self.subTest(end):
                found = await self.start(end, OBJECT).get("kind/a")
                self.assertIsInstance(found.failure(), results.Unavailable)
                found = await self.start(end, PAGE).list("kind/")
                self.assertIsInstance(found.failure(), results.Unavailable)
        found = await self.start(ends.End.CLOSE, PAGE).list("kind/")
        self.assertIsInstance(found, result.Success)

    async def test_a_write_that_was_reset_has_no_known_outcome(self):
        for end in ends.BROKEN:
            with self.subTest(end):
                store = self.start(end, OBJECT)
                found = await store.put("kind/a", {}, if_version=2)
                self.assertIsInstance(found.failure(), results.OutcomeUnknown)

    async def test_a_status_outside_100_to_599_is_no_answer(self):
        for status in (0, 600, 999):
            store = self.start(ends.End.CLOSE, OBJECT, status)
            found = await store.get("kind/a")
            self.assertIsInstance(found.failure(), results.Unavailable)
            found = await store.put("kind/a", {}, if_version=2)
            self.assertIsInstance(found.failure(), results.OutcomeUnknown)
