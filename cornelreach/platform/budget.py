"""Rate limits of one instance for calls to the platform.

The platform limits the call rate of the whole fleet. Each instance has an equal share
of it as its base rate and may exceed that while the platform accepts its calls. A 429
response halves the rate, and time without one raises it again, so the fleet converges
below the limit without coordination. When calls are scarce, the purposes have priority
in the order of ``Purpose``: each may take tokens only down to its own reserve, so the
later ones are held back first::

    budget = Budget(instances=8, now_ms=now_ms, random_source=random.Random())
    wait_ms = budget.try_acquire(Purpose.CLAIM, CallKind.WRITE, now_ms)
"""

import enum
import random
import typing

FLEET_WRITES_PER_S = 300
FLEET_READS_PER_S = 2_000
USABLE_SHARE = 0.8  # of the platform's limit, for the fleet
MAX_SHARE = 0.25  # of the platform's limit, for one instance
BURST_S = 4.0
MIN_BURST = 4.0
INITIAL_TOKENS = 2.2  # lets a starting instance make two calls at once
RECOVERY_SHARE_PER_S = 0.1
INCREASE_SHARE_PER_S = 0.02
MIN_WAIT_MS = 20.0
START_SPREAD_MS = 1_500
THROTTLED_PAUSE_MS = 1_000
TOO_MANY_REQUESTS = 429


class CallKind(enum.Enum):
    """Kinds of limited calls; an open watch counts as a read until it ends."""

    READ = "read"
    WRITE = "write"
    WATCH = "watch"


class Purpose(enum.IntEnum):
    """What a call is for; the highest value has the lowest priority."""

    CLAIM = 0
    LEASE = 1
    SETTINGS = 2
    OWNERSHIP = 3
    MEMBERSHIP = 4
    STATUS = 5


RESERVED_SHARE = {
    Purpose.CLAIM: 0.0,
    Purpose.LEASE: 0.1,
    Purpose.SETTINGS: 0.2,
    Purpose.OWNERSHIP: 0.3,
    Purpose.MEMBERSHIP: 0.45,
    Purpose.STATUS: 0.6,
}


class Bucket:
    """A token bucket whose rate drops when throttled; rates are in calls per second."""

    def __init__(self, fleet_per_s: float, instances: int, now_ms: float) -> None:
        self.fleet_per_s = fleet_per_s
        self.rate_per_s = 0.0
        self.base_per_s = 0.0
        self.tokens = 0.0
        self._refilled_ms = now_ms
        self._paused_until_ms = 0.0
        self.resize(instances)
        self.rate_per_s = self.base_per_s
        self.tokens = INITIAL_TOKENS

    @property
    def burst(self) -> float:
        """Return the largest number of calls that may be sent at once."""
        return max(MIN_BURST, self.rate_per_s * BURST_S)

    def resize(self, instances: int) -> None:
        """Set the number of instances in the fleet."""
        share = USABLE_SHARE / max(1, instances)
        self.base_per_s = self.fleet_per_s * share
        self.rate_per_s = max(self.rate_per_s, self.base_per_s)

    def try_acquire(self, reserve: float, now_ms: float) -> float:
        """Take a token and return 0, or return the time to wait in milliseconds."""
        self._refill(now_ms)
        if now_ms < self._paused_until_ms:
            return self._paused_until_ms - now_ms
        missing = 1 + reserve * self.burst - self.tokens
        if missing <= 1e-9:
            self.tokens -= 1
            return 0.0
        return max(MIN_WAIT_MS, missing / self.rate_per_s * 1_000)

    def on_throttled(self, now_ms: float) -> None:
        """Slow down after the platform throttled a call."""
        self._refill(now_ms)
        self.rate_per_s = max(self.base_per_s / 2, self.rate_per_s / 2)
        self.tokens = min(self.tokens, 0.0)
        self._paused_until_ms = now_ms + THROTTLED_PAUSE_MS

    def _refill(self, now_ms: float) -> None:
        elapsed_s = max(0.0, now_ms - self._refilled_ms) / 1_000
        self._refilled_ms = max(now_ms, self._refilled_ms)
        self._increase_rate(elapsed_s)
        self.tokens = min(self.burst, self.tokens + elapsed_s * self.rate_per_s)

    def _increase_rate(self, elapsed_s: float) -> None:
        """Recover quickly to the base rate, then increase it slowly."""
        base = self.base_per_s
        if self.rate_per_s < base:
            recovery_s = (base - self.rate_per_s) / (RECOVERY_SHARE_PER_S * base)
            recovered_s = min(elapsed_s, recovery_s)
            self.rate_per_s += recovered_s * RECOVERY_SHARE_PER_S * base
            elapsed_s -= recovered_s
        limit = max(base, self.fleet_per_s * MAX_SHARE)
        increased = self.rate_per_s + elapsed_s * INCREASE_SHARE_PER_S * base
        self.rate_per_s = min(limit, increased)


class Budget:
    """The read and write limits of one instance."""

    def __init__(
        self, instances: int, now_ms: float, random_source: random.Random
    ) -> None:
        self.random_source = random_source
        self.reads = Bucket(FLEET_READS_PER_S, instances, now_ms)
        self.writes = Bucket(FLEET_WRITES_PER_S, instances, now_ms)

    def resize(self, instances: int) -> None:
        """Set the number of instances in the fleet."""
        self.reads.resize(instances)
        self.writes.resize(instances)

    def try_acquire(self, purpose: Purpose, kind: CallKind, now_ms: float) -> float:
        """Return 0 if the call may be sent now, or the time to wait, with jitter."""
        bucket = self.writes if kind is CallKind.WRITE else self.reads
        wait_ms = bucket.try_acquire(RESERVED_SHARE[purpose], now_ms)
        return wait_ms * self.random_source.uniform(1.0, 1.5)

    def on_response(self, kind: CallKind, status: int, now_ms: float) -> None:
        """Adjust the rate to the status of a response."""
        if status == TOO_MANY_REQUESTS:
            bucket = self.writes if kind is CallKind.WRITE else self.reads
            bucket.on_throttled(now_ms)


def start_delay_ms(random_source: random.Random) -> float:
    """Return a random delay before the first call of an instance.

    When the whole fleet restarts at once, its first reads are thereby spread evenly
    over ``START_SPREAD_MS``.
    """
    return random_source.uniform(0, START_SPREAD_MS)


Sleep = typing.Callable[[float], typing.Awaitable[None]]


class RateLimiter:
    """Delays the calls of one purpose to stay within a budget, for ``client.Client``::

    limiter = RateLimiter(budget, Purpose.CLAIM, timers.now_ms, asyncio.sleep)
    before_call, on_response = limiter.acquire, limiter.on_response
    objects = client.Client(http, address, before_call, on_response=on_response)
    """

    def __init__(
        self,
        budget: Budget,
        purpose: Purpose,
        now_ms: typing.Callable[[], float],
        sleep: Sleep,
    ) -> None:
        self.budget = budget
        self.purpose = purpose
        self.now_ms = now_ms
        self.sleep = sleep

    async def acquire(self, kind: str) -> None:
        """Wait until a call of this kind may be sent."""
        while wait_ms := self.budget.try_acquire(
            self.purpose, CallKind(kind), self.now_ms()
        ):
            await self.sleep(wait_ms / 1_000)

    def on_response(self, kind: str, status: int) -> None:
        """Pass the status of a response on to the budget."""
        self.budget.on_response(CallKind(kind), status, self.now_ms())
