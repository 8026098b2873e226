"""What every instance has under way at each target, told in datagrams.

Each instance tells at once when it has sent a prompt, and a few times a second besides,
what it has under way and what of it is not yet read: in a small fleet to every other,
in a larger one to the hubs of its data centre, which pass sums on. A lost datagram is
made up for by the next; what a silent peer last told is forgotten after a moment. The
rate of datagrams is bounded for each instance::

    loads = gossip.others("engine-1")
"""

import asyncio
import typing

from cornelreach.gateway import (
    datagrams,
    hubs as hubs_module,
    relays,
    roster as roster_module,
)
from cornelreach.util import decoding, events, timers

DATAGRAMS_PER_S = 500.0
PERIODIC_SHARE = 0.4  # of the rate; the rest is for prompts as they are sent
BURST_ROUNDS = 4
LEAST_INTERVAL_MS = 150.0
ALIVE_MS = 800.0  # the longest that an idle instance is silent
FORGET_INTERVALS = 6
LEAST_FORGET_MS = 700.0
REPORT_MS = 2_500.0  # the platform's list has caught up by then
HUB_DATAGRAMS_PER_S = 2_000.0
DIGEST_MS = 40.0
SLOW_DIGEST_MS = 250.0  # to those that follow another hub, and without news
BUNDLE_MS = 100.0

GARBLED = events.define(
    2501,
    "WARNING",
    "A datagram from {address} is unreadable: {error}.",
    "If it repeats: find out who else sends to this port.",
)
TOO_LONG = events.define(
    2502,
    "WARNING",
    "A datagram of {length} bytes is too long and was not sent.",
    "Report it with the log line.",
)
FOLLOWS = events.define(
    2503, "INFO", "Loads of other instances come from {hub} now.", "Nothing."
)


Kind = typing.TypeVar("Kind")
Taker = typing.Callable[[Kind], None]


def _ignore(datagram: datagrams.Datagram | datagrams.ShelfNews) -> None:
    """Take no note: nobody has asked for it."""


class Reported(typing.NamedTuple):
    """Model versions that a target reported."""

    versions: dict[str, int]
    at_ms: float


class Peer(typing.NamedTuple):
    """The last datagram of a peer; ``counted`` while its loads are in the sums."""

    told: datagrams.Told
    at_ms: float
    counted: bool


