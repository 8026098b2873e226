"""Admission by room: estimates, order of waiting, and load patterns in virtual time."""

import asyncio
import random
import time
import unittest
from unittest import mock

from cornelreach.gateway import catalogue, roomadmission, roomestimate, roomqueue
from test import virtualloop
from test.gateway import harness as harness_module, roomsimulation

ENGINE = roomsimulation.ENGINE
LONG = roomestimate.Demand(9_390, 1_670, 1)
SHORT = roomestimate.Demand(1_027, 177, 1)


class Estimates(unittest.TestCase):
    """Room at one engine, and the time until there is some."""

    # Guards against memory promised twice, places beyond the slots, and an idle engine
    # that takes nothing.
    def test_room_is_bounded_by_slots_and_by_a_share_of_the_memory_for_each_rank(self):
        urgent = SHORT._replace(rank=0)
        for load, demand, expected in (
            (roomestimate.Load(), LONG._replace(context_tokens=90_000), True),
            (roomestimate.Load(31, 1_000), SHORT, True),
            (roomestimate.Load(32, 1_000), SHORT, False),
            (roomestimate.Load(4, 33_800), SHORT, True),
            (roomestimate.Load(4, 33_900), SHORT, False),
            (roomestimate.Load(4, 33_900), urgent, True),
            (roomestimate.Load(4, 38_000), urgent, False),
        ):
            self.assertEqual(roomestimate.has_room(load, demand, ENGINE), expected)

    # Guards against a Retry-After, or a refusal, that ignores queue, pace or memory.
    def test_the_first_token_comes_after_the_queue_or_after_memory_is_free(self):
        def first_ms(*load):
            load = roomestimate.Load(*load)
            after_ms = roomestimate.room_ms(load, LONG, ENGINE, 1_000.0)
            return roomestimate.first_token_ms(load, LONG, after_ms, 44.2)

        idle_ms = first_ms()
        self.assertAlmostEqual(idle_ms, 1_670 / 44.2 + 10)
        queue_ms = first_ms(2, 18_000, 9_000) - idle_ms
        self.assertAlmostEqual(queue_ms, 9_000 / 44.2)
        self.assertGreater(first_ms(2, 18_000, 9_000, 3.0), 2 * (queue_ms + idle_ms))
        excess = 30_000 + 9_390 - 0.85 * ENGINE.memory_tokens
        self.assertAlmostEqual(first_ms(4, 30_000) - idle_ms, excess / 30)
        self.assertAlmostEqual(first_ms(32, 9_000) - idle_ms, 1_000 / 32)

    # Guards against refusals that take long prompts, which hold most of the memory,
    # for as short as the many short ones.
    def test_long_prompts_count_by_their_memory(self):
        holds = roomestimate.HoldTimes()
        for _ in range(200):
            holds.record("s", 1_000, 200.0)
            holds.record("s", 9_000, 1_200.0)
        self.assertAlmostEqual(holds.mean_ms("s"), 1_100, delta=15)


class Name:
    """What identifies a request."""


