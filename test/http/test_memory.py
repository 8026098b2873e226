"""Tests of what connections may hold, and of the order in which they are closed."""

import asyncio
import gc
import socket
import unittest
import weakref

from cornelreach.http import limits, memory, messages, server

Rank = memory.Rank
REQUEST = b"POST /%d HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n"
POST = b"POST /%d HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n%b"


class Body:
    """What a request holds."""


class Holder:
    """A connection that holds a number of bytes."""

    peer, port = "peer", 1

    def __init__(self, account, held, rank, unread=0):
        self.account, self.held, self.unread = account, held, unread
        self.rank = lambda: rank
        self.has_sent_ahead = lambda: rank is Rank.AHEAD and not unread
        self.closed_by = None

    def held_bytes(self):
        """Return what it holds."""
        return self.held

    def unread_bytes(self):
        """Return what its client has not read."""
        return self.unread

    def close_by(self, bound):
        """Note the bound."""
        self.closed_by = bound

    def check_client(self):
        """Do nothing."""

    def end_if_idle(self):
        """Note that it was ended."""
        self.is_ended = True


class Accounts(unittest.IsolatedAsyncioTestCase):
    """The account with connections that are simulated."""

    async def asyncSetUp(self):
        self.account = memory.Account()
        self.account.max_bytes = 100_000

    def add(self, held, rank, unread=0):
        """Count a connection."""
        holder = Holder(self.account, held, rank, unread)
        self.account.update(holder)
        return holder

    # Guards against uploads and requests in progress being closed before connections
    # whose clients read nothing, or small ones before large ones.
    async def test_clients_that_read_nothing_are_closed_first(self):
        serving = self.add(20_000, Rank.SERVING)
        upload = self.add(30_000, Rank.RECEIVING)
        ahead = self.add(25_000, Rank.AHEAD)
        small = self.add(5_000, Rank.AHEAD, 5_000)
        stalled = self.add(15_000, Rank.AHEAD, 15_000)
        for one in (small, stalled):
            self.account._entries[one].since_s -= memory.STALLED_S
        self.add(6_000, Rank.SERVING)
        self.assertEqual(stalled.closed_by, memory.Bound.MEMORY)
        self.assertIsNone(small.closed_by)
        self.add(20_000, Rank.SERVING)
        self.assertTrue(small.closed_by and ahead.closed_by)
        self.assertFalse(upload.closed_by or serving.closed_by)
        self.add(30_000, Rank.SERVING)
        self.assertTrue(upload.closed_by)
        self.assertFalse(serving.closed_by)

    # Guards against connections closed for what their clients have read meanwhile.
    async def test_what_was_read_is_not_counted(self):
        reader = self.add(90_000, Rank.AHEAD, 90_000)
        reader.held = reader.unread = 8_000
        self.add(30_000, Rank.RECEIVING)
        self.assertEqual(self.account.total_bytes, 38_000)
        self.assertIsNone(reader.closed_by)
        self.account.remove(reader)
        self.assertEqual(self.account.total_bytes, 30_000)

    # Guards against a process without descriptors for its engines, and against
    # callers kept out by connections whose clients read nothing.
    async def test_connections_are_accepted_while_there_are_descriptors(self):
        self.account.configure(300, 500)
        self.account.connections = 150
        self.assertTrue(self.account.may_accept())
        self.account.opened = lambda: 150
        self.assertFalse(self.account.may_accept())
        self.account.opened = lambda: 0
        self.account.connections = 200
        self.assertFalse(self.account.may_accept())
        stalled = self.add(10_000, Rank.AHEAD, 10_000)
        bound = memory.Bound.DESCRIPTORS
        self.assertFalse(self.account.make_room(None, bound))
        self.account._entries[stalled].since_s -= memory.STALLED_S
        self.assertFalse(self.account.make_room((), bound))
        self.assertTrue(self.account.make_room(None, bound))
        self.assertEqual(stalled.closed_by, bound)

    # Guards against more connections than there is memory for, whatever each holds.
    async def test_connections_are_accepted_while_there_is_memory(self):
        for memory_mb in (64, 152, 300, 552):
            self.account.configure(memory_mb, 0)
            held_bytes = self.account.max_connections * memory.ACCEPTED_BYTES
            held_bytes += self.account.max_bytes + memory.PROCESS_MB * memory.MB
            self.assertLess(held_bytes, memory_mb * memory.MB)
            self.account.connections = self.account.max_connections - 1
            self.assertTrue(self.account.may_accept())
            self.account.connections += 1
            self.assertIs(self.account.lacking(), memory.Bound.MEMORY)

    # Guards against callers kept out by connections that nobody uses.
    async def test_the_connection_that_is_idle_longest_makes_room(self):
        first, second = (Holder(self.account, 0, Rank.RECEIVING) for _ in range(2))
        for one in (first, second, first):
            self.account.set_idle(one, False)
            self.account.set_idle(one, True)
        bound = memory.Bound.MEMORY
        self.assertTrue(self.account.make_room({first}, bound))
        self.account.set_idle(first, True)
        self.assertTrue(self.account.make_room(None, bound))
        self.assertTrue(first.is_ended and second.is_ended)
        self.assertTrue(self.account.make_room(None, bound))
        self.assertFalse(self.account.make_room(None, bound))

    # Guards against callers kept out by a crowd that sends ahead and connects again,
    # and against their idle connections being closed for it.
    async def test_connections_that_send_ahead_make_room_before_idle_ones(self):
        idle = Holder(self.account, 0, Rank.RECEIVING)
        self.account.set_idle(idle, True)
        serving, unread = self.add(9_000, Rank.SERVING), self.add(9_000, Rank.AHEAD, 1)
        small, large, other = (self.add(n, Rank.AHEAD) for n in (5_000, 7_000, 8_000))
        bound = memory.Bound.MEMORY
        self.assertTrue(self.account.make_room({idle, small, large}, bound))
        self.assertEqual((large.closed_by, other.closed_by), (bound, None))
        small.has_sent_ahead = lambda: False
        self.assertTrue(self.account.make_room(None, bound))
        self.assertEqual((small.closed_by, other.closed_by), (None, bound))
        self.assertTrue(self.account.make_room(None, bound))
        self.assertTrue(idle.is_ended)
        self.assertFalse(self.account.make_room(None, bound))
        self.assertFalse(serving.closed_by or unread.closed_by)

    # Guards against a machine with little memory whose system receives for connections
    # that wait to be accepted.
    async def test_connections_that_wait_are_bounded_by_the_memory(self):
        for memory_mb in (64, 152, 300, 552):
            self.account.configure(memory_mb, 0)
            rest_mb = memory_mb - memory.PROCESS_MB
            waiting_bytes = self.account.max_waiting * memory.WAITING_BYTES
            self.assertLessEqual(waiting_bytes, rest_mb * memory.MB / 10)


