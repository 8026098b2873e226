"""Stand-in engine that implements the users' published protocol, with faults.

Engines share one ``RequestLog`` that records every arrival, so that a trial can check
afterwards which request ran where and how often::

    request_log = requestlog.RequestLog()
    engine = WireEngine("engine-1", "pool", request_log, model="m", version=1)
    await engine.start("127.0.0.1")
    engine.entry("lj", engine.address)  # its record in the platform's store
"""

import asyncio
import contextlib
import random
import time
import typing

import msgspec

from cornelreach.http import sockets
from cornelreach.platform import engines, headers
from cornelreach.util import hashing
from standins import requestlog, wirestore

SERVICE_TIME_S = 0.012
EVENT_GAP_S = 0.004
EVENTS = 12
UNFRAMED_SHARE = 0.2  # of answers that have neither length nor chunks
LOAD_S = 0.3
SLOW_S = 0.15
MAX_QUEUED = 12
SMALL_CHUNKS, SMALL_CHUNKS_S = b"1\r\nx\r\n" * 20_000, 0.02
EARLIER_REFUSAL = (
    b"HTTP/1.1 503 X\r\ncontent-length: 0\r\n%s: 1\r\n\r\n" % headers.NOT_EXECUTED
)
ODD_BODIES = (b'{"error": "no room"}\n\n', b"HTTP/1.1 503 X\r\n\r\n", b"")
LATE_ORDER_S = (2.0, 4.0)


class Faults:
    """Shares of requests that fail by kind of fault; ``dark`` stops all responses.

    ``shed`` is the share that is turned away though there is room.
    ``leaving`` is told in every answer, and so is ``limit_per_s``; while ``rest_s`` is
    set, requests are refused and their senders asked to wait for that long. With
    ``held_orders`` orders are neither answered nor carried out. ``refuse_again`` is the
    share of requests on kept connections before whose answers an earlier refusal is
    written once more, without an identifier; ``refuse_first`` is that of new
    connections on which it is written as they open or as their first request begins.
    ``late_copies`` is the share of refusals that are written once more, after the next
    request on their connection. ``cut_heads`` is the share of plain
    answers that stop in their head or right behind it, ``odd_rest`` that of
    continuations within one request that are answered with an error in a signed
    success. ``reset_ends`` is the share of answers without a length that are reset
    before their end, streams between two events.
    ``endless`` is the share of plain answers in chunks of one byte that do not
    end until the connection is closed. ``work_s`` is added to the time that each
    request takes. With ``closing`` every answer is the last of its connection.
    """

    def __init__(self) -> None:
        self.leaving = False
        self.rest_s = 0.0
        self.limit_per_s: float | None = None
        self.shed = 0.0
        self.errors = 0.0
        self.lost = 0.0
        self.garbled = 0.0
        self.late_orders = 0.0
        self.held_orders = False
        self.refuse_again = 0.0
        self.refuse_first = 0.0
        self.late_copies = 0.0
        self.cut_heads = 0.0
        self.odd_rest = 0.0
        self.reset_ends = 0.0
        self.endless = 0.0
        self.work_s = 0.0
        self.closing = False
        self.dark = False


def body_of(request_id: str, engine: str) -> bytes:
    """Return the complete body of a non-streamed response."""
    return f"{request_id} at {engine}".encode()


def signature_of(body: bytes) -> str:
    """Return the signature of a non-streamed response's body."""
    return f"{hashing.score(body, 'engine'):x}"


def event(request_id: str, number: int, software: str) -> bytes:
    """Return one event of a stream; the last one contains ``end``."""
    last = " end" if number == EVENTS else ""
    return f"id: {number}\ndata: {request_id} {number} {software}{last}\n\n".encode()


class RequestHead(typing.NamedTuple):
    """Request line and headers of a request, and its body once that is read."""

    method: str
    target: str
    fields: dict[str, str]
    body: bytes = b""

    def get(self, name: bytes) -> str:
        """Return a header's value, empty if absent."""
        return self.fields.get(name.decode(), "")


async def read_head(reader: asyncio.StreamReader) -> RequestHead:
    """Read the next request's head; raises IncompleteReadError at end of stream."""
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            fields[name.lower()] = value.strip()
    return RequestHead(method, target, fields)


