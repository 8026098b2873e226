"""Exchange of the instances' loads."""

import unittest

import hypothesis
from hypothesis import strategies

from cornelreach.gateway import datagrams, gossip, hubs, registry, relays
from cornelreach.platform import headers as headers_module
from cornelreach.util import decoding, timers
from test.gateway import test_registry

TargetLoad = datagrams.TargetLoad


def add_members(instance, names):
    """Register instances, all of one data centre."""
    instance.members.update({name: hubs.Member("h", 1) for name in names})


class Sink:
    """A transport that records the datagrams."""

    def __init__(self):
        self.sent = []

    def sendto(self, data, address):
        """Record a datagram."""
        self.sent.append((data, address))


class Reports(unittest.TestCase):
    """Datagrams received and sent, without a network."""

    def setUp(self):
        self.clock = timers.VirtualTimers(start_ms=5_000)
        self.registry = registry.TargetRegistry()
        self.gossip = gossip.Gossip("a", "boot", self.registry, self.clock)

    def receive(self, name, number, boot="b", **fields):
        loads = fields.pop("loads", {"t1": TargetLoad(2, 300, 900)})
        report = datagrams.LoadReport(name, boot, number, loads, **fields)
        self.gossip.apply_report(report)

    def test_loads_of_peers_add_up_and_expire(self):
        self.receive("b", 1)
        self.receive("c", 1)
        self.assertEqual(self.gossip.peer_load("t1"), (4, 600, 1_800))
        self.clock.advance(self.gossip.forget_ms() + 1)
        self.receive("c", 2)
        self.gossip.expire()
        self.assertEqual(self.gossip.peer_load("t1"), (2, 300, 900))
        self.receive("b", 2)
        self.assertEqual(self.gossip.peer_load("t1"), (4, 600, 1_800))

    # Guards against requests that all fail, and reports that end, because of token
    # counts in a caller's headers that no datagram can hold.
    def test_reports_go_on_whatever_token_counts_callers_send(self):
        add_members(self.gossip, ["b"])
        sink = self.gossip._transport = Sink()
        count = b"9" * decoding.MAX_DIGITS
        fields = (
            (headers_module.TOKEN_COUNTS, count + b"," + count),
            (headers_module.PROMPT_PREFIX, b"5c:" + count),
        )
        call = headers_module.read_call(fields)
        state = self.registry.state("t1")
        for _ in range(40):
            state.in_flight += 1
            state.in_flight_tokens += call.context_tokens
            state.prefill_tokens += sum(part.tokens for part in call.parts)
        self.gossip.broadcast()
        self.assertEqual(len(sink.sent), 1)

    def test_an_older_datagram_does_not_undo_a_newer_one(self):
        self.receive("b", 2, loads={})
        self.receive("b", 1)
        self.assertEqual(self.gossip.peer_load("t1").requests, 0)
        self.receive("b", 1, boot="restarted")
        self.assertEqual(self.gossip.peer_load("t1").requests, 2)

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from("abc"),
                strategies.integers(0, 5),
                strategies.integers(0, 1_500),
            )
        )
    )
    def test_sums_equal_the_reports_of_live_peers(self, steps):
        self.setUp()
        for number, (name, requests, wait_ms) in enumerate(steps):
            loads = {"t1": TargetLoad(requests, 1, 1)} if requests else {}
            self.receive(name, number, loads=loads, closed=("t1",) if requests else ())
            self.clock.advance(wait_ms)
            self.gossip.expire()
        oldest_ms = self.clock.now_ms() - self.gossip.forget_ms()
        fresh = [
            one.report for one in self.gossip.peers.values() if one.at_ms >= oldest_ms
        ]
        requests = sum(one.loads["t1"].requests for one in fresh if one.loads)
        self.assertEqual(self.gossip.peer_load("t1").requests, requests)
        self.assertEqual(self.gossip.is_closed("t1"), requests > 0)

    def test_unreadable_datagrams_are_dropped(self):
        for data in (b"", b"t\xc1", b"s\x93\x01\x02\x03", b"x", bytes(2_000)):
            self.gossip.datagram_received(data, ("10.0.0.1", 9))
        self.assertEqual(self.gossip.peers, {})

    def test_a_target_closed_by_a_peer_is_closed(self):
        self.receive("b", 1, closed=("t1",))
        self.assertTrue(self.gossip.is_closed("t1"))
        self.clock.advance(4_000)
        self.gossip.expire()
        self.assertFalse(self.gossip.is_closed("t1"))

    def test_an_idle_instance_shows_that_it_is_alive(self):
        self.gossip._transport = Sink()
        add_members(self.gossip, ("a", "b"))
        for _ in range(100):
            self.clock.advance(100)
            self.gossip.broadcast()
        self.assertTrue(10 <= len(self.gossip._transport.sent) <= 13)
        self.receive("b", 1)
        self.assertEqual(self.gossip.live_instances(), ["a", "b"])
        self.clock.advance(relays.DEAD_MS + 1)
        self.assertEqual(self.gossip.live_instances(), ["a"])

    def test_a_reported_version_is_applied_before_the_list_shows_it(self):
        self.registry.put(test_registry.target("t1"), 0, 0)
        report = datagrams.VersionReport("b", {"t1": {"m": 2}})
        self.gossip.datagram_received(datagrams.encode(report), ("h", 1))
        self.assertEqual(self.registry.targets["t1"].versions, {"m": 2})

    def test_the_interval_grows_with_the_fleet(self):
        add_members(self.gossip, (f"i{number}" for number in range(1_100)))
        per_s = self.gossip._round_size() / (self.gossip.interval_ms() / 1_000)
        self.assertLessEqual(
            per_s, gossip.DATAGRAMS_PER_S * gossip.PERIODIC_SHARE * 1.01
        )

    def test_a_burst_of_prompts_does_not_exceed_the_rate(self):
        rounds = []
        add_members(self.gossip, (f"i{number}" for number in range(8)))
        broadcast, self.gossip.broadcast = (
            self.gossip.broadcast,
            lambda: rounds.append(1) or broadcast(),
        )
        self.gossip._transport = Sink()
        self.gossip.closed.add("t1")
        for _ in range(1_000):
            self.gossip.announce()
            self.clock.advance(5)
        limit = 5 * gossip.DATAGRAMS_PER_S + 8 * gossip.BURST_ROUNDS
        self.assertLessEqual(len(rounds) * 7, limit)
        self.assertGreater(len(rounds) * 7, limit / 2)
