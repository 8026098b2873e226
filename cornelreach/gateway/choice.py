"""Which target takes a request.

Model engines are compared in prompt tokens to be read before the first token comes:
those that wait there already, those of this prompt that the engine does not hold, and
those that would push others out of its memory. Plain services are compared by how full
they are. Among near equals the home of the prompt, or chance, decides.
"""

import collections
import random
import typing

from cornelreach.gateway import (
    calls,
    catalogue,
    gossip as gossip_module,
    pace,
    roster as roster_module,
)
from cornelreach.util import hashing

LOAD_FADES_MS = 300.0  # an answer's load tells little after a mean run
RUN_COST = 150.0  # a run lengthens each step as reading some tokens does
MEMORY_SHARE = 0.9  # the rest holds what is cached and read by most prompts
HOME_DISCOUNT = 0.5  # a prompt's home holds it about as often as not
OVERFLOW_COST = 2.0  # a token beyond the memory is read twice
FETCH_COST = 0.25  # of reading the same tokens, over the links of engines and stores
NEAR_SHARE = 0.1
SUSPECT_COST = 20_000.0  # prompt tokens; an engine that does not answer some peer
SUSPECT_SHARE = 1.0
USUAL_SPREAD = 0.25  # of the shares of errors of sound targets, from few answers
USUAL_SLOWNESS = 1.0  # sound targets take up to twice as long as the fastest
FAILING_COST = 4.0
ENGINE_SPREAD = 0.1  # one answer lost lately, and no more
ENGINE_FAILING_COST = 60_000.0  # prompt tokens for an engine that fails every request
PARTS_KEPT = 4_096


class Held:
    """Parts that a target read lately for this instance, least recent first."""

    def __init__(self, tokens: int) -> None:
        self.tokens = tokens
        self._parts: collections.OrderedDict[tuple[str, str], int] = (
            collections.OrderedDict()
        )
        self._sum = 0

    def read(self, salt: str, parts: typing.Iterable[calls.Part]) -> None:
        """Note that the target read parts; the oldest ones yield."""
        for part in parts:
            self._sum -= self._parts.pop((salt, part.key), 0)
            self._parts[salt, part.key] = part.tokens
            self._sum += part.tokens
        while self._parts and (
            self._sum > self.tokens or len(self._parts) > PARTS_KEPT
        ):
            _, tokens = self._parts.popitem(last=False)
            self._sum -= tokens

    def holds(self, salt: str, part: calls.Part) -> bool:
        """Return whether a part was read here lately."""
        return (salt, part.key) in self._parts


class Wanted(typing.NamedTuple):
    """What a request asks of an engine; ``home`` is the root of its prompt."""

    parts: tuple[calls.Part, ...]
    prompt_tokens: int
    context_tokens: int
    home: str


def wanted(call: calls.Call) -> Wanted:
    """Return what a request asks of an engine."""
    parts = call.parts
    shared = parts[-2] if len(parts) > 1 else parts[0] if parts else None
    home = shared.key if shared else call.request_id
    return Wanted(parts, call.prompt_tokens, call.context_tokens, home)


