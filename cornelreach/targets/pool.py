"""The owner's side of a pool: requests in, permits out.

``PoolOwner`` puts the parts together: the queue orders what waits, the chooser places
a request, and each target's admission says what there is room for::

    owner = pool.PoolOwner("lj-north/reader", limits, pool.least_load)
    owner.stand(admission.Standing(epoch=3, exclusive=True, exclusive_from_ms=0.0))
    answer = owner.request(request, now_ms)      # Success(Permit | Queued) or Failure
    decisions = owner.advance(now_ms)            # for requests that waited

It does no I/O. The shell answers a question that was ``Queued`` as soon as ``advance``
names its request, and after ``permits.POLL_MS`` at the latest with ``Queued`` again.
"""

import collections
import typing

from returns import result

from cornelreach.targets import admission, permits
from cornelreach.util import errors

QUEUE_CALLS = 1_024
RELEASED_KEPT = 4_096


class Candidate(typing.NamedTuple):
    """A target as the chooser sees it; ``fits`` if the request may go there now."""

    target: str
    boot: str
    cold: bool
    fits: bool
    room: admission.Load
    out: admission.Load
    limits: admission.Limits


class Choice(typing.NamedTuple):
    """Where a request goes; an empty target means that it had better wait."""

    target: str = ""
    plan: str = ""


Chooser = typing.Callable[
    [permits.PermitRequest, typing.Sequence[Candidate], float], Choice
]


class Decision(typing.NamedTuple):
    """The answer to a request that waited."""

    request: str
    answer: result.Result[permits.Permit, errors.Refusal]


class Summary(typing.NamedTuple):
    """A pool in short, for heartbeats."""

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


def least_load(
    request: permits.PermitRequest,
    candidates: typing.Sequence[Candidate],
    now_ms: float,
) -> Choice:
    """Choose the fitting target with the largest free share of its limit."""
    fitting = [candidate for candidate in candidates if candidate.fits]
    if not fitting:
        return Choice()
    best = max(fitting, key=lambda one: (not one.cold, one.room.sequences, one.target))
    return Choice(best.target)


class _Waiting(typing.NamedTuple):
    request: permits.PermitRequest
    deadline_at_ms: float
    attended_until_ms: float


