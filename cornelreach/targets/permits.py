"""Permits and the messages between a pool's owner and the instances that send calls.

A permit lets one instance send a given load to one boot of one target. Its lifetime
starts when the sender sent its request, on the sender's clock, so neither a slow reply
nor a paused owner can extend it::

    asked_ms = timers.now_ms()
    permit = ...  # the owner's reply
    permits.check(permit, asked_ms, timers.now_ms(), connection_boot)

All messages are NamedTuples, encoded with msgspec. A sender that receives ``Queued``
immediately repeats its request with the same identifier; the repeated request keeps its
place in the owner's queue.
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
    """Priority classes of calls; a lower value is served first."""

    URGENT = 0
    NORMAL = 1
    BATCH = 2


class PermitRequest(typing.NamedTuple):
    """A request for permission to send one call.

    ``request`` is unique to an attempt of a call. ``deadline_in_ms`` is the time left
    until the caller's deadline. ``piece_keys`` and ``piece_tokens`` describe the prompt
    for placement, ``root`` is its document, and ``excluded`` names the targets that
    this call has already tried.
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
    """Permission to send to one boot of a target; ``exclusive`` if the target is cold.

    The first byte must be sent within ``start_within_ms`` of the sender's request.
    ``plan`` is opaque here: the placement encodes it for the sender.
    ``target_priority`` is for the target's own queue; a lower value goes first.
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
    """The request is queued at the owner; repeat it with the same identifier."""

    request: str
    position: int
    wait_ms: float


class Outcome(enum.StrEnum):
    """The outcome of a call that was sent, or not sent, under a permit."""

    DONE = "done"
    UNUSED = "unused"
    CANCELLED = "cancelled"
    REJECTED = "rejected"
    CONNECTION_LOST = "connection_lost"
    FAILED = "failed"
    TIMED_OUT = "timed_out"


class Release(typing.NamedTuple):
    """Returns a permit once nothing of the call is left at the target.

    ``boot`` is the boot ID in the target's reply, empty if there was none. The outcome
    ``REJECTED`` means that the target replied that it did not run the call.
    """

    permit: str
    target: str
    outcome: Outcome
    boot: str = ""
    first_token_ms: float | None = None


class Report(typing.NamedTuple):
    """A target's reply to a query of its state.

    ``asked_ms`` is when the owner sent the query, on its own clock. ``boot`` is current
    as of the reply; ``load_boot`` and the remaining fields lag behind by the target's
    report lag. ``cold`` is None if the target does not report it.
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

    ``connection_boot`` is the boot ID in an earlier reply on this connection, None on a
    new connection. To a target that does not check ``If-Match`` (``checks_boot``) the
    call may go only on a connection that has already returned the permit's boot ID,
    since a connection does not outlive the process at its other end.
    """
    if now_ms - asked_ms >= permit.start_within_ms:
        return result.Failure(_stale("the permit has expired"))
    if connection_boot is None and not checks_boot:
        return result.Failure(_stale("the connection has not returned a boot ID"))
    if connection_boot is not None and connection_boot != permit.boot:
        return result.Failure(_stale("the target has restarted"))
    return result.Success(None)


def _stale(reason: str) -> errors.Refusal:
    return errors.Refusal(
        errors.Code.UNAVAILABLE,
        f"the call was not sent: {reason}",
        "ask the pool's owner for a new permit",
        errors.ExecutionStatus.NOT_RUN,
        retry_after_ms=0,
    )
