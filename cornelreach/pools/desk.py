"""The owner's side of the control call: one desk an instance, for all its pools.

The desk keeps an aggregate for each pool that the instance owns, answers questions
about it, and holds a question that waits until the pool decides or the asker is due
to ask again.
"""

import asyncio
import typing

from returns import result

from cornelreach.peers import wire
from cornelreach.pools import methods, notices
from cornelreach.targets import admission, permits, pool
from cornelreach.util import errors, timers

ADVANCE_MS = 20


class Pools(typing.Protocol):
    """Says which pools this instance owns, and with what right."""

    def owner(self, pool_name: str) -> str:
        """Return the name of the instance that owns a pool, empty if none."""

    def standing(self, pool_name: str) -> admission.Standing:
        """Return this instance's right to admit to cold targets of a pool."""


class Desk:
    """Answers ``Ask`` and ``Release`` for the pools that this instance owns."""

    def __init__(self, name: str, clock: timers.Timers, pools: Pools) -> None:
        self.name = name
        self.clock = clock
        self.pools = pools
        self.owners: dict[str, pool.PoolOwner] = {}
        self._waiting: dict[str, asyncio.Future[None]] = {}
        clock.every(ADVANCE_MS, self.advance)

    def configure(
        self, limits: typing.Mapping[str, typing.Mapping[str, admission.Limits]]
    ) -> None:
        """Follow the settings and the ownership: pool to target to limits."""
        for name in set(self.owners) - set(limits):
            del self.owners[name]
        for name, targets in limits.items():
            if name in self.owners:
                self.owners[name].configure(targets)
            else:
                self.owners[name] = pool.PoolOwner(name, targets)

    async def ask(
        self, sender: wire.Sender, request: permits.PermitRequest
    ) -> methods.Asked:
        """Answer one question; waits at most ``permits.POLL_MS``."""
        owner = self.owners.get(request.pool)
        if owner is None:
            return methods.Asked(other_owner=self.pools.owner(request.pool))
        answer = self._request(owner, request)
        if answer.queued is None:
            return answer
        await self._decided(request.request)
        return self._request(owner, request)

    def _request(
        self, owner: pool.PoolOwner, request: permits.PermitRequest
    ) -> methods.Asked:
        owner.stand(self.pools.standing(owner.name))
        answer = owner.request(request, self.clock.now_ms())
        if isinstance(answer, result.Failure):
            return methods.Asked(refusal=answer.failure())
        given = answer.unwrap()
        if isinstance(given, permits.Queued):
            return methods.Asked(queued=given)
        return methods.Asked(permit=given)

    async def _decided(self, request: str) -> None:
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
    ) -> notices.Nothing:
        """Take permits back; unknown pools are passed over."""
        for item in releases.items:
            owner = self.owners.get(item.pool)
            if owner is not None:
                owner.release(item.release, self.clock.now_ms())
        self.advance()
        return notices.Nothing()

    def advance(self) -> None:
        """Wake the questions whose pools have decided."""
        now_ms = self.clock.now_ms()
        for owner in self.owners.values():
            owner.stand(self.pools.standing(owner.name))
            for decision in owner.advance(now_ms):
                waiting = self._waiting.pop(decision.request, None)
                if waiting is not None and not waiting.done():
                    waiting.set_result(None)

    def report(self, pool_name: str, report: permits.Report) -> None:
        """Pass a target's report to its pool."""
        owner = self.owners.get(pool_name)
        if owner is not None:
            owner.report(report, self.clock.now_ms())
            self.advance()


def no_owner(pool_name: str) -> errors.Refusal:
    """Return the refusal of a call whose pool has no owner in reach."""
    return errors.Refusal(
        errors.Code.UNAVAILABLE,
        f"no instance in reach admits for pool {pool_name!r}",
        "send the call again soon",
        errors.Ran.NOT_RUN,
        1_000,
    )
