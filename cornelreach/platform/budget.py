"""Rate budget of one instance for calls to the platform.

The platform counts the calls of the whole fleet. Each instance takes an equal share as
its floor and may go above it while the platform does not refuse: a refusal halves the
rate, quiet time raises it again, so the fleet settles below the limit with no talk
about it. Of a scarce rate the purposes are served in the order of ``Purpose``: each may
draw the bucket down only to its own reserve, so the later ones stop first::

    budget = Budget(instances=8, now_ms=now_ms, source=random.Random())
    wait_ms = budget.ask(Purpose.CLAIM, Call.WRITE, now_ms)
"""

import enum
import random
import typing

FLEET_WRITES_PER_S = 300
FLEET_READS_PER_S = 2_000
USED_SHARE = 0.8
CEILING_SHARE = 0.25
BURST_S = 4.0
LEAST_BURST = 4.0
START_TOKENS = 2.2
RECOVER_SHARE_PER_S = 0.1
RAISE_SHARE_PER_S = 0.02
LEAST_WAIT_MS = 20.0
START_SPREAD_MS = 1_500
REFUSED_PAUSE_MS = 1_000
REFUSED = 429


class Call(enum.Enum):
    """What the platform counts; a waiting watch counts as a read all the time."""

    READ = "read"
    WRITE = "write"
    WATCH = "watch"


class Purpose(enum.IntEnum):
    """What a call is for; the highest stops first."""

    CLAIM = 0
    LEASE = 1
    SETTINGS = 2
    OWNERSHIP = 3
    MEMBERSHIP = 4
    STATUS = 5


RESERVE = {
    Purpose.CLAIM: 0.0,
    Purpose.LEASE: 0.1,
    Purpose.SETTINGS: 0.2,
    Purpose.OWNERSHIP: 0.3,
    Purpose.MEMBERSHIP: 0.45,
    Purpose.STATUS: 0.6,
}


class Bucket:
    """A token bucket whose rate yields to refusals; rates are in calls a second."""

    def __init__(self, fleet_per_s: float, instances: int, now_ms: float) -> None:
        self.fleet_per_s = fleet_per_s
        self.rate_per_s = 0.0
        self.floor_per_s = 0.0
        self.tokens = 0.0
        self._at_ms = now_ms
        self._paused_until_ms = 0.0
        self.resize(instances)
        self.rate_per_s = self.floor_per_s
        self.tokens = START_TOKENS

    @property
    def burst(self) -> float:
        """Return how many calls may go out at once."""
        return max(LEAST_BURST, self.rate_per_s * BURST_S)

    def resize(self, instances: int) -> None:
        """Take over the size of the fleet."""
        share = USED_SHARE / max(1, instances)
        self.floor_per_s = self.fleet_per_s * share
        self.rate_per_s = max(self.rate_per_s, self.floor_per_s)

    def ask(self, reserve: float, now_ms: float) -> float:
        """Take a token and return 0, or return how long to wait before asking again."""
        self._refill(now_ms)
        if now_ms < self._paused_until_ms:
            return self._paused_until_ms - now_ms
        missing = 1 + reserve * self.burst - self.tokens
        if missing <= 1e-9:
            self.tokens -= 1
            return 0.0
        return max(LEAST_WAIT_MS, missing / self.rate_per_s * 1_000)

    def refused(self, now_ms: float) -> None:
        """Slow down after the platform refused a call for its rate."""
        self._refill(now_ms)
        self.rate_per_s = max(self.floor_per_s / 2, self.rate_per_s / 2)
        self.tokens = min(self.tokens, 0.0)
        self._paused_until_ms = now_ms + REFUSED_PAUSE_MS

    def _refill(self, now_ms: float) -> None:
        passed_s = max(0.0, now_ms - self._at_ms) / 1_000
        self._at_ms = max(now_ms, self._at_ms)
        self._raise(passed_s)
        self.tokens = min(self.burst, self.tokens + passed_s * self.rate_per_s)

    def _raise(self, passed_s: float) -> None:
        """Return to the floor soon after a refusal, and probe above it slowly."""
        floor = self.floor_per_s
        if self.rate_per_s < floor:
            recover_s = (floor - self.rate_per_s) / (RECOVER_SHARE_PER_S * floor)
            recovered_s = min(passed_s, recover_s)
            self.rate_per_s += recovered_s * RECOVER_SHARE_PER_S * floor
            passed_s -= recovered_s
        ceiling = max(floor, self.fleet_per_s * CEILING_SHARE)
        raised = self.rate_per_s + passed_s * RAISE_SHARE_PER_S * floor
        self.rate_per_s = min(ceiling, raised)


class Budget:
    """The two buckets of an instance, reads and writes."""

    def __init__(self, instances: int, now_ms: float, source: random.Random) -> None:
        self.source = source
        self.reads = Bucket(FLEET_READS_PER_S, instances, now_ms)
        self.writes = Bucket(FLEET_WRITES_PER_S, instances, now_ms)

    def resize(self, instances: int) -> None:
        """Take over the number of instances in the fleet."""
        self.reads.resize(instances)
        self.writes.resize(instances)

    def ask(self, purpose: Purpose, call: Call, now_ms: float) -> float:
        """Return 0 if the call may go out, or how long to wait, with jitter."""
        bucket = self.writes if call is Call.WRITE else self.reads
        wait_ms = bucket.ask(RESERVE[purpose], now_ms)
        return wait_ms * self.source.uniform(1.0, 1.5)

    def answered(self, call: Call, status: int, now_ms: float) -> None:
        """Learn from the status of an answer."""
        if status == REFUSED:
            bucket = self.writes if call is Call.WRITE else self.reads
            bucket.refused(now_ms)


def start_delay_ms(source: random.Random) -> float:
    """Return a random delay before an instance's first call.

    A fleet that is restarted at once then reads evenly over ``START_SPREAD_MS``.
    """
    return source.uniform(0, START_SPREAD_MS)


Sleep = typing.Callable[[float], typing.Awaitable[None]]


class Gate:
    """Holds the calls of one purpose back to a budget, for ``client.Client``::

    gate = Gate(budget, Purpose.CLAIM, timers.now_ms, asyncio.sleep)
    objects = client.Client(http, address, gate.enter, told=gate.told)
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

    async def enter(self, kind: str) -> None:
        """Return once a call of a kind may go out."""
        while wait_ms := self.budget.ask(self.purpose, Call(kind), self.now_ms()):
            await self.sleep(wait_ms / 1_000)

    def told(self, kind: str, status: int) -> None:
        """Learn from the status of an answer."""
        self.budget.answered(Call(kind), status, self.now_ms())
