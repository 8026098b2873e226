"""Test harness: scripted engines on loopback and a forwarder in front of them."""

import asyncio
import random

from cornelreach.gateway import (
    balancer,
    catalogue,
    continuations,
    detours,
    edge,
    forwarding,
    gossip as gossip_module,
    hubs,
    mirror as mirror_module,
    probing,
    promptindex,
    quarantine,
    quotas,
    registry,
    selection,
    silence,
    softwareversions,
    storedorigins,
    streamorigins,
    targetlimits,
)
from cornelreach.http import client as http_client, server
from cornelreach.platform import site
from cornelreach.reports import metrics
from cornelreach.util import timers
from test.platform import objects

BOUNDS = site.Bounds(
    drain_ms=2_000,
    grace_ms=8_000,
    config_ms=2_000,
    revoke_ms=5_000,
    revoke_strict=True,
    retry_ratio=0.2,
    retry_window_ms=10_000,
    retry_slack=50,
    cold_overage=1.5,
    cold_slack=5,
    lease_ms=3_000,
    thaw_ms=300,
    version_ms=8_000,
)
LIMITS = catalogue.Limits(16_384, 1_048_576, 3_000, 15_000)
HOST = "pool.example"
KEY = "key-1"


def route(prefix, service, kind, **changes):
    """Return a route with default fields."""
    fields = {
        "name": f"r{prefix}",
        "host": HOST,
        "prefix": prefix,
        "shares": (catalogue.Share(service, 1),),
        "kind": kind,
        "timeout_ms": 5_000,
        "objective_ms": 300,
        "attempts": 2,
        "priority": 1,
        "anonymous": False,
        "resumable": False,
        "regions": frozenset(),
    }
    return catalogue.Route(**{**fields, **changes})


def plain_service(name, **changes):
    """Return a plain service."""
    service = catalogue.Service(name, "/health", 100, 0.0, None)
    return service._replace(**changes)


def make_catalogue(routes, services, version=1, accounts=None, stores=()):
    """Return a catalogue, by default with one account."""
    if accounts is None:
        accounts = {KEY: catalogue.Account("tirnica", False, None, frozenset())}
    return catalogue.Catalogue(version, routes, services, stores, accounts, LIMITS)


class Engine:
    """A target on loopback that answers each request by a script.

    The script is a coroutine function that takes the engine, the head (a dict with
    lower-case names), the body and a writer, and writes raw bytes. If it returns False,
    the connection is closed.
    """

    def __init__(self, name, script):
        self.name = name
        self.script = script
        self.requests = []
        self.gone = asyncio.Event()
        self.connections = 0
        self.accepted = []
        self.greeting = b""  # written as a connection opens
        self.server = None

    async def start(self):
        """Listen on a free port of loopback."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def serve(self, reader, writer):
        """Answer the requests of one connection."""
        self.connections += 1
        self.accepted.append(writer)
        writer.write(self.greeting)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.gone.set()
            writer.close()

    async def serve_one(self, reader, writer):
        """Read one request and run the script; returns whether to continue."""
        raw = await reader.readuntil(b"\r\n\r\n")
        first, *lines = raw.decode("latin-1").split("\r\n")
        head = {"": first}
        for line in lines:
            name, _, value = line.partition(":")
            if name:
                head[name.lower()] = value.strip()
        body = await reader.readexactly(int(head.get("content-length", 0)))
        self.requests.append((head, body))
        watch = asyncio.ensure_future(self._watch(reader))
        try:
            result = await self.script(self, head, body, writer)
            await writer.drain()
        finally:
            watch.cancel()
        return result is not False

    async def _watch(self, reader):
        # Nothing is read meanwhile, so a closed peer shows only as the end of stream.
        while not reader.at_eof():
            await asyncio.sleep(0.005)
        self.gone.set()

    def answer(self, head, status=200, body=b"ok", signed=True, extra=""):
        """Return the bytes of a complete response."""
        fields = f"HTTP/1.1 {status} X\r\ncontent-length: {len(body)}\r\n"
        fields += f"x-cornelreach-request-id: {head['x-cornelreach-request-id']}\r\n"
        if signed:
            fields += f"x-cornelreach-response-signature: sig.{self.name}\r\n"
        return (fields + extra + "\r\n").encode() + body

    def stream_head(self, head):
        """Return the head of a chunked event stream."""
        fields = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n"
        fields += "content-type: text/event-stream\r\n"
        fields += f"x-cornelreach-request-id: {head['x-cornelreach-request-id']}\r\n"
        fields += f"x-cornelreach-response-signature: sig.{self.name}\r\n\r\n"
        return fields.encode()


def chunk(data):
    """Return data as one chunk of a chunked body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def event(number):
    """Return one server-sent event."""
    return f"id: {number}\ndata: token{number}\n\n".encode()


async def answer_ok(engine, head, body, writer):
    """Answer with a success."""
    writer.write(engine.answer(head))


async def answer_not_run(engine, head, body, writer):
    """Answer that the request was not run."""
    writer.write(
        engine.answer(head, 503, b"", False, "x-cornelreach-not-executed: 1\r\n")
    )


