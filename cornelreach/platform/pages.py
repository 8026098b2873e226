"""Decoding of the store's answers, of which single objects may be unreadable.

Any writer may leave a value that no decoder takes: nested too deeply, a number out of
range, bytes that are no text. Such an object has an ``Unreadable`` in place of its
value, and the others hold::

    page = pages.decode_page(body)
"""

import typing

import msgspec

from cornelreach.platform import results
from cornelreach.util import decoding, jsonspans


class Metadata(typing.TypedDict):
    name: str
    revision: int
    created: typing.NotRequired[typing.Any]


class Object(typing.TypedDict):
    """One object; ``metadata.revision`` is the revision of its last change."""

    metadata: Metadata
    spec: typing.Any
    status: typing.NotRequired[typing.Any]


class Page(typing.TypedDict):
    items: list[Object]
    more_pages: bool
    store_revision: int


class Event(typing.TypedDict):
    object: Object
    deleted: bool


class Changes(typing.TypedDict):
    events: list[Event]
    store_revision: int


PAGE_DEPTH = 3  # answer, items, object
CHANGES_DEPTH = 4  # answer, events, event, object
PAGE = msgspec.json.Decoder(Page)
CHANGES = msgspec.json.Decoder(Changes)


def decode_page(body: bytes) -> Page:
    """Decode a page of a list; raises ValueError if it is malformed."""
    try:
        return PAGE.decode(body)
    except decoding.DECODE_ERRORS:
        fields = jsonspans.split(body, PAGE_DEPTH)
    return Page(
        items=[_object(one) for one in _member(fields, "items", list)],
        more_pages=_decode(fields, "more_pages", bool),
        store_revision=_decode(fields, "store_revision", int),
    )


def decode_changes(body: bytes) -> Changes:
    """Decode the answer to a watch; raises ValueError if it is malformed."""
    try:
        return CHANGES.decode(body)
    except decoding.DECODE_ERRORS:
        fields = jsonspans.split(body, CHANGES_DEPTH)
    return Changes(
        events=[_event(one) for one in _member(fields, "events", list)],
        store_revision=_decode(fields, "store_revision", int),
    )


def _event(fields: jsonspans.Part) -> Event:
    return Event(
        object=_object(_member(fields, "object", dict)),
        deleted=_decode(fields, "deleted", bool),
    )


def _object(fields: jsonspans.Part) -> Object:
    return Object(
        metadata=_decode(fields, "metadata", Metadata),
        spec=_decode_any(fields, "spec"),
        status=_decode_any(fields, "status"),
    )


def _decode_any(fields: jsonspans.Part, name: str) -> typing.Any:
    try:
        return msgspec.json.decode(fields.get(name, b"null"))
    except decoding.DECODE_ERRORS as error:
        return results.Unreadable(str(error))


Kind = typing.TypeVar("Kind")


def _member(fields: jsonspans.Part, name: str, kind: type[Kind]) -> Kind:
    found = fields.get(name) if isinstance(fields, dict) else None
    if not isinstance(found, kind):
        raise ValueError(f"{name} is missing or of another type")
    return found


def _decode(fields: jsonspans.Part, name: str, kind: type[Kind]) -> Kind:
    try:
        return msgspec.json.decode(_member(fields, name, bytes), type=kind)
    except decoding.DECODE_ERRORS as error:
        raise ValueError(f"{name} cannot be decoded: {error}") from error
