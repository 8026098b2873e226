"""HTTP/1.1 client on asyncio and h11, with one connection pool per origin.

A response belongs to the request sent on the same connection. A connection whose
response was not read to the end is closed and never reused, and so is an idle one that
receives data. A late or misdirected response can thus not reach another call.

A request that is sent again bears the same identifier, so a response that names it may
be a late copy of that to an earlier try. A request with an identifier is therefore
written to a connection only once, until its sender settles it::

    response = await client.send(address, "POST", "/", request_id="9c41d07be2a35f68")
    await response.read()
    response.settle()  # it is not sent again, so the connection may forget it
"""

import asyncio
import collections
import contextlib
import functools
import ssl
import time
import typing

import h11

from cornelreach.http import clientconnection, messages
from cornelreach.util import decoding

IDLE_TIMEOUT_MS = 20_000
MAX_IDLE_CONNECTIONS = 64
KEEP_ALIVE_MARGIN_MS = 600  # servers time the stated timeout by their own clock
MAX_STRAY_RESPONSES = 4
MAX_STRAY_BYTES = 1_048_576  # of the bodies of stray responses
MAX_INTERIM_RESPONSES = 16
MAX_STATUS = 599  # h11 takes any of three digits, from 100
MAX_BODY_BYTES = 8_388_608
MAX_HELD_BYTES = 33_554_432  # of all bodies that a client is reading whole
MAX_SMALL_PARTS = 16_384  # of a body that is read whole
SMALL_PART_BYTES = 64
MAX_PART_BYTES = 8_192  # of events
MAX_UNSETTLED = 64  # requests that a connection which is kept remembers
CACHED_ADDRESSES = 16_384
LOOP_PASSES = 8  # of the event loop, to take over a connection that is open


class RequestNotSent(Exception):
    """No byte of the request was written, so the call was not executed."""


class ResponseLost(Exception):
    """The request was at least partly sent, but no complete response arrived."""


class ConnectionClosed(ResponseLost):
    """The server closed or reset the connection before the response was complete."""


def _lost(text: str, error: Exception) -> ResponseLost:
    # Other errors, such as a timeout of the kernel, mean that the server is silent.
    closed = isinstance(error, ConnectionError | h11.RemoteProtocolError)
    return ConnectionClosed(text) if closed else ResponseLost(text)


class Address(typing.NamedTuple):
    """Host and port of a server, and whether it uses TLS."""

    host: str
    port: int
    tls: bool = False

    def __str__(self) -> str:
        scheme = "https" if self.tls else "http"
        return f"{scheme}://{self.host}:{self.port}"


@functools.lru_cache(maxsize=CACHED_ADDRESSES)
def parse_address(text: str) -> Address:
    """Parse ``http://host:port``, ``https://host:port`` or ``host:port``."""
    tls = text.startswith("https://")
    bare = text.split("://")[-1].rstrip("/")
    host, _, port = bare.rpartition(":")
    if not host or not decoding.is_number(port):
        raise ValueError(f"address {text!r} is not of the form host:port")
    return Address(host, int(port), tls)


Matches = typing.Callable[[messages.Headers], bool]
OnSkipped = typing.Callable[[Address, int, messages.Headers], None]
OnConnected = typing.Callable[[int], typing.Awaitable[None]]


def any_response(_: messages.Headers) -> bool:
    """Accept every response."""
    return True


