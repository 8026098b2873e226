"""Handlers that apply the platform's records to the mirror, one for each kind."""

import abc
import asyncio
import typing

from cornelreach.gateway import (
    hubs,
    mirror as mirror_module,
    quarantine as quarantine_module,
    quotas,
    releases as releases_module,
    softwareversions,
)
from cornelreach.http import client as http_client
from cornelreach.platform import (
    client as platform_client,
    leases,
    quarantines,
    records as records_module,
    releases as platform_releases,
    results,
    software,
)
from cornelreach.util import decoding, events, guards, timers

RECORDS_A_TURN = 64  # some 15 us each
RESTORE_GRACE_MS = 10_000.0  # for the operator to write again what a copy lacks
# Shares of the bound from the reading of a new version and from the last proof without
# it; for the rest a request may be queued at an engine.
OLD_SHARE = 0.65
PROVED_OLD_SHARE = 0.75

OLD_WEIGHTS = events.define(
    2104,
    "INFO",
    "Version {version} of {model} was not set {unset_ms} ms ago; for {old_ms} ms more "
    "prompts may begin on older ones.",
    "Nothing; unset_ms is empty if this instance has just started.",
)


class BaseHandler(abc.ABC):
    """Base class of the handlers."""

    prefix = ""
    kind = ""

    def __init__(self, mirror: mirror_module.Mirror, clock: timers.Timers) -> None:
        self.mirror = mirror
        self.clock = clock

    async def on_list(
        self, records: tuple[results.Record, ...], reconnected: bool
    ) -> None:
        """Apply a full list, in several turns of the event loop if it is long."""
        for number, record in enumerate(records, 1):
            guards.call(self.on_change, record)
            if number % RECORDS_A_TURN == 0:
                await asyncio.sleep(0)
        self.mirror.synced.add(self.kind)

    @abc.abstractmethod
    def on_change(self, record: results.Record) -> None:
        """Apply one changed record; its value is None if it was deleted."""

    def on_proof(self, at_ms: float) -> None:
        """Ignore the proof; only that of the configuration is used."""
        return

    def on_restore(self) -> None:
        """Ignore that the next list comes from an older copy of the records."""
        return


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

    def on_change(self, record: results.Record) -> None:
        if record.key != records_module.CONFIG_MAIN or record.value is None:
            return
        found = records_module.decode_catalogue(record)
        if found is not None and self.mirror.apply_catalogue(found):
            self.applied()

    def on_proof(self, at_ms: float) -> None:
        if self.mirror.catalogue is not None:
            self.mirror.record_proof(at_ms)

    def on_restore(self) -> None:
        self.mirror.registry.record_reconnect(self.clock.now_ms())


class TargetHandler(BaseHandler):
    """Applies the entries of targets."""

    prefix = records_module.TARGETS
    kind = mirror_module.TARGETS

    async def on_list(
        self, records: tuple[results.Record, ...], reconnected: bool
    ) -> None:
        await super().on_list(records, reconnected)
        names = {record.key.removeprefix(self.prefix) for record in records}
        self.mirror.registry.replace(names, self.clock.now_ms())

    def on_change(self, record: results.Record) -> None:
        now_ms = self.clock.now_ms()
        if record.value is None:
            name = record.key.removeprefix(self.prefix)
            self.mirror.registry.remove(name, now_ms)
            return
        found = records_module.decode_target(record)
        if found is not None:
            self.mirror.registry.put(found.target, found.cold_ms, now_ms)
            return
        # It names no target to use, whatever it said before.
        self.mirror.registry.drop(record.key.removeprefix(self.prefix), now_ms)

    def on_restore(self) -> None:
        self.mirror.registry.record_restore(self.clock.now_ms())


