"""Load balancing: picks the target with the lowest estimated cost.

The cost of a model engine is the number of prompt tokens to prefill before the first
token of the answer: those already queued there, those of this prompt that the engine
has not cached, and those that would evict others from its memory. The cost of a plain
target is its utilisation. Both are multiplied by the pace that the target reported: how
long work takes there now. Near-ties are decided by rendezvous hashing of the prompt for
engines and by chance for plain targets.
"""

import collections
import functools
import math
import random
import typing

from cornelreach.gateway import (
    calls,
    catalogue,
    datagrams,
    gossip as gossip_module,
    prefillrates,
    registry as registry_module,
)
from cornelreach.util import hashing

RUN_COST = 150.0  # tokens; a running request slows each step like prefilling them
MEMORY_SHARE = 0.9  # the rest is occupied by cached parts that most prompts share
HOME_DISCOUNT = 0.5  # a prompt's home engine has it cached about half of the time
OVERFLOW_COST = 2.0  # a token that exceeds the memory is prefilled twice
FETCH_COST = 0.25  # of prefilling; over the links between engines and stores
NEAR_SHARE = 0.1
SUSPECT_COST = 20_000.0  # prompt tokens; for an engine that some peer cannot reach
SUSPECT_SHARE = 1.0
ERROR_TOLERANCE = 0.25  # how far healthy targets' error rates differ, by few answers
SLOWNESS_TOLERANCE = 1.0  # healthy targets take up to twice as long as the fastest
FAILING_COST = 4.0
ENGINE_ERROR_TOLERANCE = 0.1  # the error rate after a single recent lost answer
ENGINE_FAILING_COST = 60_000.0  # prompt tokens; for an engine that always fails
MAX_PARTS = 4_096


class CachedParts:
    """LRU model of the prompt parts that a target has cached.

    It covers only what this instance has sent there, least recently used first.
    """

    def __init__(self, tokens: int) -> None:
        self.tokens = tokens
        self._parts: collections.OrderedDict[tuple[str, str], int] = (
            collections.OrderedDict()
        )
        self._total = 0

    def add(self, salt: str, parts: typing.Iterable[calls.Part]) -> None:
        """Record parts that the target has prefilled, and evict the oldest ones."""
        for part in parts:
            self._total -= self._parts.pop((salt, part.key), 0)
            self._parts[salt, part.key] = part.tokens
            self._total += part.tokens
        while self._parts and (
            self._total > self.tokens or len(self._parts) > MAX_PARTS
        ):
            _, tokens = self._parts.popitem(last=False)
            self._total -= tokens

    def holds(self, salt: str, part: calls.Part) -> bool:
        """Return whether a part is probably still cached."""
        return (salt, part.key) in self._parts

    def holds_any(self, salt: str, parts: typing.Iterable[calls.Part]) -> bool:
        """Return whether one of the parts is probably still cached."""
        return any((salt, part.key) in self._parts for part in parts)


class PromptRequest(typing.NamedTuple):
    """What a request demands of an engine.

    ``affinity_key`` selects its preferred (home) engine, so that prompts with the same
    leading parts go to the same one.
    """

    parts: tuple[calls.Part, ...]
    prompt_tokens: int
    context_tokens: int
    affinity_key: str


def prompt_request(call: calls.Call) -> PromptRequest:
    """Return what a request demands of an engine."""
    parts = call.parts
    shared = parts[-2] if len(parts) > 1 else parts[0] if parts else None
    home = shared.key if shared else call.request_id
    return PromptRequest(parts, call.prompt_tokens, call.context_tokens, home)


def _load_cost(
    state: registry_module.State, others: datagrams.TargetLoad, memory_left: float
) -> float:
    """Return the cost of queued tokens, running requests and memory overflow.

    ``memory_left`` is what a target without load has left beside the prompt.
    """
    queued = state.prefill_tokens + others.prefill_tokens
    running = state.in_flight + others.requests
    overflow = state.in_flight_tokens + others.context_tokens - memory_left
    cost = queued + running * RUN_COST
    return cost + overflow * OVERFLOW_COST if overflow > 0 else cost


