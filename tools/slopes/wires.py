"""Processor time and bytes of calls between two instances, over real sockets."""

import asyncio
import contextlib
import time
import typing

from cornelreach.fleet import noderunner, peermessages
from cornelreach.peers import wire
from cornelreach.pools import methods, notices, ownerships
from cornelreach.targets import ownership, permits
from tools.slopes import fit, sites

CALLS = 300
WAIT_MS = 5_000
ABREAST = 8
PLAN = "x" * 240
PIECES = (8, 32, 64, 128)
BATCHES = (1, 4, 16, 64)
NEWS = (0, 4, 8, 16)
SHARED_POOLS = (1, 2, 4, 8)


class Cost(typing.NamedTuple):
    """One call: processor time of both ends, bytes both ways."""

    cpu_us: float
    wire_bytes: float


class Relay:
    """Passes TCP bytes on and counts them."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.count_bytes = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Connect one client with the server behind."""
        far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.port)
        for pair in ((reader, far_writer), (far_reader, writer)):
            self.tasks.add(asyncio.ensure_future(self._pass(*pair)))

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65_536):
            self.count_bytes += len(data)
            writer.write(data)
        writer.close()


def sender() -> wire.Sender:
    """Return who sends."""
    return wire.Sender("dc0-i0", sites.OWN, "0" * 16, 12_345)


async def _many(client: wire.Client, address: str, method, request, count: int) -> None:
    async def some() -> None:
        for _ in range(count // ABREAST):
            reply = await client.call(address, method, request, WAIT_MS)
            reply.unwrap()

    await asyncio.gather(*(some() for _ in range(ABREAST)))


async def cost(method: wire.Method, request: object, reply: object) -> Cost:
    """Return what one call costs; time without, bytes with the relay between."""

    async def answer(_: wire.Sender, __: object) -> object:
        return reply

    server = wire.Server(sender, lambda _: None)
    server.register(method, answer)
    await server.start("127.0.0.1:0")
    client = wire.Client(sender, lambda _: None)
    address = f"127.0.0.1:{server.port}"
    await _many(client, address, method, request, CALLS)
    begun = time.process_time()
    await _many(client, address, method, request, CALLS)
    count = CALLS // ABREAST * ABREAST
    cpu_us = (time.process_time() - begun) / count * 1e6
    relay = Relay(server.port)
    relayed = await asyncio.start_server(relay.accept, "127.0.0.1", 0)
    address = f"127.0.0.1:{relayed.sockets[0].getsockname()[1]}"
    await _many(client, address, method, request, ABREAST)
    before_bytes = relay.count_bytes
    await _many(client, address, method, request, CALLS)
    wire_bytes = (relay.count_bytes - before_bytes) / count
    await client.close()
    relayed.close()
    await server.stop(100)
    for task in relay.tasks:
        task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.gather(*relay.tasks)
    return Cost(cpu_us, wire_bytes)


def ask(piece_count: int, number: int = 1) -> permits.PermitRequest:
    """Return a control call of a prompt, with keys as the edge cuts them."""
    keys = tuple(
        f"{index * 0x9E3779B97F4A7C15 % 2**64:016x}" for index in range(piece_count)
    )
    return permits.PermitRequest(
        request=f"dc0-i0/{'0' * 16}/{number}",
        instance="dc0-i0",
        instance_boot="0" * 16,
        pool="dc0/m0/0",
        account=f"a{number % 10}",
        prompt_tokens=piece_count * 1_000,
        answer_tokens=300,
        piece_keys=keys,
        piece_tokens=(1_000,) * piece_count,
        root=keys[0],
    )


def _permit() -> methods.PermitReply:
    request = ask(1)
    return methods.PermitReply(
        permit=permits.Permit(
            request.request, request.pool, 3, "engine-7", "f" * 16, 1, 20_000, False
        )._replace(plan=PLAN)
    )


def _releases(count: int) -> methods.Releases:
    one = permits.Release(
        ask(1).request, "engine-7", permits.Outcome.DONE, "f" * 16, 412.5
    )
    return methods.Releases([methods.PoolRelease("dc0/m0/0", one)] * count)


def _heartbeat(count: int) -> peermessages.Heartbeat:
    members = tuple(
        peermessages.Member(sites.identity(number)) for number in range(count)
    )
    note = peermessages.Note("pool/dc0/m0/0", (3, 900), b"x" * 24, 400)
    return peermessages.Heartbeat(
        peermessages.Member(sites.identity(0)),
        1,
        2**63,
        member_updates=members,
        notes=(note,) * 6,
    )


def _heartbeats(
    count: int,
) -> tuple[ownerships.Heartbeats, ownerships.HeartbeatReplies]:
    """Return an owner's heartbeats to one successor, and the answers."""
    pair = [ownership.Member(f"dc0-i{n}", f"{n:016x}") for n in range(2)]
    record = ownership.Record(3, *pair)
    arbiter = ownership.Arbiter.PLATFORM
    beat = ownership.Heartbeat("dc0/m0/0", record, 900, 1e8, arbiter)
    ack = ownership.Ack("dc0/m0/0", 3, 900, 1e8, pair[1], arbiter)
    return ownerships.Heartbeats([beat] * count), ownerships.HeartbeatReplies(
        [ack] * count, []
    )


async def measure() -> None:
    """Print the lines of the three messages."""
    asks = [await cost(methods.ASK, ask(size), _permit()) for size in PIECES]
    _show("Ask with its permit, against pieces of the prompt", PIECES, asks)
    empty = notices.Empty()
    gone = [await cost(methods.RELEASE, _releases(size), empty) for size in BATCHES]
    _show("Release, against permits in the batch", BATCHES, gone)
    beat = [
        await cost(noderunner.HEARTBEAT, _heartbeat(size), _heartbeat(size))
        for size in NEWS
    ]
    _show("Heartbeat with six notes, against members told of", NEWS, beat)
    pairs = [
        await cost(ownerships.OWNER_HEARTBEAT, *_heartbeats(size))
        for size in SHARED_POOLS
    ]
    _show("Owner's heartbeat, against pools in it", SHARED_POOLS, pairs)


def _show(what: str, sizes: typing.Sequence[int], costs: list[Cost]) -> None:
    fit.show(f"{what}: us of both ends", sizes, [one.cpu_us for one in costs])
    fit.show(f"{what}: wire bytes both ways", sizes, [one.wire_bytes for one in costs])
