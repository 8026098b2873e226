"""Measures how the cost of control grows with each size of the fleet.

Usage:
  measure_slopes [--only=<part>]

Options:
  --only=<part>  One of edge, settings, fleet, owner, wire, probes.

Each line is a least-squares fit over four sizes, with the standard error of its slope
and the largest distance of a point from it. Processor time is that of this process;
bytes of calls are counted by a TCP relay between two gRPC ends. docs/CAPACITY.md works
out the target size from these lines.
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
    """Print what an instance repeats for each request and tick, against sizes."""
    made = {size: sites.build(size, 16) for size in TARGETS}
    acts = {
        "Edge: choice of the pool for one request": _candidates,
        "Instance: its own pools followed, each 200 ms": _configure,
        "Instance: tick of ownerships, each 500 ms": _tick,
    }
    for what, act in acts.items():
        times = [fit.cpu_us(act(one), 3) for one in made.values()]
        fit.show(f"{what}, us by targets", TARGETS, times)
    made = {size: sites.build(FEW_TARGETS, size) for size in PEERS}
    acts = {
        "Edge: owner of a pool and its address": _owner,
        "Instance: tick of ownerships with ten pools, each 500 ms": _tick,
        "Instance: contenders of every model's rollout, each second": _rank,
    }
    for what, act in acts.items():
        times = [fit.cpu_us(act(one), 10) for one in made.values()]
        fit.show(f"{what}, us by peers of a data centre", PEERS, times)

    _at_target_size()


def _at_target_size() -> None:
    """Print the same acts with every size at once."""
    made = sites.build(TARGETS[-1], PEERS[-1])
    acts = {"choice": _candidates, "follow": _configure, "tick": _tick, "owner": _owner}
    costs = "  ".join(
        f"{name}: {fit.cpu_us(act(made), 3):.0f}" for name, act in acts.items()
    )
    print(f"Edge at {TARGETS[-1]} targets and {PEERS[-1]} peers, us: {costs}")


def _candidates(made: typing.Any) -> typing.Callable[[], object]:
    need = sites.need()
    return lambda: made.placer.candidates(need)


def _configure(made: typing.Any) -> typing.Callable[[], object]:
    return made._configure_pools


def _tick(made: typing.Any) -> typing.Callable[[], object]:
    return made.ownerships.tick


def _rank(made: typing.Any) -> typing.Callable[[], object]:
    return lambda: [made._contenders(model) for model in made.view.models]


def _owner(made: typing.Any) -> typing.Callable[[], object]:
    pools = made.pool_directory
    return lambda: pools.address(pools.owner("dc0/m0/0"))


def _state(targets: int, accounts: int = 0) -> tuple[state_module.State, view.View]:
    state = state_module.State()
    shown = view.View(state)
    held = sites.entries(targets, accounts)
    state.apply(state_module.Delta(0, len(held), held, snapshot=True))
    return state, shown


def settings() -> None:
    """Print the memory of an item and the time of a change."""
    sizes = [fit.traced_bytes(lambda n=size: _state(n)) for size in MEMORY_TARGETS]
    fit.show("Settings: bytes by targets", MEMORY_TARGETS, sizes)
    sizes = [fit.traced_bytes(lambda n=size: _state(0, n)) for size in ACCOUNTS]
    fit.show("Settings: bytes by accounts", ACCOUNTS, sizes)
    held = [_state(size) for size in TARGETS]
    times = [fit.cpu_us(sites.Change(state), 3) for state, _ in held]
    fit.show("Settings: a changed target, us by targets", TARGETS, times)
    held = [_state(100, size) for size in ACCOUNTS]
    times = [fit.cpu_us(sites.Change(state).account, 20) for state, _ in held]
    fit.show("Settings: a changed account, us by accounts", ACCOUNTS, times)


def _node(peers: int) -> node.Node:
    state = _state(16, 10)[0]
    made = node.Node(sites.identity(0), state, random.Random(1), 0.0)
    for number in range(1, peers):
        made.receive(
            peermessages.Heartbeat(peermessages.Member(sites.identity(number))), 0.0
        )
    return made


def fleet() -> None:
    """Print the time and bytes of heartbeats against members."""
    times, rounds, sizes, memory = [], [], [], []
    for peers in PEERS:
        made = _node(peers)
        beat = peermessages.Heartbeat(
            peermessages.Member(sites.identity(1)),
            made.state.revision,
            made.state.digest,
        )
        times.append(fit.cpu_us(lambda one=made, b=beat: one.receive(b, 0.0), 200))
        rounds.append(fit.cpu_us(lambda one=made: one.membership.recipients(0.0), 50))
        message = msgspec.msgpack.encode(made.receive(beat, 0.0))
        sizes.append(len(message))
        memory.append(fit.traced_bytes(lambda n=peers: _node(n)))
    fit.show("Heartbeat: receipt and reply, us by members", PEERS, times)
    fit.show("Heartbeat: choice of the recipients, us by members", PEERS, rounds)
    fit.show("Heartbeat: encoded bytes at rest, by members", PEERS, sizes)
    fit.show("Membership: bytes by members", PEERS, memory)


def resident_mb() -> float:
    """Return the resident memory of this process."""
    lines = pathlib.Path("/proc/self/status").read_text().splitlines()
    line = next(one for one in lines if one.startswith("VmRSS"))
    return int(line.split()[1]) / 1_024


def main() -> None:
    """Print every line, or those of one part."""
    only = docopt.docopt(__doc__)["--only"]
    log.configure("INFO", "text")
    print(f"Resident with all modules loaded: {resident_mb():.0f} MB")
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
