"""The sockets of a process, and which of them is at the far end of a connection.

The kernel is asked for one connection by its addresses, since its table of them lists
those of all processes::

    inode = inode_of(("127.0.0.1", 40112), ("127.0.0.5", 7601))  # source, destination
    is_ours = inode in inodes_of(os.getpid())
"""

import contextlib
import functools
import os
import pathlib
import re
import socket
import struct

SOCKET = re.compile(r"socket:\[(\d+)\]")
TABLE = pathlib.Path("/proc/net/tcp")

# Of linux/netlink.h, linux/sock_diag.h and linux/inet_diag.h.
SOCK_DIAG_PROTOCOL, SOCK_DIAG_BY_FAMILY = 4, 20
NLM_F_REQUEST = 1
ANY_STATE, NO_COOKIE = 0xFFFFFFFF, 0xFFFFFFFF
HEADER = struct.Struct("=IHHII")
QUERY = struct.Struct("=BBBBI")
INODE = struct.Struct("=I")
INODE_OFFSET = 84  # in an answer
ANSWER_BYTES = 4_096
INODE_COLUMN = 9  # of a line of the table, counted from the colon

# Host and port, as a socket names them.
SocketName = tuple[str, int]


def inodes_of(pid: int) -> set[int]:
    """Return the inodes of a process's sockets; none if it has ended."""
    inodes = set()
    with contextlib.suppress(OSError):
        for entry in os.scandir(f"/proc/{pid}/fd"):
            with contextlib.suppress(OSError):
                if found := SOCKET.match(os.readlink(entry.path)):
                    inodes.add(int(found[1]))
    return inodes


def inode_of(source: SocketName, destination: SocketName) -> int:
    """Return the inode of a connection's socket at its source; 0 if there is none."""
    ask = ask_kernel if _can_ask_kernel() else search_table
    return ask(source, destination)


@functools.cache
def _can_ask_kernel() -> bool:
    """Return whether the kernel has socket diagnosis, tried on a connection."""
    with (
        socket.create_server(("127.0.0.1", 0)) as server,
        socket.create_connection(server.getsockname()) as client,
    ):
        try:
            return ask_kernel(client.getsockname(), server.getsockname()) != 0
        except OSError:
            return False


def ask_kernel(source: SocketName, destination: SocketName) -> int:
    """Return the inode by the kernel's socket diagnosis; raises OSError without it."""
    ports = struct.pack("!HH", source[1], destination[1])
    hosts = b"".join(
        socket.inet_aton(host).ljust(16, b"\0") for host in (source[0], destination[0])
    )
    connection = ports + hosts + struct.pack("=III", 0, NO_COOKIE, NO_COOKIE)
    query = QUERY.pack(socket.AF_INET, socket.IPPROTO_TCP, 0, 0, ANY_STATE) + connection
    length = HEADER.size + len(query)
    with socket.socket(
        socket.AF_NETLINK, socket.SOCK_RAW, SOCK_DIAG_PROTOCOL
    ) as netlink:
        netlink.send(
            HEADER.pack(length, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 1, 0) + query
        )
        answer = netlink.recv(ANSWER_BYTES)
    if HEADER.unpack_from(answer)[1] != SOCK_DIAG_BY_FAMILY:
        return 0
    return INODE.unpack_from(answer, INODE_OFFSET)[0]


def search_table(source: SocketName, destination: SocketName) -> int:
    """Return the inode by the table of all connections, which may be long."""
    names = " ".join(map(_table_name, (source, destination)))
    line = re.search(rf": {names} 01 .*", TABLE.read_text())
    return int(line[0].split()[INODE_COLUMN]) if line else 0


def _table_name(name: SocketName) -> str:
    host = int.from_bytes(socket.inet_aton(name[0]), "little")
    return f"{host:08X}:{name[1]:04X}"
