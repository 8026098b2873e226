"""How much of a pool an account may hold beside the others.

An account within its share by weight, of sequences and of reading speed, takes any
room, and the targets read its prompts first. Beyond its share or its token budget it
borrows: it leaves ``RESERVE_SHARE`` of the pool free and is read last, so that a call
of another account finds room at once and waits behind little.
"""

import typing

from cornelreach.targets import admission, fairness, permits

RESERVE_SHARE = 0.125


class Supply(typing.NamedTuple):
    """Limits and room of a pool's targets together.

    ``most_tokens`` is the largest room of one of them.
    """

    capacity: admission.Load
    free: admission.Load
    tokens_per_s: float
    most_tokens: int


class Use(typing.NamedTuple):
    """How a call may use the pool now."""

    allowed: bool
    stands_back: bool

    def priority(self, prefill_tokens: int) -> int:
        """Return the target's priority for a call; a lower value is read first."""
        is_long = prefill_tokens > fairness.LONG_PROMPT_TOKENS
        return 2 * self.stands_back + is_long


def use_of(
    entry: fairness.Entry, queue: fairness.FairQueue, supply: Supply, now_ms: float
) -> Use:
    """Return how a waiting call may use the pool."""
    request = entry.request
    share = queue.fair_sequences(request.account, supply.capacity.sequences, now_ms)
    held = queue.out_sequences(request.account) + request.sequences
    borrows = (
        held > max(1.0, share)
        or queue.borrows(request.account, now_ms)
        or queue.reads_over_share(request.account, supply.tokens_per_s, now_ms)
    )
    patient = now_ms - entry.arrived_ms >= fairness.AGE_MS and held <= 1
    allowed = not borrows or patient or _leaves_reserve(request, supply)
    batch = request.priority is permits.Priority.BATCH
    return Use(allowed, stands_back=borrows or batch)


def _leaves_reserve(request: permits.PermitRequest, supply: Supply) -> bool:
    sequences = supply.free.sequences - request.sequences
    tokens = supply.free.tokens - request.prompt_tokens
    return sequences >= int(
        supply.capacity.sequences * RESERVE_SHARE
    ) and tokens >= int(supply.capacity.tokens * RESERVE_SHARE)


def supply_of(
    targets: typing.Iterable[admission.TargetAdmission],
    standing: admission.Standing,
    now_ms: float,
) -> Supply:
    """Return what the targets bear together, and what of it is free."""
    sequences = tokens = free_sequences = free_tokens = 0
    tokens_per_s = 0.0
    most_tokens = 0
    for target in targets:
        most = target.most()
        room = target.room(standing, now_ms)
        sequences += most.sequences
        tokens += most.tokens
        free_sequences += room.sequences
        free_tokens += room.tokens
        most_tokens = max(most_tokens, room.tokens)
        tokens_per_s += target.limits.prefill_tokens_per_s
    capacity = admission.Load(sequences, tokens)
    free = admission.Load(free_sequences, free_tokens)
    return Supply(capacity, free, tokens_per_s, most_tokens)
