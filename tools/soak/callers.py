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


class SentRequest(typing.NamedTuple):
    """A request and its result.

    Status 0 means that no response arrived, -1 that the request was not sent.
    ``complete`` tells whether the whole response arrived; ``body_error`` says what is
    wrong with its body.
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


class Caller:
    """Sends requests of all kinds to one instance, one at a time."""

    def __init__(
        self,
        name: str,
        edge: str,
        address: str,
        keys: typing.Callable[[], str],
        source: random.Random,
        requests: list[SentRequest],
    ) -> None:
        self.name = name
        self.edge = edge
        self.address = http_client.parse_address(address)
        self.keys = keys
        self.random = source
        self.requests = requests
        self.http = http_client.Client(connect_wait_ms=1_000)
        self.sent_count = 0

    async def run(self) -> None:
        """Send until cancelled."""
        while True:
            await self.send_request(self.random.choice(REQUEST_KINDS), self.keys())
            await asyncio.sleep(MEAN_PAUSE_S * self.random.uniform(0.5, 1.5))

    async def send_request(self, kind: RequestKind, key: str) -> SentRequest:
        """Send one request and record its result."""
        self.sent_count += 1
        request_id = f"{self.name}-{self.sent_count}"
        reused_connection = self.http.has_idle_connection(self.address)
        sent_s = time.monotonic()
        status, complete, body_error = 0, False, ""
        try:
            async with asyncio.timeout(DEADLINE_MS / 1_000 + 0.5):
                response = await self.http.send(
                    self.address,
                    kind.method,
                    kind.path,
                    b"",
                    self._headers(kind, key, request_id),
                )
                status = response.status
                body = await response.read()
                complete = True
                body_error = self._find_body_error(kind, request_id, response, body)
        except http_client.RequestNotSent:
            status = -1
        except (http_client.ResponseLost, TimeoutError):
            pass  # recorded as a request without a complete response
        request = SentRequest(
            request_id,
            kind,
            self.edge,
            key,
            sent_s,
            time.monotonic(),
            status,
            complete,
            body_error,
            reused_connection,
        )
        self.requests.append(request)
        return request

    def _headers(self, kind: RequestKind, key: str, request_id: str) -> typing.Any:
        fields = [
            (b"host", HOST.encode()),
            (headers.REQUEST_ID, request_id.encode()),
            (headers.DEADLINE, str(DEADLINE_MS).encode()),
            (headers.API_KEY, key.encode()),
        ]
        if kind.model:
            prefix_number = self.random.randrange(20)
            fields += [
                (headers.MODEL, kind.model.encode()),
                (headers.TOKEN_COUNTS, b"600,12"),
                (
                    headers.PROMPT_PREFIX,
                    f"{prefix_number:x}:500,{request_id[-4:]}:100".encode(),
                ),
            ]
        return tuple(fields)

    def _find_body_error(
        self,
        kind: RequestKind,
        request_id: str,
        response: http_client.ClientResponse,
        body: bytes,
    ) -> str:
        """Return what is wrong with a complete response, or an empty string."""
        if response.status != 200:
            return ""
        signature = response.header(headers.SIGNATURE.decode())
        if kind.model:
            events = [
                wireengine.event(request_id, n + 1) for n in range(wireengine.EVENTS)
            ]
            if body != b"".join(events):
                return "a completed stream has missing or repeated events"
            return "" if signature else "a successful response has no signature"
        if not body.startswith(f"{request_id} at ".encode()):
            return "the body belongs to a different request"
        if signature != wireengine.signature_of(body):
            return "the signature does not match the body"
        return ""
