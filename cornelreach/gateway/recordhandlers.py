"""Handlers that apply each kind of the platform's records to the local copy."""

import typing

from cornelreach.gateway import hubs, mirror as mirror_module, quotas
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


class BaseHandler:
    """Base class of the handlers."""

    prefix = ""
    kind = ""

    def __init__(self, mirror: mirror_module.Mirror, clock: timers.Timers) -> None:
        self.mirror = mirror
        self.clock = clock

    def listed(self, records: tuple[results.Record, ...], regained: bool) -> None:
        for record in records:
            self.changed(record)
        self.mirror.synced.add(self.kind)

    def changed(self, record: results.Record) -> None:
        raise NotImplementedError

    def proved(self, at_ms: float) -> None:
        """Ignore the proof; only that of the configuration is used."""

    def regained(self) -> None:
        """Ignore the reconnection."""


class CatalogueHandler(BaseHandler):
    """Applies the configuration."""

    prefix = records_module.CONFIG
    kind = mirror_module.CATALOGUE

    def __init__(
        self,
        mirror: mirror_module.Mirror,
        clock: timers.Timers,
        applied: typing.Callable[[], None],
    ) -> None:
        super().__init__(mirror, clock)
        self.applied = applied

    def changed(self, record: results.Record) -> None:
        if record.key != records_module.CONFIG_MAIN or record.value is None:
            return
        found = records_module.decode_catalogue(record)
        if found is not None and self.mirror.apply_catalogue(found):
            self.applied()

    def proved(self, at_ms: float) -> None:
        if self.mirror.catalogue is not None:
            self.mirror.prove(at_ms)

    def regained(self) -> None:
        self.mirror.registry.regained(self.clock.now_ms())


class TargetHandler(BaseHandler):
    """Applies the entries of targets."""

    prefix = records_module.TARGETS
    kind = mirror_module.TARGETS

    def listed(self, records: tuple[results.Record, ...], regained: bool) -> None:
        super().listed(records, regained)
        names = {record.key.removeprefix(self.prefix) for record in records}
        self.mirror.registry.replace(names, self.clock.now_ms())

    def changed(self, record: results.Record) -> None:
        now_ms = self.clock.now_ms()
        if record.value is None:
            name = record.key.removeprefix(self.prefix)
            self.mirror.registry.remove(name, now_ms)
            return
        found = records_module.decode_target(record)
        if found is not None:
            self.mirror.registry.put(found.target, found.cold_ms, now_ms)

    def regained(self) -> None:
        self.mirror.registry.regained(self.clock.now_ms())


class EvacuationHandler(BaseHandler):
    """Applies the set of evacuated data centres, which get no more requests."""

    prefix = records_module.EVACUATIONS
    kind = mirror_module.EVACUATIONS

    def listed(self, records: tuple[results.Record, ...], regained: bool) -> None:
        self.mirror.evacuate(map(records_module.evacuated_zone, records))
        self.mirror.synced.add(self.kind)

    def changed(self, record: results.Record) -> None:
        zone = records_module.evacuated_zone(record)
        held = self.mirror.registry.evacuated
        self.mirror.evacuate(held - {zone} if record.value is None else held | {zone})


class VersionHandler(BaseHandler):
    """Applies the desired version of each model's weights."""

    prefix = records_module.VERSIONS
    kind = mirror_module.VERSIONS

    def __init__(
        self,
        mirror: mirror_module.Mirror,
        clock: timers.Timers,
        version_ms: float,
    ) -> None:
        super().__init__(mirror, clock)
        self.version_ms = version_ms

    def listed(self, records: tuple[results.Record, ...], regained: bool) -> None:
        first = self.kind not in self.mirror.synced
        old_ms = START_GRACE_MS if first else self.version_ms * OLD_SHARE
        for record in records:
            self._apply(record, old_ms)
        self.mirror.synced.add(self.kind)

    def changed(self, record: results.Record) -> None:
        self._apply(record, self.version_ms * OLD_SHARE)

    def _apply(self, record: results.Record, old_ms: float) -> None:
        if record.value is None:
            return
        found = records_module.decode_version(record)
        if found is not None:
            now_ms = self.clock.now_ms()
            self.mirror.name_version(
                found.model, found.version, now_ms, now_ms + old_ms
            )


class FleetHandler(BaseHandler):
    """Applies the entries of instances: the fleet and its members' addresses."""

    prefix = platform_client.INSTANCES
    kind = "fleet"

    def __init__(
        self,
        mirror: mirror_module.Mirror,
        clock: timers.Timers,
        members: dict[str, hubs.Member],
    ) -> None:
        super().__init__(mirror, clock)
        self.members = members
        self._names: set[str] = {mirror.name}

    def changed(self, record: results.Record) -> None:
        name = record.key.removeprefix(self.prefix)
        if record.value is None:
            self._names.discard(name)
            self.members.pop(name, None)
        else:
            self._names.add(name)
            self._add_member(name, record)
        names = tuple(sorted(self._names | {self.mirror.name}))
        self.mirror.fleet = quotas.Fleet(self.mirror.name, names)

    def _add_member(self, name: str, record: results.Record) -> None:
        instance = platform_client.read_instance(record)
        if instance is not None:
            address = http_client.parse_address(instance.peer_address)
            self.members[name] = hubs.Member(
                address.host, address.port, instance.data_centre, instance.power
            )


class LeaseHandler(BaseHandler):
    """Tracks the leases, so that a contender knows how long one was not renewed."""

    prefix = leases.PREFIX
    kind = "leases"

    def __init__(
        self,
        mirror: mirror_module.Mirror,
        clock: timers.Timers,
        lease: leases.Lease,
    ) -> None:
        super().__init__(mirror, clock)
        self.lease = lease

    def changed(self, record: results.Record) -> None:
        if record.key == self.lease.key and record.value is not None:
            self.lease.on_watch(record, self.clock.now_ms())
