"""One instance on the users' platform: wires up its components, starts and stops them.

A graceful stop has three phases. The instance reports "not ready" and goes on serving
new requests, but closes each connection after its response; then it stops listening and
closes idle connections; finally it waits for the responses in progress. Requests that
arrive then, on slow connections, are taken only if they are due before the end; shortly
before it, what is still unanswered gets an answer that says so.
"""

import asyncio
import contextlib
import random
import time
import typing

from returns import result

from cornelreach.gateway import (
    balancer,
    calls,
    continuations,
    detours,
    forwarding,
    gossip as gossip_module,
    mirror as mirror_module,
    outages,
    probing,
    promptindex,
    proofs,
    quarantine,
    quarantinesync,
    reach,
    recordhandlers,
    registry as registry_module,
    releaserules,
    releases,
    rollouts,
    roomadmission,
    selection,
    silence,
    softwareversions,
    storedorigins,
    streamorigins,
    targetlimits,
    watching,
)
from cornelreach.http import client as http_client, limits, memory, messages, server
from cornelreach.platform import (
    budget,
    client as platform_client,
    engines,
    leases,
    promptstores,
    records,
    releases as platform_releases,
    results,
    site as site_module,
    software,
)
from cornelreach.reports import metrics
from cornelreach.util import errors, events, guards, timers

ENGINE_CONNECT_MS = 200
# Until the kernel gives up a connection whose data is not acknowledged. One with an
# unanswered keepalive probe ends at the first probe after that time, here at 4 s, so a
# target that is silent for less than two seconds loses no answer.
ENGINE_SILENCE_MS = 3_100
ENGINE_IDLE_MS = 5_000
CONFIRM_WAIT_MS = 250
PLATFORM_SILENCE_MS = 1_500
PLATFORM_CALL_MS = 1_000
TARGETS_BATCH_SHARE = 0.2  # of the bound within which draining targets are noticed
LEASES_BATCH_MS = 900.0
LEASE_READ_MS = 4_000  # a watch tells contenders of the lease in the meantime
FLEET_BATCH_MS = 1_500.0
PROOF_SHARE = 0.4  # of the bound on revoked keys, between two freshness proofs
# Of the same bound. An instance without a sound connection to the platform for longer
# owes its callers no answers to requests with a key, so it reports itself not ready and
# the balancer sends new requests elsewhere; keys are refused only shortly before the
# bound.
READY_SHARE = 0.6
LONG_WATCH_MS = 15_000
RELEASE_WATCH_MS = 5_000  # an order lasts some 12 s; a watch may die unnoticed
HUB_PROOF_SHARE = 0.25  # of the bound on revoked keys, between two proofs of a hub
PROOF_LIMIT_SHARE = 0.45  # of the bound; beyond it an instance reads the platform
# Of the bound on old weights. A request on them loses a fifth of its benefit from 1.5 s
# after the newer version was confirmed, and all of it from the bound on.
VERSION_PROOF_SHARE = 0.5
LEAVE_MS = 2_800  # two readiness checks a second apart, plus the balancer's delay
FINISH_MS = 1_000  # at least, for what was taken until then
STOP_MARGIN_MS, STOP_MARGIN_SHARE = 900, 0.25  # of the grace period, at most
ANSWER_MS = 200  # until answers to all that is under way have been written
LAST_READ_S = 0.05  # for what arrived while the process did not run
LOOP_PASSES = 16  # of the event loop, from bytes that have arrived to their answer
METRICS_PORT, METRICS_PATH = 9_464, "/metrics"  # as in deploy/system.toml
SETTINGS_POLL_MS = 1_000
PRESSURE = "pressure"  # the contract of deployments under heavy load
BODY_WAIT_MS = 30_000
CALLER_CONNECTIONS = 2_000
PASSED_ON_HEADER_BYTES = 2_048  # what one instance adds for another
PEER_IDLE_MS = 10_000  # longer than instances keep idle connections to each other

STARTED = events.define(
    2001, "INFO", "Instance {name} in {zone} listens at {address}.", "Nothing."
)
READY = events.define(2002, "INFO", "Readiness: {ready} ({reason}).", "Nothing.")
STOPPING = events.define(
    2003,
    "INFO",
    "Instance {name} is stopping; requests in progress: {active}.",
    "Nothing.",
)
STOPPED = events.define(
    2004,
    "INFO",
    "Instance {name} has stopped; requests aborted: {active}.",
    "If any: compare the longest request with the grace period.",
)
RELOADED = events.define(2005, "INFO", "Settings file reloaded: {change}.", "Nothing.")
RELOAD_FAILED = events.define(
    2006, "WARNING", "Settings file not applied: {error}.", "Correct the file."
)


