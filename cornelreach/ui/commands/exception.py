"""Commands for exceptions, which override a default for an account or a model."""

import typing

from cornelreach.settings import items, view
from cornelreach.ui import changes, context as context_module
from cornelreach.ui.commands import item


class ExceptionRow(typing.NamedTuple):
    """An exception; ``flag`` is the reason to delete it, or empty if it is needed."""

    name: str
    scope: str
    setting: str
    value: float
    default: float
    created: str
    ends: str
    reason: str
    flag: str


async def list_exceptions(
    context: context_module.CommandContext, arguments: context_module.Arguments
) -> context_module.Output:
    """List the exceptions, oldest first, and mark those that can be deleted."""
    defaults = await item.read_items(context, "defaults")
    exceptions = await item.read_items(context, "exception")
    rows = exception_rows(
        exceptions, defaults[0] if defaults else items.Defaults(), context.wall_ms()
    )
    text = context_module.table(
        ExceptionRow._fields, [map(item.format_cell, row) for row in rows]
    )
    return context_module.Output(rows, text)


def exception_rows(
    exceptions: list[items.Override], defaults: items.Defaults, wall_ms: float
) -> list[ExceptionRow]:
    """Compare exceptions with the defaults; returns the oldest first."""
    rows = []
    for override in sorted(exceptions, key=lambda one: (one.created, one.name)):
        default = getattr(defaults, override.setting, None)
        flag = "same as the default" if override.value == default else ""
        if view.ended(override, wall_ms):
            flag = "ended"
        row = ExceptionRow(
            override.name,
            override.scope,
            override.setting,
            override.value,
            default,
            override.created,
            override.ends,
            override.reason,
            flag,
        )
        rows.append(row)
    return rows


async def add(
    context: context_module.CommandContext, arguments: context_module.Arguments
) -> context_module.Output:
    """Add an exception."""
    fields = {
        "name": arguments["NAME"],
        "scope": arguments["--scope"],
        "setting": arguments["--setting"],
        "reason": arguments["--reason"],
        "ends": arguments["--ends"],
        "created": context_module.format_utc(context.wall_ms()),
        **item.parse_field(f"value={arguments['--value']}"),
    }
    return await changes.apply_document(
        context, arguments, changes.item_document("exception", fields)
    )
