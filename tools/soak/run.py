"""Runs one fault schedule, checking for violations during the run and at its end."""

import asyncio
import pathlib
import random
import tempfile
import typing

from tools.soak import (
    checkcontext,
    checks,
    edges,
    environment as environment_module,
    injector,
    planted,
    schedule,
)

CHECK_PERIOD_S = 5.0
MAX_SHOWN_VIOLATIONS = 4
MAX_SHOWN_LINES = 12


class Plan(typing.NamedTuple):
    """The parameters of a run; ``faults`` replaces the schedule drawn from the seed.

    ``beside`` is a checkout whose program every second instance runs at first, and
    ``without`` names kinds of faults that are left out.
    """

    seed: int
    seconds: float
    edges: int
    planted: str = ""
    faults: tuple[schedule.Fault, ...] | None = None
    beside: str = ""
    without: tuple[str, ...] = ()


class Outcome(typing.NamedTuple):
    """The result of a run; ``lines`` holds the log lines of each affected request."""

    faults: list[schedule.Fault]
    violations: list[checkcontext.Violation]
    lines: dict[str, list[str]]
    requests: int
    served: int


PrintLine = typing.Callable[[str], typing.Any]


def _choose_faults(
    plan: Plan, environment: environment_module.Environment
) -> list[schedule.Fault]:
    if plan.faults is not None:
        return list(plan.faults)
    names = [f"edge{number}" for number in range(plan.edges)]
    engines = [f"e{number}" for number in range(environment_module.ENGINES)]
    source = random.Random(plan.seed)
    found = schedule.draw(
        source, plan.seconds, names, engines, environment_module.ZONES
    )
    return [one for one in found if one.kind not in plan.without]


async def run_plan(plan: Plan, show: PrintLine = lambda text: None) -> Outcome:
    """Run a plan and return its outcome, with all its processes stopped."""
    with tempfile.TemporaryDirectory(prefix="cornelreach-soak-") as folder:
        program = planted.program(plan.planted) if plan.planted else edges.PROGRAM
        environment = environment_module.Environment(
            plan.seed, plan.edges, program, pathlib.Path(folder), plan.beside
        )
        try:
            await environment.start()
            return await _run_schedule(plan, environment, show)
        finally:
            await environment.stop()


async def _run_schedule(
    plan: Plan, environment: environment_module.Environment, show: PrintLine
) -> Outcome:
    faults = _choose_faults(plan, environment)
    schedule_task = asyncio.ensure_future(
        injector.Injector(environment).run_schedule(faults)
    )
    while not schedule_task.done():
        await asyncio.wait({schedule_task}, timeout=CHECK_PERIOD_S)
        found = checks.find_violations(environment, ended=False)
        show(
            f"seed {plan.seed}: {len(environment.requests)} requests, "
            f"{len(environment.disturbances)} faults, {len(found)} violations"
        )
        if found:
            schedule_task.cancel()
            return _make_outcome(environment, faults, found)
    await schedule_task
    await asyncio.sleep(
        environment_module.RECOVERY_S + environment_module.RECOVERY_CHECK_S
    )
    return _make_outcome(environment, faults, checks.find_violations(environment))


def _make_outcome(
    environment: environment_module.Environment,
    faults: list[schedule.Fault],
    violations: list[checkcontext.Violation],
) -> Outcome:
    lines = {}
    for one in violations[:MAX_SHOWN_VIOLATIONS]:
        if one.request_id:
            edge = environment.edges.get(one.request_id.partition("-")[0])
            lines[one.request_id] = edge.log_lines_for(one.request_id) if edge else []
    served = sum(one.status == 200 and one.complete for one in environment.requests)
    return Outcome(faults, violations, lines, len(environment.requests), served)


async def shrink(plan: Plan, outcome: Outcome, max_runs: int) -> Outcome | None:
    """Return the outcome of a shorter schedule with the same violation, or None.

    Process timing is not reproducible, so a schedule that passes once may still contain
    the cause; each is run once, and at most ``max_runs`` in total.
    """
    guarantees = {one.guarantee for one in outcome.violations}
    best: Outcome | None = None
    faults = outcome.faults
    runs = 0
    shortened = True
    while shortened and runs < max_runs:
        shortened = False
        for shorter in schedule.shorter_schedules(faults):
            if runs >= max_runs:
                break
            runs += 1
            found = await run_plan(plan._replace(faults=tuple(shorter)))
            if guarantees & {one.guarantee for one in found.violations}:
                best, faults, shortened = found, shorter, True
                break
    return best


def print_failure(plan: Plan, outcome: Outcome, show: PrintLine) -> None:
    """Print the seed, the schedule, the violations and the requests' log lines."""
    show(f"seed {plan.seed}, {plan.seconds} s, {plan.edges} instances: failed")
    for fault in outcome.faults:
        show(f"  {fault}")
    for one in outcome.violations[:MAX_SHOWN_VIOLATIONS]:
        show(f"  {one}")
        for line in outcome.lines.get(one.request_id, ())[:MAX_SHOWN_LINES]:
            show(f"    {line}")
    hidden = len(outcome.violations) - MAX_SHOWN_VIOLATIONS
    if hidden > 0:
        show(f"  and {hidden} more")
