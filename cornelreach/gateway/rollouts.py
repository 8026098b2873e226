"""Bringing engines to the version of weights that operators named.

One instance at a time gives orders: the holder of a lease, which it takes and renews
only while there is work. The holder of the last rollout goes first, since it need not
wait for anyone; the others follow in rendezvous order, each a little later. Every order
names the number of orders that the engine had accepted, so a late or doubled one does
nothing.
"""

import asyncio
import contextlib
import math
import typing

from cornelreach.gateway import (
    beliefs as beliefs_module,
    gossip as gossip_module,
    roster as roster_module,
)
from cornelreach.platform import engines as engines_module, leases
from cornelreach.util import events, hashing, timers

LEASE = "rollout"
TERM_MS = 1_200
QUIET_MARGIN_MS = 300
TICK_MS = 60.0
STAGGER_MS = 350.0
LOADING_SHARE = 1 / 3  # of a service's engines at once; the rest go on serving
LEAST_LOADING = 2
POLL_MS = 120.0
SETTLE_MS = 250.0
CLOSING_MS = 150.0  # two rounds of datagrams, and requests on their way
EMPTYING_MS = 600.0  # most answers end within it; the rest go on under new weights
PATIENCE_MS = 4_000.0

ORDERED = events.define(
    2211,
    "INFO",
    "Ordered {target} to version {version} of {model}, fence {fence}: {status}.",
    "If it repeats: look at the target.",
)


class LeaseLost(Exception):
    """The lease ran out before the order went out."""


class Behind(typing.NamedTuple):
    """An engine that has not the version that was named."""

    target: roster_module.Target
    model: str
    version: int


def behind(beliefs: beliefs_module.Beliefs) -> list[Behind]:
    """Return the engines in use that have older weights than were named."""
    found = []
    for target in beliefs.roster.targets.values():
        if target.draining:
            continue
        for model, held in target.versions.items():
            named = beliefs.versions.get(model)
            if named is not None and held < named.version:
                found.append(Behind(target, model, named.version))
    return found


def most_loading(engines: int) -> int:
    """Return how many engines of a service may load at once."""
    return max(LEAST_LOADING, math.floor(engines * LOADING_SHARE))


class Rollouts:
    """Gives the orders while this instance holds the lease."""

    def __init__(
        self,
        beliefs: beliefs_module.Beliefs,
        lease: leases.Lease,
        keeper: leases.Keeper,
        engines: engines_module.Engines,
        clock: timers.Timers,
        gossip: gossip_module.Gossip,
    ) -> None:
        self.beliefs = beliefs
        self.gossip = gossip
        self.lease = lease
        self.keeper = keeper
        self.engines = engines
        self.clock = clock
        self.stopping = False
        self._busy: dict[str, asyncio.Task[None]] = {}
        self._due_ms: float | None = None
        self._keep_ms = 0.0

    async def run(self) -> None:
        """Look for work until cancelled."""
        while True:
            await asyncio.sleep(TICK_MS / 1_000)
            work = behind(self.beliefs)
            if not work or self.stopping:
                self._due_ms = None
                continue
            await self._contend()
            if self.lease.held(self.clock.now_ms()):
                self._start(work)

    def close(self) -> None:
        """Give no more orders."""
        self.stopping = True
        for task in self._busy.values():
            task.cancel()

    async def _contend(self) -> None:
        now_ms = self.clock.now_ms()
        if self._due_ms is None:
            self._due_ms = now_ms + self._delay_ms()
        if now_ms < max(self._due_ms, self._keep_ms):
            return
        wait_ms = await self.keeper.once()
        self._keep_ms = self.clock.now_ms() + wait_ms

    def _delay_ms(self) -> float:
        fleet = self.beliefs.fleet
        last = self.lease.last_holder()
        if last == fleet.name:
            return 0.0
        names = set(fleet.names) | {fleet.name}
        rank = hashing.rendezvous(LEASE.encode(), names).index(fleet.name)
        return STAGGER_MS * (rank + (1 if last else 0))

    def _start(self, work: list[Behind]) -> None:
        self._busy = {
            name: task for name, task in self._busy.items() if not task.done()
        }
        services: dict[str, int] = {}
        for target in self.beliefs.roster.targets.values():
            services[target.service] = services.get(target.service, 0) + 1
        for one in sorted(work, key=self._load):
            if one.target.id in self._busy:
                continue
            if len(self._busy) >= most_loading(services[one.target.service]):
                return
            task = asyncio.ensure_future(self._bring(one))
            self._busy[one.target.id] = task

    def _load(self, one: Behind) -> float:
        load = self.beliefs.roster.state(one.target.id).load
        return load.running + load.waiting if load else 0

    async def _bring(self, one: Behind) -> None:
        """Order one engine while no instance sends to it, or give up for now."""
        self.gossip.closed.add(one.target.id)
        try:
            await asyncio.sleep(CLOSING_MS / 1_000)
            await self._bring_closed(one)
        finally:
            self.gossip.closed.discard(one.target.id)

    async def _bring_closed(self, one: Behind) -> None:
        report = await self._emptied(one)
        if report is None or self._is_done(report, one):
            return
        if not report.busy:
            await self._order(one, report.orders)
        until_ms = self.clock.now_ms() + PATIENCE_MS
        while self.clock.now_ms() < until_ms:
            await asyncio.sleep(POLL_MS / 1_000)
            report = await self._report(one)
            if report is None or self._is_done(report, one):
                return
            if not report.busy:
                # The order is on its way, lost or refused: look again later.
                await asyncio.sleep(SETTLE_MS / 1_000)
                return

    async def _emptied(self, one: Behind) -> engines_module.Report | None:
        """Return a closed engine's report once it is empty, or has had its time."""
        until_ms = self.clock.now_ms() + EMPTYING_MS
        while True:
            report = await self._report(one)
            late = self.clock.now_ms() >= until_ms
            if report is None or late or report.busy or not report.requests:
                return report
            if self._is_done(report, one):
                return report
            await asyncio.sleep(POLL_MS / 1_000)

    async def _report(self, one: Behind) -> engines_module.Report | None:
        report = await self.engines.report(one.target.address)
        if report is None:
            await asyncio.sleep(SETTLE_MS / 1_000)
        return report

    def _is_done(self, report: engines_module.Report, one: Behind) -> bool:
        done = report.versions.get(one.model, 0) >= one.version
        if done:
            self.gossip.report(one.target.id, dict(report.versions))
        return done

    async def _order(self, one: Behind, accepted: int) -> None:
        order = engines_module.Order(
            one.target.id,
            one.model,
            one.version,
            self.lease.holder,
            self.lease.fence or 0,
            accepted,
            engines_module.Runs.GO_ON,
        )
        with contextlib.suppress(LeaseLost):
            status = await self.engines.order(one.target.address, order, self._begin)
            events.emit(
                ORDERED,
                target=one.target.id,
                model=one.model,
                version=one.version,
                fence=order.fence,
                status=status,
            )

    def _begin(self) -> None:
        if not self.lease.held(self.clock.now_ms()) or self.stopping:
            raise LeaseLost
