"""Checks of the prompt parts that engines fetch from stores."""

from tools.soak import checkcontext


def whole_parts(context: checkcontext.CheckContext) -> checkcontext.Violations:
    """No engine is told to fetch a part that a store does not hold as a whole yet."""
    for one in context.environment.ledger.partial_fetches:
        text = f"part {one.part} was fetched while it was written, epoch {one.epoch}"
        yield checkcontext.Violation("whole parts", one.request_id, text)
