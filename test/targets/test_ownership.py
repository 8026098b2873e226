"""Tests that at most one instance has the right to admit to cold targets."""

import unittest
from unittest import mock

from cornelreach.targets import admission, ownership, permits
from tools import admission_world as world

LEASE_MS = ownership.LEASE_MS
PROMISE_MS = ownership.PROMISE_MS
A, B, C = (ownership.Member(name, "1") for name in "abc")


class PairTest(unittest.TestCase):
    """Owner A and successor B of epoch 1 on one clock; A holds the right at once."""

    def setUp(self):
        self.a = ownership.Ownership("p", A)
        self.b = ownership.Ownership("p", B)
        self.a.observe_record(0, None, 0.0)
        attempt = self.a.propose([A, B, C], 0.0)
        self.record = attempt.record
        self.now_ms = 10_000.0
        self.a.observe_record(1, self.record, 0.0)
        self.b.observe_record(1, self.record, self.now_ms)
        self.b.advance(self.now_ms)
        self.exchange_heartbeat()

    def exchange_heartbeat(self, platform=True):
        heartbeat = self.a.heartbeat(self.now_ms, platform)
        answer = self.b.receive_heartbeat(heartbeat, self.now_ms)
        if isinstance(answer, ownership.Ack):
            self.a.receive_ack(answer, self.now_ms)
        return answer

    def holders(self):
        sides = (self.a, self.b)
        return [
            one.me.name for one in sides if one.admission_right(self.now_ms).exclusive
        ]

    def wait(self, wait_ms):
        """Advance the clock and B, without messages."""
        while wait_ms > 0:
            step_ms = min(wait_ms, 1_000)
            self.now_ms += step_ms
            wait_ms -= step_ms
            self.b.advance(self.now_ms)

    def test_record_names_the_first_two_live_members(self):
        self.assertEqual(self.record, ownership.Record(1, A, B))
        self.assertEqual(self.holders(), ["a"])

    def test_right_ends_a_lease_after_the_heartbeat_was_sent(self):
        self.now_ms += LEASE_MS - 1
        self.assertEqual(self.holders(), ["a"])
        self.now_ms += 1
        self.assertEqual(self.holders(), [])

    def test_platform_decides_while_it_is_reachable(self):
        self.wait(PROMISE_MS)
        self.assertIs(self.b.role, ownership.Role.SUCCESSOR)
        attempt = self.b.propose([A, B, C], self.now_ms)
        self.assertEqual(attempt.record, ownership.Record(2, B, A))
        self.assertIsNone(
            self.exchange_heartbeat(), "no acknowledgment during a pending write"
        )
        self.b.observe_record(2, attempt.record, self.now_ms)
        self.assertEqual(self.holders(), [])
        answer = self.b.receive_heartbeat(
            self.a.heartbeat(self.now_ms, True), self.now_ms
        )
        self.a.receive_stale(answer, self.now_ms)
        self.assertIs(self.a.role, ownership.Role.SUCCESSOR)
        heartbeat = self.b.heartbeat(self.now_ms, True)
        self.b.receive_ack(
            self.a.receive_heartbeat(heartbeat, self.now_ms), self.now_ms
        )
        self.now_ms += ownership.PERMITS_EXPIRE_MS
        self.assertEqual(self.holders(), ["b"])

    def test_lost_reply_blocks_the_successor_until_a_later_version(self):
        self.wait(PROMISE_MS)
        attempt = self.b.propose([A, B, C], self.now_ms)
        self.b.observe_record(1, self.record, self.now_ms)
        self.assertIsNone(self.exchange_heartbeat())
        self.assertEqual(self.b.propose([A, B], self.now_ms), attempt)
        self.b.observe_record(2, self.record, self.now_ms)
        self.assertIsInstance(self.exchange_heartbeat(), ownership.Ack)

    def test_attempt_stays_open_if_a_second_try_is_refused_after_a_lost_reply(self):
        self.wait(PROMISE_MS)
        attempt = self.b.propose([A, B, C], self.now_ms)
        self.b.mark_outcome_unknown()
        self.b.reject_attempt()
        self.assertEqual(self.b.attempt, attempt)
        self.assertIsNone(self.exchange_heartbeat())

    def test_successor_decides_while_the_platform_is_unreachable(self):
        self.exchange_heartbeat(platform=False)
        self.wait(PROMISE_MS)
        self.assertIs(self.b.role, ownership.Role.OWNER)
        self.now_ms += ownership.PERMITS_EXPIRE_MS - 1
        self.assertEqual(self.holders(), [])
        self.now_ms += 1
        self.assertEqual(self.holders(), ["b"])
        self.assertIsNone(self.a.propose([A, C], self.now_ms))

    def test_platform_becomes_arbiter_again_only_when_confirmed(self):
        self.exchange_heartbeat(platform=False)
        self.a.heartbeat(self.now_ms, True)
        self.now_ms += ownership.SUCCESSOR_LOST_MS + 1
        self.assertIsNone(self.a.propose([A, C], self.now_ms))
        self.exchange_heartbeat(platform=True)
        self.now_ms += ownership.SUCCESSOR_LOST_MS + 1
        self.assertEqual(self.a.propose([A, C], self.now_ms).record.successor, C)

    def test_late_heartbeat_does_not_change_the_arbiter_back(self):
        late = self.a.heartbeat(self.now_ms, False)
        self.exchange_heartbeat(platform=True)
        self.assertIsNone(self.b.receive_heartbeat(late, self.now_ms))
        self.wait(PROMISE_MS)
        self.assertIs(self.b.role, ownership.Role.SUCCESSOR)

    def test_pause_of_both_members(self):
        self.exchange_heartbeat(platform=False)
        self.now_ms += 60_000
        self.b.advance(self.now_ms)
        self.assertEqual(self.holders(), [])
        self.assertIs(self.b.role, ownership.Role.SUCCESSOR)
        self.exchange_heartbeat(platform=False)
        self.assertEqual(self.holders(), ["a"])

    def test_successor_dies_in_a_platform_outage(self):
        self.exchange_heartbeat(platform=False)
        self.now_ms += 1_000
        self.a.observe_death(B, self.now_ms)
        self.now_ms += 600_000
        self.assertEqual(self.holders(), ["a"])

    def test_death_detected_after_the_lease_needs_a_write_and_a_new_wait(self):
        self.exchange_heartbeat(platform=False)
        self.now_ms += LEASE_MS
        self.a.observe_death(B, self.now_ms)
        self.assertEqual(self.holders(), [])
        attempt = self.a.propose([A, C], self.now_ms)
        self.assertEqual(attempt.record, ownership.Record(3, A, C))
        self.a.observe_record(2, attempt.record, self.now_ms)
        admission_right = self.a.admission_right(self.now_ms)
        wait_ms = admission_right.exclusive_from_ms - self.now_ms
        self.assertEqual(wait_ms, ownership.PERMITS_EXPIRE_MS)

    def test_owner_keeps_the_right_for_one_lease_while_its_write_is_open(self):
        self.a.receive_resignation(ownership.Resignation("p", 1, B), self.now_ms)
        heartbeat = self.a.heartbeat(self.now_ms, True)
        self.a.propose([A, C], self.now_ms)
        self.now_ms += LEASE_MS - 1
        self.assertEqual(self.holders(), ["a"])
        late = ownership.Ack(
            "p", 1, heartbeat.sequence, self.now_ms, B, heartbeat.arbiter
        )
        self.a.receive_ack(late, self.now_ms)
        self.now_ms += 1
        self.assertEqual(self.holders(), [])

    def test_planned_stop_hands_over_without_the_platform(self):
        resignation = self.a.resign(self.now_ms)
        self.assertEqual(self.holders(), [])
        self.b.receive_resignation(resignation, self.now_ms)
        self.now_ms += ownership.PERMITS_EXPIRE_MS
        self.assertEqual(self.holders(), ["b"])

    def test_other_instance_needs_proof_that_both_members_are_dead(self):
        c = ownership.Ownership("p", C)
        c.observe_record(1, self.record, self.now_ms)
        c.observe_death(A, self.now_ms)
        self.assertIsNone(c.propose([C], self.now_ms))
        c.observe_death(B, self.now_ms)
        self.assertEqual(c.propose([C], self.now_ms).record.epoch, 3)


