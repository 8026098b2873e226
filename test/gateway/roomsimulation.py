"""Instances in front of engines under heavy load, in virtual time without a network.

Engines prefill one prompt at a time and generate for all others. One that is promised
more than its memory preempts, which is only counted here.
"""

import asyncio
import random

from cornelreach.gateway import (
    balancer,
    calls,
    catalogue,
    datagrams,
    gossip,
    mirror,
    promptindex,
    quotas,
    registry,
    requeststate,
    roomadmission,
    selection,
    targetlimits,
)
from cornelreach.http import messages
from cornelreach.reports import metrics
from test import virtualloop
from test.gateway import harness

RATE, STEP_MS, OUTPUT = 44.2, 3.4, 200
LINK_S = 0.001
ENGINE = catalogue.Engine(32, 41_006, ("m",))
SHARED = {"long": 7_520, "short": 650}
OWN = {"long": 1_670, "short": 177}
ROUTES = {
    name: harness.route(
        f"/{name}/",
        "s",
        catalogue.Kind.STREAM,
        objective_ms=objective_ms,
        priority=priority,
    )
    for name, objective_ms, priority in (("long", 1_235, 1), ("short", 415, 0))
}


class NoConnections:
    """A client whose connections never run out."""

    def open_connections(self, address):
        return 0


class Engine:
    """What an engine holds, and until when it prefills."""

    def __init__(self, name, slowness=1.0):
        self.name = name
        self.slowness = slowness
        self.free_s = 0.0
        self.context = 0
        self.preempted = 0

    async def prefill(self, tokens):
        """Take a prompt and wait for its first token."""
        now_s = asyncio.get_running_loop().time()
        run_s = tokens / RATE * self.slowness / 1_000
        self.free_s = max(now_s, self.free_s) + run_s
        await asyncio.sleep(self.free_s - now_s)


class Instance:
    """One instance; the simulation delivers its reports to the others."""

    def __init__(self, simulation, name, is_on):
        self.simulation = simulation
        self.clock = simulation.clock
        self.mirror = mirror.Mirror(name, 5_000, True)
        service = harness.plain_service("s", engine=ENGINE)
        self.mirror.apply_catalogue(harness.make_catalogue(ROUTES.values(), [service]))
        self.mirror.fleet = quotas.Fleet(name, simulation.names)
        self.gossip = gossip.Gossip(name, "b", self.mirror.registry, self.clock, "lj")
        self.gossip.announce = lambda: simulation.deliver(self)
        self.balancer = balancer.Balancer(
            self.mirror.registry, self.gossip, "lj", simulation.random
        )
        self.selector = selection.Selector(
            self.mirror,
            self.balancer,
            promptindex.PromptIndex(),
            NoConnections(),
            harness.BOUNDS,
            {},
            self.clock,
            targetlimits.TargetLimits(self.gossip, self.mirror, self.clock),
        )
        self.metrics = metrics.Metrics()
        if is_on:
            self.selector.room = roomadmission.RoomAdmission(
                self.mirror, self.balancer, self.clock, simulation.random, self.metrics
            )
        for engine in simulation.engines:
            self.mirror.registry.put(
                registry.Target(
                    engine.name, "s", "127.0.0.1:9", "lj", 32, False, {}, 1
                ),
                0,
                0,
            )

    async def choose(self, request_state):
        """Return the choice of an engine, or the refusal."""
        loop = asyncio.get_running_loop()
        while request_state.may_attempt(loop.time()):
            spent_ms = (loop.time() - request_state.request.received_s) * 1_000
            found = self.selector.choose(request_state, spent_ms)
            if not isinstance(found, roomadmission.RoomWait):
                return found
            await found.queue.wait(request_state, found.wait_ms)
        return None

    async def send(self, kind, number):
        """Send a prompt; returns the time to its first token, or None if refused."""
        loop = asyncio.get_running_loop()
        shared = f"{kind}-{self.simulation.random.randrange(8)}"
        parts = (
            calls.Part(shared, SHARED[kind]),
            calls.Part(f"own-{number}", OWN[kind]),
        )
        tokens = SHARED[kind] + OWN[kind]
        call = calls.Call(f"{number}", 4_000, None, "m", tokens, OUTPUT, parts, None)
        request = messages.Request("POST", "/", {}, (), b"", b"/", loop.time())
        state = requeststate.RequestState(request, call, ROUTES[kind], None, "s", 0.015)
        chosen = await self.choose(state)
        self.selector.stop_waiting(state)
        if not isinstance(chosen, selection.Choice):
            self.simulation.refused(self, state)
            return None
        engine = self.simulation.by_name[chosen.target.id]
        unread = chosen.prefill_tokens
        chosen.acquire()
        self.selector.announce(chosen)
        chosen.record_send()
        engine.context += chosen.tokens
        if engine.context > ENGINE.memory_tokens:
            engine.preempted += 1
        await engine.prefill(unread)
        first_ms = (loop.time() - request.received_s) * 1_000
        self.selector.record_reply(
            chosen, calls.Reply(200, "id", True, False, False, None, None)
        )
        await asyncio.sleep(OUTPUT * STEP_MS * engine.slowness / 1_000)
        engine.context -= chosen.tokens
        chosen.release()
        self.gossip.announce()
        return first_ms


