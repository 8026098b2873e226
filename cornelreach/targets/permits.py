"""Permits and the messages between a pool's owner and the instances that send.

A permit lets one instance send a stated load to one boot of one target. It is counted
from the moment the sender asked, by the sender's own clock, so neither a slow answer
nor a paused owner can lengthen it::

    asked_ms = timers.now_ms()
    permit = ...  # the owner's answer
    permits.check(permit, asked_ms, timers.now_ms(), connection_boot)

All messages are NamedTuples that msgspec carries. A sender that gets ``Queued`` asks
again at once under the same request identifier; the owner answers the repeated
question from the same place in the queue.
"""

import enum
import typing

from returns import result

from cornelreach.util import errors

PERMIT_MS = 2_000
POLL_MS = 1_000
DELIVERY_MS = 500
CLOCK_DRIFT_SHARE = 0.01


class Priority(enum.IntEnum):
    """Classes of calls; a lower value is served first."""

    URGENT = 0
    NORMAL = 1
    BATCH = 2


class PermitRequest(typing.NamedTuple):
    """Asks for leave to send one call.

    ``request`` is unique to a call and its attempt. ``deadline_in_ms`` is what is left
    until the caller's deadline. ``piece_keys`` and ``piece_tokens`` describe the prompt
    for placement, ``root`` its document, and ``excluded`` names targets that this call
    has tried already.
    """

    request: str
    instance: str
    instance_boot: str
    pool: str
    account: str
    prompt_tokens: int
    answer_tokens: int = 0
    sequences: int = 1
    weight: int = 1
    priority: Priority = Priority.NORMAL
    deadline_in_ms: float = 60_000.0
    version: str = ""
    piece_keys: tuple[str, ...] = ()
    piece_tokens: tuple[int, ...] = ()
    root: str = ""
    excluded: tuple[str, ...] = ()


class Permit(typing.NamedTuple):
    """Leave to send to one boot of a target; ``exclusive`` if the target is cold.

    The first byte must leave within ``start_within_ms`` of the moment the sender asked.
    ``plan`` is the placement's own text for the sender and is not read here;
    ``target_priority`` is for the target's own queue, a lower value goes first.
    """

    permit: str
    pool: str
    epoch: int
    target: str
    boot: str
    sequences: int
    prompt_tokens: int
    exclusive: bool
    start_within_ms: float = PERMIT_MS
    plan: str = ""
    target_priority: int = 0


class Queued(typing.NamedTuple):
    """The request waits at the owner; ask again with the same identifier."""

    request: str
    position: int
    wait_ms: float


class Outcome(enum.StrEnum):
    """How the use of a permit ended."""

    DONE = "done"
    UNUSED = "unused"
    CANCELLED = "cancelled"
    REJECTED = "rejected"
    CONNECTION_LOST = "connection_lost"
    FAILED = "failed"
    TIMED_OUT = "timed_out"


class Release(typing.NamedTuple):
    """Hands a permit back once nothing of the call is left at the target.

    ``boot`` is the boot identity in the target's answer, or empty where none came.
    ``REJECTED`` means the target answered that it did not run the call.
    """

    permit: str
    target: str
    outcome: Outcome
    boot: str = ""
    first_token_ms: float | None = None


class Report(typing.NamedTuple):
    """A target's answer to a question about its state.

    ``asked_ms`` is the owner's clock when it asked. ``boot`` comes with the answer and
    is current; ``load_boot`` and the rest are as old as the target's lag. ``cold`` is
    None where the target does not tell.
    """

    target: str
    asked_ms: float
    boot: str
    load_boot: str
    cold: bool | None
    running: int
    queued: int
    queued_tokens: int = 0


def check(
    permit: Permit,
    asked_ms: float,
    now_ms: float,
    connection_boot: str | None,
    checks_boot: bool = True,
) -> result.Result[None, errors.Refusal]:
    """Return whether the first byte may be written now, on an open connection.

    ``connection_boot`` is the boot identity in an earlier answer on this connection, or
    None on a fresh one. A target that does not check ``If-Match`` (``checks_boot``) is
    written to only on a connection that has answered for the permit's boot, since a
    connection does not outlive the process at its other end.
    """
    if now_ms - asked_ms >= permit.start_within_ms:
        return result.Failure(_stale("the permit has expired"))
    if connection_boot is None and not checks_boot:
        return result.Failure(_stale("the connection has shown no boot identity"))
    if connection_boot is not None and connection_boot != permit.boot:
        return result.Failure(_stale("the target has started anew"))
    return result.Success(None)


def _stale(reason: str) -> errors.Refusal:
    return errors.Refusal(
        errors.Code.UNAVAILABLE,
        f"the call was not sent: {reason}",
        "ask the pool's owner for a new permit",
        errors.Ran.NOT_RUN,
        retry_after_ms=0,
    )
