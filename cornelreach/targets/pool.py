"""The owner's side of a pool: requests in, permits out.

``PoolOwner`` puts the parts together: the queue orders what waits, the chooser places
a request, and each target's admission says what there is room for::

    owner = pool.PoolOwner("lj-north/reader", limits, choice.least_load)
    owner.stand(admission.Standing(epoch=3, exclusive=True, exclusive_from_ms=0.0))
    answer = owner.request(request, now_ms)      # Success(Permit | Queued) or Failure
    decisions = owner.advance(now_ms)            # for requests that waited

It does no I/O. The shell answers a question that was ``Queued`` as soon as ``advance``
names its request, and after ``permits.POLL_MS`` at the latest with ``Queued`` again.
A refusal is final: the request's identifier gets the same one again.
"""

import collections
import typing

from returns import result

from cornelreach.targets import (
    admission,
    breakers,
    choice,
    drain,
    fairness,
    member,
    permits,
    refusals,
    sharing,
)
from cornelreach.util import errors

QUEUE_CALLS = 1_024
ENDED_KEPT = 4_096
HOLD_MS = 2_000
IDLE_SWEEP_MS = 10_000


class Decision(typing.NamedTuple):
    """The answer to a request that waited."""

    request: str
    answer: result.Result[permits.Permit, errors.Refusal]


