"""Command that reports the burn rates of service-level objectives."""

import msgspec

from cornelreach.reports import burn as burn_module, plot, series
from cornelreach.ui import exits, tool as tool_module

HEADS = (
    "account",
    "measure",
    "objective",
    *burn_module.WINDOW_NAMES,
    "p50",
    "p95",
    "p99",
)


async def burn(
    tool: tool_module.Tool, arguments: tool_module.Arguments
) -> tool_module.Output:
    """Show the burn rates of the error budgets and the actions for alerts."""
    answers = await tool.ask_all("/admin/burn")
    exports = [
        msgspec.convert(answer.value, series.Export)
        for answer in answers
        if not answer.error
    ]
    unreachable = [answer for answer in answers if answer.error]
    report = burn_module.report(exports)
    lines = [tool_module.table(HEADS, [cells(row) for row in report.rows])]
    lines += [f"{one.address}: no response: {one.error}" for one in unreachable]
    lines += [describe(alert) for alert in report.alerts]
    if arguments["--png"]:
        plot.write_png(report, arguments["--png"])
        lines.append(f"Plot written to {arguments['--png']}.")
    has_page_alert = any(alert.severity == "page" for alert in report.alerts)
    code = (
        exits.ExitCode.UNREACHABLE if unreachable and not exports else exits.ExitCode.OK
    )
    if arguments["--check"] and has_page_alert:
        code = exits.ExitCode.ALERT
    value = {**report._asdict(), "silent": unreachable}
    return tool_module.Output(value, "\n".join(lines), code)


def cells(row: burn_module.Row) -> list[str]:
    """Return the cells of a table row; times are in milliseconds."""
    is_latency = row.threshold_ms is not None
    limit = f" in {row.threshold_ms:g} ms" if is_latency else ""
    rates = ["-" if one.burn is None else f"{one.burn:.1f}" for one in row.windows]
    times = [
        str(ms) if is_latency else "-" for ms in (row.p50_ms, row.p95_ms, row.p99_ms)
    ]
    objective = f"{row.share:.1%}{limit}"
    return [row.account or "(fleet)", str(row.measure), objective, *rates, *times]


def describe(alert: burn_module.Alert) -> str:
    """Format an alert with its recommended action."""
    subject = alert.account or "the fleet"
    return (
        f"{alert.severity.upper()} {alert.measure} of {subject} burns {alert.burn} "
        f"over {alert.windows}: {alert.action}"
    )
