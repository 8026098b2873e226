"""Typed errors that carry a message and a remedy."""

import enum
import typing


class ExecutionStatus(enum.StrEnum):
    """Whether a target executed the call that ended in an error."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Code(enum.StrEnum):
    """The kinds of refusal that a caller can receive."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    TOO_LARGE = "too_large"
    TOO_SLOW = "too_slow"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    UNAVAILABLE = "unavailable"
    TARGET_FAILED = "target_failed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    CONFLICT = "conflict"
    DRAINING = "draining"


HTTP_STATUS = {
    Code.BAD_REQUEST: 400,
    Code.UNAUTHENTICATED: 401,
    Code.FORBIDDEN: 403,
    Code.NOT_FOUND: 404,
    Code.TOO_SLOW: 408,
    Code.CONFLICT: 409,
    Code.TOO_LARGE: 413,
    Code.OVERLOADED: 429,
    Code.TARGET_FAILED: 502,
    Code.OUTCOME_UNKNOWN: 502,
    Code.UNAVAILABLE: 503,
    Code.DRAINING: 503,
    Code.DEADLINE: 504,
}


class Refusal(typing.NamedTuple):
    """A typed error response that tells the caller what to do about it.

    ``retry_after_ms`` is None if a retry cannot succeed.
    """

    code: Code
    message: str
    remedy: str
    ran: ExecutionStatus = ExecutionStatus.NOT_RUN
    retry_after_ms: int | None = None

    @property
    def status(self) -> int:
        """Return the HTTP status code of this refusal."""
        return HTTP_STATUS[self.code]


class UserError(Exception):
    """An error that the user interface prints without a traceback."""

    def __init__(self, message: str, remedy: str) -> None:
        super().__init__(f"{message}; {remedy}")
        self.message = message
        self.remedy = remedy
