"""Selection of a target for a request, subject to all limits that apply to it."""

import functools
import typing

from cornelreach.gateway import (
    balancer as balancer_module,
    brittleness as brittleness_module,
    calls,
    catalogue,
    isolation,
    mirror as mirror_module,
    prefillrates,
    promptindex,
    quotas,
    registry as registry_module,
    requeststate,
    roomadmission,
    targetlimits,
    urgency,
)
from cornelreach.http import client as http_client
from cornelreach.platform import site as site_module
from cornelreach.util import timers

SHED_PAUSE_MS = 120.0  # a full target has capacity again after a few steps
MOVED_PAUSE_MS = 250.0  # by then the platform's list shows a target's change
# Later, engines with older weights cost more: a request that begins on them loses a
# fifth of its benefit from 1.5 s after the newer version was confirmed.
OLD_WEIGHTS_FREE_MS = 1_200.0
OLD_WEIGHTS_COST = 8_000.0  # prompt tokens
NOT_HOSTED = -1  # below every version of a model
WAIT_MS = 40.0
MAX_UNREACHED = 2  # targets that one request finds out of reach
NEVER_MS = float("-inf")
WAIT_SHARE = 0.2  # of the objective; the longest wait before a request is refused


class Wait(typing.NamedTuple):
    """No target is available yet; ``max_ms`` bounds the total wait of a request."""

    wait_ms: float
    max_ms: float


class Resting(typing.NamedTuple):
    """Every target asked for a rest; the first one ends after ``left_ms``."""

    left_ms: float


class Limited(typing.NamedTuple):
    """Every target is at the limit that it named, for ``left_ms`` at least."""

    left_ms: float


class Unreached(typing.NamedTuple):
    """No target that may get the request can be reached from here."""


class CountedAttempt(typing.Protocol):
    """An attempt that is counted for the verdict on a software version."""

    def record_response(self) -> None:
        """Count the response, and the time that it took; only once."""

    def record_failure(self, outcome: requeststate.Outcome) -> None:
        """Count an attempt without a whole response."""


class Rule(typing.Protocol):
    """Which targets of a service requests may go to, by an order of a rollout."""

    def permits(
        self,
        request_state: requeststate.RequestState,
        targets: list[registry_module.Target],
        now_ms: float,
    ) -> list[registry_module.Target]:
        """Return the targets that a request may go to, and note if it is a canary."""

    def fall_back(self, request_state: requeststate.RequestState) -> None:
        """Send a canary request to the version that serves."""

    def may_send(
        self,
        request_state: requeststate.RequestState,
        target: registry_module.Target,
        now_ms: float,
    ) -> bool:
        """Return whether a request may still be sent to the target chosen for it."""

    def record_sent(
        self, request_state: requeststate.RequestState, chosen: "Choice"
    ) -> CountedAttempt | None:
        """Return what counts an attempt that is being sent, if it is to be counted."""


