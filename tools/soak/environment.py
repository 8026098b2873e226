"""The environment of a soak run: store, engines, proxies and instances."""

import asyncio
import collections
import contextlib
import pathlib
import random
import time
import typing

from cornelreach.http import server
from standins import (
    platform as platform_module,
    requestlog,
    wireengine,
    wirestore,
)
from tools.soak import (
    addresses,
    callers,
    edges as edges_module,
    operator as operator_module,
    processmemory,
    processsockets,
    proxy,
)

ZONES = ("north", "south", "east")
SOFTWARE = ("1.0", "1.1")  # versions that serve side by side
PLAIN_ENGINES, POOL_ENGINES = 3, 4
ENGINES = PLAIN_ENGINES + POOL_ENGINES
CALLERS_PER_EDGE = 3
REVIVE_S = 0.8
READY_WAIT_S = 20.0
RECOVERY_S = 3.0  # the documented bound is 12 s; a shorter wait keeps runs short
RECOVERY_CHECK_S = 2.0
MEMORY_SAMPLE_S = 0.2


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


class Rollout(typing.NamedTuple):
    """A rollout whose deadline is over, as the operator saw it.

    ``state`` is the final one and ``ended_s`` when it was seen, the deadline if there
    was none; ``old_running`` counts the requests at old engines at that time.
    """

    service: str
    is_bad: bool
    engines: tuple[str, ...]  # of the new version
    ordered_s: float
    deadline_s: float
    state: str
    ended_s: float
    old_running: int


