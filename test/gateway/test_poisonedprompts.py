"""Prompts that crash each target that begins to write an answer on them."""

import asyncio
import itertools

from cornelreach.gateway import catalogue, crashes
from test.gateway import harness as harness_module, test_forwarding

Kind = catalogue.Kind
ENGINES = 6
SHARED, POISON = "a1", "bad"


async def crash_on_poison(engine, head, body, writer):
    """Begin to answer; with the poisoned part, close before the first event."""
    writer.write(engine.stream_head(head))
    await writer.drain()
    if POISON in head["x-cornelreach-prompt-prefix"]:
        await asyncio.sleep(0.01)
        return False
    for number in (1, 2):
        writer.write(harness_module.chunk(harness_module.event(number)))
    writer.write(b"0\r\n\r\n")


class Case(test_forwarding.Case):
    """Engines that are back in another lifetime after each crash."""

    async def start_engines(self, count=ENGINES):
        """Start engines, and a route of each kind that streams."""
        self.numbers = itertools.count()
        self.engines = [
            harness_module.Engine(f"e{number}", crash_on_poison)
            for number in range(count)
        ]
        for engine in self.engines:
            await engine.start()
        routes = [
            harness_module.route("/stream/", "s", Kind.STREAM),
            harness_module.route("/resume/", "s", Kind.STREAM, resumable=True),
        ]
        service = harness_module.plain_service(
            "s", engine=catalogue.Engine(8, 60_000, ("m",))
        )
        found = harness_module.make_catalogue(routes, [service])
        self.harness = harness_module.Harness(found, self.engines, "s")
        await self.harness.start()
        self.addAsyncCleanup(self.harness.stop)

    async def ask(self, path, *parts):
        """Send one prompt with these parts and one of its own; return the response."""
        number = next(self.numbers)
        own = f"own{number}"
        prefix = ",".join(f"{key}:100" for key in (*parts, own))
        got = await self.harness.stream(
            path,
            x_cornelreach_request_id=f"id-{number}",
            x_cornelreach_model="m",
            x_cornelreach_token_counts=f"{100 * (len(parts) + 1)},10",
            x_cornelreach_prompt_prefix=prefix,
        )
        for engine in self.engines:  # those that crashed are back
            self.harness.register(engine, "s", born_ms=number + 2)
        return got

    def poisoned_count(self):
        """Return how many requests with the poisoned part reached engines."""
        return sum(
            POISON in head["x-cornelreach-prompt-prefix"]
            for engine in self.engines
            for head, _ in engine.requests
        )


class PoisonedPrompts(Case):
    """What reaches the engines of such prompts, and of sound ones beside them."""

    # Guards against prompts with one part crashing engine after engine.
    async def test_prompts_that_crash_engines_stop_reaching_them(self):
        for path in ("/stream/x", "/resume/x"):
            await self.start_engines()
            for number in range(12):
                await self.ask(path, SHARED, f"doc{number}", POISON)
                await self.ask(path, SHARED, f"doc{number}")
            await asyncio.sleep(1)
            before = self.poisoned_count()
            for number in range(12, 20):
                await self.ask(path, SHARED, f"doc{number}", POISON)
            self.assertLessEqual(self.poisoned_count() - before, 3, path)

    async def test_a_refusal_says_when_a_trial_is_due_and_a_trial_is_sent_once(self):
        await self.start_engines()
        quarantine = self.harness.forwarder.dependencies.quarantine
        for number in range(3):
            await self.ask("/stream/x", SHARED, f"doc{number}", POISON)
            await self.ask("/stream/x", SHARED, f"doc{number}")
            await asyncio.sleep(2 * crashes.SAME_MOMENT_MS / 1_000)
        before = self.poisoned_count()
        got = await self.ask("/stream/x", SHARED, "doc9", POISON)
        self.assertIn(b" 503 ", got.split(b"\r\n")[0])
        wait_s = float(got.lower().split(b"retry-after: ")[1].split(b"\r\n")[0])
        self.assertTrue(290 < wait_s <= 300, wait_s)
        quarantine.held[f"m.{POISON}"].has_trial = True
        for number in range(4):
            await self.ask("/resume/x", SHARED, f"doc{number}", POISON)
        self.assertEqual(self.poisoned_count(), before + 1)

    # Guards against refusing the sound prompts that share other parts with them.
    async def test_sound_prompts_with_the_same_first_part_go_on(self):
        await self.start_engines()
        for number in range(8):
            await self.ask("/stream/x", SHARED, f"doc{number}", POISON)
            got = await self.ask("/stream/x", SHARED, f"doc{number}")
            self.assertIn(b"id: 2", got)
