"""The environment of a soak run: store, engines, proxies, instances and faults."""

import asyncio
import contextlib
import pathlib
import random
import signal
import time
import typing

import msgspec

from cornelreach.http import server
from standins import platform as platform_module, wireengine
from tools.soak import addresses, callers, edges as edges_module, proxy, schedule

ZONES = ("north", "south", "east")
PLAIN_SERVICE, POOL_SERVICE = "s", "p"
MODEL = "m"
SOFTWARE = ("1.0", "1.1")  # versions that serve side by side
PLAIN_ENGINES, POOL_ENGINES = 3, 4
ENGINES = PLAIN_ENGINES + POOL_ENGINES
CALLERS_PER_EDGE = 3
COLD_S = 3.0
COPY_AGE_S = 1.2  # how much the store loses when it comes back from a copy
RESTORE_AWAY_S = 0.4
REWRITE_S = 0.3  # until operator and engines have written again
COLD_PER_S = 10.0
RESTART_S = 0.3
CUT_S = 8.0  # longer than the bound on revoked keys
VERSION_S = 9.0  # longer than the bound on old model versions
LEAVE_EXIT_S = 4.0  # long enough for arrivals after the bound on leaving engines
REST_S = 1.5
POISON_S = 12.0  # past both bounds on prompts that crash engines
POISON_PERIOD_S = 0.25
REVIVE_S = 0.8
LIMIT_S = 9.0  # past the bound on limits, and for a window more
LIMIT_PER_S = 0.25
DRAIN_EXIT_S = 2.6  # a draining engine serves for a little longer than the bound
READY_WAIT_S = 20.0
RECOVERY_S = 3.0  # the documented bound is 12 s; a shorter wait keeps runs short
RECOVERY_CHECK_S = 2.0
KEYS = ("key-0", "key-1", "key-2", "key-3", "key-4", "key-5")
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 1_048_576,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}
ROUTES = {
    "/once/": ("non_idempotent", PLAIN_SERVICE),
    "/read/": ("idempotent", PLAIN_SERVICE),
    "/stream/": ("streaming", POOL_SERVICE),
    "/resume/": ("streaming", POOL_SERVICE),
}


class Disturbance(typing.NamedTuple):
    """A period in which a fault affected a subject; ``store`` is the platform store."""

    subject: str
    kind: str
    start_s: float
    end_s: float


class AcknowledgedChange(typing.NamedTuple):
    """A change and the time at which the store acknowledged it."""

    kind: str
    subject: str
    at_s: float
    value: int = 0


