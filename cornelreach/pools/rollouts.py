"""Carries out the rollout of a model's weights while a platform lease is held.

The record is the object ``settings/rollout/<model>``, so that the relay of the settings
distributes its share and its closed targets to every instance. Every contender calls
``run_once`` periodically. It has an effect only at the lease's holder, which sends an
order only if the rest of its lease is longer than ``orders.ORDER_MS``::

    executor = rollouts.RolloutExecutor("reader", objects, runner.lease, clock, targets)
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
    "If it was rolled back, fix the version that the reason names and start again.",
)


class Observation(typing.NamedTuple):
    """The state that a target reports, and whether its breaker is open."""

    version: str
    warm: bool
    running: int
    breaker_open: bool = False


class Targets(typing.Protocol):
    """Access to the state of a model's targets, and transport for orders."""

    def pools(self) -> typing.Mapping[str, str]:
        """Return the pool of each target."""

    async def observe(self, target: str) -> Observation | None:
        """Return a target's report, None if it is unreachable."""

    async def send(self, order: orders.Order) -> orders.Answer:
        """Send one order to its target."""


def decode(value: object) -> rollout.Rollout:
    """Decode a rollout from a platform value; raises msgspec.ValidationError."""
    fields = typing.cast(dict[str, typing.Any], value)
    known = [fields.get(name) for name in rollout.Rollout._fields]
    return msgspec.convert(known, rollout.Rollout)


def encode(record: rollout.Rollout) -> dict[str, typing.Any]:
    """Encode a rollout as a platform value."""
    return msgspec.to_builtins(record._asdict())


class RolloutExecutor:
    """Carries out one model's rollout while its lease is held here."""

    def __init__(
        self,
        model: str,
        objects: results.ObjectStore,
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
        self._closed_at_ms: dict[str, float] = {}
        self._loaded_at_ms: dict[str, float] = {}
        self._fence: int | None = None

    async def run_once(self) -> None:
        """Observe the targets and take the steps that are due."""
        if not self.lease.is_held(self.clock.now_ms()):
            return
        if self.lease.fence != self._fence:
            self._fence = self.lease.fence
            self._orders.clear()
            self._closed_at_ms.clear()
            self._loaded_at_ms.clear()
        stored = await self.objects.get(self.key)
        if isinstance(stored, result.Success) and stored.unwrap().value is not None:
            await self._process(stored.unwrap())

    async def _process(self, stored: results.Record) -> None:
        record = decode(stored.value)
        self._update_closed_times(record)
        names = list(self.targets.pools())
        observations = await asyncio.gather(
            *(self.targets.observe(name) for name in names)
        )
        observed = dict(zip(names, observations, strict=True))
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

    def _update_closed_times(self, record: rollout.Rollout) -> None:
        now_ms = self.clock.now_ms()
        self._closed_at_ms = {
            name: self._closed_at_ms.get(name, now_ms) for name in record.closed
        }

    def _is_warm(
        self, name: str, observation: Observation | None, record: rollout.Rollout
    ) -> bool:
        """Return whether a target is warm or has had ``WARM_WAIT_MS`` to warm up.

        A target without calls stays cold and must not block the rollout forever.
        """
        if observation is None or observation.version != record.desired_version:
            self._loaded_at_ms.pop(name, None)
            return observation is not None and observation.warm
        now_ms = self.clock.now_ms()
        loaded_ms = self._loaded_at_ms.setdefault(name, now_ms)
        return observation.warm or now_ms - loaded_ms >= WARM_WAIT_MS

    def _view(
        self, name: str, observation: Observation | None, record: rollout.Rollout
    ) -> rollout.TargetView:
        closed_ms = self._closed_at_ms.get(name)
        order = self._orders.get(name)
        if order is not None and order.order.version != record.desired_version:
            order = None
        return rollout.TargetView(
            target=name,
            pool=self.targets.pools()[name],
            loaded=observation.version if observation else "",
            warm=self._is_warm(name, observation, record),
            running=observation.running if observation else 0,
            closed_for_ms=(
                None if closed_ms is None else self.clock.now_ms() - closed_ms
            ),
            loading=order is not None and order.outcome is None,
            failed=order is not None and order.outcome is orders.Outcome.FAILED,
            breaker_open=observation is not None and observation.breaker_open,
            reachable=observation is not None,
        )

    async def _advance(
        self, order: orders.TargetOrder, observation: Observation | None
    ) -> None:
        """Advance an order by one step with the report just read from its target."""
        now_ms = self.clock.now_ms()
        if observation is not None and isinstance(order.step(now_ms), orders.Read):
            order.read(observation.version, now_ms, now_ms)
        step = order.step(now_ms)
        if not isinstance(step, orders.Send):
            return
        if self.lease.remaining_ms(now_ms) <= orders.ORDER_MS:
            return
        order.sent(now_ms)
        answer = await self.targets.send(step.order)
        order.answered(answer, self.clock.now_ms())

    async def _write(self, record: rollout.Rollout, version: int) -> None:
        """Write the record; the next run detects a lost reply or a conflict."""
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
