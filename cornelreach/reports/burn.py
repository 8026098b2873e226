"""Burn rates of service-level objectives over several windows, for all instances.

A burn rate of 1 uses up exactly the share of bad events that the objective allows. An
alert requires a high burn rate in two windows: the long one shows that the problem is
significant, the short one that it persists.
"""

import collections
import typing

from hdrh import histogram

from cornelreach.reports import objectives, series

MINUTE_MS = 60_000
HOUR_MS = 60 * MINUTE_MS
MIN_EVENTS = 10


class AlertRule(typing.NamedTuple):
    """Fires if the burn rate of both windows is at least ``burn``."""

    severity: str
    short_ms: int
    long_ms: int
    burn: float


RULES = (
    AlertRule("page", 5 * MINUTE_MS, HOUR_MS, 14.4),
    AlertRule("page", 30 * MINUTE_MS, 6 * HOUR_MS, 6.0),
    AlertRule("ticket", 6 * HOUR_MS, 72 * HOUR_MS, 1.0),
)
WINDOWS_MS = tuple(sorted({ms for rule in RULES for ms in rule[1:3]}))
WINDOW_NAMES = ("5m", "30m", "1h", "6h", "3d")

ACTIONS = {
    objectives.Measure.FIRST_TOKEN: (
        "see `cornelreach status` for pools with a long wait; add targets, bring a "
        "data centre back, or lower account_tokens_per_s of the busiest accounts"
    ),
    objectives.Measure.BETWEEN_TOKENS: (
        "engines run too many sequences at once: lower max_sequences of the targets, "
        "or add targets"
    ),
    objectives.Measure.WHOLE_ANSWER: (
        "calls fail or are refused: see events 1401 to 1699 in the logs, targets that "
        "became cold, and the platform in `cornelreach status`"
    ),
    objectives.Measure.CONFIGURATION: (
        "changes take effect late: see `cornelreach status` for instances with an old "
        "revision, and whether they reach the platform and their peers"
    ),
}


class Window(typing.NamedTuple):
    """Events of one window and their burn rate, None below ``MIN_EVENTS``."""

    name: str
    good: int
    total: int
    burn: float | None


class Alert(typing.NamedTuple):
    """A rule that fired, and what the operator should do."""

    severity: str
    account: str
    measure: objectives.Measure
    windows: str
    burn: float
    action: str


class Row(typing.NamedTuple):
    """One account and measure over all instances; an empty account means the fleet."""

    account: str
    measure: objectives.Measure
    share: float
    threshold_ms: float | None
    windows: list[Window]
    p50_ms: int
    p95_ms: int
    p99_ms: int


class Report(typing.NamedTuple):
    """The burn rates of all accounts, as of the newest export."""

    wall_ms: int
    instances: list[str]
    rows: list[Row]
    alerts: list[Alert]


class MergedSeries:
    """The counts of one account and measure, summed over instances."""

    def __init__(self) -> None:
        self.share = 0.0
        self.threshold_ms: float | None = None
        self.short: dict[int, list[int]] = collections.defaultdict(lambda: [0, 0])
        self.long: dict[int, list[int]] = collections.defaultdict(lambda: [0, 0])
        self.histogram = series.empty_histogram()

    def add(self, exported: series.ExportedSeries) -> None:
        """Add the counts of one instance; the strictest objective is used."""
        if exported.share >= self.share:
            self.share, self.threshold_ms = exported.share, exported.threshold_ms
        for sums, slots in ((self.short, exported.short), (self.long, exported.long)):
            for slot in slots:
                sums[slot.start_ms][0] += slot.good
                sums[slot.start_ms][1] += slot.total
        self.histogram.add(histogram.HdrHistogram.decode(exported.histogram.encode()))

    def window(self, name: str, window_ms: int, wall_ms: int) -> Window:
        """Return the events of a window that ends now."""
        slots, slot_ms = self.short, series.SHORT_SLOT_MS
        if window_ms > series.SHORT_SLOT_MS * (series.SHORT_SLOTS - 1):
            slots, slot_ms = self.long, series.LONG_SLOT_MS
        begin_ms = wall_ms - window_ms - slot_ms
        counted = [count for start, count in slots.items() if start > begin_ms]
        good = sum(count[0] for count in counted)
        total = sum(count[1] for count in counted)
        return Window(name, good, total, burn_rate(good, total, self.share))


def burn_rate(good: int, total: int, share: float) -> float | None:
    """Return the share of bad events divided by the share that is allowed."""
    if total < MIN_EVENTS or share >= 1.0:
        return None
    return (total - good) / total / (1.0 - share)


def report(exports: list[series.Export]) -> Report:
    """Merge the exports of instances, the newest of each boot, into one report."""
    newest = {
        (export.instance, export.boot): export
        for export in sorted(exports, key=_wall_ms)
    }
    wall_ms = max((export.wall_ms for export in newest.values()), default=0)
    merged: dict[tuple[str, objectives.Measure], MergedSeries] = {}
    for export in newest.values():
        for exported in export.series:
            for account in {exported.account, objectives.FLEET}:
                merged.setdefault((account, exported.measure), MergedSeries()).add(
                    exported
                )
    rows = [_row(key, total, wall_ms) for key, total in sorted(merged.items())]
    alerts = [alert for row in rows for alert in find_alerts(row)]
    return Report(wall_ms, sorted({name for name, _ in newest}), rows, alerts)


def find_alerts(row: Row) -> list[Alert]:
    """Return the most urgent alert of a row, or an empty list."""
    burns = dict(zip(WINDOWS_MS, row.windows, strict=True))
    for rule in RULES:
        short, long = burns[rule.short_ms], burns[rule.long_ms]
        rates = (short.burn or 0.0, long.burn or 0.0)
        if min(rates) >= rule.burn:
            names = f"{short.name}/{long.name}"
            action = ACTIONS[row.measure]
            rate = round(min(rates), 1)
            alert = Alert(rule.severity, row.account, row.measure, names, rate, action)
            return [alert]
    return []


def _wall_ms(export: series.Export) -> int:
    return export.wall_ms


def _row(
    key: tuple[str, objectives.Measure], merged: MergedSeries, wall_ms: int
) -> Row:
    windows = [
        merged.window(name, window_ms, wall_ms)
        for name, window_ms in zip(WINDOW_NAMES, WINDOWS_MS, strict=True)
    ]
    percentile = merged.histogram.get_value_at_percentile
    account, measure = key
    return Row(
        account,
        measure,
        merged.share,
        merged.threshold_ms,
        windows,
        percentile(50),
        percentile(95),
        percentile(99),
    )
