"""Tests of the timer service."""

import unittest

from cornelreach.util import timers


class VirtualTimers(unittest.TestCase):
    """Callbacks run in order of their time."""

    def test_order_and_cancel(self):
        clock = timers.VirtualTimers()
        seen = []
        repeating = clock.every(10, lambda: seen.append(("every", clock.now_ms())))
        clock.after(15, lambda: seen.append(("after", clock.now_ms())))
        clock.advance(25)
        repeating.cancel()
        clock.advance(100)
        self.assertEqual(seen, [("every", 10), ("after", 15), ("every", 20)])
        self.assertEqual(clock.now_ms(), 125)
