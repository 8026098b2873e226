"""Result types of the platform's object API, and the interface that returns them.

Every call returns ``returns.result.Result``. A write has three possible outcomes:
Success, a failure that is known not to have taken effect, or ``OutcomeUnknown``::

    match await objects.put(key, value, if_version=7):
        case result.Success(version): ...
        case result.Failure(results.Conflict(version=current)): ...
        case result.Failure(results.OutcomeUnknown()): ...  # read back
"""

import typing

from returns import result


class Record(typing.NamedTuple):
    """One object; ``value`` is decoded JSON, or None if the object was deleted."""

    key: str
    version: int
    value: typing.Any


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
    """No object has this key."""

    key: str
    remedy: str = "check the key"

    @property
    def message(self) -> str:
        """Return what happened."""
        return f"object {self.key} does not exist"


class Unavailable(typing.NamedTuple):
    """The call was not carried out; it can be retried after ``retry_after_ms``."""

    message: str
    retry_after_ms: int = 1_000
    remedy: str = "retry the call later"


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
