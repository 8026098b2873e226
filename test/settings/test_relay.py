"""Tests of the replication of settings between two instances."""

import unittest

from cornelreach.settings import relay, state


def state_with_entries(count, max_tombstones=20_000, size=10):
    """Return a state with entries k1 to kN of which every third is a deletion."""
    held = state.State(max_tombstones)
    for version in range(1, count + 1):
        value = {"name": "x" * size} if version % 3 else None
        entry = state.Entry(f"k{version}", version, value)
        held.apply(state.Delta(version - 1, version, (entry,)))
    return held


def replicate(receiver_state, sender_state):
    """Run pulls until none is left; return their number."""
    receiver, sender = relay.Relay(receiver_state), relay.Relay(sender_state)
    fetch, pulls = None, 0
    for _ in range(relay.MISMATCHES_TO_REPAIR):
        fetch = fetch or receiver.compare(
            "peer", sender_state.revision, sender_state.digest, 0
        )
    while fetch is not None:
        pulls += 1
        fetch = receiver.pulled(fetch, sender.serve(fetch.pull), 0)
    return pulls


class RelayTest(unittest.TestCase):
    """Deltas, pages, snapshots and repair of differences."""

    def assert_equal_states(self, one, other):
        self.assertEqual(one.live(), other.live())
        self.assertEqual((one.revision, one.digest), (other.revision, other.digest))

    def test_large_state_is_sent_in_pages(self):
        sender_state = state_with_entries(900, size=1_000)
        receiver_state = state.State()
        self.assertGreater(replicate(receiver_state, sender_state), 2)
        self.assert_equal_states(receiver_state, sender_state)

    def test_page_does_not_advance_the_revision(self):
        sender_state, receiver_state = (
            state_with_entries(900, size=1_000),
            state.State(),
        )
        page = sender_state.delta(0)
        receiver_state.apply(page)
        self.assertEqual((page.revision, receiver_state.revision), (0, 0))

    def test_discarded_deletions_require_a_snapshot(self):
        sender_state, receiver_state = (
            state_with_entries(300, max_tombstones=10),
            state_with_entries(2),
        )
        self.assertGreater(sender_state.discarded_version, 2)
        self.assertEqual(replicate(receiver_state, sender_state), 2)
        self.assert_equal_states(receiver_state, sender_state)

    def test_difference_at_equal_revision_is_repaired(self):
        sender_state, receiver_state = state_with_entries(10), state.State()
        stale = state.Entry("gone", 4, {"name": "gone"})
        receiver_state.apply(state.Delta(0, 10, (*sender_state.live(), stale)))
        self.assertNotEqual(receiver_state.digest, sender_state.digest)
        replicate(receiver_state, sender_state)
        self.assert_equal_states(receiver_state, sender_state)

    def test_one_pending_pull_per_peer_and_two_in_total(self):
        receiver = relay.Relay(state.State())
        fetches = [receiver.compare(peer, 5, 1, 0) for peer in ("a", "a", "b", "c")]
        self.assertEqual([fetch is not None for fetch in fetches], [1, 0, 1, 0])
        receiver.failed(fetches[0])
        self.assertIsNotNone(receiver.compare("c", 5, 1, 0))
        self.assertIsNotNone(receiver.compare("a", 5, 1, 2 * relay.PULL_WAIT_MS))
