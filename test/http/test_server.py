"""Tests of the HTTP server with the HTTP client and with raw sockets."""

import asyncio
import socket
import struct
import time
import unittest

from cornelreach.http import client, limits, messages, server

SMALL = limits.Limits(
    header_bytes=2_000, body_bytes=1_000, header_wait_ms=50, body_wait_ms=50
)


async def echo(request):
    """Return the request body; ``/stream`` returns a stream of three parts."""
    if request.path == "/stream":
        return messages.Response(200, stream=_parts())
    if request.path == "/broken":
        return messages.Response(200, stream=_broken_parts())
    if request.path == "/slow":
        await asyncio.sleep(0.05)
    return messages.Response(200, request.body)


async def _parts():
    for part in (b"one ", b"two ", b"three"):
        yield part


async def _broken_parts():
    yield b"one "
    await asyncio.sleep(0.01)
    raise server.ClientDisconnected


async def send_raw(port, data):
    """Send raw bytes and return everything received."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    response = await asyncio.wait_for(reader.read(), 5)
    writer.close()
    return response


class ServerAndClient(unittest.IsolatedAsyncioTestCase):
    """Complete requests and responses on loopback."""

    async def asyncSetUp(self):
        self.server = await server.start("127.0.0.1", 0, echo, SMALL)
        self.address = client.Address("127.0.0.1", self.server.port)
        self.client = client.Client()

    async def asyncTearDown(self):
        await self.client.close()
        self.server.stop_listening()
        self.server.abort()

    # Guards against a sound server that counts as unreachable because the client's own
    # process did not run.
    async def test_a_connection_that_opens_while_the_client_stands_still_is_used(self):
        hasty = client.Client(connect_wait_ms=20)
        self.addAsyncCleanup(hasty.close)
        for steps in range(6):
            call = asyncio.ensure_future(
                hasty.call(self.address, "POST", "/", b"ok", new_connection=True)
            )
            for _ in range(steps):
                await asyncio.sleep(0)
            time.sleep(0.04)
            status, body, _ = await call
            self.assertEqual((status, body), (200, b"ok"))

    # Guards against the end of the probes, rollouts or watches: a connection that was
    # reset as it opened raised an error that nobody expects.
    async def test_connections_that_are_reset_as_they_open_are_not_sent(self):
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        listener.setblocking(False)
        address = client.Address("127.0.0.1", listener.getsockname()[1])
        probing = client.Client(ack_timeout_ms=1_000)
        loop = asyncio.get_running_loop()
        for steps in range(12):
            call = asyncio.ensure_future(
                probing.call(address, "GET", "/", new_connection=True, wait_ms=500)
            )
            accepted, _ = await loop.sock_accept(listener)
            for _ in range(steps % 6):
                await asyncio.sleep(0)
            linger = struct.pack("ii", 1, 0)
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            accepted.close()
            with self.assertRaises((client.RequestNotSent, client.ResponseLost)):
                await call
            await asyncio.sleep(0.01)
            self.assertEqual(probing.open_connections(address), 0)

    async def test_reuses_a_connection_and_streams(self):
        for _ in range(3):
            status, body, _ = await self.client.call(
                self.address, "POST", "/", b"hello"
            )
            self.assertEqual((status, body), (200, b"hello"))
        self.assertEqual(len(self.server.connections), 1)
        status, body, _ = await self.client.call(self.address, "GET", "/stream")
        self.assertEqual(body, b"one two three")

    async def test_concurrent_responses_reach_their_own_callers(self):
        bodies = [str(number).encode() for number in range(30)]
        paths = ["/slow" if number % 3 else "/" for number in range(30)]
        calls = [
            self.client.call(self.address, "POST", path, body)
            for path, body in zip(paths, bodies, strict=True)
        ]
        responses = await asyncio.gather(*calls)
        self.assertEqual([body for _, body, _ in responses], bodies)

    async def test_rejects_malformed_oversized_and_slow_requests(self):
        cases = {
            b"nonsense\r\n\r\n": b"400",
            b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 3_000: b"413",
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2000\r\n\r\n"
            + b"z" * 2_000: b"413",
            b"GET / HTTP/1.1\r\nhost:": b"408",
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nab": b"408",
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n"
            b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n": b"400",
        }
        for sent, status in cases.items():
            response = await send_raw(self.server.port, sent)
            self.assertIn(status, response.split(b"\r\n")[0], sent[:60])
            self.assertIn(b"remedy", response)

    # Guards against a broken stream looking complete where only its end frames it.
    async def test_a_broken_stream_is_reset_if_its_end_is_its_only_framing(self):
        head = b"GET /broken HTTP/1.0\r\nhost: a\r\n\r\n"
        with self.assertRaises(ConnectionResetError):
            await send_raw(self.server.port, head)
        response = await send_raw(self.server.port, head.replace(b"1.0", b"1.1"))
        self.assertTrue(response.endswith(b"one \r\n"), response)

    async def test_pipelined_requests_are_answered_in_order(self):
        first = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\none"
        second = first.replace(b"one", b"two").replace(
            b"host", b"connection: close\r\nhost"
        )
        response = await send_raw(self.server.port, first + second)
        self.assertLess(response.index(b"one"), response.index(b"two"))

    async def test_graceful_stop_finishes_the_call_in_progress(self):
        call = asyncio.ensure_future(
            self.client.call(self.address, "POST", "/slow", b"kept")
        )
        await asyncio.sleep(0.01)
        self.server.stop_listening()
        status, body, _ = await call
        self.assertEqual((status, body), (200, b"kept"))
        await asyncio.wait_for(self.server.wait_closed(), 5)

    # Guards against requests that have just been accepted being cut off by a stop.
    async def test_requests_that_arrive_as_a_stop_begins_are_answered(self):
        running = await server.start("127.0.0.1", 0, echo)
        request = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\n"
        callers = []
        for sent in (request + b"kept", request):
            for _ in range(4):
                caller = socket.create_connection(("127.0.0.1", running.port))
                self.addCleanup(caller.close)
                caller.sendall(sent)
                callers.append((caller, (request + b"kept")[len(sent) :]))
        running.stop_listening()
        await asyncio.sleep(0.03)
        streams = []
        for caller, rest in callers:
            reader, writer = await asyncio.open_connection(sock=caller)
            self.addCleanup(writer.close)
            writer.write(rest)
            streams.append(reader)
        for reader in streams:
            answer = await reader.read()
            self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
            self.assertIn(b"connection: close", answer.lower())
            self.assertTrue(answer.endswith(b"kept"), answer)
        await asyncio.wait_for(running.wait_closed(), 5)

    # Guards against a request that is received, but not read yet, when its connection
    # is closed: it was passed on, and its caller got nothing.
    async def test_what_has_arrived_as_idle_connections_are_closed_is_answered(self):
        request = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nkept"
        for blocked_s in (0.0, 0.02):
            for early_s in (0.0, 0.001, 0.003, 0.01):
                running = await server.start("127.0.0.1", 0, echo)
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", running.port
                )
                self.addCleanup(writer.close)
                await asyncio.sleep(0.01)
                running.stop_listening()
                await asyncio.sleep(server.LINGER_S - early_s - 0.002)
                writer.write(request)
                time.sleep(blocked_s)  # the process does not run
                answer = await reader.read()
                if answer:
                    self.assertTrue(answer.endswith(b"kept"), answer)
                else:
                    self.assertLessEqual(blocked_s + early_s, 0.001)
                await asyncio.wait_for(running.wait_closed(), 5)

    # Guards against the same as a connection has been idle for too long.
    async def test_what_has_arrived_as_the_idle_time_ends_is_answered(self):
        idle = limits.Limits(idle_ms=60)
        running = await server.start("127.0.0.1", 0, echo, idle)
        self.addCleanup(running.stop_listening)
        reader, writer = await asyncio.open_connection("127.0.0.1", running.port)
        self.addCleanup(writer.close)
        await asyncio.sleep(0.03)
        writer.write(b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nkept")
        time.sleep(0.06)
        self.assertIn(b"kept", await reader.read(1_000))
        self.assertEqual(await reader.read(), b"")

    # Guards against a stop that leaves connections open, since the idle time of one
    # ended in the same pass of the loop.
    async def test_a_stop_as_an_idle_time_ends_closes_all_connections(self):
        running = await server.start("127.0.0.1", 0, echo, limits.Limits(idle_ms=400))
        for count in range(1, 4):
            _, writer = await asyncio.open_connection("127.0.0.1", running.port)
            self.addCleanup(writer.close)
            while len(running.connections) < count:
                await asyncio.sleep(0.001)
            await asyncio.sleep(0.001)
            running.limits = limits.Limits(idle_ms=60_000)
        loop = asyncio.get_running_loop()
        loop.call_later(0.41, running._close_idle)
        loop.call_later(0.0, time.sleep, 0.45)
        running.listener.close()
        await asyncio.wait_for(running.wait_closed(), 2)

    # Guards against kept connections that stay bound to the limits of an old config.
    async def test_limits_are_those_in_force_when_a_request_begins(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.address.port)
        self.addCleanup(writer.close)

        async def send(body_bytes, header_bytes):
            head = f"POST / HTTP/1.1\r\nhost: x\r\nx-a: {'a' * header_bytes}\r\n"
            head += f"content-length: {body_bytes}\r\n\r\n"
            writer.write(head.encode() + b"b" * body_bytes)
            answer = await reader.readuntil(b"\r\n\r\n")
            length = answer.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]
            await reader.readexactly(int(length))
            return int(answer.split(b" ")[1])

        self.assertEqual(await send(900, 100), 200)
        self.server.limits = SMALL._replace(body_bytes=3_000, header_bytes=9_000)
        self.assertEqual(await send(2_900, 8_000), 200)
        self.server.limits = SMALL
        self.assertEqual(await send(1_100, 100), 413)

    # Guards against a raised header limit that a kept connection never takes over,
    # because a request had arrived before the answer to the one before was written.
    async def test_a_raised_header_limit_holds_after_a_pipelined_request(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.address.port)
        self.addCleanup(writer.close)

        def request(path, header_bytes):
            head = f"POST {path} HTTP/1.1\r\nhost: x\r\nx-a: {'a' * header_bytes}\r\n"
            return f"{head}content-length: 0\r\n\r\n".encode()

        writer.write(request("/slow", 100) + request("/", 100))
        await asyncio.sleep(0.02)
        self.server.limits = SMALL._replace(header_bytes=9_000)
        for _ in range(2):
            answer = await reader.readuntil(b"\r\n\r\n")
            self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
        for long in (request("/slow", 8_000), request("/", 8_000) * 2):
            # In two parts, since only incomplete headers meet the parser's own limit.
            writer.write(long[:3_000])
            await asyncio.sleep(0.02)
            writer.write(long[3_000:])
            answer = await reader.readuntil(b"\r\n\r\n")
            self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)

    # Guards against the same where the long request itself is the pipelined one.
    async def test_a_raised_header_limit_holds_for_a_pipelined_request(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.address.port)
        self.addCleanup(writer.close)
        long = f"POST / HTTP/1.1\r\nhost: x\r\nx-a: {'a' * 8_000}\r\n"
        data = f"{long}content-length: 0\r\n\r\n".encode()
        writer.write(b"POST /slow HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n")
        await asyncio.sleep(0.02)
        self.server.limits = SMALL._replace(header_bytes=9_000)
        writer.write(data[:3_000])
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data[3_000:])
        answer = await reader.readuntil(b"\r\n\r\n")
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)

    # Guards against a kept connection closed by an idle time that has been raised.
    async def test_a_raised_idle_time_holds_for_idle_connections(self):
        self.server.limits = SMALL._replace(idle_ms=50)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.address.port)
        self.addCleanup(writer.close)
        await asyncio.sleep(0.02)
        self.server.limits = SMALL._replace(idle_ms=2_000)
        await asyncio.sleep(0.15)
        writer.write(b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nok")
        answer = await reader.readuntil(b"ok")
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)

    async def test_connection_accepted_while_stopping_is_closed(self):
        # A connection that the kernel has accepted, but whose task has not started, is
        # not yet in server.connections when stop_listening closes the idle ones.
        for steps in range(8):
            running = await server.start("127.0.0.1", 0, echo, SMALL)
            with socket.create_connection(("127.0.0.1", running.port)) as caller:
                caller.sendall(
                    b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n"
                )
                for _ in range(steps):
                    await asyncio.sleep(0)
                running.stop_listening()
                await asyncio.wait_for(running.wait_closed(), 5)
