"""Prefill rates of engines, estimated from the time to the first token.

A rate is in prompt tokens a millisecond. Each engine is compared with the median of all
engines, so that one that has slowed down is noticed soon, and the time of a fetch from
a prompt store is compared with the expected time of a prefill::

    paces.read("engine-1", tokens=9_000, elapsed_ms=90.0)
    paces.ratio("engine-1")      # 1.0: as fast as the others
"""

import statistics

WEIGHT_OF_NEWEST = 0.15
LEAST_TOKENS = 2_000  # for shorter prompts the time of a step dominates
STEP_MS = 10.0  # the time of generating the first token itself
FIRST_PACE = 60.0  # before the first measurement; low, so that fetches are tried
LEAST_RATIO, MOST_RATIO = 0.7, 8.0


class PrefillRates:
    """The prefill rates of all engines, as moving averages."""

    def __init__(self) -> None:
        self._rates: dict[str, float] = {}

    def read(self, engine: str, tokens: float, elapsed_ms: float) -> None:
        """Update a rate from the tokens prefilled before a first token and its time."""
        if tokens < LEAST_TOKENS:
            return
        rate = tokens / max(1.0, elapsed_ms - STEP_MS)
        average = self._rates.get(engine, rate)
        self._rates[engine] = average + WEIGHT_OF_NEWEST * (rate - average)

    def middle(self) -> float:
        """Return the median rate of all engines."""
        if not self._rates:
            return FIRST_PACE
        return statistics.median(self._rates.values())

    def expected_ms(self, tokens: float) -> float:
        """Return the expected time to the first token at the median rate."""
        return STEP_MS + tokens / self.middle()

    def ratio(self, engine: str) -> float:
        """Return how many times slower than the median an engine is, within limits."""
        rate = self._rates.get(engine)
        if rate is None:
            return 1.0
        return min(MOST_RATIO, max(LEAST_RATIO, self.middle() / rate))

    def forget(self, engine: str) -> None:
        """Forget the rate of an engine that was removed."""
        self._rates.pop(engine, None)
