"""Rollout of a weight version over the targets of a model, as a pure state machine.

The platform stores the ``Rollout``. The holder of its lease observes the targets, calls
``decide`` and carries out the decision, writing a changed record first::

    decision = rollout.decide(record, views)
    if decision.record != record: ...      # conditional write, then observe again
    for step in decision.steps: ...

All other state comes from the targets' reports, so another holder can continue from the
record at any point. At most ``MAX_CONCURRENT_LOADS`` targets load at once, over all
pools, and at most ``MAX_UNAVAILABLE_SHARE`` of the warm targets of a pool are out of
service. A new request gets its version from ``version_for`` and goes only to targets
that have it loaded, so it never uses cached blocks of another version.
"""

import enum
import math
import typing

from cornelreach.util import hashing

MAX_CONCURRENT_LOADS = 2
MAX_UNAVAILABLE_SHARE = 0.25
DRAIN_MS = 30_000
HASH_RANGE = 1 << 64


class Phase(enum.StrEnum):
    """The phases of a rollout."""

    FORWARD = "forward"
    ROLLING_BACK = "back"
    DONE = "done"
    ROLLED_BACK = "returned"


class Rollout(typing.NamedTuple):
    """The record in the platform.

    The fraction ``new_share`` of the documents uses ``version``. Targets in ``closed``
    get no new calls from any instance.
    """

    model: str
    previous: str
    version: str
    phase: Phase = Phase.FORWARD
    new_share: float = 0.0
    reason: str = ""
    closed: tuple[str, ...] = ()

    @property
    def desired_version(self) -> str:
        """Return the version that targets should have."""
        rollback = self.phase in (Phase.ROLLING_BACK, Phase.ROLLED_BACK)
        return self.previous if rollback else self.version


class TargetView(typing.NamedTuple):
    """The state of a target as the lease holder sees it.

    ``loaded`` is the version in the target's latest report. ``closed_for_ms`` is None
    while the target takes new calls. ``loading`` is set while an order has not
    converged, and ``failed`` if it failed.
    """

    target: str
    pool: str
    loaded: str
    warm: bool
    running: int = 0
    closed_for_ms: float | None = None
    loading: bool = False
    failed: bool = False
    breaker_open: bool = False
    reachable: bool = True


class Close(typing.NamedTuple):
    """Step: stop new calls to a target."""

    target: str


class Load(typing.NamedTuple):
    """Step: load a version on a target."""

    target: str
    version: str


class Open(typing.NamedTuple):
    """Step: allow new calls to a target again."""

    target: str


Step = Close | Load | Open


class Decision(typing.NamedTuple):
    """The next record, and the steps to take if it equals the current one."""

    record: Rollout
    steps: tuple[Step, ...] = ()


def version_for(record: Rollout, root: str) -> str:
    """Return the version for a new request of a document.

    Every instance returns the same version, and a document changes version only once
    as the share grows.
    """
    position = hashing.score(record.model.encode(), root) / HASH_RANGE
    return record.version if position < record.new_share else record.previous


def decide(record: Rollout, views: typing.Sequence[TargetView]) -> Decision:
    """Return the next record and steps for the observed state of the targets."""
    if record.phase in (Phase.DONE, Phase.ROLLED_BACK):
        return Decision(record, tuple(_targets_to_open(record, views)))
    changed = _next_record(record, views)
    if changed != record:
        return Decision(changed)
    steps = [
        *_targets_to_open(record, views),
        *_targets_to_load(record, views),
        *_targets_to_close(record, views),
    ]
    return Decision(record, tuple(steps))


def with_closed_targets(record: Rollout, steps: typing.Iterable[Step]) -> Rollout:
    """Return the record with ``closed`` updated by the given steps."""
    closed = set(record.closed)
    for step in steps:
        if isinstance(step, Close):
            closed.add(step.target)
        elif isinstance(step, Open):
            closed.discard(step.target)
    return record._replace(closed=tuple(sorted(closed)))


def _next_record(record: Rollout, views: typing.Sequence[TargetView]) -> Rollout:
    reason = _failure_reason(record, views)
    if record.phase is Phase.FORWARD and reason:
        return record._replace(phase=Phase.ROLLING_BACK, new_share=0.0, reason=reason)
    share = _new_share(record, views)
    converged = all(
        view.loaded == record.desired_version for view in views if view.reachable
    )
    if not converged or not views:
        return record._replace(new_share=share)
    if record.phase is Phase.ROLLING_BACK:
        return record._replace(phase=Phase.ROLLED_BACK, new_share=0.0)
    if not all(view.reachable for view in views):
        return record._replace(new_share=share)
    return record._replace(phase=Phase.DONE, new_share=1.0)


