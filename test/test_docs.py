"""Test that the generated pages of docs/ are up to date."""

import unittest

from tools import write_docs


class GeneratedPages(unittest.TestCase):
    """Generated pages: log events, commands, settings and metrics."""

    def test_generated_pages_are_up_to_date(self):
        self.assertEqual(write_docs.outdated_pages(), [], "run `make docs`")
