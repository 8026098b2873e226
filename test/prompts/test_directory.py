"""Tests of the cache directory with late, missing and repeated events."""

import unittest

import hypothesis
from hypothesis import strategies

from cornelreach.prompts import directory

KEYS = [f"{number:016x}{number:016x}" for number in range(1, 9)]
SETTINGS = hypothesis.settings(derandomize=True, deadline=None, database=None)
ACTIONS = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just("change"), strategies.sampled_from(KEYS)),
        strategies.tuples(
            strategies.sampled_from(["lose", "repeat", "poll", "list", "boot"]),
            strategies.just(""),
        ),
    ),
    max_size=60,
)


class _Source:
    """A source whose events can be lost or repeated in transit."""

    def __init__(self, pool):
        self.pool = pool
        self.boot, self.seq, self.keys, self.in_transit = 0, 0, set(), []

    def change(self, key):
        op = "removed" if key in self.keys else "stored"
        self.keys ^= {key}
        self.seq += 1
        self.in_transit.append(directory.CacheEvent(self.seq, op, key))

    def lose(self, _):
        del self.in_transit[:1]

    def repeat(self, _):
        self.in_transit.extend(self.in_transit[-2:])

    def poll(self, _):
        last_seq = max((event.seq for event in self.in_transit), default=0)
        self.pool.apply_events("e", str(self.boot), self.in_transit, last_seq)
        self.in_transit = self.in_transit[-1:]

    def list(self, _):
        self.pool.apply_listing("e", str(self.boot), self.seq, self.keys)

    def boot(self, _):
        pass

    def restart(self):
        self.boot, self.seq, self.keys, self.in_transit = self.boot + 1, 0, set(), []


def held_keys(pool, name="e"):
    """Return the keys that a source holds according to the directory."""
    return {key for key in KEYS if name in pool.holders(key)}


class DirectoryTest(unittest.TestCase):
    """Compares the directory with the actual content of its sources."""

    @SETTINGS
    @hypothesis.given(ACTIONS)
    def test_is_correct_or_stale_once_events_have_arrived(self, actions):
        pool = directory.Directory()
        source = _Source(pool)
        source.list("")
        for action, key in actions:
            if action == "boot":
                source.restart()
            else:
                getattr(source, action)(key)
        source.change(KEYS[0])
        source.poll("")
        if not pool.stale("e"):
            self.assertEqual(held_keys(pool), source.keys)
        source.list("")
        self.assertEqual((held_keys(pool), pool.stale("e")), (source.keys, False))

    def test_gap_marks_source_stale_and_old_listing_is_ignored(self):
        pool = directory.Directory()
        pool.apply_listing("e", "b", 4, KEYS[:2])
        gap = [directory.CacheEvent(6, "removed", KEYS[0])]
        self.assertEqual(pool.apply_events("e", "b", gap, 6), directory.ApplyResult.GAP)
        self.assertTrue(pool.lookup(KEYS)["e"].stale)
        outdated = pool.apply_listing("e", "b", 5, KEYS)
        self.assertEqual(outdated, directory.ApplyResult.OUTDATED)
        pool.apply_listing("e", "b", 7, KEYS[1:2])
        self.assertFalse(pool.stale("e"))

    def test_new_boot_identity_empties_only_its_source(self):
        pool = directory.Directory()
        pool.apply_listing("e", "1", 4, KEYS)
        pool.apply_listing("f", "1", 4, KEYS[:3])
        self.assertEqual(
            pool.apply_events("e", "2", [], 0), directory.ApplyResult.NEW_BOOT
        )
        self.assertEqual(list(pool.lookup(KEYS)), ["f"])
        pool.remove_source("f")
        self.assertEqual(len(pool), 0)

    def test_tiers_and_prefix(self):
        pool = directory.Directory()
        pool.apply_listing("s", "1", 0, KEYS[:4])
        moved = [
            directory.CacheEvent(1, "stored", KEYS[1], "disk"),
            directory.CacheEvent(2, "removed", KEYS[2]),
        ]
        pool.apply_events("s", "1", moved, 2)
        self.assertEqual(
            pool.lookup(KEYS)["s"], directory.HeldPieces(0b1011, 0b10, 0, False)
        )
        self.assertEqual(pool.lookup(KEYS)["s"].prefix, 2)
        self.assertEqual(directory.run_length(0b1011, 3), 1)
        self.assertEqual(pool.holders(KEYS[1]), {"s": "disk"})

    def test_assumed_pieces_count_immediately_and_expire_unless_confirmed(self):
        pool = directory.Directory()
        pool.apply_listing("e", "1", 0, [])
        pool.assume("e", KEYS[:3], 0)
        pool.apply_listing("e", "1", 0, [])
        self.assertEqual(pool.lookup(KEYS)["e"].prefix, 3)
        pool.apply_events("e", "1", [directory.CacheEvent(1, "stored", KEYS[0])], 1)
        pool.expire(directory.ASSUMED_TTL_MS)
        self.assertEqual(held_keys(pool), {KEYS[0]})

    def test_evicts_the_least_recently_used_pieces(self):
        pool = directory.Directory(max_pieces=32)
        keys = [f"{number:032x}"[::-1] for number in range(40)]
        pool.apply_listing("e", "1", 0, keys[:32])
        pool.touch(keys[:2])
        others = [key for key in keys[:32] if key not in keys[:2]]
        before = [key for key in others if pool.holders(key)]
        pool.apply_events("e", "1", [directory.CacheEvent(1, "stored", keys[33])], 1)
        self.assertLessEqual(len(pool), 32)
        self.assertEqual(pool.lookup(keys[:2])["e"].prefix, 2)
        self.assertEqual(len(before) - len([k for k in before if pool.holders(k)]), 2)
