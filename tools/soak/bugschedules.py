"""Schedules that show each planted bug, and how many plays that takes.

found = await find("repeats", first_seed=1)  # the seed that found it, or None
"""

import typing

from tools.soak import environment, run, schedule

Fault = schedule.Fault

SECONDS, EDGES = 10, 2
MAX_SEEDS = 5

ALL = tuple(f"e{number}" for number in range(environment.ENGINES))
PLAIN, POOL = ALL[: environment.PLAIN_ENGINES], ALL[environment.PLAIN_ENGINES :]


def _at_engines(
    kind: str, engines: typing.Sequence[str], for_s: float, at_s: float = 0.5
) -> list[schedule.Fault]:
    """Return the same fault at several engines at once."""
    return [Fault(at_s, kind, engine, for_s) for engine in engines]


# For each planted bug, the guarantee it violates and the faults that expose it.
BUG_SCHEDULES = {
    "repeats": ("once", _at_engines("lost", PLAIN, 6.0)),
    "refuses-after-run": ("true refusals", _at_engines("lost", PLAIN, 6.0)),
    "trusts-keys": ("revoked keys", [Fault(1.0, "cut", "edge0", 1.0)]),
    "ignores-draining": ("draining", _at_engines("drain", PLAIN, 1.0, at_s=1.0)),
    "ignores-cold": (
        "cold engines",
        [
            Fault(1.0, "crash", "e1", 6.0),
            Fault(1.0, "crash", "e2", 6.0),
            Fault(1.0, "cold", "e0", 1.0),
        ],
    ),
    "ignores-leaving": ("leaving", _at_engines("leave", PLAIN, 1.0)),
    "ignores-rest": ("rest", _at_engines("rest", PLAIN, 6.0)),
    "ignores-limits": ("limits", _at_engines("limit", ALL, 1.0)),
    "keeps-what-left": (
        "draining",
        [Fault(0.5 + 3.5 * one, "withdraw", f"e{one}", 1.0) for one in range(3)],
    ),
    "trusts-addresses": ("damaged records", [Fault(3.5, "damage", "", 6.0)]),
    "trusts-refusals": ("once", _at_engines("refuse-again", PLAIN, 6.0)),
    "trusts-first-answers": ("once", _at_engines("refuse-first", PLAIN, 6.0)),
    "reuses-connections": ("once", _at_engines("rename", PLAIN, 14.0)),
    "takes-no-turns": ("turns", _at_engines("endless", PLAIN, 8.0)),
    "guesses-origins": ("one software", [Fault(0.5, "out-of-step", "edge1", 1.0)]),
    "trusts-connections": ("one software", [Fault(0.5, "unseen-start", "edge1", 1.0)]),
    "keeps-limits": ("limits in force", [Fault(0.5, "limits", "", 1.0)]),
    "takes-late-requests": ("stops", [Fault(0.5, "late-body", "edge0", 1.0)]),
    "joins-errors": (
        "whole answers",
        [
            Fault(0.5, kind, f"e{number}", 6.0)
            for kind in ("garbled", "odd-rest")
            for number in range(3, 7)
        ],
    ),
    "trusts-heads": ("whole answers", _at_engines("cut-heads", PLAIN, 6.0)),
    "trusts-ends": ("broken off", _at_engines("reset-ends", ALL, 6.0)),
    "keeps-unread": (
        "memory",
        [Fault(at_s, "crowd", "edge0", 2.0) for at_s in (0.5, 2.5, 4.5)],
    ),
    "passes-nothing-on": ("reached", [Fault(0.5, "engines-cut", "edge0", 1.0)]),
    "keeps-bad-versions": ("exposure", [Fault(0.5, "rollout", "bad", 8.0)]),
    "forgets-registration": ("registered", [Fault(0.5, "restore", "", 1.0)]),
    "counts-from-reading": ("versions", [Fault(0.5, "late-version", "edge1", 1.0)]),
    "stays-on-old": ("versions", [Fault(0.5, "version", "", 10.0)]),
    "joins-streams": ("whole answers", _at_engines("garbled", POOL, 2.5, at_s=1.0)),
    "ignores-software": ("one software", _at_engines("garbled", POOL, 6.0)),
    "forgets-origins": (
        "taken up",
        [
            Fault(at_s, "garbled", f"e{number}", 6.0)
            for at_s in range(0, 49, 7)  # a fault that ends would end the next one
            for number in range(3, 7)
        ],
    ),
    "forgets-retries": (
        "repeats",
        _at_engines("shed", PLAIN, 9.0)
        + [
            Fault(at_s, "kill", f"edge{number}", 0.0)
            for at_s in (2.5, 4.5, 6.5)
            for number in range(EDGES)
        ],
    ),
    "keeps-old-parts": ("whole parts", [Fault(2.5, "empty-store", "", 1.0)]),
    "stores-no-origins": ("taken up", [Fault(1.0, "kill-all", "", 1.0)]),
    "forgets-crashes": ("poisoned prompts", [Fault(0.5, "poison", "", 1.0)]),
    "blames-all-parts": ("sound prompts", [Fault(3.5, "poison", "", 1.0)]),
    "forgets-requests": ("repeated requests", [Fault(0.5, "repeat", "read", 1.0)]),
    "blames-all-requests": (
        "sound requests",
        # Of one alone, three crashes may end no sound request beside it.
        [Fault(3.5, "repeat", "stream", 1.0)] * 2,
    ),
    "trusts-framing": ("whole answers", _at_engines("garbled", POOL, 6.0)),
}


# A run ends at its first violation, and these bugs break a second guarantee as often.
SECOND_GUARANTEES = {
    "reuses-connections": "true refusals",
    "trusts-ends": "whole answers",
}


def is_found(name: str, outcome: run.Outcome) -> bool:
    """Return whether a run has shown a guarantee that the planted bug violates."""
    guarantees = {BUG_SCHEDULES[name][0], SECOND_GUARANTEES.get(name)}
    return any(one.guarantee in guarantees for one in outcome.violations)


async def find(name: str, first_seed: int) -> int | None:
    """Return the first of a few seeds whose play finds a planted bug, or None."""
    faults = BUG_SCHEDULES[name][1]
    for seed in range(first_seed, first_seed + MAX_SEEDS):
        plan = run.Plan(seed, SECONDS, EDGES, name, tuple(faults))
        outcome = await run.run_plan(plan)
        if is_found(name, outcome):
            return seed
    return None
