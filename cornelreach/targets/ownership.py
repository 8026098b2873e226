"""Ownership of a pool: who may admit to its cold targets.

Each instance keeps one ``Ownership`` for each pool that it has a part in. The platform
holds a record of owner, successor and epoch, which changes by conditional write only::

    mine = ownership.Ownership("lj-north/reader", me)
    mine.observe_record(version, record, now_ms)       # from the platform
    beat = mine.heartbeat(now_ms, platform_reachable)  # owner to successor
    ack = mine.receive_heartbeat(beat, now_ms)         # at the successor
    mine.receive_ack(ack, now_ms)                      # at the owner
    attempt = mine.propose(live, now_ms)               # a platform write to make
    owner.stand(mine.standing(now_ms))

The owner has the right to admit to cold targets while the successor's last
acknowledgment is younger than ``LEASE_MS``, counted from when the heartbeat left. With
an acknowledgment the successor promises not to take over for as long. ``Vote`` says who
settles the end of a pair, so that never both can act: the platform, by the first
conditional write, or while the platform is away the successor alone. docs/DECISIONS.md
has the argument.
"""

import enum
import typing

from cornelreach.targets import admission, permits

LEASE_MS = 3_000
HEARTBEAT_MS = 1_000
SUCCESSOR_LOST_MS = 2 * LEASE_MS
MARGIN = 1 + permits.CLOCK_DRIFT_SHARE
PROMISE_MS = LEASE_MS * MARGIN
PERMITS_EXPIRE_MS = permits.PERMIT_MS * MARGIN
NEVER_MS = float("-inf")
UNREAD = -1


class Member(typing.NamedTuple):
    """An instance and its boot identity."""

    name: str
    boot: str


class Record(typing.NamedTuple):
    """Who owns a pool; a higher epoch replaces a lower one."""

    epoch: int
    owner: Member
    successor: Member | None = None


class Vote(enum.StrEnum):
    """Who settles which member of the pair goes on when one does not hear the other."""

    PLATFORM = "platform"
    SUCCESSOR = "successor"


class Heartbeat(typing.NamedTuple):
    """Owner to successor; ``sent_ms`` is the owner's clock and comes back."""

    pool: str
    record: Record
    sequence: int
    sent_ms: float
    vote: Vote


class Ack(typing.NamedTuple):
    """Successor to owner, with the promise not to take over for ``LEASE_MS``."""

    pool: str
    epoch: int
    sequence: int
    sent_ms: float
    successor: Member
    vote: Vote


class Stale(typing.NamedTuple):
    """The answer to a heartbeat of an epoch that has ended."""

    pool: str
    record: Record


class Resignation(typing.NamedTuple):
    """A member gives up its part in an epoch for good, in a planned stop."""

    pool: str
    epoch: int
    member: Member


class Attempt(typing.NamedTuple):
    """A conditional write to make: the pool's record, if the object has ``version``."""

    version: int
    record: Record


class Role(enum.StrEnum):
    """The part of this instance in a pool."""

    NONE = "none"
    SUCCESSOR = "successor"
    OWNER = "owner"


