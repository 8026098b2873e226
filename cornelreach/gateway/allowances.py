"""Limits that all instances hold together without a centre.

Each instance takes a share by the number of instances that ever registered, so the sum
stays within the bound whoever is dead, new or cut off: an instance that is gone leaves
its share unused. A rate too small to be divided goes to the instances that rank first
for that target::

    allowance = allowances.Cold(per_s=13.0, overage=1.5, slack=5.0)
    allowance.admits(state.sent_cold_ms, share, now_ms)
"""

import collections
import math
import typing

from cornelreach.util import hashing

WINDOW_MS = 1_000
SAFE_SHARE = 0.8  # views of the number of instances differ while one is starting
BUCKET_MS = 1_000


class Fleet(typing.NamedTuple):
    """This instance's name and all registered names."""

    name: str
    names: tuple[str, ...]

    @property
    def size(self) -> int:
        """Return the number of instances, at least one."""
        return max(1, len(self.names))


def cold_share(fleet: Fleet, target: str, bound_per_s: float) -> int:
    """Return how many requests this instance may send a cold target in any second."""
    whole = max(1, int(bound_per_s * SAFE_SHARE))
    share, left = divmod(whole, fleet.size)
    if not left:
        return share
    names = set(fleet.names) | {fleet.name}
    ranked = hashing.rendezvous(target.encode(), names)
    return share + (1 if ranked.index(fleet.name) < left else 0)


def admits_cold(sent_ms: list[float], share: int, now_ms: float) -> bool:
    """Return whether one more request fits; forgets those out of the window."""
    while sent_ms and sent_ms[0] <= now_ms - WINDOW_MS:
        sent_ms.pop(0)
    return len(sent_ms) < share


def connection_share(fleet: Fleet, bound: int) -> int:
    """Return how many connections this instance may hold to one target."""
    return max(1, math.floor(bound * SAFE_SHARE / fleet.size))


class Retries:
    """Arrivals beyond the first of each request at one service, in a sliding window."""

    def __init__(self, ratio: float, slack: float, window_ms: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_ms = window_ms
        self._firsts: collections.deque[list[float]] = collections.deque()
        self._repeats: collections.deque[list[float]] = collections.deque()

    def first(self, now_ms: float) -> None:
        """Count a request."""
        self._count(self._firsts, now_ms)

    def repeated(self, now_ms: float) -> None:
        """Count an arrival beyond the first."""
        self._count(self._repeats, now_ms)

    def admits(self, fleet: Fleet, now_ms: float) -> bool:
        """Return whether one more repeat stays within this instance's share."""
        slack = self.slack * SAFE_SHARE / fleet.size
        earned = self.ratio * SAFE_SHARE * self._sum(self._firsts, now_ms)
        return self._sum(self._repeats, now_ms) + 1 <= earned + slack

    def _count(self, counts: collections.deque[list[float]], now_ms: float) -> None:
        if counts and now_ms - counts[-1][0] < BUCKET_MS:
            counts[-1][1] += 1
        else:
            counts.append([now_ms, 1])

    def _sum(self, counts: collections.deque[list[float]], now_ms: float) -> float:
        while counts and counts[0][0] <= now_ms - self.window_ms - BUCKET_MS:
            counts.popleft()
        return sum(count for _, count in counts)
