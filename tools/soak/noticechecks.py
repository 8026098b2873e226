"""Checks that instances follow what engines say in their answers."""

from standins import requestlog
from tools.soak import checkcontext

REST_GRACE_S = 0.5
MAX_DURING_REST = 2
LIMIT_WINDOW_S = 4.0
LIMIT_SLACK = 5
LIMIT_GRACE_S = 0.5


def leaving_engines(context: checkcontext.CheckContext) -> checkcontext.Violations:
    """An instance that passed on a leaving engine's answer sends it nothing more."""
    bound_s = checkcontext.DRAIN_S + checkcontext.SLACK_S
    for notice in _first_notices(context, "leaving"):
        for one in context.arrivals_after(notice, bound_s, edge_of=context.sender):
            late_s = one.at_s - notice.at_s
            text = f"reached {one.engine} {late_s:.2f} s after it said it leaves"
            yield checkcontext.Violation("leaving", one.request_id, text)


def resting_engines(context: checkcontext.CheckContext) -> checkcontext.Violations:
    """An instance that was asked for a rest sends at most two requests during it."""
    for notice in _first_notices(context, "rest"):
        late = list(
            context.arrivals_after(notice, REST_GRACE_S, notice.until_s, context.sender)
        )
        if len(late) > MAX_DURING_REST:
            text = f"{len(late)} requests reached {notice.engine} during its rest"
            text += f", of which {notice.request_id} was told"
            yield checkcontext.Violation("rest", late[-1].request_id, text)


def limited_engines(context: checkcontext.CheckContext) -> checkcontext.Violations:
    """All instances that passed on a limit stay within it together."""
    notices: dict[tuple[str, int], list[requestlog.Notice]] = {}
    for notice in _first_notices(context, "limit"):
        notices.setdefault((notice.engine, notice.born), []).append(notice)
    for (engine, _), found in notices.items():
        first_s = min(one.at_s for one in found)
        due_s, end_s = (
            first_s + checkcontext.CONTACT_S,
            _limit_end_s(context, engine, first_s),
        )
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
                yield checkcontext.Violation(
                    "limits", "", f"{text}, {allowed} are allowed"
                )
                break


def _limit_end_s(
    context: checkcontext.CheckContext, engine: str, since_s: float
) -> float:
    """Return when an engine first named no limit any more after a time."""
    ends_s = [
        one.at_s
        for one in context.environment.changes
        if one.kind == "limit-end" and one.subject == engine and one.at_s > since_s
    ]
    return min(ends_s, default=float("inf"))


def _first_notices(
    context: checkcontext.CheckContext, kind: str
) -> list[requestlog.Notice]:
    """Return the first notice of each lifetime of an engine to each instance."""
    found: dict[tuple[str, str, int], requestlog.Notice] = {}
    for one in context.environment.ledger.notices:
        if one.kind == kind:
            edge = one.request_id.partition("-")[0]
            found.setdefault((edge, one.engine, one.born), one)
    return list(found.values())
