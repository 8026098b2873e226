"""Streams that go on: which service and software version they are bound to.

The first event binds a stream to the version of the target that sent it. A caller that
takes the stream up again names the attempt that brought this event, whose origin some
instance keeps (``streamorigins``)::

    if not await continuations.admit(request_state):
        refuse()  # it cannot be told which version began the stream
    if doubt := await continuations.doubt(request_state, target, connection.number):
        return  # another target; this one may have started anew since its entry
    continuations.bind(request_state, target.software)  # before each part
"""

import asyncio
import typing

from cornelreach.gateway import (
    catalogue,
    registry as registry_module,
    requeststate,
    softwareversions,
    storedorigins,
    streamorigins,
)
from cornelreach.http import client as http_client
from cornelreach.reports import metrics as metrics_module
from cornelreach.util import timers

# None means that the target could not be asked.
Confirm = typing.Callable[[registry_module.Target], typing.Awaitable[bool | None]]

CONFIRMED_MS = 1_000.0  # for which a target's own word holds, without its entry
READ_MS = 400.0  # for the store's answer, while a caller waits
MARGIN_MS = 2_000.0  # a caller's last attempt may end after its stream's deadline


async def _trust_entry(target: registry_module.Target) -> bool | None:
    """Take the entry of a target for that of its present lifetime."""
    return True


class Continuations:
    """Binds streams to the software that began them."""

    def __init__(
        self,
        origins: streamorigins.StreamOrigins,
        registry: registry_module.TargetRegistry,
        clock: timers.Timers,
        metrics: metrics_module.Metrics,
        versions: softwareversions.SoftwareVersions,
        stored: storedorigins.StoredOrigins,
        http: http_client.Client,
        is_current: Confirm = _trust_entry,
    ) -> None:
        self.is_current = is_current
        self.origins = origins
        self.registry = registry
        self.clock = clock
        self.metrics = metrics
        self.versions = versions
        self.stored = stored
        self.http = http

    def bind(self, request_state: requeststate.RequestState, software: str) -> None:
        """Bind a stream to the software of its first event; later calls do nothing."""
        if request_state.software is not None:
            return
        request_state.software = software
        call, route = request_state.call, request_state.route
        if route.resumable:
            origin = streamorigins.Origin(request_state.service, software)
            keep_ms = max(call.deadline_ms or 0.0, route.timeout_ms) + MARGIN_MS
            self.origins.record(call.request_id, origin, keep_ms)
            if self.versions.are_several(request_state.service):
                self.stored.record(call.request_id, origin, keep_ms)

    async def doubt(
        self,
        request_state: requeststate.RequestState,
        target: registry_module.Target,
        connection: int,
    ) -> requeststate.NotSent | None:
        """Return why a target may not have the software that its entry says, if so.

        A target may start again under its identifier with other software, before its
        new entry is read. It is asked before a stream goes on there, and before one
        that may go on later begins at a target that failed or closed connections since
        it was last asked, or whose entry may be outdated.

        An open connection leads to one lifetime of a target, so a target is asked as
        well if the request's was opened after it was last asked. If it does not answer,
        it is believed then to be the one of its entry. ``connection`` is the number of
        the request's connection, which stays open meanwhile.
        """
        goes_on = request_state.software is not None
        if not target.born_ms or not (goes_on or request_state.route.resumable):
            return None
        state = self.registry.state(target.id)
        is_doubted = goes_on or self._may_be_another(target, state)
        if not is_doubted and connection <= state.confirmed_connections:
            return None
        opened = self.http.opened
        is_current = await self.is_current(target)
        if is_current is None:
            if not is_doubted:
                return None
            return requeststate.NotSent("its report could not be read")
        if not is_current:
            text = "the entry is of an earlier lifetime"
            return requeststate.NotSent(text, at_fault=False)
        state.unconfirmed = False
        state.confirmed_ms = self.clock.now_ms()
        state.confirmed_connections = opened
        return None

    def _may_be_another(
        self, target: registry_module.Target, state: registry_module.State
    ) -> bool:
        """Return whether a target may have started again since its entry was read."""
        if state.unconfirmed or self.origins.gossip.is_suspected(target.id):
            return True
        now_ms = self.clock.now_ms()
        return (
            self.versions.mirror.is_out_of_step(now_ms)
            and now_ms - state.confirmed_ms > CONFIRMED_MS
        )

    async def admit(self, request_state: requeststate.RequestState) -> bool:
        """Bind a stream that its caller takes up to its origin.

        Returns False if the origin is not known, or is a service that the route has
        left. Requests that begin a stream, or none, are always admitted.
        """
        call, route = request_state.call, request_state.route
        if route.kind is not catalogue.Kind.STREAM or call.last_event is None:
            return True
        origin, known = await self._find_origin(request_state)
        self.metrics.add("streams_taken_up_total", 1, known)
        if origin is None:
            return False
        request_state.service, request_state.software = origin
        return any(one.service == origin.service for one in route.shares)

    async def _find_origin(
        self, request_state: requeststate.RequestState
    ) -> tuple[streamorigins.Origin | None, str]:
        """Return the origin of a stream, and what told it."""
        attempt = request_state.call.resumes
        if attempt and (origin := await self.origins.find(attempt)):
            return origin, "kept"
        if origin := await self._only_origin(request_state):
            return origin, "only-version"
        if attempt and (origin := await self._stored_origin(attempt)):
            return origin, "stored"
        return None, "unknown"

    async def _stored_origin(self, attempt: str) -> streamorigins.Origin | None:
        try:
            async with asyncio.timeout(READ_MS / 1_000):
                return await self.stored.find(attempt)
        except TimeoutError:
            return None

    async def _only_origin(
        self, request_state: requeststate.RequestState
    ) -> streamorigins.Origin | None:
        """Return the origin if the route has one service, and this one version.

        This instance may have missed a version that began streams at others, and they
        its question, so that version is looked for in the store too. A caller that
        names no attempt asks nobody, and goes on by what is in sight.
        """
        found = self._origin_in_sight(request_state)
        if found is None or not request_state.call.resumes:
            return found
        try:
            async with asyncio.timeout(READ_MS / 1_000):
                is_read = await self.versions.read_now()
        except TimeoutError:
            return None
        return self._origin_in_sight(request_state) if is_read else None

    def _origin_in_sight(
        self, request_state: requeststate.RequestState
    ) -> streamorigins.Origin | None:
        route, service = request_state.route, request_state.service
        now_ms = self.clock.now_ms()
        found = self.versions.possible(service, now_ms)
        if len(route.shares) > 1 or len(found) != 1:
            return None
        # Before the store's entry is known, a caller that names no attempt goes on
        # where one version is in sight.
        known = self.versions.is_kept(service) or self.registry.is_listed_for(
            route.timeout_ms, now_ms
        )
        if request_state.call.resumes and not known:
            return None
        (software,) = found
        return streamorigins.Origin(service, software)
