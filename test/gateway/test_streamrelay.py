"""Streams that break off, and what the next target answers in place of the rest."""

from unittest import mock

from test.gateway import harness as harness_module, test_forwarding

END_OF_CHUNKS = b"0\r\n\r\n"
ERROR_HEAD = b"HTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n"
EVENT_STREAM = "text/event-stream"


def broken_after(count):
    """Return a script that closes its connection after some whole events."""

    async def script(engine, head, body, writer):
        if "last-event-id" in head:
            return await nothing_left(engine, head, body, writer)
        writer.write(engine.stream_head(head))
        for number in range(1, count + 1):
            writer.write(harness_module.chunk(harness_module.event(number)))
        await writer.drain()
        return False

    return script


async def nothing_left(engine, head, body, writer):
    """Answer with an event stream that has no events."""
    writer.write(engine.stream_head(head) + END_OF_CHUNKS)


def answer(status=200, body=b"", kind=EVENT_STREAM, framing="chunked", signed=True):
    """Return a script that gives one answer to each request."""

    async def script(engine, head, _, writer):
        fields = f"HTTP/1.1 {status} X\r\n"
        if kind:
            fields += f"content-type: {kind}\r\n"
        fields += f"x-cornelreach-request-id: {head['x-cornelreach-request-id']}\r\n"
        if signed:
            fields += "x-cornelreach-response-signature: sig\r\n"
        if framing == "chunked":
            data = (harness_module.chunk(body) if body else b"") + END_OF_CHUNKS
            writer.write(f"{fields}transfer-encoding: chunked\r\n\r\n".encode() + data)
            return True
        length = f"content-length: {len(body)}\r\n" if framing == "length" else ""
        writer.write(f"{fields}{length}\r\n".encode() + body)
        await writer.drain()
        return framing == "length"

    return script


TEXT = b'{"error": "no room"}\n\n'
# What is no continuation of a stream whose last event was number 1.
NO_CONTINUATIONS = {
    "error as JSON": answer(body=TEXT, kind="application/json"),
    "whole head of an error": answer(body=ERROR_HEAD, kind="text/plain"),
    "text without a type": answer(body=TEXT, kind=""),
    "text of the right type": answer(body=TEXT),
    "head of the right type": answer(body=ERROR_HEAD),
    "no event, length 0": answer(framing="length"),
    "no event, in chunks": answer(),
    "no event, closed": answer(framing="close"),
    "status 204": answer(204, framing="close"),
    "events from the start": answer(body=harness_module.event(1)),
    "an event, then text": answer(body=harness_module.event(2) + TEXT),
    "not signed": answer(body=harness_module.event(2), signed=False),
    "status 404": answer(404, TEXT, "text/plain", "length"),
    "status 400": answer(400, TEXT, "application/json", "length"),
    "status 302": answer(302, TEXT, "text/plain", "length"),
    "status 500": answer(500, TEXT, "text/plain", "length"),
    "status 503": answer(503, TEXT, "text/plain", "length"),
}


class NextTarget(test_forwarding.Case):
    """What callers find after the event that came last before the break."""

    async def play(self, first, *others, **fields):
        """Return what the caller gets if others follow the target that breaks off."""
        await self.start(first, *others)
        for number in range(1, len(self.engines)):
            self.harness.mirror.registry.state(f"e{number}").in_flight = 5 * number
        got = await self.harness.stream("/resume/x", **fields)
        return got.partition(b"\r\n\r\n")[2]

    def assert_broken_off(self, got):
        """Check that the first event came, and nothing else."""
        self.assertEqual(got, harness_module.chunk(harness_module.event(1)))

    # Guards against the text of the next target's error in a caller's stream, and
    # against a broken stream that ends as complete because of such an answer.
    async def test_an_error_of_the_next_target_is_no_part_of_a_stream(self):
        for name, script in NO_CONTINUATIONS.items():
            with self.subTest(name):
                got = await self.play(broken_after(1), script)
                self.assert_broken_off(got)

    # Guards against sending a continuation to one more target after another has
    # answered that the request is wrong.
    async def test_an_error_that_is_final_ends_a_stream(self):
        for status in (302, 400, 404, 413):
            script = answer(status, b"no", "text/plain", "length")
            got = await self.play(broken_after(1), *[script] * 4)
            self.assert_broken_off(got)
            self.assertEqual(self.request_count(), 2)

    # Guards against requests refused as if targets crashed on them, because targets
    # answered them without an event, or with an error.
    async def test_an_answer_that_is_whole_counts_as_no_crash(self):
        for script in (answer(), answer(framing="length"), answer(body=TEXT, kind="")):
            await self.start(broken_after(1), script)
            quarantine = self.harness.forwarder.dependencies.quarantine
            quarantine.record_loss = mock.Mock()
            await self.harness.stream("/resume/x")
            quarantine.record_loss.assert_not_called()

    async def test_a_stream_goes_on_at_the_next_target(self):
        rest = harness_module.event(2) + harness_module.event(3)
        got = await self.play(broken_after(1), answer(body=rest))
        self.assertIn(b"id: 3", got)
        self.assertTrue(got.endswith(END_OF_CHUNKS), got)
        got = await self.play(
            broken_after(1), answer(body=rest, kind="Text/Event-Stream; charset=utf-8")
        )
        self.assertTrue(got.endswith(END_OF_CHUNKS), got)

    # As many events as the caller wants tokens at most show that nothing is left.
    async def test_a_stream_that_breaks_off_after_its_last_event_is_complete(self):
        got = await self.play(
            broken_after(3), nothing_left, x_cornelreach_token_counts="10,3"
        )
        self.assertTrue(got.endswith(END_OF_CHUNKS), got)
        got = await self.play(
            broken_after(3), nothing_left, x_cornelreach_token_counts="10,4"
        )
        self.assertFalse(got.endswith(END_OF_CHUNKS), got)

    # Guards against events that come twice, where the last one has no identifier to go
    # on from.
    async def test_a_stream_goes_on_only_behind_an_event_with_an_identifier(self):
        async def unnamed(engine, head, body, writer):
            data = harness_module.event(1) + b"data: more\n\n"
            writer.write(engine.stream_head(head) + harness_module.chunk(data))
            await writer.drain()
            return False

        got = await self.play(unnamed, answer(body=harness_module.event(2)))
        self.assertFalse(got.endswith(END_OF_CHUNKS), got)
        self.assertEqual(self.request_count(), 1)