class Waiting(unittest.TestCase):
    """The order in which waiting requests are woken."""

    def setUp(self):
        self.load = roomestimate.Load(4, 38_000)
        self.woken = []

    def waiter(self, demand, due_s):
        """Return a place in the queue of the only engine."""
        found = roomqueue.Waiter(demand, ENGINE, "s", due_s)
        found.target_names = ("e",)
        return found

    def play(self, waiters):
        """Let requests wait while the engine is full, then free room for one long."""

        async def wait(queue, name, waiter):
            request = Name()
            queue.enter(request, waiter)
            await queue.wait(request, 60.0)
            if asyncio.get_running_loop().time() < 0.05:
                self.woken.append(name)
            queue.leave(request)

        async def run():
            queue = roomqueue.RoomQueue(
                virtualloop.Clock(loop), random.Random(1), lambda _: self.load
            )
            tasks = [
                asyncio.ensure_future(wait(queue, name, one)) for name, one in waiters
            ]
            await asyncio.sleep(0.002)
            self.load = roomestimate.Load(3, 25_000)
            queue.look()
            self.load = roomestimate.Load(4, 38_000)
            await asyncio.gather(*tasks)
            self.assertEqual(len(queue), 0)

        loop = virtualloop.Loop()
        virtualloop.run(run(), loop)
        return self.woken

    # Guards against urgent requests behind others, against long ones that starve, and
    # against room given to two requests.
    def test_the_most_urgent_are_woken_first_and_only_as_many_as_fit(self):
        urgent = SHORT._replace(rank=0)
        waiters = [
            ("long", self.waiter(LONG, 1.0)),
            ("urgent", self.waiter(urgent, 9.0)),
            ("later long", self.waiter(LONG, 2.0)),
        ]
        self.assertEqual(self.play(waiters), ["urgent"])
        self.woken, self.load = [], roomestimate.Load(4, 38_000)
        self.assertEqual(self.play(waiters[::2]), ["long"])

    # Guards against free room that nobody uses, since the first in the queue waits for
    # its turn, or for a connection.
    def test_only_a_request_that_waits_for_room_holds_up_a_later_one(self):
        async def run():
            load = roomestimate.Load()
            queue = roomqueue.RoomQueue(
                virtualloop.Clock(loop), random.Random(1), lambda _: load
            )
            request, later = Name(), self.waiter(SHORT, 2.0)
            queue.enter(request, self.waiter(SHORT, 1.0))
            self.assertFalse(queue.must_yield(later, {"e": load}))
            waiting = asyncio.ensure_future(queue.wait(request, 60.0))
            await asyncio.sleep(0)
            self.assertTrue(queue.must_yield(later, {"e": load}))
            await waiting

        loop = virtualloop.Loop()
        virtualloop.run(run(), loop)

    # Guards against short requests that wait behind a long one which does not fit.
    def test_a_short_one_is_woken_though_an_earlier_long_one_does_not_fit(self):
        huge = LONG._replace(context_tokens=20_000)
        waiters = [("huge", self.waiter(huge, 1.0)), ("s", self.waiter(SHORT, 2.0))]
        self.assertEqual(self.play(waiters), ["s"])


class Patterns(unittest.TestCase):
    """Loads that the engines cannot serve in time at once."""

    def play(self, rates, **changes):
        """Return the simulation, and its times to the first token by kind."""
        simulation = roomsimulation.Simulation(**changes)
        times = simulation.play(rates)
        return simulation, times

    def check(self, simulation, times, served):
        """Check what holds for each pattern; ``served`` is the least share served."""
        count = sum(map(len, times.values()))
        self.assertLessEqual(simulation.preempted(), 0.01 * count)
        self.assertEqual(simulation.wrongly_refused, 0)
        for kind, found in times.items():
            objective_ms = roomsimulation.ROUTES[kind].objective_ms
            early = [one for one in found if one is not None and one <= objective_ms]
            self.assertGreaterEqual(len(early) / len(found), served[kind], kind)

    # Guards against preempted prompts and late short ones in a burst of long ones.
    def test_a_burst_of_long_prompts_beside_short_ones(self):
        def rates(at_s):
            return {"long": 57 if 2 <= at_s < 6 else 25, "short": 40}

        found = self.play(rates)
        self.check(*found, {"long": 0.5, "short": 0.98})

    # Guards against many instances that all take the same free place, since reports of
    # what others took are late.
    def test_a_burst_while_reports_are_late(self):
        def rates(at_s):
            return {"long": 75 * (2.3 if 2 <= at_s < 6 else 1), "short": 120}

        preempted = []
        for lag_ms in (0.0, 50.0):
            with (
                mock.patch.object(roomsimulation, "LINK_S", 0.02),
                mock.patch.object(roomadmission, "LAG_MS", lag_ms),
            ):
                simulation, _ = self.play(rates, engines=24, instances=24)
            preempted.append(simulation.preempted())
            self.assertEqual(simulation.wrongly_refused, 0)
        self.assertLess(preempted[1], 0.7 * preempted[0])

    # Guards against engines that are overfilled when others have gone.
    def test_a_quarter_of_the_engines_gone(self):
        simulation = roomsimulation.Simulation()
        times = simulation.play(
            lambda _: {"long": 25, "short": 40},
            events=[(2.0, lambda: simulation.remove(simulation.engines[:2]))],
        )
        self.check(simulation, times, {"long": 0.9, "short": 0.98})

    # Guards against an engine filled beyond its memory since its requests stay long.
    def test_one_slow_engine(self):
        found = self.play(lambda _: {"long": 25, "short": 40}, slowness={0: 5.0})
        self.check(*found, {"long": 0.9, "short": 0.98})


