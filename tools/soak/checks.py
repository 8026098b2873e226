"""Checks the documented guarantees against what callers and engines observed.

Each check takes a context and yields violations. The bounds are those in the settings
of the instances, plus a slack for the delay between processes, since the callers and
engines record the times, not the store.
"""

import collections
import typing

from tools.soak import (
    checkcontext,
    crowdchecks,
    damagechecks,
    environment as environment_module,
    injector,
    noticechecks,
    operator,
    promptchecks,
    reachchecks,
    releasechecks,
    repeatchecks,
    resetchecks,
    storechecks,
    turnchecks,
)

CONFIG_S = 2.0
REVOKE_S = 5.0
VERSION_S = 8.0
EVACUATE_S = 5.0
LEASE_S = 3.0
COLD_BOUND = operator.COLD_PER_S * 1.5 + 5
RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S = 0.2, 56, 10.0
MIN_SERVED_SHARE = 0.25
LINK_KINDS = frozenset(("cut", "store-silent", "store-deaf", "store-reset"))
LINK_KINDS |= frozenset(("link-silent", "link-reset", reachchecks.KIND))
SERVING_KINDS = frozenset(("garbled", "late-orders", "reset-ends"))
MIN_TAKEN_UP = 12  # streams
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
RESTART_KINDS = frozenset(("kill",))
STOP_KINDS = frozenset(("term", "late-body"))


def runs_at_most_once(context: checkcontext.CheckContext) -> checkcontext.Violations:
    """A non-idempotent request runs at most once."""
    for request in context.environment.requests:
        runs = context.runs.get(request.request_id, ())
        if request.kind.at_most_once and len(runs) > 1:
            engines = ", ".join(one.engine for one in runs)
            yield checkcontext.Violation(
                "once", request.request_id, f"ran at {engines}"
            )


def not_run_statuses(context: checkcontext.CheckContext) -> checkcontext.Violations:
    """A request answered with a "not run" status never runs, not even later."""
    for request in context.environment.requests:
        runs = context.runs.get(request.request_id)
        if request.kind.at_most_once and request.status in NOT_RUN_STATUSES and runs:
            text = f"answered {request.status}, ran at {runs[0].engine}"
            yield checkcontext.Violation("true refusals", request.request_id, text)


def response_bodies(context: checkcontext.CheckContext) -> checkcontext.Violations:
    """Each successful response is the engine's complete response to this request."""
    for request in context.environment.requests:
        if request.body_error:
            yield checkcontext.Violation(
                "whole answers", request.request_id, request.body_error
            )


def one_software_version(context: checkcontext.CheckContext) -> checkcontext.Violations:
    """A stream holds events of one software version, also over its caller's tries."""
    for request in context.environment.requests:
        first = context.requests.get(request.resumes)
        found = {*request.events, *(first.events if first else ())}
        if len(found) > 1:
            text = f"events of {', '.join(sorted(found))}"
            yield checkcontext.Violation("one software", request.request_id, text)


def streams_taken_up(context: checkcontext.CheckContext) -> checkcontext.Violations:
    """Streams taken up go on at half the rate at which new ones begin, or more.

    Counted are undisturbed instances, while all engines served, even if they broke
    answers off.
    """
    begun, taken_up = [], []
    for request in context.environment.requests:
        if request.kind.name != "resume" or request.status == -1 or request.name:
            continue
        start_s = request.sent_s - checkcontext.CONTACT_S
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
        yield checkcontext.Violation("taken up", "", text)


def streams_after_all_were_killed(
    context: checkcontext.CheckContext,
) -> checkcontext.Violations:
    """Half of the streams that outlive all instances go on, or more.

    Counted are those at instances that read the store, while all engines serve.
    """
    went_on = []
    environment = context.environment
    for request in environment.requests:
        if not request.resumes or f"-{injector.LEFT}" not in request.request_id:
            continue
        start_s = request.sent_s - checkcontext.CONTACT_S
        names = [*environment.engines, "store", request.edge]
        if not any(
            one.kind not in SERVING_KINDS | RESTART_KINDS
            for name in names
            for one in context.disturbances_of(name, start_s, request.ended_s)
        ):
            went_on.append(bool(request.events))
    if len(went_on) >= MIN_TAKEN_UP and sum(went_on) < len(went_on) / 2:
        text = f"{sum(went_on)} of {len(went_on)} streams went on"
        yield checkcontext.Violation("taken up", "", text)


