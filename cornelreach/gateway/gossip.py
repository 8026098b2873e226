"""Exchange of each instance's load on each target, by datagrams.

Each instance reports its requests in progress and the prompt tokens among them that are
still to prefill, a few times a second and immediately after it sends a prompt. In a
small fleet it reports to every other instance, in a larger one to the hubs of its data
centre, which send aggregates. Every report is complete, so the next one makes up for a
lost datagram; the last report of a peer that falls silent expires after a short time.
The rate of datagrams is bounded for each instance::

    loads = gossip.peer_load("engine-1")
"""

import asyncio
import collections
import contextlib
import typing

import msgspec

from cornelreach.gateway import (
    datagrams,
    hubs as hubs_module,
    registry as registry_module,
    relays,
)
from cornelreach.util import decoding, events, hashing, timers

DATAGRAMS_PER_S = 500.0
PERIODIC_SHARE = 0.4  # of the rate; the rest is for reports right after a prompt
BURST_ROUNDS = 4
MIN_INTERVAL_MS = 150.0
ALIVE_MS = 800.0  # the interval of an idle instance's reports
FORGET_INTERVALS = 6
MIN_FORGET_MS = 700.0
REPORT_MS = 2_500.0  # by then the platform's list shows the new version
HUB_DATAGRAMS_PER_S = 2_000.0
DIGEST_MS = 40.0
SLOW_DIGEST_MS = 250.0  # to those that use another hub, and if nothing changed
WHOLE_DIGEST_MS = 500.0  # between two digests of all loads, not only of changes
IDLE_HUB_MS = 1_000.0
KEPT_REPORTS = 256
MAX_FIRST_SEQUENCE = 1 << 24
BUNDLE_MS = 100.0

UNREADABLE = events.define(
    2501,
    "WARNING",
    "A datagram from {address} cannot be decoded: {error}.",
    "If it repeats: find out what else sends to this port.",
)
TOO_LONG = events.define(
    2502,
    "WARNING",
    "A datagram of {length} bytes exceeds the limit and was not sent.",
    "Report it with the log line.",
)
HUB_CHANGED = events.define(
    2503, "INFO", "Loads of other instances now come from {hub}.", "Nothing."
)


Kind = typing.TypeVar("Kind")
DatagramHandler = typing.Callable[[Kind], None]


def _ignore(datagram: datagrams.Datagram | datagrams.PromptStoreUpdate) -> None:
    """Ignore the datagram; the default until a handler is set."""


class Reported(typing.NamedTuple):
    """Model versions that a target reported, and when."""

    versions: dict[str, int]
    at_ms: float


class Leaving(typing.NamedTuple):
    """The lifetime of a target that said it leaves, and when that was learned."""

    born_ms: int
    at_ms: float


class Peer(typing.NamedTuple):
    """The last report of a peer; ``counted`` while its loads are in the sums."""

    report: datagrams.LoadReport
    at_ms: float
    counted: bool