def _part_keys(head: RequestHead) -> tuple[str, ...]:
    prefix = head.get(headers.PROMPT_PREFIX)
    return tuple(one.partition(":")[0] for one in prefix.split(",") if one)


def _end_with_connection(writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):  # the caller has closed it already
        writer.write_eof()


class WireEngine:
    """One engine that listens on loopback.

    ``id`` is the identifier that it registers under, which may change as it restarts;
    ``name`` stays the same.
    """

    def __init__(
        self,
        name: str,
        service: str,
        request_log: requestlog.RequestLog,
        source: random.Random,
        model: str = "",
        version: int = 1,
        slots: int = 8,
        software: str = "1.0",
    ) -> None:
        self.name = self.id = name
        self.service = service
        self.request_log = request_log
        self.random = source
        self.model = model
        self.version = version
        self.slots = slots
        self.software = software
        self.faults = Faults()
        self.address = ""
        self.born = 0
        self.cold_until_s = 0.0
        self.draining = False
        self.running = 0
        self.sequence = 0
        self.loading = False
        self.stores: dict[str, wirestore.WireStore] = {}
        self.on_change: typing.Callable[[], None] = lambda: None
        self.on_crash: typing.Callable[[], None] = lambda: None
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._unframed: set[asyncio.StreamWriter] = set()
        self._answered: set[asyncio.StreamWriter] = set()
        self._copies: dict[asyncio.StreamWriter, bytes] = {}
        self._orders: set[asyncio.Task[None]] = set()

    async def start(self, host: str, cold_s: float = 0.0) -> None:
        """Start or restart; only the version is kept from the previous lifetime."""
        port = int(self.address.rpartition(":")[2]) if self.address else 0
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"
        self.born += 1
        self.sequence = self.running = 0
        self.loading = self.draining = False
        self.cold_until_s = time.monotonic() + cold_s if cold_s else 0.0

    def crash(self) -> None:
        """Crash: stop listening and abort all connections and orders."""
        self._server.close()
        for task in self._orders:
            task.cancel()
        for writer in self._writers:
            # Between two events an orderly close would be the end of such an answer.
            if writer in self._unframed:
                sockets.reset(writer.transport)
            else:
                writer.transport.abort()

    def _crash_on(self, part: str) -> None:
        self.request_log.crashes.append(
            requestlog.Crash(part, self.name, time.monotonic())
        )
        self.crash()
        self.on_crash()

    def entry(self, zone: str, address: str) -> dict[str, typing.Any]:
        """Return the record that the engine writes to the platform's store."""
        cold_s = max(0.0, self.cold_until_s - time.monotonic())
        hosted = [{"name": self.model, "version": self.version}] if self.model else []
        return {
            "service": self.service,
            "address": address,
            "zone": zone,
            "version": self.software,
            "slots": self.slots,
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": cold_s * 1_000,
            "models": hosted,
            "born": self.born,
            "sequence": self.sequence,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        share = self.faults.refuse_first / 2
        if share and self.random.random() < share:
            writer.write(EARLIER_REFUSAL)
        try:
            while True:
                head = await read_head(reader)
                length = int(head.fields.get("content-length", 0))
                head = head._replace(body=await reader.readexactly(length))
                while self.faults.dark:
                    await asyncio.sleep(0.05)
                await self._answer(head, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # closed by the caller or by an injected fault
        finally:
            self._writers.discard(writer)
            self._unframed.discard(writer)
            self._answered.discard(writer)
            self._copies.pop(writer, None)
            writer.close()

    async def _answer(self, head: RequestHead, writer: asyncio.StreamWriter) -> None:
        if head.target == engines.REPORT:
            self._reply(writer, 200, msgspec.json.encode(self._report()))
        elif head.target == engines.ORDER:
            status = self._order(msgspec.json.decode(head.body))
            if status:
                self._reply(writer, status, b"")
            else:
                writer.transport.abort()
        elif head.target == "/health":
            self._reply(
                writer, 503 if self.draining else 200, b"", self._health_headers()
            )
        else:
            await self._handle_request(head, writer)

    def _load_header(self) -> str:
        return f"{headers.SERVER_LOAD.decode()}: {self.running},0,{self.slots}\r\n"

    def _health_headers(self) -> str:
        cold_ms = (self.cold_until_s - time.monotonic()) * 1_000
        cold = (
            f"{headers.COLD_REMAINING.decode()}: {cold_ms:.0f}\r\n"
            if cold_ms > 0
            else ""
        )
        return self._load_header() + cold

    def _reply(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        body: bytes,
        extra: str = "",
        framed: bool = True,
    ) -> None:
        self._answered.add(writer)
        extra += self._notice_headers()
        length = f"content-length: {len(body)}\r\n" if framed else ""
        fields = f"HTTP/1.1 {status} X\r\n{length}{extra}\r\n"
        writer.write(fields.encode() + body)
        if not framed:
            _end_with_connection(writer)

    def _notice_headers(self) -> str:
        leaving, per_s = self.faults.leaving, self.faults.limit_per_s
        found = f"{headers.SERVER_LEAVING.decode()}: 1\r\n" if leaving else ""
        if per_s is not None:
            found += f"{headers.SERVER_LIMIT.decode()}: {per_s}\r\n"
        if self.faults.closing:
            found += "connection: close\r\n"
        return found

    def _record_notices(self, request_id: str, status: int) -> None:
        now_s = time.monotonic()
        lifetime = (request_id, self.name, self.born, now_s)
        if self.faults.leaving:
            self.request_log.notices.append(
                requestlog.Notice("leaving", *lifetime, float("inf"))
            )
        per_s = self.faults.limit_per_s
        if per_s is not None:
            notice = requestlog.Notice("limit", *lifetime, float("inf"), per_s)
            self.request_log.notices.append(notice)
        if status == 503 and self.faults.rest_s:
            until_s = now_s + self.faults.rest_s
            self.request_log.notices.append(
                requestlog.Notice("rest", *lifetime, until_s)
            )

    async def _handle_request(
        self, head: RequestHead, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(self._copies.pop(writer, b""))
        status = self._refusal(head)
        self._record_arrival(head, status)
        request_id = head.get(headers.REQUEST_ID)
        self._record_notices(request_id, status)
        if status:
            extra = (
                f"{headers.REQUEST_ID.decode()}: {request_id}\r\n" + self._load_header()
            )
            if status != headers.MISDIRECTED:
                extra += f"{headers.NOT_EXECUTED.decode()}: 1\r\n"
            if status == 503 and self.faults.rest_s:
                extra += f"{headers.RETRY_AFTER.decode()}: {self.faults.rest_s}\r\n"
            if self.random.random() < self.faults.late_copies:
                fields = f"HTTP/1.1 {status} X\r\ncontent-length: 0\r\n{extra}\r\n"
                self._copies[writer] = fields.encode()
            self._reply(writer, status, b"", extra)
            return
        is_kept = writer in self._answered
        share = self.faults.refuse_again if is_kept else self.faults.refuse_first
        if share and self.random.random() < share:
            writer.write(EARLIER_REFUSAL)
        born = self.born
        self.running += 1
        try:
            await self._run(head, writer)
        finally:
            if self.born == born:
                self.running -= 1

    def _refusal(self, head: RequestHead) -> int:
        if head.get(headers.TARGET) not in ("", self.id):
            return headers.MISDIRECTED
        wanted = head.get(headers.EXPECTED_VERSION)
        if wanted and int(wanted) != self.version:
            return headers.MISDIRECTED
        full = self.running >= self.slots + MAX_QUEUED
        shed = self.faults.shed and self.random.random() < self.faults.shed
        return 503 if self.loading or full or shed or self.faults.rest_s else 0

    def _record_arrival(self, head: RequestHead, status: int) -> None:
        now_s = time.monotonic()
        arrival = requestlog.Arrival(
            head.get(headers.REQUEST_ID),
            self.name,
            now_s,
            status != 0,
            head.get(headers.TENANT),
            self.version,
            now_s < self.cold_until_s,
            int(head.get(headers.LAST_EVENT) or 0),
            f"{head.method} {head.target}",
            self.born,
            status == headers.MISDIRECTED,
            _part_keys(head),
            self._poison(head),
        )
        self.request_log.arrivals.append(arrival)
        if head.get(headers.API_KEY):
            self.request_log.leaked_keys.append(arrival.request_id)

    def _poison(self, head: RequestHead) -> str:
        """Return the name of a request that crashes engines, otherwise nothing."""
        return self.request_log.poisoned_requests.get((head.target, head.body), "")

    async def _run(self, head: RequestHead, writer: asyncio.StreamWriter) -> None:
        load_factor = max(1.0, self.running / self.slots)
        await asyncio.sleep(
            SERVICE_TIME_S * load_factor * self.random.uniform(0.5, 1.5)
        )
        await asyncio.sleep(self.faults.work_s)
        if (head.target, head.body) in self.request_log.slow_requests:
            await asyncio.sleep(SLOW_S)
        request_id = head.get(headers.REQUEST_ID)
        extra = f"{headers.REQUEST_ID.decode()}: {request_id}\r\n" + self._load_header()
        chance = self.random.random()
        if chance < self.faults.lost:
            writer.transport.abort()
            return
        if self.random.random() < self.faults.errors:
            self.request_log.failures.append(
                requestlog.Failure(request_id, self.name, time.monotonic())
            )
            body = b"failed"
            extra += f"{headers.SIGNATURE.decode()}: {signature_of(body)}\r\n"
            self._reply(writer, 500, body, extra)
            return
        if head.get(headers.MODEL):
            self._use_stores(head)
            if self._goes_on(head) and self.random.random() < self.faults.odd_rest:
                extra += f"{headers.SIGNATURE.decode()}: error.{request_id}\r\n"
                extra += "content-type: application/json\r\n"
                self._reply(writer, 200, self.random.choice(ODD_BODIES), extra)
                return
            await self._stream(head, writer, extra)
            return
        if self.random.random() < self.faults.cut_heads:
            self._cut_head(writer, extra)
            return
        if self.faults.endless and self.random.random() < self.faults.endless:
            await self._write_endlessly(writer, extra)
            return
        if poison := self._poison(head):
            await writer.drain()  # fails if the engine has crashed meanwhile
            self._crash_on(poison)
            return
        body = body_of(request_id, self.name)
        extra += f"{headers.SIGNATURE.decode()}: {signature_of(body)}\r\n"
        if self.random.random() < self.faults.garbled:
            fields = f"HTTP/1.1 200 X\r\ncontent-length: {len(body)}\r\n{extra}\r\n"
            writer.write(fields.encode() + body[: len(body) // 2])
            await writer.drain()
            writer.transport.abort()
            return
        await self._reply_or_reset(request_id, writer, body, extra)

    async def _reply_or_reset(
        self, request_id: str, writer: asyncio.StreamWriter, body: bytes, extra: str
    ) -> None:
        if self._draw_reset():
            fields = f"HTTP/1.1 200 X\r\n{extra}\r\n"
            writer.write(fields.encode() + body[: len(body) // 2])
            await self._reset(request_id, writer)
            return
        self._reply(writer, 200, body, extra, self._draw_framed())

    def _draw_reset(self) -> bool:
        share = self.faults.reset_ends
        return bool(share) and self.random.random() < share

    async def _reset(self, request_id: str, writer: asyncio.StreamWriter) -> None:
        """Reset a response of which a part has been written."""
        await writer.drain()
        await asyncio.sleep(EVENT_GAP_S)
        now_s = time.monotonic()
        self.request_log.resets.append(requestlog.Reset(request_id, self.name, now_s))
        sockets.reset(writer.transport)

    def _use_stores(self, head: RequestHead) -> None:
        """Fetch and save the parts of a prompt as its headers say."""
        salt, prefix = head.get(headers.CACHE_SALT), head.get(headers.PROMPT_PREFIX)
        parts = [one.partition(":") for one in prefix.split(",") if one]
        sources, targets = (
            head.get(name).split(",") for name in (headers.KV_SOURCE, headers.KV_TARGET)
        )
        for (key, _, _), address in zip(parts, sources, strict=False):
            if store := self.stores.get(address):
                store.fetch(head.get(headers.REQUEST_ID), (salt, key))
        for (key, _, tokens), address in zip(parts, targets, strict=False):
            if store := self.stores.get(address):
                store.save((salt, key), int(tokens))

    def _goes_on(self, head: RequestHead) -> bool:
        """Return whether a request that has run before goes on behind an event."""
        request_id = head.get(headers.REQUEST_ID)
        found = (one.request_id == request_id for one in self.request_log.arrivals)
        return bool(head.get(headers.LAST_EVENT)) and sum(found) > 1

    def _cut_head(self, writer: asyncio.StreamWriter, extra: str) -> None:
        fields = f"HTTP/1.1 200 X\r\n{extra}{headers.SIGNATURE.decode()}: x\r\n\r\n"
        end = self.random.choice((len(fields), self.random.randrange(len(fields))))
        writer.write(fields[:end].encode())
        _end_with_connection(writer)

    async def _write_endlessly(self, writer: asyncio.StreamWriter, extra: str) -> None:
        fields = "HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n"
        fields += f"{extra}{headers.SIGNATURE.decode()}: x\r\n\r\n"
        writer.write(fields.encode())
        while not writer.is_closing() and self.faults.endless:
            writer.write(SMALL_CHUNKS)
            await writer.drain()
            await asyncio.sleep(SMALL_CHUNKS_S)
        writer.transport.abort()

    def _draw_framed(self) -> bool:
        return self.random.random() >= UNFRAMED_SHARE

    async def _stream(
        self, head: RequestHead, writer: asyncio.StreamWriter, extra: str
    ) -> None:
        request_id = head.get(headers.REQUEST_ID)
        is_reset = self._draw_reset()
        framed = not is_reset and self._draw_framed()
        if not framed:
            self._unframed.add(writer)
        fields = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n" + extra
        fields += "transfer-encoding: chunked\r\n" if framed else ""
        fields += self._notice_headers()
        fields += f"{headers.SIGNATURE.decode()}: stream.{request_id}\r\n\r\n"
        writer.write(fields.encode())
        poisoned = self.request_log.poisoned_parts & {*_part_keys(head)[:-1]}
        if poison := self._poison(head) or "".join(sorted(poisoned)[:1]):
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
            self._crash_on(poison)
            return
        cut_short = self.random.random() < self.faults.garbled
        start = int(head.get(headers.LAST_EVENT) or 0) + 1
        software = self.software
        for number in range(start, EVENTS + 1):
            if is_reset and number > EVENTS // 2:
                await self._reset(request_id, writer)
                return
            data = event(request_id, number, software)
            size = f"{len(data):x}\r\n".encode() if framed else b""
            if cut_short and number > EVENTS // 2:
                writer.write(size + data[:5])
                await writer.drain()
                writer.transport.abort()
                return
            writer.write(size + data + (b"\r\n" if framed else b""))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
        if framed:
            writer.write(b"0\r\n\r\n")
        else:
            _end_with_connection(writer)

    def _report(self) -> dict[str, typing.Any]:
        return {
            "stage": "unified",
            "models": [{"name": self.model, "version": self.version, "adapters": []}],
            "busy": self.loading,
            "sequence": self.sequence,
            "queued": 0,
            "running": self.running,
            "kv_used": 0,
            "kv_total": 1,
            "handles": 0,
            "born": self.born,
        }

    def _order(self, order: dict[str, typing.Any]) -> int:
        """Handle an order; returns the status, or 0 for no reply."""
        seen = requestlog.OrderRecord(
            self.name, self.born, order["holder"], order["fence"], time.monotonic()
        )
        self.request_log.orders.append(seen)
        if self.faults.held_orders:
            return 0
        if self.random.random() < self.faults.late_orders:
            self._spawn(self._apply_late(order))
            return 0
        return self._accept(order)

    def _accept(self, order: dict[str, typing.Any]) -> int:
        if order["version"] <= self.version:
            return 200
        if self.loading or order.get("precondition", self.sequence) != self.sequence:
            return 409
        self.sequence += 1
        self.loading = True
        self._spawn(self._load_version(order["version"]))
        return 202

    def _spawn(self, work: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._orders.add(task)
        task.add_done_callback(self._orders.discard)

    async def _apply_late(self, order: dict[str, typing.Any]) -> None:
        await asyncio.sleep(self.random.uniform(*LATE_ORDER_S))
        self._accept(order)

    async def _load_version(self, version: int) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(LOAD_S)
            self.version = max(self.version, version)
            self.loading = False
            self.on_change()
