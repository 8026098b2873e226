"""History checks of calls that may not be repeated, tried on planted faults too."""

import collections
import contextlib
import unittest
from unittest import mock

import loguru
from returns import result

from cornelreach.calls import (
    claims,
    exchanges,
    history,
    ledger,
    once,
    runs,
    shards,
    tickets,
)
from test import virtualloop
from test.calls import histories, onceworld

SEEDS = 1_000
PLANTED_SEEDS = 400


def found(loop, seeds):
    """Return the violations of the first seed that has any."""
    for seed in seeds:
        broken = histories.violations(onceworld.run(seed, loop))
        if broken:
            return broken
    return []


class AtMostOnce(unittest.TestCase):
    """Seeded runs with deaths, pauses, outages, cuts, slow and lost messages."""

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

    def test_no_seed_breaks_a_rule(self):
        ends = collections.Counter()
        for seed in range(SEEDS):
            events = onceworld.run(seed, self.loop)
            self.assertEqual(histories.violations(events), [], f"seed {seed}")
            ends.update(
                event.end for event in events if isinstance(event, histories.Returned)
            )
        self.assertGreater(ends["answer"], ends["unknown"])
        self.assertGreater(min(ends["unknown"], ends["not_run"], ends["gone"]), 100)

    def assert_found(self, patch):
        with patch:
            self.assertTrue(found(self.loop, range(PLANTED_SEEDS)))

    def test_finds_a_call_sent_before_its_claim_is_held(self):
        async def submit(log, entry, wait_ms, direct=False):
            return ledger.Held()

        self.assert_found(mock.patch.object(claims.Claims, "submit", submit))

    def test_finds_a_lost_write_taken_for_done(self):
        write = shards.Shard._write

        async def trusting(shard, entries):
            await write(shard, entries)
            return True

        self.assert_found(mock.patch.object(shards.Shard, "_write", trusting))

    def test_finds_an_owner_that_trusts_its_lease(self):
        async def overwriting(objects, key, value, if_version=None, if_absent=False):
            model = objects.node.world.model
            return await put(objects, key, value, model.version_of(key))

        put = onceworld.Objects.put
        self.assert_found(mock.patch.object(onceworld.Objects, "put", overwriting))

    def test_finds_not_run_said_after_a_byte_was_sent(self):
        send = onceworld.Service.send

        async def late(service, call, begin):
            sent = await send(service, call, lambda: None)
            if isinstance(sent, once.Answered):
                with contextlib.suppress(runs.TooLate):
                    begin()
            return sent

        self.assert_found(mock.patch.object(onceworld.Service, "send", late))

    def test_finds_a_retry_of_a_call_whose_answer_was_lost(self):
        send = onceworld.Service.send

        async def again(service, call, begin):
            sent = await send(service, call, begin)
            if isinstance(sent, once.Lost):
                return await send(service, call, lambda: None)
            return sent

        self.assert_found(mock.patch.object(onceworld.Service, "send", again))

    def test_finds_a_claim_taken_over_from_an_instance_out_of_reach(self):
        ask = once.Once._ask

        async def hasty(edge, attempt, left_ms):
            asked = await ask(edge, attempt, left_ms)
            return asked or exchanges.Asked(runs.State.ABANDONED)

        self.assert_found(mock.patch.object(once.Once, "_ask", hasty))

    def test_finds_an_attempt_sent_after_it_was_given_up(self):
        def begin(run):
            run.state = runs.State.RUNNING

        abandon = mock.patch.object(runs.Run, "abandon", lambda run: True)
        patches = contextlib.ExitStack()
        patches.enter_context(abandon)
        patches.enter_context(mock.patch.object(runs.Run, "begin", begin))
        self.assert_found(patches)

    def test_finds_history_that_a_new_owner_does_not_read(self):
        async def skipping(segments, into, oldest):
            into.applied = 10**9
            return True

        self.assert_found(mock.patch.object(history.Segments, "read", skipping))

    def test_finds_a_ticket_run_by_another_boot(self):
        issued = mock.patch.object(once.Once, "_issued", lambda edge, ticket: True)
        self.assert_found(issued)

    def test_finds_a_repeat_with_another_body_that_is_answered(self):
        decide = ledger._decide_claimed

        def careless(record, request):
            return decide(record, request._replace(body_digest=record.body_digest))

        self.assert_found(mock.patch.object(ledger, "_decide_claimed", careless))

    def test_finds_a_crossed_answer(self):
        crossed = ledger.Answer(200, "text/plain", b"another call's")
        conclude = mock.patch.object(
            once.refusals, "conclude", lambda decision: result.Success(crossed)
        )
        self.assert_found(conclude)


class Tickets(unittest.TestCase):
    """Keys that one boot gives out."""

    def test_a_ticket_names_its_boot_and_other_keys_are_no_tickets(self):
        key = tickets.issue("lj-north-1", "b.7", 12.5)
        self.assertEqual(tickets.parse(key), tickets.Ticket("lj-north-1", "b.7", 12))
        for other in ("", "order-17", "ticket~a~b~c~d", "ticket~a~b"):
            self.assertIsNone(tickets.parse(other))
