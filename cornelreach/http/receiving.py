"""Bounded reading of an accepted connection, and its listening socket.

What a client sends ahead is received up to a bound only, in the process and in the
system, so the end of a connection may go unnoticed behind it; ``has_left`` asks the
system. While the body of a request arrives, more is read at a time, and the system may
be let receive more as well::

    reader.read_more()
    widen(transport)  # if there is memory for WIDE_RECEIVE_BYTES
    ...
    reader.read_less()
"""

import asyncio
import contextlib
import os
import select
import socket
import ssl
import typing

READ_BYTES = 8_192  # at a time; as much is kept while a request is served
BODY_READ_BYTES = 65_536  # the same while a body arrives
# Of the system, for each connection; with no less than what a client sends at first,
# it costs no round trip.
RECEIVE_BYTES = 16_384
# The same for a long body: as much as a connection can announce whose first window was
# below 64 KB.
WIDE_RECEIVE_BYTES = 65_536
# The system counts the buffers of packets, so it takes up to this share of data.
RECEIVE_OVERHEAD = 1.5
# Of the system, beyond what is on its way: more is of no use to a client that reads,
# and one that doesn't gets no answers to thousands of requests worked out.
UNSENT_BYTES = 131_072
BACKLOG = 1_024  # connections that wait to be accepted
# In a pass of the event loop, so that no descriptor is missing before the connections
# beyond the limit are closed.
ACCEPTS_PER_PASS = 16
_LEFT = select.POLLRDHUP | select.POLLHUP | select.POLLERR

Accept = typing.Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], typing.Awaitable[None]
]


class Reader(asyncio.StreamReader):
    """A stream that tells of what has arrived and of its end.

    It is paused while more than ``READ_BYTES`` wait in it, or ``BODY_READ_BYTES`` while
    a body arrives.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(limit=READ_BYTES // 2, loop=loop)
        self.on_data: typing.Callable[[], None] | None = None
        self.on_end: typing.Callable[[], object] | None = None
        self.has_ended = False

    @property
    def waiting_bytes(self) -> int:
        """Return the number of bytes that have arrived and were not read."""
        return len(self._buffer)

    def set_transport(self, transport: asyncio.Transport) -> None:
        """Take over the transport, and bound what it and the system hold."""
        super().set_transport(transport)
        self.read_less()
        sock = transport.get_extra_info("socket")
        with contextlib.suppress(OSError):  # closed by the client
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_BYTES)

    def read_more(self) -> None:
        """Read and keep more at a time, as a body arrives."""
        self._read_at_most(BODY_READ_BYTES)
        self._maybe_resume_transport()

    def read_less(self) -> None:
        """Read and keep what the head of a request needs."""
        self._read_at_most(READ_BYTES)

    def _read_at_most(self, size_bytes: int) -> None:
        self._limit = size_bytes // 2  # a stream pauses above twice its limit
        if hasattr(self._transport, "max_size"):  # not with TLS
            self._transport.max_size = size_bytes

    def feed_data(self, data: bytes) -> None:
        """Keep what has arrived."""
        super().feed_data(data)
        if self.on_data is not None:
            self.on_data()

    def feed_eof(self) -> None:
        """Note that the client sends no more, or that the connection was closed."""
        super().feed_eof()
        self.end()

    def set_exception(self, error: BaseException) -> None:
        """Note that the connection was lost."""
        super().set_exception(error)
        self.end()

    def discard(self) -> None:
        """Drop what has arrived, as nobody reads it any more."""
        self.on_data = None
        self._buffer.clear()

    def end(self) -> None:
        """Tell that the client has left."""
        self.has_ended = True
        if self.on_end is not None:
            self.on_end()


def has_left(transport: asyncio.Transport) -> bool:
    """Return whether a client has closed its connection, also behind unread bytes."""
    descriptor = transport.get_extra_info("socket").fileno()
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, _LEFT)
    return bool(poll.poll(0))


def widen(transport: asyncio.Transport) -> None:
    """Let the system receive ``WIDE_RECEIVE_BYTES`` on a connection."""
    _set_receive_buffer(
        transport.get_extra_info("socket"), WIDE_RECEIVE_BYTES, WIDE_RECEIVE_BYTES - 1
    )


def _set_receive_buffer(
    sock: socket.socket, size_bytes: int, window_bytes: int | None = None
) -> None:
    with contextlib.suppress(OSError):  # closed by the client, or not known here
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size_bytes)
        if window_bytes is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_WINDOW_CLAMP, window_bytes)


async def listen(
    accept: Accept,
    host: str,
    port: int,
    tls: ssl.SSLContext | None,
    max_waiting: int = BACKLOG,
) -> asyncio.Server:
    """Start a listening socket on an address.

    Its connections inherit its receive buffer, also while they wait to be accepted,
    which ``max_waiting`` of them may do.
    """
    loop = asyncio.get_running_loop()

    def make_protocol() -> asyncio.StreamReaderProtocol:
        return asyncio.StreamReaderProtocol(Reader(loop), accept, loop=loop)

    listener = await loop.create_server(
        make_protocol, host, port, ssl=tls, backlog=ACCEPTS_PER_PASS
    )
    for one in listener.sockets:
        _set_receive_buffer(one, RECEIVE_BYTES)
        # asyncio accepts as many connections at a time as the system may keep; the
        # system's number is raised afterwards.
        with socket.socket(fileno=os.dup(one.fileno())) as same:
            same.listen(max_waiting)
    return listener
