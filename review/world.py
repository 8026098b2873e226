"""A small deployment on loopback for the cases 6 to 10 of the second review.

The project's program runs as separate processes, started with the command of the deploy
file. The platform's store is the project's stand-in; engines, prompt stores and clients
are the small ones below, which do only what the users' pages say::

    async def play(world):
        await world.start_edges(1)
        answer = await world.ask("/read/1", key="k1")

    world.main(play, pathlib.Path(__file__).parent)
"""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
import tomllib
import typing

from cornelreach.http import messages, server
from standins import platform as platform_module

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "site.example"
READY_S = 15.0
LOAD_S = 0.42  # as on the sheet
BEAT_S = 1.2
SAVE_S = 0.1
EVENTS = 4
EVENT_GAP_S = 0.02
RUN_S = 0.02
HASH = "x-cornelreach-"
MODEL = "daka510000"
ENDED = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)
# The figures of the sheets.
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 5000,
    "revoke_strict": True,
    "revoke_ms": 5000,
    "retry_budget": 0.2,
    "budget_window_s": 10,
    "retry_slack": 56,
    "cold_overage": 1.5,
    "cold_slack": 5,
    "evacuate_ms": 5000,
    "recovery_s": 12,
    "transit_ms": 120,
    "reuse_window_s": 20,
    "require_fencing": False,
    "lease_ms": 3000,
    "thaw_ms": 300,
    "version_ms": 8000,
    "version_all_ms": 11000,
}
CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "kvcache",
    "stream",
    "engine",
    "tenants",
    "places",
    "platform",
]
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def prompt_route(**changes: object) -> dict[str, typing.Any]:
    """Return the route of the prompts of a config, as on the sheet."""
    found = {
        "name": "r-check",
        "hostname": HOST,
        "path_prefix": "/check/",
        "route_type": "streaming",
        "timeout_ms": 5000,
        "target_latency_ms": 300,
        "priority": 1,
        "service": "llm-pool",
        "max_attempts": 1,
        "allow_anonymous": False,
        "sticky": True,
        "resumable": False,
        "target_gap_ms": 150,
    }
    return found | changes


def plain_route(**changes: object) -> dict[str, typing.Any]:
    """Return the route of the bookings of a config, as on the sheet."""
    found = {
        "name": "r-book",
        "hostname": HOST,
        "path_prefix": "/book/",
        "route_type": "non_idempotent",
        "timeout_ms": 1000,
        "target_latency_ms": 125,
        "priority": 2,
        "service": "booking-app",
        "max_attempts": 1,
        "allow_anonymous": False,
        "sticky": False,
        "resumable": False,
    }
    return found | changes


POOL = {
    "name": "llm-pool",
    "health_path": "/health",
    "max_connections": 300,
    "protocol": "h1",
    "tls": False,
    "cold_start_s": 3.0,
    "cold_per_s": 13.0,
    "engine": {
        "slots": 48,
        "kv_capacity_tokens": 63375,
        "kv_token_bytes": 192512,
        "link_mbps": 1500000.0,
        "moves": True,
        "backups": True,
        "managed": True,
        "stride": 4,
        "max_inflight": 12,
        "pin_ms": 4000.0,
        "hold_ms": 2000.0,
        "handle_s": 5.0,
        "models": [{"name": MODEL}],
    },
}
PLAIN = {
    "name": "booking-app",
    "health_path": "/health",
    "max_connections": 110,
    "protocol": "h1",
    "tls": False,
    "cold_start_s": 0.0,
    "cold_per_s": 0.0,
}


def config(
    version: int,
    routes: list[dict[str, typing.Any]],
    tenants: list[dict[str, typing.Any]],
    stores: typing.Iterable["PromptStore"] = (),
) -> dict[str, typing.Any]:
    """Return a config with the two services of a small site."""
    return {
        "version": version,
        "routes": routes,
        "services": [POOL, PLAIN, *(one.fields() for one in stores)],
        "limits": LIMITS,
        "tenants": tenants,
    }


class CannotRun(Exception):
    """The case could not be played."""


class Answer(typing.NamedTuple):
    """What a client got; ``whole`` if the body ended as its framing says."""

    status: int
    fields: dict[str, str]
    body: bytes
    whole: bool


class Head(typing.NamedTuple):
    """Request or status line and header fields, names in lower case."""

    first: list[str]
    fields: dict[str, str]

    def get(self, name: str) -> str:
        """Return a field's value, empty if it is absent."""
        return self.fields.get(name, "")


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read a head; raises IncompleteReadError at the end of the connection."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {}
    for line in filter(None, lines[1:]):
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return Head(lines[0].split(" ", 2), fields)


