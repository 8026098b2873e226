"""Everything that the owner of one pool knows and decides about prompts.

It ties the directory, the placement and the copies to the targets of the pool, for the
instance that owns it::

    owned = poolprompts.PoolPrompts(http, clock, random.Random(boot))
    owned.configure(place, engines, stores, model)
    owned.start()
    admission = pool.PoolOwner(name, limits, chooser=owned.choose)
    owned.reported("engine-1", queued_tokens=1_200)      # from each load report
    owned.released("run-1", served=True)                 # from each release
    await owned.stop()

The choice counts as dispatched at once, so ``choose`` is to be called only by an
admission that grants what it returns. A prompt that shares pieces which another run is
computing stays in the queue until that run has ended, or should have: the choice then
names no target.
"""

import asyncio
import random
import typing

from returns import result

from cornelreach.http import client as client_module
from cornelreach.prompts import (
    copies,
    directory as directory_module,
    follower,
    links,
    mover,
    pieces,
    placement,
    plans,
)
from cornelreach.settings import items
from cornelreach.targets import choice, permits
from cornelreach.util import events, timers

EXPORT_TICK_MS = 200
REMOVE_TICK_MS = 5_000
WARM_TICK_MS = 1_000
WARM_UP_MS = 30_000
EXPORT_LIMIT_MS = 10_000
PLANS_KEPT = 256
RUNS_KEPT = 4_096

COPIED = events.define(
    1504, "DEBUG", "Copied {pieces} pieces from {source} to {store}.", "Nothing."
)
FREED = events.define(
    1505,
    "INFO",
    "Freed {pieces} pieces in {store}, which is nearly full.",
    "If it recurs all day: add stores or disk.",
)


class Place(typing.NamedTuple):
    """Where a pool is; ``pools`` are those of its model in service, with their data
    centres, and ``leaving`` says that its own is being taken out."""

    pool: str
    data_centre: str
    pools: dict[str, str]
    leaving: bool = False


