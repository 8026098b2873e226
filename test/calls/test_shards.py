"""Tests of the claim log of one shard: batches, history, retention, conflicts."""

import asyncio
import random
import unittest
from unittest import mock

from cornelreach.calls import history, ledger, shards
from cornelreach.platform import backoff
from test import virtualloop
from test.platform import objects

RETENTION_MS = 60_000.0


def entry(key, number=1, kind=ledger.EntryKind.CLAIM, answer=None, instance="a"):
    """Return an entry for a short key."""
    attempt = ledger.AttemptId(instance, "boot", number)
    time_ms = 1_000_000_000_000
    return ledger.LogEntry(kind, key.encode(), attempt, time_ms, b"", answer)


class Log(unittest.TestCase):
    """One log, written by two instances in virtual time."""

    def setUp(self):
        self.loop = virtualloop.Loop()
        self.addCleanup(self.loop.close)
        self.fake = objects.FakeObjectStore()
        self.clock = virtualloop.Clock(self.loop)
        self.first, self.second = self.shard(), self.shard()

    def shard(self):
        return virtualloop.run(self.make(), self.loop)

    async def make(self):
        pause = backoff.Backoff(random.Random(1), shards.RETRY_MS)
        return shards.Shard(self.fake, self.clock, "0000", lambda: RETENTION_MS, pause)

    def submit(self, shard, *entries, wait_ms=2_000):
        async def submit():
            calls = [shard.submit(one, wait_ms) for one in entries]
            return await asyncio.gather(*calls)

        return virtualloop.run(submit(), self.loop)

    def test_waiting_claims_share_one_write(self):
        decisions = self.submit(self.first, *(entry(f"k{n}") for n in range(100)))
        self.assertEqual(set(decisions), {ledger.Held()})
        self.assertEqual(self.first.writes, 1)

    def test_only_the_first_of_two_claims_is_held(self):
        attempt = entry("k").attempt
        decisions = self.submit(self.first, entry("k"), entry("k", 2))
        self.assertEqual(decisions, [ledger.Held(), ledger.Running(attempt)])
        other = self.submit(self.second, entry("k", instance="b"))
        self.assertEqual(other, [ledger.Running(attempt)])

    def test_former_owner_reads_new_entries_before_it_writes(self):
        self.submit(self.first, entry("k0"))
        self.submit(self.second, entry("k1"))
        again = self.submit(self.first, entry("k1", instance="b"), entry("k2"))
        self.assertEqual(again, [ledger.Running(entry("k1").attempt), ledger.Held()])

    def test_a_lost_answer_is_resolved_by_reading_back(self):
        for fault in ("lost", "dropped"):
            self.fake.faults = [None, fault]
            shard = self.shard()
            decided = self.submit(shard, entry(fault), entry(fault, 2))
            expected = [ledger.Held(), ledger.Running(entry(fault).attempt)]
            self.assertEqual(decided, expected)

    def test_repeat_gets_the_outcome_and_release_frees_the_key(self):
        answer = ledger.Answer(200, "text/plain", b"booked")
        self.submit(self.first, entry("k"), entry("l"))
        entries = (
            entry("k", kind=ledger.EntryKind.OUTCOME, answer=answer),
            entry("l", kind=ledger.EntryKind.RELEASE),
            entry("l", 9, kind=ledger.EntryKind.RELEASE),
        )
        self.submit(self.first, *entries)
        decisions = self.submit(self.second, entry("k", 2), entry("l", 2))
        self.assertEqual(decisions, [ledger.Finished(answer), ledger.Held()])

    def test_decision_is_unavailable_during_a_platform_outage(self):
        self.fake.faults = ["unavailable"] * 1_000
        decided = self.submit(self.first, entry("k"))
        self.assertIsInstance(decided[0], ledger.Unavailable)
        self.fake.faults = []
        self.assertEqual(self.submit(self.first, entry("k", 2)), [ledger.Held()])

    def test_history_is_written_merged_and_read_by_a_new_owner(self):
        with (
            mock.patch.object(shards, "ROLL_BYTES", 300),
            mock.patch.object(history, "MERGE_COUNT", 4),
        ):
            for number in range(40):
                self.submit(self.first, entry(f"k{number}", number))
        keys = [key for key in self.fake.store.records if key.startswith("claims/")]
        self.assertLess(len(keys), 8)
        repeats = [entry(f"k{number}", 100 + number) for number in range(40)]
        decisions = self.submit(self.second, *repeats)
        expected = [ledger.Running(entry("", n).attempt) for n in range(40)]
        self.assertEqual(decisions, expected)

    def test_expired_claims_leave_the_log_and_the_memory(self):
        with mock.patch.object(shards, "ROLL_BYTES", 300):
            for number in range(6):
                self.submit(self.first, entry(f"k{number}"))
            virtualloop.run(asyncio.sleep(RETENTION_MS / 1_000 + 1), self.loop)
            late = int(self.clock.wall_ms())
            self.submit(self.first, entry("late")._replace(time_ms=late))
        keys = [key for key in self.fake.store.records if key.startswith("claims/")]
        self.assertEqual(keys, [])
        self.assertEqual(list(self.first.ledger.records), [b"late"])
        again = entry("k0", 7)._replace(time_ms=late)
        self.assertEqual(self.submit(self.second, again), [ledger.Held()])

    def test_full_log_accepts_no_claim_until_some_expire(self):
        with mock.patch.object(shards, "MAX_RECORDS", 2):
            self.submit(self.first, entry("k0"), entry("k1"))
            full = self.submit(self.first, entry("k2"))
            self.assertEqual(full, [ledger.Unavailable("the claim log is full")])
            virtualloop.run(asyncio.sleep(RETENTION_MS / 1_000 + 1), self.loop)
            self.assertEqual(self.submit(self.first, entry("k2")), [ledger.Held()])