def only_sent_requests(context: checkcontext.CheckContext) -> checkcontext.Violations:
    """Engines run only requests that callers sent, with the account and not the key."""
    for request_id in context.environment.ledger.leaked_keys:
        yield checkcontext.Violation(
            "asked for", request_id, "the API key was forwarded to an engine"
        )
    for request_id, runs in context.runs.items():
        edge = request_id.partition("-")[0]
        if edge not in context.environment.edges:
            text = f"no caller sent {runs[0].line!r} to {runs[0].engine}"
            yield checkcontext.Violation("asked for", request_id, text)
        if any(one.account != "tirnica" for one in runs):
            yield checkcontext.Violation(
                "asked for", request_id, f"account {runs[0].account!r}"
            )


def revoked_keys(context: checkcontext.CheckContext) -> checkcontext.Violations:
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
            yield checkcontext.Violation("revoked keys", request.request_id, text)


def current_configuration(
    context: checkcontext.CheckContext,
) -> checkcontext.Violations:
    """No instance refuses a key or route of the configuration in force."""
    revoked = {
        one.subject for one in context.environment.changes if one.kind == "revoke"
    }
    for request in context.environment.requests:
        if request.status in (401, 403, 404) and request.key not in revoked:
            text = f"answered {request.status}"
            yield checkcontext.Violation("known config", request.request_id, text)


def limits_in_force(context: checkcontext.CheckContext) -> checkcontext.Violations:
    """No body is refused as too long: each is shorter than what is in force allows."""
    for request in context.environment.requests:
        if request.status in (413, 431) and context.has_contact(
            request.edge, request.sent_s
        ):
            text = f"status {request.status}"
            yield checkcontext.Violation("limits in force", request.request_id, text)


def draining_engines(context: checkcontext.CheckContext) -> checkcontext.Violations:
    """No request is sent to a draining engine once the bound has passed.

    An engine that has started again since is not draining any more.
    """
    for change in context.environment.changes:
        if change.kind != "drain":
            continue
        due_s = change.at_s + checkcontext.DRAIN_S + checkcontext.SLACK_S
        until_s = change.at_s + injector.DRAIN_EXIT_S
        for one in context.environment.ledger.arrivals:
            if (one.engine, one.born) != (change.subject, change.value):
                continue
            if not due_s < one.at_s < until_s:
                continue
            edge = one.request_id.partition("-")[0]
            if not one.refused and context.has_contact(edge, one.at_s):
                late_s = one.at_s - change.at_s
                text = f"reached {one.engine} {late_s:.2f} s after it began to drain"
                yield checkcontext.Violation("draining", one.request_id, text)


def registered_instances(context: checkcontext.CheckContext) -> checkcontext.Violations:
    """Every instance is registered, also after a restore that lost its entry."""
    for name in context.environment.edges:
        if not context.environment.store.model.version_of(f"instances/{name}"):
            yield checkcontext.Violation(
                "registered", "", f"{name} has no entry in the store"
            )


def cold_engine_rate(context: checkcontext.CheckContext) -> checkcontext.Violations:
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
            yield checkcontext.Violation("cold engines", one.request_id, text)
            window.clear()


def evacuated_data_centres(
    context: checkcontext.CheckContext,
) -> checkcontext.Violations:
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
            late = change.at_s + EVACUATE_S + checkcontext.SLACK_S < one.at_s < until_s
            if not late or context.environment.zones[one.engine] != change.subject:
                continue
            edge = one.request_id.partition("-")[0]
            if not one.refused and context.has_contact(edge, one.at_s):
                yield checkcontext.Violation(
                    "evacuated", one.request_id, f"reached {one.engine}"
                )


def model_versions(context: checkcontext.CheckContext) -> checkcontext.Violations:
    """An instance in contact with the store stops using old versions in time.

    The bound counts in one stretch in which neither the store nor a link of the
    instance or the engine was disturbed.
    """
    named = [one for one in context.environment.changes if one.kind == "version"]
    for one in context.environment.ledger.arrivals:
        if (
            one.refused
            or context.environment.engines[one.engine].service != operator.POOL_SERVICE
        ):
            continue
        edge = one.request_id.partition("-")[0]
        start_s = one.at_s - VERSION_S
        due = [c.value for c in named if c.at_s < start_s]
        undisturbed = context.has_contact(edge, one.at_s) and not any(
            other == "store" or found.kind in LINK_KINDS
            for other in ("store", one.engine, edge)
            for found in context.disturbances_of(other, start_s, one.at_s)
        )
        if due and one.version < max(due) and undisturbed:
            text = f"ran on version {one.version} instead of {max(due)} at {one.engine}"
            yield checkcontext.Violation("versions", one.request_id, text)


