"""Tests of the checks of rollouts that short runs without a fault never break."""

import types
import unittest

from standins import requestlog
from tools.soak import checkcontext, environment, releasechecks


def arrival(engine, at_s):
    """Return a request that an engine got at a time."""
    return requestlog.Arrival(
        "edge0-c1-1", engine, at_s, False, "", 1, False, 0, "GET /read/a"
    )


class Checks(unittest.TestCase):
    """One rollout at 100 s with a deadline at 120 s, and what engines recorded."""

    def setUp(self):
        self.ledger = requestlog.RequestLog()
        self.disturbances = []

    def found(self, check, is_bad, state, old_running=0):
        """Return the guarantees that a check finds violated."""
        rollout = environment.Rollout(
            "s", is_bad, ("e1",), 100.0, 120.0, state, 110.0, old_running
        )
        world = types.SimpleNamespace(
            ledger=self.ledger,
            requests=[],
            disturbances=self.disturbances,
            edges=("edge0",),
            rollouts=[rollout],
        )
        context = checkcontext.CheckContext(world)
        return [one.guarantee for one in check(context)]

    def record_failures(self, count):
        """Record bad answers of the new version, the last one at 101 s."""
        self.ledger.failures += [requestlog.Failure("", "e1", 101.0)] * count

    # Guards against a bad version that is used on after its last bad answer allowed.
    def test_requests_long_after_too_many_bad_answers_are_found(self):
        self.record_failures(releasechecks.BAD_ANSWERS)
        self.ledger.arrivals += [arrival("e1", 105.9), arrival("e0", 108.0)]
        self.assertEqual(self.found(releasechecks.rollback, True, "reverted"), [])
        self.ledger.arrivals.append(arrival("e1", 106.5))
        found = self.found(releasechecks.rollback, True, "reverted")
        self.assertEqual(found, ["rollback"])

    # Guards against a check that counts from too few bad answers.
    def test_fewer_bad_answers_set_no_limit(self):
        self.record_failures(releasechecks.BAD_ANSWERS - 1)
        self.ledger.arrivals.append(arrival("e1", 115.0))
        self.assertEqual(self.found(releasechecks.rollback, True, "reverted"), [])

    # Guards against success that cuts requests at old engines off.
    def test_requests_under_way_at_success_are_found(self):
        check = releasechecks.emptied
        self.assertEqual(self.found(check, False, "succeeded", 1), ["emptied"])
        self.assertEqual(self.found(check, True, "reverted", 1), [])

    # Guards against blaming instances that are not in touch.
    def test_instances_that_were_disturbed_are_left_out(self):
        one = environment.Disturbance("edge0", "pause", 100.0, 120.0)
        self.disturbances.append(one)
        self.record_failures(releasechecks.BAD_ANSWERS)
        self.ledger.arrivals.append(arrival("e1", 115.0))
        self.assertEqual(self.found(releasechecks.rollback, True, "reverted"), [])
        found = self.found(releasechecks.emptied, False, "succeeded", 1)
        self.assertEqual(found, [])
