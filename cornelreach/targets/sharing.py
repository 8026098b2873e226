"""How much of a pool's capacity an account may use alongside others.

An account within its weighted share of sequences and prefill rate may use any free
capacity, and targets prefill its prompts first. Beyond its share or its token budget it
has to leave ``RESERVE_SHARE`` of the pool free and is prefilled last, so that a call of
another account finds free capacity at once and has little to wait for.
"""

import typing

from cornelreach.targets import admission, fairness, permits

RESERVE_SHARE = 0.125


class PoolCapacity(typing.NamedTuple):
    """Total and free capacity of a pool's targets.

    ``max_free_tokens`` is the largest number of free tokens of any one target.
    """

    total: admission.Load
    free: admission.Load
    tokens_per_s: float
    max_free_tokens: int


class PoolAccess(typing.NamedTuple):
    """Whether a call may use the pool now, and with which priority at the target."""

    allowed: bool
    deprioritized: bool

    def priority(self, prefill_tokens: int) -> int:
        """Return a call's priority at the target; a lower value is prefilled first."""
        is_long = prefill_tokens > fairness.LONG_PROMPT_TOKENS
        return 2 * self.deprioritized + is_long


def access_for(
    entry: fairness.Entry,
    queue: fairness.FairQueue,
    capacity: PoolCapacity,
    now_ms: float,
) -> PoolAccess:
    """Return how a queued call may use the pool."""
    request = entry.request
    share = queue.fair_share(request.account, capacity.total.sequences, now_ms)
    used = queue.outstanding_sequences(request.account) + request.sequences
    over_share = (
        used > max(1.0, share)
        or queue.is_over_budget(request.account, now_ms)
        or queue.exceeds_prefill_share(request.account, capacity.tokens_per_s, now_ms)
    )
    aged = now_ms - entry.arrived_ms >= fairness.AGING_MS and used <= 1
    allowed = not over_share or aged or _leaves_reserve(request, capacity)
    batch = request.priority is permits.Priority.BATCH
    return PoolAccess(allowed, deprioritized=over_share or batch)


def _leaves_reserve(request: permits.PermitRequest, capacity: PoolCapacity) -> bool:
    sequences = capacity.free.sequences - request.sequences
    tokens = capacity.free.tokens - request.prompt_tokens
    return sequences >= int(capacity.total.sequences * RESERVE_SHARE) and tokens >= int(
        capacity.total.tokens * RESERVE_SHARE
    )


def capacity_of(
    targets: typing.Iterable[admission.TargetAdmission],
    admission_right: admission.AdmissionRight,
    now_ms: float,
) -> PoolCapacity:
    """Return the combined capacity of the targets and the free part of it."""
    sequences = tokens = free_sequences = free_tokens = 0
    tokens_per_s = 0.0
    max_free_tokens = 0
    for target in targets:
        limit = target.limit()
        available = target.available(admission_right, now_ms)
        sequences += limit.sequences
        tokens += limit.tokens
        free_sequences += available.sequences
        free_tokens += available.tokens
        max_free_tokens = max(max_free_tokens, available.tokens)
        tokens_per_s += target.limits.prefill_tokens_per_s
    total = admission.Load(sequences, tokens)
    free = admission.Load(free_sequences, free_tokens)
    return PoolCapacity(total, free, tokens_per_s, max_free_tokens)
