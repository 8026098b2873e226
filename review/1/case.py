"""Entries of another writer lie in the list of engines; are requests still served?"""

import asyncio
import contextlib
import pathlib
import sys
import time

from review import harness

ZONES = ("lj-north", "lj-south", "kranj")
SERVICE = "booking-app"
TRAFFIC_S = 20.0
CLIENTS = 6
PAUSE_S = 0.3
LIMIT_S = 110.0

# None of these names an engine to use. The last has all fields, with their types; its
# address can't be read.
FORGED = {
    "x-fields-missing": {"service": SERVICE, "state": "ready"},
    "x-other-type": {
        "service": SERVICE,
        "address": 7,
        "zone": "lj-north",
        "version": "1",
        "slots": "six",
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
    },
    "x-unreadable": {
        "service": SERVICE,
        "address": "\u0000\ufffd\ufffd\u0007",
        "zone": "lj-north",
        "version": "1",
        "slots": 6,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
    },
}


async def client(site: harness.Deployment, number: int, end_s: float) -> None:
    """Send bookings and reads in turn, each to another machine."""
    edges = list(site.edges)
    await asyncio.sleep(number * PAUSE_S / CLIENTS)
    turn = number
    while time.monotonic() < end_s:
        turn += 1
        edge = edges[turn % len(edges)]
        if turn % 2:
            await site.send(edge, "book", "POST", "/book/2f")
        else:
            await site.send(edge, "read", "GET", "/read/2f")
        await asyncio.sleep(PAUSE_S)


async def play(site: harness.Deployment) -> int:
    """Play the case and return the exit code."""
    site.write_config(
        [
            harness.route("book", "/book/", "non_idempotent", SERVICE),
            harness.route("read", "/read/", "idempotent", SERVICE),
        ]
    )
    for zone in ZONES:
        await site.start_engine(SERVICE, zone)
    await site.start_edges()
    site.note("all machines are ready")
    if harness.has_trouble():
        for name, entry in FORGED.items():
            site.store.write(f"servers/{name}", entry)
            site.note(f"another writer has written servers/{name}: {entry!r}")
    await asyncio.sleep(3.0)
    site.note("traffic begins")
    end_s = time.monotonic() + TRAFFIC_S
    await asyncio.gather(*(client(site, number, end_s) for number in range(CLIENTS)))
    served = sum(one.whole for one in site.requests)
    broken = not served
    verdict = [
        f"rule Fault (no request is served): {'broken' if broken else 'held'}",
        f"{len(site.requests)} requests sent, {served} served, "
        f"{len(site.arrivals)} arrivals at the {len(site.engines)} engines, "
        "which were in order all the time",
        *site.log_lines("Request handler failed", 3),
    ]
    site.record(pathlib.Path(__file__).with_name("record.txt"), verdict)
    print("\n".join(verdict[:2]))
    return int(broken)


async def main() -> int:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(LIMIT_S), harness.Deployment(ZONES) as site:
            return await play(site)
    return 2


if __name__ == "__main__":
    try:
        code = asyncio.run(main())
    except Exception as error:
        print(f"the case couldn't run: {error!r}")
        code = 2
    sys.exit(code)