class Environment:
    """All processes, stand-ins and records of one run."""

    def __init__(
        self,
        seed: int,
        edges: int,
        program: tuple[str, ...],
        folder: pathlib.Path,
        beside: str = "",
    ) -> None:
        self.random = random.Random(seed)
        # Addresses belong to a run, not to a seed: runs of one seed may overlap.
        self.host, self._address_lock = addresses.reserve_host()
        # An address used by nothing else, so that no other process reuses its ports.
        self.shared_host = f"{self.host}.{addresses.SHARED_HOST_NUMBER}"
        self.program = program
        self.beside = beside
        self.folder = folder
        self.store = platform_module.Platform()
        self.ledger = requestlog.RequestLog()
        self.requests: list[callers.SentRequest] = []
        self.disturbances: list[Disturbance] = []
        # Instance, time, and how long it took to say whether it is ready.
        self.readiness_waits: list[tuple[str, float, float]] = []
        self.most_resident_mb: dict[str, float] = {}  # of each instance
        self.changes: list[AcknowledgedChange] = []
        self.rollouts: list[Rollout] = []
        self.operator = operator_module.Operator(self.store)
        self.prompt_store = wirestore.WireStore(self.ledger, operator_module.MODEL)
        self.edges: dict[str, edges_module.Edge] = {}
        self.engines: dict[str, wireengine.WireEngine] = {}
        self.zones: dict[str, str] = {}
        self.links: dict[str, proxy.Proxy] = {}
        # Instances that reach no engine, with the number of faults that cut them off.
        self.cut_off: collections.Counter[str] = collections.Counter()
        self.withdrawn: set[str] = set()  # engines that leave without a report
        self._edge_count = edges
        self._tasks: list[asyncio.Task[typing.Any]] = []
        self._ids: dict[str, str] = {}

    async def start(self) -> None:
        """Start everything and wait until all instances are ready."""
        self.store_server = await server.start(self.shared_host, 0, self.store.handle)
        await self.prompt_store.start(self.shared_host)
        self.operator.prompt_store = self.prompt_store.address
        await self._start_engines()
        self.operator.write_config()
        self.operator.write_version()
        for number in range(self._edge_count):
            await self._start_edge(number)
        await self.wait_ready()
        self._tasks.append(asyncio.ensure_future(self._sample_memory()))
        for name, edge in self.edges.items():
            for number in range(CALLERS_PER_EDGE):
                self.start_caller(f"{name}-c{number}", edge, self.any_key)

    async def _sample_memory(self) -> None:
        most_mb = self.most_resident_mb
        while True:
            for name, edge in self.edges.items():
                found_mb = processmemory.resident_mb(edge.process.pid)
                most_mb[name] = max(found_mb, most_mb.get(name, 0.0))
            await asyncio.sleep(MEMORY_SAMPLE_S)

    def any_key(self) -> str:
        """Return one of the keys in force."""
        return self.random.choice(self.operator.keys)

    def start_caller(
        self, name: str, edge: edges_module.Edge, keys: typing.Callable[[], str]
    ) -> None:
        """Start a caller that asks one instance until the run ends."""
        caller = self.make_caller(name, edge, keys)
        self._tasks.append(asyncio.ensure_future(caller.run()))

    def make_caller(
        self, name: str, edge: edges_module.Edge, keys: typing.Callable[[], str]
    ) -> callers.Caller:
        """Return a caller of an instance that knows the others."""
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
            lambda: self.operator.padding,
        )

    async def _start_engines(self) -> None:
        for number in range(ENGINES):
            plain = number < PLAIN_ENGINES
            await self.start_engine(
                number,
                operator_module.PLAIN_SERVICE
                if plain
                else operator_module.POOL_SERVICE,
                SOFTWARE[number % len(SOFTWARE)],
                "" if plain else operator_module.MODEL,
            )

    async def start_engine(
        self,
        number: int,
        service: str,
        software: str,
        model: str = "",
        error_share: float = 0.0,
    ) -> str:
        """Start an engine with a link and an entry; return its name."""
        name = f"e{number}"
        engine = wireengine.WireEngine(
            name, service, self.ledger, self.random, model, software=software
        )
        engine.faults.errors = error_share
        engine.stores[self.prompt_store.address] = self.prompt_store
        self.engines[name] = engine
        self.zones[name] = ZONES[number % len(ZONES)]
        await engine.start(self.shared_host)
        engine.on_change = lambda: self._record_load(name)
        engine.on_crash = lambda: self._revive_later(name)
        self.links[name] = proxy.Proxy(engine.address, self._is_cut)
        await self.links[name].start(self.shared_host)
        self.write_entry(name)
        return name

    def _is_cut(
        self,
        source: processsockets.SocketName,
        destination: processsockets.SocketName,
    ) -> bool:
        """Return whether a connection is that of an instance cut off from engines."""
        cut_off = +self.cut_off
        if not cut_off:
            return False
        inode = processsockets.inode_of(source, destination)
        return any(
            inode in processsockets.inodes_of(self.edges[name].process.pid)
            for name in cut_off
        )

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
            self.beside if number % 2 else "",
        )
        await self.edges[name].start()

    async def wait_ready(self) -> None:
        """Wait until every instance is ready for callers."""
        end_s = time.monotonic() + READY_WAIT_S
        for edge in self.edges.values():
            while not await edge.is_ready():
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
        self.prompt_store.crash()
        self.store_server.stop_listening()
        self.store_server.abort()
        self._address_lock.close()

    def write_entry(self, name: str) -> None:
        """Write the registration of an engine's current boot, unless it has left."""
        if name in self.withdrawn:
            return
        engine, link = self.engines[name], self.links[name]
        self.operator.write(
            f"servers/{engine.id}", engine.entry(self.zones[name], link.address)
        )

    def _record_load(self, name: str) -> None:
        self.write_entry(name)
        self.record_change("load", name, self.engines[name].version)

    def record_change(self, kind: str, subject: str, value: int = 0) -> None:
        """Record a change that the store has just acknowledged."""
        now_s = time.monotonic()
        self.changes.append(AcknowledgedChange(kind, subject, now_s, value))

    async def restart_engine(self, name: str, cold_s: float = 0.0) -> None:
        """Start an engine again, perhaps with other software."""
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
            await self.restart_engine(name)
        self.disturbances.remove(disturbance)
        self.disturbances.append(disturbance._replace(end_s=time.monotonic()))
