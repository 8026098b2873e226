"""Targets that requests get while an order of a rollout is followed, over HTTP."""

import asyncio
import unittest

from cornelreach.gateway import (
    calls,
    detours,
    gossip as gossip_module,
    releaseanalysis,
    releasecounts,
    releaserules,
    releases,
    releasestate,
    requeststate,
    selection,
)
from cornelreach.http import messages
from cornelreach.platform import results
from cornelreach.util import timers
from test.gateway import harness as harness_module, test_forwarding
from test.platform import objects

Phase = releaseanalysis.Phase
ORDER = {"service": "s", "target": "2.0", "duration_s": 12}
KEY = "rollouts/s"


async def answer_failure(engine, head, body, writer):
    """Answer with a server error."""
    writer.write(engine.answer(head, 500, b"", False))


def broken_after(count):
    """Return a script that ends a stream after some events, without its end."""

    async def script(engine, head, body, writer):
        first = int(head.get("last-event-id", 0)) + 1
        writer.write(engine.stream_head(head))
        for number in range(first, first + count):
            writer.write(harness_module.chunk(harness_module.event(number)))
        await writer.drain()
        return False

    return script


async def stream_rest(engine, head, body, writer):
    """Send the second event, and the end of the stream."""
    writer.write(engine.stream_head(head))
    writer.write(harness_module.chunk(harness_module.event(2)) + b"0\r\n\r\n")


class Case(test_forwarding.Case):
    """Engines of two versions of one service, and an order that is followed."""

    async def follow(self, old, new, is_ordered=True):
        """Start an engine for each script, and order the rollout."""
        await self.start(*old, *new)
        self.registry = self.harness.mirror.registry
        for number, engine in enumerate(self.engines):
            software = "1.0" if number < len(old) else "2.0"
            self.harness.register(engine, "s", software=software)
        harness = self.harness
        environment = releaserules.Environment(
            harness.mirror,
            harness.selector.balancer.prefill_rates,
            harness.metrics,
            harness.clock,
            lambda: False,
            lambda target: harness.gossip.peer_load(target).prefill_tokens,
        )
        self.releases = releases.Releases(
            harness.gossip,
            objects.FakeObjectStore(),
            environment,
            harness_module.BOUNDS._replace(exposure_share=1.0),
        )
        self.addCleanup(self.releases.close)
        harness.selector.rules = self.releases.rules
        if is_ordered:
            self.releases.apply_record(results.Record(KEY, 1, ORDER, created=1))
            self.grant()

    @property
    def release(self):
        """Return the order that is followed."""
        return self.releases.release("s")

    def grant(self):
        """Let requests go to the new version, in a pulse that does not end."""
        self.release.granted_until_ms = float("inf")
        self.release.exposure.share = 1.0

    def enter(self, phase):
        """Enter a phase."""
        self.release.adopt(phase, "test", self.harness.clock.now_ms())

    def counts(self):
        """Return responses and failures, by whether they are those of the new one."""
        found = self.release.recorder.counts()
        return {
            is_new: (counts.responses, counts.failures)
            for (_, is_new), counts in found.items()
        }

    def request_state(self, order=None):
        """Return a request that may be repeated."""
        route = harness_module.route("/safe/", "s", test_forwarding.Kind.IDEMPOTENT)
        call = calls.Call("id", 2_000, None, "", 0, 0, (), None)
        request = messages.Request("POST", "/safe/", {}, (), b"", b"/safe/", 0.0)
        found = requeststate.RequestState(request, call, route, None, "s", 0.0)
        if order is not None:
            detours.follow(found, order)
        return found

    def request_counts(self):
        """Return how many requests each engine got."""
        return [len(one.requests) for one in self.engines]


