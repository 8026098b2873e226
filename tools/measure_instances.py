"""Measures the spread of settings and recovery over real instances.

Usage:
  measure_instances [--seconds=N] [--seed=N]

Options:
  --seconds=N  Length of each rate of changes in seconds [default: 60].
  --seed=N     Seed of the times of changes [default: 1].

Starts the platform stand-in and eight daemons in two data centres on loopback. The time
to force runs from the sending of the write until the last instance's status shows the
revision, read every ``POLL_MS``.
"""

import asyncio
import pathlib
import random
import signal
import tempfile
import time
import typing

import docopt
import msgspec
from hdrh import histogram

from cornelreach.http import client
from cornelreach.platform import client as platform_client
from cornelreach.settings import items
from standins import site as site_module

DATA_CENTRES = site_module.DATA_CENTRES[:2]
EACH = 4
POLL_MS = 10
CHANGES_A_DAY = 23_000
DAY_S = 86_400
SETTLE_S = 12
PAUSE_S = 8
OUTAGE_MS = 6_000
WAIT_S = 30
HIGHEST_US = 60_000_000


class Fleet(site_module.Site):
    """Eight instances and the platform, with no targets."""

    def __init__(self, folder: pathlib.Path) -> None:
        super().__init__(folder)
        self.instances = [
            site_module.InstanceAddresses(
                f"{place}-{number}", place, *self._addresses()
            )
            for place in DATA_CENTRES
            for number in range(EACH)
        ]
        self.objects: platform_client.Client | None = None

    def _targets(self) -> typing.Iterator[typing.Awaitable[items.Target]]:
        return iter(())

    async def start(self) -> None:
        """Start everything and open a client of the platform."""
        await super().start()
        address = client.parse_address(self.platform)
        self.objects = platform_client.Client(self.http, address)

    async def status(
        self, member: site_module.InstanceAddresses
    ) -> dict[str, typing.Any]:
        """Return an instance's status, empty if it does not answer."""
        key = f"Bearer {site_module.OPERATOR_KEY}".encode()
        address = client.parse_address(member.admin)
        headers = ((b"authorization", key),)
        try:
            _, body, _ = await self.http.call(
                address, "GET", "/admin/status", b"", headers, 1_000
            )
        except (client.RequestNotSent, client.ResponseLost):
            return {}
        return msgspec.json.decode(body)

    async def until(
        self,
        members: typing.Iterable[site_module.InstanceAddresses],
        met: typing.Callable[[dict[str, typing.Any]], bool],
    ) -> None:
        """Wait until the status of each instance meets a condition."""

        async def one(member: site_module.InstanceAddresses) -> None:
            while not met(await self.status(member) or {"revision": 0, "members": []}):
                await asyncio.sleep(POLL_MS / 1_000)

        async with asyncio.timeout(WAIT_S):
            await asyncio.gather(*map(one, members))

    async def write(self, number: int) -> int:
        """Have a change accepted and return its version."""
        key = items.key_of("model", f"m{number}")
        outcome = await self.objects.put(key, {"name": f"m{number}"}, if_absent=True)
        return outcome.unwrap()

    def process(self, name: str) -> asyncio.subprocess.Process:
        """Return the latest process of a name."""
        return [one for one in self.processes if one.name == name][-1].handle


async def spread(fleet: Fleet, rate: float, seconds: float, seed: int) -> str:
    """Write changes at a rate a second and return the line of the times to force."""
    source = random.Random(seed)
    times = histogram.HdrHistogram(1, HIGHEST_US, 3)
    tasks = []

    async def change(number: int) -> None:
        started_s = time.monotonic()
        version = await fleet.write(number)
        await fleet.until(fleet.instances, lambda found: found["revision"] >= version)
        times.record_value(int((time.monotonic() - started_s) * 1e6))

    number, ends_s = int(rate * 1e6), time.monotonic() + seconds
    while time.monotonic() < ends_s:
        number += 1
        tasks.append(asyncio.ensure_future(change(number)))
        await asyncio.sleep(source.expovariate(rate))
    await asyncio.gather(*tasks)
    points = [times.get_value_at_percentile(p) / 1_000 for p in (50, 99, 100)]
    return (
        f"  {rate * DAY_S:.0f} changes a day, {len(tasks)} changes: p50 {points[0]:.0f}"
        f" ms, p99 {points[1]:.0f} ms, highest {points[2]:.0f} ms"
    )