class EvacuationHandler(BaseHandler):
    """Applies the set of evacuated data centres, which get no more requests.

    An evacuation that is missing from an older copy of the records stays in force until
    the operator has had time to write it again.
    """

    prefix = records_module.EVACUATIONS
    kind = mirror_module.EVACUATIONS

    def __init__(self, mirror: mirror_module.Mirror, clock: timers.Timers) -> None:
        super().__init__(mirror, clock)
        self._unconfirmed: set[str] = set()
        self._unconfirmed_until_ms = 0.0

    def on_restore(self) -> None:
        self._unconfirmed = set(self.mirror.registry.evacuated)
        self._unconfirmed_until_ms = self.clock.now_ms() + RESTORE_GRACE_MS

    async def on_list(
        self, records: tuple[results.Record, ...], reconnected: bool
    ) -> None:
        listed = set(map(records_module.evacuated_zone, records))
        self._unconfirmed -= listed
        self.mirror.set_evacuated(listed | self._unconfirmed)
        self.mirror.synced.add(self.kind)

    def on_proof(self, at_ms: float) -> None:
        if self._unconfirmed and at_ms >= self._unconfirmed_until_ms:
            held = self.mirror.registry.evacuated - self._unconfirmed
            self._unconfirmed = set()
            self.mirror.set_evacuated(held)

    def on_change(self, record: results.Record) -> None:
        zone = records_module.evacuated_zone(record)
        self._unconfirmed.discard(zone)
        held = self.mirror.registry.evacuated
        self.mirror.set_evacuated(
            held - {zone} if record.value is None else held | {zone}
        )


class VersionHandler(BaseHandler):
    """Applies the desired version of each model's weights.

    The time for which prompts may begin on older ones counts from the last moment at
    which the version is known not to have been set, however late it is read. Where that
    is more than ``contact_ms`` ago, or not known, this instance had no contact with the
    platform for so long, and is held to the bound only after being in contact again for
    as long: they are allowed for a part of that.
    """

    prefix = records_module.VERSIONS
    kind = mirror_module.VERSIONS

    def __init__(
        self,
        mirror: mirror_module.Mirror,
        clock: timers.Timers,
        version_ms: float,
        contact_ms: float,
    ) -> None:
        super().__init__(mirror, clock)
        self.version_ms = version_ms
        self.contact_ms = contact_ms
        self._started_ms = clock.now_ms()
        self._proved_ms: float | None = None

    def on_proof(self, at_ms: float) -> None:
        self._proved_ms = max(at_ms, self._proved_ms or at_ms)

    def on_change(self, record: results.Record) -> None:
        if record.value is None:
            return
        found = records_module.decode_version(record)
        if found is None:
            return
        now_ms, old_until_ms = self.clock.now_ms(), self._old_until_ms()
        if self.mirror.set_version(found.model, found.version, now_ms, old_until_ms):
            self._log(found, now_ms, old_until_ms)

    def _old_until_ms(self) -> float:
        contact_share_ms = self.contact_ms * OLD_SHARE
        if self._proved_ms is None:
            return self._started_ms + contact_share_ms
        now_ms = self.clock.now_ms()
        until_ms = min(
            now_ms + self.version_ms * OLD_SHARE,
            self._proved_ms + self.version_ms * PROVED_OLD_SHARE,
        )
        if now_ms - self._proved_ms < self.contact_ms:
            return until_ms
        return max(until_ms, now_ms + contact_share_ms)

    def _log(
        self, found: records_module.ModelVersion, now_ms: float, old_until_ms: float
    ) -> None:
        unset_ms = None if self._proved_ms is None else round(now_ms - self._proved_ms)
        events.emit(
            OLD_WEIGHTS,
            model=found.model,
            version=found.version,
            unset_ms=unset_ms,
            old_ms=max(0, round(old_until_ms - now_ms)),
        )


class FleetHandler(BaseHandler):
    """Applies the entries of instances: the fleet and its members' addresses.

    ``register_again`` is called if an older copy of the records lacks this instance, or
    any list does after ``is_registered``: a process may have found the entry of the one
    before it just before the store came back from a copy.
    """

    prefix = platform_client.INSTANCES
    kind = mirror_module.FLEET

    def __init__(
        self,
        mirror: mirror_module.Mirror,
        clock: timers.Timers,
        members: dict[str, hubs.Member],
        register_again: typing.Callable[[], None] = lambda: None,
        is_registered: typing.Callable[[], bool] = lambda: False,
    ) -> None:
        super().__init__(mirror, clock)
        self.members = members
        self.register_again = register_again
        self.is_registered = is_registered
        self._names: set[str] = {mirror.name}
        self._restored = False

    def on_restore(self) -> None:
        self._restored = True

    async def on_list(
        self, records: tuple[results.Record, ...], reconnected: bool
    ) -> None:
        # Entries that an older copy lacks are kept: their instances write them again.
        await super().on_list(records, reconnected)
        listed = {record.key.removeprefix(self.prefix) for record in records}
        is_expected = self._restored or self.is_registered()
        if is_expected and self.mirror.name not in listed:
            self.register_again()
        self._restored = False

    def on_change(self, record: results.Record) -> None:
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
        if instance is None or not decoding.is_address(instance.peer_address):
            self.members.pop(name, None)
            return
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

    def on_change(self, record: results.Record) -> None:
        if record.key == self.lease.key and record.value is not None:
            self.lease.on_watch(record, self.clock.now_ms())


