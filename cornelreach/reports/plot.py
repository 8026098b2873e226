"""Plot of the burn of each objective over the last hours, through matplotlib."""

import typing

from cornelreach.reports import burn
from cornelreach.util import errors

WIDTH_INCHES = 8.0
ROW_INCHES = 0.45


def write_png(report: burn.Report, path: str) -> None:
    """Write one bar a window for each account and measure; matplotlib is optional.

    Raises errors.UserError where it is not installed or the file cannot be written.
    """
    figure_type = _figure_type()
    height_inches = 1.5 + ROW_INCHES * max(1, len(report.rows))
    figure = figure_type(figsize=(WIDTH_INCHES, height_inches), layout="constrained")
    axes = figure.add_subplot()
    names = [f"{row.account or 'fleet'} {row.measure}" for row in report.rows]
    height = 0.8 / len(burn.WINDOW_NAMES)
    for index, window in enumerate(burn.WINDOW_NAMES):
        places = [place + index * height for place in range(len(names))]
        rates = [row.windows[index].burn or 0.0 for row in report.rows]
        axes.barh(places, rates, height, label=window)
    axes.axvline(1.0, color="black", linewidth=1)
    axes.set_yticks([place + 0.4 - height / 2 for place in range(len(names))], names)
    axes.invert_yaxis()
    axes.set_xlabel("burn rate (1: the objective is just met)")
    axes.legend(title="window")
    try:
        figure.savefig(path, format="png")
    except OSError as error:
        text = f"{path} cannot be written: {error}"
        raise errors.UserError(text, "name a file in a directory you own") from None


def _figure_type() -> type[typing.Any]:
    try:
        from matplotlib import figure
    except ImportError:
        raise errors.UserError(
            "matplotlib is not installed", "install it, or leave --png out"
        ) from None
    return figure.Figure
