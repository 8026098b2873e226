"""Messages between instances: heartbeats and their parts.

All are NamedTuples, which msgspec encodes as arrays. A request and its reply are both
a ``Heartbeat``.
"""

import enum
import typing

from cornelreach.settings import state as state_module


class Status(enum.IntEnum):
    """Status of an instance; the higher value wins at equal incarnations."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


class PlatformStatus(enum.IntEnum):
    """Whether an instance reaches the platform; only watchers try to."""

    UNKNOWN = 0
    REACHABLE = 1
    UNREACHABLE = 2


class Identity(typing.NamedTuple):
    """One boot of an instance; of two boots, the one started later takes precedence."""

    name: str
    boot: str
    started_ms: int
    data_centre: str
    address: str


class Member(typing.NamedTuple):
    """What is known of an instance; only the instance raises its ``incarnation``."""

    identity: Identity
    incarnation: int = 0
    status: Status = Status.ALIVE
    platform: PlatformStatus = PlatformStatus.UNKNOWN

    @property
    def precedence(self) -> tuple[int, str, int, int]:
        """Return the sort key of members of one name; the highest one is valid."""
        identity = self.identity
        return identity.started_ms, identity.boot, self.incarnation, self.status


class Reachability(typing.NamedTuple):
    """How long ago the sender's data centre last got a reply from another one."""

    data_centre: str
    age_ms: int


class Note(typing.NamedTuple):
    """A published note, such as the load of a pool; the highest stamp is valid.

    ``stamp`` is the publisher's epoch and sequence number.
    """

    topic: str
    stamp: tuple[int, int]
    body: bytes
    age_ms: int = 0


class Directive(typing.NamedTuple):
    """A state that an operator set directly on an instance.

    ``subject`` is the key of a settings item and ``base`` the version of that item when
    the directive was issued. ``replaces`` has the IDs of the directives on the subject
    that were known then.
    """

    ident: str
    subject: str
    state: str
    reason: str
    operator: str
    given_wall_ms: int
    base: int = 0
    replaces: tuple[str, ...] = ()


class Heartbeat(typing.NamedTuple):
    """A message between two instances, and the reply to it.

    ``full_requested`` asks for all members that the receiver knows in its data centre.
    ``delta`` has the latest changes of the settings.
    """

    member: Member
    revision: int = 0
    digest: int = 0
    full_requested: bool = False
    member_updates: tuple[Member, ...] = ()
    reachability: tuple[Reachability, ...] = ()
    notes: tuple[Note, ...] = ()
    directives: tuple[Directive, ...] = ()
    delta: state_module.Delta | None = None

    @property
    def sender(self) -> Identity:
        """Return the identity of the sender."""
        return self.member.identity


class Contact(typing.NamedTuple):
    """An address to send to; ``name`` is empty for a configured seed address."""

    name: str
    address: str
    data_centre: str = ""