class QuarantineHandler(BaseHandler):
    """Applies the entries of quarantined prompt parts."""

    prefix = quarantines.PREFIX
    kind = "quarantines"

    def __init__(
        self,
        mirror: mirror_module.Mirror,
        clock: timers.Timers,
        quarantine: quarantine_module.Quarantine,
    ) -> None:
        super().__init__(mirror, clock)
        self.quarantine = quarantine

    def on_restore(self) -> None:
        # Entries that the copy lacks are written again.
        self.quarantine.forget_entries()

    async def on_list(
        self, records: tuple[results.Record, ...], reconnected: bool
    ) -> None:
        await super().on_list(records, reconnected)
        listed = {record.key.removeprefix(self.prefix) for record in records}
        for part, held in list(self.quarantine.held.items()):
            if part not in listed and held.version is not None:
                self.quarantine.remove_entry(part)

    def on_change(self, record: results.Record) -> None:
        part = record.key.removeprefix(self.prefix)
        if record.value is None:
            self.quarantine.remove_entry(part)
        else:
            trials = quarantines.read_trials(record)
            self.quarantine.apply_entry(part, record.version, trials)


class SoftwareHandler(BaseHandler):
    """Applies the entries of the software versions of each service."""

    prefix = software.PREFIX
    kind = mirror_module.SOFTWARE

    def __init__(
        self,
        mirror: mirror_module.Mirror,
        clock: timers.Timers,
        versions: softwareversions.SoftwareVersions,
    ) -> None:
        super().__init__(mirror, clock)
        self.versions = versions

    def on_restore(self) -> None:
        # Entries that the copy lacks are written again.
        self.versions.forget_revisions()

    def on_change(self, record: results.Record) -> None:
        service = record.key.removeprefix(self.prefix)
        if record.value is None:
            self.versions.remove_entry(service)
        else:
            versions = software.read_versions(record)
            self.versions.apply_entry(service, versions, record.version)


class ReleaseHandler(BaseHandler):
    """Applies the orders of software rollouts.

    An order that is missing from an older copy of the records stays in force until its
    operator has had time to write it again.
    """

    prefix = platform_releases.PREFIX
    kind = "rollouts"

    def __init__(
        self,
        mirror: mirror_module.Mirror,
        clock: timers.Timers,
        releases: releases_module.Releases,
    ) -> None:
        super().__init__(mirror, clock)
        self.releases = releases
        self._unconfirmed: set[str] = set()
        self._unconfirmed_until_ms = 0.0

    def on_restore(self) -> None:
        self._unconfirmed = self.releases.orders()
        self._unconfirmed_until_ms = self.clock.now_ms() + RESTORE_GRACE_MS

    async def on_list(
        self, records: tuple[results.Record, ...], reconnected: bool
    ) -> None:
        is_first = self.kind not in self.mirror.synced
        listed = {record.key.removeprefix(self.prefix) for record in records}
        for record in records:
            guards.call(
                lambda one: self.releases.apply_record(one, is_first=is_first), record
            )
        self._unconfirmed -= listed
        for service in self.releases.orders() - listed - self._unconfirmed:
            self.releases.withdraw(service, "it is not listed any more")
        self.mirror.synced.add(self.kind)

    def on_proof(self, at_ms: float) -> None:
        if self._unconfirmed and at_ms >= self._unconfirmed_until_ms:
            missing, self._unconfirmed = self._unconfirmed, set()
            for service in missing:
                self.releases.withdraw(service, "a copy of the records lacks it")
        self.releases.record_proof(at_ms)

    def on_change(self, record: results.Record) -> None:
        self._unconfirmed.discard(record.key.removeprefix(self.prefix))
        self.releases.apply_record(record)
