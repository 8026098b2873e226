"""Splitting of JSON text into parts."""

import contextlib
import json
import unittest

import hypothesis
from hypothesis import strategies

from cornelreach.util import jsonspans

VALUES = strategies.recursive(
    strategies.none() | strategies.integers() | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=4), inner, max_size=4)
    ),
    max_leaves=20,
)


def join(part):
    """Return the value of a part, as a decoder would."""
    if isinstance(part, bytes):
        return json.loads(part)
    if isinstance(part, list):
        return [join(one) for one in part]
    return {name: join(one) for name, one in part.items()}


class Splitting(unittest.TestCase):
    """Parts are those that a decoder finds, and nothing is split deeper than asked."""

    @hypothesis.given(VALUES, strategies.integers(1, 5), strategies.booleans())
    def test_parts_decode_to_the_same_value(self, value, depth, spaced):
        for whole in ([value], {"a": value}):
            text = json.dumps(whole, indent=1 if spaced else None).encode()
            self.assertEqual(join(jsonspans.split(text, depth)), whole)

    def test_what_lies_deeper_stays_text(self):
        found = jsonspans.split(b'{"a": [1, [2]], "b": 3}', 2)
        self.assertEqual(found, {"a": [b"1", b"[2]"], "b": b"3"})

    def test_depth_costs_no_stack(self):
        for text in (b"[" * 300_000 + b"]" * 300_000, b'{"a":' * 9_000 + b"}" * 9_000):
            (part,) = jsonspans.split(b"[" + text + b"]", 1)
            self.assertEqual(part, text)

    def test_malformed_texts_are_rejected(self):
        for text in (b"", b"1", b"[1", b"{]", b'{"a" 1}', b"{1: 2}", b"[1] 2", b'["'):
            with self.subTest(text=text), self.assertRaises(ValueError):
                jsonspans.split(text, 3)

    @hypothesis.given(strategies.binary(max_size=60))
    def test_any_bytes_are_split_or_rejected(self, data):
        with contextlib.suppress(ValueError):
            jsonspans.split(b'{"items":[' + data + b"]}", 3)
