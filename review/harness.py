"""A small deployment on loopback for the cases: store, engines, edges and clients.

The edges are separate processes, started with the command of the deploy file. The store
is the project's stand-in without headers that the pages don't name; it can cut waiting
watches. The engines and the clients are small stand-ins of their own::

    async with harness.Deployment(["north", "south", "east"]) as site:
        await site.start_engine("booking-app", "north")
        await site.start_edges()
        answer = await site.send("edge-1", "POST", "/book/1")
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import tempfile
import time
import tomllib
import typing

import msgspec

from cornelreach.http import messages, server
from standins import platform as platform_module, wireengine
from tools.soak import addresses

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "pule25.example"
KEY = "nu6wsjnbanfqasnmgkcu"
FRONT, READINESS, CONTROL = 8749, 8741, 8745
READY_WAIT_S = 25.0

# The bounds of the sheet of the Tirnica deployment.
BOUNDS = """
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_skew_ms = 5000
revoke_strict = true
revoke_ms = 5000
retry_budget = 0.2
budget_window_s = 10
retry_slack = 56
cold_overage = 1.5
cold_slack = 5
evacuate_ms = 5000
recovery_s = 12
transit_ms = 120
reuse_window_s = 20
require_fencing = false
lease_ms = 3000
thaw_ms = 300
version_ms = 8000
version_all_ms = 11000
"""
SETTINGS = """
node_name = "{name}"
role = "edge"
machine_class = "edge"
serves = ["edge"]
ip = "{host}"
zone = "{zone}"
region = "slo-central"
internal_ports = [7580, 7595]
seeds = []
bootstrap = true
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[zones]
{zones}
[listen]
front = "{host}:{front}"
readiness = "{host}:{readiness}"
control = "{host}:{control}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]{bounds}
[platform]
address = "{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


class Store(platform_module.Platform):
    """The platform's store; ``cut_watches`` closes the connections of waiting ones."""

    def __init__(self) -> None:
        super().__init__()
        self.cuts = 0
        self._cut = asyncio.Event()

    async def handle(self, request: messages.Request) -> messages.Response:
        return await self._handle_call(request)

    def write(self, key: str, value: typing.Any) -> float:
        """Write an object, or remove it if None; return when it was confirmed."""
        self.model.seed(key, None if value is None else msgspec.json.encode(value))
        self.notify_watches()
        return time.monotonic()

    def cut_watches(self) -> None:
        """Cut off all watches that are waiting."""
        self.cuts += 1
        self._cut.set()
        self._cut = asyncio.Event()

    async def _wait_for_change(self, wait_ms: float) -> None:
        cut = asyncio.ensure_future(self._cut.wait())
        changed = asyncio.ensure_future(self._changed.wait())
        try:
            await asyncio.wait(
                {cut, changed},
                timeout=wait_ms / 1_000,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if cut.done():
                raise server.ClientDisconnected
        finally:
            cut.cancel()
            changed.cancel()


class Arrival(typing.NamedTuple):
    """A request that reached an engine; ``ran`` unless it was answered 421."""

    request_id: str
    engine: str
    at_s: float
    ran: bool


class Engine:
    """An engine of a plain service: it runs each request for ``work_s``."""

    def __init__(
        self, site: "Deployment", name: str, service: str, zone: str, work_s: float
    ) -> None:
        self.site = site
        self.name = name
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.address = ""
        self.running = 0
        self.born_ms = int(time.time() * 1_000)
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self.site.shared_host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self.site.shared_host}:{port}"

    def entry(self, state: str = "ready") -> dict[str, typing.Any]:
        """Return the entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": 6,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": self.born_ms,
        }

    def exit(self) -> None:
        """End the process: no listener, all connections closed."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await wireengine.read_head(reader)
                length = int(head.fields.get("content-length", 0))
                await reader.readexactly(length)
                writer.write(await self._answer(head))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, head: wireengine.RequestHead) -> bytes:
        if head.target == "/health":
            return self._reply(200, b"", f"X-Cornelreach-Instance-Id: {self.name}\r\n")
        request_id = head.fields.get("x-cornelreach-request-id", "")
        wanted = head.fields.get("x-cornelreach-target-instance", self.name)
        ran = wanted == self.name
        self.site.arrivals.append(Arrival(request_id, self.name, time.monotonic(), ran))
        echo = f"X-Cornelreach-Request-Id: {request_id}\r\n"
        if not ran:
            return self._reply(421, b"", echo)
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        echo += f"X-Cornelreach-Response-Signature: {self.name}.{request_id}\r\n"
        return self._reply(200, f"{request_id} at {self.name}".encode(), echo)

    def _reply(self, status: int, body: bytes, extra: str) -> bytes:
        load = f"X-Cornelreach-Server-Load: {self.running},0,6\r\n"
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{load}{extra}"
        return f"{head}\r\n".encode() + body


