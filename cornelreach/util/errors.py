"""Typed errors whose messages name the remedy."""

import enum
import typing


class Ran(enum.StrEnum):
    """Whether the call that an error answers was run by a target."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Code(enum.StrEnum):
    """Every kind of refusal that a caller can meet."""

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
    """A typed answer in place of a result, with what the caller can do about it.

    ``retry_after_ms`` is None where a repeat cannot help.
    """

    code: Code
    message: str
    remedy: str
    ran: Ran = Ran.NOT_RUN
    retry_after_ms: int | None = None

    @property
    def status(self) -> int:
        """Return the HTTP status that carries this refusal."""
        return HTTP_STATUS[self.code]


class UserError(Exception):
    """An error that the user interface prints without a traceback."""

    def __init__(self, message: str, remedy: str) -> None:
        super().__init__(f"{message}; {remedy}")
        self.message = message
        self.remedy = remedy
