"""Circuit breakers of a pool's targets, with a limit on how many are ejected at once.

A breaker opens after ``FAILURES_TO_OPEN`` consecutive failures, or when the target's
latency relative to its estimates is ``SLOW_RATIO`` times the median of its peers. It
stays open for a time that doubles with each opening, then lets one probe through at a
time; ``PROBES_TO_CLOSE`` successful probes close it::

    pool_breakers = breakers.PoolBreakers()
    pool_breakers.record("e1", breakers.Sample(ok=False), now_ms)
    ejected = pool_breakers.ejected(["e1", "e2", "e3"], now_ms)
"""

import statistics
import typing

FAILURES_TO_OPEN = 5
PROBES_TO_CLOSE = 2
OPEN_MS = 2_000
MAX_OPEN_MS = 60_000
SLOW_RATIO = 4.0
SLOW_SAMPLES = 20
SLOW_FLOOR_MS = 100
SMOOTHING_FACTOR = 0.1
MAX_EJECTED_SHARE = 0.5


class Sample(typing.NamedTuple):
    """The outcome of a call; ``expected_ms`` estimates the time to first token."""

    ok: bool
    first_token_ms: float | None = None
    expected_ms: float = 0.0

    @property
    def slowness(self) -> float | None:
        """Return the ratio of the time to first token to its estimate."""
        if self.first_token_ms is None:
            return None
        floor_ms = SLOW_FLOOR_MS
        return (self.first_token_ms + floor_ms) / (self.expected_ms + floor_ms)


class Breaker:
    """The breaker of one target."""

    def __init__(self) -> None:
        self.slowness = 1.0
        self.samples = 0
        self.opened_ms: float | None = None
        self.probes_in_flight = 0
        self._consecutive_failures = 0
        self._successful_probes = 0
        self._consecutive_openings = 0

    def is_sudden_slowdown(self, sample: Sample) -> bool:
        """Return whether a call was far slower than this target's earlier calls.

        The first calls after a restart that has not been reported yet look like this.
        """
        known = self.samples >= SLOW_SAMPLES and sample.slowness is not None
        return known and sample.slowness > SLOW_RATIO * self.slowness

    @property
    def is_open(self) -> bool:
        """Return whether the breaker is open or half-open."""
        return self.opened_ms is not None

    def admits(self, now_ms: float) -> bool:
        """Return whether the target may get a call, as a probe if it is open."""
        if self.opened_ms is None:
            return True
        return (
            now_ms - self.opened_ms >= self._open_duration_ms()
            and self.probes_in_flight == 0
        )

    def record_sent(self) -> None:
        """Count a call sent to the target."""
        if self.is_open:
            self.probes_in_flight += 1

    def record_end(self) -> None:
        """Count the end of a call, whatever its outcome."""
        self.probes_in_flight = max(0, self.probes_in_flight - 1)

    def record(self, sample: Sample, now_ms: float) -> None:
        """Update the breaker with the outcome of a call."""
        self.record_end()
        if not sample.ok:
            self._fail(now_ms)
            return
        self._consecutive_failures = 0
        if sample.slowness is not None:
            self.samples += 1
            change = sample.slowness - self.slowness
            self.slowness += SMOOTHING_FACTOR * change
        if self.is_open and now_ms - self.opened_ms >= self._open_duration_ms():
            self._probe_succeeded(sample)

    def open(self, now_ms: float) -> None:
        """Open the breaker."""
        self.opened_ms = now_ms
        self._consecutive_openings += 1
        self._successful_probes = 0

    def _fail(self, now_ms: float) -> None:
        self._consecutive_failures += 1
        if self.is_open or self._consecutive_failures >= FAILURES_TO_OPEN:
            self.open(now_ms)

    def _probe_succeeded(self, sample: Sample) -> None:
        if sample.slowness is not None and sample.slowness >= SLOW_RATIO:
            return
        self._successful_probes += 1
        if self._successful_probes >= PROBES_TO_CLOSE:
            self.opened_ms = None
            self._consecutive_openings = 0
            self.slowness = 1.0
            self.samples = 0

    def _open_duration_ms(self) -> float:
        return min(MAX_OPEN_MS, OPEN_MS * 2 ** (self._consecutive_openings - 1))


class PoolBreakers:
    """The breakers of all targets of a pool."""

    def __init__(self) -> None:
        self._breakers: dict[str, Breaker] = {}

    def get(self, target: str) -> Breaker:
        """Return the breaker of a target."""
        return self._breakers.setdefault(target, Breaker())

    def retain(self, targets: typing.Container[str]) -> None:
        """Drop the breakers of targets that have left the pool."""
        for name in [one for one in self._breakers if one not in targets]:
            del self._breakers[name]

    def record(self, target: str, sample: Sample, now_ms: float) -> None:
        """Record the outcome of a call and compare the target with its peers."""
        breaker = self.get(target)
        breaker.record(sample, now_ms)
        if not breaker.is_open and self._is_outlier(target):
            breaker.open(now_ms)

    def _is_outlier(self, target: str) -> bool:
        breaker = self._breakers[target]
        peers = [
            one.slowness
            for name, one in self._breakers.items()
            if name != target and one.samples >= SLOW_SAMPLES
        ]
        if breaker.samples < SLOW_SAMPLES or not peers:
            return False
        return breaker.slowness > SLOW_RATIO * max(1.0, statistics.median(peers))

    def ejected(self, targets: typing.Sequence[str], now_ms: float) -> set[str]:
        """Return the targets that get no calls now.

        At most ``MAX_EJECTED_SHARE`` of the pool is ejected. If more breakers are open,
        the targets whose breakers opened last stay in use.
        """
        opened = [name for name, one in self._breakers.items() if one.is_open]
        if not opened:
            return set()
        opened.sort(key=lambda name: self.get(name).opened_ms)
        limit = int(len(targets) * MAX_EJECTED_SHARE)
        return {name for name in opened[:limit] if not self.get(name).admits(now_ms)}
