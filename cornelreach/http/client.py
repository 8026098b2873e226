"""HTTP/1.1 client over asyncio and h11, with one pool of connections an origin.

An answer belongs to the connection that carried its request. A connection whose
answer was not read to the end is closed and never reused, so a late or crossed answer
cannot reach another call.
"""

import asyncio
import collections
import contextlib
import ssl
import time
import typing

import h11

from cornelreach.http import messages
from cornelreach.util import decoding

READ_BYTES = 65_536
IDLE_KEEP_MS = 20_000
IDLE_KEEP_COUNT = 64


class RequestNotSent(Exception):
    """No byte of the request reached the connection; the call was not run."""


class AnswerLost(Exception):
    """The request was sent at least in part and its answer did not arrive whole."""


class Address(typing.NamedTuple):
    """Where a server listens."""

    host: str
    port: int
    tls: bool = False

    def __str__(self) -> str:
        scheme = "https" if self.tls else "http"
        return f"{scheme}://{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Return the address in ``http://host:port``, ``https://...`` or ``host:port``."""
    tls = text.startswith("https://")
    bare = text.split("://")[-1].rstrip("/")
    host, _, port = bare.rpartition(":")
    if not host or not decoding.is_number(port):
        raise ValueError(f"address {text!r} is not host:port")
    return Address(host, int(port), tls)


class _Wire:
    """One connection and its h11 state."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.h11 = h11.Connection(h11.CLIENT)
        self.idle_since_ms = 0.0

    async def event(self) -> object:
        while (event := self.h11.next_event()) is h11.NEED_DATA:
            self.h11.receive_data(await self.reader.read(READ_BYTES))
        return event


class Answer:
    """A response whose body is read in parts, or whole with ``read``."""

    def __init__(self, client: "Client", address: Address, wire: _Wire) -> None:
        self._client = client
        self._address = address
        self._wire = wire
        self.status = 0
        self.headers: messages.Headers = ()

    def header(self, name: str) -> str | None:
        """Return the value of a header by its lower-case name, or None."""
        return messages.header_of(self.headers, name)

    async def parts(self) -> typing.AsyncIterator[bytes]:
        """Yield the body as it arrives; raises AnswerLost if it is cut off."""
        try:
            while True:
                event = await self._wire.event()
                if isinstance(event, h11.Data):
                    yield bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    break
                else:
                    raise AnswerLost("the connection closed inside the answer")
        except (h11.RemoteProtocolError, OSError) as error:
            raise AnswerLost(f"the answer was cut off: {error}") from error
        finally:
            self.close()

    async def read(self) -> bytes:
        """Return the whole body."""
        return b"".join([part async for part in self.parts()])

    def abort(self) -> None:
        """Cut the connection off; whoever reads the body gets AnswerLost."""
        if self._wire is not None:
            self._wire.writer.transport.abort()

    def close(self) -> None:
        """Give the connection back if the answer is complete, or drop it."""
        if self._wire is not None:
            wire, self._wire = self._wire, None
            self._client.give_back(self._address, wire)


class Client:
    """Sends requests and keeps idle connections for reuse."""

    def __init__(
        self, tls: ssl.SSLContext | None = None, connect_wait_ms: int = 1_000
    ) -> None:
        self.tls = tls
        self.connect_wait_ms = connect_wait_ms
        self._idle: dict[Address, collections.deque[_Wire]] = {}

    async def send(
        self,
        address: Address,
        method: str,
        target: str,
        body: bytes = b"",
        headers: messages.Headers = (),
        before_write: typing.Callable[[], None] | None = None,
        fresh: bool = False,
    ) -> Answer:
        """Send a request and return once the head of its answer has arrived.

        ``before_write`` runs with the connection open and before the first byte; an
        exception from it leaves the request unsent. ``fresh`` opens a new connection,
        for calls that may not be repeated: a kept one may have been closed by its
        server unseen. Raises RequestNotSent or AnswerLost.
        """
        wire = await (self._connect(address) if fresh else self._take(address))
        try:
            if before_write is not None:
                before_write()
            data = self._encode(wire, address, method, target, body, headers)
        except BaseException:
            wire.writer.close()
            raise
        answer = Answer(self, address, wire)
        try:
            wire.writer.write(data)
            await wire.writer.drain()
            head = await self._head(wire)
        except (h11.RemoteProtocolError, OSError) as error:
            wire.writer.close()
            raise AnswerLost(f"no answer from {address}: {error}") from error
        except BaseException:
            wire.writer.close()
            raise
        answer.status = head.status_code
        answer.headers = tuple(
            (bytes(key), bytes(value)) for key, value in head.headers
        )
        return answer

    async def call(
        self,
        address: Address,
        method: str,
        target: str,
        body: bytes = b"",
        headers: messages.Headers = (),
        wait_ms: float | None = None,
    ) -> tuple[int, bytes, messages.Headers]:
        """Send a request and return status, whole body and headers."""
        try:
            async with asyncio.timeout(None if wait_ms is None else wait_ms / 1_000):
                answer = await self.send(address, method, target, body, headers)
                return answer.status, await answer.read(), answer.headers
        except TimeoutError:
            text = f"{address} did not answer within {wait_ms} ms"
            raise AnswerLost(text) from None

    def _encode(
        self,
        wire: _Wire,
        address: Address,
        method: str,
        target: str,
        body: bytes,
        headers: messages.Headers,
    ) -> bytes:
        fields = [
            (b"host", f"{address.host}:{address.port}".encode()),
            (b"content-length", str(len(body)).encode()),
            *headers,
        ]
        request = h11.Request(method=method, target=target, headers=fields)
        parts = [wire.h11.send(request)]
        if body:
            parts.append(wire.h11.send(h11.Data(data=body)))
        parts.append(wire.h11.send(h11.EndOfMessage()))
        return b"".join(parts)

    async def _head(self, wire: _Wire) -> h11.Response:
        while True:
            event = await wire.event()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionResetError("closed before an answer")

    async def _take(self, address: Address) -> _Wire:
        idle = self._idle.get(address)
        oldest_ms = time.monotonic() * 1_000 - IDLE_KEEP_MS
        while idle:
            wire = idle.pop()
            fresh = wire.idle_since_ms >= oldest_ms
            if fresh and not wire.reader.at_eof() and not wire.writer.is_closing():
                return wire
            wire.writer.close()
        return await self._connect(address)

    async def _connect(self, address: Address) -> _Wire:
        try:
            async with asyncio.timeout(self.connect_wait_ms / 1_000):
                reader, writer = await asyncio.open_connection(
                    address.host, address.port, ssl=self.tls if address.tls else None
                )
        except (OSError, TimeoutError) as error:
            raise RequestNotSent(f"cannot connect to {address}: {error}") from error
        return _Wire(reader, writer)

    def give_back(self, address: Address, wire: _Wire) -> None:
        """Keep a connection whose exchange is complete; close any other."""
        done = wire.h11.our_state is h11.DONE and wire.h11.their_state is h11.DONE
        idle = self._idle.setdefault(address, collections.deque())
        if not done or wire.h11.trailing_data[0] or len(idle) >= IDLE_KEEP_COUNT:
            wire.writer.close()
            return
        wire.h11.start_next_cycle()
        wire.idle_since_ms = time.monotonic() * 1_000
        idle.append(wire)

    async def close(self) -> None:
        """Close every idle connection."""
        for idle in self._idle.values():
            for wire in idle:
                wire.writer.close()
                with contextlib.suppress(Exception):
                    await wire.writer.wait_closed()
        self._idle.clear()
