"""Error responses of the gateway; each states whether the request may have run."""

import math
import typing

from cornelreach.http import messages, server
from cornelreach.platform import headers
from cornelreach.util import errors

MIN_RETRY_MS = 150
MAX_RETRY_MS = 2_000
RETRY_SPREAD = 0.5  # jitter, so that callers refused together do not retry together


class NamedRefusal(typing.NamedTuple):
    """A refusal and the name under which it is counted and logged."""

    name: str
    refusal: errors.Refusal


def make_response(refused: NamedRefusal, chance: float) -> messages.Response:
    """Return the response for a refusal; ``chance`` in 0..1 is the retry jitter."""
    refusal = refused.refusal
    response = server.refusal_response(refusal._replace(retry_after_ms=None))
    if refusal.retry_after_ms is None:
        return response
    wait_ms = refusal.retry_after_ms * (1 + RETRY_SPREAD * chance)
    wait_ms = min(MAX_RETRY_MS, max(MIN_RETRY_MS, wait_ms))
    wait_ms = max(wait_ms, refusal.retry_after_ms)  # never earlier than it can help
    return response._replace(headers=response.headers + headers.retry_after(wait_ms))


def _not_run(name: str, code: errors.Code, message: str, retry_ms: int) -> NamedRefusal:
    remedy = "send the request again after the stated time"
    refusal = errors.Refusal(
        code, message, remedy, errors.ExecutionStatus.NOT_RUN, retry_ms
    )
    return NamedRefusal(name, refusal)


def no_catalogue() -> NamedRefusal:
    """Refuse because no configuration has been read yet."""
    text = "this instance has no configuration yet"
    return _not_run("no-catalogue", errors.Code.UNAVAILABLE, text, 500)


def stale_keys() -> NamedRefusal:
    """Refuse because the key may have been revoked without this instance knowing."""
    text = "this instance cannot tell whether keys were revoked"
    return _not_run("stale-keys", errors.Code.UNAVAILABLE, text, 700)


def no_target(retry_ms: int = 400) -> NamedRefusal:
    """Refuse because no target accepts the request now."""
    text = "no target of this service takes the request now"
    return _not_run("no-target", errors.Code.UNAVAILABLE, text, retry_ms)


def room_retry_ms(room_ms: float) -> int:
    """Return the wait to ask for if there will be room after ``room_ms``.

    It is bounded, so that the jitter fits below the longest wait.
    """
    longest_ms = MAX_RETRY_MS / (1 + RETRY_SPREAD)
    return math.ceil(min(longest_ms, max(MIN_RETRY_MS, room_ms)))


def targets_resting(left_ms: float) -> NamedRefusal:
    """Refuse because every target asked for a rest; the first ends in ``left_ms``."""
    text = "all targets of this service asked for a pause"
    return _not_run(
        "targets-resting", errors.Code.UNAVAILABLE, text, math.ceil(left_ms)
    )


def targets_limited(left_ms: float) -> NamedRefusal:
    """Refuse because every target is at its limit, here for another ``left_ms``.

    Another instance may send its share sooner, so the wait is bounded.
    """
    text = "all targets of this service get as many requests as they take"
    retry_ms = math.ceil(min(left_ms, MAX_RETRY_MS))
    return _not_run("targets-limited", errors.Code.UNAVAILABLE, text, retry_ms)


def quarantined(left_ms: float) -> NamedRefusal:
    """Refuse because targets crash on the request; a trial of it is ``left_ms`` off.

    The wait is told in full, so that callers do not return in vain.
    """
    text = "targets crash on this request or on a part of its prompt"
    return _not_run("quarantined", errors.Code.UNAVAILABLE, text, math.ceil(left_ms))


def targets_unreached() -> NamedRefusal:
    """Refuse because neither this instance nor another one reaches a target."""
    text = "no target of this service can be reached now"
    return _not_run("targets-unreached", errors.Code.UNAVAILABLE, text, 400)


def declined(reason: str) -> NamedRefusal:
    """Refuse a request of another instance, which may find a third one."""
    return _not_run("declined", errors.Code.UNAVAILABLE, reason, 400)


def no_version() -> NamedRefusal:
    """Refuse because no target of the version that began a stream accepts requests."""
    text = "no target of the version that began this stream takes requests now"
    return _not_run("no-version", errors.Code.UNAVAILABLE, text, 400)


def unknown_origin() -> NamedRefusal:
    """Refuse because it is not known which version began the stream to go on with."""
    text = "this instance cannot tell which version began this stream"
    return _not_run("unknown-origin", errors.Code.UNAVAILABLE, text, 400)


def overdue() -> NamedRefusal:
    """Refuse because the deadline passed before the request was sent."""
    text = "the time for this request ran out before it was sent to a target"
    return _not_run("overdue", errors.Code.UNAVAILABLE, text, 300)


def no_route() -> NamedRefusal:
    """Refuse because no route matches the host and path."""
    remedy = "correct host and path"
    text = "no route matches this host and path"
    return NamedRefusal("no-route", errors.Refusal(errors.Code.NOT_FOUND, text, remedy))


def unknown_key() -> NamedRefusal:
    """Refuse because the key is missing or belongs to no account."""
    remedy = "send a key of your account"
    text = "the key is missing or belongs to no account"
    refusal = errors.Refusal(errors.Code.UNAUTHENTICATED, text, remedy)
    return NamedRefusal("unknown-key", refusal)


def no_identifier() -> NamedRefusal:
    """Refuse because the request carries no identifier."""
    remedy = "give each attempt an identifier of its own"
    text = "the request carries no identifier"
    return NamedRefusal("no-id", errors.Refusal(errors.Code.BAD_REQUEST, text, remedy))


def outcome_unknown(reason: str) -> NamedRefusal:
    """Report that the request was sent and may have run."""
    refusal = errors.Refusal(
        errors.Code.OUTCOME_UNKNOWN,
        f"the target's answer was lost: {reason}",
        "find out whether the request took effect before sending it again",
        errors.ExecutionStatus.UNKNOWN,
    )
    return NamedRefusal("outcome-unknown", refusal)


def timed_out() -> NamedRefusal:
    """Report that the deadline passed while a target had the request."""
    refusal = errors.Refusal(
        errors.Code.DEADLINE,
        "the time for this request ran out while a target worked on it",
        "find out whether the request took effect before sending it again",
        errors.ExecutionStatus.UNKNOWN,
    )
    return NamedRefusal("timed-out", refusal)


def stopping() -> NamedRefusal:
    """Refuse because this instance stops before the request would be answered."""
    text = "this instance is stopping; another one takes the request"
    return _not_run("stopping", errors.Code.UNAVAILABLE, text, MIN_RETRY_MS)


def stopped() -> NamedRefusal:
    """Report that this instance stops while a target has the request."""
    refusal = errors.Refusal(
        errors.Code.DEADLINE,
        "this instance stops while a target works on the request",
        "find out whether the request took effect before sending it again",
        errors.ExecutionStatus.UNKNOWN,
    )
    return NamedRefusal("stopped", refusal)
