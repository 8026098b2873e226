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

from cornelreach.http import endings, turns

# What is held of a response that is not read on, as a stream's caller reads slowly.
PAUSE_READING_BYTES = 65_536
# Of the system for each connection, as bytes that it has received and the process has
# not read count as memory of the process; the system's own bound is 32 MB.
RECEIVE_BYTES = 131_072
READ_BYTES = 131_072  # with less, the system takes 2 MB more of a body without end
KEEPALIVE_IDLE_S = 1
KEEPALIVE_PROBES = 2
# A server sends no reset any more once this side has ended as well. Without a pause, 12
# of 3,000 resets right behind the end of file were missed; with one of 1 ms, none.
END_WAIT_S = 0.001
END_CHECK_S = 0.001  # until the first further look; each pause is twice the last one
MAX_END_CHECK_S = 0.128  # the last pause; a reset that follows later is not seen


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
        with contextlib.suppress(OSError):  # closed by the server
            transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES
            )

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

    def eof_received(self) -> bool:
        """Return whether the transport stays open, until the end is known in order."""
        self._end_idle()
        self.unusable = True
        if self.idle:
            return False
        if fault := endings.fault_at_end(self.transport):
            self._fail(fault)
            return False
        if self.transport.get_extra_info("ssl_object") is not None:
            self._end()
            return False  # asyncio closes TLS connections by itself
        asyncio.get_running_loop().call_later(END_WAIT_S, self._end_own_side)
        return True

    def _end_own_side(self) -> None:
        if self.transport.is_closing():
            return
        if endings.is_reset(self.transport):
            self._fail(endings.RESET_TEXT)
            self.transport.close()
            return
        with contextlib.suppress(OSError):  # it was reset just now
            self.transport.write_eof()
        self._check_end(END_CHECK_S)

    def _check_end(self, pause_s: float) -> None:
        """End the response once the peer has acknowledged this side's end of file."""
        if self.transport.is_closing():
            return
        state = endings.state_behind_end(self.transport)
        if state is endings.State.PENDING and pause_s <= MAX_END_CHECK_S:
            loop = asyncio.get_running_loop()
            loop.call_later(pause_s, self._check_end, 2 * pause_s)
            return
        if state is endings.State.RESET:
            self._fail(endings.RESET_TEXT)
        else:
            self._end()
        self.transport.close()

    def _end(self) -> None:
        with contextlib.suppress(h11.RemoteProtocolError):
            self.h11.receive_data(b"")
        self._wake()

    def _fail(self, text: str) -> None:
        self._error = ConnectionResetError(text)
        self._wake()

    def _end_idle(self) -> None:
        """Tell that the server closed the connection before its idle time was over."""
        early = time.monotonic() * 1_000 < self.idle_until_ms
        if self.idle and not self.unusable and early and self.on_idle_closed:
            self.on_idle_closed()

    def connection_lost(self, error: Exception | None) -> None:
        self._end_idle()
        self.unusable = self.is_lost = True
        closed = ConnectionResetError("the connection was closed")
        self._error = error or self._error or closed
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
