"""The state of a hub: aggregated loads of its own and the other data centres.

It does no I/O; ``Gossip`` passes received datagrams in and sends the results.
"""

import collections
import typing

from cornelreach.gateway import datagrams
from cornelreach.util import timers

KEPT_MS = 1_000.0  # validity of another data centre's digest
DEAD_MS = 2_500.0  # three intervals between the reports of an idle instance


class HasLoads(typing.Protocol):
    """A datagram that reports loads."""

    loads: typing.Mapping[str, datagrams.TargetLoad]
    closed: typing.Iterable[str]
    suspected: typing.Iterable[str]


class LoadSums:
    """Running totals over the reports of several instances."""

    def __init__(self) -> None:
        self.loads: dict[str, datagrams.TargetLoad] = {}
        self.closed: collections.Counter[str] = collections.Counter()
        self.suspected: collections.Counter[str] = collections.Counter()

    def add(self, report: HasLoads, sign: int = 1) -> None:
        """Add a report, or with a sign of -1 subtract it."""
        for target, load in report.loads.items():
            held = self.loads.get(target, datagrams.NO_LOAD)
            total = datagrams.TargetLoad(
                held[0] + sign * load[0],
                held[1] + sign * load[1],
                held[2] + sign * load[2],
            )
            if total == datagrams.NO_LOAD:
                self.loads.pop(target, None)
            else:
                self.loads[target] = total
        _count(self.closed, report.closed, sign)
        _count(self.suspected, report.suspected, sign)

    def set_load(self, target: str, load: datagrams.TargetLoad) -> None:
        """Replace the load of one target."""
        if load == datagrams.NO_LOAD:
            self.loads.pop(target, None)
        else:
            self.loads[target] = load

    def replace_names(self, report: HasLoads) -> None:
        """Replace the closed and the suspected targets by those of a report."""
        self.closed = collections.Counter(report.closed)
        self.suspected = collections.Counter(report.suspected)


def subtract(
    load: datagrams.TargetLoad, part: datagrams.TargetLoad
) -> datagrams.TargetLoad:
    """Return a load without a part of it."""
    return datagrams.TargetLoad(load[0] - part[0], load[1] - part[1], load[2] - part[2])


def changed_loads(
    before: typing.Mapping[str, datagrams.TargetLoad],
    after: typing.Mapping[str, datagrams.TargetLoad],
) -> dict[str, datagrams.TargetLoad]:
    """Return the loads that differ, with no load for targets that have none now."""
    changed = {
        target: load for target, load in after.items() if before.get(target) != load
    }
    gone = dict.fromkeys(before.keys() - after.keys(), datagrams.NO_LOAD)
    return changed | gone


def _count(
    counts: collections.Counter[str], names: typing.Iterable[str], sign: int
) -> None:
    for name in names:
        counts[name] += sign
        if not counts[name]:
            del counts[name]


class DigestAssembler:
    """Reassembles the parts of one sender's digests."""

    def __init__(self) -> None:
        self._boot = ""
        self._sequence = 0
        self._parts: dict[int, datagrams.Digest] = {}

    def add(self, part: datagrams.Digest) -> datagrams.Digest | None:
        """Return a digest once it is complete, or None; older ones are dropped."""
        same_boot = part.boot == self._boot
        if same_boot and part.sequence < self._sequence:
            return None
        if not same_boot or part.sequence > self._sequence:
            self._boot, self._sequence, self._parts = part.boot, part.sequence, {}
        self._parts[part.part] = part
        if len(self._parts) < part.parts or 0 not in self._parts:
            return None
        head = self._parts[0]
        if part.parts == 1:
            return head
        loads = {}
        for one in self._parts.values():
            loads.update(one.loads)
        return head._replace(loads=loads)


class ReceivedDigest(typing.NamedTuple):
    """A digest of another data centre and when it was received."""

    digest: datagrams.Digest
    at_ms: float


class HubState:
    """The state of a hub."""

    def __init__(self, clock: timers.Timers) -> None:
        self.clock = clock
        self._zones: dict[str, dict[str, ReceivedDigest]] = {}
        self._queue: list[tuple[datagrams.PromptStoreUpdate, float]] = []

    def store_digest(self, digest: datagrams.Digest) -> None:
        """Keep the digest of another data centre."""
        held = self._zones.setdefault(digest.zone, {})
        held[digest.hub] = ReceivedDigest(digest, self.clock.now_ms())

    def apply_update(self, update: datagrams.DigestUpdate) -> bool:
        """Apply an update to the digest that its sender sent before, if it is newer."""
        held = self._zones.get(update.zone, {}).get(update.hub)
        if held is None or held.digest.boot != update.boot:
            return False
        if update.sequence < held.digest.sequence:  # parts of one update share theirs
            return False
        sums = LoadSums()
        sums.loads = dict(held.digest.loads)
        for target, load in update.loads.items():
            sums.set_load(target, load)
        digest = held.digest._replace(
            sequence=update.sequence,
            members=update.members,
            loads=sums.loads,
            closed=update.closed,
            suspected=update.suspected,
        )
        self.store_digest(digest)
        return True

    def zone_digests(self) -> list[datagrams.Digest]:
        """Return the latest digest of each other data centre, if recent enough.

        If two hubs of one data centre send digests, the one that more instances use is
        taken.
        """
        oldest_ms = self.clock.now_ms() - KEPT_MS
        found = []
        for zone, held in self._zones.items():
            fresh = {hub: one for hub, one in held.items() if one.at_ms >= oldest_ms}
            self._zones[zone] = fresh
            if fresh:
                digests = [one.digest for one in fresh.values()]
                found.append(max(digests, key=lambda one: (one.members, one.hub)))
        return found

    def queue_update(self, update: datagrams.PromptStoreUpdate) -> None:
        """Queue an update of a store until the next bundle."""
        self._queue.append((update, self.clock.now_ms()))

    def take_updates(self) -> list[datagrams.PromptStoreUpdate]:
        """Return and clear the queued updates, their ages increased by the wait."""
        now_ms = self.clock.now_ms()
        found = [
            one._replace(age_ms=one.age_ms + now_ms - at_ms)
            for one, at_ms in self._queue
        ]
        self._queue.clear()
        return found
