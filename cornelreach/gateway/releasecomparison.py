"""Comparison of a new software version with the old one, the control group.

The expected number of failures of the new version is computed from the old version's
rate on the same routes in the same half seconds, so that whatever impairs both versions
for a while does not count against the new one::

    whole = slices.whole()
    for finding in compare(whole, whole):
        finding.is_bad()
"""

import collections
import math
import typing

from cornelreach.gateway import releasecounts

# As long as half a pulse of canary traffic, so that the old version's rate is that of
# the pulses; shorter slices hold too few responses for a rate.
SLICE_MS = 500.0
# A slice's rate is blended with that of the whole window as if that had been seen in so
# many more responses; rates of a few responses alone are mostly 0 or far too high.
BLEND_RESPONSES = 5.0
MIN_EVENTS = 5  # below, a single broken connection could decide
# A target that crashes loses what is under way there, up to its slots, within two
# slices; one crash says little of the version.
MIN_EVENT_SLICES = 3
MAX_LOST_AT_ONCE = 40
# About 28 comparisons are made 60 times in an order, and most of them share their data:
# at 1e-5 a false alarm is expected in fewer than one of 1,000 orders.
MAX_PROBABILITY = 1e-5
SLOW_TIMES = 2.25  # versions that are slow are so by 3 or more; noise is mostly below 2
SLOW_QUANTILE = 0.95
# Of the responses. Prompts wait for each other, so slow ones come in bursts for which
# the probability is too low; versions that are slow are so in most of their responses.
MIN_SLOW_SHARE = 0.06
SUSPECT_SLOW_SHARE = 0.03
MIN_TIMES = 20  # from which a 95th percentile can be read
SUSPECT_EVENTS = 2
SUSPECT_PROBABILITY = 0.01  # holds success back without reverting; costs time only


class Finding(typing.NamedTuple):
    """How the new version compares with the old one in one respect.

    ``kind`` is "failed" or "slow", ``route`` is empty for all routes together, and
    ``window_ms`` is None for the whole time. ``slices`` counts those with events.
    """

    kind: str
    route: str
    window_ms: float | None
    responses: int
    events: int
    expected: float
    probability: float
    slices: int

    def is_bad(self) -> bool:
        """Return whether the version is to be rolled back for it."""
        if self.kind == "slow" and not self._exceeds(MIN_SLOW_SHARE):
            return False
        if self.kind == "failed" and self._may_be_crash():
            return False
        return self.events >= MIN_EVENTS and self.probability < MAX_PROBABILITY

    def is_suspect(self) -> bool:
        """Return whether success should wait for more responses."""
        if self.kind == "slow" and not self._exceeds(SUSPECT_SLOW_SHARE):
            return False
        is_rare = self.probability < SUSPECT_PROBABILITY
        return self.events >= SUSPECT_EVENTS and is_rare

    def _may_be_crash(self) -> bool:
        """Return whether one target that crashed explains all events."""
        return self.slices < MIN_EVENT_SLICES and self.events <= MAX_LOST_AT_ONCE

    def _exceeds(self, share: float) -> bool:
        """Return whether more than expected are at least a share of the responses."""
        return self.events - self.expected >= share * self.responses

    def describe(self) -> str:
        """Return the finding in words."""
        where = f"on {self.route}" if self.route else "on all routes"
        when = f"in {self.window_ms:.0f} ms" if self.window_ms else "since the order"
        return (
            f"{self.events} of {self.responses} responses {self.kind} {where} {when}, "
            f"{self.expected:.2g} expected from the old version "
            f"(probability {self.probability:.1g})"
        )


def tail_probability(events: int, expected: float, shape: float) -> float:
    """Return the probability of at least so many events if the versions are equal.

    The number of events is Poisson distributed with a mean that is itself estimated
    from events of the old version, hence gamma distributed with ``shape``: a negative
    binomial distribution. Its limit for a large shape is the Poisson distribution.
    Values above 0.5 are returned as 1.
    """
    if events <= expected:
        return 1.0
    odds = expected / (expected + shape)
    log_term = (
        math.lgamma(events + shape)
        - math.lgamma(shape)
        - math.lgamma(events + 1)
        + events * math.log(odds)
        - shape * math.log1p(expected / shape)
    )
    term, total, count = math.exp(log_term), 0.0, events
    while term > total * 1e-6 and total < 0.5:
        total += term
        term *= (count + shape) / (count + 1) * odds
        count += 1
    return total if total < 0.5 else 1.0


