"""Builds one instance with the state of a simulated fleet, without open sockets.

The fleet has ten data centres and 16 models; its targets form pools of 16.
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
OWN_DATA_CENTRE = "dc0"


def settings_entries(
    targets: int, accounts: int = 380
) -> tuple[state_module.Entry, ...]:
    """Return the settings entries of a fleet."""
    fleet_items: list[tuple[str, items.Item]] = [
        ("account", items.Account(f"a{n}", [f"{n:064x}"])) for n in range(accounts)
    ]
    fleet_items += [("model", items.Model(f"m{n}")) for n in range(MODELS)]
    fleet_items += [
        ("data-centre", items.DataCentre(f"dc{n}", f"r{n // 2}"))
        for n in range(DATA_CENTRES)
    ]
    fleet_items += [("target", target(number)) for number in range(targets)]
    return tuple(
        state_module.Entry(items.key_of(kind, item.name), version, items.encode(item))
        for version, (kind, item) in enumerate(fleet_items, start=1)
    )


def target(number: int, version: int = 0) -> items.Target:
    """Return the settings item of one engine."""
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


def identity(number: int, data_centre: str = OWN_DATA_CENTRE) -> peermessages.Identity:
    """Return the identity of one instance."""
    name = f"{data_centre}-i{number}"
    return peermessages.Identity(
        name, f"{number:016x}", 1, data_centre, f"10.1.0.{number % 250}:7000"
    )


def build(targets: int, peers: int, accounts: int = 380) -> instance_module.Instance:
    """Return an instance that knows the fleet, with ``peers`` in each data centre."""
    settings = instance_module.Settings(
        "dc0-i0",
        OWN_DATA_CENTRE,
        "r0",
        "127.0.0.1:0",
        "127.0.0.1:0",
        "127.0.0.1:1",
        "127.0.0.1:1",
        1_000,
        limits.Limits(),
    )
    ring = streams.KeyRing([b"measured"])
    instance = instance_module.Instance(settings, lambda: ring)
    entries = settings_entries(targets, accounts)
    instance.state.apply(state_module.Delta(0, len(entries), entries, snapshot=True))
    _add_members(instance, peers)
    _add_pool_notes(instance, peers)
    return instance


def _add_members(instance: instance_module.Instance, peers: int) -> None:
    now_ms = instance.clock.now_ms()
    remote = [
        results.Instance(one.name, one.data_centre, one.address)
        for site in range(1, DATA_CENTRES)
        for one in (identity(number, f"dc{site}") for number in range(peers))
    ]
    instance.node.set_listed(tuple(remote))
    members = tuple(peermessages.Member(identity(number)) for number in range(1, peers))
    for member in members:
        instance.node.membership.receive(peermessages.Heartbeat(member), now_ms)
    for site in range(1, DATA_CENTRES):
        instance.node.remotes.answered(identity(0, f"dc{site}"), now_ms)


def _add_pool_notes(instance: instance_module.Instance, peers: int) -> None:
    """Add a note and an ownership record for every pool."""
    now_ms = instance.clock.now_ms()
    records, notes = [], []
    first = instance.state.revision + 1
    pools = {one.pool_name: one.data_centre for one in instance.view.targets.values()}
    for number, (pool, data_centre) in enumerate(sorted(pools.items())):
        owner = identity(1 + number % max(1, peers - 2), data_centre)
        status = pooldirectory.PoolStatus(owner.name, 1, 20, 100, POOL_TARGETS, 0, 7)
        body = msgspec.msgpack.encode(status)
        notes.append(
            peermessages.Note(pooldirectory.TOPIC_PREFIX + pool, (1, 7), body, 500)
        )
        other = identity(2 + number % max(1, peers - 2), data_centre)
        members = [ownership.Member(one.name, one.boot) for one in (owner, other)]
        value = instance_module.ownerships.encode(ownership.Record(1, *members))
        key = instance_module.ownerships.KEY_PREFIX + pool
        records.append(state_module.Entry(key, first + number, value))
    instance.node.notes.merge(tuple(notes), now_ms)
    last = first + len(records)
    instance.state.apply(state_module.Delta(first - 1, last, tuple(records)))
    instance.ownerships.configure(instance._local_pools())


def placement_request(piece_count: int = 20) -> interfaces.PlacementRequest:
    """Return the placement request of a chat."""
    keys = tuple(f"{number:032x}" for number in range(piece_count))
    prompt = pieces.PromptPieces(keys, (1_000,) * piece_count, "ab" * 8)
    return interfaces.PlacementRequest("a1", "m0", 1, prompt, 300, 10_000)


class SettingsChange(typing.NamedTuple):
    """Applies one change to a settings item at each call."""

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
