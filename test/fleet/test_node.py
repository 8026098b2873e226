"""Tests of whole nodes against each other under virtual time."""

import unittest

import msgspec

from cornelreach.fleet import directory, membership, news
from cornelreach.settings import items, state
from test.fleet import world

THREE = {"a1": "a", "a2": "a", "a3": "a"}
SIX = THREE | {"b1": "b", "b2": "b", "b3": "b"}
KEY = items.key_of("model", "m")


def serving(host):
    """Return the names that a host thinks are serving."""
    return {identity.name for identity in host.node.membership.serving()}


def kinds(host):
    """Return the kinds of events that a host was told."""
    return [type(event) for event in host.told]


class Members(unittest.TestCase):
    """Discovery, failure, replacement and pause."""

    def test_all_find_each_other_and_miss_a_dead_one(self):
        site = world.World(1, SIX)
        site.advance(4_000)
        self.assertEqual(serving(site.hosts["a1"]), set(THREE))
        site.kill("a2")
        site.advance(12_000)
        self.assertEqual(serving(site.hosts["a1"]), {"a1", "a3"})
        self.assertEqual(serving(site.hosts["a3"]), {"a1", "a3"})
        site.start("a2", "a")
        site.advance(6_000)
        self.assertTrue(site.hosts["a1"].node.membership.is_alive("a2", "boot-7"))

    def test_a_lost_message_or_two_kill_nobody(self):
        site = world.World(2, THREE)
        site.loss = 0.2
        site.advance(120_000)
        for host in site.hosts.values():
            self.assertNotIn(membership.Died, kinds(host))

    def test_a_paused_instance_doubts_until_a_peer_answers(self):
        site = world.World(3, THREE)
        site.advance(4_000)
        host = site.hosts["a1"]
        now_ms = site.clock.now_ms
        self.assertTrue(host.node.membership.may_act(now_ms()))
        site.pause("a1", 20_000)
        site.advance(19_999)
        self.assertFalse(host.node.membership.may_act(now_ms()))
        self.assertNotIn("a1", serving(site.hosts["a2"]))
        site.advance(1)
        self.assertFalse(host.node.membership.may_act(now_ms()))
        site.advance(5_000)
        self.assertIn(membership.Woke, kinds(host))
        self.assertTrue(host.node.membership.may_act(now_ms()))
        self.assertIn("a1", serving(site.hosts["a2"]))

    def test_a_replaced_instance_that_wakes_learns_that_it_must_stop(self):
        site = world.World(4, THREE)
        site.advance(20_000)
        old = site.hosts["a1"]
        site.pause("a1", 30_000)
        site.advance(10_000)
        site.start("a1", "a")
        site.advance(25_000)
        self.assertIn(membership.Superseded, kinds(old))
        self.assertFalse(old.node.membership.may_act(site.clock.now_ms()))
        boot = site.hosts["a1"].node.me.boot
        self.assertTrue(site.hosts["a2"].node.membership.is_alive("a1", boot))

    def test_a_leaving_instance_takes_no_new_work(self):
        site = world.World(5, THREE)
        site.advance(4_000)
        site.hosts["a1"].node.membership.leave(site.clock.now_ms())
        site.advance(3_000)
        self.assertEqual(serving(site.hosts["a2"]), {"a2", "a3"})

    def test_directory_follows_the_fleet(self):
        site = world.World(11, SIX)
        site.advance(15_000)
        found = directory.Directory(site.hosts["a1"].node, site.clock)
        self.assertEqual(found.names("b"), ["b1", "b2", "b3"])
        self.assertEqual(found.address("b2"), "b2")
        self.assertEqual(sorted(found.addresses()), sorted(SIX))
        first = found.owner("pool", "a")
        site.kill(first if first != "a1" else "a2")
        site.advance(10_000)
        self.assertEqual(len(found.names("a")), 2)
        self.assertIn(found.owner("pool", "a"), found.names("a"))

    def test_data_centres_cut_off_in_one_direction(self):
        site = world.World(6, SIX)
        site.advance(15_000)
        reachable = site.hosts["a1"].node.sites.reachable
        back = site.hosts["b1"].node.sites.reachable
        self.assertTrue(reachable("b", site.clock.now_ms()))
        site.cuts = {("a", "b")}
        site.advance(15_000)
        self.assertFalse(reachable("b", site.clock.now_ms()))
        self.assertFalse(back("a", site.clock.now_ms()))
        site.cuts = set()
        site.advance(10_000)
        self.assertTrue(reachable("b", site.clock.now_ms()))


class Relayed(unittest.TestCase):
    """Settings and notes that travel with the heartbeats."""

    def test_few_watch_and_all_learn(self):
        site = world.World(7, {f"a{number}": "a" for number in range(12)})
        site.advance(6_000)
        self.assertLessEqual(sum(h.polling for h in site.hosts.values()), 3)
        version = site.write(KEY, {"name": "m"})
        site.advance(3_000)
        held = {host.state.revision for host in site.hosts.values()}
        self.assertEqual(held, {version})

    def test_other_instances_watch_when_the_chosen_ones_are_cut_off(self):
        site = world.World(8, SIX)
        site.advance(6_000)
        for name, host in site.hosts.items():
            if host.polling:
                site.cuts |= {(name, "platform"), ("platform", name)}
                break
        site.advance(35_000)
        version = site.write(KEY, {"name": "m"})
        site.advance(7_000)
        held = {host.state.revision for host in site.hosts.values()}
        self.assertEqual(held, {version})

    def test_an_instance_started_while_cut_off_learns_from_a_seed(self):
        site = world.World(9, THREE)
        version = site.write(KEY, {"name": "m"})
        site.advance(6_000)
        site.platform_away = True
        fresh = site.start("a4", "a", listed=False)
        self.assertFalse(fresh.node.relay.ready)
        fresh.node.membership.seed(["a2"])
        site.advance(5_000)
        self.assertEqual(fresh.state.revision, version)

    def test_notes_reach_all(self):
        site = world.World(10, SIX)
        site.advance(15_000)
        now_ms = site.clock.now_ms
        site.hosts["a1"].node.board.publish("pool/a/m", 1, b"full", now_ms())
        site.advance(8_000)
        for host in site.hosts.values():
            self.assertEqual(host.node.board.body("pool/a/m", now_ms()), b"full")
        site.advance(20_000)
        self.assertIsNone(site.hosts["b1"].node.board.body("pool/a/m", now_ms()))

    def test_a_heartbeat_survives_the_codec(self):
        me = news.Identity("a", "b", 1, "x", "h:1")
        record = state.Entry(KEY, 3, {"name": "m"})
        message = news.Heartbeat(
            news.Member(me),
            news=(news.Member(me, 2, news.Status.DEAD),),
            summaries=(news.Summary("t", (1, 2), b"\xff"),),
            directives=(news.Directive("i", KEY, "leaving", "r", "o", 1),),
            delta=state.Delta(0, 3, (record,)),
        )
        encoded = msgspec.msgpack.encode(message)
        decoded = msgspec.msgpack.decode(encoded, type=news.Heartbeat)
        self.assertEqual(decoded, message)
