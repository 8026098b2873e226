"""HTTP/1.1 server on asyncio and h11.

A server passes each complete request to a coroutine and sends the response it returns::

    async def handle(request):
        return messages.json_response(200, {"ok": True})

    running = await server.start("127.0.0.1", 8080, handle)
"""

import asyncio
import contextlib
import ssl
import typing

import h11

from cornelreach.http import (
    limits as limits_module,
    memory,
    messages,
    places,
    receiving,
    sockets,
    turns,
)
from cornelreach.util import errors, events

READ_BYTES = receiving.BODY_READ_BYTES  # at most; there is less while no body arrives
DRAIN_BYTES = 65_536
HTTP_1_1 = b"1.1"
ACCEPT_S = 0.005  # for connections that the kernel has accepted
LOOP_PASSES = 2  # the first one asks the system, the second one takes what it has
LINGER_S = 0.1  # for requests on their way when a stop begins
DROP_S = 1.0  # for what is still sent of a body that was refused
SMALL_BODY_BYTES = 65_536  # served whatever is held
BODY_COPIES = 2  # of a request's body, as it is passed on
STREAM_BYTES = 196_608  # what is held of a stream whose client does not read
# What the system may receive of a long body, beyond what each connection may.
WIDE_BYTES = int(receiving.WIDE_RECEIVE_BYTES * receiving.RECEIVE_OVERHEAD)

HANDLER_FAILED = events.define(
    1001, "ERROR", "Request handler failed: {error}.", "Report it with the log line."
)

Handler = typing.Callable[[messages.Request], typing.Awaitable[messages.Response]]


class ClientDisconnected(Exception):
    """The client closed the connection.

    If a handler raises it, the connection is closed without a response.
    """


# What ends a connection without another word.
LOST = (ClientDisconnected, ConnectionError, h11.LocalProtocolError, ssl.SSLError)


