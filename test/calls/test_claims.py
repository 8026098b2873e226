"""Tests of the way of a claim to the owner of its shard."""

import unittest

from returns import result

from cornelreach.calls import claims, exchanges, ledger
from cornelreach.peers import wire
from test import virtualloop
from test.calls import test_shards
from test.platform import objects

NAMES = ("one", "two", "three")


class Peers:
    """Peers that all hold every claim, but for those in ``silent``."""

    def __init__(self):
        self.asked = []
        self.silent = set()

    async def call(self, address, method, request, wait_ms):
        """Answer as the owner, or not at all."""
        self.asked.append(address)
        if address in self.silent:
            return result.Failure(wire.PeerLost(address, "silent"))
        return result.Success(exchanges.pack(ledger.Held()))


class Routes(unittest.TestCase):
    """Owner, its successor while it is silent, and the direct way."""

    def setUp(self):
        self.loop = virtualloop.Loop()
        self.addCleanup(self.loop.close)
        self.clock = virtualloop.Clock(self.loop)
        self.peers = Peers()
        self.fake = objects.Fake()
        self.members = {name: name for name in NAMES}

    def submit(self, key, direct=False):
        async def submit():
            log = claims.Claims(
                "one",
                self.fake,
                self.peers,
                lambda: self.members,
                self.clock,
                lambda: 60_000.0,
            )
            first = await log.submit(test_shards.entry(key), 2_000, direct)
            return first, await log.submit(test_shards.entry(key), 2_000)

        return virtualloop.run(submit(), self.loop)

    def test_each_shard_has_one_owner_and_all_share(self):
        for number in range(60):
            decisions = self.submit(f"{number:04d}")
            self.assertEqual(decisions, (ledger.Held(), ledger.Held()))
        self.assertEqual(set(self.peers.asked), {"two", "three"})
        self.assertTrue(self.fake.store.records)

    def test_a_silent_owner_is_passed_over_for_a_while(self):
        self.peers.silent = {"two", "three"}
        keys = [f"{number:04d}" for number in range(60)]
        lost = next(
            ends
            for ends in map(self.submit, keys)
            if isinstance(ends[0], claims.OwnerLost)
        )
        self.assertNotEqual(lost[0], lost[1])
        self.assertEqual(self.members, {name: name for name in NAMES})

    def test_the_direct_way_asks_no_peer(self):
        for number in range(20):
            self.members = {"one": "one"}
            self.submit(f"{number:04d}", direct=True)
        self.assertEqual(self.peers.asked, [])

    def test_every_decision_survives_the_wire(self):
        answer = ledger.Answer(200, "text/plain", b"booked")
        attempt = ledger.Attempt("one", "boot", 7)
        for decision in (
            ledger.Held(),
            ledger.Finished(answer),
            ledger.Unknown(),
            ledger.Running(attempt),
            ledger.Differs(),
            ledger.Recorded(),
            ledger.Unavailable("away"),
        ):
            unpacked = exchanges.unpack(exchanges.pack(decision))
            self.assertEqual((type(unpacked), unpacked), (type(decision), decision))
