"""Cache events of an engine or a store, with delay, gaps and repeats."""

import collections
import random
import typing

from cornelreach.util import timers as timers_module

MAX_EVENTS = 20_000


class Event(typing.NamedTuple):
    """One cache event; ``op`` is ``stored`` or ``removed``."""

    seq: int
    op: str
    key: str
    visible_ms: float


class Faults(typing.NamedTuple):
    """Delay of cache events, and the shares that are lost and repeated."""

    lag_ms: float = 200.0
    gap_share: float = 0.0
    repeat_share: float = 0.0


class Log:
    """The latest events; a lost event shows as a gap in the sequence numbers."""

    def __init__(
        self,
        timers: timers_module.Timers,
        faults: Faults | None = None,
        seed: int = 0,
    ) -> None:
        self.timers = timers
        self.faults = faults or Faults()
        self.seq = 0
        self._events: collections.deque[Event] = collections.deque(maxlen=MAX_EVENTS)
        self._random = random.Random(seed)

    def publish(self, op: str, key: str) -> None:
        """Number an event and add it; it becomes visible after the lag."""
        self.seq += 1
        if self._random.random() < self.faults.gap_share:
            return
        event = Event(self.seq, op, key, self.timers.now_ms() + self.faults.lag_ms)
        self._events.append(event)
        if self._random.random() < self.faults.repeat_share:
            self._events.append(event)

    def after(self, seq: int) -> tuple[list[Event], int]:
        """Return the visible events after ``seq`` and the ``seq`` for the next call."""
        now_ms = self.timers.now_ms()
        visible = []
        for event in reversed(self._events):
            if event.seq <= seq:
                break
            if event.visible_ms <= now_ms:
                visible.append(event)
        visible.reverse()
        return visible, max([seq, *(event.seq for event in visible)])

    def clear(self) -> None:
        """Drop all events and restart the numbering, as a restart does."""
        self._events.clear()
        self.seq = 0
