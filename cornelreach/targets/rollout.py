"""Rollout of a weight version over the targets of a model, as a pure state machine.

The platform holds the ``Rollout``; the holder of its lease looks at the targets, asks
``decide`` and carries the answer out, the changed record first::

    decision = rollout.decide(record, views)
    if decision.record != record: ...      # conditional write, then look again
    for step in decision.steps: ...

Everything else follows from what the targets report, so another holder can go on from
the record at any point. At most ``MOST_LOADS`` targets load at once, over all pools,
and at most ``MOST_AWAY_SHARE`` of the warm targets of a pool are away from service. A
new request takes its version from ``version_for``, and goes only to targets that have
it loaded, so it never meets blocks of another version.
"""

import enum
import math
import typing

from cornelreach.util import hashing

MOST_LOADS = 2
MOST_AWAY_SHARE = 0.25
DRAIN_MS = 30_000
HASH_RANGE = 1 << 64


class Phase(enum.StrEnum):
    """Where a rollout stands."""

    FORWARD = "forward"
    BACK = "back"
    DONE = "done"
    RETURNED = "returned"


class Rollout(typing.NamedTuple):
    """The platform's record; ``new_share`` of the documents use ``version``.

    Targets in ``closed`` get no new calls from any instance.
    """

    model: str
    previous: str
    version: str
    phase: Phase = Phase.FORWARD
    new_share: float = 0.0
    reason: str = ""
    closed: tuple[str, ...] = ()

    @property
    def wanted(self) -> str:
        """Return the version that targets are brought to."""
        back = self.phase in (Phase.BACK, Phase.RETURNED)
        return self.previous if back else self.version


class View(typing.NamedTuple):
    """A target as the holder sees it.

    ``loaded`` is the version in the target's latest report. ``closed_for_ms`` is None
    while it takes new calls. ``loading`` tells of an order out and not converged,
    ``failed`` of one that ended in failure, ``troubled`` of an open breaker.
    """

    target: str
    pool: str
    loaded: str
    warm: bool
    running: int = 0
    closed_for_ms: float | None = None
    loading: bool = False
    failed: bool = False
    troubled: bool = False
    reachable: bool = True


class Close(typing.NamedTuple):
    """Give a target no new calls."""

    target: str


class Load(typing.NamedTuple):
    """Bring a target to a version."""

    target: str
    version: str


class Open(typing.NamedTuple):
    """Give a target new calls again."""

    target: str


Step = Close | Load | Open


class Decision(typing.NamedTuple):
    """The record as it should be, and what to do once it is so."""

    record: Rollout
    steps: tuple[Step, ...] = ()


def version_for(record: Rollout, root: str) -> str:
    """Return the version for a new request of a document.

    A document moves once as the share grows, the same on every instance.
    """
    place = hashing.score(record.model.encode(), root) / HASH_RANGE
    return record.version if place < record.new_share else record.previous


def decide(record: Rollout, views: typing.Sequence[View]) -> Decision:
    """Return the next record and steps for what the targets show."""
    if record.phase in (Phase.DONE, Phase.RETURNED):
        return Decision(record, tuple(_opened(record, views)))
    changed = _next_record(record, views)
    if changed != record:
        return Decision(changed)
    steps = [*_opened(record, views), *_loads(record, views), *_closed(record, views)]
    return Decision(record, tuple(steps))


def with_doors(record: Rollout, steps: typing.Iterable[Step]) -> Rollout:
    """Return the record with the closings and openings among some steps."""
    closed = set(record.closed)
    for step in steps:
        if isinstance(step, Close):
            closed.add(step.target)
        elif isinstance(step, Open):
            closed.discard(step.target)
    return record._replace(closed=tuple(sorted(closed)))


def _next_record(record: Rollout, views: typing.Sequence[View]) -> Rollout:
    trouble = _trouble(record, views)
    if record.phase is Phase.FORWARD and trouble:
        return record._replace(phase=Phase.BACK, new_share=0.0, reason=trouble)
    share = _new_share(record, views)
    settled = all(view.loaded == record.wanted for view in views if view.reachable)
    if not settled or not views:
        return record._replace(new_share=share)
    if record.phase is Phase.BACK:
        return record._replace(phase=Phase.RETURNED, new_share=0.0)
    if not all(view.reachable for view in views):
        return record._replace(new_share=share)
    return record._replace(phase=Phase.DONE, new_share=1.0)


