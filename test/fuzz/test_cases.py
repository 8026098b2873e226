"""Runs every fuzz case with fixed seeds."""

import unittest

import loguru
from hypothesis import HealthCheck, given, settings

from test.fuzz import cases

EXAMPLES = 40


class Fuzz(unittest.TestCase):
    """No input gets anything but an answer or a typed refusal."""

    def test_every_case(self):
        loguru.logger.remove()
        for name, case in cases.CASES.items():
            with self.subTest(name):
                run = given(case.inputs)(case.check)
                settings(
                    derandomize=True,
                    deadline=None,
                    database=None,
                    max_examples=EXAMPLES,
                    suppress_health_check=list(HealthCheck),
                )(run)()
