"""Tests at-most-once bookings on real processes under kills, pauses and outages.

Usage:
  claimtrial [--seconds N] [--seed N]
  claimtrial --help

Options:
  --seconds N  Duration of the faults [default: 20].
  --seed N     Seed of callers and faults [default: 1].
  --help       Print this text.

Starts the small site. Callers repeat each booking at random instances until it is
answered. Meanwhile instances are killed and restarted or suspended and resumed, and the
platform and the services fail, stall or lose responses. The exit status is 1 if a key
was executed twice, if all its callers were told "not run" although it was executed, or
if an answer differs from that of the execution.
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
MAX_ATTEMPTS = 4
CALL_TIMEOUT_MS = 5_000
DEADLINE_MS = 4_000
TICKET_SHARE = 0.25
DUPLICATE_SHARE = 0.3
SETTLE_S = 2.0


class RequestResult(typing.NamedTuple):
    """The outcome of one request of a key: ``answer``, ``not_run``, ``unknown``,
    ``ran``, or ``gone`` if no complete response arrived."""

    key: str
    outcome: str
    execution: str = ""


class Trial:
    """Callers and faults on one running site."""

    def __init__(self, site: site_module.Site, seed: int) -> None:
        self.site = site
        self.random = random.Random(seed)
        self.results: list[RequestResult] = []
        self.fault_counts: collections.Counter[str] = collections.Counter()
        self.keys = 0
        self.stopping = False

    async def run(self, seconds: float) -> None:
        """Book and inject faults for a time, then wait until all calls have ended."""
        callers = [asyncio.ensure_future(self.caller()) for _ in range(CALLERS)]
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            kinds = (self.kill, self.pause, self.outage, self.lose, self.slow)
            kind = self.random.choice((*kinds, self.service))
            self.fault_counts[kind.__name__] += 1
            await kind()
            await asyncio.sleep(self.random.uniform(0.1, 0.6))
        self.stopping = True
        await asyncio.gather(*callers)
        await asyncio.sleep(SETTLE_S)

    async def caller(self) -> None:
        """Book one key after another."""
        while not self.stopping:
            self.keys += 1
            key = f"order-{self.keys}"
            if self.random.random() < TICKET_SHARE:
                key = await self.ticket() or key
            for _ in range(MAX_ATTEMPTS):
                count = 2 if self.random.random() < DUPLICATE_SHARE else 1
                outcomes = await asyncio.gather(*(self.book(key) for _ in range(count)))
                if "answer" in outcomes:
                    break
                await asyncio.sleep(self.random.uniform(0, 0.3))

    async def ticket(self) -> str | None:
        """Return a key issued by one of the instances, or None."""
        response = await self.post("/v1/tickets", "", b"")
        return msgspec.json.decode(response[1]).get("ticket") if response else None

    async def book(self, key: str) -> str:
        """Send a booking to a random instance and record the outcome."""
        response = await self.post("/v1/services/booking/book", key, key.encode())
        result = RequestResult(key, "gone")
        if response is not None:
            status, body = response
            value = msgspec.json.decode(body)
            if status < 300:
                execution = f"{value['service']}/{value['execution']}"
                result = RequestResult(key, "answer", execution)
            elif "error" in value and "ran" in value["error"]:
                result = RequestResult(key, value["error"]["ran"])
        self.results.append(result)
        return result.outcome

    async def post(self, path: str, key: str, body: bytes) -> tuple[int, bytes] | None:
        """Return status and body of a call to a random instance, or None if lost."""
        instance = self.random.choice(self.site.instances)
        headers = [
            (b"authorization", f"Bearer {site_module.ACCOUNT_KEY}".encode()),
            (b"x-deadline-ms", str(DEADLINE_MS).encode()),
        ]
        if key:
            headers.append((b"idempotency-key", key.encode()))
        address = client.parse_address(instance.callers)
        try:
            status, found, _ = await self.site.http.call(
                address, "POST", path, body, tuple(headers), CALL_TIMEOUT_MS
            )
        except (client.RequestNotSent, client.ResponseLost):
            return None
        return status, found

    async def kill(self) -> None:
        """Kill an instance and restart it."""
        instance = self.random.choice(self.site.instances)
        process = self.process(instance)
        process.handle.kill()
        await process.handle.wait()
        self.site.processes.remove(process)
        await self.site.start_instance(instance)

    async def pause(self) -> None:
        """Suspend an instance for a while and resume it."""
        process = self.process(self.random.choice(self.site.instances))
        process.handle.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.2, 3.0))
        process.handle.send_signal(signal.SIGCONT)

    async def outage(self) -> None:
        """Put the platform in an outage."""
        faults = {"outage_ms": self.random.uniform(300, 2_500)}
        await self.site.control(self.site.platform, "faults", faults)

    async def lose(self) -> None:
        """Lose the responses of the platform's next writes."""
        faults = {"lose_answers": self.random.randint(1, 6)}
        await self.site.control(self.site.platform, "faults", faults)

    async def slow(self) -> None:
        """Make the platform slow for a while."""
        faults = {"slow_ms": self.random.uniform(50, 600)}
        await self.site.control(self.site.platform, "faults", faults)
        await asyncio.sleep(self.random.uniform(0.3, 1.0))
        await self.site.control(self.site.platform, "faults", {"slow_ms": 0})

    async def service(self) -> None:
        """Lose or delay responses of a booking service."""
        kind = self.random.choice(
            ({"lose_answers": 2}, {"delay_ms": 800}, {"delay_ms": 0})
        )
        address = self.random.choice(self.site.services)
        await self.site.control(address, "faults", kind)

    def process(self, instance: site_module.InstanceAddresses) -> site_module.Process:
        """Return the running process of an instance."""
        return next(one for one in self.site.processes if one.name == instance.name)


def violations(
    results: list[RequestResult], executions: dict[str, list[str]]
) -> list[str]:
    """Return one line for each rule violation; ``executions`` are by key."""
    found = [
        f"{key} was executed {len(runs)} times"
        for key, runs in executions.items()
        if len(runs) > 1
    ]
    outcomes: dict[str, set[str]] = collections.defaultdict(set)
    for one in results:
        outcomes[one.key].add(one.outcome)
        if one.outcome == "answer" and one.execution not in executions.get(one.key, ()):
            found.append(f"{one.key} got the answer of {one.execution}")
    misreported = [key for key in executions if outcomes[key] == {"not_run"}]
    return found + [f"{key} was told not run, and was executed" for key in misreported]


async def executions_of(site: site_module.Site) -> dict[str, list[str]]:
    """Return the executions recorded by the services, by key."""
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
    rule_violations = violations(trial.results, executions)
    counts = {
        "seed": int(flags["--seed"]),
        "keys": trial.keys,
        "executed": sum(map(len, executions.values())),
        "told": collections.Counter(one.outcome for one in trial.results),
        "disturbed": trial.fault_counts,
        "violations": rule_violations,
    }
    print(msgspec.json.encode(counts).decode())
    return 1 if rule_violations else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main(docopt.docopt(__doc__))))
