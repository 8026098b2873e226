"""Options of the sockets of connections."""

import asyncio
import contextlib
import socket
import struct

NO_LINGER = struct.pack("ii", 1, 0)  # on, for no time


def reset(transport: asyncio.BaseTransport) -> None:
    """Reset a connection: its peer gets an error where a close looks like an end."""
    sock = transport.get_extra_info("socket")
    with contextlib.suppress(OSError):  # closed by the peer
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    transport.abort()
