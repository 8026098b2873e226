"""Tests of fair queueing, token budgets and queue limits among accounts."""

import unittest

import hypothesis
from hypothesis import strategies
from returns import pipeline

from cornelreach.targets import admission, drainrate, fairness, permits, pool, sharing

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=20
)


def ask(name, account="a", tokens=1_000, **fields):
    """Return a request of one sequence."""
    return permits.PermitRequest(name, "n1", "nb", "p", account, tokens, **fields)


def entry(name, account="a", now_ms=0.0, **fields):
    """Return a queue entry."""
    return fairness.Entry(ask(name, account, **fields), now_ms, now_ms + 1e6, 1e9)


def warm_owner(sequences=4, targets=1, **options):
    """Return the owner of a pool of warm targets."""
    limits = admission.Limits(max_sequences=sequences)
    names = [f"e{number}" for number in range(targets)]
    owner = pool.PoolOwner("p", dict.fromkeys(names, limits), **options)
    for name in names:
        owner.report(permits.Report(name, 0.0, "b", "b", False, 0, 0), 0.0)
    return owner


class QueueTest(unittest.TestCase):
    def setUp(self):
        self.queue = fairness.FairQueue(fairness.default_quota)

    def names(self, now_ms=0.0):
        return [one.name for one in self.queue.next_entries(now_ms)]

    @SETTINGS
    @hypothesis.given(
        strategies.lists(strategies.integers(1, 3), min_size=2, max_size=5),
        strategies.lists(strategies.integers(100, 5_000), min_size=60, max_size=60),
    )
    def test_backlogged_accounts_share_tokens_by_weight(self, weights, sizes):
        queue = fairness.FairQueue(lambda account: fairness.Quota(burst_tokens=1e12))
        for number, weight in enumerate(weights):
            for index, tokens in enumerate(sizes):
                name = f"{number}/{index}"
                queue.add(entry(name, str(number), tokens=tokens, weight=weight), 0.0)
        served = [0.0] * len(weights)
        while all(queue.call_count(str(number)) for number in range(len(weights))):
            queued = queue.next_entries(0.0)[0]
            queue.grant(queued, queued.tokens, 0.0)
            served[int(queued.request.account)] += queued.tokens / queued.request.weight
        self.assertLessEqual(max(served) - min(served), 2 * max(sizes))

    def test_idle_account_gains_no_credit(self):
        for index in range(20):
            self.queue.add(entry(f"a{index}"), 0.0)
        for _ in range(10):
            queued = self.queue.next_entries(0.0)[0]
            self.queue.grant(queued, queued.tokens, 0.0)
        for index in range(20):
            self.queue.add(entry(f"b{index}", "b"), 0.0)
        self.assertLessEqual(sum(name.startswith("b") for name in self.names()[:6]), 4)

    def test_priority_orders_within_an_account_and_ages(self):
        self.queue.add(entry("normal"), 0.0)
        self.queue.add(entry("urgent", priority=permits.Priority.URGENT), 0.0)
        self.assertEqual(self.names(), ["urgent", "normal"])
        late_ms = fairness.AGING_MS
        self.queue.add(
            entry("later", now_ms=late_ms, priority=permits.Priority.URGENT), late_ms
        )
        self.assertEqual(self.names(late_ms)[-1], "later")

    def test_urgent_call_does_not_overtake_another_account(self):
        self.queue.add(entry("a"), 0.0)
        self.queue.add(
            entry("b", "b", now_ms=1.0, priority=permits.Priority.URGENT), 1.0
        )
        self.assertEqual(self.names(1.0), ["a", "b"])

    def test_batch_call_is_deprioritized_until_aged(self):
        self.queue.add(entry("batch", priority=permits.Priority.BATCH), 0.0)
        self.queue.add(entry("normal", "b", now_ms=1.0), 1.0)
        self.assertEqual(self.names(1.0)[0], "normal")
        self.assertEqual(self.names(fairness.AGING_MS)[0], "batch")

    def test_renewed_entry_keeps_its_place(self):
        self.queue.add(entry("1"), 0.0)
        self.queue.add(entry("2"), 1.0)
        self.queue.add(entry("1", now_ms=900.0), 900.0)
        self.assertEqual(self.names(900.0), ["1", "2"])


