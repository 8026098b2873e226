"""Checks the documented guarantees against what callers and engines observed.

Each check takes a context and yields violations. The bounds are those in the settings
of the instances, plus a slack for the delay between processes, since the callers and
engines record the times, not the store.
"""

import collections
import typing

from standins import wireengine
from tools.soak import environment as environment_module

CONTACT_S = 3.0
DRAIN_S = 2.0
CONFIG_S = 2.0
REVOKE_S = 5.0
VERSION_S = 8.0
EVACUATE_S = 5.0
LEASE_S = 3.0
SLACK_S = 0.25  # delay between sending and recording on a busy machine
COLD_BOUND = environment_module.COLD_PER_S * 1.5 + 5
RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S = 0.2, 56, 10.0
MIN_SERVED_SHARE = 0.25
LINK_KINDS = frozenset(("cut", "store-silent", "store-deaf", "store-reset"))
SERVING_KINDS = frozenset(("garbled", "late-orders"))
MIN_TAKEN_UP = 12  # streams
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
STOP_KINDS = frozenset(("term",))
RESTARTS = frozenset(("kill", "term", "pause"))
REST_GRACE_S = 0.5
LIMIT_WINDOW_S = 4.0
LIMIT_SLACK = 5
LIMIT_GRACE_S = 0.5
MANY_CRASHES = 5
MAX_POISONED = 3
MIN_COMPARED = 20  # requests
MAX_DURING_REST = 2


class Violation(typing.NamedTuple):
    """A violated guarantee; ``request_id`` is empty if no request is involved."""

    guarantee: str
    request_id: str
    text: str

    def __str__(self) -> str:
        return f"{self.guarantee}: {self.text} ({self.request_id or 'no request'})"


Violations = typing.Iterator[Violation]


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

    def arrivals_after(
        self, notice: wireengine.Notice
    ) -> typing.Iterator[wireengine.Arrival]:
        """Yield later arrivals from the instance that got a notice, in its lifetime.

        Those of an instance that was stopped or paused since are left out.
        """
        edge = notice.request_id.partition("-")[0]
        for one in self.environment.ledger.arrivals:
            if (
                one.at_s > notice.at_s
                and (one.engine, one.born) == (notice.engine, notice.born)
                and one.request_id.partition("-")[0] == edge
                and not one.misdirected
                and not any(
                    found.kind in RESTARTS
                    for found in self.disturbances_of(edge, notice.at_s, one.at_s)
                )
            ):
                yield one


def runs_at_most_once(context: CheckContext) -> Violations:
    """A non-idempotent request runs at most once."""
    for request in context.environment.requests:
        runs = context.runs.get(request.request_id, ())
        if request.kind.at_most_once and len(runs) > 1:
            engines = ", ".join(one.engine for one in runs)
            yield Violation("once", request.request_id, f"ran at {engines}")


def not_run_statuses(context: CheckContext) -> Violations:
    """A request answered with a "not run" status never runs, not even later."""
    for request in context.environment.requests:
        runs = context.runs.get(request.request_id)
        if request.kind.at_most_once and request.status in NOT_RUN_STATUSES and runs:
            text = f"answered {request.status}, ran at {runs[0].engine}"
            yield Violation("true refusals", request.request_id, text)


def response_bodies(context: CheckContext) -> Violations:
    """Each successful response is the engine's complete response to this request."""
    for request in context.environment.requests:
        if request.body_error:
            yield Violation("whole answers", request.request_id, request.body_error)


def one_software_version(context: CheckContext) -> Violations:
    """A stream holds events of one software version, also over its caller's tries."""
    for request in context.environment.requests:
        first = context.requests.get(request.resumes)
        found = {*request.events, *(first.events if first else ())}
        if len(found) > 1:
            text = f"events of {', '.join(sorted(found))}"
            yield Violation("one software", request.request_id, text)


