"""Commands for the entire configuration: apply, get, history and schema."""

import pathlib
import sys
import typing

import msgspec
from returns import result

from cornelreach.platform import results
from cornelreach.settings import document, items, plan as plan_module
from cornelreach.ui import changes, exits, tool as tool_module

LOOK_BACK = (100_000, 20_000, 5_000, 1_000, 200, 0)


async def apply(
    tool: tool_module.Tool, arguments: tool_module.Arguments
) -> tool_module.Output:
    """Apply the items of a YAML file; - reads standard input."""
    path = arguments["FILE"]
    try:
        text = sys.stdin.read() if path == "-" else pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        text, remedy = f"cannot read {path}: {error}", "specify a readable YAML file"
        raise exits.CommandError(exits.ExitCode.USAGE, text, remedy) from None
    return await changes.apply_document(tool, arguments, changes.parse_document(text))


async def get(
    tool: tool_module.Tool, arguments: tool_module.Arguments
) -> tool_module.Output:
    """Print the current items in the format that `apply` reads."""
    prefix = prefix_of(arguments)
    listing = await tool.listing()
    records = [one for one in listing.records if one.key.startswith(prefix)]
    text = document.write({record.key: record.value for record in records})
    return tool_module.Output(records, text.rstrip())


async def history(
    tool: tool_module.Tool, arguments: tool_module.Arguments
) -> tool_module.Output:
    """Print the changes that the platform retains, oldest first."""
    listing = await tool.listing()
    records = await changes_since(tool, prefix_of(arguments), listing.revision)
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
    return tool_module.Output(value, text)


async def changes_since(
    tool: tool_module.Tool, prefix: str, revision: int
) -> tuple[results.Record, ...]:
    """Return recent changes, up to the largest count that the platform still has.

    Tries the counts in ``LOOK_BACK`` in turn, because the platform refuses to list
    changes from before its last compaction.
    """
    for count in LOOK_BACK:
        since = max(0, revision - count)
        outcome = await tool.platform.watch(prefix, since, wait_ms=0)
        if isinstance(outcome, result.Success):
            return outcome.unwrap().records
        if not isinstance(outcome.failure(), results.Compacted):
            raise tool_module.unreachable("the platform", outcome.failure().message)
    return ()


async def schema(
    tool: tool_module.Tool, arguments: tool_module.Arguments
) -> tool_module.Output:
    """Print the JSON schema of the file that `apply` reads."""
    value = document.schema()
    text = msgspec.json.format(msgspec.json.encode(value)).decode()
    return tool_module.Output(value, text)


def prefix_of(arguments: tool_module.Arguments) -> str:
    """Return the key prefix for KIND and NAME; raises exits.CommandError if unknown."""
    kind, name = arguments["KIND"], arguments["NAME"]
    if kind is None:
        return items.PREFIX
    if kind not in items.KINDS:
        remedy = f"use one of {', '.join(items.KINDS)}"
        raise exits.CommandError(exits.ExitCode.USAGE, f"unknown kind {kind!r}", remedy)
    return items.key_of(kind, name or "")
