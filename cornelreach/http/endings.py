"""Proof that a peer has ended its connection in an orderly way, from the kernel.

An end of file alone proves nothing: a socket that has received one reads as ended also
if a reset came behind it, and an end of file may come while the request is still being
written. A peer that has closed in an orderly way had received the whole request before,
and acknowledges this side's end without a reset::

    fault = endings.fault_at_end(transport)
    if not fault:
        transport.write_eof()  # some time later, since no reset is sent behind that
        state = endings.state_behind_end(transport)  # until it is not PENDING
"""

import asyncio
import enum
import fcntl
import socket
import ssl
import struct
import termios

RESET_TEXT = "the connection was reset behind its end"
TCP_CLOSE = 7  # the states of the kernel's <net/tcp_states.h>


class State(enum.Enum):
    """What followed the peer's end of file, once this side has ended too."""

    PENDING = enum.auto()
    ORDERLY = enum.auto()
    RESET = enum.auto()


def fault_at_end(transport: asyncio.Transport) -> str:
    """Return why an end of file does not end a response in order; empty if it does.

    Call it when the end of file has been received.
    """
    ssl_object = transport.get_extra_info("ssl_object")
    if ssl_object is not None and not _is_close_notified(ssl_object):
        return "the TLS connection ended without close_notify"
    if is_reset(transport):
        return RESET_TEXT
    sock = transport.get_extra_info("socket")
    try:
        if transport.get_write_buffer_size() or _unacknowledged_bytes(sock):
            return "the connection ended before the request was sent"
    except OSError as error:
        return f"the connection was closed: {error}"
    return ""


def is_reset(transport: asyncio.Transport) -> bool:
    """Return whether a reset came behind the end of file that was just received."""
    try:
        return _tcp_state(transport.get_extra_info("socket")) == TCP_CLOSE
    except OSError:
        return True


def state_behind_end(transport: asyncio.Transport) -> State:
    """Return whether the peer acknowledged this side's end, or reset the connection."""
    sock = transport.get_extra_info("socket")
    try:
        if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            return State.RESET
        return State.ORDERLY if _tcp_state(sock) == TCP_CLOSE else State.PENDING
    except OSError:
        return State.RESET


def _is_close_notified(ssl_object: ssl.SSLObject) -> bool:
    # All that was received has been read, so only close_notify can be read as an end.
    try:
        return ssl_object.read(1) == b""
    except ssl.SSLError:
        return False


def _tcp_state(sock: socket.socket) -> int:
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]


def _unacknowledged_bytes(sock: socket.socket) -> int:
    found = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    return struct.unpack("i", found)[0]