def streams_taken_up(context: CheckContext) -> Violations:
    """Streams taken up go on at half the rate at which new ones begin, or more.

    Counted are undisturbed instances, while all engines served, even if they broke
    answers off.
    """
    begun, taken_up = [], []
    for request in context.environment.requests:
        if request.kind.name != "resume" or request.status == -1:
            continue
        start_s = request.sent_s - CONTACT_S
        if not context.has_contact(request.edge, request.sent_s) or any(
            one.kind not in SERVING_KINDS
            for name in context.environment.engines
            for one in context.disturbances_of(name, start_s, request.ended_s)
        ):
            continue
        (taken_up if request.resumes else begun).append(bool(request.events))
    if len(taken_up) < MIN_TAKEN_UP or not begun:
        return
    share, wanted = sum(taken_up) / len(taken_up), sum(begun) / len(begun) / 2
    if share < wanted:
        text = f"{share:.2f} of {len(taken_up)} streams went on, not {wanted:.2f}"
        yield Violation("taken up", "", text)


def poisoned_prompts(context: CheckContext) -> Violations:
    """Few prompts with a part that crashed five engines reach engines later."""
    crashes: dict[str, list[float]] = collections.defaultdict(list)
    for crash in context.environment.ledger.crashes:
        crashes[crash.part].append(crash.at_s)
    for part, times_s in crashes.items():
        if len(times_s) < MANY_CRASHES:
            continue
        due_s = times_s[MANY_CRASHES - 1] + CONTACT_S + SLACK_S
        late = [
            one
            for one in context.environment.ledger.arrivals
            if part in one.parts[:-1]
            and one.at_s > due_s
            and context.has_contact(one.request_id.partition("-")[0], one.at_s)
        ]
        if len(late) > MAX_POISONED:
            text = f"{len(late)} prompts with {part}, which crashed {len(times_s)}"
            yield Violation("poisoned prompts", late[-1].request_id, text)


def sound_prompts(context: CheckContext) -> Violations:
    """Sound prompts begin at half of their usual rate or more beside poisoned ones.

    Counted are those that share their first part with the poisoned ones.
    """
    calm, beside = [], []
    first_parts = {one.parts[0] for one in context.environment.requests if one.poisoned}
    periods = list(_poisoned_periods(context))
    for request in context.environment.requests:
        if request.poisoned or request.resumes or not request.parts:
            continue
        if request.parts[0] not in first_parts:
            continue
        start_s = request.sent_s - CONTACT_S
        if not context.has_contact(request.edge, request.sent_s) or any(
            context.disturbances_of(name, start_s, request.ended_s)
            for name in context.environment.engines
        ):
            continue
        if any(start <= request.sent_s <= end for start, end in periods):
            beside.append(bool(request.events))
        elif not any(start_s <= end and start <= start_s for start, end in periods):
            calm.append(bool(request.events))
    if min(len(beside), len(calm)) < MIN_COMPARED:
        return
    share, wanted = sum(beside) / len(beside), sum(calm) / len(calm) / 2
    if share < wanted:
        text = f"{share:.2f} of {len(beside)} sound prompts began, not {wanted:.2f}"
        yield Violation("sound prompts", "", text)


def _poisoned_periods(context: CheckContext) -> typing.Iterator[tuple[float, float]]:
    """Yield the times in which poisoned prompts still come, long after they crashed."""
    environment = context.environment
    for change in environment.changes:
        if change.kind != "poison-end":
            continue
        times_s = [
            one.at_s for one in environment.ledger.crashes if one.part == change.subject
        ]
        if times_s:
            yield times_s[:MANY_CRASHES][-1] + 2 * CONTACT_S, change.at_s


def only_sent_requests(context: CheckContext) -> Violations:
    """Engines run only requests that callers sent, with the account and not the key."""
    for request_id in context.environment.ledger.leaked_keys:
        yield Violation(
            "asked for", request_id, "the API key was forwarded to an engine"
        )
    for request_id, runs in context.runs.items():
        edge = request_id.partition("-")[0]
        if edge not in context.environment.edges:
            text = f"no caller sent {runs[0].line!r} to {runs[0].engine}"
            yield Violation("asked for", request_id, text)
        if any(one.account != "tirnica" for one in runs):
            yield Violation("asked for", request_id, f"account {runs[0].account!r}")


