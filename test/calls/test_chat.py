"""Tests of request validation."""

import unittest

import hypothesis
import msgspec
from hypothesis import strategies

from cornelreach.calls import chat

GOOD = {"model": "m", "messages": [{"role": "user", "content": "hello"}]}


def parse(body, deadline_ms=None, priority=None):
    """Parse a body given as a value."""
    return chat.parse("a", msgspec.json.encode(body), deadline_ms, priority)


class Parse(unittest.TestCase):
    """Refusals name the field and the remedy."""

    def test_good_call_keeps_sampling_fields(self):
        parts = [{"type": "text", "text": "a"}, {"type": "text", "text": "b"}]
        body = {**GOOD, "messages": [{"role": "user", "content": parts}], "top_p": 0.5}
        call = parse(body, "500", "high").unwrap()
        self.assertEqual(call.messages, (chat.TextMessage("user", "ab"),))
        self.assertEqual((call.deadline_ms, call.priority), (500, 0))
        self.assertEqual(call.extra, {"top_p": 0.5})

    def test_bad_fields_are_refused_as_not_run(self):
        cases = [
            (({}, None, None), "model"),
            (({**GOOD, "messages": []}, None, None), "messages"),
            (({**GOOD, "n": 2}, None, None), "'n'"),
            (({**GOOD, "max_tokens": 0}, None, None), "max_tokens"),
            (({**GOOD, "pieces": []}, None, None), "pieces"),
            ((GOOD, "soon", None), "X-Deadline-Ms"),
            ((GOOD, None, "urgent"), "X-Priority"),
        ]
        for arguments, word in cases:
            refusal = parse(*arguments).failure()
            self.assertIn(word, refusal.message)
            self.assertEqual(refusal.ran, "not_run")

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(strategies.binary(max_size=200))
    def test_any_bytes_give_a_result(self, body):
        chat.parse("a", body, None, None)

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        strategies.recursive(
            strategies.none() | strategies.integers() | strategies.text(max_size=5),
            lambda inner: (
                strategies.lists(inner, max_size=3)
                | strategies.dictionaries(
                    strategies.sampled_from(
                        ["model", "messages", "role", "content", "n"]
                    ),
                    inner,
                )
            ),
        )
    )
    def test_any_json_gives_a_result(self, body):
        parse(body)
