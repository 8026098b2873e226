"""Tests of the series of one instance, and of burn rates over several."""

import pathlib
import tempfile
import unittest

import msgspec

from cornelreach.reports import burn, objectives, plot, series

MINUTE_MS = 60_000
HOUR_MS = 60 * MINUTE_MS
START_MS = 1_000 * HOUR_MS
LATENCY = objectives.Objective(0.95, 1_700)
MEASURE = objectives.Measure.FIRST_TOKEN


def export(name, *events, wall_ms=START_MS):
    """Return the export of an instance; an event is (age ms, value ms, count)."""
    counts = series.InstanceSeries()
    for age_ms, value_ms, count in sorted(events, reverse=True):
        for _ in range(count):
            counts.add("tirnica", MEASURE, LATENCY, value_ms, wall_ms - age_ms)
    exported = counts.export(name, f"{name}-boot", wall_ms)
    return msgspec.json.decode(msgspec.json.encode(exported), type=series.Export)


class Burn(unittest.TestCase):
    """Merging, windows and alerts."""

    def row(self, *exports):
        return burn.report(list(exports)).rows[-1]

    def test_histograms_and_counts_of_instances_add_up(self):
        row = self.row(export("a", (0, 100, 90)), export("b", (0, 3_000, 10)))
        self.assertEqual((row.account, row.windows[0].total), ("tirnica", 100))
        self.assertAlmostEqual(row.windows[0].burn, 2.0)
        self.assertAlmostEqual(row.p50_ms, 100, delta=2)
        self.assertAlmostEqual(row.p95_ms, 3_000, delta=32)

    def test_only_the_newest_export_of_a_boot_counts(self):
        old = export("a", (0, 100, 50), wall_ms=START_MS - 1_000)
        new = export("a", (0, 100, 60))
        self.assertEqual(self.row(new, old).windows[0].total, 60)

    def test_windows_count_the_events_of_their_time(self):
        ages = (
            2 * MINUTE_MS,
            25 * MINUTE_MS,
            50 * MINUTE_MS,
            5 * HOUR_MS,
            70 * HOUR_MS,
        )
        row = self.row(export("a", *((age_ms, 100, 10) for age_ms in ages)))
        totals = [window.total for window in row.windows]
        self.assertEqual(totals, [10, 20, 30, 40, 50])

    def test_alerts_need_both_windows_and_name_an_action(self):
        cases = {
            ((0, 9_000, 100),): ["page"],
            ((50 * MINUTE_MS, 9_000, 100), (0, 100, 100)): ["ticket"],
            ((0, 9_000, 10), (0, 100, 190), (5 * HOUR_MS, 100, 600)): [],
            ((2 * HOUR_MS, 9_000, 10), (60 * HOUR_MS, 9_000, 9), (0, 100, 99)): [
                "ticket"
            ],
        }
        for events, expected in cases.items():
            alerts = burn.report([export("a", *events)]).alerts
            found = [alert for alert in alerts if alert.account == "tirnica"]
            self.assertEqual([alert.severity for alert in found], expected, events)
            self.assertTrue(all(alert.action for alert in found))

    def test_few_events_have_no_burn_rate(self):
        self.assertIsNone(self.row(export("a", (0, 9_000, 3))).windows[0].burn)

    def test_old_slots_and_histograms_are_dropped(self):
        counts = series.InstanceSeries()
        for hour in range(100):
            counts.add("tirnica", MEASURE, LATENCY, 5 + hour, START_MS + hour * HOUR_MS)
        exported = counts.export("a", "b", START_MS + 99 * HOUR_MS).series[0]
        self.assertLessEqual(len(exported.long), series.LONG_SLOTS)
        self.assertLessEqual(len(exported.short), 7)
        self.assertEqual(burn.report([counts.export("a", "b", 1)]).rows[0].p50_ms, 103)

    def test_plot_is_a_png(self):
        report = burn.report([export("a", (0, 100, 90), (0, 9_000, 10))])
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory, "burn.png")
            plot.write_png(report, str(path))
            self.assertTrue(path.read_bytes().startswith(b"\x89PNG"))
