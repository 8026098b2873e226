"""One instance as a member of the fleet: what it sends, and what it makes of messages.

Ties membership, other data centres, the settings' relay, notes and directives together.
It does no I/O. Its shell calls ``tick`` about every ``TICK_MS``, sends what it returns,
and hands each reply or silence back::

    for send in node.tick(now_ms):
        reply = await client.call(send.contact.address, HEARTBEAT, send.message, 800)
        node.answered(send, reply, now_ms)
    for fetch in node.fetches():
        pulled = await client.call(fetch.address, PULL, fetch.pull, 2_000)
        node.pulled(fetch, pulled, now_ms)
"""

import random
import typing

from cornelreach.fleet import board as board_module, membership, news, sites, takeout
from cornelreach.platform import results
from cornelreach.settings import relay as relay_module, state as state_module

TICK_MS = 200
HEARTBEAT_WAIT_MS = 800
POKES = 3
POKE_BYTES = 3_000
FAILURES_TO_AWAY = 2
REMOTE_NEWS = 3
CHOICE_MS = 500


class Send(typing.NamedTuple):
    """A heartbeat to send; hand it back with its reply or its silence."""

    contact: news.Contact
    message: news.Heartbeat
    sent_ms: float


class Node:
    """The aggregate of one instance's part in the fleet."""

    def __init__(
        self,
        me: news.Identity,
        state: state_module.State,
        source: random.Random,
        now_ms: float,
    ) -> None:
        self.state = state
        self.membership = membership.Membership(me, source, now_ms)
        self.sites = sites.Sites(me.data_centre, source, now_ms)
        self.relay = relay_module.Relay(state)
        self.board = board_module.Board()
        self.directives = takeout.Directives(state)
        self.source = source
        self._failures = 0
        self._listed = False
        self._chosen = False
        self._chosen_until_ms = now_ms
        self._fetches: list[relay_module.Fetch] = []
        self._known_directives: tuple[news.Directive, ...] = ()
        self._pushed = state.revision
        self._next_ms = now_ms

    @property
    def me(self) -> news.Identity:
        """Return this instance's identity."""
        return self.membership.me.identity

    def events(self) -> tuple[membership.Event, ...]:
        """Return what happened to members since the last call."""
        return self.membership.events()

    # The platform.

    def listed(self, instances: tuple[results.Instance, ...]) -> None:
        """Take over the platform's lagging list of instances."""
        self._listed = True
        self.membership.listed(instances)
        self.sites.listed(instances)

    def platform_report(self, reached: bool, now_ms: float) -> None:
        """Tell whether this instance's last call reached the platform.

        Others take over the watch after several failures in a row.
        """
        self._failures = 0 if reached else self._failures + 1
        if reached:
            self.membership.platform(news.Platform.REACHED, now_ms)
        elif self._failures >= FAILURES_TO_AWAY:
            self.membership.platform(news.Platform.AWAY, now_ms)

    def watching(self, now_ms: float) -> bool:
        """Return whether this instance watches the platform for its peers.

        One that has not heard of its peers yet might list what they could tell it.
        """
        members = self.membership
        if members.doubtful or not (self._listed or members.has_peers()):
            return False
        if now_ms < self._chosen_until_ms:
            return self._chosen
        self._chosen_until_ms = now_ms + CHOICE_MS
        chosen = relay_module.choose_watchers(
            self.me.data_centre,
            members.expected(),
            lambda name: members.watch_rank(name, now_ms),
        )
        self._chosen = self.me.name in chosen
        if not self._chosen and members.me.platform == news.Platform.REACHED:
            members.platform(news.Platform.UNKNOWN, now_ms)
        return self._chosen

    def platform_reached(self) -> bool:
        """Return whether an instance of this data centre reaches the platform."""
        return any(
            member.platform == news.Platform.REACHED
            for member in self.membership.roster.present()
        )

    # Sending.

    def tick(self, now_ms: float) -> tuple[Send, ...]:
        """Return the heartbeats that are due."""
        self.membership.tick(now_ms)
        sends: list[Send] = []
        if now_ms >= self._next_ms:
            period_ms = membership.HEARTBEAT_MS * self.source.uniform(0.9, 1.1)
            self._next_ms = max(now_ms, self._next_ms + period_ms)
            self.board.sweep(now_ms)
            for contact in self.membership.recipients(now_ms):
                sends.append(self._send(contact, now_ms))
        known = self.directives.message_directives()
        if self.state.revision > self._pushed or known != self._known_directives:
            sends.extend(self._pokes(now_ms))
        self._known_directives = known
        remote = self.sites.due(len(self.membership.serving()), now_ms)
        if remote is not None:
            sends.append(self._send(remote, now_ms, remote=True))
        return tuple(sends)

    def _pokes(self, now_ms: float) -> list[Send]:
        delta = self.state.delta(self._pushed, limit_bytes=POKE_BYTES)
        self._pushed = self.state.revision
        return [
            self._send(contact, now_ms, delta=delta)
            for contact in self.membership.some(POKES)
        ]

    def _send(
        self,
        contact: news.Contact,
        now_ms: float,
        remote: bool = False,
        delta: state_module.Delta | None = None,
    ) -> Send:
        return Send(contact, self._message(remote, now_ms, delta), now_ms)

    def _message(
        self,
        remote: bool,
        now_ms: float,
        delta: state_module.Delta | None = None,
    ) -> news.Heartbeat:
        members = self.membership
        roster = members.roster
        return news.Heartbeat(
            member=members.me,
            revision=self.state.revision,
            digest=self.state.digest,
            full=members.doubtful and not remote,
            news=self._sample() if remote else roster.message_news(),
            reaches=() if remote else self.sites.reaches(now_ms),
            summaries=self.board.message_notes(remote, now_ms),
            directives=self.directives.message_directives(),
            delta=delta,
        )

    def _sample(self) -> tuple[news.Member, ...]:
        present = self.membership.roster.present()
        return tuple(self.source.sample(present, min(REMOTE_NEWS, len(present))))

    # Receiving.

    def receive(self, message: news.Heartbeat, now_ms: float) -> news.Heartbeat:
        """Take a peer's heartbeat and return the reply."""
        self.membership.tick(now_ms)
        self._take(message, now_ms)
        remote = message.sender.data_centre != self.me.data_centre
        reply = self._message(remote, now_ms)
        if remote:
            return reply
        roster = self.membership.roster
        held = roster.members.get(message.sender.name)
        if message.full:
            return reply._replace(news=roster.full_news())
        if held is not None and held != message.member and held not in reply.news:
            return reply._replace(news=(held, *reply.news))
        return reply

    def answered(self, send: Send, reply: news.Heartbeat, now_ms: float) -> None:
        """Take the reply to a heartbeat."""
        if reply.sender.data_centre == self.me.data_centre:
            self.membership.answered(reply, send.sent_ms, now_ms)
        else:
            self.sites.answered(reply.sender, now_ms)
        self._take(reply, now_ms)

    def unanswered(self, send: Send, now_ms: float) -> None:
        """Count a heartbeat that was not answered in time."""
        if send.contact.data_centre == self.me.data_centre:
            self.membership.unanswered(send.contact, send.sent_ms, now_ms)
        elif send.contact.name:
            self.sites.unanswered(send.contact)

    def _take(self, message: news.Heartbeat, now_ms: float) -> None:
        sender = message.sender
        if sender.data_centre == self.me.data_centre:
            self.membership.heard(message, now_ms)
            self.sites.learn(message.reaches, now_ms)
        else:
            for member in (message.member, *message.news):
                if member.identity.data_centre != self.me.data_centre:
                    self.sites.heard(member)
        self.board.learn(message.summaries, now_ms)
        self.directives.learn(message.directives)
        if message.delta is not None:
            self.state.apply(message.delta)
        fetch = self.relay.compare(
            sender.address, message.revision, message.digest, now_ms
        )
        if fetch is not None:
            self._fetches.append(fetch)

    # The settings' relay.

    def fetches(self) -> tuple[relay_module.Fetch, ...]:
        """Return the pulls to send now."""
        found, self._fetches = tuple(self._fetches), []
        return found

    def pulled(
        self, fetch: relay_module.Fetch, answer: relay_module.Pulled, now_ms: float
    ) -> None:
        """Take the answer to a pull."""
        following = self.relay.pulled(fetch, answer, now_ms)
        if following is not None:
            self._fetches.append(following)
