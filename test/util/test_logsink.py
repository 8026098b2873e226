"""Tests of the non-blocking log sink."""

import os
import unittest

from cornelreach.util import logsink


class BlockedPipe(unittest.TestCase):
    """A pipe whose reader does not read at first."""

    def setUp(self):
        self.reader, writer = os.pipe()
        self.sink = logsink.LogSink(writer)
        self.addCleanup(os.close, writer)
        self.addCleanup(os.close, self.reader)

    def test_keeps_whole_lines_in_order_and_counts_dropped_lines(self):
        lines = [b"%06d" % number + b"x" * 994 + b"\n" for number in range(600)]
        for line in lines:
            self.sink.write(line)
        self.assertGreater(self.sink.dropped, 0)
        os.set_blocking(self.reader, False)
        received = b""
        for _ in range(100):
            try:
                received += os.read(self.reader, 1 << 20)
            except BlockingIOError:
                break
            self.sink.flush()
        written = 600 - self.sink.dropped
        self.assertEqual(received, b"".join(lines[:written]))