class Simulation:
    """Engines, instances, and what became of the requests."""

    def __init__(self, is_on=True, engines=8, slowness=None, seed=1, instances=4):
        self.loop = virtualloop.Loop()
        self.clock = virtualloop.Clock(self.loop)
        self.random = random.Random(seed)
        slowness = slowness or {}
        self.engines = [
            Engine(f"e{one}", slowness.get(one, 1.0)) for one in range(engines)
        ]
        self.by_name = {one.name: one for one in self.engines}
        self.names = tuple(f"i{one}" for one in range(instances))
        self.instances = [Instance(self, name, is_on) for name in self.names]
        self.wrongly_refused = 0
        self.sequence = 0

    def deliver(self, sender):
        """Bring the loads of an instance to the others, a little later."""
        self.sequence += 1
        report = datagrams.LoadReport(
            sender.mirror.fleet.name, "b", self.sequence, sender.gossip._own_loads()
        )
        for one in self.instances:
            if one is not sender:
                self.loop.call_later(LINK_S, one.gossip.apply_report, report)

    def refused(self, instance, request_state):
        """Count a refusal while an engine has room and nothing to prefill."""
        tokens = request_state.call.context_tokens
        for name in instance.mirror.registry.targets:
            load = instance.selector.room.load(name)
            limit = 0.85 * ENGINE.memory_tokens
            if load.requests < ENGINE.slots and not load.prefill_tokens:
                self.wrongly_refused += load.context_tokens + tokens <= limit

    def remove(self, engines):
        """Let engines go dark: the instances have found that they are gone."""
        for instance in self.instances:
            for engine in engines:
                instance.mirror.registry.drop(engine.name, self.clock.now_ms())

    def play(self, rates, duration_s=8.0, events=()):
        """Send prompts at rates that depend on the time; returns the times by kind."""
        return virtualloop.run(self._play(rates, duration_s, events), self.loop)

    async def _play(self, rates, duration_s, events):
        for at_s, event in events:
            self.loop.call_later(at_s, event)
        tasks = {kind: [] for kind in SHARED}
        for number in range(int(duration_s * 1_000)):
            for kind, per_s in rates(self.loop.time()).items():
                if self.random.random() < per_s / 1_000:
                    sender = self.random.choice(self.instances)
                    task = asyncio.ensure_future(sender.send(kind, number))
                    tasks[kind].append(task)
            await asyncio.sleep(0.001)
        return {kind: await asyncio.gather(*found) for kind, found in tasks.items()}

    def preempted(self):
        """Return how many prompts were sent to an engine without memory for them."""
        return sum(one.preempted for one in self.engines)
