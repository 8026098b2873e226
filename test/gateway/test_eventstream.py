"""Splitting an event stream into whole events."""

import unittest

import hypothesis
from hypothesis import strategies

from cornelreach.gateway import eventstream


class Splitting(unittest.TestCase):
    """Whole events are returned once and in order, however the bytes arrive."""

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        strategies.lists(strategies.integers(1, 40), max_size=12),
        strategies.sampled_from([b"\n", b"\r\n", b"\r"]),
    )
    def test_any_split_gives_the_same_events(self, sizes, line):
        events = [
            b"id: %d" % number + line + b"data: x" + line + line
            for number in range(1, 6)
        ]
        data = b"".join(events)
        splitter = eventstream.EventSplitter()
        out, at = b"", 0
        for size in sizes:
            out += splitter.feed(data[at : at + size])
            at += size
            whole = out.count(b"data: x")
            self.assertEqual(out, b"".join(events[:whole]))
            self.assertEqual(splitter.last_id, str(whole) if whole else None)
        out += splitter.feed(data[at:]) + splitter.finish()
        self.assertEqual((out, splitter.remainder()), (data, b""))
        self.assertEqual(splitter.last_id, "5")

    def test_an_incomplete_event_is_dropped_when_the_stream_resumes(self):
        splitter = eventstream.EventSplitter("3")
        self.assertEqual(splitter.feed(b"id: 4\ndata: ha"), b"")
        self.assertEqual(splitter.last_id, "3")
        splitter.reset()
        self.assertEqual(splitter.feed(b"id: 4\n\n"), b"id: 4\n\n")

    def test_the_end_of_the_stream_completes_no_event_without_its_blank_line(self):
        splitter = eventstream.EventSplitter()
        for text in (b"id: 4\ndata: ha", b"id: 4\ndata: ha\n", b"id: 4\r"):
            splitter.feed(text)
            self.assertEqual((splitter.finish(), splitter.remainder()), (b"", text))
            splitter.reset()

    # Guards against losing whole events that arrive together with one without an end.
    def test_whole_events_before_one_that_is_too_long_are_returned(self):
        splitter = eventstream.EventSplitter()
        event = b"id: 1\ndata: y\n\n"
        data = event + b"x" * (eventstream.MAX_EVENT_BYTES + 1)
        self.assertEqual(splitter.feed(data), event)
        with self.assertRaises(eventstream.EventTooLong):
            splitter.feed(b"x")

    def test_an_event_may_begin_with_another_line(self):
        splitter = eventstream.EventSplitter()
        event = b"x-weights: 2\nid: 9\ndata: y\n\n"
        self.assertEqual(splitter.feed(event), event)
        self.assertEqual(splitter.last_id, "9")
