"""Checks that records damaged by another writer cost callers nothing."""

from tools.soak import checkcontext

MIN_REQUESTS = 12
MIN_SERVED_SHARE = 0.8
GRACE_S = 0.5  # until all instances have read the damage


def served_beside_damage(
    context: checkcontext.CheckContext,
) -> checkcontext.Violations:
    """Most calm requests are served while damaged records lie there."""
    changes = context.environment.changes
    for change in changes:
        if change.kind != "damage":
            continue
        ends = [
            one.at_s
            for one in changes
            if one.kind == "damage-end" and one.at_s > change.at_s
        ]
        until_s = min(ends, default=float("inf"))
        found = [
            one
            for one in context.environment.requests
            if change.at_s + GRACE_S < one.sent_s < until_s
            and not (one.name or one.poisoned or one.status in (401, -1))
            and context.is_calm(one, context.environment.engines)
        ]
        served = sum(one.status == 200 for one in found)
        if len(found) >= MIN_REQUESTS and served < MIN_SERVED_SHARE * len(found):
            text = f"{served} of {len(found)} served while records were damaged"
            yield checkcontext.Violation("damaged records", "", text)
