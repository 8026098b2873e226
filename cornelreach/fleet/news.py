"""Messages between instances: who is there, and what they hold.

All are NamedTuples, which msgspec encodes as arrays. A request and its reply are both
a ``Heartbeat``.
"""

import enum
import typing

from cornelreach.settings import state as state_module


class Status(enum.IntEnum):
    """What is thought of an instance; a higher value wins at equal incarnation."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


class Platform(enum.IntEnum):
    """What an instance knows of the platform; only watchers find out."""

    UNKNOWN = 0
    REACHED = 1
    AWAY = 2


class Identity(typing.NamedTuple):
    """An instance of one boot; of two boots the one with the later start counts."""

    name: str
    boot: str
    started_ms: int
    data_centre: str
    address: str


class Member(typing.NamedTuple):
    """What is known of an instance; it alone raises its ``incarnation``."""

    identity: Identity
    incarnation: int = 0
    status: Status = Status.ALIVE
    platform: Platform = Platform.UNKNOWN

    @property
    def precedence(self) -> tuple[int, str, int, int]:
        """Return the order of two statements on one name; the higher one holds."""
        identity = self.identity
        return identity.started_ms, identity.boot, self.incarnation, self.status


class Reach(typing.NamedTuple):
    """How long ago someone of the sender's data centre got an answer from another."""

    data_centre: str
    age_ms: int


class Summary(typing.NamedTuple):
    """A published note, such as the load of a pool; the highest stamp holds.

    ``stamp`` is (epoch of the publisher, its sequence).
    """

    topic: str
    stamp: tuple[int, int]
    body: bytes
    age_ms: int = 0


class Directive(typing.NamedTuple):
    """A state that an operator gave to an instance directly.

    ``subject`` is the key of a settings item, ``base`` the version of the item that it
    was decided on. ``replaces`` names the directives known at that moment.
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
    """One message between two instances, and its reply.

    ``full`` asks for all that the receiver knows of its data centre. ``delta`` carries
    a fresh change of the settings.
    """

    member: Member
    revision: int = 0
    digest: int = 0
    full: bool = False
    news: tuple[Member, ...] = ()
    reaches: tuple[Reach, ...] = ()
    summaries: tuple[Summary, ...] = ()
    directives: tuple[Directive, ...] = ()
    delta: state_module.Delta | None = None

    @property
    def sender(self) -> Identity:
        """Return who sent the message."""
        return self.member.identity


class Contact(typing.NamedTuple):
    """An address to send to; ``name`` is empty for a configured seed."""

    name: str
    address: str
    data_centre: str = ""