class OwnerTest(unittest.TestCase):
    def is_granted(self, owner, request, now_ms=0.0):
        answer = owner.request(request, now_ms).value_or(None)
        return isinstance(answer, permits.Permit)

    def test_account_over_its_share_leaves_the_reserve_free(self):
        owner = warm_owner(sequences=16)
        self.is_granted(owner, ask("b", "b"))
        given = [self.is_granted(owner, ask(f"a{n}"), n * 1_000.0) for n in range(20)]
        self.assertEqual(sum(given), 16 - int(16 * sharing.RESERVE_SHARE) - 1)
        self.assertTrue(self.is_granted(owner, ask("b2", "b"), 20_000.0))

    def test_long_prompt_does_not_block_short_ones_nor_starve(self):
        owner = warm_owner(sequences=8)
        self.is_granted(owner, ask("first", tokens=150_000))
        self.assertFalse(self.is_granted(owner, ask("long", tokens=100_000)))
        self.assertTrue(self.is_granted(owner, ask("short", tokens=1_000)))
        late_ms = pool.RESERVE_AFTER_MS
        self.assertFalse(self.is_granted(owner, ask("long", tokens=100_000), late_ms))
        self.assertFalse(self.is_granted(owner, ask("short2", tokens=1_000), late_ms))

    def test_prompt_over_the_limit_of_every_target_is_refused(self):
        answer = warm_owner().request(ask("huge", tokens=200_001), 0.0)
        self.assertEqual(answer.failure().status, 413)

    def test_full_account_queue_refuses_with_retry_time(self):
        quota = fairness.Quota(queue_calls=2)
        owner = warm_owner(sequences=1, quota=lambda account: quota)
        answers = [owner.request(ask(f"a{n}"), 0.0) for n in range(4)]
        refusal = answers[-1].failure()
        self.assertEqual(refusal.ran, "not_run")
        self.assertGreater(refusal.retry_after_ms, 0)
        self.assertTrue(pipeline.is_successful(owner.request(ask("b", "b"), 0.0)))

    def test_full_pool_refuses_a_call_of_the_largest_account_at_once(self):
        quota = fairness.Quota(queue_calls=2_000)
        owner = warm_owner(sequences=1, quota=lambda account: quota)
        for number in range(pool.MAX_QUEUED_CALLS + 1):
            owner.request(ask(f"a{number}"), 0.0)
        self.assertTrue(pipeline.is_successful(owner.request(ask("b", "b"), 0.0)))
        (decision,) = owner.advance(0.0)
        self.assertEqual(decision.request, f"a{pool.MAX_QUEUED_CALLS}")
        again = owner.request(ask(decision.request), 0.0)
        self.assertEqual(again, decision.answer)

    def test_call_that_cannot_meet_its_deadline_is_refused_early(self):
        owner = warm_owner(sequences=1)
        now_ms = 0.0
        for number in range(60):
            owner.request(ask(f"a{number}"), now_ms)
        for _ in range(50):
            now_ms += 100.0
            for waiting in list(owner.queue):
                owner.queue.add(waiting._replace(poll_until_ms=1e9), now_ms)
            for held in list(owner.targets["e0"].outstanding):
                done = permits.Release(held, "e0", permits.Outcome.DONE, "b")
                owner.release(done, now_ms)
            owner.advance(now_ms)
        refusal = owner.request(ask("x", deadline_in_ms=300), now_ms).failure()
        self.assertIn("expected wait", refusal.message)


class DrainTest(unittest.TestCase):
    def test_rate_counts_only_time_with_a_backlog(self):
        rate = drainrate.DrainRate()
        self.assertIsNone(rate.wait_ms(1_000))
        for now_ms in range(0, 4_001, 100):
            rate.record_grant(100, True, float(now_ms))
        rate.record_grant(100, False, 90_000.0)
        self.assertAlmostEqual(rate.wait_ms(1_000), 1_000, delta=60)
