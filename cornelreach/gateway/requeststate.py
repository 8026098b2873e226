"""An admitted request, the outcomes of its attempts, and whether it may be retried."""

import enum
import functools
import typing

from cornelreach.gateway import calls, catalogue, crashes, refusals
from cornelreach.http import client as http_client, messages
from cornelreach.util import hashing

MAX_TRIES = 5
MIN_LEFT_MS = 20.0


class Answered(typing.NamedTuple):
    """The target answered; the response is returned to the caller."""

    response: messages.Response


class NotSent(typing.NamedTuple):
    """No byte was sent to the target; ``at_fault`` if the target is the cause."""

    reason: str
    at_fault: bool = True


class NotRun(typing.NamedTuple):
    """The target states that it did not run the request.

    ``moved`` is set if another target or model version is at the address.
    """

    reason: str
    moved: bool = False


class Failure(typing.NamedTuple):
    """The target ran the request and answered with a server error."""

    response: messages.Response


class Progress(enum.Enum):
    """How far the answer to a request had come when it was lost."""

    NONE = "no answer"
    HEAD = "no whole event"
    EVENTS = "events"


class Lost(typing.NamedTuple):
    """The request was sent but no valid answer came back; it may have run.

    ``closed`` is set if the target closed the connection.
    """

    reason: str
    progress: Progress = Progress.NONE
    closed: bool = False


def lost_by(error: Exception, progress: Progress) -> Lost:
    """Return the outcome of an attempt whose answer an error ended."""
    closed = isinstance(error, http_client.ConnectionClosed)
    return Lost(str(error) or "the deadline passed", progress, closed)


class Opened(typing.NamedTuple):
    """The target answered with a stream."""

    answer: http_client.ClientResponse


Outcome = Answered | NotSent | NotRun | Failure | Lost | Opened


class Connection(typing.NamedTuple):
    """The address that a connection leads to, and its number among those opened."""

    address: str
    number: int

    def __str__(self) -> str:
        return f"{self.address}#{self.number}"


