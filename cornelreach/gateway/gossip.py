"""What every instance has under way at each target, told in datagrams.

Each instance tells its peers at once when it has sent a prompt, and a few times a
second besides, what it has under way and what of it is not yet read. A lost datagram is
made up for by the next; what a silent peer last told is forgotten after a moment. The
rate of datagrams is bounded for each instance, so a large fleet is told later::

    loads = gossip.others("engine-1")
"""

import asyncio
import collections
import typing

import msgspec

from cornelreach.gateway import roster as roster_module
from cornelreach.util import decoding, events, timers

DATAGRAMS_PER_S = 500.0
PERIODIC_SHARE = 0.4  # of the rate; the rest is for prompts as they are sent
BURST_ROUNDS = 4
LEAST_INTERVAL_MS = 150.0
ALIVE_MS = 800.0  # the longest that an idle instance is silent
FORGET_INTERVALS = 6
LEAST_FORGET_MS = 700.0
DEAD_MS = 2_500.0  # three silences of an idle peer
MOST_DATAGRAM_BYTES = 1_400
REPORT_MS = 2_500.0  # the platform's list has caught up by then

GARBLED = events.define(
    2501,
    "WARNING",
    "A datagram from {address} is unreadable: {error}.",
    "If it repeats: find out who else sends to this port.",
)


class Underway(typing.NamedTuple):
    """Requests at one target: their count, tokens not yet read, and memory."""

    requests: int = 0
    unread_tokens: int = 0
    context_tokens: int = 0


NOTHING = Underway()


class Told(typing.NamedTuple):
    """What one instance tells; ``number`` rises within the sender's boot.

    ``closed`` names the targets that are being given an order, ``versions`` the model
    versions that targets lately reported to the sender, ``suspected`` the targets that
    do not answer it.
    """

    name: str
    boot: str
    number: int
    loads: dict[str, Underway]
    closed: tuple[str, ...] = ()
    versions: dict[str, dict[str, int]] = {}
    suspected: tuple[str, ...] = ()


class ShelfNews(typing.NamedTuple):
    """What lies in a prompt store, relayed by an instance that follows it.

    ``age_ms`` is how long ago the store answered the relaying instance; the parts are
    (salt, identifier, tokens).
    """

    name: str
    store: str
    epoch: int
    age_ms: float
    parts: tuple[tuple[str, str, int], ...]


DECODERS = {
    b"t": msgspec.msgpack.Decoder(Told),
    b"s": msgspec.msgpack.Decoder(ShelfNews),
}


class Reported(typing.NamedTuple):
    """Model versions that a target reported."""

    versions: dict[str, int]
    at_ms: float


class Peer(typing.NamedTuple):
    """The last datagram of a peer; ``counted`` while its loads are in the sums."""

    told: Told
    at_ms: float
    counted: bool


class Sums:
    """What all peers together have under way, kept as datagrams come and go."""

    def __init__(self) -> None:
        self.loads: dict[str, Underway] = {}
        self.closed: collections.Counter[str] = collections.Counter()
        self.suspected: collections.Counter[str] = collections.Counter()

    def add(self, told: Told, sign: int) -> None:
        """Add a peer's loads, or with a sign of -1 take them away."""
        for target, load in told.loads.items():
            held = self.loads.get(target, NOTHING)
            total = Underway(*(a + sign * b for a, b in zip(held, load, strict=True)))
            if total == NOTHING:
                self.loads.pop(target, None)
            else:
                self.loads[target] = total
        for counts, names in (
            (self.closed, told.closed),
            (self.suspected, told.suspected),
        ):
            for name in names:
                counts[name] += sign


