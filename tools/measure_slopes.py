"""Measures how the cost of the control plane grows with the size of the fleet.

Usage:
  measure_slopes [--only=<part>]

Options:
  --only=<part>  Part to measure: edge, settings, fleet, owner, wire or probes.

Prints a least-squares line over four sizes for each measurement, with the standard
error of its slope and its largest residual. CPU time is that of this process; a TCP
proxy between the gRPC client and server counts the bytes of calls. docs/CAPACITY.md
computes the costs at the intended fleet size from these lines.
"""

import asyncio
import pathlib
import random
import sys
import typing

import docopt
import msgspec

from cornelreach.fleet import node, peermessages
from cornelreach.settings import state as state_module, view
from cornelreach.util import log
from tools.slopes import fit, owners, probes, sites, wires

TARGETS = (1_500, 3_000, 6_000, 12_000)
FEW_TARGETS = 1_600
PEERS = (14, 28, 55, 110)
ACCOUNTS = (50, 100, 200, 400)
MEMORY_TARGETS = (500, 1_000, 2_000, 4_000)


async def edge() -> None:
    """Print the CPU time of an instance's work for each request and tick."""
    instances = {size: sites.build(size, 16) for size in TARGETS}
    operations = {
        "Edge: selection of the pool for one request": _find_candidates,
        "Instance: configuration of its own pools, every 200 ms": _configure,
        "Instance: tick of ownerships, every 500 ms": _tick_ownerships,
    }
    for title, operation in operations.items():
        times = [fit.cpu_us(operation(one), 3) for one in instances.values()]
        fit.print_fit(f"{title}, us by targets", TARGETS, times)
    instances = {size: sites.build(FEW_TARGETS, size) for size in PEERS}
    operations = {
        "Edge: owner of a pool and its address": _find_owner,
        "Instance: tick of ownerships with ten pools, every 500 ms": _tick_ownerships,
        "Instance: contenders for all models' rollouts, every second": _find_contenders,
    }
    for title, operation in operations.items():
        times = [fit.cpu_us(operation(one), 10) for one in instances.values()]
        fit.print_fit(f"{title}, us by peers of a data centre", PEERS, times)

    _at_target_size()


def _at_target_size() -> None:
    """Print the CPU time of the same operations at the largest sizes."""
    instance = sites.build(TARGETS[-1], PEERS[-1])
    operations = {
        "choice": _find_candidates,
        "follow": _configure,
        "tick": _tick_ownerships,
        "owner": _find_owner,
    }
    costs = "  ".join(
        f"{name}: {fit.cpu_us(operation(instance), 3):.0f}"
        for name, operation in operations.items()
    )
    print(f"Edge at {TARGETS[-1]} targets and {PEERS[-1]} peers, us: {costs}")


def _find_candidates(instance: typing.Any) -> typing.Callable[[], object]:
    request = sites.placement_request()
    return lambda: instance.placer.candidates(request)


def _configure(instance: typing.Any) -> typing.Callable[[], object]:
    return instance._configure_pools


def _tick_ownerships(instance: typing.Any) -> typing.Callable[[], object]:
    return instance.ownerships.tick


def _find_contenders(instance: typing.Any) -> typing.Callable[[], object]:
    return lambda: [instance._contenders(model) for model in instance.view.models]


def _find_owner(instance: typing.Any) -> typing.Callable[[], object]:
    pools = instance.pool_directory
    return lambda: pools.address(pools.owner("dc0/m0/0"))


def _state(targets: int, accounts: int = 0) -> tuple[state_module.State, view.View]:
    state = state_module.State()
    settings_view = view.View(state)
    entries = sites.settings_entries(targets, accounts)
    state.apply(state_module.Delta(0, len(entries), entries, snapshot=True))
    return state, settings_view


def settings() -> None:
    """Print the memory of settings items and the CPU time of a change."""
    sizes = [fit.traced_bytes(lambda n=size: _state(n)) for size in MEMORY_TARGETS]
    fit.print_fit("Settings: bytes by targets", MEMORY_TARGETS, sizes)
    sizes = [fit.traced_bytes(lambda n=size: _state(0, n)) for size in ACCOUNTS]
    fit.print_fit("Settings: bytes by accounts", ACCOUNTS, sizes)
    states = [_state(size) for size in TARGETS]
    times = [fit.cpu_us(sites.SettingsChange(state), 3) for state, _ in states]
    fit.print_fit("Settings: a changed target, us by targets", TARGETS, times)
    states = [_state(100, size) for size in ACCOUNTS]
    times = [fit.cpu_us(sites.SettingsChange(state).account, 20) for state, _ in states]
    fit.print_fit("Settings: a changed account, us by accounts", ACCOUNTS, times)


def _node(peers: int) -> node.Node:
    state = _state(16, 10)[0]
    made = node.Node(sites.identity(0), state, random.Random(1), 0.0)
    for number in range(1, peers):
        made.receive(
            peermessages.Heartbeat(peermessages.Member(sites.identity(number))), 0.0
        )
    return made


def fleet() -> None:
    """Print the CPU time and bytes of heartbeats by members."""
    times, recipient_times, sizes, memory = [], [], [], []
    for peers in PEERS:
        made = _node(peers)
        heartbeat = peermessages.Heartbeat(
            peermessages.Member(sites.identity(1)),
            made.state.revision,
            made.state.digest,
        )
        times.append(fit.cpu_us(lambda one=made, b=heartbeat: one.receive(b, 0.0), 200))
        recipient_times.append(
            fit.cpu_us(lambda one=made: one.membership.recipients(0.0), 50)
        )
        message = msgspec.msgpack.encode(made.receive(heartbeat, 0.0))
        sizes.append(len(message))
        memory.append(fit.traced_bytes(lambda n=peers: _node(n)))
    fit.print_fit("Heartbeat: receipt and reply, us by members", PEERS, times)
    fit.print_fit(
        "Heartbeat: selection of the recipients, us by members", PEERS, recipient_times
    )
    fit.print_fit("Heartbeat: encoded bytes at rest, by members", PEERS, sizes)
    fit.print_fit("Membership: bytes by members", PEERS, memory)


def resident_mb() -> float:
    """Return the resident memory of this process in megabytes."""
    lines = pathlib.Path("/proc/self/status").read_text().splitlines()
    line = next(one for one in lines if one.startswith("VmRSS"))
    return int(line.split()[1]) / 1_024


def main() -> None:
    """Run all measurements, or one of them."""
    only = docopt.docopt(__doc__)["--only"]
    log.configure("INFO", "text")
    print(f"Resident memory with all modules loaded: {resident_mb():.0f} MB")
    parts: dict[str, typing.Callable[[], typing.Any]] = {
        "edge": lambda: asyncio.run(edge()),
        "settings": settings,
        "fleet": fleet,
        "owner": owners.measure,
        "wire": lambda: asyncio.run(wires.measure()),
        "probes": lambda: asyncio.run(probes.measure()),
    }
    for name, part in parts.items():
        if only in (None, name):
            part()


if __name__ == "__main__":
    sys.exit(main())
