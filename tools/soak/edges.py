"""The program that serves callers, as processes on loopback, ended only by their id."""

import asyncio
import collections
import os
import pathlib
import signal
import sys
import typing

import msgspec

SETTINGS = """
node_name = "{name}"
zone = "{zone}"
ip = "{host}"
internal_ports = [7580, 7595]
[zones]
{zones}
[listen]
front = "{host}:7601"
readiness = "{host}:7602"
[bounds]
drain_ms = 2000
grace_s = 5
config_apply_ms = 2000
revoke_strict = true
revoke_ms = 5000
retry_budget = 0.2
budget_window_s = 10
retry_slack = 56
cold_overage = 1.5
cold_slack = 5
lease_ms = 3000
thaw_ms = 300
version_ms = 8000
[platform]
address = "{store}"
reads_per_s = 2000
writes_per_s = 400
"""
FRONT_PORT, READY_PORT = 7601, 7602
LINES_KEPT = 50_000
PROGRAM = ("-m", "cornelreach.ui.edge")


class Edge:
    """One instance: its settings, its present process and its log lines."""

    def __init__(
        self,
        name: str,
        zone: str,
        host: str,
        folder: pathlib.Path,
        store: str,
        zones: typing.Sequence[str],
        program: tuple[str, ...] = PROGRAM,
    ) -> None:
        self.name = name
        self.zone = zone
        self.host = host
        self.program = program
        self.lines: collections.deque[bytes] = collections.deque(maxlen=LINES_KEPT)
        self.process: asyncio.subprocess.Process | None = None
        self.ended_itself = 0
        self.settings = folder / f"{name}.toml"
        listed = "\n".join(f'{one} = "central"' for one in zones)
        self.settings.write_text(
            SETTINGS.format(name=name, zone=zone, host=host, zones=listed, store=store)
        )
        self._reading: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start a process."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *self.program,
            stdout=asyncio.subprocess.PIPE,
            env={**os.environ, "CORNELREACH_CONFIG": str(self.settings)},
        )
        self._reading = asyncio.ensure_future(self._read(self.process))

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        async for line in process.stdout:
            self.lines.append(line)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the present process, if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self, number: signal.Signals = signal.SIGKILL) -> None:
        """End the process and wait for it."""
        self.send(signal.SIGCONT)
        self.send(number)
        await self.process.wait()
        await self._reading

    def lines_of(self, request_id: str) -> list[str]:
        """Return the log lines that name a request."""
        wanted = request_id.encode()
        return [line.decode().strip() for line in self.lines if wanted in line]

    def events(self) -> collections.Counter[int]:
        """Return how often each numbered event was logged."""
        return collections.Counter(
            msgspec.json.decode(line).get("event") for line in self.lines
        )