class PoolOwner:
    """Admits for one pool; the aggregate root of its targets and its queue."""

    def __init__(
        self,
        name: str,
        limits: typing.Mapping[str, admission.Limits],
        chooser: Chooser = least_load,
    ) -> None:
        self.name = name
        self.chooser = chooser
        self.standing = admission.Standing(0, False, 0.0)
        self.targets: dict[str, admission.TargetAdmission] = {}
        self._queue: dict[str, _Waiting] = {}
        self._granted: dict[str, permits.Permit] = {}
        self._released: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._decisions: list[Decision] = []
        self.configure(limits)

    def configure(self, limits: typing.Mapping[str, admission.Limits]) -> None:
        """Follow the settings: new targets join, others leave or change limits."""
        for name in set(self.targets) - set(limits):
            del self.targets[name]
        for name, one in limits.items():
            target = self.targets.setdefault(name, admission.TargetAdmission(name, one))
            target.limits = one

    def stand(self, standing: admission.Standing) -> None:
        """Take over the owner's right as ``ownership`` states it now."""
        self.standing = standing

    def request(self, request: permits.PermitRequest, now_ms: float) -> Answer:
        """Return a permit, a place in the queue, or a refusal that nothing ran.

        A repeated request keeps its place; one that was granted gets its permit again.
        """
        if request.request in self._released:
            return result.Failure(_refusal("this request has ended", 0))
        granted = self._granted.get(request.request)
        if granted is not None:
            return self._again(granted, request, now_ms)
        refusal = self._refuse_at_once(request)
        if refusal is not None:
            return result.Failure(refusal)
        deadline_at_ms = now_ms + request.deadline_in_ms
        self._queue[request.request] = _Waiting(
            request, deadline_at_ms, now_ms + permits.POLL_MS
        )
        self._dispatch(now_ms)
        permit = self._granted.get(request.request)
        if permit is None:
            return result.Success(self._place(request.request))
        self._decisions = [
            one for one in self._decisions if one.request != request.request
        ]
        return result.Success(permit)

    def give_up(self, request: str) -> None:
        """Forget a request that waits; its sender no longer wants it."""
        self._queue.pop(request, None)

    def release(self, release: permits.Release, now_ms: float) -> None:
        """Take a permit back; a repeated or late release changes nothing."""
        self._granted.pop(release.permit, None)
        self._queue.pop(release.permit, None)
        self._released[release.permit] = None
        while len(self._released) > RELEASED_KEPT:
            self._released.popitem(last=False)
        target = self.targets.get(release.target)
        if target is not None:
            target.release(release, self.standing, now_ms)

    def report(self, report: permits.Report, now_ms: float) -> None:
        """Take in a target's report of its state."""
        target = self.targets.get(report.target)
        if target is not None:
            target.observe(report, self.standing, now_ms)

    def observe_boot(self, target: str, boot: str, asked_ms: float) -> None:
        """Take in the boot identity of any answer of a target."""
        if target in self.targets:
            self.targets[target].observe_boot(boot, asked_ms, self.standing)

    def suspect(self, target: str, now_ms: float) -> None:
        """Admit no more to a target until it has been asked for its boot."""
        if target in self.targets:
            self.targets[target].suspect(now_ms)

    def probes(self) -> list[str]:
        """Return the targets to ask for their state now."""
        return [name for name, one in self.targets.items() if one.needs_probe()]

    def advance(self, now_ms: float) -> list[Decision]:
        """Return the answers that have become due to requests that waited."""
        self._forget_dropped()
        for name, waiting in list(self._queue.items()):
            if waiting.deadline_at_ms <= now_ms:
                del self._queue[name]
                answer = result.Failure(_late())
                self._decisions.append(Decision(name, answer))
            elif waiting.attended_until_ms + permits.POLL_MS <= now_ms:
                del self._queue[name]
        self._dispatch(now_ms)
        decisions, self._decisions = self._decisions, []
        return decisions

    def summary(self, now_ms: float) -> Summary:
        """Return the pool in short."""
        rooms = [one.room(self.standing, now_ms) for one in self.targets.values()]
        cold = sum(one.heat is not admission.Heat.WARM for one in self.targets.values())
        return Summary(
            pool=self.name,
            epoch=self.standing.epoch,
            targets=len(self.targets),
            cold_targets=cold,
            room_sequences=sum(room.sequences for room in rooms),
            room_tokens=sum(room.tokens for room in rooms),
            queued=len(self._queue),
            queued_tokens=sum(
                one.request.prompt_tokens for one in self._queue.values()
            ),
            wait_ms=0.0,
        )

    def _again(
        self, permit: permits.Permit, request: permits.PermitRequest, now_ms: float
    ) -> Answer:
        target = self.targets.get(permit.target)
        if target is None or permit.permit not in target.out:
            del self._granted[request.request]
            return self.request(request, now_ms)
        if target.needs_probe() or (permit.exclusive and not self.standing.exclusive):
            return result.Success(permits.Queued(request.request, 0, 0.0))
        load = admission.Load(permit.sequences, permit.prompt_tokens)
        target.grant(permit.permit, load, request.deadline_in_ms, now_ms)
        return result.Success(permit)

    def _refuse_at_once(self, request: permits.PermitRequest) -> errors.Refusal | None:
        if not set(self.targets) - set(request.excluded):
            return _refusal("no target of this pool is left to try", 1_000)
        if request.request not in self._queue and len(self._queue) >= QUEUE_CALLS:
            return _refusal("the pool's queue is full", 1_000)
        return None

    def _forget_dropped(self) -> None:
        for name, permit in list(self._granted.items()):
            target = self.targets.get(permit.target)
            if target is None or name not in target.out:
                del self._granted[name]

    def _place(self, request: str) -> permits.Queued:
        position = list(self._queue).index(request)
        return permits.Queued(request, position, 0.0)

    def _dispatch(self, now_ms: float) -> None:
        for name, waiting in list(self._queue.items()):
            if waiting.attended_until_ms <= now_ms:
                continue
            permit = self._try(waiting.request, now_ms)
            if permit is not None:
                del self._queue[name]
                self._granted[name] = permit
                self._decisions.append(Decision(name, result.Success(permit)))

    def _try(
        self, request: permits.PermitRequest, now_ms: float
    ) -> permits.Permit | None:
        load = admission.Load(request.sequences, request.prompt_tokens)
        candidates = [
            self._candidate(target, load, now_ms)
            for name, target in self.targets.items()
            if name not in request.excluded
        ]
        if not any(candidate.fits for candidate in candidates):
            return None
        choice = self.chooser(request, candidates, now_ms)
        chosen = {one.target for one in candidates if one.fits}
        if choice.target not in chosen:
            return None
        target = self.targets[choice.target]
        target.grant(request.request, load, request.deadline_in_ms, now_ms)
        return permits.Permit(
            permit=request.request,
            pool=self.name,
            epoch=self.standing.epoch,
            target=target.name,
            boot=target.boot,
            sequences=request.sequences,
            prompt_tokens=request.prompt_tokens,
            exclusive=target.heat is not admission.Heat.WARM,
            plan=choice.plan,
        )

    def _candidate(
        self, target: admission.TargetAdmission, load: admission.Load, now_ms: float
    ) -> Candidate:
        room = target.room(self.standing, now_ms)
        return Candidate(
            target=target.name,
            boot=target.boot,
            cold=target.heat is not admission.Heat.WARM,
            fits=room.holds(load),
            room=room,
            out=target.out_load,
            limits=target.limits,
        )


def _refusal(message: str, retry_after_ms: int) -> errors.Refusal:
    return errors.Refusal(
        errors.Code.OVERLOADED,
        message,
        "retry after the stated time or against another pool",
        errors.Ran.NOT_RUN,
        retry_after_ms,
    )


def _late() -> errors.Refusal:
    return errors.Refusal(
        errors.Code.DEADLINE,
        "the call waited until its deadline",
        "send it again with a later deadline",
        errors.Ran.NOT_RUN,
    )
