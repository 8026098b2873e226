"""Starts a small site like Tirnica's as processes on loopback.

Usage:
  site run [--turns N] [--instances N]
  site serve [--instances N]

Options:
  --turns N      Turns of the reader's document in ``run`` [default: 4].
  --instances N  Instances in each data centre [default: 1].

``run`` sends turns about a long rulebook through reader, drafter and booking service,
and exits with 0 if every answer was complete and every booking was executed once.
``serve`` runs until a signal.
"""

import asyncio
import hashlib
import itertools
import os
import pathlib
import shlex
import signal
import sys
import tempfile
import typing
import uuid

import docopt
import msgspec

from cornelreach.http import client
from cornelreach.settings import items
from standins import turns

DATA_CENTRES = ("lj-north", "lj-south", "kranj")
ACCOUNT_KEY = "tirnica-demo-key"
OPERATOR_KEY = "operator-demo-key"
PORTS = itertools.count(20_001)
READY_WAIT_S = 20
SETTLE_WAIT_S = 40
STOP_WAIT_S = 10


class Process(typing.NamedTuple):
    """A started process and its address."""

    name: str
    address: str
    handle: asyncio.subprocess.Process


class InstanceAddresses(typing.NamedTuple):
    """Name, data centre and addresses (host:port) of one instance."""

    name: str
    data_centre: str
    callers: str
    admin: str
    peers: str


def own_host() -> str:
    """Return a loopback address that only this process uses.

    Two sites on one machine then never compete for a port, and no free port has to be
    probed for, which could return the same port twice.
    """
    number = os.getpid()
    return f"127.{1 + number // 62_500 % 250}.{1 + number // 250 % 250}.{number % 250}"


def next_ports(count: int) -> list[int]:
    """Return ports that this process has not used before."""
    return [next(PORTS) for _ in range(count)]


