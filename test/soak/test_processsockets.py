"""Tests of which process a connection belongs to."""

import os
import socket
import unittest

from tools.soak import processsockets

WAYS = (processsockets.ask_kernel, processsockets.search_table, processsockets.inode_of)


class ProcessSockets(unittest.TestCase):
    """A connection's socket is found by its addresses."""

    def setUp(self):
        server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(server.close)
        self.client = socket.create_connection(server.getsockname())
        self.addCleanup(self.client.close)
        self.names = self.client.getsockname(), server.getsockname()

    def test_each_way_finds_the_socket_of_a_process(self):
        own = os.fstat(self.client.fileno()).st_ino
        self.assertIn(own, processsockets.inodes_of(os.getpid()))
        for way in WAYS:
            with self.subTest(way.__name__):
                self.assertEqual(way(*self.names), own)

    def test_a_connection_that_is_closed_has_none(self):
        source, destination = self.names
        for way in WAYS:
            with self.subTest(way.__name__):
                self.assertEqual(way((source[0], 1), destination), 0)