class Chooser:
    """Picks targets; keeps what it has sent where."""

    def __init__(
        self,
        roster: roster_module.Roster,
        gossip: gossip_module.Gossip,
        zone: str,
        source: random.Random,
    ) -> None:
        self.roster = roster
        self.gossip = gossip
        self.zone = zone
        self.random = source
        self.held: dict[str, Held] = {}
        self.paces = pace.Paces()

    def plain(
        self, targets: typing.Sequence[roster_module.Target], now_ms: float
    ) -> roster_module.Target:
        """Return the target of a plain service with the most room."""

        states = [self.roster.state(one.id) for one in targets]
        best_ms = min((one.answer_ms for one in states if one.answer_ms), default=1.0)
        fewest = min(one.error_share for one in states)

        def cost(target: roster_module.Target) -> float:
            state = self.roster.state(target.id)
            busy = self._busy(target, now_ms) / max(1, target.slots)
            slow = (state.answer_ms or best_ms) / best_ms - 1.0
            failing = max(0.0, state.error_share - fewest - USUAL_SPREAD)
            away = 0.0 if target.zone == self.zone else NEAR_SHARE
            outlier = max(0.0, slow - USUAL_SLOWNESS) + failing * FAILING_COST
            suspect = SUSPECT_SHARE if self.gossip.is_suspected(target.id) else 0.0
            chance = self.random.random() * NEAR_SHARE
            return busy + outlier + suspect + away + chance

        return min(targets, key=cost)

    def engine(
        self,
        targets: typing.Sequence[roster_module.Target],
        wants: Wanted,
        salt_of: typing.Callable[[roster_module.Target], str],
        kept: typing.Callable[[calls.Part, str], bool],
        service: catalogue.Service,
        extra: typing.Callable[[roster_module.Target], float],
    ) -> tuple[roster_module.Target, float]:
        """Return the engine that would read the prompt soonest, and what it reads."""
        homes = hashing.rendezvous(wants.home.encode(), [one.id for one in targets])
        memory = service.engine.memory_tokens

        fewest = min(self.roster.state(one.id).error_share for one in targets)
        missing = {
            one.id: self._missing(one, wants, salt_of(one), kept) for one in targets
        }

        def cost(target: roster_module.Target) -> float:
            reads = missing[target.id]
            if target.id == homes[0]:
                reads *= HOME_DISCOUNT
            pressure = self._pressure(target, wants, memory)
            suspect = SUSPECT_COST if self.gossip.is_suspected(target.id) else 0.0
            slow = self.paces.ratio(target.id)
            errors = self.roster.state(target.id).error_share - fewest
            failing = max(0.0, errors - ENGINE_SPREAD) * ENGINE_FAILING_COST
            return (reads + pressure) * slow + suspect + failing + extra(target)

        chosen = min(targets, key=cost)
        return chosen, missing[chosen.id]

    def unread(self, target: str) -> float:
        """Return the tokens that wait to be read at an engine, of all instances."""
        others = self.gossip.others(target)
        return self.roster.state(target).unread_tokens + others.unread_tokens

    def _missing(
        self,
        target: roster_module.Target,
        wants: Wanted,
        salt: str,
        kept: typing.Callable[[calls.Part, str], bool],
    ) -> float:
        """Return the tokens to be read, those to be fetched at their lower cost."""
        held = self.held.get(target.id)
        if not wants.parts:
            return wants.prompt_tokens
        missing = 0.0
        reading = False
        for part in wants.parts:
            if not reading and held is not None and held.holds(salt, part):
                continue
            fetched = not reading and kept(part, salt)
            reading = reading or not fetched
            missing += part.tokens * (FETCH_COST if fetched else 1.0)
        return missing

    def _pressure(
        self,
        target: roster_module.Target,
        wants: Wanted,
        memory: int,
    ) -> float:
        state = self.roster.state(target.id)
        others = self.gossip.others(target.id)
        unread = state.unread_tokens + others.unread_tokens
        context = state.in_flight_tokens + others.context_tokens
        running = state.in_flight + others.requests
        overflow = max(0.0, context + wants.context_tokens - memory * MEMORY_SHARE)
        return unread + running * RUN_COST + overflow * OVERFLOW_COST

    def _busy(self, target: roster_module.Target, now_ms: float) -> float:
        state = self.roster.state(target.id)
        others = self.gossip.others(target.id)
        known = state.in_flight + others.requests
        if state.load is None:
            return known
        fade = max(0.0, 1.0 - (now_ms - state.load_ms) / LOAD_FADES_MS)
        reported = (state.load.running + state.load.waiting) * fade
        return max(known, reported)

    def sent(self, target: str, salt: str, wants: Wanted, memory: int) -> None:
        """Note that an engine has read a prompt."""
        held = self.held.get(target)
        if held is None:
            held = self.held[target] = Held(memory)
        held.read(salt, wants.parts)

    def keep(self, targets: typing.Container[str]) -> None:
        """Forget what targets held that have gone."""
        for target in [one for one in self.held if one not in targets]:
            del self.held[target]
            self.paces.forget(target)
