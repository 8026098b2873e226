"""Requests that crash each target that begins to run them, and that come again."""

import asyncio
import itertools

import loguru

from cornelreach.gateway import catalogue, hubs, mirror, quarantinesync, requestlog
from test.gateway import harness as harness_module, test_forwarding
from test.platform import objects

Kind = catalogue.Kind
POISON = b"poison"
SLOW = b"slow"  # the first bytes of sound requests that take longer
RUN_S = 0.02
PAUSE_S = 0.12


class CrashingEngine(harness_module.Engine):
    """A target that takes all its connections along when it crashes."""

    def __init__(self, name):
        super().__init__(name, self.run)
        self.writers = set()
        self.crash_count = 0
        self.may_end = asyncio.Event()
        self.may_end.set()

    async def serve(self, reader, writer):
        """Answer the requests of one connection until the next crash."""
        self.writers.add(writer)
        await super().serve(reader, writer)
        self.writers.discard(writer)

    async def run(self, engine, head, body, writer):
        """Answer; crash while the poisonous request runs."""
        await asyncio.sleep(RUN_S * (4 if body.startswith(SLOW) else 1))
        await self.may_end.wait()
        if body != POISON:
            writer.write(self.answer(head))
            return True
        self.crash_count += 1
        for one in list(self.writers):
            one.transport.abort()
        return False


class Case(test_forwarding.Case):
    """Instances that hear each other, before targets that crash."""

    async def start_fleet(self, instances=3, engines=4):
        """Start targets, and instances with a route of each kind without prompts."""
        self.numbers = itertools.count()
        self.engines = [CrashingEngine(f"e{number}") for number in range(engines)]
        for engine in self.engines:
            await engine.start()
        self.instances = [
            await self.start_instance(f"i{number}") for number in range(instances)
        ]
        for one, other in itertools.permutations(self.instances, 2):
            address = other.gossip.address()
            one.gossip.members[other.gossip.name] = hubs.Member(*address, "lj", 1.0)

    async def start_instance(self, name):
        """Start one instance, whose quarantine is in no store."""
        routes = [
            harness_module.route("/safe/", "s", Kind.IDEMPOTENT),
            harness_module.route("/once/", "s", Kind.AT_MOST_ONCE),
        ]
        service = harness_module.plain_service("s")
        found = harness_module.make_catalogue(routes, [service])
        harness = harness_module.Harness(found, self.engines, "s", name)
        quarantine = harness.forwarder.dependencies.quarantine
        sync = quarantinesync.QuarantineSync(
            quarantine,
            harness.gossip,
            objects.FakeObjectStore(),
            mirror.Mirror(name, 5_000, True),
            harness.clock,
        )
        self.addCleanup(sync.close)
        await harness.gossip.listen("127.0.0.1", 0)
        reports = asyncio.ensure_future(harness.gossip.run())
        self.addCleanup(reports.cancel)
        await harness.start()
        self.addAsyncCleanup(harness.stop)
        return harness

    async def ask(self, harness, path="/safe/x", body=POISON, **fields):
        """Send one attempt of a client to an instance; return status and response."""
        number = next(self.numbers)
        fields.setdefault("x_cornelreach_request_id", f"id-{number}")
        return await harness.send(path, body=body, **fields)

    async def repeat(self, times, **fields):
        """Send a request again and again, to one instance after the other."""
        answers = []
        for number in range(times):
            harness = self.instances[number % len(self.instances)]
            answers.append(await self.ask(harness, **fields))
            await asyncio.sleep(PAUSE_S)
            self.restart_engines()
        return answers

    def restart_engines(self):
        """Register all targets in another lifetime: those that crashed are back."""
        born_ms = next(self.numbers) + 2
        for harness in self.instances:
            for engine in self.engines:
                harness.register(engine, "s", born_ms=born_ms)

    def crash_count(self):
        """Return how often targets have crashed."""
        return sum(engine.crash_count for engine in self.engines)


