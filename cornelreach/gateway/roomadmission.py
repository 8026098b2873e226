"""Admission of prompts by the room at the engines, under heavy load.

A prompt goes only to engines that have room for it (``roomestimate``). If none has, it
waits, or is refused at once if its first token would come too late in any case::

    match room.admit(targets, request_state, service, spent_ms):
        case list(): ...  # the engines that have room
        case roomadmission.RoomWait(wait_ms, queue): ...
        case roomadmission.NoRoom(left_ms): ...
"""

import math
import random
import typing
import zlib

from cornelreach.gateway import (
    balancer as balancer_module,
    catalogue,
    datagrams,
    mirror as mirror_module,
    prefillrates,
    registry as registry_module,
    requeststate,
    roomestimate,
    roomqueue,
)
from cornelreach.reports import metrics as metrics_module
from cornelreach.util import events, timers

# The engines that a request may go to change meanwhile, and so do the estimates.
RECHECK_MS = 100.0
MIN_WAIT_MS = 1.0
REPORT_MS = 10_000.0
# Until the loads of others are known: where all instances report to each other, and
# through hubs.
LAG_MS, HUB_LAG_MS = 0.0, 60.0
DRAWS = 1 << 32
TRIAL_SHARE = 0.05  # of the choices; they may use engines that peers suspect
HEARD_MS = 1_500.0  # in which a sound engine that works for this instance is heard

NO_ROOM = events.define(
    2640,
    "WARNING",
    "No engine of {service} has room in time: {count} requests refused since the last"
    " such line, the latest by its {reason}; {waiting} wait.",
    "If it lasts: add engines, or lower the load.",
)


class Chosen(typing.Protocol):
    """What admission uses of the choice of a target for one attempt."""

    target: registry_module.Target
    tokens: int
    sent_ms: float
    predicted_ms: float | None
    is_answered: bool
    on_release: typing.Callable[[typing.Any], None] | None


class RoomWait(typing.NamedTuple):
    """No engine has room for the request yet; it waits in the queue for a time."""

    wait_ms: float
    queue: roomqueue.RoomQueue


class NoRoom(typing.NamedTuple):
    """The request is refused; there will be room for it after ``left_ms``."""

    left_ms: float