class Environment:
    """All processes, stand-ins and records of one run."""

    def __init__(
        self, seed: int, edges: int, program: tuple[str, ...], folder: pathlib.Path
    ) -> None:
        self.random = random.Random(seed)
        # Addresses belong to a run, not to a seed: runs of one seed may overlap.
        self.host, self._address_lock = addresses.reserve_host()
        # An address used by nothing else, so that no other process reuses its ports.
        self.shared_host = f"{self.host}.{addresses.SHARED_HOST_NUMBER}"
        self.program = program
        self.folder = folder
        self.store = platform_module.Platform()
        self.ledger = wireengine.RequestLog()
        self.requests: list[callers.SentRequest] = []
        self.disturbances: list[Disturbance] = []
        self.changes: list[AcknowledgedChange] = []
        self.keys = list(KEYS)
        self.config_version = 1
        self.model_version = 1
        self.extra_routes: list[str] = []
        self._written: dict[str, typing.Any] = {}
        self.edges: dict[str, edges_module.Edge] = {}
        self.engines: dict[str, wireengine.WireEngine] = {}
        self.zones: dict[str, str] = {}
        self.links: dict[str, proxy.Proxy] = {}
        self._edge_count = edges
        self._tasks: list[asyncio.Task[typing.Any]] = []
        self._ids: dict[str, str] = {}

    async def start(self) -> None:
        """Start everything and wait until all instances are ready."""
        self.store_server = await server.start(self.shared_host, 0, self.store.handle)
        await self._start_engines()
        self.write_config()
        self.write("versions/" + MODEL, {"model": MODEL, "version": 1})
        for number in range(self._edge_count):
            await self._start_edge(number)
        await self.wait_ready()
        for name, edge in self.edges.items():
            for number in range(CALLERS_PER_EDGE):
                self._start_caller(f"{name}-c{number}", edge, self._any_key)

    def _any_key(self) -> str:
        return self.random.choice(self.keys)

    def _start_caller(
        self, name: str, edge: edges_module.Edge, keys: typing.Callable[[], str]
    ) -> None:
        caller = self._make_caller(name, edge, keys)
        self._tasks.append(asyncio.ensure_future(caller.run()))

    def _make_caller(
        self, name: str, edge: edges_module.Edge, keys: typing.Callable[[], str]
    ) -> callers.Caller:
        return callers.Caller(
            name,
            edge.name,
            f"{edge.host}:{edges_module.CALLER_PORT}",
            keys,
            random.Random(self.random.random()),
            self.requests,
            {
                one.name: f"{one.host}:{edges_module.CALLER_PORT}"
                for one in self.edges.values()
                if one is not edge
            },
        )

    async def _start_engines(self) -> None:
        for number in range(ENGINES):
            plain = number < PLAIN_ENGINES
            name = f"e{number}"
            engine = wireengine.WireEngine(
                name,
                PLAIN_SERVICE if plain else POOL_SERVICE,
                self.ledger,
                self.random,
                "" if plain else MODEL,
                software=SOFTWARE[number % len(SOFTWARE)],
            )
            self.engines[name] = engine
            self.zones[name] = ZONES[number % len(ZONES)]
            await engine.start(self.shared_host)
            engine.on_change = lambda one=name: self.write_entry(one)
            engine.on_crash = lambda one=name: self._revive_later(one)
            self.links[name] = proxy.Proxy(engine.address)
            await self.links[name].start(self.shared_host)
            self.write_entry(name)

    async def _start_edge(self, number: int) -> None:
        name = f"edge{number}"
        link = proxy.Proxy(f"{self.shared_host}:{self.store_server.port}")
        await link.start(self.shared_host)
        self.links[name] = link
        zone = ZONES[number % len(ZONES)]
        self.edges[name] = edges_module.Edge(
            name,
            zone,
            f"{self.host}.{number + 1}",
            self.folder,
            link.address,
            ZONES,
            self.program,
        )
        await self.edges[name].start()

    async def wait_ready(self) -> None:
        """Wait until every instance is ready for callers."""
        end_s = time.monotonic() + READY_WAIT_S
        for edge in self.edges.values():
            while not await _is_ready(edge):
                if time.monotonic() > end_s:
                    raise TimeoutError(f"{edge.name} is not ready")
                await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Stop everything that was started."""
        for task in self._tasks:
            task.cancel()
        for edge in self.edges.values():
            if edge.process is not None and edge.process.returncode is None:
                await edge.stop()
        for link in self.links.values():
            link.close()
        for engine in self.engines.values():
            engine.crash()
        self.store_server.stop_listening()
        self.store_server.abort()
        self._address_lock.close()

    # Objects written by the operator and the engines.

    def write(self, key: str, value: typing.Any) -> None:
        """Write an object directly, bypassing the store's faults."""
        self._written[key] = value
        body = None if value is None else msgspec.json.encode(value)
        self.store.model.seed(key, body)
        self.store.notify_watches()

    def write_entry(self, name: str) -> None:
        """Write the registration of an engine's current boot."""
        link = self.links[name]
        self.write(
            f"servers/{name}", self.engines[name].entry(self.zones[name], link.address)
        )

    def write_config(self) -> None:
        """Write the current configuration."""
        routes = [self._route_document(*one) for one in self._route_parts()]
        engine = {"slots": 8, "kv_capacity_tokens": 60_000, "models": [{"name": MODEL}]}
        services = [
            {"name": PLAIN_SERVICE, "health_path": "/health", "max_connections": 90},
            {
                "name": POOL_SERVICE,
                "health_path": "/health",
                "max_connections": 90,
                "engine": engine,
            },
        ]
        for service in services:
            service["cold_per_s"] = COLD_PER_S
        account = {"name": "tirnica", "api_keys": list(self.keys)}
        self.write(
            "config/main",
            {
                "version": self.config_version,
                "routes": routes,
                "services": services,
                "limits": LIMITS,
                "tenants": [account],
            },
        )

    def _route_parts(self) -> list[tuple[str, str, str]]:
        routes = [(prefix, *rest) for prefix, rest in ROUTES.items()]
        return routes + [
            (prefix, "idempotent", PLAIN_SERVICE) for prefix in self.extra_routes
        ]

    def _route_document(
        self, prefix: str, kind: str, service: str
    ) -> dict[str, typing.Any]:
        return {
            "name": f"r{prefix}",
            "hostname": callers.HOST,
            "path_prefix": prefix,
            "route_type": kind,
            "timeout_ms": 1_900,
            "target_latency_ms": 300,
            "max_attempts": 2,
            "priority": 1,
            "service": service,
            "resumable": prefix == "/resume/",
        }

    def record_change(self, kind: str, subject: str, value: int = 0) -> None:
        """Record a change that the store has just acknowledged."""
        now_s = time.monotonic()
        self.changes.append(AcknowledgedChange(kind, subject, now_s, value))

    # Faults.

    async def run_schedule(self, faults: typing.Sequence[schedule.Fault]) -> None:
        """Inject the faults of a schedule; returns when the last one has ended."""
        start_s = time.monotonic()
        running = []
        for fault in faults:
            await asyncio.sleep(max(0.0, start_s + fault.at_s - time.monotonic()))
            running.append(asyncio.ensure_future(self._inject(fault)))
        await asyncio.gather(*running)

    async def _inject(self, fault: schedule.Fault) -> None:
        handler = getattr(self, "_do_" + fault.kind.replace("-", "_"))
        start_s = time.monotonic()
        subject = fault.subject
        if fault.kind in schedule.STORE_KINDS:
            subject = "store"
        disturbance = Disturbance(subject, fault.kind, start_s, float("inf"))
        self.disturbances.append(disturbance)
        try:
            await handler(fault)
        finally:
            self.disturbances.remove(disturbance)
            self.disturbances.append(disturbance._replace(end_s=time.monotonic()))

    async def _do_kill(self, fault: schedule.Fault) -> None:
        edge = self.edges[fault.subject]
        await self._stop_and_restart(edge, signal.SIGKILL)

    async def _do_term(self, fault: schedule.Fault) -> None:
        await self._stop_and_restart(self.edges[fault.subject], signal.SIGTERM)

    async def _stop_and_restart(
        self, edge: edges_module.Edge, number: signal.Signals
    ) -> None:
        process = edge.process
        await edge.stop(number)
        await asyncio.sleep(RESTART_S)
        await edge.restart(process)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READY_WAIT_S):
                while not await _is_ready(edge):
                    await asyncio.sleep(0.05)

    async def _do_pause(self, fault: schedule.Fault) -> None:
        edge = self.edges[fault.subject]
        edge.send_signal(signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        edge.send_signal(signal.SIGCONT)

    async def _do_reload(self, fault: schedule.Fault) -> None:
        self.edges[fault.subject].send_signal(signal.SIGHUP)

    async def _with_link_fault(self, fault: schedule.Fault, state: proxy.Link) -> None:
        link = self.links[fault.subject]
        link.set_link(state)
        await asyncio.sleep(fault.for_s)
        link.set_link(proxy.Link.GOOD)

    async def _do_store_silent(self, fault: schedule.Fault) -> None:
        await self._with_link_fault(fault, proxy.Link.SILENT)

    async def _do_store_deaf(self, fault: schedule.Fault) -> None:
        await self._with_link_fault(fault, proxy.Link.DEAF)

    async def _do_store_reset(self, fault: schedule.Fault) -> None:
        await self._with_link_fault(fault, proxy.Link.RESET)

    async def _do_store_slow(self, fault: schedule.Fault) -> None:
        await self._with_link_fault(fault, proxy.Link.SLOW)

    async def _do_cut(self, fault: schedule.Fault) -> None:
        # Revokes a key while the instance is cut off for longer than the bound.
        self.links[fault.subject].set_link(proxy.Link.SILENT)
        self._revoke(self.edges[fault.subject])
        await asyncio.sleep(CUT_S)
        self.links[fault.subject].set_link(proxy.Link.GOOD)

    async def _do_link_silent(self, fault: schedule.Fault) -> None:
        await self._with_link_fault(fault, proxy.Link.SILENT)

    async def _do_link_reset(self, fault: schedule.Fault) -> None:
        await self._with_link_fault(fault, proxy.Link.RESET)

    def _set_store_faults(self, **faults: float) -> None:
        self.store.model.set_faults(faults, self.store.now_ms())

    async def _do_outage(self, fault: schedule.Fault) -> None:
        self._set_store_faults(outage_ms=fault.for_s * 1_000)
        await asyncio.sleep(fault.for_s)

    async def _do_slow(self, fault: schedule.Fault) -> None:
        self._set_store_faults(slow_ms=200.0)
        await asyncio.sleep(fault.for_s)
        self._set_store_faults(slow_ms=0.0)

    async def _do_lose_answers(self, fault: schedule.Fault) -> None:
        self._set_store_faults(lose_answers=3)
        await asyncio.sleep(fault.for_s)
        self._set_store_faults(lose_answers=0)

    async def _do_compact(self, fault: schedule.Fault) -> None:
        self.store.model.compact()

    async def _do_restore(self, fault: schedule.Fault) -> None:
        # Operator and engines write again what the copy lacks; instances do the same.
        model = self.store.model
        copy = model.copy()
        # The copy is older than the entry of one instance, which has to write it again.
        copy.objects.pop(f"instances/{self.random.choice(list(self.edges))}", None)
        await asyncio.sleep(COPY_AGE_S)
        self._set_store_faults(outage_ms=RESTORE_AWAY_S * 1_000)
        await asyncio.sleep(RESTORE_AWAY_S)
        if copy.era == model.era:
            model.restore(copy)
            self.store.notify_watches()
        await asyncio.sleep(REWRITE_S)
        for key, value in list(self._written.items()):
            self.write(key, value)

    async def _do_leave(self, fault: schedule.Fault) -> None:
        # The engine says that it leaves only in its answers, and serves until it ends.
        engine = self.engines[fault.subject]
        engine.faults.leaving = True
        await asyncio.sleep(LEAVE_EXIT_S)
        engine.crash()
        engine.faults.leaving = False
        self.write(f"servers/{fault.subject}", None)
        await asyncio.sleep(0.5)
        await self._restart_engine(fault.subject)

    async def _do_rest(self, fault: schedule.Fault) -> None:
        await self._with_engine_fault(fault, "rest_s", REST_S, 0.0)

    async def _do_limit(self, fault: schedule.Fault) -> None:
        engine = self.engines[fault.subject]
        self.record_change("limit", fault.subject, engine.born)
        engine.faults.limit_per_s = LIMIT_PER_S
        await asyncio.sleep(LIMIT_S)
        engine.faults.limit_per_s = None
        self.record_change("limit-end", fault.subject)

    async def _do_crash(self, fault: schedule.Fault) -> None:
        engine = self.engines[fault.subject]
        engine.crash()
        await asyncio.sleep(fault.for_s)
        await self._restart_engine(fault.subject)

    async def _restart_engine(self, name: str, cold_s: float = 0.0) -> None:
        self.engines[name].software = self.random.choice(SOFTWARE)
        with contextlib.suppress(OSError):
            await self.engines[name].start(self.shared_host, cold_s)
        self.write_entry(name)

    def _revive_later(self, name: str) -> None:
        self._tasks.append(asyncio.ensure_future(self._revive(name)))

    async def _revive(self, name: str) -> None:
        """Restart an engine that a prompt has crashed, unless a fault will."""
        disturbance = Disturbance(name, "crash", time.monotonic(), float("inf"))
        self.disturbances.append(disturbance)
        await asyncio.sleep(REVIVE_S)
        engine = self.engines[name]
        if not (engine.draining or engine.faults.leaving):
            await self._restart_engine(name)
        self.disturbances.remove(disturbance)
        self.disturbances.append(disturbance._replace(end_s=time.monotonic()))

    async def _do_poison(self, fault: schedule.Fault) -> None:
        part = f"bad{len(self.ledger.poisoned_parts)}"
        self.ledger.poisoned_parts.add(part)
        self.record_change("poison", part)
        caller = self._make_caller(part, next(iter(self.edges.values())), self._any_key)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(POISON_S):
                await caller.run_poisoned(part, POISON_PERIOD_S)
        self.record_change("poison-end", part)

    async def _do_cold(self, fault: schedule.Fault) -> None:
        # A cold engine registers as cold before it accepts requests.
        engine = self.engines[fault.subject]
        engine.crash()
        self.write(f"servers/{fault.subject}", None)
        await asyncio.sleep(0.5)
        await self._restart_engine(fault.subject, COLD_S)
        await asyncio.sleep(COLD_S)

    async def _do_dark(self, fault: schedule.Fault) -> None:
        await self._with_engine_fault(fault, "dark", True, False)

    async def _do_errors(self, fault: schedule.Fault) -> None:
        await self._with_engine_fault(fault, "errors", 0.5, 0.0)

    async def _do_lost(self, fault: schedule.Fault) -> None:
        await self._with_engine_fault(fault, "lost", 0.3, 0.0)

    async def _do_garbled(self, fault: schedule.Fault) -> None:
        await self._with_engine_fault(fault, "garbled", 0.3, 0.0)

    async def _do_late_orders(self, fault: schedule.Fault) -> None:
        await self._with_engine_fault(fault, "late_orders", 0.6, 0.0)

    async def _with_engine_fault(
        self, fault: schedule.Fault, field: str, value: typing.Any, normal: typing.Any
    ) -> None:
        faults = self.engines[fault.subject].faults
        setattr(faults, field, value)
        await asyncio.sleep(fault.for_s)
        setattr(faults, field, normal)

    async def _do_drain(self, fault: schedule.Fault) -> None:
        engine = self.engines[fault.subject]
        engine.draining = True
        self.write_entry(fault.subject)
        self.record_change("drain", fault.subject, engine.born)
        await asyncio.sleep(DRAIN_EXIT_S)
        engine.crash()
        self.write(f"servers/{fault.subject}", None)
        await asyncio.sleep(fault.for_s)
        await self._restart_engine(fault.subject)

    async def _do_forged(self, fault: schedule.Fault) -> None:
        self.write("servers/forged", {"service": 7, "address": "nowhere"})
        await asyncio.sleep(fault.for_s)
        self.write("servers/forged", None)

    async def _do_revoke(self, fault: schedule.Fault) -> None:
        self._revoke(self.random.choice(list(self.edges.values())))

    def _revoke(self, edge: edges_module.Edge) -> None:
        """Revoke a key, and start a caller that continues to use it at an instance."""
        if len(self.keys) <= 2:
            return
        key = self.keys.pop(self.random.randrange(len(self.keys)))
        self.config_version += self.random.randrange(1, 4)
        self.write_config()
        self.record_change("revoke", key)
        self._start_caller(f"{edge.name}-{key}", edge, lambda: key)

    async def _do_route(self, fault: schedule.Fault) -> None:
        self.extra_routes.append(f"/extra{len(self.extra_routes)}/")
        self.config_version += self.random.randrange(1, 4)
        self.write_config()

    async def _do_version(self, fault: schedule.Fault) -> None:
        self.model_version += 1
        self.write("versions/" + MODEL, {"model": MODEL, "version": self.model_version})
        self.record_change("version", MODEL, self.model_version)
        await asyncio.sleep(VERSION_S)

    async def _do_evacuate(self, fault: schedule.Fault) -> None:
        self.write(f"evacuations/{fault.subject}", {})
        self.record_change("evacuate", fault.subject)
        await asyncio.sleep(fault.for_s + 6.0)
        self.record_change("return", fault.subject)
        self.write(f"evacuations/{fault.subject}", None)


async def _is_ready(edge: edges_module.Edge) -> bool:
    """Return whether an instance reports that it is ready."""
    try:
        async with asyncio.timeout(0.5):
            reader, writer = await asyncio.open_connection(
                edge.host, edges_module.READY_PORT
            )
            try:
                writer.write(b"GET /api/ready HTTP/1.1\r\nhost: x\r\n\r\n")
                return b" 200 " in await reader.readline()
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return False
