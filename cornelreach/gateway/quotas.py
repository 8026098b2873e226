"""Fleet-wide limits, enforced by all instances without a coordinator.

Each limit is divided by the number of instances that ever registered. The sum therefore
stays within the limit even while some instances are down, starting or partitioned: the
share of an instance that is gone is left unused. The remainder of a rate that cannot be
divided evenly goes to the instances that rank first for the target by rendezvous
hashing. The rate below is that of the service, times the overage, plus the slack::

    share = quotas.cold_share(fleet, "engine-1", 13.0 * 1.5 + 5.0)
    if state.sends.admits(share, now_ms): state.sends.reserve()
"""

import collections
import enum
import functools
import math
import typing

from cornelreach.util import hashing

WINDOW_MS = 1_000
LIMIT_WINDOW_MS = 4_000.0
MAX_LIMIT_WINDOW_MS = 20_000.0
UNHEARD_MS = 10_000.0  # then more instances may ask whether a limit still holds
SAFE_SHARE = 0.8  # margin: instances disagree on the fleet size while one starts
START_SHARE = 0.15  # of the ratio; what SAFE_SHARE leaves unspent covers it
BUCKET_MS = 250
CACHED_SHARES = 2_048
CACHED_RANKS = 16_384
MAX_LIMIT_PER_S = 1_000_000.0


class Fleet(typing.NamedTuple):
    """The name of this instance and the names of all registered instances."""

    name: str
    names: tuple[str, ...]

    @property
    def size(self) -> int:
        """Return the number of registered instances, at least one."""
        return max(1, len(self.names))


@functools.lru_cache(maxsize=CACHED_SHARES)
def cold_share(fleet: Fleet, target: str, bound_per_s: float) -> int:
    """Return how many requests a second this instance may send to a cold target.

    It ranks all instances, so results are cached until the fleet changes.
    """
    total = max(1, int(bound_per_s * SAFE_SHARE))
    share, remainder = divmod(total, fleet.size)
    if not remainder:
        return share
    names = set(fleet.names) | {fleet.name}
    ranked = hashing.rendezvous(target.encode(), names)
    return share + (1 if ranked.index(fleet.name) < remainder else 0)


def place_share(fleet: Fleet, target: str, places: int) -> int:
    """Return how many places of a target belong to this instance."""
    share, remainder = divmod(places, fleet.size)
    return share + (1 if remainder and _rank(fleet, target) < remainder else 0)


@functools.lru_cache(maxsize=CACHED_RANKS)
def _rank(fleet: Fleet, target: str) -> int:
    names = set(fleet.names) | {fleet.name}
    return hashing.rendezvous(target.encode(), names).index(fleet.name)


class LimitShare(typing.NamedTuple):
    """How many requests an instance may send to a target in any window."""

    requests: int
    window_ms: float


