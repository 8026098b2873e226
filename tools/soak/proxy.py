"""A loopback TCP proxy that injects link faults."""

import asyncio
import contextlib
import enum
import socket
import typing

from cornelreach.http import sockets
from tools.soak import processsockets

READ_BYTES = 65_536


class Link(enum.StrEnum):
    """The link fault that the proxy applies."""

    GOOD = "good"
    RESET = "reset"  # open and new connections are reset
    SILENT = "silent"  # bytes are held back in both directions
    DEAF = "deaf"  # bytes from the server are held back
    SLOW = "slow"
    REFUSED = "refused"  # new connections are refused, open ones live on
    HUNG = "hung"  # new connections are not answered, open ones fall silent


SLOW_S = 0.15
HOLD_POLL_S = 0.02
QUEUED = 2  # connections that fill the queue of a listener without backlog
CLOSED_LINKS = (Link.REFUSED, Link.HUNG)
SILENT_LINKS = (Link.SILENT, Link.HUNG)


# Whether a connection from a source to a destination is to be reset.
IsCut = typing.Callable[[processsockets.SocketName, processsockets.SocketName], bool]


class Proxy:
    """Forwards connections to a target address."""

    def __init__(
        self,
        target: str,
        is_cut: IsCut = lambda source, destination: False,
    ) -> None:
        self.target = target
        self.is_cut = is_cut
        self.link = Link.GOOD
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._full: list[socket.socket] = []  # a listener with a full queue

    async def start(self, host: str) -> None:
        """Listen on a free port of the host."""
        self._server = await asyncio.start_server(self._accept, host, 0)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"

    def set_link(self, link: Link) -> None:
        """Set the link fault; a reset aborts open connections."""
        before, self.link = self.link, link
        if link in CLOSED_LINKS:
            self._server.close()
            self._empty_queue()
        if link is Link.HUNG:
            self._fill_queue()
        elif before in CLOSED_LINKS and link not in CLOSED_LINKS:
            self._empty_queue()
            listener = socket.create_server(self._host_and_port())
            asyncio.ensure_future(self._listen(listener))
        if link is Link.RESET:
            for writer in self._writers:
                sockets.reset(writer.transport)

    def reset_cut(self) -> None:
        """Reset the open connections of the callers that are cut off."""
        for writer in list(self._writers):
            if self._is_from_cut(writer):
                sockets.reset(writer.transport)

    def _is_from_cut(self, writer: asyncio.StreamWriter) -> bool:
        source = writer.get_extra_info("peername")
        destination = writer.get_extra_info("sockname")
        return bool(source and destination) and self.is_cut(source, destination)

    def _host_and_port(self) -> tuple[str, int]:
        host, _, port = self.address.rpartition(":")
        return host, int(port)

    async def _listen(self, listener: socket.socket) -> None:
        self._server = await asyncio.start_server(self._accept, sock=listener)

    def _fill_queue(self) -> None:
        """Listen without ever accepting, so that the kernel drops new connections."""
        self._full = [socket.create_server(self._host_and_port(), backlog=0)]
        for _ in range(QUEUED):
            queued = socket.socket()
            queued.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                queued.connect(self._host_and_port())
            self._full.append(queued)

    def _empty_queue(self) -> None:
        for one in self._full:
            one.close()
        self._full = []

    def close(self) -> None:
        """Stop listening and abort open connections."""
        self._server.close()
        self._empty_queue()
        for writer in self._writers:
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._is_from_cut(writer):
            sockets.reset(writer.transport)
            return
        self._writers.add(writer)
        try:
            await self._forward(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass  # the server is down, or the proxy is closing
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.link is Link.RESET:
            return
        host, _, port = self.target.rpartition(":")
        server_reader, server_writer = await asyncio.open_connection(host, int(port))
        self._writers.add(server_writer)
        try:
            await asyncio.gather(
                self._pump(reader, server_writer, from_server=False),
                self._pump(server_reader, writer, from_server=True),
            )
        except ConnectionResetError:
            sockets.reset(writer.transport)
            sockets.reset(server_writer.transport)
        finally:
            self._writers.discard(server_writer)
            server_writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        from_server: bool,
    ) -> None:
        while data := await reader.read(READ_BYTES):
            await self._delay(from_server)
            writer.write(data)
            await writer.drain()
        writer.close()

    async def _delay(self, from_server: bool) -> None:
        if self.link is Link.SLOW:
            await asyncio.sleep(SLOW_S)
        while self.link in SILENT_LINKS or (self.link is Link.DEAF and from_server):
            await asyncio.sleep(HOLD_POLL_S)
