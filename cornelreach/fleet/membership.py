"""Which instances of the data centre are there, by heartbeats to a few of them.

Each instance sends to the next two on a ring and to one at random, so the cost of a
node does not grow with the fleet. Statements spread with the messages. Silence makes
an instance suspect, and dead only if it does not refute that in time. An instance that
was paused doubts what it knows until a peer has answered a message sent afterwards::

    membership = Membership(identity, random.Random(), now_ms)
    for contact in membership.recipients(now_ms): ...
    membership.heard(message, now_ms)
    membership.may_act(now_ms)
"""

import functools
import random
import typing

from cornelreach.fleet import members as members_module, news
from cornelreach.platform import results
from cornelreach.util import hashing

HEARTBEAT_MS = 1_000
RING_NEIGHBOURS = 2
MISSES_TO_SUSPECT = 2
SUSPECT_MS = 3_000
FORGET_MS = 3_600_000
PAUSE_MS = 3_000
ALONE_MS = 2_500
AWAY_MS = 8_000
YOUNG_MS = 10_000
LOST_TRY_ROUNDS = 3
PLACES_KEPT = 4_096


class Joined(typing.NamedTuple):
    """An instance, or a new boot of one, is there."""

    identity: news.Identity


class Suspected(typing.NamedTuple):
    """An instance has not answered; it may refute that."""

    identity: news.Identity


class Died(typing.NamedTuple):
    """An instance counts as dead."""

    identity: news.Identity


class Left(typing.NamedTuple):
    """An instance announced that it leaves; it takes no new work."""

    identity: news.Identity


class Superseded(typing.NamedTuple):
    """Another boot of this instance's name took its place; this one must stop."""

    by: news.Identity


class Woke(typing.NamedTuple):
    """This process did not run for a while; what it knew may be out of date."""

    paused_ms: float


class Confirmed(typing.NamedTuple):
    """What this instance knows is fresh again; ``alone`` if no peer answered."""

    alone: bool


Event = Joined | Suspected | Died | Left | Superseded | Woke | Confirmed
EVENT_OF = {
    news.Status.ALIVE: Joined,
    news.Status.LEAVING: Left,
    news.Status.SUSPECT: Suspected,
    news.Status.DEAD: Died,
}


