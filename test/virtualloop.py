"""An asyncio event loop with virtual time, which advances only when all tasks wait.

``run(coroutine)`` runs hours of sleeps and timeouts at once and in a deterministic
order; ``Clock`` provides the loop's time as ``util.timers.Timers``.
"""

import asyncio
import selectors

from cornelreach.util import timers


class _Selector(selectors.BaseSelector):
    """Advances the loop's time by the timeout, and never reports ready files."""

    def __init__(self):
        self.loop = None
        self._keys = {}

    def register(self, fileobj, events, data=None):
        key = selectors.SelectorKey(fileobj, 0, events, data)
        self._keys[fileobj] = key
        return key

    def unregister(self, fileobj):
        return self._keys.pop(fileobj)

    def get_map(self):
        return self._keys

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("deadlock: all tasks wait and no timer is scheduled")
        self.loop.virtual_s += max(0.0, timeout)
        return []


class Loop(asyncio.SelectorEventLoop):
    """An event loop with virtual time, on which real I/O never becomes ready."""

    def __init__(self):
        self.virtual_s = 0.0
        selector = _Selector()
        selector.loop = self
        super().__init__(selector)

    def time(self):
        return self.virtual_s


class Clock(timers.LoopTimers):
    """Timers with the loop's virtual time and a skewed wall clock."""

    def __init__(self, loop, skew_ms=0.0):
        self.loop = loop
        self.skew_ms = skew_ms

    def now_ms(self):
        return self.loop.time() * 1_000

    def wall_ms(self):
        return 1e12 + self.skew_ms + self.now_ms()


def run(coroutine, loop=None):
    """Run a coroutine to completion in virtual time."""
    current_loop = loop or Loop()
    try:
        return current_loop.run_until_complete(coroutine)
    finally:
        if loop is None:
            current_loop.close()
