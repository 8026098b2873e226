"""Responses that are broken off must not look complete to the HTTP client."""

import asyncio
import ssl
import tempfile
import time
import unittest
from unittest import mock

from cornelreach.http import client, clientconnection, endings, sockets, tls
from test import certificates
from test.http import ends

UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\npart"
FRAMED = (
    b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\npart",
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n",
)
SIZES = (ends.SMALL_BYTES, ends.LARGE_BYTES)
BAD_STATUSES = ("000", "099", "600", "999")


class Truncated(unittest.IsolatedAsyncioTestCase):
    """Servers that answer at once and end before or after the upload."""

    def setUp(self):
        self.client = client.Client()
        self.addAsyncCleanup(self.client.close)

    async def call(self, end, answer, size):
        """Send a request to a server that ends so; return the body."""
        server = ends.Server("e0", end, lambda head: answer)
        self.addCleanup(server.close)
        self.address = client.Address("127.0.0.1", server.port)
        _, body, _ = await self.client.call(
            self.address, "POST", "/", b"x" * size, wait_ms=5_000
        )
        return body

    async def assert_lost(self, end, answer, size):
        """Check that the server's response is not taken for a complete one."""
        with (
            self.subTest(end, size=size, answer=answer[:12]),
            self.assertRaises(client.ConnectionClosed),
        ):
            self.fail(f"complete: {await self.call(end, answer, size)!r}")

    # Guards against the start of a body being taken for all of it after a reset.
    async def test_a_reset_ends_no_response_without_length(self):
        for size in SIZES:
            for end in (ends.End.RESET, ends.End.LATE_RESET):
                await self.assert_lost(end, UNFRAMED, size)

    # Guards against the same where the end of file came before the reset.
    async def test_a_reset_behind_the_end_of_file_ends_no_response(self):
        for size in (0, *SIZES):
            for end in (ends.End.END_AND_RESET, ends.End.LATE_END_AND_RESET):
                for _ in range(5):  # the reset may be read together with the end
                    await self.assert_lost(end, UNFRAMED, size)

    # Guards against an answer that comes before the request has been sent.
    async def test_an_end_of_file_during_the_upload_ends_no_response(self):
        await self.assert_lost(ends.End.END_UNREAD, UNFRAMED, ends.HUGE_BYTES)

    # Guards against losing the responses that end with their connection.
    async def test_an_orderly_close_ends_a_response_without_length(self):
        for end in ends.ORDERLY:
            for size in (0, *SIZES):
                begin_s = time.monotonic()
                self.assertEqual(await self.call(end, UNFRAMED, size), b"part")
                self.assertLess(time.monotonic() - begin_s, ends.OPEN_S)

    # Guards against a response, or its connection, being kept for ever where a link was
    # lost behind the end of file.
    async def test_an_end_that_is_not_acknowledged_is_waited_for_in_vain(self):
        pending = endings.State.PENDING
        with mock.patch.object(endings, "state_behind_end", lambda _: pending):
            begin_s = time.monotonic()
            found = await self.call(ends.End.CLOSE, UNFRAMED, 100)
            self.assertEqual(found, b"part")
        wait_s = 2 * clientconnection.MAX_END_CHECK_S
        self.assertGreater(time.monotonic() - begin_s, wait_s / 2)
        await asyncio.sleep(0.01)
        self.assertEqual(self.client.open_connections(self.address), 0)

    async def test_a_length_or_the_last_chunk_ends_a_response(self):
        for answer in FRAMED:
            for end in (*ends.BROKEN, ends.End.END_UNREAD):
                self.assertEqual(await self.call(end, answer, 100), b"part")

    # Guards against statuses that HTTP does not know being passed on.
    async def test_a_status_outside_100_to_599_is_no_response(self):
        for status in BAD_STATUSES:
            for answer in (UNFRAMED, *FRAMED):
                found = answer.replace(b"200", status.encode())
                await self.assert_lost(ends.End.CLOSE, found, 100)


class TruncatedTls(unittest.IsolatedAsyncioTestCase):
    """The same with TLS, whose own end (close_notify) tells that nothing is missing."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        authority = certificates.Authority(folder.name)
        self.files = tls.Files(*authority.issue("localhost"), "")
        trusted = tls.Files("", "", str(authority.path))
        self.trusting = tls.ReloadableContext(trusted, server=False)

    async def call(self, end, version):
        """Return the body that a server sends, which ends so, by a version of TLS."""
        context = tls.ReloadableContext(self.files, server=True).context
        context.maximum_version = version

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(UNFRAMED)
            await writer.drain()
            await asyncio.sleep(0.01)
            await end(writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0, ssl=context)
        self.addCleanup(server.close)
        caller = client.Client(self.trusting.context)
        self.addAsyncCleanup(caller.close)
        port = server.sockets[0].getsockname()[1]
        address = client.Address("127.0.0.1", port, True)
        _, body, _ = await caller.call(address, "GET", "/", wait_ms=5_000)
        return body

    # Guards against a connection that somebody cut being taken for a whole response.
    async def test_an_end_of_file_without_close_notify_ends_no_response(self):
        async def end_file(writer):
            writer.transport.abort()

        async def reset(writer):
            sockets.reset(writer.transport)

        async def close(writer):
            writer.close()

        for version in (ssl.TLSVersion.TLSv1_2, ssl.TLSVersion.TLSv1_3):
            for end in (end_file, reset):
                with self.subTest(end), self.assertRaises(client.ConnectionClosed):
                    self.fail(f"complete: {await self.call(end, version)!r}")
            self.assertEqual(await self.call(close, version), b"part")