async def killed(fleet: Fleet) -> str:
    """Kill an instance; measure until all miss it, and until its successor serves."""
    member, *rest = fleet.instances
    near = [one for one in rest if one.data_centre == member.data_centre]
    fleet.process(member.name).kill()
    started_s = time.monotonic()
    await fleet.until(near, lambda found: member.name not in found["members"])
    missed_s = time.monotonic() - started_s
    version = await fleet.write(900_001)
    await fleet.until(rest, lambda found: found["revision"] >= version)
    started_s = time.monotonic()
    await fleet.start_instance(member)
    await fleet.until([member], lambda found: found["revision"] >= version)
    ready_s = time.monotonic() - started_s
    await fleet.until(near, lambda found: member.name in found["members"])
    joined_s = time.monotonic() - started_s
    return (
        f"  killed instance: missed by its data centre after {missed_s:.1f} s; its "
        f"successor holds the settings after {ready_s:.1f} s (start of the process "
        f"included) and is known after {joined_s:.1f} s"
    )


async def paused(fleet: Fleet) -> str:
    """Pause an instance over a change; measure until it holds it after waking."""
    member, *rest = fleet.instances[1:]
    handle = fleet.process(member.name)
    handle.send_signal(signal.SIGSTOP)
    version = await fleet.write(900_002)
    await asyncio.sleep(PAUSE_S)
    await fleet.until(rest, lambda found: found["revision"] >= version)
    handle.send_signal(signal.SIGCONT)
    started_s = time.monotonic()
    await fleet.until([member], lambda found: found["revision"] >= version)
    passed_ms = (time.monotonic() - started_s) * 1_000
    return f"  paused for {PAUSE_S} s: holds the change {passed_ms:.0f} ms after waking"


async def outage(fleet: Fleet) -> str:
    """Take the platform away; measure until a change after it is in force."""
    await fleet.control(fleet.platform, "faults", {"outage_ms": OUTAGE_MS})
    await asyncio.sleep(OUTAGE_MS / 1_000 + 0.05)
    started_s = time.monotonic()
    version = await fleet.write(900_003)
    await fleet.until(fleet.instances, lambda found: found["revision"] >= version)
    passed_ms = (time.monotonic() - started_s) * 1_000
    return (
        f"  outage of {OUTAGE_MS / 1_000:.0f} s: the first change after it in force "
        f"everywhere after {passed_ms:.0f} ms"
    )


async def restarted(fleet: Fleet) -> str:
    """Kill and start all instances at once; measure until all hold the settings."""
    for member in fleet.instances:
        fleet.process(member.name).kill()
    started_s = time.monotonic()
    await asyncio.gather(*map(fleet.start_instance, fleet.instances))
    passed_s = time.monotonic() - started_s
    return f"  restart of all: every instance ready after {passed_s:.1f} s"


def processor_ms(fleet: Fleet) -> float:
    """Return the processor time of the instances so far, in milliseconds each."""
    total = 0.0
    for member in fleet.instances:
        pid = fleet.process(member.name).pid
        fields = pathlib.Path(f"/proc/{pid}/schedstat").read_text().split()
        total += int(fields[0]) / 1e6
    return total / len(fleet.instances)


async def main(seconds: float, seed: int) -> None:
    """Start the fleet, measure, and stop it."""
    with tempfile.TemporaryDirectory(prefix="cornelreach-") as folder:
        fleet = Fleet(pathlib.Path(folder))
        try:
            await fleet.start()
            await asyncio.sleep(SETTLE_S)
            before_ms = processor_ms(fleet)
            await asyncio.sleep(SETTLE_S)
            spent_ms = (processor_ms(fleet) - before_ms) / SETTLE_S
            print(f"{len(fleet.instances)} instances, real processes")
            print(f"  at rest: {spent_ms:.1f} ms of processor time a second each")
            for factor in (1, 10):
                rate = factor * CHANGES_A_DAY / DAY_S
                print(await spread(fleet, rate, seconds, seed), flush=True)
            for part in (killed, paused, outage, restarted):
                print(await part(fleet), flush=True)
        finally:
            await fleet.stop()


if __name__ == "__main__":
    options = docopt.docopt(__doc__)
    asyncio.run(main(float(options["--seconds"]), int(options["--seed"])))
