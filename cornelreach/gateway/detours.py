"""Passing requests to another instance, by one that reaches no target for them.

The other instance treats such a request as its own: it checks the key and the route,
chooses the target within its own shares of all limits, and follows the answer. It never
passes the request on again. It declines one that it cannot send either, or if its
configuration is older, so that the request may go through a third instance::

    detour = detours.choose(request_state)
    outcome = await detours.exchange(request_state, detour)
"""

import asyncio
import collections
import random
import typing

import msgspec

from cornelreach.gateway import (
    gossip as gossip_module,
    hubs,
    mirror as mirror_module,
    relays,
    requeststate,
    selection,
)
from cornelreach.http import client as http_client, messages
from cornelreach.platform import headers
from cornelreach.util import decoding, timers

CONNECT_MS = 150  # instances answer at once, or not at all
IDLE_MS = 5_000
ACK_TIMEOUT_MS = 3_100  # as for targets
DECLINED_MS = 500.0
SILENT_MS = 1_000.0
MAX_DETOURS = 3  # of one request
MAX_UNDER_WAY = 256


class Order(typing.NamedTuple):
    """What goes with a request: what its first instance knows and has done.

    ``config`` is the version of the configuration that admitted it. ``sent`` counts the
    attempts that reached a target and ``runs`` those that may have run it, at
    ``reached``. A stream goes on only at the version ``software``. ``account`` holds
    the key of a request whose route may be used without one; it ends the encoded order
    only then, as earlier releases, which run such a request for nobody, cannot read it.
    """

    sender: str
    config: int
    service: str
    software: str | None = None
    sent: int = 0
    runs: int = 0
    reached: tuple[str, ...] = ()
    is_trial: bool = False
    last_event: str | None = None
    account: str = ""

    def encode(self) -> bytes:
        """Return the order as it is sent."""
        return msgspec.json.encode(self if self.account else self[:-1])


class Report(typing.NamedTuple):
    """What the other instance did; ``declined`` if it did not send the request."""

    declined: bool
    target: str = ""
    software: str = ""


class Via(typing.NamedTuple):
    """What stands in place of a target; its software is known from the answer."""

    id: str
    software: str = ""


class Detour:
    """The way of one attempt through another instance."""

    def __init__(self, peer: str, address: http_client.Address, service: str) -> None:
        self.peer = peer
        self.address = address
        self.service = service
        self.target = Via(peer)
        self.summary = f"through {peer}"
        self._release: typing.Callable[[], None] | None = None

    def acquire(self, release: typing.Callable[[], None]) -> None:
        """Keep what ends the accounting of this attempt."""
        self._release = release

    def record_part(self) -> None:
        """Ignore that a part of the answer has come."""

    def record_event(self) -> None:
        """Ignore that a whole event has come: the other instance counts it."""

    def release(self) -> None:
        """End the accounting of this attempt; idempotent."""
        release, self._release = self._release, None
        if release is not None:
            release()


def read_order(request: messages.Request) -> Order | None:
    """Return what goes with another instance's request; None if it is damaged."""
    text = messages.find_header(request.headers, headers.DETOUR.decode())
    try:
        return msgspec.json.decode(text or "", type=Order)
    except decoding.DECODE_ERRORS:
        return None


def follow(request_state: requeststate.RequestState, order: Order) -> None:
    """Go on with a request where another instance has left it."""
    request_state.is_passed_on = True
    request_state.service = order.service
    request_state.software = order.software
    request_state.times_sent = order.sent
    request_state.possible_runs = order.runs
    request_state.tried.update(order.reached)
    request_state.is_trial = order.is_trial
    request_state.last_event = order.last_event


def with_report(
    response: messages.Response,
    report: Report,
    request_id: str,
    departed_ms: int | None = None,
) -> messages.Response:
    """Return a response that names the request and tells what was done with it.

    ``departed_ms`` is when the lifetime of the target began, if it says that it leaves.
    It is no field of the report, which instances of an earlier release could not read.
    """
    fields = [(headers.DETOUR, msgspec.json.encode(report))]
    if all(name != headers.REQUEST_ID for name, _ in response.headers):
        fields.append((headers.REQUEST_ID, request_id.encode("latin-1")))
    if departed_ms is not None:
        fields.append((headers.SERVER_LEAVING, str(departed_ms).encode()))
    return response._replace(headers=(*response.headers, *fields))


