"""One instance: builds its parts, connects them, and starts and stops them.

The order of a stop is the reverse of what callers depend on: first new calls are
turned away, then calls in progress end, then permits go back, and the peers' server
closes last.
"""

import asyncio
import contextlib
import os
import random
import ssl
import typing

from cornelreach.calls import (
    api,
    chatflow,
    claims,
    exchanges,
    once,
    runs,
    serviceflow,
    streams,
)
from cornelreach.fleet import (
    beats,
    directory as directory_module,
    membership,
    news,
    node,
)
from cornelreach.http import client as http_client, limits, server
from cornelreach.peers import wire
from cornelreach.platform import backoff, budget, client as platform_client
from cornelreach.pools import (
    desk as desk_module,
    methods,
    notices,
    placer as placer_module,
    prober,
)
from cornelreach.reports import metrics, reporter
from cornelreach.settings import items, state as state_module, sync, view
from cornelreach.targets import admission
from cornelreach.util import events, timers

RECONFIGURE_MS = 200
SETTLE_MS = 5
FORGET_MS = 60_000
NOTICE_WAIT_MS = 500
PEER_GRACE_MS = 1_000

STARTED = events.define(
    1301, "INFO", "Instance {name} boot {boot} serves at {address}.", "Nothing."
)
DRAINING = events.define(
    1302, "INFO", "Instance {name} stops; calls in progress: {calls}.", "Nothing."
)
STOPPED = events.define(
    1303,
    "INFO",
    "Instance {name} stopped; calls cut off: {cut}.",
    "If any: raise drain-ms.",
)


class Settings(typing.NamedTuple):
    """What an instance is built from; addresses are host:port."""

    name: str
    data_centre: str
    region: str
    listen: str
    peer_listen: str
    peer_address: str
    platform: str
    drain_ms: int
    limits: limits.Limits


class Unlimited:
    """A retry budget that always allows; the attempts of a call stay bounded."""

    def first_try(self) -> None:
        """Count nothing."""

    def allow(self) -> bool:
        """Allow every retry."""
        return True