class Choice:
    """The target chosen for one attempt, and the accounting of that attempt."""

    def __init__(
        self,
        target: registry_module.Target,
        state: registry_module.State,
        tokens: int,
        prefill_tokens: int,
        salt: str | None,
        version: int | None,
        now_ms: typing.Callable[[], float],
        fetch_from: tuple[str | None, ...] = (),
        save_to: tuple[str | None, ...] = (),
        late: bool = False,
        model: str = "",
    ) -> None:
        self.target = target
        self.state = state
        self.tokens = tokens
        self.prefill_tokens = prefill_tokens
        self.salt = salt
        self.version = version
        self.fetch_from = fetch_from
        self.save_to = save_to
        self.late = late
        self.model = model
        self.sent_ms = 0.0
        self.backlog_tokens = 0.0
        self.predicted_ms: float | None = None  # the time to the first token
        self.is_answered = False
        self.on_release: typing.Callable[[Choice], None] | None = None
        self._now_ms = now_ms
        self._counted = False
        self._reserved = False
        self.counted_attempt: CountedAttempt | None = None
        self.summary = self._describe()

    def _describe(self) -> str:
        """Return a summary of the choice for the log."""
        fetched = sum(one is not None for one in self.fetch_from)
        saved = sum(one is not None for one in self.save_to)
        return (
            f"{self.target.id} v{self.version or 0} software {self.target.software} "
            f"unread {self.prefill_tokens} fetched {fetched} kept {saved}"
            f"{' late' if self.late else ''}"
        )

    def acquire(self) -> None:
        """Add the request to the load of its target."""
        self._counted = self._reserved = True
        self.state.sends.reserve()
        self.state.in_flight += 1
        self.state.in_flight_tokens += self.tokens
        self.state.prefill_tokens += self.prefill_tokens

    def finish_prefill(self) -> None:
        """Count the prompt as prefilled: the first token arrived, or none will."""
        self.state.awaited.pop(id(self), None)
        if self._counted:
            self.state.prefill_tokens -= self.prefill_tokens
            self.prefill_tokens = 0

    def release(self) -> None:
        """Remove the request from the load of its target; idempotent."""
        self.state.awaited.pop(id(self), None)
        if self._counted:
            self.finish_prefill()
            self._counted = False
            self.state.in_flight -= 1
            self.state.in_flight_tokens -= self.tokens
            if self.on_release is not None:
                self.on_release(self)
        if self._reserved:
            self._reserved = False
            self.state.sends.cancel()

    def record_send(self) -> None:
        """Record that the first byte is being sent."""
        self.sent_ms = self._now_ms()
        if (overdue_ms := self.overdue_ms()) is not None:
            self.state.awaited[id(self)] = self.sent_ms + overdue_ms
        if self._reserved:
            self._reserved = False
            self.state.sends.confirm(self.sent_ms)
        else:
            self.state.sends.record(self.sent_ms)

    def overdue_ms(self) -> float | None:
        """Return the time after which the first token is overdue, if it is estimated.

        That of a late prompt depends on more urgent ones which follow.
        """
        if self.predicted_ms is None or self.late:
            return None
        return self.predicted_ms + max(registry_module.QUIET_MS, self.predicted_ms)

    def record_part(self) -> None:
        """Record that a part of the answer has come."""
        self.state.heard_ms = self._now_ms()

    def record_event(self) -> None:
        """Record that a whole event has come."""
        if self.counted_attempt is not None:
            self.counted_attempt.record_response()

    def own_reservations(self) -> int:
        """Return how many requests this one has reserved in its target's window."""
        return int(self._reserved)

    def metadata(
        self, request_state: requeststate.RequestState, left_ms: float
    ) -> calls.RequestMetadata:
        """Return the headers that are added for the target."""
        account = request_state.account
        return calls.RequestMetadata(
            target=self.target.id,
            deadline_ms=left_ms,
            account=account.name if account is not None else None,
            priority=urgency.priority(request_state.priority, self.late)
            if self.salt
            else None,
            salt=self.salt,
            version=self.version,
            fetch_from=self.fetch_from,
            save_to=self.save_to,
            last_event=request_state.last_event,
        )


Hindrance = Wait | Resting | Limited | roomadmission.RoomWait | roomadmission.NoRoom
Selected = Choice | Hindrance


