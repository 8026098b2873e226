"""Checks of rollouts of good and bad software versions, once their deadline is over."""

import typing

from cornelreach.platform import releases
from standins import requestlog
from tools.soak import checkcontext, environment as environment_module

# The bounds in the instances' settings.
EXPOSURE_SHARE, EXPOSURE_SLACK = 0.1, 50
ROLLBACK_S, BAD_ANSWERS = 5.0, 50


def _bad_rollouts(
    context: checkcontext.CheckContext,
) -> typing.Iterator[environment_module.Rollout]:
    return (one for one in context.environment.rollouts if one.is_bad)


def _new_arrivals(
    context: checkcontext.CheckContext, rollout: environment_module.Rollout
) -> list[requestlog.Arrival]:
    """Return what the new engines got from instances in touch."""
    return [
        one
        for one in context.environment.ledger.arrivals
        if one.engine in rollout.engines
        and context.has_contact(context.caller_edge(one), one.at_s)
    ]


def exposure(context: checkcontext.CheckContext) -> checkcontext.Violations:
    """A bad version gets at most its share of the service's requests."""
    engines = context.environment.engines
    for rollout in _bad_rollouts(context):
        reached = sum(
            engines[one.engine].service == rollout.service
            and rollout.ordered_s <= one.at_s <= rollout.deadline_s
            for one in context.environment.ledger.arrivals
        )
        allowed = EXPOSURE_SHARE * reached + EXPOSURE_SLACK
        count = sum(
            one.at_s <= rollout.deadline_s for one in _new_arrivals(context, rollout)
        )
        if count > allowed:
            text = f"a bad version got {count} of {reached}, allowed {allowed:.0f}"
            yield checkcontext.Violation("exposure", "", text)


def rollback(context: checkcontext.CheckContext) -> checkcontext.Violations:
    """A bad version gets nothing once enough of its answers were bad."""
    for rollout in _bad_rollouts(context):
        failed_s = sorted(
            one.at_s
            for one in context.environment.ledger.failures
            if one.engine in rollout.engines
        )
        if len(failed_s) < BAD_ANSWERS:
            continue
        bad_s = failed_s[BAD_ANSWERS - 1]
        for one in _new_arrivals(context, rollout):
            if one.at_s > bad_s + ROLLBACK_S + checkcontext.SLACK_S:
                late_s = one.at_s - bad_s
                text = f"at {one.engine} {late_s:.1f} s after {BAD_ANSWERS} bad answers"
                yield checkcontext.Violation("rollback", one.request_id, text)


def final_state(context: checkcontext.CheckContext) -> checkcontext.Violations:
    """A good version succeeds and a bad one is reverted by the deadline."""
    for one in context.environment.rollouts:
        wanted = releases.REVERTED if one.is_bad else releases.SUCCEEDED
        if one.state != wanted:
            text = f"{one.state or 'nothing'} was written, not {wanted}"
            yield checkcontext.Violation("final state", "", text)


def emptied(context: checkcontext.CheckContext) -> checkcontext.Violations:
    """No request is under way at an old engine when the new version has succeeded."""
    environment = context.environment
    for one in environment.rollouts:
        in_touch = all(
            context.has_contact(name, one.ended_s) for name in environment.edges
        )
        if one.state == releases.SUCCEEDED and one.old_running and in_touch:
            text = f"{one.old_running} requests under way at old engines"
            yield checkcontext.Violation("emptied", "", text)
