"""Clocks and timers, real and simulated.

Decision logic receives a ``Timers`` object and never reads the system clock, so a test
can simulate hours without waiting::

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
    """A handle that cancels a one-shot or periodic callback."""

    def __init__(self, callback: Callback, period_ms: float | None) -> None:
        self.callback = callback
        self.period_ms = period_ms
        self.active = True

    def cancel(self) -> None:
        """Prevent further calls; calling this again has no effect."""
        self.active = False


class Timers(typing.Protocol):
    """Monotonic and wall-clock time in milliseconds, and timed callbacks."""

    def now_ms(self) -> float:
        """Return monotonic time, which is comparable only within this process."""

    def wall_ms(self) -> float:
        """Return the time since the Unix epoch, for records that people read."""

    def after(self, delay_ms: float, callback: Callback) -> Subscription:
        """Call a function once after a delay."""

    def every(self, period_ms: float, callback: Callback) -> Subscription:
        """Call a function periodically, first after one period."""


class LoopTimers:
    """Timers of the running asyncio event loop."""

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
    """Simulated timers whose time changes only when ``advance`` is called."""

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
        """Return the time of the next active callback, or None."""
        while self._queue and not self._queue[0][2].active:
            heapq.heappop(self._queue)
        return self._queue[0][0] if self._queue else None

    def advance(self, delta_ms: float) -> None:
        """Advance the time and run each callback at the time it is due."""
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
