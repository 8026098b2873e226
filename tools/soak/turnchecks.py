"""Checks that no answer keeps an instance from all others."""

from tools.soak import checkcontext

READY_S = 0.15  # a few turns of the loops of an instance and of this process


def short_turns(context: checkcontext.CheckContext) -> checkcontext.Violations:
    """An instance says at once whether it is ready, beside answers without end."""
    for edge, begin_s, wait_s in context.environment.readiness_waits:
        since_s, until_s = begin_s - checkcontext.CONTACT_S, begin_s + wait_s
        if wait_s > READY_S and not context.disturbances_of(edge, since_s, until_s):
            text = f"{edge} answered after {wait_s:.2f} s"
            yield checkcontext.Violation("turns", "", text)