class ClientResponse:
    """A response; its body is read in parts with ``parts``, or whole with ``read``."""

    def __init__(
        self,
        client: "Client",
        address: Address,
        connection: clientconnection.ClientConnection,
        request_id: str = "",
    ) -> None:
        self._client = client
        self._address = address
        self._connection = connection
        self._request_id = request_id
        self._unsettled = connection.unsettled
        self.status = 0
        self.headers: messages.Headers = ()

    def header(self, name: str) -> str | None:
        """Return the value of a header by its lower-case name, or None."""
        return messages.find_header(self.headers, name)

    @property
    def framing(self) -> str:
        """Return what ends the body: ``chunked``, ``length`` or ``close``."""
        if self.header("transfer-encoding") is not None:
            return "chunked"
        return "close" if self.header("content-length") is None else "length"

    async def parts(self, as_events: bool = False) -> typing.AsyncIterator[bytes]:
        """Yield the body as it arrives; raises ResponseLost if it is incomplete.

        With ``as_events``, what may hold many short events is yielded in turns.
        """
        try:
            while True:
                event = await self._connection.event()
                if isinstance(event, h11.Data):
                    data = bytes(event.data)
                    part_bytes = MAX_PART_BYTES if as_events else len(data) or 1
                    for start in range(0, len(data), part_bytes):
                        part = data[start : start + part_bytes]
                        if as_events:
                            await self._connection.take_turn(len(part))
                        yield part
                elif isinstance(event, h11.EndOfMessage):
                    break
                else:
                    text = "the connection was closed during the response"
                    raise ConnectionClosed(text)
        except (h11.RemoteProtocolError, OSError) as error:
            raise _lost(f"the response is incomplete: {error}", error) from error
        finally:
            self.close()

    async def read(self) -> bytes:
        """Return the whole body; raises ResponseLost if it is incomplete or too long.

        A body is too long beyond ``MAX_BODY_BYTES``, if all bodies that the client is
        reading exceed ``MAX_HELD_BYTES``, or if more than ``MAX_SMALL_PARTS`` of its
        parts are small.
        """
        client, body = self._client, bytearray()
        small_parts = 0
        length = self.header("content-length") or "0"
        try:
            if decoding.is_number(length) and int(length) > MAX_BODY_BYTES:
                raise ResponseLost(f"the body exceeds {MAX_BODY_BYTES} bytes")
            async with contextlib.aclosing(self.parts()) as parts:
                async for part in parts:
                    body += part
                    client.held_bytes += len(part)
                    small_parts += len(part) < SMALL_PART_BYTES
                    if small_parts > MAX_SMALL_PARTS:
                        raise ResponseLost("too many small parts")
                    if len(body) > MAX_BODY_BYTES:
                        raise ResponseLost(f"the body exceeds {MAX_BODY_BYTES} bytes")
                    if client.held_bytes > MAX_HELD_BYTES:
                        raise ResponseLost("too many long bodies at the same time")
            return bytes(body)
        finally:
            client.held_bytes -= len(body)
            body.clear()  # a traceback may keep it
            self.close()

    def settle(self) -> None:
        """Let the connection forget the request, which is not sent again."""
        self._unsettled.discard(self._request_id)

    def retire(self) -> None:
        """Let the connection be closed, not kept, once the body is read."""
        if self._connection is not None:
            self._connection.unusable = True

    def abort(self) -> None:
        """Close the connection; reading the body then raises ResponseLost."""
        if self._connection is not None:
            self._connection.abort()

    def close(self) -> None:
        """Release the connection to the pool, or close it after a partial response."""
        if self._connection is not None:
            connection, self._connection = self._connection, None
            self._client.release(self._address, connection, self.headers)


