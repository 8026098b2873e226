"""Tests of stream identifiers and server-sent events."""

import unittest

import hypothesis
from hypothesis import strategies

from cornelreach.calls import sse, streams

STREAM = streams.StreamId("tirnica", "engine-1", "a1", "b1", 4)


class KeyRing(unittest.TestCase):
    """Signing, rotation and forgery."""

    def test_rotation_keeps_old_identifiers(self):
        old = streams.KeyRing([b"old"]).sign(STREAM)
        ring = streams.KeyRing([b"new", b"old"])
        self.assertEqual(ring.verify(old, "tirnica"), STREAM)
        self.assertIsNone(streams.KeyRing([b"new"]).verify(old, "tirnica"))

    def test_identifier_of_another_account_is_invalid(self):
        ring = streams.KeyRing([b"key"])
        self.assertIsNone(ring.verify(ring.sign(STREAM), "tarmac"))

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(strategies.text(max_size=80))
    def test_forged_identifier_is_invalid(self, text):
        self.assertIsNone(streams.KeyRing([b"key"]).verify(text, "tirnica"))


class EventParser(unittest.TestCase):
    """Events are the same for any split of the bytes."""

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(strategies.lists(strategies.integers(0, 60), max_size=5))
    def test_any_split_gives_the_same_events(self, cuts):
        whole = sse.encode(0, b'{"id":"x"}') + b": note\n\n" + sse.encode(1, sse.DONE)
        whole = whole.replace(b"\n", b"\r\n")
        bounds = [0, *sorted(min(cut, len(whole)) for cut in cuts), len(whole)]
        parser = sse.EventParser()
        events = []
        for start, end in zip(bounds, bounds[1:], strict=False):
            events += parser.feed(whole[start:end])
        self.assertEqual(events, [sse.Event(0, b'{"id":"x"}'), sse.Event(1, sse.DONE)])

    def test_oversized_event_is_refused(self):
        parser = sse.EventParser()
        with self.assertRaises(sse.MalformedStream):
            list(parser.feed(b"data: " + b"x" * sse.MAX_EVENT_BYTES))
