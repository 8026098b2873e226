"""Prefill rates of engines, estimated from the time to the first token.

A rate is in prompt tokens a millisecond. Each engine is compared with the median of all
engines, so that one that has slowed down is noticed soon, and the time of a fetch from
a prompt store is compared with the expected time of a prefill::

    rates.record("engine-1", tokens=9_000, elapsed_ms=90.0)
    rates.slowdown("engine-1")      # 1.0: as fast as the median
"""

import statistics

NEWEST_WEIGHT = 0.15
MIN_TOKENS = 2_000  # for shorter prompts the time of a step dominates
STEP_MS = 10.0  # the time of generating the first token itself
INITIAL_RATE = 60.0  # before the first measurement; low, so that fetches are tried
MIN_SLOWDOWN, MAX_SLOWDOWN = 0.7, 8.0


class PrefillRates:
    """The prefill rates of all engines, as moving averages."""

    def __init__(self) -> None:
        self._rates: dict[str, float] = {}
        self._median: float | None = None

    def record(self, engine: str, tokens: float, elapsed_ms: float) -> None:
        """Update a rate from the tokens prefilled before a first token and its time."""
        if tokens < MIN_TOKENS:
            return
        rate = tokens / max(1.0, elapsed_ms - STEP_MS)
        self._median = None
        average = self._rates.get(engine, rate)
        self._rates[engine] = average + NEWEST_WEIGHT * (rate - average)

    def median(self) -> float:
        """Return the median rate of all engines."""
        if not self._rates:
            return INITIAL_RATE
        if self._median is None:
            self._median = statistics.median(self._rates.values())
        return self._median

    def expected_ms(self, tokens: float) -> float:
        """Return the expected time to the first token at the median rate."""
        return STEP_MS + tokens / self.median()

    def slowdown(self, engine: str) -> float:
        """Return how many times slower than the median an engine is, within limits."""
        rate = self._rates.get(engine)
        if rate is None:
            return 1.0
        return min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, self.median() / rate))

    def forget(self, engine: str) -> None:
        """Forget the rate of an engine that was removed."""
        self._rates.pop(engine, None)
        self._median = None
