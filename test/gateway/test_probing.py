"""Suspected targets are probed before callers' requests are sent to them."""

import asyncio

from cornelreach.gateway import catalogue, probing
from test.gateway import harness as harness_module, test_forwarding


class Probing(test_forwarding.Case):
    """A target fails and comes back."""

    async def test_a_suspected_target_is_not_used_until_a_probe_succeeds(self):
        async def health(engine, head, body, writer):
            if head[""].startswith("GET /health"):
                writer.write(b"HTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n")
                return
            await harness_module.answer_ok(engine, head, body, writer)

        await self.start(health, health)
        registry = self.harness.mirror.registry
        prober = probing.Prober(
            self.harness.mirror, self.harness.http, self.harness.clock
        )
        registry.eject("e0", "silence", 0)
        self.assertEqual(prober.due(), ["e0"])
        usable = [one.id for one in registry.usable("s", self.harness.clock.now_ms())]
        self.assertEqual(usable, ["e1"])
        await prober.probe("e0")
        self.assertEqual(prober.due(), [])
        self.assertEqual(len(registry.usable("s", self.harness.clock.now_ms())), 2)

    async def test_a_probe_tells_that_a_restarted_target_is_cold(self):
        async def health(engine, head, body, writer):
            writer.write(
                b"HTTP/1.1 200 X\r\ncontent-length: 0\r\n"
                b"x-cornelreach-cold-remaining-ms: 2500\r\n\r\n"
            )

        await self.start(health)
        registry = self.harness.mirror.registry
        prober = probing.Prober(
            self.harness.mirror, self.harness.http, self.harness.clock
        )
        registry.eject("e0", "reset", 0)
        await prober.probe("e0")
        now_ms = self.harness.clock.now_ms()
        self.assertTrue(registry.state("e0").is_cold(now_ms + 2_000))
        self.assertFalse(registry.state("e0").is_cold(now_ms + 2_600))

    # Guards against more requests than a cold target bears, after a late copy of the
    # answer that it gave to a health check before it turned cold.
    async def test_a_late_copy_of_an_answer_meets_no_later_probe(self):
        asked = []

        async def health(engine, head, body, writer):
            warm = b"HTTP/1.1 200 X\r\ncontent-length: 0\r\n\r\n"
            if asked:
                if writer in asked:
                    writer.write(warm)
                    await asyncio.sleep(0.01)
                warm = warm.replace(
                    b"\r\n\r\n", b"\r\nx-cornelreach-cold-remaining-ms: 2500\r\n\r\n"
                )
            asked.append(writer)
            writer.write(warm)

        await self.start(health)
        registry = self.harness.mirror.registry
        prober = probing.Prober(
            self.harness.mirror, self.harness.http, self.harness.clock
        )
        for cold in (False, True):
            registry.eject("e0", "reset", 0)
            await prober.probe("e0")
            self.assertIs(registry.state("e0").is_cold(prober.clock.now_ms()), cold)

    async def test_a_target_that_stays_down_is_probed_less_often(self):
        await self.start(harness_module.answer_ok, harness_module.answer_ok)
        registry = self.harness.mirror.registry
        self.engines[0].server.close()
        await self.engines[0].server.wait_closed()
        prober = probing.Prober(
            self.harness.mirror, self.harness.http, self.harness.clock
        )
        registry.eject("e0", "silence", 0)
        await prober.probe("e0")
        state = registry.state("e0")
        self.assertEqual((state.failures, state.suspected), (2, True))
        self.assertEqual(prober.due(), [])

    async def test_a_resting_or_leaving_target_is_not_probed(self):
        async def health(engine, head, body, writer):
            writer.write(
                b"HTTP/1.1 503 X\r\ncontent-length: 0\r\nretry-after: 20\r\n"
                b"server-leaving: 1\r\n\r\n"
            )

        await self.start(health, health)
        registry = self.harness.mirror.registry
        prober = probing.Prober(
            self.harness.mirror,
            self.harness.http,
            self.harness.clock,
            self.harness.selector.record_notices,
        )
        registry.eject("e0", "silence", 0)
        await prober.probe("e0")
        registry.eject("e0", "silence", 0)
        self.assertEqual(prober.due(), [])
        self.assertFalse(registry.is_open("e0", "s"))
        self.assertTrue(registry.is_resting("e0", self.harness.clock.now_ms()))

    async def test_suspected_targets_of_unknown_services_are_not_probed(self):
        await self.start(harness_module.answer_ok)
        found = harness_module.make_catalogue([], [], version=2)
        self.assertEqual(found.services, {})
        self.harness.mirror.apply_catalogue(found)
        prober = probing.Prober(
            self.harness.mirror, self.harness.http, self.harness.clock
        )
        self.harness.mirror.registry.eject("e0", "silence", 0)
        await prober.probe("e0")
        self.assertEqual(self.request_count(), 0)
        self.assertIsInstance(found, catalogue.Catalogue)

    # Guards against refusing callers of targets that are full, as if out of reach.
    async def test_a_target_that_is_slow_to_answer_a_probe_is_in_reach(self):
        async def late(engine, head, body, writer):
            await asyncio.sleep(2 * probing.WAIT_MS / 1_000)

        await self.start(late, harness_module.answer_ok)
        registry = self.harness.mirror.registry
        prober = probing.Prober(
            self.harness.mirror, self.harness.http, self.harness.clock
        )
        self.engines[1].server.close()
        await self.engines[1].server.wait_closed()
        for name in ("e0", "e1"):
            registry.eject(name, "no answer in time", 0)
            await prober.probe(name)
        states = [registry.state(name) for name in ("e0", "e1")]
        self.assertEqual([one.suspected for one in states], [True, True])
        self.assertEqual([one.unreached for one in states], [False, True])

    # Guards against the second copy of an answer, late on a connection that is in use
    # again, being taken for that of a probe.
    async def test_a_late_copy_of_an_answer_does_not_answer_a_probe(self):
        async def answer_twice(engine, head, body, writer):
            if not head[""].startswith("GET /health"):
                await harness_module.answer_ok(engine, head, body, writer)
                self.copy = engine.answer(head, extra="server-leaving: 1\r\n")
                return
            writer.write(self.copy)
            writer.write(b"HTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n")

        await self.start(answer_twice)
        await self.harness.send("/safe/x")
        replies = []
        prober = probing.Prober(
            self.harness.mirror,
            self.harness.http,
            self.harness.clock,
            lambda target, reply: replies.append(reply),
        )
        await prober.probe("e0")
        self.assertEqual([(one.status, one.leaving) for one in replies], [(503, False)])
