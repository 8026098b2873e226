"""Priorities of prompts at overloaded engines.

After a burst or the loss of engines, prompts queue up. In first-come, first-served
order every prompt is then late by the length of the queue. Instead, a prompt that will
miss its objective in any case gets a lower priority than those that can still meet
theirs. The engine prefills it when it has time, so only a small share of its tokens
counts as queued ahead of others::

    urgency.is_late(
        ahead_tokens=40_000, prefill_rate=60.0, spent_ms=5.0, objective_ms=300.0
    )
"""

MAX_ON_TIME_PRIORITY = 7
LATE_PRIORITY = 8
LATE_SHARE = 0.1  # of a late prompt's tokens are prefilled before a later urgent one
URGENT_RANK = 0
# Engines prefill the most urgent prompts first, and most of the queued tokens are those
# of less urgent ones; what is being prefilled is not interrupted.
URGENT_AHEAD_SHARE = 0.1


def is_late(
    ahead_tokens: float, prefill_rate: float, spent_ms: float, objective_ms: float
) -> bool:
    """Return whether a first token will miss its objective.

    ``ahead_tokens`` are the tokens to prefill before it, including its own;
    ``prefill_rate`` is in tokens a millisecond.
    """
    return spent_ms + ahead_tokens / max(prefill_rate, 0.001) > objective_ms


def tokens_ahead(queued_tokens: float, rank: int) -> float:
    """Return how many of the queued tokens an engine prefills before a prompt."""
    return queued_tokens * (URGENT_AHEAD_SHARE if rank <= URGENT_RANK else 1.0)


def priority(rank: int, late: bool) -> int:
    """Return the priority at an engine of a request's rank; 0 is the highest."""
    return LATE_PRIORITY if late else min(MAX_ON_TIME_PRIORITY, rank)


def counted_tokens(prefill_tokens: float, late: bool) -> int:
    """Return the tokens of a prompt that count as queued ahead of later ones."""
    return int(prefill_tokens * (LATE_SHARE if late else 1.0))
