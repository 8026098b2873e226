"""Crowds of clients that send requests ahead and read no response.

A crowd is bounded in connections and in bytes, and sends one kind of request::

    found = crowd.Crowd(edge.host, crowd.KINDS[0])
    await found.run(for_s=4.0)
"""

import asyncio
import contextlib
import socket
import typing

from cornelreach.platform import headers
from tools.soak import callers, edges

CONNECTIONS = 80
CONNECTION_BYTES = 2_500_000
BLOCK_BYTES = 16_384
SOCKET_BYTES = 16_384  # of the system, so that unread responses soon reach the process
PAUSE_S = 0.005  # callers, engines and crowds share a loop


class Kind(typing.NamedTuple):
    """What each client of a crowd sends again and again, and to which port."""

    name: str
    port: int
    request: bytes


def _request(first: str, *fields: str, body: bytes = b"") -> bytes:
    return "\r\n".join((first, *fields, "", "")).encode() + body


_HOST = f"Host: {callers.HOST}"
_KEY = f"{headers.API_KEY.decode()}: key-0"
_IDENTIFIER = f"{headers.REQUEST_ID.decode()}: crowd"
KINDS = (
    Kind("no-route", edges.CALLER_PORT, _request("GET /none HTTP/1.1", "Host: x")),
    Kind(
        "readiness",
        edges.READY_PORT,
        _request("GET /api/ready HTTP/1.1", "Host: x"),
    ),
    Kind("no-headers", edges.CALLER_PORT, _request("GET /read/a HTTP/1.1", _HOST)),
    Kind(
        "chunked",
        edges.CALLER_PORT,
        _request(
            "POST /none HTTP/1.1",
            _HOST,
            "Transfer-Encoding: chunked",
            body=b"0\r\n\r\n",
        ),
    ),
    Kind(
        "kept",
        edges.CALLER_PORT,
        _request("GET /none HTTP/1.0", "Connection: keep-alive"),
    ),
)


class Crowd:
    """The clients that send one kind of request to one instance."""

    def __init__(self, host: str, kind: Kind) -> None:
        self.address = (host, kind.port)
        self.block = kind.request * (BLOCK_BYTES // len(kind.request))
        self.sent_bytes = 0

    async def run(self, for_s: float) -> None:
        """Send, and keep the connections open; close them when the time is over."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(for_s):
                await asyncio.gather(*(self._send() for _ in range(CONNECTIONS)))

    async def _send(self) -> None:
        loop = asyncio.get_running_loop()
        client = socket.socket()
        try:
            for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                client.setsockopt(socket.SOL_SOCKET, option, SOCKET_BYTES)
            client.setblocking(False)
            with contextlib.suppress(OSError):  # closed by the instance, as it may
                await loop.sock_connect(client, self.address)
                for _ in range(CONNECTION_BYTES // len(self.block)):
                    await loop.sock_sendall(client, self.block)
                    self.sent_bytes += len(self.block)
                    await asyncio.sleep(PAUSE_S)
            await asyncio.Event().wait()  # the connection stays open
        finally:
            client.close()
