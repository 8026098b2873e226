"""Refusals by a pool's owner; each guarantees that the call was not run."""

from cornelreach.util import errors

DEFAULT_RETRY_MS = 1_000


def request_ended() -> errors.Refusal:
    """The request's permit has already been released."""
    return errors.Refusal(
        errors.Code.CONFLICT,
        "this request identifier is no longer valid",
        "repeat the request with a new identifier",
    )


def no_target() -> errors.Refusal:
    """Every target of the pool is excluded from the request."""
    return errors.Refusal(
        errors.Code.UNAVAILABLE,
        "no target of this pool is left to try",
        "send the call again after the stated time",
        retry_after_ms=DEFAULT_RETRY_MS,
    )


def too_large(tokens: int, max_tokens: int) -> errors.Refusal:
    """The prompt exceeds the limit of every target of the pool."""
    return errors.Refusal(
        errors.Code.TOO_LARGE,
        f"the prompt has about {tokens} tokens, and targets take {max_tokens}",
        "shorten the prompt",
    )


def deadline_passed() -> errors.Refusal:
    """The deadline passed while the call was queued."""
    return errors.Refusal(
        errors.Code.DEADLINE,
        "the call waited until its deadline",
        "send it again with a later deadline",
        retry_after_ms=DEFAULT_RETRY_MS,
    )


def wait_exceeds_deadline(wait_ms: float, deadline_in_ms: float) -> errors.Refusal:
    """The expected wait is longer than the time left until the deadline."""
    return errors.Refusal(
        errors.Code.OVERLOADED,
        f"the expected wait of {wait_ms:.0f} ms exceeds the call's deadline",
        "send the call again after the stated time, or with a later deadline",
        retry_after_ms=max(1, round(wait_ms - deadline_in_ms)),
    )


def account_full(wait_ms: float | None) -> errors.Refusal:
    """The account's own queue is full."""
    return errors.Refusal(
        errors.Code.OVERLOADED,
        "too many calls of this account are queued",
        "send the call again after the stated time",
        retry_after_ms=_retry_after_ms(wait_ms),
    )


def pool_full(wait_ms: float | None) -> errors.Refusal:
    """The pool's queue is full, and this account has the most tokens queued."""
    return errors.Refusal(
        errors.Code.OVERLOADED,
        "the pool's queue is full, and this account has the most tokens queued",
        "send the call again after the stated time",
        retry_after_ms=_retry_after_ms(wait_ms),
    )


def _retry_after_ms(wait_ms: float | None) -> int:
    return max(DEFAULT_RETRY_MS, round(wait_ms or 0.0))