def single_order_holder(context: checkcontext.CheckContext) -> checkcontext.Violations:
    """Orders to one boot of an engine come from one lease holder at a time."""
    last: dict[tuple[str, int], typing.Any] = {}
    fences: dict[tuple[str, int, int], str] = {}
    for one in context.environment.ledger.orders:
        before = last.get((one.engine, one.born))
        last[one.engine, one.born] = one
        holder = fences.setdefault((one.engine, one.born, one.fence), one.holder)
        if holder != one.holder:
            yield checkcontext.Violation(
                "one holder",
                "",
                f"{holder} and {one.holder} both used fence {one.fence}",
            )
        if before is None or before.holder == one.holder:
            continue
        if one.fence < before.fence or one.at_s - before.at_s < LEASE_S:
            text = f"{before.holder} and then {one.holder} sent orders to {one.engine}"
            yield checkcontext.Violation("one holder", "", text)


def retry_budget(context: checkcontext.CheckContext) -> checkcontext.Violations:
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
                yield checkcontext.Violation(
                    "repeats", "", f"{count} repeated arrivals at {service}"
                )
                return


def graceful_stops(context: checkcontext.CheckContext) -> checkcontext.Violations:
    """A request accepted before a graceful stop gets a complete response."""
    for request in context.environment.requests:
        if request.complete or request.status == -1:
            continue
        start_s, end_s = request.sent_s - checkcontext.CONTACT_S, request.ended_s + 0.1
        nearby = context.disturbances_of(request.edge, start_s, end_s)
        runs = context.runs.get(request.request_id, ())
        only_stops = nearby and all(one.kind in STOP_KINDS for one in nearby)
        # A stream may break off with its engine: another of its version may be missing.
        engines_undisturbed = all(
            not context.disturbances_of(
                one.engine, one.at_s - checkcontext.CONTACT_S, request.ended_s
            )
            for one in runs
        )
        if (
            only_stops
            and runs
            and engines_undisturbed
            and not context.disturbances_of("store", start_s, end_s)
        ):
            yield checkcontext.Violation(
                "stops", request.request_id, "no complete response"
            )


def recovery(context: checkcontext.CheckContext) -> checkcontext.Violations:
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
        yield checkcontext.Violation(
            "recovery", "", f"{served} of {len(later)} requests served after the faults"
        )


def no_unexpected_exit(context: checkcontext.CheckContext) -> checkcontext.Violations:
    """No process exits by itself."""
    for edge in context.environment.edges.values():
        code = edge.process.returncode
        ended = any(
            one.subject == edge.name and one.kind != crowdchecks.KIND
            for one in context.environment.disturbances
        )
        if code not in (None, 0) and not ended:
            yield checkcontext.Violation("alive", "", f"{edge.name} exited with {code}")


CHECKS = (
    runs_at_most_once,
    not_run_statuses,
    response_bodies,
    resetchecks.broken_off,
    crowdchecks.resident_memory,
    crowdchecks.answered_beside_crowd,
    one_software_version,
    streams_taken_up,
    streams_after_all_were_killed,
    promptchecks.poisoned_prompts,
    promptchecks.sound_prompts,
    repeatchecks.repeated_requests,
    repeatchecks.sound_requests,
    only_sent_requests,
    revoked_keys,
    current_configuration,
    limits_in_force,
    draining_engines,
    noticechecks.leaving_engines,
    noticechecks.resting_engines,
    noticechecks.limited_engines,
    damagechecks.served_beside_damage,
    cold_engine_rate,
    evacuated_data_centres,
    model_versions,
    releasechecks.exposure,
    releasechecks.rollback,
    releasechecks.final_state,
    releasechecks.emptied,
    single_order_holder,
    retry_budget,
    graceful_stops,
    reachchecks.cut_off_instances,
    turnchecks.short_turns,
    storechecks.whole_parts,
    recovery,
    registered_instances,
    no_unexpected_exit,
)
# The last two ask which instance sent a request: its log line tells, once it ended.
AT_THE_END = (
    recovery,
    registered_instances,
    no_unexpected_exit,
    noticechecks.leaving_engines,
    noticechecks.resting_engines,
)


def find_violations(
    environment: environment_module.Environment, ended: bool = True
) -> list[checkcontext.Violation]:
    """Return all violations so far; ``ended`` adds the checks of a finished run."""
    context = checkcontext.CheckContext(environment)
    checks = [one for one in CHECKS if ended or one not in AT_THE_END]
    return [violation for check in checks for violation in check(context)]
