"""Engines that fall over when they turn too many requests away (bursts)."""

import random
import unittest

from cornelreach.gateway import (
    balancer,
    calls,
    catalogue,
    mirror as mirror_module,
    promptindex,
    quotas,
    registry as registry_module,
    requeststate,
    selection,
    targetlimits,
)
from cornelreach.http import messages
from cornelreach.platform import headers
from test.gateway import harness as harness_module
from tools import hub_fleet

BEARS = 5
SLOTS = 6
QUEUE = 1
RUN_MS = 200.0
CONTACT_S = 3  # engines say that they are brittle for so long before
FALLEN_MS = 3_000.0
HALF_TRIP_MS = 1.0
# Instances, engines, and how many times what the engines can do.
BURSTS = ((7, 3, 1.5), (7, 3, 6.0), (8, 6, 3.0), (63, 30, 2.0))
ROUTE = harness_module.route("/once/", "s", catalogue.Kind.AT_MOST_ONCE)


class FreeConnections:
    """A client of which each target takes any number of connections."""

    def open_connections(self, address):
        return 0

    def has_idle_connection(self, address, request_id=""):
        return True


class Engine:
    """An engine with places and a short queue, which is brittle throughout."""

    def __init__(self, name):
        self.name = name
        self.running = self.waiting = self.falls = self.served = 0
        self.fallen_until_ms = 0.0
        self.turned_away_ms = []

    def take(self, world, done):
        """Take a request, or turn it away; ``done`` gets the answer."""
        now_ms = world.fleet.clock.now_ms()
        if now_ms < self.fallen_until_ms:
            done(None)
        elif self.running < SLOTS:
            self.running += 1
            world.fleet.call_after(RUN_MS, lambda: self._end(world, done, now_ms))
        elif self.waiting < QUEUE:
            self.waiting += 1
            world.fleet.call_after(RUN_MS / SLOTS, lambda: self._again(world, done))
        else:
            self._turn_away(now_ms)
            done(self._reply(503, not_run=True))

    def _again(self, world, done):
        self.waiting -= 1
        self.take(world, done)

    def _turn_away(self, now_ms):
        recent = [one for one in self.turned_away_ms if one > now_ms - 1_000]
        self.turned_away_ms = [*recent, now_ms]
        if len(self.turned_away_ms) > BEARS:
            self.falls += 1
            self.fallen_until_ms = now_ms + FALLEN_MS
            self.turned_away_ms = []

    def _end(self, world, done, begun_ms):
        self.running -= 1
        fell = self.fallen_until_ms - FALLEN_MS > begun_ms
        self.served += not fell
        done(None if fell else self._reply(200))

    def _reply(self, status, not_run=False):
        load = calls.Load(self.running, self.waiting, SLOTS)
        return calls.Reply(status, "id", True, not_run, False, load, None, bears=BEARS)


class World:
    """Instances with their selectors in front of brittle engines, in virtual time."""

    def __init__(self, instances, engines, seed=1, engine=None):
        self.fleet = hub_fleet.HubFleet(instances, targets=0, seed=seed)
        self.random = random.Random(seed)
        self.engines = {f"e{n}": Engine(f"e{n}") for n in range(engines)}
        self.refused = self.lost = self.turned_away = 0
        service = harness_module.plain_service("s", engine=engine)
        found = harness_module.make_catalogue([ROUTE], [service])
        self.selectors = {}
        for name, gossip in self.fleet.instances.items():
            mirror = mirror_module.Mirror(name, 5_000, True)
            mirror.registry = gossip.registry
            mirror.apply_catalogue(found)
            mirror.fleet = quotas.Fleet(name, tuple(self.fleet.instances))
            for one in self.engines:
                mirror.registry.put(
                    registry_module.Target(
                        one, "s", "127.0.0.1:9", "north", SLOTS, False, {}, 1
                    ),
                    0,
                    self.fleet.clock.now_ms(),
                )
            self.selectors[name] = selection.Selector(
                mirror,
                balancer.Balancer(mirror.registry, gossip, gossip.zone, self.random),
                promptindex.PromptIndex(),
                FreeConnections(),
                harness_module.BOUNDS,
                {},
                self.fleet.clock,
                targetlimits.TargetLimits(gossip, mirror, self.fleet.clock),
            )

    def play(self, per_s, seconds):
        """Let requests come to random instances, and count what becomes of them."""
        names = list(self.selectors)
        at_ms = 0.0
        while at_ms < seconds * 1_000:
            name = self.random.choice(names)
            self.fleet.call_after(at_ms, lambda name=name: self._send(name))
            at_ms += self.random.expovariate(per_s) * 1_000
        self.fleet.run(seconds * 1_000 + 2_000)

    def _send(self, name, request=None, spent_ms=0.0):
        if request is None:
            call = calls.Call("id", 2_000, None, "", 0, 0, (), None)
            sent = messages.Request("POST", "/once/", {}, (), b"", b"/once/", 0.0)
            request = requeststate.RequestState(sent, call, ROUTE, None, "s", 0.015)
        selector = self.selectors[name]
        chosen = selector.choose(request, spent_ms)
        if isinstance(chosen, selection.Wait):
            later_ms = spent_ms + chosen.wait_ms
            if later_ms <= chosen.max_ms:
                self.fleet.call_after(
                    chosen.wait_ms, lambda: self._send(name, request, later_ms)
                )
                return
        if not isinstance(chosen, selection.Choice):
            self.refused += 1
            return
        chosen.acquire()
        selector.announce(chosen)
        chosen.record_send()

        def done(reply):
            chosen.release()
            self._end(name, request, chosen, reply)

        engine = self.engines[chosen.target.id]
        self.fleet.call_after(HALF_TRIP_MS, lambda: engine.take(self, done))

    def _end(self, name, request, chosen, reply):
        selector = self.selectors[name]
        if reply is None:
            self.lost += 1
            now_ms = self.fleet.clock.now_ms()
            selector.mirror.registry.eject(chosen.target.id, "lost", now_ms)
            selector.mirror.registry.restore(chosen.target.id, 0, now_ms)
            return
        selector.record_reply(chosen, reply)
        if reply.not_run:
            self.turned_away += 1
            outcome = requeststate.NotRun("full")
            request.record_outcome(chosen.target.id, outcome)
            selector.record_failure(chosen, outcome)
            self._send(name, request)

    def falls(self):
        """Return how often engines fell over."""
        return sum(one.falls for one in self.engines.values())

    def served(self):
        """Return how many requests were answered."""
        return sum(one.served for one in self.engines.values())


