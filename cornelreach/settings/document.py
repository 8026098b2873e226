"""The YAML form in which operators write settings, and its schema.

Each section lists items of one kind; ``defaults`` is one mapping::

    format: 1
    defaults: {deadline_ms: 30000}
    accounts:
      - name: tirnica
        weight: 2

A field that is left out keeps the value in force, and one set to null returns to its
default. Items left out are untouched.
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
# The loader raises more than its own errors, as for a date with month 13.
MALFORMED = (
    yaml.YAMLError,
    ValueError,
    TypeError,
    AttributeError,
    LookupError,
    RecursionError,
)
Fields = dict[str, typing.Any]


class Document(typing.NamedTuple):
    """The stated fields of each item by platform key, in the order of writing."""

    fields: dict[str, Fields]

    def kinds(self) -> set[str]:
        """Return the kinds that the document states items of."""
        return {items.kind_of(key) for key in self.fields}


def read(text: str) -> result.Result[Document, tuple[rules.Problem, ...]]:
    """Return the document that a YAML text holds, or all problems of its form."""
    try:
        loaded = yaml.safe_load(text)
    except MALFORMED as error:
        problem = rules.Problem("document", f"malformed YAML: {error}", "correct it")
        return result.Failure((problem,))
    if not isinstance(loaded, dict):
        remedy = f"begin with `format: {FORMAT}`"
        return result.Failure((rules.Problem("document", "not a mapping", remedy),))
    problems = list(_check_top(loaded))
    fields: dict[str, Fields] = {}
    for section, kind in SECTIONS.items():
        for entry in _entries(section, loaded.get(section), problems):
            _read_entry(section, kind, entry, fields, problems)
    return result.Failure(tuple(problems)) if problems else _success(fields)


def schema() -> dict[str, typing.Any]:
    """Return the JSON schema of a document."""
    sections = {
        section: _shape(items.KINDS[kind])
        if section == "defaults"
        else list[_shape(items.KINDS[kind])]
        for section, kind in SECTIONS.items()
    }
    shape = typing.TypedDict("Settings", {"format": int, **sections}, total=False)
    return msgspec.json.schema(shape)


def write(held: dict[str, Fields]) -> str:
    """Return the document of items by platform key, such as those in force."""
    shown: dict[str, typing.Any] = {"format": FORMAT}
    for section, kind in SECTIONS.items():
        found = [held[key] for key in sorted(held) if items.kind_of(key) == kind]
        known = [
            {name: value for name, value in fields.items() if name in _names(kind)}
            for fields in found
        ]
        if known:
            shown[section] = known[0] if section == "defaults" else known
    return yaml.safe_dump(shown, sort_keys=False, allow_unicode=True)


def merge(kind: str, held: Fields | None, stated: Fields) -> Fields:
    """Return the fields after a statement; fields of a newer schema are kept."""
    merged = dict(held or {}) | stated
    known = _names(kind)
    return {
        name: value
        for name, value in merged.items()
        if value is not None or name not in known
    }


def _success(
    fields: dict[str, Fields],
) -> result.Result[Document, tuple[rules.Problem, ...]]:
    return result.Success(Document(fields))


def _check_top(loaded: Fields) -> typing.Iterator[rules.Problem]:
    if loaded.get("format") != FORMAT:
        text = f"format is {loaded.get('format')!r}"
        yield rules.Problem("document", text, f"this tool reads `format: {FORMAT}`")
    for name in loaded:
        if name not in SECTIONS and name != "format":
            yield _unknown("document", str(name), SECTIONS)


def _entries(
    section: str, value: typing.Any, problems: list[rules.Problem]
) -> list[typing.Any]:
    if value is None:
        return []
    if section == "defaults":
        value = [{"name": "fleet"} | value] if isinstance(value, dict) else value
    if isinstance(value, list):
        return value
    remedy = "write a mapping" if section == "defaults" else "write a list of items"
    problems.append(rules.Problem(section, "has the wrong form", remedy))
    return []


def _read_entry(
    section: str,
    kind: str,
    entry: typing.Any,
    fields: dict[str, Fields],
    problems: list[rules.Problem],
) -> None:
    if not isinstance(entry, dict) or not isinstance(entry.get("name"), str):
        remedy = "give each item a name in quotes"
        problems.append(rules.Problem(section, "an item has no name", remedy))
        return
    where = f"{section}/{entry['name']}"
    key = items.key_of(kind, entry["name"])
    if key in fields:
        problems.append(rules.Problem(where, "it is listed twice", "keep one of them"))
    plain = {name: _plain(value) for name, value in entry.items()}
    problems.extend(_check_fields(where, kind, plain))
    fields[key] = plain


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
    close = difflib.get_close_matches(name, list(known), 1)
    remedy = f"did you mean {close[0]!r}?" if close else "see `cornelreach schema`"
    return rules.Problem(where, f"{name!r} is unknown", remedy)


def _plain(value: typing.Any) -> typing.Any:
    if isinstance(value, datetime.datetime):
        zoned = value if value.tzinfo else value.replace(tzinfo=datetime.UTC)
        return zoned.isoformat()
    return value.isoformat() if isinstance(value, datetime.date) else value


def _names(kind: str) -> tuple[str, ...]:
    return items.KINDS[kind]._fields


def _shape(kind: type) -> typing.Any:
    """Return the TypedDict that has the fields of an item, for its schema."""
    hints = {
        name: hint
        if name not in kind._field_defaults
        else typing.NotRequired[hint | None]
        for name, hint in typing.get_type_hints(kind).items()
    }
    shape = typing.TypedDict(kind.__name__, hints)
    shape.__doc__ = kind.__doc__
    return shape
