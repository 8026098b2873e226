"""Membership of one data centre: a gossip protocol with failure detection.

Each instance sends heartbeats to the next two instances on a ring and to a random one,
so the load of an instance does not grow with the fleet. Heartbeats also carry updates
about members. An instance that does not reply becomes suspect, and dead if it does not
refute the suspicion in time. An instance that was paused treats its knowledge as stale
until a peer has replied to a message sent after the pause::

    membership = Membership(identity, random.Random(), now_ms)
    for contact in membership.recipients(now_ms): ...
    membership.receive(message, now_ms)
    membership.may_act(now_ms)
"""

import functools
import random
import typing

from cornelreach.fleet import membertable, peermessages
from cornelreach.platform import results
from cornelreach.util import hashing

HEARTBEAT_MS = 1_000
RING_NEIGHBOURS = 2
MISSES_TO_SUSPECT = 2
SUSPECT_TIMEOUT_MS = 3_000
DEAD_RETENTION_MS = 3_600_000
# A longer time between two ticks means that this process was paused.
PAUSE_THRESHOLD_MS = 3_000
# Without a reply for this long, stale knowledge is considered fresh again.
ALONE_AFTER_MS = 2_500
# How long an announcement that the platform is unreachable counts.
UNREACHABLE_VALID_MS = 8_000
# Up to this age, an instance takes over its name from a boot that started later.
STARTUP_MS = 10_000
# One in this many rounds also tries a dead instance or one that is only listed.
RECONNECT_ROUNDS = 3
RING_CACHE_SIZE = 4_096


class Joined(typing.NamedTuple):
    """An instance, or a new boot of one, has been discovered."""

    identity: peermessages.Identity


class Suspected(typing.NamedTuple):
    """An instance has not replied; it may refute the suspicion."""

    identity: peermessages.Identity


class Died(typing.NamedTuple):
    """An instance is considered dead."""

    identity: peermessages.Identity


class Left(typing.NamedTuple):
    """An instance announced that it is shutting down; it accepts no new work."""

    identity: peermessages.Identity


class Superseded(typing.NamedTuple):
    """Another boot has replaced this instance under its name; this one must stop."""

    by: peermessages.Identity


class Woke(typing.NamedTuple):
    """This process was paused; its knowledge may be stale."""

    paused_ms: float


class Confirmed(typing.NamedTuple):
    """This instance's knowledge is fresh again; ``alone`` if no peer replied."""

    alone: bool


Event = Joined | Suspected | Died | Left | Superseded | Woke | Confirmed
EVENT_BY_STATUS = {
    peermessages.Status.ALIVE: Joined,
    peermessages.Status.LEAVING: Left,
    peermessages.Status.SUSPECT: Suspected,
    peermessages.Status.DEAD: Died,
}


