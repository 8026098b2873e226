"""Callers that send a steady load of requests and record each response."""

import asyncio
import random
import time
import typing

from cornelreach.http import client as http_client
from cornelreach.platform import headers
from standins import wireengine

HOST = "pool.example"
DEADLINE_MS = 2_000
MEAN_PAUSE_S = 0.05
FIRST_PARTS = 2
PART_TOKENS = 200


class RequestKind(typing.NamedTuple):
    """A kind of request and whether it must run at most once."""

    name: str
    path: str
    method: str
    model: str
    at_most_once: bool


REQUEST_KINDS = (
    RequestKind("once", "/once/a", "POST", "", True),
    RequestKind("read", "/read/a", "GET", "", False),
    RequestKind("stream", "/stream/a", "POST", "m", True),
    RequestKind("resume", "/resume/a", "POST", "m", False),
)


class Content(typing.NamedTuple):
    """What a request asks for; one that comes again unchanged has a name."""

    target: str
    body: bytes = b""
    parts: tuple[str, ...] = ()
    name: str = ""


def named_content(kind: RequestKind, name: str) -> Content:
    """Return what a request of a kind with a name asks for."""
    parts = ("0", name) if kind.model else ()
    if kind.method == "GET":
        return Content(f"{kind.path}?{name}", b"", parts, name)
    return Content(kind.path, name.encode(), parts, name)


class SentRequest(typing.NamedTuple):
    """A request and its result.

    Status 0 means that no response arrived, -1 that the request was not sent.
    ``complete`` tells whether the whole response arrived; ``body_error`` says what is
    wrong with its body. A request that goes on with a stream names in ``resumes`` the
    attempt that began it. ``events`` holds the software version of each event received.
    ``parts`` are those of its prompt; ``poisoned`` is set if one crashes engines, and
    ``name`` is that of a request which comes again unchanged.
    """

    request_id: str
    kind: RequestKind
    edge: str
    key: str
    sent_s: float
    ended_s: float
    status: int
    complete: bool
    body_error: str
    reused_connection: bool
    resumes: str = ""
    events: tuple[str, ...] = ()
    parts: tuple[str, ...] = ()
    poisoned: bool = False
    name: str = ""


class Takeup(typing.NamedTuple):
    """A broken stream to go on with: its first attempt and the events received."""

    first: str
    events: tuple[str, ...]


