"""Messages between instances about calls that may not be repeated."""

import functools
import typing

from cornelreach.calls import ledger, runs
from cornelreach.peers import wire
from cornelreach.util import errors


class Call(typing.NamedTuple):
    """A caller's call to a plain service; ``wait_ms`` is left of its deadline."""

    account: str
    service: str
    path: str
    key: str
    body: bytes
    content_type: str
    wait_ms: float


class Submit(typing.NamedTuple):
    """An entry for the claim log, sent to the owner of its shard."""

    entry: ledger.Entry
    wait_ms: float


class Submitted(typing.NamedTuple):
    """The owner's decision: its type name, and the field that it carries."""

    decision: str
    answer: ledger.Answer | None = None
    attempt: ledger.Attempt | None = None
    message: str = ""


class Ask(typing.NamedTuple):
    """What became of an attempt; answered when it has ended, or after a wait."""

    attempt: ledger.Attempt
    wait_ms: float


class Asked(typing.NamedTuple):
    """The state of an attempt, and its answer if it has finished."""

    state: runs.State
    answer: ledger.Answer | None = None


class Forwarded(typing.NamedTuple):
    """The answer to a ticket's call, or the refusal."""

    answer: ledger.Answer | None = None
    refusal: errors.Refusal | None = None


SUBMIT = wire.Method("SubmitClaim", Submit, Submitted)
ASK = wire.Method("AskAttempt", Ask, Asked)
FORWARD = wire.Method("ForwardTicket", Call, Forwarded)


@functools.singledispatch
def pack(decision: ledger.Decision) -> Submitted:
    """Return the message that carries a decision."""
    return Submitted(type(decision).__name__)


@pack.register
def _(decision: ledger.Finished) -> Submitted:
    return Submitted("Finished", answer=decision.answer)


@pack.register
def _(decision: ledger.Running) -> Submitted:
    return Submitted("Running", attempt=decision.attempt)


@pack.register
def _(decision: ledger.Unavailable) -> Submitted:
    return Submitted("Unavailable", message=decision.message)


def unpack(reply: Submitted) -> ledger.Decision:
    """Return the decision that a message carries."""
    if reply.decision == "Finished" and reply.answer is not None:
        return ledger.Finished(reply.answer)
    if reply.decision == "Running" and reply.attempt is not None:
        return ledger.Running(reply.attempt)
    plain = {kind.__name__: kind for kind in PLAIN_DECISIONS}
    if reply.decision in plain:
        return plain[reply.decision]()
    return ledger.Unavailable(reply.message or "the shard's owner gave no decision")


PLAIN_DECISIONS = (ledger.Held, ledger.Unknown, ledger.Differs, ledger.Recorded)
