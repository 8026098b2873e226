"""Tests of how claims reach the owner of their shard."""

import unittest

from returns import result

from cornelreach.calls import callmessages, claims, ledger
from cornelreach.peers import wire
from test import virtualloop
from test.calls import test_shards
from test.platform import objects

NAMES = ("one", "two", "three")


class Peers:
    """Peers that decide that every claim is held; those in ``silent`` don't reply."""

    def __init__(self):
        self.called = []
        self.silent = set()

    async def call(self, address, method, request, wait_ms):
        """Reply as the owner, or fail."""
        self.called.append(address)
        if address in self.silent:
            return result.Failure(wire.PeerUnreachable(address, "silent"))
        return result.Success(callmessages.pack(ledger.Held()))


class Routes(unittest.TestCase):
    """Routes to the owner, to the next one while it is silent, or directly."""

    def setUp(self):
        self.loop = virtualloop.Loop()
        self.addCleanup(self.loop.close)
        self.clock = virtualloop.Clock(self.loop)
        self.peers = Peers()
        self.fake = objects.FakeObjectStore()
        self.members = {name: name for name in NAMES}

    def submit(self, key, direct=False):
        async def submit():
            log = claims.ClaimLog(
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

    def test_shards_are_spread_over_all_members(self):
        for number in range(60):
            decisions = self.submit(f"{number:04d}")
            self.assertEqual(decisions, (ledger.Held(), ledger.Held()))
        self.assertEqual(set(self.peers.called), {"two", "three"})
        self.assertTrue(self.fake.store.records)

    def test_silent_owner_is_avoided_for_a_while(self):
        self.peers.silent = {"two", "three"}
        keys = [f"{number:04d}" for number in range(60)]
        lost = next(
            decisions
            for decisions in map(self.submit, keys)
            if isinstance(decisions[0], claims.OwnerUnreachable)
        )
        self.assertNotEqual(lost[0], lost[1])
        self.assertEqual(self.members, {name: name for name in NAMES})

    def test_direct_submission_calls_no_peer(self):
        for number in range(20):
            self.members = {"one": "one"}
            self.submit(f"{number:04d}", direct=True)
        self.assertEqual(self.peers.called, [])

    def test_every_decision_is_unpacked_as_packed(self):
        answer = ledger.Answer(200, "text/plain", b"booked")
        attempt = ledger.AttemptId("one", "boot", 7)
        for decision in (
            ledger.Held(),
            ledger.Finished(answer),
            ledger.Unknown(),
            ledger.Running(attempt),
            ledger.Differs(),
            ledger.Recorded(),
            ledger.Unavailable("unavailable"),
        ):
            unpacked = callmessages.unpack(callmessages.pack(decision))
            self.assertEqual((type(unpacked), unpacked), (type(decision), decision))