class Caller:
    """Sends requests of all kinds to one instance, one at a time.

    A stream that breaks off is taken up once, at any of the other instances.
    """

    def __init__(
        self,
        name: str,
        edge: str,
        address: str,
        keys: typing.Callable[[], str],
        source: random.Random,
        requests: list[SentRequest],
        others: typing.Mapping[str, str],
        padding: typing.Callable[[], bytes] = lambda: b"",
    ) -> None:
        self.name = name
        self.edge = edge
        self.address = http_client.parse_address(address)
        self.others = others
        self.padding = padding
        self.keys = keys
        self.random = source
        self.requests = requests
        self.http = http_client.Client(connect_wait_ms=1_000)
        self.sent_count = 0
        self.poisoned_part = ""
        self.content: Content | None = None

    async def run(self, kinds: typing.Sequence[RequestKind] = REQUEST_KINDS) -> None:
        """Send until cancelled."""
        while True:
            kind = self.random.choice(kinds)
            request = await self.send_request(kind, self.keys())
            if kind.name == "resume" and request.events and not request.complete:
                await self.take_up(request)
            await asyncio.sleep(MEAN_PAUSE_S * self.random.uniform(0.5, 1.5))

    async def run_poisoned(self, part: str, period_s: float) -> None:
        """Send prompts with a part that crashes engines, at any instance."""
        self.poisoned_part = part
        await self._run_anywhere([one for one in REQUEST_KINDS if one.model], period_s)

    async def run_repeated(
        self, kind: RequestKind, content: Content, period_s: float
    ) -> None:
        """Send one request again and again, at any instance."""
        self.content = content
        await self._run_anywhere([kind], period_s)

    async def _run_anywhere(
        self, kinds: typing.Sequence[RequestKind], period_s: float
    ) -> None:
        addresses = {self.edge: self.address, **self.others}
        while True:
            edge, address = self.random.choice(list(addresses.items()))
            self.sent_count += 1
            request_id = f"{edge}-{self.name}-{self.sent_count}"
            kind = self.random.choice(kinds)
            if isinstance(address, str):
                address = http_client.parse_address(address)
            await self._send(kind, self.keys(), request_id, edge, address)
            await asyncio.sleep(period_s * self.random.uniform(0.5, 1.5))

    async def send_request(self, kind: RequestKind, key: str) -> SentRequest:
        """Send one request and record its result."""
        self.sent_count += 1
        request_id = f"{self.name}-{self.sent_count}"
        return await self._send(kind, key, request_id, self.edge, self.address)

    async def send_in_parts(self, kind: RequestKind, rest_s: float) -> None:
        """Send a request on a new connection, its last byte after ``rest_s``."""
        self.sent_count += 1
        request_id = f"{self.edge}-{self.name}-{self.sent_count}"
        key = self.keys()
        fields = self._headers(kind, key, request_id, (), None)
        lines = [b"%s: %s\r\n" % field for field in fields]
        head = f"{kind.method} {kind.path} HTTP/1.1\r\n".encode() + b"".join(lines)
        sent_s, answer = time.monotonic(), b""
        try:
            async with asyncio.timeout(rest_s + DEADLINE_MS / 1_000 + 0.5):
                reader, writer = await asyncio.open_connection(
                    self.address.host, self.address.port
                )
                try:
                    writer.write(head + b"content-length: 4\r\n\r\nlat")
                    await asyncio.sleep(rest_s)
                    writer.write(b"e")
                    answer = await reader.read()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            pass  # recorded as a request without a complete response
        status = int(answer.split(b" ")[1]) if answer else 0
        self.requests.append(
            SentRequest(
                request_id,
                kind,
                self.edge,
                key,
                sent_s,
                time.monotonic(),
                status,
                bool(answer),
                "",
                False,
            )
        )

    async def take_up(self, broken: SentRequest) -> None:
        """Go on with a broken stream at another instance."""
        if not self.others:
            return
        edge, address = self.random.choice(list(self.others.items()))
        self.sent_count += 1
        # Checks find the instance by the first part of an identifier.
        request_id = f"{edge}-{self.name}-{self.sent_count}"
        await self._send(
            broken.kind,
            broken.key,
            request_id,
            edge,
            http_client.parse_address(address),
            Takeup(broken.request_id, broken.events),
        )

    async def _send(
        self,
        kind: RequestKind,
        key: str,
        request_id: str,
        edge: str,
        address: http_client.Address,
        takeup: Takeup | None = None,
    ) -> SentRequest:
        reused_connection = self.http.has_idle_connection(address)
        sent_s = time.monotonic()
        status, complete, body_error = 0, False, ""
        content = self.content or Content(
            kind.path,
            self.padding() if kind.name == "once" else b"",
            self._draw_parts(request_id) if kind.model else (),
        )
        body = bytearray()
        try:
            async with asyncio.timeout(DEADLINE_MS / 1_000 + 0.5):
                response = await self.http.send(
                    address,
                    kind.method,
                    content.target,
                    content.body,
                    self._headers(kind, key, request_id, content.parts, takeup),
                )
                status = response.status
                async for part in response.parts():
                    body += part
                complete = True
                body_error = self._find_body_error(
                    kind, request_id, response, bytes(body), takeup
                )
        except http_client.RequestNotSent:
            status = -1
        except (http_client.ResponseLost, TimeoutError):
            pass  # recorded as a request without a complete response
        is_stream = bool(kind.model) and status == 200
        request = SentRequest(
            request_id,
            kind,
            edge,
            key,
            sent_s,
            time.monotonic(),
            status,
            complete,
            body_error,
            reused_connection,
            takeup.first if takeup else "",
            _versions(bytes(body)) if is_stream else (),
            content.parts,
            bool(self.poisoned_part),
            content.name,
        )
        self.requests.append(request)
        return request

    def _draw_parts(self, request_id: str) -> tuple[str, ...]:
        own = request_id[-4:]
        if self.poisoned_part:
            return "0", self.poisoned_part, own
        return f"{self.random.randrange(FIRST_PARTS):x}", own

    def _headers(
        self,
        kind: RequestKind,
        key: str,
        request_id: str,
        parts: tuple[str, ...],
        takeup: Takeup | None,
    ) -> typing.Any:
        fields = [
            (b"host", HOST.encode()),
            (headers.REQUEST_ID, request_id.encode()),
            (headers.DEADLINE, str(DEADLINE_MS).encode()),
            (headers.API_KEY, key.encode()),
        ]
        if kind.model:
            fields += [
                (headers.MODEL, kind.model.encode()),
                (headers.TOKEN_COUNTS, b"600,12"),
                (
                    headers.PROMPT_PREFIX,
                    ",".join(f"{part}:{PART_TOKENS}" for part in parts).encode(),
                ),
            ]
        if takeup is not None:
            fields += [
                (headers.RESUMES, takeup.first.encode()),
                (headers.LAST_EVENT, str(len(takeup.events)).encode()),
            ]
        return tuple(fields)

    def _find_body_error(
        self,
        kind: RequestKind,
        request_id: str,
        response: http_client.ClientResponse,
        body: bytes,
        takeup: Takeup | None,
    ) -> str:
        """Return what is wrong with a complete response, or an empty string."""
        if response.status != 200:
            return ""
        signature = response.header(headers.SIGNATURE.decode())
        if kind.model:
            before = len(takeup.events) if takeup else 0
            events = [
                wireengine.event(request_id, before + number, software)
                for number, software in enumerate(_versions(body), 1)
            ]
            whole = before + len(events) == wireengine.EVENTS
            if not whole or body != b"".join(events):
                return "a completed stream has missing or repeated events"
            return "" if signature else "a successful response has no signature"
        if not body.startswith(f"{request_id} at ".encode()):
            return "the body belongs to a different request"
        if signature != wireengine.signature_of(body):
            return "the signature does not match the body"
        return ""


def _versions(body: bytes) -> tuple[str, ...]:
    """Return the software version of each whole event of a stream."""
    events = body.decode("latin-1").split("\n\n")[:-1]
    return tuple(one.removesuffix(" end").rpartition(" ")[2] for one in events)
