"""Measures placement and admission against baselines, in virtual time.

Usage:
  measure [options]

Options:
  --fleet=NAME      Profile: tirnica or tarmac-bleu. [default: tirnica]
  --seed=SEED       Seed of the schedule. [default: 1]
  --seconds=S       Virtual length of a run. [default: 900]
  --rate=SHARE      Load as a share of the nominal one. [default: 1.0]
  --json=PATH       Write all figures as JSON.
  --plot=PATH       Write a PNG plot.
  --policy=NAME     Run only policies whose name contains this.
  --quiet-site      No cold restart and no take-out of a data centre.
  --burst=SHARE     Instead of the table, compare the other accounts of each policy with
                    and without a burst of the largest account, by this share of the
                    nominal load, over the second half of a quiet run.

The schedule is generated once; each policy gets the same calls on its own copy of the
fleet. The first third of the run fills the caches and is not measured. At 0.4 of the
run a reader restarts cold without notice; at 0.5 a data centre is taken out; at 0.7 it
returns with cold engines.
"""

import time
import typing

import docopt
import msgspec

from cornelreach.util import errors
from standins import load, profiles
from standins.bench import (
    baselines,
    figures,
    plot,
    policy as policy_module,
    site as site_module,
)

WARM_SHARE = 1 / 3
COLD_SHARE = 0.4
OUT_SHARE = 0.5
BACK_SHARE = 0.7


class Experiment(typing.NamedTuple):
    """One schedule and the script of faults that runs beside it."""

    profile: profiles.Profile
    calls: list[load.ScheduledCall]
    script: site_module.Script
    seed: int
    end_ms: float

    @property
    def from_ms(self) -> float:
        """Return the end of the warm-up."""
        return self.end_ms * WARM_SHARE


def prepare(
    profile: profiles.Profile, seed: int, seconds: float, rate: float, quiet: bool
) -> Experiment:
    """Return an experiment with its generated schedule."""
    end_ms = seconds * 1_000
    calls = load.schedule(profile, seed, seconds, rate)
    script = site_module.Script()
    if not quiet:
        script = site_module.Script(
            end_ms * COLD_SHARE, end_ms * OUT_SHARE, end_ms * BACK_SHARE
        )
    return Experiment(profile, calls, script, seed, end_ms)


def run(experiment: Experiment, policy: site_module.Policy) -> figures.Figures:
    """Run one policy and return its measurements."""
    site = site_module.Site(
        experiment.profile, experiment.calls, experiment.script, experiment.seed
    )
    site.run(policy, experiment.end_ms, experiment.from_ms)
    return figures.compute(policy.name, site, experiment.from_ms, experiment.end_ms)


def policies(wanted: str) -> list[site_module.Policy]:
    """Return the policies whose name contains a text."""
    every = [*baselines.all_baselines(), policy_module.Cornelreach()]
    return [policy for policy in every if wanted in policy.name]


def run_burst(
    profile: profiles.Profile, seed: int, seconds: float, share: float, wanted: str
) -> list[figures.BurstComparison]:
    """Compare the other accounts with and without a burst, for each policy."""
    end_ms = seconds * 1_000
    burst = load.Burst(end_ms / 2, end_ms, share)
    rows = []
    for number, policy in enumerate(policies(wanted)):
        sites = []
        for extra in (None, burst):
            calls = load.schedule(profile, seed, seconds, burst=extra)
            site = site_module.Site(profile, calls, site_module.Script(), seed)
            site.run(policies(wanted)[number], end_ms, end_ms * WARM_SHARE)
            sites.append(site)
        rows.append(figures.compare_burst(policy.name, *sites, burst.from_ms))
    return rows


def _heading(experiment: Experiment, rate: float) -> str:
    profile = experiment.profile
    return (
        f"{profile.name}, seed {experiment.seed}: {experiment.end_ms / 1_000:.0f} s of"
        f" virtual time, {rate * profile.nominal_calls_per_s:.1f} reader calls/s"
        f" ({rate:g} of nominal), {len(experiment.calls)} calls,"
        f" figures from {experiment.from_ms / 1_000:.0f} s on"
    )


def _json(experiment: Experiment, rows: list[figures.Figures]) -> bytes:
    value = {
        "fleet": experiment.profile.name,
        "seed": experiment.seed,
        "seconds": experiment.end_ms / 1_000,
        "policies": [
            {
                **row._asdict(),
                "computed_share": row.computed_share,
                "unavoidable_share": row.unavoidable_share,
                "recomputed_tokens": row.recomputed_tokens,
            }
            for row in rows
        ],
    }
    return msgspec.json.format(msgspec.json.encode(value))


def _experiment(flags: dict[str, typing.Any]) -> Experiment:
    profile = profiles.PROFILES.get(flags["--fleet"])
    if profile is None:
        names = " or ".join(profiles.PROFILES)
        raise errors.UserError(f"no fleet {flags['--fleet']!r}", f"choose {names}")
    try:
        seed, seconds = int(flags["--seed"]), float(flags["--seconds"])
        rate = float(flags["--rate"])
    except ValueError as error:
        raise errors.UserError(str(error), "give numbers") from error
    return prepare(profile, seed, seconds, rate, flags["--quiet-site"])


def main() -> None:
    """Run the policies, print the table, and write the JSON and the plot."""
    flags = docopt.docopt(__doc__)
    try:
        experiment = _experiment(flags)
    except errors.UserError as error:
        raise SystemExit(f"measure: {error}") from None
    if flags["--burst"]:
        seconds, share = experiment.end_ms / 1_000, float(flags["--burst"])
        wanted = flags["--policy"] or ""
        for row in run_burst(
            experiment.profile, experiment.seed, seconds, share, wanted
        ):
            print(row.text())
        return
    heading = _heading(experiment, float(flags["--rate"]))
    print(heading, flush=True)
    rows = []
    started_s = time.monotonic()
    for policy in policies(flags["--policy"] or ""):
        rows.append(run(experiment, policy))
    print(figures.table(rows))
    print(figures.links_text(rows))
    print(f"took {time.monotonic() - started_s:.1f} s")
    if flags["--json"]:
        with open(flags["--json"], "wb") as file:
            file.write(_json(experiment, rows))
    if flags["--plot"]:
        plot.save(flags["--plot"], rows, experiment.script, heading)


if __name__ == "__main__":
    main()
