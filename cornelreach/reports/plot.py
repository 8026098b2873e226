"""Bar chart of the burn rate of each objective, drawn with matplotlib."""

import typing

from cornelreach.reports import burn
from cornelreach.util import errors

WIDTH_INCHES = 8.0
ROW_INCHES = 0.45


def write_png(report: burn.Report, path: str) -> None:
    """Write a chart with one bar per window for each account and measure.

    Raises errors.UserError if matplotlib, an optional dependency, is not installed or
    if the file cannot be written.
    """
    figure_type = _figure_type()
    height_inches = 1.5 + ROW_INCHES * max(1, len(report.rows))
    figure = figure_type(figsize=(WIDTH_INCHES, height_inches), layout="constrained")
    axes = figure.add_subplot()
    names = [f"{row.account or 'fleet'} {row.measure}" for row in report.rows]
    height = 0.8 / len(burn.WINDOW_NAMES)
    for index, window in enumerate(burn.WINDOW_NAMES):
        positions = [position + index * height for position in range(len(names))]
        rates = [row.windows[index].burn or 0.0 for row in report.rows]
        axes.barh(positions, rates, height, label=window)
    axes.axvline(1.0, color="black", linewidth=1)
    axes.set_yticks(
        [position + 0.4 - height / 2 for position in range(len(names))], names
    )
    axes.invert_yaxis()
    axes.set_xlabel("burn rate (1: the objective is just met)")
    axes.legend(title="window")
    try:
        figure.savefig(path, format="png")
    except OSError as error:
        message = f"{path} cannot be written: {error}"
        raise errors.UserError(
            message, "choose a file in a directory you own"
        ) from None


def _figure_type() -> type[typing.Any]:
    try:
        from matplotlib import figure
    except ImportError:
        raise errors.UserError(
            "matplotlib is not installed", "install it, or leave --png out"
        ) from None
    return figure.Figure
