"""Streams that go on: which service and software version they are bound to.

The first event binds a stream to the version of the target that sent it. A caller that
takes the stream up again names the attempt that brought this event, whose origin some
instance keeps (``streamorigins``)::

    if not await continuations.admit(request_state):
        refuse()  # it cannot be told which version began the stream
    continuations.bind(request_state, target.software)  # before each part
"""

from cornelreach.gateway import (
    catalogue,
    registry as registry_module,
    requeststate,
    streamorigins,
)
from cornelreach.reports import metrics as metrics_module
from cornelreach.util import timers

MARGIN_MS = 2_000.0  # a caller's last attempt may end after its stream's deadline


class Continuations:
    """Binds streams to the software that began them."""

    def __init__(
        self,
        origins: streamorigins.StreamOrigins,
        registry: registry_module.TargetRegistry,
        clock: timers.Timers,
        metrics: metrics_module.Metrics,
    ) -> None:
        self.origins = origins
        self.registry = registry
        self.clock = clock
        self.metrics = metrics

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

    async def admit(self, request_state: requeststate.RequestState) -> bool:
        """Bind a stream that its caller takes up to its origin.

        Returns False if the origin is not known, or is a service that the route has
        left. Requests that begin a stream, or none, are always admitted.
        """
        call, route = request_state.call, request_state.route
        if route.kind is not catalogue.Kind.STREAM or call.last_event is None:
            return True
        origin = await self.origins.find(call.resumes) if call.resumes else None
        known = "kept"
        if origin is None:
            origin = self._only_origin(request_state)
            known = "unknown" if origin is None else "only-version"
        self.metrics.add("streams_taken_up_total", 1, known)
        if origin is None:
            return False
        request_state.service, request_state.software = origin
        return any(one.service == origin.service for one in route.shares)

    def _only_origin(
        self, request_state: requeststate.RequestState
    ) -> streamorigins.Origin | None:
        """Return the origin if the route has one service, and this one version."""
        route, service = request_state.route, request_state.service
        now_ms = self.clock.now_ms()
        found = self.registry.software_versions(service, route.timeout_ms, now_ms)
        if len(route.shares) > 1 or len(found) != 1:
            return None
        # A caller that names no attempt knows only services of a single version, so the
        # versions in sight suffice.
        if request_state.call.resumes and not self.registry.is_listed_for(
            route.timeout_ms, now_ms
        ):
            return None
        return streamorigins.Origin(service, found.pop())
