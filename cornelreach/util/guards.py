"""Limits what an unexpected error ends: one call, or one round of a task.

guards.call(handler.on_change, record)
task = asyncio.ensure_future(guards.keep_running("probing", prober.run))
"""

import asyncio
import typing

from cornelreach.util import events

RESTART_MS = 500

CALL_FAILED = events.define(
    1051,
    "ERROR",
    "{name} failed and was passed over, for {argument}: {error}.",
    "Report it with the log line; what the call would have changed is missing.",
)
TASK_FAILED = events.define(
    1052,
    "ERROR",
    "Task {name} failed and is started again: {error}.",
    "Report it with the log line.",
)
MAX_ARGUMENT = 256  # characters of it in the log


def call(
    function: typing.Callable[[typing.Any], typing.Any], argument: typing.Any
) -> None:
    """Call a function; an error is logged and ends nothing else."""
    try:
        function(argument)
    except Exception as error:
        events.emit(
            CALL_FAILED,
            name=getattr(function, "__qualname__", str(function)),
            argument=str(argument)[:MAX_ARGUMENT],
            error=repr(error)[:MAX_ARGUMENT],
        )


async def keep_running(
    name: str, run: typing.Callable[[], typing.Awaitable[None]]
) -> None:
    """Run a task until it is cancelled or ends; start it again after an error."""
    while True:
        try:
            await run()
            return
        except Exception as error:
            events.emit(TASK_FAILED, name=name, error=repr(error)[:MAX_ARGUMENT])
        await asyncio.sleep(RESTART_MS / 1_000)
