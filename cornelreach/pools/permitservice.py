"""Answers permit requests for the pools that this instance owns.

Each instance has one ``PermitService``. It keeps the state of each owned pool and
replies to requests for permits. The reply to a queued request is held back until the
pool decides or the sender is due to poll again.
"""

import asyncio
import random
import typing

from returns import result

from cornelreach.http import client
from cornelreach.peers import wire
from cornelreach.pools import methods, notices
from cornelreach.prompts import cachemanager
from cornelreach.settings import items
from cornelreach.targets import admission, fairness, permits, pool
from cornelreach.util import errors, timers

ADVANCE_MS = 20
SERVED = permits.Outcome.DONE


class Pools(typing.Protocol):
    """The owners of pools, and this instance's rights and limits in them."""

    def owner(self, pool_name: str) -> str:
        """Return the name of the instance that owns a pool, empty if none."""

    def admission_right(self, pool_name: str) -> admission.AdmissionRight:
        """Return this instance's right to admit to cold targets of a pool."""

    def quota(self, account: str) -> fairness.Quota:
        """Return what an account may use of a pool."""


class PoolSettings(typing.NamedTuple):
    """The settings of an owned pool; ``model`` is None for a service."""

    location: cachemanager.PoolLocation
    targets: dict[str, items.Target]
    stores: dict[str, items.Target]
    model: items.Model | None
    closed: frozenset[str] = frozenset()


class OwnedPool:
    """The state of one owned pool."""

    def __init__(
        self,
        name: str,
        settings: PoolSettings,
        cache_manager: cachemanager.CacheManager | None,
        quota: typing.Callable[[str], fairness.Quota],
    ) -> None:
        self.cache_manager = cache_manager
        self.versions: dict[str, str] = {}
        limits = limits_of_all(settings)
        if cache_manager is None:
            self.owner = pool.PoolOwner(name, limits, quota=quota)
        else:
            self.owner = pool.PoolOwner(name, limits, cache_manager.choose, quota)
        self.configure(settings)

    def configure(self, settings: PoolSettings) -> None:
        """Apply the settings."""
        self.closed = settings.closed
        limits = limits_of_all(settings)
        self.owner.configure(limits)
        if self.cache_manager is not None:
            self.cache_manager.configure(
                settings.location, settings.targets, settings.stores, settings.model
            )

    def exclude_unusable(self, request: permits.PermitRequest) -> permits.PermitRequest:
        """Return the request with closed targets and other versions excluded."""
        other = {
            name
            for name, version in self.versions.items()
            if request.version and version != request.version
        }
        unusable = (self.closed | other) - set(request.excluded)
        return request._replace(excluded=(*request.excluded, *sorted(unusable)))

    def wait_ms(self, now_ms: float) -> float:
        """Return the expected wait of a new request."""
        summary = self.owner.summary(now_ms)
        if self.cache_manager is None:
            return summary.wait_ms
        return summary.wait_ms + self.cache_manager.wait_ms()


