"""Tests of several nodes that exchange messages under virtual time."""

import unittest

import msgspec

from cornelreach.fleet import directory, membership, peermessages
from cornelreach.settings import items, state
from test.fleet import simulation

THREE = {"a1": "a", "a2": "a", "a3": "a"}
SIX = THREE | {"b1": "b", "b2": "b", "b3": "b"}
KEY = items.key_of("model", "m")


def serving(host):
    """Return the names of the instances that a host considers serving."""
    return {identity.name for identity in host.node.membership.serving()}


def event_types(host):
    """Return the types of the membership events on a host."""
    return [type(event) for event in host.events]


class MembershipTest(unittest.TestCase):
    """Discovery, failure, replacement and pause of instances."""

    def test_all_discover_each_other_and_detect_a_dead_one(self):
        fleet = simulation.Simulation(1, SIX)
        fleet.advance(4_000)
        self.assertEqual(serving(fleet.hosts["a1"]), set(THREE))
        fleet.kill("a2")
        fleet.advance(12_000)
        self.assertEqual(serving(fleet.hosts["a1"]), {"a1", "a3"})
        self.assertEqual(serving(fleet.hosts["a3"]), {"a1", "a3"})
        fleet.start("a2", "a")
        fleet.advance(6_000)
        self.assertTrue(fleet.hosts["a1"].node.membership.is_alive("a2", "boot-7"))

    def test_lost_messages_do_not_cause_a_death(self):
        fleet = simulation.Simulation(2, THREE)
        fleet.loss_share = 0.2
        fleet.advance(120_000)
        for host in fleet.hosts.values():
            self.assertNotIn(membership.Died, event_types(host))

    def test_paused_instance_is_stale_until_a_peer_replies(self):
        fleet = simulation.Simulation(3, THREE)
        fleet.advance(4_000)
        host = fleet.hosts["a1"]
        now_ms = fleet.clock.now_ms
        self.assertTrue(host.node.membership.may_act(now_ms()))
        fleet.pause("a1", 20_000)
        fleet.advance(19_999)
        self.assertFalse(host.node.membership.may_act(now_ms()))
        self.assertNotIn("a1", serving(fleet.hosts["a2"]))
        fleet.advance(1)
        self.assertFalse(host.node.membership.may_act(now_ms()))
        fleet.advance(5_000)
        self.assertIn(membership.Woke, event_types(host))
        self.assertTrue(host.node.membership.may_act(now_ms()))
        self.assertIn("a1", serving(fleet.hosts["a2"]))

    def test_replaced_instance_is_told_to_stop_after_a_pause(self):
        fleet = simulation.Simulation(4, THREE)
        fleet.advance(20_000)
        old = fleet.hosts["a1"]
        fleet.pause("a1", 30_000)
        fleet.advance(10_000)
        fleet.start("a1", "a")
        fleet.advance(25_000)
        self.assertIn(membership.Superseded, event_types(old))
        self.assertFalse(old.node.membership.may_act(fleet.clock.now_ms()))
        boot = fleet.hosts["a1"].node.me.boot
        self.assertTrue(fleet.hosts["a2"].node.membership.is_alive("a1", boot))

    def test_leaving_instance_accepts_no_new_work(self):
        fleet = simulation.Simulation(5, THREE)
        fleet.advance(4_000)
        fleet.hosts["a1"].node.membership.leave(fleet.clock.now_ms())
        fleet.advance(3_000)
        self.assertEqual(serving(fleet.hosts["a2"]), {"a2", "a3"})

    def test_directory_follows_the_fleet(self):
        fleet = simulation.Simulation(11, SIX)
        fleet.advance(15_000)
        found = directory.Directory(fleet.hosts["a1"].node, fleet.clock)
        self.assertEqual(found.names("b"), ["b1", "b2", "b3"])
        self.assertEqual(found.address("b2"), "b2")
        self.assertEqual(sorted(found.addresses()), sorted(SIX))
        owner = found.owner("pool", "a")
        fleet.kill(owner if owner != "a1" else "a2")
        fleet.advance(10_000)
        self.assertEqual(len(found.names("a")), 2)
        self.assertIn(found.owner("pool", "a"), found.names("a"))

    def test_one_way_cut_makes_both_data_centres_unreachable(self):
        fleet = simulation.Simulation(6, SIX)
        fleet.advance(15_000)
        reachable = fleet.hosts["a1"].node.remotes.reachable
        reachable_from_b = fleet.hosts["b1"].node.remotes.reachable
        self.assertTrue(reachable("b", fleet.clock.now_ms()))
        fleet.cut_links = {("a", "b")}
        fleet.advance(15_000)
        self.assertFalse(reachable("b", fleet.clock.now_ms()))
        self.assertFalse(reachable_from_b("a", fleet.clock.now_ms()))
        fleet.cut_links = set()
        fleet.advance(10_000)
        self.assertTrue(reachable("b", fleet.clock.now_ms()))


