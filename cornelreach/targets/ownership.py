"""Ownership of a pool: which instance may admit to its cold targets.

Each instance keeps one ``Ownership`` for each pool of its data centre. The platform
holds a record of owner, successor and epoch, changed only by conditional writes::

    state = ownership.Ownership("lj-north/reader", me)
    state.observe_record(version, record, now_ms)       # from the platform
    heartbeat = state.heartbeat(now_ms, reachable)      # owner to successor
    ack = state.receive_heartbeat(heartbeat, now_ms)    # at the successor
    state.receive_ack(ack, now_ms)                      # at the owner
    attempt = state.propose(live, now_ms)               # a platform write to make
    right = state.admission_right(now_ms)               # for the PoolOwner

The owner holds the right to admit to cold targets for ``LEASE_MS`` after it sent the
last heartbeat that the successor acknowledged. By acknowledging, the successor promises
not to take over for as long. The ``Arbiter`` decides which of the two continues when
they lose contact, so that never both do: the platform, by accepting the first
conditional write, or, while the platform is unreachable, the successor alone.
docs/DECISIONS.md has the reasoning.
"""

import enum
import typing

from cornelreach.targets import admission, permits

LEASE_MS = 3_000
HEARTBEAT_MS = 1_000
SUCCESSOR_LOST_MS = 2 * LEASE_MS
DRIFT_FACTOR = 1 + permits.CLOCK_DRIFT_SHARE
PROMISE_MS = LEASE_MS * DRIFT_FACTOR
PERMITS_EXPIRE_MS = permits.PERMIT_MS * DRIFT_FACTOR
NEVER_MS = float("-inf")
UNREAD = -1


class Member(typing.NamedTuple):
    """An instance and its boot ID."""

    name: str
    boot: str


class Record(typing.NamedTuple):
    """The owner and successor of a pool; a higher epoch replaces a lower one."""

    epoch: int
    owner: Member
    successor: Member | None = None


class Arbiter(enum.StrEnum):
    """The side that decides who continues when owner and successor lose contact."""

    PLATFORM = "platform"
    SUCCESSOR = "successor"


class Heartbeat(typing.NamedTuple):
    """Owner to successor; the reply returns ``sent_ms``, which is the owner's clock."""

    pool: str
    record: Record
    sequence: int
    sent_ms: float
    arbiter: Arbiter


class Ack(typing.NamedTuple):
    """Successor to owner, with the promise not to take over for ``LEASE_MS``."""

    pool: str
    epoch: int
    sequence: int
    sent_ms: float
    successor: Member
    arbiter: Arbiter


class StaleEpoch(typing.NamedTuple):
    """The reply to a heartbeat of an epoch that has ended."""

    pool: str
    record: Record


class Resignation(typing.NamedTuple):
    """A member permanently gives up its role in an epoch, during a planned stop."""

    pool: str
    epoch: int
    member: Member


class Attempt(typing.NamedTuple):
    """A write of the pool's record, conditional on the object's ``version``."""

    version: int
    record: Record


class Role(enum.StrEnum):
    """The role of this instance in a pool."""

    NONE = "none"
    SUCCESSOR = "successor"
    OWNER = "owner"


