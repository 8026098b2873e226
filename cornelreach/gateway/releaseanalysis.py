"""Whether the new software version of a service is good, from counted responses.

Collectors sum the cumulative counts of all instances (``releasecounts``), compare the
versions (``releasecomparison``), and derive the phase of the order. No I/O and no
clock: the age of the order is passed in::

    analysis = Analysis(order)
    analysis.observe(age_ms, counts)
    analysis.judge(age_ms).phase
"""

import enum
import math
import typing

from cornelreach.gateway import releasecomparison, releasecounts

WINDOW_MS = 3_000.0  # a version that turns bad late is diluted in the whole time
MAX_SLICES = 40  # of the whole time; bounds the cost of a judgement on long orders
EARLY_SHARE = 0.55  # of the duration; leaves a third of it to a store that is down
LATE_SHARE = 0.7  # a shift takes about 0.15 of a duration of 12 s
LAST_SHARE = 0.9
SUCCEED_SHARE = 0.93
# By LATE_SHARE. The canary share of so few may be none; as many requests as follow
# until the deadline are within the slack of the bound.
FEW_REQUESTS = 100
MIN_RESPONSES = 30  # nine failures are expected of a version that fails 0.3 of them
MIN_ROUTE_RESPONSES = 5  # of a version that fails half there, some have failed
ROUTE_SHARE = 0.05
QUIET_MS = 400.0  # two intervals of reports

# The counts are part of this module's interface.
PLAIN_UNIT_MS = releasecounts.PLAIN_UNIT_MS
RouteCounts = releasecounts.RouteCounts
Counts = releasecounts.Counts
Recorder = releasecounts.Recorder
add_counts = releasecounts.add_counts
Finding = releasecomparison.Finding


class Order(typing.NamedTuple):
    """An order to move a service's traffic to the targets of a software version.

    ``created`` is the time of creation as written in the object's metadata.
    """

    service: str
    target: str
    created: str
    duration_ms: float


class Phase(enum.IntEnum):
    """How far an order is; of two phases, the higher one applies."""

    OBSERVING = 0
    SHIFTING = 1
    REVERTING = 2
    SUCCEEDED = 3
    REVERTED = 4


_FINAL = {Phase.SHIFTING: Phase.SUCCEEDED, Phase.REVERTING: Phase.REVERTED}


class Judgement(typing.NamedTuple):
    """The phase that the counts call for, with the reason and the figures behind it.

    ``finding`` is the least probable comparison, or None. While ``is_suspect`` is set,
    success must not be declared before it has to be.
    """

    phase: Phase
    reason: str
    old_responses: int
    old_failures: int
    new_responses: int
    new_failures: int
    finding: Finding | None
    is_suspect: bool


class Analysis:
    """Judges the counts of one order.

    ``phase`` never decreases; ``adopt`` raises it to what another instance has found.
    """

    def __init__(self, order: Order) -> None:
        self.order = order
        self.phase = Phase.OBSERVING
        self._reason = "too few responses yet"
        self._last: Counts = {}
        length_ms = max(releasecomparison.SLICE_MS, order.duration_ms / MAX_SLICES)
        self._whole = releasecomparison.Slices(length_ms, MAX_SLICES + 1)
        self._newest = releasecomparison.Slices(
            releasecomparison.SLICE_MS,
            math.ceil(WINDOW_MS / releasecomparison.SLICE_MS) + 1,
        )

    def adopt(self, phase: Phase, reason: str = "another instance found so") -> None:
        """Take over a higher phase from another instance or from the store.

        A final phase that follows from the present one keeps its reason.
        """
        if phase <= self.phase:
            return
        if _FINAL.get(self.phase) != phase:
            self._reason = reason
        self.phase = phase

    def observe(self, age_ms: float, counts: Counts) -> None:
        """Take in the cumulative counts of all instances, summed.

        The sum should include the last report of instances that have ended: after a
        fall, what grows again counts as new responses.
        """
        added = {}
        for key, held in counts.items():
            difference = held.since(self._last.get(key, releasecounts.NO_COUNTS))
            if difference.responses:
                added[key] = difference
        self._last = dict(counts)
        self._whole.add(age_ms, added)
        self._newest.add(age_ms, added)

    def judge(self, age_ms: float, has_targets: bool = True) -> Judgement:
        """Return the judgement at an age of the order.

        ``has_targets`` tells whether a target of the new version has appeared.
        """
        compare = releasecomparison.compare
        whole = self._whole.whole()
        newest = self._newest.newest(age_ms, WINDOW_MS)
        findings = compare(whole, whole) + compare(newest, whole)
        findings.sort(key=lambda one: (not one.is_bad(), one.probability))
        worst = findings[0] if findings else None
        is_suspect = any(one.is_suspect() for one in findings)
        if worst is not None and worst.is_bad():
            self.adopt(Phase.REVERTING, worst.describe())
        elif self.phase == Phase.OBSERVING:
            self._advance(age_ms, whole, has_targets, is_suspect)
        return Judgement(
            self.phase,
            self._reason,
            *whole.sums(is_new=False),
            *whole.sums(is_new=True),
            worst,
            is_suspect,
        )

    def _advance(
        self,
        age_ms: float,
        whole: releasecomparison.Window,
        has_targets: bool,
        is_suspect: bool,
    ) -> None:
        share = age_ms / self.order.duration_ms
        if share < EARLY_SHARE or not has_targets:
            if share >= 1.0:
                self.adopt(Phase.REVERTING, "no target of the version has appeared")
            return
        old, _ = whole.sums(is_new=False)
        new, failures = whole.sums(is_new=True)
        counted = f"{new} responses, {failures} failed"
        is_late = share >= LATE_SHARE
        if (is_late or not is_suspect) and self._has_enough(whole, old + new):
            self.adopt(Phase.SHIFTING, counted)
        elif is_late and (new > failures or (not new and old < FEW_REQUESTS)):
            self.adopt(Phase.SHIFTING, f"{counted}; more did not come in time")
        elif share >= LAST_SHARE:
            self.adopt(Phase.REVERTING, "no good response of the version in time")

    def _has_enough(self, whole: releasecomparison.Window, requests: int) -> bool:
        if whole.sums(is_new=True)[0] < MIN_RESPONSES:
            return False
        for route in whole.routes:
            new = whole.counts(route, True).responses
            carried = new + whole.counts(route, False).responses
            if carried >= requests * ROUTE_SHARE and new < MIN_ROUTE_RESPONSES:
                return False
        return True


class Handover:
    """Tells when the old targets may stop, while the phase is ``SHIFTING``."""

    def __init__(self, order: Order) -> None:
        self.order = order
        self._since_ms: float | None = None

    def is_complete(
        self,
        now_ms: float,
        age_ms: float,
        is_shifted: bool,
        old_in_flight: int,
        is_suspect: bool = False,
    ) -> bool:
        """Return whether ``succeeded`` is to be written.

        ``is_shifted`` tells whether every instance heard from in the last 2 s reports
        ``SHIFTING``; ``old_in_flight`` counts the requests of all instances that are in
        flight at old targets. It is called at least every 200 ms.
        """
        if age_ms >= self.order.duration_ms * SUCCEED_SHARE:
            return True
        if not is_shifted or old_in_flight:
            self._since_ms = None
            return False
        if self._since_ms is None:
            self._since_ms = now_ms
        return not is_suspect and now_ms - self._since_ms >= QUIET_MS