class RoomAdmission:
    """Decides which prompts begin, wait, or are refused."""

    def __init__(
        self,
        mirror: mirror_module.Mirror,
        balancer: balancer_module.Balancer,
        clock: timers.Timers,
        source: random.Random,
        metrics: metrics_module.Metrics,
    ) -> None:
        self.mirror = mirror
        self.balancer = balancer
        self.clock = clock
        self.metrics = metrics
        self.random = source
        self.queue = roomqueue.RoomQueue(clock, source, self.load, self._takes)
        self.arrivals = roomestimate.Arrivals()
        self.holds = roomestimate.HoldTimes()
        self._refused: dict[str, int] = {}
        self._reported_ms: dict[str, float] = {}

    def load(self, target: str) -> roomestimate.Load:
        """Return the requests of all instances at an engine."""
        return self._loads((target,))[0]

    def _loads(self, targets: typing.Iterable[str]) -> list[roomestimate.Load]:
        states = self.balancer.registry.states
        others = self.balancer.gossip.peer_loads()
        slowdown = self.balancer.prefill_rates.slowdown
        now_ms = self.clock.now_ms()
        found = []
        for target in targets:
            state = states.get(target)
            if state is None:  # it has gone, or gets its first request
                found.append(roomestimate.Load())
                continue
            requests, prefill_tokens, context_tokens = others.get(
                target, datagrams.NO_LOAD
            )
            found.append(
                roomestimate.Load(
                    state.in_flight + requests,
                    state.in_flight_tokens + context_tokens,
                    state.prefill_tokens + prefill_tokens,
                    state.pace(now_ms) * slowdown(target),
                )
            )
        return found

    def admit(
        self,
        targets: typing.Sequence[registry_module.Target],
        request_state: requeststate.RequestState,
        service: catalogue.Service,
        spent_ms: float,
    ) -> list[registry_module.Target] | RoomWait | NoRoom:
        """Return the engines that a request may begin at now, or why there is none.

        It is never refused while an engine has room and nothing waits there.
        """
        demand = _demand(request_state)
        targets = self._responding(targets)
        names = tuple(one.id for one in targets)
        loads = dict(zip(names, self._loads(names), strict=True))
        waiter = self._waiter(request_state, service, demand)
        left_ms = _wait_limit_ms(request_state) - spent_ms
        free = {
            name: found
            for name, load in loads.items()
            if (found := roomestimate.places(load, demand, service.engine))
        }
        if not self.queue.holds(request_state):
            self.arrivals.record(self.clock.now_ms())
        usable = [loads[name] for name in free] or list(loads.values())
        if not free or all(load.prefill_tokens for load in usable):
            refusal = self._refusal(request_state, waiter, usable, bool(free), spent_ms)
            if refusal is not None:
                return refusal
        taken = set(free)
        if left_ms > 0:
            taken = set(self._takes(free, len(self.queue)))
            if taken and self.queue.must_yield(waiter, loads):
                taken.clear()
        if taken:
            return [one for one in targets if one.id in taken]
        waiter = self.queue.enter(request_state, waiter)
        waiter.target_names = names
        wait_ms = max(MIN_WAIT_MS, min(left_ms, RECHECK_MS))
        return RoomWait(wait_ms, self.queue)

    def _takes(self, free: dict[str, int], waiting: int) -> list[str]:
        """Return the engines of which this instance takes free places now.

        Another draw is made when the reports of what others took have come.
        """
        size = self.mirror.fleet.size
        lag_ms = HUB_LAG_MS if self.balancer.gossip.hubs.is_needed() else LAG_MS
        if not lag_ms:
            return list(free)
        wanted = waiting + self.arrivals.expected(lag_ms)
        period = int(self.clock.now_ms() // lag_ms)
        draw = zlib.crc32(f"{self.mirror.fleet.name} {period}".encode())
        return [
            name
            for name, places in free.items()
            if (share := roomestimate.take_share(places, len(free), size, wanted)) >= 1
            or zlib.crc32(name.encode(), draw) < share * DRAWS
        ]

    def _responding(
        self, targets: typing.Sequence[registry_module.Target]
    ) -> typing.Sequence[registry_module.Target]:
        """Return the engines that have not fallen silent; all if all have.

        A few requests go to those which only peers get no answer from, so that one
        which those peers alone cannot reach is found to respond.
        """
        now_ms = self.clock.now_ms()
        states = self.balancer.registry.states
        suspected = self.balancer.gossip.suspected_targets()
        is_trial = self.random.random() < TRIAL_SHARE
        found = []
        for one in targets:
            state = states.get(one.id)
            if state is not None and state.is_quiet(now_ms):
                continue
            if one.id in suspected and not is_trial:
                heard_ms = 0.0 if state is None else state.heard_ms
                if now_ms - heard_ms > HEARD_MS:
                    continue
            found.append(one)
        return found or targets

    def _waiter(
        self,
        request_state: requeststate.RequestState,
        service: catalogue.Service,
        demand: roomestimate.Demand,
    ) -> roomqueue.Waiter:
        due_s = (
            request_state.request.received_s + request_state.route.objective_ms / 1_000
        )
        return roomqueue.Waiter(demand, service.engine, service.name, due_s)

    def _refusal(
        self,
        request_state: requeststate.RequestState,
        waiter: roomqueue.Waiter,
        loads: typing.Sequence[roomestimate.Load],
        has_room: bool,
        spent_ms: float,
    ) -> NoRoom | None:
        """Return a refusal if a first token would come too late, or has waited long."""
        limits = _limits(request_state)
        room_ms, first_ms = self._estimate(waiter, loads, has_room)
        reason = ""
        if spent_ms >= _wait_limit_ms(request_state):
            reason = "wait"
        elif spent_ms + first_ms > limits.bound_ms() and not _has_begun(request_state):
            reason = limits.reason(spent_ms + first_ms)
        if not reason:
            return None
        self._count_refusal(waiter.service, reason)
        return NoRoom(room_ms)

    def _estimate(
        self,
        waiter: roomqueue.Waiter,
        loads: typing.Sequence[roomestimate.Load],
        has_room: bool,
    ) -> tuple[float, float]:
        """Return the time until a request has room, and that until its first token."""
        hold_ms = self.holds.mean_ms(waiter.service)
        share = 1 / self.mirror.fleet.size
        ahead_tokens = self.queue.tokens_ahead(waiter)
        ahead_ms = roomestimate.ahead_ms(ahead_tokens, loads, hold_ms, share)
        rate = self.balancer.prefill_rates.median()
        room_ms, first_ms = math.inf, math.inf
        for load in loads:
            found_ms = 0.0
            if not has_room:
                found_ms = roomestimate.room_ms(
                    load, waiter.demand, waiter.engine, hold_ms
                )
            room_ms = min(room_ms, found_ms)
            first_ms = min(
                first_ms,
                roomestimate.first_token_ms(load, waiter.demand, found_ms, rate),
            )
        return ahead_ms + room_ms, ahead_ms + first_ms

    def _count_refusal(self, service: str, reason: str) -> None:
        self.metrics.add("room_refusals_total", 1, service, reason)
        count = self._refused[service] = self._refused.get(service, 0) + 1
        now_ms = self.clock.now_ms()
        if now_ms < self._reported_ms.get(service, float("-inf")) + REPORT_MS:
            return
        self._reported_ms[service] = now_ms
        self._refused[service] = 0
        events.emit(
            NO_ROOM,
            service=service,
            count=count,
            reason=reason,
            waiting=len(self.queue),
        )

    # What becomes of the choices.

    def record_choice(
        self, chosen: Chosen, prefill_tokens: float, now_ms: float
    ) -> None:
        """Record the estimate of the time to the first token, and follow the choice."""
        rates = self.balancer.prefill_rates
        target = chosen.target.id
        pace = self.balancer.registry.state(target).pace(now_ms)
        tokens = self.balancer.prefill_backlog(target) + prefill_tokens
        rate = rates.median() / rates.slowdown(target)
        chosen.predicted_ms = tokens * pace / rate + prefillrates.STEP_MS
        chosen.on_release = self._record_release

    def record_first_token(self, chosen: Chosen, now_ms: float) -> None:
        """Measure the error of the estimate."""
        if chosen.predicted_ms is None:
            return
        error_ms = now_ms - chosen.sent_ms - chosen.predicted_ms
        direction = "later" if error_ms >= 0 else "earlier"
        self.metrics.observe("first_token_error_ms", abs(error_ms), direction=direction)

    def _record_release(self, chosen: Chosen) -> None:
        """Follow the end of a request, which leaves room for those that wait."""
        if chosen.is_answered:
            held_ms = self.clock.now_ms() - chosen.sent_ms
            self.holds.record(chosen.target.service, chosen.tokens, held_ms)
        self.queue.look()


def _demand(request_state: requeststate.RequestState) -> roomestimate.Demand:
    """Return what a request needs; its shared parts may be cached.

    One that has begun elsewhere counts as urgent, since all of its work would be lost.
    """
    call = request_state.call
    own_tokens = call.parts[-1].tokens if call.parts else call.prompt_tokens
    rank = 0 if _has_begun(request_state) else request_state.priority
    return roomestimate.Demand(call.context_tokens, own_tokens, rank)


def _has_begun(request_state: requeststate.RequestState) -> bool:
    """Return whether a request may have run, so that a refusal would lose work.

    So has one that goes on with a stream.
    """
    return (
        request_state.may_have_run
        or request_state.first_byte_s is not None
        or request_state.last_event is not None
    )


def _limits(request_state: requeststate.RequestState) -> roomestimate.Limits:
    deadline_ms = (request_state.due_s - request_state.request.received_s) * 1_000
    return roomestimate.Limits(request_state.route.objective_ms, deadline_ms)


def _wait_limit_ms(request_state: requeststate.RequestState) -> float:
    """Return the time since its arrival until which a request waits for room."""
    limits = _limits(request_state)
    if _has_begun(request_state):
        return limits.deadline_ms
    return min(limits.objective_ms, limits.deadline_ms)
