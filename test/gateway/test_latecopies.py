"""Answers to an earlier try of a request, written again after a later try of it."""

import asyncio
import itertools
from unittest import mock

from cornelreach.gateway import requestlog
from cornelreach.http import client as http_client
from test.gateway import harness as harness_module, test_forwarding

NOT_EXECUTED = "x-cornelreach-not-executed: 1\r\n"
COPY_S = 0.01  # from a copy to the true answer


class Restarted:
    """The script of an engine that started again under a new identifier.

    It refuses what is sent to its old one, and writes that refusal again before the
    next answer on the same connection.
    """

    def __init__(self, status, name="new", copy=None):
        self.status = status
        self.name = name
        self.copy = copy
        self.refusals = {}
        self.runs = []

    async def __call__(self, engine, head, body, writer):
        if head["x-cornelreach-target-instance"] != self.name:
            refusal = engine.answer(head, self.status, b"", False, NOT_EXECUTED)
            self.refusals[writer] = self.copy or refusal
            writer.write(refusal)
            return
        self.runs.append(head["x-cornelreach-request-id"])
        if copy := self.refusals.pop(writer, None):
            writer.write(copy)
            await asyncio.sleep(COPY_S)
        await self.answer(engine, head, writer)

    async def answer(self, engine, head, writer):
        """Write the true answer, which is a stream where one was asked for."""
        if "stream" not in head[""] and "resume" not in head[""]:
            writer.write(engine.answer(head, body=b"yours"))
            return
        writer.write(engine.stream_head(head))
        writer.write(harness_module.chunk(harness_module.event(1)) + b"0\r\n\r\n")


class LateCopies(test_forwarding.Case):
    """Two entries of the list may lead to one address, and so to one connection."""

    async def start_restarted(self, script, others=0):
        """Start an engine whose old entry is still listed, and other engines."""
        scripts = [Restarted(503, f"e{number + 1}") for number in range(others)]
        await self.start(script, *scripts, attempts=5)
        self.harness.register(self.engines[0], "s", id="new", born_ms=2)
        # The old entry is chosen first, then the new one, then the others.
        for engine in self.engines[1:]:
            self.harness.mirror.registry.state(engine.name).in_flight = 9
        self.harness.mirror.registry.state("new").in_flight = 5

    # Guards against a second run, or a promise that there is none, after a late copy of
    # a refusal that names the request, as two targets share an address.
    async def test_a_late_copy_of_a_refusal_tells_nothing_of_a_later_try(self):
        for status in (421, 503, 429):
            for others in (0, 1):
                for path in ("/once/x", "/safe/x", "/stream/x"):
                    with self.subTest(status=status, others=others, path=path):
                        script = Restarted(status)
                        await self.start_restarted(script, others)
                        found, _ = await self.harness.send(path)
                        self.assertEqual((found, script.runs), (200, ["id-1"]))
                        self.assertEqual(self.request_count(), 2)

    # Guards against any answer to an earlier try, whatever it says, being passed on as
    # that to a later one.
    async def test_a_late_answer_to_an_earlier_try_is_not_passed_on(self):
        for status, signed in ((200, True), (500, True), (404, False), (503, False)):
            for path in ("/once/x", "/safe/x"):
                with self.subTest(status=status, path=path):
                    script = Restarted(421)
                    await self.start_restarted(script)
                    head = {"x-cornelreach-request-id": "id-1"}
                    script.copy = self.engines[0].answer(head, status, b"old", signed)
                    found, answer = await self.harness.send(path)
                    self.assertEqual((found, answer[-5:]), (200, b"yours"))
                    self.assertEqual(script.runs, ["id-1"])

    # Guards against the same as a stream goes on under the identifier of its first try.
    async def test_a_late_copy_tells_nothing_of_a_stream_that_goes_on(self):
        script = Restarted(503)
        await self.start_restarted(script)
        found = await self.harness.stream(
            "/resume/x", last_event_id="0", x_cornelreach_request_id="id-2"
        )
        self.assertIn(b"id: 1\n", found)
        self.assertEqual(script.runs, ["id-2"])

    # Guards against the same for a stream that ended before its first event: its
    # connection is whole and kept.
    async def test_a_late_copy_tells_nothing_after_an_empty_stream(self):
        script = Restarted(503)

        async def end_at_once(engine, head, body, writer):
            if head["x-cornelreach-target-instance"] == "new":
                return await script(engine, head, body, writer)
            empty = engine.stream_head(head) + b"0\r\n\r\n"
            script.refusals[writer] = empty
            writer.write(empty)

        await self.start_restarted(end_at_once)
        found = await self.harness.stream("/resume/x")
        self.assertIn(b"id: 1\n", found)
        self.assertEqual(script.runs, ["id-1"])

    # Guards against the same if a caller sends a refused request again as it is.
    async def test_a_late_copy_tells_nothing_if_the_caller_repeats_an_identifier(self):
        refusals = {}

        async def refuse_once(engine, head, body, writer):
            if len(engine.requests) == 1:
                refusals[writer] = engine.answer(head, 503, b"", False, NOT_EXECUTED)
                writer.write(refusals[writer])
                return
            writer.write(refusals.pop(writer, b""))
            await asyncio.sleep(COPY_S)
            writer.write(engine.answer(head))

        await self.start(refuse_once)
        statuses = []
        for _ in range(2):
            self.harness.mirror.registry.state("e0").ejected_until_ms = 0.0
            statuses.append((await self.harness.send("/once/x"))[0])
        self.assertEqual(statuses, [503, 200])

    # Guards against connections that are not reused by the requests that may reuse
    # them, or that remember more and more requests.
    async def test_connections_are_reused_by_other_requests(self):
        refused = http_client.MAX_UNSETTLED + 10

        async def refuse_some(engine, head, body, writer):
            answer = harness_module.answer_ok
            if "refuse" in head["x-cornelreach-request-id"]:
                answer = harness_module.answer_not_run
            await answer(engine, head, body, writer)

        await self.start(refuse_some)
        numbers = itertools.count()
        for kind, count, opened in (("answer", 100, 1), ("refuse", refused, 2)):
            due = self.request_count() + count
            while self.request_count() < due:
                self.harness.mirror.registry.state("e0").ejected_until_ms = 0.0
                await self.harness.send(
                    "/once/x", x_cornelreach_request_id=f"{kind}-{next(numbers)}"
                )
            self.assertEqual(self.engines[0].connections, opened)

    # Guards against logs and metrics that don't tell whether two tries of a request
    # were written to one connection.
    async def test_the_connections_of_tries_are_told(self):
        async def repeat_connection(engine, head, body, writer):
            (request_state,) = self.harness.forwarder.stops.under_way
            request_state.record_connection(engine.address, 1)
            writer.write(engine.answer(head, 500))

        await self.start(repeat_connection)
        with mock.patch.object(requestlog.events, "emit") as emit:
            await self.harness.send("/once/x")
        lines = [one.kwargs for one in emit.call_args_list]
        connection = f"{self.engines[0].address}#1"
        self.assertIn(connection, [one.get("connection") for one in lines])
        self.assertEqual(lines[-1]["connections"], f"{connection} {connection}")
        line = 'tries_on_one_connection_total{service="s"} 1'
        self.assertIn(line, self.harness.metrics.render().decode())
