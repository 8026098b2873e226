"""Tests of the writing of plans: races, lost answers, outages."""

import random
import unittest
import unittest.mock

from cornelreach.settings import apply, document, plan
from test.platform import objects

FIRST = "format: 1\nmodels: [{name: m, version: '1'}]"
SECOND = "format: 1\nmodels: [{name: m, version: '2'}]"
KEY = "settings/model/m"


async def no_sleep(seconds):
    """Pass over a pause."""


class Writing(unittest.IsolatedAsyncioTestCase):
    """One operator or two against a platform with faults."""

    def setUp(self):
        self.fake = objects.Fake()
        self.applier = apply.Applier(self.fake, random.Random(1), tries=4)
        patch = unittest.mock.patch("asyncio.sleep", no_sleep)
        patch.start()
        self.addCleanup(patch.stop)

    async def plan(self, text):
        """Return the plan of a text on what the platform holds."""
        self.fake.faults = []
        listing = (await self.applier.listing()).unwrap()
        return plan.make(document.read(text).unwrap(), listing, 0).unwrap()

    async def apply(self, text, *faults):
        """Plan and apply a text under faults; return the ending."""
        made = await self.plan(text)
        self.fake.faults = list(faults)
        return (await self.applier.run(made)).endings[0]

    async def test_lost_answers_are_resolved_and_written_once(self):
        for faults in (
            ["lost"],
            ["unsent"],
            ["away", "lost"],
            ["lost", "away", "lost"],
            ["unsent", "away", "unsent", "away", "lost"],
        ):
            self.fake.store.__init__()
            ending = await self.apply(FIRST, *faults)
            self.assertEqual(ending, apply.Applied(KEY, 1))
            self.assertEqual(self.fake.store.revision, 1)

    async def test_a_lost_change_that_another_followed_still_counts(self):
        made = await self.plan(FIRST)
        rival = apply.Applier(self.fake, random.Random(2))
        read = self.fake.get

        async def follow(key):
            self.fake.get = read
            listing = (await rival.listing()).unwrap()
            later = plan.make(document.read(SECOND).unwrap(), listing, 0).unwrap()
            self.assertTrue((await rival.run(later)).complete)
            return await read(key)

        self.fake.get = follow
        self.fake.faults = ["lost"]
        (ending,) = (await self.applier.run(made)).endings
        self.assertEqual(ending, apply.Applied(KEY, 2, replaced=True))

    async def test_the_loser_of_a_race_is_told_the_difference(self):
        await self.apply(FIRST)
        made = await self.plan("format: 1\nmodels: [{name: m, bytes_per_token: 5}]")
        self.assertTrue((await self.applier.run(await self.plan(SECOND))).complete)
        (ending,) = (await self.applier.run(made)).endings
        self.assertIsInstance(ending, apply.Clash)
        self.assertEqual(str(ending.differences[0]), "version: '1' -> '2'")

    async def test_an_outage_is_told_apart_from_an_unknown_outcome(self):
        ending = await self.apply(FIRST, *["away"] * 9)
        self.assertIsInstance(ending, apply.NotWritten)
        ending = await self.apply(FIRST, "lost", *["away"] * 9)
        self.assertIsInstance(ending, apply.Unknown)
        again = await self.plan(FIRST)
        self.assertEqual(again.changes, ())

    async def test_deletions_and_the_rest_after_a_failure(self):
        await self.apply(FIRST)
        listing = (await self.applier.listing()).unwrap()
        made = plan.delete([KEY], listing, 0).unwrap()
        self.fake.faults = ["lost"]
        (ending,) = (await self.applier.run(made)).endings
        self.assertIsInstance(ending, apply.Applied)
        made = await self.plan("format: 1\nmodels: [{name: m}, {name: n}]")
        self.fake.faults = ["away"] * 9
        report = await self.applier.run(made)
        self.assertEqual(len(report.endings), 2)
        self.assertFalse(report.complete)
