"""Targets that send bytes without end, until the connection is closed."""

import asyncio
import contextlib

from cornelreach.gateway import eventstream
from cornelreach.http import client as http_client
from test.gateway import harness as harness_module, test_forwarding
from test.http import test_turns

FILL = b"x" * 65_536
SLACK_BYTES = 2_097_152  # in the buffers of sockets and parsers
DEADLINE_MS = 8_000  # far behind the limits, also on a busy machine


class EndlessAnswers(test_forwarding.Case):
    """The answer is given up, the connection closed, and memory bounded."""

    async def start_endless(self, first, fill=FILL):
        """Start an engine that begins with some bytes and then never ends."""
        self.sent_bytes = self.most_held_bytes = 0

        async def endless(engine, head, body, writer):
            writer.write(first(engine, head))
            while not writer.is_closing():
                writer.write(fill)
                self.sent_bytes += len(fill)
                held_bytes = self.harness.http.held_bytes
                self.most_held_bytes = max(self.most_held_bytes, held_bytes)
                await writer.drain()
                await asyncio.sleep(0)
            return False

        await self.start(endless, timeout_ms=DEADLINE_MS)

    async def expect_lost(self, path, max_bytes):
        """Send a request; it fails, and the engine's connection is closed early."""
        async with asyncio.timeout(DEADLINE_MS / 1_000):
            status, answer = await self.harness.send(
                path,
                wait_s=DEADLINE_MS / 1_000,
                connection="close",
                x_cornelreach_deadline_ms=str(DEADLINE_MS),
            )
        self.assertEqual(status, 502, answer)
        await asyncio.wait_for(self.engines[0].gone.wait(), 1)
        self.assertLess(self.sent_bytes, max_bytes + SLACK_BYTES)

    # Guards against an endless head filling the memory.
    async def test_a_head_without_end(self):
        await self.start_endless(lambda engine, head: b"HTTP/1.1 200 OK\r\nx-y: ")
        await self.expect_lost("/once/x", 0)

    async def test_bytes_that_are_no_answer(self):
        await self.start_endless(lambda engine, head: b"")
        await self.expect_lost("/once/x", 0)

    # Guards against interim responses holding a request until its deadline.
    async def test_interim_responses_without_end(self):
        interim = b"HTTP/1.1 103 Early Hints\r\n\r\n"
        await self.start_endless(lambda engine, head: b"", interim * 100)
        await self.expect_lost("/once/x", 0)

    # Guards against reading on behind an answer to another request.
    async def test_the_body_of_a_stray_response_without_end(self):
        def first(engine, head):
            other = {**head, "x-cornelreach-request-id": "other"}
            return engine.answer(other).replace(b"content-length: 2\r\n", b"")

        await self.start_endless(first)
        await self.expect_lost("/once/x", http_client.MAX_STRAY_BYTES)

    # Guards against an endless body filling the memory.
    async def test_a_body_without_length_and_without_end(self):
        def first(engine, head):
            return engine.answer(head).replace(b"content-length: 2\r\n", b"")

        await self.start_endless(first)
        await self.expect_lost("/once/x", http_client.MAX_BODY_BYTES)

    async def test_a_body_that_says_it_is_too_long(self):
        def first(engine, head):
            return engine.answer(head).replace(b"length: 2", b"length: 99999999999")

        await self.start_endless(first)
        await self.expect_lost("/once/x", 0)

    # Guards against many endless bodies at once filling the memory.
    async def test_many_bodies_without_end(self):
        def first(engine, head):
            return engine.answer(head).replace(b"content-length: 2\r\n", b"")

        await self.start_endless(first)
        answers = await asyncio.gather(
            *(
                self.harness.send(
                    "/once/x",
                    wait_s=DEADLINE_MS / 1_000,
                    x_cornelreach_request_id=f"id-{number}",
                    x_cornelreach_deadline_ms=str(DEADLINE_MS),
                )
                for number in range(20)
            )
        )
        self.assertEqual({status for status, _ in answers}, {502})
        self.assertLess(self.most_held_bytes, http_client.MAX_HELD_BYTES + SLACK_BYTES)
        self.assertGreater(self.most_held_bytes, http_client.MAX_BODY_BYTES)
        self.assertEqual(self.harness.http.held_bytes, 0)

    # Guards against an event without end filling the memory.
    async def test_a_stream_with_an_event_without_end(self):
        for path in ("/stream/x", "/resume/x"):
            await self.start_endless(
                lambda engine, head: (
                    engine.stream_head(head).replace(
                        b"transfer-encoding: chunked\r\n", b""
                    )
                    + harness_module.event(1)
                )
            )
            async with asyncio.timeout(DEADLINE_MS / 1_000 + 0.5):
                got = await self.harness.stream(path)
            self.assertIn(b"id: 1", got)
            self.assertFalse(got.endswith(b"0\r\n\r\n"))
            await asyncio.wait_for(self.engines[0].gone.wait(), 1)
            limit_bytes = eventstream.MAX_EVENT_BYTES + SLACK_BYTES
            self.assertLess(self.sent_bytes, limit_bytes)

    # Guards against a process that stands still while it splits many short events.
    async def test_streams_of_short_events_leave_turns_to_others(self):
        asyncio.get_running_loop().set_debug(False)
        events = b"\n\n" * 30_000 + b"id: 1\n\n" * 8_000
        for name, fill in (
            ("chunks", harness_module.chunk(events)),
            ("small chunks", b"1\r\n\n\r\n" * 10_000),
        ):
            await self.start_endless(
                lambda engine, head: (
                    engine.stream_head(head)
                    + harness_module.chunk(harness_module.event(1))
                ),
                fill,
            )
            with self.subTest(name):
                async with test_turns.longest_turn() as found:
                    calls = [self.harness.stream("/stream/x") for _ in range(3)]
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(asyncio.gather(*calls), 1)
                self.assertLess(found[0], test_turns.TURN_MS)

    # Guards against a scan of the whole event for each of its bytes.
    def test_a_long_event_in_small_pieces_takes_linear_time(self):
        splitter = eventstream.EventSplitter()
        for _ in range(eventstream.MAX_EVENT_BYTES // 4):
            self.assertEqual(splitter.feed(b"xxxx"), b"")
        with self.assertRaises(eventstream.EventTooLong):
            splitter.feed(b"x")
