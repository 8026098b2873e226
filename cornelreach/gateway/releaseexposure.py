"""Which requests go to the new version of a service while its rollout is observed.

Every instance limits what it sends to the new version by a token bucket, and all of
them choose the same few targets at the same times without exchanging anything::

    exposure = Exposure(order, bounds.exposure_share)
    lane = exposure.lane(now_ms, age_ms, phase, True, False, False, False, draw)
    targets = exposure.canary_targets(age_ms, targets, is_cold)
"""

import enum
import math
import typing

from cornelreach.gateway import registry as registry_module, releaseanalysis
from cornelreach.util import hashing

# The rest of the bound is left to the requests that reach the new version between the
# good verdict and a bad one that follows it.
CANARY_SHARE = 0.7
MAX_TOKENS = 2.0
# In a pulse chance keeps the share, and tokens only bound how far it may stray. Without
# debt, 60 instances with two requests a second each sent half of the share.
PULSE_DEBT = 2.0
PULSE_TOKENS = 2.0  # saved for another pulse, as times of what one takes
PULSE_MS = 1_000.0
# With few targets a longer period would end after the verdict; two pulses are over at
# 0.5 of the duration.
MAX_PERIOD_SHARE = 0.25
ROTATION_MS = 4_000.0  # one bad machine is not mistaken for a bad version
AT_MOST_ONCE_SHARE = 0.2  # of the duration; by then a version bad from the start is out
HALF_MS = 500.0  # in which old targets empty and new ones take on their load
RATE_MS = 3_000.0  # over which this instance's rate of requests is averaged


class Lane(enum.Enum):
    """The version that a request goes to."""

    OLD = "old"
    NEW = "new"


class _Rate:
    """A moving average of the requests a second, without bias from the start on."""

    def __init__(self, now_ms: float) -> None:
        self._start_ms = self._last_ms = now_ms
        self._sum = 0.0

    def add(self, now_ms: float) -> None:
        decay = math.exp(-max(0.0, now_ms - self._last_ms) / RATE_MS)
        self._sum = self._sum * decay + 1.0
        self._last_ms = max(now_ms, self._last_ms)

    def per_s(self) -> float:
        seen = -math.expm1(-(self._last_ms - self._start_ms) / RATE_MS)
        return self._sum / (RATE_MS / 1_000 * seen) if seen > 0 else 0.0


