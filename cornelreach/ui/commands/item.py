"""Commands for items of each kind: list, show, set and delete."""

import typing

import yaml

from cornelreach.settings import items
from cornelreach.ui import changes, context as context_module, exits

COLUMNS = {
    "account": ("name", "weight", "models", "services"),
    "model": ("name", "version", "adapters"),
    "target": ("name", "kind", "data_centre", "address", "serves", "state"),
    "data-centre": ("name", "region", "state", "reason"),
}


async def list_items(
    context: context_module.CommandContext,
    arguments: context_module.Arguments,
    kind: str,
) -> context_module.Output:
    """List the items of a kind."""
    selected = await read_items(context, kind)
    columns = COLUMNS[kind]
    rows = [[format_cell(getattr(item, name)) for name in columns] for item in selected]
    return context_module.Output(selected, context_module.table(columns, rows))


async def show(
    context: context_module.CommandContext,
    arguments: context_module.Arguments,
    kind: str,
) -> context_module.Output:
    """Show all fields of an item."""
    name = arguments["NAME"] or "fleet"
    for item in await read_items(context, kind):
        if item.name == name:
            rows = [
                (field, format_cell(value)) for field, value in item._asdict().items()
            ]
            return context_module.Output(
                item, context_module.table(("field", "value"), rows)
            )
    if kind == "defaults":
        rows = list(items.Defaults()._asdict().items())
        text = context_module.table(("field", "value"), rows)
        return context_module.Output(items.Defaults(), text)
    remedy = f"see `cornelreach {kind} list`"
    text = f"{kind} {name!r} does not exist"
    raise exits.CommandError(exits.ExitCode.REFUSED, text, remedy)


async def set_fields(
    context: context_module.CommandContext,
    arguments: context_module.Arguments,
    kind: str,
) -> context_module.Output:
    """Create an item or change some of its fields."""
    fields = {"name": arguments["NAME"] or "fleet"}
    for text in arguments["FIELD=VALUE"]:
        fields |= parse_field(text)
    return await changes.apply_document(
        context, arguments, changes.item_document(kind, fields)
    )


async def delete(
    context: context_module.CommandContext,
    arguments: context_module.Arguments,
    kind: str,
) -> context_module.Output:
    """Delete an item."""
    key = items.key_of(kind, arguments["NAME"])
    return await changes.delete_item(context, arguments, key)


async def read_items(
    context: context_module.CommandContext, kind: str
) -> list[items.Item]:
    """Return the items of a kind in the order of the platform's listing."""
    listing = await context.listing()
    return [
        items.convert(record.key, record.value)
        for record in listing.records
        if items.kind_of(record.key) == kind
    ]


def parse_field(text: str) -> dict[str, typing.Any]:
    """Parse ``FIELD=VALUE`` with a YAML value."""
    name, separator, value = text.partition("=")
    try:
        parsed = yaml.safe_load(value)
    except yaml.YAMLError:
        parsed = value
    if not separator or not name:
        remedy = "write it as field=value, with a list as field=[a, b]"
        raise exits.CommandError(
            exits.ExitCode.USAGE, f"invalid argument {text!r}", remedy
        )
    return {name: value if is_text_field(name) and parsed is not None else parsed}


def is_text_field(field: str) -> bool:
    """Return whether a field holds text in every kind that has it."""
    hints = [
        typing.get_type_hints(kind)[field]
        for kind in items.KINDS.values()
        if field in kind._fields
    ]
    return bool(hints) and all(hint is str for hint in hints)


def format_cell(value: object) -> str:
    """Format a value for a table."""
    if isinstance(value, list):
        return ",".join(map(str, value)) or "-"
    return "-" if value == "" else str(value)
