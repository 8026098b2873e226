"""Books over real processes while they are killed, paused and cut off from answers.

Usage:
  claimtrial [--seconds N] [--seed N]
  claimtrial --help

Options:
  --seconds N  Time of the disturbances [default: 20].
  --seed N     Seed of callers and disturbances [default: 1].
  --help       Print this text.

Starts the small site. Callers repeat bookings at any instance until they are answered,
while instances are killed and restarted or stopped and continued, and the platform and
the services fail, stall or lose answers. Ends with 1 if a key was executed twice, if
all its callers were told "not run" though it was executed, or if an answer differs from
that of the execution.
"""

import asyncio
import collections
import pathlib
import random
import signal
import sys
import tempfile
import time
import typing

import docopt
import msgspec

from cornelreach.http import client
from standins import site as site_module, turns

CALLERS = 8
TRIES = 4
CALL_WAIT_MS = 5_000
DEADLINE_MS = 4_000
TICKET_SHARE = 0.25
TWICE_SHARE = 0.3
SETTLE_S = 2.0


class Told(typing.NamedTuple):
    """What one request of a key ended in: ``answer``, ``not_run``, ``unknown``,
    ``ran``, or ``gone`` where no whole answer came."""

    key: str
    end: str
    execution: str = ""


class Trial:
    """Callers and disturbances on one running site."""

    def __init__(self, site: site_module.Site, seed: int) -> None:
        self.site = site
        self.random = random.Random(seed)
        self.told: list[Told] = []
        self.disturbed: collections.Counter[str] = collections.Counter()
        self.keys = 0
        self.stopping = False

    async def run(self, seconds: float) -> None:
        """Book and disturb for a time, then let everything settle."""
        callers = [asyncio.ensure_future(self.caller()) for _ in range(CALLERS)]
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            kinds = (self.kill, self.pause, self.outage, self.lose, self.slow)
            kind = self.random.choice((*kinds, self.service))
            self.disturbed[kind.__name__] += 1
            await kind()
            await asyncio.sleep(self.random.uniform(0.1, 0.6))
        self.stopping = True
        await asyncio.gather(*callers)
        await asyncio.sleep(SETTLE_S)

    async def caller(self) -> None:
        """Book one key after the other."""
        while not self.stopping:
            self.keys += 1
            key = f"order-{self.keys}"
            if self.random.random() < TICKET_SHARE:
                key = await self.ticket() or key
            for _ in range(TRIES):
                count = 2 if self.random.random() < TWICE_SHARE else 1
                ends = await asyncio.gather(*(self.book(key) for _ in range(count)))
                if "answer" in ends:
                    break
                await asyncio.sleep(self.random.uniform(0, 0.3))

    async def ticket(self) -> str | None:
        """Return a key that one instance gave out, or None."""
        found = await self.post("/v1/tickets", "", b"")
        return msgspec.json.decode(found[1]).get("ticket") if found else None

    async def book(self, key: str) -> str:
        """Send a booking to any instance and note what it was told."""
        found = await self.post("/v1/services/booking/book", key, key.encode())
        told = Told(key, "gone")
        if found is not None:
            status, body = found
            value = msgspec.json.decode(body)
            if status < 300:
                execution = f"{value['service']}/{value['execution']}"
                told = Told(key, "answer", execution)
            elif "error" in value and "ran" in value["error"]:
                told = Told(key, value["error"]["ran"])
        self.told.append(told)
        return told.end

    async def post(self, path: str, key: str, body: bytes) -> tuple[int, bytes] | None:
        """Return status and body of a call to any instance, or None if cut off."""
        member = self.random.choice(self.site.members)
        headers = [
            (b"authorization", f"Bearer {site_module.ACCOUNT_KEY}".encode()),
            (b"x-deadline-ms", str(DEADLINE_MS).encode()),
        ]
        if key:
            headers.append((b"idempotency-key", key.encode()))
        address = client.parse_address(member.callers)
        try:
            status, found, _ = await self.site.http.call(
                address, "POST", path, body, tuple(headers), CALL_WAIT_MS
            )
        except (client.RequestNotSent, client.ResponseLost):
            return None
        return status, found

    async def kill(self) -> None:
        """Kill an instance and start its next boot."""
        member = self.random.choice(self.site.members)
        process = self.process(member)
        process.handle.kill()
        await process.handle.wait()
        self.site.processes.remove(process)
        await self.site.start_instance(member)

    async def pause(self) -> None:
        """Stop an instance for a while and let it go on."""
        process = self.process(self.random.choice(self.site.members))
        process.handle.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.2, 3.0))
        process.handle.send_signal(signal.SIGCONT)

    async def outage(self) -> None:
        """Take the platform away."""
        faults = {"outage_ms": self.random.uniform(300, 2_500)}
        await self.site.control(self.site.platform, "faults", faults)

    async def lose(self) -> None:
        """Lose the answers of the platform's next writes."""
        faults = {"lose_answers": self.random.randint(1, 6)}
        await self.site.control(self.site.platform, "faults", faults)

    async def slow(self) -> None:
        """Make the platform slow for a while."""
        faults = {"slow_ms": self.random.uniform(50, 600)}
        await self.site.control(self.site.platform, "faults", faults)
        await asyncio.sleep(self.random.uniform(0.3, 1.0))
        await self.site.control(self.site.platform, "faults", {"slow_ms": 0})

    async def service(self) -> None:
        """Lose or delay answers of a booking service."""
        kind = self.random.choice(
            ({"lose_answers": 2}, {"delay_ms": 800}, {"delay_ms": 0})
        )
        address = self.random.choice(self.site.services)
        await self.site.control(address, "faults", kind)

    def process(self, member: site_module.Member) -> site_module.Process:
        """Return the running process of an instance."""
        return next(one for one in self.site.processes if one.name == member.name)