class Bursts(unittest.TestCase):
    """Several times the requests that the engines have places for."""

    def check(self, instances, engines, times, seed=1):
        """Play a burst, and return how much of the engines' capacity was used."""
        world = World(instances, engines, seed)
        capacity_per_s = engines * SLOTS / RUN_MS * 1_000
        seconds = 4
        world.play(capacity_per_s * 0.3, CONTACT_S)
        before = world.served(), world.falls()
        world.play(capacity_per_s * times, seconds)
        falls = world.falls() - before[1]
        detail = (instances, engines, times, world.turned_away)
        self.assertLessEqual(falls, 2 + engines / 10, detail)
        return (world.served() - before[0]) / (capacity_per_s * seconds)

    # Guards against engines that say that they are brittle and fall over in a burst.
    def test_brittle_engines_stay_up_in_bursts(self):
        for instances, engines, times in BURSTS:
            with self.subTest(instances=instances, engines=engines, times=times):
                self.check(instances, engines, times)

    # Guards against refusing callers of brittle engines that have room.
    def test_brittle_engines_are_used(self):
        self.assertGreater(self.check(7, 3, 3.0), 0.7)
        world = World(7, 3)
        world.play(3 * SLOTS / RUN_MS * 1_000 * 0.4, 6)
        self.assertEqual(world.falls(), 0)
        self.assertLess(world.refused, 0.01 * world.served())


class Answers(unittest.TestCase):
    """What answers say."""

    def setUp(self):
        self.world = World(2, 2)
        self.selector = self.world.selectors["i0"]
        self.targets = self.selector.mirror.registry.targets

    def answer(self, name, **fields):
        """Follow an answer of an engine."""
        lines = tuple((key.encode(), value.encode()) for key, value in fields.items())
        reply = headers.read_reply(200, lines)
        self.selector.brittleness.record_reply(self.targets[name], reply)

    def bears(self, name):
        """Return what an engine bears, as the instance knows."""
        now_ms = self.world.fleet.clock.now_ms()
        return self.selector.brittleness.bears(self.targets[name], now_ms)

    # Guards against learning of a brittle service from each of its engines only.
    def test_one_engine_stands_for_its_service_until_the_others_answer(self):
        self.answer("e0", **{"server-brittle": "4"})
        self.assertEqual((self.bears("e0"), self.bears("e1")), (4, 4))
        self.world.fleet.run(10)
        self.answer("e1")
        self.assertEqual((self.bears("e0"), self.bears("e1")), (4, None))
        self.world.fleet.run(10)
        self.answer("e0")
        self.assertIsNone(self.bears("e0"))

    def test_what_is_no_number_is_ignored(self):
        for text in ("", "-1", "many", "1e9", "²"):
            self.answer("e0", **{"server-brittle": text})
            self.assertIsNone(self.bears("e0"), text)

    def test_callers_do_not_get_the_header(self):
        fields = ((b"server-brittle", b"4"), (b"x-other", b"1"))
        self.assertEqual(headers.response_headers(fields), ((b"x-other", b"1"),))