class Exposure:
    """The share of one instance's requests that go to the new version of an order.

    ``target_count`` is how many targets of the new version are open. The owner sets it
    when the listing changes; ``canary_targets`` sets it as well.
    """

    def __init__(self, order: releaseanalysis.Order, exposure_share: float) -> None:
        self.order = order
        self.share = CANARY_SHARE * exposure_share
        self.target_count = 0
        self._tokens: float | None = None
        self._rate: _Rate | None = None
        self._shifting_ms: float | None = None
        self._ranked: tuple[frozenset[str], dict[str, int]] = (frozenset(), {})

    def lane(
        self,
        now_ms: float,
        age_ms: float,
        phase: releaseanalysis.Phase,
        is_granted: bool,
        is_at_most_once: bool,
        is_only_kind: bool,
        is_retry: bool,
        draw: float,
    ) -> Lane:
        """Return the version that a request goes to, and account for it.

        It is called once for each attempt for which both versions have an open target.
        ``is_granted`` tells whether a directive allows the new version at present;
        ``is_only_kind`` whether the service has no route besides those that may run
        only once; ``draw`` is a random number from 0 to 1.
        """
        if not is_retry:
            self._add_request(now_ms, draw)
        if phase == releaseanalysis.Phase.OBSERVING:
            is_late = age_ms >= AT_MOST_ONCE_SHARE * self.order.duration_ms
            may_run = not is_at_most_once or is_only_kind or is_late
            if is_retry or not is_granted or not may_run:
                return Lane.OLD
            return Lane.NEW if self._spend(age_ms, draw) else Lane.OLD
        if phase == releaseanalysis.Phase.SHIFTING:
            return self._shift(now_ms, is_granted, is_retry, draw)
        is_over = phase == releaseanalysis.Phase.SUCCEEDED
        return Lane.NEW if is_over else Lane.OLD

    def refund(self, now_ms: float) -> None:
        """Return the token of an attempt at the new version that was not sent."""
        if self._tokens is not None:
            self._tokens = min(self._max_tokens(), self._tokens + 1.0)

    def _add_request(self, now_ms: float, draw: float) -> None:
        if self._tokens is None or self._rate is None:
            # Many instances with few requests each would otherwise send nothing for
            # seconds; a random rest makes the expected share exact from the start.
            self._tokens, self._rate = draw, _Rate(now_ms)
        self._rate.add(now_ms)
        self._tokens = min(self._max_tokens(), self._tokens + self.share)

    def _chosen(self) -> int:
        """Return how many targets of the new version get the share.

        It is rounded up: with fewer, each would get more than an old target does.
        """
        return max(1, math.ceil(self.target_count * self.share - 1e-9))

    def _pulse_share(self) -> float:
        """Return the share of the requests that go to the new version in a pulse."""
        return min(1.0, self._chosen() / max(1, self.target_count))

    def _pulse(self) -> tuple[float, float]:
        """Return the length and the period of the pulses."""
        period_ms = PULSE_MS * self._pulse_share() / self.share
        period_ms = min(period_ms, MAX_PERIOD_SHARE * self.order.duration_ms)
        return period_ms * self.share / self._pulse_share(), period_ms

    def _has_pulses(self) -> bool:
        return self.target_count > 0 and 0 < self.share < self._pulse_share()

    def _max_tokens(self) -> float:
        if self._rate is None or not self._has_pulses():
            return MAX_TOKENS
        in_pulse = self._pulse()[0] / 1_000 * self._rate.per_s() * self._pulse_share()
        return max(MAX_TOKENS, PULSE_TOKENS * in_pulse)

    def _spend(self, age_ms: float, draw: float) -> bool:
        if self._tokens is None:
            return False
        needed = 1.0
        if self._has_pulses():
            length_ms, period_ms = self._pulse()
            # At the end of each period, when its tokens are there.
            in_pulse = age_ms % period_ms >= period_ms - length_ms
            if not in_pulse or draw >= self._pulse_share():
                return False
            needed -= PULSE_DEBT
        if self._tokens < needed:
            return False
        self._tokens -= 1.0
        return True

    def _shift(
        self, now_ms: float, is_granted: bool, is_retry: bool, draw: float
    ) -> Lane:
        if self._shifting_ms is None:
            self._shifting_ms = now_ms
        if not is_granted:
            return Lane.OLD
        if now_ms - self._shifting_ms >= HALF_MS:
            return Lane.NEW  # retries as well: the old targets have to become empty
        return Lane.NEW if draw < 0.5 and not is_retry else Lane.OLD

    def canary_targets(
        self,
        age_ms: float,
        targets: typing.Sequence[registry_module.Target],
        is_cold: typing.Callable[[registry_module.Target], bool],
    ) -> list[registry_module.Target]:
        """Return those of the new version's open targets that get the granted share.

        It applies while the phase is ``OBSERVING``; later all of them are used.
        """
        self.target_count = len(targets)
        if not targets:
            return []
        names = frozenset(one.id for one in targets)
        if names != self._ranked[0]:
            key = hashing.digest(*(str(part).encode() for part in self.order[:3]))
            ranked = hashing.rendezvous(key, names)
            self._ranked = names, {name: rank for rank, name in enumerate(ranked)}
        ranks = self._ranked[1]
        chosen, count = self._chosen(), len(targets)
        first = int(age_ms // ROTATION_MS) * chosen

        def order(target: registry_module.Target) -> tuple[bool, int]:
            return is_cold(target), (ranks[target.id] - first) % count

        return sorted(targets, key=order)[:chosen]
