"""Exponential backoff with jitter."""

import random

BASE_MS = 200
LIMIT_MS = 20_000


class Backoff:
    """Computes the delays between the attempts of one call.

    ``next_ms`` grows with each failure; call ``reset`` after a success::

        delay_ms = backoff.next_ms(at_least_ms=error.retry_after_ms)
    """

    def __init__(
        self,
        random_source: random.Random,
        base_ms: float = BASE_MS,
        limit_ms: float = LIMIT_MS,
    ) -> None:
        self.random_source = random_source
        self.base_ms = base_ms
        self.limit_ms = limit_ms
        self.failures = 0

    def reset(self) -> None:
        """Return to the shortest delay."""
        self.failures = 0

    def next_ms(self, at_least_ms: float = 0) -> float:
        """Return a random delay from the upper half of a range.

        The range doubles with each failure, up to ``limit_ms``. ``at_least_ms`` is
        added to the delay, so that callers given the same retry time spread out.
        """
        ceiling_ms = min(self.limit_ms, self.base_ms * 2 ** min(self.failures, 30))
        self.failures += 1
        return at_least_ms + self.random_source.uniform(ceiling_ms / 2, ceiling_ms)
