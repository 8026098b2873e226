"""A fleet in virtual time with a shared store, targets of two versions, and requests.

Instances have the real registry, selector, gossip and watcher of orders; the store, the
network between instances, and the targets are stand-ins::

    fleet = Fleet(7, bad=Bad(failure_share=0.5))
    fleet.run(16_000)
    fleet.state()  # "reverted"
"""

import asyncio
import random
import types
import typing

from returns import result

from cornelreach.gateway import (
    balancer,
    calls,
    catalogue,
    gossip as gossip_module,
    hubs,
    mirror as mirror_module,
    promptindex,
    quotas,
    recordhandlers,
    registry,
    releaserules,
    releases,
    requeststate,
    selection,
    targetlimits,
    watching,
)
from cornelreach.http import messages
from cornelreach.platform import results
from cornelreach.reports import metrics
from test import virtualloop
from test.gateway import harness
from test.platform import objects

SERVICE, OLD, NEW = "s", "1.0", "2.0"
KEY = f"rollouts/{SERVICE}"
TARGETS_MS = 300  # after the order, as the page says
TARGET_COUNT = 8
STORE_MS = 5
DATAGRAM_MS = 1
RESPONSE_MS = 40
POLL_MS = 10.0


class Bad(typing.NamedTuple):
    """How the new version is bad, from a time after the order on, on some routes."""

    failure_share: float = 0.0
    slowdown: float = 1.0
    from_ms: float = 0.0
    routes: tuple[str, ...] = ()


class Store(objects.FakeObjectStore):
    """A store with latency that may be away for all or for some instances."""

    def __init__(self):
        super().__init__()
        self.away = False
        self.lose_answers = False
        self.status_writes = []

    async def _call(self, call, *arguments):
        await asyncio.sleep(STORE_MS / 1_000)
        if self.away:
            return result.Failure(results.Unavailable("away"))
        return await call(*arguments)

    async def put_status(self, key, status, if_version):
        outcome = await self._call(super().put_status, key, status, if_version)
        if self.away:
            return outcome
        self.status_writes.append((status["state"], type(outcome).__name__))
        unknown = result.Failure(results.OutcomeUnknown(key, "lost"))
        return unknown if self.lose_answers else outcome

    async def get(self, key):
        return await self._call(super().get, key)

    async def list(self, prefix, after=""):
        return await self._call(super().list, prefix, after)

    async def watch(self, prefix, since, wait_ms, margin_ms=0):
        loop = asyncio.get_running_loop()
        due_s = loop.time() + wait_ms / 1_000
        while True:
            await asyncio.sleep(STORE_MS / 1_000)
            if self.away:
                return result.Failure(results.Unavailable("away"))
            found = self.store.changes(prefix, since)
            if not isinstance(found, result.Success) or found.unwrap().records:
                return found
            if loop.time() >= due_s:
                return found