class Gossip(asyncio.DatagramProtocol):
    """Sends this instance's loads and keeps those of its peers."""

    def __init__(
        self,
        name: str,
        boot: str,
        roster: roster_module.Roster,
        clock: timers.Timers,
        zone: str = "",
    ) -> None:
        self.name = name
        self.boot = boot
        self.zone = zone
        self.roster = roster
        self.clock = clock
        self.members: dict[str, hubs_module.Member] = {}
        self.hubs = hubs_module.Hubs(name, zone, self.members, clock)
        self.relay_state = relays.Relay(clock)
        self.peers: dict[str, Peer] = {}
        self.closed: set[str] = set()
        self.on_shelf: Taker[datagrams.ShelfNews] = _ignore
        self.on_ask: Taker[datagrams.Ask] = _ignore
        self.on_answer: Taker[datagrams.Answer] = _ignore
        self.on_changes: Taker[datagrams.Changes] = _ignore
        self._sums = relays.Sums()
        self._digested = relays.Sums()
        self._digested_ms = 0.0
        self._combined = relays.Sums()
        self._revision = 1  # of what others told and this instance sent
        self._combined_of = 0
        self._passed_on_of = 0
        self._followed = name
        self._assemblies: dict[tuple[str, bool], relays.Assembly] = {}
        self._versions: dict[str, Reported] = {}
        self._number = 0
        self._allowed = 0.0
        self._allowed_ms = clock.now_ms()
        self._told_ms = 0.0
        self._quiet = False
        self._due_ms: dict[str, float] = {}
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            found = datagrams.decode(data)
        except decoding.UNREADABLE as error:
            events.emit(GARBLED, address=address[0], error=str(error))
            return
        match found:
            case datagrams.Told():
                self.take(found)
            case datagrams.Digest():
                self.take_digest(found)
            case datagrams.Reports():
                self.take_reports(found)
            case datagrams.Bundle(_, news):
                for one in news:
                    self.on_shelf(one)
            case datagrams.Ask():
                self.on_ask(found)
            case datagrams.Answer():
                self.on_answer(found)
            case datagrams.Changes():
                self.on_changes(found)

    def error_received(self, error: OSError) -> None:
        """Take no note: a peer that is down is told again when it is back."""

    # What others tell.

    def take(self, told: datagrams.Told) -> None:
        """Keep what a peer tells, unless it came out of order."""
        held = self.peers.get(told.name)
        same_boot = held is not None and held.told.boot == told.boot
        if same_boot and held.told.number >= told.number:
            return
        if held is not None and held.counted:
            self._sums.add(held.told, -1)
        self._sums.add(told)
        self._revision += 1
        self.peers[told.name] = Peer(told, self.clock.now_ms(), True)

    def take_reports(self, reports: datagrams.Reports) -> None:
        """Take over model versions; what is news to a hub it tells for a while too."""
        for target, versions in reports.versions.items():
            if self.roster.learn_versions(target, versions) and self.hubs.is_needed():
                self._versions[target] = Reported(versions, self.clock.now_ms())

    def take_digest(self, part: datagrams.Digest) -> None:
        """Take a part of what a hub passes on."""
        self.hubs.heard(part.hub)
        sender = (part.hub, bool(part.zone))
        assembly = self._assemblies.setdefault(sender, relays.Assembly())
        digest = assembly.take(part)
        if digest is None:
            return
        if digest.zone:
            self.relay_state.take_zone(digest)
            self._revision += 1
            return
        self._follow()
        if digest.hub == self._followed:
            self._digested = relays.Sums()
            self._digested.add(digest)
            self._digested_ms = self.clock.now_ms()

    def _follow(self) -> None:
        found = self.hubs.followed() if self.hubs.is_needed() else self.name
        if found != self._followed:
            self._followed = found
            events.emit(FOLLOWS, hub=found)

    def expire(self) -> None:
        """Forget the loads of those that fell silent."""
        now_ms = self.clock.now_ms()
        oldest_ms = now_ms - self.forget_ms()
        for name, peer in self.peers.items():
            if peer.counted and peer.at_ms < oldest_ms:
                self._sums.add(peer.told, -1)
                self.peers[name] = peer._replace(counted=False)
                self._revision += 1
        if self._digested_ms < oldest_ms:
            self._digested = relays.Sums()
        self._follow()

    def forget_ms(self) -> float:
        """Return how long what a peer told is believed."""
        return max(LEAST_FORGET_MS, FORGET_INTERVALS * self.interval_ms())

    # What is known of others.

    def _view(self) -> relays.Sums:
        if not self.hubs.is_needed():
            return self._sums
        return self._all() if self._followed == self.name else self._digested

    def _all(self) -> relays.Sums:
        """Return what a hub knows of others: of its data centre and of the rest."""
        if self._combined_of != self._revision:
            self._combined_of = self._revision
            self._combined = relays.Sums()
            self._combined.add(self._sums)
            for digest in self.relay_state.zones():
                self._combined.add(digest)
        return self._combined

    def others(self, target: str) -> datagrams.Underway:
        """Return what the peers together have under way at a target."""
        return self._view().loads.get(target, datagrams.NOTHING)

    def is_closed(self, target: str) -> bool:
        """Return whether an instance is giving a target an order."""
        return target in self.closed or self._view().closed[target] > 0

    def is_suspected(self, target: str) -> bool:
        """Return whether a target does not answer some peer."""
        return self._view().suspected[target] > 0

    def _heard(self) -> list[str]:
        oldest_ms = self.clock.now_ms() - relays.DEAD_MS
        return [name for name, peer in self.peers.items() if peer.at_ms >= oldest_ms]

    def alive(self) -> list[str]:
        """Return this instance and those that it heard of lately, by name."""
        return [self.name, *self._heard()]

    def leads(self) -> bool:
        """Return whether this instance is the hub of a data centre."""
        return self.hubs.is_needed() and self._followed == self.name

    def report(self, target: str, versions: dict[str, int]) -> None:
        """Take over what a target reported, and tell the peers."""
        self.roster.learn_versions(target, versions)
        self._versions[target] = Reported(versions, self.clock.now_ms())

    def _reported(self) -> dict[str, dict[str, int]]:
        oldest_ms = self.clock.now_ms() - REPORT_MS
        for target in [
            name for name, one in self._versions.items() if one.at_ms < oldest_ms
        ]:
            del self._versions[target]
        return {name: one.versions for name, one in self._versions.items()}

    # What this instance tells.

    def interval_ms(self) -> float:
        """Return the time between two rounds of datagrams."""
        per_s = DATAGRAMS_PER_S * PERIODIC_SHARE
        return max(LEAST_INTERVAL_MS, self._round() / per_s * 1_000)

    def _round(self) -> int:
        if self.hubs.is_needed():
            return hubs_module.HUBS
        return max(1, len(self.members) - 1)

    def _listeners(self) -> list[str]:
        if self.hubs.is_needed():
            return self.hubs.tell_to(self.zone)
        return [name for name in self.members if name != self.name]

    def _may_tell(self) -> bool:
        now_ms = self.clock.now_ms()
        gained = (now_ms - self._allowed_ms) * DATAGRAMS_PER_S / 1_000
        most = self._round() * BURST_ROUNDS
        self._allowed = min(most, self._allowed + gained)
        self._allowed_ms = now_ms
        return self._allowed >= self._round()

    def sent(self) -> None:
        """Tell at once that a prompt went out, if the rate allows."""
        self._revision += 1
        if self._may_tell():
            self.tell()

    def _own(self) -> dict[str, datagrams.Underway]:
        """Return the own loads, the heaviest if they do not fit into a datagram."""
        loads = {
            name: datagrams.Underway(
                state.in_flight, state.unread_tokens, state.in_flight_tokens
            )
            for name, state in self.roster.states.items()
            if state.in_flight
        }
        if len(loads) <= datagrams.LOADS_A_DATAGRAM:
            return loads
        heaviest = sorted(loads, key=lambda name: -loads[name].context_tokens)
        return {name: loads[name] for name in heaviest[: datagrams.LOADS_A_DATAGRAM]}

    def _told(self) -> datagrams.Told:
        self._number += 1
        return datagrams.Told(
            self.name,
            self.boot,
            self._number,
            self._own(),
            tuple(sorted(self.closed)),
            tuple(n for n, state in self.roster.states.items() if state.suspected),
            self._followed,
        )

    def tell(self) -> None:
        """Send one round; an instance with nothing to tell only shows that it lives."""
        told = self._told()
        now_ms = self.clock.now_ms()
        versions = self._reported()
        idle = not (told.loads or told.closed or versions or told.suspected)
        if idle and self._quiet and now_ms - self._told_ms < ALIVE_MS:
            return
        self._quiet, self._told_ms = idle, now_ms
        listeners = self._listeners()
        self._allowed -= len(listeners)
        self.send(told, listeners)
        for reports in datagrams.reports(self.name, versions):
            self.send(reports, listeners)

    def relay(self, news: datagrams.ShelfNews) -> None:
        """Pass on what lies in a store to those that listen to this hub."""
        self.relay_state.take_news(news)

    def followed(self) -> str:
        """Return the hub that this instance listens to."""
        return self._followed

    def followers(self) -> list[str]:
        """Return the instances that listen to this hub."""
        served = self._served()
        return [name for name, told in served.items() if told.follows == self.name]

    def send(self, datagram: datagrams.Datagram, names: typing.Iterable[str]) -> None:
        """Send a datagram to instances, those left out that are not registered."""
        if self._transport is None:
            return
        data = datagrams.encode(datagram)
        if len(data) > datagrams.MOST_BYTES:
            events.emit(TOO_LONG, length=len(data))
            return
        for name in names:
            member = self.members.get(name)
            if member is not None:
                self._transport.sendto(data, (member.host, member.port))

    # What a hub passes on.

    def _is_due(self, what: str, pause_ms: float) -> bool:
        now_ms = self.clock.now_ms()
        if now_ms < self._due_ms.get(what, 0.0):
            return False
        self._due_ms[what] = now_ms + pause_ms
        return True

    def _served(self) -> dict[str, datagrams.Told]:
        """Return the instances of this data centre that tell this one."""
        return {
            name: peer.told
            for name, peer in self.peers.items()
            if peer.counted
            and name in self.members
            and self.members[name].zone == self.zone
        }

    def pass_on(self) -> float:
        """Send digests to those that listen; returns the pause until the next time."""
        served = self._served()
        followers = [n for n, told in served.items() if told.follows == self.name]
        leads = bool(followers) or self._followed == self.name
        if not self.hubs.is_needed() or not (served or leads):
            return SLOW_DIGEST_MS
        slow = self._is_due("slow", SLOW_DIGEST_MS)
        if slow or (leads and self._passed_on_of != self._revision):
            self._passed_on_of = self._revision
            listeners = list(served) if slow else followers
            self._send_digests(listeners, served)
        if slow:
            self._send_reports(list(served))
        if self._is_due("bundle", BUNDLE_MS):
            for bundle in datagrams.bundles(self.name, self.relay_state.news()):
                self.send(bundle, followers)
        a_round = len(followers) * datagrams.parts_of(len(self._all().loads))
        return max(DIGEST_MS, a_round / HUB_DATAGRAMS_PER_S * 1_000)

    def _send_digests(
        self, listeners: list[str], served: typing.Mapping[str, datagrams.Told]
    ) -> None:
        own = self._told()
        total, ours = relays.Sums(), relays.Sums()
        for sums, others in ((total, self._all()), (ours, self._sums)):
            sums.add(others)
            sums.add(own)
        members = sum(told.follows == self.name for told in served.values())
        digest = datagrams.Digest(
            self.name, self.boot, own.number, "", members, 0, 1, {}
        )
        named = digest._replace(closed=tuple(total.closed))
        named = named._replace(suspected=tuple(total.suspected))
        for name in listeners:
            loads = total.without(served[name].loads)
            for part in datagrams.split(named._replace(loads=loads)):
                self.send(part, (name,))
        zone = digest._replace(
            zone=self.zone,
            loads=ours.loads,
            closed=tuple(ours.closed),
            suspected=tuple(ours.suspected),
        )
        for part in datagrams.split(zone):
            self._send_to_hubs(part)

    def _send_to_hubs(self, datagram: datagrams.Datagram) -> None:
        """Send a datagram to the hubs of the other data centres."""
        for zone in self.hubs.zones():
            if zone != self.zone:
                self.send(datagram, self.hubs.tell_to(zone))

    def _send_reports(self, served: list[str]) -> None:
        for reports in datagrams.reports(self.name, self._reported()):
            self.send(reports, served)
            self._send_to_hubs(reports)

    # Running.

    async def run(self) -> None:
        """Tell until cancelled."""
        while True:
            await asyncio.sleep(self.interval_ms() / 1_000)
            self.expire()
            self.tell()

    async def run_hub(self) -> None:
        """Pass on what others tell, until cancelled."""
        while True:
            await asyncio.sleep(self.pass_on() / 1_000)

    async def listen(self, host: str, port: int) -> None:
        """Receive on an address."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))
