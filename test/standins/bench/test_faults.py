"""Runs the cornelreach policy under single faults and pairs of faults.

A run lasts half a minute of virtual time. The second fault occurs after the first, and
a data centre is taken out between them.
"""

import itertools
import unittest

from standins import load, profiles
from standins.bench import faults, policy, site as site_module

PROFILE = profiles.TIRNICA._replace(deadline_ms=8_000.0, gap_s=12.0)
SECONDS = 18
FIRST_MS, OUT_MS, SECOND_MS, BACK_MS = 6_000.0, 6_500.0, 7_000.0, 12_000.0
SETTLE_MS = 10_000.0


def run_with_faults(names, seed, make=policy.Cornelreach):
    calls = load.schedule(PROFILE, seed, SECONDS, rate=0.6)
    script_faults = tuple(
        site_module.Fault(at_ms, name)
        for at_ms, name in zip((FIRST_MS, SECOND_MS), names, strict=False)
    )
    script = site_module.Script(None, OUT_MS, BACK_MS, script_faults)
    site = site_module.Site(PROFILE, calls, script, seed)
    site.run(make(), SECONDS * 1_000 + SETTLE_MS, 0.0)
    return site


class FaultsTest(unittest.TestCase):
    def check(self, names, seed):
        site = run_with_faults(names, seed)
        with self.subTest(names=names, seed=seed):
            worst = max(one.worst_overload for one in site.engines.values())
            self.assertLessEqual(worst, 0, "a cold engine got more than its limit")
            self.assertEqual(0, site.late_work, "work in a data centre that is out")
            ended = {one.outcome for one in site.records}
            self.assertNotIn("", ended, "a call got no response")
            self.assertLessEqual(ended, {"done", "deadline", "failed"})
            failed = sum(one.outcome == "failed" for one in site.records)
            self.assertLessEqual(failed, 16, "more calls cut off than ran at the fault")

    def test_each_fault_alone(self):
        for name in faults.FAULTS:
            self.check((name,), 1)

    def test_each_pair_of_faults(self):
        for number, names in enumerate(itertools.combinations(faults.FAULTS, 2)):
            self.check(names, number)
