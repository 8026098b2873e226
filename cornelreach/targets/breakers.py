"""Circuit breaker of a target, and the bound on how many of a pool are ejected.

A breaker opens after ``FAILURES_TO_OPEN`` failures in a row, or when the target's calls
take ``SLOW_RATIO`` times as long against their estimates as the median of its peers. It
stays open for a time that doubles with each opening, then lets one probe through at a
time; ``PROBES_TO_CLOSE`` that succeed close it::

    ring = breakers.Ring()
    ring.record("e1", breakers.Sample(ok=False), now_ms)
    ejected = ring.ejected(["e1", "e2", "e3"], now_ms)
"""

import statistics
import typing

FAILURES_TO_OPEN = 5
PROBES_TO_CLOSE = 2
OPEN_MS = 2_000
MOST_OPEN_MS = 60_000
SLOW_RATIO = 4.0
SLOW_SAMPLES = 20
SLOW_FLOOR_MS = 100
WEIGHT_OF_NEWEST = 0.1
MOST_EJECTED_SHARE = 0.5


class Sample(typing.NamedTuple):
    """How a call at a target ended; ``expected_ms`` is the estimated first token."""

    ok: bool
    first_token_ms: float | None = None
    expected_ms: float = 0.0

    @property
    def slowness(self) -> float | None:
        """Return the time to first token over its estimate."""
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
        self.probes_out = 0
        self._failures = 0
        self._probes_ok = 0
        self._openings = 0

    def is_sudden(self, sample: Sample) -> bool:
        """Return whether a call was far slower than this target's own calls before,
        as the first calls after an unreported restart are."""
        known = self.samples >= SLOW_SAMPLES and sample.slowness is not None
        return known and sample.slowness > SLOW_RATIO * self.slowness

    @property
    def is_open(self) -> bool:
        """Return whether the target is ejected or on probation."""
        return self.opened_ms is not None

    def admits(self, now_ms: float) -> bool:
        """Return whether a call may go to the target, as a probe if it is open."""
        if self.opened_ms is None:
            return True
        return now_ms - self.opened_ms >= self._open_ms() and self.probes_out == 0

    def sent(self) -> None:
        """Count a call that goes to the target."""
        if self.is_open:
            self.probes_out += 1

    def dropped(self) -> None:
        """Count a call that ended without showing anything about the target."""
        self.probes_out = max(0, self.probes_out - 1)

    def record(self, sample: Sample, now_ms: float) -> None:
        """Learn from a call's end."""
        self.dropped()
        if not sample.ok:
            self._fail(now_ms)
            return
        self._failures = 0
        if sample.slowness is not None:
            self.samples += 1
            change = sample.slowness - self.slowness
            self.slowness += WEIGHT_OF_NEWEST * change
        if self.is_open and now_ms - self.opened_ms >= self._open_ms():
            self._probe_succeeded(sample)

    def open(self, now_ms: float) -> None:
        """Eject the target."""
        self.opened_ms = now_ms
        self._openings += 1
        self._probes_ok = 0

    def _fail(self, now_ms: float) -> None:
        self._failures += 1
        if self.is_open or self._failures >= FAILURES_TO_OPEN:
            self.open(now_ms)

    def _probe_succeeded(self, sample: Sample) -> None:
        if sample.slowness is not None and sample.slowness >= SLOW_RATIO:
            return
        self._probes_ok += 1
        if self._probes_ok >= PROBES_TO_CLOSE:
            self.opened_ms = None
            self._openings = 0
            self.slowness = 1.0
            self.samples = 0

    def _open_ms(self) -> float:
        return min(MOST_OPEN_MS, OPEN_MS * 2 ** (self._openings - 1))


class Ring:
    """The breakers of a pool."""

    def __init__(self) -> None:
        self._breakers: dict[str, Breaker] = {}

    def of(self, target: str) -> Breaker:
        """Return the breaker of a target."""
        return self._breakers.setdefault(target, Breaker())

    def keep(self, targets: typing.Container[str]) -> None:
        """Drop the breakers of targets that have left the pool."""
        for name in [one for one in self._breakers if one not in targets]:
            del self._breakers[name]

    def record(self, target: str, sample: Sample, now_ms: float) -> None:
        """Learn from a call's end, and compare the target with its peers."""
        breaker = self.of(target)
        breaker.record(sample, now_ms)
        if not breaker.is_open and self._is_outlier(target):
            breaker.open(now_ms)

    def _is_outlier(self, target: str) -> bool:
        mine = self._breakers[target]
        peers = [
            one.slowness
            for name, one in self._breakers.items()
            if name != target and one.samples >= SLOW_SAMPLES
        ]
        if mine.samples < SLOW_SAMPLES or not peers:
            return False
        return mine.slowness > SLOW_RATIO * max(1.0, statistics.median(peers))

    def ejected(self, targets: typing.Sequence[str], now_ms: float) -> set[str]:
        """Return the targets that calls do not go to now.

        They are at most ``MOST_EJECTED_SHARE`` of the pool; of more that are open,
        those that opened last stay in use.
        """
        opened = [name for name, one in self._breakers.items() if one.is_open]
        if not opened:
            return set()
        opened.sort(key=lambda name: self.of(name).opened_ms)
        most = int(len(targets) * MOST_EJECTED_SHARE)
        return {name for name in opened[:most] if not self.of(name).admits(now_ms)}
