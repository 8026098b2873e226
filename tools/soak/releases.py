"""Rollouts of new software versions that the operator of a soak run orders.

await roll_out(environment, is_bad=True, duration_s=12.0)
environment.rollouts[-1].state  # "reverted"
"""

import asyncio
import contextlib
import time
import typing

import msgspec

from cornelreach.platform import releases
from tools.soak import callers, environment as environment_module, operator

BAD = "bad"  # the subject of the fault
SERVICE = operator.PLAIN_SERVICE
BAD_SHARE = 0.3  # of the answers of a bad version
CALLERS_PER_EDGE = 6  # more; with few requests a bad version cannot be told
START_S = 0.3  # from the order until the new engines run
POLL_S = 0.005
EXIT_S = 0.5  # from the end of an engine's entry until it stops


def _state(environment: environment_module.Environment) -> str:
    """Return the state in the status of the order."""
    status = environment.store.model.stored(releases.key(SERVICE)).status
    return msgspec.json.decode(status)["state"] if status else ""


async def _wait_final(
    environment: environment_module.Environment, deadline_s: float
) -> str:
    """Return the final state, or the last one if none is final by the deadline."""
    while True:
        state = _state(environment)
        if state in releases.FINAL or time.monotonic() >= deadline_s:
            return state
        await asyncio.sleep(POLL_S)


async def _call(
    environment: environment_module.Environment, name: str, for_s: float
) -> None:
    """Let more callers send requests to the service."""
    kinds = [one for one in callers.REQUEST_KINDS if not one.model]
    found = [
        environment.make_caller(
            f"{edge.name}-{name}c{number}", edge, environment.any_key
        )
        for edge in environment.edges.values()
        for number in range(CALLERS_PER_EDGE)
    ]
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(for_s):
            await asyncio.gather(*(one.run(kinds) for one in found))


async def roll_out(
    environment: environment_module.Environment, is_bad: bool, duration_s: float
) -> None:
    """Play a rollout while more callers send requests."""
    name = f"rollout{len(environment.rollouts)}"
    await asyncio.gather(
        _call(environment, name, duration_s),
        _order(environment, is_bad, duration_s),
    )


async def _order(
    environment: environment_module.Environment, is_bad: bool, duration_s: float
) -> None:
    """Order a version, start its engines, and record how the rollout ends.

    At success the old engines stop at once. Those of a version that does not succeed
    go on until the deadline, so that all that they get counts.
    """
    software = f"{len(environment.rollouts) + 2}.0"
    old = [
        name
        for name, one in environment.engines.items()
        if one.service == SERVICE and name not in environment.withdrawn
    ]
    ordered_s = time.monotonic()
    deadline_s = ordered_s + duration_s
    order = {"service": SERVICE, "target": software, "duration_s": duration_s}
    environment.operator.write(releases.key(SERVICE), order)
    await asyncio.sleep(START_S)
    first = len(environment.engines)
    new = [
        await environment.start_engine(
            number, SERVICE, software, error_share=BAD_SHARE if is_bad else 0.0
        )
        for number in range(first, first + len(old))
    ]
    state = await _wait_final(environment, deadline_s)
    ended_s = time.monotonic()
    running = sum(environment.engines[name].running for name in old)
    if state == releases.SUCCEEDED:
        await _withdraw(environment, old, 0.0)
    await asyncio.sleep(max(0.0, deadline_s - time.monotonic()))
    if state != releases.SUCCEEDED:
        await _withdraw(environment, new, EXIT_S)
    environment.rollouts.append(
        environment_module.Rollout(
            SERVICE,
            is_bad,
            tuple(new),
            ordered_s,
            deadline_s,
            state,
            ended_s,
            running,
        )
    )


async def _withdraw(
    environment: environment_module.Environment,
    names: typing.Iterable[str],
    exit_s: float,
) -> None:
    """Delete the entries of engines and stop them some time later."""
    for name in names:
        environment.withdrawn.add(name)
        environment.operator.write(f"servers/{environment.engines[name].id}", None)
    if exit_s:
        await asyncio.sleep(exit_s)
    for name in names:
        environment.engines[name].crash()