async def read_body(
    reader: asyncio.StreamReader, head: Head, body: bytearray | None = None
) -> bytes:
    """Read a body that has a length or chunks; ``body`` takes what has come."""
    body = bytearray() if body is None else body
    if head.get("transfer-encoding") == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
        return bytes(body)
    return await reader.readexactly(int(head.get("content-length") or 0))


class Part(typing.NamedTuple):
    """A cached part: for whom it was made, and under which version of the weights."""

    tenant: str
    version: int


class Use(typing.NamedTuple):
    """A request that used a part from a memory or a store."""

    request: str
    tenant: str
    version: int
    part: str
    made: Part
    where: str


Key = tuple[str, str]  # salt and identifier


class PromptStore:
    """A managed store of kept KV cache; it checks nothing and drops nothing."""

    def __init__(self, world: "World", name: str, zone: str) -> None:
        self.world = world
        self.name = name
        self.zone = zone
        self.address = ""
        self.parts: dict[Key, Part] = {}
        self.events: list[list[typing.Any]] = []

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        listener = await asyncio.start_server(self._serve, host, 0)
        self.world.closing.append(listener.close)
        self.address = f"{host}:{listener.sockets[0].getsockname()[1]}"

    def fields(self) -> dict[str, typing.Any]:
        """Return the service of the config."""
        return {
            "name": self.name,
            "kv_store_addr": self.address,
            "zone": self.zone,
            "kv_capacity_tokens": 2_000_000,
            "link_mbps": 590000.0,
            "max_inflight": 12,
            "managed": True,
            "first_ms": 0.5,
        }

    async def save(self, key: Key, made: Part, tokens: int, model: str) -> None:
        """Keep a part, which is complete a little later."""
        if key in self.parts:
            return
        await asyncio.sleep(SAVE_S)
        self.parts[key] = made
        self.events.append([len(self.events) + 1, "+", *key, tokens, model])

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(*ENDED):
            while True:
                head = await read_head(reader)
                path, _, query = head.first[1].partition("?")
                if path == "/api/kv-list":
                    held = [event[2:] for event in self.events]
                    found = {"held": held}
                else:
                    since = int(query.partition("=")[2])
                    end_s = time.monotonic() + int(head.get("wait-ms") or 0) / 1000
                    while len(self.events) <= since and time.monotonic() < end_s:
                        await asyncio.sleep(0.02)
                    found = {"lost": False, "events": self.events[since:]}
                found |= {"epoch": 7, "next": len(self.events)}
                reply(writer, 200, json.dumps(found).encode())
        writer.close()


