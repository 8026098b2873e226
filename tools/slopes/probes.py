"""CPU time of polling targets over HTTP for load reports and cache events."""

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


def _encode_response(body: bytes) -> bytes:
    head = (
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        f"X-Boot-Id: {'f' * 16}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class FixedResponder(asyncio.Protocol):
    """Sends the same response to every request; requests have no body."""

    def __init__(self, response: bytes) -> None:
        self.response = response
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Send a response for each complete request head."""
        self.transport.write(self.response * data.count(b"\r\n\r\n"))


async def round_us(body: bytes, targets: int) -> float:
    """Return the CPU time of one call to each target; targets are bare sockets."""
    response = _encode_response(body)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: FixedResponder(response), "127.0.0.1", 0)
    address = client.Address(*server.sockets[0].getsockname()[:2])
    http = client.Client(None)

    async def send_one() -> None:
        _, data, _ = await http.call(address, "GET", "/v1/state", wait_ms=WAIT_MS)
        msgspec.json.decode(data)

    async def send_to_all() -> None:
        await asyncio.gather(*(send_one() for _ in range(targets)))

    await send_to_all()
    start_s = time.process_time()
    for _ in range(ROUNDS):
        await send_to_all()
    elapsed_us = (time.process_time() - start_s) / ROUNDS * 1e6
    server.close()
    return elapsed_us


def _encode_events(count: int) -> bytes:
    events = [
        {"seq": number, "op": "stored", "key": f"{number:032x}"}
        for number in range(count)
    ]
    return msgspec.json.encode({"boot_id": "f" * 16, "events": events, "next": count})


async def measure() -> None:
    """Print the fits for calls to targets."""
    state = msgspec.json.encode(STATE)
    times = [await round_us(state, size) for size in TARGETS]
    fit.print_fit("Probes: one report from each target, us by targets", TARGETS, times)
    times = [await round_us(_encode_events(size), 1) for size in EVENTS]
    fit.print_fit("Cache events: one call, us by events in the response", EVENTS, times)
