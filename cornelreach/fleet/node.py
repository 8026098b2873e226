"""One instance as a member of the fleet: what it sends and how it handles messages.

A node combines membership, the other data centres, the settings relay, notes and
directives. It does no I/O: the caller runs ``tick`` about every ``TICK_MS``, sends what
it returns and reports each reply or timeout back::

    for pending in node.tick(now_ms):
        address = pending.contact.address
        reply = await client.call(address, HEARTBEAT, pending.message, 800)
        node.answered(pending, reply, now_ms)
    for fetch in node.fetches():
        pulled = await client.call(fetch.address, PULL, fetch.pull, 2_000)
        node.pulled(fetch, pulled, now_ms)
"""

import random
import typing

from cornelreach.fleet import (
    directives as directives_module,
    membership,
    notes as notes_module,
    peermessages,
    remotedatacentres,
)
from cornelreach.platform import results
from cornelreach.settings import relay as relay_module, state as state_module

TICK_MS = 200
HEARTBEAT_WAIT_MS = 800
PUSH_PEERS = 3
PUSH_LIMIT_BYTES = 3_000
FAILURES_TO_UNREACHABLE = 2
REMOTE_UPDATES = 3
WATCHER_CHOICE_MS = 500


class PendingHeartbeat(typing.NamedTuple):
    """A heartbeat to send; passed back to the node with the reply or on a timeout."""

    contact: peermessages.Contact
    message: peermessages.Heartbeat
    sent_ms: float