def _timing_for(bound_ms: float, batch_ms: float = 0.0) -> watching.Timing:
    """Return the timing for records whose changes must be known within a bound.

    Watches wait long, also those of hubs: only the configuration's calls prove
    freshness, and with it that of the other kinds (``proofs``).
    """
    return watching.Timing(
        LONG_WATCH_MS, LONG_WATCH_MS, batch_ms, bound_ms * PROOF_LIMIT_SHARE
    )


def _timings(bounds: site_module.Bounds) -> dict[str, watching.Timing]:
    """Return the timing of the records that follow the bounds, by prefix."""
    targets_batch_ms = bounds.drain_ms * TARGETS_BATCH_SHARE
    return {
        records.CONFIG: _timing_for(bounds.revoke_ms)._replace(
            direct_ms=int(bounds.revoke_ms * PROOF_SHARE),
            hub_ms=int(bounds.revoke_ms * HUB_PROOF_SHARE),
        ),
        records.TARGETS: _timing_for(bounds.drain_ms, targets_batch_ms),
        records.EVACUATIONS: _timing_for(bounds.evacuate_ms),
        records.VERSIONS: _timing_for(bounds.version_ms * VERSION_PROOF_SHARE),
    }


class SuspendTimers(timers.LoopTimers):
    """Timers on a clock that also runs while the machine is suspended."""

    def now_ms(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1_000


class Edge:
    """One instance and its components."""

    def __init__(self, site: site_module.Site, path: str) -> None:
        self.site = site
        self.path = path
        self.clock = SuspendTimers()
        self.random = random.Random()
        self.boot = self.random.randbytes(6).hex()
        bounds = site.bounds
        self.mirror = mirror_module.Mirror(
            site.name, bounds.revoke_ms, bounds.revoke_strict
        )
        self.metrics = metrics.Metrics()
        self.stopping = False
        self._settings_text = site_module.read(path)
        self._last_unready_reason = ""
        self._tasks: list[asyncio.Task[typing.Any]] = []
        self._is_registered = False
        self.account = memory.Account()
        self.account.configure(site.memory_mb, site.max_fds)
        self.account.opened = self._connections_opened
        self.account.received = lambda: self.http.held_bytes
        self.account.on_closed = lambda port, bound: self.metrics.add(
            "connections_bounded_total", 1, str(port), bound
        )
        self._build_platform()
        self._build_forwarding()
        self._build_watchers()
        self._build_metrics()

    def _build_platform(self) -> None:
        self.platform_http = http_client.Client(
            connect_wait_ms=PLATFORM_CALL_MS, ack_timeout_ms=PLATFORM_SILENCE_MS
        )
        address = http_client.parse_address(self.site.platform)
        self.objects = platform_client.Client(
            self.platform_http, address, call_wait_ms=PLATFORM_CALL_MS
        )

    def _build_forwarding(self) -> None:
        self.http = http_client.Client(
            connect_wait_ms=ENGINE_CONNECT_MS,
            idle_timeout_ms=ENGINE_IDLE_MS,
            ack_timeout_ms=ENGINE_SILENCE_MS,
        )
        self.http.on_idle_closed = lambda address: self.mirror.registry.record_closed(
            f"{address.host}:{address.port}"
        )
        self.gossip = gossip_module.Gossip(
            self.site.name,
            self.boot,
            self.mirror.registry,
            self.clock,
            self.site.zone,
        )
        self.reach = reach.Reach(self.mirror.registry, self.clock)
        self.gossip.is_cut_off = self.reach.is_cut_off
        self.balancer = balancer.Balancer(
            self.mirror.registry, self.gossip, self.site.zone, self.random
        )
        self.prompt_index = promptindex.PromptIndex()
        self.prompt_store_watcher = promptindex.PromptStoreWatcher(
            self.prompt_index,
            promptstores.PromptStoreClient(self.http),
            self.clock,
            self.gossip,
            self.random,
        )
        self.selector = selection.Selector(
            self.mirror,
            self.balancer,
            self.prompt_index,
            self.http,
            self.site.bounds,
            self.site.regions,
            self.clock,
            targetlimits.TargetLimits(self.gossip, self.mirror, self.clock),
        )
        self.releases = self._make_releases()
        self.silence = silence.Silence(self.mirror.registry, self.http, self.clock)
        self._apply_contracts(self.site.contracts)
        self.engine_client = engines.EngineClient(self.http, self._record_control_reply)
        self.quarantine = quarantine.Quarantine(self.clock)
        self.quarantine_sync = quarantinesync.QuarantineSync(
            self.quarantine, self.gossip, self.objects, self.mirror, self.clock
        )
        self.software_versions = softwareversions.SoftwareVersions(
            self.mirror, self.objects, self.clock
        )
        self.stored_origins = storedorigins.StoredOrigins(
            self.objects, self.mirror, self.clock, self.site.writes_per_s
        )
        self.forwarder = forwarding.Forwarder(
            forwarding.Dependencies(
                self.mirror,
                self.selector,
                self.http,
                self.clock,
                self.random,
                self.metrics,
                continuations.Continuations(
                    streamorigins.StreamOrigins(self.gossip, self.clock),
                    self.mirror.registry,
                    self.clock,
                    self.metrics,
                    self.software_versions,
                    self.stored_origins,
                    self.http,
                    self._is_current,
                ),
                self.quarantine,
                detours.Detours(
                    self.mirror, self.gossip, self.selector, self.clock, self.random
                ),
                self.silence,
            )
        )

    def _make_releases(self) -> releases.Releases | None:
        """Return what follows orders of software rollouts, where there may be any."""
        if platform_releases.CONTRACT not in self.site.contracts:
            return None
        environment = releaserules.Environment(
            self.mirror,
            self.balancer.prefill_rates,
            self.metrics,
            self.clock,
            self.reach.is_cut_off,
            lambda target: self.balancer.gossip.peer_load(target).prefill_tokens,
        )
        found = releases.Releases(
            self.gossip, self.objects, environment, self.site.bounds
        )
        self.selector.rules = found.rules
        # A process that starts again must not send requests to a version that was
        # rolled back before it has read so.
        self.mirror.required.add(recordhandlers.ReleaseHandler.kind)
        return found

    def _apply_contracts(self, contracts: frozenset[str]) -> None:
        """Switch admission by room and the watch over streams on or off."""
        is_on = self.selector.room is not None
        if (PRESSURE in contracts) != is_on:
            self.selector.room = None if is_on else self._make_room_admission()
        self.silence.is_midway = PRESSURE in contracts

    def _make_room_admission(self) -> roomadmission.RoomAdmission:
        return roomadmission.RoomAdmission(
            self.mirror, self.balancer, self.clock, self.random, self.metrics
        )

    def _waiting_for_room(self) -> int:
        room = self.selector.room
        return 0 if room is None else len(room.queue)

    def _build_watchers(self) -> None:
        bounds = self.site.bounds
        takeover_delay_ms = int(bounds.lease_ms) + rollouts.QUIET_MARGIN_MS
        lease = leases.Lease(
            rollouts.LEASE,
            self.site.name,
            self.boot,
            rollouts.TERM_MS,
            takeover_delay_ms,
            LEASE_READ_MS,
        )
        lease_runner = leases.LeaseRunner(self.objects, lease, self.clock)
        self.objects.on_restore = self._platform_restored
        self.lease = lease
        self.rollouts = rollouts.Rollouts(
            self.mirror,
            lease,
            lease_runner,
            self.engine_client,
            self.clock,
            self.gossip,
        )
        mirror, clock = self.mirror, self.clock
        timings = _timings(bounds)
        first = self._make_watcher(
            recordhandlers.CatalogueHandler(mirror, clock, self._apply_catalogue),
            timings[records.CONFIG],
        )
        self.weights = recordhandlers.VersionHandler(
            mirror, clock, bounds.version_ms, bounds.contact_ms
        )
        rest = [
            (
                recordhandlers.TargetHandler(mirror, clock),
                timings[records.TARGETS],
            ),
            (
                recordhandlers.EvacuationHandler(mirror, clock),
                timings[records.EVACUATIONS],
            ),
            (self.weights, timings[records.VERSIONS]),
            (
                recordhandlers.SoftwareHandler(mirror, clock, self.software_versions),
                _timing_for(LONG_WATCH_MS),
            ),
            (
                recordhandlers.FleetHandler(
                    mirror,
                    clock,
                    self.gossip.members,
                    self._register_again,
                    lambda: self._is_registered,
                ),
                _timing_for(LONG_WATCH_MS, FLEET_BATCH_MS),
            ),
            (
                recordhandlers.LeaseHandler(mirror, clock, lease),
                _timing_for(LONG_WATCH_MS, LEASES_BATCH_MS),
            ),
            (
                recordhandlers.QuarantineHandler(mirror, clock, self.quarantine),
                _timing_for(LONG_WATCH_MS),
            ),
        ]
        others = [self._make_watcher(handler, timing) for handler, timing in rest]
        self.watchers = [first, *others]
        self.proofs = proofs.Proofs(self.gossip, clock)
        for watcher in self.watchers:
            self.proofs.add(watcher)
        self.proofs.anchor = first
        if self.releases is not None:
            others.append(self._watch_releases(self.releases))
            self.watchers.append(others[-1])
        self.software_versions.read_now = self._read_software
        self.outages = outages.Outages(
            self.gossip, self.proofs, mirror.registry, clock, self.site.report_ms
        )
        for watcher in (first, self.proofs.watchers[records.TARGETS]):
            watcher.on_outage = self.outages.record_return
        self.gossip.on_role_change = self._role_changed
        for watcher in others:
            watcher.recovery_watcher = first
        first.on_reconnect = lambda: self._restart_watchers(others)

    def _watch_releases(self, found: releases.Releases) -> watching.Watcher:
        """Return the watcher of orders; hubs pass no status on, so it needs no hub."""
        handler = recordhandlers.ReleaseHandler(self.mirror, self.clock, found)
        timing = watching.Timing(RELEASE_WATCH_MS, RELEASE_WATCH_MS)
        watcher = self._make_watcher(handler, timing)
        found.read_now = watcher.read_now
        watcher.on_outage = found.record_outage
        return watcher

    async def _read_software(self) -> bool:
        """Read the entries that name software versions, as they are now."""
        kinds = (records.TARGETS, software.PREFIX)
        read = (self.proofs.watchers[one].read_now() for one in kinds)
        return all(await asyncio.gather(*read))

    def _platform_restored(self, era: int) -> None:
        """Read everything again: the platform's store came back from a copy."""
        self.lease.on_restore(era, self.clock.now_ms())
        self.stored_origins.forget_version()
        for one in self.watchers:
            one.restart()

    def _role_changed(self) -> None:
        """Wake what only a hub does, or only an instance that follows one."""
        self.prompt_store_watcher.wake()
        for one in self.watchers:
            one.wake()

    def _record_control_reply(self, address: str, reply: calls.Reply) -> None:
        """Follow what an engine's answer to a report or an order says of it."""
        for target in self.mirror.registry.targets_at(address):
            self.selector.record_notices(target, reply)

    async def _is_current(self, target: registry_module.Target) -> bool | None:
        """Return whether an engine's own report is of the lifetime of its entry.

        None means that the report could not be read.
        """
        config = self.mirror.catalogue
        service = config.services.get(target.service) if config else None
        if service is None or service.engine is None:
            return True
        report = await self.engine_client.report(target.address, CONFIRM_WAIT_MS)
        return None if report is None else report.born_ms in (0, target.born_ms)

    def _restart_watchers(self, others: list[watching.Watcher]) -> None:
        """Repeat the waiting calls of the other watchers after an outage."""
        for one in others:
            one.restart()

    def _connections_opened(self) -> int:
        return self.http.open_total + self.platform_http.open_total

    def _build_metrics(self) -> None:
        gauge = self.metrics.gauge
        gauge("held_bytes", lambda: self.account.total_bytes)
        gauge("connections_accepted", lambda: self.account.connections)
        mirror, registry = self.mirror, self.mirror.registry
        gauge("requests_under_way", lambda: self.forwarder.active)
        gauge("catalogue_version", lambda: getattr(mirror.catalogue, "version", 0))
        gauge("proof_age_ms", lambda: mirror.proof_age_ms(self.clock.now_ms()))
        gauge(
            "targets_open",
            lambda: sum(
                registry.is_open(*one[:2]) for one in registry.targets.values()
            ),
        )
        gauge(
            "targets_suspected",
            lambda: sum(one.suspected for one in registry.states.values()),
        )
        gauge("cut_off", lambda: int(self.reach.is_cut_off()))
        gauge(
            "targets_resting",
            lambda: sum(
                one.is_resting(self.clock.now_ms()) for one in registry.states.values()
            ),
        )
        gauge("requests_waiting_for_room", self._waiting_for_room)
        gauge(
            "targets_limited",
            lambda: sum(
                one.limit_per_s is not None for one in registry.states.values()
            ),
        )
        gauge(
            "targets_leaving",
            lambda: sum(map(registry.is_leaving, registry.targets.values())),
        )
        gauge("store_era", lambda: self.objects.era or 0)
        gauge(
            "parts_known",
            lambda: sum(len(one.parts) for one in self.prompt_index.stores.values()),
        )
        gauge("parts_quarantined", lambda: self.quarantine.count(requests=False))
        gauge("requests_quarantined", lambda: self.quarantine.count(requests=True))
        gauge("peers_alive", lambda: len(self.gossip.live_instances()) - 1)

    async def _serve_metrics(self, request: messages.Request) -> messages.Response:
        if request.path != METRICS_PATH:
            return messages.json_response(404, {"error": f"ask for {METRICS_PATH}"})
        fields = ((b"content-type", b"text/plain; version=0.0.4"),)
        return messages.Response(200, self.metrics.render(), fields)

    def _make_watcher(
        self, handler: recordhandlers.BaseHandler, timing: watching.Timing
    ) -> watching.Watcher:
        return watching.Watcher(self.objects, handler, timing, self.clock, self.random)

    def _apply_catalogue(self) -> None:
        if self.releases is not None:
            self.releases.apply_pending()
        self.prompt_store_watcher.configure(self.mirror.catalogue)
        found = self.mirror.catalogue.limits
        self.front.limits = limits.Limits(
            header_bytes=found.header_bytes,
            body_bytes=found.body_bytes,
            header_wait_ms=int(found.header_ms),
            body_wait_ms=BODY_WAIT_MS,
            idle_ms=int(found.idle_ms),
            connections=CALLER_CONNECTIONS,
        )
        self.peer_server.limits = self.front.limits._replace(
            header_bytes=found.header_bytes + PASSED_ON_HEADER_BYTES,
            idle_ms=PEER_IDLE_MS,
        )

    async def start(self) -> None:
        """Start listening, register, and watch the platform's records."""
        self.front = await self._listen(self.site.front, self.forwarder.handle)
        self.readiness = await self._listen(self.site.readiness, self._answer_readiness)
        self.peer_server = await self._listen(
            f"{self.site.ip}:{self.site.ports[0]}", self.forwarder.handle_passed_on
        )
        self.metrics_server = await self._listen(
            f"{self.site.ip}:{METRICS_PORT}", self._serve_metrics
        )
        for watcher in self.watchers:
            self._keep_running(f"watch {watcher.handler.prefix}", watcher.run)
        self._keep_running("rollouts", self.rollouts.run)
        await self.gossip.listen(self.site.ip, self.site.ports[0])
        prober = probing.Prober(
            self.mirror, self.http, self.clock, self.selector.record_notices
        )
        self._keep_running("probing", prober.run)
        self._keep_running("gossip", self.gossip.run)
        self._keep_running("hub", self.gossip.run_hub)
        self._keep_running("proofs", self.proofs.run)
        self._keep_running("registration", self._register_first)
        self._keep_running("settings", self._watch_settings)
        self.clock.every(softwareversions.CHECK_MS, self.software_versions.check)
        self.clock.every(storedorigins.CHECK_MS, self.stored_origins.check)
        if self.releases is not None:
            self.clock.every(releases.TICK_MS, self.releases.tick)
        events.emit(
            STARTED, name=self.site.name, zone=self.site.zone, address=self.site.front
        )

    def _keep_running(
        self, name: str, run: typing.Callable[[], typing.Awaitable[None]]
    ) -> None:
        task = asyncio.ensure_future(guards.keep_running(name, run))
        self._tasks.append(task)

    async def _listen(self, address: str, handler: server.Handler) -> server.Server:
        host, _, port = address.rpartition(":")
        return await server.start(host, int(port), handler, account=self.account)

    async def _register_first(self) -> None:
        if await self._register() and self.site.is_first_start:
            self.selector.confirm_first_start()

    def _register_again(self) -> None:
        self._keep_running("registration", self._register)

    async def _register(self) -> bool:
        """Register this instance; fleet-wide limits are divided by these entries.

        Returns whether its entry was missing.
        """
        site = self.site
        value = {
            "data_centre": site.zone,
            "peer_address": f"{site.ip}:{site.ports[0]}",
            "state": "live",
            "power": site.power,
        }
        while True:
            outcome = await self.objects.put(
                f"{platform_client.INSTANCES}{site.name}", value, if_absent=True
            )
            unknown = results.Unavailable | results.OutcomeUnknown
            is_new = isinstance(outcome, result.Success)
            if is_new or not isinstance(outcome.failure(), unknown):
                self._is_registered = True
                return is_new
            await asyncio.sleep(budget.THROTTLED_PAUSE_MS / 1_000)

    async def _answer_readiness(self, request: messages.Request) -> messages.Response:
        reason = self.unready_reason()
        if reason != self._last_unready_reason:
            self._last_unready_reason = reason
            events.emit(READY, ready=not reason, reason=reason or "serving")
        return messages.json_response(503 if reason else 200, {"reason": reason})

    def unready_reason(self) -> str:
        """Return why this instance should get no new callers, or an empty text."""
        if self.stopping:
            return "stopping"
        if self.mirror.catalogue is None or not self.mirror.is_synced():
            return "platform not read"
        bounds = self.site.bounds
        age_ms = self.mirror.proof_age_ms(self.clock.now_ms())
        if bounds.revoke_strict and age_ms > bounds.revoke_ms * READY_SHARE:
            return "configuration not proved"
        return ""

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_POLL_MS / 1_000)
            self.reload()

    def reload(self) -> None:
        """Apply the bounds of the settings file if it has changed."""
        text = site_module.read(self.path)
        if text == self._settings_text:
            return
        self._settings_text = text
        try:
            found = site_module.load(self.path)
        except errors.UserError as error:
            events.emit(RELOAD_FAILED, error=error)
            return
        if found.bounds != self.site.bounds:
            self._apply_bounds(found.bounds)
            events.emit(RELOADED, change="bounds")
        self.account.configure(found.memory_mb, found.max_fds)
        self.outages.lapse_ms = found.report_ms * outages.LAPSE_INTERVALS
        self._apply_contracts(found.contracts)
        self.site = found

    def _apply_bounds(self, bounds: site_module.Bounds) -> None:
        """Hand changed bounds to all that keep some; the lease keeps its own."""
        self.selector.bounds = bounds
        if self.releases is not None:
            self.releases.apply_bounds(bounds)
        self.mirror.revoke_ms = bounds.revoke_ms
        self.mirror.revoke_strict = bounds.revoke_strict
        self.weights.version_ms = bounds.version_ms
        self.weights.contact_ms = bounds.contact_ms
        timings = _timings(bounds)
        for watcher in self.watchers:
            watcher.timing = timings.get(watcher.handler.prefix, watcher.timing)

    async def stop(self) -> None:
        """Stop gracefully within the grace period."""
        self.stopping = self.rollouts.stopping = True
        grace_ms = self.site.bounds.grace_ms
        usable_ms = grace_ms - min(STOP_MARGIN_MS, grace_ms * STOP_MARGIN_SHARE)
        leave_ms = max(0.0, min(LEAVE_MS, usable_ms - FINISH_MS))
        now_s = asyncio.get_running_loop().time()
        end_s = now_s + usable_ms / 1_000
        late_s = now_s + leave_ms / 1_000 + server.LINGER_S
        self.forwarder.stops.begin(late_s, end_s - ANSWER_MS / 1_000)
        events.emit(STOPPING, name=self.site.name, active=self.forwarder.active)
        self.front.disable_keep_alive()
        await asyncio.sleep(leave_ms / 1_000)
        self.front.stop_listening()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(end_s):
                await self.front.wait_closed()
                await self.forwarder.wait_idle()
        if self.front.connections:
            await asyncio.sleep(LAST_READ_S)
            for _ in range(LOOP_PASSES):
                await asyncio.sleep(0)
        events.emit(STOPPED, name=self.site.name, active=self.forwarder.active)
        self.front.abort()
        self.peer_server.abort()
        self.prompt_store_watcher.close()
        self.rollouts.close()
        self.quarantine_sync.close()
        self.software_versions.close()
        self.stored_origins.close()
        if self.releases is not None:
            self.releases.close()
        for task in self._tasks:
            task.cancel()
