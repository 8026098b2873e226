"""Engines that name how many requests a second they take from all instances."""

from test.gateway import harness as harness_module, test_forwarding


def limited(per_s):
    """Return a script that answers and names a limit."""

    async def answer(engine, head, body, writer):
        writer.write(engine.answer(head, extra=f"Server-Limit: {per_s}\r\n"))

    return answer


class Limits(test_forwarding.Case):
    """What one instance sends to engines that name a limit."""

    async def send(self, number, path="/safe/a"):
        """Send one request."""
        return await self.harness.send(path, x_cornelreach_request_id=f"id-{number}")

    async def test_an_instance_knows_the_limit_that_a_target_named_last(self):
        await self.start(limited(1.5))
        await self.send(1)
        state = self.harness.mirror.registry.state("e0")
        self.assertEqual(state.limit_per_s, 1.5)
        self.engines[0].script = harness_module.answer_ok
        await self.send(2)
        self.assertIsNone(state.limit_per_s)
