"""What every instance has under way at each target, told in datagrams.

Each instance tells its peers at once when it has sent a prompt, and a few times a
second besides, what it has under way and what of it is not yet read. A lost datagram is
made up for by the next; what a silent peer last told is forgotten after a moment. The
rate of datagrams is bounded for each instance, so a large fleet is told later::

    loads = gossip.others("engine-1", now_ms)
"""

import asyncio
import typing

import msgspec

from cornelreach.gateway import roster as roster_module
from cornelreach.util import decoding, events, timers

DATAGRAMS_PER_S = 150.0
BURST_ROUNDS = 4
LEAST_INTERVAL_MS = 150.0
FORGET_INTERVALS = 6
LEAST_FORGET_MS = 700.0
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


class Told(typing.NamedTuple):
    """One datagram: who sent it, its number in the sender's boot, and the loads.

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


DECODER = msgspec.msgpack.Decoder(Told)


class Reported(typing.NamedTuple):
    """Model versions that a target reported."""

    versions: dict[str, int]
    at_ms: float


class Peer(typing.NamedTuple):
    """The last datagram of a peer."""

    told: Told
    at_ms: float


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
        self._versions: dict[str, Reported] = {}
        self._number = 0
        self._allowed = 0.0
        self._allowed_ms = clock.now_ms()
        self._quiet = False
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            told = DECODER.decode(data)
        except decoding.UNREADABLE as error:
            events.emit(GARBLED, address=address[0], error=str(error))
            return
        self.take(told, self.clock.now_ms())

    def error_received(self, error: OSError) -> None:
        """Take no note: a peer that is down is told again when it is back."""

    def take(self, told: Told, now_ms: float) -> None:
        """Keep what a peer tells, unless it came out of order."""
        held = self.peers.get(told.name)
        same_boot = held is not None and held.told.boot == told.boot
        if same_boot and held.told.number >= told.number:
            return
        self.peers[told.name] = Peer(told, now_ms)
        for target, versions in told.versions.items():
            self.roster.learn_versions(target, versions)

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
        return max(LEAST_INTERVAL_MS, self._round() / DATAGRAMS_PER_S * 1_000)

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

    def others(self, target: str, now_ms: float) -> Underway:
        """Return what the peers together have under way at a target."""
        requests = unread = context = 0
        for told in self._fresh(now_ms):
            load = told.loads.get(target)
            if load is not None:
                requests += load.requests
                unread += load.unread_tokens
                context += load.context_tokens
        return Underway(requests, unread, context)

    def is_closed(self, target: str, now_ms: float) -> bool:
        """Return whether an instance is giving a target an order."""
        if target in self.closed:
            return True
        return any(target in told.closed for told in self._fresh(now_ms))

    def is_suspected(self, target: str, now_ms: float) -> bool:
        """Return whether a target does not answer some peer."""
        return any(target in told.suspected for told in self._fresh(now_ms))

    def _fresh(self, now_ms: float) -> typing.Iterator[Told]:
        forget_ms = self._forget_ms()
        for told, at_ms in self.peers.values():
            if now_ms - at_ms <= forget_ms:
                yield told

    def _forget_ms(self) -> float:
        return max(LEAST_FORGET_MS, FORGET_INTERVALS * self.interval_ms())

    def own(self) -> dict[str, Underway]:
        """Return what this instance has under way."""
        return {
            name: Underway(state.in_flight, state.unread_tokens, state.in_flight_tokens)
            for name, state in self.roster.states.items()
            if state.in_flight
        }

    def tell(self) -> None:
        """Send one round; a quiet instance falls silent after saying so once."""
        loads = self.own()
        versions = self._reported()
        suspected = tuple(
            name for name, state in self.roster.states.items() if state.suspected
        )
        idle = not (loads or self.closed or versions or suspected)
        if idle and self._quiet:
            return
        self._quiet = idle
        self._number += 1
        closed = tuple(sorted(self.closed))
        told = Told(
            self.name, self.boot, self._number, loads, closed, versions, suspected
        )
        data = msgspec.msgpack.encode(told)
        if self._transport is None or len(data) > MOST_DATAGRAM_BYTES:
            return
        self._allowed -= self._round()
        for name, address in self.addresses.items():
            if name != self.name:
                self._transport.sendto(data, address)

    async def run(self) -> None:
        """Tell until cancelled."""
        while True:
            await asyncio.sleep(self.interval_ms() / 1_000)
            self.tell()

    async def listen(self, host: str, port: int) -> None:
        """Receive on an address."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))