class Canaries(Case):
    """Requests that try the new version."""

    # Guards against callers that wait or fail because a canary cannot take them.
    async def test_a_canary_that_cannot_be_used_costs_its_request_nothing(self):
        ok = harness_module.answer_ok
        for fault in ("closed", "ejected", "resting", "cold", "leaving"):
            await self.follow([ok], [ok])
            state = self.registry.state("e1")
            now_ms = self.harness.clock.now_ms()
            if fault == "closed":
                self.engines[1].server.close()
            elif fault == "ejected":
                self.registry.eject("e1", "test", now_ms)
            elif fault == "resting":
                self.registry.rest("e1", 5_000, now_ms)
            elif fault == "cold":
                services = self.harness.mirror.catalogue.services
                services["s"] = services["s"]._replace(cold_per_s=0.001)
                state.cold_until_ms = now_ms + 60_000
                for _ in range(100):
                    state.sends.record(now_ms)
            else:
                self.registry.mark_leaving("e1", 1)
            for _ in range(3):
                status, _ = await self.harness.send("/safe/x", wait_s=0.5)
                self.assertEqual(status, 200, fault)
            self.assertEqual(self.request_counts(), [3, 0], fault)

    # Guards against a retry that meets the version that has just failed it.
    async def test_a_request_that_failed_is_repeated_at_the_old_version(self):
        await self.follow([harness_module.answer_ok], [answer_failure] * 2)
        self.grant()
        status, _ = await self.harness.send("/safe/x")
        self.assertEqual(status, 200)
        self.assertEqual(self.request_counts()[0], 1)
        self.assertEqual(sum(self.request_counts()), 2)
        self.assertEqual(self.counts(), {False: (1, 0), True: (1, 1)})

    async def test_without_a_grant_nothing_new_is_sent_to_the_new_version(self):
        ok = harness_module.answer_ok
        await self.follow([ok], [ok])
        self.release.granted_until_ms = 0.0
        for phase in (Phase.OBSERVING, Phase.SHIFTING):
            self.enter(phase)
            for _ in range(5):
                await self.harness.send("/safe/x")
        self.assertEqual(self.request_counts(), [10, 0])

    # Guards against refusals while traffic shifts to targets that are still cold.
    async def test_the_old_version_serves_what_the_new_one_has_no_room_for(self):
        ok = harness_module.answer_ok
        await self.follow([ok], [ok])
        self.enter(Phase.SHIFTING)
        self.release.exposure._shifting_ms = 0.0
        self.harness.gossip.closed.add("e1")
        for _ in range(2):
            status, _ = await self.harness.send("/safe/x")
            self.assertEqual(status, 200)
        self.harness.gossip.closed.discard("e1")
        await self.harness.send("/safe/x")
        self.assertEqual(self.request_counts(), [2, 1])

    # Guards against requests that are under way at old targets when these stop.
    async def test_the_old_version_serves_none_once_success_may_be_written(self):
        ok = harness_module.answer_ok
        await self.follow([ok], [ok])
        self.enter(Phase.SHIFTING)
        self.release.exposure._shifting_ms = 0.0
        self.registry.rest("e1", 5_000, self.harness.clock.now_ms())
        self.assertIsInstance(
            self.harness.selector.choose(self.request_state()), selection.Choice
        )
        self.release.complete_until_ms = float("inf")
        self.assertNotIsInstance(
            self.harness.selector.choose(self.request_state()), selection.Choice
        )

    # Guards against the links of one instance being taken for a bad version.
    async def test_failures_do_not_count_while_no_target_is_reached(self):
        await self.follow([harness_module.answer_ok], [broken_after(0)])
        for is_cut_off in (True, False):
            cut = self.releases.environment._replace(
                is_cut_off=lambda one=is_cut_off: one
            )
            self.releases.rule("s").environment = cut
            self.registry.restore("e1", 0, self.harness.clock.now_ms())
            self.registry.state("e1").ejected_until_ms = 0.0
            self.grant()
            status, _ = await self.harness.send("/safe/x")
            self.assertEqual(status, 200)
            self.assertEqual((True in self.counts()), not is_cut_off)

    async def test_where_no_old_target_is_open_the_new_version_serves(self):
        await self.follow([], [harness_module.answer_ok])
        self.release.granted_until_ms = 0.0
        status, _ = await self.harness.send("/safe/x")
        self.assertEqual(status, 200)

    # Guards against ejected old targets being taken for missing ones.
    async def test_ejected_old_targets_are_tried_before_the_new_version_is(self):
        ok = harness_module.answer_ok
        await self.follow([ok], [ok])
        self.release.granted_until_ms = 0.0
        self.registry.eject("e0", "test", self.harness.clock.now_ms())
        status, _ = await self.harness.send("/safe/x")
        self.assertEqual((status, self.request_counts()), (200, [1, 0]))


