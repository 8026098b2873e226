"""Creates the components of an instance, connects them, and starts and stops them.

During shutdown, new calls are rejected first. Calls in progress then finish, their
permits are released, and the peer server closes last.
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
from cornelreach.http import client as http_client, limits, memory, server, tls
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

RECONFIGURE_PERIOD_MS = 200
CHANGE_DEBOUNCE_MS = 5
SHARD_CLEANUP_PERIOD_MS = 60_000
CERTIFICATE_CHECK_PERIOD_MS = 2_000
LEASE_RELEASE_TIMEOUT_MS = 1_000
PUBLISH_PERIOD_MS = 500
NOTICE_TIMEOUT_MS = 500
PEER_GRACE_MS = 1_000

STARTED = events.define(
    1301, "INFO", "Instance {name} (boot {boot}) listens on {address}.", "Nothing."
)
DRAINING = events.define(
    1302,
    "INFO",
    "Instance {name} is shutting down; open connections: {calls}.",
    "Nothing.",
)
STOPPED = events.define(
    1303,
    "INFO",
    "Instance {name} stopped; connections aborted: {cut}.",
    "If connections were aborted, increase drain-ms.",
)


class Settings(typing.NamedTuple):
    """Settings of an instance; addresses have the form host:port."""

    name: str
    data_centre: str
    region: str
    listen: str
    peer_listen: str
    peer_address: str
    platform: str
    drain_ms: int
    limits: limits.Limits


class TlsSettings(typing.NamedTuple):
    """TLS configuration of an instance; a field is None if TLS is not configured."""

    callers: tls.ReloadableContext | None = None
    targets: tls.ReloadableContext | None = None
    peers: credentials.Files | None = None


class Instance:
    """A running instance and its components."""

    def __init__(
        self,
        settings: Settings,
        ring: typing.Callable[[], streams.KeyRing],
        tls_settings: TlsSettings | None = None,
    ) -> None:
        self.settings = settings
        self.boot = os.urandom(8).hex()
        self.draining = False
        self.account = memory.Account()
        self._quotas: dict[str, fairness.Quota] = {}
        self.superseded = asyncio.Event()
        self._reconfigure_scheduled = False
        self.tls_settings = tls_settings or TlsSettings()
        self.clock = timers.LoopTimers()
        targets = self.tls_settings.targets
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
        self._notice_tasks: set[asyncio.Task[None]] = set()
        self.server: server.Server | None = None

    def _build_peers(self) -> None:
        files = self.tls_settings.peers
        self.peer_credentials = (
            credentials.ReloadableCredentials(files) if files else None
        )
        source = self.peer_credentials.credentials if self.peer_credentials else None
        self.peers = wire.Client(self.sender, self._on_message, source)
        self.peer_server = wire.Server(self.sender, self._on_message)

    def _build_platform(self) -> None:
        address = http_client.parse_address(self.settings.platform)
        now_ms = self.clock.now_ms()
        self.budget = budget.Budget(1, now_ms, self.random)
        self.platform = self._platform_client(address, budget.Purpose.SETTINGS)
        self.claim_objects = self._platform_client(address, budget.Purpose.CLAIM)
        self.membership_objects = self._platform_client(
            address, budget.Purpose.MEMBERSHIP
        )
        self.pool_objects = self._platform_client(address, budget.Purpose.OWNERSHIP)

    def _platform_client(
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
        identity = peermessages.Identity(
            settings.name,
            self.boot,
            int(self.clock.wall_ms()),
            settings.data_centre,
            settings.peer_address,
        )
        now_ms = self.clock.now_ms()
        self.node = node.Node(identity, self.state, self.random, now_ms)
        self.members = directory_module.Directory(self.node, self.clock)
        self.node_runner = noderunner.NodeRunner(
            self.node,
            self.peers,
            self.peer_server,
            self.membership_objects,
            self.clock,
            self._on_member_event,
        )
        self.sync = sync.Sync(
            self.platform,
            self.state,
            backoff.Backoff(self.random, limit_ms=sync.RETRY_LIMIT_MS),
            is_watcher=self.node_runner.is_watcher,
            on_platform_result=self.node_runner.record_platform_result,
        )

    def _on_member_event(self, event: membership.Event) -> None:
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
            self._platform_client(
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
        self.peer_server.register(methods.RESUMED, self._on_resumed)
        self.clock.every(RECONFIGURE_PERIOD_MS, self._configure_pools)
        self.clock.every(PUBLISH_PERIOD_MS, self._publish)
        self.state.subscribe(lambda _: self._on_settings_changed())

    def alive(self) -> list[ownership.Member]:
        """Return the unsuspected instances of this data centre, with their boot IDs."""
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
            self.view,
            self.chat_executor,
            self.service_api,
            self,
            self._send_resume_notice,
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
        self.clock.every(SHARD_CLEANUP_PERIOD_MS, self.claim_log.remove_idle_shards)

    def sender(self) -> wire.Sender:
        """Return the sender fields of every message from this instance."""
        settings = self.settings
        return wire.Sender(
            settings.name, settings.data_centre, self.boot, self.state.revision
        )

    def _on_message(self, sender: wire.Sender) -> None:
        """Do nothing; ``wire`` requires a callback for each message from a peer."""

    def configured(self) -> bool:
        """Return whether any settings have been received."""
        return self.state.revision > 0

    def owner(self, pool_name: str) -> str:
        """Return the name of the instance that owns a pool."""
        return self.pool_directory.owner(pool_name)

    def admission_right(self, pool_name: str) -> admission.AdmissionRight:
        """Return this instance's right to admit calls to cold targets of a pool."""
        return self.ownerships.admission_right(pool_name)

    def quota(self, account: str) -> fairness.Quota:
        """Return an account's quota in a pool; cached for ``PUBLISH_PERIOD_MS``."""
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
        """Return the peer address of an instance, or an empty string if unknown."""
        return self.pool_directory.address(instance)

    def platform_reached(self) -> bool:
        """Return whether the platform is not known to be unreachable."""
        return self.node_runner.platform_ok is not False

    def listing(self) -> tuple[frozenset[str], float]:
        """Return the names in the platform's list and when it was read."""
        return self.node_runner.listing, self.node_runner.listing_ms

    def _publish(self) -> None:
        self._quotas.clear()
        now_ms = self.clock.now_ms()
        for owned_pool in self.permit_service.owned_pools.values():
            summary = owned_pool.owner.summary(now_ms)
            self.pool_directory.publish(summary, owned_pool.wait_ms(now_ms))

    def _on_settings_changed(self) -> None:
        # Several changes in quick succession cause a single reconfiguration.
        if not self._reconfigure_scheduled:
            self._reconfigure_scheduled = True
            self.clock.after(CHANGE_DEBOUNCE_MS, self._configure_pools)

    def _configure_pools(self) -> None:
        self._reconfigure_scheduled = False
        pools = self._local_pools()
        self.ownerships.configure(pools)
        self.permit_service.configure(
            {
                name: self._pool_settings(name, targets)
                for name, targets in pools.items()
                if self.pool_directory.owner(name) == self.settings.name
            }
        )

    def _local_pools(self) -> dict[str, list[items.Target]]:
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
        location = cachemanager.PoolLocation(name, data_centre, pools, leaving)
        stores = {
            target.name: target
            for target in self.view.stores.values()
            if target.state == view.IN_SERVICE
        }
        engines = {target.name: target for target in targets}
        model = self.view.models.get(serves)
        closed = self.rollout_controller.closed(serves)
        return permitservice.PoolSettings(location, engines, stores, model, closed)

    async def _on_resumed(
        self, sender: wire.Sender, notice: notices.Resumed
    ) -> notices.Empty:
        self.chat_executor.on_resumed(notice.run)
        return notices.Empty()

    def _send_resume_notice(self, notice: notices.Resumed) -> None:
        address = self.members.address(notice.instance)
        if not address:
            return
        call = self.peers.call(address, methods.RESUMED, notice, NOTICE_TIMEOUT_MS)
        task = asyncio.ensure_future(call)
        self._notice_tasks.add(task)
        task.add_done_callback(self._notice_tasks.discard)

    async def _watch_certificates(self) -> None:
        while True:
            await asyncio.sleep(CERTIFICATE_CHECK_PERIOD_MS / 1_000)
            for context in (self.tls_settings.callers, self.tls_settings.targets):
                if context is not None:
                    context.reload_if_changed()
            if (
                self.peer_credentials is not None
                and self.peer_credentials.reload_if_changed()
            ):
                await self.peers.reopen_channels()

    async def start(self) -> None:
        """Listen for peers and callers, and watch the platform for changes."""
        settings = self.settings
        files = self.tls_settings.peers
        server_credentials = credentials.server(files) if files else None
        await self.peer_server.start(settings.peer_listen, server_credentials)
        self._tasks = [
            asyncio.ensure_future(self.sync.run()),
            asyncio.ensure_future(self.node_runner.run()),
            asyncio.ensure_future(self.node_runner.follow_platform()),
            asyncio.ensure_future(self._watch_certificates()),
            asyncio.ensure_future(self.rollout_controller.run()),
        ]
        host, _, port = settings.listen.rpartition(":")
        callers = self.tls_settings.callers
        context = callers.context if callers else None
        self.server = await server.start(
            host, int(port), self.api.handle, settings.limits, context, self.account
        )
        events.emit(
            STARTED, name=settings.name, boot=self.boot, address=settings.listen
        )

    async def stop(self) -> None:
        """Reject new calls, finish the calls in progress, and close."""
        self.draining = True
        self.node.membership.leave(self.clock.now_ms())
        self.node_runner.tick()
        name = self.settings.name
        events.emit(DRAINING, name=name, calls=len(self.server.connections))
        self.server.stop_listening()
        await self.ownerships.resign()
        await self._release_leases()
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

    async def _release_leases(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LEASE_RELEASE_TIMEOUT_MS / 1_000):
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
