"""Chooses a pool for a call and requests a permit from the pool's owner."""

import asyncio
import itertools
import typing

from returns import result

from cornelreach.calls import interfaces
from cornelreach.peers import wire
from cornelreach.pools import methods, permitservice, pooldirectory
from cornelreach.prompts import affinity, pieces
from cornelreach.settings import items, view
from cornelreach.targets import permits
from cornelreach.util import errors, timers

ASK_MARGIN_MS = 500
RELEASE_LINGER_MS = 20
RELEASE_WAIT_MS = 1_000
MAX_POOLS = 3
TRANSITION_MS = 5_000
RETRY_PAUSE_MS = 250
KEY_CHARACTERS = 16


class Placer:
    """Places the calls that this instance receives."""

    def __init__(
        self,
        sender: typing.Callable[[], wire.Sender],
        clock: timers.Timers,
        settings: view.View,
        peers: wire.Client,
        pool_directory: pooldirectory.PoolDirectory,
        permit_service: permitservice.PermitService,
    ) -> None:
        self.sender = sender
        self.clock = clock
        self.view = settings
        self.peers = peers
        self.pool_directory = pool_directory
        self.affinity = affinity.Affinity()
        self.permit_service = permit_service
        self._request_numbers = itertools.count(1)
        self._releases: dict[str, list[methods.PoolRelease]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def place(
        self,
        placement: interfaces.PlacementRequest,
        *others: interfaces.PlacementRequest,
    ) -> result.Result[interfaces.PlacedRequest, errors.Refusal]:
        """Request a permit from the owners of the best pools in turn.

        ``others`` are fallbacks, such as the same call with another weight version,
        which are tried if no pool can admit ``placement``. If none can be admitted, as
        for a short time after an owner's death or during a rollout, all are tried again
        for at most ``TRANSITION_MS``. Then targets that are to be avoided may be chosen
        too: one that failed the call before may be usable again.
        """
        placements = (placement, *others)
        now_ms = self.clock.now_ms()
        until_ms = now_ms + placement.wait_ms
        retry_until_ms = min(until_ms, now_ms + TRANSITION_MS)
        while True:
            for one in placements:
                outcome = await self._ask_pools(one, until_ms)
                transient = _is_transient(outcome)
                if not transient:
                    return outcome
            if self.clock.now_ms() + RETRY_PAUSE_MS >= retry_until_ms:
                return outcome
            await asyncio.sleep(RETRY_PAUSE_MS / 1_000)
            placements = tuple(one._replace(avoid=()) for one in placements)

    async def _ask_pools(
        self, placement: interfaces.PlacementRequest, until_ms: float
    ) -> result.Result[interfaces.PlacedRequest, errors.Refusal]:
        refusal = no_pool(placement.serves)
        for pool_name in self.candidates(placement)[:MAX_POOLS]:
            outcome = await self._ask_pool(pool_name, placement, until_ms)
            if isinstance(outcome, result.Success):
                self._update_affinity(placement, pool_name)
                return outcome
            refusal = outcome.failure()
            if refusal.code is errors.Code.DEADLINE:
                break
        return result.Failure(refusal)

    def _update_affinity(
        self, placement: interfaces.PlacementRequest, pool_name: str
    ) -> None:
        if placement.prompt is not None:
            summary = self.pool_directory.summary(pool_name)
            now_ms = self.clock.now_ms()
            self.affinity.record_sent(placement.prompt.root, summary, 0.0, now_ms)

    def candidates(self, placement: interfaces.PlacementRequest) -> list[str]:
        """Return the pools that may serve a request, best first.

        For a prompt the order comes from the affinity of its document. For a service
        without prompts the pools of this data centre come first.
        """
        in_service = self.pool_directory.in_service()
        summaries = [
            self.pool_directory.summary(name)
            for name, targets in self.view.pools(placement.serves).items()
            if self._usable(targets, in_service)
        ]
        if placement.prompt is None:
            own = self.sender().data_centre
            summaries.sort(key=lambda one: (one.data_centre != own, one.wait_ms))
            return [one.pool for one in summaries]
        model = self.view.models.get(placement.serves)
        tokens_per_s = model.prefill_tokens_per_s if model else 1
        prefill_ms = placement.prompt.total_tokens * 1_000 / tokens_per_s
        now_ms = self.clock.now_ms()
        return self.affinity.rank_pools(
            placement.prompt.root, summaries, prefill_ms, now_ms
        ).pools

    def _usable(
        self, targets: typing.Sequence[items.Target], in_service: frozenset[str]
    ) -> bool:
        return any(
            target.data_centre in in_service
            and target.state == view.IN_SERVICE
            and self.pool_directory.is_reachable(target.data_centre)
            for target in targets
        )

    async def _ask_pool(
        self, pool_name: str, placement: interfaces.PlacementRequest, until_ms: float
    ) -> result.Result[interfaces.PlacedRequest, errors.Refusal]:
        request = self._request(pool_name, placement)
        while (remaining_ms := until_ms - self.clock.now_ms()) > 0:
            asked_ms = self.clock.now_ms()
            reply = await self._ask(request._replace(deadline_in_ms=remaining_ms))
            if reply.refusal is not None:
                return result.Failure(reply.refusal)
            if reply.permit is not None:
                return self._placed_request(reply.permit, asked_ms, request)
        return result.Failure(too_late())

    def _request(
        self, pool_name: str, placement: interfaces.PlacementRequest
    ) -> permits.PermitRequest:
        sender = self.sender()
        prompt = placement.prompt or pieces.PromptPieces((), (1,), "")
        account = self.view.accounts.get(placement.account)
        return permits.PermitRequest(
            request=f"{sender.name}/{sender.boot}/{next(self._request_numbers)}",
            instance=sender.name,
            instance_boot=sender.boot,
            pool=pool_name,
            account=placement.account,
            prompt_tokens=prompt.total_tokens,
            answer_tokens=placement.answer_tokens,
            weight=account.weight if account else 1,
            priority=permits.Priority(placement.priority),
            piece_keys=tuple(key[:KEY_CHARACTERS] for key in prompt.keys),
            piece_tokens=prompt.tokens,
            root=prompt.root,
            excluded=placement.avoid,
            version=placement.version,
        )

    async def _ask(self, request: permits.PermitRequest) -> methods.PermitReply:
        sender = self.sender()
        owner = self.pool_directory.owner(request.pool)
        for _ in range(2):
            if owner == sender.name:
                reply = await self.permit_service.ask(sender, request)
            else:
                reply = await self._ask_peer(owner, request)
            if reply.other_owner is None:
                return reply
            owner = reply.other_owner
        return methods.PermitReply(refusal=permitservice.no_owner(request.pool))

    async def _ask_peer(
        self, owner: str, request: permits.PermitRequest
    ) -> methods.PermitReply:
        address = self.pool_directory.address(owner)
        refused = methods.PermitReply(refusal=permitservice.no_owner(request.pool))
        if not address:
            return refused
        wait_ms = permits.POLL_MS + ASK_MARGIN_MS
        reply = await self.peers.call(address, methods.ASK, request, wait_ms)
        return reply.value_or(refused)

    def _placed_request(
        self, permit: permits.Permit, asked_ms: float, request: permits.PermitRequest
    ) -> result.Result[interfaces.PlacedRequest, errors.Refusal]:
        target = self.view.targets.get(permit.target)
        if target is None:
            unused = permits.Release(
                permit.permit, permit.target, permits.Outcome.UNUSED
            )
            self.release(unused, permit.pool)
            return result.Failure(permitservice.no_owner(permit.pool))
        return result.Success(
            interfaces.PlacedRequest(permit, target, asked_ms, request)
        )

    async def renew(self, placed: interfaces.PlacedRequest) -> interfaces.PlacedRequest:
        """Renew a permit if half of its start time has passed, as after a transfer.

        The owner replies to the repeated request with the same permit. If it does not,
        the placed request is returned unchanged and its original expiry applies.
        """
        now_ms = self.clock.now_ms()
        if now_ms - placed.asked_ms < placed.permit.start_within_ms / 2:
            return placed
        reply = await self._ask(placed.request)
        if reply.permit is None or reply.permit.target != placed.target.name:
            return placed
        return placed._replace(permit=reply.permit, asked_ms=now_ms)

    def release(self, release: permits.Release, pool: str) -> None:
        """Add a release to the next batch for the pool's owner."""
        owner = self.pool_directory.owner(pool)
        batch = self._releases.setdefault(owner, [])
        batch.append(methods.PoolRelease(pool, release))
        if len(batch) == 1:
            task = asyncio.ensure_future(self._flush(owner))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _flush(self, owner: str) -> None:
        sender = self.sender()
        if owner != sender.name:
            await asyncio.sleep(RELEASE_LINGER_MS / 1_000)
        releases = methods.Releases(self._releases.pop(owner))
        if owner == sender.name:
            await self.permit_service.release(sender, releases)
            return
        address = self.pool_directory.address(owner)
        if address:
            await self.peers.call(address, methods.RELEASE, releases, RELEASE_WAIT_MS)

    async def flush_releases(self) -> None:
        """Wait until all pending releases have been sent."""
        while self._tasks:
            await asyncio.wait(self._tasks)


def _is_transient(
    outcome: result.Result[interfaces.PlacedRequest, errors.Refusal],
) -> bool:
    """Return whether the outcome is a refusal that may soon no longer apply."""
    if isinstance(outcome, result.Success):
        return False
    return outcome.failure().code is errors.Code.UNAVAILABLE


def no_pool(serves: str) -> errors.Refusal:
    """Return the refusal of a call for which no pool is in service and reachable."""
    return errors.Refusal(
        errors.Code.UNAVAILABLE,
        f"no pool that serves {serves!r} is in service and reachable",
        "send the call again soon; operators see the pools with cornelreach status",
        errors.ExecutionStatus.NOT_RUN,
        1_000,
    )


def too_late() -> errors.Refusal:
    """Return the refusal of a call that was queued until its deadline."""
    return errors.Refusal(
        errors.Code.DEADLINE,
        "no target had free capacity before the deadline",
        "send the call again later or with a later deadline",
        errors.ExecutionStatus.NOT_RUN,
        1_000,
    )