class PermitService:
    """Answers ``Ask`` and ``Release`` for the pools that this instance owns."""

    def __init__(
        self,
        clock: timers.Timers,
        pools: Pools,
        http: client.Client,
        rng: random.Random,
    ) -> None:
        self.clock = clock
        self.pools = pools
        self.http = http
        self.rng = rng
        self.owned_pools: dict[str, OwnedPool] = {}
        self._waiting: dict[str, asyncio.Future[None]] = {}
        self._stop_tasks: set[asyncio.Task[None]] = set()
        clock.every(ADVANCE_MS, self.advance)

    def configure(self, settings: typing.Mapping[str, PoolSettings]) -> None:
        """Apply the settings of the pools that this instance now owns."""
        for name in set(self.owned_pools) - set(settings):
            self._drop(name)
        for name, one in settings.items():
            if name in self.owned_pools:
                self.owned_pools[name].configure(one)
            else:
                self.owned_pools[name] = OwnedPool(
                    name, one, self._start_cache_manager(one), self.pools.quota
                )

    def _start_cache_manager(
        self, settings: PoolSettings
    ) -> cachemanager.CacheManager | None:
        if settings.model is None:
            return None
        cache_manager = cachemanager.CacheManager(self.http, self.clock, self.rng)
        cache_manager.start()
        return cache_manager

    def _drop(self, name: str) -> None:
        cache_manager = self.owned_pools.pop(name).cache_manager
        if cache_manager is not None:
            task = asyncio.ensure_future(cache_manager.stop())
            self._stop_tasks.add(task)
            task.add_done_callback(self._stop_tasks.discard)

    async def close(self) -> None:
        """Drop every pool and wait until its cache manager has stopped."""
        for name in list(self.owned_pools):
            self._drop(name)
        await asyncio.gather(*self._stop_tasks, return_exceptions=True)

    async def ask(
        self, sender: wire.Sender, request: permits.PermitRequest
    ) -> methods.PermitReply:
        """Reply to one permit request, after at most ``permits.POLL_MS``."""
        owned_pool = self.owned_pools.get(request.pool)
        if owned_pool is None:
            return methods.PermitReply(other_owner=self.pools.owner(request.pool))
        request = owned_pool.exclude_unusable(request)
        answer = self._request(owned_pool.owner, request)
        if answer.queued is None:
            return answer
        await self._wait_for_decision(request.request)
        return self._request(owned_pool.owner, request)

    def _request(
        self, owner: pool.PoolOwner, request: permits.PermitRequest
    ) -> methods.PermitReply:
        owner.set_admission_right(self.pools.admission_right(owner.name))
        answer = owner.request(request, self.clock.now_ms())
        if isinstance(answer, result.Failure):
            return methods.PermitReply(refusal=answer.failure())
        granted = answer.unwrap()
        if isinstance(granted, permits.Queued):
            return methods.PermitReply(queued=granted)
        return methods.PermitReply(permit=granted)

    async def _wait_for_decision(self, request: str) -> None:
        decided = asyncio.get_running_loop().create_future()
        self._waiting[request] = decided
        try:
            async with asyncio.timeout(permits.POLL_MS / 1_000):
                await decided
        except TimeoutError:
            return
        finally:
            self._waiting.pop(request, None)

    async def release(
        self, sender: wire.Sender, releases: methods.Releases
    ) -> notices.Empty:
        """Release permits; those of unknown pools are ignored."""
        for item in releases.items:
            owned_pool = self.owned_pools.get(item.pool)
            if owned_pool is not None:
                self._release(owned_pool, item.release)
        self.advance()
        return notices.Empty()

    def _release(self, owned_pool: OwnedPool, release: permits.Release) -> None:
        owned_pool.owner.release(release, self.clock.now_ms())
        if owned_pool.cache_manager is not None:
            owned_pool.cache_manager.record_release(
                release.permit, release.outcome is SERVED
            )

    def advance(self) -> None:
        """Wake the waiting requests on which a pool has decided."""
        now_ms = self.clock.now_ms()
        for owned_pool in self.owned_pools.values():
            owned_pool.owner.set_admission_right(
                self.pools.admission_right(owned_pool.owner.name)
            )
            for decision in owned_pool.owner.advance(now_ms):
                waiting = self._waiting.pop(decision.request, None)
                if waiting is not None and not waiting.done():
                    waiting.set_result(None)

    def report(self, pool_name: str, report: permits.Report, version: str = "") -> None:
        """Pass a target's report and its loaded weight version to its pool."""
        owned_pool = self.owned_pools.get(pool_name)
        if owned_pool is None:
            return
        if version:
            owned_pool.versions[report.target] = version
        owned_pool.owner.report(report, self.clock.now_ms())
        if owned_pool.cache_manager is not None:
            owned_pool.cache_manager.record_load_report(
                report.target, report.queued_tokens
            )
        self.advance()


def limits_of_all(settings: PoolSettings) -> dict[str, admission.Limits]:
    """Return the limits of each target of a pool."""
    targets = settings.targets.values()
    return {target.name: limits_of(target, settings.model) for target in targets}


def limits_of(target: items.Target, model: items.Model | None) -> admission.Limits:
    """Return the limits of a target from its settings and those of its model."""
    tokens_per_s = (model or items.Model("")).prefill_tokens_per_s
    return admission.Limits(
        target.max_sequences,
        target.max_tokens,
        target.cold_sequences,
        target.cold_tokens,
        target.cold_ms,
        tokens_per_s,
    )


def no_owner(pool_name: str) -> errors.Refusal:
    """Return the refusal of a call whose pool has no reachable owner."""
    return errors.Refusal(
        errors.Code.UNAVAILABLE,
        f"no reachable instance owns pool {pool_name!r}",
        "send the call again soon",
        errors.ExecutionStatus.NOT_RUN,
        1_000,
    )
