"""Simulates the gossip of many instances over a network, in virtual time."""

import heapq
import itertools
import random

from cornelreach.gateway import gossip, hubs, registry
from cornelreach.util import timers

ZONES = ("north", "south", "east")
SAME_ZONE_DELAY_MS, CROSS_ZONE_DELAY_MS = 0.1, 1.0


def target(name):
    """Return the registration of an engine."""
    return registry.Target(name, "s", "10.0.0.1:80", "north", 8, False, {"m": 1}, 1)


class Transport:
    """The datagram transport of one instance, which counts what it sends."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.sent_count = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.max_size = 0

    def sendto(self, data, address):
        """Send a datagram to the instance with an address."""
        self.sent_count += 1
        self.sent_bytes += len(data)
        self.max_size = max(self.max_size, len(data))
        self.fleet.transmit(self.name, address[0], data)


class HubFleet:
    """Simulated instances, their datagrams in flight, and network faults."""

    def __init__(self, size, targets=10, seed=1, power=lambda number: 1.0, zones=ZONES):
        self.clock = timers.VirtualTimers(start_ms=10_000)
        self.random = random.Random(seed)
        self.loss = 0.0
        self.cut = set()  # pairs of data centres without a connection
        self.dead = set()
        self.instances = {}
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
            one._transport = Transport(self, name)
            self.instances[name] = one
            self.call_after(
                self.random.uniform(0, 150),
                lambda one=one: self._broadcast_periodically(one),
            )
            self.call_after(
                self.random.uniform(0, 25),
                lambda one=one: self._relay_periodically(one),
            )

    def call_after(self, delay_ms, call):
        """Call after a delay."""
        due_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self._due, (due_ms, next(self._order), call))

    def _broadcast_periodically(self, one):
        if one.name not in self.dead:
            one.expire()
            one.broadcast()
            one.send_source_reports()
        self.call_after(one.interval_ms(), lambda: self._broadcast_periodically(one))

    def _relay_periodically(self, one):
        pause_ms = one.relay_round() if one.name not in self.dead else 25
        self.call_after(pause_ms, lambda: self._relay_periodically(one))

    def transmit(self, sender, receiver, data):
        """Deliver a datagram after the delay between two instances."""
        zones = {self.instances[sender].zone, self.instances[receiver].zone}
        if frozenset(zones) in self.cut or self.random.random() < self.loss:
            return
        delay_ms = SAME_ZONE_DELAY_MS if len(zones) == 1 else CROSS_ZONE_DELAY_MS
        self.call_after(delay_ms, lambda: self._deliver(receiver, data))

    def _deliver(self, receiver, data):
        if receiver not in self.dead:
            self.instances[receiver]._transport.received_bytes += len(data)
            self.instances[receiver].datagram_received(data, ("h", 1))

    def run(self, duration_ms):
        """Advance the time and run everything that becomes due."""
        end_ms = self.clock.now_ms() + duration_ms
        while self._due and self._due[0][0] <= end_ms:
            due_ms, _, call = heapq.heappop(self._due)
            self.clock.advance(max(0.0, due_ms - self.clock.now_ms()))
            call()
        self.clock.advance(end_ms - self.clock.now_ms())

    def add_request(self, name, target, tokens):
        """Give an instance one request at a target, and announce it at once."""
        state = self.instances[name].registry.state(target)
        state.in_flight, state.prefill_tokens = 1, tokens
        self.instances[name].announce()

    def prefill_tokens_at(self, name, target):
        """Return the prefill tokens at a target that an instance knows from others."""
        return self.instances[name].peer_load(target).prefill_tokens

    def live_instances(self):
        """Return the names of running instances."""
        return [name for name in self.instances if name not in self.dead]

    def hubs_by_zone(self):
        """Return the hubs that instances follow, by data centre."""
        hubs = {}
        for name in self.live_instances():
            one = self.instances[name]
            hubs.setdefault(one.zone, set()).add(one.hubs.followed_hub())
        return hubs

    def datagrams_per_s(self, duration_ms=4_000):
        """Return the rate of datagrams that each instance sends."""
        before = {n: one._transport.sent_count for n, one in self.instances.items()}
        self.run(duration_ms)
        return [
            (one._transport.sent_count - before[name]) / duration_ms * 1_000
            for name, one in self.instances.items()
        ]
