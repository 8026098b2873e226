"""What the placement sees of a pool's targets and what it answers."""

import typing

from cornelreach.targets import admission, permits


class Candidate(typing.NamedTuple):
    """A target as the chooser sees it; ``fits`` if the request may go there now.

    ``backlog_ms`` estimates how long the target reads before it reads this call's
    prompt, ``long_backlog_ms`` the same if more than a short part is not cached there.
    """

    target: str
    boot: str
    cold: bool
    fits: bool
    room: admission.Load
    out: admission.Load
    limits: admission.Limits
    backlog_ms: float = 0.0
    long_backlog_ms: float = 0.0


class Choice(typing.NamedTuple):
    """Where a request goes; an empty target means that it had better wait.

    ``prefill_tokens`` is what the target has to compute, None for the whole prompt.
    """

    target: str = ""
    plan: str = ""
    prefill_tokens: int | None = None


NOWHERE = Choice()

Chooser = typing.Callable[
    [permits.PermitRequest, typing.Sequence[Candidate], float], Choice
]


def least_load(
    request: permits.PermitRequest,
    candidates: typing.Sequence[Candidate],
    now_ms: float,
) -> Choice:
    """Choose the fitting target with the shortest backlog, then the most room."""
    fitting = [candidate for candidate in candidates if candidate.fits]
    if not fitting:
        return NOWHERE
    best = min(
        fitting,
        key=lambda one: (one.cold, one.backlog_ms, -one.room.sequences, one.target),
    )
    return Choice(best.target)
