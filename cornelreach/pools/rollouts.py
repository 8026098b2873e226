"""Carries out the rollout of a model's weights while a platform lease is held.

The record is the object ``settings/rollout/<model>``, so that the relay of the settings
brings its share and its closed targets to every instance. Contenders call ``once``
again and again; only the lease's holder does anything, and sends an order only if its
lease outlasts the order::

    executor = rollouts.RolloutExecutor("reader", objects, keeper.lease, clock, targets)
    while True:
        await executor.run_once()
        await asyncio.sleep(rollouts.TICK_MS / 1_000)
"""

import asyncio
import typing

import msgspec
from returns import result

from cornelreach.platform import leases, results
from cornelreach.settings import items
from cornelreach.targets import orders, rollout
from cornelreach.util import events, timers

KEY_PREFIX = items.PREFIX + "rollout/"
TICK_MS = 250
WARM_WAIT_MS = 10_000

PHASE = events.define(
    1411,
    "INFO",
    "Rollout of {model} to {version}: {phase}, share {share:.2f}. {reason}",
    "If it has turned back, mend the version that the reason names and start anew.",
)


class Observation(typing.NamedTuple):
    """A target's own report, and whether its breaker is open."""

    version: str
    warm: bool
    running: int
    breaker_open: bool = False


class Targets(typing.Protocol):
    """The targets of a model, over whatever carries state and orders."""

    def pools(self) -> typing.Mapping[str, str]:
        """Return the pool of each target."""

    async def observe(self, target: str) -> Observation | None:
        """Return a target's report, None if it cannot be reached."""

    async def send(self, order: orders.Order) -> orders.Answer:
        """Send one order to its target."""


def decode(value: object) -> rollout.Rollout:
    """Return the rollout in a platform value; raises msgspec.ValidationError."""
    fields = typing.cast(dict[str, typing.Any], value)
    known = [fields.get(name) for name in rollout.Rollout._fields]
    return msgspec.convert(known, rollout.Rollout)


def encode(record: rollout.Rollout) -> dict[str, typing.Any]:
    """Return a rollout as a platform value."""
    return msgspec.to_builtins(record._asdict())


class RolloutExecutor:
    """Works on one model's rollout whenever its lease is held here."""

    def __init__(
        self,
        model: str,
        objects: results.Objects,
        lease: leases.Lease,
        clock: timers.Timers,
        targets: Targets,
    ) -> None:
        self.key = KEY_PREFIX + model
        self.objects = objects
        self.lease = lease
        self.clock = clock
        self.targets = targets
        self._orders: dict[str, orders.TargetOrder] = {}
        self._closed_ms: dict[str, float] = {}
        self._loaded_ms: dict[str, float] = {}
        self._fence: int | None = None

    async def run_once(self) -> None:
        """Look once, and take the steps that are due."""
        if not self.lease.held(self.clock.now_ms()):
            return
        if self.lease.fence != self._fence:
            self._fence = self.lease.fence
            self._orders.clear()
            self._closed_ms.clear()
            self._loaded_ms.clear()
        found = await self.objects.get(self.key)
        if isinstance(found, result.Success) and found.unwrap().value is not None:
            await self._work(found.unwrap())

    async def _work(self, stored: results.Record) -> None:
        record = decode(stored.value)
        self._note_closed(record)
        names = list(self.targets.pools())
        seen = await asyncio.gather(*(self.targets.observe(name) for name in names))
        observed = dict(zip(names, seen, strict=True))
        await asyncio.gather(
            *(
                self._advance(order, observed.get(name))
                for name, order in self._orders.items()
            )
        )
        views = [self._view(name, observed[name], record) for name in names]
        decision = rollout.decide(record, views)
        wanted = rollout.with_closed_targets(decision.record, decision.steps)
        if wanted != record:
            await self._write(wanted, stored.version)
            return
        for step in decision.steps:
            if isinstance(step, rollout.Load):
                self._orders[step.target] = orders.TargetOrder(
                    step.target, record.model, step.version, self._fence
                )

    def _note_closed(self, record: rollout.Rollout) -> None:
        now_ms = self.clock.now_ms()
        self._closed_ms = {
            name: self._closed_ms.get(name, now_ms) for name in record.closed
        }

    def _is_warm(
        self, name: str, seen: Observation | None, record: rollout.Rollout
    ) -> bool:
        """Return whether a target is warm, or has had its time to get warm.

        Without calls it stays cold, and must not hold the rollout up for ever.
        """
        if seen is None or seen.version != record.desired_version:
            self._loaded_ms.pop(name, None)
            return seen is not None and seen.warm
        now_ms = self.clock.now_ms()
        loaded_ms = self._loaded_ms.setdefault(name, now_ms)
        return seen.warm or now_ms - loaded_ms >= WARM_WAIT_MS

    def _view(
        self, name: str, seen: Observation | None, record: rollout.Rollout
    ) -> rollout.TargetView:
        closed_ms = self._closed_ms.get(name)
        order = self._orders.get(name)
        if order is not None and order.order.version != record.desired_version:
            order = None
        return rollout.TargetView(
            target=name,
            pool=self.targets.pools()[name],
            loaded=seen.version if seen else "",
            warm=self._is_warm(name, seen, record),
            running=seen.running if seen else 0,
            closed_for_ms=(
                None if closed_ms is None else self.clock.now_ms() - closed_ms
            ),
            loading=order is not None and order.outcome is None,
            failed=order is not None and order.outcome is orders.Outcome.FAILED,
            breaker_open=seen is not None and seen.breaker_open,
            reachable=seen is not None,
        )

    async def _advance(
        self, order: orders.TargetOrder, seen: Observation | None
    ) -> None:
        """Take an order one step on with what its target has just reported."""
        now_ms = self.clock.now_ms()
        if seen is not None and isinstance(order.step(now_ms), orders.Read):
            order.read(seen.version, now_ms, now_ms)
        step = order.step(now_ms)
        if not isinstance(step, orders.Send):
            return
        if self.lease.remaining_ms(now_ms) <= orders.ORDER_MS:
            return
        order.sent(now_ms)
        answer = await self.targets.send(step.order)
        order.answered(answer, self.clock.now_ms())

    async def _write(self, record: rollout.Rollout, version: int) -> None:
        """Write the record; a lost answer or a conflict shows at the next look."""
        written = await self.objects.put(self.key, encode(record), if_version=version)
        if isinstance(written, result.Success):
            events.emit(
                PHASE,
                model=record.model,
                version=record.version,
                phase=record.phase.value,
                share=record.new_share,
                reason=record.reason,
            )
