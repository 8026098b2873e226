"""The local ports of a process's TCP connections, by the system's process table."""

import contextlib
import os
import pathlib
import re

SOCKET = re.compile(r"socket:\[(\d+)\]")
# The local port and the inode of a connection that is established.
ESTABLISHED = re.compile(
    r": [0-9A-F]{8}:([0-9A-F]{4}) \S+ 01 \S+ \S+ \S+ +\d+ +\d+ (\d+) "
)


def of_process(pid: int) -> set[int]:
    """Return the local ports of a process; none if it has ended."""
    inodes = set()
    with contextlib.suppress(OSError):
        for entry in os.scandir(f"/proc/{pid}/fd"):
            with contextlib.suppress(OSError):
                if found := SOCKET.match(os.readlink(entry.path)):
                    inodes.add(found[1])
    ports = set()
    with contextlib.suppress(OSError):
        table = pathlib.Path(f"/proc/{pid}/net/tcp").read_text()
        for port, inode in ESTABLISHED.findall(table):
            if inode in inodes:
                ports.add(int(port, 16))
    return ports
