"""The rate at which a pool's queue drains, for estimates of waiting times."""

WINDOW_MS = 2_000
SMOOTHING_FACTOR = 0.3


class DrainRate:
    """A moving average of the tokens granted per millisecond while calls waited.

    Windows without a backlog are left out: they measure demand, not capacity::

        rate = drainrate.DrainRate()
        rate.record_grant(1_200, backlog=True, now_ms=now_ms)
        rate.wait_ms(tokens_ahead)
    """

    def __init__(self) -> None:
        self._tokens_per_ms: float | None = None
        self._window_from_ms: float | None = None
        self._window_tokens = 0.0

    def record_grant(self, tokens: float, backlog: bool, now_ms: float) -> None:
        """Record a grant; ``backlog`` is whether other calls are still waiting."""
        if not backlog:
            self._window_from_ms = None
            return
        if self._window_from_ms is None:
            self._window_from_ms = now_ms
            self._window_tokens = 0.0
            return
        self._window_tokens += tokens
        if now_ms - self._window_from_ms >= WINDOW_MS:
            self._close_window(now_ms)

    def _close_window(self, now_ms: float) -> None:
        newest = self._window_tokens / (now_ms - self._window_from_ms)
        if self._tokens_per_ms is None:
            self._tokens_per_ms = newest
        change = newest - self._tokens_per_ms
        self._tokens_per_ms += SMOOTHING_FACTOR * change
        self._window_from_ms = now_ms
        self._window_tokens = 0.0

    def wait_ms(self, tokens: float) -> float | None:
        """Return how long ``tokens`` take to drain, None if there is no estimate."""
        if not self._tokens_per_ms:
            return None
        return tokens / self._tokens_per_ms
