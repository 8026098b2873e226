"""Engines that name how many requests a second they take from all instances."""

import asyncio

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

    async def test_the_limit_is_not_passed_to_the_caller(self):
        await self.start(limited(1.5))
        _, answer = await self.send(1)
        self.assertNotIn(b"limit", answer.lower())

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

    async def test_a_limit_ends_with_the_first_answer_that_names_none(self):
        calls = []

        async def recover(engine, head, body, writer):
            calls.append(head)
            extra = "server-limit: 0.5\r\n" if len(calls) == 1 else ""
            writer.write(engine.answer(head, extra=extra))

        await self.start(recover)
        await self.send(1)
        statuses = [(await self.send(number))[0] for number in range(2, 12)]
        self.assertEqual(statuses, [200] * 10)

    async def test_a_caller_is_refused_at_once_while_all_engines_are_at_their_limit(
        self,
    ):
        await self.start(limited(0.5), limited(0.25))
        statuses = [(await self.send(number, "/once/a"))[0] for number in range(3)]
        self.assertEqual(statuses, [200, 200, 200])
        started_s = asyncio.get_running_loop().time()
        status, answer = await self.send(9, "/once/a")
        self.assertLess(asyncio.get_running_loop().time() - started_s, 0.25)
        self.assertEqual((status, self.request_count()), (503, 3))
        wait_s = float(answer.lower().split(b"retry-after: ")[1].split(b"\r\n")[0])
        self.assertTrue(1 < wait_s <= 2, wait_s)

    async def test_malformed_limits_are_ignored(self):
        for value in ("", "x", "-1", "1e3", "nan", "1,5"):
            await self.start(limited(value))
            for number in range(8):
                self.assertEqual((await self.send(number))[0], 200, value)

    async def test_a_new_lifetime_has_no_limit(self):
        await self.start(limited(0))
        self.assertEqual((await self.send(1))[0], 200)
        self.assertEqual((await self.send(2))[0], 503)
        self.harness.register(self.engines[0], "s", born_ms=2)
        self.assertEqual((await self.send(3))[0], 200)