class Edge:
    """One machine: its settings file and its process."""

    def __init__(self, site: "Deployment", name: str, zone: str, host: str) -> None:
        self.site = site
        self.name = name
        self.zone = zone
        self.host = host
        self.process: asyncio.subprocess.Process | None = None
        self.settings = site.folder / f"{name}.toml"
        self.log = site.folder / f"{name}.log"
        self.settings.write_text(
            SETTINGS.format(
                name=name,
                host=host,
                zone=zone,
                zones="\n".join(f'{one} = "slo-central"' for one in site.zones),
                front=FRONT,
                readiness=READINESS,
                control=CONTROL,
                bounds=BOUNDS,
                store=site.store_address,
            )
        )

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["CORNELREACH_CONFIG"] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *deploy["roles"]["edge"]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def is_ready(self) -> bool:
        """Return whether the machine answers the platform's question with 200."""
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(0.5):
                found = await exchange(
                    self.host, READINESS, b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n"
                )
                return found.status == 200
        return False

    async def end(self) -> None:
        """End the process that was started, by its id."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()


class Reply(typing.NamedTuple):
    """What a client got; status 0 if the connection ended without an answer."""

    status: int
    headers: dict[str, str]
    body: bytes


async def read_reply(reader: asyncio.StreamReader) -> Reply:
    """Read one answer with a length or in chunks."""
    raw = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = raw.split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    body = b""
    if fields.get("transfer-encoding") == "chunked":
        while size := int((await reader.readline()).strip(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    else:
        body = await reader.readexactly(int(fields.get("content-length", 0)))
    return Reply(int(first.split(" ")[1]), fields, body)


async def exchange(host: str, port: int, request: bytes) -> Reply:
    """Send one request on a connection of its own and return the answer."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(request)
        return await read_reply(reader)
    finally:
        writer.close()


class KeptConnection:
    """A client's connection, which is used again until it is closed."""

    def __init__(self) -> None:
        self.opened = 0
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def exchange(self, host: str, port: int, request: bytes) -> Reply:
        """Send one request and return the answer; opens the connection if need be."""
        if self._streams is None or self._streams[0].at_eof():
            self.close()
            self._streams = await asyncio.open_connection(host, port)
            self.opened += 1
        reader, writer = self._streams
        reply = None
        try:
            writer.write(request)
            reply = await read_reply(reader)
            return reply
        finally:
            if reply is None or reply.headers.get("connection") == "close":
                self.close()

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


class Sent(typing.NamedTuple):
    """A request of a client, and its end."""

    request_id: str
    edge: str
    kind: str
    sent_s: float
    ended_s: float
    status: int
    whole: bool


