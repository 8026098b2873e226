"""One connection of the HTTP client, with its h11 state.

It is an asyncio protocol: the client takes h11 events from it, and learns by its
callbacks that it was lost, or closed by the server while it was kept for reuse::

    _, connection = await loop.create_connection(ClientConnection, host, port)
    event = await connection.event()
"""

import asyncio
import contextlib
import socket
import time
import typing

import h11

from cornelreach.http import turns

# What is held of a response that is not read on, as a stream's caller reads slowly.
PAUSE_READING_BYTES = 65_536
READ_BYTES = 131_072  # with less, the system takes 2 MB more of a body without end
KEEPALIVE_IDLE_S = 1
KEEPALIVE_PROBES = 2


class ClientConnection(asyncio.Protocol):
    """One connection; ``idle`` while it is kept for reuse.

    ``number`` is its place among those that the client has opened, from 1.
    ``unsettled`` are the identifiers of requests that were written to it and may be
    sent again.
    ``on_idle_closed`` is called if the server closes it before its idle time is over.
    """

    def __init__(self) -> None:
        self.h11 = h11.Connection(h11.CLIENT)
        self.transport: asyncio.Transport | None = None
        self.idle = False
        self.unusable = False
        self.is_lost = False
        self.idle_until_ms = 0.0
        self.number = 0
        self.unsettled: set[str] = set()
        self.on_connection_lost: typing.Callable[[], None] | None = None
        self.on_idle_closed: typing.Callable[[], None] | None = None
        self._error: Exception | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._unread_bytes = 0
        self._paused = False
        self._pieces = turns.Pieces()

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        if hasattr(transport, "max_size"):  # not with TLS
            transport.max_size = READ_BYTES

    def data_received(self, data: bytes) -> None:
        if self.idle:
            self.abort()
            return
        self.h11.receive_data(data)
        self._unread_bytes += len(data)
        if self._unread_bytes > PAUSE_READING_BYTES and not self._paused:
            self._paused = True
            self.transport.pause_reading()
        self._wake()

    def eof_received(self) -> None:
        self._end_idle()
        self.unusable = True
        if not self.idle:
            with contextlib.suppress(h11.RemoteProtocolError):
                self.h11.receive_data(b"")
        self._wake()

    def _end_idle(self) -> None:
        """Tell that the server closed the connection before its idle time was over."""
        early = time.monotonic() * 1_000 < self.idle_until_ms
        if self.idle and not self.unusable and early and self.on_idle_closed:
            self.on_idle_closed()

    def connection_lost(self, error: Exception | None) -> None:
        self._end_idle()
        self.unusable = self.is_lost = True
        self._error = error or ConnectionResetError("the connection was closed")
        self._wake()
        if self.on_connection_lost is not None:
            self.on_connection_lost()

    def abort(self) -> None:
        """Close the connection immediately."""
        self.unusable = True
        self.transport.abort()

    def set_ack_timeout(self, ack_timeout_ms: int) -> None:
        """Let the kernel close the connection if sent data is not acknowledged in time.

        Raises OSError if it is being closed.
        """
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, ack_timeout_ms)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)

    async def event(self) -> object:
        """Return the next h11 event; raises OSError if the connection is lost."""
        await self._pieces.next()
        while (event := self.h11.next_event()) is h11.NEED_DATA:
            self._pieces.wait_for_data()
            self._unread_bytes = 0
            if self._paused:
                self._paused = False
                self.transport.resume_reading()
            if self._error is not None:
                raise self._error
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return event

    async def take_turn(self, length: int) -> None:
        """Count a piece of what was read; waits for a turn if there were many."""
        await self._pieces.next(length)

    def expect_another_response(self, method: str) -> None:
        """Parse the bytes after a stray response as a response to the same request."""
        remaining_data = self.h11.trailing_data[0]
        self.h11 = h11.Connection(h11.CLIENT)
        head = h11.Request(method=method, target="/", headers=[("host", "-")])
        self.h11.send(head)
        self.h11.send(h11.EndOfMessage())
        if remaining_data:
            self.h11.receive_data(remaining_data)

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def abort_opened(opening: asyncio.Future[tuple[typing.Any, ClientConnection]]) -> None:
    """Close a connection that nobody waits for any more."""
    if not opening.cancelled() and opening.exception() is None:
        opening.result()[1].abort()
