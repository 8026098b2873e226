"""Checks of recorded histories; each returns the violations that it finds."""

import typing


class HoldInterval(typing.NamedTuple):
    """An interval in which a host believed that it held a lease, in simulated time."""

    host: str
    fence: int
    from_ms: float
    to_ms: float


class Order(typing.NamedTuple):
    """An order received by a target."""

    host: str
    fence: int
    at_ms: float


class AppliedChange(typing.NamedTuple):
    """A version of a key that one process has applied."""

    process: str
    key: str
    version: int
    at_ms: float


class CaughtUp(typing.NamedTuple):
    """A revision up to which one process has received all changes."""

    process: str
    revision: int
    at_ms: float


class Accepted(typing.NamedTuple):
    """A change that the platform accepted."""

    key: str
    version: int
    at_ms: float


def overlaps(intervals):
    """Return pairs of intervals in which two hosts held the lease at the same time."""
    ordered = sorted(intervals, key=lambda interval: interval.from_ms)
    return [
        (first, second)
        for first, second in zip(ordered, ordered[1:], strict=False)
        if second.from_ms < first.to_ms and second.host != first.host
    ]


def reused_fences(intervals):
    """Return pairs of intervals whose fence decreased or was reused by another host."""
    ordered = sorted(intervals, key=lambda interval: interval.from_ms)
    return [
        (first, second)
        for first, second in zip(ordered, ordered[1:], strict=False)
        if second.fence < first.fence
        or (second.fence == first.fence and second.host != first.host)
    ]


def late_orders(orders):
    """Return orders that a target accepted after one with a newer fence."""
    newest, violations = 0, []
    for order in orders:
        if order.fence < newest:
            violations.append(order)
        newest = max(newest, order.fence)
    return violations


def regressions(changes):
    """Return the changes by which a process did not move to a newer version."""
    versions, violations = {}, []
    for change in changes:
        process_key = (change.process, change.key)
        if change.version <= versions.get(process_key, 0):
            violations.append(change)
        versions[process_key] = change.version
    return violations


def overdue(accepted, changes, caught_up, processes, bound_ms):
    """Return changes that a process had not applied within ``bound_ms``.

    A later version of the same key also counts, and so does a ``CaughtUp`` revision at
    or after the change: a key that was created and deleted in between is never applied.
    """
    at_ms = {}
    for change in changes:
        at_ms.setdefault((change.process, change.key), []).append(change[2:])
    for reached in caught_up:
        at_ms.setdefault((reached.process, None), []).append(reached[1:])
    violations = []
    for change in accepted:
        for process in processes:
            times = [
                reached_ms
                for key in (change.key, None)
                for version, reached_ms in at_ms.get((process, key), ())
                if version >= change.version
            ]
            if not times or min(times) > change.at_ms + bound_ms:
                violations.append((change, process, min(times, default=None)))
    return violations