class Refused(Exception):
    """Raised to answer a request with a refusal."""

    def __init__(self, refusal: errors.Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


def refusal_response(refusal: errors.Refusal, close: bool = False) -> messages.Response:
    """Return the response for a typed refusal.

    The body is ``{"error": {code, message, remedy, ran, retry_after_ms}}``.
    """
    headers: messages.Headers = ()
    if refusal.retry_after_ms is not None:
        seconds = max(1, -(-refusal.retry_after_ms // 1_000))
        headers = ((b"retry-after", str(seconds).encode()),)
    value = {"error": refusal._asdict()}
    return messages.json_response(refusal.status, value, headers, close)


class Connection:
    """One accepted connection: reads requests in turn and writes the responses.

    The limits of a request are those that are in force when it begins.
    """

    def __init__(
        self,
        reader: receiving.Reader,
        writer: asyncio.StreamWriter,
        handler: Handler,
        current_limits: typing.Callable[[], limits_module.Limits],
        account: memory.Account,
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.handler = handler
        self.current_limits = current_limits
        self.limits = current_limits()
        self.closing = False
        self.ending = False  # whether it is closed as soon as no request arrives
        self.h11 = h11.Connection(h11.SERVER, self.limits.header_bytes)
        self._idle_timeout: asyncio.Timeout | None = None
        self._pieces = turns.Pieces()
        self.account = account
        self.peer = str(writer.get_extra_info("peername"))
        self.port = (writer.get_extra_info("sockname") or (0, 0))[1]
        # What is held besides the buffers of reader and transport.
        self._ahead_bytes = self._body_bytes = self._stream_bytes = 0
        self._wide_bytes = 0
        self._is_serving = self._is_closed = False
        reader.on_data = self._data_arrived

    async def run(self) -> None:
        """Serve requests until either side closes the connection."""
        try:
            while await self._serve_one():
                self.h11.start_next_cycle()
        except LOST:
            pass
        finally:
            await self._end()

    async def _end(self) -> None:
        """Close the connection once its client has read the response, or in time."""
        self._is_serving = False
        self._ahead_bytes = self._body_bytes = 0
        self.reader.discard()
        self._close()
        if self.h11.trailing_data[0]:
            self.h11 = h11.Connection(h11.SERVER)  # drops requests sent ahead
        delay_s = self.limits.write_wait_ms / 1_000
        loop = asyncio.get_running_loop()
        give_up = loop.call_later(delay_s, self._close_unread)
        try:
            with contextlib.suppress(Exception):
                await self.writer.wait_closed()
        finally:
            give_up.cancel()
            self.account.remove(self)

    def held_bytes(self) -> int:
        """Return how much is held for this connection beyond what each one costs."""
        if self._is_closed:
            return 0
        return (
            self.reader.waiting_bytes
            + self._ahead_bytes
            + self._body_bytes * BODY_COPIES
            + self._stream_bytes
            + self._wide_bytes
            + self.unread_bytes()
        )

    def unread_bytes(self) -> int:
        """Return how much of the responses the client has not read."""
        return self.writer.transport.get_write_buffer_size()

    def rank(self) -> memory.Rank:
        """Return when the connection is closed for want of memory."""
        if self.has_sent_ahead() or self.unread_bytes():
            return memory.Rank.AHEAD
        if self._idle_timeout is not None and not self.reader.waiting_bytes:
            return memory.Rank.IDLE
        return memory.Rank.SERVING if self._is_serving else memory.Rank.RECEIVING

    def has_sent_ahead(self) -> bool:
        """Return whether requests wait behind the one in progress."""
        return self._is_serving and self.reader.waiting_bytes + self._ahead_bytes > 0

    def close_by(self, bound: memory.Bound) -> None:
        """Reset the connection; a request in progress is cancelled."""
        self._is_closed = True
        self.reader.discard()
        sockets.reset(self.writer.transport)
        self.reader.end()

    def check_client(self) -> None:
        """End the request in progress if the client has left unnoticed."""
        is_paused = self.reader.waiting_bytes > receiving.READ_BYTES
        if not is_paused or self.reader.has_ended:
            return
        if receiving.has_left(self.writer.transport):
            self.reader.end()
        elif self.account.has_room():
            self._widen()  # the end may follow behind what is on its way

    def _data_arrived(self) -> None:
        if self.reader.waiting_bytes > memory.COUNTED_BYTES:
            self.account.update(self)

    def _close_unread(self) -> None:
        if not self._is_closed:
            self.account.close(self, memory.Bound.WRITE_WAIT)

    def end_if_idle(self) -> None:
        """Close the connection, now or after its request, once nothing more arrives."""
        self.ending = self.closing = True
        if self._idle_timeout is not None:
            with contextlib.suppress(RuntimeError):  # the idle time is over just now
                self._idle_timeout.reschedule(asyncio.get_running_loop().time())

    def _close(self) -> None:
        if self._ends_with_connection():
            self.abort()
        else:
            self.writer.close()

    def _ends_with_connection(self) -> bool:
        # A response without length or chunks, for a client older than HTTP/1.1, would
        # look complete if its connection were closed in an orderly way now.
        return (
            self.h11.our_state is h11.SEND_BODY
            and self.h11.their_http_version != HTTP_1_1
        )

    def abort(self) -> None:
        """Close the connection at once, so that no partial response looks complete."""
        if self._ends_with_connection():
            sockets.reset(self.writer.transport)
        else:
            self.writer.transport.abort()

    async def _serve_one(self) -> bool:
        try:
            request = await self._read_request()
        except Refused as refused:
            if self.h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                await self._refuse(refused.refusal)
            return False
        if request is None:
            return False
        await self._handle(request)
        reusable = self.h11.our_state is h11.DONE and self.h11.their_state is h11.DONE
        return reusable and not self.closing

    async def _refuse(self, refusal: errors.Refusal) -> None:
        """Answer with a refusal and close the connection.

        What is still sent of a body is dropped for a while: the system resets a
        connection that is closed with unread bytes, and the client loses the response.
        """
        is_arriving = self.h11.their_state is h11.SEND_BODY
        await self._write(refusal_response(refusal, close=True))
        if not is_arriving or not self.writer.can_write_eof():
            return
        self.writer.write_eof()
        left_bytes = self.limits.body_bytes
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DROP_S):
                while left_bytes > 0 and (data := await self.reader.read(READ_BYTES)):
                    left_bytes -= len(data)

    async def _handle(self, request: messages.Request) -> None:
        task = asyncio.ensure_future(self._handle_and_write(request))
        self._is_serving = True
        loop = asyncio.get_running_loop()
        # The handler begins before it is cancelled: a response that is there at once is
        # still sent to a client that has closed only its own direction.
        self.reader.on_end = lambda: loop.call_soon(task.cancel)
        if self.reader.has_ended:
            self.reader.on_end()
        try:
            await asyncio.wait((task,))
            if task.cancelled() or not task.result():
                raise ClientDisconnected
        finally:
            self._is_serving = False
            self.reader.on_end = None
            if not task.done():
                task.cancel()
                await asyncio.wait((task,))
            _drop_traceback(task)
            self._body_bytes = 0
            if self.account.counts(self):
                self.account.update(self)

    async def _handle_and_write(self, request: messages.Request) -> bool:
        """Run the handler and write its response; returns whether that went well.

        An error is not passed on: the task would keep its traceback, which refers to
        the task and to the bodies of request and response.
        """
        try:
            await self._write(await self._run_handler(request))
        except LOST:
            return False
        return True

    async def _run_handler(self, request: messages.Request) -> messages.Response:
        try:
            return await self.handler(request)
        except Refused as refused:
            return refusal_response(refused.refusal)
        except ClientDisconnected:
            raise
        except Exception as error:
            events.emit(HANDLER_FAILED, error=repr(error))
            refusal = errors.Refusal(
                errors.Code.TARGET_FAILED,
                "internal error of the instance",
                "report the time of the call to the operators",
                errors.ExecutionStatus.UNKNOWN,
            )
            return refusal_response(refusal, close=True)

    async def _read_request(self) -> messages.Request | None:
        head = await self._next_head()
        if head is None:
            return None
        received_s = asyncio.get_running_loop().time()
        headers = tuple((bytes(key), bytes(value)) for key, value in head.headers)
        self._refuse_large_header(head)
        self._refuse_ambiguous_length(headers)
        body = await self._with_timeout(
            self._read_body(), self.limits.body_wait_ms, "the request body"
        )
        self._ahead_bytes = len(self.h11.trailing_data[0])
        path, query = messages.split_target(head.target)
        return messages.Request(
            head.method.decode(),
            path,
            query,
            headers,
            body,
            bytes(head.target),
            received_s,
        )

    def _refuse_large_header(self, head: h11.Request) -> None:
        # h11 limits only the size of incomplete headers.
        fields_bytes = sum(len(name) + len(value) + 4 for name, value in head.headers)
        if len(head.target) + fields_bytes > self.limits.header_bytes:
            refusal = errors.Refusal(
                errors.Code.TOO_LARGE,
                f"the headers exceed {self.limits.header_bytes} bytes",
                "send shorter headers",
            )
            raise Refused(refusal)

    def _refuse_ambiguous_length(self, headers: messages.Headers) -> None:
        # h11 prefers Transfer-Encoding to Content-Length, but a proxy in front may not.
        # Such a disagreement allows request smuggling.
        names = {key for key, _ in headers}
        if {b"content-length", b"transfer-encoding"} <= names:
            refusal = errors.Refusal(
                errors.Code.BAD_REQUEST,
                "the request has both Content-Length and Transfer-Encoding",
                "send only one of the two",
            )
            raise Refused(refusal)

    async def _next_head(self) -> h11.Request | None:
        if self.h11.trailing_data[0]:
            self._apply_limits()
        elif not await self._wait_for_request():
            return None
        event = self._next_event()
        if event is h11.NEED_DATA:
            wait_ms = self.limits.header_wait_ms
            event = await self._with_timeout(
                self._wait_for_event(), wait_ms, "the headers"
            )
        return event if isinstance(event, h11.Request) else None

    async def _wait_for_request(self) -> bool:
        """Wait for the first bytes of a request, for as long as the client may be idle.

        Returns False if the connection is to be closed: nothing has arrived then. A
        timeout may also end a wait whose data is there, if the process did not run.
        """
        begin_s = asyncio.get_running_loop().time()
        data: bytes | None = None
        while data is None:
            end_s = begin_s + self.current_limits().idle_ms / 1_000
            if self.ending or end_s <= asyncio.get_running_loop().time():
                data = await self._received_data()
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(end_s) as self._idle_timeout:
                    data = await self._read_when_idle()
            self._idle_timeout = None
        if data is None:
            return False
        self._apply_limits()
        self.h11.receive_data(data)
        return True

    async def _read_when_idle(self) -> bytes:
        self.account.set_idle(self, True)
        try:
            return await self.reader.read(READ_BYTES)
        finally:
            self.account.set_idle(self, False)

    async def _received_data(self) -> bytes | None:
        """Return what has arrived, in the buffers of the process or the system."""
        for _ in range(LOOP_PASSES):
            await asyncio.sleep(0)
        try:
            async with asyncio.timeout(0):
                return await self.reader.read(READ_BYTES)
        except TimeoutError:
            return None

    def _apply_limits(self) -> None:
        """Take over the limits in force; h11 keeps that of headers for its lifetime."""
        before, self.limits = self.limits, self.current_limits()
        if self.limits.header_bytes != before.header_bytes:
            pipelined, is_closed = self.h11.trailing_data
            self.h11 = h11.Connection(h11.SERVER, self.limits.header_bytes)
            if pipelined:
                self.h11.receive_data(pipelined)
            if is_closed:
                self.h11.receive_data(b"")

    async def _wait_for_event(self) -> object:
        await self._pieces.next()
        while (event := self._next_event()) is h11.NEED_DATA:
            self._pieces.wait_for_data()
            await self._receive()
        return event

    async def _read_body(self) -> bytes:
        try:
            return await self._read_body_pieces()
        finally:
            self.reader.read_less()

    def _widen(self) -> None:
        """Let the process receive more of the present request, and the system too.

        The system does so, and is counted, for as long as the connection is open: what
        it has offered to the client cannot be taken back.
        """
        self.reader.read_more()
        if not self._wide_bytes:
            self._wide_bytes = WIDE_BYTES
            receiving.widen(self.writer.transport)
            self.account.update(self)

    async def _read_body_pieces(self) -> bytes:
        body = bytearray()
        if self.h11.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            self.writer.write(self.h11.send(continue_response))
        while True:
            event = await self._wait_for_event()
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if not isinstance(event, h11.Data):
                raise ClientDisconnected
            if len(body) <= SMALL_BODY_BYTES < len(body) + len(event.data):
                self._refuse_without_room()
            body += event.data
            self._body_bytes = len(body)
            self.reader.read_more()
            if len(body) > receiving.RECEIVE_BYTES and self.account.has_room():
                self._widen()
            if len(body) > memory.COUNTED_BYTES:
                self.account.update(self)
            if len(body) > self.limits.body_bytes:
                raise Refused(
                    errors.Refusal(
                        errors.Code.TOO_LARGE,
                        f"the body exceeds {self.limits.body_bytes} bytes",
                        "send a shorter body",
                    )
                )

    def _refuse_without_room(self) -> None:
        if self.account.has_room_without_idle():
            return
        self.account.report(memory.NO_ROOM, self, memory.Bound.MEMORY)
        raise Refused(
            errors.Refusal(
                errors.Code.UNAVAILABLE,
                "this instance has no memory for a long body now",
                "send the request again after the stated time",
                retry_after_ms=1_000,
            )
        )

    async def _with_timeout(
        self, work: typing.Awaitable[typing.Any], wait_ms: int, what: str
    ) -> typing.Any:
        try:
            async with asyncio.timeout(wait_ms / 1_000):
                return await work
        except TimeoutError:
            refusal = errors.Refusal(
                errors.Code.TOO_SLOW,
                f"{what} did not arrive within {wait_ms} ms",
                "send the whole request without pauses",
            )
            raise Refused(refusal) from None

    def _next_event(self) -> object:
        try:
            return self.h11.next_event()
        except h11.RemoteProtocolError as error:
            large = error.error_status_hint == 431
            code = errors.Code.TOO_LARGE if large else errors.Code.BAD_REQUEST
            refusal = errors.Refusal(
                code, f"malformed HTTP: {error}", "send well-formed HTTP/1.1"
            )
            raise Refused(refusal) from None

    async def _receive(self) -> None:
        data = await self.reader.read(READ_BYTES)
        self.h11.receive_data(data)
        # Of a body it is counted a second time, until the request is complete.
        most_bytes = self.limits.header_bytes + READ_BYTES
        self._ahead_bytes = min(self._ahead_bytes + len(data), most_bytes)
        if self._ahead_bytes > memory.COUNTED_BYTES:
            self.account.update(self)

    async def _write(self, response: messages.Response) -> None:
        headers = list(response.headers)
        length = len(response.body) if response.stream is None else response.length
        if length is not None:
            headers.append((b"content-length", str(length).encode()))
        else:
            headers.append((b"transfer-encoding", b"chunked"))
        if response.close or self.closing:
            headers.append((b"connection", b"close"))
        head = h11.Response(status_code=response.status, headers=headers)
        self.writer.write(self.h11.send(head))
        if response.stream is None:
            self.writer.write(self.h11.send(h11.Data(data=response.body)))
        else:
            await self._write_stream(response.stream)
        self.writer.write(self.h11.send(h11.EndOfMessage()))
        del response  # the transport keeps what the client has not read
        await self._drain()

    async def _write_stream(self, stream: typing.AsyncIterator[bytes]) -> None:
        async with contextlib.aclosing(stream):
            async for part in stream:
                if self.writer.is_closing():
                    raise ClientDisconnected
                self.writer.write(self.h11.send(h11.Data(data=part)))
                if self.unread_bytes() > DRAIN_BYTES:
                    self._stream_bytes = STREAM_BYTES
                    await self._drain()
                    self._stream_bytes = 0

    async def _drain(self) -> None:
        if self.unread_bytes() > memory.COUNTED_BYTES:
            self.account.update(self)
        try:
            async with asyncio.timeout(self.limits.write_wait_ms / 1_000):
                await self.writer.drain()
        except TimeoutError:
            self._close_unread()
            raise ClientDisconnected from None


def _drop_traceback(task: asyncio.Task[typing.Any]) -> None:
    """Let a cancelled task forget where it was, so that what it held is freed now."""
    with contextlib.suppress(asyncio.CancelledError):
        task.exception()


class Server:
    """A listening socket and its open connections."""

    def __init__(
        self, handler: Handler, limits: limits_module.Limits, account: memory.Account
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.account = account
        self.connections: set[Connection] = set()
        self.keep_alive_disabled = False
        self.listener: asyncio.Server | None = None
        self._lingering = self._ending = False
        self._places: places.Places[Connection] = places.Places(self._take_place)

    @property
    def port(self) -> int:
        """Return the port on which the server listens."""
        return self.listener.sockets[0].getsockname()[1]

    async def accept(
        self, reader: receiving.Reader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection, or close it if there is no place for it in time."""
        connection = Connection(
            reader, writer, self.handler, lambda: self.limits, self.account
        )
        try:
            if not await self._places.wait_for(connection):
                bound = self._lacking() or memory.Bound.CONNECTIONS
                self.account.report(memory.NOT_ACCEPTED, connection, bound)
                reader.discard()
                writer.close()
                return
            connection.closing = self.keep_alive_disabled
            connection.ending = self._ending
            await connection.run()
        except asyncio.CancelledError:
            writer.close()
        finally:
            self._give_back(connection)

    def _take_place(self, connection: Connection, is_late: bool) -> bool:
        """Give a connection a place; returns False if there is none.

        If need be, one whose client reads nothing or sends ahead is closed for it, or
        an idle one if it comes late: who has just connected, far away, is idle too.
        """
        bound = self._lacking()
        if bound is not None:
            among = self.connections if bound is memory.Bound.CONNECTIONS else None
            if not self.account.make_room(among, bound, is_late):
                return False
        self.connections.add(connection)
        self.account.connections += 1
        return True

    def _lacking(self) -> memory.Bound | None:
        """Return by which bound no other connection has a place, or None."""
        if len(self.connections) >= self.limits.connections:
            return memory.Bound.CONNECTIONS
        return self.account.lacking()

    def _give_back(self, connection: Connection) -> None:
        self.account.remove(connection)  # it may have sent much while it waited
        if connection in self.connections:
            self.connections.discard(connection)
            self.account.connections -= 1

    def disable_keep_alive(self) -> None:
        """Keep serving, but close each connection after its next response."""
        self.keep_alive_disabled = True
        for connection in self.connections:
            connection.closing = True

    def stop_listening(self) -> None:
        """Refuse new connections and close idle ones; calls in progress continue.

        What the kernel has accepted is taken first, and idle connections are closed
        after ``LINGER_S``: requests that arrive before that are still answered.
        """
        # Covers connections whose task has not started yet.
        self.disable_keep_alive()
        self._lingering = True
        loop = self.listener.get_loop()
        loop.call_later(ACCEPT_S, self.listener.close)
        loop.call_later(LINGER_S, self._close_idle)

    def _close_idle(self) -> None:
        self._lingering, self._ending = False, True
        for connection in self.connections:
            connection.end_if_idle()

    async def wait_closed(self) -> None:
        """Wait until nothing is accepted and all connections are closed."""
        while self._lingering or self.connections:
            await asyncio.sleep(0.02)

    def abort(self) -> None:
        """Refuse new connections and abort every one that is still open."""
        self.listener.close()
        for connection in self.connections:
            connection.abort()


async def start(
    host: str,
    port: int,
    handler: Handler,
    limits: limits_module.Limits | None = None,
    tls: ssl.SSLContext | None = None,
    account: memory.Account | None = None,
) -> Server:
    """Start a server on an address; port 0 selects a free port.

    The servers of a process share one ``account``.
    """
    limits = limits or limits_module.Limits()
    account = account or memory.Account()
    server = Server(handler, limits, account)
    server.listener = await receiving.listen(
        server.accept, host, port, tls, account.max_waiting
    )
    return server
