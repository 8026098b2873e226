"""Forwarding to engines that answer correctly, wrongly, late or not at all."""

import asyncio
import time
import unittest
from unittest import mock

from cornelreach.gateway import catalogue
from cornelreach.http import limits
from test.gateway import harness as harness_module

Kind = catalogue.Kind


class Case(unittest.IsolatedAsyncioTestCase):
    """One service with a route of each kind."""

    async def start(self, *scripts, **changes):
        """Start one engine for each script, and the forwarder."""
        self.engines = [
            harness_module.Engine(f"e{number}", script)
            for number, script in enumerate(scripts)
        ]
        for engine in self.engines:
            await engine.start()
        routes = [
            harness_module.route("/safe/", "s", Kind.IDEMPOTENT, **changes),
            harness_module.route("/once/", "s", Kind.AT_MOST_ONCE, **changes),
            harness_module.route("/stream/", "s", Kind.STREAM, **changes),
            harness_module.route("/resume/", "s", Kind.STREAM, resumable=True),
            harness_module.route("/open/", "s", Kind.IDEMPOTENT, anonymous=True),
        ]
        found = harness_module.make_catalogue(
            routes, [harness_module.plain_service("s")]
        )
        self.harness = harness_module.Harness(found, self.engines, "s")
        await self.harness.start()
        self.addAsyncCleanup(self.harness.stop)

    def requests(self):
        """Return the requests that reached the engines."""
        return [one for engine in self.engines for one in engine.requests]

    def request_count(self):
        """Return how many requests reached the engines."""
        return len(self.requests())


