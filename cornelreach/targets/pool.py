"""The owner of a pool, which grants permits for requests.

``PoolOwner`` combines the parts: the queue orders waiting requests, the chooser selects
a target for a request, and each target's admission limits its load::

    owner = pool.PoolOwner("lj-north/reader", limits, choice.least_load)
    right = admission.AdmissionRight(epoch=3, exclusive=True, exclusive_from_ms=0.0)
    owner.set_admission_right(right)
    answer = owner.request(request, now_ms)      # Success(Permit | Queued) or Failure
    decisions = owner.advance(now_ms)            # for requests that waited

It does no I/O. The calling layer replies to a queued request as soon as ``advance``
returns a decision for it, and after ``permits.POLL_MS`` at the latest, with ``Queued``
again. A refusal is final: repeating the request identifier returns the same refusal.
"""

import collections
import typing

from returns import result

from cornelreach.targets import (
    admission,
    breakers,
    choice,
    drainrate,
    fairness,
    permits,
    pooltarget,
    refusals,
    sharing,
)
from cornelreach.util import errors

MAX_QUEUED_CALLS = 1_024
MAX_ENDED_REQUESTS = 4_096
RESERVE_AFTER_MS = 2_000
IDLE_SWEEP_INTERVAL_MS = 10_000


class Decision(typing.NamedTuple):
    """The reply to a request that was queued."""

    request: str
    answer: result.Result[permits.Permit, errors.Refusal]


class Summary(typing.NamedTuple):
    """A summary for heartbeats; ``wait_ms`` is the wait of a call that arrives now."""

    pool: str
    epoch: int
    targets: int
    cold_targets: int
    room_sequences: int
    room_tokens: int
    queued: int
    queued_tokens: int
    wait_ms: float


Answer = result.Result[permits.Permit | permits.Queued, errors.Refusal]


