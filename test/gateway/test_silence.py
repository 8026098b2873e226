"""Engines that fall silent for a while, and go on or not."""

import asyncio
import contextlib
import math
import socket
import time

from cornelreach.gateway import silence
from cornelreach.http import client as http_client
from test.gateway import harness as harness_module, links

LONG_RUN_S = silence.GIVE_UP_MS / 1_000 + 1.0
SILENT_S = 1.2  # a sound engine may be silent for a second or so
LONG_BODY = b"x" * 6_000_000
STEP_MS = 50


def ended_ms(options, start_ms, silent_ms):
    """Return when the kernel ends a connection at rest that falls silent, or None.

    After the last data at 0, probes are sent each interval. At each of these moments a
    connection ends if a probe is unanswered and nothing came for the user timeout.
    """
    idle_ms, interval_ms, user_ms = options
    last_ms, unanswered = 0.0, False
    now_ms = idle_ms
    while now_ms < start_ms + silent_ms + 10 * interval_ms:
        if unanswered and now_ms - last_ms >= user_ms:
            return now_ms
        unanswered = start_ms <= now_ms < start_ms + silent_ms
        if not unanswered:
            last_ms = now_ms
        now_ms += interval_ms
    return None


class Silent(links.Case):
    """One instance with links to two engines."""

    async def start(self, *arguments, **changes):
        await super().start(*arguments, **{"direct": 0, **changes})

    async def options(self):
        """Return the probe times and the user timeout of a connection to an engine."""
        await self.start()
        address = (await self.connect()).transport.get_extra_info("socket")
        get = address.getsockopt
        return (
            get(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE) * 1_000,
            get(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL) * 1_000,
            get(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
        )

    async def connect(self):
        """Return an idle connection to an engine."""
        await self.cut.send("/safe/x")
        (found, *_) = [one for idle in self.cut.http._idle.values() for one in idle]
        return found

    # Guards against the loss of answers in progress, and of idle connections, to an
    # engine that is silent for a second: the user timeout decides on probes too.
    async def test_a_silence_between_parts_or_at_rest_ends_no_connection(self):
        options = await self.options()
        for start_ms in range(0, 4_000, STEP_MS):
            for silent_ms in range(STEP_MS, 1_900, STEP_MS):
                found = ended_ms(options, start_ms, silent_ms)
                self.assertIsNone(found, (start_ms, silent_ms, options))

    # Guards against connections to a lost engine that are kept for long.
    async def test_a_lost_engine_is_noticed(self):
        options = await self.options()
        latest_ms = max(
            ended_ms(options, start_ms, 60_000) - start_ms
            for start_ms in range(0, 1_000, STEP_MS)
        )
        self.assertLessEqual(latest_ms, 4_000)

    # Guards against the loss of a request whose body an engine reads after a silence.
    async def test_a_silence_while_a_body_is_sent_loses_no_request(self):
        async def read_late(reader, writer):
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(SILENT_S)
                await engine.serve(reader, writer)

        await self.start()
        engine = self.engines[0]
        self.cut.mirror.registry.remove("e1", self.cut.clock.now_ms())
        late = await asyncio.start_server(read_late, "127.0.0.1", 0, limit=1_024)
        self.addCleanup(late.close)
        port = late.sockets[0].getsockname()[1]
        self.cut.register(engine, "s", address=f"127.0.0.1:{port}")
        self.cut.server.limits = self.cut.server.limits._replace(
            body_bytes=2 * len(LONG_BODY)
        )
        status, _ = await self.cut.send(
            "/once/x", body=LONG_BODY, x_cornelreach_deadline_ms="5000"
        )
        self.assertEqual(status, 200)

    # Guards against a sound engine's silence before its answer ending a request.
    async def test_a_silence_before_the_answer_loses_no_request(self):
        await self.start()
        for number in range(4):
            await self.cut.send("/safe/x", x_cornelreach_request_id=f"before-{number}")
        self.set_links(links.Link.SILENT)
        calls = [
            asyncio.ensure_future(
                self.cut.send(path, x_cornelreach_request_id=path, wait_s=8)
            )
            for path in ("/once/x", "/stream/x", "/resume/x")
        ]
        await asyncio.sleep(SILENT_S)
        self.set_links(links.Link.GOOD)
        self.assertEqual(
            [status for status, _ in await asyncio.gather(*calls)], [200] * 3
        )
        self.assertEqual(len(self.requests()), 4 + 3)

    # Guards against giving up a long run at a sound engine for one connection that did
    # not open in time, though the next one did.
    async def test_one_connection_that_opens_late_ends_no_long_run(self):
        async def work(engine, head, body, writer):
            await asyncio.sleep(LONG_RUN_S)
            writer.write(engine.answer(head))

        await self.start(work)
        open_idle, failures = self.cut.http.open_idle, [1]

        async def open_late(address):
            if failures:
                failures.pop()
                raise http_client.RequestNotSent("no answer within 200 ms")
            await open_idle(address)

        self.cut.http.open_idle = open_late
        for delay_s in (0.0, silence.GIVE_UP_MS / 1_000):
            failures[:] = [1]
            call = asyncio.ensure_future(
                self.cut.send(
                    "/safe/x",
                    x_cornelreach_request_id=f"{delay_s}",
                    x_cornelreach_deadline_ms="5000",
                )
            )
            if delay_s:
                failures.clear()
                await asyncio.sleep(delay_s)
                failures.append(1)
            status, _ = await call
            self.assertEqual((status, failures), (200, []))
        self.assertEqual(len(self.requests()), 2)

    # Guards against failures from before a sign of the engine counting as a row.
    async def test_a_sign_of_an_engine_ends_a_row_of_failed_checks(self):
        await self.start()
        registry, found = (
            self.cut.mirror.registry,
            silence.Silence(self.cut.mirror.registry, self.cut.http, self.cut.clock),
        )
        target = registry.targets["e0"]
        for _ in range(2):
            found._record_failure(target, "no answer")
        self.assertTrue(found.is_lost("e0"))
        registry.restore("e0", 0.0, self.cut.clock.now_ms())
        self.assertFalse(found.is_lost("e0"))
        found._record_failure(target, "no answer")
        self.assertFalse(found.is_lost("e0"))

    # Guards against opening one connection after the other to an engine at work.
    async def test_long_runs_open_few_connections(self):
        async def work(engine, head, body, writer):
            await asyncio.sleep(LONG_RUN_S)
            writer.write(engine.answer(head))

        await self.start(work)
        for path in ("/once/x", "/safe/x"):
            await self.cut.send(
                path, x_cornelreach_request_id=path, x_cornelreach_deadline_ms="5000"
            )
        opened = sum(engine.connections for engine in self.engines)
        self.assertLessEqual(opened, 2 * (1 + LONG_RUN_S * 1_000 / silence.CHECK_MS))

    # Guards against streams that wait on at a lost engine until their callers leave.
    async def test_a_stream_that_may_go_on_leaves_a_lost_engine(self):
        await self.start()
        await self.cut.send("/safe/x")
        lost = next(one for one in self.engines if one.requests)
        self.links[self.engines.index(lost)].set_link(links.Link.HUNG)
        others = [one for one in self.engines if one is not lost]
        for one in others:
            state = self.cut.mirror.registry.state(one.name)
            state.resting_until_ms = math.inf
        begin_s = time.monotonic()
        call = asyncio.ensure_future(
            self.cut.send("/resume/x", x_cornelreach_request_id="id-2")
        )
        await asyncio.sleep(0.1)
        for one in others:
            self.cut.mirror.registry.state(one.name).resting_until_ms = 0.0
        status, _ = await call
        self.assertEqual(status, 200)
        self.assertLess(time.monotonic() - begin_s, silence.GIVE_UP_MS / 1_000 + 0.4)
        self.assertEqual(len(others[0].requests), 1)


EVENTS, EVENT_S = 30, 0.1


async def stream_slowly(engine, head, body, writer):
    """Stream events at a steady rate, from the one behind the last that was got."""
    if "x-cornelreach-request-id" not in head:
        return False  # a probe
    writer.write(engine.stream_head(head))
    for number in range(int(head.get("last-event-id", 0)) + 1, EVENTS + 1):
        writer.write(harness_module.chunk(harness_module.event(number)))
        await writer.drain()
        await asyncio.sleep(EVENT_S)
    writer.write(b"0\r\n\r\n")
    return True


class Midway(links.Case):
    """Streams whose engine falls silent after their first events."""

    async def play(self, path, link, silent_s=60.0):
        """Return the answer to a stream whose engine is silent for a time."""
        await self.start(stream_slowly, direct=0)
        forwarder = self.cut.forwarder
        forwarder.dependencies.silence.is_midway = True
        call = asyncio.ensure_future(
            self.cut.send_raw(
                harness_module.request_bytes(
                    path,
                    "POST",
                    b"",
                    connection="close",
                    x_cornelreach_deadline_ms="9000",
                ),
                until_closed=True,
                wait_s=9,
            )
        )
        await asyncio.sleep(5 * EVENT_S)
        lost = next(one for one in self.engines if one.requests)
        self.links[self.engines.index(lost)].set_link(link)
        begin_s = time.monotonic()
        await asyncio.sleep(min(silent_s, silence.GIVE_UP_MS / 1_000 + 0.5))
        if silent_s < 60.0:
            self.set_links(links.Link.GOOD)
        return await call, time.monotonic() - begin_s

    def numbers(self, answer):
        """Return the identifiers of the events of an answer."""
        body = answer.partition(b"\r\n\r\n")[2]
        return [int(one.split(b"\n")[0]) for one in body.split(b"id: ")[1:]]

    # Guards against streams that end, or wait for their deadline, with a lost engine.
    async def test_a_stream_goes_on_elsewhere_if_its_engine_is_out_of_reach(self):
        answer, took_s = await self.play("/resume/x", links.Link.HUNG)
        self.assertEqual(self.numbers(answer), list(range(1, EVENTS + 1)))
        self.assertTrue(answer.endswith(b"0\r\n\r\n"))
        self.assertEqual(len(self.requests()), 2)
        self.assertLess(took_s, silence.GIVE_UP_MS / 1_000 + EVENTS * EVENT_S + 0.5)

    # Guards against leaving an engine that is silent for long, but can be reached.
    async def test_a_stream_stays_at_an_engine_in_reach(self):
        answer, _ = await self.play("/resume/x", links.Link.SILENT, 2.0)
        self.assertEqual(self.numbers(answer), list(range(1, EVENTS + 1)))
        self.assertEqual(len(self.requests()), 1)

    # Guards against leaving an engine before a sound one would have gone on.
    async def test_a_stream_stays_at_an_engine_that_is_silent_for_a_second(self):
        answer, _ = await self.play("/resume/x", links.Link.HUNG, SILENT_S)
        self.assertEqual(self.numbers(answer), list(range(1, EVENTS + 1)))
        self.assertEqual(len(self.requests()), 1)