class Connections(unittest.IsolatedAsyncioTestCase):
    """The bounds of a server's connections, on loopback."""

    async def asyncSetUp(self):
        self.paths, self.cancelled, self.large = [], asyncio.Event(), b"x"
        short = limits.Limits(write_wait_ms=300, body_bytes=1_000_000)
        self.server = await server.start("127.0.0.1", 0, self.handle, short)
        self.account = self.server.account
        self.addCleanup(self.server.abort)
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.server.port, limit=1_000
        )
        self.addCleanup(self.writer.close)

    async def handle(self, request):
        """Answer with a body; ``/wait`` does so never."""
        self.paths.append(request.path)
        if request.path == "/wait":
            body = Body()
            self.body = weakref.ref(body)
            timeout = asyncio.timeout(60)
            try:
                async with timeout:
                    await asyncio.Event().wait()
            finally:
                self.cancelled.set()
        return messages.Response(200, self.large)

    # Guards against answers in another order, or none, to requests sent ahead beyond
    # what is read at a time.
    async def test_requests_sent_far_ahead_are_answered_in_order(self):
        count = 3_500
        self.writer.write(b"".join(REQUEST % number for number in range(count)))
        for _ in range(count):
            await self.reader.readuntil(b"\r\n\r\nx")
        self.assertEqual(self.paths, [f"/{number}" for number in range(count)])

    # Guards against a handler that goes on as its client left behind unread requests.
    async def test_a_client_that_sent_ahead_and_left_is_noticed(self):
        for ahead in (2, 3_000):
            self.cancelled.clear()
            _, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
            writer.write(REQUEST.replace(b"%d", b"wait") + REQUEST % 1 * ahead)
            await asyncio.sleep(0.05)
            writer.close()
            await asyncio.wait_for(self.cancelled.wait(), 5)
        self.assertNotIn("/1", self.paths)

    # Guards against bodies of cancelled requests that stay until garbage is collected.
    async def test_what_a_cancelled_request_held_is_freed_at_once(self):
        gc.disable()
        self.addCleanup(gc.enable)
        self.writer.write(REQUEST.replace(b"%d", b"wait"))
        await asyncio.sleep(0.05)
        self.assertIsNotNone(self.body())
        self.writer.close()
        while self.server.connections:
            await asyncio.sleep(0.01)
        self.assertIsNone(self.body())

    # Guards against responses that are kept for as long as their client stays.
    async def test_a_client_that_reads_nothing_is_cut_off(self):
        self.large = bytes(20_000_000)
        self.writer.write(REQUEST % 1)
        while not self.account.total_bytes:
            await asyncio.sleep(0.01)
        while self.server.connections:
            await asyncio.sleep(0.01)
        self.assertEqual(self.account.total_bytes, 0)
        with self.assertRaises(ConnectionResetError):
            while await self.reader.read(65_536):
                pass

    # Guards against a 503 to a request that runs, and small bodies being rejected.
    async def test_without_room_long_bodies_are_rejected_before_they_run(self):
        self.account.max_bytes = 4_000_000
        self.account.total_bytes = 3_500_000
        self.writer.write(POST % (1, 900, bytes(900)))
        head = await self.reader.readuntil(b"\r\n\r\nx")
        self.assertIn(b" 200 ", head)
        self.writer.write(POST % (2, 70_000, bytes(70_000)))
        head = await self.reader.readuntil(b"\r\n\r\n")
        self.assertIn(b" 503 ", head)
        self.assertIn(b"retry-after", head.lower())
        self.assertEqual(self.paths, ["/1"])

    # Guards against long bodies that arrive in small pieces though there is memory for
    # more, and against what the system may receive being left out of account.
    async def test_the_system_receives_more_of_a_long_body_while_there_is_room(self):
        self.account.max_bytes = 4_000_000
        for others_bytes, growth in ((3_500_000, 1), (0, 4)):
            (connection,) = await self.connected()
            sock = connection.writer.transport.get_extra_info("socket")
            before_bytes = sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
            self.account.total_bytes += others_bytes
            self.writer.write(POST % (1, 60_000, bytes(60_000)))
            self.assertIn(b" 200 ", await self.reader.readuntil(b"\r\n\r\nx"))
            self.account.total_bytes -= others_bytes
            after_bytes = sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
            self.assertEqual(after_bytes, before_bytes * growth)
        self.assertEqual(self.account.total_bytes, server.WIDE_BYTES)

    # Guards against long bodies being rejected, and uploads closed, for connections
    # that have carried a long body and are idle since.
    async def test_idle_connections_make_room_for_long_bodies(self):
        self.account.max_bytes = 1_000_000
        self.writer.write(POST % (1, 40_000, bytes(40_000)))
        await self.reader.readuntil(b"\r\n\r\nx")
        self.assertEqual(self.account.total_bytes, server.WIDE_BYTES)
        (connection,) = await self.connected()
        while connection.rank() is not Rank.IDLE:
            await asyncio.sleep(0.01)
        self.account.max_bytes = server.WIDE_BYTES
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        self.addCleanup(writer.close)
        self.assertTrue(self.account.has_room_without_idle())
        self.assertEqual(self.account.total_bytes, 0)
        self.assertEqual(await self.reader.read(), b"")

    # Guards against callers kept out by a crowd that keeps connections open and sends
    # nothing.
    async def test_a_new_connection_takes_the_place_of_an_idle_one(self):
        await self.connected()
        self.account.max_connections = 1
        for _ in range(2):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.server.port
            )
            self.addCleanup(writer.close)
            writer.write(REQUEST % 1)
            await reader.readuntil(b"\r\n\r\nx")
        self.assertEqual(await self.reader.read(), b"")

    async def connected(self):
        """Return the connections that the server has, once there are any."""
        while not self.server.connections:
            await asyncio.sleep(0.01)
        return list(self.server.connections)
