"""Refusals on a connection that do not name the request that waits there."""

import asyncio

from test.gateway import harness as harness_module, test_forwarding


def unnamed_refusal(status):
    """Return an answer that says "not run" and names no request."""
    return (
        f"HTTP/1.1 {status} X\r\nx-cornelreach-not-executed: 1\r\n"
        "content-length: 0\r\n\r\n"
    ).encode()


class UnnamedAnswers(test_forwarding.Case):
    """They are skipped, and the true answer is waited for."""

    # Guards against "not run" being told of a request that runs: an engine wrote its
    # refusal of an earlier request again, which bears no identifier.
    async def test_an_earlier_refusal_that_is_written_again_is_skipped(self):
        async def refuse_again(engine, head, body, writer):
            if len(engine.requests) == 1:
                return await harness_module.answer_not_run(engine, head, body, writer)
            writer.write(unnamed_refusal(503))
            await asyncio.sleep(0.01)
            writer.write(engine.answer(head, body=b"yours"))

        await self.start(refuse_again)
        status, _ = await self.harness.send("/once/x")
        self.assertEqual(status, 503)
        for path in ("/once/x", "/safe/x"):
            self.harness.mirror.registry.state("e0").ejected_until_ms = 0.0
            status, answer = await self.harness.send(
                path, x_cornelreach_request_id=f"id-{path}"
            )
            self.assertEqual((status, answer[-5:]), (200, b"yours"))
        self.assertEqual((self.request_count(), self.engines[0].connections), (3, 1))

    # Guards against a second run, or a promise that there is none, after a refusal that
    # names no request on a connection whose first request is running.
    async def test_a_refusal_without_a_name_is_skipped_on_a_new_connection(self):
        for status in (503, 421, 429):

            async def refuse_and_run(engine, head, body, writer, status=status):
                writer.write(unnamed_refusal(status))
                await asyncio.sleep(0.01)
                writer.write(engine.answer(head, body=b"yours"))

            for engines in (1, 2):
                for path in ("/once/x", "/safe/x"):
                    with self.subTest(status=status, engines=engines, path=path):
                        await self.start(*[refuse_and_run] * engines)
                        found, answer = await self.harness.send(path)
                        self.assertEqual((found, answer[-5:]), (200, b"yours"))
                        self.assertEqual(self.request_count(), 1)

    # Guards against the same if the refusal is written before anything was asked.
    async def test_a_refusal_at_the_opening_of_a_connection_is_skipped(self):
        await self.start(harness_module.answer_ok, harness_module.answer_ok)
        for engine in self.engines:
            engine.greeting = unnamed_refusal(503)
        for number in range(4):
            status, _ = await self.harness.send(
                "/once/x",
                connection="close",
                x_cornelreach_request_id=f"id-{number}",
            )
            self.assertIn(status, (200, 502))
        ran = [head["x-cornelreach-request-id"] for head, _ in self.requests()]
        self.assertEqual(len(ran), len(set(ran)))

    # Guards against a promise for a request that ran, if nothing else is answered.
    async def test_a_refusal_without_a_name_alone_leaves_the_outcome_unknown(self):
        async def refuse_and_close(engine, head, body, writer):
            writer.write(unnamed_refusal(503))
            return False

        await self.start(refuse_and_close, refuse_and_close)
        status, _ = await self.harness.send("/once/x")
        self.assertEqual((status, self.request_count()), (502, 1))