class ReplicationTest(unittest.TestCase):
    """Settings and notes that heartbeats spread."""

    def test_few_instances_watch_and_all_receive_changes(self):
        fleet = simulation.Simulation(7, {f"a{number}": "a" for number in range(12)})
        fleet.advance(6_000)
        self.assertLessEqual(sum(h.watching for h in fleet.hosts.values()), 3)
        version = fleet.write(KEY, {"name": "m"})
        fleet.advance(3_000)
        held = {host.state.revision for host in fleet.hosts.values()}
        self.assertEqual(held, {version})

    def test_watchers_cut_off_from_the_platform_are_replaced(self):
        fleet = simulation.Simulation(8, SIX)
        fleet.advance(6_000)
        for name, host in fleet.hosts.items():
            if host.watching:
                fleet.cut_links |= {(name, "platform"), ("platform", name)}
                break
        fleet.advance(35_000)
        version = fleet.write(KEY, {"name": "m"})
        fleet.advance(7_000)
        held = {host.state.revision for host in fleet.hosts.values()}
        self.assertEqual(held, {version})

    def test_instance_started_in_an_outage_gets_settings_from_a_seed(self):
        fleet = simulation.Simulation(9, THREE)
        version = fleet.write(KEY, {"name": "m"})
        fleet.advance(6_000)
        fleet.platform_down = True
        new_host = fleet.start("a4", "a", listed=False)
        self.assertFalse(new_host.node.relay.ready)
        new_host.node.membership.set_seeds(["a2"])
        fleet.advance(5_000)
        self.assertEqual(new_host.state.revision, version)

    def test_notes_reach_all_and_expire(self):
        fleet = simulation.Simulation(10, SIX)
        fleet.advance(15_000)
        now_ms = fleet.clock.now_ms
        fleet.hosts["a1"].node.notes.publish("pool/a/m", 1, b"full", now_ms())
        fleet.advance(8_000)
        for host in fleet.hosts.values():
            self.assertEqual(host.node.notes.body("pool/a/m", now_ms()), b"full")
        fleet.advance(20_000)
        self.assertIsNone(fleet.hosts["b1"].node.notes.body("pool/a/m", now_ms()))

    def test_heartbeat_round_trips_through_msgpack(self):
        me = peermessages.Identity("a", "b", 1, "x", "h:1")
        entry = state.Entry(KEY, 3, {"name": "m"})
        message = peermessages.Heartbeat(
            peermessages.Member(me),
            member_updates=(peermessages.Member(me, 2, peermessages.Status.DEAD),),
            notes=(peermessages.Note("t", (1, 2), b"\xff"),),
            directives=(peermessages.Directive("i", KEY, "leaving", "r", "o", 1),),
            delta=state.Delta(0, 3, (entry,)),
        )
        encoded = msgspec.msgpack.encode(message)
        decoded = msgspec.msgpack.decode(encoded, type=peermessages.Heartbeat)
        self.assertEqual(decoded, message)
