"""The owner's choice of an engine by estimated time to first token.

The estimate of a candidate is its queue, then either the prefill of all pieces that it
lacks, or the transfer of those that another source holds (beside the queue) and the
prefill of the rest. The cheapest plan wins; among near equals the one that computes
least, then the rendezvous order of the prompt's root::

    chosen = placer.choose(prompt, candidates, bytes_per_token=1_000, now_ms=now_ms)
    match chosen:
        case result.Success(plan):
            placer.dispatched("run-1", prompt, plan, now_ms)
            plans.log("run-1", plan)

What was dispatched counts in the next choice at once: its prefill, its transfer, and
its pieces, which a later prompt may share. Such a plan names in ``after`` the run whose
first token it should wait for, as both would compute the same pieces otherwise.
"""

import math
import typing

from returns import result

from cornelreach.prompts import (
    directory as directory_module,
    flights,
    links,
    pieces,
    plans,
)
from cornelreach.util import errors, hashing

SOURCES_TRIED = 4
MOVING_KEPT = 4_096
RETRY_AFTER_MS = 1_000


class Policy(typing.NamedTuple):
    """Weights of the choice.

    ``recompute_weight`` adds a share of the prefill of pieces, for the calls that queue
    behind it. ``transfer_margin`` is by how much a transfer has to beat prefill; it may
    take as long as that prefill, at least ``stall_floor_ms``. ``stall_factor`` is how
    many times its estimate another run is waited for.
    """

    recompute_weight: float = 0.5
    transfer_margin: float = 1.25
    stall_factor: float = 2.0
    stall_floor_ms: float = 50.0
    near_share: float = 0.05
    near_ms: float = 10.0
    disk_ms: float = 20.0
    bring_in: bool = True
    share_in_flight: bool = True


class Candidate(typing.NamedTuple):
    """An engine that admission would send to now.

    ``queued_tokens`` is from the engine's last report. ``slot_wait_ms`` is how long
    until it has a free sequence; a plan for an engine without one has to be queued.
    """

    name: str
    prefill_tokens_per_s: int
    queued_tokens: int = 0
    slot_wait_ms: float = 0.0


class _Moving(typing.NamedTuple):
    transfer: links.Transfer
    saved_ms: float


class _Source(typing.NamedTuple):
    name: str
    bits: int
    disk_bits: int
    link: links.LinkState


class _Prompt(typing.NamedTuple):
    """A prompt with the running sum of its tokens."""

    pieces: pieces.PromptPieces
    ends: list[int]
    held: dict[str, directory_module.HeldPieces]
    shared: dict[str, tuple[str, int]]
    sources: list[_Source]
    bytes_per_token: int
    now_ms: float

    @property
    def total(self) -> int:
        return self.ends[-1]


