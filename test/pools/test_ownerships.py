"""Tests of ownership records and of an owner whose successor is gone."""

import unittest

import msgspec

from cornelreach.pools import ownerships
from cornelreach.targets import ownership

ONE = ownership.Member("one", "b1")
TWO = ownership.Member("two", "b2")


class RecordTest(unittest.TestCase):
    """Encoding of records as platform values."""

    def test_round_trip(self):
        for successor in (TWO, None):
            record = ownership.Record(3, ONE, successor)
            value = msgspec.json.decode(msgspec.json.encode(ownerships.encode(record)))
            self.assertEqual(ownerships.decode(value), record)

    def test_invalid_values_are_rejected(self):
        good = ownerships.encode(ownership.Record(3, ONE, TWO))
        for bad in ({}, 4, {**good, "epoch": "x"}, {**good, "owner": {"name": "a"}}):
            with self.assertRaises(msgspec.ValidationError):
                ownerships.decode(bad)


class SoleMemberTest(unittest.TestCase):
    """An owner whose successor is gone, with no other instance to replace it."""

    def owner(self):
        """Return the state of an owner that has written its first record."""
        state = ownership.Ownership("p", ONE)
        state.observe_record(0, None, 0)
        attempt = state.propose([ONE, TWO], 0)
        state.observe_record(1, attempt.record, 0)
        return state

    def test_continues_alone_with_a_record_without_successor(self):
        state = self.owner()
        state.receive_ack(self.ack(state, 7_000), 7_000)
        self.assertTrue(state.admission_right(8_000).exclusive)
        self.assertFalse(state.admission_right(11_000).exclusive)
        attempt = state.propose([ONE], 20_000)
        self.assertEqual(attempt.record, ownership.Record(2, ONE, None))
        self.assertFalse(state.admission_right(20_000).exclusive)
        state.observe_record(2, attempt.record, 20_100)
        self.assertTrue(state.admission_right(20_100).exclusive)

    def test_does_not_continue_alone_while_the_successor_may_take_over(self):
        state = self.owner()
        state.heartbeat(7_000, platform_reachable=False)
        self.assertIsNone(state.propose([ONE], 20_000))

    def ack(self, state, sent_ms):
        """Return the successor's acknowledgment of a heartbeat sent at ``sent_ms``."""
        heartbeat = state.heartbeat(sent_ms, platform_reachable=True)
        successor = ownership.Ownership("p", TWO)
        return successor.receive_heartbeat(heartbeat, sent_ms)
