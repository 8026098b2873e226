"""Measurements of one policy's run, and a table that compares policies."""

import collections
import math
import typing

from standins import load
from standins.bench import site as site_module

DONE = "done"
UNFINISHED = "unfinished"
SETTLE_S = 30


class Second(typing.NamedTuple):
    """One second of a run, by the time at which calls were offered."""

    second: int
    offered: int
    refused: int
    first_token_p95_ms: float


class AccountFigures(typing.NamedTuple):
    """The measurements of one client account."""

    account: str
    offered: int
    refused: int
    first_token_p95_ms: float


class Figures(typing.NamedTuple):
    """The measurements of one policy from the end of the warm-up on."""

    policy: str
    offered: int
    done: int
    first_token_p50_ms: float
    first_token_p95_ms: float
    first_token_p99_ms: float
    between_tokens_p95_ms: float
    prompt_tokens: int
    computed_tokens: int
    unavoidable_tokens: int
    unfinished: int
    refusals: dict[str, int]
    late_work: int
    worst_cold_overload: int
    falls: int
    worst_second_refused_share: float
    link_bytes: dict[str, int]
    accounts: list[AccountFigures]
    seconds: list[Second]

    @property
    def computed_share(self) -> float:
        """Return the share of prompt tokens that engines computed."""
        return self.computed_tokens / max(1, self.prompt_tokens)

    @property
    def unavoidable_share(self) -> float:
        """Return the share that no cache can hold: new pieces and prompt tails."""
        return self.unavoidable_tokens / max(1, self.prompt_tokens)

    @property
    def recomputed_tokens(self) -> int:
        """Return the tokens computed beyond the unavoidable ones."""
        return max(0, self.computed_tokens - self.unavoidable_tokens)


