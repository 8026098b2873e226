"""Tests of the checks of what engines say in their answers."""

import types
import unittest
from unittest import mock

from standins import requestlog
from tools.soak import checks, noticechecks

TOLD, SENT = "edge0-c1-1", "edge0-c1-2"


class Edge:
    """An instance whose log has some lines."""

    def __init__(self):
        self.lines = {}

    def log_lines_for(self, request_id):
        """Return the lines of a request."""
        return self.lines.get(request_id, [])


class Rest(unittest.TestCase):
    """An engine that was asked for by requests of one instance's callers."""

    def setUp(self):
        self.edge = Edge()
        ledger = requestlog.RequestLog()
        ledger.notices.append(requestlog.Notice("rest", TOLD, "e2", 1, 10.0, 13.0))
        ledger.arrivals.extend(
            requestlog.Arrival(SENT, "e2", 12.0, False, "", 1, False, 0, "", born=1)
            for _ in range(noticechecks.MAX_DURING_REST + 1)
        )
        self.world = types.SimpleNamespace(
            ledger=ledger, requests=[], disturbances=[], edges={"edge0": self.edge}
        )

    def found(self, ended):
        """Return the guarantees that are found violated."""
        with mock.patch.object(checks, "CHECKS", (noticechecks.resting_engines,)):
            return [one.guarantee for one in checks.find_violations(self.world, ended)]

    # Guards against an instance that is blamed for what another one was told, while the
    # request that was passed on to that one is still in progress.
    def test_an_instance_is_judged_by_what_it_was_told_itself(self):
        self.assertEqual(self.found(ended=False), [])
        self.edge.lines[TOLD] = ["tries edge2>e2:refused"]
        self.assertEqual(self.found(ended=True), [])

    def test_an_instance_that_was_told_is_found_at_the_end(self):
        self.edge.lines[TOLD] = self.edge.lines[SENT] = ["tries e2:refused"]
        self.assertEqual(self.found(ended=True), ["rest"])
