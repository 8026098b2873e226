"""One run of the soak: draw a schedule, play it, check while it runs and at its end."""

import asyncio
import pathlib
import random
import tempfile
import typing

from tools.soak import checks, edges, planted, schedule, world as world_module

PROGRESS_S = 5.0
MOST_TOLD = 4
MOST_LINES = 12


class Plan(typing.NamedTuple):
    """What to run; ``faults`` replaces the schedule that the seed draws."""

    seed: int
    seconds: float
    edges: int
    planted: str = ""
    faults: tuple[schedule.Fault, ...] | None = None


class Outcome(typing.NamedTuple):
    """How a run ended; ``lines`` are the log lines of each request that broke."""

    faults: list[schedule.Fault]
    violations: list[checks.Violation]
    lines: dict[str, list[str]]
    requests: int
    served: int


Show = typing.Callable[[str], typing.Any]


def _draw(plan: Plan, world: world_module.World) -> list[schedule.Fault]:
    if plan.faults is not None:
        return list(plan.faults)
    names = [f"edge{number}" for number in range(plan.edges)]
    engines = [f"e{number}" for number in range(world_module.ENGINES)]
    source = random.Random(plan.seed)
    return schedule.draw(source, plan.seconds, names, engines, world_module.ZONES)


async def once(plan: Plan, show: Show = lambda text: None) -> Outcome:
    """Run a plan and return how it ended; all that it started has ended with it."""
    with tempfile.TemporaryDirectory(prefix="cornelreach-soak-") as folder:
        program = planted.program(plan.planted) if plan.planted else edges.PROGRAM
        world = world_module.World(plan.seed, plan.edges, program, pathlib.Path(folder))
        try:
            await world.start()
            return await _play(plan, world, show)
        finally:
            await world.stop()


async def _play(plan: Plan, world: world_module.World, show: Show) -> Outcome:
    faults = _draw(plan, world)
    playing = asyncio.ensure_future(world.play(faults))
    while not playing.done():
        await asyncio.wait({playing}, timeout=PROGRESS_S)
        found = checks.broken(world, ended=False)
        show(
            f"seed {plan.seed}: {len(world.attempts)} requests, "
            f"{len(world.disturbed)} faults, {len(found)} broken promises"
        )
        if found:
            playing.cancel()
            return _outcome(world, faults, found)
    await playing
    await asyncio.sleep(world_module.RECOVERY_S + world_module.AFTER_S)
    return _outcome(world, faults, checks.broken(world))


def _outcome(
    world: world_module.World,
    faults: list[schedule.Fault],
    violations: list[checks.Violation],
) -> Outcome:
    lines = {}
    for one in violations[:MOST_TOLD]:
        if one.request_id:
            edge = world.edges.get(one.request_id.partition("-")[0])
            lines[one.request_id] = edge.lines_of(one.request_id) if edge else []
    served = sum(one.status == 200 and one.whole for one in world.attempts)
    return Outcome(faults, violations, lines, len(world.attempts), served)


async def shrink(plan: Plan, outcome: Outcome, most: int) -> Outcome | None:
    """Return the run of a shorter schedule that breaks the same promise, or None.

    Processes do not repeat to the moment, so a schedule that passed once may still hold
    the cause; each is tried once, at most ``most`` in all.
    """
    wanted = {one.promise for one in outcome.violations}
    best: Outcome | None = None
    faults = outcome.faults
    tries = 0
    progress = True
    while progress and tries < most:
        progress = False
        for shorter in schedule.smaller(faults):
            if tries >= most:
                break
            tries += 1
            found = await once(plan._replace(faults=tuple(shorter)))
            if wanted & {one.promise for one in found.violations}:
                best, faults, progress = found, shorter, True
                break
    return best


def tell(plan: Plan, outcome: Outcome, show: Show) -> None:
    """Print a failure: seed, schedule, violations, and the requests' log lines."""
    show(f"seed {plan.seed}, {plan.seconds} s, {plan.edges} instances: broken")
    for fault in outcome.faults:
        show(f"  {fault}")
    for one in outcome.violations[:MOST_TOLD]:
        show(f"  {one}")
        for line in outcome.lines.get(one.request_id, ())[:MOST_LINES]:
            show(f"    {line}")
    left = len(outcome.violations) - MOST_TOLD
    if left > 0:
        show(f"  and {left} more")
