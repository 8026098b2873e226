"""Cache events of an engine or a store: late, with gaps and with repeats."""

import collections
import random
import typing

from cornelreach.util import timers as timers_module

EVENTS_KEPT = 20_000


class Event(typing.NamedTuple):
    """One cache event; ``op`` is ``stored`` or ``removed``."""

    seq: int
    op: str
    key: str
    due_ms: float


class Faults(typing.NamedTuple):
    """How badly cache events travel."""

    lag_ms: float = 200.0
    gap_share: float = 0.0
    repeat_share: float = 0.0


class Log:
    """The latest events; a lost one shows as a jump in the sequence."""

    def __init__(
        self,
        timers: timers_module.Timers,
        faults: Faults | None = None,
        seed: int = 0,
    ) -> None:
        self.timers = timers
        self.faults = faults or Faults()
        self.seq = 0
        self._kept: collections.deque[Event] = collections.deque(maxlen=EVENTS_KEPT)
        self._random = random.Random(seed)

    def publish(self, op: str, key: str) -> None:
        """Number an event and keep it until it may be seen."""
        self.seq += 1
        if self._random.random() < self.faults.gap_share:
            return
        event = Event(self.seq, op, key, self.timers.now_ms() + self.faults.lag_ms)
        self._kept.append(event)
        if self._random.random() < self.faults.repeat_share:
            self._kept.append(event)

    def after(self, seq: int) -> tuple[list[Event], int]:
        """Return the events visible after ``seq``, and the ``seq`` to ask with next."""
        now_ms = self.timers.now_ms()
        visible = []
        for event in reversed(self._kept):
            if event.seq <= seq:
                break
            if event.due_ms <= now_ms:
                visible.append(event)
        visible.reverse()
        return visible, max([seq, *(event.seq for event in visible)])

    def clear(self) -> None:
        """Start anew, as a restart does."""
        self._kept.clear()
        self.seq = 0
