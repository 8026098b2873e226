"""Queries the state of the targets of owned pools and reports it to the pools."""

import asyncio
import typing

import msgspec

from cornelreach.http import client, messages
from cornelreach.pools import permitservice
from cornelreach.settings import items
from cornelreach.targets import permits
from cornelreach.util import decoding, timers

PROBE_INTERVAL_MS = 500
URGENT_PROBE_INTERVAL_MS = 50
PROBE_WAIT_MS = 1_000


class State(typing.TypedDict, total=False):
    """A target's reply to ``GET /v1/state``."""

    boot_id: typing.Required[str]
    version: str
    cold: bool
    running: int
    queued: int
    queued_tokens: int


class Prober:
    """Probes each target every ``PROBE_INTERVAL_MS``.

    A target whose boot ID is unconfirmed is probed every ``URGENT_PROBE_INTERVAL_MS``.
    """

    def __init__(
        self,
        http: client.Client,
        clock: timers.Timers,
        permit_service: permitservice.PermitService,
        targets: typing.Callable[[], typing.Mapping[str, items.Target]],
    ) -> None:
        self.http = http
        self.clock = clock
        self.permit_service = permit_service
        self.targets = targets
        self._asked_ms: dict[str, float] = {}
        self._probes: set[asyncio.Task[None]] = set()
        clock.every(URGENT_PROBE_INTERVAL_MS, self._tick)

    def _tick(self) -> None:
        now_ms = self.clock.now_ms()
        for owned_pool in self.permit_service.owned_pools.values():
            owner = owned_pool.owner
            urgent = set(owner.probes())
            for name in owner.targets:
                interval_ms = (
                    URGENT_PROBE_INTERVAL_MS if name in urgent else PROBE_INTERVAL_MS
                )
                asked_ms = self._asked_ms.get(name)
                if asked_ms is None or now_ms - asked_ms >= interval_ms:
                    self._start(owner.name, name, now_ms)

    def _start(self, pool_name: str, name: str, now_ms: float) -> None:
        target = self.targets().get(name)
        if target is None:
            return
        # Delays the next probe until this one has ended or timed out.
        self._asked_ms[name] = now_ms + PROBE_WAIT_MS
        task = asyncio.ensure_future(self._probe(pool_name, target, now_ms))
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)

    async def _probe(self, pool_name: str, target: items.Target, now_ms: float) -> None:
        address = client.parse_address(target.address)
        try:
            status, body, headers = await self.http.call(
                address, "GET", "/v1/state", wait_ms=PROBE_WAIT_MS
            )
            state = msgspec.json.decode(body, type=State)
        except (client.RequestNotSent, client.ResponseLost, *decoding.DECODE_ERRORS):
            return
        finally:
            self._asked_ms[target.name] = now_ms
        if status == 200:
            boot = boot_of(headers) or state["boot_id"]
            report = report_of(target.name, now_ms, boot, state)
            self.permit_service.report(pool_name, report, state.get("version", ""))


def boot_of(headers: messages.Headers) -> str:
    """Return the boot ID in a reply's headers, empty if there is none."""
    return dict(headers).get(b"x-boot-id", b"").decode("latin-1")


def report_of(target: str, asked_ms: float, boot: str, state: State) -> permits.Report:
    """Return the report for a target's state."""
    return permits.Report(
        target=target,
        asked_ms=asked_ms,
        boot=boot,
        load_boot=state["boot_id"],
        cold=state.get("cold"),
        running=state.get("running", 0),
        queued=state.get("queued", 0),
        queued_tokens=state.get("queued_tokens", 0),
    )
