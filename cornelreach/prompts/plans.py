"""Plans of placement, their explanation, and their text in a permit."""

import enum
import typing

import msgspec

from cornelreach.util import decoding, events

PLACED = events.define(
    1501,
    "DEBUG",
    "Placed run {run} at {target} ({action}, {estimated_ms:.0f} ms): {candidates}",
    "Nothing.",
)


class Action(enum.StrEnum):
    """What happens to the pieces before the run starts."""

    IN_PLACE = "in_place"
    BRING_IN = "bring_in"
    RECOMPUTE = "recompute"


class Cost(typing.NamedTuple):
    """The estimate of one candidate; ``source`` is empty where nothing is moved."""

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
        """Return the estimated time to first token."""
        return max(self.wait_ms, self.transfer_ms) + self.prefill_ms


class Plan(typing.NamedTuple):
    """Where a prompt runs, what is moved first, and why.

    ``bring`` are the keys to import from ``source``, as the request named them; if that
    takes longer than ``transfer_limit_ms`` the run starts without them. ``after`` is a
    run at the same target to wait for, at most ``after_limit_ms``, or empty.
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
    """What the sender of a run does first, as a permit carries it.

    Pieces ``start`` to ``end`` of the prompt are imported from ``source``, unless that
    takes longer than ``limit_ms``; empty where nothing is moved. The run waits for the
    first token of the run ``after``, at most ``after_limit_ms``.
    """

    source: str = ""
    start: int = 0
    end: int = 0
    limit_ms: float = 0.0
    after: str = ""
    after_limit_ms: float = 0.0


def encode(plan: Plan) -> str:
    """Return a plan's steps as the text of a permit, empty if there are none."""
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
    """Return the steps in a permit; a text that is not understood gives none."""
    if not text:
        return Steps()
    try:
        return msgspec.json.decode(text, type=Steps)
    except decoding.UNREADABLE:
        return Steps()


def explain(plan: Plan) -> list[dict[str, typing.Any]]:
    """Return the candidates of a choice and their costs, cheapest first."""
    ordered = sorted(plan.costs, key=lambda cost: cost.total_ms)
    return [cost._asdict() for cost in ordered]


class _Listed(typing.NamedTuple):
    """The costs of a choice; made into text only where the line is written."""

    plan: Plan

    def __str__(self) -> str:
        return ", ".join(
            f"{cost.target} {cost.total_ms:.0f} ms (wait {cost.wait_ms:.0f}, transfer "
            f"{cost.transfer_ms:.0f}, prefill {cost.prefill_ms:.0f}, held {cost.held})"
            for cost in self.plan.costs
        )


def log(run: str, plan: Plan) -> None:
    """Log a choice with its candidates and their costs."""
    events.emit(
        PLACED,
        run=run,
        target=plan.target,
        action=plan.action.value,
        estimated_ms=plan.cost.first_token_ms,
        candidates=_Listed(plan),
    )
