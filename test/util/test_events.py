"""Tests of the numbered log events."""

import unittest

import loguru

from cornelreach.util import events

EVENT = events.Event(9_999, "DEBUG", "One {thing}.", "Nothing.")


class CountingText:
    """A field value that counts its conversions to text."""

    def __init__(self):
        self.count = 0

    def __str__(self):
        self.count += 1
        return "{thing}"


class Emit(unittest.TestCase):
    """Fields are formatted only if the level is enabled."""

    def emit(self, level):
        messages, thing = [], CountingText()
        loguru.logger.remove()
        self.addCleanup(loguru.logger.remove)
        loguru.logger.add(
            messages.append, level=level, format="{extra[event]} {message}"
        )
        events.emit(EVENT, thing=thing)
        return messages, thing.count

    def test_formats_only_enabled_levels(self):
        self.assertEqual(self.emit("INFO"), ([], 0))
        self.assertEqual(self.emit("DEBUG"), (["9999 One {thing}.\n"], 1))
