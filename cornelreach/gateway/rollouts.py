"""Rollout of the desired version of weights to the engines.

One instance at a time sends load orders: the holder of a lease that is acquired and
renewed only while engines are outdated. The holder of the last rollout contends first,
since it need not wait for the previous lease to lapse; the others follow at intervals,
in rendezvous order. Every order carries the number of orders that the engine had
accepted before, so a delayed or duplicate order has no effect.
"""

import asyncio
import contextlib
import math
import typing

from cornelreach.gateway import (
    gossip as gossip_module,
    mirror as mirror_module,
    registry as registry_module,
)
from cornelreach.platform import engines as engines_module, leases
from cornelreach.util import events, hashing, timers

LEASE = "rollout"
TERM_MS = 1_200
QUIET_MARGIN_MS = 300
TICK_MS = 60.0
MAX_PAUSE_MS = 500.0
STAGGER_MS = 350.0
SINGLE_RANKS = 8
RANKS_DOUBLING_STEPS = 4
LOADING_SHARE = 1 / 3  # of a service's engines at once; the others keep serving
MIN_LOADING = 2
POLL_MS = 120.0
SETTLE_MS = 250.0
CLOSING_MS = 150.0  # for two rounds of datagrams and requests already sent
EMPTYING_MS = 600.0  # most answers end by then; the rest continue on the new weights
ORDER_WAIT_MS = 4_000.0

ORDERED = events.define(
    2211,
    "INFO",
    "Ordered {target} to load version {version} of {model}, fence {fence}: {status}.",
    "If it repeats: check the target.",
)


class LeaseLost(Exception):
    """The lease expired, the instance stops or the engine takes no call any more."""


class OutdatedEngine(typing.NamedTuple):
    """An engine whose version of a model is older than the desired one."""

    target: registry_module.Target
    model: str
    version: int


def outdated_engines(mirror: mirror_module.Mirror) -> list[OutdatedEngine]:
    """Return the engines in service with weights older than the desired one."""
    found = []
    for target in mirror.registry.targets.values():
        if target.draining or mirror.registry.is_leaving(target):
            continue
        for model, held in target.versions.items():
            wanted = mirror.versions.get(model)
            if wanted is not None and held < wanted.version:
                found.append(OutdatedEngine(target, model, wanted.version))
    return found


def max_loading(engines: int) -> int:
    """Return how many engines of a service may load weights at once."""
    return max(MIN_LOADING, math.floor(engines * LOADING_SHARE))


def contention_step(rank: int) -> float:
    """Return after how many intervals the instance of a rank contends for the lease.

    The first ranks contend one by one. Later ones are only needed if all of those are
    down, so the steps get shorter, and a large fleet is not idle for minutes::

        [contention_step(rank) for rank in (0, 7, 8, 16, 195)]  # 0, 7, 8, 12, 26.4
    """
    if rank < SINGLE_RANKS:
        return rank
    return SINGLE_RANKS + RANKS_DOUBLING_STEPS * math.log2(rank / SINGLE_RANKS)


