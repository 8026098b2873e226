"""Tests of the observer of calls, and of the metrics."""

import pathlib
import unittest

from cornelreach.reports import burn, metrics, objectives, reporter
from cornelreach.settings import state as state_module, view as view_module
from cornelreach.util import errors, timers


class Reporter(unittest.TestCase):
    """Measurements of calls appear in metrics and in burn rates."""

    def setUp(self):
        self.clock = timers.VirtualTimers(0, 1e12)
        self.view = view_module.View(state_module.State())
        self.metrics = metrics.Metrics()
        self.reporter = reporter.Reporter(
            "a", "boot", self.view, self.clock, self.metrics
        )

    def test_late_and_failed_calls_are_bad_events_but_mistakes_are_not(self):
        for wait_ms in (100.0, 5_000.0):
            self.reporter.record_first_token("tirnica", wait_ms)
        self.reporter.record_answer("tirnica", 1_000, 900)
        self.reporter.record_failure("tirnica", errors.Code.TARGET_FAILED)
        self.reporter.record_failure("tirnica", errors.Code.BAD_REQUEST)
        rows = burn.report([self.reporter.export()]).rows
        counts = {(row.account, row.measure): row.windows[0][1:3] for row in rows}
        measures = objectives.Measure
        self.assertEqual(counts["tirnica", measures.FIRST_TOKEN], (1, 2))
        self.assertEqual(counts["tirnica", measures.WHOLE_ANSWER], (1, 2))
        self.assertEqual(counts["", measures.WHOLE_ANSWER], (1, 2))

    def test_each_change_counts_once_with_its_delay(self):
        def change(version, ident, written_ms):
            value = {"changes": [ident], "written_ms": written_ms}
            entry = state_module.Entry("settings/model/m", version, value)
            self.reporter.on_settings_changed(state_module.Changed((entry,), version))

        start_ms = self.clock.wall_ms()
        change(1, "before", start_ms - 60_000)
        self.clock.advance(10_000)
        change(2, "late", start_ms + 500)
        change(3, "late", start_ms + 500)
        change(4, "good", start_ms + 9_500)
        rows = burn.report([self.reporter.export()]).rows
        self.assertEqual([row.measure for row in rows], ["configuration"])
        self.assertEqual(rows[0].windows[0][1:3], (1, 2))

    def test_metrics_are_rendered_for_the_scraper(self):
        self.reporter.record_first_token("tirnica", 5_000.0)
        self.reporter.record_token_gap("tirnica", 20.0)
        self.reporter.record_token_gap("tirnica", 90.0)
        self.metrics.gauge("connections", lambda: 7)
        self.clock.advance(1_000)
        text = self.metrics.render().decode()
        self.assertIn('cornelreach_first_token_ms_total{account="tirnica"} 5000', text)
        self.assertIn('cornelreach_token_gap_ms_total{account="tirnica"} 110', text)
        self.assertIn('measure="between_tokens"} 1', text)
        self.assertIn("# TYPE cornelreach_connections gauge", text)
        self.assertIn("cornelreach_connections 7", text)
        with self.assertRaises(KeyError):
            self.metrics.gauge("nonsense", lambda: 0)


class Reference(unittest.TestCase):
    """The reference page of the metrics."""

    def test_the_page_lists_the_metrics_of_the_code(self):
        root = pathlib.Path(__file__).resolve().parents[2]
        page = (root / "docs" / "reference-metrics.md").read_text()
        self.assertEqual(page, metrics.reference_markdown())
