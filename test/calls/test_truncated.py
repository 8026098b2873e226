"""Answers to the daemon's calls that are broken off must not look complete."""

import types
import unittest
from unittest import mock

from returns import result

from cornelreach.calls import (
    atmostonce,
    attempt,
    callmessages,
    interfaces,
    serviceexecutor,
)
from cornelreach.http import client
from cornelreach.settings import items
from cornelreach.targets import permits
from cornelreach.util import timers
from test.http import ends

ANSWER = b"HTTP/1.1 %s X\r\nx-boot-id: boot\r\n\r\n"
EVENTS = b'id: 0\ndata: {"id": "run-1"}\n\n'
DONE = b"id: 1\ndata: [DONE]\n\n"


class Truncated(unittest.IsolatedAsyncioTestCase):
    """Targets that end their connections in several ways."""

    def place(self, end, answer):
        """Start a target; return the HTTP client and a call placed there."""
        server = ends.Server("t", end, answer)
        self.addCleanup(server.close)
        target = mock.create_autospec(items.Target, instance=True)
        target.name, target.address = "t", server.address
        permit = permits.Permit("p", "pool", 1, "t", "boot", 1, 0, False)
        self.clock = timers.LoopTimers()
        http = client.Client()
        self.addAsyncCleanup(http.close)
        now_ms = self.clock.now_ms()
        return http, interfaces.PlacedRequest(permit, target, now_ms, None)

    async def send(self, end, size, status=b"200"):
        """Return the outcome of a call to a plain service."""
        http, placed = self.place(end, lambda head: ANSWER % status + b"part")
        placer = mock.Mock()
        placer.place = mock.AsyncMock(return_value=result.Success(placed))
        dependencies = types.SimpleNamespace(clock=self.clock, http=http, placer=placer)
        call = callmessages.ServiceCall(
            "a", "s", "/book", "", b"x" * size, "text/plain", 2_000.0
        )
        executor = serviceexecutor.ServiceExecutor(dependencies)
        return await executor.send(call, lambda: None)

    # Guards against a caller getting the start of an answer as all of it.
    async def test_a_service_call_that_was_reset_has_no_answer(self):
        for size in (ends.SMALL_BYTES, ends.LARGE_BYTES):
            for end in ends.BROKEN:
                with self.subTest(end, size=size):
                    outcome = await self.send(end, size)
                    self.assertIsInstance(outcome, atmostonce.Lost)
            outcome = await self.send(ends.End.CLOSE, size)
            self.assertEqual(outcome.answer.body, b"part")

    async def test_a_service_call_with_an_unknown_status_has_no_answer(self):
        for status in (b"000", b"600", b"999"):
            outcome = await self.send(ends.End.CLOSE, 100, status)
            self.assertIsInstance(outcome, atmostonce.Lost)

    # Guards against a run being taken for ended because its connection was.
    async def test_a_run_that_was_reset_is_asked_for_its_other_events(self):
        for end in ends.BROKEN:
            heads = []

            def answer(head, heads=heads):
                heads.append(head)
                rest = EVENTS + DONE if head.startswith(b"GET") else EVENTS
                return b"HTTP/1.1 200 X\r\n\r\n" + rest

            http, placed = self.place(end, answer)
            one = attempt.Attempt(http, self.clock, placed, "run-1")
            with mock.patch.object(attempt, "permit_check", lambda *_: lambda: None):
                found = []
                with self.assertRaises(attempt.AttemptError):
                    async for item in one.chunks(b"{}"):
                        found.append(item)
            self.assertEqual(len(found), 1)
            self.assertTrue(all(one.startswith(b"GET") for one in heads[1:]))
            self.assertEqual(len(heads), 1 + attempt.MAX_RESUMES)
