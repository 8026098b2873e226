"""Attempts at engines that write an answer to an earlier one once more."""

import asyncio
import unittest
from unittest import mock

from cornelreach.calls import attempt, interfaces
from cornelreach.http import client
from cornelreach.pools import httptargets
from cornelreach.settings import items
from cornelreach.targets import orders, permits
from cornelreach.util import timers

REFUSAL = b"HTTP/1.1 429 X\r\ncontent-length: 0\r\n\r\n"
ACCEPTED = b"HTTP/1.1 200 X\r\ncontent-length: 2\r\n\r\n{}"
OLD_FENCE = b"HTTP/1.1 409 X\r\ncontent-length: 2\r\n\r\n{}"
STREAM = (
    b"HTTP/1.1 200 X\r\nconnection: close\r\n\r\n"
    b'id: 0\ndata: {"id": "run-2"}\n\nid: 1\ndata: [DONE]\n\n'
)


class LateCopies(unittest.IsolatedAsyncioTestCase):
    """An engine that writes its first answer again before the second one."""

    async def start(self, *answers):
        """Listen, and give each request one of the answers."""
        left = list(answers)

        async def serve(reader, writer):
            before = b""
            try:
                while left:
                    head = await reader.readuntil(b"\r\n\r\n")
                    length = head.lower().partition(b"content-length: ")[2]
                    await reader.readexactly(int(length.partition(b"\r\n")[0] or 0))
                    writer.write(before)
                    await asyncio.sleep(0.01)
                    before = left.pop(0)
                    writer.write(before)
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            finally:
                writer.close()

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(listener.close)
        port = listener.sockets[0].getsockname()[1]
        self.target = mock.create_autospec(items.Target, instance=True)
        self.target.name, self.target.address = "t", f"127.0.0.1:{port}"
        self.http = client.Client()
        self.addAsyncCleanup(self.http.close)

    async def run_attempt(self, run):
        """Return the chunks of one attempt."""
        clock = timers.LoopTimers()
        permit = permits.Permit("p", "pool", 1, "t", "boot", 1, 0, False)
        placed = interfaces.PlacedRequest(permit, self.target, clock.now_ms(), None)
        one = attempt.Attempt(self.http, clock, placed, run)
        with mock.patch.object(attempt, "permit_check", lambda *_: lambda: None):
            return [item async for item in one.chunks(b"{}")]

    # Guards against a run that goes on being taken for refused, and run elsewhere too.
    async def test_a_late_copy_of_a_refusal_meets_no_later_run(self):
        await self.start(REFUSAL, STREAM)
        with self.assertRaises(attempt.AttemptError) as caught:
            await self.run_attempt("run-1")
        self.assertFalse(caught.exception.ran)
        self.assertEqual(len(await self.run_attempt("run-2")), 1)

    # Guards against an order that was refused being taken for accepted.
    async def test_a_late_copy_of_an_answer_meets_no_later_order(self):
        await self.start(ACCEPTED, OLD_FENCE)
        targets = httptargets.HttpTargets(self.http, lambda: {"t": self.target})
        answers = [
            await targets.send(orders.Order("t", orders.Kind.LOAD, "m", "8", fence))
            for fence in (4, 3)
        ]
        self.assertEqual(answers, [orders.Answer.ACCEPTED, orders.Answer.OLD_FENCE])
