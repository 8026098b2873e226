"""Messages in many small pieces, beside others that share the event loop."""

import asyncio
import contextlib
import gc
import time
import unittest

from cornelreach.http import client, messages, server

TURN_MS = 20.0  # of the loop's own processor time
PIECE = b"1\r\nx\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
PLAY_S = 1.0


@contextlib.asynccontextmanager
async def longest_turn():
    """Measure the longest turn of the event loop, in milliseconds.

    The garbage collector leaves out what the other tests have loaded.
    """
    found = [0.0]
    gc.collect()
    gc.freeze()

    async def measure():
        while True:
            begin_s = time.thread_time()
            await asyncio.sleep(0)
            found[0] = max(found[0], (time.thread_time() - begin_s) * 1_000)

    task = asyncio.ensure_future(measure())
    try:
        yield found
    finally:
        task.cancel()
        gc.unfreeze()


class SmallPieces(unittest.IsolatedAsyncioTestCase):
    """No turn of the loop gets long, and no other call waits."""

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self.client = client.Client()
        self.addAsyncCleanup(self.client.close)

    async def start(self, first, fill):
        """Start a server that writes some bytes and then others without end."""

        async def serve(reader, writer):
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(first)
                while not writer.is_closing():
                    writer.write(fill)
                    await writer.drain()
                    await asyncio.sleep(0)
            writer.close()

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(listener.close)
        return client.Address(*listener.sockets[0].getsockname())

    async def read(self, address):
        """Read an answer until it is given up."""
        with contextlib.suppress(client.ResponseLost, TimeoutError):
            async with asyncio.timeout(PLAY_S):
                await self.client.call(address, "GET", "/", matches=is_named)

    # Guards against a process that stands still while it parses an answer in pieces of
    # one byte, headers or interim answers.
    async def test_answers_in_small_pieces_leave_turns_to_others(self):
        stray = b"HTTP/1.1 200 OK\r\nx-other: 1\r\ncontent-length: 1\r\n\r\nx"
        named = CHUNKED.replace(b"transfer", b"x-named: 1\r\ntransfer")
        for name, first, fill in (
            ("chunks", named, PIECE * 10_000),
            ("chunks of a stray answer", CHUNKED, PIECE * 10_000),
            ("extensions", named, b"1;a=b\r\nx\r\n" * 6_000),
            ("header lines", b"HTTP/1.1 200 OK\r\n", b"a: b\r\n" * 10_000),
            ("interim answers", b"", b"HTTP/1.1 103 E\r\n\r\n" * 3_000),
            ("stray answers", b"", stray * 1_000),
            ("zeros", named, b"0" * 60_000),
        ):
            with self.subTest(name):
                address = await self.start(first, fill)
                async with longest_turn() as found:
                    await asyncio.gather(*(self.read(address) for _ in range(4)))
                self.assertLess(found[0], TURN_MS)

    # Guards against the same by a caller's body.
    async def test_a_body_in_small_pieces_leaves_turns_to_others(self):
        async def handle(request):
            return messages.json_response(200, {})

        running = await server.start("127.0.0.1", 0, handle)
        self.addCleanup(running.abort)
        reader, writer = await asyncio.open_connection("127.0.0.1", running.port)
        self.addCleanup(writer.close)
        writer.write(
            b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
        )
        async with longest_turn() as found:
            for _ in range(10):
                writer.write(PIECE * 10_000)
                await asyncio.sleep(PLAY_S / 10)
        self.assertLess(found[0], TURN_MS)

    # Guards against parsing many small pieces to the end of an answer, for seconds.
    async def test_a_body_of_too_many_small_pieces_is_lost(self):
        address = await self.start(
            CHUNKED.replace(b"transfer", b"x-named: 1\r\ntransfer"), PIECE * 1_000
        )
        with self.assertRaises(client.ResponseLost):
            async with asyncio.timeout(30):
                await self.client.call(address, "GET", "/", matches=is_named)

    async def test_a_short_body_in_pieces_of_one_byte_is_read(self):
        whole = b"".join((CHUNKED, PIECE * 4_000, b"0\r\n\r\n"))

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(whole)
            await writer.drain()
            writer.close()

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(listener.close)
        address = client.Address(*listener.sockets[0].getsockname())
        _, body, _ = await self.client.call(address, "GET", "/", wait_ms=10_000)
        self.assertEqual(body, b"x" * 4_000)


def is_named(headers):
    """Return whether an answer names the request."""
    return any(name == b"x-named" for name, _ in headers)
