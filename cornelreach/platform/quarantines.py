"""Entries of quarantined prompt parts, a kind of object of this system::

    quarantines/daka510000.5c1e07a2  {"trials": 0}

Deleting an entry releases its part.
"""

import typing

import msgspec

from cornelreach.platform import results
from cornelreach.util import decoding

PREFIX = "quarantines/"
MAX_TRIALS = 64


class Entry(typing.TypedDict):
    """``trials`` counts the prompts that were sent since, to see if they crash."""

    trials: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_TRIALS)]


def key(part: str) -> str:
    """Return the key of a part's entry."""
    return PREFIX + part


def value(trials: int) -> Entry:
    """Return the value of an entry."""
    return Entry(trials=trials)


def read_trials(record: results.Record) -> int:
    """Return the trials in an entry; one that cannot be decoded counts as without."""
    try:
        return msgspec.convert(record.value, Entry)["trials"]
    except decoding.DECODE_ERRORS:
        return 0
