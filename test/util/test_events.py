"""Tests of numbered events."""

import unittest

import loguru

from cornelreach.util import events

ONE = events.Event(9_999, "DEBUG", "One {thing}.", "Nothing.")


class Text:
    """Counts how often it is made into text."""

    def __init__(self):
        self.count = 0

    def __str__(self):
        self.count += 1
        return "{thing}"


class EmitTest(unittest.TestCase):
    """Fields become text only for a level that is logged."""

    def emitted(self, level):
        lines, thing = [], Text()
        loguru.logger.remove()
        self.addCleanup(loguru.logger.remove)
        loguru.logger.add(lines.append, level=level, format="{extra[event]} {message}")
        events.emit(ONE, thing=thing)
        return lines, thing.count

    def test_text_is_made_only_where_it_is_written(self):
        self.assertEqual(self.emitted("INFO"), ([], 0))
        self.assertEqual(self.emitted("DEBUG"), (["9999 One {thing}.\n"], 1))
