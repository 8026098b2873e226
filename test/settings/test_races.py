"""Seeded races of operators over a platform with faults, checked as histories."""

import asyncio
import random
import unittest
import unittest.mock

from cornelreach.settings import apply, document, plan
from test.platform import objects

SEEDS = 250
OPERATORS = 3
FAULTS = [None, None, None, "away", "lost", "unsent", "late"]
real_sleep = asyncio.sleep


async def turn(seconds):
    """Let another operator go on in place of a pause."""
    await real_sleep(0)


class Shared(objects.Fake):
    """A platform whose calls interleave at random and fail at random."""

    def __init__(self, source):
        super().__init__()
        self.source = source

    def _fault(self, kind):
        self.faults = [self.source.choice(FAULTS)]
        return super()._fault(kind)

    async def get(self, key):
        """Read after the other operators may have had a turn."""
        await real_sleep(0)
        return await super().get(key)

    async def put(self, key, value, if_version=None, if_absent=False):
        """Write after the other operators may have had a turn."""
        await real_sleep(0)
        return await super().put(key, value, if_version, if_absent)


async def operate(fake, mark, endings, applier_class):
    """Apply two documents, each with a value found nowhere else."""
    applier = applier_class(fake, fake.source, tries=6)
    for turn_number in range(2):
        value = mark * 100 + turn_number
        text = f"format: 1\nmodels: [{{name: m, bytes_per_token: {value}}}]"
        listing = fake.store.listing("settings/")
        made = plan.make(document.read(text).unwrap(), listing, 0).unwrap()
        (ending,) = (await applier.run(made)).endings
        endings.append((value, ending))


async def race(seed, applier_class):
    """Return the endings that are not true of the store's history."""
    fake = Shared(random.Random(seed))
    endings = []
    with unittest.mock.patch("asyncio.sleep", turn):
        await asyncio.gather(
            *(
                operate(fake, mark, endings, applier_class)
                for mark in range(1, OPERATORS + 1)
            )
        )
    for _, work in fake.late:
        work()
    return [told for told in endings if not true_of(fake.store, *told)]


def true_of(store, value, ending):
    """Return whether an ending agrees with what was written, and how often."""
    times = sum(record.value["bytes_per_token"] == value for record in store.history)
    if isinstance(ending, apply.Applied):
        return times == 1
    if isinstance(ending, apply.Unknown):
        return times <= 1
    return times == 0


class ForgetsDoubt(apply.Applier):
    """Planted fault: takes a lost answer for a failure."""

    async def _read_back(self, change, ident, doubt):
        return apply.NotWritten(change.key, "lost")


class WritesAnew(apply.Applier):
    """Planted fault: repeats a write on the version found."""

    async def _read_back(self, change, ident, doubt):
        found = await self.objects.get(change.key)
        version = found.value_or(None).version if found.value_or(None) else 0
        again = change._replace(if_version=version)
        await self._send(again, ident)
        return await super()._read_back(change, ident, doubt)


class Endings(unittest.TestCase):
    """What operators are told is true."""

    def test_endings_are_true_and_each_change_is_written_once(self):
        for seed in range(SEEDS):
            wrong = asyncio.run(race(seed, apply.Applier))
            self.assertEqual(wrong, [], f"seed {seed}")

    def test_planted_faults_are_found(self):
        for fault in (ForgetsDoubt, WritesAnew):
            with self.subTest(fault.__name__):
                found = any(asyncio.run(race(seed, fault)) for seed in range(50))
                self.assertTrue(found)
