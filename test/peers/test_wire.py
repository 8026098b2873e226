"""Tests of the gRPC transport between instances."""

import typing
import unittest

from returns import result

from cornelreach.peers import wire


class Ping(typing.NamedTuple):
    """A test message."""

    number: int


class Pong(typing.NamedTuple):
    """The answer to a test message."""

    number: int


PING = wire.Method("Ping", Ping, Pong)
ONE = wire.Sender("one", "north", "b1", 7)
TWO = wire.Sender("two", "south", "b2", 9)


class Exchange(unittest.IsolatedAsyncioTestCase):
    """A client and a server on loopback."""

    async def asyncSetUp(self):
        self.seen = []
        self.server = wire.Server(lambda: TWO, self.seen.append)
        self.server.register(PING, self.answer)
        await self.server.start("127.0.0.1:0")
        self.address = f"127.0.0.1:{self.server.port}"
        self.client = wire.Client(lambda: ONE, self.seen.append)

    async def asyncTearDown(self):
        await self.client.close()
        await self.server.stop(0)

    async def answer(self, sender, request):
        """Answer with the same number."""
        return Pong(request.number)

    async def test_reply_and_senders(self):
        reply = await self.client.call(self.address, PING, Ping(3), 2_000)
        self.assertEqual(reply, result.Success(Pong(3)))
        self.assertEqual(self.seen, [ONE, TWO])

    async def test_absent_peer_is_lost(self):
        reply = await self.client.call("127.0.0.1:1", PING, Ping(3), 2_000)
        self.assertIn("UNAVAILABLE", reply.failure().reason)

    async def test_wrong_message_is_refused(self):
        other = wire.Method("Ping", Pong, Pong)
        reply = await self.client.call(self.address, other, Pong("x"), 2_000)
        self.assertIn("INVALID_ARGUMENT", reply.failure().reason)
