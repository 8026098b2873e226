"""Checks of responses without a length whose engines reset them."""

import collections

from tools.soak import checkcontext


def broken_off(context: checkcontext.CheckContext) -> checkcontext.Violations:
    """A response that was reset wherever it ran does not look complete."""
    resets = collections.Counter(
        one.request_id for one in context.environment.ledger.resets
    )
    for request in context.environment.requests:
        if request.status != 200 or not request.complete:
            continue
        count = resets[request.request_id]
        if count and count >= len(context.runs.get(request.request_id, ())):
            text = f"complete, though {count} engines reset it"
            yield checkcontext.Violation("broken off", request.request_id, text)
