"""Tests of the simulated timers."""

import unittest

from cornelreach.util import timers


class VirtualTimersTest(unittest.TestCase):
    """Callbacks run in the order in which they are due."""

    def test_runs_callbacks_in_order_until_cancelled(self):
        clock = timers.VirtualTimers()
        calls = []
        repeating = clock.every(10, lambda: calls.append(("every", clock.now_ms())))
        clock.after(15, lambda: calls.append(("after", clock.now_ms())))
        clock.advance(25)
        repeating.cancel()
        clock.advance(100)
        self.assertEqual(calls, [("every", 10), ("after", 15), ("every", 20)])
        self.assertEqual(clock.now_ms(), 125)