def revoked_keys(context: CheckContext) -> Violations:
    """No request runs with a key that was revoked longer ago than the bound."""
    revoked = {
        one.subject: one.at_s
        for one in context.environment.changes
        if one.kind == "revoke"
    }
    for request in context.environment.requests:
        at_s = revoked.get(request.key)
        if at_s is None or request.request_id not in context.runs:
            continue
        late_s = request.sent_s - at_s - REVOKE_S
        if late_s > 0:
            text = f"ran with a revoked key, sent {late_s:.2f} s after the bound"
            yield Violation("revoked keys", request.request_id, text)


def current_configuration(context: CheckContext) -> Violations:
    """No instance refuses a key or route of the configuration in force."""
    revoked = {
        one.subject for one in context.environment.changes if one.kind == "revoke"
    }
    for request in context.environment.requests:
        if request.status in (401, 403, 404) and request.key not in revoked:
            text = f"answered {request.status}"
            yield Violation("known config", request.request_id, text)


def draining_engines(context: CheckContext) -> Violations:
    """No request is sent to a draining engine once the bound has passed."""
    for change in context.environment.changes:
        if change.kind != "drain":
            continue
        due_s = change.at_s + DRAIN_S + SLACK_S
        until_s = change.at_s + environment_module.DRAIN_EXIT_S
        for one in context.environment.ledger.arrivals:
            if one.engine != change.subject or not due_s < one.at_s < until_s:
                continue
            edge = one.request_id.partition("-")[0]
            if not one.refused and context.has_contact(edge, one.at_s):
                late_s = one.at_s - change.at_s
                text = f"reached {one.engine} {late_s:.2f} s after it began to drain"
                yield Violation("draining", one.request_id, text)


def leaving_engines(context: CheckContext) -> Violations:
    """An instance that passed on a leaving engine's answer sends it nothing more."""
    for notice in _first_notices(context, "leaving"):
        for one in context.arrivals_after(notice):
            late_s = one.at_s - notice.at_s
            if late_s > DRAIN_S + SLACK_S:
                text = f"reached {one.engine} {late_s:.2f} s after it said it leaves"
                yield Violation("leaving", one.request_id, text)


def resting_engines(context: CheckContext) -> Violations:
    """An instance that was asked for a rest sends at most two requests during it."""
    for notice in _first_notices(context, "rest"):
        late = [
            one
            for one in context.arrivals_after(notice)
            if notice.at_s + REST_GRACE_S < one.at_s < notice.until_s
        ]
        if len(late) > MAX_DURING_REST:
            text = f"{len(late)} requests reached {notice.engine} during its rest"
            yield Violation("rest", late[-1].request_id, text)


def limited_engines(context: CheckContext) -> Violations:
    """All instances that passed on a limit stay within it together."""
    notices: dict[tuple[str, int], list[wireengine.Notice]] = {}
    for notice in _first_notices(context, "limit"):
        notices.setdefault((notice.engine, notice.born), []).append(notice)
    for (engine, _), found in notices.items():
        first_s = min(one.at_s for one in found)
        due_s, end_s = first_s + CONTACT_S, _limit_end_s(context, engine, first_s)
        allowed = 1.5 * found[0].per_s * LIMIT_WINDOW_S + LIMIT_SLACK
        times_s = sorted(
            one.at_s
            for notice in found
            for one in context.arrivals_after(notice)
            if due_s < one.at_s < end_s and one.at_s > notice.at_s + LIMIT_GRACE_S
        )
        for index, at_s in enumerate(times_s):
            count = sum(at_s - LIMIT_WINDOW_S < t for t in times_s[: index + 1])
            if count > allowed:
                text = f"{count} requests in {LIMIT_WINDOW_S} s at {engine}"
                yield Violation("limits", "", f"{text}, {allowed} are allowed")
                break


