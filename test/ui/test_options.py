"""Tests of the daemon's settings."""

import unittest

from cornelreach.ui import options
from cornelreach.util import errors

REQUIRED = ["--name", "a1", "--data-centre", "north", "--platform", "http://h:1"]


class Parse(unittest.TestCase):
    """Layers and checks."""

    def test_flag_goes_before_variable_before_default(self):
        environment = {"CORNELREACH_LISTEN": "h:2", "CORNELREACH_REGION": "west"}
        given, check = options.parse([*REQUIRED, "--listen", "h:3"], environment)
        self.assertEqual((given.listen, given.region), ("h:3", "west"))
        self.assertEqual(given.drain_ms, 30_000)
        self.assertFalse(check)

    def test_every_kind_of_bad_value_names_setting_and_remedy(self):
        bad = {
            "--name": "A b",
            "--listen": "nowhere",
            "--platform": "ftp://h:1",
            "--tls-cert": "/does/not/exist",
            "--drain-ms": "-4",
            "--log-level": "LOUD",
        }
        for flag, value in bad.items():
            arguments = [*REQUIRED, f"{flag}={value}"]
            if flag in REQUIRED:
                at = REQUIRED.index(flag)
                arguments = [*REQUIRED[:at], f"{flag}={value}", *REQUIRED[at + 2 :]]
            with self.assertRaises(errors.UserError, msg=flag) as caught:
                options.parse(arguments, {})
            self.assertIn(flag, caught.exception.message)
            self.assertTrue(caught.exception.remedy)

    def test_missing_unknown_and_unpaired(self):
        with self.assertRaisesRegex(errors.UserError, "--name is missing"):
            options.parse([], {})
        with self.assertRaisesRegex(errors.UserError, "names no setting"):
            options.parse(REQUIRED, {"CORNELREACH_LISTN": "h:1"})
        with self.assertRaisesRegex(errors.UserError, "go together"):
            options.parse([*REQUIRED, "--tls-cert", __file__], {})
        with self.assertRaises(errors.UserError):
            options.parse(["--no-such-flag"], {})
