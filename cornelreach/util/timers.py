"""Timer service: the one source of time that parts subscribe to.

Decision logic receives a ``Timers`` and never reads a clock itself, so a test can run
hours of it in an instant::

    timers = VirtualTimers()
    timers.every(1_000, heartbeat)
    timers.advance(60_000)
"""

import asyncio
import heapq
import itertools
import time
import typing

Callback = typing.Callable[[], None]


class Subscription:
    """A pending or repeating callback that its subscriber can cancel."""

    def __init__(self, callback: Callback, period_ms: float | None) -> None:
        self.callback = callback
        self.period_ms = period_ms
        self.active = True

    def cancel(self) -> None:
        """Stop further calls; cancelling twice is harmless."""
        self.active = False


class Timers(typing.Protocol):
    """Monotonic and wall time in milliseconds, and callbacks at a time."""

    def now_ms(self) -> float:
        """Return monotonic time; comparable only inside this process."""

    def wall_ms(self) -> float:
        """Return time since the Unix epoch, for records that people read."""

    def after(self, delay_ms: float, callback: Callback) -> Subscription:
        """Call once after a delay."""

    def every(self, period_ms: float, callback: Callback) -> Subscription:
        """Call repeatedly, the first time after one period."""


class LoopTimers:
    """Timers on the running asyncio loop."""

    def now_ms(self) -> float:
        return time.monotonic() * 1_000

    def wall_ms(self) -> float:
        return time.time() * 1_000

    def after(self, delay_ms: float, callback: Callback) -> Subscription:
        subscription = Subscription(callback, None)
        self._schedule(subscription, delay_ms)
        return subscription

    def every(self, period_ms: float, callback: Callback) -> Subscription:
        subscription = Subscription(callback, period_ms)
        self._schedule(subscription, period_ms)
        return subscription

    def _schedule(self, subscription: Subscription, delay_ms: float) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(delay_ms / 1_000, self._fire, subscription)

    def _fire(self, subscription: Subscription) -> None:
        if not subscription.active:
            return
        if subscription.period_ms is not None:
            self._schedule(subscription, subscription.period_ms)
        subscription.callback()


class VirtualTimers:
    """Timers whose time moves only when a test or an experiment advances it."""

    def __init__(self, start_ms: float = 0.0, wall_start_ms: float = 0.0) -> None:
        self._now_ms = start_ms
        self._wall_offset_ms = wall_start_ms - start_ms
        self._sequence = itertools.count()
        self._queue: list[tuple[float, int, Subscription]] = []

    def now_ms(self) -> float:
        return self._now_ms

    def wall_ms(self) -> float:
        return self._now_ms + self._wall_offset_ms

    def after(self, delay_ms: float, callback: Callback) -> Subscription:
        subscription = Subscription(callback, None)
        self._push(subscription, delay_ms)
        return subscription

    def every(self, period_ms: float, callback: Callback) -> Subscription:
        subscription = Subscription(callback, period_ms)
        self._push(subscription, period_ms)
        return subscription

    def _push(self, subscription: Subscription, delay_ms: float) -> None:
        due_ms = self._now_ms + max(0.0, delay_ms)
        heapq.heappush(self._queue, (due_ms, next(self._sequence), subscription))

    def next_due_ms(self) -> float | None:
        """Return the time of the earliest active callback, or None."""
        while self._queue and not self._queue[0][2].active:
            heapq.heappop(self._queue)
        return self._queue[0][0] if self._queue else None

    def advance(self, delta_ms: float) -> None:
        """Move time forward, running each callback at its own moment."""
        end_ms = self._now_ms + delta_ms
        while True:
            due_ms = self.next_due_ms()
            if due_ms is None or due_ms > end_ms:
                break
            _, _, subscription = heapq.heappop(self._queue)
            self._now_ms = max(self._now_ms, due_ms)
            if subscription.period_ms is not None:
                self._push(subscription, subscription.period_ms)
            subscription.callback()
        self._now_ms = end_ms
