"""Estimates when a request would begin at an engine, and whether it fits there.

An engine whose memory runs out preempts requests, and prefills their prompts again. So
a request fits only if the context tokens promised to all requests there, by all
instances, stay within a share of the memory. Times are in milliseconds, rates in
prompt tokens a millisecond::

    load = roomestimate.Load(requests=4, context_tokens=38_000, prefill_tokens=9_000)
    demand = roomestimate.Demand(context_tokens=9_400, prompt_tokens=1_670, rank=1)
    roomestimate.has_room(load, demand, service.engine)  # False
    after_ms = roomestimate.room_ms(load, demand, service.engine, hold_ms=900.0)
    roomestimate.first_token_ms(load, demand, after_ms, rate=44.2)
"""

import typing

from cornelreach.gateway import catalogue, prefillrates

URGENT_RANK = 0
URGENT_SHARE = 0.95  # of an engine's memory
# The rest is for more urgent requests, which would preempt others. In a trial, with
# 0.95 for rank 0, the preempted requests fell from 1,525 to 170 of 13,907.
OTHER_SHARE = 0.85
INITIAL_HOLD_MS = 1_000.0  # before the first request has ended
NEWEST_WEIGHT = 0.05
MIN_RATE = 0.001
LATE_OBJECTIVES = 3.0  # beyond so many objectives a first token is worth too little


class Load(typing.NamedTuple):
    """The requests of all instances at one engine.

    ``pace`` is how long work takes there, compared with the usual time of 1.0.
    """

    requests: int = 0
    context_tokens: int = 0
    prefill_tokens: float = 0.0
    pace: float = 1.0


class Demand(typing.NamedTuple):
    """What a request needs: memory, and tokens to prefill before its first token."""

    context_tokens: int
    prompt_tokens: float
    rank: int


class Limits(typing.NamedTuple):
    """The latest time of a first token since the request arrived, and why."""

    objective_ms: float
    deadline_ms: float

    def bound_ms(self) -> float:
        """Return when a first token is worth too little, or nothing."""
        return min(self.deadline_ms, self.objective_ms * LATE_OBJECTIVES)

    def reason(self, first_ms: float) -> str:
        """Return which limit a first token would miss."""
        return "deadline" if first_ms > self.deadline_ms else "late"


def memory_limit(rank: int, engine: catalogue.Engine) -> float:
    """Return how many tokens may be promised at an engine with a request of a rank."""
    share = URGENT_SHARE if rank <= URGENT_RANK else OTHER_SHARE
    return share * engine.memory_tokens


def has_room(load: Load, demand: Demand, engine: catalogue.Engine) -> bool:
    """Return whether a request would begin at once and preempt none.

    An engine without requests takes any.
    """
    return places(load, demand, engine) > 0


def places(load: Load, demand: Demand, engine: catalogue.Engine) -> int:
    """Return how many requests like one would begin at once and preempt none."""
    left = memory_limit(demand.rank, engine) - load.context_tokens
    slots = engine.slots - load.requests
    if left < demand.context_tokens or slots <= 0:
        return 0 if load.requests else 1
    return min(slots, int(left // (demand.context_tokens or 1)) or 1)


def take_share(free_places: int, engines: int, instances: int, wanted: float) -> float:
    """Return the probability with which an instance takes free places of an engine.

    Reports take a while, so the other instances see the same places. If each of them
    wants as many as this one, at any of the engines with free places, all together take
    on average no more than there are.
    """
    others = (instances - 1) * min(1.0, wanted / max(1, engines))
    return free_places / (1.0 + others)


class Arrivals:
    """The rate of requests, as a moving average of the times between them."""

    def __init__(self) -> None:
        self._mean_ms: float | None = None
        self._last_ms: float | None = None

    def record(self, now_ms: float) -> None:
        """Count a request."""
        if self._last_ms is not None:
            gap_ms = now_ms - self._last_ms
            mean_ms = gap_ms if self._mean_ms is None else self._mean_ms
            self._mean_ms = mean_ms + NEWEST_WEIGHT * (gap_ms - mean_ms)
        self._last_ms = now_ms

    def expected(self, span_ms: float) -> float:
        """Return how many requests arrive in a time."""
        return 0.0 if self._mean_ms is None else span_ms / max(0.1, self._mean_ms)


def room_ms(
    load: Load, demand: Demand, engine: catalogue.Engine, hold_ms: float
) -> float:
    """Return the time until enough of the requests at an engine have ended.

    They end evenly over ``hold_ms``, the mean time that a request stays there.
    """
    if places(load, demand, engine):
        return 0.0
    hold_ms *= load.pace
    limit = memory_limit(demand.rank, engine)
    if demand.context_tokens > limit:
        return hold_ms  # it fits once all others have ended
    ending = max(0, load.requests - engine.slots + 1) / load.requests
    excess = load.context_tokens + demand.context_tokens - limit
    freed = excess / load.context_tokens if excess > 0 else 0.0
    return hold_ms * min(1.0, max(ending, freed))


def first_token_ms(load: Load, demand: Demand, after_ms: float, rate: float) -> float:
    """Return the expected time to the first token at an engine with room later."""
    ms_per_token = load.pace / max(rate, MIN_RATE)
    begin_ms = max(after_ms, load.prefill_tokens * ms_per_token)
    own_ms = demand.prompt_tokens * ms_per_token
    return begin_ms + own_ms + prefillrates.STEP_MS


def ahead_ms(
    tokens: float, loads: typing.Iterable[Load], hold_ms: float, share: float
) -> float:
    """Return the time until memory is free for the tokens of requests that wait ahead.

    ``share`` is this instance's part of the memory that becomes free.
    """
    if tokens <= 0:
        return 0.0
    occupied = sum(one.context_tokens for one in loads)
    return tokens * hold_ms / max(1.0, occupied * share)


class HoldTimes:
    """How long memory is held at an engine, as a moving average by service.

    Each request counts by its tokens: what is occupied, divided by this average, is
    what becomes free in a millisecond.
    """

    def __init__(self) -> None:
        self._means: dict[str, tuple[float, float]] = {}

    def record(self, service: str, tokens: int, held_ms: float) -> None:
        """Update the average from a request that ended."""
        tokens = max(1, tokens)
        products, sizes = self._means.get(service, (tokens * held_ms, float(tokens)))
        products += NEWEST_WEIGHT * (tokens * held_ms - products)
        sizes += NEWEST_WEIGHT * (tokens - sizes)
        self._means[service] = products, sizes

    def mean_ms(self, service: str) -> float:
        """Return the average."""
        products, sizes = self._means.get(service, (INITIAL_HOLD_MS, 1.0))
        return products / sizes
