"""The world of a soak: store, engines, proxies, instances as processes, and faults."""

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
from tools.soak import callers, edges as edges_module, proxy, schedule

ZONES = ("north", "south", "east")
PLAIN, POOL = "s", "p"
MODEL = "m"
PLAIN_ENGINES, POOL_ENGINES = 3, 4
ENGINES = PLAIN_ENGINES + POOL_ENGINES
CALLERS_PER_EDGE = 3
COLD_S = 3.0
OWN = 250  # last number of the address of store, engines and proxies
COLD_PER_S = 10.0
RESTART_S = 0.3
CUT_S = 8.0  # beyond the bound on revoked keys
VERSION_S = 9.0  # beyond the bound on old weights
LEAVE_S = 2.6  # a draining engine serves on for the bound and a little longer
READY_WAIT_S = 20.0
RECOVERY_S = 3.0  # less than the 12 s of the pages keeps a run short
AFTER_S = 2.0
KEYS = ("key-0", "key-1", "key-2", "key-3", "key-4", "key-5")
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 1_048_576,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}
ROUTES = {
    "/once/": ("non_idempotent", PLAIN),
    "/read/": ("idempotent", PLAIN),
    "/stream/": ("streaming", POOL),
    "/resume/": ("streaming", POOL),
}


class Disturbed(typing.NamedTuple):
    """A time in which a subject was disturbed; ``store`` stands for the store."""

    subject: str
    kind: str
    start_s: float
    end_s: float


class Acknowledged(typing.NamedTuple):
    """A change that the store acknowledged."""

    kind: str
    subject: str
    at_s: float
    value: int = 0