def violations(told: list[Told], executions: dict[str, list[str]]) -> list[str]:
    """Return a line for each rule that a run broke; executions are by key."""
    found = [
        f"{key} was executed {len(runs)} times"
        for key, runs in executions.items()
        if len(runs) > 1
    ]
    ends: dict[str, set[str]] = collections.defaultdict(set)
    for one in told:
        ends[one.key].add(one.end)
        if one.end == "answer" and one.execution not in executions.get(one.key, ()):
            found.append(f"{one.key} got the answer of {one.execution}")
    false = [key for key in executions if ends[key] == {"not_run"}]
    return found + [f"{key} was told not run, and was executed" for key in false]


async def executions_of(site: site_module.Site) -> dict[str, list[str]]:
    """Return the executions that the services recorded, by key."""
    found: dict[str, list[str]] = collections.defaultdict(list)
    for service in site.services:
        address = client.parse_address(service)
        _, body, _ = await site.http.call(address, "GET", "/v1/state")
        name = msgspec.json.decode(body)["boot_id"].rsplit("-", 1)[0]
        for one in await turns.executions(site.http, [service]):
            found[one["key"]].append(f"{name}/{one['number']}")
    return found


async def main(flags: dict[str, typing.Any]) -> int:
    """Run one trial and print its counts as one JSON line."""
    with tempfile.TemporaryDirectory(prefix="cornelreach-") as folder:
        site = site_module.Site(pathlib.Path(folder))
        try:
            await site.start()
            trial = Trial(site, int(flags["--seed"]))
            await trial.run(float(flags["--seconds"]))
            executions = await executions_of(site)
        finally:
            await site.stop()
    broken = violations(trial.told, executions)
    counts = {
        "seed": int(flags["--seed"]),
        "keys": trial.keys,
        "executed": sum(map(len, executions.values())),
        "told": collections.Counter(one.end for one in trial.told),
        "disturbed": trial.disturbed,
        "violations": broken,
    }
    print(msgspec.json.encode(counts).decode())
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main(docopt.docopt(__doc__))))