class Membership:
    """The members of a data centre as one instance sees them."""

    def __init__(
        self, me: peermessages.Identity, rng: random.Random, now_ms: float
    ) -> None:
        self.table = membertable.MemberTable()
        self.rng = rng
        self.me = peermessages.Member(me)
        self.superseded_by: peermessages.Identity | None = None
        self._listed: dict[str, peermessages.Contact] = {}
        self._seeds: tuple[str, ...] = ()
        self._misses: dict[str, int] = {}
        self._status_ms: dict[str, float] = {}
        self._failing: set[str] = set()
        self._started_ms = now_ms
        self._ticked_ms = now_ms
        self._stale_since_ms: float | None = now_ms
        self._round = 0
        self._events: list[Event] = []
        self.table.update(self.me)

    @property
    def name(self) -> str:
        """Return this instance's name."""
        return self.me.identity.name

    def events(self) -> tuple[Event, ...]:
        """Return and clear the events since the last call."""
        events, self._events = tuple(self._events), []
        return events

    # Input.

    def set_seeds(self, addresses: typing.Iterable[str]) -> None:
        """Set addresses to try while no peer is known, as in a platform outage."""
        self._seeds = tuple(addresses)

    def set_listed(self, instances: typing.Iterable[results.Instance]) -> None:
        """Store the platform's list of instances.

        The list lags behind, so it proves no instance alive or dead.
        """
        self._listed = {
            entry.name: peermessages.Contact(
                entry.name, entry.peer_address, entry.data_centre
            )
            for entry in instances
            if entry.data_centre == self.me.identity.data_centre
            and entry.state == "live"
            and entry.name != self.name
        }

    def receive(self, message: peermessages.Heartbeat, now_ms: float) -> None:
        """Process a message from an instance of this data centre."""
        self._misses.pop(message.sender.name, None)
        for member in (message.member, *message.member_updates):
            self._update(member, now_ms)

    def answered(
        self, message: peermessages.Heartbeat, sent_ms: float, now_ms: float
    ) -> None:
        """Process a reply; one to a message sent since a pause ends the stale state."""
        self.tick(now_ms)
        self.receive(message, now_ms)
        if self._stale_since_ms is not None and sent_ms >= self._stale_since_ms:
            self._mark_fresh(alone=False)

    def unanswered(
        self, contact: peermessages.Contact, sent_ms: float, now_ms: float
    ) -> None:
        """Count a message without reply, unless it was sent before a pause."""
        self.tick(now_ms)
        if self._stale_since_ms is not None and sent_ms < self._stale_since_ms:
            return
        misses = self._misses.get(contact.name, 0) + 1
        self._misses[contact.name] = misses
        member = self.table.members.get(contact.name)
        if member is None or misses < MISSES_TO_SUSPECT:
            return
        if member.status in (peermessages.Status.ALIVE, peermessages.Status.LEAVING):
            self._update(member._replace(status=peermessages.Status.SUSPECT), now_ms)

    def tick(self, now_ms: float) -> None:
        """Detect a pause of this process and time out suspect and dead members."""
        paused_ms, self._ticked_ms = now_ms - self._ticked_ms, now_ms
        if paused_ms > PAUSE_THRESHOLD_MS:
            self._handle_pause(paused_ms, now_ms)
        if (
            self._stale_since_ms is not None
            and now_ms - self._stale_since_ms > ALONE_AFTER_MS
        ):
            self._mark_fresh(alone=True)
        for name in list(self._failing):
            self._advance_failing(name, now_ms)

    def leave(self, now_ms: float) -> None:
        """Announce that this instance accepts no new work and will exit."""
        self.me = self.me._replace(status=peermessages.Status.LEAVING)
        self._announce(now_ms)

    def set_platform_status(
        self, status: peermessages.PlatformStatus, now_ms: float
    ) -> None:
        """Announce whether this instance reaches the platform.

        An unreachable platform is announced again before the report expires.
        """
        age_ms = now_ms - self._status_ms.get(self.name, now_ms)
        outdated = (
            status == peermessages.PlatformStatus.UNREACHABLE
            and age_ms > UNREACHABLE_VALID_MS / 2
        )
        if status != self.me.platform or outdated:
            self.me = self.me._replace(platform=status)
            self._announce(now_ms)

    # Queries.

    def may_act(self, now_ms: float) -> bool:
        """Return whether this instance's knowledge is fresh enough to act on.

        Check this directly before doing work that a peer may have taken over.
        """
        running = now_ms - self._ticked_ms <= PAUSE_THRESHOLD_MS
        return running and self._stale_since_ms is None and self.superseded_by is None

    @property
    def stale(self) -> bool:
        """Return whether all members must be requested from a peer."""
        return self._stale_since_ms is not None

    def has_peers(self) -> bool:
        """Return whether any other instance is not known to be dead."""
        return len(self.table.not_dead()) > 1

    def is_alive(self, name: str, boot: str | None = None) -> bool:
        """Return whether an instance is known and not dead; also check a given boot."""
        member = self.table.members.get(name)
        if member is None or member.status == peermessages.Status.DEAD:
            return False
        return boot is None or member.identity.boot == boot

    def serving(self) -> list[peermessages.Identity]:
        """Return the instances that accept new work, including this one, by name."""
        found = [m.identity for m in self.table.members.values() if _accepts_work(m)]
        return sorted(found)

    def alive(self) -> list[peermessages.Identity]:
        """Return the instances that are not suspect, leaving or dead, by name."""
        members = self.table.members.values()
        return sorted(
            m.identity for m in members if m.status == peermessages.Status.ALIVE
        )

    def find_serving(self, name: str) -> peermessages.Identity | None:
        """Return the identity of an instance if it accepts new work, or None."""
        member = self.table.members.get(name)
        return member.identity if member is not None and _accepts_work(member) else None

    def expected_alive(self) -> set[str]:
        """Return the alive instances and those listed that have not failed to reply.

        Shared work is divided among them, so that the part of a suspect instance is
        taken over early.
        """
        untried = {
            name
            for name in self._listed
            if name not in self.table.members
            and self._misses.get(name, 0) < MISSES_TO_SUSPECT
        }
        alive = {
            name
            for name, member in self.table.members.items()
            if member.status == peermessages.Status.ALIVE
        }
        return alive | untried

    def watch_rank(self, name: str, now_ms: float) -> int:
        """Return 0 if an instance reaches the platform, 2 if it just failed, else 1."""
        member = self.table.members.get(name)
        if member is None or member.platform == peermessages.PlatformStatus.UNKNOWN:
            return 1
        if member.platform == peermessages.PlatformStatus.REACHABLE:
            return 0
        age_ms = now_ms - self._status_ms.get(name, now_ms)
        return 2 if age_ms < UNREACHABLE_VALID_MS else 1

    def recipients(self, now_ms: float) -> tuple[peermessages.Contact, ...]:
        """Return the contacts to send a heartbeat to in this round."""
        self.tick(now_ms)
        self._round += 1
        others = [m for m in self.table.not_dead() if m.identity.name != self.name]
        chosen = {contact.name: contact for contact in self._ring(others)}
        candidates = self._reconnect_contacts()
        if candidates and (not others or self._round % RECONNECT_ROUNDS == 0):
            extra = self.rng.choice(candidates)
        elif others:
            extra = _contact(self.rng.choice(others).identity)
        else:
            extra = self._seed_contact()
        if extra is not None:
            chosen.setdefault(extra.name, extra)
        return tuple(chosen.values())

    def random_peers(self, count: int) -> tuple[peermessages.Contact, ...]:
        """Return up to ``count`` random instances that are not known to be dead."""
        others = [m for m in self.table.not_dead() if m.identity.name != self.name]
        picked = self.rng.sample(others, min(count, len(others)))
        return tuple(_contact(member.identity) for member in picked)

    # Internals.

    def _ring(self, others: list[peermessages.Member]) -> list[peermessages.Contact]:
        own_position = _ring_position(self.name)

        def ring_distance(member: peermessages.Member) -> tuple[bool, bytes]:
            position = _ring_position(member.identity.name)
            return position < own_position, position

        successors = sorted(others, key=ring_distance)[:RING_NEIGHBOURS]
        return [_contact(member.identity) for member in successors]

    def _reconnect_contacts(self) -> list[peermessages.Contact]:
        dead = [
            _contact(member.identity)
            for member in self.table.members.values()
            if member.status == peermessages.Status.DEAD
        ]
        listed = [c for n, c in self._listed.items() if n not in self.table.members]
        return dead + listed

    def _seed_contact(self) -> peermessages.Contact | None:
        own_address = self.me.identity.address
        usable = [address for address in self._seeds if address != own_address]
        return peermessages.Contact("", self.rng.choice(usable)) if usable else None

    def _update(self, member: peermessages.Member, now_ms: float) -> None:
        identity = member.identity
        if identity.data_centre != self.me.identity.data_centre:
            return
        if identity.name == self.name:
            self._update_me(member, now_ms)
            return
        before = self.table.update(member)
        if before is None:
            return
        self._status_ms[identity.name] = now_ms
        if member.status in (peermessages.Status.SUSPECT, peermessages.Status.DEAD):
            self._failing.add(identity.name)
        changed = before.status != member.status or before is member
        if changed or before.identity.boot != identity.boot:
            self._events.append(EVENT_BY_STATUS[member.status](identity))

    def _advance_failing(self, name: str, now_ms: float) -> None:
        """Declare a suspect dead or remove a dead member once its time is up."""
        member = self.table.members[name]
        age_ms = now_ms - self._status_ms[name]
        if member.status == peermessages.Status.SUSPECT:
            if age_ms > SUSPECT_TIMEOUT_MS:
                self._update(member._replace(status=peermessages.Status.DEAD), now_ms)
        elif member.status != peermessages.Status.DEAD:
            self._failing.discard(name)
        elif age_ms > DEAD_RETENTION_MS:
            self._failing.discard(name)
            self.table.remove(name)

    def _update_me(self, member: peermessages.Member, now_ms: float) -> None:
        """Handle an update on this instance's name.

        A suspicion is refuted by a higher incarnation. Another boot that started later
        supersedes this one, unless this one is itself still starting.
        """
        own_identity, other_identity = self.me.identity, member.identity
        if other_identity.boot == own_identity.boot:
            if member.precedence > self.me.precedence:
                self.me = self.me._replace(incarnation=member.incarnation)
                self._announce(now_ms)
            return
        if (other_identity.started_ms, other_identity.boot) < (
            own_identity.started_ms,
            own_identity.boot,
        ):
            return
        if now_ms - self._started_ms <= STARTUP_MS:
            later_start = own_identity._replace(
                started_ms=other_identity.started_ms + 1
            )
            self.me = self.me._replace(identity=later_start)
            self._announce(now_ms)
        elif self.superseded_by is None:
            self.superseded_by = other_identity
            self._events.append(Superseded(other_identity))

    def _announce(self, now_ms: float) -> None:
        """Raise the incarnation, so that peers accept the new state."""
        self.me = self.me._replace(incarnation=self.me.incarnation + 1)
        self.table.update(self.me)
        self._status_ms[self.name] = now_ms

    def _handle_pause(self, paused_ms: float, now_ms: float) -> None:
        self._stale_since_ms = now_ms
        self._misses.clear()
        for name in self._status_ms:
            self._status_ms[name] = now_ms
        self._events.append(Woke(paused_ms))

    def _mark_fresh(self, alone: bool) -> None:
        self._stale_since_ms = None
        self._events.append(Confirmed(alone))


@functools.lru_cache(maxsize=RING_CACHE_SIZE)
def _ring_position(name: str) -> bytes:
    """Return the position of a name on the ring."""
    return hashing.digest(name.encode())


def _accepts_work(member: peermessages.Member) -> bool:
    return member.status in (peermessages.Status.ALIVE, peermessages.Status.SUSPECT)


def _contact(identity: peermessages.Identity) -> peermessages.Contact:
    return peermessages.Contact(identity.name, identity.address, identity.data_centre)
