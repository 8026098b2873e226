"""One edge process for tests, with simulated platform and engine on loopback."""

import asyncio
import os
import pathlib
import sys
import tempfile
import time
import unittest

import msgspec

from cornelreach.http import client as http_client, server
from standins import platform as platform_module
from test.gateway import harness as harness_module
from test.platform import test_records
from tools.soak import edges

READY_WAIT_S = 10


def config(version, keys=(harness_module.KEY,), **limits):
    """Return a configuration with one service that is not an engine."""
    route = {
        "name": "r",
        "hostname": harness_module.HOST,
        "path_prefix": "/once/",
        "route_type": "non_idempotent",
        "timeout_ms": 4_000,
        "service": "s",
    }
    service = {"name": "s", "health_path": "/health", "max_connections": 50}
    return {
        "version": version,
        "routes": [route],
        "services": [service],
        "limits": {**test_records.CONFIG["limits"], **limits},
        "tenants": [{"name": "tirnica", "api_keys": list(keys)}],
    }


class Case(unittest.IsolatedAsyncioTestCase):
    """An edge process, and what it needs."""

    async def asyncSetUp(self):
        pid = os.getpid()
        self.host = f"127.{1 + pid // 62_500 % 250}.{1 + pid // 250 % 250}.{pid % 250}"
        self.store = platform_module.Platform()
        self.store_server = await server.start("127.0.0.1", 0, self.store.handle)
        self.http = http_client.Client()
        self.engine = harness_module.Engine("e1", self.script)
        await self.engine.start()
        self.delay_s = 0.0
        self.addAsyncCleanup(self.close)

    async def script(self, engine, head, body, writer):
        """Send the engine's response after a delay."""
        await asyncio.sleep(self.delay_s)
        writer.write(engine.answer(head))

    async def close(self):
        """Stop the process and the servers."""
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        await self.http.close()
        self.store_server.stop_listening()
        self.store_server.abort()
        self.engine.server.close()

    def seed(self, key, value):
        """Write an object to the platform and notify its watchers."""
        self.store.model.seed(key, msgspec.json.encode(value))
        self.store.notify_watches()

    async def start(self, grace_s=5, contracts="", limits="memory_mb = 300"):
        """Start the edge process, with the given limits, and wait until it is ready."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.settings = pathlib.Path(folder.name) / "settings.toml"
        store = f"127.0.0.1:{self.store_server.port}"
        text = edges.SETTINGS.format(
            name="edge-1",
            zone="lj",
            host=self.host,
            zones='lj = "central"',
            store=store,
        )
        text = text.replace("grace_s = 5", f"grace_s = {grace_s}")
        text = text.replace("memory_mb = 300", limits)
        self.settings.write_text(contracts + text)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cornelreach.ui.edge",
            stdout=asyncio.subprocess.PIPE,
            env={**os.environ, "CORNELREACH_CONFIG": str(self.settings)},
        )
        self.lines = []
        self.reading = asyncio.ensure_future(self._read())
        await self.until(self.ready)

    async def _read(self):
        async for line in self.process.stdout:
            self.lines.append(msgspec.json.decode(line))

    async def until(self, condition):
        """Wait until a condition holds."""
        end_s = time.monotonic() + READY_WAIT_S
        while not await condition():
            self.assertLess(time.monotonic(), end_s, "condition not met in time")
            await asyncio.sleep(0.05)

    async def call(self, port, method, path, headers=(), body=b""):
        """Send a request to a port of the process and return status and body.

        The status is 0 if the request could not be sent.
        """
        address = http_client.Address(self.host, port)
        try:
            status, body, _ = await self.http.call(
                address, method, path, body, headers, wait_ms=5_000
            )
        except http_client.RequestNotSent:
            return 0, b""
        return status, body

    async def ready(self):
        """Return whether the process reports that it is ready."""
        return (await self.call(7602, "GET", "/api/ready"))[0] == 200

    async def ask(self, number, body=b"", path="/once/x", deadline_ms=3_000):
        """Send a caller's request and return its status."""
        headers = (
            (b"host", harness_module.HOST.encode()),
            (b"x-cornelreach-request-id", f"id-{number}".encode()),
            (b"x-api-key", harness_module.KEY.encode()),
            (b"x-cornelreach-deadline-ms", str(deadline_ms).encode()),
        )
        return (await self.call(7601, "POST", path, headers, body))[0]

    def register_engine(self, **changes):
        """Register the engine on the platform."""
        entry = {**test_records.SERVER, "service": "s", "models": [], **changes}
        self.seed("servers/e1", {**entry, "address": self.engine.address})
