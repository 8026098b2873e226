"""Messages between instances about at-most-once calls."""

import functools
import typing

from cornelreach.calls import ledger, localattempts
from cornelreach.peers import wire
from cornelreach.util import errors


class ServiceCall(typing.NamedTuple):
    """A caller's call to a plain service; ``wait_ms`` is left until its deadline."""

    account: str
    service: str
    path: str
    key: str
    body: bytes
    content_type: str
    wait_ms: float


class SubmitRequest(typing.NamedTuple):
    """An entry for the claim log, sent to the owner of its shard."""

    entry: ledger.LogEntry
    wait_ms: float


class SubmitReply(typing.NamedTuple):
    """The owner's decision: the name of its type, and the field it carries."""

    decision: str
    answer: ledger.Answer | None = None
    attempt: ledger.AttemptId | None = None
    message: str = ""


class AttemptQuery(typing.NamedTuple):
    """Asks how an attempt ended; the reply waits for its end or ``wait_ms``."""

    attempt: ledger.AttemptId
    wait_ms: float


class AttemptStatus(typing.NamedTuple):
    """The state of an attempt, and its answer if it has finished."""

    state: localattempts.AttemptState
    answer: ledger.Answer | None = None


class ForwardReply(typing.NamedTuple):
    """The answer to a forwarded call, or its refusal."""

    answer: ledger.Answer | None = None
    refusal: errors.Refusal | None = None


SUBMIT_CLAIM = wire.Method("SubmitClaim", SubmitRequest, SubmitReply)
ASK_ATTEMPT = wire.Method("AskAttempt", AttemptQuery, AttemptStatus)
FORWARD_TICKET = wire.Method("ForwardTicket", ServiceCall, ForwardReply)


@functools.singledispatch
def pack(decision: ledger.Decision) -> SubmitReply:
    """Return the message that carries a decision."""
    return SubmitReply(type(decision).__name__)


@pack.register
def _(decision: ledger.Finished) -> SubmitReply:
    return SubmitReply("Finished", answer=decision.answer)


@pack.register
def _(decision: ledger.Running) -> SubmitReply:
    return SubmitReply("Running", attempt=decision.attempt)


@pack.register
def _(decision: ledger.Unavailable) -> SubmitReply:
    return SubmitReply("Unavailable", message=decision.message)


def unpack(reply: SubmitReply) -> ledger.Decision:
    """Return the decision that a message carries."""
    if reply.decision == "Finished" and reply.answer is not None:
        return ledger.Finished(reply.answer)
    if reply.decision == "Running" and reply.attempt is not None:
        return ledger.Running(reply.attempt)
    fieldless = {kind.__name__: kind for kind in FIELDLESS_DECISIONS}
    if reply.decision in fieldless:
        return fieldless[reply.decision]()
    return ledger.Unavailable(reply.message or "the shard's owner sent no decision")


FIELDLESS_DECISIONS = (ledger.Held, ledger.Unknown, ledger.Differs, ledger.Recorded)
