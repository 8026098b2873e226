"""Checks of prompts that crash engines, and of sound ones beside them."""

import collections
import typing

from tools.soak import checkcontext

MANY_CRASHES = 5
MAX_POISONED = 3
MIN_COMPARED = 20  # requests


def poisoned_prompts(context: checkcontext.CheckContext) -> checkcontext.Violations:
    """Few prompts with a part that crashed five engines reach engines later."""
    crashes: dict[str, list[float]] = collections.defaultdict(list)
    for crash in context.environment.ledger.crashes:
        crashes[crash.part].append(crash.at_s)
    for part, times_s in crashes.items():
        if len(times_s) < MANY_CRASHES:
            continue
        due_s = (
            times_s[MANY_CRASHES - 1] + checkcontext.CONTACT_S + checkcontext.SLACK_S
        )
        late = [
            one
            for one in context.environment.ledger.arrivals
            if part in one.parts[:-1]
            and one.at_s > due_s
            and context.has_contact(one.request_id.partition("-")[0], one.at_s)
        ]
        if len(late) > MAX_POISONED:
            text = f"{len(late)} prompts with {part}, which crashed {len(times_s)}"
            yield checkcontext.Violation("poisoned prompts", late[-1].request_id, text)


def sound_prompts(context: checkcontext.CheckContext) -> checkcontext.Violations:
    """Sound prompts begin at half of their usual rate or more beside poisoned ones.

    Counted are those that share their first part with the poisoned ones.
    """
    calm, beside = [], []
    first_parts = {one.parts[0] for one in context.environment.requests if one.poisoned}
    periods = list(_poisoned_periods(context))
    for request in context.environment.requests:
        if request.poisoned or request.name or request.resumes:
            continue
        if not request.parts:
            continue
        if request.parts[0] not in first_parts:
            continue
        if not context.is_calm(request, context.environment.engines):
            continue
        start_s = request.sent_s - checkcontext.CONTACT_S
        if any(start <= request.sent_s <= end for start, end in periods):
            beside.append(bool(request.events))
        elif not any(start_s <= end and start <= start_s for start, end in periods):
            calm.append(bool(request.events))
    if min(len(beside), len(calm)) < MIN_COMPARED:
        return
    share, wanted = sum(beside) / len(beside), sum(calm) / len(calm) / 2
    if share < wanted:
        text = f"{share:.2f} of {len(beside)} sound prompts began, not {wanted:.2f}"
        yield checkcontext.Violation("sound prompts", "", text)


def _poisoned_periods(
    context: checkcontext.CheckContext,
) -> typing.Iterator[tuple[float, float]]:
    """Yield the times in which poisoned prompts still come, long after they crashed."""
    environment = context.environment
    for change in environment.changes:
        if change.kind != "poison-end":
            continue
        times_s = [
            one.at_s for one in environment.ledger.crashes if one.part == change.subject
        ]
        if times_s:
            yield times_s[:MANY_CRASHES][-1] + 2 * checkcontext.CONTACT_S, change.at_s
