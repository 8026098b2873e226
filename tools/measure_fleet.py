"""Measures the fleet's internal traffic, propagation of settings and restarts.

Usage:
  measure_fleet [--seed=N]

Options:
  --seed=N  Seed of the virtual-time runs [default: 1].

The virtual-time measurements run complete nodes on a simulated platform and network,
and encode messages to count their bytes. Another measurement sends heartbeats over real
gRPC connections.
"""

import asyncio
import random
import time
import typing

import docopt
import msgspec
from hdrh import histogram

from cornelreach.fleet import noderunner, peermessages
from cornelreach.peers import wire
from cornelreach.platform import budget
from cornelreach.settings import items
from cornelreach.util import timers
from test.fleet import simulation

SLOPE_SIZES = (8, 16, 32, 64)
SLOPE_WARM_MS = 40_000
SLOPE_MS = 10_000
SAMPLE_INTERVAL = 7
CHANGES_A_DAY = 23_000
DAY_MS = 86_400_000
SPREAD_LAYOUT = (2, 4)
SPREAD_CHANGES = 250
SPREAD_WARM_MS = 15_000
RESTART_LAYOUTS = ((3, 8), (10, 110))
RESTART_ITEMS = 500
RESTART_MS = 5_000
HEARTBEATS = 300
HIGHEST_US = 60_000_000


class NodeTraffic(typing.NamedTuple):
    """Average traffic that one node sends in a second."""

    instances: int
    messages: float
    size_bytes: float


class Spread(typing.NamedTuple):
    """Time from the acceptance of a change until all instances have applied it."""

    changes_a_day: int
    p50_ms: float
    p99_ms: float
    highest_ms: float


class Restart(typing.NamedTuple):
    """A restart of all instances at the same time."""

    instances: int
    all_synced_ms: float
    busiest_second_calls: int
    calls_per_instance: float


class HeartbeatCost(typing.NamedTuple):
    """Cost of one heartbeat and its reply over gRPC."""

    size_bytes: float
    payload_bytes: int
    cpu_us: float


def layout(data_centres: int, per_data_centre: int) -> dict[str, str]:
    """Return the data centre of each instance by name."""
    return {
        f"dc{s}-{n}": f"dc{s}"
        for s in range(data_centres)
        for n in range(per_data_centre)
    }


def measure_traffic(seed: int, per_data_centre: int) -> NodeTraffic:
    """Measure the traffic of two idle data centres."""
    names = layout(2, per_data_centre)
    fleet = simulation.Simulation(seed, names)
    fleet.advance(SLOPE_WARM_MS)
    counts = [0, 0, 0]

    def count(source: str, target: str, message: peermessages.Heartbeat) -> None:
        counts[0] += 1
        if counts[0] % SAMPLE_INTERVAL == 0:
            sender = wire.Sender(source, "dc0", "0" * 16, message.revision)
            counts[1] += 1
            counts[2] += len(msgspec.msgpack.encode((sender, message)))

    fleet.on_message = count
    fleet.advance(SLOPE_MS)
    per_s = counts[0] / len(names) / (SLOPE_MS / 1_000)
    return NodeTraffic(len(names), per_s, per_s * counts[2] / counts[1])


def measure_spread(seed: int, changes_a_day: int) -> Spread:
    """Measure how fast random changes reach all instances of a fleet of eight."""
    fleet = simulation.Simulation(seed, layout(*SPREAD_LAYOUT))
    fleet.advance(SPREAD_WARM_MS)
    source = random.Random(seed)
    accepted: dict[int, float] = {}
    pending: dict[int, set[str]] = {}
    times = histogram.HdrHistogram(1, HIGHEST_US, 3)

    def watch(name: str, changed: typing.Any) -> None:
        for entry in changed.entries:
            waiting = pending.get(entry.version, set())
            waiting.discard(name)
            if not waiting and pending.pop(entry.version, None) is not None:
                passed_ms = fleet.clock.now_ms() - accepted[entry.version]
                times.record_value(max(1, int(passed_ms * 1_000)))

    for name, host in fleet.hosts.items():
        host.state.subscribe(lambda changed, name=name: watch(name, changed))
    for number in range(SPREAD_CHANGES):
        gap_ms = source.expovariate(changes_a_day / DAY_MS)
        fleet.advance(gap_ms)
        value = {"name": "m", "bytes_per_token": number + 1}
        key = items.key_of("model", f"m{number}")
        version = fleet.store.revision + 1
        accepted[version] = fleet.clock.now_ms()
        pending[version] = set(fleet.hosts)
        fleet.write(key, value)
    fleet.advance(10_000)
    points = [times.get_value_at_percentile(p) / 1_000 for p in (50, 99, 100)]
    if pending:
        raise RuntimeError(f"{len(pending)} changes were never applied everywhere")
    return Spread(changes_a_day, *points)