class Harness:
    """A forwarder behind a server on loopback, in front of engines."""

    def __init__(
        self, found, engines, service, name="edge-1", connect_ms=2_000, store=None
    ):
        self.clock = timers.LoopTimers()
        self.mirror = mirror_module.Mirror(name, 5_000, True)
        self.mirror.synced = set(mirror_module.REQUIRED)
        if found is not None:
            self.mirror.apply_catalogue(found)
        self.mirror.fleet = quotas.Fleet(name, (name,))
        self.mirror.record_proof(self.clock.now_ms())
        self.engines = engines
        self.http = http_client.Client(
            connect_wait_ms=connect_ms, ack_timeout_ms=edge.ENGINE_SILENCE_MS
        )
        self.gossip = gossip_module.Gossip(
            name, "b", self.mirror.registry, self.clock, "lj"
        )
        source = random.Random(1)
        target_balancer = balancer.Balancer(
            self.mirror.registry, self.gossip, "lj", source
        )
        self.prompt_index = promptindex.PromptIndex()
        self.selector = selection.Selector(
            self.mirror,
            target_balancer,
            self.prompt_index,
            self.http,
            BOUNDS,
            {},
            self.clock,
            targetlimits.TargetLimits(self.gossip, self.mirror, self.clock),
        )
        self.selector.confirm_first_start()
        self.metrics = metrics.Metrics()
        self.software_versions = softwareversions.SoftwareVersions(
            self.mirror, store, self.clock
        )
        self.stored_origins = storedorigins.StoredOrigins(
            store or objects.FakeObjectStore(), self.mirror, self.clock, 400
        )
        self.tasks = []
        self.peer_server = None
        parts = forwarding.Dependencies(
            self.mirror,
            self.selector,
            self.http,
            self.clock,
            source,
            self.metrics,
            continuations.Continuations(
                streamorigins.StreamOrigins(self.gossip, self.clock),
                self.mirror.registry,
                self.clock,
                self.metrics,
                self.software_versions,
                self.stored_origins,
                self.http,
            ),
            quarantine.Quarantine(self.clock),
            detours.Detours(
                self.mirror, self.gossip, self.selector, self.clock, source
            ),
            silence.Silence(self.mirror.registry, self.http, self.clock),
        )
        # As if the instance had known the targets for a minute.
        self.mirror.registry.replace((), self.clock.now_ms() - 60_000)
        self.forwarder = forwarding.Forwarder(parts)
        for engine in engines:
            self.register(engine, service)

    def register(self, engine, service, **changes):
        """Add an engine to the registry of targets."""
        fields = {
            "id": engine.name,
            "service": service,
            "address": engine.address,
            "zone": "lj",
            "slots": 8,
            "draining": False,
            "versions": {},
            "born_ms": 1,
        }
        target = registry.Target(**{**fields, **changes})
        self.mirror.registry.put(target, 0, self.clock.now_ms())

    async def start(self):
        """Listen for callers."""
        self.server = await server.start("127.0.0.1", 0, self.forwarder.handle)

    async def join(self, members):
        """Listen for other instances, and add this one to the shared members."""
        self.gossip.members.update(members)
        host, port = await self._listen_for_peers()
        prober = probing.Prober(self.mirror, self.http, self.clock)
        for run in (prober.run, self.gossip.run):
            self.tasks.append(asyncio.ensure_future(run()))
        return {self.gossip.name: hubs.Member(host, port, "lj")}

    async def _listen_for_peers(self):
        """Listen on one port for datagrams and connections, which others may use."""
        while True:
            self.peer_server = await server.start(
                "127.0.0.1", 0, self.forwarder.handle_passed_on
            )
            try:
                await self.gossip.listen("127.0.0.1", self.peer_server.port)
            except OSError:
                self.peer_server.stop_listening()
                continue
            return self.gossip.address()

    async def kill(self):
        """End the instance; its engines go on."""
        self.server.stop_listening()
        self.server.abort()
        for task in self.tasks:
            task.cancel()
        if self.peer_server is not None:
            self.peer_server.stop_listening()
            self.peer_server.abort()
        self.gossip.close()
        await self.http.close()

    async def stop(self):
        """Close everything."""
        await self.kill()
        for engine in self.engines:
            engine.server.close()

    async def send_raw(self, data, until_closed=False, wait_s=5):
        """Send bytes to the forwarder and return the response's bytes."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        writer.write(data)
        try:
            async with asyncio.timeout(wait_s):
                return await self._read(reader, until_closed)
        finally:
            writer.close()

    async def _read(self, reader, until_closed):
        if until_closed:
            return await reader.read()
        head = await reader.readuntil(b"\r\n\r\n")
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        return head + await reader.readexactly(length)

    async def send(self, path, method="POST", body=b"hello", wait_s=5, **fields):
        """Send one request; return the status and the bytes of the whole response."""
        answer = await self.send_raw(
            request_bytes(path, method, body, **fields), wait_s=wait_s
        )
        return int(answer.split(b" ")[1]), answer

    async def stream(self, path, **fields):
        """Send one request and return all bytes until the connection ends."""
        fields["connection"] = "close"
        return await self.send_raw(request_bytes(path, "POST", b"", **fields), True)


def request_bytes(path, method="POST", body=b"hello", **fields):
    """Return the bytes of a request; ``fields`` override the default headers."""
    headers = {
        "host": HOST,
        "x-cornelreach-request-id": "id-1",
        "x-cornelreach-deadline-ms": "2000",
        "x-api-key": KEY,
        "content-length": str(len(body)),
    }
    for name, value in fields.items():
        headers[name.replace("_", "-")] = value
    lines = [f"{name}: {value}" for name, value in headers.items() if value is not None]
    return f"{method} {path} HTTP/1.1\r\n".encode() + (
        "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
    )
