"""Tests of the checker of the trial over real processes, on planted faults."""

import unittest

from standins import claimtrial

Told = claimtrial.Told


class Checker(unittest.TestCase):
    """Each fault is found, and a sound run passes."""

    def test_finds_each_planted_fault(self):
        cases = {
            "executed 2 times": ([Told("k", "answer", "b/1")], {"k": ["b/1", "b/2"]}),
            "told not run": ([Told("k", "not_run")], {"k": ["b/1"]}),
            "got the answer": ([Told("k", "answer", "b/2")], {"k": ["b/1"]}),
        }
        for expected, (told, executions) in cases.items():
            self.assertIn(expected, claimtrial.violations(told, executions)[0])

    def test_passes_a_run_that_keeps_the_rules(self):
        told = [
            Told("k", "not_run"),
            Told("k", "answer", "b/1"),
            Told("l", "not_run"),
            Told("m", "unknown"),
            Told("n", "gone"),
        ]
        executions = {"k": ["b/1"], "m": ["b/2"]}
        self.assertEqual(claimtrial.violations(told, executions), [])
