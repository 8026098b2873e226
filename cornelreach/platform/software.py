"""Entries of the software versions of a service's targets, a kind of this system::

    software/llm-pool  {"versions": ["2.4.1", "2.5.0"]}

An entry keeps a version for as long as streams that it began may go on.
"""

import typing

import msgspec

from cornelreach.platform import results
from cornelreach.util import decoding

PREFIX = "software/"


class Entry(typing.TypedDict):
    """``versions`` may have begun streams that have not ended."""

    versions: list[str]


def key(service: str) -> str:
    """Return the key of a service's entry."""
    return PREFIX + service


def value(versions: typing.Iterable[str]) -> Entry:
    """Return the value of an entry."""
    return Entry(versions=sorted(versions))


def read_versions(record: results.Record) -> frozenset[str]:
    """Return the versions in an entry; one that cannot be decoded has none."""
    try:
        return frozenset(msgspec.convert(record.value, Entry)["versions"])
    except decoding.DECODE_ERRORS:
        return frozenset()
