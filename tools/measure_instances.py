"""Measures the propagation of settings and recovery with real instances.

Usage:
  measure_instances [--seconds=N] [--seed=N]

Options:
  --seconds=N  Seconds of changes at each rate [default: 60].
  --seed=N     Seed of the times between changes [default: 1].

Starts the platform stand-in and eight daemons in two data centres on loopback. The time
of a change runs from sending its write until the status of the last instance, polled
every ``POLL_MS``, shows its revision.
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
INSTANCES_PER_DATA_CENTRE = 4
POLL_MS = 10
CHANGES_A_DAY = 23_000
DAY_S = 86_400
STARTUP_S = 12
PAUSE_S = 8
OUTAGE_MS = 6_000
WAIT_S = 30
HIGHEST_US = 60_000_000


class Fleet(site_module.Site):
    """Eight instances and the platform, without targets."""

    def __init__(self, folder: pathlib.Path) -> None:
        super().__init__(folder)
        self.instances = [
            site_module.InstanceAddresses(
                f"{data_centre}-{number}", data_centre, *self._addresses()
            )
            for data_centre in DATA_CENTRES
            for number in range(INSTANCES_PER_DATA_CENTRE)
        ]
        self.objects: platform_client.Client | None = None

    def _targets(self) -> typing.Iterator[typing.Awaitable[items.Target]]:
        return iter(())

    async def start(self) -> None:
        """Start everything and create a client for the platform."""
        await super().start()
        address = client.parse_address(self.platform)
        self.objects = platform_client.Client(self.http, address)

    async def status(
        self, member: site_module.InstanceAddresses
    ) -> dict[str, typing.Any]:
        """Return an instance's status, or nothing if it does not respond."""
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

    async def wait_until(
        self,
        members: typing.Iterable[site_module.InstanceAddresses],
        condition: typing.Callable[[dict[str, typing.Any]], bool],
    ) -> None:
        """Wait until the status of every instance meets a condition."""

        async def one(member: site_module.InstanceAddresses) -> None:
            while not condition(
                await self.status(member) or {"revision": 0, "members": []}
            ):
                await asyncio.sleep(POLL_MS / 1_000)

        async with asyncio.timeout(WAIT_S):
            await asyncio.gather(*map(one, members))

    async def write(self, number: int) -> int:
        """Write a change and return its version."""
        key = items.key_of("model", f"m{number}")
        outcome = await self.objects.put(key, {"name": f"m{number}"}, if_absent=True)
        return outcome.unwrap()

    def process(self, name: str) -> asyncio.subprocess.Process:
        """Return the latest process of an instance."""
        return [one for one in self.processes if one.name == name][-1].handle


async def measure_spread(fleet: Fleet, rate: float, seconds: float, seed: int) -> str:
    """Write changes at a rate per second and return a line with their times."""
    source = random.Random(seed)
    times = histogram.HdrHistogram(1, HIGHEST_US, 3)
    tasks = []

    async def change(number: int) -> None:
        started_s = time.monotonic()
        version = await fleet.write(number)
        await fleet.wait_until(
            fleet.instances, lambda found: found["revision"] >= version
        )
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


async def measure_kill(fleet: Fleet) -> str:
    """Kill and restart an instance; measure its removal and its return."""
    member, *rest = fleet.instances
    same_data_centre = [one for one in rest if one.data_centre == member.data_centre]
    fleet.process(member.name).kill()
    started_s = time.monotonic()
    await fleet.wait_until(
        same_data_centre, lambda found: member.name not in found["members"]
    )
    removed_s = time.monotonic() - started_s
    version = await fleet.write(900_001)
    await fleet.wait_until(rest, lambda found: found["revision"] >= version)
    started_s = time.monotonic()
    await fleet.start_instance(member)
    await fleet.wait_until([member], lambda found: found["revision"] >= version)
    ready_s = time.monotonic() - started_s
    await fleet.wait_until(
        same_data_centre, lambda found: member.name in found["members"]
    )
    joined_s = time.monotonic() - started_s
    return (
        f"  killed instance: removed by its data centre after {removed_s:.1f} s; its "
        f"replacement has the settings after {ready_s:.1f} s (including the "
        f"process start) and is a member after {joined_s:.1f} s"
    )


async def measure_pause(fleet: Fleet) -> str:
    """Pause an instance during a change; measure until it has it after resuming."""
    member, *rest = fleet.instances[1:]
    handle = fleet.process(member.name)
    handle.send_signal(signal.SIGSTOP)
    version = await fleet.write(900_002)
    await asyncio.sleep(PAUSE_S)
    await fleet.wait_until(rest, lambda found: found["revision"] >= version)
    handle.send_signal(signal.SIGCONT)
    started_s = time.monotonic()
    await fleet.wait_until([member], lambda found: found["revision"] >= version)
    passed_ms = (time.monotonic() - started_s) * 1_000
    return f"  paused for {PAUSE_S} s: has the change {passed_ms:.0f} ms after resuming"


async def measure_outage(fleet: Fleet) -> str:
    """Simulate a platform outage; measure until a change after it is in force."""
    await fleet.control(fleet.platform, "faults", {"outage_ms": OUTAGE_MS})
    await asyncio.sleep(OUTAGE_MS / 1_000 + 0.05)
    started_s = time.monotonic()
    version = await fleet.write(900_003)
    await fleet.wait_until(fleet.instances, lambda found: found["revision"] >= version)
    passed_ms = (time.monotonic() - started_s) * 1_000
    return (
        f"  outage of {OUTAGE_MS / 1_000:.0f} s: the first change after it in force "
        f"everywhere after {passed_ms:.0f} ms"
    )


async def measure_restart(fleet: Fleet) -> str:
    """Restart all instances at the same time; measure until all are ready."""
    for member in fleet.instances:
        fleet.process(member.name).kill()
    started_s = time.monotonic()
    await asyncio.gather(*map(fleet.start_instance, fleet.instances))
    passed_s = time.monotonic() - started_s
    return f"  restart of all: every instance ready after {passed_s:.1f} s"


def cpu_ms(fleet: Fleet) -> float:
    """Return the mean CPU time of the instances so far, in milliseconds."""
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
            await asyncio.sleep(STARTUP_S)
            before_ms = cpu_ms(fleet)
            await asyncio.sleep(STARTUP_S)
            spent_ms = (cpu_ms(fleet) - before_ms) / STARTUP_S
            print(f"{len(fleet.instances)} instances, real processes")
            print(f"  idle: {spent_ms:.1f} ms of CPU time per second and instance")
            for factor in (1, 10):
                rate = factor * CHANGES_A_DAY / DAY_S
                print(await measure_spread(fleet, rate, seconds, seed), flush=True)
            for measurement in (
                measure_kill,
                measure_pause,
                measure_outage,
                measure_restart,
            ):
                print(await measurement(fleet), flush=True)
        finally:
            await fleet.stop()


if __name__ == "__main__":
    options = docopt.docopt(__doc__)
    asyncio.run(main(float(options["--seconds"]), int(options["--seed"])))
