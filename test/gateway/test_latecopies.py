"""Answers to an earlier try of a request, written again after a later try of it."""

import asyncio
from unittest import mock

from cornelreach.gateway import requestlog
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
