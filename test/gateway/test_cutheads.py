"""Targets that stop in the head of an answer, or right behind it, and close."""

from test.gateway import harness as harness_module, test_forwarding

PATHS = ("/safe/x", "/once/x", "/stream/x", "/resume/x")
END_OF_CHUNKS = b"0\r\n\r\n"


def cut(end, extra="", status=200):
    """Return a script that closes after some bytes of a head without length."""

    async def script(engine, head, body, writer):
        whole = engine.answer(head, status, b"", extra=extra)
        writer.write(whole.replace(b"content-length: 0\r\n", b"")[:end])
        await writer.drain()
        return False

    return script


class CutHeads(test_forwarding.Case):
    """What callers get instead."""

    # Guards against a 200 with an empty body, framed as whole, for an answer whose
    # target stopped in its head.
    async def test_an_answer_that_stops_in_its_head_is_no_answer(self):
        for end in (12, 25, 60, -4, -2, -1):
            for path in PATHS:
                with self.subTest(path, end=end):
                    await self.start(cut(end))
                    got = await self.harness.stream(path)
                    self.assertTrue(got.startswith(b"HTTP/1.1 502"), got)

    # Guards against the same right behind the head: the end of the connection is the
    # only sign that such an answer is whole, and nothing has come.
    async def test_an_answer_without_length_that_stops_behind_its_head_is_lost(self):
        for path in PATHS:
            for extra in ("", "content-type: text/plain\r\n"):
                with self.subTest(path, extra=extra):
                    await self.start(cut(None, extra))
                    got = await self.harness.stream(path)
                    self.assertFalse(got.endswith(END_OF_CHUNKS), got)
                    self.assertNotIn(b"content-length: 0", got.lower())

    async def test_a_safe_request_is_sent_to_another_target_then(self):
        for end in (None, -2, 40):
            await self.start(cut(end), harness_module.answer_ok)
            self.harness.mirror.registry.state("e1").in_flight = 5
            status, answer = await self.harness.send("/safe/x")
            self.assertEqual((status, answer[-2:]), (200, b"ok"))
            status, _ = await self.harness.send("/once/x")
            self.assertIn(status, (200, 502))

    async def test_answers_that_have_no_body_are_whole(self):
        for status in (204, 304):
            await self.start(cut(None, status=status))
            got, _ = await self.harness.send("/once/x")
            self.assertEqual(got, status)
        await self.start(cut(None, "content-length:0\r\n"))
        got, _ = await self.harness.send("/once/x")
        self.assertEqual(got, 200)
        await self.start(cut(None))
        data = harness_module.request_bytes("/once/x", "HEAD", b"")
        got = await self.harness.send_raw(data)
        self.assertTrue(got.startswith(b"HTTP/1.1 200"), got)