class Forwarding(unittest.IsolatedAsyncioTestCase):
    """A caller in front of one engine that others have filled."""

    async def asyncSetUp(self):
        engine = harness_module.Engine("e0", harness_module.answer_ok)
        await engine.start()
        route = harness_module.route(
            "/s/", "s", catalogue.Kind.IDEMPOTENT, objective_ms=300
        )
        service = harness_module.plain_service("s", engine=ENGINE)
        found = harness_module.make_catalogue([route], [service])
        self.harness = harness_module.Harness(found, [engine], "s")
        selector = self.harness.selector
        selector.room = roomadmission.RoomAdmission(
            self.harness.mirror,
            selector.balancer,
            self.harness.clock,
            random.Random(1),
            self.harness.metrics,
        )
        self.state = self.harness.mirror.registry.state("e0")
        self.state.in_flight, self.state.in_flight_tokens = 32, 40_000
        await self.harness.start()
        self.addAsyncCleanup(self.harness.stop)

    async def send(self):
        """Send a prompt; return its status, its head and how long that took."""
        start_s = time.monotonic()
        status, answer = await self.harness.send(
            "/s/x", x_cornelreach_model="m", x_cornelreach_token_counts="800,200"
        )
        return status, answer.lower(), time.monotonic() - start_s

    # Guards against a caller that waits in vain, or is told nothing of when to return.
    async def test_a_prompt_without_room_is_refused_with_a_time_to_return(self):
        status, head, took_s = await self.send()
        self.assertEqual(status, 503)
        self.assertIn(b"retry-after: ", head)
        self.assertGreater(took_s, 0.25)
        self.harness.selector.room.holds.record("s", 1_000, 60_000)
        status, head, took_s = await self.send()
        self.assertEqual((status, self.harness.engines[0].requests), (503, []))
        self.assertLess(took_s, 0.2)
        self.assertEqual(len(self.harness.selector.room.queue), 0)

    # Guards against prompts sent to an engine that has fallen silent, and against a
    # sound one that is avoided after its next byte.
    async def test_a_quiet_engine_gets_nothing_until_a_byte_comes(self):
        second = harness_module.Engine("e1", harness_module.answer_ok)
        await second.start()
        self.harness.engines.append(second)
        self.harness.register(second, "s")
        now_ms = self.harness.clock.now_ms()
        self.state.in_flight = self.state.in_flight_tokens = 0
        self.harness.mirror.registry.state("e1").in_flight = 20
        self.state.awaited[0], self.state.heard_ms = now_ms, now_ms - 500
        self.assertEqual((await self.send())[0], 200)
        self.state.heard_ms = self.harness.clock.now_ms()
        self.assertEqual((await self.send())[0], 200)
        counts = [len(one.requests) for one in self.harness.engines]
        self.assertEqual(counts, [1, 1])

    # Guards against an engine that counts as quiet for answers that have come.
    async def test_no_answer_is_awaited_after_the_requests_have_ended(self):
        self.state.in_flight = self.state.in_flight_tokens = 0
        self.assertEqual((await self.send())[0], 200)
        self.assertEqual(self.state.awaited, {})

    # Guards against a prompt that waits on though there is room.
    async def test_a_prompt_begins_when_there_is_room(self):
        call = asyncio.ensure_future(self.send())
        await asyncio.sleep(0.1)
        self.state.in_flight = 31
        self.state.in_flight_tokens = 20_000
        status, _, took_s = await call
        self.assertEqual(status, 200)
        self.assertLess(took_s, 0.25)