def reply(
    writer: asyncio.StreamWriter, status: int, body: bytes, **fields: object
) -> None:
    """Write an answer with a length."""
    lines = [f"HTTP/1.1 {status} X", f"content-length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    writer.write("\r\n".join([*lines, "", ""]).encode() + body)


class Order(typing.NamedTuple):
    """An order that reached an engine, and when."""

    engine: str
    holder: str
    fence: int
    at_s: float
    status: int


class Engine:
    """A sound engine; with a model it streams, and caches the parts of prompts."""

    def __init__(
        self, world: "World", name: str, service: str, zone: str, model: str = ""
    ) -> None:
        self.world = world
        self.name = name
        self.service = service
        self.zone = zone
        self.model = model
        self.version = 1
        self.software = "v1"
        self.address = ""
        self.born = int(time.time() * 1000)
        self.sequence = self.running = 0
        self.beats = 0
        self.is_loading = False
        self.memory: dict[Key, Part] = {}
        # Whether an order is carried out; one that is not gets no answer.
        self.takes_orders = True
        self.silent_until_s = 0.0
        self.on_order: typing.Callable[[str], None] = lambda holder: None
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str) -> None:
        """Listen on a free port and register."""
        listener = await asyncio.start_server(self._serve, host, 0)
        self.world.closing.append(listener.close)
        self.address = f"{host}:{listener.sockets[0].getsockname()[1]}"
        self.spawn(self._beat())

    def spawn(self, work: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
        """Run something beside."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def wake(self) -> None:
        """Wait while the engine is silent: it reads nothing and writes nothing."""
        while (left_s := self.silent_until_s - time.monotonic()) > 0:
            await asyncio.sleep(left_s)

    def fall_silent(self, span_s: float) -> None:
        """Be silent for a while."""
        self.world.log(f"{self.name} is silent for {span_s} s")
        self.silent_until_s = time.monotonic() + span_s

    def entry(self) -> dict[str, typing.Any]:
        """Return its entry for the list of engines."""
        found = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.software,
            "slots": 48,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": self.beats,
            "born": self.born,
        }
        return found | self._models()

    def _models(self) -> dict[str, typing.Any]:
        if not self.model:
            return {}
        one = {"name": self.model, "version": self.version, "adapters": []}
        return {"stage": "unified", "models": [one]}

    def register(self) -> None:
        """Write its entry."""
        self.beats += 1
        self.world.write(f"servers/{self.name}", self.entry())

    async def _beat(self) -> None:
        while True:
            self.register()
            await asyncio.sleep(BEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(*ENDED):
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head)
                if head.first[1] == "/api/order":
                    self.on_order(json.loads(body)["holder"])
                await self.wake()
                await self._answer(head, body, writer)
                await writer.drain()
        writer.close()

    async def _answer(
        self, head: Head, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        path = head.first[1]
        if path == "/health":
            reply(writer, 200, b"", x_cornelreach_instance_id=self.name)
        elif path == "/api/report":
            reply(writer, 200, json.dumps(self._report()).encode())
        elif path == "/api/order":
            await self._take_order(json.loads(body), writer)
        else:
            await self._run(head, writer)

    def _report(self) -> dict[str, typing.Any]:
        found = {
            "busy": self.is_loading,
            "sequence": self.sequence,
            "queued": 0,
            "running": self.running,
            "kv_used": 0,
            "kv_total": 63375,
            "handles": 0,
            "born": self.born,
        }
        return found | self._models()

    async def _take_order(
        self, order: dict[str, typing.Any], writer: asyncio.StreamWriter
    ) -> None:
        status = 202
        if not self.takes_orders:
            status = 0
        elif order["version"] <= self.version:
            status = 200
        elif self.is_loading or order.get("precondition", 0) != self.sequence:
            status = 409
        holder, fence = order["holder"], order["fence"]
        found = Order(self.name, holder, fence, time.monotonic(), status)
        self.world.orders.append(found)
        self.world.log(f"order at {self.name}: {order} -> {status or 'no answer'}")
        if status == 0:
            await asyncio.sleep(60)
        if status == 202:
            self.sequence += 1
            self.is_loading = True
            self.spawn(self._load(order["version"]))
        reply(writer, status, b"")

    async def _load(self, version: int) -> None:
        await asyncio.sleep(LOAD_S)
        self.version, self.is_loading = version, False
        self.memory.clear()  # the order discards what the engine has stored
        self.world.log(f"{self.name} has version {version}")
        self.register()

    async def _run(self, head: Head, writer: asyncio.StreamWriter) -> None:
        request = head.get(f"{HASH}request-id")
        named = {"x_cornelreach_request_id": request}
        wanted = head.get(f"{HASH}expected-version")
        target = head.get(f"{HASH}target-instance")
        if target not in ("", self.name) or wanted not in ("", str(self.version)):
            reply(writer, 421, b"", x_cornelreach_instance_id=self.name, **named)
            return
        if self.is_loading:
            reply(writer, 503, b"", x_cornelreach_not_executed=1, **named)
            return
        fields = {
            name: value
            for name, value in head.fields.items()
            if name.startswith((HASH, "x-api"))
        }
        self.world.runs.append((request, self.name, fields))
        self.world.log(f"{self.name} runs {' '.join(head.first[:2])} {fields}")
        self.running += 1
        try:
            await asyncio.sleep(float(head.get("x-run-s") or RUN_S))
            await self.wake()
            signed = {"x_cornelreach_response_signature": f"sig.{request}", **named}
            if head.get(f"{HASH}model"):
                self._use_parts(head)
                await self._stream(writer, signed, head)
            else:
                reply(writer, 200, f"{request} by {self.name}".encode(), **signed)
        finally:
            self.running -= 1

    async def _stream(
        self, writer: asyncio.StreamWriter, fields: dict[str, str], head: Head
    ) -> None:
        events, gap_s = EVENTS, EVENT_GAP_S
        if paced := head.get("x-events"):  # a long answer: its events, and their gap
            number, _, gap = paced.partition(",")
            events, gap_s = int(number), float(gap)
        lines = ["HTTP/1.1 200 OK", "content-type: text/event-stream"]
        lines += ["transfer-encoding: chunked"]
        lines += [f"x-cornelreach-weight-versions: {self.version}"]
        lines += [f"{name.replace('_', '-')}: {one}" for name, one in fields.items()]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        first = int(head.get("last-event-id") or 0) + 1
        for number in range(first, events + 1):
            text = f"id: {number}\ndata: {number} of {events} by {self.software}\n\n"
            data = text.encode()
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            await writer.drain()
            await asyncio.sleep(gap_s)
            await self.wake()
        writer.write(b"0\r\n\r\n")

    def _use_parts(self, head: Head) -> None:
        """Read a prompt: from the memory, from the stores that are named, or anew."""
        request, tenant = head.get(f"{HASH}request-id"), head.get(f"{HASH}tenant")
        salt = head.get(f"{HASH}cache-salt")
        parts = [
            one.split(":") for one in head.get(f"{HASH}prompt-prefix").split(",") if one
        ]
        sources = head.get(f"{HASH}kv-source").split(",")
        targets = head.get(f"{HASH}kv-target").split(",")
        stores = {one.address: one for one in self.world.stores}
        for number, (part, tokens) in enumerate(parts):
            key = (salt, part)
            source = stores.get(sources[number].split("/")[0]) if sources[0] else None
            made, where = self.memory.get(key), f"the memory of {self.name}"
            if made is None and source is not None and key in source.parts:
                made, where = source.parts[key], source.name
            if made is None:
                made = Part(tenant, self.version)
            else:
                use = Use(request, tenant, self.version, part, made, where)
                self.world.uses.append(use)
                self.world.log(f"{request} uses a part: {use}")
            self.memory[key] = made
            target = stores.get(targets[number]) if targets[0] else None
            if target is not None:
                self.world.log(f"{request} sends part {part} to {target.name}")
                self.world.saves.append((request, part, target))
                self.spawn(target.save(key, made, int(tokens), self.model))


class Link:
    """The way of one instance to the store; while it is cut, nothing passes."""

    def __init__(self, world: "World", name: str) -> None:
        self.world = world
        self.name = name
        self.address = ""
        self.is_whole = asyncio.Event()
        self.is_whole.set()
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        listener = await asyncio.start_server(self._serve, self.world.host, 0)
        self.world.closing.append(listener.close)
        port = listener.sockets[0].getsockname()[1]
        self.address = f"{self.world.host}:{port}"

    def cut(self) -> None:
        """Let nothing pass any more, without a word to either side."""
        self.world.log(f"{self.name} is cut off from the store")
        self.is_whole.clear()

    def heal(self) -> None:
        """Let everything pass again."""
        self.world.log(f"{self.name} reaches the store again")
        self.is_whole.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.world.store_address.rpartition(":")
        with contextlib.suppress(*ENDED):
            await self.is_whole.wait()
            other_reader, other_writer = await asyncio.open_connection(host, int(port))
            await asyncio.gather(
                self._pass(reader, other_writer), self._pass(other_reader, writer)
            )
        writer.close()

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65536):
                await self.is_whole.wait()
                writer.write(data)
                await writer.drain()
        finally:
            writer.close()


class Edge:
    """One instance: its settings file and its process."""

    def __init__(self, world: "World", number: int, zone: str) -> None:
        self.world = world
        self.name = f"edge-{number}"
        self.zone = zone
        self.ip = f"{world.network}.{number}"
        self.ports = _free_ports(self.ip, 3)
        self.path = world.folder / f"{self.name}.toml"
        self.process: asyncio.subprocess.Process | None = None
        self.link = Link(world, self.name)

    def write_settings(self, is_first: bool = True, **bounds: object) -> None:
        """Write the settings file, as the platform does."""
        front, ready, internal = self.ports
        world = self.world
        zones = "\n".join(f'{name} = "{geo}"' for name, geo in world.zones.items())
        found = {**BOUNDS, **bounds}
        lines = "\n".join(f"{name} = {json.dumps(one)}" for name, one in found.items())
        text = f"""node_name = "{self.name}"
role = "edge"
machine_class = "edge"
serves = ["edge"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "{world.zones[self.zone]}"
internal_ports = [{internal}, {internal}]
seeds = []
bootstrap = {json.dumps(is_first)}
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = {json.dumps(CONTRACTS)}
[zones]
{zones}
[listen]
front = "{self.ip}:{front}"
readiness = "{self.ip}:{ready}"
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
[bounds]
{lines}
[platform]
address = "{self.link.address}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""
        beside = self.path.with_suffix(".new")
        beside.write_text(text)
        beside.replace(self.path)

    async def start(self) -> None:
        """Start the program as the deploy file says."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        program, *arguments = deploy["roles"]["edge"]["run"].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["CORNELREACH_CONFIG"] = str(self.path)
        log = (self.world.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            program, *arguments, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.world.log(f"{self.name} starts")

    async def is_ready(self) -> bool:
        """Return whether it says that it is ready."""
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(1.0):
                found = await _exchange(self.ip, self.ports[1], "/api/ready")
                return found.status == 200
        return False

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.world.log(f"{number.name} to {self.name}")
        self.process.send_signal(number)


def _free_ports(host: str, count: int) -> list[int]:
    """Return ports that are free for TCP and for UDP."""
    taken, ports = [], []
    while len(ports) < count:
        one = socket.socket()
        one.bind((host, 0))
        port = one.getsockname()[1]
        other = socket.socket(type=socket.SOCK_DGRAM)
        taken += [one, other]
        with contextlib.suppress(OSError):
            other.bind((host, port))
            ports.append(port)
    for one in taken:
        one.close()
    return ports


async def _exchange(
    host: str,
    port: int,
    path: str,
    method: str = "GET",
    body: bytes = b"",
    writers: set[asyncio.StreamWriter] | None = None,
    **fields: object,
) -> Answer:
    """Send one request on a connection of its own."""
    reader, writer = await asyncio.open_connection(host, port)
    writers = set() if writers is None else writers
    writers.add(writer)
    try:
        lines = [f"{method} {path} HTTP/1.1", f"host: {HOST}"]
        lines += [f"{name.replace('_', '-')}: {one}" for name, one in fields.items()]
        if method != "GET":
            lines.append(f"content-length: {len(body)}")
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        head = await read_head(reader)
        found, whole = bytearray(), True
        try:
            body = await read_body(reader, head, found)
            found = bytearray(body)
        except (OSError, asyncio.IncompleteReadError):
            whole = False
        return Answer(int(head.first[1]), head.fields, bytes(found), whole)
    finally:
        writers.discard(writer)
        writer.close()


class World:
    """The processes, stand-ins and records of one run."""

    def __init__(self, folder: pathlib.Path, record: typing.TextIO) -> None:
        self.folder = folder
        self.record = record
        self.start_s = time.monotonic()
        self.is_troubled = os.environ.get("TROUBLE", "1") != "0"
        pid = os.getpid()
        self.network = f"127.{1 + pid // 250 % 250}.{1 + pid % 250}"
        self.host = f"{self.network}.200"
        self.zones = {"lj-north": "slo-central", "lj-south": "slo-central"}
        self.store = platform_module.Platform()
        self.store_address = ""
        self.stores: list[PromptStore] = []
        self.engines: list[Engine] = []
        self.edges: list[Edge] = []
        self.closing: list[typing.Callable[[], object]] = []
        self.orders: list[Order] = []
        self.runs: list[tuple[str, str, dict[str, str]]] = []
        self.uses: list[Use] = []
        self.saves: list[tuple[str, str, PromptStore]] = []
        self.asked = 0
        self.writers: set[asyncio.StreamWriter] = set()  # of clients
        self.on_write: typing.Callable[[], None] = lambda: None

    def log(self, text: str) -> None:
        """Write a line into the record."""
        self.record.write(f"{time.monotonic() - self.start_s:8.3f} {text}\n")

    def write(self, key: str, value: typing.Any) -> float:
        """Write an object to the store, for its operator or an engine.

        Returns when the store had it.
        """
        self.store.model.seed(key, json.dumps(value).encode())
        self.store.notify_watches()
        return time.monotonic()

    def write_config(self, config: dict[str, typing.Any]) -> float:
        """Write a config; returns when it was confirmed."""
        self.log(f"config {json.dumps(config)}")
        return self.write("config/main", config)

    def lease_holder(self) -> str:
        """Return the holder of the lease for orders, as the store has it."""
        if not self.store.model.version_of("leases/rollout"):
            return ""
        return json.loads(bytes(self.store.model.stored("leases/rollout").value))[
            "holder"
        ]

    async def _handle(self, request: messages.Request) -> messages.Response:
        response = await self.store.handle(request)
        if request.method in ("PUT", "POST"):
            self.on_write()
        return response

    async def start_store(self) -> None:
        """Start the platform's store."""
        running = await server.start(self.host, 0, self._handle)
        self.closing.append(running.abort)
        self.store_address = f"{self.host}:{running.port}"

    async def add_engine(self, *args: str) -> Engine:
        """Start an engine."""
        engine = Engine(self, *args)
        self.engines.append(engine)
        await engine.start(self.host)
        return engine

    async def add_store(self, name: str, zone: str) -> PromptStore:
        """Start a store of kept KV cache."""
        store = PromptStore(self, name, zone)
        self.stores.append(store)
        await store.start(self.host)
        return store

    async def start_edges(self, count: int) -> None:
        """Start instances and wait until they are ready."""
        zones = list(self.zones)
        for number in range(1, count + 1):
            edge = Edge(self, number, zones[(number - 1) % len(zones)])
            await edge.link.start()
            edge.write_settings()
            self.edges.append(edge)
            await edge.start()
        for edge in self.edges:
            await self.until(edge.is_ready, READY_S, f"{edge.name} is ready")

    async def until(
        self,
        condition: typing.Callable[[], typing.Any],
        wait_s: float,
        what: str,
        cannot_run: bool = True,
    ) -> bool:
        """Wait until a condition holds."""
        end_s = time.monotonic() + wait_s
        while True:
            found = condition()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return True
            if time.monotonic() > end_s:
                if cannot_run:
                    raise CannotRun(f"not in time: {what}")
                return False
            await asyncio.sleep(0.05)

    async def ask(
        self,
        path: str,
        key: str = "",
        edge: Edge | None = None,
        prompt: str = "",
        method: str = "POST",
        body: bytes = b"x",
        deadline_ms: int = 5000,
        **fields: object,
    ) -> tuple[str, Answer | None]:
        """Send a client's request; returns its id and what came back, if anything."""
        self.asked += 1
        request = f"{os.getpid():x}{self.asked:08x}"
        edge = edge or self.edges[0]
        found = {"x_cornelreach_request_id": request, **fields}
        found["x_cornelreach_deadline_ms"] = deadline_ms
        if key:
            found["x_api_key"] = key
        if prompt:
            tokens = sum(int(one.split(":")[1]) for one in prompt.split(","))
            found["x_cornelreach_model"] = MODEL
            found["x_cornelreach_token_counts"] = f"{tokens},{EVENTS}"
            found["x_cornelreach_prompt_prefix"] = prompt
        self.log(f"{request} is sent to {edge.name}: {method} {path} {found}")
        answer = None
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(deadline_ms / 1000):
                answer = await _exchange(
                    edge.ip, edge.ports[0], path, method, body, self.writers, **found
                )
        said = "nothing" if answer is None else f"{answer.status} {answer.body[:80]!r}"
        self.log(f"{request} gets {said}")
        return request, answer

    async def leave(
        self, asking: list[asyncio.Task[tuple[str, Answer | None]]]
    ) -> list[tuple[str, Answer | None]]:
        """Let clients close the connections on which they get their streams."""
        for writer in list(self.writers):
            writer.close()
        await asyncio.wait(asking)
        return [one.result() for one in asking]

    async def end(self) -> None:
        """End all processes and stand-ins."""
        for edge in self.edges:
            if edge.process is not None and edge.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    edge.process.send_signal(signal.SIGCONT)
                    edge.process.kill()
                await edge.process.wait()
        for engine in self.engines:
            for task in engine.tasks:
                task.cancel()
        for close in self.closing:
            close()


Play = typing.Callable[[World], typing.Awaitable[list[str]]]


async def _play(play: Play, folder: pathlib.Path) -> int:
    with (
        tempfile.TemporaryDirectory() as temporary,
        (folder / "record.txt").open("w") as record,
    ):
        world = World(pathlib.Path(temporary), record)
        world.log(f"TROUBLE={int(world.is_troubled)}")
        try:
            await world.start_store()
            async with asyncio.timeout(110):
                broken = await play(world)
            for line in broken:
                world.log(f"BROKEN: {line}")
            status = BROKEN if broken else HELD
        except (CannotRun, OSError, TimeoutError) as error:
            world.log(f"the case could not run: {error!r}")
            for edge in world.edges:
                log = world.folder / f"{edge.name}.log"
                world.log(log.read_text()[-2000:] if log.exists() else "no log")
            status = NOT_RUN
        finally:
            await world.end()
        world.log(f"exit status {status}")
        return status


def main(play: Play, folder: pathlib.Path) -> None:
    """Play a case, whose function returns how the rule was broken, and exit."""
    sys.exit(asyncio.run(_play(play, folder)))
