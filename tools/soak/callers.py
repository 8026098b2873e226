"""Callers: a steady load of requests, and what came back for each."""

import asyncio
import random
import time
import typing

from cornelreach.http import client as http_client
from cornelreach.platform import headers
from standins import wireengine

HOST = "pool.example"
DEADLINE_MS = 2_000
PAUSE_S = 0.05


class Kind(typing.NamedTuple):
    """One kind of request."""

    name: str
    path: str
    method: str
    model: str
    once: bool


KINDS = (
    Kind("once", "/once/a", "POST", "", True),
    Kind("read", "/read/a", "GET", "", False),
    Kind("stream", "/stream/a", "POST", "m", True),
    Kind("resume", "/resume/a", "POST", "m", False),
)


class Attempt(typing.NamedTuple):
    """One request and its end: status 0 stands for none, ``fault`` for a spoilt answer.

    ``whole`` says that the answer came to its end.
    """

    request_id: str
    kind: Kind
    edge: str
    key: str
    sent_s: float
    ended_s: float
    status: int
    whole: bool
    fault: str
    kept: bool


class Caller:
    """Sends requests of all kinds to one instance after another's end."""

    def __init__(
        self,
        name: str,
        edge: str,
        address: str,
        keys: typing.Callable[[], str],
        source: random.Random,
        attempts: list[Attempt],
    ) -> None:
        self.name = name
        self.edge = edge
        self.address = http_client.parse_address(address)
        self.keys = keys
        self.random = source
        self.attempts = attempts
        self.http = http_client.Client(connect_wait_ms=1_000)
        self.number = 0

    async def run(self) -> None:
        """Send until cancelled."""
        while True:
            await self.once(self.random.choice(KINDS), self.keys())
            await asyncio.sleep(PAUSE_S * self.random.uniform(0.5, 1.5))

    async def once(self, kind: Kind, key: str) -> Attempt:
        """Send one request and note its end."""
        self.number += 1
        request_id = f"{self.name}-{self.number}"
        kept = self.http.has_idle_connection(self.address)
        sent_s = time.monotonic()
        status, whole, fault = 0, False, ""
        try:
            async with asyncio.timeout(DEADLINE_MS / 1_000 + 0.5):
                answer = await self.http.send(
                    self.address,
                    kind.method,
                    kind.path,
                    b"",
                    self._headers(kind, key, request_id),
                )
                status = answer.status
                body = await answer.read()
                whole = True
                fault = self._fault(kind, request_id, answer, body)
        except http_client.RequestNotSent:
            status = -1
        except (http_client.ResponseLost, TimeoutError):
            pass  # kept as an attempt without a whole answer
        attempt = Attempt(
            request_id,
            kind,
            self.edge,
            key,
            sent_s,
            time.monotonic(),
            status,
            whole,
            fault,
            kept,
        )
        self.attempts.append(attempt)
        return attempt

    def _headers(self, kind: Kind, key: str, request_id: str) -> typing.Any:
        fields = [
            (b"host", HOST.encode()),
            (headers.REQUEST_ID, request_id.encode()),
            (headers.DEADLINE, str(DEADLINE_MS).encode()),
            (headers.API_KEY, key.encode()),
        ]
        if kind.model:
            part = self.random.randrange(20)
            fields += [
                (headers.MODEL, kind.model.encode()),
                (headers.TOKEN_COUNTS, b"600,12"),
                (headers.PROMPT_PREFIX, f"{part:x}:500,{request_id[-4:]}:100".encode()),
            ]
        return tuple(fields)

    def _fault(
        self,
        kind: Kind,
        request_id: str,
        answer: http_client.ClientResponse,
        body: bytes,
    ) -> str:
        """Return what is wrong with a whole answer, or an empty text."""
        if answer.status != 200:
            return ""
        signature = answer.header(headers.SIGNATURE.decode())
        if kind.model:
            events = [
                wireengine.event(request_id, n + 1) for n in range(wireengine.EVENTS)
            ]
            if body != b"".join(events):
                return "a stream that ended as complete lacks or repeats events"
            return "" if signature else "a success without a signature"
        if not body.startswith(f"{request_id} at ".encode()):
            return "the body belongs to another request"
        if signature != wireengine.signature_of(body):
            return "the signature is not the body's"
        return ""