class Balancer:
    """Picks targets, and remembers which prompts were sent to which."""

    def __init__(
        self,
        registry: registry_module.TargetRegistry,
        gossip: gossip_module.Gossip,
        zone: str,
        source: random.Random,
    ) -> None:
        self.registry = registry
        self.gossip = gossip
        self.zone = zone
        self.random = source
        self.cached: dict[str, CachedParts] = {}
        self.prefill_rates = prefillrates.PrefillRates()

    def choose_plain(
        self, targets: typing.Sequence[registry_module.Target], now_ms: float
    ) -> registry_module.Target:
        """Return the target of a plain service with the lowest cost."""
        states = [self.registry.state(one.id) for one in targets]
        best_ms = min((one.answer_ms for one in states if one.answer_ms), default=1.0)
        lowest_error = min(one.error_share for one in states)

        def cost(target: registry_module.Target) -> float:
            state = self.registry.state(target.id)
            utilisation = self._active_requests(target, now_ms) / max(1, target.slots)
            utilisation *= state.pace(now_ms)
            slow = (state.answer_ms or best_ms) / best_ms - 1.0
            failing = max(0.0, state.error_share - lowest_error - ERROR_TOLERANCE)
            distance = 0.0 if target.zone == self.zone else NEAR_SHARE
            outlier = max(0.0, slow - SLOWNESS_TOLERANCE) + failing * FAILING_COST
            suspect = SUSPECT_SHARE if self.gossip.is_suspected(target.id) else 0.0
            jitter = self.random.random() * NEAR_SHARE
            return utilisation + outlier + suspect + distance + jitter

        return min(targets, key=cost)

    def choose_engine(
        self,
        targets: typing.Sequence[registry_module.Target],
        demand: PromptRequest,
        salt_of: typing.Callable[[registry_module.Target], str],
        is_stored: typing.Callable[[calls.Part, str], bool],
        service: catalogue.Service,
        extra: typing.Callable[[registry_module.Target], float],
    ) -> tuple[registry_module.Target, float]:
        """Return the engine with the lowest cost, and the tokens it has to prefill.

        ``is_stored`` tells whether a part can be fetched from a prompt store under a
        salt; ``extra`` returns an additional cost of a target.
        """
        home = hashing.preferred(
            demand.affinity_key.encode(), [one.id for one in targets]
        )
        memory = service.engine.memory_tokens * MEMORY_SHARE - demand.context_tokens
        states = [self.registry.state(one.id) for one in targets]
        lowest_error = min(state.error_share for state in states)
        now_ms = self.gossip.clock.now_ms()
        loads = self.gossip.peer_loads()
        suspected = self.gossip.suspected_targets()
        slowdown = self.prefill_rates.slowdown

        @functools.cache
        def uncached(salt: str) -> float:
            return self._missing_tokens(None, demand, salt, is_stored)

        best, best_cost, best_missing = targets[0], math.inf, 0.0
        for target, state in zip(targets, states, strict=True):
            name = target.id
            salt = salt_of(target)
            held = self.cached.get(name)
            if held is None or not held.holds_any(salt, demand.parts):
                missing = uncached(salt)
            else:
                missing = self._missing_tokens(held, demand, salt, is_stored)
            own = missing * HOME_DISCOUNT if name == home else missing
            load = _load_cost(state, loads.get(name, datagrams.NO_LOAD), memory)
            cost = (own + load) * slowdown(name) * state.pace(now_ms) + extra(target)
            if name in suspected:
                cost += SUSPECT_COST
            errors = state.error_share - lowest_error - ENGINE_ERROR_TOLERANCE
            if errors > 0:
                cost += errors * ENGINE_FAILING_COST
            if cost < best_cost:
                best, best_cost, best_missing = target, cost, missing
        return best, best_missing

    def prefill_backlog(self, target: str) -> float:
        """Return the tokens queued for prefill at an engine by all instances."""
        others = self.gossip.peer_load(target)
        return self.registry.state(target).prefill_tokens + others.prefill_tokens

    def _missing_tokens(
        self,
        held: CachedParts | None,
        demand: PromptRequest,
        salt: str,
        is_stored: typing.Callable[[calls.Part, str], bool],
    ) -> float:
        """Return the tokens to prefill, with fetched ones counted at their lower cost.

        Once a part has to be prefilled, so have all parts that follow it.
        """
        if not demand.parts:
            return demand.prompt_tokens
        missing = 0.0
        prefilling = False
        for part in demand.parts:
            if not prefilling and held is not None and held.holds(salt, part):
                continue
            fetched = not prefilling and is_stored(part, salt)
            prefilling = prefilling or not fetched
            missing += part.tokens * (FETCH_COST if fetched else 1.0)
        return missing

    def _active_requests(self, target: registry_module.Target, now_ms: float) -> float:
        """Return the requests at a target, known or, if higher, recently reported."""
        state = self.registry.state(target.id)
        others = self.gossip.peer_load(target.id)
        known = state.in_flight + others.requests
        if state.load is None:
            return known
        reported = state.load.running + state.load.waiting
        return max(known, reported * state.load_weight(now_ms))

    def record_prompt(
        self, target: str, salt: str, demand: PromptRequest, memory: int
    ) -> None:
        """Record that an engine is about to prefill a prompt."""
        held = self.cached.get(target)
        if held is None:
            held = self.cached[target] = CachedParts(memory)
        held.add(salt, demand.parts)

    def retain(self, targets: typing.Container[str]) -> None:
        """Forget the cached parts and rates of all targets but these."""
        for target in [one for one in self.cached if one not in targets]:
            del self.cached[target]
            self.prefill_rates.forget(target)
