"""Counts of good and bad events of one instance over time, and histograms.

Short slots cover the last six hours and long ones the last three days. Exports of
several instances can be merged::

    series = InstanceSeries()
    series.add("tirnica", Measure.FIRST_TOKEN, objective, 812.0, wall_ms)
    exported = series.export(wall_ms)
"""

import typing

from hdrh import histogram

from cornelreach.reports import objectives

SHORT_SLOT_MS = 300_000
LONG_SLOT_MS = 3_600_000
SHORT_SLOTS = 73
LONG_SLOTS = 73
MAX_VALUE_MS = 3_600_000
SIGNIFICANT_DIGITS = 2


class Slot(typing.NamedTuple):
    """Counts of one time slot, which begins at a wall time."""

    start_ms: int
    good: int
    total: int


class ExportedSeries(typing.NamedTuple):
    """The events of one account and measure; ``histogram`` is encoded by hdrh.

    The histogram covers between one and two of the last long slots.
    """

    account: str
    measure: objectives.Measure
    share: float
    threshold_ms: float | None
    short: list[Slot]
    long: list[Slot]
    histogram: str


class Export(typing.NamedTuple):
    """What one boot of one instance has measured."""

    instance: str
    boot: str
    wall_ms: int
    series: list[ExportedSeries]


class SlotCounts:
    """Counts of good events and of all events in time slots of one length."""

    def __init__(self, slot_ms: int, slot_count: int) -> None:
        self.slot_ms = slot_ms
        self.slot_count = slot_count
        self._slots: dict[int, list[int]] = {}

    def add(self, good: int, total: int, wall_ms: float) -> None:
        """Count ``total`` events, ``good`` of them good."""
        start_ms = int(wall_ms // self.slot_ms * self.slot_ms)
        slot = self._slots.get(start_ms)
        if slot is None:
            slot = self._slots[start_ms] = [0, 0]
            self._remove_expired(start_ms)
        slot[0] += good
        slot[1] += total

    def slots(self, wall_ms: float) -> list[Slot]:
        """Return the slots that have not expired, oldest first."""
        oldest_ms = wall_ms - self.slot_count * self.slot_ms
        return [
            Slot(start_ms, good, total)
            for start_ms, (good, total) in sorted(self._slots.items())
            if start_ms > oldest_ms
        ]

    def _remove_expired(self, newest_ms: int) -> None:
        oldest_ms = newest_ms - self.slot_count * self.slot_ms
        for start_ms in [start for start in self._slots if start <= oldest_ms]:
            del self._slots[start_ms]


class MeasureSeries:
    """Counts and histograms of one account and measure."""

    def __init__(self) -> None:
        self.objective = objectives.Objective(0.0)
        self.short = SlotCounts(SHORT_SLOT_MS, SHORT_SLOTS)
        self.long = SlotCounts(LONG_SLOT_MS, LONG_SLOTS)
        self.current = empty_histogram()
        self.previous = empty_histogram()
        self._rotated_ms = 0.0

    def add(
        self,
        objective: objectives.Objective,
        good: int,
        total: int,
        values_ms: typing.Iterable[float],
        wall_ms: float,
    ) -> None:
        """Count events and record the durations of some of them."""
        self.objective = objective
        self.short.add(good, total, wall_ms)
        self.long.add(good, total, wall_ms)
        self._rotate(wall_ms)
        for value_ms in values_ms:
            self.current.record_value(max(1, min(MAX_VALUE_MS, round(value_ms))))

    def merged(self, wall_ms: float) -> histogram.HdrHistogram:
        """Return the histogram of the current and the previous long slot."""
        self._rotate(wall_ms)
        both = empty_histogram()
        both.add(self.current)
        both.add(self.previous)
        return both

    def _rotate(self, wall_ms: float) -> None:
        elapsed_ms = wall_ms - self._rotated_ms
        if elapsed_ms < LONG_SLOT_MS:
            return
        keep = elapsed_ms < 2 * LONG_SLOT_MS
        self.previous = self.current if keep else empty_histogram()
        self.current = empty_histogram()
        self._rotated_ms = wall_ms // LONG_SLOT_MS * LONG_SLOT_MS


class InstanceSeries:
    """Counts and histograms of all accounts and measures of one instance."""

    def __init__(self) -> None:
        self._measured: dict[tuple[str, objectives.Measure], MeasureSeries] = {}

    def add(
        self,
        account: str,
        measure: objectives.Measure,
        objective: objectives.Objective,
        value_ms: float,
        wall_ms: float,
    ) -> None:
        """Count one event, good if it took no longer than the objective says."""
        good = int(value_ms <= objective.threshold_ms)
        self.count(account, measure, objective, (good, 1), (value_ms,), wall_ms)

    def count(
        self,
        account: str,
        measure: objectives.Measure,
        objective: objectives.Objective,
        good_of_total: tuple[int, int],
        values_ms: typing.Iterable[float],
        wall_ms: float,
    ) -> None:
        """Count events, and record the values of all or of a sample of them."""
        measured = self._measured.get((account, measure))
        if measured is None:
            measured = self._measured[account, measure] = MeasureSeries()
        measured.add(objective, *good_of_total, values_ms, wall_ms)

    def export(self, instance: str, boot: str, wall_ms: float) -> Export:
        """Return all counts and histograms, to be merged with other instances'."""
        exported = [
            ExportedSeries(
                account,
                measure,
                measured.objective.share,
                measured.objective.threshold_ms,
                measured.short.slots(wall_ms),
                measured.long.slots(wall_ms),
                measured.merged(wall_ms).encode().decode(),
            )
            for (account, measure), measured in sorted(self._measured.items())
        ]
        return Export(instance, boot, int(wall_ms), exported)


def empty_histogram() -> histogram.HdrHistogram:
    """Return a histogram of milliseconds; only like histograms can be added."""
    return histogram.HdrHistogram(1, MAX_VALUE_MS, SIGNIFICANT_DIGITS)
