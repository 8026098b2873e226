"""Result types of the platform's object API, and the interface that returns them.

Versions and revisions contain the era of the store, see ``make_version``. Every call
returns ``returns.result.Result``. A write has three possible outcomes:
Success, a failure that is known not to have taken effect, or ``OutcomeUnknown``::

    match await objects.put(key, value, if_version=7):
        case result.Success(version): ...
        case result.Failure(results.Conflict(version=current)): ...
        case result.Failure(results.OutcomeUnknown()): ...  # read back
"""

import typing

from returns import result

REVISION_BITS = 40


def make_version(era: int, revision: int) -> int:
    """Return one number for a revision of the store and the era it was given out in.

    When the store comes back from a copy, its revisions go back and are given out
    again, in a new era. Versions of a later era are greater than all of an earlier one,
    so they can be compared like plain revisions::

        make_version(2, 7) > make_version(1, 900)
    """
    return era << REVISION_BITS | revision


def era_of(version: int) -> int:
    """Return the era in which a version was given out."""
    return version >> REVISION_BITS


def revision_of(version: int) -> int:
    """Return the store's own revision of a version."""
    return version & ((1 << REVISION_BITS) - 1)


class Record(typing.NamedTuple):
    """One object; ``value`` is decoded JSON, or None if the object was deleted.

    ``created`` is the time of its creation as the store names it, and ``status`` what
    was written about it beside its value; both are None if there is none.
    """

    key: str
    version: int
    value: typing.Any
    created: typing.Any = None
    status: typing.Any = None


class Unreadable(typing.NamedTuple):
    """Stands in place of a value that cannot be decoded."""

    error: str


class Listing(typing.NamedTuple):
    """All objects under a prefix, complete as of ``revision``."""

    revision: int
    records: tuple[Record, ...]


class Changes(typing.NamedTuple):
    """Changes after a revision, up to and including ``revision``."""

    revision: int
    records: tuple[Record, ...]


class Instance(typing.NamedTuple):
    """An entry of the platform's list of instances, which may lag.

    ``state`` is ``live`` or ``leaving``. ``power`` is the share of processors that the
    instance may use.
    """

    name: str
    data_centre: str
    peer_address: str
    state: str = "live"
    power: float = 1.0


class Conflict(typing.NamedTuple):
    """A conditional write found another version; 0 means no object."""

    key: str
    version: int
    remedy: str = "read the object again before another write"

    @property
    def message(self) -> str:
        """Return what happened."""
        return f"object {self.key} is at version {self.version}"


class NotFound(typing.NamedTuple):
    """No object has this key, in an era of the store."""

    key: str
    remedy: str = "check the key"
    era: int = 0

    @property
    def message(self) -> str:
        """Return what happened."""
        return f"object {self.key} does not exist"


class Unavailable(typing.NamedTuple):
    """The call was not carried out; it can be retried after ``retry_after_ms``.

    ``silent`` is set if the platform did not even close the connection.
    """

    message: str
    retry_after_ms: int = 1_000
    remedy: str = "retry the call later"
    silent: bool = False


class OutcomeUnknown(typing.NamedTuple):
    """A write was sent but its response was lost; it may yet take effect."""

    key: str
    message: str
    remedy: str = "read the object to see whether the write took effect"


class Compacted(typing.NamedTuple):
    """The platform no longer keeps the changes since that revision."""

    since: int
    remedy: str = "list the prefix again"

    @property
    def message(self) -> str:
        """Return what happened."""
        return f"changes since revision {self.since} have been compacted"


class Rejected(typing.NamedTuple):
    """The platform rejects the call as invalid, for example a value above 1 MB."""

    message: str
    remedy: str = "send a smaller or well-formed value"


ReadError = NotFound | Unavailable | Rejected
WriteError = Conflict | NotFound | Unavailable | OutcomeUnknown | Rejected
WatchError = Compacted | Unavailable | Rejected


class ObjectStore(typing.Protocol):
    """Interface of the object API; tests pass an in-memory fake."""

    async def get(self, key: str) -> result.Result[Record, ReadError]:
        """Return one object."""

    async def put(
        self,
        key: str,
        value: typing.Any,
        if_version: int | None = None,
        if_absent: bool = False,
    ) -> result.Result[int, WriteError]:
        """Write one object conditionally and return its new version."""

    async def put_status(
        self, key: str, status: typing.Any, if_version: int
    ) -> result.Result[int, WriteError]:
        """Write the status of one object at a version; return its new version."""

    async def delete(self, key: str, if_version: int) -> result.Result[int, WriteError]:
        """Delete one object at a version and return the revision of the deletion."""

    async def list(
        self, prefix: str, after: str = ""
    ) -> result.Result[Listing, ReadError]:
        """Return the objects under a prefix, or those after a key."""

    async def watch(
        self, prefix: str, since: int, wait_ms: int, margin_ms: int = 1_000
    ) -> result.Result[Changes, WatchError]:
        """Return the changes after a revision; none if ``wait_ms`` passes first."""

    async def instances(self) -> result.Result[tuple[Instance, ...], ReadError]:
        """Return the list of instances, which may lag."""
