"""Tests of claimtrial's rule checker on hand-made results and executions."""

import unittest

from standins import claimtrial

RequestResult = claimtrial.RequestResult


class Checker(unittest.TestCase):
    """Each violation is found, and a correct run passes."""

    def test_finds_each_violation(self):
        cases = {
            "executed 2 times": (
                [RequestResult("k", "answer", "b/1")],
                {"k": ["b/1", "b/2"]},
            ),
            "told not run": ([RequestResult("k", "not_run")], {"k": ["b/1"]}),
            "got the answer": ([RequestResult("k", "answer", "b/2")], {"k": ["b/1"]}),
        }
        for expected, (results, executions) in cases.items():
            self.assertIn(expected, claimtrial.violations(results, executions)[0])

    def test_accepts_a_correct_run(self):
        results = [
            RequestResult("k", "not_run"),
            RequestResult("k", "answer", "b/1"),
            RequestResult("l", "not_run"),
            RequestResult("m", "unknown"),
            RequestResult("n", "gone"),
        ]
        executions = {"k": ["b/1"], "m": ["b/2"]}
        self.assertEqual(claimtrial.violations(results, executions), [])