def _trouble(record: Rollout, views: typing.Sequence[View]) -> str:
    for view in views:
        if view.failed:
            return f"target {view.target} did not load version {record.version}"
        if view.troubled and view.loaded == record.version:
            return f"target {view.target} fails with version {record.version}"
    return ""


def _new_share(record: Rollout, views: typing.Sequence[View]) -> float:
    """Return the share of the serving targets that have the new version.

    It is whole once one target of the old version is left, which can then go too.
    Every pool has to serve a document's version, so the pool with the least counts.
    Pools of a single target cannot; they count together, and a document goes to one of
    them that serves its version. The share never shrinks on the way forward while one
    of its targets is left.
    """
    if record.phase is Phase.BACK:
        return 0.0
    shares = [_pool_share(record, pool) for pool in _groups(views)]
    least = min(shares, default=0.0)
    return max(least, record.new_share) if least > 0 else 0.0


def _pool_share(record: Rollout, views: list[View]) -> float:
    serving = [one for one in views if _is_open(one) and _serves(record, one)]
    if not serving:
        return 0.0
    new = sum(one.loaded == record.version for one in serving)
    last_is_next = len(serving) - new <= 1 and new > 0
    return 1.0 if last_is_next else new / len(serving)


def _serves(record: Rollout, view: View) -> bool:
    """Return whether a target counts as serving.

    A cold one of the new version does, as it gets warm only by calls; the admission
    bounds what it gets.
    """
    return view.warm or view.loaded == record.version


def _opened(record: Rollout, views: typing.Sequence[View]) -> list[Step]:
    return [
        Open(view.target)
        for view in views
        if not _is_open(view) and view.loaded == record.wanted and not view.loading
    ]


def _loads(record: Rollout, views: typing.Sequence[View]) -> list[Step]:
    """Load on closed targets that are empty or have drained long enough."""
    room = MOST_LOADS - sum(view.loading for view in views)
    ready = [
        view
        for view in views
        if _is_due(record, view)
        and not _is_open(view)
        and (view.running == 0 or view.closed_for_ms >= DRAIN_MS)
    ]
    return [Load(view.target, record.wanted) for view in ready[: max(0, room)]]


def _closed(record: Rollout, views: typing.Sequence[View]) -> list[Step]:
    """Close as many targets as may load soon and their pools can spare."""
    under_way = sum(view.loading or not _is_open(view) for view in views)
    room = MOST_LOADS - under_way
    steps: list[Step] = []
    for pool in _groups(views):
        spare = _spare(record, pool)
        if _keeps_last(record, pool):
            due = sum(_is_due(record, view) and _is_open(view) for view in pool)
            spare = min(spare, due - 1)
        for view in pool:
            if spare > 0 and room > 0 and _is_due(record, view) and _is_open(view):
                steps.append(Close(view.target))
                spare -= 1
                room -= 1
    return steps


def _spare(record: Rollout, pool: list[View]) -> int:
    """Return how many more targets of a pool may go away; one of a single target.

    A cold target of the old version is no loss to the pool, so it does not count.
    """
    most = max(1, math.floor(len(pool) * MOST_AWAY_SHARE))
    warming = sum(not view.warm and view.loaded == record.wanted for view in pool)
    away = sum(not _is_open(view) or view.loading for view in pool)
    return most - away - warming


def _keeps_last(record: Rollout, pool: list[View]) -> bool:
    """Return whether documents still need a target of the old version here."""
    forward = record.phase is Phase.FORWARD
    return forward and record.new_share < 1.0 and len(pool) > 1


def _is_due(record: Rollout, view: View) -> bool:
    return view.reachable and not view.loading and view.loaded != record.wanted


def _is_open(view: View) -> bool:
    return view.closed_for_ms is None


def _groups(views: typing.Sequence[View]) -> list[list[View]]:
    """Return the targets that stand in for each other.

    Those are the targets of a pool. Pools of a single target cannot spare it, so they
    stand in for one another and form one group.
    """
    pools: dict[str, list[View]] = {}
    for view in views:
        pools.setdefault(view.pool, []).append(view)
    groups = [pool for pool in pools.values() if len(pool) > 1]
    alone = [view for pool in pools.values() if len(pool) == 1 for view in pool]
    return [*groups, alone] if alone else groups