class Summary(typing.NamedTuple):
    """A pool in short, for heartbeats; ``wait_ms`` is for a call that comes now."""

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
    """Admits for one pool; the aggregate root of its targets and its queue."""

    def __init__(
        self,
        name: str,
        limits: typing.Mapping[str, admission.Limits],
        chooser: choice.Chooser = choice.least_load,
        terms: typing.Callable[[str], fairness.Terms] = fairness.default_terms,
    ) -> None:
        self.name = name
        self.chooser = chooser
        self.terms = terms
        self.standing = admission.Standing(0, False, 0.0)
        self.members: dict[str, member.PoolMember] = {}
        self.queue = fairness.FairQueue(self._terms_of)
        self.drain = drain.DrainRate()
        self.breakers = breakers.Ring()
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
        return {name: one.admission for name, one in self.members.items()}

    def _terms_of(self, account: str) -> fairness.Terms:
        return self.terms(account)

    def configure(self, limits: typing.Mapping[str, admission.Limits]) -> None:
        """Follow the settings: new targets join, others leave or change limits."""
        for name in set(self.members) - set(limits):
            del self.members[name]
        self.breakers.keep(limits)
        for name, one in limits.items():
            if name not in self.members:
                self.members[name] = member.PoolMember(name, one)
            self.members[name].admission.limits = one

    def stand(self, standing: admission.Standing) -> None:
        """Take over the owner's right as ``ownership`` states it now."""
        self.standing = standing

    def request(self, request: permits.PermitRequest, now_ms: float) -> Answer:
        """Return a permit, a place in the queue, or a refusal that nothing ran.

        A repeated request keeps its place; one that was granted gets its permit again.
        """
        ended = self._ended.get(request.request)
        if ended is not None:
            return result.Failure(ended)
        if request.request in self._granted:
            return self._again(request, now_ms)
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

    def give_up(self, request: str) -> None:
        """Forget a request that waits; its sender no longer wants it."""
        self.queue.remove(request)

    def release(self, release: permits.Release, now_ms: float) -> None:
        """Take a permit back; a repeated or late release changes nothing."""
        self._end_grant(release.permit)
        self.queue.remove(release.permit)
        self._remember(release.permit, refusals.ended())
        held = self.members.get(release.target)
        if held is not None:
            self._judge(held, release, now_ms)
            held.release(release, self.standing, now_ms)

    def report(self, report: permits.Report, now_ms: float) -> None:
        """Take in a target's report of its state."""
        held = self.members.get(report.target)
        if held is not None:
            held.admission.observe(report, self.standing, now_ms)

    def observe_boot(self, target: str, boot: str, asked_ms: float) -> None:
        """Take in the boot identity of any answer of a target."""
        if target in self.members:
            seen = self.members[target].admission
            seen.observe_boot(boot, asked_ms, self.standing)

    def suspect(self, target: str, now_ms: float) -> None:
        """Admit no more to a target until it has been asked for its boot."""
        if target in self.members:
            self.members[target].admission.suspect(now_ms)

    def probes(self) -> list[str]:
        """Return the targets to ask for their state now."""
        return [name for name, one in self.targets.items() if one.needs_probe()]

    def advance(self, now_ms: float) -> list[Decision]:
        """Return the answers that have become due to requests that waited."""
        self._forget_dropped()
        for entry in self.queue:
            if entry.deadline_at_ms <= now_ms:
                self._refuse(entry.name, refusals.late())
            elif entry.attended_until_ms + permits.POLL_MS <= now_ms:
                self.queue.remove(entry.name)
        if now_ms - self._swept_ms >= IDLE_SWEEP_MS:
            self._swept_ms = now_ms
            self.queue.forget_idle(now_ms)
        self._dispatch(now_ms)
        decisions, self._decisions = self._decisions, []
        return decisions

    def summary(self, now_ms: float) -> Summary:
        """Return the pool in short."""
        supply = self._supply(self._usable(now_ms), now_ms)
        cold = sum(one.is_cold() for one in self.members.values())
        return Summary(
            pool=self.name,
            epoch=self.standing.epoch,
            targets=len(self.members),
            cold_targets=cold,
            room_sequences=supply.free.sequences,
            room_tokens=supply.free.tokens,
            queued=len(self.queue),
            queued_tokens=self.queue.tokens,
            wait_ms=self.drain.wait_ms(self.queue.tokens) or 0.0,
        )

    def _again(self, request: permits.PermitRequest, now_ms: float) -> Answer:
        permit, _ = self._granted[request.request]
        held = self.members.get(permit.target)
        if held is None or permit.permit not in held.admission.out:
            self._end_grant(request.request)
            return self.request(request, now_ms)
        lost = permit.exclusive and not self.standing.exclusive
        if held.admission.needs_probe() or lost:
            return result.Success(permits.Queued(request.request, 0, 0.0))
        load = admission.Load(permit.sequences, permit.prompt_tokens)
        held.admission.grant(permit.permit, load, request.deadline_in_ms, now_ms)
        return result.Success(permit)

    def _refuse_at_once(
        self, entry: fairness.Entry, now_ms: float
    ) -> errors.Refusal | None:
        request = entry.request
        if not set(self.members) - set(request.excluded):
            return refusals.no_target()
        if request.deadline_in_ms <= 0:
            return refusals.late()
        most = max(one.admission.limits.max_tokens for one in self.members.values())
        if request.prompt_tokens > most:
            return refusals.too_large(request.prompt_tokens, most)
        if entry.name in self.queue:
            return None
        wait_ms = self.drain.wait_ms(self.queue.tokens_ahead(request.account, now_ms))
        if self.queue.tokens and wait_ms and wait_ms > request.deadline_in_ms:
            return refusals.too_long(wait_ms, request.deadline_in_ms)
        if (
            self.queue.calls_of(request.account)
            >= self.terms(request.account).queue_calls
        ):
            return refusals.account_full(wait_ms)
        return None

    def _queued_or_refused(self, entry: fairness.Entry, now_ms: float) -> Answer:
        """Keep the queue within its bound at the cost of the largest account."""
        if len(self.queue) > QUEUE_CALLS:
            wait_ms = self.drain.wait_ms(self.queue.tokens)
            self._refuse(self.queue.largest().name, refusals.pool_full(wait_ms))
        if entry.name not in self.queue:
            self._withdraw_decision(entry.name)
            return result.Failure(self._ended[entry.name])
        ahead = self.queue.tokens_ahead(entry.request.account, now_ms)
        wait_ms = self.drain.wait_ms(ahead) or 0.0
        position = self.queue.calls_of(entry.request.account) - 1
        return result.Success(permits.Queued(entry.name, position, wait_ms))

    def _refuse(self, name: str, refusal: errors.Refusal) -> None:
        self.queue.remove(name)
        self._remember(name, refusal)
        self._decisions.append(Decision(name, result.Failure(refusal)))

    def _judge(
        self, held: member.PoolMember, release: permits.Release, now_ms: float
    ) -> None:
        """Let the breaker learn from the end of a permit that is out."""
        if release.permit not in held.admission.out:
            return
        sample = held.sample(release)
        if sample is None:
            self.breakers.of(held.name).dropped()
            return
        if self.breakers.of(held.name).is_sudden(sample):
            held.admission.suspect(now_ms)
        self.breakers.record(held.name, sample, now_ms)

    def _usable(self, now_ms: float) -> list[member.PoolMember]:
        ejected = self.breakers.ejected(list(self.members), now_ms)
        return [one for name, one in self.members.items() if name not in ejected]

    def _remember(self, name: str, refusal: errors.Refusal) -> None:
        self._ended[name] = refusal
        while len(self._ended) > ENDED_KEPT:
            self._ended.popitem(last=False)

    def _withdraw_decision(self, name: str) -> None:
        self._decisions = [one for one in self._decisions if one.request != name]

    def _end_grant(self, name: str) -> None:
        held = self._granted.pop(name, None)
        if held is not None:
            permit, account = held
            self.queue.give_back(account, permit.sequences)

    def _forget_dropped(self) -> None:
        for name, (permit, _) in list(self._granted.items()):
            held = self.members.get(permit.target)
            if held is None:
                self._end_grant(name)
            elif name not in held.admission.out:
                held.forget(name)
                self.breakers.of(held.name).dropped()
                self._end_grant(name)

    def _supply(self, usable: list[member.PoolMember], now_ms: float) -> sharing.Supply:
        return sharing.supply_of(
            [one.admission for one in usable], self.standing, now_ms
        )

    def _dispatch(self, now_ms: float) -> None:
        """Grant what there is room for, in the order of turns.

        A call that has waited ``HOLD_MS`` for want of room keeps the target with the
        most free tokens for itself, so that shorter ones do not pass it for ever.
        """
        if not len(self.queue):
            return
        usable = self._usable(now_ms)
        supply = self._supply(usable, now_ms)
        if supply.free.sequences <= 0:
            return
        kept = ""
        for entry in self.queue.turns(now_ms, supply.most_tokens):
            if supply is None:
                supply = self._supply(usable, now_ms)
            if supply.free.sequences <= 0:
                return
            if entry.attended_until_ms <= now_ms:
                continue
            use = sharing.use_of(entry, self.queue, supply, now_ms)
            if not use.allowed:
                continue
            able = [one for one in usable if one.name != kept]
            if self._try(entry, use, able, now_ms):
                supply = None
            elif not kept and now_ms - entry.arrived_ms >= HOLD_MS:
                kept = self._target_to_keep(entry)

    def _target_to_keep(self, entry: fairness.Entry) -> str:
        load = admission.Load(entry.request.sequences, entry.request.prompt_tokens)
        able = [
            one.admission
            for one in self.members.values()
            if one.admission.bears(load) and one.name not in entry.request.excluded
        ]
        if not able:
            return ""
        best = min(able, key=lambda one: (one.out_load.tokens, one.name))
        return best.name

    def _try(
        self,
        entry: fairness.Entry,
        use: sharing.Use,
        able: list[member.PoolMember],
        now_ms: float,
    ) -> bool:
        request = entry.request
        candidates = [
            one.candidate(request, use, self.standing, now_ms)
            for one in able
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
        held = self.members[chosen.target]
        if not held.reads_soon(use, chosen.prefill_tokens, now_ms):
            return False
        self._grant(entry, chosen, use, now_ms)
        return True

    def _grant(
        self,
        entry: fairness.Entry,
        chosen: choice.Choice,
        use: sharing.Use,
        now_ms: float,
    ) -> None:
        request = entry.request
        self.queue.take(entry, chosen.prefill_tokens, now_ms)
        self.drain.granted(entry.tokens, len(self.queue) > 0, now_ms)
        held = self.members[chosen.target]
        held.grant(request, use, chosen.prefill_tokens, now_ms)
        self.breakers.of(held.name).sent()
        permit = permits.Permit(
            permit=request.request,
            pool=self.name,
            epoch=self.standing.epoch,
            target=chosen.target,
            boot=held.admission.boot,
            sequences=request.sequences,
            prompt_tokens=request.prompt_tokens,
            exclusive=held.is_cold(),
            plan=chosen.plan,
            target_priority=use.priority(chosen.prefill_tokens),
        )
        self._granted[request.request] = (permit, request.account)
        self._decisions.append(Decision(request.request, result.Success(permit)))
