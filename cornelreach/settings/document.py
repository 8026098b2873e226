"""Reads and writes the YAML document in which operators edit settings.

Each section lists items of one kind; ``defaults`` is a single mapping::

    format: 1
    defaults: {deadline_ms: 30000}
    accounts:
      - name: tirnica
        weight: 2

A field that is left out keeps its current value, and one set to null is reset to its
default. Items that are left out do not change.
"""

import datetime
import difflib
import typing

import msgspec
import yaml
from returns import result

from cornelreach.settings import items, rules

FORMAT = 1
SECTIONS = {
    "data_centres": "data-centre",
    "models": "model",
    "accounts": "account",
    "defaults": "defaults",
    "targets": "target",
    "exceptions": "exception",
}
# yaml.safe_load also raises built-in exceptions, such as ValueError for month 13.
YAML_ERRORS = (
    yaml.YAMLError,
    ValueError,
    TypeError,
    AttributeError,
    LookupError,
    RecursionError,
)
Fields = dict[str, typing.Any]


class Document(typing.NamedTuple):
    """The fields given for each item, by platform key and in the order of writing."""

    fields: dict[str, Fields]

    def kinds(self) -> set[str]:
        """Return the kinds of the items in the document."""
        return {items.kind_of(key) for key in self.fields}


def read(text: str) -> result.Result[Document, tuple[rules.Problem, ...]]:
    """Parse a YAML text; return the document or all problems found in it."""
    try:
        loaded = yaml.safe_load(text)
    except YAML_ERRORS as error:
        problem = rules.Problem(
            "document", f"malformed YAML: {error}", "fix the syntax"
        )
        return result.Failure((problem,))
    if not isinstance(loaded, dict):
        remedy = f"start with `format: {FORMAT}`"
        return result.Failure((rules.Problem("document", "not a mapping", remedy),))
    problems = list(_check_top_level(loaded))
    fields: dict[str, Fields] = {}
    for section, kind in SECTIONS.items():
        for entry in _section_entries(section, loaded.get(section), problems):
            _read_entry(section, kind, entry, fields, problems)
    return result.Failure(tuple(problems)) if problems else _success(fields)


def schema() -> dict[str, typing.Any]:
    """Return the JSON schema of the document."""
    sections = {
        section: _typed_dict(items.KINDS[kind])
        if section == "defaults"
        else list[_typed_dict(items.KINDS[kind])]
        for section, kind in SECTIONS.items()
    }
    typed_dict = typing.TypedDict("Settings", {"format": int, **sections}, total=False)
    return msgspec.json.schema(typed_dict)


def write(held: dict[str, Fields]) -> str:
    """Return the YAML document for items given by platform key."""
    document: dict[str, typing.Any] = {"format": FORMAT}
    for section, kind in SECTIONS.items():
        found = [held[key] for key in sorted(held) if items.kind_of(key) == kind]
        known = [
            {
                name: value
                for name, value in fields.items()
                if name in _field_names(kind)
            }
            for fields in found
        ]
        if known:
            document[section] = known[0] if section == "defaults" else known
    return yaml.safe_dump(document, sort_keys=False, allow_unicode=True)


def merge(kind: str, held: Fields | None, changes: Fields) -> Fields:
    """Return the fields after a change; fields of a newer schema are kept."""
    merged = dict(held or {}) | changes
    known = _field_names(kind)
    return {
        name: value
        for name, value in merged.items()
        if value is not None or name not in known
    }


def _success(
    fields: dict[str, Fields],
) -> result.Result[Document, tuple[rules.Problem, ...]]:
    return result.Success(Document(fields))


def _check_top_level(loaded: Fields) -> typing.Iterator[rules.Problem]:
    if loaded.get("format") != FORMAT:
        text = f"format is {loaded.get('format')!r}"
        yield rules.Problem("document", text, f"this tool reads `format: {FORMAT}`")
    for name in loaded:
        if name not in SECTIONS and name != "format":
            yield _unknown("document", str(name), SECTIONS)


def _section_entries(
    section: str, value: typing.Any, problems: list[rules.Problem]
) -> list[typing.Any]:
    if value is None:
        return []
    if section == "defaults":
        value = [{"name": "fleet"} | value] if isinstance(value, dict) else value
    if isinstance(value, list):
        return value
    remedy = "use a mapping" if section == "defaults" else "use a list of items"
    problems.append(rules.Problem(section, "has the wrong type", remedy))
    return []


def _read_entry(
    section: str,
    kind: str,
    entry: typing.Any,
    fields: dict[str, Fields],
    problems: list[rules.Problem],
) -> None:
    if not isinstance(entry, dict) or not isinstance(entry.get("name"), str):
        remedy = "give each item a quoted name"
        problems.append(rules.Problem(section, "an item has no name", remedy))
        return
    where = f"{section}/{entry['name']}"
    key = items.key_of(kind, entry["name"])
    if key in fields:
        problems.append(rules.Problem(where, "is listed twice", "remove one of them"))
    values = {name: _json_value(value) for name, value in entry.items()}
    problems.extend(_check_fields(where, kind, values))
    fields[key] = values


def _check_fields(
    where: str, kind: str, fields: Fields
) -> typing.Iterator[rules.Problem]:
    hints = typing.get_type_hints(items.KINDS[kind])
    for name, value in fields.items():
        if name not in hints:
            yield _unknown(where, str(name), hints)
        elif value is not None:
            try:
                msgspec.convert(value, hints[name])
            except msgspec.ValidationError as error:
                text = f"{name}: {error}"
                yield rules.Problem(where, text, "see `cornelreach schema`")


def _unknown(where: str, name: str, known: typing.Iterable[str]) -> rules.Problem:
    matches = difflib.get_close_matches(name, list(known), 1)
    remedy = f"did you mean {matches[0]!r}?" if matches else "see `cornelreach schema`"
    return rules.Problem(where, f"{name!r} is unknown", remedy)


def _json_value(value: typing.Any) -> typing.Any:
    if isinstance(value, datetime.datetime):
        aware = value if value.tzinfo else value.replace(tzinfo=datetime.UTC)
        return aware.isoformat()
    return value.isoformat() if isinstance(value, datetime.date) else value


def _field_names(kind: str) -> tuple[str, ...]:
    return items.KINDS[kind]._fields


def _typed_dict(kind: type) -> typing.Any:
    """Return a TypedDict with the fields of an item, from which its schema is made."""
    hints = {
        name: hint
        if name not in kind._field_defaults
        else typing.NotRequired[hint | None]
        for name, hint in typing.get_type_hints(kind).items()
    }
    typed_dict = typing.TypedDict(kind.__name__, hints)
    typed_dict.__doc__ = kind.__doc__
    return typed_dict
