"""Placement plans, their explanation, and their encoding in a permit."""

import enum
import typing

import msgspec

from cornelreach.util import decoding, events

PLACED = events.define(
    1501,
    "DEBUG",
    "Placed run {run} on {target} ({action}, {estimated_ms:.0f} ms): {candidates}",
    "Nothing.",
)


class Action(enum.StrEnum):
    """How the pieces of a prompt get to the target of its run."""

    IN_PLACE = "in_place"
    BRING_IN = "bring_in"
    RECOMPUTE = "recompute"


class Cost(typing.NamedTuple):
    """The cost estimate of running a prompt on one candidate target.

    ``total_ms`` is the weighted sum by which candidates are compared. ``held`` counts
    the leading pieces that the target holds or another run is computing there,
    ``brought`` those to import from ``source``, which is empty if there are none.
    ``after`` is the run to wait for, as in ``Plan``.
    """

    target: str
    total_ms: float
    wait_ms: float
    transfer_ms: float
    prefill_ms: float
    held: int
    brought: int
    source: str
    after: str
    recompute_tokens: int
    saved_ms: float = 0.0

    @property
    def first_token_ms(self) -> float:
        """Return the estimated time to first token, without the weight on prefill."""
        return max(self.wait_ms, self.transfer_ms) + self.prefill_ms


class Plan(typing.NamedTuple):
    """The target of a prompt, the transfer that precedes the run, and all estimates.

    ``bring`` holds the keys to import from ``source``, in the form that the request
    gave them. If the import takes longer than ``transfer_limit_ms``, the run starts
    without it. ``after`` is a run on the same target whose first token is awaited for
    at most ``after_limit_ms``, or empty.
    """

    target: str
    action: Action
    source: str
    bring: tuple[str, ...]
    bring_bytes: int
    transfer_limit_ms: float
    after: str
    after_limit_ms: float
    cost: Cost
    costs: tuple[Cost, ...]


class Steps(typing.NamedTuple):
    """What the sender does before it starts a run; part of the permit.

    It lets the target import pieces ``start`` to ``end`` (exclusive) of the prompt from
    ``source`` within ``limit_ms``; an empty ``source`` means that there is no import.
    It waits for the first token of the run ``after`` for at most ``after_limit_ms``.
    """

    source: str = ""
    start: int = 0
    end: int = 0
    limit_ms: float = 0.0
    after: str = ""
    after_limit_ms: float = 0.0


def encode(plan: Plan) -> str:
    """Return the steps of a plan as JSON for a permit, empty if there are none."""
    if not plan.source and not plan.after:
        return ""
    end = plan.cost.held + plan.cost.brought
    start = end - len(plan.bring)
    steps = Steps(
        source=plan.source,
        start=start if plan.source else 0,
        end=end if plan.source else 0,
        limit_ms=round(plan.transfer_limit_ms),
        after=plan.after,
        after_limit_ms=round(plan.after_limit_ms),
    )
    return msgspec.json.encode(steps).decode()


def decode(text: str) -> Steps:
    """Return the steps in a permit, or empty steps if the text cannot be decoded."""
    if not text:
        return Steps()
    try:
        return msgspec.json.decode(text, type=Steps)
    except decoding.DECODE_ERRORS:
        return Steps()


def explain(plan: Plan) -> list[dict[str, typing.Any]]:
    """Return the costs of all candidates as dictionaries, cheapest first."""
    ordered = sorted(plan.costs, key=lambda cost: cost.total_ms)
    return [cost._asdict() for cost in ordered]


class _CostSummary(typing.NamedTuple):
    """The costs of all candidates, formatted only if the log line is written."""

    plan: Plan

    def __str__(self) -> str:
        return ", ".join(
            f"{cost.target} {cost.total_ms:.0f} ms (wait {cost.wait_ms:.0f}, transfer "
            f"{cost.transfer_ms:.0f}, prefill {cost.prefill_ms:.0f}, held {cost.held})"
            for cost in self.plan.costs
        )


def log(run: str, plan: Plan) -> None:
    """Log a placement with the costs of its candidates."""
    events.emit(
        PLACED,
        run=run,
        target=plan.target,
        action=plan.action.value,
        estimated_ms=plan.cost.first_token_ms,
        candidates=_CostSummary(plan),
    )
