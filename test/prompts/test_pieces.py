"""Tests for splitting prompts into pieces."""

import unittest

import hypothesis
from hypothesis import strategies

from cornelreach.prompts import pieces

MESSAGE = strategies.builds(
    lambda role, size, mark: {"role": role, "content": mark * size},
    strategies.sampled_from(["system", "user", "assistant"]),
    strategies.integers(0, 9_000),
    strategies.sampled_from(["a", "ž"]),
)
CHATS = strategies.lists(MESSAGE, min_size=1, max_size=6)
SETTINGS = hypothesis.settings(derandomize=True, deadline=None, database=None)


def split(*messages, account="tirnica", model="reader", version="1"):
    """Split a chat given as (role, content) pairs."""
    chat = [{"role": role, "content": content} for role, content in messages]
    return pieces.split(account, model, version, chat)


class Split(unittest.TestCase):
    """Piece boundaries, keys and document roots."""

    @SETTINGS
    @hypothesis.given(CHATS, CHATS)
    def test_appended_turns_change_only_a_short_last_piece(self, chat, more):
        before = pieces.split("a", "m", "1", chat)
        after = pieces.split("a", "m", "1", chat + more)
        kept = len(before.keys)
        if before.tokens[-1] <= pieces.MIN_PIECE_TOKENS:
            kept -= 1
        self.assertEqual(before.keys[:kept], after.keys[:kept])
        self.assertEqual(before.tokens[:kept], after.tokens[:kept])
        self.assertLessEqual(max(after.tokens), pieces.PIECE_TOKENS)

    @SETTINGS
    @hypothesis.given(CHATS)
    def test_accounts_models_and_versions_share_no_keys(self, chat):
        own = set(pieces.split("a", "m", "1", chat).keys)
        for scope in (("b", "m", "1"), ("a", "n", "1"), ("a", "m", "2")):
            self.assertFalse(own & set(pieces.split(*scope, chat).keys))

    def test_questions_on_one_document_share_its_pieces_and_root(self):
        document = ("system", "rule " * 2_100)
        one = split(document, ("user", "May we work at night?"))
        two = split(document, ("user", "Which forms apply?"), version="2")
        same = split(document, ("user", "Which forms apply?"))
        self.assertEqual(one.keys[:3], same.keys[:3])
        self.assertNotEqual(one.keys[3], same.keys[3])
        self.assertEqual(one.tokens, (1_000, 1_000, 625, 6))
        self.assertEqual(one.root, two.root)

    def test_root_covers_more_than_a_short_shared_instruction(self):
        common = ("system", "Answer yes or no. " * 20)
        one = split(common, ("user", "contract A " * 900))
        two = split(common, ("user", "contract B " * 900))
        self.assertEqual(one.keys[0], two.keys[0])
        self.assertNotEqual(one.root, two.root)
        other = split(common, ("user", "contract A " * 900), account="tarmac")
        self.assertNotEqual(one.root, other.root)

    def test_roles_message_boundaries_and_other_fields_affect_the_key(self):
        chats = [
            [{"role": "user", "content": "ab"}],
            [{"role": "system", "content": "ab"}],
            [{"role": "user", "content": "a"}, {"role": "user", "content": "b"}],
            [{"role": "user", "content": "ab", "name": "x"}],
            [{"role": "user", "content": [{"type": "text", "text": "ab"}]}],
            [{"role": "user", "content": None}],
            [],
        ]
        keys = [pieces.split("a", "m", "1", chat).keys for chat in chats]
        self.assertEqual(len(set(keys)), len(chats))
