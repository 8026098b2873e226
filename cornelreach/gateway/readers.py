"""Readers of each kind of the platform's records into an instance's beliefs."""

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

# A version that was named before this process began may be old already; the old one
# is borne for somewhat less than a started machine is not yet held to any bound.
START_GRACE_MS = 2_500.0
OLD_SHARE = 0.65  # of the bound; a request may wait in an engine's queue for the rest


class Reader:
    """What the readers share."""

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
        """Take no note: only the configuration's proof is asked for."""

    def regained(self) -> None:
        """Take no note."""


class CatalogueReader(Reader):
    """The configuration."""

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
    """The entries of targets."""

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
    """The data centres that nothing more is sent to."""

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
    """The versions of weights that models are to have."""

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
            self._name(record, old_ms)
        self.beliefs.synced.add(self.kind)

    def changed(self, record: results.Record) -> None:
        self._name(record, self.version_ms * OLD_SHARE)

    def _name(self, record: results.Record, old_ms: float) -> None:
        if record.value is None:
            return
        found = records_module.decode_version(record)
        if found is not None:
            now_ms = self.clock.now_ms()
            self.beliefs.name_version(
                found.model, found.version, now_ms, now_ms + old_ms
            )


class FleetReader(Reader):
    """The instances that ever registered."""

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
            self._locate(name, record)
        names = tuple(sorted(self._names | {self.beliefs.name}))
        self.beliefs.fleet = allowances.Fleet(self.beliefs.name, names)

    def _locate(self, name: str, record: results.Record) -> None:
        instance = platform_client.read_instance(record)
        if instance is not None:
            where = http_client.parse_address(instance.peer_address)
            self.members[name] = hubs.Member(
                where.host, where.port, instance.data_centre, instance.power
            )


class LeaseReader(Reader):
    """The leases, so that a contender knows how long one has stood still."""

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
