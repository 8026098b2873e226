"""Tests of the daemon's option parser."""

import unittest

from cornelreach.ui import options
from cornelreach.util import errors

REQUIRED = ["--name", "a1", "--data-centre", "north", "--platform", "http://h:1"]


class Parse(unittest.TestCase):
    """Tests of precedence and validation."""

    def test_flag_overrides_variable_overrides_default(self):
        environment = {"CORNELREACH_LISTEN": "h:2", "CORNELREACH_REGION": "west"}
        parsed, check = options.parse([*REQUIRED, "--listen", "h:3"], environment)
        self.assertEqual((parsed.listen, parsed.region), ("h:3", "west"))
        self.assertEqual(parsed.drain_ms, 30_000)
        self.assertFalse(check)

    def test_invalid_values_report_setting_and_remedy(self):
        invalid = {
            "--name": "A b",
            "--listen": "nowhere",
            "--platform": "ftp://h:1",
            "--tls-cert": "/does/not/exist",
            "--drain-ms": "-4",
            "--log-level": "LOUD",
        }
        for flag, value in invalid.items():
            arguments = [*REQUIRED, f"{flag}={value}"]
            if flag in REQUIRED:
                index = REQUIRED.index(flag)
                arguments = [
                    *REQUIRED[:index],
                    f"{flag}={value}",
                    *REQUIRED[index + 2 :],
                ]
            with self.assertRaises(errors.UserError, msg=flag) as raised:
                options.parse(arguments, {})
            self.assertIn(flag, raised.exception.message)
            self.assertTrue(raised.exception.remedy)

    def test_rejects_missing_unknown_and_unpaired_settings(self):
        with self.assertRaisesRegex(errors.UserError, "--name is missing"):
            options.parse([], {})
        with self.assertRaisesRegex(errors.UserError, "unknown environment variable"):
            options.parse(REQUIRED, {"CORNELREACH_LISTN": "h:1"})
        with self.assertRaisesRegex(errors.UserError, "must be set together"):
            options.parse([*REQUIRED, "--tls-cert", __file__], {})
        with self.assertRaises(errors.UserError):
            options.parse(["--no-such-flag"], {})
