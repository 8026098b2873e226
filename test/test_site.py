"""End-to-end test with real processes on loopback."""

import pathlib
import tempfile
import unittest

from standins import site, turns

SHORT_DOCUMENT_CHARACTERS = 8_000


class SiteTest(unittest.IsolatedAsyncioTestCase):
    """A site like that of Tirnica, with one instance in each data centre."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory(prefix="cornelreach-test-")
        self.addCleanup(folder.cleanup)
        self.site = site.Site(pathlib.Path(folder.name))
        self.addAsyncCleanup(self.site.stop)
        await self.site.start()

    def chain(self, callers=None):
        """Return a chain of turns over a short document."""
        callers = callers or [one.callers for one in self.site.instances]
        chain = turns.Chain(self.site.http, callers, site.ACCOUNT_KEY, lambda _: None)
        chain.text = chain.text[:SHORT_DOCUMENT_CHARACTERS]
        return chain

    async def test_reading_drafting_and_booking(self):
        report = await self.chain().run(4)
        executions = await turns.executions(self.site.http, self.site.services)
        self.assertTrue(turns.all_booked_once(report, executions))
        self.assertTrue(all(turn.answer in ("yes", "no") for turn in report))
        self.assertGreater(sum(turn.cached_tokens for turn in report[1:]), 0)
