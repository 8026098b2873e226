"""Streams that are slow but sound, and ones that stall."""

import asyncio
import time

from test.gateway import harness as harness_module, test_forwarding

PAUSE_S = 0.3
BYTE_S = 0.05
DEADLINE_MS = 600


class SlowStreams(test_forwarding.Case):
    """One engine that sends a stream in its own time."""

    # Guards against cutting a slow stream whose engine goes on.
    async def test_a_slow_stream_is_not_cut(self):
        async def slow(engine, head, body, writer):
            writer.write(engine.stream_head(head))
            for number in range(4):
                await asyncio.sleep(PAUSE_S)
                writer.write(harness_module.chunk(harness_module.event(number)))
                await writer.drain()
            writer.write(b"0\r\n\r\n")

        await self.start(slow)
        answer = await self.harness.stream("/stream/x")
        self.assertEqual(answer.count(b"data: token"), 4)
        self.assertTrue(answer.endswith(b"0\r\n\r\n"), answer)

    # Guards against a stalled stream, with a byte now and then, that never ends.
    async def test_a_stream_with_a_byte_now_and_then_ends_at_its_deadline(self):
        async def stall(engine, head, body, writer):
            writer.write(engine.stream_head(head))
            writer.write(harness_module.chunk(harness_module.event(0)))
            while not engine.gone.is_set():
                writer.write(harness_module.chunk(b":"))
                await writer.drain()
                await asyncio.sleep(BYTE_S)
            return False

        for path in ("/stream/x", "/resume/x"):
            with self.subTest(path):
                await self.start(stall)
                begin_s = time.monotonic()
                answer = await self.harness.stream(
                    path, x_cornelreach_deadline_ms=str(DEADLINE_MS)
                )
                spent_s = time.monotonic() - begin_s
                self.assertLess(spent_s, DEADLINE_MS / 1_000 + 0.3)
                self.assertIn(b"token0", answer)
                self.assertFalse(answer.endswith(b"0\r\n\r\n"), answer)
                async with asyncio.timeout(1):
                    await self.engines[0].gone.wait()
