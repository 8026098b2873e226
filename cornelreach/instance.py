"""One instance: builds its parts, connects them, and starts and stops them.

The order of a stop is the reverse of what callers depend on: first new calls are
turned away, then calls in progress end, then permits go back, and the peers' server
closes last.
"""

import asyncio
import contextlib
import os
import random
import typing

from cornelreach.calls import (
    api,
    atmostonce,
    callmessages,
    chatexecutor,
    claims,
    localattempts,
    serviceexecutor,
    streams,
)
from cornelreach.fleet import (
    directory as directory_module,
    membership,
    node,
    noderunner,
    peermessages,
)
from cornelreach.http import client as http_client, limits, server, tls
from cornelreach.peers import credentials, wire
from cornelreach.platform import backoff, budget, client as platform_client
from cornelreach.pools import (
    controller,
    methods,
    notices,
    ownerships,
    permitservice,
    placer as placer_module,
    pooldirectory,
    prober,
)
from cornelreach.prompts import cachemanager, transferclient
from cornelreach.reports import metrics, reporter
from cornelreach.settings import items, state as state_module, sync, view
from cornelreach.targets import admission, fairness, ownership, retries
from cornelreach.util import events, timers

RECONFIGURE_MS = 200
SETTLE_MS = 5
FORGET_MS = 60_000
FILES_MS = 2_000
LEASES_MS = 1_000
PUBLISH_MS = 500
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


class Security(typing.NamedTuple):
    """TLS of an instance, each part None where it is not set."""

    callers: tls.ReloadableContext | None = None
    targets: tls.ReloadableContext | None = None
    peers: credentials.Files | None = None


