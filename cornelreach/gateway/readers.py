"""Readers that apply each kind of the platform's records to the local copy."""

import typing

from cornelreach.gateway import allowances, beliefs as beliefs_module, hubs
from cornelreach.http import client as http_client
from cornelreach.platform import (
    client as platform_client,
    leases,
    records as records_module,
    results,
)
from cornelreach.util import timers

# A version may have been set long before this process started. The previous one is
# still allowed for a little less than the time of contact with the platform after which
# a started instance is held to the bounds (3,000 ms in current deployments).
START_GRACE_MS = 2_500.0
OLD_SHARE = 0.65  # of the bound; for the rest a request may be queued at an engine


class Reader:
    """Base class of the readers."""

    prefix = ""
    kind = ""

    def __init__(self, beliefs: beliefs_module.Beliefs, clock: timers.Timers) -> None:
        self.beliefs = beliefs
        self.clock = clock

    def listed(self, records: tuple[results.Record, ...], regained: bool) -> None:
        for record in records:
            self.changed(record)
        self.beliefs.synced.add(self.kind)

    def changed(self, record: results.Record) -> None:
        raise NotImplementedError

    def proved(self, at_ms: float) -> None:
        """Ignore the proof; only that of the configuration is used."""

    def regained(self) -> None:
        """Ignore the reconnection."""


class CatalogueReader(Reader):
    """Applies the configuration."""

    prefix = records_module.CONFIG
    kind = beliefs_module.CATALOGUE

    def __init__(
        self,
        beliefs: beliefs_module.Beliefs,
        clock: timers.Timers,
        applied: typing.Callable[[], None],
    ) -> None:
        super().__init__(beliefs, clock)
        self.applied = applied

    def changed(self, record: results.Record) -> None:
        if record.key != records_module.CONFIG_MAIN or record.value is None:
            return
        found = records_module.decode_catalogue(record)
        if found is not None and self.beliefs.apply_catalogue(found):
            self.applied()

    def proved(self, at_ms: float) -> None:
        if self.beliefs.catalogue is not None:
            self.beliefs.prove(at_ms)

    def regained(self) -> None:
        self.beliefs.roster.regained(self.clock.now_ms())


class TargetReader(Reader):
    """Applies the entries of targets."""

    prefix = records_module.TARGETS
    kind = beliefs_module.TARGETS

    def listed(self, records: tuple[results.Record, ...], regained: bool) -> None:
        super().listed(records, regained)
        names = {record.key.removeprefix(self.prefix) for record in records}
        self.beliefs.roster.replace(names, self.clock.now_ms())

    def changed(self, record: results.Record) -> None:
        now_ms = self.clock.now_ms()
        if record.value is None:
            name = record.key.removeprefix(self.prefix)
            self.beliefs.roster.remove(name, now_ms)
            return
        found = records_module.decode_target(record)
        if found is not None:
            self.beliefs.roster.put(found.target, found.cold_ms, now_ms)

    def regained(self) -> None:
        self.beliefs.roster.regained(self.clock.now_ms())


class EvacuationReader(Reader):
    """Applies the set of evacuated data centres, which get no more requests."""

    prefix = records_module.EVACUATIONS
    kind = beliefs_module.EVACUATIONS

    def listed(self, records: tuple[results.Record, ...], regained: bool) -> None:
        self.beliefs.evacuate(map(records_module.evacuated_zone, records))
        self.beliefs.synced.add(self.kind)

    def changed(self, record: results.Record) -> None:
        zone = records_module.evacuated_zone(record)
        held = self.beliefs.roster.evacuated
        self.beliefs.evacuate(held - {zone} if record.value is None else held | {zone})


class VersionReader(Reader):
    """Applies the desired version of each model's weights."""

    prefix = records_module.VERSIONS
    kind = beliefs_module.VERSIONS

    def __init__(
        self,
        beliefs: beliefs_module.Beliefs,
        clock: timers.Timers,
        version_ms: float,
    ) -> None:
        super().__init__(beliefs, clock)
        self.version_ms = version_ms

    def listed(self, records: tuple[results.Record, ...], regained: bool) -> None:
        first = self.kind not in self.beliefs.synced
        old_ms = START_GRACE_MS if first else self.version_ms * OLD_SHARE
        for record in records:
            self._apply(record, old_ms)
        self.beliefs.synced.add(self.kind)

    def changed(self, record: results.Record) -> None:
        self._apply(record, self.version_ms * OLD_SHARE)

    def _apply(self, record: results.Record, old_ms: float) -> None:
        if record.value is None:
            return
        found = records_module.decode_version(record)
        if found is not None:
            now_ms = self.clock.now_ms()
            self.beliefs.name_version(
                found.model, found.version, now_ms, now_ms + old_ms
            )


class FleetReader(Reader):
    """Applies the entries of instances: the fleet and its members' addresses."""

    prefix = platform_client.INSTANCES
    kind = "fleet"

    def __init__(
        self,
        beliefs: beliefs_module.Beliefs,
        clock: timers.Timers,
        members: dict[str, hubs.Member],
    ) -> None:
        super().__init__(beliefs, clock)
        self.members = members
        self._names: set[str] = {beliefs.name}

    def changed(self, record: results.Record) -> None:
        name = record.key.removeprefix(self.prefix)
        if record.value is None:
            self._names.discard(name)
            self.members.pop(name, None)
        else:
            self._names.add(name)
            self._add_member(name, record)
        names = tuple(sorted(self._names | {self.beliefs.name}))
        self.beliefs.fleet = allowances.Fleet(self.beliefs.name, names)

    def _add_member(self, name: str, record: results.Record) -> None:
        instance = platform_client.read_instance(record)
        if instance is not None:
            address = http_client.parse_address(instance.peer_address)
            self.members[name] = hubs.Member(
                address.host, address.port, instance.data_centre, instance.power
            )


class LeaseReader(Reader):
    """Tracks the leases, so that a contender knows how long one was not renewed."""

    prefix = leases.PREFIX
    kind = "leases"

    def __init__(
        self,
        beliefs: beliefs_module.Beliefs,
        clock: timers.Timers,
        lease: leases.Lease,
    ) -> None:
        super().__init__(beliefs, clock)
        self.lease = lease

    def changed(self, record: results.Record) -> None:
        if record.key == self.lease.key and record.value is not None:
            self.lease.observed(record, self.clock.now_ms())