def _limit_end_s(context: CheckContext, engine: str, since_s: float) -> float:
    """Return when an engine first named no limit any more after a time."""
    ends_s = [
        one.at_s
        for one in context.environment.changes
        if one.kind == "limit-end" and one.subject == engine and one.at_s > since_s
    ]
    return min(ends_s, default=float("inf"))


def _first_notices(context: CheckContext, kind: str) -> list[wireengine.Notice]:
    """Return the first notice of each lifetime of an engine to each instance."""
    found: dict[tuple[str, str, int], wireengine.Notice] = {}
    for one in context.environment.ledger.notices:
        if one.kind == kind:
            edge = one.request_id.partition("-")[0]
            found.setdefault((edge, one.engine, one.born), one)
    return list(found.values())


def registered_instances(context: CheckContext) -> Violations:
    """Every instance is registered, also after a restore that lost its entry."""
    for name in context.environment.edges:
        if not context.environment.store.model.version_of(f"instances/{name}"):
            yield Violation("registered", "", f"{name} has no entry in the store")


def cold_engine_rate(context: CheckContext) -> Violations:
    """All instances together stay within the request rate of a cold engine."""
    windows: dict[str, collections.deque[float]] = collections.defaultdict(
        collections.deque
    )
    for one in context.environment.ledger.arrivals:
        if not one.cold:
            continue
        window = windows[one.engine]
        window.append(one.at_s)
        while window[0] <= one.at_s - 1.0:
            window.popleft()
        if len(window) > COLD_BOUND:
            text = f"{len(window)} requests in a second at {one.engine}"
            yield Violation("cold engines", one.request_id, text)
            window.clear()


def evacuated_data_centres(context: CheckContext) -> Violations:
    """No request is sent to an evacuated data centre once the bound has passed."""
    changes = context.environment.changes
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
        for one in context.environment.ledger.arrivals:
            late = change.at_s + EVACUATE_S + SLACK_S < one.at_s < until_s
            if not late or context.environment.zones[one.engine] != change.subject:
                continue
            edge = one.request_id.partition("-")[0]
            if not one.refused and context.has_contact(edge, one.at_s):
                yield Violation("evacuated", one.request_id, f"reached {one.engine}")


def model_versions(context: CheckContext) -> Violations:
    """An instance in contact with the store stops using old versions in time."""
    named = [one for one in context.environment.changes if one.kind == "version"]
    for one in context.environment.ledger.arrivals:
        if (
            one.refused
            or context.environment.engines[one.engine].service
            != environment_module.POOL_SERVICE
        ):
            continue
        due = [c.value for c in named if c.at_s + VERSION_S + SLACK_S < one.at_s]
        edge = one.request_id.partition("-")[0]
        # The bound counts in one stretch in which no link was disrupted.
        start_s = one.at_s - VERSION_S
        undisturbed = context.has_contact(edge, one.at_s) and not any(
            other != edge or found.kind in LINK_KINDS
            for other in ("store", one.engine, edge)
            for found in context.disturbances_of(other, start_s, one.at_s)
        )
        if due and one.version < max(due) and undisturbed:
            text = f"ran on version {one.version} instead of {max(due)} at {one.engine}"
            yield Violation("versions", one.request_id, text)


def single_order_holder(context: CheckContext) -> Violations:
    """Orders to one boot of an engine come from one lease holder at a time."""
    last: dict[tuple[str, int], typing.Any] = {}
    fences: dict[tuple[str, int, int], str] = {}
    for one in context.environment.ledger.orders:
        before = last.get((one.engine, one.born))
        last[one.engine, one.born] = one
        holder = fences.setdefault((one.engine, one.born, one.fence), one.holder)
        if holder != one.holder:
            yield Violation(
                "one holder",
                "",
                f"{holder} and {one.holder} both used fence {one.fence}",
            )
        if before is None or before.holder == one.holder:
            continue
        if one.fence < before.fence or one.at_s - before.at_s < LEASE_S:
            text = f"{before.holder} and then {one.holder} sent orders to {one.engine}"
            yield Violation("one holder", "", text)