class World:
    """All parts of one run."""

    def __init__(
        self, seed: int, edges: int, program: tuple[str, ...], folder: pathlib.Path
    ) -> None:
        self.random = random.Random(seed)
        self.host = f"127.{self.random.randrange(2, 250)}.{self.random.randrange(250)}"
        # An address of its own, so that nothing else on this machine reuses its ports.
        self.own_host = f"{self.host}.{OWN}"
        self.program = program
        self.folder = folder
        self.store = platform_module.Platform()
        self.ledger = wireengine.RequestLog()
        self.attempts: list[callers.Attempt] = []
        self.disturbed: list[Disturbed] = []
        self.changes: list[Acknowledged] = []
        self.keys = list(KEYS)
        self.version = 1
        self.weights = 1
        self.extra_routes: list[str] = []
        self.edges: dict[str, edges_module.Edge] = {}
        self.engines: dict[str, wireengine.WireEngine] = {}
        self.zones: dict[str, str] = {}
        self.links: dict[str, proxy.Proxy] = {}
        self._count = edges
        self._tasks: list[asyncio.Task[typing.Any]] = []
        self._ids: dict[str, str] = {}

    async def start(self) -> None:
        """Start everything and wait until all instances are ready."""
        self.store_server = await server.start(self.own_host, 0, self.store.handle)
        await self._start_engines()
        self.write_config()
        self.write("versions/" + MODEL, {"model": MODEL, "version": 1})
        for number in range(self._count):
            await self._start_edge(number)
        await self.until_ready()
        for name, edge in self.edges.items():
            for number in range(CALLERS_PER_EDGE):
                self._start_caller(f"{name}-c{number}", edge, self._any_key)

    def _any_key(self) -> str:
        return self.random.choice(self.keys)

    def _start_caller(
        self, name: str, edge: edges_module.Edge, keys: typing.Callable[[], str]
    ) -> None:
        caller = callers.Caller(
            name,
            edge.name,
            f"{edge.host}:{edges_module.FRONT_PORT}",
            keys,
            random.Random(self.random.random()),
            self.attempts,
        )
        self._tasks.append(asyncio.ensure_future(caller.run()))

    async def _start_engines(self) -> None:
        for number in range(ENGINES):
            plain = number < PLAIN_ENGINES
            name = f"e{number}"
            engine = wireengine.WireEngine(
                name,
                PLAIN if plain else POOL,
                self.ledger,
                self.random,
                "" if plain else MODEL,
            )
            self.engines[name] = engine
            self.zones[name] = ZONES[number % len(ZONES)]
            await engine.start(self.own_host)
            engine.on_change = lambda one=name: self.write_entry(one)
            self.links[name] = proxy.Proxy(engine.address)
            await self.links[name].start(self.own_host)
            self.write_entry(name)

    async def _start_edge(self, number: int) -> None:
        name = f"edge{number}"
        link = proxy.Proxy(f"{self.own_host}:{self.store_server.port}")
        await link.start(self.own_host)
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

    async def until_ready(self) -> None:
        """Wait until each instance takes callers."""
        end_s = time.monotonic() + READY_WAIT_S
        for edge in self.edges.values():
            while not await _is_ready(edge):
                if time.monotonic() > end_s:
                    raise TimeoutError(f"{edge.name} is not ready")
                await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """End all that was started."""
        for task in self._tasks:
            task.cancel()
        for edge in self.edges.values():
            if edge.process is not None and edge.process.returncode is None:
                await edge.end()
        for link in self.links.values():
            link.close()
        for engine in self.engines.values():
            engine.crash()
        self.store_server.stop_listening()
        self.store_server.abort()

    # What the operator and the engines write.

    def write(self, key: str, value: typing.Any) -> None:
        """Write an object, past the store's faults."""
        body = None if value is None else msgspec.json.encode(value)
        self.store.model.seed(key, body)
        self.store.notify_watches()

    def write_entry(self, name: str) -> None:
        """Write an engine's entry under the identifier of its lifetime."""
        link = self.links[name]
        self.write(
            f"servers/{name}", self.engines[name].entry(self.zones[name], link.address)
        )

    def write_config(self) -> None:
        """Write the present configuration."""
        routes = [self._route(*one) for one in self._routes()]
        engine = {"slots": 8, "kv_capacity_tokens": 60_000, "models": [{"name": MODEL}]}
        services = [
            {"name": PLAIN, "health_path": "/health", "max_connections": 90},
            {
                "name": POOL,
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
                "version": self.version,
                "routes": routes,
                "services": services,
                "limits": LIMITS,
                "tenants": [account],
            },
        )

    def _routes(self) -> list[tuple[str, str, str]]:
        found = [(prefix, *rest) for prefix, rest in ROUTES.items()]
        return found + [(prefix, "idempotent", PLAIN) for prefix in self.extra_routes]

    def _route(self, prefix: str, kind: str, service: str) -> dict[str, typing.Any]:
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

    def acknowledged(self, kind: str, subject: str, value: int = 0) -> None:
        """Note a change that the store has just acknowledged."""
        now_s = time.monotonic()
        self.changes.append(Acknowledged(kind, subject, now_s, value))

    # Faults.

    async def play(self, faults: typing.Sequence[schedule.Fault]) -> None:
        """Carry out a schedule; returns when the last fault has ended."""
        start_s = time.monotonic()
        running = []
        for fault in faults:
            await asyncio.sleep(max(0.0, start_s + fault.at_s - time.monotonic()))
            running.append(asyncio.ensure_future(self._suffer(fault)))
        await asyncio.gather(*running)

    async def _suffer(self, fault: schedule.Fault) -> None:
        handler = getattr(self, "_do_" + fault.kind.replace("-", "_"))
        start_s = time.monotonic()
        subject = fault.subject
        if fault.kind in schedule.STORE_KINDS:
            subject = "store"
        open_ended = Disturbed(subject, fault.kind, start_s, float("inf"))
        self.disturbed.append(open_ended)
        try:
            await handler(fault)
        finally:
            self.disturbed.remove(open_ended)
            self.disturbed.append(open_ended._replace(end_s=time.monotonic()))

    async def _do_kill(self, fault: schedule.Fault) -> None:
        edge = self.edges[fault.subject]
        await self._ended(edge, signal.SIGKILL)

    async def _do_term(self, fault: schedule.Fault) -> None:
        await self._ended(self.edges[fault.subject], signal.SIGTERM)

    async def _ended(self, edge: edges_module.Edge, number: signal.Signals) -> None:
        process = edge.process
        await edge.end(number)
        await asyncio.sleep(RESTART_S)
        if edge.process is process:
            await edge.start()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READY_WAIT_S):
                while not await _is_ready(edge):
                    await asyncio.sleep(0.05)

    async def _do_pause(self, fault: schedule.Fault) -> None:
        edge = self.edges[fault.subject]
        edge.send(signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        edge.send(signal.SIGCONT)

    async def _do_reload(self, fault: schedule.Fault) -> None:
        self.edges[fault.subject].send(signal.SIGHUP)

    async def _linked(self, fault: schedule.Fault, link: proxy.Link) -> None:
        held = self.links[fault.subject]
        held.set(link)
        await asyncio.sleep(fault.for_s)
        held.set(proxy.Link.GOOD)

    async def _do_store_silent(self, fault: schedule.Fault) -> None:
        await self._linked(fault, proxy.Link.SILENT)

    async def _do_store_deaf(self, fault: schedule.Fault) -> None:
        await self._linked(fault, proxy.Link.DEAF)

    async def _do_store_reset(self, fault: schedule.Fault) -> None:
        await self._linked(fault, proxy.Link.RESET)

    async def _do_store_slow(self, fault: schedule.Fault) -> None:
        await self._linked(fault, proxy.Link.SLOW)

    async def _do_cut(self, fault: schedule.Fault) -> None:
        # A key is taken away while the instance cannot see it, past the bound.
        self.links[fault.subject].set(proxy.Link.SILENT)
        self._revoke(self.edges[fault.subject])
        await asyncio.sleep(CUT_S)
        self.links[fault.subject].set(proxy.Link.GOOD)

    async def _do_link_silent(self, fault: schedule.Fault) -> None:
        await self._linked(fault, proxy.Link.SILENT)

    async def _do_link_reset(self, fault: schedule.Fault) -> None:
        await self._linked(fault, proxy.Link.RESET)

    def _set_store(self, **changed: float) -> None:
        self.store.model.set_faults(changed, self.store.now_ms())

    async def _do_outage(self, fault: schedule.Fault) -> None:
        self._set_store(outage_ms=fault.for_s * 1_000)
        await asyncio.sleep(fault.for_s)

    async def _do_slow(self, fault: schedule.Fault) -> None:
        self._set_store(slow_ms=200.0)
        await asyncio.sleep(fault.for_s)
        self._set_store(slow_ms=0.0)

    async def _do_lose_answers(self, fault: schedule.Fault) -> None:
        self._set_store(lose_answers=3)
        await asyncio.sleep(fault.for_s)
        self._set_store(lose_answers=0)

    async def _do_compact(self, fault: schedule.Fault) -> None:
        self.store.model.compact()

    async def _do_crash(self, fault: schedule.Fault) -> None:
        engine = self.engines[fault.subject]
        engine.crash()
        await asyncio.sleep(fault.for_s)
        await self._restarted(fault.subject)

    async def _restarted(self, name: str, cold_s: float = 0.0) -> None:
        with contextlib.suppress(OSError):
            await self.engines[name].start(self.own_host, cold_s)
        self.write_entry(name)

    async def _do_cold(self, fault: schedule.Fault) -> None:
        # A cold engine says so in its entry before it takes requests.
        engine = self.engines[fault.subject]
        engine.crash()
        self.write(f"servers/{fault.subject}", None)
        await asyncio.sleep(0.5)
        await self._restarted(fault.subject, COLD_S)
        await asyncio.sleep(COLD_S)

    async def _do_dark(self, fault: schedule.Fault) -> None:
        await self._spoil(fault, "dark", True, False)

    async def _do_errors(self, fault: schedule.Fault) -> None:
        await self._spoil(fault, "errors", 0.5, 0.0)

    async def _do_lost(self, fault: schedule.Fault) -> None:
        await self._spoil(fault, "lost", 0.3, 0.0)

    async def _do_garbled(self, fault: schedule.Fault) -> None:
        await self._spoil(fault, "garbled", 0.3, 0.0)

    async def _do_late_orders(self, fault: schedule.Fault) -> None:
        await self._spoil(fault, "late_orders", 0.6, 0.0)

    async def _spoil(
        self, fault: schedule.Fault, field: str, value: typing.Any, good: typing.Any
    ) -> None:
        faults = self.engines[fault.subject].faults
        setattr(faults, field, value)
        await asyncio.sleep(fault.for_s)
        setattr(faults, field, good)

    async def _do_drain(self, fault: schedule.Fault) -> None:
        engine = self.engines[fault.subject]
        engine.draining = True
        self.write_entry(fault.subject)
        self.acknowledged("drain", fault.subject, engine.born)
        await asyncio.sleep(LEAVE_S)
        engine.crash()
        self.write(f"servers/{fault.subject}", None)
        await asyncio.sleep(fault.for_s)
        await self._restarted(fault.subject)

    async def _do_forged(self, fault: schedule.Fault) -> None:
        self.write("servers/forged", {"service": 7, "address": "nowhere"})
        await asyncio.sleep(fault.for_s)
        self.write("servers/forged", None)

    async def _do_revoke(self, fault: schedule.Fault) -> None:
        self._revoke(self.random.choice(list(self.edges.values())))

    def _revoke(self, edge: edges_module.Edge) -> None:
        """Take a key away; its holder goes on using it at an instance."""
        if len(self.keys) <= 2:
            return
        key = self.keys.pop(self.random.randrange(len(self.keys)))
        self.version += self.random.randrange(1, 4)
        self.write_config()
        self.acknowledged("revoke", key)
        self._start_caller(f"{edge.name}-{key}", edge, lambda: key)

    async def _do_route(self, fault: schedule.Fault) -> None:
        self.extra_routes.append(f"/extra{len(self.extra_routes)}/")
        self.version += self.random.randrange(1, 4)
        self.write_config()

    async def _do_version(self, fault: schedule.Fault) -> None:
        self.weights += 1
        self.write("versions/" + MODEL, {"model": MODEL, "version": self.weights})
        self.acknowledged("version", MODEL, self.weights)
        await asyncio.sleep(VERSION_S)

    async def _do_evacuate(self, fault: schedule.Fault) -> None:
        self.write(f"evacuations/{fault.subject}", {})
        self.acknowledged("evacuate", fault.subject)
        await asyncio.sleep(fault.for_s + 6.0)
        self.acknowledged("return", fault.subject)
        self.write(f"evacuations/{fault.subject}", None)


async def _is_ready(edge: edges_module.Edge) -> bool:
    """Return whether an instance says that it is ready."""
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
