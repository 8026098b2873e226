"""Runs every fuzz case with fixed seeds."""

import unittest

import loguru
from hypothesis import HealthCheck, given, settings

from test.fuzz import cases

EXAMPLES = 40


class FuzzTest(unittest.TestCase):
    """Every input is either accepted or rejected with an expected error."""

    def test_every_case(self):
        loguru.logger.remove()
        for name, case in cases.CASES.items():
            with self.subTest(name):
                fuzz_test = given(case.inputs)(case.check)
                settings(
                    derandomize=True,
                    deadline=None,
                    database=None,
                    max_examples=EXAMPLES,
                    suppress_health_check=list(HealthCheck),
                )(fuzz_test)()
