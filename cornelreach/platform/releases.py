"""Orders of software rollouts, which operators write, and the status of each::

    rollouts/llm-pool  {"service": "llm-pool", "target": "2.5.0", "duration_s": 14}
    status             {"state": "running", "target": "2.5.0"}

The status is written beside the order, on the condition that the object still has the
revision that was read. Of several writers one gets its status in, and the others learn
what it is::

    outcome = releases.decode(record)
    await objects.put_status(
        releases.key("llm-pool"), releases.status(RUNNING, "2.5.0"), record.version
    )
"""

import typing

import msgspec
from returns import result

from cornelreach.platform import results
from cornelreach.util import decoding

PREFIX = "rollouts/"
CONTRACT = "rollout"  # in the settings file, where orders may be given
MAX_TEXT = 128  # characters, so that an order fits into a datagram
MAX_DURATION_S = 7 * 86_400.0
RUNNING, SUCCEEDED, REVERTED = "running", "succeeded", "reverted"
FINAL = frozenset((SUCCEEDED, REVERTED))

Text = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_TEXT)]
Duration = typing.Annotated[float, msgspec.Meta(gt=0, le=MAX_DURATION_S)]


class _Spec(typing.TypedDict):
    service: Text
    target: Text
    duration_s: Duration


class Status(typing.TypedDict):
    """``target`` is the software version that the state is about."""

    state: typing.Literal["running", "succeeded", "reverted"]
    target: str


class Entry(typing.NamedTuple):
    """An order as it is stored.

    ``created`` tells orders apart that were given one after the other for the same
    version. ``state`` is what was written about this version, or empty.
    """

    service: str
    target: str
    created: str
    duration_ms: float
    version: int
    state: str = ""


def key(service: str) -> str:
    """Return the key of the order for a service."""
    return PREFIX + service


def status(state: str, target: str) -> Status:
    """Return the value of a status."""
    return Status(state=state, target=target)


def decode(record: results.Record) -> result.Result[Entry, str]:
    """Return the order in an object, or what is wrong with it."""
    if isinstance(record.value, results.Unreadable):
        return result.Failure(record.value.error[:MAX_TEXT])
    try:
        found = msgspec.convert(record.value, _Spec)
    except decoding.DECODE_ERRORS as error:
        return result.Failure(str(error)[:MAX_TEXT])
    service, target = found["service"], found["target"]
    if record.key != key(service):
        return result.Failure(f"it names the service {service!r}")
    if target != target.strip() or not target.isprintable():
        return result.Failure(f"{target!r} is no software version")
    return result.Success(
        Entry(
            service,
            target,
            str(record.created)[:MAX_TEXT],
            found["duration_s"] * 1_000,
            record.version,
            _state(record.status, target),
        )
    )


def _state(found: typing.Any, target: str) -> str:
    """Return the state in a status, or an empty text if it is about something else."""
    try:
        written = msgspec.convert(found, Status)
    except decoding.DECODE_ERRORS:
        return ""
    return written["state"] if written["target"] == target else ""
