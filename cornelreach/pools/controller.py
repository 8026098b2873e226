"""Starts rollouts when a model's version changes; determines the versions in use.

A change of a model's ``version`` in the settings has no direct effect: the holder of
the model's rollout lease starts a rollout to it, and new requests use the version that
the rollout's record gives. Two instances of the fleet contend for each lease.
"""

import asyncio
import contextlib
import typing

import msgspec
from returns import result

from cornelreach.http import client
from cornelreach.platform import leases, results
from cornelreach.pools import httptargets, rollouts
from cornelreach.settings import items, state as state_module, view
from cornelreach.targets import rollout
from cornelreach.util import events, hashing, timers

CONTENDERS_PER_MODEL = 2
CHECK_INTERVAL_MS = 1_000
ENDED_PHASES = (rollout.Phase.DONE, rollout.Phase.ROLLED_BACK)

STARTED = events.define(
    1412,
    "INFO",
    "Rollout of {model} from {previous} to {version} started.",
    "Nothing; follow it with `cornelreach get`.",
)
UNREADABLE = events.define(
    1413,
    "ERROR",
    "The rollout record of model {model} cannot be decoded: {error}.",
    "Delete the object; the instances will write a new one.",
)


class Candidacy(typing.NamedTuple):
    """This instance's candidacy for the rollout lease of one model."""

    lease_runner: leases.LeaseRunner
    executor: rollouts.RolloutExecutor
    task: asyncio.Task[None]


class RolloutController:
    """Tracks the rollouts of all models and runs those whose lease is held here."""

    def __init__(
        self,
        name: str,
        boot: str,
        clock: timers.Timers,
        settings: view.View,
        objects: results.ObjectStore,
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
        self._contenders_by_model: dict[str, list[str]] = {}
        self._closing = False
        self._candidacies: dict[str, Candidacy] = {}
        self._records: dict[str, rollout.Rollout] = {}
        self._update_records(self.view.state.live())
        self.view.state.subscribe(lambda changed: self._update_records(changed.entries))

    def _update_records(self, entries: typing.Iterable[state_module.Entry]) -> None:
        for entry in entries:
            if not entry.key.startswith(rollouts.KEY_PREFIX):
                continue
            model = entry.key.removeprefix(rollouts.KEY_PREFIX)
            self._records.pop(model, None)
            if entry.value is not None:
                self._store_record(model, entry.value)

    def _store_record(self, model: str, value: object) -> None:
        try:
            self._records[model] = rollouts.decode(value)
        except (msgspec.ValidationError, AttributeError) as error:
            events.emit(UNREADABLE, model=model, error=error)

    def versions(self, model: items.Model, root: str) -> tuple[str, ...]:
        """Return the weight versions for a new request of a document, preferred first.

        During a rollout there are two. The second is the fallback if no engine can
        admit with the first, for example while one engine is closed and the owner of
        another has died.
        """
        record = self._records.get(model.name)
        if record is None:
            return (model.version,)
        first = rollout.version_for(record, root)
        if record.phase in ENDED_PHASES:
            return (first,)
        both = (record.version, record.previous)
        return (first, *(other for other in both if other != first))

    def closed(self, model: str) -> frozenset[str]:
        """Return the engines that a rollout has closed to new requests."""
        record = self._records.get(model)
        return frozenset(record.closed) if record else frozenset()

    async def run(self) -> None:
        """Contend for the rollout leases of models until cancelled."""
        while not self._closing:
            self._refresh_names()
            for model in list(self.view.models):
                is_contender = self.name in self._contenders(model)
                if is_contender != (model in self._candidacies):
                    await self._toggle_candidacy(model)
            await asyncio.sleep(CHECK_INTERVAL_MS / 1_000)

    def _refresh_names(self) -> None:
        # Ranking a whole fleet takes milliseconds per model, so it is done only when
        # the fleet changes.
        names = frozenset(self.names())
        if names != self._names:
            self._names = names
            self._contenders_by_model.clear()

    def _contenders(self, model: str) -> list[str]:
        if model not in self._contenders_by_model:
            ranked = hashing.rendezvous(model.encode(), self._names)
            self._contenders_by_model[model] = ranked[:CONTENDERS_PER_MODEL]
        return self._contenders_by_model[model]

    async def _toggle_candidacy(self, model: str) -> None:
        candidacy = self._candidacies.pop(model, None)
        if candidacy is not None:
            await self._end_candidacy(candidacy)
            return
        lease = leases.Lease(f"rollout/{model}", self.name, self.boot)
        lease_runner = leases.LeaseRunner(self.objects, lease, self.clock)
        targets = httptargets.HttpTargets(self.http, lambda: self.engines(model))
        executor = rollouts.RolloutExecutor(
            model, self.objects, lease, self.clock, targets
        )
        task = asyncio.ensure_future(self._contend(model, lease_runner, executor))
        self._candidacies[model] = Candidacy(lease_runner, executor, task)

    async def _end_candidacy(self, candidacy: Candidacy) -> None:
        candidacy.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await candidacy.task
        await candidacy.lease_runner.release()

    async def close(self) -> None:
        """Release every lease during a planned stop."""
        self._closing = True
        candidacies, self._candidacies = self._candidacies, {}
        for candidacy in candidacies.values():
            await self._end_candidacy(candidacy)

    def engines(self, model: str) -> dict[str, items.Target]:
        """Return the engines of a model that are in service."""
        return {
            target.name: target
            for targets in self.view.pools(model).values()
            for target in targets
            if target.kind == "engine" and target.state == view.IN_SERVICE
        }

    async def _contend(
        self,
        model: str,
        lease_runner: leases.LeaseRunner,
        executor: rollouts.RolloutExecutor,
    ) -> None:
        lease_task = asyncio.ensure_future(lease_runner.run())
        try:
            while True:
                if lease_runner.lease.is_held(self.clock.now_ms()):
                    await self._start_rollout(model, executor)
                    await executor.run_once()
                await asyncio.sleep(rollouts.TICK_MS / 1_000)
        finally:
            lease_task.cancel()

    async def _start_rollout(
        self, model: str, executor: rollouts.RolloutExecutor
    ) -> None:
        """Write a model's first record, or the next one once a rollout has ended."""
        configured = self.view.models.get(model)
        record = self._records.get(model)
        if configured is None:
            return
        if record is None:
            loaded = await self._loaded_version(executor) or configured.version
            done = rollout.Phase.DONE
            first = rollout.Rollout(model, loaded, loaded, done, 1.0)
            await self._write(first, 0)
            return
        if record.phase in ENDED_PHASES and configured.version not in (
            record.version,
            record.desired_version,
        ):
            entry = self.view.state.get(rollouts.KEY_PREFIX + model)
            next_record = rollout.Rollout(
                model, record.desired_version, configured.version
            )
            await self._write(next_record, entry.version)

    async def _loaded_version(self, executor: rollouts.RolloutExecutor) -> str:
        """Return the version that all engines report, empty if they differ."""
        names = list(executor.targets.pools())
        observations = await asyncio.gather(
            *(executor.targets.observe(one) for one in names)
        )
        versions = {one.version for one in observations if one is not None}
        return versions.pop() if len(versions) == 1 else ""

    async def _write(self, record: rollout.Rollout, version: int) -> None:
        key = rollouts.KEY_PREFIX + record.model
        written = await self.objects.put(
            key, rollouts.encode(record), if_version=version
        )
        if isinstance(written, result.Success):
            self._records[record.model] = record
            events.emit(
                STARTED,
                model=record.model,
                previous=record.previous,
                version=record.version,
            )
