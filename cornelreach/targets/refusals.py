"""Refusals of a pool's owner; all are true statements that nothing was run."""

from cornelreach.util import errors

DEFAULT_RETRY_MS = 1_000


def ended() -> errors.Refusal:
    """The request was answered and its permit handed back."""
    return errors.Refusal(
        errors.Code.CONFLICT,
        "this request identifier has ended",
        "ask under a new request identifier",
    )


def no_target() -> errors.Refusal:
    """Every target of the pool was tried or taken out."""
    return errors.Refusal(
        errors.Code.UNAVAILABLE,
        "no target of this pool is left to try",
        "send the call again after the stated time",
        retry_after_ms=DEFAULT_RETRY_MS,
    )


def too_large(tokens: int, most_tokens: int) -> errors.Refusal:
    """No target of the pool bears the prompt, even when empty."""
    return errors.Refusal(
        errors.Code.TOO_LARGE,
        f"the prompt has about {tokens} tokens, and targets take {most_tokens}",
        "shorten the prompt",
    )


def late() -> errors.Refusal:
    """The deadline came while the call waited."""
    return errors.Refusal(
        errors.Code.DEADLINE,
        "the call waited until its deadline",
        "send it again with a later deadline",
        retry_after_ms=DEFAULT_RETRY_MS,
    )


def too_long(wait_ms: float, deadline_in_ms: float) -> errors.Refusal:
    """The wait that is expected passes the deadline."""
    return errors.Refusal(
        errors.Code.OVERLOADED,
        f"the expected wait of {wait_ms:.0f} ms passes the call's deadline",
        "send the call again after the stated time, or with a later deadline",
        retry_after_ms=max(1, round(wait_ms - deadline_in_ms)),
    )


def account_full(wait_ms: float | None) -> errors.Refusal:
    """The account's own queue is full."""
    return errors.Refusal(
        errors.Code.OVERLOADED,
        "too many calls of this account wait",
        "send the call again after the stated time",
        retry_after_ms=_rounded(wait_ms),
    )


def pool_full(wait_ms: float | None) -> errors.Refusal:
    """The pool's queue is full and this account has the most in it."""
    return errors.Refusal(
        errors.Code.OVERLOADED,
        "the pool's queue is full, and this account has the most waiting in it",
        "send the call again after the stated time",
        retry_after_ms=_rounded(wait_ms),
    )


def _rounded(wait_ms: float | None) -> int:
    return max(DEFAULT_RETRY_MS, round(wait_ms or 0.0))