def percentile(values: typing.Sequence[float], share: float) -> float:
    """Return the nearest-rank percentile; 0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def _weighted_percentile(counts: typing.Mapping[float, int], share: float) -> float:
    rank = share * sum(counts.values())
    counted = 0
    for value, count in sorted(counts.items()):
        counted += count
        if counted >= rank:
            return value
    return 0.0


def compute(
    policy: str, site: site_module.Site, from_ms: float, end_ms: float
) -> Figures:
    """Return the figures of a run that has ended."""
    records = [one for one in site.records if from_ms <= one.call.at_ms < end_ms]
    waits = _waits(records)
    steps: collections.Counter[float] = collections.Counter()
    for engine in site.engines.values():
        steps.update(engine.steps)
    seconds = _by_second(records)
    kinds = collections.Counter(_outcome(one) for one in records)
    calls = [one.call for one in site.records if one.call.at_ms < end_ms]
    return Figures(
        policy=policy,
        offered=len(records),
        done=kinds.pop(DONE, 0),
        first_token_p50_ms=percentile(waits, 0.50),
        first_token_p95_ms=percentile(waits, 0.95),
        first_token_p99_ms=percentile(waits, 0.99),
        between_tokens_p95_ms=_weighted_percentile(steps, 0.95),
        prompt_tokens=sum(one.call.prompt_tokens for one in records),
        computed_tokens=sum(
            engine.prefilled_tokens - site.prefilled_before[name]
            for name, engine in site.engines.items()
        ),
        unavoidable_tokens=load.unavoidable_tokens(calls, from_ms),
        unfinished=kinds.pop(UNFINISHED, 0),
        refusals=dict(sorted(kinds.items())),
        late_work=site.late_work,
        worst_cold_overload=max(e.worst_overload for e in site.engines.values()),
        falls=sum(engine.crashes for engine in site.engines.values()),
        worst_second_refused_share=_worst_second(seconds, site.script),
        link_bytes=_link_bytes(site),
        accounts=_by_account(records),
        seconds=seconds,
    )


def _link_bytes(site: site_module.Site) -> dict[str, int]:
    sent = {
        name: link.sent_bytes - site.sent_before[name]
        for name, link in site.links.items()
    }
    return {name: count for name, count in sent.items() if count}


def _worst_second(seconds: list[Second], script: site_module.Script) -> float:
    """Return the largest share refused within one second of a take-out or return."""
    if script.out_at_ms is None or script.back_at_ms is None:
        return 0.0
    start, end = script.out_at_ms // 1_000, script.back_at_ms // 1_000 + SETTLE_S
    shares = [
        one.refused / one.offered for one in seconds if start <= one.second <= end
    ]
    return max(shares, default=0.0)


def _outcome(record: site_module.Record) -> str:
    return record.outcome or UNFINISHED


def _waits(records: typing.Iterable[site_module.Record]) -> list[float]:
    waits = (one.first_token_ms for one in records)
    return [wait for wait in waits if wait is not None]


def _refused(records: typing.Iterable[site_module.Record]) -> int:
    return sum(_outcome(one) not in (DONE, UNFINISHED) for one in records)


def _by_second(records: list[site_module.Record]) -> list[Second]:
    groups = collections.defaultdict(list)
    for one in records:
        groups[int(one.call.at_ms // 1_000)].append(one)
    return [
        Second(second, len(group), _refused(group), percentile(_waits(group), 0.95))
        for second, group in sorted(groups.items())
    ]


def _by_account(records: list[site_module.Record]) -> list[AccountFigures]:
    groups = collections.defaultdict(list)
    for one in records:
        groups[one.call.account].append(one)
    return [
        AccountFigures(
            account, len(group), _refused(group), percentile(_waits(group), 0.95)
        )
        for account, group in sorted(groups.items())
    ]


class BurstComparison(typing.NamedTuple):
    """First-token p95 of all accounts but the largest, without and with its burst.

    ``worst_ratio`` is the largest ratio of one account's p95 with and without it.
    """

    policy: str
    calls: int
    before_p95_ms: float
    after_p95_ms: float
    worst_account: str
    worst_ratio: float
    burst_done: int
    refused: int

    def text(self) -> str:
        """Return the comparison as one readable line."""
        growth = self.after_p95_ms / max(1.0, self.before_p95_ms)
        return (
            f"{self.policy}: {self.calls} calls of other accounts, p95"
            f" {self.before_p95_ms:.0f} ms without and {self.after_p95_ms:.0f} ms with"
            f" the burst ({growth:.2f}); worst {self.worst_account}"
            f" {self.worst_ratio:.2f}; burst calls done {self.burst_done};"
            f" others refused {self.refused}"
        )


def compare_burst(
    policy: str, before: site_module.Site, after: site_module.Site, from_ms: float
) -> BurstComparison:
    """Compare two runs of a policy, the second with a burst from ``from_ms``."""
    large_account = "account-0"
    groups = [
        _by_other_account(site, large_account, from_ms) for site in (before, after)
    ]
    waits = [
        {account: percentile(_waits(calls), 0.95) for account, calls in group.items()}
        for group in groups
    ]
    ratios = {
        account: waits[1].get(account, 0.0) / max(1.0, wait)
        for account, wait in waits[0].items()
    }
    worst = max(ratios, key=ratios.__getitem__)
    calls = [[one for part in group.values() for one in part] for group in groups]
    burst = [one for one in after.records if one.call.name.startswith("burst-")]
    return BurstComparison(
        policy=policy,
        calls=len(calls[1]),
        before_p95_ms=percentile(_waits(calls[0]), 0.95),
        after_p95_ms=percentile(_waits(calls[1]), 0.95),
        worst_account=worst,
        worst_ratio=ratios[worst],
        burst_done=sum(one.outcome == DONE for one in burst),
        refused=_refused(calls[1]),
    )


def _by_other_account(
    site: site_module.Site, large_account: str, from_ms: float
) -> dict[str, list[site_module.Record]]:
    groups = collections.defaultdict(list)
    for one in site.records:
        if one.call.at_ms >= from_ms and one.call.account != large_account:
            groups[one.call.account].append(one)
    return groups


COLUMNS: tuple[tuple[str, typing.Callable[[Figures], str]], ...] = (
    ("policy", lambda one: one.policy),
    ("TTFT p50 ms", lambda one: f"{one.first_token_p50_ms:.0f}"),
    ("p95 ms", lambda one: f"{one.first_token_p95_ms:.0f}"),
    ("p99 ms", lambda one: f"{one.first_token_p99_ms:.0f}"),
    ("TBT p95 ms", lambda one: f"{one.between_tokens_p95_ms:.1f}"),
    ("computed %", lambda one: f"{100 * one.computed_share:.1f}"),
    ("unavoidable %", lambda one: f"{100 * one.unavoidable_share:.1f}"),
    ("recomputed k", lambda one: f"{one.recomputed_tokens / 1_000:.0f}"),
    ("links MB", lambda one: f"{sum(one.link_bytes.values()) / 1e6:.0f}"),
    ("refused", lambda one: str(sum(one.refusals.values()))),
    ("unfinished", lambda one: str(one.unfinished)),
    ("worst s %", lambda one: f"{100 * one.worst_second_refused_share:.0f}"),
    ("late work", lambda one: str(one.late_work)),
    ("cold over", lambda one: str(one.worst_cold_overload)),
    ("falls", lambda one: str(one.falls)),
    ("account p95 ms", lambda one: _spread(one.accounts)),
)


def _spread(accounts: list[AccountFigures]) -> str:
    waits = [one.first_token_p95_ms for one in accounts]
    return f"{min(waits):.0f}-{max(waits):.0f}" if waits else "-"


def table(rows: list[Figures]) -> str:
    """Return the figures of all policies as aligned text."""
    cells = [[title for title, _ in COLUMNS]]
    cells += [[format_cell(row) for _, format_cell in COLUMNS] for row in rows]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    lines = []
    for line in cells:
        first, *rest = (
            cell.ljust(width) if index == 0 else cell.rjust(width)
            for index, (cell, width) in enumerate(zip(line, widths, strict=True))
        )
        lines.append("  ".join([first, *rest]))
    return "\n".join(lines)


def links_text(rows: list[Figures]) -> str:
    """Return the bytes on each link and the refusals by kind, one policy a line."""
    lines = []
    for row in rows:
        links = [f"{name} {sent / 1e6:.0f}" for name, sent in row.link_bytes.items()]
        kinds = [f"{kind} {count}" for kind, count in row.refusals.items()]
        lines.append(
            f"{row.policy}: links MB: {', '.join(links) or 'none'};"
            f" refusals: {', '.join(kinds) or 'none'}"
        )
    return "\n".join(lines)
