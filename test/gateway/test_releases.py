"""Rollouts of software versions: from the order to its final state, over a fleet."""

import unittest

from test.gateway import harness, releasefleet

SHARE, SLACK = harness.BOUNDS.exposure_share, harness.BOUNDS.exposure_slack


class Rollouts(unittest.TestCase):
    """Good and bad versions on a fleet whose parts all work."""

    def fleet(self, **options):
        """Return a fleet that ends with the test."""
        fleet = releasefleet.Fleet(**options)
        self.addCleanup(fleet.close)
        return fleet

    def check_exposure(self, fleet):
        """Check the bounds on what a bad version gets."""
        before = [one for one in fleet.sent if one[0] <= fleet.duration_s * 1_000]
        self.assertLessEqual(len(before), SHARE * fleet.requests + SLACK)
        bad = [age_ms for age_ms, is_bad in fleet.sent if is_bad]
        if len(bad) >= 50:
            late = [one for one in fleet.sent if one[0] > bad[49] + 3_000]
            self.assertEqual(late, [])

    # Guards against a good version that is left unused or taken back.
    def test_a_good_version_gets_all_requests_and_has_succeeded_by_the_deadline(self):
        for size in (1, 2, 7):
            fleet = self.fleet(size=size)
            fleet.play()
            self.assertEqual(fleet.state(), "succeeded", size)
            self.assertEqual(fleet.old_in_flight(), 0, size)
            self.assertEqual({kind for _, kind in fleet.outcomes}, {"answered"}, size)
            before = [age for age, _ in fleet.sent if age < 0.5 * 12_000]
            self.assertGreater(len(before), 0.02 * fleet.requests / 2, size)

    # Guards against a bad version that gets more than its share, or stays.
    def test_a_bad_version_is_reverted_within_its_share(self):
        bads = (
            releasefleet.Bad(failure_share=0.9),
            releasefleet.Bad(failure_share=0.3),
            releasefleet.Bad(slowdown=5.0),
            releasefleet.Bad(failure_share=0.5, from_ms=5_000),
            releasefleet.Bad(failure_share=0.5, routes=("/b/",)),
        )
        for bad in bads:
            fleet = self.fleet(bad=bad)
            fleet.play()
            self.assertEqual(fleet.state(), "reverted", bad)
            self.check_exposure(fleet)


if __name__ == "__main__":
    unittest.main()
