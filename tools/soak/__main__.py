"""Injects random faults into real processes and checks documented guarantees.

Usage:
  soak [options]
  soak --help

Options:
  --seed N       First seed [default: 1].
  --seeds N      Number of seeds, run one after another [default: 1].
  --seconds S    Duration of fault injection for each seed [default: 25].
  --processes N  Number of instances [default: 4].
  --planted NAME A bug planted in the instances, to show that the checks find it; "all"
                 plays the schedule that shows each of them, with five seeds at most.
  --beside DIR   Checkout of an earlier release, run by every second instance until its
                 first restart, as in an upgrade.
  --without LIST Kinds of faults that are left out, separated by commas.
  --shrink N     Maximum number of extra runs to find a shorter schedule [default: 6].
  --help         Print this text.

Exits with 1 if a guarantee was violated, and prints the seed, the schedule and the log
lines of the request; with "--planted all", if a bug was not found. docs/SOAK.md lists
the seeds that were run and their results.
"""

import asyncio
import pathlib
import sys
import typing

import docopt

from cornelreach.util import errors
from tools.soak import bugschedules, planted, run as run_module, schedule

ALL = "all"
PLAYS_AT_ONCE = 3


def _checkout(folder: str | None) -> str:
    """Return the path of a checkout; raises UserError if it has no program."""
    if folder and not pathlib.Path(folder, "cornelreach", "ui", "edge.py").is_file():
        raise errors.UserError(
            f"{folder!r} is no checkout of this project",
            "make one with: git worktree add DIR COMMIT",
        )
    return folder or ""


def _number(arguments: dict[str, str], name: str, kind: type) -> typing.Any:
    """Return a numeric option; raises UserError if it is no number above 0."""
    try:
        found = kind(arguments[name])
    except ValueError:
        found = 0
    if not 0 < found < float("inf"):
        raise errors.UserError(
            f"{name} {arguments[name]!r} is no number above 0", "give a number"
        )
    return found


def _planted(name: str | None) -> str:
    """Return the name of a planted bug; raises UserError if there is none."""
    if name and name != ALL and name not in planted.PLANTED_BUGS:
        known = ", ".join(sorted(planted.PLANTED_BUGS))
        raise errors.UserError(f"no bug {name!r}", f"name one of: {known}, or {ALL}")
    return name or ""


def _kinds(text: str | None) -> tuple[str, ...]:
    """Return kinds of faults from a list; raises UserError if one is not known."""
    kinds = tuple(filter(None, (text or "").split(",")))
    for kind in kinds:
        if kind not in schedule.KINDS:
            known = ", ".join(sorted(schedule.KINDS))
            raise errors.UserError(f"no fault {kind!r}", f"name some of: {known}")
    return kinds


async def _find_all(first_seed: int) -> int:
    """Look for all planted bugs; return how many were not found."""
    limit = asyncio.Semaphore(PLAYS_AT_ONCE)

    async def find(name: str) -> bool:
        async with limit:
            seed = await bugschedules.find(name, first_seed)
        print(f"{name}: {'not found' if seed is None else f'found, seed {seed}'}")
        return seed is None

    return sum(await asyncio.gather(*map(find, bugschedules.BUG_SCHEDULES)))


def main(argv: list[str] | None = None) -> int:
    """Run the soak with command-line arguments."""
    arguments = docopt.docopt(__doc__, argv)
    first, count = (_number(arguments, name, int) for name in ("--seed", "--seeds"))
    seconds = _number(arguments, "--seconds", float)
    processes = _number(arguments, "--processes", int)
    name = _planted(arguments["--planted"])
    without = _kinds(arguments["--without"])
    if name == ALL:
        missed = asyncio.run(_find_all(first))
        print(f"{len(bugschedules.BUG_SCHEDULES) - missed} found, {missed} not found")
        return 1 if missed else 0
    failed = 0
    for seed in range(first, first + count):
        plan = run_module.Plan(
            seed,
            seconds,
            processes,
            name,
            beside=_checkout(arguments["--beside"]),
            without=without,
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
