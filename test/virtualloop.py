"""An asyncio loop whose time moves only when every task waits.

``run(coroutine)`` runs hours of sleeps and timeouts in an instant, always in the same
order; ``Clock`` gives the loop's time as ``util.timers.Timers``.
"""

import asyncio
import selectors

from cornelreach.util import timers


class _Selector(selectors.BaseSelector):
    """Selects nothing, and advances the loop's time by the time to wait."""

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
            raise RuntimeError("every task waits and no timer is due")
        self.loop.virtual_s += max(0.0, timeout)
        return []


class Loop(asyncio.SelectorEventLoop):
    """The loop; real I/O never becomes ready on it."""

    def __init__(self):
        self.virtual_s = 0.0
        selector = _Selector()
        selector.loop = self
        super().__init__(selector)

    def time(self):
        return self.virtual_s


class Clock(timers.LoopTimers):
    """The loop's time, with an offset of the wall clock."""

    def __init__(self, loop, skew_ms=0.0):
        self.loop = loop
        self.skew_ms = skew_ms

    def now_ms(self):
        return self.loop.time() * 1_000

    def wall_ms(self):
        return 1e12 + self.skew_ms + self.now_ms()


def run(coroutine, loop=None):
    """Run a coroutine to its end under virtual time."""
    own = loop or Loop()
    try:
        return own.run_until_complete(coroutine)
    finally:
        if loop is None:
            own.close()
