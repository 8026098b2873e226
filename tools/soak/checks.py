"""The promises of the users' pages, checked from what callers and engines saw.

Each check takes the world and yields violations. Bounds are those of the settings that
the instances run with; a moment's slack stands for the way between the processes, since
times are taken at the callers and engines, not at the store.
"""

import collections
import typing

from tools.soak import world as world_module

CONTACT_S = 3.0
DRAIN_S = 2.0
CONFIG_S = 2.0
REVOKE_S = 5.0
VERSION_S = 8.0
EVACUATE_S = 5.0
LEASE_S = 3.0
SLACK_S = 0.25  # busy processes on one machine, between a send and its note
COLD_BOUND = world_module.COLD_PER_S * 1.5 + 5
RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S = 0.2, 56, 10.0
LEAST_SERVED = 0.25
PROMISES = frozenset((408, 421, 429, 503))
STOP_KINDS = frozenset(("term",))


class Violation(typing.NamedTuple):
    """A broken promise; ``request_id`` is empty where none is concerned."""

    promise: str
    request_id: str
    text: str

    def __str__(self) -> str:
        return f"{self.promise}: {self.text} ({self.request_id or 'no request'})"


Found = typing.Iterator[Violation]


class View:
    """The world with what several checks look up."""

    def __init__(self, world: world_module.World) -> None:
        self.world = world
        self.runs = world.ledger.runs()
        self.attempts = {one.request_id: one for one in world.attempts}

    def disturbed(
        self, subject: str, start_s: float, end_s: float
    ) -> list[world_module.Disturbed]:
        """Return the disturbances of a subject that touch a span of time."""
        return [
            one
            for one in self.world.disturbed
            if one.subject == subject and one.start_s <= end_s and one.end_s >= start_s
        ]

    def in_touch(self, edge: str, at_s: float) -> bool:
        """Return whether neither an instance nor the store was disturbed lately."""
        since_s = at_s - CONTACT_S
        return not any(
            self.disturbed(subject, since_s, at_s) for subject in (edge, "store")
        )

    def sound(self, engine: str, at_s: float) -> bool:
        """Return whether an engine and the way to it were undisturbed lately."""
        return not self.disturbed(engine, at_s - CONTACT_S, at_s)


def once(view: View) -> Found:
    """A request that may not be repeated runs at most once."""
    for attempt in view.world.attempts:
        runs = view.runs.get(attempt.request_id, ())
        if attempt.kind.once and len(runs) > 1:
            where = ", ".join(one.engine for one in runs)
            yield Violation("once", attempt.request_id, f"ran at {where}")


def true_refusals(view: View) -> Found:
    """A status that promises "not run" is true for ever."""
    for attempt in view.world.attempts:
        runs = view.runs.get(attempt.request_id)
        if attempt.kind.once and attempt.status in PROMISES and runs:
            text = f"answered {attempt.status}, ran at {runs[0].engine}"
            yield Violation("true refusals", attempt.request_id, text)


def whole_answers(view: View) -> Found:
    """Each success is the engine's whole answer to this request."""
    for attempt in view.world.attempts:
        if attempt.fault:
            yield Violation("whole answers", attempt.request_id, attempt.fault)


def asked_for(view: View) -> Found:
    """Only requests that a caller sent run, under its account and without its key."""
    for request_id in view.world.ledger.leaked_keys:
        yield Violation("asked for", request_id, "the key was passed on")
    for request_id, runs in view.runs.items():
        edge = request_id.partition("-")[0]
        if edge not in view.world.edges:
            text = f"nobody sent {runs[0].line!r} to {runs[0].engine}"
            yield Violation("asked for", request_id, text)
        if any(one.account != "tirnica" for one in runs):
            yield Violation("asked for", request_id, f"account {runs[0].account!r}")


def revoked_keys(view: View) -> Found:
    """No request runs whose key was taken away longer ago than the bound."""
    revoked = {
        one.subject: one.at_s for one in view.world.changes if one.kind == "revoke"
    }
    for attempt in view.world.attempts:
        at_s = revoked.get(attempt.key)
        if at_s is None or attempt.request_id not in view.runs:
            continue
        late_s = attempt.sent_s - at_s - REVOKE_S
        if late_s > 0:
            text = f"sent {late_s:.2f} s after the bound"
            yield Violation("revoked keys", attempt.request_id, text)


def known_config(view: View) -> Found:
    """An instance in touch refuses no key or route of the configuration in force."""
    revoked = {one.subject for one in view.world.changes if one.kind == "revoke"}
    for attempt in view.world.attempts:
        if attempt.status in (401, 403, 404) and attempt.key not in revoked:
            text = f"answered {attempt.status}"
            yield Violation("known config", attempt.request_id, text)


def draining(view: View) -> Found:
    """Nothing is sent to an engine past the bound after it said that it leaves."""
    for change in view.world.changes:
        if change.kind != "drain":
            continue
        due_s = change.at_s + DRAIN_S + SLACK_S
        until_s = change.at_s + world_module.LEAVE_S
        for one in view.world.ledger.arrivals:
            if one.engine != change.subject or not due_s < one.at_s < until_s:
                continue
            edge = one.request_id.partition("-")[0]
            if not one.refused and view.in_touch(edge, one.at_s):
                late_s = one.at_s - change.at_s
                text = f"reached {one.engine} {late_s:.2f} s after"
                yield Violation("draining", one.request_id, text)


