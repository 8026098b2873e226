"""How far the prompts sent to a target run ahead of what it has read.

An estimate by time alone, from the target's reading speed. It keeps an account that
borrows from filling a target with prompts that those of others then wait behind.
"""

AHEAD_MS = 250


class Pace:
    """The reading backlog of one target."""

    def __init__(self) -> None:
        self._busy_until_ms = float("-inf")

    def backlog_ms(self, now_ms: float) -> float:
        """Return how long the target still reads."""
        return max(0.0, self._busy_until_ms - now_ms)

    def sent(self, prefill_tokens: int, tokens_per_s: float, now_ms: float) -> None:
        """Count a prompt."""
        read_ms = prefill_tokens / tokens_per_s * 1_000
        self._busy_until_ms = max(now_ms, self._busy_until_ms) + read_ms

    def reset(self) -> None:
        """Forget the backlog of a target that started anew."""
        self._busy_until_ms = float("-inf")
