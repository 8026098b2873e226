"""A config raises the largest body; are longer requests on kept connections served?"""

import asyncio
import contextlib
import pathlib
import sys
import time

from review import harness

ZONES = ("lj-north", "lj-south", "kranj")
SERVICE = "booking-app"
CLIENTS = 36  # each keeps one connection to one machine
PAUSE_S = 1.0  # idle_timeout_ms is 15 s
SMALL, LARGE = 65_536, 1_048_576  # max_body_bytes before and after
SHORT_BODY, LONG_BODY = 600, 100_000
APPLY_S = 2.0  # config_apply_ms of the settings
CONTACT_S = 3.0  # contact_ms of the settings
SHORT_S, LONG_S = 5.0, 20.0
LIMIT_S = 110.0

ROUTES = [
    harness.route("book", "/book/", "non_idempotent", SERVICE),
    harness.route("check", "/check/", "idempotent", SERVICE),
]


class Client:
    """A client that keeps its connection and sends one request after the other."""

    def __init__(self, site: harness.Deployment, number: int) -> None:
        self.site = site
        self.number = number
        self.edge = list(site.edges)[number % len(site.edges)]
        self.kept = harness.KeptConnection()

    async def run(self, for_s: float, body_bytes: int) -> None:
        """Send requests with bodies of one length."""
        await asyncio.sleep(self.number * PAUSE_S / CLIENTS)
        end_s = time.monotonic() + for_s
        turn = self.number // len(self.site.edges)
        while time.monotonic() < end_s:
            turn += 1
            kind = "book" if turn % 2 else "check"
            await self.site.send(
                self.edge,
                f"{kind}, body {body_bytes} B",
                "POST",
                f"/{kind}/2f",
                body_bytes=body_bytes,
                kept=self.kept,
            )
            await asyncio.sleep(PAUSE_S)


async def play(site: harness.Deployment) -> int:
    """Play the case and return the exit code."""
    changes = harness.has_trouble()
    site.write_config(ROUTES, 3, SMALL if changes else LARGE)
    for zone in ZONES:
        await site.start_engine(SERVICE, zone)
    await site.start_edges()
    await asyncio.sleep(CONTACT_S)
    clients = [Client(site, number) for number in range(CLIENTS)]
    site.note("traffic begins, with short bodies")
    await asyncio.gather(*(one.run(SHORT_S, SHORT_BODY) for one in clients))
    if changes:
        site.write_config(ROUTES, 7, LARGE)
        site.note(f"config 7 is confirmed: max_body_bytes {SMALL} becomes {LARGE}")
    await asyncio.gather(*(one.run(APPLY_S + 1.0, SHORT_BODY) for one in clients))
    site.note(f"clients send bodies of {LONG_BODY} B")
    await asyncio.gather(*(one.run(LONG_S, LONG_BODY) for one in clients))
    for one in clients:
        one.kept.close()
    refused = [one for one in site.requests if one.status in range(400, 500)]
    allowed = 5 + len(site.requests) / 500
    broken = len(refused) > allowed
    served = sum(one.whole for one in site.requests)
    verdict = [
        f"rule DENIED: {'broken' if broken else 'held'}",
        f"{len(site.requests)} requests sent, {served} served; {len(refused)} ended "
        f"with 4xx of the system's own (allowed: {allowed:.1f}), statuses "
        f"{sorted({one.status for one in refused})}; connections opened: "
        f"{sum(one.kept.opened for one in clients)}",
    ]
    site.record(pathlib.Path(__file__).with_name("record.txt"), verdict)
    print("\n".join(verdict))
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