class Reverted(Case):
    """A version that was rolled back."""

    async def test_it_gets_nothing_even_if_no_other_target_is_left(self):
        ok = harness_module.answer_ok
        await self.follow([ok], [ok])
        self.enter(Phase.REVERTING)
        for _ in range(4):
            await self.harness.send("/safe/x")
        self.assertEqual(self.request_counts(), [4, 0])
        self.registry.drop("e0", self.harness.clock.now_ms())
        status, _ = await self.harness.send("/safe/x")
        self.assertEqual((status, self.request_counts()[1]), (503, 0))

    # Guards against a request that was given its target just before the verdict.
    async def test_a_request_chosen_before_is_not_sent_any_more(self):
        ok = harness_module.answer_ok
        await self.follow([ok], [ok])
        request_state = self.request_state()
        chosen = self.harness.selector.choose(request_state)
        self.assertEqual(chosen.target.software, "2.0")
        self.assertTrue(self.harness.selector.may_send(request_state, chosen))
        self.enter(Phase.REVERTING)
        self.assertFalse(self.harness.selector.may_send(request_state, chosen))

    # Guards against a second attempt at the new version by way of another instance.
    async def test_requests_of_other_instances_follow_the_same_rules(self):
        ok = harness_module.answer_ok
        await self.follow([ok], [ok])
        sent = detours.Order("edge-2", 1, "s", sent=1, runs=1, reached=("e9",))
        chosen = self.harness.selector.choose(self.request_state(sent))
        self.assertEqual(chosen.target.software, "1.0")
        self.enter(Phase.REVERTING)
        resumed = detours.Order("edge-2", 1, "s", software="2.0", last_event="4")
        choose = self.harness.selector.choose
        self.assertIsInstance(choose(self.request_state(resumed)), selection.Choice)
        self.release.phase_ms -= releaserules.RESUME_MS
        self.assertIsNone(choose(self.request_state(resumed)))

    # Guards against streams that change their software version, or break with it at
    # once.
    async def test_its_streams_go_on_there_for_a_short_time(self):
        for late, events in ((False, 2), (True, 1)):
            await self.follow([stream_rest], [broken_after(1), stream_rest])
            self.grant()
            self.registry.state("e2").in_flight = 20
            choose = self.harness.forwarder.relay.choose

            async def revert(request_state, choose=choose, late=late):
                self.assertEqual(request_state.software, "2.0")
                self.enter(Phase.REVERTING)
                self.release.phase_ms -= releaserules.RESUME_MS * late
                return await choose(request_state)

            self.harness.forwarder.relay.choose = revert
            got = await self.harness.stream("/resume/x")
            self.assertEqual(got.count(b"data: "), events)
            self.assertEqual(self.request_counts(), [0, 1, 1 - late])
            self.assertEqual(self.counts()[True][1], 1)


