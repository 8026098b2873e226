"""Tests of the memory of an edge process whose clients send ahead and read nothing.

What the system has received for the process and the process has not read counts as its
memory, as it does on the platform. Each test sends a fixed number of bytes, and checks
nothing that depends on speed.
"""

import asyncio
import contextlib
import os
import pathlib
import socket

from test.gateway import harness as harness_module
from test.http import crowds
from test.ui import edgeprocess

CONNECTIONS = 400
CONNECTION_BYTES = 400_000  # more than the process and the system keep of them
BLOCK_BYTES, REQUEST_BYTES = 16_384, 256
SEND_BYTES, RECEIVE_BYTES = 16_384, 4_096  # of the system, at the clients
SAMPLE_S = 0.02
MEMORY_MB = 64
MAX_FDS = 900
SETTINGS = f"memory_mb = {MEMORY_MB}\nmax_fds = {MAX_FDS}"
SMALL = {"max_header_bytes": 8_192, "max_body_bytes": 65_536}
FRONT_PORT, READY_PORT = 7_601, 7_602
OPEN_STATES = ("01", "08")  # established, and closed by the client
MB = 1_048_576


def padded(path, host):
    """Return a request whose path is filled up to ``REQUEST_BYTES``."""
    text = f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n"
    return text.replace(path, path.ljust(REQUEST_BYTES - len(text), "x")).encode()


class Crowd(crowds.Crowd):
    """Connections that send a request again and again."""

    def __init__(self, address, request):
        block = request * (BLOCK_BYTES // len(request))
        super().__init__(address, block, CONNECTIONS)

    async def send_one(self):
        loop = asyncio.get_running_loop()
        client = socket.socket()
        self.sockets.append(client)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BYTES)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        client.setblocking(False)
        with contextlib.suppress(OSError):  # closed by the process
            await loop.sock_connect(client, self.address)
            for _ in range(CONNECTION_BYTES // BLOCK_BYTES):
                await loop.sock_sendall(client, self.block)
                self.sent_bytes += len(self.block)
        return client


class ReturningCrowd(Crowd):
    """Connections that are opened again whenever they have been closed."""

    returns = 0

    async def send_one(self):
        while True:
            client = await super().send_one()
            client.close()
            self.sockets.remove(client)
            self.returns += 1
            await asyncio.sleep(SAMPLE_S)


class Received(edgeprocess.Case):
    """A crowd at each path at which a process has run out of memory."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.seed("config/main", edgeprocess.config(3, **SMALL))
        self.register_engine(cold_remaining_ms=0)
        await self.start(limits=SETTINGS)

    # Guards against a process above its memory, as clients without key and identifier
    # send many requests ahead and read no rejection.
    async def test_callers_without_the_usual_headers_stay_within_the_memory(self):
        await self.meet(FRONT_PORT, padded("/once/", harness_module.HOST))

    # Guards against the same at the readiness path, which needs no key.
    async def test_checks_of_readiness_stay_within_the_memory(self):
        await self.meet(READY_PORT, padded("/api/ready?", "a"))

    # Guards against the same at paths that no route has.
    async def test_paths_without_a_route_stay_within_the_memory(self):
        await self.meet(FRONT_PORT, padded("/none/", "a"))

    async def meet(self, port, request):
        """Let a crowd send to a port, and check what is held at a time."""
        self.most = (0.0, 0.0, 0.0)  # together, resident, unread
        self.most_open = 0
        crowd = Crowd((self.host, port), request)
        self.addCleanup(crowd.close)
        sampling = asyncio.ensure_future(self.sample(port))
        await crowd.send()
        sampling.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await sampling
        crowd.close()
        await self.until(self.answered)
        self.assertIsNone(self.process.returncode)
        together_mb, resident_mb, unread_mb = self.most
        figures = f"{resident_mb:.0f} MB and {unread_mb:.0f} MB unread, at most "
        figures += f"{self.most_open} descriptors, {crowd.sent_bytes} bytes taken"
        self.assertLess(together_mb, MEMORY_MB, figures)
        self.assertLess(self.most_open, MAX_FDS, figures)

    # Guards against ordinary callers who find no place among clients without key and
    # identifier that send ahead, read no rejection, and connect again when closed.
    async def test_callers_are_answered_beside_ones_without_the_usual_headers(self):
        await self.ask_beside(FRONT_PORT, padded("/once/", harness_module.HOST))

    # Guards against the same beside clients at the readiness path.
    async def test_callers_are_answered_beside_checks_of_readiness(self):
        await self.ask_beside(READY_PORT, padded("/api/ready?", "a"))

    # Guards against the same beside clients at paths that no route has.
    async def test_callers_are_answered_beside_paths_without_a_route(self):
        await self.ask_beside(FRONT_PORT, padded("/none/", "a"))

    async def ask_beside(self, port, request):
        """Ask one ordinary request while a crowd goes on, and check what is held."""
        self.most = (0.0, 0.0, 0.0)
        self.most_open = 0
        crowd = ReturningCrowd((self.host, port), request)
        self.addCleanup(crowd.close)
        tasks = [
            asyncio.ensure_future(one) for one in (crowd.send(), self.sample(port))
        ]
        while crowd.returns < CONNECTIONS:
            await asyncio.sleep(SAMPLE_S)
        try:
            status = await self.ask("meanwhile")
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        self.assertEqual(status, 200)
        crowd.close()
        await self.until(self.answered)
        self.assertIsNone(self.process.returncode)
        self.assertLess(self.most[0], MEMORY_MB, self.most)
        self.assertLess(self.most_open, MAX_FDS)

    async def answered(self):
        """Return whether an ordinary request is answered."""
        return await self.ask("afterwards") == 200

    async def sample(self, port):
        """Note the most memory and descriptors of the process at a time."""
        while True:
            resident_mb, unread_mb = self.resident_mb(), self.unread_mb(port)
            self.most = max(
                self.most, (resident_mb + unread_mb, resident_mb, unread_mb)
            )
            descriptors = os.listdir(f"/proc/{self.process.pid}/fd")
            self.most_open = max(self.most_open, len(descriptors))
            await asyncio.sleep(SAMPLE_S)

    def resident_mb(self):
        """Return the memory that is resident now."""
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.partition("VmRSS:")[2].split()[0]) / 1_024

    def unread_mb(self, port):
        """Return what the connections to a port hold that the process has not read.

        Those that wait to be accepted are among them.
        """
        host = int.from_bytes(socket.inet_aton(self.host), "little")
        name = f"{host:08X}:{port:04X}"
        unread_bytes = 0
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            _, local, _, state, queues, *_ = line.split()
            if local == name and state in OPEN_STATES:
                unread_bytes += int(queues.partition(":")[2], 16)
        return unread_bytes / MB