class Ownership:
    """This instance's role and lease in one pool."""

    def __init__(self, pool: str, me: Member) -> None:
        self.pool = pool
        self.me = me
        self.role = Role.NONE
        self.record: Record | None = None
        self.arbiter = Arbiter.PLATFORM
        self.attempt: Attempt | None = None
        self._version = UNREAD
        self._recorded: Record | None = None
        self._dead: set[Member] = set()
        self._sequence = 0
        self._arbiter_changed_sequence = 0
        self._lease_until_ms = NEVER_MS
        self._sole_member = False
        self._successor_heard_ms = NEVER_MS
        self._promised_until_ms = NEVER_MS
        self._exclusive_from_ms = float("inf")
        self._resigned = False
        self._outcome_unknown = False
        self._advanced_ms: float | None = None

    @property
    def version(self) -> int:
        """Return the last observed version of the platform's object."""
        return self._version

    def admission_right(self, now_ms: float) -> admission.AdmissionRight:
        """Return the right to admit to cold targets as of ``now_ms``."""
        epoch = self.record.epoch if self.record else 0
        right = (
            self.role is Role.OWNER
            and not self._resigned
            and now_ms >= self._exclusive_from_ms
            and (self._has_sole_right() or now_ms < self._lease_until_ms)
        )
        return admission.AdmissionRight(epoch, right, self._exclusive_from_ms)

    def heartbeat(self, now_ms: float, platform_reachable: bool) -> Heartbeat | None:
        """Return the heartbeat for the successor, to be sent every ``HEARTBEAT_MS``.

        The owner makes the successor the arbiter before it tells the successor, and
        the platform only after the successor has confirmed.
        """
        if self.role is not Role.OWNER or self._resigned or self.record is None:
            return None
        if self.record.successor is None or self.record.successor in self._dead:
            return None
        wanted = Arbiter.PLATFORM if platform_reachable else Arbiter.SUCCESSOR
        if self.attempt is not None:
            wanted = self.arbiter
        self._sequence += 1
        if wanted is Arbiter.SUCCESSOR:
            self.arbiter = Arbiter.SUCCESSOR
            self._arbiter_changed_sequence = self._sequence
        return Heartbeat(self.pool, self.record, self._sequence, now_ms, wanted)

    def receive_heartbeat(
        self, heartbeat: Heartbeat, now_ms: float
    ) -> Ack | StaleEpoch | None:
        """Return an acknowledgment, or the current record if the epoch has ended."""
        known = self.record
        if known is not None and heartbeat.record.epoch < known.epoch:
            return StaleEpoch(self.pool, known)
        if known is None or heartbeat.record.epoch > known.epoch:
            self._follow_record(heartbeat.record, now_ms)
        if self.role is not Role.SUCCESSOR or self.record != heartbeat.record:
            return None
        if self.attempt is not None or self._resigned:
            return None
        if heartbeat.sequence <= self._sequence:
            return None
        self._sequence = heartbeat.sequence
        self.arbiter = heartbeat.arbiter
        self._promised_until_ms = now_ms + PROMISE_MS
        return Ack(
            self.pool,
            heartbeat.record.epoch,
            heartbeat.sequence,
            heartbeat.sent_ms,
            self.me,
            heartbeat.arbiter,
        )

    def receive_ack(self, ack: Ack, now_ms: float) -> None:
        """Extend the lease, if the acknowledgment is from this epoch's successor."""
        if self.role is not Role.OWNER or self.record is None or self.attempt:
            return
        if ack.epoch != self.record.epoch or ack.successor != self.record.successor:
            return
        self._lease_until_ms = max(self._lease_until_ms, ack.sent_ms + LEASE_MS)
        self._successor_heard_ms = now_ms
        if (
            ack.arbiter is Arbiter.PLATFORM
            and ack.sequence > self._arbiter_changed_sequence
        ):
            self.arbiter = Arbiter.PLATFORM

    def receive_stale(self, stale: StaleEpoch, now_ms: float) -> None:
        """Process a later epoch that a peer reports."""
        if self.record is None or stale.record.epoch > self.record.epoch:
            self._follow_record(stale.record, now_ms)

    def receive_resignation(self, resignation: Resignation, now_ms: float) -> None:
        """Continue alone after the other member's planned stop."""
        record = self.record
        if record is None or resignation.epoch != record.epoch:
            return
        if self.role is Role.OWNER and resignation.member == record.successor:
            self._sole_member = self._sole_member or self.attempt is None
        if self.role is Role.SUCCESSOR and resignation.member == record.owner:
            self._take_over_without_write(now_ms)

    def resign(self, now_ms: float) -> Resignation | None:
        """Permanently give up this instance's role.

        Returns None if it has none, or while the outcome of a write is open.
        """
        if self.role is Role.NONE or self.attempt is not None or self.record is None:
            return None
        self._resigned = True
        return Resignation(self.pool, self.record.epoch, self.me)

    def observe_death(self, member: Member, now_ms: float) -> None:
        """Process proof that a member's boot has ended.

        The platform no longer lists the instance, or another boot replies under its
        name.
        """
        if self.record is None or member in self._dead:
            return
        self._dead.add(member)
        leased = now_ms < self._lease_until_ms and self.attempt is None
        if self.role is Role.OWNER and member == self.record.successor and leased:
            self._sole_member = True
        if self.role is Role.SUCCESSOR and member == self.record.owner:
            self._promised_until_ms = now_ms

    def observe_record(
        self, version: int, record: Record | None, now_ms: float
    ) -> None:
        """Process the platform's record, read at ``version`` of its object."""
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
            self._follow_record(record, now_ms)

    def mark_outcome_unknown(self) -> None:
        """Record that a write's reply was lost; the write may still take effect."""
        self._outcome_unknown = True

    def reject_attempt(self) -> None:
        """Record that the platform reported that the write was not made.

        The attempt stays open after a lost reply, as an earlier try of the same write
        may have taken effect. It also stays open after a conflict: read the object.
        """
        if not self._outcome_unknown:
            self.attempt = None

    def advance(self, now_ms: float) -> None:
        """Process the passage of time; call at least every ``HEARTBEAT_MS``.

        After a pause of this instance, a successor waits for one more lease, so that
        the owner's heartbeats can arrive again.
        """
        before_ms, self._advanced_ms = self._advanced_ms, now_ms
        if self.role is not Role.SUCCESSOR:
            return
        if before_ms is not None and now_ms - before_ms > LEASE_MS:
            self._promised_until_ms = max(self._promised_until_ms, now_ms + PROMISE_MS)
        if self.arbiter is Arbiter.SUCCESSOR and self._may_take_over(now_ms):
            self._take_over_without_write(now_ms)

    def propose(self, live: typing.Sequence[Member], now_ms: float) -> Attempt | None:
        """Return the write that this instance should try, and store it as the attempt.

        ``live`` are the instances of the data centre in rendezvous order of the pool.
        An open attempt is returned again until it ends by ``reject_attempt`` or by a
        later version of the object.
        """
        if self.attempt is not None or self._resigned or self._version == UNREAD:
            return self.attempt
        record = self._record_to_write(live, now_ms)
        if record is not None:
            if self._has_sole_right():
                self._lease_until_ms = now_ms + LEASE_MS
            self.attempt = Attempt(self._version, record)
            self._outcome_unknown = False
        return self.attempt

    def _record_to_write(
        self, live: typing.Sequence[Member], now_ms: float
    ) -> Record | None:
        others = [one for one in live if one != self.me and one not in self._dead]
        successor = others[0] if others else None
        if self.role is Role.OWNER:
            return self._wanted_by_owner(others, now_ms)
        if self.role is Role.SUCCESSOR:
            if self.arbiter is Arbiter.PLATFORM and self._may_take_over(now_ms):
                return self._next_record(1, successor)
            return None
        if live[:1] != [self.me]:
            return None
        if self.record is None:
            return Record(1, self.me, successor)
        gone = {self.record.owner, self.record.successor} - {None}
        return self._next_record(2, successor) if gone <= self._dead else None

    def _wanted_by_owner(
        self, others: typing.Sequence[Member], now_ms: float
    ) -> Record | None:
        record = self.record
        candidates = [one for one in others if one != record.successor]
        successor = candidates[0] if candidates else None
        if self._recorded is None or self._recorded.epoch < record.epoch:
            return self._next_record(1, successor)
        if self._sole_member:
            return self._next_record(1, successor) if successor else None
        gone = record.successor in self._dead
        if self.arbiter is Arbiter.PLATFORM:
            # If no other instance is left, a record without a successor allows the
            # owner to continue alone.
            lost = now_ms - self._successor_heard_ms > SUCCESSOR_LOST_MS
            return self._next_record(1, successor) if lost or gone else None
        return self._next_record(2, successor) if gone and successor else None

    def _next_record(self, step: int, successor: Member | None) -> Record:
        """Return a record of this instance that replaces the current one.

        A step of 2 skips an epoch that a successor may have begun without a write.
        """
        return Record(self.record.epoch + step, self.me, successor)

    def _may_take_over(self, now_ms: float) -> bool:
        return (
            not self._resigned
            and self.attempt is None
            and now_ms >= self._promised_until_ms
        )

    def _has_sole_right(self) -> bool:
        return self._sole_member and self.attempt is None

    def _take_over_without_write(self, now_ms: float) -> None:
        """Begin an epoch without a write, as only this member can continue."""
        self.record = Record(self.record.epoch + 1, self.me)
        self._become_owner(now_ms + PERMITS_EXPIRE_MS)
        self._sole_member = True

    def _adopt(self, record: Record, now_ms: float) -> None:
        """Apply this instance's own write, now known to have taken effect."""
        before, self.record = self.record, record
        if self.role is Role.OWNER and record.epoch - before.epoch <= 1:
            self._reset_pair(now_ms)
        elif before is None or self.role is Role.NONE:
            self._become_owner(now_ms + PROMISE_MS + PERMITS_EXPIRE_MS)
        else:
            self._become_owner(now_ms + PERMITS_EXPIRE_MS)

    def _become_owner(self, exclusive_from_ms: float) -> None:
        self.role = Role.OWNER
        self._exclusive_from_ms = exclusive_from_ms
        self._lease_until_ms = NEVER_MS
        self._reset_pair(exclusive_from_ms)

    def _reset_pair(self, heard_ms: float) -> None:
        self.arbiter = Arbiter.PLATFORM
        self._sequence = 0
        self._arbiter_changed_sequence = 0
        self._sole_member = self.record.successor is None
        self._successor_heard_ms = heard_ms

    def _follow_record(self, record: Record, now_ms: float) -> None:
        """Take the role that another instance's record assigns to this one."""
        if self.attempt is not None and record == self.attempt.record:
            return
        self.record = record
        self._lease_until_ms = NEVER_MS
        if record.owner == self.me:
            self._become_owner(now_ms + PROMISE_MS + PERMITS_EXPIRE_MS)
            return
        self.role = Role.SUCCESSOR if record.successor == self.me else Role.NONE
        self._promised_until_ms = now_ms + PROMISE_MS
        self._reset_pair(now_ms)
