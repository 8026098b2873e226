"""Tests of ownership records and of a tenure whose successor is gone."""

import unittest

import msgspec

from cornelreach.pools import tenure
from cornelreach.targets import ownership

ONE = ownership.Member("one", "b1")
TWO = ownership.Member("two", "b2")


class Records(unittest.TestCase):
    """Records as platform values."""

    def test_round_trip(self):
        for successor in (TWO, None):
            record = ownership.Record(3, ONE, successor)
            value = msgspec.json.decode(msgspec.json.encode(tenure.encode(record)))
            self.assertEqual(tenure.decode(value), record)

    def test_values_that_are_no_records(self):
        good = tenure.encode(ownership.Record(3, ONE, TWO))
        for bad in ({}, 4, {**good, "epoch": "x"}, {**good, "owner": {"name": "a"}}):
            with self.assertRaises(msgspec.ValidationError):
                tenure.decode(bad)


class SoleSurvivor(unittest.TestCase):
    """An owner whose successor is gone, with nobody to replace it."""

    def owner(self):
        """Return the part of an owner that has written its first record."""
        part = ownership.Ownership("p", ONE)
        part.observe_record(0, None, 0)
        attempt = part.propose([ONE, TWO], 0)
        part.observe_record(1, attempt.record, 0)
        return part

    def test_goes_on_alone_by_a_record_without_successor(self):
        part = self.owner()
        part.receive_ack(self.ack(part, 7_000), 7_000)
        self.assertTrue(part.standing(8_000).exclusive)
        self.assertFalse(part.standing(11_000).exclusive)
        attempt = part.propose([ONE], 20_000)
        self.assertEqual(attempt.record, ownership.Record(2, ONE, None))
        self.assertFalse(part.standing(20_000).exclusive)
        part.observe_record(2, attempt.record, 20_100)
        self.assertTrue(part.standing(20_100).exclusive)

    def test_does_not_while_the_successor_may_take_over_unseen(self):
        part = self.owner()
        part.heartbeat(7_000, platform_reachable=False)
        self.assertIsNone(part.propose([ONE], 20_000))

    def ack(self, part, sent_ms):
        """Return the successor's acknowledgment of a heartbeat."""
        beat = part.heartbeat(sent_ms, platform_reachable=True)
        successor = ownership.Ownership("p", TWO)
        return successor.receive_heartbeat(beat, sent_ms)
