"""Tests of the gRPC transport between instances."""

import typing
import unittest

from returns import result

from cornelreach.peers import wire


class Ping(typing.NamedTuple):
    """A request."""

    number: int


class Pong(typing.NamedTuple):
    """The reply to ``Ping``."""

    number: int


PING = wire.Method("Ping", Ping, Pong)
ONE = wire.Sender("one", "north", "b1", 7)
TWO = wire.Sender("two", "south", "b2", 9)


class Calls(unittest.IsolatedAsyncioTestCase):
    """Calls from a client to a server on loopback."""

    async def asyncSetUp(self):
        self.senders = []
        self.server = wire.Server(lambda: TWO, self.senders.append)
        self.server.register(PING, self.answer_ping)
        await self.server.start("127.0.0.1:0")
        self.address = f"127.0.0.1:{self.server.port}"
        self.client = wire.Client(lambda: ONE, self.senders.append)

    async def asyncTearDown(self):
        await self.client.close()
        await self.server.stop(0)

    async def answer_ping(self, sender, request):
        """Reply with the same number."""
        return Pong(request.number)

    async def test_reply_and_senders_are_delivered(self):
        reply = await self.client.call(self.address, PING, Ping(3), 2_000)
        self.assertEqual(reply, result.Success(Pong(3)))
        self.assertEqual(self.senders, [ONE, TWO])

    async def test_call_to_absent_peer_fails(self):
        reply = await self.client.call("127.0.0.1:1", PING, Ping(3), 2_000)
        self.assertIn("UNAVAILABLE", reply.failure().reason)

    async def test_message_of_wrong_type_is_rejected(self):
        other = wire.Method("Ping", Pong, Pong)
        reply = await self.client.call(self.address, other, Pong("x"), 2_000)
        self.assertIn("INVALID_ARGUMENT", reply.failure().reason)
