"""Tests of the directory: lookups of single instances agree with the lists."""

import random
import unittest

from cornelreach.fleet import directory, node, peermessages
from cornelreach.platform import results
from cornelreach.settings import state
from cornelreach.util import timers


def member(name, data_centre, status=peermessages.Status.ALIVE):
    """Return a member with a name, data centre and status."""
    identity = peermessages.Identity(name, "b", 1, data_centre, f"{name}:1")
    return peermessages.Member(identity, 1, status)


class DirectoryTest(unittest.TestCase):
    """An instance with peers in its own and another data centre."""

    def test_single_lookups_agree_with_lists(self):
        me = peermessages.Identity("me", "b", 1, "north", "me:1")
        own_node = node.Node(me, state.State(), random.Random(1), 0.0)
        for name, status in zip("abcd", peermessages.Status, strict=True):
            own_node.membership.receive(
                peermessages.Heartbeat(member(name, "north", status)), 0.0
            )
        own_node.remotes.receive(member("e", "south"))
        own_node.remotes.set_listed([results.Instance("f", "south", "f:2")])
        found = directory.Directory(own_node, timers.VirtualTimers())
        addresses = found.addresses()
        self.assertEqual(sorted(addresses), ["a", "c", "e", "f", "me"])
        for name in ("a", "b", "c", "d", "e", "f", "me", "unknown", ""):
            self.assertEqual(found.address(name), addresses.get(name, ""))
            for data_centre in ("north", "south", "west"):
                listed = name in found.names(data_centre)
                self.assertEqual(found.knows(data_centre, name), listed)
