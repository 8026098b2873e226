"""Service-level objectives of client accounts and of the fleet."""

import enum
import typing

from cornelreach.settings import view as view_module
from cornelreach.util import errors

WHOLE_ANSWER_SHARE = 0.999
CONFIGURATION_SHARE = 0.99
CONFIGURATION_OBJECTIVE_MS = 7_000
FLEET = ""


class Measure(enum.StrEnum):
    """What an objective measures."""

    FIRST_TOKEN = "first_token"
    BETWEEN_TOKENS = "between_tokens"
    WHOLE_ANSWER = "whole_answer"
    CONFIGURATION = "configuration"


class Objective(typing.NamedTuple):
    """The share of events that must be good, that is, take at most ``threshold_ms``.

    With a threshold of None, events are good or bad regardless of their duration.
    """

    share: float
    threshold_ms: float | None = None


FAILURE_CODES = frozenset(
    (
        errors.Code.OVERLOADED,
        errors.Code.DEADLINE,
        errors.Code.UNAVAILABLE,
        errors.Code.TARGET_FAILED,
        errors.Code.OUTCOME_UNKNOWN,
    )
)


def for_account(
    view: view_module.View, account: str, wall_ms: float
) -> dict[Measure, Objective]:
    """Return the objectives of an account, or the fleet's for an empty name."""

    def setting(name: str) -> float:
        return view.effective(name, wall_ms, account=account or None)

    share = setting("objective_share")
    return {
        Measure.FIRST_TOKEN: Objective(share, setting("first_token_objective_ms")),
        Measure.BETWEEN_TOKENS: Objective(
            share, setting("between_tokens_objective_ms")
        ),
        Measure.WHOLE_ANSWER: Objective(WHOLE_ANSWER_SHARE),
        Measure.CONFIGURATION: Objective(
            CONFIGURATION_SHARE, CONFIGURATION_OBJECTIVE_MS
        ),
    }
