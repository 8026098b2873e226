"""Commands for the entire configuration: apply, get, history and schema."""

import pathlib
import sys
import typing

import msgspec
from returns import result

from cornelreach.platform import results
from cornelreach.settings import document, items, plan as plan_module
from cornelreach.ui import changes, context as context_module, exits

HISTORY_LENGTHS = (100_000, 20_000, 5_000, 1_000, 200, 0)


async def apply(
    context: context_module.CommandContext, arguments: context_module.Arguments
) -> context_module.Output:
    """Apply the items of a YAML file; - reads standard input."""
    path = arguments["FILE"]
    try:
        text = sys.stdin.read() if path == "-" else pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        text, remedy = f"cannot read {path}: {error}", "specify a readable YAML file"
        raise exits.CommandError(exits.ExitCode.USAGE, text, remedy) from None
    return await changes.apply_document(
        context, arguments, changes.parse_document(text)
    )


async def get(
    context: context_module.CommandContext, arguments: context_module.Arguments
) -> context_module.Output:
    """Print the current items in the format that `apply` reads."""
    prefix = key_prefix(arguments)
    listing = await context.listing()
    records = [one for one in listing.records if one.key.startswith(prefix)]
    text = document.write({record.key: record.value for record in records})
    return context_module.Output(records, text.rstrip())


async def history(
    context: context_module.CommandContext, arguments: context_module.Arguments
) -> context_module.Output:
    """Print the changes that the platform retains, oldest first."""
    listing = await context.listing()
    records = await changes_since(context, key_prefix(arguments), listing.revision)
    previous_values: dict[str, typing.Any] = {}
    lines, value = [], []
    for record in records:
        change = plan_module.Change(
            record.key, record.version, previous_values.get(record.key), record.value
        )
        previous_values[record.key] = record.value
        lines.append(f"{record.version}\n{changes.describe(change)}")
        value.append({"version": record.version, **changes.change_value(change)})
    text = "\n".join(lines) or "The platform retains no changes to these items."
    return context_module.Output(value, text)


async def changes_since(
    context: context_module.CommandContext, prefix: str, revision: int
) -> tuple[results.Record, ...]:
    """Return recent changes, up to the largest count that the platform still has.

    Tries the counts in ``HISTORY_LENGTHS`` in turn, because the platform cannot list
    changes that precede its last compaction.
    """
    for count in HISTORY_LENGTHS:
        since = max(0, revision - count)
        outcome = await context.platform.watch(prefix, since, wait_ms=0)
        if isinstance(outcome, result.Success):
            return outcome.unwrap().records
        if not isinstance(outcome.failure(), results.Compacted):
            raise context_module.unreachable_error(
                "the platform", outcome.failure().message
            )
    return ()


async def schema(
    context: context_module.CommandContext, arguments: context_module.Arguments
) -> context_module.Output:
    """Print the JSON schema of the file that `apply` reads."""
    value = document.schema()
    text = msgspec.json.format(msgspec.json.encode(value)).decode()
    return context_module.Output(value, text)


def key_prefix(arguments: context_module.Arguments) -> str:
    """Return the key prefix for KIND and NAME; raises exits.CommandError if unknown."""
    kind, name = arguments["KIND"], arguments["NAME"]
    if kind is None:
        return items.PREFIX
    if kind not in items.KINDS:
        remedy = f"use one of {', '.join(items.KINDS)}"
        raise exits.CommandError(exits.ExitCode.USAGE, f"unknown kind {kind!r}", remedy)
    return items.key_of(kind, name or "")