class Rollouts:
    """Sends load orders while this instance holds the lease."""

    def __init__(
        self,
        mirror: mirror_module.Mirror,
        lease: leases.Lease,
        lease_runner: leases.LeaseRunner,
        engines: engines_module.EngineClient,
        clock: timers.Timers,
        gossip: gossip_module.Gossip,
    ) -> None:
        self.mirror = mirror
        self.gossip = gossip
        self.lease = lease
        self.lease_runner = lease_runner
        self.engines = engines
        self.clock = clock
        self.stopping = False
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._contend_ms: float | None = None
        self._renew_ms = 0.0
        self._changed = asyncio.Event()
        mirror.on_version = mirror.registry.on_change = self._changed.set

    async def run(self) -> None:
        """Bring outdated engines up to date until cancelled."""
        while True:
            self._changed.clear()
            outdated = outdated_engines(self.mirror)
            if outdated and self.gossip.is_cut_off():
                # Another instance, which reaches engines, takes the lease over.
                self._contend_ms = None
                await asyncio.sleep(MAX_PAUSE_MS / 1_000)
            elif outdated and not self.stopping:
                await self._contend()
                if self.lease.is_held(self.clock.now_ms()):
                    self._start(outdated)
                await asyncio.sleep(self._pause_ms() / 1_000)
            else:
                self._contend_ms = None
                await self._changed.wait()
                await asyncio.sleep(TICK_MS / 1_000)

    def _pause_ms(self) -> float:
        """Return the pause until the lease or an engine may need the next step."""
        now_ms = self.clock.now_ms()
        if self._tasks or self.lease.is_held(now_ms):
            return TICK_MS
        due_ms = max(self._contend_ms or 0.0, self._renew_ms)
        return min(MAX_PAUSE_MS, max(TICK_MS, due_ms - now_ms))

    def close(self) -> None:
        """Stop sending orders and cancel those in progress."""
        self.stopping = True
        for task in self._tasks.values():
            task.cancel()

    async def _contend(self) -> None:
        now_ms = self.clock.now_ms()
        if self._contend_ms is None:
            self._contend_ms = now_ms + self._delay_ms()
        if now_ms < max(self._contend_ms, self._renew_ms):
            return
        wait_ms = await self.lease_runner.run_once()
        self._renew_ms = self.clock.now_ms() + wait_ms

    def _delay_ms(self) -> float:
        fleet = self.mirror.fleet
        last = self.lease.last_holder()
        if last == fleet.name:
            return 0.0
        names = set(fleet.names) | {fleet.name}
        rank = hashing.rendezvous(LEASE.encode(), names).index(fleet.name)
        return STAGGER_MS * (contention_step(rank) + (1 if last else 0))

    def _start(self, outdated: list[OutdatedEngine]) -> None:
        self._tasks = {
            name: task for name, task in self._tasks.items() if not task.done()
        }
        services: dict[str, int] = {}
        for target in self.mirror.registry.targets.values():
            services[target.service] = services.get(target.service, 0) + 1
        for one in sorted(outdated, key=self._requests_at):
            if one.target.id in self._tasks or not self._accepts_calls(one):
                continue
            if len(self._tasks) >= max_loading(services[one.target.service]):
                return
            task = asyncio.ensure_future(self._update(one))
            self._tasks[one.target.id] = task

    def _accepts_calls(self, one: OutdatedEngine) -> bool:
        registry = self.mirror.registry
        return registry.accepts_calls(one.target.id, self.clock.now_ms())

    def _requests_at(self, one: OutdatedEngine) -> float:
        load = self.mirror.registry.state(one.target.id).load
        return load.running + load.waiting if load else 0

    async def _update(self, one: OutdatedEngine) -> None:
        """Close one engine to all instances and order it to load the version."""
        self.gossip.closed.add(one.target.id)
        try:
            await asyncio.sleep(CLOSING_MS / 1_000)
            await self._update_closed(one)
        finally:
            self.gossip.closed.discard(one.target.id)

    async def _update_closed(self, one: OutdatedEngine) -> None:
        report = await self._wait_until_empty(one)
        if report is None or self._is_done(report, one):
            return
        if not report.busy:
            await self._order(one, report.orders)
        until_ms = self.clock.now_ms() + ORDER_WAIT_MS
        while self.clock.now_ms() < until_ms:
            await asyncio.sleep(POLL_MS / 1_000)
            report = await self._report(one)
            if report is None or self._is_done(report, one):
                return
            if not report.busy:
                # The order is still in transit, or was lost or refused: retry later.
                await asyncio.sleep(SETTLE_MS / 1_000)
                return

    async def _wait_until_empty(
        self, one: OutdatedEngine
    ) -> engines_module.Report | None:
        """Return a closed engine's report once it is idle, or after a timeout."""
        until_ms = self.clock.now_ms() + EMPTYING_MS
        while True:
            report = await self._report(one)
            timed_out = self.clock.now_ms() >= until_ms
            if report is None or timed_out or report.busy or not report.requests:
                return report
            if self._is_done(report, one):
                return report
            await asyncio.sleep(POLL_MS / 1_000)

    async def _report(self, one: OutdatedEngine) -> engines_module.Report | None:
        report = None
        if self._accepts_calls(one):
            report = await self.engines.report(one.target.address)
        if report is None:
            await asyncio.sleep(SETTLE_MS / 1_000)
        return report

    def _is_done(self, report: engines_module.Report, one: OutdatedEngine) -> bool:
        done = report.versions.get(one.model, 0) >= one.version
        if done:
            self.gossip.report_versions(one.target.id, dict(report.versions))
        return done

    async def _order(self, one: OutdatedEngine, accepted: int) -> None:
        order = engines_module.Order(
            one.target.id,
            one.model,
            one.version,
            self.lease.holder,
            self.lease.fence or 0,
            accepted,
            engines_module.RunPolicy.RETAIN,
        )
        with contextlib.suppress(LeaseLost):
            status = await self.engines.order(
                one.target.address, order, lambda: self._before_order(one)
            )
            events.emit(
                ORDERED,
                target=one.target.id,
                model=one.model,
                version=one.version,
                fence=order.fence,
                status=status,
            )

    def _before_order(self, one: OutdatedEngine) -> None:
        if not self._accepts_calls(one):
            raise LeaseLost
        self._before_write()

    def _before_write(self) -> None:
        if not self.lease.is_held(self.clock.now_ms()) or self.stopping:
            raise LeaseLost