class Detours:
    """Chooses the other instance for a request, and sends it there."""

    def __init__(
        self,
        mirror: mirror_module.Mirror,
        gossip: gossip_module.Gossip,
        selector: selection.Selector,
        clock: timers.Timers,
        source: random.Random,
        http: http_client.Client | None = None,
    ) -> None:
        self.mirror = mirror
        self.gossip = gossip
        self.selector = selector
        self.clock = clock
        self.random = source
        self.http = http or http_client.Client(
            connect_wait_ms=CONNECT_MS,
            idle_timeout_ms=IDLE_MS,
            ack_timeout_ms=ACK_TIMEOUT_MS,
        )
        self.under_way = 0
        self._declined: dict[tuple[str, str], float] = {}
        self._silent: dict[str, float] = {}

    # The choice.

    def choose(self, request_state: requeststate.RequestState) -> Detour | None:
        """Return a way through another instance, or None if there is none.

        Instances of the own data centre come first, unless they declined: all of them
        may have lost the same links.
        """
        if request_state.is_passed_on or request_state.detours >= MAX_DETOURS:
            return None
        if self.under_way >= MAX_UNDER_WAY:
            return None
        candidates = self._candidates(request_state)
        if not candidates:
            return None
        declining = collections.Counter(
            self.gossip.members[peer].zone
            for (peer, service), until_ms in self._declined.items()
            if service == request_state.service
            and until_ms > self.clock.now_ms()
            and peer in self.gossip.members
        )
        zones = {one.zone for one in candidates.values()}
        nearest = min(zones, key=lambda zone: self._rank(zone, declining))
        names = [name for name, one in candidates.items() if one.zone == nearest]
        powers = [candidates[name].power for name in names]
        peer = self.random.choices(names, powers)[0]
        member = candidates[peer]
        address = http_client.Address(member.host, member.port)
        return Detour(peer, address, request_state.service)

    def _rank(
        self, zone: str, declining: typing.Mapping[str, int]
    ) -> tuple[int, bool, bool, float]:
        regions = self.selector.regions
        own = self.gossip.zone
        return (
            declining[zone],
            zone != own,
            regions.get(zone) != regions.get(own),
            self.random.random(),
        )

    def _candidates(
        self, request_state: requeststate.RequestState
    ) -> dict[str, hubs.Member]:
        """Return the instances that may get the request and have not just declined.

        Those that did not answer are left out unless there are no others.
        """
        now_ms = self.clock.now_ms()
        zones = self.selector.allowed_zones(request_state)
        found = {
            name: one
            for name, one in self.gossip.members.items()
            if name != self.gossip.name
            and name not in request_state.tried
            and (zones is None or one.zone in zones)
            and self._declined.get((name, request_state.service), 0.0) <= now_ms
            and self._is_heard(name)
        }
        answering = {
            name: one
            for name, one in found.items()
            if self._silent.get(name, 0.0) <= now_ms
        }
        return answering or found

    def _is_heard(self, name: str) -> bool:
        """Return whether an instance reports to this one, where all of them do."""
        if self.gossip.hubs.is_needed():
            return True
        peer = self.gossip.peers.get(name)
        return peer is not None and self.clock.now_ms() - peer.at_ms <= relays.DEAD_MS

    def is_hopeless(self, service: str) -> bool:
        """Return whether another instance has just declined requests of a service."""
        now_ms = self.clock.now_ms()
        return any(
            until_ms > now_ms
            for (_, name), until_ms in self._declined.items()
            if name == service
        )

    # One attempt.

    async def exchange(
        self, request_state: requeststate.RequestState, detour: Detour
    ) -> requeststate.Outcome:
        """Send a request through another instance and return the outcome."""
        request_state.detours += 1
        self.under_way += 1
        detour.acquire(self._end)
        outcome: requeststate.Outcome | None = None
        try:
            outcome = await self._exchange(request_state, detour)
        finally:
            if not isinstance(outcome, requeststate.Opened):
                detour.release()
        if isinstance(outcome, requeststate.Lost | requeststate.Opened):
            request_state.times_sent += 1
        self.record_outcome(detour, outcome)
        return outcome

    def _end(self) -> None:
        self.under_way -= 1

    def record_outcome(self, detour: Detour, outcome: requeststate.Outcome) -> None:
        """Avoid an instance that declined, for its service, or did not answer."""
        now_ms = self.clock.now_ms()
        if isinstance(outcome, requeststate.NotRun):
            self._declined[detour.peer, detour.service] = now_ms + DECLINED_MS
        elif isinstance(outcome, requeststate.NotSent | requeststate.Lost):
            self._silent[detour.peer] = now_ms + SILENT_MS

    async def _exchange(
        self, request_state: requeststate.RequestState, detour: Detour
    ) -> requeststate.Outcome:
        written: list[bool] = []
        request = request_state.request
        request_id = request_state.call.request_id
        opened_before, is_new = self.http.opened, False

        def before_write() -> None:
            written.append(True)
            request_state.is_sent = True

        async def on_connected(connection: int) -> None:
            nonlocal is_new
            is_new = connection > opened_before
            request_state.record_connection(detour.address, connection)

        def matches(fields: messages.Headers) -> bool:
            if headers.named_matcher(request_id)(fields):
                return True
            # Earlier releases do not name what they decline, but on a new connection
            # there is nothing else to answer.
            return is_new and headers.is_unnamed_report(fields)

        try:
            async with asyncio.timeout_at(request_state.due_s):
                answer = await self.http.send(
                    detour.address,
                    request.method,
                    request.target,
                    request.body,
                    self._fields(request_state),
                    before_write=before_write,
                    matches=matches,
                    on_connected=on_connected,
                    request_id=request_id,
                )
                return await self._read_answer(request_state, detour, answer)
        except http_client.RequestNotSent as error:
            return requeststate.NotSent(str(error))
        except TimeoutError:
            if not written:
                return requeststate.NotSent("no connection in time")
            return requeststate.Lost("no answer in time")
        except http_client.ResponseLost as error:
            return requeststate.Lost(str(error))

    def _fields(self, request_state: requeststate.RequestState) -> messages.Headers:
        now_s = asyncio.get_running_loop().time()
        order = Order(
            self.gossip.name,
            self.mirror.catalogue.version,
            request_state.service,
            request_state.software,
            request_state.times_sent,
            request_state.possible_runs,
            tuple(request_state.reached),
            request_state.is_trial,
            request_state.last_event,
            request_state.account_name if request_state.route.anonymous else "",
        )
        left_ms = (request_state.deadline_s - now_s) * 1_000
        return headers.passed_on_headers(
            request_state.request.headers,
            left_ms,
            (headers.DETOUR, order.encode()),
        )

    def _follow_departure(
        self, target: str, answer: http_client.ClientResponse
    ) -> None:
        """Close a target that says it leaves, here too: this instance told a caller."""
        born = answer.header(headers.SERVER_LEAVING.decode()) or ""
        if decoding.is_number(born):
            self.mirror.registry.mark_leaving(target, int(born))

    async def _read_answer(
        self,
        request_state: requeststate.RequestState,
        detour: Detour,
        answer: http_client.ClientResponse,
    ) -> requeststate.Outcome:
        try:
            text = answer.header(headers.DETOUR.decode()) or ""
            report = msgspec.json.decode(text, type=Report)
        except decoding.DECODE_ERRORS:
            answer.abort()
            answer.close()
            return requeststate.Lost("an answer without a report")
        if report.declined:
            await answer.read()
            return requeststate.NotRun("declined")
        request_state.first_byte_s = asyncio.get_running_loop().time()
        detour.target = Via(f"{detour.peer}>{report.target}", report.software)
        self._follow_departure(report.target, answer)
        reply = headers.read_reply(answer.status, answer.headers)
        success = 200 <= reply.status < 300
        if success and not (
            reply.signed and reply.request_id == request_state.call.request_id
        ):
            answer.abort()
            answer.close()
            return requeststate.Lost("success response without the target's signature")
        if success and request_state.is_stream:
            return requeststate.Opened(answer)
        body = await answer.read()
        answer.settle()
        return requeststate.Answered(
            messages.Response(
                reply.status, body, headers.response_headers(answer.headers)
            )
        )
