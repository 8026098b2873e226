"""Which targets of a service its requests may go to, by an order of a rollout.

A rule exists for a service with an order, with targets of a version whose order may not
have been read yet, or with targets that an order has closed::

    rule = ServiceRule("llm-pool", clock, metrics, registry, environment)
    targets = rule.permits(request_state, opened, now_ms)
"""

import typing

from cornelreach.gateway import (
    mirror as mirror_module,
    prefillrates,
    registry as registry_module,
    releaseanalysis,
    releasecounts,
    releaseexposure,
    releasestate,
    requeststate,
    selection,
)
from cornelreach.reports import metrics as metrics_module
from cornelreach.util import timers

# Streams that a version rolled back has begun may be resumed there for so long.
RESUME_MS = 1_000.0
# Of the duration; until then a request that no new target has room for goes to the old
# version while traffic shifts. Later the old targets have to become empty.
ROOM_SHARE = 0.85
FELL_BACK = "fell back"  # the lane of a request until its next choice
KEPT_MS = 60_000.0  # a closed target may be missing from the list for so long
DRAWS = 1 << 32
# After a prompt is sent, when the backlog at its target is read again: peers' prompts
# are known up to 60 ms late through hubs, and a short one may have ended by the second.
BACKLOG_DELAYS_MS = (60.0, 120.0)

Phase = releaseanalysis.Phase
OLD = releaseexposure.Lane.OLD.value
Targets = list[registry_module.Target]
Lifetime = tuple[str, int]  # a target's identifier and when it was started


class Environment(typing.NamedTuple):
    """What rules use of the components of an instance."""

    mirror: mirror_module.Mirror
    prefill_rates: prefillrates.PrefillRates
    metrics: metrics_module.Metrics
    clock: timers.Timers
    is_cut_off: typing.Callable[[], bool]
    # The tokens that other instances have queued for prefill at a target.
    peer_tokens: typing.Callable[[str], float]


class Attempt:
    """One attempt at a target while an order is under way, which is counted once."""

    def __init__(
        self,
        environment: Environment,
        release: releasestate.Release,
        route: str,
        chosen: selection.Choice,
    ) -> None:
        self.environment = environment
        self.release = release
        self.route = route
        self.chosen = chosen
        self.is_new = release.is_new(chosen.target)
        self._is_recorded = False
        self._own_tokens = chosen.state.prefill_tokens
        self._backlog_tokens = chosen.backlog_tokens
        if chosen.salt is not None:
            self._read_backlog()
            for delay_ms in BACKLOG_DELAYS_MS:
                environment.clock.after(delay_ms, self._read_backlog)

    def record_response(self) -> None:
        """Count the response, with its time unless the target is cold."""
        if not self._is_recorded:
            ratio = self._ratio()
            self._is_recorded = True
            self._add(False, ratio)

    def record_failure(self, outcome: requeststate.Outcome) -> None:
        """Count a failure, unless this instance reaches no target at all.

        A stream that breaks off has been counted as a response before, and counts as a
        failure as well.
        """
        is_lost = isinstance(outcome, requeststate.Lost)
        if isinstance(outcome, requeststate.Failure) or (
            is_lost and not self.environment.is_cut_off()
        ):
            self._is_recorded = True
            self._add(True, None)

    def _add(self, is_failure: bool, ratio: float | None) -> None:
        if self.release.is_over:
            return
        self.release.recorder.add(self.route, self.is_new, is_failure, ratio)
        self.environment.metrics.add(
            "release_responses_total",
            1,
            self.release.order.service,
            "new" if self.is_new else "old",
            "failed" if is_failure else "good",
        )

    def _read_backlog(self) -> None:
        """Take in prompts that peers had queued before, and which are known by now.

        Where caches are empty, many instances choose the same targets before they know
        of each other's prompts, and a good version would seem slow.
        """
        if not self._is_recorded:
            tokens = self._own_tokens + self.environment.peer_tokens(
                self.chosen.target.id
            )
            self._backlog_tokens = max(self._backlog_tokens, tokens)

    def _ratio(self) -> float | None:
        """Return the response time relative to the expected one, None if cold."""
        environment, chosen = self.environment, self.chosen
        now_ms = environment.clock.now_ms()
        if chosen.state.is_cold(now_ms):
            return None
        elapsed_ms = now_ms - chosen.sent_ms
        if chosen.salt is None:
            return elapsed_ms / releasecounts.PLAIN_UNIT_MS
        if elapsed_ms < BACKLOG_DELAYS_MS[-1]:
            self._read_backlog()
        rates = environment.prefill_rates
        return elapsed_ms / rates.expected_ms(self._backlog_tokens)


