"""What checks share: the bounds, violations, and lookups in what was observed."""

import re
import typing

from standins import requestlog
from tools.soak import callers, environment as environment_module

CONTACT_S = 3.0
DRAIN_S = 2.0
SLACK_S = 0.25  # delay between sending and recording on a busy machine
RESTARTS = frozenset(("kill", "term", "pause", "late-body"))


class Violation(typing.NamedTuple):
    """A violated guarantee; ``request_id`` is empty if no request is involved."""

    guarantee: str
    request_id: str
    text: str

    def __str__(self) -> str:
        return f"{self.guarantee}: {self.text} ({self.request_id or 'no request'})"


Violations = typing.Iterator[Violation]


EdgeOf = typing.Callable[[requestlog.Arrival | requestlog.Notice], str]


class CheckContext:
    """The environment, with lookups that several checks share."""

    def __init__(self, environment: environment_module.Environment) -> None:
        self.environment = environment
        self.runs = environment.ledger.runs()
        self.requests = {one.request_id: one for one in environment.requests}

    def disturbances_of(
        self, subject: str, start_s: float, end_s: float
    ) -> list[environment_module.Disturbance]:
        """Return the disturbances of a subject that overlap a time interval."""
        return [
            one
            for one in self.environment.disturbances
            if one.subject == subject and one.start_s <= end_s and one.end_s >= start_s
        ]

    def has_contact(self, edge: str, at_s: float) -> bool:
        """Return whether the instance and the store were recently undisturbed."""
        since_s = at_s - CONTACT_S
        return not any(
            self.disturbances_of(subject, since_s, at_s) for subject in (edge, "store")
        )

    def is_calm(
        self, request: callers.SentRequest, engines: typing.Iterable[str]
    ) -> bool:
        """Return whether a request met no disturbance of its instance and engines.

        Prompts are refused while no engine has loaded the weights named long before.
        """
        start_s = request.sent_s - CONTACT_S
        if request.kind.model and not self.has_loaded(start_s):
            return False
        return self.has_contact(request.edge, request.sent_s) and not any(
            self.disturbances_of(name, start_s, request.ended_s) for name in engines
        )

    def has_loaded(self, at_s: float) -> bool:
        """Return whether an engine had loaded the newest weights named by a time."""
        newest: dict[str, int] = {}
        for one in self.environment.changes:
            if one.at_s <= at_s:
                newest[one.kind] = max(one.value, newest.get(one.kind, 0))
        return newest.get("load", 0) >= newest.get("version", 0)

    def caller_edge(self, one: requestlog.Arrival | requestlog.Notice) -> str:
        """Return the instance that got a request from its caller."""
        return one.request_id.partition("-")[0]

    def sender(self, one: requestlog.Arrival | requestlog.Notice) -> str:
        """Return the instance that sent a request to an engine, by the log.

        A request may have passed through another instance than its caller's.
        """
        edge = self.caller_edge(one)
        passed_on = re.compile(rf"(\w+)>{one.engine}:")
        process = self.environment.edges.get(edge)
        for line in process.log_lines_for(one.request_id) if process else ():
            if found := passed_on.search(line):
                return found[1]
        return edge

    def arrivals_after(
        self,
        notice: requestlog.Notice,
        after_s: float = 0.0,
        until_s: float = float("inf"),
        edge_of: EdgeOf | None = None,
    ) -> typing.Iterator[requestlog.Arrival]:
        """Yield later arrivals from the instance that got a notice, in its lifetime.

        Those of an instance that was stopped or paused since are left out.
        """
        edge_of = edge_of or self.caller_edge
        edge = edge_of(notice)
        for one in self.environment.ledger.arrivals:
            if (
                notice.at_s + after_s < one.at_s < until_s
                and (one.engine, one.born) == (notice.engine, notice.born)
                and not one.misdirected
                and edge_of(one) == edge
                and not any(
                    found.kind in RESTARTS
                    for found in self.disturbances_of(edge, notice.at_s, one.at_s)
                )
            ):
                yield one