class Client:
    """Sends requests and keeps idle connections for reuse.

    With ``ack_timeout_ms``, the kernel closes a connection whose sent data is not
    acknowledged within that time, and sends keepalive probes on idle connections.
    """

    def __init__(
        self,
        tls: ssl.SSLContext | None = None,
        connect_wait_ms: int = 1_000,
        idle_timeout_ms: int = IDLE_TIMEOUT_MS,
        ack_timeout_ms: int = 0,
    ) -> None:
        self.tls = tls
        self.connect_wait_ms = connect_wait_ms
        self.idle_timeout_ms = idle_timeout_ms
        self.ack_timeout_ms = ack_timeout_ms
        # Called with an address whose server closed an idle connection unannounced.
        self.on_idle_closed: typing.Callable[[Address], None] = lambda address: None
        # Called with the status and headers of a response to another request.
        self.on_skipped: OnSkipped = lambda address, status, headers: None
        self.opened = 0
        self.held_bytes = 0
        self._idle: dict[
            Address, collections.deque[clientconnection.ClientConnection]
        ] = {}
        self._open_counts: collections.Counter[Address] = collections.Counter()

    def open_connections(self, address: Address) -> int:
        """Return the number of connections to an address, open or being opened."""
        return self._open_counts[address]

    @property
    def open_total(self) -> int:
        """Return the number of connections to all addresses."""
        return sum(self._open_counts.values())

    def has_idle_connection(self, address: Address, request_id: str = "") -> bool:
        """Return whether a request can use an idle connection."""
        idle = self._idle.get(address)
        now_ms = time.monotonic() * 1_000
        return any(
            not connection.unusable
            and connection.idle_until_ms >= now_ms
            and request_id not in connection.unsettled
            for connection in idle or ()
        )

    async def send(
        self,
        address: Address,
        method: str,
        target: str | bytes,
        body: bytes = b"",
        headers: messages.Headers = (),
        before_write: typing.Callable[[], None] | None = None,
        new_connection: bool = False,
        matches: Matches = any_response,
        on_connected: OnConnected | None = None,
        request_id: str = "",
    ) -> ClientResponse:
        """Send a request and return the response once its headers have arrived.

        ``before_write`` is called when the connection is open, before the first byte is
        written; if it raises, the request is not sent. ``new_connection`` opens a new
        connection, for calls that must not be repeated: the server may have closed an
        idle connection without this client having noticed. A response that ``matches``
        rejects is read and discarded. ``on_connected`` is awaited with the number of
        the connection before that; it may raise as well. A request with a
        ``request_id`` is not written to a connection that has carried it before.
        Raises RequestNotSent or ResponseLost.
        """
        connection = await (
            self._connect(address)
            if new_connection
            else self._acquire(address, request_id)
        )
        try:
            if on_connected is not None:
                await on_connected(connection.number)
                if connection.unusable:
                    text = f"{address} closed the connection before the request"
                    raise RequestNotSent(text)
            if before_write is not None:
                before_write()
            data = self._encode(connection, address, method, target, body, headers)
        except BaseException:
            connection.abort()
            raise
        if request_id:
            connection.unsettled.add(request_id)
        response = ClientResponse(self, address, connection, request_id)
        try:
            connection.transport.write(data)
            del data  # the transport keeps what the server has not read
            head = await self._receive_head(address, connection, method, matches)
        except (h11.RemoteProtocolError, OSError) as error:
            connection.abort()
            raise _lost(f"no response from {address}: {error}", error) from error
        except BaseException:
            connection.abort()
            raise
        response.status = head.status_code
        response.headers = _headers(head)
        return response

    async def call(
        self,
        address: Address,
        method: str,
        target: str,
        body: bytes = b"",
        headers: messages.Headers = (),
        wait_ms: float | None = None,
        before_write: typing.Callable[[], None] | None = None,
        new_connection: bool = False,
        matches: Matches = any_response,
        request_id: str = "",
    ) -> tuple[int, bytes, messages.Headers]:
        """Send a request and return the status, the whole body and the headers."""
        try:
            async with asyncio.timeout(None if wait_ms is None else wait_ms / 1_000):
                response = await self.send(
                    address,
                    method,
                    target,
                    body,
                    headers,
                    before_write,
                    new_connection,
                    matches,
                    request_id=request_id,
                )
                return response.status, await response.read(), response.headers
        except TimeoutError:
            text = f"no response from {address} within {wait_ms} ms"
            raise ResponseLost(text) from None

    def _encode(
        self,
        connection: clientconnection.ClientConnection,
        address: Address,
        method: str,
        target: str | bytes,
        body: bytes,
        headers: messages.Headers,
    ) -> bytes:
        fields = [*headers]
        names = {name.lower() for name, _ in headers}
        if b"host" not in names:
            fields.insert(0, (b"host", f"{address.host}:{address.port}".encode()))
        fields.append((b"content-length", str(len(body)).encode()))
        request = h11.Request(method=method, target=target, headers=fields)
        parts = [connection.h11.send(request)]
        if body:
            parts.append(connection.h11.send(h11.Data(data=body)))
        parts.append(connection.h11.send(h11.EndOfMessage()))
        return b"".join(parts)

    async def _receive_head(
        self,
        address: Address,
        connection: clientconnection.ClientConnection,
        method: str,
        matches: Matches,
    ) -> h11.Response:
        stray_count = interim_count = 0
        while True:
            event = await connection.event()
            if isinstance(event, h11.Response):
                if event.status_code > MAX_STATUS:
                    text = f"{event.status_code} is not a status of HTTP"
                    raise h11.RemoteProtocolError(text)
                if matches(_headers(event)):
                    return event
                self.on_skipped(address, event.status_code, _headers(event))
                stray_count += 1
                if stray_count > MAX_STRAY_RESPONSES:
                    raise ConnectionResetError(
                        "received only responses to other requests"
                    )
                await self._skip_body(connection)
                connection.expect_another_response(method)
            elif not isinstance(event, h11.InformationalResponse):
                raise ConnectionResetError(
                    "the connection was closed before a response"
                )
            else:
                interim_count += 1
                if interim_count > MAX_INTERIM_RESPONSES:
                    raise ConnectionResetError("received only interim responses")

    async def _skip_body(self, connection: clientconnection.ClientConnection) -> None:
        skipped_bytes = small_parts = 0
        event = await connection.event()
        while not isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
            if isinstance(event, h11.Data):
                skipped_bytes += len(event.data)
                small_parts += len(event.data) < SMALL_PART_BYTES
            if skipped_bytes > MAX_STRAY_BYTES or small_parts > MAX_SMALL_PARTS:
                raise ConnectionResetError("a response to another request has no end")
            event = await connection.event()

    async def open_idle(self, address: Address) -> None:
        """Open a connection and keep it for reuse; raises RequestNotSent."""
        self._keep(address, await self._connect(address), self.idle_timeout_ms)

    def _keep(
        self,
        address: Address,
        connection: clientconnection.ClientConnection,
        idle_limit_ms: float,
    ) -> None:
        idle = self._idle.setdefault(address, collections.deque())
        if len(idle) >= MAX_IDLE_CONNECTIONS:
            connection.abort()
            return
        connection.idle = True
        connection.idle_until_ms = time.monotonic() * 1_000 + idle_limit_ms
        idle.append(connection)

    async def _acquire(
        self, address: Address, request_id: str
    ) -> clientconnection.ClientConnection:
        idle = self._idle.get(address)
        now_ms = time.monotonic() * 1_000
        passed_over = []
        found = None
        while idle and found is None:
            connection = idle.pop()
            if connection.unusable or connection.idle_until_ms < now_ms:
                connection.abort()
            elif request_id in connection.unsettled:
                passed_over.append(connection)
            else:
                found = connection
        if idle is not None:
            idle.extend(reversed(passed_over))
        if found is None:
            return await self._connect(address)
        found.idle = False
        return found

    async def _connect(self, address: Address) -> clientconnection.ClientConnection:
        self._open_counts[address] += 1
        try:
            connection = await self._open(address)
        except (OSError, TimeoutError) as error:
            self._count_closed(address)
            reason = str(error) or f"no answer within {self.connect_wait_ms} ms"
            raise RequestNotSent(f"cannot connect to {address}: {reason}") from error
        except BaseException:
            self._count_closed(address)
            raise
        if connection.is_lost:
            self._count_closed(address)
            raise RequestNotSent(f"cannot connect to {address}: closed at once")
        connection.on_connection_lost = lambda: self._count_closed(address)
        connection.on_idle_closed = lambda: self.on_idle_closed(address)
        self.opened += 1
        connection.number = self.opened
        try:
            if self.ack_timeout_ms:
                connection.set_ack_timeout(self.ack_timeout_ms)
        except OSError as error:  # it is being closed
            connection.abort()
            raise RequestNotSent(f"cannot connect to {address}: {error}") from error
        return connection

    async def _open(self, address: Address) -> clientconnection.ClientConnection:
        """Open a connection; raises TimeoutError if it is not there in time.

        A process that did not run meanwhile finds the time over and the connection
        open, so what has happened is looked at before the connection is given up.
        """
        opening = asyncio.ensure_future(
            asyncio.get_running_loop().create_connection(
                clientconnection.ClientConnection,
                address.host,
                address.port,
                ssl=self.tls if address.tls else None,
            )
        )
        try:
            await asyncio.wait({opening}, timeout=self.connect_wait_ms / 1_000)
            for _ in range(LOOP_PASSES):
                if not opening.done():
                    await asyncio.sleep(0)
            if not opening.done():
                raise TimeoutError
            return opening.result()[1]
        except BaseException:
            opening.add_done_callback(clientconnection.abort_opened)
            opening.cancel()
            raise

    def _count_closed(self, address: Address) -> None:
        self._open_counts[address] -= 1
        if self._open_counts[address] <= 0:
            del self._open_counts[address]

    def release(
        self,
        address: Address,
        connection: clientconnection.ClientConnection,
        headers: messages.Headers = (),
    ) -> None:
        """Keep the connection for reuse if its exchange is complete, or close it."""
        done = (
            connection.h11.our_state is h11.DONE
            and connection.h11.their_state is h11.DONE
        )
        idle_limit_ms = self._idle_limit_ms(headers)
        if (
            not done
            or connection.unusable
            or connection.h11.trailing_data[0]
            or len(connection.unsettled) > MAX_UNSETTLED
            or idle_limit_ms <= 0
        ):
            connection.abort()
            return
        connection.h11.start_next_cycle()
        self._keep(address, connection, idle_limit_ms)

    def _idle_limit_ms(self, headers: messages.Headers) -> float:
        keep_alive = messages.find_header(headers, "keep-alive") or ""
        for field in keep_alive.split(","):
            name, _, value = field.strip().partition("=")
            if name.lower() == "timeout" and decoding.is_number(value):
                limit_ms = int(value) * 1_000 - KEEP_ALIVE_MARGIN_MS
                return min(self.idle_timeout_ms, limit_ms)
        return self.idle_timeout_ms

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.abort()

    async def close(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle):
            self.close_idle(address)
        await asyncio.sleep(0)


def _headers(head: h11.Response) -> messages.Headers:
    return tuple((bytes(key), bytes(value)) for key, value in head.headers)
