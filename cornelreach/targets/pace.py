"""How far the prompts sent to a target run ahead of what it has read.

An estimate by time alone, from the target's reading speed and its order by priority. It
keeps calls waiting at the pool's owner, where turns are fair, and not at the target::

    backlog = pace.Pace()
    backlog.sent(prefill_ms=400.0, priority=0, now_ms=now_ms)
    backlog.backlog_ms(priority=0, now_ms=now_ms)
"""

AHEAD_MS = 100
PRIORITIES = 4


class Pace:
    """The reading backlog of one target, by priority."""

    def __init__(self) -> None:
        self._left_ms = [0.0] * PRIORITIES
        self._empty = True
        self._at_ms = 0.0

    def backlog_ms(self, priority: int, now_ms: float) -> float:
        """Return how long the target reads before a new prompt of a priority."""
        self._read(now_ms)
        return 0.0 if self._empty else sum(self._left_ms[: priority + 1])

    def sent(self, prefill_ms: float, priority: int, now_ms: float) -> None:
        """Count a prompt."""
        self._read(now_ms)
        self._left_ms[priority] += prefill_ms
        self._empty = False

    def reset(self) -> None:
        """Forget the backlog; the target reads nothing."""
        self._left_ms = [0.0] * PRIORITIES
        self._empty = True

    def _read(self, now_ms: float) -> None:
        spent_ms = max(0.0, now_ms - self._at_ms)
        self._at_ms = now_ms
        if self._empty:
            return
        for priority, left_ms in enumerate(self._left_ms):
            read_ms = min(left_ms, spent_ms)
            self._left_ms[priority] = left_ms - read_ms
            spent_ms -= read_ms
        self._empty = not any(self._left_ms)
