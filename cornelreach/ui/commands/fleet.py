"""Commands for the fleet: status, drain, take-out and bring-back."""

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
    """Show the instances, how many revisions each is behind, and their pools."""
    answers = await tool.ask_all("/admin/status")
    statuses = [answer.value for answer in answers if not answer.error]
    newest = max((one["revision"] for one in statuses), default=0)
    rows = [
        [*(one.get(name, "-") for name in STATUS_COLUMNS), newest - one["revision"]]
        for one in statuses
    ]
    lines = [tool_module.table((*STATUS_COLUMNS, "behind"), rows)]
    lines += [
        f"{one.address}: no response: {one.error}" for one in answers if one.error
    ]
    lines += await _unqueried_instances(tool, {one["name"] for one in statuses})
    lines += pool_lines(statuses)
    unreachable = [one for one in answers if one.error]
    value = {"instances": statuses, "silent": unreachable, "revision": newest}
    code = exits.ExitCode.UNREACHABLE if unreachable else exits.ExitCode.OK
    return tool_module.Output(value, "\n".join(lines), code)


def pool_lines(statuses: list[dict]) -> list[str]:
    """Format the pools that the instances own as a table; empty if there are none."""
    pools = [
        [one["name"], *pool.values()]
        for one in statuses
        for pool in one.get("pools", ())
    ]
    if not pools:
        return []
    first = next(pool for one in statuses for pool in one.get("pools", ()))
    return ["", tool_module.table(("owner", *first), pools)]


async def _unqueried_instances(tool: tool_module.Tool, queried: set[str]) -> list[str]:
    """Format the instances on the platform that are not in --instances."""
    try:
        listing = await tool.platform.instances()
    except exits.CommandError:
        return []
    if isinstance(listing, result.Failure):
        return [f"The platform did not respond: {listing.failure().message}"]
    return [
        f"{one.name} in {one.data_centre} ({one.state}) was not queried; "
        "add its admin address to --instances"
        for one in listing.unwrap()
        if one.name not in queried
    ]


async def drain(
    tool: tool_module.Tool, arguments: tool_module.Arguments
) -> tool_module.Output:
    """Shut down the instance at an admin address after its calls have finished."""
    return await _post(tool, arguments["ADDRESS"], "/admin/drain", None)


async def take_out(
    tool: tool_module.Tool, arguments: tool_module.Arguments
) -> tool_module.Output:
    """Stop sending new work to a data centre."""
    return await _set_data_centre_state(tool, arguments, "taken_out")


async def bring_back(
    tool: tool_module.Tool, arguments: tool_module.Arguments
) -> tool_module.Output:
    """Resume sending work to a data centre."""
    return await _set_data_centre_state(tool, arguments, "in_service")


async def _set_data_centre_state(
    tool: tool_module.Tool, arguments: tool_module.Arguments, state: str
) -> tool_module.Output:
    name, reason = arguments["NAME"], arguments["--reason"] or ""
    address = arguments["--via"]
    if not address:
        await _require_known(tool, name)
        fields = {"name": name, "state": state, "reason": reason}
        document = changes.item_document("data-centre", fields)
        return await changes.apply_document(tool, arguments, document)
    body = {"state": state, "reason": reason, "operator": getpass.getuser()}
    return await _post(tool, address, f"/admin/data-centres/{name}", body)


async def _require_known(tool: tool_module.Tool, name: str) -> None:
    known = [one.name for one in await item.held_items(tool, "data-centre")]
    if name not in known:
        text = f"data centre {name!r} does not exist"
        remedy = f"use one of: {', '.join(known) or '(none exist; create one first)'}"
        raise exits.CommandError(exits.ExitCode.REFUSED, text, remedy)


async def _post(
    tool: tool_module.Tool, address: str, path: str, body: object
) -> tool_module.Output:
    answer = await tool.ask(address, "POST", path, body)
    if answer.refused:
        text, remedy = f"instance {address} refused the request", answer.error
        raise exits.CommandError(exits.ExitCode.REFUSED, text, remedy)
    if answer.error:
        raise tool_module.unreachable(f"instance {address}", answer.error)
    state = (answer.value or {}).get("state", "done")
    return tool_module.Output(answer.value, f"{address}: {state}")
