"""The log lines and counters of requests and of their attempts::

log.attempt_failed(request_state, "engine-1", outcome)
log.ended(request_state, "answered", 200)
"""

import asyncio
import typing

from cornelreach.gateway import eventstream, mirror as mirror_module, requeststate
from cornelreach.reports import metrics as metrics_module
from cornelreach.util import events, timers

ENDED = events.define(
    2401,
    "INFO",
    "Request {id} on {route}: {outcome}, status {status}, tries {tries}.",
    "Search the log for the identifier; see docs/OPERATIONS.md.",
)
ATTEMPT_ENDED = events.define(
    2402,
    "INFO",
    "Request {id} at {target}: {outcome} ({reason}).",
    "If there are many for one target: check it.",
)
ANSWER_SKIPPED = events.define(
    2403,
    "INFO",
    "Skipped an answer of {address} to another request: status {status}, names {names},"
    " says 'not run': {not_run}.",
    "If there are many for one target: check it.",
)


class RequestLog:
    """Writes one line for each request, and one for each attempt that failed."""

    def __init__(
        self,
        mirror: mirror_module.Mirror,
        metrics: metrics_module.Metrics,
        clock: timers.Timers,
    ) -> None:
        self.mirror = mirror
        self.metrics = metrics
        self.clock = clock

    def attempt_failed(
        self,
        request_state: requeststate.RequestState,
        target: str,
        outcome: requeststate.Outcome,
    ) -> None:
        """Log an attempt without a usable answer, and what was lost with it."""
        reason = getattr(outcome, "reason", "")
        if isinstance(outcome, requeststate.Failure):
            reason = f"status {outcome.response.status}"
        fields: dict[str, str] = {}
        if request_state.connections:
            fields["connection"] = str(request_state.connections[-1])
        if isinstance(outcome, requeststate.Lost):
            fields["progress"] = outcome.progress.value
            fields["request"] = request_state.name
            fields["parts"] = ",".join(one.key for one in request_state.call.parts)
            self.metrics.add(
                "answers_lost_total", 1, request_state.service, outcome.progress.value
            )
        events.emit(
            ATTEMPT_ENDED,
            id=request_state.call.request_id,
            target=target,
            outcome=type(outcome).__name__.lower(),
            reason=reason,
            **fields,
        )

    def answer_skipped(
        self, address: str, status: int, names: str | None, not_run: bool
    ) -> None:
        """Log an answer that was taken for one to another request."""
        claim = "not run" if not_run else "other"
        self.metrics.add("answers_skipped_total", 1, claim)
        events.emit(
            ANSWER_SKIPPED,
            address=address,
            status=status,
            names=names or "none",
            not_run="yes" if not_run else "no",
        )

    def stream_ended(
        self,
        request_state: requeststate.RequestState,
        outcome: str,
        framing: str,
        splitter: eventstream.EventSplitter,
    ) -> None:
        """Log the end of a stream, with its framing and its last event."""
        open_bytes = len(splitter.remainder())
        is_open = "yes" if open_bytes else "no"
        self.metrics.add("streams_total", 1, outcome, framing, is_open)
        self.ended(
            request_state,
            outcome,
            200,
            framing=framing,
            last_event=splitter.last_id,
            open_event_bytes=open_bytes,
        )

    def ended(
        self,
        request_state: requeststate.RequestState | None,
        outcome: str,
        status: int,
        request_id: str = "",
        **stream_fields: object,
    ) -> None:
        """Log the end of a request; one that was not admitted has no state."""
        self.metrics.add("requests_total", 1, outcome, str(status))
        fields: dict[str, typing.Any] = {"route": "-", "tries": ""}
        if request_state is not None:
            request_id = request_state.call.request_id
            fields = self._request_fields(request_state)
        now_ms = self.clock.now_ms()
        catalogue = self.mirror.catalogue
        events.emit(
            ENDED,
            id=request_id,
            outcome=outcome,
            status=status,
            config=catalogue.version if catalogue else 0,
            proof_age_ms=round(min(1e9, self.mirror.proof_age_ms(now_ms))),
            **fields,
            **stream_fields,
        )

    def _request_fields(
        self, request_state: requeststate.RequestState
    ) -> dict[str, typing.Any]:
        first_ms = request_state.spent_ms(request_state.first_byte_s)
        if first_ms is not None:
            self.metrics.observe(
                "first_byte_ms", first_ms, route=request_state.route.name
            )
        fields = {
            "route": request_state.route.name,
            "tries": " ".join(request_state.tries),
            "service": request_state.service,
            "chosen": request_state.choice_summary,
            "connections": " ".join(map(str, request_state.connections)),
            "prompt_tokens": request_state.call.prompt_tokens,
            "first_ms": first_ms,
            "total_ms": request_state.spent_ms(asyncio.get_running_loop().time()),
        }
        used = request_state.connections
        if repeated := len(used) - len(set(used)):
            self.metrics.add(
                "tries_on_one_connection_total", repeated, request_state.service
            )
        if held := request_state.retry_held:
            fields["retry_held"] = held
            self.metrics.add("retries_held_total", 1, request_state.service, held)
        if request_state.call.last_event is not None:
            fields["resumes"] = request_state.call.resumes
            fields["after_event"] = request_state.call.last_event
        return fields
