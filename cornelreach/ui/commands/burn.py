"""Command that reports the burn rates of service-level objectives."""

import msgspec

from cornelreach.reports import burn as burn_module, plot, series
from cornelreach.ui import context as context_module, exits

HEADERS = (
    "account",
    "measure",
    "objective",
    *burn_module.WINDOW_NAMES,
    "p50",
    "p95",
    "p99",
)


async def burn(
    context: context_module.CommandContext, arguments: context_module.Arguments
) -> context_module.Output:
    """Show the burn rates of the error budgets and the actions for alerts."""
    replies = await context.request_all("/admin/burn")
    exports = [
        msgspec.convert(reply.value, series.Export)
        for reply in replies
        if not reply.error
    ]
    unreachable = [reply for reply in replies if reply.error]
    report = burn_module.report(exports)
    lines = [context_module.table(HEADERS, [row_cells(row) for row in report.rows])]
    lines += [f"{one.address}: no response: {one.error}" for one in unreachable]
    lines += [describe_alert(alert) for alert in report.alerts]
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
    return context_module.Output(value, "\n".join(lines), code)


def row_cells(row: burn_module.Row) -> list[str]:
    """Return the cells of a table row; times are in milliseconds."""
    is_latency = row.threshold_ms is not None
    limit = f" in {row.threshold_ms:g} ms" if is_latency else ""
    rates = ["-" if one.burn is None else f"{one.burn:.1f}" for one in row.windows]
    times = [
        str(ms) if is_latency else "-" for ms in (row.p50_ms, row.p95_ms, row.p99_ms)
    ]
    objective = f"{row.share:.1%}{limit}"
    return [row.account or "(fleet)", str(row.measure), objective, *rates, *times]


def describe_alert(alert: burn_module.Alert) -> str:
    """Format an alert with its recommended action."""
    subject = alert.account or "the fleet"
    return (
        f"{alert.severity.upper()} {alert.measure} of {subject} burns {alert.burn} "
        f"over {alert.windows}: {alert.action}"
    )
