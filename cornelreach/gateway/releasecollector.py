"""What an instance concludes from the reports of all instances on one order.

Counts in reports are cumulative, so that a lost report is made up for by the next one,
and those of an instance that ended stay in the sum::

    collector = Collector(release)
    collector.add(report, now_ms)
    verdict = collector.judge(now_ms, instance_count)
"""

import typing

from cornelreach.gateway import (
    datagrams,
    releaseanalysis,
    releasecounts,
    releasestate,
)

HEARD_MS = 2_000.0  # an instance that has not reported for longer is not waited for
MAX_REPORTERS = 4_096
MAX_COUNT = 2**40  # a greater one is unsound
QUORUM_SHARE = 0.5  # of the registered instances, for an early end
# With fewer responses, a version that fails a tenth of them may not have shown it, so
# an order goes on until shortly before its deadline.
ENOUGH_RESPONSES = 100
LAST_SHARE = 0.97  # of the duration; what is not judged by then is reverted

Phase = releaseanalysis.Phase


class _Reporter:
    """The last report of one boot of an instance; counts come in parts, by route."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.sequence = -1
        self.phase = Phase.OBSERVING
        self.old_in_flight = 0
        self.counts: releasecounts.Counts = {}
        self.at_ms = 0.0

    def apply(self, report: datagrams.ReleaseReport, now_ms: float) -> None:
        """Apply a report, or a part of it, unless a newer one was applied before."""
        if report.sequence < self.sequence:
            return
        self.sequence = report.sequence
        self.phase = Phase(min(max(report.phase, 0), max(Phase)))
        self.old_in_flight = max(0, report.old_in_flight)
        self.counts.update(releasestate.from_wire(report.counts))
        self.at_ms = now_ms


class Verdict(typing.NamedTuple):
    """What the reports call for, and whether no instance needs the old version."""

    phase: releaseanalysis.Phase
    reason: str
    is_complete: bool


class Collector:
    """Sums the reports on one order and judges the new version."""

    def __init__(self, release: releasestate.Release) -> None:
        self.release = release
        self.analysis = releaseanalysis.Analysis(release.order)
        self.handover = releaseanalysis.Handover(release.order)
        self.reporters: dict[tuple[str, str], _Reporter] = {}

    def add(self, report: datagrams.ReleaseReport, now_ms: float) -> None:
        """Take in a report of this or of another instance."""
        source = report.name, report.boot
        reporter = self.reporters.get(source)
        if reporter is None:
            if len(self.reporters) >= MAX_REPORTERS or not _is_sound(report):
                return
            reporter = self.reporters[source] = _Reporter(report.name)
        if _is_sound(report):
            reporter.apply(report, now_ms)

    def is_asked(self, own_name: str, now_ms: float) -> bool:
        """Return whether another instance has reported here recently."""
        return any(one.name != own_name for one in self._heard(now_ms))

    def _heard(self, now_ms: float) -> list[_Reporter]:
        oldest_ms = now_ms - HEARD_MS
        return [one for one in self.reporters.values() if one.at_ms >= oldest_ms]

    def judge(self, now_ms: float, instance_count: int) -> Verdict:
        """Judge the new version by the sum of all reports."""
        release = self.release
        age_ms = release.age_ms(now_ms)
        counts = releasecounts.add_counts(one.counts for one in self.reporters.values())
        self.analysis.adopt(release.phase)
        self.analysis.observe(age_ms, counts)
        # This instance may not have read the entries that others send requests to.
        has_targets = release.has_targets or any(is_new for _, is_new in counts)
        found = self.analysis.judge(age_ms, has_targets)
        phase, reason = found.phase, found.reason
        if phase is Phase.OBSERVING and age_ms >= (
            release.order.duration_ms * LAST_SHARE
        ):
            phase, reason = Phase.REVERTING, "no verdict by the deadline"
        is_complete = phase is Phase.SHIFTING and self._is_handed_over(
            now_ms,
            age_ms,
            found.is_suspect or found.new_responses < ENOUGH_RESPONSES,
            instance_count,
        )
        return Verdict(phase, f"{reason} ({_figures(found)})", is_complete)

    def _is_handed_over(
        self, now_ms: float, age_ms: float, is_suspect: bool, instance_count: int
    ) -> bool:
        heard = self._heard(now_ms)
        is_shifted = bool(heard) and all(one.phase >= Phase.SHIFTING for one in heard)
        # An instance that is cut off from the others must not end the order early on
        # what it has seen alone.
        has_quorum = len({one.name for one in heard}) >= instance_count * QUORUM_SHARE
        in_flight = sum(one.old_in_flight for one in heard)
        return self.handover.is_complete(
            now_ms, age_ms, is_shifted and has_quorum, in_flight, is_suspect
        )


def _is_sound(report: datagrams.ReleaseReport) -> bool:
    """Return whether the counts of a report can be summed."""
    return all(
        0 <= number <= MAX_COUNT
        for versions in report.counts.values()
        for one in versions
        for number in (one.responses, one.failures, *one.times)
    )


def _figures(found: releaseanalysis.Judgement) -> str:
    return (
        f"new {found.new_failures} of {found.new_responses} failed, "
        f"old {found.old_failures} of {found.old_responses}"
    )
