"""RPC methods and messages between a sending instance and the owner of a pool."""

import typing

from cornelreach.peers import wire
from cornelreach.pools import notices
from cornelreach.targets import permits
from cornelreach.util import errors


class PermitReply(typing.NamedTuple):
    """The reply to a permit request; exactly one field is set.

    ``other_owner`` names the instance that owns the pool according to the receiver.
    """

    permit: permits.Permit | None = None
    queued: permits.Queued | None = None
    refusal: errors.Refusal | None = None
    other_owner: str | None = None


class PoolRelease(typing.NamedTuple):
    """A release and its pool."""

    pool: str
    release: permits.Release


class Releases(typing.NamedTuple):
    """A batch of releases for one owner."""

    items: list[PoolRelease]


ASK = wire.Method("Ask", permits.PermitRequest, PermitReply)
RELEASE = wire.Method("Release", Releases, notices.Empty)
RESUMED = wire.Method("Resumed", notices.Resumed, notices.Empty)
