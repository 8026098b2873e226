"""The soak's command line."""

import unittest

from cornelreach.util import errors
from tools.soak import __main__ as main_module


class CommandLine(unittest.TestCase):
    """Arguments that make no sense."""

    def test_damaged_arguments_get_an_error_that_helps(self):
        cases = {
            "--seed=x": "--seed 'x'",
            "--seconds=-1": "number above 0",
            "--seconds=inf": "number above 0",
            "--processes=0": "--processes '0'",
            "--planted=nothing": "trusts-framing",
            "--without=kill,nothing": "refuse-again",
            "--beside=/nowhere": "git worktree add",
        }
        for argument, text in cases.items():
            with self.subTest(argument):
                with self.assertRaises(errors.UserError) as caught:
                    main_module.main([argument])
                self.assertIn(text, str(caught.exception))
