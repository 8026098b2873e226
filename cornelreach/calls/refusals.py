"""Refusals of at-most-once calls; each says whether the call has run."""

import functools

from returns import result

from cornelreach.calls import ledger
from cornelreach.util import errors

RETRY_AFTER_MS = 1_000


def not_run(reason: str, retry_after_ms: int) -> errors.Refusal:
    """Return the refusal of a request that was not sent to any target."""
    return errors.Refusal(
        errors.Code.UNAVAILABLE,
        f"this request was not run: {reason}",
        "repeat it with the same key, even if an earlier request with that key "
        "ended without an answer",
        errors.ExecutionStatus.NOT_RUN,
        retry_after_ms or None,
    )


def outcome_unknown(retry_after_ms: int | None = None) -> errors.Refusal:
    """Return the refusal of a call that may have run."""
    return errors.Refusal(
        errors.Code.OUTCOME_UNKNOWN,
        "the call may have run and its answer was lost; it is not run again",
        "look up the result in the service itself before you use a new key",
        errors.ExecutionStatus.UNKNOWN,
        retry_after_ms,
    )


def ticket_issuer_gone() -> errors.Refusal:
    """Return the refusal of a ticket whose issuing boot no longer runs."""
    return errors.Refusal(
        errors.Code.OUTCOME_UNKNOWN,
        "the instance that issued the ticket no longer runs; the call is not run again",
        "look up the result in the service itself before you take a new ticket",
        errors.ExecutionStatus.UNKNOWN,
    )


def still_running() -> errors.Refusal:
    """Return the refusal of a repeat while the call is still in progress."""
    return errors.Refusal(
        errors.Code.CONFLICT,
        "the call with this key is still in progress",
        "repeat it with the same key to get its answer",
        errors.ExecutionStatus.UNKNOWN,
        RETRY_AFTER_MS,
    )


def ticket_expired() -> errors.Refusal:
    """Return the refusal of an expired ticket without a recorded use."""
    return errors.Refusal(
        errors.Code.OUTCOME_UNKNOWN,
        "the ticket has expired; the call is not run again",
        "look up the result in the service itself before you take a new ticket",
        errors.ExecutionStatus.UNKNOWN,
    )


def too_many_tickets() -> errors.Refusal:
    """Return the refusal of a ticket while too many used ones are stored."""
    return errors.Refusal(
        errors.Code.OVERLOADED,
        "this request was not run: the instance stores too many used tickets",
        "take a ticket from another instance, or use a key of your own",
        errors.ExecutionStatus.NOT_RUN,
        RETRY_AFTER_MS,
    )


@functools.singledispatch
def decision_result(decision: object) -> result.Result[ledger.Answer, errors.Refusal]:
    """Return the result that a caller receives for a decision on its request."""
    raise TypeError(f"{decision!r} does not end a request")


@decision_result.register
def _(decision: ledger.Finished) -> result.Result[ledger.Answer, errors.Refusal]:
    if decision.answer.kept:
        return result.Success(decision.answer)
    refusal = errors.Refusal(
        errors.Code.OUTCOME_UNKNOWN,
        f"the call has run with status {decision.answer.status}; "
        "its answer was too large to be stored",
        "look up the result in the service itself",
        errors.ExecutionStatus.RAN,
    )
    return result.Failure(refusal)


@decision_result.register
def _(decision: ledger.Unknown) -> result.Result[ledger.Answer, errors.Refusal]:
    return result.Failure(outcome_unknown())


@decision_result.register
def _(decision: ledger.Differs) -> result.Result[ledger.Answer, errors.Refusal]:
    refusal = errors.Refusal(
        errors.Code.CONFLICT,
        "the key was used before with another request body; this one was not run",
        "use a new key for a new request",
    )
    return result.Failure(refusal)


@decision_result.register
def _(decision: ledger.Unavailable) -> result.Result[ledger.Answer, errors.Refusal]:
    reason = f"its claim could not be recorded ({decision.message})"
    return result.Failure(not_run(reason, decision.retry_after_ms))
