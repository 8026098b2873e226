"""Answers to an earlier try of a request, written again after a later try of it."""

from unittest import mock

from cornelreach.gateway import requestlog
from test.gateway import test_forwarding


class LateCopies(test_forwarding.Case):
    """Two entries of the list may lead to one address, and so to one connection."""

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