class RepeatedCrashes(Case):
    """What reaches the targets of such requests, and of sound ones beside them."""

    # Guards against one request that its client repeats crashing target after target.
    async def test_a_request_that_crashes_targets_stops_reaching_them(self):
        for path in ("/safe/x", "/once/x"):
            await self.start_fleet()
            await self.repeat(3, path=path)
            await asyncio.sleep(1)
            before = self.crash_count()
            self.assertGreaterEqual(before, 3)
            answers = await self.repeat(8, path=path)
            self.assertLessEqual(self.crash_count() - before, 3, path)
            self.assertEqual(answers[-1][0], 503)
            self.assertIn(b"retry-after", answers[-1][1].lower())

    # Guards against refusing sound requests that were lost in the same crashes.
    async def test_sound_requests_lost_with_it_are_still_sent(self):
        await self.start_fleet()
        for harness in self.instances * 3:
            sound = [self.ask(one, body=b"sound") for one in self.instances]
            await asyncio.gather(*sound, self.ask(harness))
            self.restart_engines()
        await asyncio.sleep(1)
        for harness in self.instances:
            self.assertEqual((await self.ask(harness))[0], 503)
            self.assertEqual((await self.ask(harness, body=b"sound"))[0], 200)

    # Guards against refusing sound requests together with the one that crashes the last
    # target, as each crash takes all of them along.
    async def test_sound_requests_at_the_last_target_are_told_apart(self):
        await self.start_fleet(instances=1, engines=1)
        (harness,) = self.instances
        sound = [SLOW + str(number).encode() for number in range(4)]
        for _ in range(8):
            await asyncio.gather(
                *(self.ask(harness, "/once/x", one) for one in (*sound, POISON))
            )
            await asyncio.sleep(PAUSE_S)
            self.restart_engines()
        await asyncio.sleep(1)
        self.assertEqual((await self.ask(harness, "/once/x"))[0], 503)
        for one in sound:
            status, _ = await self.ask(harness, "/once/x", one)
            self.assertEqual(status, 200)

    # Guards against a second attempt that takes one more target down.
    async def test_a_request_of_three_crashes_gets_no_further_attempt(self):
        await self.start_fleet()
        await self.repeat(1)
        await asyncio.sleep(2 * PAUSE_S)
        self.assertEqual(self.crash_count(), 2)
        status, _ = await self.ask(self.instances[1])
        self.assertEqual((status, self.crash_count()), (502, 3))

    # Guards against a promise of "not run" for a request that may have run.
    async def test_a_request_quarantined_while_it_runs_is_not_refused(self):
        await self.start_fleet(instances=1)
        quarantine = self.instances[0].forwarder.dependencies.quarantine
        await self.ask(self.instances[0])
        (name,) = quarantine.crash_log._by_part
        self.restart_engines()
        before, arrivals = self.crash_count(), self.request_count()
        for engine in self.engines:
            engine.may_end.clear()
        running = asyncio.ensure_future(self.ask(self.instances[0]))
        while self.request_count() == arrivals:
            await asyncio.sleep(0.001)
        quarantine.apply_entry(name, 7, 0)
        for engine in self.engines:
            engine.may_end.set()
        status, _ = await running
        self.assertEqual((status, self.crash_count()), (502, before + 1))


class Log(Case):
    """What the log says of a lost request."""

    # Guards against logs that cannot tell a repeated request from others of its route.
    async def test_repetitions_of_a_lost_request_have_one_name(self):
        await self.start_fleet(instances=1, engines=2)
        names = []

        def collect(message):
            extra = message.record["extra"]
            if extra.get("event") == requestlog.ATTEMPT_ENDED.number:
                names[-1].add(extra["request"])

        sink = loguru.logger.add(collect)
        self.addCleanup(loguru.logger.remove, sink)
        changes = [{}, {"x_cornelreach_deadline_ms": "1500"}, {"path": "/safe/y"}]
        for fields in (*changes, {"method": "PUT"}, {"x_cornelreach_model": "m"}):
            names.append(set())
            await self.ask(self.instances[0], **fields)
        self.assertEqual([len(one) for one in names], [1] * 5)
        self.assertEqual(names[0], names[1])
        self.assertEqual(len(set.union(*names)), 4)
