"""One instance in the midst of a modelled fleet, with no socket open.

The fleet has ten data centres; its targets stand in pools of 16, which serve 16 models.
"""

import typing

import msgspec

from cornelreach import instance as instance_module
from cornelreach.calls import interfaces, streams
from cornelreach.fleet import peermessages
from cornelreach.http import limits
from cornelreach.platform import results
from cornelreach.pools import pooldirectory
from cornelreach.prompts import pieces
from cornelreach.settings import items, state as state_module
from cornelreach.targets import ownership

DATA_CENTRES = 10
MODELS = 16
POOL_TARGETS = 16
OWN = "dc0"


def entries(targets: int, accounts: int = 380) -> tuple[state_module.Entry, ...]:
    """Return the settings of a fleet."""
    named: list[tuple[str, items.Item]] = [
        ("account", items.Account(f"a{n}", [f"{n:064x}"])) for n in range(accounts)
    ]
    named += [("model", items.Model(f"m{n}")) for n in range(MODELS)]
    named += [
        ("data-centre", items.DataCentre(f"dc{n}", f"r{n // 2}"))
        for n in range(DATA_CENTRES)
    ]
    named += [("target", target(number)) for number in range(targets)]
    return tuple(
        state_module.Entry(items.key_of(kind, item.name), version, items.encode(item))
        for version, (kind, item) in enumerate(named, start=1)
    )


def target(number: int, version: int = 0) -> items.Target:
    """Return one engine of the fleet."""
    pool = number // POOL_TARGETS
    data_centre = f"dc{pool % DATA_CENTRES}"
    model = f"m{pool // DATA_CENTRES % MODELS}"
    name = f"engine-{number}"
    address = f"10.{number // 65_536}.{number // 256 % 256}.{number % 256}:8000"
    return items.Target(
        name,
        "engine",
        data_centre,
        address,
        model,
        f"{data_centre}/{model}/{pool}",
        max_sequences=16 + version % 2,
    )


def identity(number: int, data_centre: str = OWN) -> peermessages.Identity:
    """Return one instance of the fleet."""
    name = f"{data_centre}-i{number}"
    return peermessages.Identity(
        name, f"{number:016x}", 1, data_centre, f"10.1.0.{number % 250}:7000"
    )


def build(targets: int, peers: int, accounts: int = 380) -> instance_module.Instance:
    """Return an instance that knows a fleet; ``peers`` is for each data centre."""
    settings = instance_module.Settings(
        "dc0-i0",
        OWN,
        "r0",
        "127.0.0.1:0",
        "127.0.0.1:0",
        "127.0.0.1:1",
        "127.0.0.1:1",
        1_000,
        limits.Limits(),
    )
    ring = streams.KeyRing([b"measured"])
    made = instance_module.Instance(settings, lambda: ring)
    held = entries(targets, accounts)
    made.state.apply(state_module.Delta(0, len(held), held, snapshot=True))
    _people(made, peers)
    _notes(made, peers)
    return made


def _people(made: instance_module.Instance, peers: int) -> None:
    now_ms = made.clock.now_ms()
    listed = [
        results.Instance(one.name, one.data_centre, one.address)
        for site in range(1, DATA_CENTRES)
        for one in (identity(number, f"dc{site}") for number in range(peers))
    ]
    made.node.set_listed(tuple(listed))
    members = tuple(peermessages.Member(identity(number)) for number in range(1, peers))
    for member in members:
        made.node.membership.receive(peermessages.Heartbeat(member), now_ms)
    for site in range(1, DATA_CENTRES):
        made.node.remotes.answered(identity(0, f"dc{site}"), now_ms)


def _notes(made: instance_module.Instance, peers: int) -> None:
    """Give every pool a note and a record of its owner."""
    now_ms = made.clock.now_ms()
    records, notes = [], []
    first = made.state.revision + 1
    pools = {one.pool_name: one.data_centre for one in made.view.targets.values()}
    for number, (pool, data_centre) in enumerate(sorted(pools.items())):
        owner = identity(1 + number % max(1, peers - 2), data_centre)
        status = pooldirectory.PoolStatus(owner.name, 1, 20, 100, POOL_TARGETS, 0, 7)
        body = msgspec.msgpack.encode(status)
        notes.append(
            peermessages.Note(pooldirectory.TOPIC_PREFIX + pool, (1, 7), body, 500)
        )
        other = identity(2 + number % max(1, peers - 2), data_centre)
        pair = [ownership.Member(one.name, one.boot) for one in (owner, other)]
        value = instance_module.ownerships.encode(ownership.Record(1, *pair))
        key = instance_module.ownerships.KEY_PREFIX + pool
        records.append(state_module.Entry(key, first + number, value))
    made.node.notes.merge(tuple(notes), now_ms)
    last = first + len(records)
    made.state.apply(state_module.Delta(first - 1, last, tuple(records)))
    made.ownerships.configure(made._local_pools())


def need(piece_count: int = 20) -> interfaces.PlacementRequest:
    """Return what a chat needs."""
    keys = tuple(f"{number:032x}" for number in range(piece_count))
    prompt = pieces.PromptPieces(keys, (1_000,) * piece_count, "ab" * 8)
    return interfaces.PlacementRequest("a1", "m0", 1, prompt, 300, 10_000)


class Change(typing.NamedTuple):
    """Applies one change of a settings item after another."""

    state: state_module.State

    def __call__(self) -> None:
        """Change one target."""
        self._apply("target", target(0, self.state.revision))

    def account(self) -> None:
        """Change one account."""
        version = self.state.revision + 1
        self._apply("account", items.Account("a1", [f"{version:064x}"]))

    def _apply(self, kind: str, item: items.Item) -> None:
        version = self.state.revision + 1
        key = items.key_of(kind, item.name)
        entry = state_module.Entry(key, version, items.encode(item))
        self.state.apply(state_module.Delta(version - 1, version, (entry,)))
