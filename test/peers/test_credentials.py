"""Tests of mutual TLS between instances."""

import tempfile
import unittest

from cornelreach.peers import credentials, wire
from test import certificates
from test.peers import test_wire


class MutualTls(unittest.IsolatedAsyncioTestCase):
    """A server that requires client certificates of one CA."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.authority = certificates.Authority(folder.name)
        self.files = self.issue(self.authority, "server")
        self.server = wire.Server(lambda: test_wire.TWO, lambda sender: None)
        self.server.register(test_wire.PING, self.answer_ping)
        await self.server.start("127.0.0.1:0", credentials.server(self.files))
        self.addAsyncCleanup(self.server.stop, 0)

    def issue(self, authority, path):
        """Return the files of a certificate issued by a CA."""
        pair = authority.issue(credentials.SERVER_NAME, path)
        return credentials.Files(*pair, str(self.authority.path))

    async def answer_ping(self, sender, request):
        """Reply with the same number."""
        return test_wire.Pong(request.number)

    async def call(self, files):
        """Call the server with a client certificate, or without one."""
        source = credentials.ReloadableCredentials(files).credentials if files else None
        caller = wire.Client(lambda: test_wire.ONE, lambda sender: None, source)
        address = f"127.0.0.1:{self.server.port}"
        reply = await caller.call(address, test_wire.PING, test_wire.Ping(3), 1_000)
        await caller.close()
        return reply

    async def test_valid_certificate_is_accepted(self):
        reply = await self.call(self.issue(self.authority, "good"))
        self.assertEqual(reply.unwrap(), test_wire.Pong(3))

    async def test_missing_or_foreign_certificate_is_rejected(self):
        other = certificates.Authority(self.authority.folder, "other")
        self.assertIn("UNAVAILABLE", (await self.call(None)).failure().reason)
        foreign = await self.call(self.issue(other, "foreign"))
        self.assertIn("UNAVAILABLE", foreign.failure().reason)

    async def test_changed_files_are_reloaded_without_restart(self):
        client_credentials = credentials.ReloadableCredentials(self.files)
        self.assertFalse(client_credentials.reload_if_changed())
        self.issue(self.authority, "server")
        self.assertTrue(client_credentials.reload_if_changed())
        reply = await self.call(self.issue(self.authority, "good"))
        self.assertEqual(reply.unwrap(), test_wire.Pong(3))
