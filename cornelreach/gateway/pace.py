"""How fast engines read prompts, learnt from first tokens.

The pace of an engine is in prompt tokens a millisecond. Engines are compared with the
middle of their service, so one that has slowed down shows at once, and fetches are
compared with what reading would have taken::

    paces.read("engine-1", tokens=9_000, elapsed_ms=90.0)
    paces.ratio("engine-1")      # 1.0: as fast as the others
"""

import statistics

WEIGHT_OF_NEWEST = 0.15
LEAST_TOKENS = 2_000  # shorter prompts tell of steps, not of reading
STEP_MS = 10.0  # of the first token itself
FIRST_PACE = 60.0  # until an engine has shown its own; low, so that fetching is tried
LEAST_RATIO, MOST_RATIO = 0.7, 8.0


class Paces:
    """The paces of all engines."""

    def __init__(self) -> None:
        self._paces: dict[str, float] = {}

    def read(self, engine: str, tokens: float, elapsed_ms: float) -> None:
        """Learn from a first token: all that was read before it, and its time."""
        if tokens < LEAST_TOKENS:
            return
        pace = tokens / max(1.0, elapsed_ms - STEP_MS)
        held = self._paces.get(engine, pace)
        self._paces[engine] = held + WEIGHT_OF_NEWEST * (pace - held)

    def middle(self) -> float:
        """Return the pace of a usual engine."""
        if not self._paces:
            return FIRST_PACE
        return statistics.median(self._paces.values())

    def expected_ms(self, tokens: float) -> float:
        """Return how long a usual engine reads."""
        return STEP_MS + tokens / self.middle()

    def ratio(self, engine: str) -> float:
        """Return how many times as long as a usual one an engine takes."""
        pace = self._paces.get(engine)
        if pace is None:
            return 1.0
        return min(MOST_RATIO, max(LEAST_RATIO, self.middle() / pace))

    def forget(self, engine: str) -> None:
        """Forget an engine that has gone."""
        self._paces.pop(engine, None)
