"""Tests of the check before a call is sent and of the messages."""

import unittest

import msgspec
from returns import pipeline

from cornelreach.targets import permits

PERMIT = permits.Permit("c/1", "lj/reader", 1, "e1", "b1", 1, 10, True)


class CheckTest(unittest.TestCase):
    def allowed(self, now_ms, connection_boot=None, checks_boot=True):
        answer = permits.check(PERMIT, 0.0, now_ms, connection_boot, checks_boot)
        return pipeline.is_successful(answer)

    def test_expiry_counts_from_the_request(self):
        self.assertTrue(self.allowed(permits.PERMIT_MS - 1))
        self.assertFalse(self.allowed(permits.PERMIT_MS))

    def test_connection_of_another_boot(self):
        self.assertTrue(self.allowed(1.0, "b1"))
        self.assertFalse(self.allowed(1.0, "b2"))

    def test_target_without_boot_check_needs_a_known_connection(self):
        self.assertFalse(self.allowed(1.0, None, checks_boot=False))
        self.assertTrue(self.allowed(1.0, "b1", checks_boot=False))


class MessageTest(unittest.TestCase):
    def test_messages_round_trip_through_msgspec(self):
        messages = [
            permits.PermitRequest("c/1", "n", "nb", "p", "a", 10),
            PERMIT,
            permits.Queued("c/1", 0, 1.5),
            permits.Release("c/1", "e1", permits.Outcome.DONE, "b1", 12.0),
            permits.Report("e1", 1.0, "b1", "b1", None, 1, 2),
        ]
        for message in messages:
            data = msgspec.msgpack.encode(message)
            self.assertEqual(msgspec.msgpack.decode(data, type=type(message)), message)
