"""Starts a rollout when a model's version changes, and says which version is in use.

A change of a model's ``version`` in the settings puts nothing in force by itself: the
holder of the model's rollout lease begins a rollout to it, and new requests follow the
rollout's record. Two instances of the fleet contend for each lease.
"""

import asyncio
import contextlib
import typing

import msgspec
from returns import result

from cornelreach.http import client
from cornelreach.platform import leases, results
from cornelreach.pools import loading, rollouts
from cornelreach.settings import items, state as state_module, view
from cornelreach.targets import rollout
from cornelreach.util import events, hashing, timers

CONTENDERS = 2
LOOK_MS = 1_000
ENDED = (rollout.Phase.DONE, rollout.Phase.ROLLED_BACK)

BEGUN = events.define(
    1412,
    "INFO",
    "Rollout of {model} from {previous} to {version} begins.",
    "Nothing; follow it with `cornelreach get`.",
)
UNREADABLE = events.define(
    1413,
    "ERROR",
    "The rollout record of model {model} cannot be read: {error}.",
    "Delete the object; the instances will write it anew.",
)


class Contention(typing.NamedTuple):
    """The parts of this instance's contention for one model's rollouts."""

    keeper: leases.Keeper
    executor: rollouts.RolloutExecutor
    task: asyncio.Task[None]


class Controller:
    """The rollouts of all models as one instance sees and serves them."""

    def __init__(
        self,
        name: str,
        boot: str,
        clock: timers.Timers,
        settings: view.View,
        objects: results.Objects,
        http: client.Client,
        names: typing.Callable[[], typing.Iterable[str]],
    ) -> None:
        self.name = name
        self.boot = boot
        self.clock = clock
        self.view = settings
        self.objects = objects
        self.http = http
        self.names = names
        self._names: frozenset[str] = frozenset()
        self._chosen: dict[str, list[str]] = {}
        self._closing = False
        self._contentions: dict[str, Contention] = {}
        self._records: dict[str, rollout.Rollout] = {}
        self._read(self.view.state.live())
        self.view.state.subscribe(lambda changed: self._read(changed.entries))

    def _read(self, entries: typing.Iterable[state_module.Entry]) -> None:
        for entry in entries:
            if not entry.key.startswith(rollouts.KEY_PREFIX):
                continue
            model = entry.key.removeprefix(rollouts.KEY_PREFIX)
            self._records.pop(model, None)
            if entry.value is not None:
                self._take(model, entry.value)

    def _take(self, model: str, value: object) -> None:
        try:
            self._records[model] = rollouts.decode(value)
        except (msgspec.ValidationError, AttributeError) as error:
            events.emit(UNREADABLE, model=model, error=error)

    def versions(self, model: items.Model, root: str) -> tuple[str, ...]:
        """Return the weight versions for a new request of a document, best first.

        During a rollout there are two: where no engine can admit under the first, such
        as while one is closed and the owner of another has died, the second serves.
        """
        record = self._records.get(model.name)
        if record is None:
            return (model.version,)
        first = rollout.version_for(record, root)
        if record.phase in ENDED:
            return (first,)
        both = (record.version, record.previous)
        return (first, *(other for other in both if other != first))

    def closed(self, model: str) -> frozenset[str]:
        """Return the engines that a rollout keeps from new requests."""
        record = self._records.get(model)
        return frozenset(record.closed) if record else frozenset()

    async def run(self) -> None:
        """Contend for the rollouts of models until cancelled."""
        while not self._closing:
            self._follow_names()
            for model in list(self.view.models):
                chosen = self.name in self._contenders(model)
                if chosen != (model in self._contentions):
                    await self._switch(model)
            await asyncio.sleep(LOOK_MS / 1_000)

    def _follow_names(self) -> None:
        # Ranking a whole fleet costs milliseconds a model, so it is done on a change.
        names = frozenset(self.names())
        if names != self._names:
            self._names = names
            self._chosen.clear()

    def _contenders(self, model: str) -> list[str]:
        if model not in self._chosen:
            ranked = hashing.rendezvous(model.encode(), self._names)
            self._chosen[model] = ranked[:CONTENDERS]
        return self._chosen[model]

    async def _switch(self, model: str) -> None:
        held = self._contentions.pop(model, None)
        if held is not None:
            await self._end(held)
            return
        lease = leases.Lease(f"rollout/{model}", self.name, self.boot)
        keeper = leases.Keeper(self.objects, lease, self.clock)
        targets = loading.HttpTargets(self.http, lambda: self.engines(model))
        executor = rollouts.RolloutExecutor(
            model, self.objects, lease, self.clock, targets
        )
        task = asyncio.ensure_future(self._contend(model, keeper, executor))
        self._contentions[model] = Contention(keeper, executor, task)

    async def _end(self, held: Contention) -> None:
        held.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await held.task
        await held.keeper.release()

    async def close(self) -> None:
        """Give every lease up in a planned stop."""
        self._closing = True
        contentions, self._contentions = self._contentions, {}
        for held in contentions.values():
            await self._end(held)

    def engines(self, model: str) -> dict[str, items.Target]:
        """Return the engines of a model that are in service."""
        return {
            target.name: target
            for targets in self.view.pools(model).values()
            for target in targets
            if target.kind == "engine" and target.state == view.IN_SERVICE
        }

    async def _contend(
        self, model: str, keeper: leases.Keeper, executor: rollouts.RolloutExecutor
    ) -> None:
        kept = asyncio.ensure_future(keeper.run())
        try:
            while True:
                if keeper.lease.held(self.clock.now_ms()):
                    await self._begin(model, executor)
                    await executor.run_once()
                await asyncio.sleep(rollouts.TICK_MS / 1_000)
        finally:
            kept.cancel()

    async def _begin(self, model: str, executor: rollouts.RolloutExecutor) -> None:
        """Write the first record of a model, or the next once one has ended."""
        wanted = self.view.models.get(model)
        record = self._records.get(model)
        if wanted is None:
            return
        if record is None:
            loaded = await self._loaded(executor) or wanted.version
            done = rollout.Phase.DONE
            first = rollout.Rollout(model, loaded, loaded, done, 1.0)
            await self._write(first, 0)
            return
        if record.phase in ENDED and wanted.version not in (
            record.version,
            record.desired_version,
        ):
            entry = self.view.state.get(rollouts.KEY_PREFIX + model)
            following = rollout.Rollout(model, record.desired_version, wanted.version)
            await self._write(following, entry.version)

    async def _loaded(self, executor: rollouts.RolloutExecutor) -> str:
        """Return the version that the engines report if they agree, else nothing."""
        names = list(executor.targets.pools())
        seen = await asyncio.gather(*(executor.targets.observe(one) for one in names))
        versions = {one.version for one in seen if one is not None}
        return versions.pop() if len(versions) == 1 else ""

    async def _write(self, record: rollout.Rollout, version: int) -> None:
        key = rollouts.KEY_PREFIX + record.model
        written = await self.objects.put(
            key, rollouts.encode(record), if_version=version
        )
        if isinstance(written, result.Success):
            self._records[record.model] = record
            events.emit(
                BEGUN,
                model=record.model,
                previous=record.previous,
                version=record.version,
            )
