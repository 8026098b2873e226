"""Tests of TLS contexts that reload changed files."""

import os
import ssl
import tempfile
import unittest

from cornelreach.http import client, messages, server, tls
from cornelreach.util import errors
from test import certificates


async def answer_hello(request):
    """Return a fixed response."""
    return messages.Response(200, b"hello")


class Reload(unittest.IsolatedAsyncioTestCase):
    """Replacement of the certificate of a running server."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.authority = certificates.Authority(folder.name)
        self.files = tls.Files(*self.authority.issue("localhost"), "")
        self.reloadable = tls.ReloadableContext(self.files, server=True)
        self.server = await server.start(
            "127.0.0.1", 0, answer_hello, tls=self.reloadable.context
        )
        self.addCleanup(self.server.abort)
        self.addCleanup(self.server.stop_listening)

    async def serial(self, authority):
        """Return the serial number of the certificate shown to a new connection."""
        trusting = tls.ReloadableContext(
            tls.Files("", "", str(authority.path)), server=False
        )
        address = client.Address("127.0.0.1", self.server.port, True)
        caller = client.Client(trusting.context)
        response = await caller.send(address, "GET", "/")
        connection = response._connection
        certificate = connection.transport.get_extra_info("ssl_object").getpeercert()
        await response.read()
        await caller.close()
        return certificate["serialNumber"]

    async def test_new_certificate_is_used_without_restart(self):
        before = await self.serial(self.authority)
        self.authority.issue("localhost")
        os.utime(self.files.certificate, ns=(1, 1))
        self.reloadable.reload_if_changed()
        self.assertNotEqual(await self.serial(self.authority), before)

    async def test_invalid_files_keep_the_previous_certificate(self):
        before = await self.serial(self.authority)
        with open(self.files.key, "w") as key:
            key.write("not a key")
        self.reloadable.reload_if_changed()
        self.assertEqual(await self.serial(self.authority), before)

    async def test_certificate_of_unknown_authority_is_rejected(self):
        other = certificates.Authority(self.authority.folder, "other")
        with self.assertRaises(client.RequestNotSent):
            await self.serial(other)

    def test_unusable_files_raise_an_error_with_a_remedy(self):
        with self.assertRaisesRegex(errors.UserError, "PEM certificate"):
            tls.ReloadableContext(
                self.files._replace(key=str(self.authority.path)), server=True
            )
        self.assertIs(self.reloadable.context.minimum_version, ssl.TLSVersion.TLSv1_2)
