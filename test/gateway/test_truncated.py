"""Answers that their targets break off during the upload must not look complete."""

import re

from test.gateway import harness as harness_module, links, test_forwarding
from test.http import ends

END_OF_CHUNKS = b"0\r\n\r\n"
CALLS = ("/safe/x", "/once/x")
STREAMS = ("/stream/x", "/resume/x")
SIZES = (ends.SMALL_BYTES, ends.LARGE_BYTES)
BAD_STATUSES = (0, 600, 999)
REPORT = b'cornelreach-detour: [false,"e0",""]\r\n'


def field(head, name):
    """Return the value of a header of a request, or None."""
    found = re.search(rb"(?i)\r\n%s: (\S+)" % name, head)
    return found and found[1]


def answer_head(head, status=200, extra=b""):
    """Return the head of a signed answer that has no length."""
    return (
        b"HTTP/1.1 %03d X\r\ncontent-type: text/event-stream\r\n"
        b"x-cornelreach-request-id: %s\r\n"
        b"x-cornelreach-response-signature: sig.e\r\n%s\r\n"
    ) % (status, field(head, b"x-cornelreach-request-id"), extra)


def answer_events(head, extra=b"", count=2):
    """Return an answer of whole events behind the last one that the caller has."""
    last = int(field(head, b"last-event-id") or 0)
    events = (harness_module.event(last + one) for one in range(1, count + 1))
    return answer_head(head, extra=extra) + b"".join(events)


class Case(test_forwarding.Case):
    """Targets that write raw answers and end in one of several ways."""

    async def start_targets(self, *scripts):
        """Start a target for each way to end and answer."""
        await self.start()
        for number, (end, answer) in enumerate(scripts):
            server = ends.Server(f"e{number}", end, answer)
            self.addCleanup(server.close)
            self.engines.append(server)
            self.harness.register(server, "s")

    async def get(self, path, size, **fields):
        """Send a request and return all that comes until the connection ends."""
        request = harness_module.request_bytes(
            path, "POST", b"x" * size, connection="close", **fields
        )
        return await self.harness.send_raw(request, True)


class Truncated(Case):
    """One target, whose answer has neither a length nor chunks."""

    async def test_calls_get_a_502(self):
        for path in CALLS:
            for end in ends.BROKEN:
                for size in SIZES:
                    with self.subTest(path, end=end, size=size):
                        await self.start_targets((end, answer_events))
                        got = await self.get(path, size)
                        self.assertTrue(got.startswith(b"HTTP/1.1 502"), got)

    # Guards against the part of a stream that came before a reset being framed as all
    # of it, for the first target and for one that goes on with a caller's stream.
    async def test_streams_are_not_framed_as_complete(self):
        for path, fields in (
            ("/stream/x", {}),
            ("/resume/x", {}),
            ("/resume/x", {"last_event_id": "4"}),
        ):
            for end in ends.BROKEN:
                for size in SIZES:
                    with self.subTest(path, end=end, size=size, **fields):
                        await self.start_targets((end, answer_events))
                        got = await self.get(path, size, **fields)
                        self.assertFalse(got.endswith(END_OF_CHUNKS), got)
                        self.assertFalse(got.startswith(b"HTTP/1.1 5"), got)

    async def test_an_end_during_the_upload_is_not_complete(self):
        for path in STREAMS:
            await self.start_targets((ends.End.END_UNREAD, answer_events))
            self.engines[0].shrink_buffers()
            got = await self.get(path, ends.LARGE_BYTES)
            self.assertIn(b"id: 2", got)
            self.assertFalse(got.endswith(END_OF_CHUNKS), got)

    # Guards against losing answers that end with their connection, in order.
    async def test_an_orderly_close_is_a_valid_end(self):
        for end in ends.ORDERLY:
            for size in SIZES:
                for path in STREAMS:
                    await self.start_targets((end, answer_events))
                    got = await self.get(path, size)
                    self.assertTrue(got.endswith(END_OF_CHUNKS), got)
                for path in CALLS:
                    await self.start_targets((end, answer_events))
                    got = await self.get(path, size)
                    self.assertTrue(got.startswith(b"HTTP/1.1 200"), got)

    # Guards against statuses that HTTP does not know reaching callers.
    async def test_a_status_outside_100_to_599_gives_a_502(self):
        for status in BAD_STATUSES:
            for path in (*CALLS, *STREAMS):
                with self.subTest(path, status=status):

                    def answer(head, status=status):
                        return answer_head(head, status) + b"ok"

                    await self.start_targets((ends.End.CLOSE, answer))
                    got = await self.get(path, ends.SMALL_BYTES)
                    self.assertTrue(got.startswith(b"HTTP/1.1 502"), got)


class Resumed(Case):
    """Two targets, of which the first breaks a stream off between two events."""

    async def resume(self, first, second, size):
        """Return what the caller gets of a stream whose first target is chosen."""
        await self.start_targets((first, answer_events), (second, answer_events))
        self.harness.mirror.registry.state("e1").in_flight = 5
        got = await self.get("/resume/x", size)
        numbers = [int(one) for one in re.findall(rb"id: (\d+)", got)]
        self.assertEqual(numbers, [1, 2, 3, 4])
        return got

    # Guards against a stream that could go on being ended, or framed as complete.
    async def test_a_stream_that_was_reset_goes_on_at_another_target(self):
        for first in ends.BROKEN:
            for size in SIZES:
                with self.subTest(first, size=size):
                    got = await self.resume(first, ends.End.CLOSE, size)
                    self.assertTrue(got.endswith(END_OF_CHUNKS), got)

    # Guards against the rest of a stream being trusted more than its beginning.
    async def test_the_rest_of_a_stream_may_be_reset_too(self):
        for second in ends.BROKEN:
            with self.subTest(second):
                got = await self.resume(ends.End.RESET, second, 100)
                self.assertFalse(got.endswith(END_OF_CHUNKS), got)


class PassedOn(links.Case):
    """An instance that reaches no target, and another whose answer is broken off."""

    async def get(self, path, end, answer, size):
        """Return what the caller gets through another instance."""
        await self.start(linked=2, direct=0)
        for one in self.instances:
            self.lose(one)
        peer = ends.Server("peer", end, answer)
        self.addCleanup(peer.close)
        members = self.cut.gossip.members
        members["edge-1"] = members["edge-1"]._replace(host="127.0.0.1", port=peer.port)
        request = harness_module.request_bytes(
            path, "POST", b"x" * size, connection="close"
        )
        got = await self.cut.send_raw(request, True)
        self.assertEqual(len(peer.heads), 1)
        return got

    # Guards against trusting another instance's answer more than that of a target.
    async def test_a_broken_answer_of_another_instance_is_not_complete(self):
        def answer(head):
            return answer_events(head, REPORT)

        for path in ("/once/x", "/stream/x"):
            for end in ends.BROKEN:
                for size in SIZES:
                    with self.subTest(path, end=end, size=size):
                        got = await self.get(path, end, answer, size)
                        if path == "/once/x":
                            self.assertTrue(got.startswith(b"HTTP/1.1 502"), got)
                        self.assertFalse(got.endswith(END_OF_CHUNKS), got)

    async def test_a_status_outside_100_to_599_gives_a_502(self):
        for status in BAD_STATUSES:

            def answer(head, status=status):
                return answer_head(head, status, REPORT) + b"ok"

            got = await self.get("/once/x", ends.End.CLOSE, answer, 100)
            self.assertTrue(got.startswith(b"HTTP/1.1 502"), got)
