"""Tests of the settings state: it is monotonic whatever the order of deltas."""

import random
import unittest
import unittest.mock

from cornelreach.settings import state
from test.platform import objects


def entry(key, version, value=None):
    """Return an entry; a value of None deletes."""
    return state.Entry(key, version, value)


class StateTest(unittest.TestCase):
    """Deltas that are out of order, repeated or stale."""

    def test_lower_versions_and_stale_snapshots_change_nothing(self):
        held = state.State()
        events = []
        held.subscribe(events.append)
        held.apply(state.Delta(0, 5, (entry("a", 5, {"x": 1}),)))
        self.assertEqual(held.apply(state.Delta(0, 4, (entry("a", 4, {}),))), ())
        held.apply(state.Delta(5, 6, (entry("a", 6),)))
        stale_snapshot = state.Delta(0, 5, (entry("a", 5, {"x": 1}),), snapshot=True)
        self.assertEqual(held.apply(stale_snapshot), ())
        self.assertEqual((held.live(), held.revision, len(events)), ([], 6, 2))

    def test_delta_ahead_takes_effect_without_advancing_the_revision(self):
        held = state.State()
        held.apply(state.Delta(3, 4, (entry("b", 4, {}),)))
        self.assertEqual((len(held.live()), held.revision), (1, 0))
        held.apply(state.Delta(0, 4, (entry("a", 2, {}), entry("b", 4, {}))))
        self.assertEqual((len(held.live()), held.revision), (2, 4))

    def test_discarded_deletions_are_not_undone(self):
        held = state.State(max_tombstones=2)
        held.apply(state.Delta(0, 1, (entry("a", 1, {}),)))
        for version in range(2, 9):
            deletion = entry(f"k{version}" if version > 2 else "a", version)
            held.apply(state.Delta(version - 1, version, (deletion,)))
        self.assertGreaterEqual(held.discarded_version, 2)
        self.assertEqual(held.apply(state.Delta(0, 1, (entry("a", 1, {}),))), ())
        self.assertIsNone(held.delta(1))

    def test_copies_converge_through_random_deltas(self):
        for seed in range(300):
            self.check_convergence(random.Random(seed))

    def test_ignored_gap_is_detected(self):
        original_apply = state.State.apply

        def apply_ignoring_gaps(held, delta):
            return original_apply(held, delta._replace(since=0))

        with (
            unittest.mock.patch.object(state.State, "apply", apply_ignoring_gaps),
            self.assertRaises(AssertionError),
        ):
            for seed in range(60):
                self.check_convergence(random.Random(seed))

    def check_convergence(self, rng):
        store = objects.Store()
        copies = [state.State(max_tombstones=3) for _ in range(4)]
        for _ in range(40):
            self.write_random_change(store, rng)
            self.apply_random_delta(store, copies, rng)
        listing = store.listing("")
        final = state.Delta(0, listing.revision, listing.records, snapshot=True)
        for copy in copies:
            copy.apply(final)
            self.assertEqual(copy.live(), list(listing.records))
        self.assertEqual(len({copy.digest for copy in copies}), 1)

    def write_random_change(self, store, rng):
        key = f"k{rng.randrange(8)}"
        held = store.records.get(key)
        value = None if held and rng.random() < 0.4 else {"n": rng.random()}
        store.write(key, value, held.version if held else 0)

    def apply_random_delta(self, store, copies, rng):
        copy = rng.choice(copies)
        if rng.random() < 0.2:
            since = rng.randrange(store.revision + 1)
            found = store.changes("", since).unwrap()
            copy.apply(state.Delta(since, found.revision, found.records))
            return
        peer = rng.choice(copies)
        before = copy.revision
        limit_bytes = rng.choice([1, 10_000])
        delta = peer.delta(copy.revision, limit_bytes=limit_bytes)
        if delta is None:
            entries = tuple(peer.live())
            delta = state.Delta(0, peer.revision, entries, snapshot=True)
        copy.apply(delta)
        self.assertGreaterEqual(copy.revision, before)
