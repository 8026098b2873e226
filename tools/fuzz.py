"""Fuzzes every decoder and parser for longer than the test suite does.

Usage:
  fuzz [--seconds=<s>] [--seed=<n>] [--only=<case>]

Options:
  --seconds=<s>  Total time for all cases [default: 60].
  --seed=<n>     Seed of the first round, incremented by each round [default: 1].
  --only=<case>  Name of a single case to run.

Prints the number of examples. If a case fails, prints the smallest failing input and
the seed, and exits with 1.
"""

import sys
import time
import traceback
import warnings

import docopt
import hypothesis
import loguru

from test.fuzz import cases

EXAMPLES = 200


def run(case: cases.Case, seed: int) -> str:
    """Run a round of examples; returns the traceback of a failure, or nothing."""
    test = hypothesis.given(case.inputs)(lambda value: case.check(value))
    settings = hypothesis.settings(
        deadline=None,
        database=None,
        max_examples=EXAMPLES,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    try:
        hypothesis.seed(seed)(settings(test))()
    except Exception:
        return traceback.format_exc()
    return ""


def main() -> int:
    """Run rounds of all cases until the time is up or a case fails."""
    arguments = docopt.docopt(__doc__)
    loguru.logger.remove()
    warnings.simplefilter("ignore")
    end_s = time.monotonic() + int(arguments["--seconds"])
    seed, rounds = int(arguments["--seed"]), 0
    while time.monotonic() < end_s:
        for name, case in cases.CASES.items():
            if arguments["--only"] not in (None, name):
                continue
            failure = run(case, seed)
            if failure:
                print(f"{name}, seed {seed}:\n{failure}")
                return 1
        seed, rounds = seed + 1, rounds + 1
    print(f"{rounds} rounds of {EXAMPLES} examples of each case, no failure")
    return 0


if __name__ == "__main__":
    sys.exit(main())