class Ownership:
    """This instance's part in one pool."""

    def __init__(self, pool: str, me: Member) -> None:
        self.pool = pool
        self.me = me
        self.role = Role.NONE
        self.record: Record | None = None
        self.vote = Vote.PLATFORM
        self.attempt: Attempt | None = None
        self._version = UNREAD
        self._recorded: Record | None = None
        self._dead: set[Member] = set()
        self._sequence = 0
        self._vote_given_sequence = 0
        self._lease_until_ms = NEVER_MS
        self._alone = False
        self._successor_heard_ms = NEVER_MS
        self._promised_until_ms = NEVER_MS
        self._exclusive_from_ms = float("inf")
        self._resigned = False
        self._unsure = False
        self._advanced_ms: float | None = None

    @property
    def version(self) -> int:
        """Return the version of the platform's object that was last taken in."""
        return self._version

    def standing(self, now_ms: float) -> admission.Standing:
        """Return the right to admit to cold targets at this moment."""
        epoch = self.record.epoch if self.record else 0
        right = (
            self.role is Role.OWNER
            and not self._resigned
            and now_ms >= self._exclusive_from_ms
            and (self._holds_alone() or now_ms < self._lease_until_ms)
        )
        return admission.Standing(epoch, right, self._exclusive_from_ms)

    def heartbeat(self, now_ms: float, platform_reachable: bool) -> Heartbeat | None:
        """Return the message for the successor, every ``HEARTBEAT_MS``.

        The owner gives its vote away before it tells the successor, and takes it back
        only when the successor has confirmed.
        """
        if self.role is not Role.OWNER or self._resigned or self.record is None:
            return None
        if self.record.successor is None or self.record.successor in self._dead:
            return None
        wanted = Vote.PLATFORM if platform_reachable else Vote.SUCCESSOR
        if self.attempt is not None:
            wanted = self.vote
        self._sequence += 1
        if wanted is Vote.SUCCESSOR:
            self.vote = Vote.SUCCESSOR
            self._vote_given_sequence = self._sequence
        return Heartbeat(self.pool, self.record, self._sequence, now_ms, wanted)

    def receive_heartbeat(self, beat: Heartbeat, now_ms: float) -> Ack | Stale | None:
        """Acknowledge the owner, or tell it that its epoch has ended."""
        known = self.record
        if known is not None and beat.record.epoch < known.epoch:
            return Stale(self.pool, known)
        if known is None or beat.record.epoch > known.epoch:
            self._follow(beat.record, now_ms)
        if self.role is not Role.SUCCESSOR or self.record != beat.record:
            return None
        if self.attempt is not None or self._resigned:
            return None
        if beat.sequence <= self._sequence:
            return None
        self._sequence = beat.sequence
        self.vote = beat.vote
        self._promised_until_ms = now_ms + PROMISE_MS
        return Ack(
            self.pool,
            beat.record.epoch,
            beat.sequence,
            beat.sent_ms,
            self.me,
            beat.vote,
        )

    def receive_ack(self, ack: Ack, now_ms: float) -> None:
        """Extend the lease by an acknowledgment of this epoch's successor."""
        if self.role is not Role.OWNER or self.record is None or self.attempt:
            return
        if ack.epoch != self.record.epoch or ack.successor != self.record.successor:
            return
        self._lease_until_ms = max(self._lease_until_ms, ack.sent_ms + LEASE_MS)
        self._successor_heard_ms = now_ms
        if ack.vote is Vote.PLATFORM and ack.sequence > self._vote_given_sequence:
            self.vote = Vote.PLATFORM

    def receive_stale(self, stale: Stale, now_ms: float) -> None:
        """Learn of a later epoch from a peer."""
        if self.record is None or stale.record.epoch > self.record.epoch:
            self._follow(stale.record, now_ms)

    def receive_resignation(self, resignation: Resignation, now_ms: float) -> None:
        """Go on alone after the other member's planned stop."""
        record = self.record
        if record is None or resignation.epoch != record.epoch:
            return
        if self.role is Role.OWNER and resignation.member == record.successor:
            self._alone = self._alone or self.attempt is None
        if self.role is Role.SUCCESSOR and resignation.member == record.owner:
            self._take_over_here(now_ms)

    def resign(self, now_ms: float) -> Resignation | None:
        """Give up this instance's part for good; None while a write is unsettled."""
        if self.role is Role.NONE or self.attempt is not None or self.record is None:
            return None
        self._resigned = True
        return Resignation(self.pool, self.record.epoch, self.me)

    def observe_death(self, member: Member, now_ms: float) -> None:
        """Take in proof that a member's boot has ended: the platform no longer lists
        the instance, or another boot answers under its name."""
        if self.record is None or member in self._dead:
            return
        self._dead.add(member)
        held = now_ms < self._lease_until_ms and self.attempt is None
        if self.role is Role.OWNER and member == self.record.successor and held:
            self._alone = True
        if self.role is Role.SUCCESSOR and member == self.record.owner:
            self._promised_until_ms = now_ms

    def observe_record(
        self, version: int, record: Record | None, now_ms: float
    ) -> None:
        """Take in the platform's record, at a version of the object that holds it."""
        if version <= self._version:
            return
        self._version = version
        self._recorded = record
        attempt, self.attempt = self.attempt, None
        if record is None:
            return
        if attempt is not None and record == attempt.record:
            self._adopt(record, now_ms)
        elif self.record is None or record.epoch > self.record.epoch:
            self._follow(record, now_ms)

    def lose_answer(self) -> None:
        """Take in that a write's answer was lost; the write may still be made."""
        self._unsure = True

    def refuse_attempt(self) -> None:
        """Take in that the platform has answered that the write was not made.

        This settles nothing after a lost answer, when an earlier try of the same write
        may have been made. A conflict settles nothing either: read the object.
        """
        if not self._unsure:
            self.attempt = None

    def advance(self, now_ms: float) -> None:
        """Let time act; to be called every ``HEARTBEAT_MS`` or sooner.

        After a pause a successor gives the owner a lease's time to be heard again.
        """
        before_ms, self._advanced_ms = self._advanced_ms, now_ms
        if self.role is not Role.SUCCESSOR:
            return
        if before_ms is not None and now_ms - before_ms > LEASE_MS:
            self._promised_until_ms = max(self._promised_until_ms, now_ms + PROMISE_MS)
        if self.vote is Vote.SUCCESSOR and self._may_take_over(now_ms):
            self._take_over_here(now_ms)

    def propose(self, live: typing.Sequence[Member], now_ms: float) -> Attempt | None:
        """Return the write that this instance should try, and keep it until settled.

        ``live`` are the instances of the data centre in rendezvous order of the pool.
        An unsettled attempt is returned again: it is settled by ``refuse_attempt`` or
        by a later version of the object.
        """
        if self.attempt is not None or self._resigned or self._version == UNREAD:
            return self.attempt
        record = self._wanted_record(live, now_ms)
        if record is not None:
            if self._holds_alone():
                self._lease_until_ms = now_ms + LEASE_MS
            self.attempt = Attempt(self._version, record)
            self._unsure = False
        return self.attempt

    def _wanted_record(
        self, live: typing.Sequence[Member], now_ms: float
    ) -> Record | None:
        others = [one for one in live if one != self.me and one not in self._dead]
        successor = others[0] if others else None
        if self.role is Role.OWNER:
            return self._wanted_by_owner(others, now_ms)
        if self.role is Role.SUCCESSOR:
            if self.vote is Vote.PLATFORM and self._may_take_over(now_ms):
                return self._next(1, successor)
            return None
        if live[:1] != [self.me]:
            return None
        if self.record is None:
            return Record(1, self.me, successor)
        gone = {self.record.owner, self.record.successor} - {None}
        return self._next(2, successor) if gone <= self._dead else None

    def _wanted_by_owner(
        self, others: typing.Sequence[Member], now_ms: float
    ) -> Record | None:
        record = self.record
        fresh = [one for one in others if one != record.successor]
        successor = fresh[0] if fresh else None
        if self._recorded is None or self._recorded.epoch < record.epoch:
            return self._next(1, successor)
        if self._alone:
            return self._next(1, successor) if successor else None
        gone = record.successor in self._dead
        if self.vote is Vote.PLATFORM:
            # With nobody else left, the record without a successor lets it go on alone.
            lost = now_ms - self._successor_heard_ms > SUCCESSOR_LOST_MS
            return self._next(1, successor) if lost or gone else None
        return self._next(2, successor) if gone and successor else None

    def _next(self, step: int, successor: Member | None) -> Record:
        """Return the record that replaces this one; a step of 2 passes over an epoch
        that a successor may have begun without a write."""
        return Record(self.record.epoch + step, self.me, successor)

    def _may_take_over(self, now_ms: float) -> bool:
        return (
            not self._resigned
            and self.attempt is None
            and now_ms >= self._promised_until_ms
        )

    def _holds_alone(self) -> bool:
        return self._alone and self.attempt is None

    def _take_over_here(self, now_ms: float) -> None:
        """Begin an epoch without a write; only this member can go on from here."""
        self.record = Record(self.record.epoch + 1, self.me)
        self._begin_tenure(now_ms + PERMITS_EXPIRE_MS)
        self._alone = True

    def _adopt(self, record: Record, now_ms: float) -> None:
        """Act on this instance's own write, now that it is known to have been made."""
        before, self.record = self.record, record
        if self.role is Role.OWNER and record.epoch - before.epoch <= 1:
            self._begin_pair(now_ms)
        elif before is None or self.role is Role.NONE:
            self._begin_tenure(now_ms + PROMISE_MS + PERMITS_EXPIRE_MS)
        else:
            self._begin_tenure(now_ms + PERMITS_EXPIRE_MS)

    def _begin_tenure(self, exclusive_from_ms: float) -> None:
        self.role = Role.OWNER
        self._exclusive_from_ms = exclusive_from_ms
        self._lease_until_ms = NEVER_MS
        self._begin_pair(exclusive_from_ms)

    def _begin_pair(self, heard_ms: float) -> None:
        self.vote = Vote.PLATFORM
        self._sequence = 0
        self._vote_given_sequence = 0
        self._alone = self.record.successor is None
        self._successor_heard_ms = heard_ms

    def _follow(self, record: Record, now_ms: float) -> None:
        """Take the part that another instance's record gives to this one."""
        if self.attempt is not None and record == self.attempt.record:
            return
        self.record = record
        self._lease_until_ms = NEVER_MS
        if record.owner == self.me:
            self._begin_tenure(now_ms + PROMISE_MS + PERMITS_EXPIRE_MS)
            return
        self.role = Role.SUCCESSOR if record.successor == self.me else Role.NONE
        self._promised_until_ms = now_ms + PROMISE_MS
        self._begin_pair(now_ms)