class Gossip(asyncio.DatagramProtocol):
    """Sends this instance's loads and keeps those of its peers."""

    def __init__(
        self,
        name: str,
        boot: str,
        roster: roster_module.Roster,
        clock: timers.Timers,
    ) -> None:
        self.name = name
        self.boot = boot
        self.roster = roster
        self.clock = clock
        self.addresses: dict[str, tuple[str, int]] = {}
        self.peers: dict[str, Peer] = {}
        self.closed: set[str] = set()
        self.on_shelf: typing.Callable[[ShelfNews], None] = lambda news: None
        self._sums = Sums()
        self._versions: dict[str, Reported] = {}
        self._number = 0
        self._allowed = 0.0
        self._allowed_ms = clock.now_ms()
        self._told_ms = 0.0
        self._quiet = False
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        decoder = DECODERS.get(data[:1])
        try:
            if decoder is None:
                raise msgspec.DecodeError("no kind of datagram begins like that")
            found = decoder.decode(data[1:])
        except decoding.UNREADABLE as error:
            events.emit(GARBLED, address=address[0], error=str(error))
            return
        if isinstance(found, ShelfNews):
            self.on_shelf(found)
        else:
            self.take(found)

    def error_received(self, error: OSError) -> None:
        """Take no note: a peer that is down is told again when it is back."""

    def take(self, told: Told) -> None:
        """Keep what a peer tells, unless it came out of order."""
        held = self.peers.get(told.name)
        same_boot = held is not None and held.told.boot == told.boot
        if same_boot and held.told.number >= told.number:
            return
        if held is not None and held.counted:
            self._sums.add(held.told, -1)
        self._sums.add(told, 1)
        self.peers[told.name] = Peer(told, self.clock.now_ms(), True)
        for target, versions in told.versions.items():
            self.roster.learn_versions(target, versions)

    def expire(self) -> None:
        """Forget the loads of peers that fell silent."""
        oldest_ms = self.clock.now_ms() - self.forget_ms()
        for name, peer in self.peers.items():
            if peer.counted and peer.at_ms < oldest_ms:
                self._sums.add(peer.told, -1)
                self.peers[name] = peer._replace(counted=False)

    def forget_ms(self) -> float:
        """Return how long what a peer told is believed."""
        return max(LEAST_FORGET_MS, FORGET_INTERVALS * self.interval_ms())

    def others(self, target: str) -> Underway:
        """Return what the peers together have under way at a target."""
        return self._sums.loads.get(target, NOTHING)

    def is_closed(self, target: str) -> bool:
        """Return whether an instance is giving a target an order."""
        return target in self.closed or self._sums.closed[target] > 0

    def is_suspected(self, target: str) -> bool:
        """Return whether a target does not answer some peer."""
        return self._sums.suspected[target] > 0

    def alive(self) -> list[str]:
        """Return this instance and the peers heard of lately, by name."""
        oldest_ms = self.clock.now_ms() - DEAD_MS
        heard = [name for name, peer in self.peers.items() if peer.at_ms >= oldest_ms]
        return [self.name, *heard]

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

    def interval_ms(self) -> float:
        """Return the time between two rounds of datagrams."""
        per_s = DATAGRAMS_PER_S * PERIODIC_SHARE
        return max(LEAST_INTERVAL_MS, self._round() / per_s * 1_000)

    def _round(self) -> int:
        return max(1, len(self.addresses) - 1)

    def _may_tell(self) -> bool:
        now_ms = self.clock.now_ms()
        gained = (now_ms - self._allowed_ms) * DATAGRAMS_PER_S / 1_000
        most = self._round() * BURST_ROUNDS
        self._allowed = min(most, self._allowed + gained)
        self._allowed_ms = now_ms
        return self._allowed >= self._round()

    def sent(self) -> None:
        """Tell at once that a prompt went out, if the rate allows."""
        if self._may_tell():
            self.tell()

    def _own(self) -> dict[str, Underway]:
        return {
            name: Underway(state.in_flight, state.unread_tokens, state.in_flight_tokens)
            for name, state in self.roster.states.items()
            if state.in_flight
        }

    def tell(self) -> None:
        """Send one round; an instance with nothing to tell only shows that it lives."""
        suspected = tuple(
            name for name, state in self.roster.states.items() if state.suspected
        )
        loads, versions = self._own(), self._reported()
        now_ms = self.clock.now_ms()
        idle = not (loads or self.closed or versions or suspected)
        if idle and self._quiet and now_ms - self._told_ms < ALIVE_MS:
            return
        self._quiet, self._told_ms = idle, now_ms
        self._number += 1
        told = Told(
            self.name,
            self.boot,
            self._number,
            loads,
            tuple(sorted(self.closed)),
            versions,
            suspected,
        )
        self._allowed -= self._round()
        self._send(b"t" + msgspec.msgpack.encode(told))

    def relay(self, news: ShelfNews) -> None:
        """Send what lies in a store to all peers."""
        self._send(b"s" + msgspec.msgpack.encode(news))

    def _send(self, data: bytes) -> None:
        if self._transport is None or len(data) > MOST_DATAGRAM_BYTES:
            return
        for name, address in self.addresses.items():
            if name != self.name:
                self._transport.sendto(data, address)

    async def run(self) -> None:
        """Tell until cancelled."""
        while True:
            await asyncio.sleep(self.interval_ms() / 1_000)
            self.expire()
            self.tell()

    async def listen(self, host: str, port: int) -> None:
        """Receive on an address."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))
