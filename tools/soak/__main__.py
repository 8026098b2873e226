"""Randomized faults against real processes, with the pages' promises checked.

Usage:
  soak [options]
  soak --help

Options:
  --seed N       First seed [default: 1].
  --seeds N      How many seeds, one after the other [default: 1].
  --seconds S    Length of the faults of each seed [default: 25].
  --processes N  Instances [default: 4].
  --planted NAME A fault planted in the instances, to show that it is found.
  --shrink N     Most further runs to find a shorter schedule [default: 6].
  --help         Print this text.

Ends with 1 if a promise was broken; prints its seed, schedule and the log lines of the
request. docs/SOAK.md lists the seeds that ran and what they found.
"""

import asyncio
import sys

import docopt

from tools.soak import run as run_module


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
        )
        outcome = asyncio.run(run_module.once(plan, show=print))
        if not outcome.violations:
            continue
        failed += 1
        run_module.tell(plan, outcome, print)
        shorter = asyncio.run(
            run_module.shrink(plan, outcome, int(arguments["--shrink"]))
        )
        if shorter is not None:
            print("a shorter schedule:")
            run_module.tell(plan, shorter, print)
    print(f"{count - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
