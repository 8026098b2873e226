"""The local ports of a process's TCP connections, by the system's process table."""

import contextlib
import os
import pathlib
import re

SOCKET = re.compile(r"socket:\[(\d+)\]")


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
        for line in pathlib.Path(f"/proc/{pid}/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if fields[9] in inodes:
                ports.add(int(fields[1].rpartition(":")[2], 16))
    return ports
