"""CPU time and bytes of calls between two instances over real sockets."""

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
CONCURRENT_CALLS = 8
PLAN = "x" * 240
PIECES = (8, 32, 64, 128)
BATCHES = (1, 4, 16, 64)
MEMBER_UPDATES = (0, 4, 8, 16)
SHARED_POOLS = (1, 2, 4, 8)


class CallCost(typing.NamedTuple):
    """CPU time of both ends of a call, and its bytes in both directions."""

    cpu_us: float
    wire_bytes: float


class CountingProxy:
    """Forwards TCP connections and counts their bytes."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.total_bytes = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Connect a client to the server."""
        server_reader, server_writer = await asyncio.open_connection(
            "127.0.0.1", self.port
        )
        for pair in ((reader, server_writer), (server_reader, writer)):
            self.tasks.add(asyncio.ensure_future(self._forward(*pair)))

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65_536):
            self.total_bytes += len(data)
            writer.write(data)
        writer.close()


def sender() -> wire.Sender:
    """Return the sender of the calls."""
    return wire.Sender("dc0-i0", sites.OWN_DATA_CENTRE, "0" * 16, 12_345)


async def _call_many(
    client: wire.Client, address: str, method, request, count: int
) -> None:
    async def call_in_turn() -> None:
        for _ in range(count // CONCURRENT_CALLS):
            reply = await client.call(address, method, request, WAIT_MS)
            reply.unwrap()

    await asyncio.gather(*(call_in_turn() for _ in range(CONCURRENT_CALLS)))


async def measure_call(method: wire.Method, request: object, reply: object) -> CallCost:
    """Measure CPU time over a direct connection and bytes through a proxy."""

    async def reply_fixed(_: wire.Sender, __: object) -> object:
        return reply

    server = wire.Server(sender, lambda _: None)
    server.register(method, reply_fixed)
    await server.start("127.0.0.1:0")
    client = wire.Client(sender, lambda _: None)
    address = f"127.0.0.1:{server.port}"
    await _call_many(client, address, method, request, CALLS)
    start_s = time.process_time()
    await _call_many(client, address, method, request, CALLS)
    count = CALLS // CONCURRENT_CALLS * CONCURRENT_CALLS
    cpu_us = (time.process_time() - start_s) / count * 1e6
    proxy = CountingProxy(server.port)
    proxy_server = await asyncio.start_server(proxy.accept, "127.0.0.1", 0)
    address = f"127.0.0.1:{proxy_server.sockets[0].getsockname()[1]}"
    await _call_many(client, address, method, request, CONCURRENT_CALLS)
    before_bytes = proxy.total_bytes
    await _call_many(client, address, method, request, CALLS)
    wire_bytes = (proxy.total_bytes - before_bytes) / count
    await client.close()
    proxy_server.close()
    await server.stop(100)
    for task in proxy.tasks:
        task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.gather(*proxy.tasks)
    return CallCost(cpu_us, wire_bytes)


def permit_request(piece_count: int, number: int = 1) -> permits.PermitRequest:
    """Return a permit request for a prompt, with piece keys in the edge's format."""
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
    request = permit_request(1)
    return methods.PermitReply(
        permit=permits.Permit(
            request.request, request.pool, 3, "engine-7", "f" * 16, 1, 20_000, False
        )._replace(plan=PLAN)
    )


def _releases(count: int) -> methods.Releases:
    one = permits.Release(
        permit_request(1).request, "engine-7", permits.Outcome.DONE, "f" * 16, 412.5
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
    """Return an owner's heartbeats to one successor, and the replies."""
    pair = [ownership.Member(f"dc0-i{n}", f"{n:016x}") for n in range(2)]
    record = ownership.Record(3, *pair)
    arbiter = ownership.Arbiter.PLATFORM
    heartbeat = ownership.Heartbeat("dc0/m0/0", record, 900, 1e8, arbiter)
    ack = ownership.Ack("dc0/m0/0", 3, 900, 1e8, pair[1], arbiter)
    return ownerships.Heartbeats([heartbeat] * count), ownerships.HeartbeatReplies(
        [ack] * count, []
    )


async def measure() -> None:
    """Print the fits for the messages between instances."""
    permit_costs = [
        await measure_call(methods.ASK, permit_request(size), _permit())
        for size in PIECES
    ]
    _print_costs(
        "Permit request and reply, by pieces of the prompt", PIECES, permit_costs
    )
    empty = notices.Empty()
    release_costs = [
        await measure_call(methods.RELEASE, _releases(size), empty) for size in BATCHES
    ]
    _print_costs("Release, by permits in the batch", BATCHES, release_costs)
    heartbeat_costs = [
        await measure_call(noderunner.HEARTBEAT, _heartbeat(size), _heartbeat(size))
        for size in MEMBER_UPDATES
    ]
    _print_costs(
        "Heartbeat with six notes, by member updates in it",
        MEMBER_UPDATES,
        heartbeat_costs,
    )
    owner_costs = [
        await measure_call(ownerships.OWNER_HEARTBEAT, *_heartbeats(size))
        for size in SHARED_POOLS
    ]
    _print_costs("Owner's heartbeat, by pools in it", SHARED_POOLS, owner_costs)


def _print_costs(
    title: str, sizes: typing.Sequence[int], costs: list[CallCost]
) -> None:
    fit.print_fit(f"{title}: us at both ends", sizes, [one.cpu_us for one in costs])
    fit.print_fit(
        f"{title}: bytes on the wire in both directions",
        sizes,
        [one.wire_bytes for one in costs],
    )
