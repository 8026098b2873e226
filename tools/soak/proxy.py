"""A loopback proxy of one TCP address, with faults on its links."""

import asyncio
import enum

READ_BYTES = 65_536


class Link(enum.StrEnum):
    """How the proxy treats bytes."""

    GOOD = "good"
    RESET = "reset"  # connections are reset, new ones too
    SILENT = "silent"  # bytes of both ways are kept back
    DEAF = "deaf"  # what the server answers is kept back
    SLOW = "slow"


SLOW_S = 0.15
HELD_TICK_S = 0.02


class Proxy:
    """Forwards connections to an address and back."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.link = Link.GOOD
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str) -> None:
        """Listen on a free port of a host."""
        self._server = await asyncio.start_server(self._accept, host, 0)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"

    def set(self, link: Link) -> None:
        """Change the link; a reset ends what is open."""
        self.link = link
        if link is Link.RESET:
            for writer in self._writers:
                writer.transport.abort()

    def close(self) -> None:
        """Stop listening and end what is open."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._forward(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass  # the server is down, or the proxy ends
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.link is Link.RESET:
            return
        host, _, port = self.target.rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        self._writers.add(far_writer)
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, back=False),
                self._pump(far_reader, writer, back=True),
                return_exceptions=True,
            )
        finally:
            self._writers.discard(far_writer)
            far_writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        back: bool,
    ) -> None:
        while data := await reader.read(READ_BYTES):
            await self._hold(back)
            writer.write(data)
            await writer.drain()
        writer.close()

    async def _hold(self, back: bool) -> None:
        if self.link is Link.SLOW:
            await asyncio.sleep(SLOW_S)
        while self.link is Link.SILENT or (self.link is Link.DEAF and back):
            await asyncio.sleep(HELD_TICK_S)
