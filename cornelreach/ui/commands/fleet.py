"""Commands for the fleet: status, drain, take-out and bring-back."""

import getpass

from returns import result

from cornelreach.ui import changes, context as context_module, exits
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
    context: context_module.CommandContext, arguments: context_module.Arguments
) -> context_module.Output:
    """Show the instances, how many revisions each is behind, and their pools."""
    replies = await context.request_all("/admin/status")
    statuses = [reply.value for reply in replies if not reply.error]
    newest = max((one["revision"] for one in statuses), default=0)
    rows = [
        [*(one.get(name, "-") for name in STATUS_COLUMNS), newest - one["revision"]]
        for one in statuses
    ]
    lines = [context_module.table((*STATUS_COLUMNS, "behind"), rows)]
    lines += [
        f"{one.address}: no response: {one.error}" for one in replies if one.error
    ]
    lines += await _unqueried_instances(context, {one["name"] for one in statuses})
    lines += pool_table(statuses)
    unreachable = [one for one in replies if one.error]
    value = {"instances": statuses, "silent": unreachable, "revision": newest}
    code = exits.ExitCode.UNREACHABLE if unreachable else exits.ExitCode.OK
    return context_module.Output(value, "\n".join(lines), code)


def pool_table(statuses: list[dict]) -> list[str]:
    """Format the pools that the instances own as a table; empty if there are none."""
    pools = [
        [one["name"], *pool.values()]
        for one in statuses
        for pool in one.get("pools", ())
    ]
    if not pools:
        return []
    first = next(pool for one in statuses for pool in one.get("pools", ()))
    return ["", context_module.table(("owner", *first), pools)]


async def _unqueried_instances(
    context: context_module.CommandContext, queried: set[str]
) -> list[str]:
    """Format the instances on the platform that are not in --instances."""
    try:
        listing = await context.platform.instances()
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
    context: context_module.CommandContext, arguments: context_module.Arguments
) -> context_module.Output:
    """Shut down the instance at an admin address after its calls have finished."""
    return await _post(context, arguments["ADDRESS"], "/admin/drain", None)


async def take_out(
    context: context_module.CommandContext, arguments: context_module.Arguments
) -> context_module.Output:
    """Stop sending new work to a data centre."""
    return await _set_data_centre_state(context, arguments, "taken_out")


async def bring_back(
    context: context_module.CommandContext, arguments: context_module.Arguments
) -> context_module.Output:
    """Resume sending work to a data centre."""
    return await _set_data_centre_state(context, arguments, "in_service")


async def _set_data_centre_state(
    context: context_module.CommandContext,
    arguments: context_module.Arguments,
    state: str,
) -> context_module.Output:
    name, reason = arguments["NAME"], arguments["--reason"] or ""
    address = arguments["--via"]
    if not address:
        await _require_known(context, name)
        fields = {"name": name, "state": state, "reason": reason}
        document = changes.item_document("data-centre", fields)
        return await changes.apply_document(context, arguments, document)
    body = {"state": state, "reason": reason, "operator": getpass.getuser()}
    return await _post(context, address, f"/admin/data-centres/{name}", body)


async def _require_known(context: context_module.CommandContext, name: str) -> None:
    known = [one.name for one in await item.read_items(context, "data-centre")]
    if name not in known:
        text = f"data centre {name!r} does not exist"
        remedy = f"use one of: {', '.join(known) or '(none exist; create one first)'}"
        raise exits.CommandError(exits.ExitCode.REFUSED, text, remedy)


async def _post(
    context: context_module.CommandContext, address: str, path: str, body: object
) -> context_module.Output:
    reply = await context.request(address, "POST", path, body)
    if reply.refused:
        text, remedy = f"instance {address} refused the request", reply.error
        raise exits.CommandError(exits.ExitCode.REFUSED, text, remedy)
    if reply.error:
        raise context_module.unreachable_error(f"instance {address}", reply.error)
    state = (reply.value or {}).get("state", "done")
    return context_module.Output(reply.value, f"{address}: {state}")
