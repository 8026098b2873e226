"""Choice of an engine by the pool owner, by estimated time to first token.

The estimate for a candidate is its queue plus the prefill of the pieces that it lacks.
If another source holds some of these, they can be transferred while the request is
queued, and only the rest has to be computed. The plan with the lowest cost wins. Among
plans of nearly equal cost, the one with the least prefill wins, and among several of
these the first in the rendezvous order of the prompt's root::

    chosen = placer.choose(prompt, candidates, bytes_per_token=1_000, now_ms=now_ms)
    match chosen:
        case result.Success(plan):
            placer.record_dispatch("run-1", prompt, plan, now_ms)
            plans.log("run-1", plan)

A dispatched plan counts in the next choice immediately: its prefill, its transfer, and
its pieces, which a later prompt may share. The plan of such a prompt names in ``after``
the run whose first token it should wait for, as otherwise both runs would compute the
same pieces.
"""

import math
import typing

from returns import result

from cornelreach.prompts import (
    directory as directory_module,
    inflight,
    links,
    pieces,
    plans,
)
from cornelreach.util import errors, hashing

MAX_TRIED_SOURCES = 4
MAX_ACTIVE_TRANSFERS = 4_096
RETRY_AFTER_MS = 1_000


class Policy(typing.NamedTuple):
    """Parameters of the choice.

    ``recompute_weight`` is the share of the prefill time that is added to the cost, for
    the calls that queue behind it. A transfer is only used if its estimate times
    ``transfer_margin`` is below the prefill time that it saves. It is given up after
    that saved time, but not before ``min_limit_ms``. Another run is awaited for
    ``after_wait_factor`` times the estimated wait, plus ``min_limit_ms``. Costs are
    nearly equal if they exceed the lowest one by at most ``tie_share`` of it plus
    ``tie_ms``. ``disk_ms`` is the additional time of a transfer that reads from disk.
    ``bring_in`` enables transfers, ``share_in_flight`` plans that wait for another run.
    """

    recompute_weight: float = 0.5
    transfer_margin: float = 1.25
    after_wait_factor: float = 2.0
    min_limit_ms: float = 50.0
    tie_share: float = 0.05
    tie_ms: float = 10.0
    disk_ms: float = 20.0
    bring_in: bool = True
    share_in_flight: bool = True


class Candidate(typing.NamedTuple):
    """An engine to which admission would send the request now.

    ``queued_tokens`` comes from the engine's last report. ``slot_wait_ms`` is the time
    until it has a free sequence; a plan for an engine without one has to be queued.
    """

    name: str
    prefill_tokens_per_s: int
    queued_tokens: int = 0
    slot_wait_ms: float = 0.0


class _ActiveTransfer(typing.NamedTuple):
    transfer: links.Transfer
    saved_ms: float


class _Source(typing.NamedTuple):
    name: str
    bits: int
    disk_bits: int
    link: links.LinkState


class _PromptContext(typing.NamedTuple):
    """A prompt and what is known about it during one choice.

    ``token_ends`` holds the running sum of the token counts of its pieces.
    """

    pieces: pieces.PromptPieces
    token_ends: list[int]
    held: dict[str, directory_module.HeldPieces]
    shared: dict[str, tuple[str, int]]
    sources: list[_Source]
    bytes_per_token: int
    now_ms: float

    @property
    def total_tokens(self) -> int:
        return self.token_ends[-1]