def breaks_admission_limit(seed, kind=world.World):
    """Return whether a cold target was overloaded or two instances held the right."""
    ran = kind(seed).run(90)
    return ran.target.max_running > ran.target.limit or ran.rivals > 1


def admission_right_without_lease(self, now_ms):
    """Replace ``admission_right`` by one that ignores the lease."""
    owns = self.role is ownership.Role.OWNER and now_ms >= self._exclusive_from_ms
    epoch = self.record.epoch if self.record else 0
    return admission.AdmissionRight(epoch, owns, self._exclusive_from_ms)


def arbiter_ignored(method):
    """Wrap a decision so that it always treats the platform as the arbiter."""

    def wrapped(self, *arguments):
        arbiter, self.arbiter = self.arbiter, ownership.Arbiter.PLATFORM
        try:
            return method(self, *arguments)
        finally:
            self.arbiter = arbiter

    return wrapped


class WorldTest(unittest.TestCase):
    """Simulations of a target that is always cold, with random faults.

    Each planted fault has to be found within ``MAX_SEEDS`` seeds. The seeds of the
    first test include those that have failed in the past.
    """

    MAX_SEEDS = 150

    def test_cold_target_is_never_overloaded(self):
        for kind in (world.World, world.SlowWorld, world.SplitWorld):
            found = [seed for seed in range(12) if breaks_admission_limit(seed, kind)]
            self.assertEqual(found, [], kind.__name__)

    def test_calls_are_served(self):
        target = world.World(1, faults=("cold",), limit=1).run(90).target
        self.assertGreater(target.served, 15)

    def assert_found(self, subject, name, value, kind=world.SlowWorld):
        with mock.patch.object(subject, name, value):
            seeds = range(self.MAX_SEEDS)
            self.assertTrue(any(breaks_admission_limit(seed, kind) for seed in seeds))

    def test_finds_a_sender_without_a_check_before_sending(self):
        self.assert_found(permits, "check", world.allow)

    def test_finds_an_owner_without_lease(self):
        self.assert_found(
            ownership.Ownership, "admission_right", admission_right_without_lease
        )

    def test_finds_an_owner_that_ignores_the_arbiter(self):
        ignoring = arbiter_ignored(ownership.Ownership._wanted_by_owner)
        kind = world.World
        self.assert_found(ownership.Ownership, "_wanted_by_owner", ignoring, kind)

    def test_finds_a_successor_without_promise(self):
        self.assert_found(ownership, "PROMISE_MS", 0, world.World)

    def test_finds_an_owner_that_ignores_load_of_former_owners(self):
        always = mock.Mock(return_value=True)
        kind = world.World
        self.assert_found(admission.TargetAdmission, "is_accounted", always, kind)

    def test_finds_an_owner_that_ignores_the_age_of_reports(self):
        self.assert_found(admission, "MAX_REPORT_AGE_MS", 0, world.World)

    def test_finds_an_owner_that_drops_permits_too_early(self):
        self.assert_found(admission, "PERMIT_EXPIRY_MS", -1e6, world.World)
