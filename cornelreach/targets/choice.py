"""The interface between a pool's owner and the function that chooses a target."""

import typing

from cornelreach.targets import admission, permits


class Candidate(typing.NamedTuple):
    """A target considered for a request; ``fits`` if it can take the request now.

    ``backlog_ms`` estimates how long the target prefills other prompts before this one.
    ``long_backlog_ms`` is the same estimate for a prompt of which a long part is not
    cached on the target.
    """

    target: str
    boot: str
    cold: bool
    fits: bool
    available: admission.Load
    outstanding: admission.Load
    limits: admission.Limits
    backlog_ms: float = 0.0
    long_backlog_ms: float = 0.0


class Choice(typing.NamedTuple):
    """The target chosen for a request; empty if the request should wait.

    ``prefill_tokens`` is what the target has to compute, None for the whole prompt.
    """

    target: str = ""
    plan: str = ""
    prefill_tokens: int | None = None


NO_TARGET = Choice()

Chooser = typing.Callable[
    [permits.PermitRequest, typing.Sequence[Candidate], float], Choice
]


def least_load(
    request: permits.PermitRequest,
    candidates: typing.Sequence[Candidate],
    now_ms: float,
) -> Choice:
    """Choose the fitting target with the shortest backlog.

    Warm targets come before cold ones, and ties go to the most free sequences.
    """
    fitting = [candidate for candidate in candidates if candidate.fits]
    if not fitting:
        return NO_TARGET
    best = min(
        fitting,
        key=lambda one: (
            one.cold,
            one.backlog_ms,
            -one.available.sequences,
            one.target,
        ),
    )
    return Choice(best.target)