class Instance:
    """The parts of one running instance."""

    def __init__(
        self,
        settings: Settings,
        ring: typing.Callable[[], streams.KeyRing],
        security: Security | None = None,
    ) -> None:
        self.settings = settings
        self.boot = os.urandom(8).hex()
        self.draining = False
        self._quotas: dict[str, fairness.Quota] = {}
        self.superseded = asyncio.Event()
        self._reconfiguring = False
        self.security = security or Security()
        self.clock = timers.LoopTimers()
        targets = self.security.targets
        self.http = http_client.Client(targets.context if targets else None)
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
        files = self.security.peers
        self.peer_credentials = (
            credentials.ReloadableCredentials(files) if files else None
        )
        source = self.peer_credentials.credentials if self.peer_credentials else None
        self.peers = wire.Client(self.sender, self._heard, source)
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
        limiter = budget.RateLimiter(
            self.budget, purpose, self.clock.now_ms, asyncio.sleep
        )
        return platform_client.Client(
            self.http, address, limiter.acquire, on_response=limiter.on_response
        )

    def _build_fleet(self) -> None:
        settings = self.settings
        me = peermessages.Identity(
            settings.name,
            self.boot,
            int(self.clock.wall_ms()),
            settings.data_centre,
            settings.peer_address,
        )
        now_ms = self.clock.now_ms()
        self.node = node.Node(me, self.state, self.random, now_ms)
        self.members = directory_module.Directory(self.node, self.clock)
        self.node_runner = noderunner.NodeRunner(
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
            is_watcher=self.node_runner.is_watcher,
            on_platform_result=self.node_runner.record_platform_result,
        )

    def _member_event(self, event: membership.Event) -> None:
        self.budget.resize(max(1, len(self.members.addresses())))
        if isinstance(event, membership.Superseded):
            self.superseded.set()

    def _build_pools(self) -> None:
        settings = self.settings
        self.pool_directory = pooldirectory.PoolDirectory(
            self.view, self.node, self.members, self.clock
        )
        self.ownerships = ownerships.Ownerships(
            ownership.Member(settings.name, self.boot),
            self.clock,
            self.state,
            self.pool_objects,
            self.peers,
            self.peer_server,
            self,
        )
        self.pool_directory.ownerships = self.ownerships
        self.rollout_controller = controller.RolloutController(
            settings.name,
            self.boot,
            self.clock,
            self.view,
            self._objects(
                http_client.parse_address(settings.platform), budget.Purpose.LEASE
            ),
            self.http,
            self.members.addresses,
        )
        self.permit_service = permitservice.PermitService(
            self.clock, self, self.http, self.random
        )
        self.prober = prober.Prober(
            self.http, self.clock, self.permit_service, lambda: self.view.targets
        )
        self.placer = placer_module.Placer(
            self.sender,
            self.clock,
            self.view,
            self.peers,
            self.pool_directory,
            self.permit_service,
        )
        self.peer_server.register(methods.ASK, self.permit_service.ask)
        self.peer_server.register(methods.RELEASE, self.permit_service.release)
        self.peer_server.register(methods.RESUMED, self._resumed)
        self.clock.every(RECONFIGURE_MS, self._configure_pools)
        self.clock.every(PUBLISH_MS, self._publish)
        self.state.subscribe(lambda _: self._settings_changed())

    def alive(self) -> list[ownership.Member]:
        """Return the unsuspected instances of this data centre with their boots."""
        return self.pool_directory.members()

    def _build_reports(self) -> None:
        self.metrics = metrics.Metrics()
        self.reporter = reporter.Reporter(
            self.settings.name, self.boot, self.view, self.clock, self.metrics
        )
        gauge = self.metrics.gauge
        gauge("settings_revision", lambda: self.state.revision)
        gauge("platform_reachable", lambda: int(bool(self.node_runner.platform_ok)))
        gauge("connections", lambda: len(self.server.connections))
        gauge("peers", lambda: len(self.node.membership.serving()))
        gauge("pools_owned", lambda: len(self.permit_service.owned_pools))

    def _build_calls(self, ring: typing.Callable[[], streams.KeyRing]) -> None:
        identity = chatexecutor.Identity(self.settings.name, self.boot)
        dependencies = chatexecutor.CallDependencies(
            self.clock,
            self.http,
            self.view,
            transferclient.TransferClient(self.http),
            self.placer,
            ring,
            self.reporter,
            retries.RetryBudgets(self.view.defaults.retry_share),
            identity,
            self.rollout_controller.versions,
        )
        self.chat_executor = chatexecutor.ChatExecutor(dependencies)
        services = serviceexecutor.ServiceExecutor(dependencies)
        self._build_claims(services)
        self.service_api = serviceexecutor.ServiceApi(services, self.at_most_once)
        self.api = api.Api(
            self.view, self.chat_executor, self.service_api, self, self._announce
        )

    def _build_claims(self, sender: atmostonce.ServiceSender) -> None:
        name = self.settings.name
        self.claim_log = claims.ClaimLog(
            name,
            self.claim_objects,
            self.peers,
            self.members.addresses,
            self.clock,
            lambda: self.view.defaults.claim_retention_ms,
        )
        attempts = localattempts.LocalAttempts(name, self.boot)
        self.at_most_once = atmostonce.AtMostOnceRunner(
            attempts, self.claim_log, sender, self.clock
        )
        self.peer_server.register(
            callmessages.SUBMIT_CLAIM, self.claim_log.handle_submit
        )
        self.peer_server.register(
            callmessages.ASK_ATTEMPT, self.at_most_once.handle_attempt_query
        )
        self.peer_server.register(
            callmessages.FORWARD_TICKET, self.at_most_once.handle_forward
        )
        self.clock.every(FORGET_MS, self.claim_log.remove_idle_shards)

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
        return self.pool_directory.owner(pool_name)

    def admission_right(self, pool_name: str) -> admission.AdmissionRight:
        """Return this instance's right to admit to cold targets of a pool."""
        return self.ownerships.admission_right(pool_name)

    def quota(self, account: str) -> fairness.Quota:
        """Return what an account may use of a pool; read anew twice a second."""
        if account not in self._quotas:
            wall_ms = self.clock.wall_ms()
            settings = ("account_tokens_per_s", "account_burst_tokens")
            rate, burst, calls = (
                self.view.effective(one, wall_ms, account)
                for one in (*settings, "account_queue_calls")
            )
            self._quotas[account] = fairness.Quota(rate, burst, calls)
        return self._quotas[account]

    def address(self, instance: str) -> str:
        """Return the peer address of an instance, empty if it is unknown."""
        return self.pool_directory.address(instance)

    def platform_reached(self) -> bool:
        """Return whether the platform answers, as far as this instance knows."""
        return self.node_runner.platform_ok is not False

    def listing(self) -> tuple[frozenset[str], float]:
        """Return the names in the platform's list, and when it was read."""
        return self.node_runner.listing, self.node_runner.listing_ms

    def _publish(self) -> None:
        self._quotas.clear()
        now_ms = self.clock.now_ms()
        for owned_pool in self.permit_service.owned_pools.values():
            summary = owned_pool.owner.summary(now_ms)
            self.pool_directory.publish(summary, owned_pool.wait_ms(now_ms))

    def _settings_changed(self) -> None:
        # A burst of changes is followed once.
        if not self._reconfiguring:
            self._reconfiguring = True
            self.clock.after(SETTLE_MS, self._configure_pools)

    def _configure_pools(self) -> None:
        self._reconfiguring = False
        pools = self._own_pools()
        self.ownerships.configure(pools)
        self.permit_service.configure(
            {
                name: self._pool_settings(name, targets)
                for name, targets in pools.items()
                if self.pool_directory.owner(name) == self.settings.name
            }
        )

    def _own_pools(self) -> dict[str, list[items.Target]]:
        pools: dict[str, list[items.Target]] = {}
        for target in self.view.targets_in(self.settings.data_centre).values():
            if target.kind != "store" and target.state == view.IN_SERVICE:
                pools.setdefault(target.pool_name, []).append(target)
        return pools

    def _pool_settings(
        self, name: str, targets: list[items.Target]
    ) -> permitservice.PoolSettings:
        serves = targets[0].serves
        in_service = self.pool_directory.in_service()
        data_centre = self.settings.data_centre
        pools = {
            pool: members[0].data_centre
            for pool, members in self.view.pools(serves).items()
            if members[0].data_centre in in_service
        }
        leaving = data_centre not in in_service
        place = cachemanager.PoolLocation(name, data_centre, pools, leaving)
        stores = {
            target.name: target
            for target in self.view.stores.values()
            if target.state == view.IN_SERVICE
        }
        engines = {target.name: target for target in targets}
        model = self.view.models.get(serves)
        closed = self.rollout_controller.closed(serves)
        return permitservice.PoolSettings(place, engines, stores, model, closed)

    async def _resumed(
        self, sender: wire.Sender, notice: notices.Resumed
    ) -> notices.Empty:
        self.chat_executor.on_resumed(notice.run)
        return notices.Empty()

    def _announce(self, notice: notices.Resumed) -> None:
        address = self.members.address(notice.instance)
        if not address:
            return
        call = self.peers.call(address, methods.RESUMED, notice, NOTICE_WAIT_MS)
        task = asyncio.ensure_future(call)
        self._notices.add(task)
        task.add_done_callback(self._notices.discard)

    async def _watch_files(self) -> None:
        while True:
            await asyncio.sleep(FILES_MS / 1_000)
            for context in (self.security.callers, self.security.targets):
                if context is not None:
                    context.reload_if_changed()
            if (
                self.peer_credentials is not None
                and self.peer_credentials.reload_if_changed()
            ):
                await self.peers.reopen_channels()

    async def start(self) -> None:
        """Listen for peers and callers and follow the platform."""
        settings = self.settings
        files = self.security.peers
        served = credentials.server(files) if files else None
        await self.peer_server.start(settings.peer_listen, served)
        self._tasks = [
            asyncio.ensure_future(self.sync.run()),
            asyncio.ensure_future(self.node_runner.run()),
            asyncio.ensure_future(self.node_runner.follow_platform()),
            asyncio.ensure_future(self._watch_files()),
            asyncio.ensure_future(self.rollout_controller.run()),
        ]
        host, _, port = settings.listen.rpartition(":")
        callers = self.security.callers
        context = callers.context if callers else None
        self.server = await server.start(
            host, int(port), self.api.handle, settings.limits, context
        )
        events.emit(
            STARTED, name=settings.name, boot=self.boot, address=settings.listen
        )

    async def stop(self) -> None:
        """Turn new calls away, finish those in progress, then close."""
        self.draining = True
        self.node.membership.leave(self.clock.now_ms())
        self.node_runner.tick()
        name = self.settings.name
        events.emit(DRAINING, name=name, calls=len(self.server.connections))
        self.server.stop_listening()
        await self.ownerships.resign()
        await self._give_up_leases()
        try:
            async with asyncio.timeout(self.settings.drain_ms / 1_000):
                await self.server.wait_closed()
                await self.chat_executor.wait_idle()
                await self.at_most_once.wait_idle()
                await self.placer.flush_releases()
        except TimeoutError:
            pass
        events.emit(STOPPED, name=name, cut=len(self.server.connections))
        self.server.abort()
        await self._close()

    async def _give_up_leases(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LEASES_MS / 1_000):
                await self.rollout_controller.close()

    async def _close(self) -> None:
        for task in self._tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        await self.permit_service.close()
        await self.at_most_once.close()
        await self.claim_log.close()
        await self.peer_server.stop(PEER_GRACE_MS)
        await self.peers.close()
        await self.http.close()
