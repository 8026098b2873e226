"""Log lines never wait for their reader."""

import os
import unittest

from cornelreach.util import outlet


class Pipes(unittest.TestCase):
    """An outlet into a pipe that nobody reads for a while."""

    def setUp(self):
        self.reader, writer = os.pipe()
        self.outlet = outlet.Outlet(writer)
        self.addCleanup(os.close, writer)
        self.addCleanup(os.close, self.reader)

    def test_lines_come_whole_and_in_order_and_the_rest_is_counted(self):
        lines = [b"%06d" % number + b"x" * 994 + b"\n" for number in range(600)]
        for line in lines:
            self.outlet.write(line)
        self.assertGreater(self.outlet.dropped, 0)
        os.set_blocking(self.reader, False)
        got = b""
        for _ in range(100):
            try:
                got += os.read(self.reader, 1 << 20)
            except BlockingIOError:
                break
            self.outlet.flush()
        kept = 600 - self.outlet.dropped
        self.assertEqual(got, b"".join(lines[:kept]))
