"""Targets that fall over if they have to turn away too many requests in a second.

A brittle target says so in each answer, with the number that it bears. There is room
for a request within this instance's share of the places. Beyond it, places are lent
to a few instances while enough are free, and no faster than they learn of each other's
requests. Any other request may be turned away: all instances together send only a few
of those, each within its share. Other targets, or a refusal at once, take the rest::

    brittleness.record_reply(target, reply)
    brittleness.admits(target, service, tokens, now_ms)
"""

from cornelreach.gateway import (
    balancer as balancer_module,
    calls,
    catalogue,
    mirror as mirror_module,
    quotas,
    registry as registry_module,
)
from cornelreach.util import events, timers

# One target that says so stands for the others of its service, until they answer.
SERVICE_MS = 3_000.0
TURNED_AWAY_MS = 1_000.0  # for so long nothing else shows that there is room
REPORT_MS = 400.0  # an older report of its load says nothing of the room
RISKED_SHARE = 0.25  # of what a target bears; estimates of its room may err
LENT_SHARE = 0.5  # of the places; the rest is kept for those that they belong to
DIRECT_LENT_SHARE = 1.0  # where instances tell each other without a hub
LENT_TIMES = 2  # what instances may take together, if none knew of the others
LAG_MS = 100.0  # after which the requests of other instances are known

BRITTLE = events.define(
    2208,
    "INFO",
    "Target {target} bears {bears} requests a second that it turns away.",
    "Nothing; if it lasts: the target is in need. None means that this is over.",
)


class Brittleness:
    """Follows which targets are brittle, and what they turn away."""

    def __init__(
        self,
        mirror: mirror_module.Mirror,
        balancer: balancer_module.Balancer,
        clock: timers.Timers,
    ) -> None:
        self.mirror = mirror
        self.registry = mirror.registry
        self.balancer = balancer
        self.clock = clock
        self._services: dict[str, tuple[int, float]] = {}
        self._lent: dict[str, quotas.SendWindow] = {}  # by service

    def record_reply(self, target: registry_module.Target, reply: calls.Reply) -> None:
        """Follow what an answer says of its sender."""
        state = self.registry.states.get(target.id)
        if state is None or reply.moved:
            return
        now_ms = self.clock.now_ms()
        if reply.bears != state.bears:
            state.bears = reply.bears
            events.emit(BRITTLE, target=target.id, bears=reply.bears)
        state.bears_ms = now_ms
        if reply.bears is not None:
            self._services[target.service] = (reply.bears, now_ms)
        if reply.not_run:
            state.turned_away_ms = now_ms

    def bears(self, target: registry_module.Target, now_ms: float) -> int | None:
        """Return how many requests a second a target may turn away; None if any."""
        state = self.registry.state(target.id)
        if state.bears is not None:
            return state.bears
        bears, heard_ms = self._services.get(target.service, (0, float("-inf")))
        if heard_ms <= max(now_ms - SERVICE_MS, state.bears_ms):
            return None
        return bears

    def admits(
        self,
        target: registry_module.Target,
        service: catalogue.Service,
        tokens: int,
        now_ms: float,
        was_sent: bool = False,
    ) -> bool:
        """Return whether a target has room, or bears to turn one more away.

        A request that was sent before takes no more risk: where one target is full, the
        others mostly are too.
        """
        bears = self.bears(target, now_ms)
        if bears is None:
            return True
        if was_sent and not self._has_own_place(target):
            return False
        if self._has_room(target, service, tokens, now_ms):
            return True
        if was_sent:
            return False
        risked = bears * RISKED_SHARE
        share = quotas.cold_share(self.mirror.fleet, target.id, risked)
        return self.registry.state(target.id).risked.admits(share, now_ms)

    def record_choice(
        self,
        target: registry_module.Target,
        service: catalogue.Service,
        tokens: int,
        now_ms: float,
    ) -> None:
        """Count a request for a brittle target, and whether it may be turned away."""
        if self.bears(target, now_ms) is None:
            return
        if not self._has_room(target, service, tokens, now_ms):
            self.registry.state(target.id).risked.record(now_ms)
        elif not self._has_own_place(target):
            self._lent.setdefault(target.service, quotas.SendWindow()).record(now_ms)

    def _has_own_place(self, target: registry_module.Target, times: int = 1) -> bool:
        """Return whether a place of this instance is free, of ``times`` all places."""
        places = target.slots * times
        share = quotas.place_share(self.mirror.fleet, target.id, places)
        return self.registry.state(target.id).in_flight < share

    def _lent_share(self) -> float:
        is_large = self.balancer.gossip.hubs.is_needed()
        return LENT_SHARE if is_large else DIRECT_LENT_SHARE

    def _may_lend(self, target: registry_module.Target, now_ms: float) -> bool:
        """Return whether this instance may take one more of the others' places."""
        if not self._has_own_place(target, LENT_TIMES):
            return False
        lent = self._lent.get(target.service)
        if lent is None:
            return True
        targets = len(self.registry.open_targets(target.service))
        places = targets * target.slots * self._lent_share()
        most = max(1, int(places / self.mirror.fleet.size))
        return lent.count(now_ms, LAG_MS) < most

    def _has_room(
        self,
        target: registry_module.Target,
        service: catalogue.Service,
        tokens: int,
        now_ms: float,
    ) -> bool:
        """Return whether nothing speaks against free places and memory."""
        state = self.registry.state(target.id)
        if now_ms - state.turned_away_ms < TURNED_AWAY_MS:
            return False
        is_own = self._has_own_place(target)
        if not is_own and not self._may_lend(target, now_ms):
            return False
        others = self.balancer.gossip.peer_load(target.id)
        known = state.in_flight + others.requests
        is_recent = state.load is not None and now_ms - state.load_ms < REPORT_MS
        if is_recent:
            if state.load.waiting:
                return False
            known = max(known, state.load.running)
        share = 1.0 if is_own else self._lent_share()
        if known + 1 > max(1.0, target.slots * share):
            return False
        if service.engine is None or is_recent:
            return True
        context = state.in_flight_tokens + others.context_tokens + tokens
        return known <= 0 or context <= service.engine.memory_tokens