class ServiceRule:
    """The rule of one service."""

    def __init__(self, service: str, environment: Environment) -> None:
        self.service = service
        self.environment = environment
        self.release: releasestate.Release | None = None
        # By software version, until when it waits for the orders to be read again.
        self.held: dict[str, float] = {}
        # By lifetime, when it was last listed: targets of versions that were rolled
        # back get nothing; those that were replaced, or whose order is gone without a
        # verdict, are used only if there are no others.
        self.rejected: dict[Lifetime, float] = {}
        self.shunned: dict[Lifetime, float] = {}

    def is_needed(self) -> bool:
        """Return whether the rule says anything."""
        return bool(self.release or self.held or self.rejected or self.shunned)

    # Requests.

    def permits(
        self,
        request_state: requeststate.RequestState,
        targets: Targets,
        now_ms: float,
    ) -> Targets:
        """Return those of the open targets that a request may go to.

        Sets ``is_canary`` if these are the targets that try the new version.
        """
        if request_state.is_canary:
            self._end_canary(request_state, now_ms)
        targets = self._not_closed(targets)
        if request_state.software is None:
            targets = self._not_held(targets, now_ms)
        release = self.release
        if release is None or release.phase is Phase.SUCCEEDED:
            return targets
        new = [one for one in targets if release.is_new(one)]
        if request_state.software is not None:
            return self._for_resumed(release, request_state.software, targets, now_ms)
        if not new:
            return targets
        old = [one for one in targets if not release.is_new(one)]
        if release.is_reverting or not old:
            return old if release.is_reverting else new
        return self._by_lane(release, request_state, old, new, now_ms)

    def _not_closed(self, targets: Targets) -> Targets:
        """Return the targets without those that are rejected or shunned."""
        if self.rejected:
            targets = [one for one in targets if _lifetime(one) not in self.rejected]
        if self.shunned:
            kept = [one for one in targets if _lifetime(one) not in self.shunned]
            targets = kept or targets
        return targets

    def _not_held(self, targets: Targets, now_ms: float) -> Targets:
        """Return the targets without those of versions that are held back.

        Streams that such a version began before go on there.
        """
        if not self.held:
            return targets
        kept = [one for one in targets if self.held.get(one.software, 0.0) <= now_ms]
        return kept or targets

    def _for_resumed(
        self,
        release: releasestate.Release,
        software: str,
        targets: Targets,
        now_ms: float,
    ) -> Targets:
        """Return the targets for a stream that goes on at the version it began at."""
        is_late = now_ms >= release.phase_ms + RESUME_MS
        if software == release.order.target and release.is_reverting and is_late:
            return []
        return [one for one in targets if one.software == software]

    def _by_lane(
        self,
        release: releasestate.Release,
        request_state: requeststate.RequestState,
        old: Targets,
        new: Targets,
        now_ms: float,
    ) -> Targets:
        """Return the targets of the version that a request is given to.

        While observing, that is decided once: whoever waits for room is not drawn
        again.
        """
        is_observing = release.phase is Phase.OBSERVING
        if request_state.lane == FELL_BACK:
            request_state.lane = OLD
            return old
        if is_observing and request_state.lane is not None:
            return old
        age_ms = release.age_ms(now_ms)
        release.exposure.target_count = len(new)
        lane = release.exposure.lane(
            now_ms,
            age_ms,
            release.phase,
            release.is_granted(now_ms),
            not request_state.route.repeatable,
            self._is_only_kind(),
            bool(request_state.tries) or request_state.times_sent > 0,
            _draw(request_state),
        )
        request_state.lane = lane.value
        if lane is releaseexposure.Lane.OLD:
            return old
        if not is_observing:
            # Not once success may be written, at which the old targets stop.
            is_early = age_ms < ROOM_SHARE * release.order.duration_ms
            is_complete = now_ms < release.complete_until_ms
            request_state.is_canary = is_early and not is_complete
            return new
        request_state.is_canary = True
        registry = self.environment.mirror.registry
        return release.exposure.canary_targets(
            age_ms,
            new,
            lambda target: registry.state(target.id).is_cold(now_ms),
        )

    def _is_only_kind(self) -> bool:
        """Return whether all routes to the service are of those that may run once."""
        config = self.environment.mirror.catalogue
        return config is not None and self.service not in config.repeatable_services

    def _end_canary(
        self, request_state: requeststate.RequestState, now_ms: float
    ) -> None:
        """Let a request go elsewhere; it was not sent to the new version, or failed."""
        request_state.is_canary = False
        if self.release is not None and not request_state.times_sent:
            self.release.exposure.refund(now_ms)

    def fall_back(self, request_state: requeststate.RequestState) -> None:
        """Send a canary request that no target can take to the version that serves."""
        self._end_canary(request_state, self.environment.clock.now_ms())
        request_state.lane = FELL_BACK

    def may_send(
        self,
        request_state: requeststate.RequestState,
        target: registry_module.Target,
        now_ms: float,
    ) -> bool:
        """Return whether a request may still be sent to the target chosen for it."""
        registry = self.environment.mirror.registry
        opened = self._not_closed(registry.open_targets(self.service))
        if all(one.id != target.id for one in opened):
            return False
        release = self.release
        if release is None or not release.is_new(target):
            return True
        if request_state.software is not None:
            return not release.is_reverting or now_ms < release.phase_ms + RESUME_MS
        if release.is_reverting or release.is_over:
            return release.phase is Phase.SUCCEEDED
        return release.is_granted(now_ms) or all(map(release.is_new, opened))

    def record_sent(
        self, request_state: requeststate.RequestState, chosen: selection.Choice
    ) -> Attempt | None:
        """Return what counts an attempt that is being sent, if it is to be counted."""
        release = self.release
        if release is None or release.is_over:
            return None
        return Attempt(self.environment, release, request_state.route.name, chosen)

    # Orders.

    def close_new(self, now_ms: float) -> None:
        """Close the listed targets of the order's version, whose order is gone.

        If nothing bad was found, they still serve where there are no others.
        """
        release = self.release
        if release is None or release.phase is Phase.SUCCEEDED:
            return
        closed = self.rejected if release.is_reverting else self.shunned
        for target in self._listed():
            if release.is_new(target):
                closed[_lifetime(target)] = now_ms

    def close_old(self, now_ms: float) -> None:
        """Close the listed targets of other versions than the order's."""
        for target in self._listed():
            if self.release is not None and not self.release.is_new(target):
                self.shunned[_lifetime(target)] = now_ms

    def reopen(self, software: str) -> None:
        """Open the listed targets of a version again, as a new order asks for it."""
        for target in self._listed():
            if target.software == software:
                self.rejected.pop(_lifetime(target), None)
                self.shunned.pop(_lifetime(target), None)

    def old_in_flight(self) -> int:
        """Return how many requests are under way at targets of other versions."""
        registry, release = self.environment.mirror.registry, self.release
        if release is None:
            return 0
        return sum(
            registry.state(target.id).in_flight
            for target in self._listed()
            if not release.is_new(target)
        )

    def _listed(self) -> Targets:
        return self.environment.mirror.registry.listed_targets(self.service)

    def update(self, now_ms: float) -> None:
        """Follow the list of targets, and forget what has ended."""
        listed = self._listed()
        lifetimes = set(map(_lifetime, listed))
        for closed in (self.rejected, self.shunned):
            closed.update((one, now_ms) for one in lifetimes & closed.keys())
            for one, at_ms in list(closed.items()):
                if at_ms < now_ms - KEPT_MS:
                    del closed[one]
        release = self.release
        if release is not None and not release.has_targets:
            release.has_targets = any(map(release.is_new, listed))


def _lifetime(target: registry_module.Target) -> Lifetime:
    return target.id, target.born_ms


def _draw(request_state: requeststate.RequestState) -> float:
    """Return a number from 0 to 1 that is the same for all attempts of a request."""
    return (hash(request_state.call.request_id) % DRAWS) / DRAWS
