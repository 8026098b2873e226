"""Commands for exceptions, which override a default for an account or a model."""

import typing

from cornelreach.settings import items, view
from cornelreach.ui import changes, tool as tool_module
from cornelreach.ui.commands import item


class Line(typing.NamedTuple):
    """An exception and its default; ``flag`` is the reason to delete it, or empty."""

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
    tool: tool_module.Tool, arguments: tool_module.Arguments
) -> tool_module.Output:
    """List the exceptions, oldest first, and mark those that can be deleted."""
    defaults = await item.held_items(tool, "defaults")
    exceptions = await item.held_items(tool, "exception")
    lines = review(
        exceptions, defaults[0] if defaults else items.Defaults(), tool.wall_ms()
    )
    text = tool_module.table(Line._fields, [map(item.cell, line) for line in lines])
    return tool_module.Output(lines, text)


def review(
    exceptions: list[items.Override], defaults: items.Defaults, wall_ms: float
) -> list[Line]:
    """Compare exceptions with the defaults; returns the oldest first."""
    lines = []
    for override in sorted(exceptions, key=lambda one: (one.created, one.name)):
        default = getattr(defaults, override.setting, None)
        flag = "same as the default" if override.value == default else ""
        if view.ended(override, wall_ms):
            flag = "ended"
        line = Line(
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
        lines.append(line)
    return lines


async def add(
    tool: tool_module.Tool, arguments: tool_module.Arguments
) -> tool_module.Output:
    """Add an exception."""
    fields = {
        "name": arguments["NAME"],
        "scope": arguments["--scope"],
        "setting": arguments["--setting"],
        "reason": arguments["--reason"],
        "ends": arguments["--ends"],
        "created": tool_module.utc(tool.wall_ms()),
        **item.parse_field(f"value={arguments['--value']}"),
    }
    return await changes.apply_document(
        tool, arguments, changes.item_document("exception", fields)
    )