def measure_restart(seed: int, data_centres: int, per_data_centre: int) -> Restart:
    """Start all instances at the same time without any settings."""
    names = layout(data_centres, per_data_centre)
    fleet = simulation.Simulation(seed, names, listed=False)
    for number in range(RESTART_ITEMS):
        value = {"name": f"m{number}", "version": "1"}
        fleet.store.write(items.key_of("model", value["name"]), value, 0)
    reads = []

    def read_list(host: simulation.Host) -> None:
        reads.append(fleet.clock.now_ms())
        host.node.set_listed(fleet.entries)

    for host in fleet.hosts.values():
        delay_ms = fleet.rng.uniform(0, budget.START_SPREAD_MS)
        fleet.clock.after(delay_ms, lambda host=host: read_list(host))
    synced_ms: dict[str, float] = {}
    for name, host in fleet.hosts.items():
        host.state.subscribe(
            lambda _, name=name: synced_ms.setdefault(name, fleet.clock.now_ms())
        )
    fleet.advance(RESTART_MS)
    calls = [*reads, *fleet.platform_calls]
    by_second: dict[int, int] = {}
    for at_ms in calls:
        by_second[int(at_ms // 1_000)] = by_second.get(int(at_ms // 1_000), 0) + 1
    missing = len(names) - len(synced_ms)
    if missing:
        raise RuntimeError(f"{missing} instances have no settings")
    return Restart(
        len(names),
        max(synced_ms.values()),
        max(by_second.values()),
        len(calls) / len(names),
    )


async def forward_counting(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, counts: list[int]
) -> None:
    """Forward bytes in one direction and count them."""
    while data := await reader.read(65_536):
        counts[0] += len(data)
        writer.write(data)


async def measure_heartbeats() -> HeartbeatCost:
    """Send heartbeats over loopback through a byte-counting proxy."""

    def sender() -> wire.Sender:
        return wire.Sender("dc0-1", "dc0", "0" * 16, 1_000_000)

    fleet = simulation.Simulation(1, layout(2, 8))
    fleet.advance(SLOPE_WARM_MS)
    node = fleet.hosts["dc0-1"].node
    server = wire.Server(sender, lambda _: None)

    async def answer(
        _: wire.Sender, message: peermessages.Heartbeat
    ) -> peermessages.Heartbeat:
        return message

    server.register(noderunner.HEARTBEAT, answer)
    await server.start("127.0.0.1:0")
    counts = [0]
    tasks: set[asyncio.Task[None]] = set()

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        server_reader, server_writer = await asyncio.open_connection(
            "127.0.0.1", server.port
        )
        for pair in ((reader, server_writer), (server_reader, writer)):
            tasks.add(asyncio.ensure_future(forward_counting(*pair, counts)))

    proxy = await asyncio.start_server(accept, "127.0.0.1", 0)
    address = f"127.0.0.1:{proxy.sockets[0].getsockname()[1]}"
    client = wire.Client(sender, lambda _: None)
    message = node.tick(fleet.clock.now_ms() + 2_000)[0].message
    await client.call(address, noderunner.HEARTBEAT, message, 2_000)
    counts[0] = 0
    started_s = time.process_time()
    for _ in range(HEARTBEATS):
        await client.call(address, noderunner.HEARTBEAT, message, 2_000)
    cpu_us = (time.process_time() - started_s) / HEARTBEATS * 1e6
    await client.close()
    await server.stop(0)
    proxy.close()
    payload = len(msgspec.msgpack.encode((sender(), message)))
    return HeartbeatCost(counts[0] / HEARTBEATS, 2 * payload, cpu_us)


def decisions_us(seed: int, per_data_centre: int) -> float:
    """Return the CPU time of one node's heartbeat work per second, in microseconds."""
    names = layout(2, per_data_centre)
    fleet = simulation.Simulation(seed, names)
    fleet.advance(SLOPE_WARM_MS)
    node = fleet.hosts["dc0-0"].node
    replies = [host.node for name, host in fleet.hosts.items() if "dc0" in name]
    clock = timers.VirtualTimers(fleet.clock.now_ms())
    spent_s = 0.0
    for _ in range(100):
        clock.advance(200)
        now_ms = clock.now_ms()
        started_s = time.process_time()
        sends = node.tick(now_ms)
        spent_s += time.process_time() - started_s
        for send in sends:
            peer = replies[hash(send.contact.name) % len(replies)]
            reply = peer.receive(send.message, now_ms)
            started_s = time.process_time()
            node.answered(send, reply, now_ms)
            node.receive(reply, now_ms)
            spent_s += time.process_time() - started_s
    return spent_s / 20 * 1e6


def main() -> None:
    """Run all measurements and print their tables."""
    seed = int(docopt.docopt(__doc__)["--seed"])
    print("traffic of one node, two idle data centres (payload, requests and replies)")
    for per_data_centre in SLOPE_SIZES:
        result = measure_traffic(seed, per_data_centre)
        print(
            f"  {result.instances} instances: {result.messages:.1f} messages/s, "
            f"{result.size_bytes:.0f} bytes/s sent, "
            f"decisions {decisions_us(seed, per_data_centre):.0f} us/s"
        )
    cost = asyncio.run(measure_heartbeats())
    print(
        f"heartbeat and reply over gRPC: {cost.size_bytes:.0f} bytes on the wire of "
        f"{cost.payload_bytes} payload, {cost.cpu_us:.0f} us for both ends and the "
        "byte-counting proxy"
    )
    print(
        "time until a change is in force on "
        f"all of {SPREAD_LAYOUT[0] * SPREAD_LAYOUT[1]} instances"
    )
    for rate in (CHANGES_A_DAY, 10 * CHANGES_A_DAY):
        result = measure_spread(seed, rate)
        print(
            f"  {result.changes_a_day} changes a day: p50 {result.p50_ms:.0f} ms, "
            f"p99 {result.p99_ms:.0f} ms, highest {result.highest_ms:.0f} ms"
        )
    print("restart of all instances at once")
    for data_centres, per_data_centre in RESTART_LAYOUTS:
        result = measure_restart(seed, data_centres, per_data_centre)
        print(
            f"  {result.instances} instances: all have the settings after "
            f"{result.all_synced_ms:.0f} ms, {result.busiest_second_calls} platform "
            f"calls in the busiest second, "
            f"{result.calls_per_instance:.2f} calls per instance"
        )


if __name__ == "__main__":
    main()
