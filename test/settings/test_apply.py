"""Tests of applying plans: conflicts, lost responses and outages."""

import random
import unittest
import unittest.mock

from cornelreach.settings import apply, document, plan
from test.platform import objects

VERSION_1 = "format: 1\nmodels: [{name: m, version: '1'}]"
VERSION_2 = "format: 1\nmodels: [{name: m, version: '2'}]"
KEY = "settings/model/m"


async def no_sleep(seconds):
    """Replaces asyncio.sleep and returns at once."""


class ApplierTest(unittest.IsolatedAsyncioTestCase):
    """One or two operators writing to a platform with faults."""

    def setUp(self):
        self.fake = objects.FakeObjectStore()
        self.applier = apply.Applier(self.fake, random.Random(1), tries=4)
        patch = unittest.mock.patch("asyncio.sleep", no_sleep)
        patch.start()
        self.addCleanup(patch.stop)

    async def plan(self, text):
        """Return the plan for a document, based on the platform's current items."""
        self.fake.faults = []
        listing = (await self.applier.listing()).unwrap()
        return plan.make(document.read(text).unwrap(), listing, 0).unwrap()

    async def apply(self, text, *faults):
        """Plan and apply a document with faults injected; return the outcome."""
        planned = await self.plan(text)
        self.fake.faults = list(faults)
        return (await self.applier.run(planned)).outcomes[0]

    async def test_lost_response_is_resolved_and_written_once(self):
        for faults in (
            ["lost"],
            ["dropped"],
            ["unavailable", "lost"],
            ["lost", "unavailable", "lost"],
            ["dropped", "unavailable", "dropped", "unavailable", "lost"],
        ):
            self.fake.store.__init__()
            outcome = await self.apply(VERSION_1, *faults)
            self.assertEqual(outcome, apply.Applied(KEY, 1))
            self.assertEqual(self.fake.store.revision, 1)

    async def test_change_with_lost_response_was_replaced(self):
        planned = await self.plan(VERSION_1)
        other_applier = apply.Applier(self.fake, random.Random(2))
        original_get = self.fake.get

        async def get_after_other_change(key):
            self.fake.get = original_get
            listing = (await other_applier.listing()).unwrap()
            other_plan = plan.make(
                document.read(VERSION_2).unwrap(), listing, 0
            ).unwrap()
            self.assertTrue((await other_applier.run(other_plan)).complete)
            return await original_get(key)

        self.fake.get = get_after_other_change
        self.fake.faults = ["lost"]
        (outcome,) = (await self.applier.run(planned)).outcomes
        self.assertEqual(outcome, apply.Applied(KEY, 2, replaced=True))

    async def test_conflict_reports_differences(self):
        await self.apply(VERSION_1)
        planned = await self.plan("format: 1\nmodels: [{name: m, bytes_per_token: 5}]")
        self.assertTrue((await self.applier.run(await self.plan(VERSION_2))).complete)
        (outcome,) = (await self.applier.run(planned)).outcomes
        self.assertIsInstance(outcome, apply.Clash)
        self.assertEqual(str(outcome.differences[0]), "version: '1' -> '2'")

    async def test_outage_and_unknown_outcome_are_distinguished(self):
        outcome = await self.apply(VERSION_1, *["unavailable"] * 9)
        self.assertIsInstance(outcome, apply.NotWritten)
        outcome = await self.apply(VERSION_1, "lost", *["unavailable"] * 9)
        self.assertIsInstance(outcome, apply.Unknown)
        again = await self.plan(VERSION_1)
        self.assertEqual(again.changes, ())

    async def test_deletion_and_changes_after_a_failure(self):
        await self.apply(VERSION_1)
        listing = (await self.applier.listing()).unwrap()
        planned = plan.delete([KEY], listing, 0).unwrap()
        self.fake.faults = ["lost"]
        (outcome,) = (await self.applier.run(planned)).outcomes
        self.assertIsInstance(outcome, apply.Applied)
        planned = await self.plan("format: 1\nmodels: [{name: m}, {name: n}]")
        self.fake.faults = ["unavailable"] * 9
        report = await self.applier.run(planned)
        self.assertEqual(len(report.outcomes), 2)
        self.assertFalse(report.complete)
