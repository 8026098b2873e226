"""Runs instances as processes on loopback, and stops them by process id only."""

import asyncio
import collections
import os
import pathlib
import signal
import sys
import typing

import msgspec

# Tests of single processes, which set these themselves, share SETTINGS.
CONTRACTS = 'contracts = ["rollout"]\n'
ROLLOUT_BOUNDS = """[bounds]
exposure_share = 0.1
exposure_slack = 50
rollback_ms = 5000
max_skew_ms = 6000
"""
SETTINGS = """
node_name = "{name}"
zone = "{zone}"
ip = "{host}"
internal_ports = [7580, 7595]
bootstrap = true
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
[limits]
memory_mb = 300
[platform]
address = "{store}"
reads_per_s = 2000
writes_per_s = 400
"""
CALLER_PORT, READY_PORT = 7601, 7602
MAX_LOG_LINES = 50_000
PROGRAM = ("-m", "cornelreach.ui.edge")


class Edge:
    """An instance: its settings file, its current process and its log lines.

    With ``checkout``, its first process runs the program of another checkout, and each
    later one the present program, as in an upgrade.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        host: str,
        folder: pathlib.Path,
        store: str,
        zones: typing.Sequence[str],
        program: tuple[str, ...] = PROGRAM,
        checkout: str = "",
    ) -> None:
        self.name = name
        self.zone = zone
        self.host = host
        self.program = program
        self.checkout = checkout
        self.log_lines: collections.deque[bytes] = collections.deque(
            maxlen=MAX_LOG_LINES
        )
        self.process: asyncio.subprocess.Process | None = None
        self.exited_by_itself = 0
        self.settings = folder / f"{name}.toml"
        zone_lines = "\n".join(f'{one} = "central"' for one in zones)
        self.settings.write_text(
            CONTRACTS
            + SETTINGS.replace("[bounds]\n", ROLLOUT_BOUNDS).format(
                name=name, zone=zone, host=host, zones=zone_lines, store=store
            )
        )
        self._log_reader: asyncio.Task[None] | None = None
        self._restart_lock = asyncio.Lock()

    async def start(self) -> None:
        """Start a process with the settings of this instance."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *self.program,
            stdout=asyncio.subprocess.PIPE,
            cwd=self.checkout or None,
            env={**os.environ, "CORNELREACH_CONFIG": str(self.settings)},
        )
        self._log_reader = asyncio.ensure_future(self._read_log(self.process))

    async def restart(self, ended: asyncio.subprocess.Process) -> None:
        """Start again after a process has ended, unless another fault did already."""
        async with self._restart_lock:
            if self.process is ended:
                self.checkout = ""
                await self.start()

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        async for line in process.stdout:
            self.log_lines.append(line)

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the current process if it is still running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal_number)

    async def stop(self, signal_number: signal.Signals = signal.SIGKILL) -> None:
        """Stop the process and wait for it."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal_number)
        await self.process.wait()
        await self._log_reader

    def log_lines_for(self, request_id: str) -> list[str]:
        """Return the log lines that contain a request id."""
        wanted = request_id.encode()
        return [line.decode().strip() for line in self.log_lines if wanted in line]

    def event_counts(self) -> collections.Counter[int]:
        """Return how often each numbered event was logged."""
        return collections.Counter(
            msgspec.json.decode(line).get("event") for line in self.log_lines
        )

    async def is_ready(self) -> bool:
        """Return whether this instance reports that it is ready."""
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(self.host, READY_PORT)
                try:
                    writer.write(b"GET /api/ready HTTP/1.1\r\nhost: x\r\n\r\n")
                    return b" 200 " in await reader.readline()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return False
