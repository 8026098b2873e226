"""Commands that manage the bearer keys of client accounts."""

import hashlib
import secrets

from cornelreach.settings import items
from cornelreach.ui import changes, context as context_module, exits
from cornelreach.ui.commands import item

KEY_BYTES = 32


async def new_key(
    context: context_module.CommandContext, arguments: context_module.Arguments
) -> context_module.Output:
    """Create a bearer key, store its digest and print the key, which is not stored."""
    account = await _find(context, arguments["NAME"])
    key = secrets.token_urlsafe(KEY_BYTES)
    digest = hashlib.sha256(key.encode()).hexdigest()
    digests = [*account.key_digests, digest]
    output = await _store(context, arguments, account.name, digests)
    if output.code not in (exits.ExitCode.OK, exits.ExitCode.NOT_IN_FORCE):
        return output
    text = f"{output.text}\nBearer key (shown only once): {key}\nDigest: {digest}"
    return context_module.Output(
        output.value | {"key": key, "digest": digest}, text, output.code
    )


async def drop_key(
    context: context_module.CommandContext, arguments: context_module.Arguments
) -> context_module.Output:
    """Remove the key whose digest starts with DIGEST."""
    account = await _find(context, arguments["NAME"])
    prefix = arguments["DIGEST"].lower()
    remaining = [
        candidate
        for candidate in account.key_digests
        if not candidate.lower().startswith(prefix)
    ]
    if len(remaining) != len(account.key_digests) - 1:
        count = len(account.key_digests) - len(remaining)
        text = f"{count} key digests of {account.name} start with {prefix!r}"
        remedy = f"see `cornelreach account show {account.name}`"
        raise exits.CommandError(exits.ExitCode.REFUSED, text, remedy)
    return await _store(context, arguments, account.name, remaining)


async def _find(context: context_module.CommandContext, name: str) -> items.Account:
    for account in await item.read_items(context, "account"):
        if account.name == name:
            return account
    raise exits.CommandError(
        exits.ExitCode.REFUSED,
        f"account {name!r} does not exist",
        f"create it with `cornelreach account set {name} weight=1`",
    )


async def _store(
    context: context_module.CommandContext,
    arguments: context_module.Arguments,
    name: str,
    digests: list[str],
) -> context_module.Output:
    fields = {"name": name, "key_digests": digests}
    return await changes.apply_document(
        context, arguments, changes.item_document("account", fields)
    )
