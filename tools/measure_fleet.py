"""Measures the fleet's own traffic, spread of settings and restart.

Usage:
  measure_fleet [--seed=N]

Options:
  --seed=N  Seed of the virtual-time runs [default: 1].

Virtual-time parts run whole nodes against a modelled platform and network; messages are
encoded to count their bytes. The part over real sockets counts what a heartbeat costs
with gRPC around it.
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
SAMPLED = 7
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


class Traffic(typing.NamedTuple):
    """What one node sent in a second, on average."""

    instances: int
    messages: float
    size_bytes: float


class Spread(typing.NamedTuple):
    """Time from acceptance until in force on every instance."""

    changes_a_day: int
    p50_ms: float
    p99_ms: float
    highest_ms: float


class Restart(typing.NamedTuple):
    """A restart of all instances at once."""

    instances: int
    all_hold_ms: float
    busiest_second_calls: int
    reads_an_instance: float


class Wire(typing.NamedTuple):
    """One heartbeat and its reply over gRPC."""

    size_bytes: float
    payload_bytes: int
    cpu_us: float


def layout(sites: int, each: int) -> dict[str, str]:
    """Return names and data centres."""
    return {f"dc{s}-{n}": f"dc{s}" for s in range(sites) for n in range(each)}


def slope(seed: int, each: int) -> Traffic:
    """Count the messages of two data centres at rest."""
    names = layout(2, each)
    site = simulation.Simulation(seed, names)
    site.advance(SLOPE_WARM_MS)
    counts = [0, 0, 0]

    def count(source: str, target: str, message: peermessages.Heartbeat) -> None:
        counts[0] += 1
        if counts[0] % SAMPLED == 0:
            sender = wire.Sender(source, "dc0", "0" * 16, message.revision)
            counts[1] += 1
            counts[2] += len(msgspec.msgpack.encode((sender, message)))

    site.on_message = count
    site.advance(SLOPE_MS)
    per_s = counts[0] / len(names) / (SLOPE_MS / 1_000)
    return Traffic(len(names), per_s, per_s * counts[2] / counts[1])


def spread(seed: int, changes_a_day: int) -> Spread:
    """Measure the time to force of random changes in a fleet of eight."""
    site = simulation.Simulation(seed, layout(*SPREAD_LAYOUT))
    site.advance(SPREAD_WARM_MS)
    source = random.Random(seed)
    accepted: dict[int, float] = {}
    left: dict[int, set[str]] = {}
    times = histogram.HdrHistogram(1, HIGHEST_US, 3)

    def watch(name: str, changed: typing.Any) -> None:
        for entry in changed.entries:
            waiting = left.get(entry.version, set())
            waiting.discard(name)
            if not waiting and left.pop(entry.version, None) is not None:
                passed_ms = site.clock.now_ms() - accepted[entry.version]
                times.record_value(max(1, int(passed_ms * 1_000)))

    for name, host in site.hosts.items():
        host.state.subscribe(lambda changed, name=name: watch(name, changed))
    for number in range(SPREAD_CHANGES):
        gap_ms = source.expovariate(changes_a_day / DAY_MS)
        site.advance(gap_ms)
        value = {"name": "m", "bytes_per_token": number + 1}
        key = items.key_of("model", f"m{number}")
        version = site.store.revision + 1
        accepted[version] = site.clock.now_ms()
        left[version] = set(site.hosts)
        site.write(key, value)
    site.advance(10_000)
    points = [times.get_value_at_percentile(p) / 1_000 for p in (50, 99, 100)]
    if left:
        raise RuntimeError(f"{len(left)} changes never came into force")
    return Spread(changes_a_day, *points)


def restart(seed: int, sites: int, each: int) -> Restart:
    """Start all instances at once, none of which holds anything."""
    names = layout(sites, each)
    site = simulation.Simulation(seed, names, listed=False)
    for number in range(RESTART_ITEMS):
        value = {"name": f"m{number}", "version": "1"}
        site.store.write(items.key_of("model", value["name"]), value, 0)
    reads = []

    def read_list(host: simulation.Host) -> None:
        reads.append(site.clock.now_ms())
        host.node.set_listed(site.entries)

    for host in site.hosts.values():
        delay_ms = site.rng.uniform(0, budget.START_SPREAD_MS)
        site.clock.after(delay_ms, lambda host=host: read_list(host))
    held_ms: dict[str, float] = {}
    for name, host in site.hosts.items():
        host.state.subscribe(
            lambda _, name=name: held_ms.setdefault(name, site.clock.now_ms())
        )
    site.advance(RESTART_MS)
    calls = [*reads, *site.platform_calls]
    by_second: dict[int, int] = {}
    for at_ms in calls:
        by_second[int(at_ms // 1_000)] = by_second.get(int(at_ms // 1_000), 0) + 1
    missing = len(names) - len(held_ms)
    if missing:
        raise RuntimeError(f"{missing} instances hold no settings")
    return Restart(
        len(names),
        max(held_ms.values()),
        max(by_second.values()),
        len(calls) / len(names),
    )


async def forward(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, counts: list[int]
) -> None:
    """Carry bytes one way and count them."""
    while data := await reader.read(65_536):
        counts[0] += len(data)
        writer.write(data)


async def heartbeats() -> Wire:
    """Send heartbeats over loopback through a counting forwarder."""

    def sender() -> wire.Sender:
        return wire.Sender("dc0-1", "dc0", "0" * 16, 1_000_000)

    site = simulation.Simulation(1, layout(2, 8))
    site.advance(SLOPE_WARM_MS)
    node = site.hosts["dc0-1"].node
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
        back, out = await asyncio.open_connection("127.0.0.1", server.port)
        for pair in ((reader, out), (back, writer)):
            tasks.add(asyncio.ensure_future(forward(*pair, counts)))

    proxy = await asyncio.start_server(accept, "127.0.0.1", 0)
    address = f"127.0.0.1:{proxy.sockets[0].getsockname()[1]}"
    client = wire.Client(sender, lambda _: None)
    message = node.tick(site.clock.now_ms() + 2_000)[0].message
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
    return Wire(counts[0] / HEARTBEATS, 2 * payload, cpu_us)


def decisions_us(seed: int, each: int) -> float:
    """Return processor time of one node's decisions a second, in microseconds."""
    names = layout(2, each)
    site = simulation.Simulation(seed, names)
    site.advance(SLOPE_WARM_MS)
    node = site.hosts["dc0-0"].node
    replies = [host.node for name, host in site.hosts.items() if "dc0" in name]
    clock = timers.VirtualTimers(site.clock.now_ms())
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
    """Run every part and print its table."""
    seed = int(docopt.docopt(__doc__)["--seed"])
    print(
        "traffic of one node, two data centres at rest (payload, requests and replies)"
    )
    for each in SLOPE_SIZES:
        found = slope(seed, each)
        print(
            f"  {found.instances} instances: {found.messages:.1f} messages/s, "
            f"{found.size_bytes:.0f} bytes/s sent, "
            f"decisions {decisions_us(seed, each):.0f} us/s"
        )
    cost = asyncio.run(heartbeats())
    print(
        f"heartbeat and reply over gRPC: {cost.size_bytes:.0f} bytes on the wire of "
        f"{cost.payload_bytes} payload, {cost.cpu_us:.0f} us for both ends and the "
        "counting forwarder"
    )
    print(f"time to force on all of {SPREAD_LAYOUT[0] * SPREAD_LAYOUT[1]} instances")
    for rate in (CHANGES_A_DAY, 10 * CHANGES_A_DAY):
        found = spread(seed, rate)
        print(
            f"  {found.changes_a_day} changes a day: p50 {found.p50_ms:.0f} ms, "
            f"p99 {found.p99_ms:.0f} ms, highest {found.highest_ms:.0f} ms"
        )
    print("restart of all instances at once")
    for sites, each in RESTART_LAYOUTS:
        found = restart(seed, sites, each)
        print(
            f"  {found.instances} instances: all hold the settings after "
            f"{found.all_hold_ms:.0f} ms, {found.busiest_second_calls} platform calls "
            f"in the busiest second, {found.reads_an_instance:.2f} reads an instance"
        )


if __name__ == "__main__":
    main()