def retry_budget(context: CheckContext) -> Violations:
    """Repeated arrivals of requests stay within the shared retry budget."""
    seen: set[str] = set()
    first_arrivals: dict[str, list[float]] = collections.defaultdict(list)
    repeated: dict[str, list[float]] = collections.defaultdict(list)
    for one in context.environment.ledger.arrivals:
        service = context.environment.engines[one.engine].service
        times = repeated if one.request_id in seen else first_arrivals
        seen.add(one.request_id)
        times[service].append(one.at_s)
    for service, times in repeated.items():
        for index, at_s in enumerate(times):
            start_s = at_s - RETRY_WINDOW_S
            count = sum(start_s < other <= at_s for other in times[: index + 1])
            first_count = sum(
                start_s - RETRY_WINDOW_S < t <= at_s for t in first_arrivals[service]
            )
            if count > RETRY_RATIO * first_count + RETRY_SLACK:
                yield Violation(
                    "repeats", "", f"{count} repeated arrivals at {service}"
                )
                return


def graceful_stops(context: CheckContext) -> Violations:
    """A request accepted before a graceful stop gets a complete response."""
    for request in context.environment.requests:
        if request.complete or request.status == -1:
            continue
        start_s, end_s = request.sent_s - CONTACT_S, request.ended_s + 0.1
        nearby = context.disturbances_of(request.edge, start_s, end_s)
        runs = context.runs.get(request.request_id, ())
        only_stops = nearby and all(one.kind in STOP_KINDS for one in nearby)
        # A stream may break off with its engine: another of its version may be missing.
        engines_undisturbed = all(
            not context.disturbances_of(
                one.engine, one.at_s - CONTACT_S, request.ended_s
            )
            for one in runs
        )
        if (
            only_stops
            and runs
            and engines_undisturbed
            and not context.disturbances_of("store", start_s, end_s)
        ):
            yield Violation("stops", request.request_id, "no complete response")


def recovery(context: CheckContext) -> Violations:
    """After all faults have ended, callers are served again."""
    end_s = max((one.end_s for one in context.environment.disturbances), default=0.0)
    revoked = {
        one.subject for one in context.environment.changes if one.kind == "revoke"
    }
    later = [
        one
        for one in context.environment.requests
        if one.sent_s > end_s + environment_module.RECOVERY_S and one.key not in revoked
    ]
    served = sum(one.status == 200 and one.complete for one in later)
    if not later or served < MIN_SERVED_SHARE * len(later):
        yield Violation(
            "recovery", "", f"{served} of {len(later)} requests served after the faults"
        )


def no_unexpected_exit(context: CheckContext) -> Violations:
    """No process exits by itself."""
    for edge in context.environment.edges.values():
        code = edge.process.returncode
        ended = any(
            one.subject == edge.name for one in context.environment.disturbances
        )
        if code not in (None, 0) and not ended:
            yield Violation("alive", "", f"{edge.name} exited with {code}")


CHECKS = (
    runs_at_most_once,
    not_run_statuses,
    response_bodies,
    one_software_version,
    streams_taken_up,
    poisoned_prompts,
    sound_prompts,
    only_sent_requests,
    revoked_keys,
    current_configuration,
    draining_engines,
    leaving_engines,
    resting_engines,
    limited_engines,
    cold_engine_rate,
    evacuated_data_centres,
    model_versions,
    single_order_holder,
    retry_budget,
    graceful_stops,
    recovery,
    registered_instances,
    no_unexpected_exit,
)
AT_THE_END = (recovery, registered_instances, no_unexpected_exit)


def find_violations(
    environment: environment_module.Environment, ended: bool = True
) -> list[Violation]:
    """Return all violations so far; ``ended`` adds the checks of a finished run."""
    context = CheckContext(environment)
    checks = [one for one in CHECKS if ended or one not in AT_THE_END]
    return [violation for check in checks for violation in check(context)]