def cold_engines(view: View) -> Found:
    """All instances together hold the rate of a cold engine."""
    windows: dict[str, collections.deque[float]] = collections.defaultdict(
        collections.deque
    )
    for one in view.world.ledger.arrivals:
        if not one.cold:
            continue
        window = windows[one.engine]
        window.append(one.at_s)
        while window[0] <= one.at_s - 1.0:
            window.popleft()
        if len(window) > COLD_BOUND:
            text = f"{len(window)} in a second at {one.engine}"
            yield Violation("cold engines", one.request_id, text)
            window.clear()


def evacuated(view: View) -> Found:
    """Nothing is sent into an evacuated data centre past the bound."""
    changes = view.world.changes
    for change in changes:
        if change.kind != "evacuate":
            continue
        ends = [
            one.at_s
            for one in changes
            if one.kind == "return"
            and one.subject == change.subject
            and one.at_s > change.at_s
        ]
        until_s = min(ends, default=float("inf"))
        for one in view.world.ledger.arrivals:
            late = change.at_s + EVACUATE_S + SLACK_S < one.at_s < until_s
            if not late or view.world.zones[one.engine] != change.subject:
                continue
            edge = one.request_id.partition("-")[0]
            if not one.refused and view.in_touch(edge, one.at_s):
                yield Violation("evacuated", one.request_id, f"reached {one.engine}")


def versions(view: View) -> Found:
    """An instance in touch sends nothing to old weights past the bound."""
    named = [one for one in view.world.changes if one.kind == "version"]
    for one in view.world.ledger.arrivals:
        if one.refused or view.world.engines[one.engine].service != world_module.POOL:
            continue
        due = [c.value for c in named if c.at_s + VERSION_S + SLACK_S < one.at_s]
        edge = one.request_id.partition("-")[0]
        calm = view.in_touch(edge, one.at_s) and not any(
            view.disturbed(other, one.at_s - VERSION_S, one.at_s)
            for other in ("store", one.engine)
        )
        if due and one.version < max(due) and calm:
            text = f"ran on {one.version} of {max(due)} at {one.engine}"
            yield Violation("versions", one.request_id, text)


def one_holder(view: View) -> Found:
    """Orders to one lifetime of an engine come from one holder at a time."""
    last: dict[tuple[str, int], typing.Any] = {}
    fences: dict[tuple[str, int, int], str] = {}
    for one in view.world.ledger.orders:
        before = last.get((one.engine, one.born))
        last[one.engine, one.born] = one
        holder = fences.setdefault((one.engine, one.born, one.fence), one.holder)
        if holder != one.holder:
            yield Violation("one holder", "", f"{holder}, {one.holder}: {one.fence}")
        if before is None or before.holder == one.holder:
            continue
        if one.fence < before.fence or one.at_s - before.at_s < LEASE_S:
            text = f"{before.holder} then {one.holder} at {one.engine}"
            yield Violation("one holder", "", text)


def repeats(view: View) -> Found:
    """Arrivals beyond the first of each request stay within the shared budget."""
    seen: set[str] = set()
    firsts: dict[str, list[float]] = collections.defaultdict(list)
    again: dict[str, list[float]] = collections.defaultdict(list)
    for one in view.world.ledger.arrivals:
        service = view.world.engines[one.engine].service
        times = again if one.request_id in seen else firsts
        seen.add(one.request_id)
        times[service].append(one.at_s)
    for service, times in again.items():
        for index, at_s in enumerate(times):
            start_s = at_s - RETRY_WINDOW_S
            count = sum(start_s < other <= at_s for other in times[: index + 1])
            asked = sum(start_s - RETRY_WINDOW_S < t <= at_s for t in firsts[service])
            if count > RETRY_RATIO * asked + RETRY_SLACK:
                yield Violation("repeats", "", f"{count} repeats at {service}")
                return


def stops(view: View) -> Found:
    """A request taken before a stop is answered whole."""
    for attempt in view.world.attempts:
        if attempt.whole or attempt.status == -1:
            continue
        start_s, end_s = attempt.sent_s - CONTACT_S, attempt.ended_s + 0.1
        around = view.disturbed(attempt.edge, start_s, end_s)
        runs = view.runs.get(attempt.request_id, ())
        planned = around and all(one.kind in STOP_KINDS for one in around)
        sound = all(view.sound(one.engine, one.at_s) for one in runs)
        if planned and runs and sound and not view.disturbed("store", start_s, end_s):
            yield Violation("stops", attempt.request_id, "no whole answer")


def recovery(view: View) -> Found:
    """Once all faults have ended, callers are served again."""
    end_s = max((one.end_s for one in view.world.disturbed), default=0.0)
    revoked = {one.subject for one in view.world.changes if one.kind == "revoke"}
    later = [
        one
        for one in view.world.attempts
        if one.sent_s > end_s + world_module.RECOVERY_S and one.key not in revoked
    ]
    served = sum(one.status == 200 and one.whole for one in later)
    if not later or served < LEAST_SERVED * len(later):
        yield Violation("recovery", "", f"{served} of {len(later)} served at the end")


def alive(view: View) -> Found:
    """No process ends by itself."""
    for edge in view.world.edges.values():
        code = edge.process.returncode
        ended = any(one.subject == edge.name for one in view.world.disturbed)
        if code not in (None, 0) and not ended:
            yield Violation("alive", "", f"{edge.name} ended with {code}")


CHECKS = (
    once,
    true_refusals,
    whole_answers,
    asked_for,
    revoked_keys,
    known_config,
    draining,
    cold_engines,
    evacuated,
    versions,
    one_holder,
    repeats,
    stops,
    recovery,
    alive,
)


def broken(world: world_module.World, ended: bool = True) -> list[Violation]:
    """Return all violations so far; ``ended`` adds what shows only at the end."""
    view = View(world)
    checks = [one for one in CHECKS if ended or one not in (recovery, alive)]
    return [violation for check in checks for violation in check(view)]
