"""Tests of an edge process whose clients send ahead and read nothing.

Each test sends a fixed number of bytes, and checks nothing that depends on speed.
"""

import asyncio
import contextlib
import os
import pathlib
import socket

from test.gateway import harness as harness_module
from test.http import crowds
from test.ui import edgeprocess

CONNECTIONS = 150
CONNECTION_BYTES = 2_000_000
BLOCK_BYTES = 65_536
RECEIVE_BYTES = 8_192  # of the system, so that unread responses soon reach the process
SETTLE_S, SETTLE_SHARE, MAX_SETTLES = 0.5, 0.2, 60  # of a processor, when it has read
SAMPLE_S = 0.05
MEMORY_MB = 160
MAX_FDS = 260
SETTINGS = f"memory_mb = {MEMORY_MB}\nmax_fds = {MAX_FDS}"
SMALL = {"max_header_bytes": 8_192, "max_body_bytes": 65_536}
MAX_RESIDENT_MB = 100
MAX_OPEN = 150  # descriptors, files among them
FRONT_PORT, READY_PORT = 7_601, 7_602


class Crowd(crowds.Crowd):
    """Connections that send a request again and again."""

    def __init__(self, address, request):
        block = request * (BLOCK_BYTES // len(request))
        super().__init__(address, block, CONNECTIONS)

    async def send_one(self):
        loop = asyncio.get_running_loop()
        client = socket.socket()
        self.sockets.append(client)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        client.setblocking(False)
        with contextlib.suppress(OSError):  # closed by the process
            await loop.sock_connect(client, self.address)
            for _ in range(CONNECTION_BYTES // len(self.block)):
                await self._send_block(client)

    async def _send_block(self, client):
        rest = memoryview(self.block)
        while rest:
            try:
                count = client.send(rest)
            except BlockingIOError:
                await self._writable(client)
                continue
            self.sent_bytes += count
            rest = rest[count:]
            await asyncio.sleep(0)

    async def _writable(self, client):
        loop = asyncio.get_running_loop()
        writable = loop.create_future()
        loop.add_writer(client, lambda: writable.done() or writable.set_result(None))
        try:
            await writable
        finally:
            loop.remove_writer(client)


class Unread(edgeprocess.Case):
    """A crowd that reads nothing, at each path on which memory ran out."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.seed("config/main", edgeprocess.config(3, **SMALL))
        self.register_engine(cold_remaining_ms=0)
        await self.start(limits=SETTINGS)
        self.most_open = 0

    # Guards against an instance that runs out of memory as callers without key and
    # identifier send many requests and read no rejection.
    async def test_callers_without_the_usual_headers_do_not_fill_the_memory(self):
        host = harness_module.HOST
        await self.meet(FRONT_PORT, f"GET /once/x HTTP/1.1\r\nHost: {host}\r\n\r\n")

    # Guards against the same at the readiness path, which needs no key.
    async def test_checks_of_readiness_do_not_fill_the_memory(self):
        await self.meet(READY_PORT, "GET /api/ready HTTP/1.1\r\nHost: a\r\n\r\n")

    # Guards against the same at paths that no route has.
    async def test_paths_without_a_route_do_not_fill_the_memory(self):
        await self.meet(FRONT_PORT, "GET /none HTTP/1.1\r\nHost: a\r\n\r\n")

    async def meet(self, port, request):
        """Let a crowd send to a port, and check what the process holds."""
        before_mb = self.most_resident_mb()
        crowd = Crowd((self.host, port), request.encode())
        self.addCleanup(crowd.close)
        sampling = asyncio.ensure_future(self.sample())
        await crowd.send()
        await self.settle()
        sampling.cancel()
        self.assertIsNone(self.process.returncode)
        resident_mb, most_open = self.most_resident_mb(), self.most_open
        crowd.close()
        await self.until(self.answered)
        self.assertIsNone(self.process.returncode)
        figures = (
            f"{before_mb:.0f} MB before, {resident_mb:.0f} MB, {most_open} descriptors"
        )
        figures += f", {crowd.sent_bytes} bytes taken"
        self.assertLess(resident_mb, MAX_RESIDENT_MB, figures)
        self.assertLess(most_open, MAX_OPEN, figures)

    async def answered(self):
        """Return whether an ordinary request is answered."""
        return await self.ask("afterwards") == 200

    async def settle(self):
        """Wait until the process has dealt with what the crowd sent."""
        for _ in range(MAX_SETTLES):
            before_s = self.processor_s()
            await asyncio.sleep(SETTLE_S)
            if self.processor_s() - before_s < SETTLE_S * SETTLE_SHARE:
                return

    def processor_s(self):
        """Return the processor time of the process, or 0 after its end."""
        try:
            fields = pathlib.Path(f"/proc/{self.process.pid}/stat").read_text()
        except OSError:
            return 0
        ticks = sum(map(int, fields.rpartition(")")[2].split()[11:13]))
        return ticks / os.sysconf("SC_CLK_TCK")

    async def sample(self):
        """Note the most descriptors that are open at a time."""
        folder = pathlib.Path(f"/proc/{self.process.pid}/fd")
        while True:
            self.most_open = max(self.most_open, len(list(folder.iterdir())))
            await asyncio.sleep(SAMPLE_S)

    def most_resident_mb(self):
        """Return the most memory that was resident at a time."""
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.partition("VmHWM:")[2].split()[0]) / 1_024
