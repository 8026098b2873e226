"""Account of what connections make a process hold, over all of its ports.

What a connection costs by itself, in the process and in the system, is bounded by the
number of connections that are accepted. Beyond that, a connection reports what it
holds: bytes that were received and are not served yet, the body of its request,
responses that its client has not read, and what more the system may receive. Above the
bound of the account the connections of clients that do not read are closed, the one
that holds most first; above a lower mark no long body is begun::

    account = Account()
    account.configure(memory_mb=300, max_fds=2_048)
    account.update(connection)
    if not account.has_room():
        ...  # reject a request whose body is long
"""

import asyncio
import enum
import typing

from cornelreach.http import receiving
from cornelreach.util import events

MB = 1_048_576
DEFAULT_MB = 640.0  # where the settings name no memory
MEMORY_SHARE = 0.2  # of the memory of the machine
PROCESS_MB = 40.0  # of a process without connections
MIN_REST_SHARE = 0.25  # of the memory, if the process leaves less than that
CONNECTIONS_SHARE = 0.35  # of the rest, for what each connection costs by itself
WAITING_SHARE = 0.1  # of the rest, for connections that wait to be accepted at a port
CONNECTION_BYTES = 16_384  # of the process: transport, reader, parser, tasks
ROOM_SHARE = 0.75  # of the bound; above it, no long body is begun
TARGET_SHARE = 0.9  # of the bound, so that not every arrival closes a connection
COUNTED_BYTES = 4_096  # less than the state of a connection that holds nothing
# Of the system, which counts as memory of the process.
WAITING_BYTES = int(receiving.RECEIVE_BYTES * receiving.RECEIVE_OVERHEAD)
ACCEPTED_BYTES = CONNECTION_BYTES + WAITING_BYTES
FILE_DESCRIPTORS = 200  # of max_fds, for files
ACCEPTED_SHARE = 2 / 3  # of the other ones; the rest is for engines, store and peers
MIN_ACCEPTED = 16
CHECK_S = 0.5
STALLED_S = 1.0  # without a byte of a response that was taken
LOG_PERIOD_S = 1.0

CLOSED = events.define(
    1020,
    "WARNING",
    "Closed the connection of {peer} at port {port}, which held {held_bytes} bytes, by "
    "{bound}; {total_bytes} bytes are held, {others} more closed since the last line.",
    "If the peer is a known client: let it read its responses; else block it.",
)
NOT_ACCEPTED = events.define(
    1021,
    "WARNING",
    "Closed a new connection of {peer} at port {port}, by {bound}; "
    "{connections} are open, {others} more closed since the last line.",
    "Compare max_fds, memory_mb and the number of clients; look for clients that keep "
    "connections open.",
)
NO_ROOM = events.define(
    1022,
    "WARNING",
    "Rejected a body of {peer} at port {port}, by {bound}; {total_bytes} bytes are "
    "held, {others} more rejected since the last line.",
    "Compare memory_mb with the size and the number of requests under way.",
)


class Bound(enum.StrEnum):
    """The bounds by which connections are closed, by the names of their settings."""

    MEMORY = "memory_mb"
    DESCRIPTORS = "max_fds"
    WRITE_WAIT = "write_wait_ms"
    CONNECTIONS = "connections"


class Rank(enum.IntEnum):
    """Which connections are closed first."""

    STALLED = 0  # its client has read nothing for a while
    IDLE = 1  # no request, and nothing of the next one
    AHEAD = 2  # responses that are not read, or requests beyond the one in progress
    RECEIVING = 3  # a request that is arriving
    SERVING = 4  # a request in progress


class Holder(typing.Protocol):
    """A connection, as the account sees it."""

    peer: str
    port: int

    def held_bytes(self) -> int:
        """Return the number of bytes held."""

    def unread_bytes(self) -> int:
        """Return how many of them are responses that the client has not read."""

    def rank(self) -> Rank:
        """Return its rank, apart from ``STALLED``."""

    def has_sent_ahead(self) -> bool:
        """Return whether requests wait behind the one in progress."""

    def close_by(self, bound: Bound) -> None:
        """Close the connection at once."""

    def check_client(self) -> None:
        """End the request in progress if the client has left unnoticed."""

    def end_if_idle(self) -> None:
        """Close the connection, now or after its request, once nothing more arrives."""