class Transport:
    """The datagram transport of one instance."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name

    def sendto(self, data, address):
        """Send a datagram to the instance with an address."""
        self.fleet.transmit(self.name, address[0], data)


class Instance:
    """One instance, from selection to the watcher of orders."""

    def __init__(self, fleet, name, boot="b"):
        self.fleet = fleet
        self.name = name
        clock = fleet.clock
        self.mirror = mirror_module.Mirror(name, 5_000, False)
        self.mirror.synced = set(mirror_module.REQUIRED)
        self.mirror.apply_catalogue(fleet.catalogue)
        self.mirror.fleet = quotas.Fleet(name, tuple(fleet.names))
        self.registry = self.mirror.registry
        self.gossip = gossip_module.Gossip(name, boot, self.registry, clock, "z")
        self.gossip.members.update(
            {one: hubs.Member(one, 1, "z") for one in fleet.names}
        )
        self.gossip._transport = Transport(fleet, name)
        self.balancer = balancer.Balancer(
            self.registry, self.gossip, "z", random.Random(name)
        )
        http = types.SimpleNamespace(open_connections=lambda address: 0)
        self.selector = selection.Selector(
            self.mirror,
            self.balancer,
            promptindex.PromptIndex(),
            http,
            harness.BOUNDS,
            {},
            clock,
            targetlimits.TargetLimits(self.gossip, self.mirror, clock),
        )
        self.selector.confirm_first_start()
        self.metrics = metrics.Metrics()
        self.is_cut_off = False
        environment = releaserules.Environment(
            self.mirror,
            self.balancer.prefill_rates,
            self.metrics,
            clock,
            lambda: self.is_cut_off,
            lambda target: self.gossip.peer_load(target).prefill_tokens,
        )
        self.releases = releases.Releases(
            self.gossip, fleet.store, environment, harness.BOUNDS
        )
        self.selector.rules = self.releases.rules
        self.handler = recordhandlers.ReleaseHandler(self.mirror, clock, self.releases)
        self.watcher = watching.Watcher(
            fleet.store,
            self.handler,
            watching.Timing(5_000, 5_000),
            clock,
            random.Random(name),
        )
        self.releases.read_now = self.watcher.read_now
        self.watcher.on_outage = self.releases.record_outage
        self.tasks = []

    def start(self):
        """List the targets and begin to watch."""
        now_ms = self.fleet.clock.now_ms()
        for target in self.fleet.targets.values():
            self.registry.put(target, 0, now_ms)
        self.registry.replace(set(self.fleet.targets), now_ms)
        for run in (self.watcher.run, self._tick):
            self.tasks.append(asyncio.ensure_future(run()))

    async def _tick(self):
        while True:
            await asyncio.sleep(releases.TICK_MS / 1_000)
            self.releases.tick()

    def stop(self):
        """End all tasks."""
        for task in self.tasks:
            task.cancel()
        self.releases.close()

    @property
    def release(self):
        """Return the order that the instance knows."""
        return self.releases.release(SERVICE)


class Fleet:
    """Instances, targets and requests; ``sent`` has what reached the new version."""

    def __init__(self, size=5, bad=None, per_s=200, duration_s=12.0, seed=1):
        self.loop = virtualloop.Loop()
        self.clock = virtualloop.Clock(self.loop)
        self.loop.virtual_s = 100.0
        self.random = random.Random(seed)
        self.bad = bad
        self.per_s = per_s
        self.duration_s = duration_s
        self.store = Store()
        self.names = [f"i{number}" for number in range(size)]
        self.routes = [
            harness.route("/a/", SERVICE, catalogue.Kind.IDEMPOTENT),
            harness.route("/b/", SERVICE, catalogue.Kind.AT_MOST_ONCE),
        ]
        self.catalogue = harness.make_catalogue(
            self.routes, [harness.plain_service(SERVICE)]
        )
        self.targets = {}
        for number in range(TARGET_COUNT):
            self.add_target(f"old{number}", OLD)
        self.instances = {}
        self.loss = 0.0
        self.cut = set()  # instances that no datagram reaches or leaves
        self.requests = 0
        self.sent = []
        self.outcomes = []
        self.ordered_ms = None
        self._background = []

    def add_target(self, name, software, born_ms=1):
        """List a target."""
        target = registry.Target(
            name, SERVICE, "127.0.0.1:9", "z", 8, False, {}, born_ms, software
        )
        self.targets[name] = target
        return target

    # Events.

    def order(self, target=NEW):
        """Order a rollout, whose targets start a little later."""
        self.ordered_ms = self.clock.now_ms()
        value = {"service": SERVICE, "target": target, "duration_s": self.duration_s}
        self.store.store.create(KEY, value)
        self.loop.call_later(TARGETS_MS / 1_000, self.start_targets, target)

    def start_targets(self, software):
        """Start the targets of a version, and list them everywhere."""
        born_ms = round(self.clock.wall_ms())
        for number in range(TARGET_COUNT):
            target = self.add_target(f"new{number}", software, born_ms)
            for one in self.instances.values():
                one.registry.put(target, 0, self.clock.now_ms())

    def transmit(self, sender, receiver, data):
        """Deliver a datagram after a delay, unless it is lost."""
        if {sender, receiver} & self.cut or self.random.random() < self.loss:
            return
        self.loop.call_later(DATAGRAM_MS / 1_000, self._deliver, receiver, data)

    def _deliver(self, receiver, data):
        if receiver in self.instances:
            self.instances[receiver].gossip.datagram_received(data, ("h", 1))

    # Requests.

    async def _callers(self):
        number = 0
        while True:
            await asyncio.sleep(self.random.expovariate(self.per_s))
            number += 1
            route = self.random.choice(self.routes)
            names = sorted(self.instances)
            one = self.instances[self.random.choice(names)]
            self._background.append(
                asyncio.ensure_future(self._request(one, route, f"id{number}"))
            )

    async def _request(self, one, route, request_id):
        call = calls.Call(request_id, 2_000, None, "", 0, 0, (), None)
        request = messages.Request("POST", route.prefix, {}, (), b"", b"/", 0.0)
        state = requeststate.RequestState(request, call, route, None, SERVICE, 0.0)
        self.requests += 1
        while len(state.tries) < 3:
            found = one.selector.choose(state)
            if isinstance(found, selection.Wait):
                await asyncio.sleep(found.wait_ms / 1_000)
                continue
            if not isinstance(found, selection.Choice):
                self.outcomes.append((self.age_ms(), "refused"))
                return
            if await self._attempt(one, state, found):
                return
            if not route.repeatable:
                break
        self.outcomes.append((self.age_ms(), "failed"))

    async def _attempt(self, one, state, chosen):
        """Make one attempt; return whether it was answered."""
        chosen.acquire()
        chosen.record_send()
        one.selector.record_sent(state, chosen)
        state.times_sent += 1
        is_new = chosen.target.software == NEW
        is_failure, slowdown = self._fate(state.route, is_new)
        if is_new:
            self.sent.append((self.age_ms(), is_failure or slowdown > 1))
        wait_ms = RESPONSE_MS * self.random.uniform(0.7, 1.5) * slowdown
        await asyncio.sleep(wait_ms / 1_000)
        if is_failure:
            outcome = requeststate.Failure(messages.Response(500))
            if chosen.counted_attempt is not None:
                chosen.counted_attempt.record_failure(outcome)
        else:
            outcome = requeststate.Answered(messages.Response(200))
            chosen.record_event()
            self.outcomes.append((self.age_ms(), "answered"))
        chosen.release()
        state.record_outcome(chosen.target.id, outcome)
        return not is_failure

    def _fate(self, route, is_new):
        """Return whether a target fails a request, and how much slower it answers."""
        bad = self.bad
        if not is_new or bad is None or self.age_ms() < bad.from_ms:
            return False, 1.0
        if bad.routes and route.prefix not in bad.routes:
            return False, 1.0
        return self.random.random() < bad.failure_share, bad.slowdown

    def age_ms(self):
        """Return the time since the order."""
        return self.clock.now_ms() - (self.ordered_ms or self.clock.now_ms())

    # Running.

    def start(self, names=None):
        """Start instances."""
        for name in names or self.names:
            self.instances[name] = Instance(self, name, f"b{self.clock.now_ms()}")
            self.loop.call_soon(self.instances[name].start)

    def kill(self, name):
        """End an instance without notice."""
        self.instances.pop(name).stop()

    def run(self, span_ms):
        """Let time pass."""
        self.loop.run_until_complete(asyncio.sleep(span_ms / 1_000))

    def play(self, span_ms=0):
        """Start everything, order the rollout, and run until its deadline."""
        self.start()
        self.run(500)
        self.play_on()
        self.run(span_ms or self.duration_s * 1_000)

    def play_on(self, is_ordered=True):
        """Begin to send requests, and order the rollout."""
        self._background.append(self.loop.create_task(self._callers()))
        self.run(1_000)
        self.requests = 0
        if is_ordered:
            self.order()

    def close(self):
        """End everything."""
        for one in self.instances.values():
            one.stop()
        for task in self._background:
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0.01))
        failed = [one for one in self._background if not one.cancelled()]
        for task in failed:
            task.result()
        self.loop.close()

    def state(self):
        """Return the state in the store."""
        status = self.store.store.records[KEY].status
        return None if status is None else status["state"]

    def old_in_flight(self):
        """Return the requests under way at old targets, as instances know them."""
        return sum(
            one.registry.state(target.id).in_flight
            for one in self.instances.values()
            for target in self.targets.values()
            if target.software == OLD
        )
