"""The HTTP client against servers that stop in the middle of an answer."""

import asyncio
import unittest

from cornelreach.http import client, sockets

FRAMINGS = {
    "length": (b"content-length: 4\r\n", b"body"),
    "chunks": (b"transfer-encoding: chunked\r\n", b"4\r\nbody\r\n0\r\n\r\n"),
    "close": (b"", b"body"),
}
FIELDS = b"x-cornelreach-request-id: id-1\r\nx-cornelreach-response-signature: sig\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
EARLIER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


def is_named(headers):
    """Return whether an answer names the request."""
    return any(value == b"id-1" for _, value in headers)


class CutAnswers(unittest.IsolatedAsyncioTestCase):
    """Answers of which only the first bytes come."""

    async def asyncSetUp(self):
        self.data, self.is_reset = b"", False
        self.served = 0
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.address = client.Address(*server.sockets[0].getsockname())
        self.client = client.Client()
        self.addAsyncCleanup(self.client.close)

    async def serve(self, reader, writer):
        """Answer one request, or with ``served`` one more in order before it."""
        try:
            for _ in range(self.served):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(EARLIER)
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.data)
            await writer.drain()
            if self.is_reset:
                await asyncio.sleep(0.001)
                sockets.reset(writer.transport)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def assert_lost(self, data, **more):
        """Check that an answer's first bytes are not taken for an answer."""
        self.data = data
        with self.assertRaises(client.ResponseLost, msg=data):
            found = await self.client.call(self.address, "GET", "/", **more)
            self.fail(f"{data!r} was taken for {found}")

    # Guards against an answer that stops in its head being taken for a whole one.
    async def test_an_answer_cut_at_any_byte_is_lost(self):
        for framing, (field, body) in FRAMINGS.items():
            head = b"HTTP/1.1 200 OK\r\n" + FIELDS + field + b"\r\n"
            last = len(head) - 1 if framing == "close" else len(head + body) - 1
            for self.is_reset in (False, True):
                with self.subTest(framing, is_reset=self.is_reset):
                    for end in range(last + 1):
                        await self.assert_lost((head + body)[:end])

    async def test_an_answer_cut_after_another_one_is_lost(self):
        head = b"HTTP/1.1 200 OK\r\n" + FIELDS + b"\r\n"
        for before in (INTERIM, INTERIM * 3, EARLIER, EARLIER + INTERIM):
            for end in range(0, len(head), 3):
                await self.assert_lost(before + head[:end], matches=is_named)

    async def test_the_next_answer_of_a_kept_connection_is_lost(self):
        self.served = 1
        head = b"HTTP/1.1 200 OK\r\n" + FIELDS + b"\r\n"
        for end in range(0, len(head), 3):
            status, *_ = await self.client.call(self.address, "GET", "/")
            self.assertEqual(status, 200)
            await self.assert_lost(head[:end])

    async def test_a_body_that_ends_with_a_reset_is_lost(self):
        self.is_reset = True
        await self.assert_lost(b"HTTP/1.1 200 OK\r\n" + FIELDS + b"\r\nbody")
