"""Stand-in servers that answer before an upload has ended, and end in several ways."""

import asyncio
import contextlib
import enum
import re
import socket

from cornelreach.http import sockets

LATE_S = 0.15
OPEN_S = 0.3  # in which a server that reads no further keeps its connection open
SMALL_BYTES, LARGE_BYTES = 100, 900_000
# More than the kernel holds for a server that reads nothing.
HUGE_BYTES = 16_777_216
SMALL_BUFFER_BYTES = 4_096


class End(enum.StrEnum):
    """What a server does behind its answer."""

    RESET = "it resets its connection"
    LATE_RESET = "it resets its connection 150 ms later"
    END_AND_RESET = "it ends its side, and resets at once"
    LATE_END_AND_RESET = "it ends its side 150 ms later, and resets at once"
    END_UNREAD = "it ends its side, while the request is still being written"
    CLOSE = "it reads the whole request and closes"
    HALF_CLOSE = "it reads the whole request, ends its side and waits"


BROKEN = (End.RESET, End.LATE_RESET, End.END_AND_RESET, End.LATE_END_AND_RESET)
ORDERLY = (End.CLOSE, End.HALF_CLOSE)


class Server:
    """Reads the head of each request, writes an answer and ends the connection.

    ``answer`` gets the head of a request and returns the bytes of the answer.
    """

    def __init__(self, name, end, answer):
        self.name = name
        self.end = end
        self.answer = answer
        self.heads = []
        self.server = socket.create_server(("127.0.0.1", 0))
        self.server.setblocking(False)
        self.port = self.server.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self._tasks = {asyncio.ensure_future(self._accept())}

    def shrink_buffers(self):
        """Let the kernel take fewer bytes of an upload before they are read."""
        self.server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)

    def close(self):
        """Stop listening and end all connections."""
        for task in self._tasks:
            task.cancel()
        self.server.close()

    async def _accept(self):
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self.server)
            self._tasks.add(asyncio.ensure_future(self._serve(connection)))

    async def _serve(self, connection):
        with contextlib.suppress(OSError):
            try:
                await self._answer_one(connection)
            finally:
                connection.close()

    async def _answer_one(self, connection):
        loop = asyncio.get_running_loop()
        head = b""
        while not head.endswith(b"\r\n\r\n"):
            byte = await loop.sock_recv(connection, 1)
            if not byte:
                return
            head += byte
        self.heads.append(head)
        if self.end in ORDERLY:
            found = re.search(rb"(?i)content-length: (\d+)", head)
            left = int(found[1]) if found else 0
            while left:
                left -= len(await loop.sock_recv(connection, left))
        await loop.sock_sendall(connection, self.answer(head))
        await self._end(connection)

    async def _end(self, connection):
        if self.end in (End.LATE_RESET, End.LATE_END_AND_RESET):
            await asyncio.sleep(LATE_S)
        if self.end not in (End.RESET, End.LATE_RESET, End.CLOSE):
            connection.shutdown(socket.SHUT_WR)
        if self.end in (End.HALF_CLOSE, End.END_UNREAD):
            await asyncio.sleep(OPEN_S)
        if self.end in BROKEN:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, sockets.NO_LINGER
            )
