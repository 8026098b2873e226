"""Requests that come late in a stop, or are under way at its end."""

import asyncio

from test.gateway import harness as harness_module, links, test_forwarding

PATHS = ("/safe/x", "/once/x", "/stream/x", "/resume/x")
LEFT_S = 0.3  # from the begin of the late part to the end of the stop
LONG_S = 1.5


async def answer_late(engine, head, body, writer):
    """Answer after the end of the stop."""
    await asyncio.sleep(LONG_S)
    writer.write(engine.answer(head))


async def stream_on(engine, head, body, writer):
    """Send events until long after the end of the stop."""
    writer.write(engine.stream_head(head))
    for number in range(1, 60):
        writer.write(harness_module.chunk(harness_module.event(number)))
        await writer.drain()
        await asyncio.sleep(LONG_S / 60)
    writer.write(b"0\r\n\r\n")


class LateRequests(test_forwarding.Case):
    """One instance that stops, and its callers."""

    def begin_stop(self, late=True, left_s=LEFT_S):
        """Begin a stop; with ``late``, requests come late from now on."""
        now_s = asyncio.get_running_loop().time()
        late_s = now_s if late else now_s + left_s
        self.harness.forwarder.stops.begin(late_s, now_s + left_s)

    # Guards against requests that are taken late in a stop, passed on, and cut.
    async def test_what_cannot_be_answered_before_the_end_is_refused(self):
        await self.start(harness_module.answer_ok)
        self.begin_stop()
        for path in PATHS:
            status, answer = await self.harness.send(path)
            self.assertEqual(status, 503, path)
            self.assertIn(b"retry-after: 0.", answer.lower())
            self.assertIn(b"not_run", answer)
        self.assertEqual(self.request_count(), 0)

    async def test_what_is_due_before_the_end_is_served(self):
        await self.start(harness_module.answer_ok)
        self.begin_stop()
        for path in PATHS[:2]:
            status, _ = await self.harness.send(path, x_cornelreach_deadline_ms="200")
            self.assertEqual(status, 200)

    # Guards against connections that end without an answer as the stop ends.
    async def test_what_is_under_way_at_the_end_gets_an_answer(self):
        await self.start(answer_late)
        calls = [
            asyncio.ensure_future(
                self.harness.send(path, x_cornelreach_request_id=f"id-{number}")
            )
            for number, path in enumerate(PATHS)
        ]
        while self.request_count() < len(PATHS):
            await asyncio.sleep(0.01)
        self.begin_stop(late=False)
        for status, answer in await asyncio.gather(*calls):
            self.assertEqual(status, 504)
            self.assertIn(b"unknown", answer)
        self.assertEqual(self.request_count(), len(PATHS))
        self.assertEqual(self.harness.forwarder.active, 0)

    # Guards against two attempts that are both too short, where one would be answered.
    async def test_reads_in_a_stop_are_answered_as_calls_are(self):
        for known in (False, True):
            for work_s, is_answered in ((0.04, True), (0.4, True), (1.0, False)):

                async def work(engine, head, body, writer, work_s=work_s):
                    await asyncio.sleep(work_s)
                    writer.write(engine.answer(head))

                await self.start(work, work)
                if known:
                    for number in range(4):
                        await self.harness.send(
                            "/safe/x", x_cornelreach_request_id=f"before-{number}"
                        )
                self.begin_stop(late=False, left_s=2 * LEFT_S)
                calls = [
                    self.harness.send(path, x_cornelreach_request_id=f"id-{path}")
                    for path in PATHS[:2]
                ]
                answers = await asyncio.gather(*calls)
                expected = 200 if is_answered else 504
                with self.subTest(work_s=work_s, known=known):
                    self.assertEqual([one[0] for one in answers], [expected] * 2)

    async def test_what_waits_for_a_target_at_the_end_has_not_run(self):
        await self.start(harness_module.answer_ok)
        wait = asyncio.Event().wait
        self.harness.forwarder._choose = lambda request_state: wait()
        call = asyncio.ensure_future(self.harness.send("/once/x"))
        await asyncio.sleep(0.05)
        self.begin_stop(late=False)
        status, answer = await call
        self.assertEqual(status, 503)
        self.assertIn(b"not_run", answer)

    # Guards against a stream that looks complete, or is asked for at one more target,
    # as the stop ends.
    async def test_a_stream_that_is_under_way_at_the_end_breaks_off(self):
        await self.start(stream_on, stream_on)
        call = asyncio.ensure_future(self.harness.stream("/resume/x"))
        while not self.request_count():
            await asyncio.sleep(0.01)
        self.begin_stop(late=False)
        got = await call
        self.assertIn(b"id: 2", got)
        self.assertFalse(got.endswith(b"0\r\n\r\n"), got)
        self.assertEqual(self.request_count(), 1)
        self.assertEqual(self.harness.forwarder.active, 0)


class PassedOn(links.Case):
    """Requests of an instance that reaches no engine, at another one that stops."""

    # Guards against the same for a request that another instance has passed on.
    async def test_the_caller_of_another_instance_gets_an_answer(self):
        await self.start(answer_late)
        self.lose(self.cut)
        call = asyncio.ensure_future(self.cut.send("/once/x"))
        while not self.requests():
            await asyncio.sleep(0.01)
        now_s = asyncio.get_running_loop().time()
        self.sound.forwarder.stops.begin(now_s, now_s + LEFT_S)
        status, answer = await call
        self.assertEqual(status, 504)
        self.assertIn(b"stops", answer)
        self.assertEqual(len(self.requests()), 1)
