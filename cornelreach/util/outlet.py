"""A sink for log lines that never blocks the loop.

Lines that standard output does not take at once wait in a bounded buffer; what does not
fit is dropped and counted.
"""

import collections
import os

MOST_WAITING_BYTES = 262_144


class Outlet:
    """Writes lines to a file descriptor without waiting for its reader."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.dropped = 0
        self._waiting: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Write a line, keep it for later, or drop it."""
        if self._waiting_bytes + len(line) > MOST_WAITING_BYTES:
            self.dropped += 1
        else:
            self._waiting.append(line)
            self._waiting_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Write as much of what waits as the descriptor takes."""
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            self._waiting_bytes -= written
            if written == len(line):
                self._waiting.popleft()
            else:
                self._waiting[0] = line[written:]