class RequestState:
    """An admitted request and the state of its attempts.

    Times are those of the event loop, in seconds. ``deadline_s`` is the earlier of the
    caller's and the route's deadline; ``due_s`` is earlier by the time reserved for
    returning the response. ``times_sent`` counts the attempts that reached a target,
    ``possible_runs`` those that may have run the request, and ``is_sent`` is set while
    an attempt that was sent has no outcome. ``resting_ms`` is how long
    every target still rests, ``limited_ms`` for how long each is at the limit that it
    named, if that is why none was chosen; ``room_ms`` is the time until an engine has
    room for it, if that is why it is refused. ``software`` is the only
    version of the targets' software at which a stream may go on, once it has begun.
    ``parts`` names the parts of the prompt that others may share; ``refused_ms`` is for
    how long it is refused because targets crash on one of them or on the request
    itself, unless it is sent as their trial. ``unreached`` counts the targets to which
    no connection could be opened, ``reached`` names those that got the request, and
    ``is_unreached`` is set if no way to any is left. ``detours`` counts the attempts
    through other instances; one that another instance passed on (``is_passed_on``)
    makes none. ``answered_by`` is the software that answered, ``departed_ms`` when the
    lifetime of its target began if the answer says that it leaves. ``retry_held`` says
    what kept a further attempt back, or is empty; ``retry_reserved`` is set while an
    attempt that may become a retry holds a part of the budget. ``connections`` are
    those that the request was about to be written to, in order. ``lane`` says to which
    software version a rollout has given the request, and ``is_canary`` is set while it
    may go only to targets of the new one, and to others if those cannot take it.
    """

    def __init__(
        self,
        request: messages.Request,
        call: calls.Call,
        route: catalogue.Route,
        account: catalogue.Account | None,
        service: str,
        margin_s: float,
    ) -> None:
        self.request = request
        self.call = call
        self.route = route
        self.account = account
        self.service = service
        self.deadline_s = request.received_s + route.timeout_ms / 1_000
        if call.deadline_ms is not None:
            caller_s = request.received_s + call.deadline_ms / 1_000
            self.deadline_s = min(self.deadline_s, caller_s)
        self.due_s = self.deadline_s - margin_s
        self.tried: set[str] = set()
        self.tries: list[str] = []
        self.times_sent = 0
        self.possible_runs = 0
        self.is_sent = False
        self.last_event = call.last_event
        self.failure: messages.Response | None = None
        self.first_byte_s: float | None = None
        self.reason = ""
        self.choice_summary = ""
        self.resting_ms: float | None = None
        self.limited_ms: float | None = None
        self.room_ms: float | None = None
        self.software: str | None = None
        self.refused_ms: float | None = None
        self.is_trial = False
        self.unreached = 0
        self.reached: set[str] = set()
        self.is_unreached = False
        self.detours = 0
        self.is_passed_on = False
        self.answered_by = ""
        self.departed_ms: int | None = None
        self.retry_held = ""
        self.retry_reserved = False
        self.connections: list[Connection] = []
        self.lane: str | None = None
        self.is_canary = False
        self.parts = crashes.shared_parts(call)

    @functools.cached_property
    def name(self) -> str:
        """Return the name that each repetition of the request has as well."""
        caller = self.account_name or self.call.api_key or ""
        return crashes.request_name(self.request, self.route.host, caller, self.call)

    @functools.cached_property
    def suspects(self) -> tuple[str, ...]:
        """Return what a target may crash on: the request itself and the parts."""
        return (self.name, *self.parts)

    @property
    def prompt_hash(self) -> int:
        """Return a hash that repetitions of the prompt, or of a plain call, share."""
        if self.call.parts:
            return crashes.prompt_hash(self.call)
        return hashing.name_hash(self.name)

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is a series of events."""
        return self.route.kind is catalogue.Kind.STREAM

    @property
    def model(self) -> str:
        """Return the requested model, or an empty text for plain services."""
        return self.call.model

    @property
    def account_name(self) -> str:
        """Return the name of the request's account, or an empty text without one."""
        return self.account.name if self.account is not None else ""

    @property
    def priority(self) -> int:
        """Return the priority of the request; an account's overrides its route's."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    def left_ms(self, now_s: float) -> float:
        """Return the time left until the response is due."""
        return (self.due_s - now_s) * 1_000

    def spent_ms(self, at_s: float | None) -> int | None:
        """Return the time from the caller's header to a point in time, or None."""
        if at_s is None:
            return None
        return round((at_s - self.request.received_s) * 1_000)

    def record_connection(self, address: object, number: int) -> None:
        """Record the connection on which the request is about to be written."""
        self.connections.append(Connection(str(address), number))

    def record_outcome(self, target: str, outcome: Outcome) -> None:
        """Record the outcome of an attempt at a target."""
        name = type(outcome).__name__.lower()
        self.is_sent = False
        self.tries.append(f"{target}:{name}")
        self.tried.add(target)
        if not isinstance(outcome, NotSent):
            self.reached.add(target)
        elif outcome.at_fault:
            self.unreached += 1
        if isinstance(outcome, Failure | Lost):
            self.possible_runs += 1
        if isinstance(outcome, Failure):
            self.failure = outcome.response
        elif not isinstance(outcome, Answered | Opened):
            self.reason = outcome.reason

    @property
    def may_have_run(self) -> bool:
        """Return whether a target may have run the request, or may be running it."""
        return self.is_sent or self.possible_runs > 0

    def may_attempt(self, now_s: float) -> bool:
        """Return whether another attempt is allowed, apart from the retry budget."""
        if len(self.tries) >= MAX_TRIES or self.left_ms(now_s) < MIN_LEFT_MS:
            return False
        return not self.possible_runs or self.may_repeat(0)

    def may_repeat(self, under_way: int = 1) -> bool:
        """Return whether it may run again after the attempts that are under way."""
        runs = self.possible_runs + under_way
        return self.route.repeatable and runs < self.route.attempts

    def refusal(self, now_s: float) -> refusals.NamedRefusal:
        """Return the refusal that tells the caller whether its request may have run."""
        if self.possible_runs:
            if self.left_ms(now_s) < MIN_LEFT_MS:
                return refusals.timed_out()
            return refusals.outcome_unknown(self.reason)
        if self.left_ms(now_s) < MIN_LEFT_MS:
            return refusals.overdue()
        if self.refused_ms is not None:
            return refusals.quarantined(self.refused_ms)
        if self.resting_ms is not None:
            return refusals.targets_resting(self.resting_ms)
        if self.limited_ms is not None:
            return refusals.targets_limited(self.limited_ms)
        if self.room_ms is not None:
            return refusals.no_target(refusals.room_retry_ms(self.room_ms))
        if self.is_unreached:
            return refusals.targets_unreached()
        if self.software is not None:
            return refusals.no_version()
        return refusals.no_target()
