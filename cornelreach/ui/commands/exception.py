"""Commands on exceptions: settings that differ from the default for a scope."""

import typing

from cornelreach.settings import items, view
from cornelreach.ui import changes, tool as tool_module
from cornelreach.ui.commands import item


class Line(typing.NamedTuple):
    """One exception with the default it differs from; ``flag`` says why it can go."""

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
    """List the exceptions, oldest first, and flag those that can go."""
    defaults = await item.held_items(tool, "defaults")
    held = await item.held_items(tool, "exception")
    lines = review(held, defaults[0] if defaults else items.Defaults(), tool.wall_ms())
    text = tool_module.table(Line._fields, [map(item.cell, line) for line in lines])
    return tool_module.Output(lines, text)


def review(
    held: list[items.Override], defaults: items.Defaults, wall_ms: float
) -> list[Line]:
    """Return the exceptions, oldest first, each compared with the default."""
    lines = []
    for override in sorted(held, key=lambda one: (one.created, one.name)):
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
    """Add an exception with its reason and end."""
    fields = {
        "name": arguments["NAME"],
        "scope": arguments["--scope"],
        "setting": arguments["--setting"],
        "reason": arguments["--reason"],
        "ends": arguments["--ends"],
        "created": tool_module.utc(tool.wall_ms()),
        **item.parse_field(f"value={arguments['--value']}"),
    }
    return await changes.state(tool, arguments, changes.stated("exception", fields))
