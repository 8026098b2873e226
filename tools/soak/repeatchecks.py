"""Checks of requests that crash engines again and again, and of others beside them."""

import collections
import typing

from tools.soak import callers, checkcontext, operator

MANY_CRASHES = 3
MAX_RETRIES = 3  # that reach engines after so many crashes
MIN_COMPARED = 20  # requests


def repeated_requests(context: checkcontext.CheckContext) -> checkcontext.Violations:
    """A request that crashed three engines reaches engines in three more tries at most.

    Counted are those sent by instances in contact, later than that takes to spread.
    """
    for name, times_s in _crash_times(context).items():
        if len(times_s) < MANY_CRASHES:
            continue
        due_s = times_s[MANY_CRASHES - 1] + checkcontext.CONTACT_S
        late = {
            one.request_id: None
            for one in context.environment.ledger.arrivals
            if one.poison == name
            and one.at_s > due_s
            and context.has_contact(one.request_id.partition("-")[0], one.at_s)
        }
        if len(late) > MAX_RETRIES:
            text = f"{len(late)} tries of {name}, which crashed {len(times_s)}"
            yield checkcontext.Violation("repeated requests", [*late][-1], text)


def sound_requests(context: checkcontext.CheckContext) -> checkcontext.Violations:
    """Sound requests are served at half of their usual rate or more beside such ones.

    Counted are those of the same kind as a repeated one, once that should be stopped.
    Those that come again unchanged themselves are compared on their own.
    """
    for kind in callers.REQUEST_KINDS:
        beside, calm = _compared(context, kind)
        if len(calm) < MIN_COMPARED:
            continue
        wanted = sum(calm) / len(calm) / 2
        for name, served in beside.items():
            share = sum(served) / len(served)
            if len(served) >= MIN_COMPARED and share < wanted:
                text = f"{share:.2f} of {len(served)} {kind.name} {name} served, "
                yield checkcontext.Violation(
                    "sound requests", "", f"{text}not {wanted:.2f}"
                )


def _compared(
    context: checkcontext.CheckContext, kind: callers.RequestKind
) -> tuple[dict[str, list[bool]], list[bool]]:
    """Return which sound requests were served beside repeated ones, and at other times.

    Those between the first crash and the time when it should be stopped are left out.
    """
    environment = context.environment
    periods = list(_periods(context, kind))
    service = operator.POOL_SERVICE if kind.model else operator.PLAIN_SERVICE
    engines = [n for n, one in environment.engines.items() if one.service == service]
    guilty = {*environment.ledger.poisoned_requests.values()}
    revoked = {one.subject for one in environment.changes if one.kind == "revoke"}
    beside: dict[str, list[bool]] = collections.defaultdict(list)
    calm: list[bool] = []
    for one in environment.requests:
        if one.kind is not kind or one.name in guilty or one.poisoned or one.resumes:
            continue
        if one.key in revoked or not context.is_calm(one, engines):
            continue
        served = one.status == 200 and one.complete
        if any(due <= one.sent_s <= end for _, due, end in periods):
            beside[one.name].append(served)
        elif not any(start <= one.sent_s <= end for start, _, end in periods):
            calm.append(served)
    return beside, calm


def _periods(
    context: checkcontext.CheckContext, kind: callers.RequestKind
) -> typing.Iterator[tuple[float, float, float]]:
    """Yield when each repeated request first crashed, should be stopped, and ended."""
    environment = context.environment
    ends_s = {c.subject: c.at_s for c in environment.changes if c.kind == "repeat-end"}
    repeated = {one.name for one in environment.requests if one.kind is kind}
    for name, times_s in _crash_times(context).items():
        if name in repeated and name in ends_s:
            due_s = times_s[:MANY_CRASHES][-1] + 2 * checkcontext.CONTACT_S
            yield times_s[0], due_s, ends_s[name]


def _crash_times(context: checkcontext.CheckContext) -> dict[str, list[float]]:
    """Return when each repeated request crashed engines."""
    names = {*context.environment.ledger.poisoned_requests.values()}
    found: dict[str, list[float]] = collections.defaultdict(list)
    for crash in context.environment.ledger.crashes:
        if crash.part in names:
            found[crash.part].append(crash.at_s)
    return found
