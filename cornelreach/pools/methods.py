"""Methods and messages between the edge and the owner of a pool."""

import typing

from cornelreach.peers import wire
from cornelreach.pools import notices
from cornelreach.targets import permits
from cornelreach.util import errors


class Asked(typing.NamedTuple):
    """An owner's answer: exactly one field is set.

    ``other_owner`` names the instance that owns the pool in the asked one's view.
    """

    permit: permits.Permit | None = None
    queued: permits.Queued | None = None
    refusal: errors.Refusal | None = None
    other_owner: str | None = None


class PoolRelease(typing.NamedTuple):
    """A release and the pool that it belongs to."""

    pool: str
    release: permits.Release


class Releases(typing.NamedTuple):
    """A batch of releases for one owner."""

    items: list[PoolRelease]


ASK = wire.Method("Ask", permits.PermitRequest, Asked)
RELEASE = wire.Method("Release", Releases, notices.Nothing)
RESUMED = wire.Method("Resumed", notices.Resumed, notices.Nothing)
