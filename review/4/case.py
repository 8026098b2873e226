"""The store cuts off waiting watches while engines leave; are these still used?"""

import asyncio
import contextlib
import pathlib
import sys
import time

from review import harness

ZONES = ("lj-north", "lj-south", "kranj")
SERVICE = "booking-app"
ENGINES = 3
CLIENTS = 8
PAUSE_S = 0.15
DRAIN_S = 2.0  # drain_ms of the settings
CONTACT_S = 3.0  # contact_ms of the settings
CUT_PAUSE_S = (0.7, 1.3)  # the store cuts off the watches that wait
RELEASE_PAUSE_S = (2.5, 4.5)  # the engines of the service are replaced one by one
OVERLAP_S = 1.0  # the new one starts first
LINGER_S = 0.3  # "a little longer", then it exits
TRAFFIC_S = 62.0
LIMIT_S = 110.0


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


async def cut_watches(site: harness.Deployment, end_s: float) -> None:
    """Cut off the waiting watches about once a second."""
    while time.monotonic() < end_s:
        await asyncio.sleep(site.random.uniform(*CUT_PAUSE_S))
        site.store.cut_watches()


async def release(
    site: harness.Deployment, gone_s: dict[str, float], end_s: float
) -> None:
    """Replace the engines one after the other; none reports that it drains."""
    ends: list[asyncio.Task[None]] = []
    while time.monotonic() < end_s:
        await asyncio.sleep(site.random.uniform(*RELEASE_PAUSE_S))
        old = next(name for name in site.engines if name not in gone_s)
        zone = site.engines[old].zone
        new = await site.start_engine(SERVICE, zone)
        await asyncio.sleep(OVERLAP_S)
        gone_s[old] = site.store.write(f"servers/{old}", None)
        site.note(f"{new.name} is there; the entry of {old} is removed")
        ends.append(asyncio.ensure_future(_exit(site, old)))
    await asyncio.gather(*ends)


async def _exit(site: harness.Deployment, name: str) -> None:
    await asyncio.sleep(DRAIN_S + LINGER_S)
    site.engines[name].exit()
    site.note(f"{name} exits")


async def play(site: harness.Deployment) -> int:
    """Play the case and return the exit code."""
    site.write_config(
        [
            harness.route("book", "/book/", "non_idempotent", SERVICE),
            harness.route("read", "/read/", "idempotent", SERVICE),
        ]
    )
    for zone in ZONES[:ENGINES]:
        await site.start_engine(SERVICE, zone)
    await site.start_edges()
    await asyncio.sleep(CONTACT_S + 1.0)
    site.note("traffic begins")
    end_s = time.monotonic() + TRAFFIC_S
    gone_s: dict[str, float] = {}
    work = [client(site, number, end_s) for number in range(CLIENTS)]
    work.append(release(site, gone_s, end_s - DRAIN_S - LINGER_S - 6.0))
    if harness.has_trouble():
        work.append(cut_watches(site, end_s))
    await asyncio.gather(*work)
    sent_to = {one.request_id: one.edge for one in site.requests}
    late = [
        (one, (one.at_s - gone_s[one.engine] - DRAIN_S) * 1_000)
        for one in site.arrivals
        if one.ran and one.engine in gone_s and one.at_s > gone_s[one.engine] + DRAIN_S
    ]
    verdict = [
        f"rule DRAIN: {'broken' if late else 'held'}",
        f"{len(site.requests)} requests sent, "
        f"{sum(one.whole for one in site.requests)} served; {len(gone_s)} engines "
        f"removed; watches cut off {site.store.cuts} times",
        f"{len(late)} requests reached {len({one.engine for one, _ in late})} engines "
        f"later than drain_ms after the removal, by "
        f"{max((by_ms for _, by_ms in late), default=0):.0f} ms at most",
    ]
    lines = [
        f"  {one.request_id} of {sent_to.get(one.request_id)} at {one.engine}, "
        f"{by_ms:.0f} ms later than allowed"
        for one, by_ms in late
    ]
    path = pathlib.Path(__file__).with_name("record.txt")
    site.record(path, verdict + lines)
    print("\n".join(verdict))
    return int(bool(late))


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