class Gossip(asyncio.DatagramProtocol):
    """Sends this instance's loads and tracks those of its peers."""

    def __init__(
        self,
        name: str,
        boot: str,
        registry: registry_module.TargetRegistry,
        clock: timers.Timers,
        zone: str = "",
    ) -> None:
        self.name = name
        self.boot = boot
        self.zone = zone
        self.registry = registry
        self.clock = clock
        self.members: dict[str, hubs_module.Member] = {}
        self.hubs = hubs_module.Hubs(name, zone, self.members, clock)
        self.hub_state = relays.HubState(clock)
        self.peers: dict[str, Peer] = {}
        self.closed: set[str] = set()
        self.on_prompt_store_update: DatagramHandler[datagrams.PromptStoreUpdate] = (
            _ignore
        )
        self.is_cut_off: typing.Callable[[], bool] = lambda: False
        self.on_role_change: typing.Callable[[], None] = lambda: None
        self.on_freshness_query: DatagramHandler[datagrams.FreshnessQuery] = _ignore
        self.on_freshness_reply: DatagramHandler[datagrams.FreshnessReply] = _ignore
        self.on_record_changes: DatagramHandler[datagrams.RecordChanges] = _ignore
        self.handlers: dict[type, typing.Callable[[typing.Any], None]] = {}
        self.report_sources: list[
            typing.Callable[[], typing.Iterable[datagrams.Datagram]]
        ] = []
        self._sums = relays.LoadSums()
        self._digest_sums = relays.LoadSums()
        self._digest_ms = 0.0
        self._digest_position = ("", "", 0)
        self._reported_loads: collections.OrderedDict[
            int, dict[str, datagrams.TargetLoad]
        ] = collections.OrderedDict()
        self._last_sums: dict[str, relays.LoadSums] = {}
        self._report_received = asyncio.Event()
        self._combined = relays.LoadSums()
        self._revision = 1  # of the peers' reports and of the prompts sent here
        self._combined_revision = 0
        self._digest_revision = 0
        self._hub = name
        self._assemblers: dict[tuple[str, bool], relays.DigestAssembler] = {}
        self._versions: dict[str, Reported] = {}
        self._leaving: dict[str, Leaving] = {}
        # Another boot must not reuse the numbers that hubs still acknowledge.
        self._sequence = hashing.name_hash(boot) % MAX_FIRST_SEQUENCE
        self._datagram_tokens = 0.0
        self._tokens_ms = clock.now_ms()
        self._broadcast_ms = 0.0
        self._was_idle = False
        self._round_sent = 0
        self._next_due_ms: dict[str, float] = {}
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            found = datagrams.decode(data)
        except decoding.DECODE_ERRORS as error:
            events.emit(UNREADABLE, address=address[0], error=str(error))
            return
        match found:
            case datagrams.LoadReport():
                self.apply_report(found)
            case datagrams.Digest():
                self.apply_digest(found)
            case datagrams.DigestUpdate():
                self.apply_update(found)
            case datagrams.VersionReport():
                self.apply_version_report(found)
            case datagrams.LeavingReport():
                self.apply_leaving_report(found)
            case datagrams.Bundle(_, updates):
                for update in updates:
                    self.on_prompt_store_update(update)
            case _:
                self._pass_on(found)

    def _pass_on(self, found: datagrams.Datagram) -> None:
        match found:
            case datagrams.FreshnessQuery():
                self.on_freshness_query(found)
            case datagrams.FreshnessReply():
                self.on_freshness_reply(found)
            case datagrams.RecordChanges():
                self.on_record_changes(found)
            case _:
                self.handlers.get(type(found), _ignore)(found)

    def error_received(self, error: OSError) -> None:
        """Ignore it: a peer that is down gets the next reports when it is back."""

    # Reports of others.

    def apply_report(self, report: datagrams.LoadReport) -> None:
        """Apply a peer's report, unless a newer one was applied before."""
        held = self.peers.get(report.name)
        same_boot = held is not None and held.report.boot == report.boot
        if same_boot and held.report.sequence >= report.sequence:
            return
        if held is not None and held.counted:
            self._sums.add(held.report, -1)
        self._sums.add(report)
        self._revision += 1
        self._report_received.set()
        self.peers[report.name] = Peer(report, self.clock.now_ms(), True)

    def apply_version_report(self, reports: datagrams.VersionReport) -> None:
        """Apply reported model versions; in a larger fleet, pass new ones on."""
        for target, versions in reports.versions.items():
            if self.registry.learn_versions(target, versions) and self.hubs.is_needed():
                self._versions[target] = Reported(versions, self.clock.now_ms())

    def apply_leaving_report(self, report: datagrams.LeavingReport) -> None:
        """Close targets that leave; in a larger fleet, pass new ones on."""
        for target, born_ms in report.targets.items():
            if self.registry.mark_leaving(target, born_ms) and self.hubs.is_needed():
                self._leaving[target] = Leaving(born_ms, self.clock.now_ms())

    def report_leaving(self, target: str, born_ms: int) -> None:
        """Close a target that said it leaves, and tell the peers."""
        if self.registry.mark_leaving(target, born_ms):
            self._leaving[target] = Leaving(born_ms, self.clock.now_ms())

    def _recent_leaving(self) -> dict[str, int]:
        oldest_ms = self.clock.now_ms() - REPORT_MS
        self._leaving = {
            name: one for name, one in self._leaving.items() if one.at_ms >= oldest_ms
        }
        return {name: one.born_ms for name, one in self._leaving.items()}

    def _target_reports(self) -> list[datagrams.Datagram]:
        """Return reports of versions and departures learned of recently."""
        return [
            *datagrams.version_reports(self.name, self._recent_versions()),
            *datagrams.leaving_reports(self.name, self._recent_leaving()),
        ]

    def _source_reports(self) -> list[datagrams.Datagram]:
        return [one for source in self.report_sources for one in source()]

    def send_source_reports(self) -> None:
        """Send what the sources have to tell, once in each period."""
        reports = self._source_reports()
        receivers = self._receivers() if reports else ()
        for one in reports:
            self.send(one, receivers)

    def apply_digest(self, part: datagrams.Digest) -> None:
        """Apply one part of a hub's digest."""
        self.hubs.record_digest(part.hub)
        sender = (part.hub, bool(part.zone))
        assembler = self._assemblers.setdefault(sender, relays.DigestAssembler())
        digest = assembler.add(part)
        if digest is None:
            return
        if digest.zone:
            self.hub_state.store_digest(digest)
            self._revision += 1
            return
        self._update_hub()
        position = (digest.hub, digest.boot, digest.sequence)
        if digest.hub == self._hub and not self._is_outdated(position):
            self._digest_sums = relays.LoadSums()
            self._digest_sums.add(digest)
            own = self._reported_loads.get(digest.acknowledged, {})
            self._digest_sums.add(datagrams.LoadReport("", "", 0, own), -1)
            self._digest_position = position
            self._digest_ms = self.clock.now_ms()

    def _is_outdated(self, position: tuple[str, str, int]) -> bool:
        """Return whether a newer digest or update of the same hub was applied."""
        hub, boot, sequence = self._digest_position
        return position[:2] == (hub, boot) and position[2] < sequence

    def apply_update(self, update: datagrams.DigestUpdate) -> None:
        """Apply the loads that have changed since a hub's last digest."""
        self.hubs.record_digest(update.hub)
        if update.zone:
            if self.hub_state.apply_update(update):
                self._revision += 1
            return
        self._update_hub()
        position = (update.hub, update.boot, update.sequence)
        followed = self._digest_position[:2] == position[:2]
        if update.hub != self._hub or not followed or self._is_outdated(position):
            return
        own = self._reported_loads.get(update.acknowledged, {})
        for target, load in update.loads.items():
            others = relays.subtract(load, own.get(target, datagrams.NO_LOAD))
            self._digest_sums.set_load(target, others)
        self._digest_sums.replace_names(update)
        self._digest_position = position
        self._digest_ms = self.clock.now_ms()

    def _update_hub(self) -> None:
        found = self.hubs.followed_hub() if self.hubs.is_needed() else self.name
        if found != self._hub:
            self._hub = found
            events.emit(HUB_CHANGED, hub=found)
            self.on_role_change()

    def expire(self) -> None:
        """Drop the loads of peers and hubs that have fallen silent."""
        now_ms = self.clock.now_ms()
        oldest_ms = now_ms - self.forget_ms()
        for name, peer in self.peers.items():
            if peer.counted and peer.at_ms < oldest_ms:
                self._sums.add(peer.report, -1)
                self.peers[name] = peer._replace(counted=False)
                self._revision += 1
        if self._digest_ms < oldest_ms:
            self._digest_sums = relays.LoadSums()
        self._update_hub()

    def forget_ms(self) -> float:
        """Return how long the report of a peer stays valid."""
        return max(MIN_FORGET_MS, FORGET_INTERVALS * self.interval_ms())

    # What is known of others.

    def _current_sums(self) -> relays.LoadSums:
        if not self.hubs.is_needed():
            return self._sums
        return self._combined_sums() if self._hub == self.name else self._digest_sums

    def _combined_sums(self) -> relays.LoadSums:
        """Return a hub's totals over all other instances, in all data centres."""
        if self._combined_revision != self._revision:
            self._combined_revision = self._revision
            self._combined = relays.LoadSums()
            self._combined.add(self._sums)
            for digest in self.hub_state.zone_digests():
                self._combined.add(digest)
        return self._combined

    def peer_load(self, target: str) -> datagrams.TargetLoad:
        """Return the total load of all peers on a target."""
        return self._current_sums().loads.get(target, datagrams.NO_LOAD)

    def peer_loads(self) -> typing.Mapping[str, datagrams.TargetLoad]:
        """Return the total loads of all peers; targets without load are left out."""
        return self._current_sums().loads

    def closed_targets(self) -> typing.Container[str]:
        """Return the targets that some instance has closed for a rollout order."""
        closed = self._current_sums().closed
        return self.closed.union(closed) if closed else self.closed

    def suspected_targets(self) -> typing.Container[str]:
        """Return the targets that some peer gets no answer from."""
        return self._current_sums().suspected

    def is_closed(self, target: str) -> bool:
        """Return whether an instance has closed a target for a rollout order."""
        return target in self.closed_targets()

    def is_suspected(self, target: str) -> bool:
        """Return whether some peer gets no answer from a target."""
        return target in self.suspected_targets()

    def _live_peers(self) -> list[str]:
        oldest_ms = self.clock.now_ms() - relays.DEAD_MS
        return [name for name, peer in self.peers.items() if peer.at_ms >= oldest_ms]

    def live_instances(self) -> list[str]:
        """Return the names of this instance and of those it heard from recently."""
        return [self.name, *self._live_peers()]

    def is_hub(self) -> bool:
        """Return whether this instance acts as a hub of its data centre."""
        return self.hubs.is_needed() and self._hub == self.name

    def is_relay(self) -> bool:
        """Return whether other instances report to this one as their hub."""
        return self.hubs.is_needed() and bool(self._reporters())

    def report_versions(self, target: str, versions: dict[str, int]) -> None:
        """Apply the versions that a target reported, and send them to the peers."""
        self.registry.learn_versions(target, versions)
        self._versions[target] = Reported(versions, self.clock.now_ms())

    def _recent_versions(self) -> dict[str, dict[str, int]]:
        oldest_ms = self.clock.now_ms() - REPORT_MS
        for target in [
            name for name, one in self._versions.items() if one.at_ms < oldest_ms
        ]:
            del self._versions[target]
        return {name: one.versions for name, one in self._versions.items()}

    # Reports of this instance.

    def interval_ms(self) -> float:
        """Return the time between two rounds of reports."""
        per_s = DATAGRAMS_PER_S * PERIODIC_SHARE
        return max(MIN_INTERVAL_MS, self._round_size() / per_s * 1_000)

    def _round_size(self) -> int:
        if self.hubs.is_needed():
            return hubs_module.HUB_COUNT
        return max(1, len(self.members) - 1)

    def _receivers(self) -> list[str]:
        if self.hubs.is_needed():
            return self.hubs.recipients(self.zone)
        return [name for name in self.members if name != self.name]

    def _within_rate(self) -> bool:
        """Refill the token bucket; return whether it covers one round of reports."""
        now_ms = self.clock.now_ms()
        gained = (now_ms - self._tokens_ms) * DATAGRAMS_PER_S / 1_000
        limit = self._round_size() * BURST_ROUNDS
        self._datagram_tokens = min(limit, self._datagram_tokens + gained)
        self._tokens_ms = now_ms
        return self._datagram_tokens >= self._round_size()

    def announce(self) -> None:
        """Report immediately that a prompt was sent, if the rate allows."""
        self._revision += 1
        if self._within_rate():
            self.broadcast()

    def _own_loads(self) -> dict[str, datagrams.TargetLoad]:
        """Return this instance's loads; only the largest if a datagram is too short."""
        loads = {
            name: datagrams.TargetLoad(
                state.in_flight, state.prefill_tokens, state.in_flight_tokens
            )
            for name, state in self.registry.states.items()
            if state.in_flight
        }
        if len(loads) <= datagrams.LOADS_PER_DATAGRAM:
            return loads
        largest = sorted(loads, key=lambda name: -loads[name].context_tokens)
        return {name: loads[name] for name in largest[: datagrams.LOADS_PER_DATAGRAM]}

    def _own_report(self) -> datagrams.LoadReport:
        self._sequence += 1
        loads = self._own_loads()
        self._reported_loads[self._sequence] = loads
        if len(self._reported_loads) > KEPT_REPORTS:
            self._reported_loads.popitem(last=False)
        return datagrams.LoadReport(
            self.name,
            self.boot,
            self._sequence,
            loads,
            tuple(sorted(self.closed)),
            self._own_suspicions(),
            self._hub,
        )

    def _own_suspicions(self) -> tuple[str, ...]:
        """Return the targets that do not answer; none if that tells nothing of them."""
        if self.is_cut_off():
            return ()
        states = self.registry.states.items()
        return tuple(name for name, state in states if state.suspected)

    def broadcast(self) -> None:
        """Send one round of reports; if idle, only often enough to show liveness."""
        report = self._own_report()
        now_ms = self.clock.now_ms()
        reports = self._target_reports()
        idle = not (report.loads or report.closed or reports or report.suspected)
        if idle and self._was_idle and now_ms - self._broadcast_ms < ALIVE_MS:
            return
        self._was_idle, self._broadcast_ms = idle, now_ms
        receivers = self._receivers()
        self._datagram_tokens -= len(receivers)
        self.send(report, receivers)
        for one in reports:
            self.send(one, receivers)

    def relay_update(self, update: datagrams.PromptStoreUpdate) -> None:
        """Forward a store's update to the instances that use this hub."""
        self.hub_state.queue_update(update)

    def followed_hub(self) -> str:
        """Return the hub whose digests this instance uses."""
        return self._hub

    def subscribers(self) -> list[str]:
        """Return the instances that use this hub's digests."""
        reports = self._reporters()
        return [name for name, report in reports.items() if report.hub == self.name]

    def send(self, datagram: datagrams.Datagram, names: typing.Iterable[str]) -> None:
        """Send a datagram to instances; unregistered ones are skipped."""
        data = datagrams.encode(datagram)
        for name in names:
            self._transmit(data, name)

    def _transmit(self, data: bytes, name: str) -> None:
        member = self.members.get(name)
        if self._transport is None or member is None:
            return
        if len(data) > datagrams.MAX_BYTES:
            events.emit(TOO_LONG, length=len(data))
            return
        self._transport.sendto(data, (member.host, member.port))

    # Duties of a hub.

    def _is_due(self, task: str, pause_ms: float) -> bool:
        """Return whether a task is due; if so, schedule it again after a pause."""
        now_ms = self.clock.now_ms()
        if now_ms < self._next_due_ms.get(task, 0.0):
            return False
        self._next_due_ms[task] = now_ms + pause_ms
        return True

    def _reporters(self) -> dict[str, datagrams.LoadReport]:
        """Return the instances of this data centre that report to this one."""
        return {
            name: peer.report
            for name, peer in self.peers.items()
            if peer.counted
            and name in self.members
            and self.members[name].zone == self.zone
        }

    def relay_round(self) -> float:
        """Do one round of a hub's duties; returns the pause until the next one."""
        reporters = self._reporters()
        subscribers = [n for n, report in reporters.items() if report.hub == self.name]
        is_hub = bool(subscribers) or self._hub == self.name
        if not self.hubs.is_needed() or not (reporters or is_hub):
            return SLOW_DIGEST_MS
        slow = self._is_due("slow", SLOW_DIGEST_MS)
        if slow or (is_hub and self._digest_revision != self._revision):
            self._digest_revision = self._revision
            receivers = list(reporters) if slow else subscribers
            self._send_digests(receivers, reporters)
        if slow:
            self._send_target_reports(list(reporters))
        if self._is_due("bundle", BUNDLE_MS):
            for bundle in datagrams.bundles(self.name, self.hub_state.take_updates()):
                self.send(bundle, subscribers)
        return max(DIGEST_MS, self._round_sent / HUB_DATAGRAMS_PER_S * 1_000)

    def _send_digests(
        self, receivers: list[str], reporters: typing.Mapping[str, datagrams.LoadReport]
    ) -> None:
        own = self._own_report()
        total, zone_sums = relays.LoadSums(), relays.LoadSums()
        for sums, others in ((total, self._combined_sums()), (zone_sums, self._sums)):
            sums.add(others)
            sums.add(own)
        members = sum(report.hub == self.name for report in reporters.values())
        update = datagrams.DigestUpdate(
            self.name, self.boot, own.sequence, "", members, {}
        )
        whole = self._is_due("whole", WHOLE_DIGEST_MS)
        acknowledged = {name: reporters[name].sequence for name in receivers}
        parts = self._digest_parts(update, total, whole)
        self._round_sent = len(parts) * len(receivers)
        self._send_addressed(parts, acknowledged)
        others = dict.fromkeys(self._other_hubs(), 0)
        zone_update = update._replace(zone=self.zone)
        self._send_addressed(self._digest_parts(zone_update, zone_sums, whole), others)

    def _digest_parts(
        self, update: datagrams.DigestUpdate, sums: relays.LoadSums, whole: bool
    ) -> list[datagrams.Digest | datagrams.DigestUpdate]:
        """Return the datagrams for new sums: a whole digest, or what has changed."""
        names = {"closed": tuple(sums.closed), "suspected": tuple(sums.suspected)}
        before = self._last_sums.get(update.zone)
        self._last_sums[update.zone] = sums
        if whole or before is None:
            digest = datagrams.Digest(*update[:5], 0, 1, sums.loads, **names)
            return list(datagrams.split(digest))
        loads = relays.changed_loads(before.loads, sums.loads)
        return list(datagrams.split_update(update._replace(loads=loads, **names)))

    def _send_addressed(
        self,
        parts: list[datagrams.Digest | datagrams.DigestUpdate],
        acknowledged: typing.Mapping[str, int],
    ) -> None:
        """Send digests, encoded once, each with what it acknowledges to a receiver."""
        for part in parts:
            tag, body = datagrams.TAGS[type(part)], msgspec.msgpack.encode(part)
            for name, number in acknowledged.items():
                self._transmit(datagrams.address(tag, body, number), name)

    def _other_hubs(self) -> list[str]:
        """Return the hubs of the other data centres."""
        return [
            name
            for zone in self.hubs.zones()
            if zone != self.zone
            for name in self.hubs.recipients(zone)
        ]

    def _send_target_reports(self, receivers: list[str]) -> None:
        for one in (*self._target_reports(), *self._source_reports()):
            self.send(one, receivers)
            self.send(one, self._other_hubs())

    # Running.

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            await asyncio.sleep(self.interval_ms() / 1_000)
            self.expire()
            self.broadcast()
            self.send_source_reports()

    async def run_hub(self) -> None:
        """Do a hub's duties until cancelled."""
        while True:
            self._report_received.clear()
            pause_ms = self.relay_round()
            if pause_ms == SLOW_DIGEST_MS and not self._reporters():
                # An instance that nobody reports to has nothing to relay.
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(IDLE_HUB_MS / 1_000):
                        await self._report_received.wait()
            else:
                await asyncio.sleep(pause_ms / 1_000)

    async def listen(self, host: str, port: int) -> None:
        """Receive datagrams on an address."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    def address(self) -> tuple[str, int]:
        """Return the address on which datagrams are received."""
        return self._transport.get_extra_info("sockname")

    def close(self) -> None:
        """Stop receiving datagrams."""
        if self._transport is not None:
            self._transport.close()
