"""Requests that crash each target that begins to run them, and that come again."""

import asyncio
import itertools

import loguru

from cornelreach.gateway import requestlog
from test.gateway import test_forwarding

POISON = b"poison"


async def crash_on_poison(engine, head, body, writer):
    """Answer; close the connection while the poisonous request runs."""
    if body == POISON:
        await asyncio.sleep(0.01)
        return False
    writer.write(engine.answer(head))


class Case(test_forwarding.Case):
    """Targets that crash on one request, and requests with new identifiers."""

    async def asyncSetUp(self):
        self.numbers = itertools.count()

    async def ask(self, harness, path="/safe/x", body=POISON, **fields):
        """Send one attempt of a client to an instance; return the status."""
        number = next(self.numbers)
        fields.setdefault("x_cornelreach_request_id", f"id-{number}")
        status, _ = await harness.send(path, body=body, **fields)
        return status


class Log(Case):
    """What the log says of a lost request."""

    # Guards against logs that cannot tell a repeated request from others of its route.
    async def test_repetitions_of_a_lost_request_have_one_name(self):
        await self.start(*[crash_on_poison] * 2)
        names = []

        def collect(message):
            extra = message.record["extra"]
            if extra.get("event") == requestlog.ATTEMPT_ENDED.number:
                names[-1].add(extra["request"])

        sink = loguru.logger.add(collect)
        self.addCleanup(loguru.logger.remove, sink)
        changes = [{}, {"x_cornelreach_deadline_ms": "1500"}, {"path": "/safe/y"}]
        for fields in (*changes, {"method": "PUT"}, {"x_cornelreach_model": "m"}):
            names.append(set())
            await self.ask(self.harness, **fields)
        self.assertEqual([len(one) for one in names], [1] * 5)
        self.assertEqual(names[0], names[1])
        self.assertEqual(len(set.union(*names)), 4)