class Instance:
    """The parts of one running instance."""

    def __init__(
        self,
        settings: Settings,
        ring: typing.Callable[[], streams.KeyRing],
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.settings = settings
        self.boot = os.urandom(8).hex()
        self.draining = False
        self.superseded = asyncio.Event()
        self._reconfiguring = False
        self.tls = tls
        self.clock = timers.LoopTimers()
        self.http = http_client.Client()
        self.state = state_module.State()
        self.view = view.View(self.state)
        self.random = random.Random(self.boot)
        self._build_peers()
        self._build_platform()
        self._build_fleet()
        self._build_pools()
        self._build_reports()
        self._build_calls(ring)
        self._tasks: list[asyncio.Task[None]] = []
        self._notices: set[asyncio.Task[None]] = set()
        self.server: server.Server | None = None

    def _build_peers(self) -> None:
        self.peers = wire.Client(self.sender, self._heard)
        self.peer_server = wire.Server(self.sender, self._heard)

    def _build_platform(self) -> None:
        address = http_client.parse_address(self.settings.platform)
        now_ms = self.clock.now_ms()
        self.budget = budget.Budget(1, now_ms, self.random)
        self.platform = self._objects(address, budget.Purpose.SETTINGS)
        self.claim_objects = self._objects(address, budget.Purpose.CLAIM)
        self.list_objects = self._objects(address, budget.Purpose.MEMBERSHIP)
        self.pool_objects = self._objects(address, budget.Purpose.OWNERSHIP)

    def _objects(
        self, address: http_client.Address, purpose: budget.Purpose
    ) -> platform_client.Client:
        gate = budget.Gate(self.budget, purpose, self.clock.now_ms, asyncio.sleep)
        return platform_client.Client(self.http, address, gate.enter, told=gate.told)

    def _build_fleet(self) -> None:
        settings = self.settings
        me = news.Identity(
            settings.name,
            self.boot,
            int(self.clock.wall_ms()),
            settings.data_centre,
            settings.peer_address,
        )
        now_ms = self.clock.now_ms()
        self.node = node.Node(me, self.state, self.random, now_ms)
        self.members = directory_module.Directory(self.node, self.clock)
        self.beats = beats.Beats(
            self.node,
            self.peers,
            self.peer_server,
            self.list_objects,
            self.clock,
            self._member_event,
        )
        self.sync = sync.Sync(
            self.platform,
            self.state,
            backoff.Backoff(self.random, limit_ms=sync.RETRY_LIMIT_MS),
            watching=self.beats.watching,
            report=self.beats.report,
        )

    def _member_event(self, event: membership.Event) -> None:
        self.budget.resize(max(1, len(self.members.addresses())))
        if isinstance(event, membership.Superseded):
            self.superseded.set()

    def _build_pools(self) -> None:
        self.desk = desk_module.Desk(self.settings.name, self.clock, self)
        self.prober = prober.Prober(
            self.http, self.clock, self.desk, lambda: self.view.targets
        )
        self.placer = placer_module.Placer(
            self.sender, self.clock, self.view, self.peers, self.members, self.desk
        )
        self.peer_server.register(methods.ASK, self.desk.ask)
        self.peer_server.register(methods.RELEASE, self.desk.release)
        self.peer_server.register(methods.RESUMED, self._resumed)
        self.clock.every(RECONFIGURE_MS, self._configure_desk)
        self.state.subscribe(lambda _: self._settings_changed())

    def _build_reports(self) -> None:
        self.metrics = metrics.Metrics()
        self.reporter = reporter.Reporter(
            self.settings.name, self.boot, self.view, self.clock, self.metrics
        )
        gauge = self.metrics.gauge
        gauge("settings_revision", lambda: self.state.revision)
        gauge("platform_reachable", lambda: int(bool(self.beats.platform_ok)))
        gauge("connections", lambda: len(self.server.connections))
        gauge("peers", lambda: len(self.node.membership.serving()))
        gauge("pools_owned", lambda: len(self.desk.owners))

    def _build_calls(self, ring: typing.Callable[[], streams.KeyRing]) -> None:
        identity = chatflow.Identity(self.settings.name, self.boot)
        parts = chatflow.Parts(
            self.clock,
            self.http,
            self.view,
            self.placer,
            ring,
            self.reporter,
            Unlimited(),
            identity,
        )
        self.flow = chatflow.ChatFlow(parts)
        services = serviceflow.ServiceFlow(parts)
        self._build_claims(services)
        self.services = serviceflow.ServiceDesk(services, self.once)
        self.api = api.Api(self.view, self.flow, self.services, self, self._announce)

    def _build_claims(self, sender: once.Sender) -> None:
        name = self.settings.name
        self.claims = claims.Claims(
            name,
            self.claim_objects,
            self.peers,
            self.members.addresses,
            self.clock,
            lambda: self.view.defaults.claim_retention_ms,
        )
        attempts = runs.Runs(name, self.boot)
        self.once = once.Once(attempts, self.claims, sender, self.clock)
        self.peer_server.register(exchanges.SUBMIT, self.claims.answer_submit)
        self.peer_server.register(exchanges.ASK, self.once.answer_ask)
        self.peer_server.register(exchanges.FORWARD, self.once.answer_forward)
        self.clock.every(FORGET_MS, self.claims.forget_idle)

    def sender(self) -> wire.Sender:
        """Return what this instance says of itself in every message."""
        settings = self.settings
        return wire.Sender(
            settings.name, settings.data_centre, self.boot, self.state.revision
        )

    def _heard(self, sender: wire.Sender) -> None:
        """Take note of a peer's message."""

    def configured(self) -> bool:
        """Return whether any settings are held."""
        return self.state.revision > 0

    def owner(self, pool_name: str) -> str:
        """Return the instance that owns a pool."""
        targets = self.view.pool(pool_name)
        if not targets:
            return ""
        return self.members.owner(pool_name, targets[0].data_centre)

    def standing(self, pool_name: str) -> admission.Standing:
        """Return this instance's right to admit to cold targets of a pool."""
        return admission.Standing(1, True, 0.0)

    def _settings_changed(self) -> None:
        # A burst of changes is followed once.
        if not self._reconfiguring:
            self._reconfiguring = True
            self.clock.after(SETTLE_MS, self._configure_desk)

    def _configure_desk(self) -> None:
        self._reconfiguring = False
        owned: dict[str, dict[str, admission.Limits]] = {}
        for target in self.view.targets.values():
            if target.data_centre != self.settings.data_centre:
                continue
            if target.kind == "store" or target.state != view.IN_SERVICE:
                continue
            if self.owner(target.pool_name) == self.settings.name:
                pool = owned.setdefault(target.pool_name, {})
                pool[target.name] = limits_of(target)
        self.desk.configure(owned)

    async def _resumed(
        self, sender: wire.Sender, notice: notices.Resumed
    ) -> notices.Nothing:
        self.flow.resumed(notice.run)
        return notices.Nothing()

    def _announce(self, notice: notices.Resumed) -> None:
        address = self.members.address(notice.instance)
        if not address:
            return
        call = self.peers.call(address, methods.RESUMED, notice, NOTICE_WAIT_MS)
        task = asyncio.ensure_future(call)
        self._notices.add(task)
        task.add_done_callback(self._notices.discard)

    async def start(self) -> None:
        """Listen for peers and callers and follow the platform."""
        settings = self.settings
        await self.peer_server.start(settings.peer_listen)
        self._tasks = [
            asyncio.ensure_future(self.sync.run()),
            asyncio.ensure_future(self.beats.run()),
            asyncio.ensure_future(self.beats.follow()),
        ]
        host, _, port = settings.listen.rpartition(":")
        self.server = await server.start(
            host, int(port), self.api.handle, settings.limits, self.tls
        )
        events.emit(
            STARTED, name=settings.name, boot=self.boot, address=settings.listen
        )

    async def stop(self) -> None:
        """Turn new calls away, finish those in progress, then close."""
        self.draining = True
        self.node.membership.leave(self.clock.now_ms())
        self.beats.tick()
        name = self.settings.name
        events.emit(DRAINING, name=name, calls=len(self.server.connections))
        self.server.stop_listening()
        try:
            async with asyncio.timeout(self.settings.drain_ms / 1_000):
                await self.server.drained()
                await self.flow.settled()
                await self.once.drained()
                await self.placer.settled()
        except TimeoutError:
            pass
        events.emit(STOPPED, name=name, cut=len(self.server.connections))
        self.server.abort()
        await self._close()

    async def _close(self) -> None:
        for task in self._tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        await self.once.close()
        await self.claims.close()
        await self.peer_server.stop(PEER_GRACE_MS)
        await self.peers.close()
        await self.http.close()


def limits_of(target: items.Target) -> admission.Limits:
    """Return what a target bears, from its settings."""
    return admission.Limits(
        target.max_sequences,
        target.max_tokens,
        target.cold_sequences,
        target.cold_tokens,
        target.cold_ms,
    )