class Placement:
    """Places prompts on the engines of one pool, which can also import from stores."""

    def __init__(
        self,
        directory: directory_module.Directory,
        link_budgets: links.Links,
        policy: Policy | None = None,
    ) -> None:
        self.directory = directory
        self.links = link_budgets
        self.policy = policy or Policy()
        self.in_flight = inflight.InFlightRuns()
        self._active_transfers: dict[str, _ActiveTransfer] = {}

    def choose(
        self,
        prompt: pieces.PromptPieces,
        candidates: typing.Sequence[Candidate],
        bytes_per_token: int,
        now_ms: float,
        unreachable: frozenset[str] = frozenset(),
    ) -> result.Result[plans.Plan, errors.Refusal]:
        """Return the best plan among the candidates, or a refusal if there are none.

        ``unreachable`` are known sources that do not answer at present. The choice has
        no effect on later ones until ``record_dispatch`` is called.
        """
        if not candidates:
            return result.Failure(_no_room_refusal())
        context = self._context(prompt, bytes_per_token, now_ms, unreachable)
        costs = []
        bound_ms = math.inf
        holders_first = sorted(
            candidates, key=lambda known: known.name not in context.held
        )
        for candidate in holders_first:
            cost = self._cost(context, candidate, bound_ms)
            bound_ms = min(bound_ms, self._tie_bound_ms(cost.total_ms))
            costs.append(cost)
        best = self._select(prompt.root, costs)
        return result.Success(self._plan(context, best, tuple(costs)))

    def _context(
        self,
        prompt: pieces.PromptPieces,
        bytes_per_token: int,
        now_ms: float,
        unreachable: frozenset[str],
    ) -> _PromptContext:
        token_ends = [0]
        for tokens in prompt.tokens:
            token_ends.append(token_ends[-1] + tokens)
        held = self.directory.lookup(prompt.keys)
        usable = [
            name
            for name, found in held.items()
            if not found.stale and name not in unreachable
        ]
        usable.sort(key=lambda name: -held[name].confirmed_bits)
        best_sources = usable[:MAX_TRIED_SOURCES] if self.policy.bring_in else []
        sources = [
            _Source(
                name,
                held[name].confirmed_bits,
                held[name].disk_bits,
                self.links.state(name, now_ms),
            )
            for name in best_sources
        ]
        shared = {}
        if self.policy.share_in_flight:
            shared = self.in_flight.shared_prefixes(prompt.keys, now_ms)
        return _PromptContext(
            prompt, token_ends, held, shared, sources, bytes_per_token, now_ms
        )

    def _cost(
        self, prompt: _PromptContext, candidate: Candidate, bound_ms: float
    ) -> plans.Cost:
        """Return the cost of a candidate.

        Transfers are not considered if it could not win with one, as its queue alone
        exceeds ``bound_ms``.
        """
        name = candidate.name
        configured_ms_per_token = 1_000 / max(1, candidate.prefill_tokens_per_s)
        reported_ms = candidate.queued_tokens * configured_ms_per_token
        load = self.in_flight.load(name, prompt.now_ms, reported_ms)
        ms_per_token = configured_ms_per_token * load.slowdown
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
        missing_tokens = prompt.total_tokens - prompt.token_ends[held]
        prefill_ms = missing_tokens * ms_per_token
        total_ms = wait_ms + prefill_ms * (1 + self.policy.recompute_weight)
        base = plans.Cost(
            name, total_ms, wait_ms, 0.0, prefill_ms, held, 0, "", after, missing_tokens
        )
        if not missing_tokens or wait_ms > bound_ms:
            return base
        return self._with_best_transfer(prompt, base, ms_per_token)

    def _with_best_transfer(
        self, prompt: _PromptContext, base: plans.Cost, ms_per_token: float
    ) -> plans.Cost:
        """Return the cost with the best transfer, or ``base`` if none is cheaper."""
        best = base
        token_ends = prompt.token_ends
        prefill_weight = 1 + self.policy.recompute_weight
        target = self.links.state(base.target, prompt.now_ms)
        for source in prompt.sources:
            brought = directory_module.run_length(source.bits, base.held)
            if not brought or source.name == base.target:
                continue
            saved_tokens = token_ends[base.held + brought] - token_ends[base.held]
            size_bytes = saved_tokens * prompt.bytes_per_token
            transfer_ms = links.estimated_transfer_ms(source.link, target, size_bytes)
            if source.disk_bits >> base.held:
                transfer_ms += self.policy.disk_ms
            saved_ms = saved_tokens * ms_per_token
            if transfer_ms * self.policy.transfer_margin >= saved_ms:
                continue
            prefill_ms = base.prefill_ms - saved_ms
            start_ms = base.wait_ms if base.wait_ms > transfer_ms else transfer_ms
            total_ms = start_ms + prefill_ms * prefill_weight
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

    def _tie_bound_ms(self, total_ms: float) -> float:
        return total_ms * (1 + self.policy.tie_share) + self.policy.tie_ms

    def _select(self, root: str, costs: list[plans.Cost]) -> plans.Cost:
        lowest = min(cost.total_ms for cost in costs)
        tie_bound_ms = self._tie_bound_ms(lowest)
        ties = [cost for cost in costs if cost.total_ms <= tie_bound_ms]
        least = min(cost.recompute_tokens for cost in ties)
        ties = [cost for cost in ties if cost.recompute_tokens == least]
        if len(ties) == 1:
            return ties[0]
        key = bytes.fromhex(root)
        return max(ties, key=lambda cost: hashing.score(key, cost.target))

    def _plan(
        self, prompt: _PromptContext, best: plans.Cost, costs: tuple[plans.Cost, ...]
    ) -> plans.Plan:
        start, end = best.held, best.held + best.brought
        policy = self.policy
        size_bytes = (
            prompt.token_ends[end] - prompt.token_ends[start]
        ) * prompt.bytes_per_token
        return plans.Plan(
            target=best.target,
            action=_action(best),
            source=best.source,
            bring=prompt.pieces.keys[_first_import_index(prompt, best) : end],
            bring_bytes=size_bytes,
            transfer_limit_ms=max(policy.min_limit_ms, best.saved_ms),
            after=best.after,
            after_limit_ms=policy.after_wait_factor * best.wait_ms
            + policy.min_limit_ms,
            cost=best,
            costs=costs,
        )

    def record_dispatch(
        self, run: str, prompt: pieces.PromptPieces, plan: plans.Plan, now_ms: float
    ) -> None:
        """Count a plan in later choices: its prefill, its transfer and its pieces."""
        cost = plan.cost
        configured_ms = cost.prefill_ms / self.in_flight.slowdown(plan.target)
        in_flight = inflight.InFlightRun(
            run, plan.target, prompt.keys, cost.held, configured_ms
        )
        self.in_flight.add(in_flight, now_ms)
        if plan.source:
            path = (plan.source, plan.target)
            transfer = self.links.start(path, plan.bring_bytes, now_ms)
            saved_ms = cost.saved_ms / self.in_flight.slowdown(plan.target)
            self._active_transfers[run] = _ActiveTransfer(transfer, saved_ms)
            if len(self._active_transfers) > MAX_ACTIVE_TRANSFERS:
                del self._active_transfers[next(iter(self._active_transfers))]
        self.directory.assume(plan.target, prompt.keys, now_ms)

    def record_transfer_end(self, run: str, done: bool, now_ms: float) -> None:
        """Record the end of a run's transfer; after a failure, prefill replaces it."""
        active = self._active_transfers.pop(run, None)
        if active is None:
            return
        self.links.finish(active.transfer, now_ms, done)
        in_flight = self.in_flight.get(run)
        if in_flight is not None and not done:
            prefill_ms = in_flight.prefill_ms + active.saved_ms
            self.in_flight.restart_prefill(run, prefill_ms, now_ms)

    def record_first_token(self, run: str, now_ms: float) -> None:
        """Record a run's first token: its prefill is over and its pieces are held."""
        self.in_flight.first_token(run, now_ms)

    def record_run_end(self, run: str, now_ms: float, served: bool = False) -> None:
        """Record the end of a run, which may be the only report about it.

        Unless it was served, its assumed pieces are dropped and its transfer counts as
        failed. Runs that have already ended are ignored.
        """
        if served:
            self._active_transfers.pop(run, None)
        self.record_transfer_end(run, False, now_ms)
        in_flight = self.in_flight.remove(run, now_ms)
        if in_flight is not None and not served:
            self.directory.retract_assumed(
                in_flight.target, in_flight.keys[in_flight.held :]
            )

    def forget_target(self, name: str) -> None:
        """Drop the runs and transfers of a target that restarted or left."""
        for run in self.in_flight.remove_target(name):
            self._active_transfers.pop(run, None)


def _first_import_index(prompt: _PromptContext, best: plans.Cost) -> int:
    """Return the index of the first piece to name in an import.

    The pieces that the engine already holds are named too if the source has them, as
    they would be the next to be evicted, even by the import itself.
    """
    if not best.source:
        return best.held
    confirmed = prompt.held[best.source].confirmed_bits
    source_has_prefix = directory_module.run_length(confirmed, 0) >= best.held
    return 0 if source_has_prefix else best.held


def _action(best: plans.Cost) -> plans.Action:
    if best.brought:
        return plans.Action.BRING_IN
    return plans.Action.IN_PLACE if best.held else plans.Action.RECOMPUTE


def _no_room_refusal() -> errors.Refusal:
    return errors.Refusal(
        errors.Code.OVERLOADED,
        "no engine of the pool has room",
        "retry after the stated time, or add engines to the pool",
        retry_after_ms=RETRY_AFTER_MS,
    )