class Succeeded(Case):
    """A version that has replaced the other."""

    # Guards against requests at targets that stop at once.
    async def test_the_targets_that_it_replaced_get_nothing(self):
        ok = harness_module.answer_ok
        await self.follow([ok], [ok])
        state = {"state": "succeeded", "target": "2.0"}
        self.releases.apply_record(results.Record(KEY, 2, ORDER, 1, state))
        for _ in range(4):
            await self.harness.send("/safe/x")
        self.assertEqual(self.request_counts(), [0, 4])

    # Guards against a new machine that is shut out because of a name used before.
    async def test_a_later_lifetime_under_the_same_name_is_used(self):
        ok = harness_module.answer_ok
        await self.follow([ok], [ok])
        state = {"state": "succeeded", "target": "2.0"}
        self.releases.apply_record(results.Record(KEY, 2, ORDER, 1, state))
        self.registry.drop("e1", self.harness.clock.now_ms())
        self.harness.register(self.engines[0], "s", software="1.0", born_ms=7)
        await asyncio.sleep(0.05)
        status, _ = await self.harness.send("/safe/x")
        self.assertEqual((status, self.request_counts()), (200, [1, 0]))


class Deleted(Case):
    """Targets whose order is gone."""

    # Guards against a service without any target because an order was deleted.
    async def test_without_a_verdict_they_serve_where_there_are_no_others(self):
        ok = harness_module.answer_ok
        for is_bad, status in ((False, 200), (True, 503)):
            await self.follow([ok], [ok])
            if is_bad:
                self.enter(Phase.REVERTING)
            self.releases.apply_record(results.Record(KEY, 3, None))
            await self.harness.send("/safe/x")
            self.assertEqual(self.request_counts(), [1, 0])
            self.registry.drop("e0", self.harness.clock.now_ms())
            self.assertEqual((await self.harness.send("/safe/x"))[0], status)


class Times(Case):
    """How long responses took, relative to the expected times."""

    # Guards against a good version that seems slow because prompts of peers, which are
    # known late, were queued before a short one; and against a slow one that does not.
    async def test_prompts_that_become_known_late_are_expected(self):
        await self.follow([], [harness_module.answer_ok])
        clock = timers.VirtualTimers()
        for peers, ratio in ((0.0, 20.0), (6_000.0, 400 / 120)):
            known = [0.0]
            environment = self.releases.environment._replace(
                clock=clock, peer_tokens=lambda target, known=known: known[0]
            )
            chosen = self.harness.selector.choose(self.request_state())
            chosen.salt, chosen.backlog_tokens = "m.v1.", 600.0
            chosen.state.prefill_tokens = 600
            chosen.sent_ms = clock.now_ms()
            release = releasestate.Release(self.release.order, 1, 0.1, 0.0)
            attempt = releaserules.Attempt(environment, release, "/chat/", chosen)
            clock.advance(50)
            known[0] = peers
            clock.advance(20)
            known[0] = 0.0  # the end of the others' prompts is known
            clock.advance(330)
            attempt.record_response()
            times = release.recorder.counts()["/chat/", True].times
            self.assertEqual((sum(times), times[releasecounts.bucket(ratio)]), (1, 1))


class WithoutOrder(Case):
    """Several versions of a service that serve side by side."""

    async def test_they_are_used_as_before(self):
        ok = harness_module.answer_ok
        await self.follow([ok], [ok], is_ordered=False)
        self.assertEqual(self.releases.rules, {})
        for _ in range(30):
            await self.harness.send("/safe/x")
        self.assertTrue(all(self.request_counts()))

    # Guards against streams that are refused while their version is listed again.
    async def test_a_stream_goes_on_at_its_version_while_that_is_held_back(self):
        ok = harness_module.answer_ok
        await self.follow([ok], [ok], is_ordered=False)
        self.releases.hold("s", "2.0")
        for software, expected in ((None, "1.0"), ("2.0", "2.0"), ("1.0", "1.0")):
            request_state = self.request_state()
            request_state.software = software
            chosen = self.harness.selector.choose(request_state)
            self.assertEqual(chosen.target.software, expected)

    # Guards against an instance of an earlier release that ends, or stops listening.
    def test_a_datagram_with_an_unknown_tag_is_only_logged(self):
        gossip = gossip_module.Gossip("i", "b", None, _Clock())
        gossip.datagram_received(b"\xffnews", ("127.0.0.1", 1))


class _Clock:
    def now_ms(self):
        return 0.0


if __name__ == "__main__":
    unittest.main()
