"""How much of a pool an account may hold beside the others.

An account within its share by weight takes any room. Beyond it, it borrows: it leaves
``RESERVE_SHARE`` of the pool free and sends no prompts ahead of the targets' reading,
so that a call of another account finds room at once and waits behind little.
"""

import typing

from cornelreach.targets import admission, fairness, pace, permits

RESERVE_SHARE = 0.125
LONG_PROMPT_TOKENS = 8_000


class Supply(typing.NamedTuple):
    """Limits and room of a pool's targets together."""

    capacity: admission.Load
    free: admission.Load


class Use(typing.NamedTuple):
    """How a call may use the pool now; ``target_priority`` goes to the target."""

    allowed: bool
    borrows: bool
    target_priority: int

    @property
    def most_backlog_ms(self) -> float:
        """Return the backlog above which a target is passed over."""
        return pace.AHEAD_MS if self.borrows else float("inf")


def use_of(
    entry: fairness.Entry, queue: fairness.FairQueue, supply: Supply, now_ms: float
) -> Use:
    """Return how a waiting call may use the pool."""
    request = entry.request
    share = queue.fair_sequences(request.account, supply.capacity.sequences, now_ms)
    held = queue.out_sequences(request.account) + request.sequences
    over = held > max(1.0, share)
    borrows = over or queue.borrows(request.account, now_ms)
    patient = now_ms - entry.arrived_ms >= fairness.AGE_MS and held <= 1
    allowed = not borrows or patient or _leaves_reserve(request, supply)
    return Use(allowed, borrows, _target_priority(request, borrows))


def _leaves_reserve(request: permits.PermitRequest, supply: Supply) -> bool:
    sequences = supply.free.sequences - request.sequences
    tokens = supply.free.tokens - request.prompt_tokens
    return sequences >= int(
        supply.capacity.sequences * RESERVE_SHARE
    ) and tokens >= int(supply.capacity.tokens * RESERVE_SHARE)


def _target_priority(request: permits.PermitRequest, borrows: bool) -> int:
    if borrows or request.priority is permits.Priority.BATCH:
        return 2
    return 1 if request.prompt_tokens > LONG_PROMPT_TOKENS else 0


def supply_of(
    targets: typing.Iterable[admission.TargetAdmission],
    standing: admission.Standing,
    now_ms: float,
) -> Supply:
    """Return what the targets bear together, and what of it is free."""
    sequences = tokens = free_sequences = free_tokens = 0
    for target in targets:
        most = target.most()
        room = target.room(standing, now_ms)
        sequences += most.sequences
        tokens += most.tokens
        free_sequences += room.sequences
        free_tokens += room.tokens
    capacity = admission.Load(sequences, tokens)
    return Supply(capacity, admission.Load(free_sequences, free_tokens))