class Placement:
    """Placement over the engines of one pool and the stores that they reach."""

    def __init__(
        self,
        directory: directory_module.Directory,
        link_budgets: links.Links,
        policy: Policy | None = None,
    ) -> None:
        self.directory = directory
        self.links = link_budgets
        self.policy = policy or Policy()
        self.flights = flights.Flights()
        self._moving: dict[str, _Moving] = {}

    def choose(
        self,
        prompt: pieces.PromptPieces,
        candidates: typing.Sequence[Candidate],
        bytes_per_token: int,
        now_ms: float,
        unusable: frozenset[str] = frozenset(),
    ) -> result.Result[plans.Plan, errors.Refusal]:
        """Return the plan with the earliest first token among the candidates.

        ``unusable`` are sources that are known but cannot be reached now. Nothing is
        counted until ``dispatched``. Fails with a refusal where no candidate is given.
        """
        if not candidates:
            return result.Failure(_no_room())
        seen = self._prompt(prompt, bytes_per_token, now_ms, unusable)
        costs = []
        bound_ms = math.inf
        holders_first = sorted(
            candidates, key=lambda known: known.name not in seen.held
        )
        for candidate in holders_first:
            cost = self._cost(seen, candidate, bound_ms)
            bound_ms = min(bound_ms, self._near(cost.total_ms))
            costs.append(cost)
        best = self._best(prompt.root, costs)
        return result.Success(self._plan(seen, best, tuple(costs)))

    def _prompt(
        self,
        prompt: pieces.PromptPieces,
        bytes_per_token: int,
        now_ms: float,
        unusable: frozenset[str],
    ) -> _Prompt:
        ends = [0]
        for tokens in prompt.tokens:
            ends.append(ends[-1] + tokens)
        held = self.directory.lookup(prompt.keys)
        usable = [
            name
            for name, found in held.items()
            if not found.stale and name not in unusable
        ]
        usable.sort(key=lambda name: -held[name].confirmed_bits)
        tried = usable[:SOURCES_TRIED] if self.policy.bring_in else []
        sources = [
            _Source(
                name,
                held[name].confirmed_bits,
                held[name].disk_bits,
                self.links.state(name, now_ms),
            )
            for name in tried
        ]
        shared = {}
        if self.policy.share_in_flight:
            shared = self.flights.shared(prompt.keys, now_ms)
        return _Prompt(prompt, ends, held, shared, sources, bytes_per_token, now_ms)

    def _cost(
        self, prompt: _Prompt, candidate: Candidate, bound_ms: float
    ) -> plans.Cost:
        """Return a candidate's cost; transfers count only where it can win by them."""
        name = candidate.name
        stated_ms = 1_000 / max(1, candidate.prefill_tokens_per_s)
        reported_ms = candidate.queued_tokens * stated_ms
        load = self.flights.load(name, prompt.now_ms, reported_ms)
        ms_per_token = stated_ms * load.pace
        wait_ms = load.wait_ms
        if candidate.slot_wait_ms > wait_ms:
            wait_ms = candidate.slot_wait_ms
        found = prompt.held.get(name)
        after, shared = prompt.shared.get(name, ("", 0))
        held = found.prefix if found else 0
        if shared > held:
            held = shared
        if (
            after
            and found
            and directory_module.run_length(found.confirmed_bits, 0) >= held
        ):
            after = ""
        lacking = prompt.total - prompt.ends[held]
        prefill_ms = lacking * ms_per_token
        total_ms = wait_ms + prefill_ms * (1 + self.policy.recompute_weight)
        base = plans.Cost(
            name, total_ms, wait_ms, 0.0, prefill_ms, held, 0, "", after, lacking
        )
        if not lacking or wait_ms > bound_ms:
            return base
        return self._cheapest(prompt, base, ms_per_token)

    def _cheapest(
        self, prompt: _Prompt, base: plans.Cost, ms_per_token: float
    ) -> plans.Cost:
        """Return the cost with pieces brought in, if that is lower."""
        best = base
        ends = prompt.ends
        weight = 1 + self.policy.recompute_weight
        target = self.links.state(base.target, prompt.now_ms)
        for source in prompt.sources:
            brought = directory_module.run_length(source.bits, base.held)
            if not brought or source.name == base.target:
                continue
            saved_tokens = ends[base.held + brought] - ends[base.held]
            size_bytes = saved_tokens * prompt.bytes_per_token
            transfer_ms = links.estimated_transfer_ms(source.link, target, size_bytes)
            if source.disk_bits >> base.held:
                transfer_ms += self.policy.disk_ms
            saved_ms = saved_tokens * ms_per_token
            if transfer_ms * self.policy.transfer_margin >= saved_ms:
                continue
            prefill_ms = base.prefill_ms - saved_ms
            start_ms = base.wait_ms if base.wait_ms > transfer_ms else transfer_ms
            total_ms = start_ms + prefill_ms * weight
            if total_ms < best.total_ms:
                best = base._replace(
                    total_ms=total_ms,
                    transfer_ms=transfer_ms,
                    prefill_ms=prefill_ms,
                    brought=brought,
                    source=source.name,
                    recompute_tokens=base.recompute_tokens - saved_tokens,
                    saved_ms=saved_ms,
                )
        return best

    def _near(self, total_ms: float) -> float:
        return total_ms * (1 + self.policy.near_share) + self.policy.near_ms

    def _best(self, root: str, costs: list[plans.Cost]) -> plans.Cost:
        lowest = min(cost.total_ms for cost in costs)
        near_ms = self._near(lowest)
        equals = [cost for cost in costs if cost.total_ms <= near_ms]
        least = min(cost.recompute_tokens for cost in equals)
        equals = [cost for cost in equals if cost.recompute_tokens == least]
        if len(equals) == 1:
            return equals[0]
        key = bytes.fromhex(root)
        return max(equals, key=lambda cost: hashing.score(key, cost.target))

    def _plan(
        self, prompt: _Prompt, best: plans.Cost, costs: tuple[plans.Cost, ...]
    ) -> plans.Plan:
        start, end = best.held, best.held + best.brought
        policy = self.policy
        size_bytes = (prompt.ends[end] - prompt.ends[start]) * prompt.bytes_per_token
        return plans.Plan(
            target=best.target,
            action=_action(best),
            source=best.source,
            bring=prompt.pieces.keys[_first(prompt, best) : end],
            bring_bytes=size_bytes,
            transfer_limit_ms=max(policy.stall_floor_ms, best.saved_ms),
            after=best.after,
            after_limit_ms=policy.stall_factor * best.wait_ms + policy.stall_floor_ms,
            cost=best,
            costs=costs,
        )

    def dispatched(
        self, run: str, prompt: pieces.PromptPieces, plan: plans.Plan, now_ms: float
    ) -> None:
        """Count a chosen plan: its prefill, its transfer and its pieces."""
        cost = plan.cost
        nominal_ms = cost.prefill_ms / self.flights.pace(plan.target)
        flight = flights.Flight(run, plan.target, prompt.keys, cost.held, nominal_ms)
        self.flights.add(flight, now_ms)
        if plan.source:
            path = (plan.source, plan.target)
            transfer = self.links.start(path, plan.bring_bytes, now_ms)
            saved_ms = cost.saved_ms / self.flights.pace(plan.target)
            self._moving[run] = _Moving(transfer, saved_ms)
            if len(self._moving) > MOVING_KEPT:
                del self._moving[next(iter(self._moving))]
        self.directory.assume(plan.target, prompt.keys, now_ms)

    def transferred(self, run: str, done: bool, now_ms: float) -> None:
        """Note the end of a run's transfer; one not done is made up by prefill."""
        moving = self._moving.pop(run, None)
        if moving is None:
            return
        self.links.finish(moving.transfer, now_ms, done)
        flight = self.flights.get(run)
        if flight is not None and not done:
            prefill_ms = flight.prefill_ms + moving.saved_ms
            self.flights.change(run, prefill_ms, now_ms)

    def first_token(self, run: str, now_ms: float) -> None:
        """Note a run's first token: its prefill is over and its pieces are held."""
        self.flights.first_token(run, now_ms)

    def ended(self, run: str, now_ms: float, served: bool = False) -> None:
        """Note the end of a run, which may be all that is told of it.

        Unless it was served, its pieces are not counted on, and its transfer counts as
        not done. Safe to call for a run that ended already.
        """
        if served:
            self._moving.pop(run, None)
        self.transferred(run, False, now_ms)
        flight = self.flights.remove(run, now_ms)
        if flight is not None and not served:
            self.directory.retract_assumed(flight.target, flight.keys[flight.held :])

    def target_lost(self, name: str) -> None:
        """Forget what is in flight at a target that restarted or left."""
        for run in self.flights.remove_target(name):
            self._moving.pop(run, None)


def _first(prompt: _Prompt, best: plans.Cost) -> int:
    """Return the first piece that an import names.

    Where the source has them, it names those that the engine holds too: they are next
    to be evicted, and would be by the import itself.
    """
    if not best.source:
        return best.held
    proved = prompt.held[best.source].confirmed_bits
    whole = directory_module.run_length(proved, 0) >= best.held
    return 0 if whole else best.held


def _action(best: plans.Cost) -> plans.Action:
    if best.brought:
        return plans.Action.BRING_IN
    return plans.Action.IN_PLACE if best.held else plans.Action.RECOMPUTE


def _no_room() -> errors.Refusal:
    return errors.Refusal(
        errors.Code.OVERLOADED,
        "no engine of the pool has room",
        "repeat after the stated time, or add engines to the pool",
        retry_after_ms=RETRY_AFTER_MS,
    )
