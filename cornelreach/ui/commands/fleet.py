"""Commands on the fleet: status, drain, take-out and bring-back of a data centre."""

import getpass

from returns import result

from cornelreach.ui import changes, exits, tool as tool_module
from cornelreach.ui.commands import item

STATUS_COLUMNS = (
    "name",
    "data_centre",
    "revision",
    "platform_ok",
    "draining",
    "connections",
)


async def status(
    tool: tool_module.Tool, arguments: tool_module.Arguments
) -> tool_module.Output:
    """Show the instances, who is behind, and their pools."""
    answers = await tool.ask_all("/admin/status")
    told = [answer.value for answer in answers if not answer.error]
    newest = max((one["revision"] for one in told), default=0)
    rows = [
        [*(one.get(name, "-") for name in STATUS_COLUMNS), newest - one["revision"]]
        for one in told
    ]
    lines = [tool_module.table((*STATUS_COLUMNS, "behind"), rows)]
    lines += [f"{one.address}: no answer: {one.error}" for one in answers if one.error]
    lines += await _unasked(tool, {one["name"] for one in told})
    lines += pool_lines(told)
    missing = [one for one in answers if one.error]
    value = {"instances": told, "silent": missing, "revision": newest}
    code = exits.Exit.UNREACHABLE if missing else exits.Exit.OK
    return tool_module.Output(value, "\n".join(lines), code)


def pool_lines(told: list[dict]) -> list[str]:
    """Return a table of the pools that the instances own, if there are any."""
    pools = [
        [one["name"], *pool.values()] for one in told for pool in one.get("pools", ())
    ]
    if not pools:
        return []
    first = next(pool for one in told for pool in one.get("pools", ()))
    return ["", tool_module.table(("owner", *first), pools)]


async def _unasked(tool: tool_module.Tool, asked: set[str]) -> list[str]:
    """Return a line for each instance that only the platform names."""
    try:
        listed = await tool.platform.instances()
    except exits.Failed:
        return []
    if isinstance(listed, result.Failure):
        return [f"The platform did not answer: {listed.failure().message}"]
    return [
        f"{one.name} in {one.data_centre} ({one.state}) was not asked; "
        "name its admin address in --instances"
        for one in listed.unwrap()
        if one.name not in asked
    ]


async def drain(
    tool: tool_module.Tool, arguments: tool_module.Arguments
) -> tool_module.Output:
    """Let the instance at an admin address finish its calls and stop."""
    return await _order(tool, arguments["ADDRESS"], "/admin/drain", None)


async def take_out(
    tool: tool_module.Tool, arguments: tool_module.Arguments
) -> tool_module.Output:
    """Give a data centre no new work."""
    return await _move(tool, arguments, "taken_out")


async def bring_back(
    tool: tool_module.Tool, arguments: tool_module.Arguments
) -> tool_module.Output:
    """Give a data centre work again."""
    return await _move(tool, arguments, "in_service")


async def _move(
    tool: tool_module.Tool, arguments: tool_module.Arguments, state: str
) -> tool_module.Output:
    name, reason = arguments["NAME"], arguments["--reason"] or ""
    address = arguments["--via"]
    if not address:
        await _check_known(tool, name)
        fields = {"name": name, "state": state, "reason": reason}
        document = changes.stated("data-centre", fields)
        return await changes.state(tool, arguments, document)
    body = {"state": state, "reason": reason, "operator": getpass.getuser()}
    return await _order(tool, address, f"/admin/data-centres/{name}", body)


async def _check_known(tool: tool_module.Tool, name: str) -> None:
    known = [one.name for one in await item.held_items(tool, "data-centre")]
    if name not in known:
        text = f"data centre {name!r} does not exist"
        remedy = f"use one of {', '.join(known) or 'those you create first'}"
        raise exits.Failed(exits.Exit.REFUSED, text, remedy)


async def _order(
    tool: tool_module.Tool, address: str, path: str, body: object
) -> tool_module.Output:
    answer = await tool.ask(address, "POST", path, body)
    if answer.refused:
        text, remedy = f"instance {address} refused", answer.error
        raise exits.Failed(exits.Exit.REFUSED, text, remedy)
    if answer.error:
        raise tool_module.unreachable(f"instance {address}", answer.error)
    state = (answer.value or {}).get("state", "done")
    return tool_module.Output(answer.value, f"{address}: {state}")
