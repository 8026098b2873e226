"""Tests of the exchange of settings between two instances."""

import unittest

from cornelreach.settings import relay, state


def filled(count, tombstones=20_000, size=10):
    """Return a state with entries k1 to kN, and every third one deleted."""
    held = state.State(tombstones)
    for version in range(1, count + 1):
        value = {"name": "x" * size} if version % 3 else None
        entry = state.Entry(f"k{version}", version, value)
        held.apply(state.Delta(version - 1, version, (entry,)))
    return held


def exchange(taker, giver):
    """Carry pulls until there are none left; return how many there were."""
    taking, giving = relay.Relay(taker), relay.Relay(giver)
    fetch, pulls = None, 0
    for _ in range(relay.DIFFERENCES_TO_REPAIR):
        fetch = fetch or taking.noticed("peer", giver.revision, giver.digest, 0)
    while fetch is not None:
        pulls += 1
        fetch = taking.pulled(fetch, giving.serve(fetch.pull), 0)
    return pulls


class Exchange(unittest.TestCase):
    """Deltas, pages, wholes and repairs."""

    def check_equal(self, one, other):
        self.assertEqual(one.live(), other.live())
        self.assertEqual((one.revision, one.digest), (other.revision, other.digest))

    def test_pages_of_a_large_state(self):
        giver = filled(900, size=1_000)
        taker = state.State()
        self.assertGreater(exchange(taker, giver), 2)
        self.check_equal(taker, giver)

    def test_a_page_does_not_move_the_revision(self):
        giver, taker = filled(900, size=1_000), state.State()
        page = giver.delta(0)
        taker.apply(page)
        self.assertEqual((page.revision, taker.revision), (0, 0))

    def test_forgotten_deletions_need_a_whole_transfer(self):
        giver, taker = filled(300, tombstones=10), filled(2)
        self.assertGreater(giver.horizon, 2)
        self.assertEqual(exchange(taker, giver), 2)
        self.check_equal(taker, giver)

    def test_equal_revisions_that_differ_are_repaired(self):
        giver, taker = filled(10), state.State()
        stale = state.Entry("gone", 4, {"name": "gone"})
        taker.apply(state.Delta(0, 10, (*giver.live(), stale)))
        self.assertNotEqual(taker.digest, giver.digest)
        exchange(taker, giver)
        self.check_equal(taker, giver)

    def test_one_pull_at_a_time_from_a_peer_and_two_at_all(self):
        taking = relay.Relay(state.State())
        asked = [taking.noticed(peer, 5, 1, 0) for peer in ("a", "a", "b", "c")]
        self.assertEqual([fetch is not None for fetch in asked], [1, 0, 1, 0])
        taking.failed(asked[0])
        self.assertIsNotNone(taking.noticed("c", 5, 1, 0))
        self.assertIsNotNone(taking.noticed("a", 5, 1, 2 * relay.PULL_WAIT_MS))
