"""Entries of the streams that an instance began, a kind of object of this system::

    origins/edge-3  {"groups": [{"service": "llm-pool", "software": "2.4.1",
                                 "attempts": ["9c41d07be2a35f68"]}]}

Attempts are named by the hash of their identifier, in hexadecimal digits.
"""

import typing

import msgspec

from cornelreach.platform import records, results
from cornelreach.util import decoding

PREFIX = "origins/"
MAX_GROUPS = 16
MAX_ATTEMPTS = 1_024  # of one group

_Hash = typing.Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{16}$")]


class Group(typing.TypedDict):
    """The attempts that began at one version of a service's targets."""

    service: records.Text
    software: records.Text
    attempts: typing.Annotated[list[_Hash], msgspec.Meta(max_length=MAX_ATTEMPTS)]


class Entry(typing.TypedDict):
    """The streams of one instance that may go on."""

    groups: typing.Annotated[list[Group], msgspec.Meta(max_length=MAX_GROUPS)]


def key(instance: str) -> str:
    """Return the key of an instance's entry."""
    return PREFIX + instance


def value(found: typing.Mapping[int, tuple[str, str]]) -> Entry:
    """Return the value of an entry from (service, software) by hash of the attempt."""
    attempts: dict[tuple[str, str], list[str]] = {}
    for attempt, origin in found.items():
        attempts.setdefault(origin, []).append(f"{attempt:016x}")
    return Entry(
        groups=[
            Group(service=service, software=software, attempts=group[-MAX_ATTEMPTS:])
            for (service, software), group in list(attempts.items())[-MAX_GROUPS:]
        ]
    )


def read_origins(record: results.Record) -> dict[int, tuple[str, str]]:
    """Return (service, software) by hash of the attempt; empty if undecodable."""
    try:
        groups = msgspec.convert(record.value, Entry)["groups"]
    except decoding.DECODE_ERRORS:
        return {}
    return {
        int(attempt, 16): (group["service"], group["software"])
        for group in groups
        for attempt in group["attempts"]
    }