def limit_share(
    fleet: Fleet, target: str, per_s: float, unheard_ms: float = 0.0
) -> LimitShare:
    """Return this instance's share of the limit that a target named.

    A limit too small for one request each goes to the instances that rank first. While
    nobody hears from the target, ever more of the others may send it one request, so
    that the end of its limit is noticed though those that rank first are down.
    """
    window_ms = LIMIT_WINDOW_MS
    if 0 < per_s < 1_000 / LIMIT_WINDOW_MS:
        window_ms = min(MAX_LIMIT_WINDOW_MS, 1_000 / per_s)
    total = math.floor(min(per_s, MAX_LIMIT_PER_S) * window_ms / 1_000 + 1e-6)
    unheard_steps = int(unheard_ms // UNHEARD_MS)
    return LimitShare(_limit_requests(fleet, target, total, unheard_steps), window_ms)


@functools.lru_cache(maxsize=CACHED_SHARES)
def _limit_requests(fleet: Fleet, target: str, total: int, unheard_steps: int) -> int:
    """Return this instance's part of a number of requests.

    It ranks all instances, so results are cached until the fleet changes.
    """
    share, remainder = divmod(total, fleet.size)
    names = set(fleet.names) | {fleet.name}
    rank = hashing.rendezvous(target.encode(), names).index(fleet.name)
    if rank < remainder:
        return share + 1
    asking = remainder + unheard_steps * max(1, total)
    return max(share, 1 if rank < asking else 0)


class SendWindow:
    """The requests sent to one target in a sliding window, and those chosen for it.

    A request is reserved when its target is chosen and confirmed when its first byte is
    sent. Without the reservation, requests that wait for a connection at the same time
    would all be admitted before the first of them is counted.
    """

    def __init__(self) -> None:
        self._sent_ms: collections.deque[float] = collections.deque()
        self._reserved = 0

    def reserve(self) -> None:
        """Count a request that is about to be sent."""
        self._reserved += 1

    def cancel(self) -> None:
        """Return the reservation of a request that was not sent."""
        self._reserved -= 1

    def confirm(self, now_ms: float) -> None:
        """Turn a reservation into a request that is sent now."""
        self._reserved -= 1
        self.record(now_ms)

    def record(self, now_ms: float) -> None:
        """Count a request that is sent now without a reservation."""
        self._expire(now_ms)
        self._sent_ms.append(now_ms)

    def admits(
        self, share: int, now_ms: float, own: int = 0, window_ms: float = WINDOW_MS
    ) -> bool:
        """Return whether one more request fits into the share.

        ``own`` reservations belong to the request itself.
        """
        sent = self._count(now_ms - window_ms, share)
        return sent + self._reserved - own < share

    def count(self, now_ms: float, window_ms: float = WINDOW_MS) -> int:
        """Return how many requests were sent in a window that ends now."""
        return self._count(now_ms - window_ms, len(self._sent_ms))

    def wait_ms(self, share: LimitShare, now_ms: float) -> float:
        """Return how long until a request fits into a share; its window at most."""
        if len(self._sent_ms) < share.requests or not share.requests:
            return share.window_ms
        oldest_ms = self._sent_ms[-share.requests]
        return max(0.0, oldest_ms + share.window_ms - now_ms)

    def _count(self, since_ms: float, enough: int) -> int:
        """Return how many requests were sent after a time, up to ``enough``."""
        count = 0
        for sent_ms in reversed(self._sent_ms):
            if sent_ms <= since_ms or count >= enough:
                break
            count += 1
        return count

    def _expire(self, now_ms: float) -> None:
        while self._sent_ms and self._sent_ms[0] <= now_ms - MAX_LIMIT_WINDOW_MS:
            self._sent_ms.popleft()


def connection_share(fleet: Fleet, bound: int) -> int:
    """Return how many connections this instance may keep open to one target."""
    return max(1, math.floor(bound * SAFE_SHARE / fleet.size))


class Admission(enum.StrEnum):
    """Whether a retry is admitted, or what keeps it back."""

    ADMITTED = "admitted"
    SPENT = "spent"
    AFTER_START = "after start"  # it would be admitted later


class RetryBudget:
    """The retry budget of one service, over a sliding window.

    A retry is any further attempt of a request that reaches a target. For a window
    after the start of the process, most of the budget is held back: the process before
    it under this name may have spent its own. The share is that of the largest fleet of
    the last window, since instances that have left may have spent theirs. A retry
    that waits for a connection is reserved, like a request in ``SendWindow``::

        budget = quotas.RetryBudget(0.2, 56, 10_000, start_ms)
        budget.count_request(fleet, now_ms)
        if budget.admits_retry(fleet, now_ms) is quotas.Admission.ADMITTED:
            budget.count_retry(now_ms)
    """

    def __init__(
        self, ratio: float, slack: float, window_ms: float, start_ms: float
    ) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_ms = window_ms
        self.start_ms = start_ms
        self._requests: collections.deque[list[float]] = collections.deque()
        self._retries: collections.deque[list[float]] = collections.deque()
        self._reserved = 0
        self._fleet: Fleet | None = None
        self._larger: collections.deque[_FormerSize] = collections.deque()

    def count_request(self, fleet: Fleet, now_ms: float) -> None:
        """Count a request."""
        self._follow(fleet, now_ms)
        self._count(self._requests, now_ms)

    def count_retry(self, now_ms: float) -> None:
        """Count a retry."""
        self._count(self._retries, now_ms)

    def reserve(self) -> None:
        """Count a retry that is about to be sent."""
        self._reserved += 1

    def cancel(self) -> None:
        """Return a reservation, as the retry is counted or not sent."""
        self._reserved -= 1

    def admits_retry(self, fleet: Fleet, now_ms: float) -> Admission:
        """Return whether one more retry stays within this instance's share."""
        self._follow(fleet, now_ms)
        slack = self.slack * SAFE_SHARE / self._size(now_ms)
        earned = self.ratio * self._sum(self._requests, now_ms)
        needed = self._sum(self._retries, now_ms) + self._reserved + 1
        if needed > earned * SAFE_SHARE + slack:
            return Admission.SPENT
        is_new = now_ms < self.start_ms + self.window_ms
        if is_new and needed > earned * START_SHARE:
            return Admission.AFTER_START
        return Admission.ADMITTED

    def _follow(self, fleet: Fleet, now_ms: float) -> None:
        if fleet is self._fleet:
            return
        if self._fleet is not None and fleet.size < self._fleet.size:
            self._larger.append(_FormerSize(now_ms, self._fleet.size))
        self._fleet = fleet

    def _size(self, now_ms: float) -> int:
        """Return the size of the largest fleet of the last window."""
        while self._larger and self._larger[0].end_ms <= now_ms - self.window_ms:
            self._larger.popleft()
        return max(self._fleet.size, *(one.size for one in self._larger), 1)

    def _count(self, counts: collections.deque[list[float]], now_ms: float) -> None:
        if counts and now_ms - counts[-1][0] < BUCKET_MS:
            counts[-1][1] += 1
        else:
            counts.append([now_ms, 1])

    def _sum(self, counts: collections.deque[list[float]], now_ms: float) -> float:
        while counts and counts[0][0] <= now_ms - self.window_ms - BUCKET_MS:
            counts.popleft()
        return sum(count for _, count in counts)


class _FormerSize(typing.NamedTuple):
    """The size that a fleet had until a moment."""

    end_ms: float
    size: int
