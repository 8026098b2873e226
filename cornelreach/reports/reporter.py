"""Observer of an instance's calls, which updates its metrics and burn rates."""

from cornelreach.reports import metrics as metrics_module, objectives, series
from cornelreach.settings import plan, state as state_module, view as view_module
from cornelreach.util import errors, timers

FLUSH_PERIOD_MS = 1_000
GAP_SAMPLE_PERIOD = 8
Measure = objectives.Measure


class TokenGaps:
    """Gaps between tokens of one account since the last flush."""

    def __init__(self, threshold_ms: float) -> None:
        self.threshold_ms = threshold_ms
        self.total = 0
        self.late = 0
        self.sum_ms = 0.0
        self.sample_ms: list[float] = []


class Reporter:
    """Implements ``calls.chatexecutor.Observer`` with series and metrics."""

    def __init__(
        self,
        instance: str,
        boot: str,
        view: view_module.View,
        clock: timers.Timers,
        metrics: metrics_module.Metrics,
    ) -> None:
        self.instance = instance
        self.boot = boot
        self.view = view
        self.clock = clock
        self.metrics = metrics
        self.series = series.InstanceSeries()
        self._objectives: dict[str, dict[Measure, objectives.Objective]] = {}
        self._gaps: dict[str, TokenGaps] = {}
        self._started_ms = clock.wall_ms()
        self._seen_changes: dict[str, str] = {}
        clock.every(FLUSH_PERIOD_MS, self.flush)
        view.state.subscribe(self.on_settings_changed)

    def record_first_token(self, account: str, wait_ms: float) -> None:
        """Record the time from receipt to the first token."""
        self.metrics.add("first_tokens_total", 1, account)
        self.metrics.add("first_token_ms_total", wait_ms, account)
        self._add(account, Measure.FIRST_TOKEN, wait_ms)

    def record_token_gap(self, account: str, gap_ms: float) -> None:
        """Record the time between two chunks; the histogram samples every eighth."""
        gaps = self._gaps.get(account)
        if gaps is None:
            objective = self._objective(account, Measure.BETWEEN_TOKENS)
            gaps = self._gaps[account] = TokenGaps(objective.threshold_ms)
        gaps.total += 1
        gaps.sum_ms += gap_ms
        if gap_ms > gaps.threshold_ms:
            gaps.late += 1
        if gaps.total % GAP_SAMPLE_PERIOD == 1:
            gaps.sample_ms.append(gap_ms)

    def record_answer(
        self, account: str, prompt_tokens: int, cached_tokens: int
    ) -> None:
        """Record a complete answer."""
        self.metrics.add("calls_total", 1, account, "ok")
        self.metrics.add("prompt_tokens_total", prompt_tokens, account)
        self.metrics.add("cached_tokens_total", cached_tokens, account)
        self._count_answer(account, good=True)

    def record_failure(self, account: str, code: errors.Code) -> None:
        """Record a refusal or a failure; callers' mistakes don't count as bad."""
        self.metrics.add("calls_total", 1, account, str(code))
        if code in objectives.FAILURE_CODES:
            self._count_answer(account, good=False)

    def on_settings_changed(self, changed: state_module.Changed) -> None:
        """Record the delay from the write of each new change until it applies here.

        Changes written before the start, and later writes of the same change, don't
        count.
        """
        for entry in changed.entries:
            fields = entry.value if isinstance(entry.value, dict) else {}
            written_ms = fields.get(plan.WRITTEN_FIELD, 0)
            idents = fields.get(plan.CHANGES_FIELD)
            if not idents or written_ms < self._started_ms:
                continue
            if self._seen_changes.get(entry.key) != idents[-1]:
                self._seen_changes[entry.key] = idents[-1]
                delay_ms = max(0.0, self.clock.wall_ms() - written_ms)
                self._add(objectives.FLEET, Measure.CONFIGURATION, delay_ms)

    def flush(self) -> None:
        """Flush the token gaps to the series, and have the objectives read again."""
        measure, wall_ms = Measure.BETWEEN_TOKENS, self.clock.wall_ms()
        for account, gaps in self._gaps.items():
            objective = self._objective(account, measure)
            counts = (gaps.total - gaps.late, gaps.total)
            self.series.count(
                account, measure, objective, counts, gaps.sample_ms, wall_ms
            )
            self.metrics.add("token_gaps_total", gaps.total, account)
            self.metrics.add("token_gap_ms_total", gaps.sum_ms, account)
            if gaps.late:
                self.metrics.add("late_events_total", gaps.late, account, str(measure))
        self._gaps.clear()
        self._objectives.clear()

    def export(self) -> series.Export:
        """Return what this instance has measured, for ``GET /admin/burn``."""
        self.flush()
        return self.series.export(self.instance, self.boot, self.clock.wall_ms())

    def _add(self, account: str, measure: Measure, value_ms: float) -> None:
        objective = self._objective(account, measure)
        if value_ms > objective.threshold_ms:
            self.metrics.add("late_events_total", 1, account, str(measure))
        self.series.add(account, measure, objective, value_ms, self.clock.wall_ms())

    def _count_answer(self, account: str, good: bool) -> None:
        measure = Measure.WHOLE_ANSWER
        objective = self._objective(account, measure)
        counts, wall_ms = (int(good), 1), self.clock.wall_ms()
        self.series.count(account, measure, objective, counts, (), wall_ms)

    def _objective(self, account: str, measure: Measure) -> objectives.Objective:
        if account not in self._objectives:
            wall_ms = self.clock.wall_ms()
            self._objectives[account] = objectives.for_account(
                self.view, account, wall_ms
            )
        return self._objectives[account][measure]
