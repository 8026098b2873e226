"""A sink for log lines that never blocks the event loop.

Lines that cannot be written to the file descriptor immediately are kept in a bounded
buffer. Lines that do not fit into the buffer are dropped and counted.
"""

import collections
import os

MAX_BUFFERED_BYTES = 262_144


class LogSink:
    """Writes lines to a non-blocking file descriptor."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.dropped = 0
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Write a line, buffer it, or drop it if the buffer is full."""
        if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
        else:
            self._buffer.append(line)
            self._buffered_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Write as many buffered bytes as the descriptor accepts."""
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            self._buffered_bytes -= written
            if written == len(line):
                self._buffer.popleft()
            else:
                self._buffer[0] = line[written:]
