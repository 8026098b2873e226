"""Fuzzes every decoder and parser for longer than the suite does.

Usage:
  fuzz [--seconds=<s>] [--seed=<n>] [--only=<case>]

Options:
  --seconds=<s>  Time for all cases together [default: 60].
  --seed=<n>     Seed of the first round; each round adds one [default: 1].
  --only=<case>  One case by its name.

Prints the examples of each case; a fault is shown with its smallest input and its seed,
and the exit status is 1.
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
    """Return the text of the fault that a round of examples finds, or nothing."""
    test = hypothesis.given(case.inputs)(lambda value: case.check(value))
    chosen = hypothesis.settings(
        deadline=None,
        database=None,
        max_examples=EXAMPLES,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    try:
        hypothesis.seed(seed)(chosen(test))()
    except Exception:
        return traceback.format_exc()
    return ""


def main() -> int:
    """Run rounds over all cases until the time is up or one finds a fault."""
    given = docopt.docopt(__doc__)
    loguru.logger.remove()
    warnings.simplefilter("ignore")
    until_s = time.monotonic() + int(given["--seconds"])
    seed, rounds = int(given["--seed"]), 0
    while time.monotonic() < until_s:
        for name, case in cases.CASES.items():
            if given["--only"] not in (None, name):
                continue
            fault = run(case, seed)
            if fault:
                print(f"{name}, seed {seed}:\n{fault}")
                return 1
        seed, rounds = seed + 1, rounds + 1
    print(f"{rounds} rounds of {EXAMPLES} examples of each case, no fault")
    return 0


if __name__ == "__main__":
    sys.exit(main())
