"""What instances tell each other of the requests under way."""

import unittest

from cornelreach.gateway import gossip, roster
from cornelreach.util import timers
from test.gateway import test_roster

Underway = gossip.Underway


class Sink:
    """Takes datagrams and forgets them."""

    def sendto(self, data, address):
        """Drop a datagram."""


class Telling(unittest.TestCase):
    """Datagrams in and out, without a network."""

    def setUp(self):
        self.clock = timers.VirtualTimers(start_ms=5_000)
        self.roster = roster.Roster()
        self.gossip = gossip.Gossip("a", "boot", self.roster, self.clock)

    def take(self, name, number, boot="b", **fields):
        loads = fields.pop("loads", {"t1": Underway(2, 300, 900)})
        told = gossip.Told(name, boot, number, loads, **fields)
        self.gossip.take(told, self.clock.now_ms())

    def test_peers_add_up_and_fall_silent(self):
        self.take("b", 1)
        self.take("c", 1)
        now_ms = self.clock.now_ms()
        self.assertEqual(self.gossip.others("t1", now_ms), (4, 600, 1_800))
        late_ms = now_ms + gossip.FORGET_INTERVALS * self.gossip.interval_ms() + 1
        self.assertEqual(self.gossip.others("t1", late_ms), (0, 0, 0))

    def test_an_older_datagram_does_not_undo_a_newer_one(self):
        self.take("b", 2, loads={})
        self.take("b", 1)
        self.assertEqual(self.gossip.others("t1", 5_000).requests, 0)
        self.take("b", 1, boot="restarted")
        self.assertEqual(self.gossip.others("t1", 5_000).requests, 2)

    def test_unreadable_datagrams_are_dropped(self):
        for data in (b"", b"\xc1", b"\x93\x01\x02\x03", bytes(2_000)):
            self.gossip.datagram_received(data, ("10.0.0.1", 9))
        self.assertEqual(self.gossip.peers, {})

    def test_a_target_under_an_order_is_closed_for_all(self):
        self.take("b", 1, closed=("t1",))
        self.assertTrue(self.gossip.is_closed("t1", 5_000))
        self.assertFalse(self.gossip.is_closed("t1", 9_000))

    def test_a_reported_version_runs_ahead_of_the_list(self):
        self.roster.put(test_roster.target("t1"), 0, 0)
        self.take("b", 1, versions={"t1": {"m": 2}})
        self.assertEqual(self.roster.targets["t1"].versions, {"m": 2})

    def test_the_interval_grows_with_the_fleet(self):
        self.gossip.addresses = {f"i{number}": ("h", 1) for number in range(1_100)}
        per_s = 1_099 / (self.gossip.interval_ms() / 1_000)
        self.assertLessEqual(per_s, gossip.DATAGRAMS_PER_S * 1.01)

    def test_a_burst_of_prompts_does_not_pass_the_rate(self):
        rounds = []
        self.gossip.addresses = {f"i{number}": ("h", 1) for number in range(8)}
        tell, self.gossip.tell = self.gossip.tell, lambda: rounds.append(1) or tell()
        self.gossip._transport = Sink()
        self.gossip.closed.add("t1")
        for _ in range(1_000):
            self.gossip.sent()
            self.clock.advance(5)
        most = 5 * gossip.DATAGRAMS_PER_S + 8 * gossip.BURST_ROUNDS
        self.assertLessEqual(len(rounds) * 7, most)
        self.assertGreater(len(rounds) * 7, most / 2)