class PoolOwner:
    """Grants permits for one pool and holds the state of its targets and queue."""

    def __init__(
        self,
        name: str,
        limits: typing.Mapping[str, admission.Limits],
        chooser: choice.Chooser = choice.least_load,
        quota: typing.Callable[[str], fairness.Quota] = fairness.default_quota,
    ) -> None:
        self.name = name
        self.chooser = chooser
        self.quota = quota
        self.admission_right = admission.AdmissionRight(0, False, 0.0)
        self.pool_targets: dict[str, pooltarget.PoolTarget] = {}
        self.queue = fairness.FairQueue(self._quota_of)
        self.drain_rate = drainrate.DrainRate()
        self.breakers = breakers.PoolBreakers()
        self._granted: dict[str, tuple[permits.Permit, str]] = {}
        self._ended: collections.OrderedDict[str, errors.Refusal] = (
            collections.OrderedDict()
        )
        self._decisions: list[Decision] = []
        self._swept_ms = float("-inf")
        self.configure(limits)

    @property
    def targets(self) -> dict[str, admission.TargetAdmission]:
        """Return the admission of each target."""
        return {name: one.admission for name, one in self.pool_targets.items()}

    def _quota_of(self, account: str) -> fairness.Quota:
        return self.quota(account)

    def configure(self, limits: typing.Mapping[str, admission.Limits]) -> None:
        """Apply the settings: add and remove targets and update their limits."""
        for name in set(self.pool_targets) - set(limits):
            del self.pool_targets[name]
        self.breakers.retain(limits)
        for name, one in limits.items():
            if name not in self.pool_targets:
                self.pool_targets[name] = pooltarget.PoolTarget(name, one)
            self.pool_targets[name].admission.limits = one

    def set_admission_right(self, admission_right: admission.AdmissionRight) -> None:
        """Set the owner's current right, as determined by ``ownership``."""
        self.admission_right = admission_right

    def request(self, request: permits.PermitRequest, now_ms: float) -> Answer:
        """Return a permit, a place in the queue, or a refusal.

        A repeated request keeps its place. If it was granted, it gets the same permit
        again. A refusal guarantees that the call was not run.
        """
        ended = self._ended.get(request.request)
        if ended is not None:
            return result.Failure(ended)
        if request.request in self._granted:
            return self._renew_grant(request, now_ms)
        entry = fairness.Entry(
            request, now_ms, now_ms + request.deadline_in_ms, now_ms + permits.POLL_MS
        )
        refusal = self._refuse_at_once(entry, now_ms)
        if refusal is not None:
            return result.Failure(refusal)
        self.queue.add(entry, now_ms)
        self._dispatch(now_ms)
        if request.request not in self._granted:
            return self._queued_or_refused(entry, now_ms)
        self._withdraw_decision(request.request)
        return result.Success(self._granted[request.request][0])

    def withdraw(self, request: str) -> None:
        """Remove a queued request that its sender has given up."""
        self.queue.remove(request)

    def release(self, release: permits.Release, now_ms: float) -> None:
        """Release a permit; a repeated or late release has no effect."""
        self._remove_grant(release.permit)
        self.queue.remove(release.permit)
        self._store_refusal(release.permit, refusals.request_ended())
        pool_target = self.pool_targets.get(release.target)
        if pool_target is not None:
            self._record_in_breaker(pool_target, release, now_ms)
            pool_target.release(release, self.admission_right, now_ms)

    def report(self, report: permits.Report, now_ms: float) -> None:
        """Process a target's report of its state."""
        pool_target = self.pool_targets.get(report.target)
        if pool_target is not None:
            pool_target.admission.observe(report, self.admission_right, now_ms)

    def observe_boot(self, target: str, boot: str, asked_ms: float) -> None:
        """Process the boot ID in any reply of a target."""
        if target in self.pool_targets:
            target_admission = self.pool_targets[target].admission
            target_admission.observe_boot(boot, asked_ms, self.admission_right)

    def suspect(self, target: str, now_ms: float) -> None:
        """Stop admitting to a target until its boot ID has been queried."""
        if target in self.pool_targets:
            self.pool_targets[target].admission.suspect(now_ms)

    def probes(self) -> list[str]:
        """Return the targets whose state should be queried now."""
        return [name for name, one in self.targets.items() if one.needs_probe()]

    def advance(self, now_ms: float) -> list[Decision]:
        """Expire and dispatch queued requests; return the decisions made."""
        self._remove_dropped_grants()
        for entry in self.queue:
            if entry.deadline_at_ms <= now_ms:
                self._refuse(entry.name, refusals.deadline_passed())
            elif entry.poll_until_ms + permits.POLL_MS <= now_ms:
                self.queue.remove(entry.name)
        if now_ms - self._swept_ms >= IDLE_SWEEP_INTERVAL_MS:
            self._swept_ms = now_ms
            self.queue.remove_idle_accounts(now_ms)
        self._dispatch(now_ms)
        decisions, self._decisions = self._decisions, []
        return decisions

    def summary(self, now_ms: float) -> Summary:
        """Return a summary of the pool."""
        capacity = self._capacity(self._usable_targets(now_ms), now_ms)
        cold = sum(one.is_cold() for one in self.pool_targets.values())
        return Summary(
            pool=self.name,
            epoch=self.admission_right.epoch,
            targets=len(self.pool_targets),
            cold_targets=cold,
            room_sequences=capacity.free.sequences,
            room_tokens=capacity.free.tokens,
            queued=len(self.queue),
            queued_tokens=self.queue.tokens,
            wait_ms=self.drain_rate.wait_ms(self.queue.tokens) or 0.0,
        )

    def _renew_grant(self, request: permits.PermitRequest, now_ms: float) -> Answer:
        permit, _ = self._granted[request.request]
        pool_target = self.pool_targets.get(permit.target)
        if (
            pool_target is None
            or permit.permit not in pool_target.admission.outstanding
        ):
            self._remove_grant(request.request)
            return self.request(request, now_ms)
        right_lost = permit.exclusive and not self.admission_right.exclusive
        if pool_target.admission.needs_probe() or right_lost:
            return result.Success(permits.Queued(request.request, 0, 0.0))
        load = admission.Load(permit.sequences, permit.prompt_tokens)
        pool_target.admission.grant(permit.permit, load, request.deadline_in_ms, now_ms)
        return result.Success(permit)

    def _refuse_at_once(
        self, entry: fairness.Entry, now_ms: float
    ) -> errors.Refusal | None:
        request = entry.request
        if not set(self.pool_targets) - set(request.excluded):
            return refusals.no_target()
        if request.deadline_in_ms <= 0:
            return refusals.deadline_passed()
        limit = max(
            one.admission.limits.max_tokens for one in self.pool_targets.values()
        )
        if request.prompt_tokens > limit:
            return refusals.too_large(request.prompt_tokens, limit)
        if entry.name in self.queue:
            return None
        wait_ms = self.drain_rate.wait_ms(
            self.queue.tokens_ahead(request.account, now_ms)
        )
        if self.queue.tokens and wait_ms and wait_ms > request.deadline_in_ms:
            return refusals.wait_exceeds_deadline(wait_ms, request.deadline_in_ms)
        if (
            self.queue.call_count(request.account)
            >= self.quota(request.account).queue_calls
        ):
            return refusals.account_full(wait_ms)
        return None

    def _queued_or_refused(self, entry: fairness.Entry, now_ms: float) -> Answer:
        """Return a place in the queue.

        If the queue is over its limit, the newest call of the account with the most
        queued tokens is refused.
        """
        if len(self.queue) > MAX_QUEUED_CALLS:
            wait_ms = self.drain_rate.wait_ms(self.queue.tokens)
            self._refuse(
                self.queue.newest_of_largest_account().name, refusals.pool_full(wait_ms)
            )
        if entry.name not in self.queue:
            self._withdraw_decision(entry.name)
            return result.Failure(self._ended[entry.name])
        ahead = self.queue.tokens_ahead(entry.request.account, now_ms)
        wait_ms = self.drain_rate.wait_ms(ahead) or 0.0
        position = self.queue.call_count(entry.request.account) - 1
        return result.Success(permits.Queued(entry.name, position, wait_ms))

    def _refuse(self, name: str, refusal: errors.Refusal) -> None:
        self.queue.remove(name)
        self._store_refusal(name, refusal)
        self._decisions.append(Decision(name, result.Failure(refusal)))

    def _record_in_breaker(
        self,
        pool_target: pooltarget.PoolTarget,
        release: permits.Release,
        now_ms: float,
    ) -> None:
        """Record the outcome of an outstanding permit in the target's breaker."""
        if release.permit not in pool_target.admission.outstanding:
            return
        sample = pool_target.sample(release)
        if sample is None:
            self.breakers.get(pool_target.name).record_end()
            return
        if self.breakers.get(pool_target.name).is_sudden_slowdown(sample):
            pool_target.admission.suspect(now_ms)
        self.breakers.record(pool_target.name, sample, now_ms)

    def _usable_targets(self, now_ms: float) -> list[pooltarget.PoolTarget]:
        ejected = self.breakers.ejected(list(self.pool_targets), now_ms)
        return [one for name, one in self.pool_targets.items() if name not in ejected]

    def _store_refusal(self, name: str, refusal: errors.Refusal) -> None:
        self._ended[name] = refusal
        while len(self._ended) > MAX_ENDED_REQUESTS:
            self._ended.popitem(last=False)

    def _withdraw_decision(self, name: str) -> None:
        self._decisions = [one for one in self._decisions if one.request != name]

    def _remove_grant(self, name: str) -> None:
        granted = self._granted.pop(name, None)
        if granted is not None:
            permit, account = granted
            self.queue.release(account, permit.sequences)

    def _remove_dropped_grants(self) -> None:
        for name, (permit, _) in list(self._granted.items()):
            pool_target = self.pool_targets.get(permit.target)
            if pool_target is None:
                self._remove_grant(name)
            elif name not in pool_target.admission.outstanding:
                pool_target.forget(name)
                self.breakers.get(pool_target.name).record_end()
                self._remove_grant(name)

    def _capacity(
        self, usable: list[pooltarget.PoolTarget], now_ms: float
    ) -> sharing.PoolCapacity:
        return sharing.capacity_of(
            [one.admission for one in usable], self.admission_right, now_ms
        )

    def _dispatch(self, now_ms: float) -> None:
        """Grant queued requests in fair order while there is free capacity.

        The first call that does not fit after waiting ``RESERVE_AFTER_MS`` reserves the
        target with the fewest outstanding tokens, so shorter calls can't starve it.
        """
        if not len(self.queue):
            return
        usable = self._usable_targets(now_ms)
        capacity = self._capacity(usable, now_ms)
        if capacity.free.sequences <= 0:
            return
        reserved = ""
        for entry in self.queue.next_entries(now_ms, capacity.max_free_tokens):
            if capacity is None:
                capacity = self._capacity(usable, now_ms)
            if capacity.free.sequences <= 0:
                return
            if entry.poll_until_ms <= now_ms:
                continue
            access = sharing.access_for(entry, self.queue, capacity, now_ms)
            if not access.allowed:
                continue
            eligible = [one for one in usable if one.name != reserved]
            if self._try_grant(entry, access, eligible, now_ms):
                capacity = None
            elif not reserved and now_ms - entry.arrived_ms >= RESERVE_AFTER_MS:
                reserved = self._target_to_reserve(entry)

    def _target_to_reserve(self, entry: fairness.Entry) -> str:
        load = admission.Load(entry.request.sequences, entry.request.prompt_tokens)
        eligible = [
            one.admission
            for one in self.pool_targets.values()
            if one.admission.can_ever_fit(load)
            and one.name not in entry.request.excluded
        ]
        if not eligible:
            return ""
        best = min(eligible, key=lambda one: (one.outstanding_load.tokens, one.name))
        return best.name

    def _try_grant(
        self,
        entry: fairness.Entry,
        access: sharing.PoolAccess,
        eligible: list[pooltarget.PoolTarget],
        now_ms: float,
    ) -> bool:
        request = entry.request
        candidates = [
            one.candidate(request, access, self.admission_right, now_ms)
            for one in eligible
            if one.name not in request.excluded
        ]
        fitting = {one.target for one in candidates if one.fits}
        if not fitting:
            return False
        chosen = self.chooser(request, candidates, now_ms)
        if chosen.target not in fitting:
            return False
        if chosen.prefill_tokens is None:
            chosen = chosen._replace(prefill_tokens=request.prompt_tokens)
        pool_target = self.pool_targets[chosen.target]
        if not pool_target.starts_prefill_soon(access, chosen.prefill_tokens, now_ms):
            return False
        self._grant(entry, chosen, access, now_ms)
        return True

    def _grant(
        self,
        entry: fairness.Entry,
        chosen: choice.Choice,
        access: sharing.PoolAccess,
        now_ms: float,
    ) -> None:
        request = entry.request
        self.queue.grant(entry, chosen.prefill_tokens, now_ms)
        self.drain_rate.record_grant(entry.tokens, len(self.queue) > 0, now_ms)
        pool_target = self.pool_targets[chosen.target]
        pool_target.grant(request, access, chosen.prefill_tokens, now_ms)
        self.breakers.get(pool_target.name).record_sent()
        permit = permits.Permit(
            permit=request.request,
            pool=self.name,
            epoch=self.admission_right.epoch,
            target=chosen.target,
            boot=pool_target.admission.boot,
            sequences=request.sequences,
            prompt_tokens=request.prompt_tokens,
            exclusive=pool_target.is_cold(),
            plan=chosen.plan,
            target_priority=access.priority(chosen.prefill_tokens),
        )
        self._granted[request.request] = (permit, request.account)
        self._decisions.append(Decision(request.request, result.Success(permit)))
