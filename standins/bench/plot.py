"""Plots first-token times and refusals by second for every policy."""

import matplotlib
from matplotlib import pyplot

from standins.bench import figures, site as site_module

matplotlib.use("Agg")


def save(
    path: str,
    rows: list[figures.Figures],
    script: site_module.Script,
    title: str,
) -> None:
    """Write p95 first-token time and refusals by second as a PNG file."""
    figure, (waits, refusals) = pyplot.subplots(2, 1, sharex=True, figsize=(11, 7))
    for row in rows:
        at = [one.second for one in row.seconds]
        waits.plot(
            at, [one.first_token_p95_ms for one in row.seconds], label=row.policy
        )
        refusals.plot(at, [one.refused for one in row.seconds], label=row.policy)
    waits.set_yscale("log")
    waits.set_ylabel("p95 time to first token, ms")
    refusals.set_ylabel("calls refused a second")
    refusals.set_xlabel("virtual time, s")
    for axes in (waits, refusals):
        for at_ms in (script.cold_at_ms, script.out_at_ms, script.back_at_ms):
            if at_ms is not None:
                axes.axvline(at_ms / 1_000, color="grey", linestyle=":")
    waits.set_title(title)
    waits.legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)