class Slices:
    """Counts by slice of an order's age; beyond a number the oldest are dropped."""

    def __init__(self, length_ms: float, kept: int) -> None:
        self.length_ms = length_ms
        self._total: releasecounts.Counts = {}
        self._slices: collections.deque[tuple[int, releasecounts.Counts]] = (
            collections.deque(maxlen=kept)
        )

    def add(self, age_ms: float, counts: releasecounts.Counts) -> None:
        """Add what was counted since the last call."""
        index = int(age_ms // self.length_ms)
        if not self._slices or index > self._slices[-1][0]:
            self._slices.append((index, {}))
        for held in (self._slices[-1][1], self._total):
            for key, added in counts.items():
                held[key] = held[key] + added if key in held else added

    def whole(self) -> "Window":
        """Return a window of the whole time."""
        return Window([counts for _, counts in self._slices], self._total, None)

    def newest(self, age_ms: float, span_ms: float) -> "Window":
        """Return a window of the slices that ended within a span before an age."""
        first = (age_ms - span_ms) // self.length_ms
        found = [counts for index, counts in self._slices if index >= first]
        return Window(found, releasecounts.add_counts(found), span_ms)


# The index of a slice; responses and events of the old, then of the new version.
_Sample = tuple[int, int, int, int, int]


class Window:
    """The old and new counts of each route, by slice and in total."""

    def __init__(
        self,
        slices: list[releasecounts.Counts],
        total: releasecounts.Counts,
        span_ms: float | None,
    ) -> None:
        self.span_ms = span_ms
        self.total = total
        self.routes = sorted({route for route, _ in self.total})
        self._slices = slices

    def counts(self, route: str, is_new: bool) -> releasecounts.RouteCounts:
        """Return the counts of a version on a route in all slices."""
        return self.total.get((route, is_new), releasecounts.NO_COUNTS)

    def sums(self, is_new: bool) -> tuple[int, int]:
        """Return the responses and the failures of a version on all routes."""
        found = [one for (_, new), one in self.total.items() if new == is_new]
        return sum(one.responses for one in found), sum(one.failures for one in found)

    def samples(
        self,
        route: str,
        measure: typing.Callable[[releasecounts.RouteCounts], tuple[int, int]],
    ) -> list[_Sample]:
        """Return what was measured in the slices in which the new version responded."""
        found = []
        for index, counts in enumerate(self._slices):
            new = counts.get((route, True))
            if new is not None:
                old = counts.get((route, False), releasecounts.NO_COUNTS)
                found.append((index, *measure(old), *measure(new)))
        return found


class _Comparison:
    """Sums of the expected and observed events of the new version."""

    def __init__(self) -> None:
        self.responses = self.events = 0
        self.expected = self.variance = self.old_responses = 0.0
        self.slices: set[int] = set()

    def add(self, samples: list[_Sample], old: tuple[int, int]) -> None:
        """Add a route; ``old`` has the old version's responses and events there."""
        old_responses, old_events = old
        blended = 0.0
        for index, old_count, old_hits, new_count, new_hits in samples:
            weight = new_count / (old_count + BLEND_RESPONSES)
            self.responses += new_count
            self.events += new_hits
            if new_hits:
                self.slices.add(index)
            self.expected += weight * old_hits
            self.variance += weight * weight * old_hits
            blended += weight * BLEND_RESPONSES
        weight = blended / old_responses
        self.expected += weight * old_events
        self.variance += weight * weight * old_events
        self.old_responses += old_responses

    def finding(self, kind: str, route: str, span_ms: float | None) -> Finding | None:
        """Return the finding, with one more event of the old version than it had."""
        if not self.responses:
            return None
        weight = self.responses / self.old_responses
        expected = self.expected + weight
        shape = expected * expected / (self.variance + weight * weight)
        probability = tail_probability(self.events, expected, shape)
        return Finding(
            kind,
            route,
            span_ms,
            self.responses,
            self.events,
            expected,
            probability,
            len(self.slices),
        )


def _failures(counts: releasecounts.RouteCounts) -> tuple[int, int]:
    return counts.responses, counts.failures


def _slow_from(times: tuple[int, ...]) -> int | None:
    """Return the bucket from which on responses are slow, or None if too few."""
    count = sum(times)
    if count < MIN_TIMES:
        return None
    below = 0
    median, first = 0.0, None
    for index, held in enumerate(times):
        if below < count / 2 <= below + held:
            median = index + (count / 2 - below) / held
        below += held
        if first is None and below >= count * SLOW_QUANTILE:
            first = index + 1
    # The edge of a bucket that is nearest to the multiple of the median.
    edge = math.ceil(median + math.log(SLOW_TIMES, releasecounts.BUCKET_GROWTH) - 0.5)
    return edge if first is None else max(edge, first)


def _reference(window: Window, whole: Window, route: str) -> releasecounts.RouteCounts:
    """Return the old version's counts that give its rate where slices have too few.

    While traffic shifts, the latest window has few responses of the old version; those
    of the whole time say more.
    """
    old = window.counts(route, False)
    if old.responses >= max(MIN_TIMES, window.counts(route, True).responses):
        return old
    return whole.counts(route, False)


def _failure_samples(
    window: Window, whole: Window, route: str
) -> tuple[list[_Sample], tuple[int, int]]:
    """Return the failures on a route by slice, and the old version's responses."""
    old = _failures(_reference(window, whole, route))
    return window.samples(route, _failures), old if old[0] else whole.sums(False)


def _slow_samples(
    window: Window, whole: Window, route: str
) -> tuple[list[_Sample], tuple[int, int]]:
    """Return the slow responses on a route, in the same form."""
    old = _reference(window, whole, route)
    first = _slow_from(old.times)

    def measure(counts: releasecounts.RouteCounts) -> tuple[int, int]:
        return sum(counts.times), sum(counts.times[first:])

    if first is None:
        return [], (0, 0)
    return window.samples(route, measure), measure(old)


def compare(window: Window, whole: Window) -> list[Finding]:
    """Return the findings of one window, by route and for all routes.

    ``whole`` covers the whole time, for rates that the window has too few of.
    """
    found = []
    for kind, measured in (("failed", _failure_samples), ("slow", _slow_samples)):
        together = _Comparison()
        for route in window.routes:
            single = _Comparison()
            samples, old = measured(window, whole, route)
            if old[0]:
                single.add(samples, old)
                together.add(samples, old)
            found.append(single.finding(kind, route, window.span_ms))
        found.append(together.finding(kind, "", window.span_ms))
    return [one for one in found if one is not None]
