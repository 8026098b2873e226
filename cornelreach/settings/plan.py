"""Plans the changes that a document makes, as a list of conditional writes."""

import typing

import msgspec
from returns import result

from cornelreach.platform import results
from cornelreach.settings import document as document_module, items, rules

CHANGES_FIELD = "changes"
MERGE_FIELD = "merge"
WRITTEN_FIELD = "written_ms"
MAX_CHANGE_IDS = 16
BOOKKEEPING = (CHANGES_FIELD, MERGE_FIELD, WRITTEN_FIELD, "directives")

Fields = dict[str, typing.Any]


class Difference(typing.NamedTuple):
    """One field of an item before and after; None where it is not set."""

    field: str
    before: typing.Any
    after: typing.Any

    def __str__(self) -> str:
        return f"{self.field}: {self.before!r} -> {self.after!r}"


class Change(typing.NamedTuple):
    """One write of an item if it is at ``if_version``; ``after`` None deletes it."""

    key: str
    if_version: int
    before: Fields | None
    after: Fields | None

    @property
    def kind(self) -> str:
        """Return create, update or delete."""
        if self.after is None:
            return "delete"
        return "create" if self.before is None else "update"

    @property
    def differences(self) -> tuple[Difference, ...]:
        """Return the fields that change."""
        return differences(self.before, self.after)


class Plan(typing.NamedTuple):
    """The changes in the order of writing, and the revision they are based on."""

    revision: int
    changes: tuple[Change, ...]


def differences(before: Fields | None, after: Fields | None) -> tuple[Difference, ...]:
    """Return the fields that differ, without the bookkeeping fields."""
    old, new = before or {}, after or {}
    names = dict.fromkeys([*old, *new])
    return tuple(
        Difference(name, old.get(name), new.get(name))
        for name in names
        if name not in BOOKKEEPING and old.get(name) != new.get(name)
    )


def make(
    document: document_module.Document,
    listing: results.Listing,
    wall_ms: float,
    prune: bool = False,
) -> result.Result[Plan, tuple[rules.Problem, ...]]:
    """Return the changes of a document to the listed items, or the rules it breaks.

    With ``prune``, items of the kinds that occur in the document are deleted if the
    document does not contain them.
    """
    held = {record.key: record for record in listing.records}
    changes = [
        change
        for key, fields in document.fields.items()
        if (change := _change(key, fields, held.get(key))) is not None
    ]
    if prune:
        changes.extend(_prune_changes(document, held))
    return check(Plan(listing.revision, tuple(changes)), listing, wall_ms)


def delete(
    keys: typing.Iterable[str], listing: results.Listing, wall_ms: float
) -> result.Result[Plan, tuple[rules.Problem, ...]]:
    """Return the plan that deletes items by key."""
    held = {record.key: record for record in listing.records}
    missing = [key for key in keys if key not in held]
    if missing:
        remedy = "check the kind and name"
        return result.Failure(
            tuple(rules.Problem(key, "it does not exist", remedy) for key in missing)
        )
    changes = [Change(key, held[key].version, held[key].value, None) for key in keys]
    return check(Plan(listing.revision, tuple(changes)), listing, wall_ms)


def check(
    plan: Plan, listing: results.Listing, wall_ms: float
) -> result.Result[Plan, tuple[rules.Problem, ...]]:
    """Return the plan unless it breaks a rule that the current items satisfy."""
    before = {record.key: record.value for record in listing.records}
    after = dict(before)
    for change in plan.changes:
        after[change.key] = change.after
    old, _ = _convert(before)
    new, problems = _convert(after, {change.key for change in plan.changes})
    problems += rules.new_problems(old, new, wall_ms)
    return result.Failure(problems) if problems else result.Success(plan)


def value_to_write(change: Change, change_id: str, wall_ms: float) -> Fields:
    """Return the value to write, with the IDs of the latest changes.

    The time of writing lets instances report how long the change took to arrive.
    """
    earlier_ids = (change.before or {}).get(CHANGES_FIELD, [])
    value = {k: v for k, v in change.after.items() if k != MERGE_FIELD}
    change_ids = [*earlier_ids, change_id][-MAX_CHANGE_IDS:]
    return value | {CHANGES_FIELD: change_ids, WRITTEN_FIELD: int(wall_ms)}


def _change(key: str, fields: Fields, held: results.Record | None) -> Change | None:
    before = held.value if held is not None else None
    after = document_module.merge(items.kind_of(key), before, fields)
    if before is not None and not differences(before, after):
        return None
    return Change(key, held.version if held is not None else 0, before, after)


def _prune_changes(
    document: document_module.Document, held: dict[str, results.Record]
) -> list[Change]:
    kinds = document.kinds()
    return [
        Change(key, record.version, record.value, None)
        for key, record in reversed(held.items())
        if items.kind_of(key) in kinds and key not in document.fields
    ]


def _convert(
    values: dict[str, Fields | None], required_keys: typing.Container[str] = ()
) -> tuple[rules.Items, tuple[rules.Problem, ...]]:
    typed, problems = {}, ()
    for key, value in values.items():
        if value is None or not items.kind_of(key):
            continue
        try:
            typed[key] = items.convert(key, value)
        except msgspec.ValidationError as error:
            if key in required_keys:
                problem = rules.Problem(key, str(error), "see `cornelreach schema`")
                problems += (problem,)
    return typed, problems
