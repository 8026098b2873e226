"""Many instances that tell each other over a modelled network, in virtual time."""

import heapq
import itertools
import random

from cornelreach.gateway import gossip, hubs, registry
from cornelreach.util import timers

ZONES = ("north", "south", "east")
IN_ZONE_MS, BETWEEN_MS = 0.1, 1.0


def target(name):
    """Return an engine's entry."""
    return registry.Target(name, "s", "10.0.0.1:80", "north", 8, False, {"m": 1}, 1)


class Port:
    """The transport of one instance."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.count = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.longest = 0

    def sendto(self, data, address):
        """Send a datagram to the instance of an address."""
        self.count += 1
        self.sent_bytes += len(data)
        self.longest = max(self.longest, len(data))
        self.fleet.carry(self.name, address[0], data)


class Fleet:
    """Instances, the datagrams on their way, and what the network does to them."""

    def __init__(self, size, targets=10, seed=1, power=lambda number: 1.0, zones=ZONES):
        self.clock = timers.VirtualTimers(start_ms=10_000)
        self.random = random.Random(seed)
        self.loss = 0.0
        self.cut = set()  # pairs of data centres that do not reach each other
        self.dead = set()
        self.parts = {}
        self._order = itertools.count()
        self._due = []
        names = [f"i{number}" for number in range(size)]
        members = {
            name: hubs.Member(name, 1, zones[number % len(zones)], power(number))
            for number, name in enumerate(names)
        }
        for name in names:
            one = gossip.Gossip(
                name,
                f"b{name}",
                registry.TargetRegistry(),
                self.clock,
                members[name].zone,
            )
            for number in range(targets):
                one.registry.put(target(f"t{number}"), 0, 0)
            one.members.update(members)
            one._transport = Port(self, name)
            self.parts[name] = one
            self.at(self.random.uniform(0, 150), lambda one=one: self._tell(one))
            self.at(self.random.uniform(0, 25), lambda one=one: self._pass_on(one))

    def at(self, delay_ms, call):
        """Call after a delay."""
        due_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self._due, (due_ms, next(self._order), call))

    def _tell(self, one):
        if one.name not in self.dead:
            one.expire()
            one.broadcast()
        self.at(one.interval_ms(), lambda: self._tell(one))

    def _pass_on(self, one):
        pause_ms = one.relay_round() if one.name not in self.dead else 25
        self.at(pause_ms, lambda: self._pass_on(one))

    def carry(self, sender, receiver, data):
        """Deliver a datagram after the way between two instances."""
        zones = {self.parts[sender].zone, self.parts[receiver].zone}
        if frozenset(zones) in self.cut or self.random.random() < self.loss:
            return
        delay_ms = IN_ZONE_MS if len(zones) == 1 else BETWEEN_MS
        self.at(delay_ms, lambda: self._deliver(receiver, data))

    def _deliver(self, receiver, data):
        if receiver not in self.dead:
            self.parts[receiver]._transport.received_bytes += len(data)
            self.parts[receiver].datagram_received(data, ("h", 1))

    def run(self, duration_ms):
        """Let time pass."""
        end_ms = self.clock.now_ms() + duration_ms
        while self._due and self._due[0][0] <= end_ms:
            due_ms, _, call = heapq.heappop(self._due)
            self.clock.advance(max(0.0, due_ms - self.clock.now_ms()))
            call()
        self.clock.advance(end_ms - self.clock.now_ms())

    def load(self, name, target, tokens):
        """Let an instance have one request at a target, told at once."""
        state = self.parts[name].registry.state(target)
        state.in_flight, state.prefill_tokens = 1, tokens
        self.parts[name].announce()

    def unread(self, name, target):
        """Return what an instance believes that others have unread at a target."""
        return self.parts[name].peer_load(target).prefill_tokens

    def living(self):
        """Return the instances that run."""
        return [name for name in self.parts if name not in self.dead]

    def leaders(self):
        """Return the instances that some instance follows, by data centre."""
        found = {}
        for name in self.living():
            one = self.parts[name]
            found.setdefault(one.zone, set()).add(one.hubs.followed_hub())
        return found

    def datagrams_per_s(self, duration_ms=4_000):
        """Return the rate of datagrams that each instance sends."""
        before = {n: one._transport.count for n, one in self.parts.items()}
        self.run(duration_ms)
        return [
            (one._transport.count - before[name]) / duration_ms * 1_000
            for name, one in self.parts.items()
        ]
