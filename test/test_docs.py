"""Test that the pages which follow from the code agree with it."""

import unittest

from tools import write_docs


class Pages(unittest.TestCase):
    """Log events, commands, settings and metrics."""

    def test_pages_agree_with_the_code(self):
        self.assertEqual(write_docs.differing(), [], "run `make docs`")
