"""Simulated histories of at-most-once calls, also with faults planted in the code."""

import collections
import contextlib
import unittest
from unittest import mock

import loguru
from returns import result

from cornelreach.calls import (
    atmostonce,
    callmessages,
    claims,
    history,
    ledger,
    localattempts,
    shards,
    tickets,
)
from test import virtualloop
from test.calls import callsimulation, histories

SEEDS = 1_000
PLANTED_SEEDS = 400


def first_violations(loop, seeds):
    """Return the violations of the first seed that has any."""
    for seed in seeds:
        broken = histories.violations(callsimulation.run(seed, loop))
        if broken:
            return broken
    return []


class AtMostOnce(unittest.TestCase):
    """Seeded runs with crashes, pauses, outages, partitions, slow and lost messages."""

    def setUp(self):
        self.loop = virtualloop.Loop()
        self.addCleanup(self.loop.close)
        loguru.logger.disable("cornelreach")
        self.addCleanup(loguru.logger.enable, "cornelreach")
        small = ((claims, "SHARD_COUNT", 1), (shards, "ROLL_BYTES", 500))
        for module, name, value in (*small, (history, "MERGE_COUNT", 2)):
            patch = mock.patch.object(module, name, value)
            patch.start()
            self.addCleanup(patch.stop)

    def test_every_seed_keeps_the_rules(self):
        outcomes = collections.Counter()
        for seed in range(SEEDS):
            events = callsimulation.run(seed, self.loop)
            self.assertEqual(histories.violations(events), [], f"seed {seed}")
            outcomes.update(
                event.outcome
                for event in events
                if isinstance(event, histories.Returned)
            )
        self.assertGreater(outcomes["answer"], outcomes["unknown"])
        self.assertGreater(
            min(outcomes["unknown"], outcomes["not_run"], outcomes["gone"]), 100
        )

    def assert_found(self, patch):
        with patch:
            self.assertTrue(first_violations(self.loop, range(PLANTED_SEEDS)))

    def test_finds_a_call_sent_before_its_claim_is_held(self):
        async def submit(log, entry, wait_ms, direct=False):
            return ledger.Held()

        self.assert_found(mock.patch.object(claims.ClaimLog, "submit", submit))

    def test_finds_a_failed_write_taken_for_a_success(self):
        write = shards.Shard._write

        async def trusting(shard, entries):
            await write(shard, entries)
            return True

        self.assert_found(mock.patch.object(shards.Shard, "_write", trusting))

    def test_finds_an_owner_that_writes_without_a_condition(self):
        async def overwriting(objects, key, value, if_version=None, if_absent=False):
            model = objects.node.simulation.model
            return await put(objects, key, value, model.version_of(key))

        put = callsimulation.Objects.put
        self.assert_found(mock.patch.object(callsimulation.Objects, "put", overwriting))

    def test_finds_not_run_reported_after_a_byte_was_sent(self):
        send = callsimulation.Service.send

        async def late(service, call, begin):
            sent = await send(service, call, lambda: None)
            if isinstance(sent, atmostonce.Answered):
                with contextlib.suppress(localattempts.AttemptClosed):
                    begin()
            return sent

        self.assert_found(mock.patch.object(callsimulation.Service, "send", late))

    def test_finds_a_retry_of_a_call_whose_answer_was_lost(self):
        send = callsimulation.Service.send

        async def again(service, call, begin):
            sent = await send(service, call, begin)
            if isinstance(sent, atmostonce.Lost):
                return await send(service, call, lambda: None)
            return sent

        self.assert_found(mock.patch.object(callsimulation.Service, "send", again))

    def test_finds_a_claim_taken_over_from_an_unreachable_instance(self):
        ask = atmostonce.AtMostOnceRunner._query_attempt

        async def hasty(runner, attempt, left_ms):
            status = await ask(runner, attempt, left_ms)
            return status or callmessages.AttemptStatus(
                localattempts.AttemptState.ABANDONED
            )

        self.assert_found(
            mock.patch.object(atmostonce.AtMostOnceRunner, "_query_attempt", hasty)
        )

    def test_finds_an_attempt_sent_after_it_was_abandoned(self):
        def begin(attempt):
            attempt.state = localattempts.AttemptState.RUNNING

        abandon = mock.patch.object(
            localattempts.LocalAttempt, "abandon", lambda attempt: True
        )
        patches = contextlib.ExitStack()
        patches.enter_context(abandon)
        patches.enter_context(
            mock.patch.object(localattempts.LocalAttempt, "begin", begin)
        )
        self.assert_found(patches)

    def test_finds_history_that_a_new_owner_does_not_read(self):
        async def skipping(segments, into, oldest):
            into.applied = 10**9
            return True

        self.assert_found(mock.patch.object(history.Segments, "read", skipping))

    def test_finds_a_ticket_run_by_another_boot(self):
        issued = mock.patch.object(
            atmostonce.AtMostOnceRunner, "_issued_here", lambda runner, ticket: True
        )
        self.assert_found(issued)

    def test_finds_a_repeat_with_another_body_that_is_answered(self):
        decide = ledger._decide_claimed

        def careless(record, request):
            return decide(record, request._replace(body_digest=record.body_digest))

        self.assert_found(mock.patch.object(ledger, "_decide_claimed", careless))

    def test_finds_the_answer_of_another_call(self):
        other = ledger.Answer(200, "text/plain", b"another call's")
        decision_result = mock.patch.object(
            atmostonce.refusals,
            "decision_result",
            lambda decision: result.Success(other),
        )
        self.assert_found(decision_result)


class Tickets(unittest.TestCase):
    """Keys that one boot issues."""

    def test_only_issued_keys_parse_as_tickets(self):
        key = tickets.issue("lj-north-1", "b.7", 12.5)
        self.assertEqual(tickets.parse(key), tickets.Ticket("lj-north-1", "b.7", 12))
        for other in ("", "order-17", "ticket~a~b~c~d", "ticket~a~b"):
            self.assertIsNone(tickets.parse(other))