class Entry:
    """What the account knows of one connection."""

    __slots__ = ("held_bytes", "since_s", "unread_bytes")

    def __init__(self, now_s: float) -> None:
        self.held_bytes = self.unread_bytes = 0
        self.since_s = now_s  # when the client last took a byte

    def observe(self, holder: Holder, now_s: float) -> int:
        """Take over what a connection holds now; returns the difference."""
        unread_bytes = holder.unread_bytes()
        if not unread_bytes or unread_bytes < self.unread_bytes:
            self.since_s = now_s
        self.unread_bytes = unread_bytes
        before_bytes, self.held_bytes = self.held_bytes, holder.held_bytes()
        return self.held_bytes - before_bytes

    def rank(self, holder: Holder, now_s: float) -> Rank:
        """Return the rank of a connection."""
        if self.unread_bytes and now_s - self.since_s >= STALLED_S:
            return Rank.STALLED
        return holder.rank()


class Account:
    """What all connections of a process hold, and how many there are."""

    def __init__(self) -> None:
        self.configure(0, 0)
        self.total_bytes = 0
        self.connections = 0
        # Returns how many connections this process has opened itself.
        self.opened: typing.Callable[[], int] = lambda: 0
        # Returns how much is held of responses that engines are sending.
        self.received: typing.Callable[[], int] = lambda: 0
        # Called with the port and the bound by which a connection was closed.
        self.on_closed: typing.Callable[[int, str], None] = lambda port, bound: None
        self._entries: dict[Holder, Entry] = {}
        self._idle: dict[Holder, None] = {}  # the one that is idle longest comes first
        self._replaceable: dict[Holder, None] = {}  # the last one first
        self._check: asyncio.TimerHandle | None = None
        self._logged_s: dict[int, float] = {}
        self._others: dict[int, int] = {}

    def configure(self, memory_mb: float, max_fds: int) -> None:
        """Set the bounds by the settings of the machine.

        Without ``memory_mb`` (0) the default counts, without ``max_fds`` there is no
        bound on descriptors. ``max_waiting`` holds for ports that are opened later.
        """
        memory_bytes = (memory_mb or DEFAULT_MB) * MB
        rest_bytes = max(memory_bytes - PROCESS_MB * MB, memory_bytes * MIN_REST_SHARE)
        self.max_bytes = int(memory_bytes * MEMORY_SHARE)
        self.max_connections = max(
            MIN_ACCEPTED, int(rest_bytes * CONNECTIONS_SHARE / ACCEPTED_BYTES)
        )
        waiting = int(rest_bytes * WAITING_SHARE / WAITING_BYTES)
        self.max_waiting = min(max(MIN_ACCEPTED, waiting), receiving.BACKLOG)
        self.max_descriptors: int | None = (
            max_fds - FILE_DESCRIPTORS if max_fds else None
        )

    def update(self, holder: Holder) -> None:
        """Take over what a connection holds; closes others, or it, above the bound."""
        entry = self._entries.get(holder)
        if entry is None:
            if holder.held_bytes() < COUNTED_BYTES:
                return
            entry = self._entries[holder] = Entry(_now_s())
            self._schedule_check()
        self._observe(holder, entry)
        if self.total_bytes > self._left_bytes():
            self._close_some()

    def counts(self, holder: Holder) -> bool:
        """Return whether a connection holds enough to be counted."""
        return holder in self._entries

    def set_idle(self, holder: Holder, is_idle: bool) -> None:
        """Note whether a connection waits for the first bytes of a request."""
        if is_idle:
            self._idle[holder] = None
        else:
            self._idle.pop(holder, None)

    def remove(self, holder: Holder) -> None:
        """Forget what a connection holds."""
        self._replaceable.pop(holder, None)
        entry = self._entries.pop(holder, None)
        if entry is not None:
            self.total_bytes -= entry.held_bytes

    def has_room(self) -> bool:
        """Return whether a long body may be begun."""
        return self.total_bytes <= self._left_bytes() * ROOM_SHARE

    def has_room_without_idle(self) -> bool:
        """Return whether a long body may be begun, if idle connections make room.

        The system may go on to receive more on a connection that has carried one.
        """
        for holder in list(self._idle):
            if self.has_room():
                break
            if holder in self._entries:
                self._end_idle(holder, Bound.MEMORY)
        return self.has_room()

    def may_accept(self) -> bool:
        """Return whether another connection may be accepted."""
        return self.lacking() is None

    def lacking(self) -> Bound | None:
        """Return by which bound no other connection is accepted, or None."""
        if self.connections >= self.max_connections:
            return Bound.MEMORY
        return None if self._has_descriptor() else Bound.DESCRIPTORS

    def _has_descriptor(self) -> bool:
        if self.max_descriptors is None:
            return True
        accepted = max(MIN_ACCEPTED, int(self.max_descriptors * ACCEPTED_SHARE))
        if self.connections >= accepted:
            return False
        is_plenty = self.connections + accepted <= self.max_descriptors
        return is_plenty or self.connections + self.opened() < self.max_descriptors

    def make_room(
        self,
        among: typing.Container[Holder] | None,
        bound: Bound,
        may_end_idle: bool = True,
    ) -> bool:
        """Close a connection for a new one; returns whether there is one to close.

        It is one whose client reads nothing or sends requests ahead, or else, with
        ``may_end_idle``, the one that is idle longest; ``among`` are the ones that it
        is chosen from, None stands for all.
        """
        holder = self._next_replaceable(among)
        if holder is not None:
            self.close(holder, bound)
            return True
        for holder in self._idle if may_end_idle else ():
            if among is None or holder in among:
                self._end_idle(holder, bound)
                return True
        return False

    def _next_replaceable(
        self, among: typing.Container[Holder] | None
    ) -> Holder | None:
        """Return a connection that a new one may replace, or None.

        All are looked for at a time: a crowd that connects again needs one after the
        other.
        """
        for is_found_anew in (False, True):
            if is_found_anew:
                self._replaceable = self._find_replaceable(among)
            while self._replaceable:
                holder, _ = self._replaceable.popitem()
                is_among = among is None or holder in among
                if is_among and self._is_replaceable(holder, _now_s()):
                    return holder
        return None

    def _find_replaceable(
        self, among: typing.Container[Holder] | None
    ) -> dict[Holder, None]:
        now_s = _now_s()
        found = [
            holder
            for holder in self._entries
            if (among is None or holder in among)
            and self._is_replaceable(holder, now_s)
        ]
        found.sort(key=lambda one: self._closing_order(one, now_s), reverse=True)
        return dict.fromkeys(found)

    def _is_replaceable(self, holder: Holder, now_s: float) -> bool:
        entry = self._entries[holder]
        return holder.has_sent_ahead() or entry.rank(holder, now_s) is Rank.STALLED

    def _closing_order(self, holder: Holder, now_s: float) -> tuple[Rank, int]:
        entry = self._entries[holder]
        return entry.rank(holder, now_s), -entry.held_bytes

    def _end_idle(self, holder: Holder, bound: Bound) -> None:
        self.set_idle(holder, False)
        self.remove(holder)
        holder.end_if_idle()
        self.report(CLOSED, holder, bound, held_bytes=0)

    def close(self, holder: Holder, bound: Bound) -> None:
        """Close a connection by a bound, and say so."""
        held_bytes = holder.held_bytes()
        self.remove(holder)
        holder.close_by(bound)
        self.report(CLOSED, holder, bound, held_bytes=held_bytes)

    def report(
        self, event: events.Event, holder: Holder, bound: Bound, **fields: object
    ) -> None:
        """Count what was closed or rejected by a bound, and log some of it."""
        self.on_closed(holder.port, bound)
        now_s = _now_s()
        if now_s - self._logged_s.get(event.number, -LOG_PERIOD_S) < LOG_PERIOD_S:
            self._others[event.number] = self._others.get(event.number, 0) + 1
            return
        self._logged_s[event.number] = now_s
        events.emit(
            event,
            peer=holder.peer,
            port=holder.port,
            bound=bound.value,
            total_bytes=self.total_bytes,
            connections=self.connections,
            others=self._others.pop(event.number, 0),
            **fields,
        )

    def _left_bytes(self) -> float:
        """Return how much of the bound is left for connections."""
        return self.max_bytes - min(self.received(), self.max_bytes / 2)

    def _observe(self, holder: Holder, entry: Entry) -> None:
        self.total_bytes += entry.observe(holder, _now_s())
        if entry.held_bytes < COUNTED_BYTES:
            self.remove(holder)

    def _observe_all(self) -> None:
        for holder, entry in list(self._entries.items()):
            self._observe(holder, entry)

    def _close_some(self) -> None:
        # Responses are read without a report, so what is held may be less by now.
        self._observe_all()
        left_bytes = self._left_bytes()
        if self.total_bytes <= left_bytes:
            return
        now_s = _now_s()
        in_order = sorted(
            self._entries, key=lambda one: self._closing_order(one, now_s)
        )
        for holder in in_order:
            if self.total_bytes <= left_bytes * TARGET_SHARE:
                return
            self.close(holder, Bound.MEMORY)

    def _schedule_check(self) -> None:
        if self._check is None:
            loop = asyncio.get_running_loop()
            self._check = loop.call_later(CHECK_S, self._check_all)

    def _check_all(self) -> None:
        self._check = None
        for holder in list(self._entries):
            holder.check_client()
        self._observe_all()
        if self._entries:
            self._schedule_check()


def _now_s() -> float:
    return asyncio.get_running_loop().time()
