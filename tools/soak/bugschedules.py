"""Schedules that show each planted bug, and how many plays that takes.

found = await find("repeats", first_seed=1)  # the seed that found it, or None
"""

from tools.soak import run, schedule

Fault = schedule.Fault

SECONDS, EDGES = 10, 2
MAX_SEEDS = 5

# For each planted bug, the guarantee it violates and the faults that expose it.
BUG_SCHEDULES = {
    "repeats": ("once", [Fault(0.5, "lost", f"e{one}", 6.0) for one in range(3)]),
    "refuses-after-run": (
        "true refusals",
        [Fault(0.5, "lost", f"e{number}", 6.0) for number in range(3)],
    ),
    "trusts-keys": ("revoked keys", [Fault(1.0, "cut", "edge0", 1.0)]),
    "ignores-draining": (
        "draining",
        [Fault(1.0, "drain", f"e{number}", 1.0) for number in range(3)],
    ),
    "ignores-cold": (
        "cold engines",
        [
            Fault(1.0, "crash", "e1", 6.0),
            Fault(1.0, "crash", "e2", 6.0),
            Fault(1.0, "cold", "e0", 1.0),
        ],
    ),
    "ignores-leaving": (
        "leaving",
        [Fault(0.5, "leave", f"e{number}", 1.0) for number in range(3)],
    ),
    "ignores-rest": (
        "rest",
        [Fault(0.5, "rest", f"e{number}", 6.0) for number in range(3)],
    ),
    "ignores-limits": (
        "limits",
        [Fault(0.5, "limit", f"e{number}", 1.0) for number in range(7)],
    ),
    "keeps-what-left": (
        "draining",
        [Fault(0.5 + 3.5 * one, "withdraw", f"e{one}", 1.0) for one in range(3)],
    ),
    "trusts-addresses": ("damaged records", [Fault(3.5, "damage", "", 6.0)]),
    "trusts-refusals": (
        "once",
        [Fault(0.5, "refuse-again", f"e{number}", 6.0) for number in range(3)],
    ),
    "trusts-first-answers": (
        "once",
        [Fault(0.5, "refuse-first", f"e{number}", 6.0) for number in range(3)],
    ),
    "reuses-connections": (
        "true refusals",
        [Fault(0.5, "rename", f"e{number}", 9.0) for number in range(3)],
    ),
    "takes-no-turns": (
        "turns",
        [Fault(0.5, "endless", f"e{number}", 6.0) for number in range(2)],
    ),
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
    "trusts-heads": (
        "whole answers",
        [Fault(0.5, "cut-heads", f"e{number}", 6.0) for number in range(3)],
    ),
    "passes-nothing-on": ("reached", [Fault(0.5, "engines-cut", "edge0", 1.0)]),
    "forgets-registration": ("registered", [Fault(0.5, "restore", "", 1.0)]),
    "counts-from-reading": (
        "versions",
        [Fault(0.5, "late-version", "edge1", 1.0)],
    ),
    "stays-on-old": ("versions", [Fault(0.5, "version", "", 10.0)]),
    "joins-streams": (
        "whole answers",
        [Fault(1.0, "garbled", f"e{number}", 2.5) for number in range(3, 7)],
    ),
    "ignores-software": (
        "one software",
        [Fault(0.5, "garbled", f"e{number}", 6.0) for number in range(3, 7)],
    ),
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
        [Fault(0.5, "shed", f"e{number}", 9.0) for number in range(3)]
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
    "trusts-framing": (
        "whole answers",
        [Fault(0.5, "garbled", f"e{number}", 6.0) for number in range(3, 7)],
    ),
}


async def find(name: str, first_seed: int) -> int | None:
    """Return the first of a few seeds whose play finds a planted bug, or None."""
    guarantee, faults = BUG_SCHEDULES[name]
    for seed in range(first_seed, first_seed + MAX_SEEDS):
        plan = run.Plan(seed, SECONDS, EDGES, name, tuple(faults))
        outcome = await run.run_plan(plan)
        if guarantee in {one.guarantee for one in outcome.violations}:
            return seed
    return None