class Node:
    """The state of one instance as a member of the fleet."""

    def __init__(
        self,
        me: peermessages.Identity,
        state: state_module.State,
        rng: random.Random,
        now_ms: float,
    ) -> None:
        self.state = state
        self.membership = membership.Membership(me, rng, now_ms)
        self.remotes = remotedatacentres.RemoteDataCentres(me.data_centre, rng, now_ms)
        self.relay = relay_module.Relay(state)
        self.notes = notes_module.NoteTable()
        self.directives = directives_module.Directives(state)
        self.rng = rng
        self._platform_failures = 0
        self._platform_listed = False
        self._is_watcher = False
        self._watcher_choice_until_ms = now_ms
        self._fetches: list[relay_module.Fetch] = []
        self._pushed_directives: tuple[peermessages.Directive, ...] = ()
        self._pushed_revision = state.revision
        self._next_heartbeat_ms = now_ms

    @property
    def me(self) -> peermessages.Identity:
        """Return this instance's identity."""
        return self.membership.me.identity

    def events(self) -> tuple[membership.Event, ...]:
        """Return and clear the membership events since the last call."""
        return self.membership.events()

    # The platform.

    def set_listed(self, instances: tuple[results.Instance, ...]) -> None:
        """Store the platform's list of instances, which may lag behind."""
        self._platform_listed = True
        self.membership.set_listed(instances)
        self.remotes.set_listed(instances)

    def record_platform_result(self, reached: bool, now_ms: float) -> None:
        """Record whether this instance's last call reached the platform.

        After several failures in a row, other instances take over the watch.
        """
        self._platform_failures = 0 if reached else self._platform_failures + 1
        if reached:
            self.membership.set_platform_status(
                peermessages.PlatformStatus.REACHABLE, now_ms
            )
        elif self._platform_failures >= FAILURES_TO_UNREACHABLE:
            self.membership.set_platform_status(
                peermessages.PlatformStatus.UNREACHABLE, now_ms
            )

    def is_watcher(self, now_ms: float) -> bool:
        """Return whether this instance watches the platform for its peers.

        An instance that knows no peers yet does not watch, since it might list settings
        that its peers can send it.
        """
        members = self.membership
        if members.stale or not (self._platform_listed or members.has_peers()):
            return False
        if now_ms < self._watcher_choice_until_ms:
            return self._is_watcher
        self._watcher_choice_until_ms = now_ms + WATCHER_CHOICE_MS
        watchers = relay_module.choose_watchers(
            self.me.data_centre,
            members.expected_alive(),
            lambda name: members.watch_rank(name, now_ms),
        )
        self._is_watcher = self.me.name in watchers
        if (
            not self._is_watcher
            and members.me.platform == peermessages.PlatformStatus.REACHABLE
        ):
            members.set_platform_status(peermessages.PlatformStatus.UNKNOWN, now_ms)
        return self._is_watcher

    def platform_reached(self) -> bool:
        """Return whether an instance of this data centre reaches the platform."""
        return any(
            member.platform == peermessages.PlatformStatus.REACHABLE
            for member in self.membership.table.not_dead()
        )

    # Sending.

    def tick(self, now_ms: float) -> tuple[PendingHeartbeat, ...]:
        """Return the heartbeats that are due."""
        self.membership.tick(now_ms)
        pending: list[PendingHeartbeat] = []
        if now_ms >= self._next_heartbeat_ms:
            period_ms = membership.HEARTBEAT_MS * self.rng.uniform(0.9, 1.1)
            self._next_heartbeat_ms = max(now_ms, self._next_heartbeat_ms + period_ms)
            self.notes.remove_expired(now_ms)
            for contact in self.membership.recipients(now_ms):
                pending.append(self._heartbeat_to(contact, now_ms))
        directives = self.directives.directives_for_message()
        if (
            self.state.revision > self._pushed_revision
            or directives != self._pushed_directives
        ):
            pending.extend(self._pushes(now_ms))
        self._pushed_directives = directives
        remote = self.remotes.next_contact(len(self.membership.serving()), now_ms)
        if remote is not None:
            pending.append(self._heartbeat_to(remote, now_ms, remote=True))
        return tuple(pending)

    def _pushes(self, now_ms: float) -> list[PendingHeartbeat]:
        delta = self.state.delta(self._pushed_revision, limit_bytes=PUSH_LIMIT_BYTES)
        self._pushed_revision = self.state.revision
        return [
            self._heartbeat_to(contact, now_ms, delta=delta)
            for contact in self.membership.random_peers(PUSH_PEERS)
        ]

    def _heartbeat_to(
        self,
        contact: peermessages.Contact,
        now_ms: float,
        remote: bool = False,
        delta: state_module.Delta | None = None,
    ) -> PendingHeartbeat:
        return PendingHeartbeat(contact, self._message(remote, now_ms, delta), now_ms)

    def _message(
        self,
        remote: bool,
        now_ms: float,
        delta: state_module.Delta | None = None,
    ) -> peermessages.Heartbeat:
        members = self.membership
        table = members.table
        return peermessages.Heartbeat(
            member=members.me,
            revision=self.state.revision,
            digest=self.state.digest,
            full_requested=members.stale and not remote,
            member_updates=self._sample_members()
            if remote
            else table.message_updates(),
            reachability=() if remote else self.remotes.reachability(now_ms),
            notes=self.notes.message_notes(remote, now_ms),
            directives=self.directives.directives_for_message(),
            delta=delta,
        )

    def _sample_members(self) -> tuple[peermessages.Member, ...]:
        not_dead = self.membership.table.not_dead()
        return tuple(self.rng.sample(not_dead, min(REMOTE_UPDATES, len(not_dead))))

    # Receiving.

    def receive(
        self, message: peermessages.Heartbeat, now_ms: float
    ) -> peermessages.Heartbeat:
        """Process a peer's heartbeat and return the reply."""
        self.membership.tick(now_ms)
        self._process(message, now_ms)
        remote = message.sender.data_centre != self.me.data_centre
        reply = self._message(remote, now_ms)
        if remote:
            return reply
        table = self.membership.table
        held = table.members.get(message.sender.name)
        if message.full_requested:
            return reply._replace(member_updates=table.full_updates())
        if (
            held is not None
            and held != message.member
            and held not in reply.member_updates
        ):
            return reply._replace(member_updates=(held, *reply.member_updates))
        return reply

    def answered(
        self, pending: PendingHeartbeat, reply: peermessages.Heartbeat, now_ms: float
    ) -> None:
        """Process the reply to a heartbeat."""
        if reply.sender.data_centre == self.me.data_centre:
            self.membership.answered(reply, pending.sent_ms, now_ms)
        else:
            self.remotes.answered(reply.sender, now_ms)
        self._process(reply, now_ms)

    def unanswered(self, pending: PendingHeartbeat, now_ms: float) -> None:
        """Record that a heartbeat got no reply in time."""
        if pending.contact.data_centre == self.me.data_centre:
            self.membership.unanswered(pending.contact, pending.sent_ms, now_ms)
        elif pending.contact.name:
            self.remotes.unanswered(pending.contact)

    def _process(self, message: peermessages.Heartbeat, now_ms: float) -> None:
        sender = message.sender
        if sender.data_centre == self.me.data_centre:
            self.membership.receive(message, now_ms)
            self.remotes.merge_reachability(message.reachability, now_ms)
        else:
            for member in (message.member, *message.member_updates):
                if member.identity.data_centre != self.me.data_centre:
                    self.remotes.receive(member)
        self.notes.merge(message.notes, now_ms)
        self.directives.receive(message.directives)
        if message.delta is not None:
            self.state.apply(message.delta)
        fetch = self.relay.compare(
            sender.address, message.revision, message.digest, now_ms
        )
        if fetch is not None:
            self._fetches.append(fetch)

    # Replication of settings.

    def fetches(self) -> tuple[relay_module.Fetch, ...]:
        """Return and clear the pulls to send now."""
        found, self._fetches = tuple(self._fetches), []
        return found

    def pulled(
        self, fetch: relay_module.Fetch, reply: relay_module.Pulled, now_ms: float
    ) -> None:
        """Process the reply to a pull."""
        next_fetch = self.relay.pulled(fetch, reply, now_ms)
        if next_fetch is not None:
            self._fetches.append(next_fetch)
