"""Processor time of following targets over HTTP: load reports and cache events."""

import asyncio
import time

import msgspec

from cornelreach.http import client
from tools.slopes import fit

TARGETS = (4, 8, 12, 16)
EVENTS = (0, 20, 40, 80)
ROUNDS = 30
WAIT_MS = 5_000
STATE = {
    "boot_id": "f" * 16,
    "model": "m0",
    "version": "1",
    "cold": False,
    "max_sequences": 16,
    "max_tokens": 200_000,
    "running": 8,
    "queued": 1,
    "queued_tokens": 900,
    "cached_pieces": 2_000,
}


def _answer(body: bytes) -> bytes:
    head = (
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        f"X-Boot-Id: {'f' * 16}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class Target(asyncio.Protocol):
    """Gives one answer to every request; requests have no body."""

    def __init__(self, answer: bytes) -> None:
        self.answer = answer
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer each end of a head."""
        self.transport.write(self.answer * data.count(b"\r\n\r\n"))


async def calls_us(body: bytes, targets: int) -> float:
    """Return the time of one call a target, the answering end being a bare socket."""
    answer = _answer(body)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: Target(answer), "127.0.0.1", 0)
    address = client.Address(*server.sockets[0].getsockname()[:2])
    http = client.Client(None)

    async def ask() -> None:
        _, data, _ = await http.call(address, "GET", "/v1/state", wait_ms=WAIT_MS)
        msgspec.json.decode(data)

    async def once() -> None:
        await asyncio.gather(*(ask() for _ in range(targets)))

    await once()
    begun = time.process_time()
    for _ in range(ROUNDS):
        await once()
    spent_us = (time.process_time() - begun) / ROUNDS * 1e6
    server.close()
    return spent_us


def _events(count: int) -> bytes:
    events = [
        {"seq": number, "op": "stored", "key": f"{number:032x}"}
        for number in range(count)
    ]
    return msgspec.json.encode({"boot_id": "f" * 16, "events": events, "next": count})


async def measure() -> None:
    """Print the lines of the calls to targets."""
    state = msgspec.json.encode(STATE)
    times = [await calls_us(state, size) for size in TARGETS]
    fit.show("Probes: one report from each target, us by targets", TARGETS, times)
    times = [await calls_us(_events(size), 1) for size in EVENTS]
    fit.show("Cache events: one call, us by events in it", EVENTS, times)
