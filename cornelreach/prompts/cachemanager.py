"""Manages the cached prompts of one pool, on the instance that owns the pool.

It connects the directory, the placement and the copies with the targets of the pool::

    manager = cachemanager.CacheManager(http, clock, random.Random(boot))
    manager.configure(location, engines, stores, model)
    manager.start()
    admission = pool.PoolOwner(name, limits, chooser=manager.choose)
    manager.record_load_report("engine-1", queued_tokens=1_200)  # on each load report
    manager.record_release("run-1", served=True)  # on each release
    await manager.stop()

A choice counts as dispatched immediately, so only an admission that grants the returned
choice may call ``choose``. A prompt that shares pieces with a run that is computing
them stays queued until that run has ended or should have ended; until then its choice
has no target.
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
    pieces,
    placement,
    plans,
    transferclient,
)
from cornelreach.settings import items
from cornelreach.targets import choice, permits
from cornelreach.util import events, timers

EXPORT_INTERVAL_MS = 200
REMOVAL_INTERVAL_MS = 5_000
WARM_UP_INTERVAL_MS = 1_000
WARM_UP_PERIOD_MS = 30_000
TRANSFER_LIMIT_MS = 10_000
MAX_PLANS = 256
MAX_RUNS = 4_096

COPIED = events.define(
    1504, "DEBUG", "Copied {pieces} pieces from {source} to {store}.", "Nothing."
)
REMOVED = events.define(
    1505,
    "INFO",
    "Removed {pieces} pieces from {store}, which is nearly full.",
    "If it recurs throughout the day, add stores or disk.",
)


class PoolLocation(typing.NamedTuple):
    """The location of a pool.

    ``pools`` maps all pools of the same model in service to their data centres.
    ``leaving`` is set if the pool's data centre is about to be taken out of service.
    """

    pool: str
    data_centre: str
    pools: dict[str, str]
    leaving: bool = False


class CacheManager:
    """Places the prompts of one owned pool and keeps copies of them."""

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
        self.copies = copies.CopyPlanner(self.directory, self.links)
        self.transfer_client = transferclient.TransferClient(http)
        self.follower = follower.Follower(
            http,
            clock,
            self.directory,
            self.copies.key_index,
            random_source,
            self._on_restart,
        )
        self.plans: dict[str, plans.Plan] = {}
        self.engines: dict[str, items.Target] = {}
        self.stores: dict[str, items.Target] = {}
        self.model = items.Model("")
        self.location = PoolLocation("", "", {})
        self._queued_tokens: dict[str, int] = {}
        self._deferred_until_ms: dict[str, float] = {}
        self._roots: dict[str, str] = {}
        self._warm_until_ms: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._subscriptions: list[timers.Subscription] = []

    def configure(
        self,
        location: PoolLocation,
        engines: typing.Mapping[str, items.Target],
        stores: typing.Mapping[str, items.Target],
        model: items.Model,
    ) -> None:
        """Apply the settings; called again after each change."""
        for name in set(self.engines) - set(engines):
            self.placement.forget_target(name)
        self.engines, self.stores = dict(engines), dict(stores)
        self.model, self.location = model, location
        for name, target in {**self.engines, **self.stores}.items():
            self.links.set_rate(name, target.link_bytes_per_s)
        self.follower.update_targets({**self.engines, **self.stores})
        self._configure_copies()
        self.copies.set_leaving(location.leaving)

    def _configure_copies(self) -> None:
        unreachable = self.follower.unreachable
        stores = [
            copies.Store(name, target.data_centre, self._is_full(name))
            for name, target in self.stores.items()
            if name not in unreachable
        ]
        self.copies.configure(
            self.location.data_centre,
            self.engines,
            stores,
            self.location.pools,
            self.model.bytes_per_token,
        )

    def _used_share(self, store: str) -> float:
        state = self.follower.store_states.get(store)
        return follower.used_share(state) if state else 0.0

    def _is_full(self, store: str) -> bool:
        return self._used_share(store) > copies.HIGH_WATERMARK

    def start(self) -> None:
        """Start following the targets and keeping copies."""
        self.follower.start()
        self._subscriptions = [
            self.clock.every(EXPORT_INTERVAL_MS, self._start_exports),
            self.clock.every(REMOVAL_INTERVAL_MS, self._start_removals),
            self.clock.every(WARM_UP_INTERVAL_MS, self._start_warm_ups),
        ]

    async def stop(self) -> None:
        """Cancel all tasks."""
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
        """Choose an engine for a request, and count the request as dispatched to it."""
        fitting = [
            self._candidate(candidate) for candidate in candidates if candidate.fits
        ]
        prompt = _prompt(request)
        chosen = self.placement.choose(
            prompt,
            fitting,
            self.model.bytes_per_token,
            now_ms,
            self.follower.unreachable,
        )
        if not isinstance(chosen, result.Success):
            return choice.NO_TARGET
        plan = chosen.unwrap()
        if plan.after and self._must_wait(request.request, plan, now_ms):
            return choice.NO_TARGET
        self._deferred_until_ms.pop(request.request, None)
        self._dispatch(request.request, prompt, plan, now_ms)
        text = plans.encode(plan._replace(after=""))
        return choice.Choice(plan.target, text, plan.cost.recompute_tokens)

    def _candidate(self, candidate: choice.Candidate) -> placement.Candidate:
        return placement.Candidate(
            candidate.target,
            self.model.prefill_tokens_per_s,
            self._queued_tokens.get(candidate.target, 0),
        )

    def _must_wait(self, run: str, plan: plans.Plan, now_ms: float) -> bool:
        """Return whether a run has to wait for the one that computes its pieces."""
        until_ms = self._deferred_until_ms.setdefault(run, now_ms + plan.after_limit_ms)
        _limit_size(self._deferred_until_ms, MAX_RUNS)
        return now_ms < until_ms

    def _dispatch(
        self, run: str, prompt: pieces.PromptPieces, plan: plans.Plan, now_ms: float
    ) -> None:
        self.placement.record_dispatch(run, prompt, plan, now_ms)
        self.copies.record_placement(prompt, now_ms)
        self._roots[run] = prompt.root
        self.plans[run] = plan
        _limit_size(self._roots, MAX_RUNS)
        _limit_size(self.plans, MAX_PLANS)
        plans.log(run, plan)

    def explain(self, run: str) -> list[dict[str, typing.Any]]:
        """Return the costs of all candidates of a recent choice, cheapest first."""
        plan = self.plans.get(run)
        return plans.explain(plan) if plan else []

    def record_load_report(self, target: str, queued_tokens: int) -> None:
        """Record the queue length from an engine's load report."""
        if target in self.engines:
            self._queued_tokens[target] = queued_tokens

    def record_release(self, run: str, served: bool) -> None:
        """Record the end of a run; ``served`` is set if its answer was complete."""
        now_ms = self.clock.now_ms()
        self.placement.record_run_end(run, now_ms, served)
        root = self._roots.pop(run, "")
        if served and root:
            self.copies.record_completion(root, now_ms)

    def _on_restart(self, name: str) -> None:
        self.placement.forget_target(name)
        if name in self.engines:
            self._warm_until_ms[name] = self.clock.now_ms() + WARM_UP_PERIOD_MS

    def wait_ms(self) -> float:
        """Return the shortest prefill queue of the engines, for the pool's summary."""
        now_ms = self.clock.now_ms()
        waits = [
            self.placement.in_flight.wait_ms(name, now_ms) for name in self.engines
        ]
        return min(waits, default=0.0)

    def _start_exports(self) -> None:
        self._configure_copies()
        for export in self.copies.start_exports(self.clock.now_ms()):
            self._start_task(self._run_export(export))

    async def _run_export(self, export: copies.Export) -> None:
        engine, store = self.engines[export.source], self.stores[export.store]
        keys = await self.transfer_client.export_blocks(
            client_module.parse_address(engine.address),
            client_module.parse_address(store.address),
            export.keys,
            TRANSFER_LIMIT_MS,
        )
        self.copies.record_export(export, keys, self.clock.now_ms())
        events.emit(COPIED, pieces=len(keys), source=engine.name, store=store.name)

    def _start_removals(self) -> None:
        now_ms = self.clock.now_ms()
        for name, store in self.stores.items():
            state = self.follower.store_states.get(name)
            if state is not None:
                backlog_bytes = state["link_backlog_bytes"]
                self.links.report_backlog(name, backlog_bytes, now_ms)
            share = self._used_share(name)
            for removal in self.copies.plan_removals(name, share, now_ms):
                if removal.keys:
                    self._start_task(self._run_removal(store, removal))

    async def _run_removal(self, store: items.Target, removal: copies.Removal) -> None:
        address = client_module.parse_address(store.address)
        await self.transfer_client.delete_blocks(address, removal.keys)
        events.emit(REMOVED, pieces=len(removal.keys), store=store.name)

    def _start_warm_ups(self) -> None:
        now_ms = self.clock.now_ms()
        for name, until_ms in list(self._warm_until_ms.items()):
            if until_ms <= now_ms or name not in self.engines:
                del self._warm_until_ms[name]
        for warm_up in self.copies.start_warm_ups(list(self._warm_until_ms), now_ms):
            self._start_task(self._run_warm_up(warm_up))

    async def _run_warm_up(self, warm_up: copies.WarmUp) -> None:
        source, target = self.stores[warm_up.source], self.engines[warm_up.target]
        await self.transfer_client.import_blocks(
            client_module.parse_address(source.address),
            client_module.parse_address(target.address),
            warm_up.keys,
            TRANSFER_LIMIT_MS,
        )

    def _start_task(
        self, coroutine: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _prompt(request: permits.PermitRequest) -> pieces.PromptPieces:
    root = request.root or request.request.encode().hex()[: 2 * pieces.ROOT_BYTES]
    return pieces.PromptPieces(request.piece_keys, request.piece_tokens, root)


def _limit_size(entries: dict[str, typing.Any], max_entries: int) -> None:
    """Remove the oldest entry if there are more than ``max_entries``."""
    if len(entries) > max_entries:
        del entries[next(iter(entries))]
