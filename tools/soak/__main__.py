"""Injects random faults into real processes and checks documented guarantees.

Usage:
  soak [options]
  soak --help

Options:
  --seed N       First seed [default: 1].
  --seeds N      Number of seeds, run one after another [default: 1].
  --seconds S    Duration of fault injection for each seed [default: 25].
  --processes N  Number of instances [default: 4].
  --planted NAME A bug planted in the instances, to show that the checks find it.
  --beside DIR   Checkout of an earlier release, run by every second instance until its
                 first restart, as in an upgrade.
  --shrink N     Maximum number of extra runs to find a shorter schedule [default: 6].
  --help         Print this text.

Exits with 1 if a guarantee was violated, and prints the seed, the schedule and the log
lines of the request. docs/SOAK.md lists the seeds that were run and their results.
"""

import asyncio
import pathlib
import sys

import docopt

from cornelreach.util import errors
from tools.soak import run as run_module


def _checkout(folder: str | None) -> str:
    """Return the path of a checkout; raises UserError if it has no program."""
    if folder and not pathlib.Path(folder, "cornelreach", "ui", "edge.py").is_file():
        raise errors.UserError(
            f"{folder!r} is no checkout of this project",
            "make one with: git worktree add DIR COMMIT",
        )
    return folder or ""


def main(argv: list[str] | None = None) -> int:
    """Run the soak with command-line arguments."""
    arguments = docopt.docopt(__doc__, argv)
    first, count = int(arguments["--seed"]), int(arguments["--seeds"])
    failed = 0
    for seed in range(first, first + count):
        plan = run_module.Plan(
            seed,
            float(arguments["--seconds"]),
            int(arguments["--processes"]),
            arguments["--planted"] or "",
            beside=_checkout(arguments["--beside"]),
        )
        outcome = asyncio.run(run_module.run_plan(plan, show=print))
        if not outcome.violations:
            continue
        failed += 1
        run_module.print_failure(plan, outcome, print)
        shorter = asyncio.run(
            run_module.shrink(plan, outcome, int(arguments["--shrink"]))
        )
        if shorter is not None:
            print("shorter schedule with the same violation:")
            run_module.print_failure(plan, shorter, print)
    print(f"{count - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except errors.UserError as error:
        sys.exit(f"soak: {error}")
