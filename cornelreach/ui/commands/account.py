"""Commands on the bearer keys of client accounts."""

import hashlib
import secrets

from cornelreach.settings import items
from cornelreach.ui import changes, exits, tool as tool_module
from cornelreach.ui.commands import item

KEY_BYTES = 32


async def new_key(
    tool: tool_module.Tool, arguments: tool_module.Arguments
) -> tool_module.Output:
    """Make a bearer key, store its digest, and print the key this once."""
    account = await _find(tool, arguments["NAME"])
    key = secrets.token_urlsafe(KEY_BYTES)
    digest = hashlib.sha256(key.encode()).hexdigest()
    digests = [*account.key_digests, digest]
    written = await _store(tool, arguments, account.name, digests)
    if written.code not in (exits.Exit.OK, exits.Exit.BEHIND):
        return written
    text = f"{written.text}\nBearer key, shown only now: {key}\nIts digest: {digest}"
    return tool_module.Output(
        written.value | {"key": key, "digest": digest}, text, written.code
    )


async def drop_key(
    tool: tool_module.Tool, arguments: tool_module.Arguments
) -> tool_module.Output:
    """Remove the key whose digest begins with DIGEST."""
    account = await _find(tool, arguments["NAME"])
    prefix = arguments["DIGEST"].lower()
    kept = [one for one in account.key_digests if not one.lower().startswith(prefix)]
    if len(kept) != len(account.key_digests) - 1:
        count = len(account.key_digests) - len(kept)
        text = f"{count} keys of {account.name} begin with {prefix!r}"
        remedy = f"see `cornelreach account show {account.name}`"
        raise exits.Failed(exits.Exit.REFUSED, text, remedy)
    return await _store(tool, arguments, account.name, kept)


async def _find(tool: tool_module.Tool, name: str) -> items.Account:
    for account in await item.held_items(tool, "account"):
        if account.name == name:
            return account
    raise exits.Failed(
        exits.Exit.REFUSED,
        f"account {name!r} does not exist",
        f"create it with `cornelreach account set {name} weight=1`",
    )


async def _store(
    tool: tool_module.Tool,
    arguments: tool_module.Arguments,
    name: str,
    digests: list[str],
) -> tool_module.Output:
    fields = {"name": name, "key_digests": digests}
    return await changes.state(tool, arguments, changes.stated("account", fields))
