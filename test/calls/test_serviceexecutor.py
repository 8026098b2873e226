"""Calls to plain services whose answers may be those of others."""

import asyncio
import types
import unittest
from unittest import mock

from returns import result

from cornelreach.calls import atmostonce, callmessages, interfaces, serviceexecutor
from cornelreach.http import client
from cornelreach.settings import items
from cornelreach.targets import permits
from cornelreach.util import timers

CALL = callmessages.ServiceCall("a", "s", "/book", "", b"{}", "text/plain", 2_000.0)


class Refusals(unittest.IsolatedAsyncioTestCase):
    """A target that answers that it did not run a call."""

    async def send(self, fields):
        """Send a call to a target that refuses it; return the outcome."""

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 429 X\r\n" + fields + b"content-length: 0\r\n\r\n")
            await writer.drain()
            writer.close()

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(listener.close)
        port = listener.sockets[0].getsockname()[1]
        target = mock.create_autospec(items.Target, instance=True)
        target.name, target.address = "t", f"127.0.0.1:{port}"
        permit = permits.Permit("p", "pool", 1, "t", "boot", 1, 0, False)
        clock = timers.LoopTimers()
        placed = interfaces.PlacedRequest(permit, target, clock.now_ms(), None)
        placer = mock.Mock()
        placer.place = mock.AsyncMock(return_value=result.Success(placed))
        dependencies = types.SimpleNamespace(
            clock=clock, http=client.Client(), placer=placer
        )
        executor = serviceexecutor.ServiceExecutor(dependencies)
        return await executor.send(CALL, lambda: None)

    # Guards against a call that may have run being reported as not run, as a refusal
    # that names no boot of the target need not be its answer.
    async def test_a_refusal_without_a_boot_leaves_the_outcome_unknown(self):
        self.assertIsInstance(await self.send(b""), atmostonce.Lost)

    async def test_a_refusal_of_the_target_is_believed(self):
        outcome = await self.send(b"x-boot-id: boot\r\n")
        self.assertTrue(outcome.declined)
