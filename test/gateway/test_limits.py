"""Engines that name how many requests a second they take from all instances."""

from test.gateway import harness as harness_module, test_forwarding

WINDOW_S = 4.0


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

    # Guards against a limit being read by nobody.
    async def test_an_engine_gets_no_more_than_it_named(self):
        await self.start(limited(1.5), harness_module.answer_ok)
        for number in range(60):
            status, _ = await self.send(number)
            self.assertEqual(status, 200)
        # Six in four seconds, from whichever moment; the other engine takes the rest.
        self.assertLessEqual(len(self.engines[0].requests), WINDOW_S * 1.5)
