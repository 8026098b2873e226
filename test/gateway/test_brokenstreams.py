"""Streams that their targets break off, however the answer is framed."""

import asyncio

from cornelreach.http import sockets
from test.gateway import harness as harness_module, test_forwarding

END_OF_CHUNKS = b"0\r\n\r\n"


def unframed_head(engine, head):
    """Return the head of an event stream that ends with its connection."""
    chunked = engine.stream_head(head)
    return chunked.replace(b"transfer-encoding: chunked\r\n", b"")


async def cut_unframed(engine, head, body, writer):
    """Close in an orderly way inside event 3; a resumed stream is whole."""
    last = int(head.get("last-event-id", 0))
    writer.write(unframed_head(engine, head))
    for number in range(last + 1, 3 if not last else 5):
        writer.write(harness_module.event(number))
    if not last:
        writer.write(harness_module.event(3)[:9])
    await writer.drain()
    return False


class BrokenStreams(test_forwarding.Case):
    """What reaches the caller of a stream that breaks off."""

    # Guards against a stream cut inside an event being framed as complete.
    async def test_an_unframed_stream_cut_inside_an_event_is_not_complete(self):
        await self.start(cut_unframed)
        got = await self.harness.stream("/stream/x")
        self.assertIn(b"id: 2", got)
        self.assertFalse(got.endswith(END_OF_CHUNKS), got)
        self.assertEqual(self.request_count(), 1)

    # Guards against half an event being sent at the end instead of resuming.
    async def test_an_unframed_stream_cut_inside_an_event_is_resumed(self):
        await self.start(cut_unframed, cut_unframed)
        got = await self.harness.stream("/resume/x")
        body = got.partition(b"\r\n\r\n")[2]
        numbers = [int(part.split(b"\n")[0]) for part in body.split(b"id: ")[1:]]
        self.assertEqual(numbers, [1, 2, 3, 4])
        self.assertTrue(got.endswith(END_OF_CHUNKS), got)
        self.assertEqual(self.request_count(), 2)

    # Guards against trusting the framing of an answer that stops inside an event.
    async def test_a_chunked_stream_cut_inside_an_event_is_not_complete(self):
        async def cut(engine, head, body, writer):
            data = harness_module.event(1) + harness_module.event(2)[:9]
            writer.write(engine.stream_head(head) + harness_module.chunk(data))
            writer.write(END_OF_CHUNKS)

        await self.start(cut)
        got = await self.harness.stream("/stream/x")
        self.assertIn(b"id: 1", got)
        self.assertFalse(got.endswith(END_OF_CHUNKS), got)

    async def test_a_whole_stream_may_end_with_its_connection(self):
        async def whole(engine, head, body, writer):
            writer.write(unframed_head(engine, head))
            for number in (1, 2):
                writer.write(harness_module.event(number))
                await writer.drain()
                await asyncio.sleep(0.01)
            return False

        await self.start(whole)
        for path in ("/stream/x", "/resume/x"):
            got = await self.harness.stream(path)
            self.assertIn(b"id: 2", got)
            self.assertTrue(got.endswith(END_OF_CHUNKS), got)

    # Guards against taking a reset after whole events for the end of the answer.
    async def test_an_unframed_stream_that_is_reset_is_not_complete(self):
        async def reset(engine, head, body, writer):
            writer.write(unframed_head(engine, head) + harness_module.event(1))
            await writer.drain()
            await asyncio.sleep(0.02)
            sockets.reset(writer.transport)
            return False

        await self.start(reset)
        got = await self.harness.stream("/stream/x")
        self.assertIn(b"id: 1", got)
        self.assertFalse(got.endswith(END_OF_CHUNKS), got)

    # Guards against taking the end of a crashed engine's connection for a whole answer.
    async def test_an_unframed_stream_without_any_event_is_not_complete(self):
        async def head_only(engine, head, body, writer):
            writer.write(unframed_head(engine, head))
            await writer.drain()
            return False

        await self.start(head_only)
        got = await self.harness.stream("/stream/x")
        self.assertFalse(got.endswith(END_OF_CHUNKS), got)
        await self.start(head_only, cut_unframed)
        self.harness.mirror.registry.state("e1").in_flight = 5
        got = await self.harness.stream("/resume/x")
        self.assertIn(b"id: 2", got)

    async def test_a_stream_that_goes_on_after_its_last_event_may_have_no_more(self):
        async def nothing_left(engine, head, body, writer):
            writer.write(engine.stream_head(head) + END_OF_CHUNKS)

        await self.start(nothing_left)
        got = await self.harness.stream("/resume/x", last_event_id="4")
        self.assertTrue(got.endswith(END_OF_CHUNKS), got)

    async def test_a_lost_answer_is_counted_by_how_far_it_had_come(self):
        async def head_only(engine, head, body, writer):
            writer.write(engine.stream_head(head))
            await writer.drain()
            return False

        async def nothing(engine, head, body, writer):
            return False

        cases = (
            (head_only, "no whole event"),
            (nothing, "no answer"),
            (cut_unframed, "events"),
        )
        for script, expected in cases:
            await self.start(script)
            await self.harness.stream("/stream/x")
            text = self.harness.metrics.render().decode()
            line = f'answers_lost_total{{progress="{expected}",service="s"}} 1'
            self.assertIn(line, text)