class Site:
    """The processes of one site and its initial configuration."""

    daemon = ("-m", "cornelreach.ui.daemon")

    def __init__(self, folder: pathlib.Path, instances: int = 1) -> None:
        self.folder = folder
        self.processes: list[Process] = []
        self.instances = [
            InstanceAddresses(
                f"{data_centre}-{number}", data_centre, *self._addresses()
            )
            for data_centre in DATA_CENTRES
            for number in range(1, instances + 1)
        ]
        self.platform = ""
        self.services: list[str] = []
        self.http = client.Client()

    def _addresses(self) -> list[str]:
        host = own_host()
        return [f"{host}:{port}" for port in next_ports(3)]

    async def spawn(self, name: str, *arguments: str) -> str:
        """Start a stand-in and return the address that it prints."""
        log = open(self.folder / f"{name}.log", "wb")  # noqa: SIM115, the child's
        handle = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=log,
        )
        line = await asyncio.wait_for(handle.stdout.readline(), READY_WAIT_S)
        address = line.decode().split()[-1].removeprefix("http://")
        self.processes.append(Process(name, address, handle))
        return address

    async def start(self) -> None:
        """Start targets, then the platform with the configuration, then instances."""
        seeded = dict(self._fixed_items())
        for target in await asyncio.gather(*self._targets()):
            seeded[items.key_of("target", target.name)] = items.encode(target)
        path = self.folder / "objects.json"
        path.write_bytes(msgspec.json.encode(seeded))
        self.platform = await self.spawn(
            "platform", "standins.platform", "--load", str(path)
        )
        await self.list_instances()
        await asyncio.gather(*(self.start_instance(one) for one in self.instances))

    def _fixed_items(self) -> typing.Iterator[tuple[str, dict[str, typing.Any]]]:
        digest = hashlib.sha256(ACCOUNT_KEY.encode()).hexdigest()
        fixed: list[tuple[str, items.Item]] = [
            ("defaults", items.Defaults()),
            ("account", items.Account("tirnica", [digest])),
            ("model", items.Model("reader", prefill_tokens_per_s=8_000)),
            ("model", items.Model("drafter", prefill_tokens_per_s=8_000)),
        ]
        fixed += [
            ("data-centre", items.DataCentre(name, "slovenia")) for name in DATA_CENTRES
        ]
        for kind, item in fixed:
            yield items.key_of(kind, item.name), items.encode(item)

    def _targets(self) -> typing.Iterator[typing.Awaitable[items.Target]]:
        for data_centre, model in itertools.product(DATA_CENTRES, turns.MODELS):
            yield self._engine(f"{model}-{data_centre}", data_centre, model)
        for data_centre in DATA_CENTRES:
            yield self._service(f"booking-{data_centre}", data_centre)
        for data_centre in DATA_CENTRES[:2]:
            yield self._store(f"store-{data_centre}", data_centre)

    async def _engine(self, name: str, data_centre: str, model: str) -> items.Target:
        flags = (f"--name={name}", f"--model={model}", "--cold-ms=2000")
        address = await self.spawn(name, "standins.engine", *flags)
        return items.Target(name, "engine", data_centre, address, model, cold_ms=2_000)

    async def _service(self, name: str, data_centre: str) -> items.Target:
        address = await self.spawn(name, "standins.service", f"--name={name}")
        self.services.append(address)
        return items.Target(name, "service", data_centre, address, "booking")

    async def _store(self, name: str, data_centre: str) -> items.Target:
        address = await self.spawn(name, "standins.store", f"--name={name}")
        return items.Target(name, "store", data_centre, address)

    async def list_instances(self, leaving: typing.Container[str] = ()) -> None:
        """Send the list of instances to the platform stand-in."""
        listed = [
            {
                "name": one.name,
                "data_centre": one.data_centre,
                "peer_address": one.peers,
                "state": "leaving" if one.name in leaving else "live",
            }
            for one in self.instances
        ]
        await self.control(self.platform, "instances", listed)

    async def control(self, address: str, what: str, value: object) -> None:
        """Send a control call to a stand-in at host:port."""
        body = msgspec.json.encode(value)
        status, answer, _ = await self.http.call(
            client.parse_address(address), "POST", f"/control/{what}", body
        )
        if status != 200:
            raise ValueError(f"control call {what} answered {status}: {answer!r}")

    def _shared_file(self, name: str, text: str) -> pathlib.Path:
        """Return a file for all instances, which is never seen half written."""
        path = self.folder / name
        if not path.exists():
            aside = self.folder / f"{name}.{uuid.uuid4().hex}"
            aside.write_text(text)
            aside.replace(path)
        return path

    async def start_instance(self, instance: InstanceAddresses) -> Process:
        """Start one instance and wait until it is ready."""
        secret = self._shared_file("secret", "demo-stream-secret\n")
        operator = self._shared_file("operator", OPERATOR_KEY + "\n")
        flags = {
            "name": instance.name,
            "data-centre": instance.data_centre,
            "region": "slovenia",
            "listen": instance.callers,
            "admin-listen": instance.admin,
            "peer-listen": instance.peers,
            "platform": f"http://{self.platform}",
            "secret-file": str(secret),
            "operator-key-file": str(operator),
        }
        log = open(self.folder / f"{instance.name}.log", "ab")  # noqa: SIM115, the child's
        handle = await asyncio.create_subprocess_exec(
            sys.executable,
            *self.daemon,
            *(f"--{name}={value}" for name, value in flags.items()),
            stderr=log,
        )
        process = Process(instance.name, instance.callers, handle)
        self.processes.append(process)
        await self._until_ready(instance, handle)
        return process

    async def wait_settled(self) -> None:
        """Wait until every pool has an owner that can admit."""
        want = len(turns.MODELS) * len(DATA_CENTRES) + len(self.services)
        async with asyncio.timeout(SETTLE_WAIT_S):
            while await self._open_pools() < want:
                await asyncio.sleep(0.2)

    async def _open_pools(self) -> int:
        states = [await self.status(one) for one in self.instances]
        whole = all(len(one["members"]) == len(self.instances) for one in states)
        pools = [pool for one in states for pool in one["pools"]]
        return whole * sum(pool["room_sequences"] > 0 for pool in pools)

    async def status(self, instance: InstanceAddresses) -> dict[str, typing.Any]:
        """Return an instance's status from its admin API."""
        headers = ((b"authorization", b"Bearer " + OPERATOR_KEY.encode()),)
        _, body, _ = await self.http.call(
            client.parse_address(instance.admin), "GET", "/admin/status", b"", headers
        )
        return msgspec.json.decode(body)

    async def _until_ready(
        self, instance: InstanceAddresses, handle: asyncio.subprocess.Process
    ) -> None:
        address = client.parse_address(instance.admin)
        async with asyncio.timeout(READY_WAIT_S):
            while True:
                try:
                    status, _, _ = await self.http.call(address, "GET", "/readyz")
                except (client.RequestNotSent, client.ResponseLost):
                    status = 0
                if status == 200:
                    return
                if handle.returncode is not None:
                    log = (self.folder / f"{instance.name}.log").read_text()
                    raise ChildProcessError(f"{instance.name} ended: {log[-2_000:]}")
                await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Stop all processes of this site, the instances first."""
        names = {instance.name for instance in self.instances}
        instances = [one for one in self.processes if one.name in names]
        others = [one for one in self.processes if one.name not in names]
        for group in (instances, others):
            for process in group:
                if process.handle.returncode is None:
                    process.handle.send_signal(signal.SIGTERM)
            await asyncio.gather(*(_ended(process) for process in group))
        await self.http.close()


async def _ended(process: Process) -> None:
    try:
        await asyncio.wait_for(process.handle.wait(), STOP_WAIT_S)
    except TimeoutError:
        process.handle.kill()
        await process.handle.wait()


async def run(site: Site, count: int) -> int:
    """Run the turns through the whole chain and print the results."""
    print("waiting until the pools have owners", flush=True)
    await site.wait_settled()
    callers = [one.callers for one in site.instances]
    chain = turns.Chain(site.http, callers, ACCOUNT_KEY, print)
    report = await chain.run(count)
    executions = await turns.executions(site.http, site.services)
    print(turns.summary(report, executions))
    return 0 if turns.all_booked_once(report, executions) else 1


async def serve(site: Site) -> int:
    """Print the addresses and three example commands, and wait for a signal."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    print(f"platform http://{site.platform}  logs {site.folder}")
    for one in site.instances:
        print(f"{one.name}: callers http://{one.callers} admin http://{one.admin}")
    first = site.instances[0]
    question = '{"model":"reader","messages":[{"role":"user","content":"open?"}]}'
    print("Try:")
    print(f"  curl http://{first.admin}/readyz")
    print(
        f"  curl -H 'Authorization: Bearer {ACCOUNT_KEY}' -d {shlex.quote(question)}"
        f" http://{first.callers}/v1/chat/completions"
    )
    print(
        f"  curl -H 'Authorization: Bearer {OPERATOR_KEY}'"
        f" http://{first.admin}/admin/status",
        flush=True,
    )
    await stop.wait()
    return 0


async def main(flags: dict[str, typing.Any]) -> int:
    """Start the site, run the requested command, and stop it."""
    with tempfile.TemporaryDirectory(prefix="cornelreach-") as folder:
        site = Site(pathlib.Path(folder), int(flags["--instances"]))
        try:
            print("starting the site", flush=True)
            await site.start()
            if flags["run"]:
                return await run(site, int(flags["--turns"]))
            return await serve(site)
        finally:
            await site.stop()


if __name__ == "__main__":
    sys.exit(asyncio.run(main(docopt.docopt(__doc__))))