class PoolPrompts:
    """The prompts of one owned pool."""

    def __init__(
        self,
        http: client_module.Client,
        clock: timers.Timers,
        random_source: random.Random,
        policy: placement.Policy | None = None,
    ) -> None:
        self.clock = clock
        self.directory = directory_module.Directory()
        self.links = links.Links()
        self.placement = placement.Placement(self.directory, self.links, policy)
        self.copies = copies.Copies(self.directory, self.links)
        self.mover = mover.Mover(http)
        self.follower = follower.Follower(
            http,
            clock,
            self.directory,
            self.copies.names,
            random_source,
            self._restarted,
        )
        self.plans: dict[str, plans.Plan] = {}
        self.engines: dict[str, items.Target] = {}
        self.stores: dict[str, items.Target] = {}
        self.model = items.Model("")
        self.place = Place("", "", {})
        self._queued_tokens: dict[str, int] = {}
        self._deferred: dict[str, float] = {}
        self._roots: dict[str, str] = {}
        self._warm_until_ms: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._subscriptions: list[timers.Subscription] = []

    def configure(
        self,
        place: Place,
        engines: typing.Mapping[str, items.Target],
        stores: typing.Mapping[str, items.Target],
        model: items.Model,
    ) -> None:
        """Follow the settings; called again after each change."""
        for name in set(self.engines) - set(engines):
            self.placement.target_lost(name)
        self.engines, self.stores = dict(engines), dict(stores)
        self.model, self.place = model, place
        for name, target in {**self.engines, **self.stores}.items():
            self.links.set_rate(name, target.link_bytes_per_s)
        self.follower.update_targets({**self.engines, **self.stores})
        self._configure_copies()
        self.copies.leave(place.leaving)

    def _configure_copies(self) -> None:
        unusable = self.follower.unreachable
        stores = [
            copies.Store(name, target.data_centre, self._is_full(name))
            for name, target in self.stores.items()
            if name not in unusable
        ]
        self.copies.configure(
            self.place.data_centre,
            self.engines,
            stores,
            self.place.pools,
            self.model.bytes_per_token,
        )

    def _used_share(self, store: str) -> float:
        state = self.follower.store_states.get(store)
        return follower.used_share(state) if state else 0.0

    def _is_full(self, store: str) -> bool:
        return self._used_share(store) > copies.HIGH_SHARE

    def start(self) -> None:
        """Begin to follow the targets and to keep copies."""
        self.follower.start()
        self._subscriptions = [
            self.clock.every(EXPORT_TICK_MS, self._export),
            self.clock.every(REMOVE_TICK_MS, self._remove),
            self.clock.every(WARM_TICK_MS, self._warm_up),
        ]

    async def stop(self) -> None:
        """End every task."""
        for subscription in self._subscriptions:
            subscription.cancel()
        await self.follower.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def choose(
        self,
        request: permits.PermitRequest,
        candidates: typing.Sequence[choice.Candidate],
        now_ms: float,
    ) -> choice.Choice:
        """Choose and count the engine of a request that is about to be granted."""
        fitting = [self._candidate(one) for one in candidates if one.fits]
        prompt = _prompt(request)
        chosen = self.placement.choose(
            prompt,
            fitting,
            self.model.bytes_per_token,
            now_ms,
            self.follower.unreachable,
        )
        if not isinstance(chosen, result.Success):
            return choice.NOWHERE
        plan = chosen.unwrap()
        if plan.after and self._defer(request.request, plan, now_ms):
            return choice.NOWHERE
        self._deferred.pop(request.request, None)
        self._dispatch(request.request, prompt, plan, now_ms)
        text = plans.encode(plan._replace(after=""))
        return choice.Choice(plan.target, text, plan.cost.recompute_tokens)

    def _candidate(self, one: choice.Candidate) -> placement.Candidate:
        return placement.Candidate(
            one.target,
            self.model.prefill_tokens_per_s,
            self._queued_tokens.get(one.target, 0),
        )

    def _defer(self, run: str, plan: plans.Plan, now_ms: float) -> bool:
        """Return whether a run waits for the one that computes its pieces."""
        until_ms = self._deferred.setdefault(run, now_ms + plan.after_limit_ms)
        _bound(self._deferred, RUNS_KEPT)
        return now_ms < until_ms

    def _dispatch(
        self, run: str, prompt: pieces.PromptPieces, plan: plans.Plan, now_ms: float
    ) -> None:
        self.placement.dispatched(run, prompt, plan, now_ms)
        self.copies.seen(prompt, now_ms)
        self._roots[run] = prompt.root
        self.plans[run] = plan
        _bound(self._roots, RUNS_KEPT)
        _bound(self.plans, PLANS_KEPT)
        plans.log(run, plan)

    def explain(self, run: str) -> list[dict[str, typing.Any]]:
        """Return the candidates and costs of a recent choice, cheapest first."""
        plan = self.plans.get(run)
        return plans.explain(plan) if plan else []

    def reported(self, target: str, queued_tokens: int) -> None:
        """Take in the queue of an engine's load report."""
        if target in self.engines:
            self._queued_tokens[target] = queued_tokens

    def released(self, run: str, served: bool) -> None:
        """Note the end of a run; ``served`` if its answer was complete."""
        now_ms = self.clock.now_ms()
        self.placement.ended(run, now_ms, served)
        root = self._roots.pop(run, "")
        if served and root:
            self.copies.computed(root, now_ms)

    def _restarted(self, name: str) -> None:
        self.placement.target_lost(name)
        if name in self.engines:
            self._warm_until_ms[name] = self.clock.now_ms() + WARM_UP_MS

    def wait_ms(self) -> float:
        """Return the shortest prefill queue of the engines, for the pool's summary."""
        now_ms = self.clock.now_ms()
        waits = [self.placement.flights.wait_ms(name, now_ms) for name in self.engines]
        return min(waits, default=0.0)

    def _export(self) -> None:
        self._configure_copies()
        for export in self.copies.exports(self.clock.now_ms()):
            self._run(self._copy(export))

    async def _copy(self, export: copies.Export) -> None:
        engine, store = self.engines[export.source], self.stores[export.store]
        keys = await self.mover.export(
            client_module.parse_address(engine.address),
            client_module.parse_address(store.address),
            export.keys,
            EXPORT_LIMIT_MS,
        )
        self.copies.exported(export, keys, self.clock.now_ms())
        events.emit(COPIED, pieces=len(keys), source=engine.name, store=store.name)

    def _remove(self) -> None:
        now_ms = self.clock.now_ms()
        for name, store in self.stores.items():
            state = self.follower.store_states.get(name)
            if state is not None:
                backlog_bytes = state["link_backlog_bytes"]
                self.links.report_backlog(name, backlog_bytes, now_ms)
            share = self._used_share(name)
            for removal in self.copies.removals(name, share, now_ms):
                if removal.keys:
                    self._run(self._free(store, removal))

    async def _free(self, store: items.Target, removal: copies.Removal) -> None:
        address = client_module.parse_address(store.address)
        await self.mover.delete(address, removal.keys)
        events.emit(FREED, pieces=len(removal.keys), store=store.name)

    def _warm_up(self) -> None:
        now_ms = self.clock.now_ms()
        for name, until_ms in list(self._warm_until_ms.items()):
            if until_ms <= now_ms or name not in self.engines:
                del self._warm_until_ms[name]
        for warm_up in self.copies.warm_ups(list(self._warm_until_ms), now_ms):
            self._run(self._bring(warm_up))

    async def _bring(self, warm_up: copies.WarmUp) -> None:
        source, target = self.stores[warm_up.source], self.engines[warm_up.target]
        await self.mover.bring(
            client_module.parse_address(source.address),
            client_module.parse_address(target.address),
            warm_up.keys,
            EXPORT_LIMIT_MS,
        )

    def _run(self, work: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _prompt(request: permits.PermitRequest) -> pieces.PromptPieces:
    root = request.root or request.request.encode().hex()[: 2 * pieces.ROOT_BYTES]
    return pieces.PromptPieces(request.piece_keys, request.piece_tokens, root)


def _bound(kept: dict[str, typing.Any], most: int) -> None:
    """Drop the oldest entry beyond a count."""
    if len(kept) > most:
        del kept[next(iter(kept))]
