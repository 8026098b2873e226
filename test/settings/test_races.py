"""Randomized races between operators on a platform with faults.

The reported outcome of each change is checked against the platform's write history.
"""

import asyncio
import random
import unittest
import unittest.mock

from cornelreach.settings import apply, document, plan
from test.platform import objects

SEEDS = 250
OPERATORS = 3
FAULTS = [None, None, None, "unavailable", "lost", "dropped", "late"]
real_sleep = asyncio.sleep


async def yield_to_others(seconds):
    """Replaces asyncio.sleep: lets the other operators run without waiting."""
    await real_sleep(0)


class SharedPlatform(objects.FakeObjectStore):
    """A platform whose calls interleave and fail at random."""

    def __init__(self, rng):
        super().__init__()
        self.rng = rng

    def _fault(self, kind):
        self.faults = [self.rng.choice(FAULTS)]
        return super()._fault(kind)

    async def get(self, key):
        """Read after letting the other operators run."""
        await real_sleep(0)
        return await super().get(key)

    async def put(self, key, value, if_version=None, if_absent=False):
        """Write after letting the other operators run."""
        await real_sleep(0)
        return await super().put(key, value, if_version, if_absent)


async def run_operator(platform, operator_number, outcomes, applier_class):
    """Apply two documents, each with a unique value."""
    applier = applier_class(platform, platform.rng, tries=6)
    for number in range(2):
        value = operator_number * 100 + number
        text = f"format: 1\nmodels: [{{name: m, bytes_per_token: {value}}}]"
        listing = platform.store.listing("settings/")
        planned = plan.make(document.read(text).unwrap(), listing, 0).unwrap()
        (outcome,) = (await applier.run(planned)).outcomes
        outcomes.append((value, outcome))


async def run_race(seed, applier_class):
    """Return the outcomes that contradict the store's history."""
    platform = SharedPlatform(random.Random(seed))
    outcomes = []
    with unittest.mock.patch("asyncio.sleep", yield_to_others):
        await asyncio.gather(
            *(
                run_operator(platform, operator_number, outcomes, applier_class)
                for operator_number in range(1, OPERATORS + 1)
            )
        )
    for _, write in platform.late_writes:
        write()
    return [pair for pair in outcomes if not matches_history(platform.store, *pair)]


def matches_history(store, value, outcome):
    """Return whether an outcome agrees with how often its value was written."""
    write_count = sum(
        record.value["bytes_per_token"] == value for record in store.history
    )
    if isinstance(outcome, apply.Applied):
        return write_count == 1
    if isinstance(outcome, apply.Unknown):
        return write_count <= 1
    return write_count == 0


class TreatsLostResponseAsFailure(apply.Applier):
    """Injected defect: reports a lost response as a failed write."""

    async def _read_back(self, change, change_id, uncertain):
        return apply.NotWritten(change.key, "lost")


class RetriesOnNewVersion(apply.Applier):
    """Injected defect: retries a write with the version found as its condition."""

    async def _read_back(self, change, change_id, uncertain):
        found = await self.objects.get(change.key)
        version = found.value_or(None).version if found.value_or(None) else 0
        retried = change._replace(if_version=version)
        await self._send(retried, change_id)
        return await super()._read_back(change, change_id, uncertain)


class ConcurrentOperatorsTest(unittest.TestCase):
    """The outcomes reported to operators are correct."""

    def test_outcomes_match_history_and_changes_are_written_once(self):
        for seed in range(SEEDS):
            false_outcomes = asyncio.run(run_race(seed, apply.Applier))
            self.assertEqual(false_outcomes, [], f"seed {seed}")

    def test_injected_defects_are_detected(self):
        for defect in (TreatsLostResponseAsFailure, RetriesOnNewVersion):
            with self.subTest(defect.__name__):
                found = any(asyncio.run(run_race(seed, defect)) for seed in range(50))
                self.assertTrue(found)