class Forwarding(Case):
    """Requests whose responses have a whole body."""

    async def test_request_and_response_are_forwarded_unchanged(self):
        await self.start(harness_module.answer_ok)
        status, answer = await self.harness.send(
            "/safe/a%2Fb?q=%20x",
            x_api_key=harness_module.KEY,
            x_cornelreach_tenant="forged",
            x_cornelreach_cache_salt="forged",
            x_cornelreach_kv_hold="forged",
            kv_from="forged",
            x_other="kept",
            connection="keep-alive, x-private",
            x_private="dropped",
        )
        self.assertEqual(status, 200)
        self.assertIn(b"x-cornelreach-response-signature: sig.e0", answer.lower())
        head, body = self.engines[0].requests[0]
        self.assertEqual(head[""], "POST /safe/a%2Fb?q=%20x HTTP/1.1")
        self.assertEqual((head["host"], body), (harness_module.HOST, b"hello"))
        self.assertEqual(head["x-cornelreach-tenant"], "tirnica")
        self.assertEqual(head["x-cornelreach-target-instance"], "e0")
        self.assertEqual(head["x-other"], "kept")
        for name in ("x-api-key", "x-cornelreach-cache-salt", "x-private"):
            self.assertNotIn(name, head)
        for name in ("x-cornelreach-kv-hold", "kv-from"):
            self.assertNotIn(name, head)
        left_ms = int(head["x-cornelreach-deadline-ms"])
        self.assertTrue(1_000 < left_ms <= 2_000, left_ms)

    # Guards against a short deadline being divided into two attempts, both too short.
    async def test_a_second_attempt_gets_time_only_if_both_fit(self):
        for work_s, deadline_ms, hangs, expected in (
            (0.2, 300, False, 200),  # only one fits
            (0.05, 400, True, 200),  # both fit, and the first one hangs
            (0.3, 500, True, 504),  # only one fits, and that one hangs
        ):

            async def work(engine, head, body, writer, work_s=work_s):
                if "hang" in head["x-cornelreach-request-id"] and engine.name == "e0":
                    await engine.gone.wait()
                await asyncio.sleep(work_s)
                writer.write(engine.answer(head))

            with self.subTest(work_s=work_s, hangs=hangs):
                await self.start(work, work)
                for number in range(4):
                    await self.harness.send(
                        "/safe/x", x_cornelreach_request_id=f"id-{number}"
                    )
                self.harness.mirror.registry.eject(
                    "e1", "busy", self.harness.clock.now_ms() - 560
                )
                status, _ = await self.harness.send(
                    "/safe/x",
                    x_cornelreach_request_id="hang" if hangs else "id",
                    x_cornelreach_deadline_ms=str(deadline_ms),
                )
                self.assertEqual(status, expected)

    # Guards against a second run of a request that, by the configuration in force by
    # then, may run once.
    async def test_a_request_whose_route_may_no_longer_be_repeated_runs_once(self):
        async def change_and_close(engine, head, body, writer):
            route = harness_module.route("/safe/", "s", Kind.AT_MOST_ONCE)
            services = [harness_module.plain_service("s")]
            self.harness.mirror.apply_catalogue(
                harness_module.make_catalogue([route], services, 2)
            )
            return False

        await self.start(change_and_close, change_and_close)
        status, _ = await self.harness.send("/safe/x")
        self.assertEqual((status, self.request_count()), (502, 1))

    # Guards against refusing a request after two targets that are down, by an instance
    # without others, though a third one is up.
    async def test_a_target_is_found_among_others_that_are_down(self):
        await self.start(*[harness_module.answer_ok] * 5)
        for engine in self.engines[1:]:
            engine.server.close()
            await engine.server.wait_closed()
        for number in range(3):
            status, _ = await self.harness.send(
                "/once/x", x_cornelreach_request_id=f"id-{number}"
            )
            self.assertEqual(status, 200)

    # Guards against more repeats than the budget allows, as many requests wait at the
    # same time for a connection to a second target.
    async def test_repeats_that_wait_for_connections_stay_within_the_budget(self):
        async def refuse(engine, head, body, writer):
            await asyncio.sleep(0.3)
            await harness_module.answer_not_run(engine, head, body, writer)

        await self.start(refuse, harness_module.answer_ok, timeout_ms=30_000)
        self.harness.mirror.registry.state("e1").in_flight = 1_000
        client, slow = self.harness.http, self.engines[1].address
        connect = client._connect

        async def connect_slowly(address):
            if f"{address.host}:{address.port}" == slow:
                await asyncio.sleep(0.2)
            return await connect(address)

        client._connect = connect_slowly
        count = 80
        await asyncio.gather(
            *(
                self.harness.send(
                    "/once/x",
                    wait_s=30,
                    x_cornelreach_request_id=f"id-{number}",
                    x_cornelreach_deadline_ms="30000",
                )
                for number in range(count)
            )
        )
        bounds = harness_module.BOUNDS
        repeats = len(self.engines[1].requests)
        self.assertGreater(repeats, 0)
        self.assertLessEqual(repeats, bounds.retry_ratio * count + bounds.retry_slack)

    async def test_outcomes_and_first_bytes_are_counted(self):
        await self.start(harness_module.answer_ok)
        await self.harness.send("/safe/x")
        await self.harness.send("/nowhere/")
        text = self.harness.metrics.render().decode()
        self.assertIn('requests_total{outcome="answered",status="200"} 1', text)
        self.assertIn('requests_total{outcome="no-route",status="404"} 1', text)
        self.assertIn('first_byte_ms_count{route="r/safe/"} 1', text)

    async def test_a_chunked_body_arrives_whole(self):
        await self.start(harness_module.answer_ok)
        data = harness_module.request_bytes(
            "/once/x", body=b"", content_length=None, transfer_encoding="chunked"
        )
        answer = await self.harness.send_raw(data + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        self.assertIn(b"200", answer.split(b"\r\n")[0])
        self.assertEqual(self.engines[0].requests[0][1], b"abcde")

    async def test_a_smuggled_request_is_refused(self):
        await self.start(harness_module.answer_ok)
        data = harness_module.request_bytes("/once/x", transfer_encoding="chunked")
        answer = await self.harness.send_raw(data)
        self.assertIn(b" 400 ", answer.split(b"\r\n")[0])
        self.assertEqual(self.request_count(), 0)

    # Guards against a target that counts as busy for ever, and requests that all fail,
    # because an error came between its choice and the call.
    async def test_a_failed_report_of_loads_ends_one_request_only(self):
        await self.start(harness_module.answer_ok)
        announce = self.harness.selector.announce
        with mock.patch.object(
            self.harness.selector, "announce", side_effect=OverflowError
        ):
            status, _ = await self.harness.send("/once/x")
            self.assertEqual(status, 502)
        self.assertEqual(self.harness.selector.announce, announce)
        state = self.harness.mirror.registry.state("e0")
        self.assertEqual((state.in_flight, state.in_flight_tokens), (0, 0))

    async def test_unknown_routes_wrong_keys_and_a_stale_proof_are_refused(self):
        await self.start(harness_module.answer_ok)
        self.assertEqual((await self.harness.send("/nowhere/"))[0], 404)
        self.assertEqual((await self.harness.send("/safe/", x_api_key="no"))[0], 401)
        self.assertEqual((await self.harness.send("/safe/", x_api_key=None))[0], 401)
        self.harness.mirror.proof_ms = self.harness.clock.now_ms() - 5_000
        status, answer = await self.harness.send("/safe/")
        self.assertEqual(status, 503)
        self.assertIn(b"retry-after: ", answer.lower())
        self.assertEqual(self.request_count(), 0)
        self.assertEqual((await self.harness.send("/open/", x_api_key=None))[0], 200)

    async def test_without_a_configuration_no_route_is_reported_missing(self):
        await self.start(harness_module.answer_ok)
        self.harness.mirror.catalogue = None
        self.assertEqual((await self.harness.send("/nowhere/"))[0], 503)

    async def test_a_request_not_run_is_sent_to_another_target(self):
        await self.start(
            harness_module.answer_not_run,
            harness_module.answer_not_run,
            harness_module.answer_ok,
        )
        for number in range(5):
            status, _ = await self.harness.send(
                "/once/x", x_cornelreach_request_id=f"id-{number}"
            )
            self.assertEqual(status, 200)
        self.assertEqual(len(self.engines[2].requests), 5)

    async def test_a_request_run_by_no_target_is_refused_at_once_with_retry_after(self):
        await self.start(harness_module.answer_not_run, harness_module.answer_not_run)
        began_s = time.monotonic()
        status, answer = await self.harness.send("/once/x")
        self.assertEqual(status, 503)
        self.assertIn(b"retry-after: 0.", answer.lower())
        self.assertNotIn(b"signature", answer.lower())
        self.assertLess(time.monotonic() - began_s, 0.5)

    # Guards against a refused request counting as run because its refusal broke off.
    async def test_a_refusal_that_breaks_off_is_still_one(self):
        async def cut(engine, head, body, writer):
            extra = "x-cornelreach-not-executed: 1\r\n"
            writer.write(engine.answer(head, 503, b"full", False, extra)[:-2])
            await writer.drain()
            return False

        await self.start(cut, cut)
        status, _ = await self.harness.send("/once/x")
        self.assertEqual((status, self.request_count()), (503, 2))

    async def test_failures_are_retried_only_where_allowed(self):
        async def failing(engine, head, body, writer):
            writer.write(engine.answer(head, 500, b"bad"))

        await self.start(failing, failing)
        status, answer = await self.harness.send("/once/x")
        self.assertEqual((status, self.request_count()), (500, 1))
        self.assertIn(b"signature: sig.", answer.lower())
        status, _ = await self.harness.send("/safe/x", x_cornelreach_request_id="id-2")
        self.assertEqual((status, self.request_count()), (500, 3))

    async def test_a_lost_answer_is_never_reported_as_not_run(self):
        async def reset(engine, head, body, writer):
            writer.transport.abort()
            return False

        await self.start(reset, reset)
        self.assertEqual((await self.harness.send("/once/x"))[0], 502)
        self.assertEqual(self.request_count(), 1)

    async def test_a_response_to_another_request_is_skipped(self):
        async def extra(engine, head, body, writer):
            other = {**head, "x-cornelreach-request-id": "other"}
            writer.write(engine.answer(other, body=b"not yours"))
            await asyncio.sleep(0.01)
            writer.write(engine.answer(head, body=b"yours"))

        await self.start(extra)
        for number in range(3):
            _, answer = await self.harness.send(
                "/once/x", x_cornelreach_request_id=f"id-{number}"
            )
            self.assertTrue(answer.endswith(b"yours"))

    async def test_extra_bytes_after_a_response_close_the_connection(self):
        async def doubled(engine, head, body, writer):
            writer.write(engine.answer(head) * 2)

        await self.start(doubled)
        for number in range(3):
            status, answer = await self.harness.send(
                "/once/x", x_cornelreach_request_id=f"id-{number}"
            )
            self.assertEqual((status, answer[-2:]), (200, b"ok"))
        self.assertEqual(self.engines[0].connections, 3)

    async def test_a_connection_is_not_reused_past_its_keep_alive_timeout(self):
        async def brief(engine, head, body, writer):
            writer.write(engine.answer(head, extra="keep-alive: timeout=1\r\n"))

        await self.start(brief)
        for number, pause_s in enumerate((0, 0, 0.5)):
            await asyncio.sleep(pause_s)
            await self.harness.send("/once/x", x_cornelreach_request_id=f"id-{number}")
        self.assertEqual(self.engines[0].connections, 2)

    async def test_a_success_without_signature_is_not_returned(self):
        async def unsigned(engine, head, body, writer):
            writer.write(engine.answer(head, signed=False))

        await self.start(unsigned)
        self.assertEqual((await self.harness.send("/once/x"))[0], 502)

    async def test_a_status_that_implies_not_run_is_not_returned_unless_stated(self):
        async def vague(engine, head, body, writer):
            writer.write(engine.answer(head, 503))

        await self.start(vague)
        self.assertEqual((await self.harness.send("/once/x"))[0], 502)

    async def test_a_truncated_response_is_not_returned_as_complete(self):
        async def cut(engine, head, body, writer):
            writer.write(engine.answer(head, body=b"x" * 100)[:-50])
            await writer.drain()
            writer.transport.abort()
            return False

        await self.start(cut)
        self.assertEqual((await self.harness.send("/once/x"))[0], 502)

    async def test_a_response_without_length_ends_with_its_connection(self):
        async def unframed(engine, head, body, writer):
            whole = engine.answer(head, body=b"all of it")
            writer.write(whole.replace(b"content-length: 9\r\n", b""))
            await writer.drain()
            return False

        await self.start(unframed)
        status, answer = await self.harness.send("/once/x")
        self.assertEqual((status, answer[-9:]), (200, b"all of it"))

    async def test_a_silent_target_gives_a_timeout_at_the_deadline(self):
        async def silent(engine, head, body, writer):
            await engine.gone.wait()
            return False

        await self.start(silent)
        began_s = time.monotonic()
        status, _ = await self.harness.send("/once/x", x_cornelreach_deadline_ms="300")
        self.assertEqual(status, 504)
        self.assertLess(time.monotonic() - began_s, 0.4)
        await asyncio.wait_for(self.engines[0].gone.wait(), 0.5)

    async def test_the_routes_timeout_applies_too(self):
        async def silent(engine, head, body, writer):
            await engine.gone.wait()
            return False

        await self.start(silent, timeout_ms=200)
        began_s = time.monotonic()
        self.assertEqual((await self.harness.send("/once/x"))[0], 504)
        self.assertLess(time.monotonic() - began_s, 0.35)

    async def test_a_caller_that_disconnects_aborts_its_request(self):
        async def silent(engine, head, body, writer):
            await engine.gone.wait()
            return False

        await self.start(silent)
        _, writer = await asyncio.open_connection("127.0.0.1", self.harness.server.port)
        writer.write(harness_module.request_bytes("/once/x"))
        while not self.engines[0].requests:
            await asyncio.sleep(0.01)
        writer.close()
        await asyncio.wait_for(self.engines[0].gone.wait(), 0.5)

    async def test_a_dead_target_costs_only_an_attempt(self):
        await self.start(harness_module.answer_ok, harness_module.answer_ok)
        self.engines[0].server.close()
        for number in range(6):
            status, _ = await self.harness.send(
                "/once/x", x_cornelreach_request_id=f"id-{number}"
            )
            self.assertEqual(status, 200)

    async def test_a_draining_target_gets_nothing(self):
        await self.start(harness_module.answer_ok, harness_module.answer_ok)
        self.harness.register(self.engines[0], "s", draining=True)
        for number in range(4):
            await self.harness.send("/safe/x", x_cornelreach_request_id=f"id-{number}")
        self.assertEqual(len(self.engines[0].requests), 0)

    async def test_a_reused_address_is_not_mistaken_for_the_old_target(self):
        async def moved(engine, head, body, writer):
            writer.write(engine.answer(head, 421, b"", signed=False))

        await self.start(moved, harness_module.answer_ok)
        for number in range(4):
            status, _ = await self.harness.send(
                "/once/x", x_cornelreach_request_id=f"id-{number}"
            )
            self.assertEqual(status, 200)


class Ingress(Case):
    """Unusual requests and connections of callers."""

    async def test_pipelined_requests_are_answered_in_order(self):
        await self.start(harness_module.answer_ok)
        data = b"".join(
            harness_module.request_bytes(
                "/once/x",
                x_cornelreach_request_id=f"id-{number}",
                connection="close" if number == 3 else "keep-alive",
            )
            for number in range(1, 4)
        )
        got = (await self.harness.send_raw(data, until_closed=True)).lower()
        positions = [got.index(b"request-id: id-%d" % number) for number in (1, 2, 3)]
        self.assertEqual(positions, sorted(positions))
        self.assertEqual((got.count(b"http/1.1 200"), self.request_count()), (3, 3))

    async def test_a_header_that_arrives_too_slowly_is_refused_as_not_run(self):
        await self.start(harness_module.answer_ok)
        self.harness.server.limits = limits.Limits(header_wait_ms=100)
        data = harness_module.request_bytes("/once/x")[:60]
        got = await self.harness.send_raw(data, until_closed=True)
        self.assertIn(b" 408 ", got.split(b"\r\n")[0])
        self.assertEqual(self.request_count(), 0)

    async def test_too_large_headers_and_bodies_are_refused(self):
        await self.start(harness_module.answer_ok)
        self.harness.server.limits = limits.Limits(header_bytes=500, body_bytes=100)
        status, _ = await self.harness.send("/once/x", body=b"x" * 101)
        self.assertEqual(status, 413)
        data = harness_module.request_bytes("/once/x", x_long="y" * 600)
        got = await self.harness.send_raw(data, until_closed=True)
        self.assertIn(got.split(b" ")[1], (b"413", b"431"))
        self.assertEqual(self.request_count(), 0)

    async def test_a_response_before_the_body_is_read_does_not_break_the_body(self):
        early = EarlyResponder("e0", None)
        await early.start()
        await self.start()
        self.harness.engines.append(early)
        self.harness.register(early, "s")
        body = bytes(range(256)) * 4_000
        for number in range(3):
            status, _ = await self.harness.send(
                "/once/x", body=body, x_cornelreach_request_id=f"id-{number}"
            )
            self.assertEqual(status, 200)
        await asyncio.sleep(0.2)
        self.assertEqual(early.bodies, [body] * 3)


class EarlyResponder(harness_module.Engine):
    """Answers after the header and reads the body later, keeping the connection."""

    bodies = ()

    async def serve_one(self, reader, writer):
        raw = await reader.readuntil(b"\r\n\r\n")
        fields = dict(
            line.lower().split(": ", 1)
            for line in raw.decode().split("\r\n")[1:]
            if line
        )
        writer.write(self.answer(fields))
        await writer.drain()
        await asyncio.sleep(0.05)
        body = await reader.readexactly(int(fields["content-length"]))
        self.bodies = [*self.bodies, body]
        return True


class Streams(Case):
    """Event streams: forwarded as they arrive, resumed, or ended as incomplete."""

    async def test_events_arrive_before_the_stream_ends(self):
        release = asyncio.Event()

        async def slow(engine, head, body, writer):
            writer.write(engine.stream_head(head) + harness_module.chunk(b"id: 1\n\n"))
            await release.wait()
            writer.write(harness_module.chunk(b"id: 2\n\n") + b"0\r\n\r\n")

        await self.start(slow)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.harness.server.port
        )
        writer.write(harness_module.request_bytes("/stream/x"))
        got = await asyncio.wait_for(reader.readuntil(b"id: 1\n\n"), 1)
        self.assertIn(b"signature: sig.e0", got.lower())
        release.set()
        await asyncio.wait_for(reader.readuntil(b"0\r\n\r\n"), 1)
        writer.close()

    async def test_a_broken_stream_resumes_at_another_target_without_a_gap(self):
        async def stream(engine, head, body, writer):
            last = int(head.get("last-event-id", 0))
            writer.write(engine.stream_head(head))
            if not last:
                part = harness_module.event(1) + harness_module.event(2)
                writer.write(harness_module.chunk(part + b"id: 3\ndata: tok"))
                await writer.drain()
                await asyncio.sleep(0.02)
                writer.transport.abort()
                return False
            for number in range(last + 1, 5):
                writer.write(harness_module.chunk(harness_module.event(number)))
            writer.write(b"0\r\n\r\n")
            return None

        await self.start(stream, stream)
        got = await self.harness.stream("/resume/x")
        body = got.partition(b"\r\n\r\n")[2]
        numbers = [int(part.split(b"\n")[0]) for part in body.split(b"id: ")[1:]]
        self.assertEqual(numbers, [1, 2, 3, 4])
        self.assertTrue(got.endswith(b"0\r\n\r\n"))
        self.assertEqual(self.request_count(), 2)
        self.assertEqual(got.lower().count(b"response-signature"), 1)

    async def test_a_stream_that_may_not_resume_ends_as_incomplete(self):
        async def stream(engine, head, body, writer):
            writer.write(
                engine.stream_head(head) + harness_module.chunk(harness_module.event(1))
            )
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.transport.abort()
            return False

        await self.start(stream, stream)
        got = await self.harness.stream("/stream/x")
        self.assertIn(b"id: 1", got)
        self.assertFalse(got.endswith(b"0\r\n\r\n"))
        self.assertEqual(self.request_count(), 1)

    async def test_the_framing_of_streams_and_incomplete_events_are_counted(self):
        async def stream(engine, head, body, writer):
            writer.write(engine.stream_head(head))
            writer.write(harness_module.chunk(harness_module.event(1) + b"id: 2"))
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.transport.abort()
            return False

        await self.start(stream)
        await self.harness.stream("/stream/x")
        text = self.harness.metrics.render().decode()
        labels = 'framing="chunked",open_event="yes",outcome="broken"'
        self.assertIn(f"streams_total{{{labels}}} 1", text)

    async def test_a_caller_may_resume_a_stream_itself(self):
        async def stream(engine, head, body, writer):
            writer.write(engine.stream_head(head) + b"0\r\n\r\n")

        await self.start(stream)
        await self.harness.stream("/resume/x", last_event_id="7")
        self.assertEqual(self.engines[0].requests[0][0]["last-event-id"], "7")

    async def test_a_stream_is_ended_at_its_routes_timeout(self):
        async def endless(engine, head, body, writer):
            writer.write(engine.stream_head(head))
            while not engine.gone.is_set():
                writer.write(harness_module.chunk(harness_module.event(1)))
                await asyncio.sleep(0.02)
            return False

        await self.start(endless, timeout_ms=300)
        began_s = time.monotonic()
        got = await self.harness.stream("/stream/x")
        self.assertLess(time.monotonic() - began_s, 0.6)
        self.assertFalse(got.endswith(b"0\r\n\r\n"))
