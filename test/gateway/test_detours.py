"""Requests that pass through another instance."""

import asyncio
import time

from cornelreach.gateway import detours, hubs
from cornelreach.http import messages
from test.gateway import harness as harness_module, links, test_unnamedanswers

LATE_S = 0.3


async def answer_late(engine, head, body, writer):
    """Answer after a while."""
    await asyncio.sleep(LATE_S)
    await links.answer_or_stream(engine, head, body, writer)


class Passing(links.Case):
    """One instance that reaches no engine, and one that does."""

    async def start(self, *arguments, **changes):
        await super().start(*arguments, **changes)
        self.lose(self.cut)

    async def test_the_engine_gets_the_request_as_from_its_first_instance(self):
        await self.start()
        status, answer = await self.cut.send(
            "/safe/a%2Fb?q=1",
            x_cornelreach_tenant="forged",
            cornelreach_detour="forged",
            x_other="kept",
        )
        self.assertEqual(status, 200)
        self.assertIn(b"x-cornelreach-response-signature: sig.e", answer.lower())
        self.assertNotIn(b"cornelreach-detour", answer.lower())
        (head,) = self.requests()
        self.assertEqual(head[""], "POST /safe/a%2Fb?q=1 HTTP/1.1")
        self.assertEqual(
            (head["x-cornelreach-tenant"], head["x-other"]), ("tirnica", "kept")
        )
        self.assertNotIn("cornelreach-detour", head)
        self.assertNotIn("x-api-key", head)
        self.assertLessEqual(int(head["x-cornelreach-deadline-ms"]), 2_000)

    # Guards against requests to an engine that has said it leaves, in an answer that
    # came through another instance, once the engine can be reached from here again.
    async def test_an_engine_that_says_elsewhere_that_it_leaves_is_closed(self):
        async def leave(engine, head, body, writer):
            writer.write(engine.answer(head, extra="Server-Leaving: 1\r\n"))

        await self.start(leave)
        self.sound.gossip.members.clear()  # it tells nobody by itself
        status, answer = await self.cut.send("/safe/a")
        self.assertEqual((status, b"leaving" in answer.lower()), (200, False))
        is_open = self.cut.mirror.registry.is_open
        opened = [one.name for one in self.engines if is_open(one.name, "s")]
        idle = [one.name for one in self.engines if not one.requests]
        self.assertEqual(opened, idle)

    # Guards against requests that travel from instance to instance.
    async def test_a_request_passes_through_one_other_instance_at_most(self):
        await self.start(linked=3, direct=0)
        self.set_links(links.Link.HUNG)
        for one in self.instances:
            self.lose(one)
        begin_s = time.monotonic()
        status, answer = await self.cut.send("/once/x")
        self.assertEqual(status, 503)
        self.assertIn(b"retry-after", answer.lower())
        self.assertLess(time.monotonic() - begin_s, 0.1)
        self.assertEqual(self.requests(), [])
        for one in self.instances[1:]:
            text = one.metrics.render().decode()
            self.assertNotIn("tries_total{", text)

    # Guards against work that has run being reported as not run, or being run again.
    async def test_a_lost_instance_leaves_the_outcome_unknown(self):
        await self.start(answer_late)
        call = asyncio.ensure_future(self.cut.send("/once/x"))
        while not self.requests():
            await asyncio.sleep(0.01)
        self.sound.peer_server.abort()
        status, _ = await call
        self.assertIn(status, (502, 504))
        self.assertEqual(len(self.requests()), 1)

    # Guards against an instance declining what it has sent to an engine, which would be
    # reported as not run.
    async def test_what_was_lost_elsewhere_is_not_declined(self):
        async def break_off(engine, head, body, writer):
            for one in self.engines:
                self.sound.mirror.registry.eject(
                    one.name, "lost", self.sound.clock.now_ms(), unreached=True
                )
            return False

        await self.start(break_off)
        status, _ = await self.cut.send("/safe/x")
        self.assertIn(status, (502, 504))
        self.assertEqual(len(self.requests()), 1)

    # Guards against a caller that has left keeping an engine at work.
    async def test_a_caller_that_leaves_ends_the_work(self):
        await self.start(answer_late)
        call = asyncio.ensure_future(self.cut.send("/safe/x"))
        while not self.requests():
            await asyncio.sleep(0.01)
        call.cancel()
        gone = [asyncio.ensure_future(one.gone.wait()) for one in self.engines]
        done, rest = await asyncio.wait(
            gone, timeout=LATE_S / 2, return_when=asyncio.FIRST_COMPLETED
        )
        self.assertTrue(done)
        for one in rest:
            one.cancel()

    # Guards against an instance that acts on an older configuration than the caller's.
    async def test_an_instance_with_an_older_configuration_declines(self):
        await self.start()
        self.cut.mirror.apply_catalogue(self.catalogue(version=2))
        status, _ = await self.cut.send("/safe/x")
        self.assertEqual(status, 503)
        self.assertEqual(self.requests(), [])
        self.sound.mirror.apply_catalogue(self.catalogue(version=2))
        await asyncio.sleep(detours.DECLINED_MS / 1_000)
        status, _ = await self.cut.send("/safe/x")
        self.assertEqual(status, 200)

    # Guards against repeats beyond the budget because two instances count them.
    async def test_requests_and_repeats_are_counted_once(self):
        await self.start()
        counted = {"requests": 0, "retries": 0}

        def count(name):
            counted[name] += 1

        for one in self.instances:
            one.selector.count_request = lambda service: count("requests")
            one.selector.count_retry = lambda service: count("retries")
        await self.cut.send("/safe/x")
        self.assertEqual(counted, {"requests": 1, "retries": 0})
        self.set_links(links.Link.RESET)
        for engine in self.engines:
            self.cut.mirror.registry.restore(engine.name, 0, self.cut.clock.now_ms())
        await self.cut.send("/safe/x", x_cornelreach_request_id="id-2")
        # The first attempt may have reached an engine, so the second is a repeat.
        self.assertEqual(counted, {"requests": 2, "retries": 1})

    async def stand_in(self, script):
        """Let an engine of a script stand in for the sound instance."""
        peer = harness_module.Engine("peer", script)
        await peer.start()
        self.addCleanup(peer.server.close)
        host, _, port = peer.address.partition(":")
        members = self.cut.gossip.members
        members["edge-1"] = members["edge-1"]._replace(host=host, port=int(port))
        return peer

    # Guards against a refusal of nobody's on a connection to another instance being
    # taken for its answer.
    async def test_an_answer_of_another_instance_names_the_request(self):
        report = 'cornelreach-detour: [false,"e0",""]\r\n'

        async def refuse_first(engine, head, body, writer):
            other = {**head, "x-cornelreach-request-id": "other"}
            writer.write(test_unnamedanswers.unnamed_refusal(503))
            writer.write(engine.answer(other, 503, b"", False, report))
            await asyncio.sleep(0.01)
            writer.write(engine.answer(head, extra=report))

        await self.start(linked=2, direct=0)
        for one in self.instances:
            self.lose(one)
        peer = await self.stand_in(refuse_first)
        status, _ = await self.cut.send("/once/x")
        self.assertEqual((status, len(peer.requests)), (200, 1))

    async def test_a_refusal_for_another_instance_names_the_request(self):
        for headers in ((), ((b"x-cornelreach-request-id", b"id-1"),)):
            response = messages.Response(503, b"", headers)
            found = detours.with_report(response, detours.Report(True), "id-1")
            names = [v for k, v in found.headers if k == b"x-cornelreach-request-id"]
            self.assertEqual(names, [b"id-1"])

    # Guards against refusals of an earlier release being left out of account, which do
    # not name the request.
    async def test_an_instance_of_an_earlier_release_may_decline(self):
        async def decline(engine, head, body, writer):
            writer.write(
                b"HTTP/1.1 503 X\r\ncontent-length: 0\r\n"
                b'cornelreach-detour: [true,"",""]\r\n\r\n'
            )

        await self.start(linked=2, direct=0)
        for one in self.instances:
            self.lose(one)
        await self.stand_in(decline)
        begin_s = time.monotonic()
        status, _ = await self.cut.send("/once/x")
        self.assertEqual(status, 503)
        self.assertLess(time.monotonic() - begin_s, 0.5)

    # Guards against an earlier release's refusal, which names no request, being taken
    # for that of a later request on the same connection.
    async def test_an_unnamed_refusal_on_a_kept_connection_is_skipped(self):
        report = 'cornelreach-detour: [false,"e0",""]\r\n'

        async def decline_again(engine, head, body, writer):
            if len(engine.requests) > 1:
                writer.write(
                    b"HTTP/1.1 503 X\r\ncontent-length: 0\r\n"
                    b'cornelreach-detour: [true,"",""]\r\n\r\n'
                )
                await asyncio.sleep(0.01)
            writer.write(engine.answer(head, extra=report))

        await self.start(linked=2, direct=0)
        for one in self.instances:
            self.lose(one)
        peer = await self.stand_in(decline_again)
        for number in range(2):
            status, _ = await self.cut.send(
                "/once/x", x_cornelreach_request_id=f"id-{number}"
            )
            self.assertEqual(status, 200)
        self.assertEqual((len(peer.requests), peer.connections), (2, 1))

    # Guards against a late copy of an instance's refusal being taken for that of
    # another one which has its address.
    async def test_a_late_copy_of_a_refusal_tells_nothing_of_a_later_detour(self):
        declined = 'cornelreach-detour: [true,"",""]\r\n'
        report = 'cornelreach-detour: [false,"e0",""]\r\n'
        writers = []

        async def decline_first(engine, head, body, writer):
            refusal = engine.answer(head, 503, b"", False, declined)
            if writer in writers or not writers:
                writer.write(refusal)
            writers.append(writer)
            if len(engine.requests) > 1:
                await asyncio.sleep(0.01)
                writer.write(engine.answer(head, extra=report))

        await self.start(linked=2, direct=0)
        for one in self.instances:
            self.lose(one)
        peer = await self.stand_in(decline_first)
        members = self.cut.gossip.members
        members["edge-9"] = members["edge-1"]
        self.cut.gossip.peers["edge-9"] = self.cut.gossip.peers["edge-1"]
        status, _ = await self.cut.send("/once/x")
        self.assertEqual((status, len(peer.requests)), (200, 2))

    # Guards against a second run of a call at an instance that stands still, or of one
    # that another instance gets instead.
    async def test_a_call_at_an_instance_that_stands_still_goes_nowhere_else(self):
        async def stand_still(engine, head, body, writer):
            await engine.gone.wait()
            return False

        await self.start(linked=2, direct=1)
        for one in self.instances[:2]:
            self.lose(one)
        members = self.cut.gossip.members
        self.cut.gossip.members.pop("edge-2")
        peer = await self.stand_in(stand_still)
        call = asyncio.ensure_future(
            self.cut.send("/once/x", x_cornelreach_deadline_ms="500")
        )
        while not peer.requests:
            await asyncio.sleep(0.01)
        members["edge-2"] = self.sound.gossip.members["edge-2"]
        status, _ = await call
        self.assertEqual((status, self.requests()), (504, []))

    # Guards against an answer that broke off on the way looking complete.
    async def test_a_stream_that_breaks_off_on_the_way_does_not_look_complete(self):
        async def stream_slowly(engine, head, body, writer):
            writer.write(engine.stream_head(head))
            writer.write(harness_module.chunk(harness_module.event(0)))
            await writer.drain()
            await asyncio.sleep(LATE_S)

        await self.start(stream_slowly)
        call = asyncio.ensure_future(self.cut.stream("/stream/x"))
        while not self.requests():
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        self.sound.peer_server.abort()
        answer = await call
        self.assertIn(b"token0", answer)
        self.assertFalse(answer.endswith(b"0\r\n\r\n"))

    # Guards against the body of a request that has homes leaving them.
    async def test_requests_with_homes_pass_through_instances_there(self):
        await self.start()
        found = self.cut.forwarder.dependencies.detours
        self.cut.gossip.members["edge-1"] = hubs.Member("127.0.0.1", 1, "far")
        self.cut.selector.regions = {"lj": "home", "far": "abroad"}
        request = _State(("home",))
        self.assertIsNone(found.choose(request))
        request.route.regions = frozenset()
        self.assertEqual(found.choose(request).peer, "edge-1")


class _Fields:
    def __init__(self, **fields):
        self.__dict__.update(fields)


class _State(_Fields):
    """An admitted request, as far as the choice of an instance needs it."""

    def __init__(self, regions):
        super().__init__(
            route=_Fields(regions=frozenset(regions)),
            account=None,
            service="s",
            is_passed_on=False,
            detours=0,
            tried=set(),
        )
