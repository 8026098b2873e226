"""Engines that say in an answer that they leave, or that they want a rest."""

import time

from test.gateway import harness as harness_module, test_forwarding


class Departures(test_forwarding.Case):
    """What an instance sends to an engine after such an answer."""

    async def test_an_engine_that_says_it_leaves_gets_nothing_more(self):
        async def leave(engine, head, body, writer):
            writer.write(engine.answer(head, extra="Server-Leaving: 1\r\n"))

        await self.start(leave, leave)
        status, answer = await self.harness.send("/safe/a")
        self.assertEqual((status, b"leaving" in answer.lower()), (200, False))
        status, _ = await self.harness.send("/safe/a", x_cornelreach_request_id="id-2")
        self.assertEqual(status, 200)
        counts = sorted(len(engine.requests) for engine in self.engines)
        self.assertEqual(counts, [1, 1])
        status, _ = await self.harness.send("/safe/a", x_cornelreach_request_id="id-3")
        self.assertEqual((status, self.request_count()), (503, 2))

    async def test_a_new_lifetime_of_an_engine_that_left_is_used(self):
        async def leave(engine, head, body, writer):
            writer.write(engine.answer(head, extra="server-leaving: 1\r\n"))

        await self.start(leave)
        await self.harness.send("/safe/a")
        self.harness.register(self.engines[0], "s", born_ms=2)
        status, _ = await self.harness.send("/safe/a", x_cornelreach_request_id="id-2")
        self.assertEqual((status, self.request_count()), (200, 2))

    async def test_an_engine_that_asks_for_a_rest_gets_nothing(self):
        async def rest(engine, head, body, writer):
            extra = "x-cornelreach-not-executed: 1\r\nretry-after: 1.25\r\n"
            writer.write(engine.answer(head, 503, b"", False, extra))

        await self.start(rest, harness_module.answer_ok)
        for number in range(12):
            status, _ = await self.harness.send(
                "/safe/a", x_cornelreach_request_id=f"id-{number}"
            )
            self.assertEqual(status, 200)
        self.assertLessEqual(len(self.engines[0].requests), 1)

    async def test_a_caller_is_refused_at_once_while_all_engines_rest(self):
        async def rest(engine, head, body, writer):
            extra = "x-cornelreach-not-executed: 1\r\nretry-after: 30\r\n"
            writer.write(engine.answer(head, 503, b"", False, extra))

        await self.start(rest, rest)
        status, _ = await self.harness.send("/once/a")
        started_s = time.monotonic()
        status, answer = await self.harness.send(
            "/once/a", x_cornelreach_request_id="id-2"
        )
        self.assertLess(time.monotonic() - started_s, 0.25)
        self.assertEqual((status, self.request_count()), (503, 2))
        wait_s = float(answer.lower().split(b"retry-after: ")[1].split(b"\r\n")[0])
        self.assertTrue(29 < wait_s <= 30, wait_s)