class Deployment:
    """The store, the engines, the edges, and what was sent, answered and run."""

    def __init__(self, zones: typing.Sequence[str], seed: int = 1) -> None:
        self.zones = zones
        self.random = random.Random(seed)
        self.arrivals: list[Arrival] = []
        self.requests: list[Sent] = []
        self.notes: list[str] = []
        self.engines: dict[str, Engine] = {}
        self.edges: dict[str, Edge] = {}
        self.start_s = time.monotonic()
        self._count = 0

    async def __aenter__(self) -> "Deployment":
        host, self._lock = addresses.reserve_host()
        self.host, self.shared_host = host, f"{host}.{addresses.SHARED_HOST_NUMBER}"
        self._folder = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._folder.name)
        self.store = Store()
        self._store_server = await server.start(self.shared_host, 0, self.store.handle)
        self.store_address = f"{self.shared_host}:{self._store_server.port}"
        return self

    async def __aexit__(self, *_: object) -> None:
        for edge in self.edges.values():
            await edge.end()
        for engine in self.engines.values():
            engine.exit()
        self._store_server.stop_listening()
        self._store_server.abort()
        self._lock.close()
        await asyncio.sleep(0.05)
        self._folder.cleanup()

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.notes.append(f"{time.monotonic() - self.start_s:8.3f} s  {text}")

    def write_config(
        self,
        routes: typing.Sequence[dict[str, typing.Any]],
        version: int = 3,
        max_body_bytes: int = 4_194_304,
    ) -> float:
        """Write a config; return when it was confirmed."""
        names = sorted({one["service"] for one in routes})
        services = [
            {"name": one, "health_path": "/health", "max_connections": 110}
            for one in names
        ]
        return self.store.write(
            "config/main",
            {
                "version": version,
                "routes": list(routes),
                "services": services,
                "limits": {
                    "max_header_bytes": 16_384,
                    "max_body_bytes": max_body_bytes,
                    "header_timeout_ms": 3_000,
                    "idle_timeout_ms": 15_000,
                },
                "tenants": [{"name": "jeye930", "api_keys": [KEY]}],
            },
        )

    async def start_engine(
        self, service: str, zone: str, work_s: float = 0.0225
    ) -> Engine:
        """Start an engine and write its entry."""
        self._count += 1
        engine = Engine(self, f"i-{self._count:08x}", service, zone, work_s)
        await engine.start()
        self.engines[engine.name] = engine
        self.store.write(f"servers/{engine.name}", engine.entry())
        return engine

    async def start_edges(self, count: int = 3) -> None:
        """Start the machines and wait until all are ready."""
        for number in range(count):
            name, zone = f"edge-{number + 1}", self.zones[number % len(self.zones)]
            edge = Edge(self, name, zone, f"{self.host}.{number + 1}")
            self.edges[name] = edge
            await edge.start()
        await self.wait_ready()

    async def wait_ready(self) -> None:
        """Wait until all machines are ready; raises TimeoutError."""
        async with asyncio.timeout(READY_WAIT_S):
            for edge in self.edges.values():
                while not await edge.is_ready():
                    await asyncio.sleep(0.1)

    async def send(
        self,
        edge: str,
        kind: str,
        method: str,
        target: str,
        deadline_ms: int = 1_000,
        body_bytes: int = 600,
        kept: "KeptConnection | None" = None,
    ) -> Sent:
        """Send a client's request and record its end.

        It goes on a connection of its own, unless a kept one is given.
        """
        self._count += 1
        request_id = f"{self._count:016x}"
        body = b"x" * body_bytes if method == "POST" else b""
        request = (
            f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Cornelreach-Request-Id: {request_id}\r\n"
            f"X-Cornelreach-Deadline-Ms: {deadline_ms}\r\nX-Api-Key: {KEY}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        sent_s, status, whole = time.monotonic(), 0, False
        try:
            async with asyncio.timeout(deadline_ms / 1_000):
                host = self.edges[edge].host
                if kept is None:
                    reply = await exchange(host, FRONT, request)
                else:
                    reply = await kept.exchange(host, FRONT, request)
            status = reply.status
            signed = "x-cornelreach-response-signature" in reply.headers
            whole = signed and reply.body.startswith(request_id.encode())
        except TimeoutError:
            status = -1
        except (OSError, asyncio.IncompleteReadError):
            pass
        found = Sent(request_id, edge, kind, sent_s, time.monotonic(), status, whole)
        self.requests.append(found)
        return found

    def record(self, path: pathlib.Path, verdict: typing.Sequence[str]) -> None:
        """Write what was sent, answered and run."""
        runs: dict[str, list[Arrival]] = {}
        for one in self.arrivals:
            runs.setdefault(one.request_id, []).append(one)
        lines = [*verdict, "", "events", *self.notes, "", "requests"]
        for sent in self.requests:
            places = [
                f"{one.engine} at {one.at_s - self.start_s:.3f} s"
                f"{'' if one.ran else ' (421)'}"
                for one in runs.get(sent.request_id, ())
            ]
            lines.append(
                f"{sent.sent_s - self.start_s:8.3f} s  {sent.request_id} {sent.kind} "
                f"to {sent.edge}: {_named(sent)} after "
                f"{(sent.ended_s - sent.sent_s) * 1_000:.0f} ms; "
                f"reached {', '.join(places) or 'no engine'}"
            )
        path.write_text("\n".join(lines) + "\n")

    def log_lines(self, word: str, most: int = 5) -> list[str]:
        """Return log lines of the edges that contain a word."""
        found = []
        for edge in self.edges.values():
            for line in edge.log.read_text(errors="replace").splitlines():
                if word in line:
                    found.append(f"{edge.name}: {line[:400]}")
        return found[:most]


def _named(sent: Sent) -> str:
    if sent.status == -1:
        return "no answer in time"
    if sent.status == 0:
        return "connection ended without an answer"
    return f"status {sent.status}{', whole' if sent.whole else ''}"


def route(
    name: str, prefix: str, kind: str, service: str, **more: typing.Any
) -> dict[str, typing.Any]:
    """Return a route of a config."""
    return {
        "name": name,
        "hostname": HOST,
        "path_prefix": prefix,
        "route_type": kind,
        "service": service,
        "timeout_ms": 1_000,
        "target_latency_ms": 125,
        "max_attempts": 2 if kind == "idempotent" else 1,
        "priority": 2,
        **more,
    }


def has_trouble() -> bool:
    """Return whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


def dump(value: typing.Any) -> str:
    """Return a value as JSON text for the record."""
    return json.dumps(value, ensure_ascii=True)