class Membership:
    """The aggregate of one instance's view of its data centre."""

    def __init__(self, me: news.Identity, source: random.Random, now_ms: float) -> None:
        self.roster = members_module.Members()
        self.source = source
        self.me = news.Member(me)
        self.superseded_by: news.Identity | None = None
        self._listed: dict[str, news.Contact] = {}
        self._seeds: tuple[str, ...] = ()
        self._misses: dict[str, int] = {}
        self._status_ms: dict[str, float] = {}
        self._unsettled: set[str] = set()
        self._started_ms = now_ms
        self._ticked_ms = now_ms
        self._doubt_ms: float | None = now_ms
        self._round = 0
        self._events: list[Event] = []
        self.roster.learn(self.me)

    @property
    def name(self) -> str:
        """Return this instance's name."""
        return self.me.identity.name

    def events(self) -> tuple[Event, ...]:
        """Return what happened since the last call."""
        told, self._events = tuple(self._events), []
        return told

    # What comes in.

    def seed(self, addresses: typing.Iterable[str]) -> None:
        """Set addresses to try while no peer is known, as with the platform away."""
        self._seeds = tuple(addresses)

    def listed(self, instances: typing.Iterable[results.Instance]) -> None:
        """Take over the platform's lagging list; it proves nobody alive or dead."""
        self._listed = {
            entry.name: news.Contact(entry.name, entry.peer_address, entry.data_centre)
            for entry in instances
            if entry.data_centre == self.me.identity.data_centre
            and entry.state == "live"
            and entry.name != self.name
        }

    def heard(self, message: news.Heartbeat, now_ms: float) -> None:
        """Take over a message of an instance of this data centre."""
        self._misses.pop(message.sender.name, None)
        for member in (message.member, *message.news):
            self._learn(member, now_ms)

    def answered(self, message: news.Heartbeat, sent_ms: float, now_ms: float) -> None:
        """Take over a reply; one to a message sent since a pause ends the doubt."""
        self.tick(now_ms)
        self.heard(message, now_ms)
        if self._doubt_ms is not None and sent_ms >= self._doubt_ms:
            self._confirm(alone=False)

    def unanswered(self, contact: news.Contact, sent_ms: float, now_ms: float) -> None:
        """Count a message without answer, unless it was sent before a pause."""
        self.tick(now_ms)
        if self._doubt_ms is not None and sent_ms < self._doubt_ms:
            return
        misses = self._misses.get(contact.name, 0) + 1
        self._misses[contact.name] = misses
        member = self.roster.members.get(contact.name)
        if member is None or misses < MISSES_TO_SUSPECT:
            return
        if member.status in (news.Status.ALIVE, news.Status.LEAVING):
            self._learn(member._replace(status=news.Status.SUSPECT), now_ms)

    def tick(self, now_ms: float) -> None:
        """Notice a pause of this process, and let suspicion end in death."""
        paused_ms, self._ticked_ms = now_ms - self._ticked_ms, now_ms
        if paused_ms > PAUSE_MS:
            self._wake(paused_ms, now_ms)
        if self._doubt_ms is not None and now_ms - self._doubt_ms > ALONE_MS:
            self._confirm(alone=True)
        for name in list(self._unsettled):
            self._settle(name, now_ms)

    def leave(self, now_ms: float) -> None:
        """Announce that this instance takes no new work and will exit."""
        self.me = self.me._replace(status=news.Status.LEAVING)
        self._restate(now_ms)

    def platform(self, found: news.Platform, now_ms: float) -> None:
        """State what this instance knows of the platform, anew as it grows old."""
        age_ms = now_ms - self._status_ms.get(self.name, now_ms)
        old = found == news.Platform.AWAY and age_ms > AWAY_MS / 2
        if found != self.me.platform or old:
            self.me = self.me._replace(platform=found)
            self._restate(now_ms)

    # What can be asked.

    def may_act(self, now_ms: float) -> bool:
        """Return whether this instance's knowledge is fresh enough to act on it.

        Ask directly before an act that others may have taken over meanwhile.
        """
        awake = now_ms - self._ticked_ms <= PAUSE_MS
        return awake and self._doubt_ms is None and self.superseded_by is None

    @property
    def doubtful(self) -> bool:
        """Return whether a full view must be fetched from a peer."""
        return self._doubt_ms is not None

    def has_peers(self) -> bool:
        """Return whether any other instance is thought to be there."""
        return len(self.roster.present()) > 1

    def is_alive(self, name: str, boot: str | None = None) -> bool:
        """Return whether a name, and boot if given, is not known to be dead."""
        member = self.roster.members.get(name)
        if member is None or member.status == news.Status.DEAD:
            return False
        return boot is None or member.identity.boot == boot

    def serving(self) -> list[news.Identity]:
        """Return the instances that take new work, this one included, by name."""
        found = [m.identity for m in self.roster.members.values() if _takes_work(m)]
        return sorted(found)

    def alive(self) -> list[news.Identity]:
        """Return the instances that nobody suspects, by name."""
        members = self.roster.members.values()
        return sorted(m.identity for m in members if m.status == news.Status.ALIVE)

    def serves(self, name: str) -> news.Identity | None:
        """Return the identity of an instance that takes new work, or None."""
        member = self.roster.members.get(name)
        return member.identity if member is not None and _takes_work(member) else None

    def expected(self) -> set[str]:
        """Return those not suspected and those listed that have not failed to answer.

        Common work is shared among them, so a suspect's part is taken over early.
        """
        untried = {
            name
            for name in self._listed
            if name not in self.roster.members
            and self._misses.get(name, 0) < MISSES_TO_SUSPECT
        }
        alive = {
            name
            for name, member in self.roster.members.items()
            if member.status == news.Status.ALIVE
        }
        return alive | untried

    def watch_rank(self, name: str, now_ms: float) -> int:
        """Return 0 if an instance reaches the platform, 2 if it just failed, else 1."""
        member = self.roster.members.get(name)
        if member is None or member.platform == news.Platform.UNKNOWN:
            return 1
        if member.platform == news.Platform.REACHED:
            return 0
        age_ms = now_ms - self._status_ms.get(name, now_ms)
        return 2 if age_ms < AWAY_MS else 1

    def recipients(self, now_ms: float) -> tuple[news.Contact, ...]:
        """Return whom to send a heartbeat to in this round."""
        self.tick(now_ms)
        self._round += 1
        others = [m for m in self.roster.present() if m.identity.name != self.name]
        chosen = {contact.name: contact for contact in self._ring(others)}
        lost = self._lost()
        if lost and (not others or self._round % LOST_TRY_ROUNDS == 0):
            extra = self.source.choice(lost)
        elif others:
            extra = _contact(self.source.choice(others).identity)
        else:
            extra = self._seed()
        if extra is not None:
            chosen.setdefault(extra.name, extra)
        return tuple(chosen.values())

    def some(self, count: int) -> tuple[news.Contact, ...]:
        """Return a few random instances that are thought to be there."""
        others = [m for m in self.roster.present() if m.identity.name != self.name]
        picked = self.source.sample(others, min(count, len(others)))
        return tuple(_contact(member.identity) for member in picked)

    # Rules.

    def _ring(self, others: list[news.Member]) -> list[news.Contact]:
        own = _place(self.name)

        def distance(member: news.Member) -> tuple[bool, bytes]:
            place = _place(member.identity.name)
            return place < own, place

        nearest = sorted(others, key=distance)[:RING_NEIGHBOURS]
        return [_contact(member.identity) for member in nearest]

    def _lost(self) -> list[news.Contact]:
        dead = [
            _contact(member.identity)
            for member in self.roster.members.values()
            if member.status == news.Status.DEAD
        ]
        listed = [c for n, c in self._listed.items() if n not in self.roster.members]
        return dead + listed

    def _seed(self) -> news.Contact | None:
        own = self.me.identity.address
        usable = [address for address in self._seeds if address != own]
        return news.Contact("", self.source.choice(usable)) if usable else None

    def _learn(self, member: news.Member, now_ms: float) -> None:
        identity = member.identity
        if identity.data_centre != self.me.identity.data_centre:
            return
        if identity.name == self.name:
            self._learn_of_me(member, now_ms)
            return
        before = self.roster.learn(member)
        if before is None:
            return
        self._status_ms[identity.name] = now_ms
        if member.status in (news.Status.SUSPECT, news.Status.DEAD):
            self._unsettled.add(identity.name)
        moved = before.status != member.status or before is member
        if moved or before.identity.boot != identity.boot:
            self._events.append(EVENT_OF[member.status](identity))

    def _settle(self, name: str, now_ms: float) -> None:
        member = self.roster.members[name]
        age_ms = now_ms - self._status_ms[name]
        if member.status == news.Status.SUSPECT:
            if age_ms > SUSPECT_MS:
                self._learn(member._replace(status=news.Status.DEAD), now_ms)
        elif member.status != news.Status.DEAD:
            self._unsettled.discard(name)
        elif age_ms > FORGET_MS:
            self._unsettled.discard(name)
            self.roster.forget(name)

    def _learn_of_me(self, member: news.Member, now_ms: float) -> None:
        mine, theirs = self.me.identity, member.identity
        if theirs.boot == mine.boot:
            if member.precedence > self.me.precedence:
                self.me = self.me._replace(incarnation=member.incarnation)
                self._restate(now_ms)
            return
        if (theirs.started_ms, theirs.boot) < (mine.started_ms, mine.boot):
            return
        if now_ms - self._started_ms <= YOUNG_MS:
            later = mine._replace(started_ms=theirs.started_ms + 1)
            self.me = self.me._replace(identity=later)
            self._restate(now_ms)
        elif self.superseded_by is None:
            self.superseded_by = theirs
            self._events.append(Superseded(theirs))

    def _restate(self, now_ms: float) -> None:
        self.me = self.me._replace(incarnation=self.me.incarnation + 1)
        self.roster.learn(self.me)
        self._status_ms[self.name] = now_ms

    def _wake(self, paused_ms: float, now_ms: float) -> None:
        self._doubt_ms = now_ms
        self._misses.clear()
        for name in self._status_ms:
            self._status_ms[name] = now_ms
        self._events.append(Woke(paused_ms))

    def _confirm(self, alone: bool) -> None:
        self._doubt_ms = None
        self._events.append(Confirmed(alone))


@functools.lru_cache(maxsize=PLACES_KEPT)
def _place(name: str) -> bytes:
    """Return where a name lies on the ring."""
    return hashing.digest(name.encode())


def _takes_work(member: news.Member) -> bool:
    return member.status in (news.Status.ALIVE, news.Status.SUSPECT)


def _contact(identity: news.Identity) -> news.Contact:
    return news.Contact(identity.name, identity.address, identity.data_centre)