def _failure_reason(record: Rollout, views: typing.Sequence[TargetView]) -> str:
    for view in views:
        if view.failed:
            return f"target {view.target} did not load version {record.version}"
        if view.breaker_open and view.loaded == record.version:
            return f"target {view.target} fails calls with version {record.version}"
    return ""


def _new_share(record: Rollout, views: typing.Sequence[TargetView]) -> float:
    """Return the share of the serving targets that have the new version.

    The share is 1.0 as soon as at most one target of the old version is left, so that
    this target can be updated as well. Every pool has to serve a document's version, so
    the smallest share of any pool is used. A pool of a single target can't serve both
    versions; such pools are counted as one group, and a document goes to one of them
    that serves its version. During a rollout forward the share never shrinks while a
    target with the new version serves.
    """
    if record.phase is Phase.ROLLING_BACK:
        return 0.0
    shares = [_pool_share(record, pool) for pool in _redundancy_groups(views)]
    least = min(shares, default=0.0)
    return max(least, record.new_share) if least > 0 else 0.0


def _pool_share(record: Rollout, views: list[TargetView]) -> float:
    serving = [
        one for one in views if _is_open(one) and _counts_as_serving(record, one)
    ]
    if not serving:
        return 0.0
    new = sum(one.loaded == record.version for one in serving)
    only_last_left = len(serving) - new <= 1 and new > 0
    return 1.0 if only_last_left else new / len(serving)


def _counts_as_serving(record: Rollout, view: TargetView) -> bool:
    """Return whether a target counts as serving.

    A cold target with the new version does, because only calls warm it up; admission
    limits its load meanwhile.
    """
    return view.warm or view.loaded == record.version


def _targets_to_open(record: Rollout, views: typing.Sequence[TargetView]) -> list[Step]:
    return [
        Open(view.target)
        for view in views
        if not _is_open(view)
        and view.loaded == record.desired_version
        and not view.loading
    ]


def _targets_to_load(record: Rollout, views: typing.Sequence[TargetView]) -> list[Step]:
    """Return loads for closed targets that are idle or closed for ``DRAIN_MS``."""
    available_loads = MAX_CONCURRENT_LOADS - sum(view.loading for view in views)
    ready = [
        view
        for view in views
        if _needs_load(record, view)
        and not _is_open(view)
        and (view.running == 0 or view.closed_for_ms >= DRAIN_MS)
    ]
    return [
        Load(view.target, record.desired_version)
        for view in ready[: max(0, available_loads)]
    ]


def _targets_to_close(
    record: Rollout, views: typing.Sequence[TargetView]
) -> list[Step]:
    """Return closings, within the limits on loads and on unavailable targets."""
    in_progress = sum(view.loading or not _is_open(view) for view in views)
    available_loads = MAX_CONCURRENT_LOADS - in_progress
    steps: list[Step] = []
    for pool in _redundancy_groups(views):
        budget = _unavailable_budget(record, pool)
        if _needs_previous_version(record, pool):
            pending = sum(_needs_load(record, view) and _is_open(view) for view in pool)
            budget = min(budget, pending - 1)
        for view in pool:
            if (
                budget > 0
                and available_loads > 0
                and _needs_load(record, view)
                and _is_open(view)
            ):
                steps.append(Close(view.target))
                budget -= 1
                available_loads -= 1
    return steps


def _unavailable_budget(record: Rollout, pool: list[TargetView]) -> int:
    """Return how many more targets of a pool may become unavailable.

    At least one target of a pool may be, even if it is the only one. A cold target of
    the old version does not count as unavailable, as the pool does not depend on it.
    """
    limit = max(1, math.floor(len(pool) * MAX_UNAVAILABLE_SHARE))
    warming = sum(
        not view.warm and view.loaded == record.desired_version for view in pool
    )
    unavailable = sum(not _is_open(view) or view.loading for view in pool)
    return limit - unavailable - warming


def _needs_previous_version(record: Rollout, pool: list[TargetView]) -> bool:
    """Return whether documents still need a target of the old version in a pool."""
    forward = record.phase is Phase.FORWARD
    return forward and record.new_share < 1.0 and len(pool) > 1


def _needs_load(record: Rollout, view: TargetView) -> bool:
    return view.reachable and not view.loading and view.loaded != record.desired_version


def _is_open(view: TargetView) -> bool:
    return view.closed_for_ms is None


def _redundancy_groups(views: typing.Sequence[TargetView]) -> list[list[TargetView]]:
    """Return groups of targets that can replace each other.

    Usually these are the targets of a pool. A pool of a single target has no spare one,
    so all such pools together form one group.
    """
    pools: dict[str, list[TargetView]] = {}
    for view in views:
        pools.setdefault(view.pool, []).append(view)
    groups = [pool for pool in pools.values() if len(pool) > 1]
    singles = [view for pool in pools.values() if len(pool) == 1 for view in pool]
    return [*groups, singles] if singles else groups
