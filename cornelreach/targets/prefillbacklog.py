"""Estimate of the prompts sent to a target that it has not prefilled yet.

The estimate uses only elapsed time, the target's prefill rate and its priority order.
It keeps calls waiting in the fair queue of the pool's owner instead of at the target::

    backlog = prefillbacklog.PrefillBacklog()
    backlog.add(prefill_ms=400.0, priority=0, now_ms=now_ms)
    backlog.backlog_ms(priority=0, now_ms=now_ms)
"""

MAX_BACKLOG_MS = 100
PRIORITIES = 4


class PrefillBacklog:
    """The prefill backlog of one target, by priority."""

    def __init__(self) -> None:
        self._remaining_ms = [0.0] * PRIORITIES
        self._empty = True
        self._updated_ms = 0.0

    def backlog_ms(self, priority: int, now_ms: float) -> float:
        """Return how long the target prefills before a new prompt of a priority."""
        self._advance(now_ms)
        return 0.0 if self._empty else sum(self._remaining_ms[: priority + 1])

    def add(self, prefill_ms: float, priority: int, now_ms: float) -> None:
        """Add a prompt that was sent to the target."""
        self._advance(now_ms)
        self._remaining_ms[priority] += prefill_ms
        self._empty = False

    def reset(self) -> None:
        """Clear the backlog, as after a restart of the target."""
        self._remaining_ms = [0.0] * PRIORITIES
        self._empty = True

    def _advance(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        self._updated_ms = now_ms
        if self._empty:
            return
        for priority, remaining_ms in enumerate(self._remaining_ms):
            done_ms = min(remaining_ms, elapsed_ms)
            self._remaining_ms[priority] = remaining_ms - done_ms
            elapsed_ms -= done_ms
        self._empty = not any(self._remaining_ms)
