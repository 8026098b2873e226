"""The edge as a process, beside engines whose answers come in small pieces."""

import asyncio
import contextlib
import math
import pathlib
import time

from cornelreach.http import client as http_client
from test.gateway import harness as harness_module
from test.platform import test_records
from test.ui import edgeprocess

CLIENTS, SOUND = 32, 11
PLAY_S = 4.0
WORK_S = 0.05
P99_FACTOR = 3.0
MEMORY_MB = 100
PIECES = b"1\r\nx\r\n" * 10_000


def quantile(times, share):
    """Return a quantile of some times."""
    return sorted(times)[math.ceil(share * len(times)) - 1]


class SmallPieces(edgeprocess.Case):
    """Callers of sound engines, while others call engines that never end."""

    async def script(self, engine, head, body, writer):
        """Answer after some work."""
        if head.get("x-cornelreach-request-id"):
            await asyncio.sleep(WORK_S)
            writer.write(engine.answer(head))
        else:
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")

    async def wild(self, engine, head, body, writer):
        """Answer everything, health checks too, in chunks of one byte without end."""
        fields = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n"
        if name := head.get("x-cornelreach-request-id"):
            fields += f"x-cornelreach-request-id: {name}\r\n"
        fields += "x-cornelreach-response-signature: x\r\n\r\n"
        writer.write(fields.encode())
        while not writer.is_closing():
            writer.write(PIECES)
            await writer.drain()
            await asyncio.sleep(0)
        return False

    async def play(self, paths):
        """Let one client ask each path again and again; return times and failures."""
        end_s = time.monotonic() + PLAY_S
        times, failures, numbers = [], [], iter(range(10**9))

        async def ask(path):
            client = http_client.Client()
            while time.monotonic() < end_s:
                begin_s = time.monotonic()
                fields = (
                    (b"host", harness_module.HOST.encode()),
                    (b"x-cornelreach-request-id", f"{path}{next(numbers)}".encode()),
                    (b"x-api-key", harness_module.KEY.encode()),
                    (b"x-cornelreach-deadline-ms", b"3000"),
                )
                address = http_client.Address(self.host, 7601)
                status = 0
                with contextlib.suppress(http_client.ResponseLost):
                    status, _, _ = await client.call(
                        address, "POST", path, b"", fields, wait_ms=4_000
                    )
                if path == "/once/":
                    times.append((time.monotonic() - begin_s) * 1_000)
                    if status != 200:
                        failures.append(status)
            await client.close()

        await asyncio.gather(*map(ask, paths))
        return times, failures

    def memory_mb(self):
        """Return the resident memory of the process."""
        text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        return int(text.partition("VmRSS:")[2].split()[0]) / 1_024

    # Guards against an engine whose answer comes in pieces of one byte keeping the
    # callers of all other engines waiting.
    async def test_callers_of_sound_engines_do_not_wait_for_endless_answers(self):
        asyncio.get_running_loop().set_debug(False)
        wild = harness_module.Engine("w1", self.wild)
        await wild.start()
        self.addCleanup(wild.server.close)
        config = edgeprocess.config(1)
        route = {**config["routes"][0], "name": "w", "path_prefix": "/wild/"}
        config["routes"].append({**route, "service": "w"})
        config["services"].append({**config["services"][0], "name": "w"})
        self.seed("config/main", config)
        for engine, service in ((self.engine, "s"), (wild, "w")):
            entry = {**test_records.SERVER, "service": service, "models": []}
            entry |= {"address": engine.address, "slots": 60, "cold_remaining_ms": 0}
            self.seed(f"servers/{engine.name}", entry)
        await self.start()
        sound = ["/once/"] * SOUND
        calm_times, calm_failures = await self.play(sound)
        calm_mb = self.memory_mb()
        times, failures = await self.play([*sound, *["/wild/"] * (CLIENTS - SOUND)])
        calm_ms, beside_ms = (quantile(one, 0.99) for one in (calm_times, times))
        self.assertEqual((calm_failures, failures), ([], []))
        self.assertLess(beside_ms, P99_FACTOR * calm_ms)
        self.assertLess(self.memory_mb(), calm_mb + MEMORY_MB)