class Selector:
    """Selects targets and enforces this instance's share of fleet-wide limits."""

    def __init__(
        self,
        mirror: mirror_module.Mirror,
        balancer: balancer_module.Balancer,
        prompt_index: promptindex.PromptIndex,
        http: http_client.Client,
        bounds: site_module.Bounds,
        regions: typing.Mapping[str, str],
        clock: timers.Timers,
        limits: targetlimits.TargetLimits,
    ) -> None:
        self.mirror = mirror
        self.balancer = balancer
        self.limits = limits
        self.brittleness = brittleness_module.Brittleness(mirror, balancer, clock)
        self.prompt_index = prompt_index
        self.http = http
        self.bounds = bounds
        self.regions = regions
        self.clock = clock
        # By service, what an order of a software rollout allows.
        self.rules: typing.Mapping[str, Rule] = {}
        # Only where the deployment is told to expect heavy load.
        self.room: roomadmission.RoomAdmission | None = None
        self._retries: dict[str, quotas.RetryBudget] = {}
        self.start_ms = clock.now_ms()

    def count_request(self, service: str) -> None:
        """Count a request in the retry budget of a service."""
        now_ms = self.clock.now_ms()
        self._budget(service).count_request(self.mirror.fleet, now_ms)

    def confirm_first_start(self) -> None:
        """Hold back no retries: no process had this name before."""
        self.start_ms = NEVER_MS
        for budget in self._retries.values():
            budget.start_ms = NEVER_MS

    def reserve_retry(self, request_state: requeststate.RequestState) -> None:
        """Hold a part of the retry budget until a retry is written, if it is one."""
        if request_state.times_sent and not request_state.retry_reserved:
            request_state.retry_reserved = True
            self._budget(request_state.service).reserve()

    def release_retry(self, request_state: requeststate.RequestState) -> None:
        """Return the part of the budget that an attempt holds; idempotent."""
        if request_state.retry_reserved:
            request_state.retry_reserved = False
            self._budget(request_state.service).cancel()

    def count_retry(self, service: str) -> None:
        """Count a retry in the retry budget of a service."""
        self._budget(service).count_retry(self.clock.now_ms())

    def _budget(self, service: str) -> quotas.RetryBudget:
        bounds = self.bounds
        terms = bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_ms
        budget = self._retries.get(service)
        if budget is None:
            budget = quotas.RetryBudget(*terms, self.start_ms)
            self._retries[service] = budget
        budget.ratio, budget.slack, budget.window_ms = terms
        return budget

    def _admits_retry(
        self, request_state: requeststate.RequestState, now_ms: float
    ) -> bool:
        budget = self._budget(request_state.service)
        found = budget.admits_retry(self.mirror.fleet, now_ms)
        request_state.retry_held = (
            "" if found is quotas.Admission.ADMITTED else f"budget {found}"
        )
        return not request_state.retry_held

    def choose(
        self,
        request_state: requeststate.RequestState,
        spent_ms: float = 0.0,
        here_only: bool = False,
        retry: bool = False,
    ) -> Selected | Unreached | None:
        """Return a target, or how long to wait for one, or None if there is none.

        ``spent_ms`` is the time since the request was received. With ``here_only`` no
        other instance can send it, so that any target in reach is tried; with ``retry``
        also one to which no connection could be opened, once its ejection is over.

        A canary request that no target of the new version can take goes to the others
        at once.
        """
        found = self._choose(request_state, spent_ms, here_only, retry)
        if request_state.is_canary and not isinstance(found, Choice):
            self.rules[request_state.service].fall_back(request_state)
            return self._choose(request_state, spent_ms, here_only, retry)
        return found

    def _choose(
        self,
        request_state: requeststate.RequestState,
        spent_ms: float,
        here_only: bool,
        retry: bool,
    ) -> Choice | Wait | Resting | Limited | Unreached | None:
        now_ms = self.clock.now_ms()
        service = self.mirror.catalogue.services.get(request_state.service)
        if service is None:
            return None
        if request_state.times_sent and not self._admits_retry(request_state, now_ms):
            return None
        registry = self.mirror.registry
        registry.expire(now_ms)
        allowed = self._allowed_targets(request_state, service, now_ms)
        if not allowed:
            left_ms = registry.rest_left_ms(
                service.name, now_ms, request_state.software
            )
            if left_ms is not None:
                return Resting(left_ms)
            return Unreached() if request_state.unreached else None
        if here_only:
            allowed = self._last_targets(allowed, retry, now_ms)
            if not allowed:
                return Unreached()
        elif self._is_out_of_reach(allowed, request_state):
            return Unreached()
        tokens = request_state.call.context_tokens
        was_sent = bool(request_state.reached)
        free = [
            one
            for one in self._targets_with_room(
                allowed, service, now_ms, request_state.call.request_id
            )
            if self.brittleness.admits(one, service, tokens, now_ms, was_sent)
        ]
        if not free:
            if self._are_others_unreached(allowed, request_state, service, now_ms):
                return Unreached()
            return self._wait_for_room(allowed, request_state, now_ms, spent_ms)
        return self._pick(free, request_state, service, now_ms, spent_ms)

    def _wait_for_room(
        self,
        targets: typing.Iterable[registry_module.Target],
        request_state: requeststate.RequestState,
        now_ms: float,
        spent_ms: float,
    ) -> Wait | Limited:
        max_ms = request_state.route.objective_ms * WAIT_SHARE
        left_ms = self.limits.left_ms(targets, now_ms)
        if left_ms is not None and spent_ms + left_ms > max_ms:
            return Limited(left_ms)
        return Wait(WAIT_MS, max_ms)

    def _is_out_of_reach(
        self,
        allowed: typing.Iterable[registry_module.Target],
        request_state: requeststate.RequestState,
    ) -> bool:
        if request_state.unreached >= MAX_UNREACHED:
            return True
        return all(self.mirror.registry.state(one.id).unreached for one in allowed)

    def _are_others_unreached(
        self,
        full: typing.Collection[registry_module.Target],
        request_state: requeststate.RequestState,
        service: catalogue.Service,
        now_ms: float,
    ) -> bool:
        """Return whether all targets but those without room are out of reach.

        Nothing is sent to a target without room, as one at the limit that it named, so
        it may be out of reach as well unless it was heard since the others failed. The
        same holds for one that rests.
        """
        registry = self.mirror.registry
        opened = registry.open_targets(service.name)
        others = [
            registry.state(one.id)
            for one in self._suitable(opened, request_state, now_ms)
            if one not in full and not registry.is_resting(one.id, now_ms)
        ]
        if not others or not all(one.unreached for one in others):
            return False
        failed_ms = min(one.failed_ms for one in others)
        return all(registry.state(one.id).heard_ms < failed_ms for one in full)

    def _last_targets(
        self, allowed: list[registry_module.Target], retry: bool, now_ms: float
    ) -> list[registry_module.Target]:
        registry = self.mirror.registry
        reached = [one for one in allowed if not registry.state(one.id).unreached]
        if reached or not retry:
            return reached
        return [one for one in allowed if not registry.is_ejected(one.id, now_ms)]

    def _allowed_targets(
        self,
        request_state: requeststate.RequestState,
        service: catalogue.Service,
        now_ms: float,
    ) -> list[registry_module.Target]:
        registry = self.mirror.registry
        rule = self.rules.get(service.name)
        permitted = None
        if rule is not None:
            opened = registry.open_targets(service.name)
            permitted = rule.permits(request_state, opened, now_ms)
        usable = registry.usable(
            service.name, now_ms, request_state.software, permitted
        )
        if request_state.is_canary:
            usable = [one for one in usable if registry.is_in_use(one.id, now_ms)]
        tried = request_state.tried
        suitable = self._suitable(usable, request_state, now_ms)
        return [one for one in suitable if one.id not in tried]

    def _suitable(
        self,
        targets: typing.Iterable[registry_module.Target],
        request_state: requeststate.RequestState,
        now_ms: float,
    ) -> list[registry_module.Target]:
        """Return those in data centres and with weights that a request may use."""
        zones = self.allowed_zones(request_state)
        model = request_state.model
        oldest = self._oldest_version(model, now_ms)
        return [
            one
            for one in targets
            if (zones is None or one.zone in zones)
            and (
                not model
                or not one.versions
                or one.versions.get(model, NOT_HOSTED) >= oldest
            )
        ]

    def allowed_zones(
        self, request_state: requeststate.RequestState
    ) -> set[str] | None:
        """Return the data centres that a request may go to; None means all."""
        account = request_state.account
        limits = [
            one
            for one in (
                request_state.route.regions,
                account.regions if account else frozenset(),
            )
            if one
        ]
        if not limits:
            return None
        return {
            zone
            for zone, region in self.regions.items()
            if all(region in one for one in limits)
        }

    def _oldest_version(self, model: str, now_ms: float) -> int:
        """Return the oldest version of a model that requests may still begin on."""
        wanted = self.mirror.versions.get(model)
        return 0 if wanted is None else wanted.oldest(now_ms)

    def _targets_with_room(
        self,
        targets: typing.Iterable[registry_module.Target],
        service: catalogue.Service,
        now_ms: float,
        request_id: str,
    ) -> list[registry_module.Target]:
        """Return the targets that take one more request within all limits."""
        closed = self.balancer.gossip.closed_targets()
        share = quotas.connection_share(self.mirror.fleet, service.connections)
        return [
            one
            for one in targets
            if one.id not in closed
            and self.limits.admits(one.id, now_ms)
            and self._within_cold_share(one, service, now_ms)
            and self._has_connection(one, share, request_id)
        ]

    def _has_connection(
        self, target: registry_module.Target, share: int, request_id: str
    ) -> bool:
        address = http_client.parse_address(target.address)
        return self.http.open_connections(
            address
        ) < share or self.http.has_idle_connection(address, request_id)

    def _within_cold_share(
        self,
        target: registry_module.Target,
        service: catalogue.Service,
        now_ms: float,
        own: int = 0,
    ) -> bool:
        """Return whether a request to a target stays within its rate while cold."""
        state = self.mirror.registry.state(target.id)
        if not service.cold_per_s or not state.is_cold(now_ms):
            return True
        if now_ms < self.start_ms + quotas.WINDOW_MS:
            return False  # the process before this one may have used the share
        bounds = self.bounds
        per_s = service.cold_per_s * bounds.cold_overage + bounds.cold_slack
        share = quotas.cold_share(self.mirror.fleet, target.id, per_s)
        return state.sends.admits(share, now_ms, own)

    def _pick(
        self,
        targets: list[registry_module.Target],
        request_state: requeststate.RequestState,
        service: catalogue.Service,
        now_ms: float,
        spent_ms: float,
    ) -> Choice | roomadmission.RoomWait | roomadmission.NoRoom:
        registry = self.mirror.registry
        if service.engine is None or not request_state.model:
            target = self.balancer.choose_plain(targets, now_ms)
            self.brittleness.record_choice(target, service, 0, now_ms)
            state = registry.state(target.id)
            return Choice(target, state, 0, 0, None, None, self.clock.now_ms)
        if self.room is not None:
            admitted = self.room.admit(targets, request_state, service, spent_ms)
            if not isinstance(admitted, list):
                return admitted
            targets = admitted
        demand = balancer_module.prompt_request(request_state.call)
        salt_of = self._salts(request_state)

        @functools.cache
        def source(part: calls.Part, salt: str) -> str | None:
            rate = self.balancer.prefill_rates.median()
            return self.prompt_index.find_source(part, salt, now_ms, rate)

        target, prefill_tokens = self.balancer.choose_engine(
            targets,
            demand,
            salt_of,
            lambda part, salt: source(part, salt) is not None,
            service,
            self._old_weights_costs(request_state.model, now_ms),
        )
        self.brittleness.record_choice(target, service, demand.context_tokens, now_ms)
        salt = salt_of(target)
        self.balancer.record_prompt(
            target.id, salt, demand, service.engine.memory_tokens
        )
        prefill_rates = self.balancer.prefill_rates
        pace = registry.state(target.id).pace(now_ms)
        ahead_tokens = self.balancer.prefill_backlog(target.id)
        if self.room is not None:
            ahead_tokens = urgency.tokens_ahead(ahead_tokens, request_state.priority)
        late = urgency.is_late(
            ahead_tokens + prefill_tokens,
            prefill_rates.median() / (prefill_rates.slowdown(target.id) * pace),
            spent_ms + prefillrates.STEP_MS,
            request_state.route.objective_ms,
        )
        choice = Choice(
            target,
            registry.state(target.id),
            demand.context_tokens,
            urgency.counted_tokens(prefill_tokens, late),
            salt,
            target.versions.get(request_state.model),
            self.clock.now_ms,
            *self._stores(demand.parts, salt, source, now_ms),
            late=late,
            model=request_state.model,
        )
        if self.room is not None:
            self.room.record_choice(choice, prefill_tokens, now_ms)
        return choice

    def stop_waiting(self, request_state: requeststate.RequestState) -> None:
        """Forget that a request waits for room: it has a target, or gets none."""
        if self.room is not None:
            self.room.queue.leave(request_state)

    def _stores(
        self,
        parts: tuple[calls.Part, ...],
        salt: str,
        source: typing.Callable[[calls.Part, str], str | None],
        now_ms: float,
    ) -> tuple[tuple[str | None, ...], tuple[str | None, ...]]:
        """Return the stores to fetch each part from and to save it to.

        The last part is never shared, so it is neither fetched nor saved.
        """
        shared = parts[:-1]
        prompt_index = self.prompt_index
        sources = [source(part, salt) for part in shared]
        destinations = [
            None if held else prompt_index.choose_store(part, salt, now_ms)
            for part, held in zip(shared, sources, strict=True)
        ]
        return (*sources, None), (*destinations, None)

    def _old_weights_costs(
        self, model: str, now_ms: float
    ) -> typing.Callable[[registry_module.Target], float]:
        """Return a function that gives the cost of a target's older weights."""
        wanted = self.mirror.versions.get(model)
        if wanted is None or now_ms - wanted.learned_ms <= OLD_WEIGHTS_FREE_MS:
            return lambda target: 0.0
        newest = wanted.version
        return lambda target: (
            0.0 if target.versions.get(model, 0) >= newest else OLD_WEIGHTS_COST
        )

    def _salts(
        self, request_state: requeststate.RequestState
    ) -> typing.Callable[[registry_module.Target], str]:
        """Return a function that gives the cache salt of a request at a target.

        The salt is made of the model, its version at the target, and the isolated
        account or the compartment that all others share. Stores look parts up only by
        this salt and the part's identifier, so the model has to be included.
        """
        model = request_state.model
        compartment = isolation.compartment(
            request_state.account, self.mirror.catalogue.isolated
        )

        @functools.cache
        def salt(version: int) -> str:
            return f"{model}.v{version}{compartment}"

        return lambda target: salt(target.versions.get(model, 0))

    def announce(self, chosen: Choice) -> None:
        """Tell the peers of a prompt, or a request to a brittle target, at once."""
        if chosen.salt is not None:
            target = chosen.target.id
            chosen.backlog_tokens = self.balancer.prefill_backlog(target)
        if chosen.salt is not None or chosen.state.bears is not None:
            self.balancer.gossip.announce()

    def still_open(self, chosen: Choice) -> bool:
        """Return whether a chosen target still accepts the request."""
        target = chosen.target
        registry = self.mirror.registry
        now_ms = self.clock.now_ms()
        registry.expire(now_ms)
        if not registry.is_open(target.id, target.service):
            return False
        service = self.mirror.catalogue.services.get(target.service)
        if registry.is_resting(target.id, now_ms):
            return False
        own = chosen.own_reservations()
        if not self.limits.admits(target.id, now_ms, own):
            return False
        if service is not None and not self._within_cold_share(
            target, service, now_ms, own
        ):
            return False
        current = registry.targets[target.id]
        if not self._has_chosen_weights(chosen, current, now_ms):
            return False
        return (current.address, current.software, current.born_ms) == (
            target.address,
            target.software,
            target.born_ms,
        )

    def _has_chosen_weights(
        self, chosen: Choice, current: registry_module.Target, now_ms: float
    ) -> bool:
        """Return whether a target holds the chosen weights, and they may be used."""
        if not chosen.model:
            return True
        held = current.versions.get(chosen.model)
        if held != chosen.version:
            return False
        return held is None or held >= self._oldest_version(chosen.model, now_ms)

    def may_send(
        self, request_state: requeststate.RequestState, chosen: Choice
    ) -> bool:
        """Return whether orders of rollouts still allow a request at its target."""
        rule = self.rules.get(request_state.service)
        if rule is None:
            return True
        return rule.may_send(request_state, chosen.target, self.clock.now_ms())

    def record_sent(
        self, request_state: requeststate.RequestState, chosen: Choice
    ) -> None:
        """Count an attempt that is being sent, where a rollout is under way."""
        rule = self.rules.get(request_state.service)
        if rule is not None:
            chosen.counted_attempt = rule.record_sent(request_state, chosen)

    def record_reply(self, chosen: Choice, reply: calls.Reply) -> None:
        """Update the target's state and the measurements from the head of a reply."""
        now_ms = self.clock.now_ms()
        if not reply.not_run:
            self._record_times(chosen, reply, now_ms)
            chosen.is_answered = reply.status < 500
            if self.room is not None and chosen.is_answered:
                self.room.record_first_token(chosen, now_ms)
        chosen.finish_prefill()
        self.mirror.registry.record_reply(
            chosen.target.id, reply, now_ms, chosen.sent_ms
        )
        self.record_notices(chosen.target, reply, is_request=True)

    def record_notices(
        self,
        target: registry_module.Target,
        reply: calls.Reply,
        is_request: bool = False,
    ) -> None:
        """Follow what an answer says of its sender: leaving, a rest, or a limit.

        The sender of a "moved" answer is whichever target is at the address now.
        """
        self.limits.record_reply(target, reply, is_request)
        self.brittleness.record_reply(target, reply)
        if not reply.leaving and reply.rest_ms is None:
            return
        registry = self.mirror.registry
        senders = registry.targets_at(target.address) if reply.moved else [target]
        for one in senders:
            if reply.rest_ms is not None:
                registry.rest(one.id, reply.rest_ms, self.clock.now_ms())
            if reply.leaving:
                self.balancer.gossip.report_leaving(one.id, one.born_ms)

    def _record_times(self, chosen: Choice, reply: calls.Reply, now_ms: float) -> None:
        target = chosen.target.id
        elapsed_ms = now_ms - chosen.sent_ms
        self.mirror.registry.record_outcome(target, reply.status < 500, elapsed_ms)
        if reply.status < 500:
            self.mirror.registry.record_duration(target, elapsed_ms)
        if chosen.salt is None or reply.status >= 500:
            return
        stores = {one for one in chosen.fetch_from if one}
        prefill_rates = self.balancer.prefill_rates
        delay_ms = elapsed_ms - prefill_rates.expected_ms(chosen.backlog_tokens)
        if stores:
            self.prompt_index.record_delay(stores, delay_ms, now_ms)
        else:
            prefill_rates.record(target, chosen.backlog_tokens, elapsed_ms)

    def record_failure(self, chosen: Choice, outcome: requeststate.Outcome) -> None:
        """Update the target's state after an attempt without a usable answer."""
        now_ms = self.clock.now_ms()
        registry = self.mirror.registry
        target = chosen.target.id
        if isinstance(outcome, requeststate.NotRun):
            pause_ms = MOVED_PAUSE_MS if outcome.moved else SHED_PAUSE_MS
            registry.back_off(target, pause_ms, now_ms)
        elif isinstance(outcome, requeststate.Lost):
            elapsed_ms = now_ms - chosen.sent_ms
            registry.record_outcome(target, False, elapsed_ms)
            if not outcome.closed:
                registry.record_duration(target, elapsed_ms)
            registry.eject(target, outcome.reason, now_ms)
        elif isinstance(outcome, requeststate.NotSent) and outcome.at_fault:
            registry.eject(target, outcome.reason, now_ms, unreached=True)
