"""Health probes of failed targets, before callers' requests are sent there again.

A target whose connections fail is suspected until it answers a health check. Any status
counts, since an answer shows that the target is reachable, and its replies to requests
tell whether it accepts them. The answer also tells whether the target is cold, before
its entry does, as it may have restarted.
"""

import asyncio
import typing

from cornelreach.gateway import (
    calls,
    mirror as mirror_module,
    registry as registry_module,
)
from cornelreach.http import client as http_client
from cornelreach.platform import headers
from cornelreach.util import timers

TICK_MS = 100.0
WAIT_MS = 250.0
MAX_CONCURRENT = 4
# Answers to health checks bear no identifier, so that each goes over a connection that
# has carried none before.
HEALTH_CHECK = "health check"

FAILURES = (http_client.RequestNotSent, http_client.ResponseLost)

UNREACHED = (http_client.RequestNotSent, http_client.ConnectionClosed)

OnReply = typing.Callable[[registry_module.Target, calls.Reply], None]


def _ignore_reply(target: registry_module.Target, reply: calls.Reply) -> None:
    """Ignore what an answer to a probe says of its sender."""


class Prober:
    """Probes suspected targets once their ejection time is over."""

    def __init__(
        self,
        mirror: mirror_module.Mirror,
        http: http_client.Client,
        clock: timers.Timers,
        on_reply: OnReply = _ignore_reply,
    ) -> None:
        self.mirror = mirror
        self.http = http
        self.clock = clock
        self.on_reply = on_reply

    async def run(self) -> None:
        """Probe until cancelled."""
        suspected = asyncio.Event()
        self.mirror.registry.on_eject = suspected.set
        while True:
            suspected.clear()
            if not any(one.suspected for one in self.mirror.registry.states.values()):
                await suspected.wait()
            await asyncio.sleep(TICK_MS / 1_000)
            due = self.due()[:MAX_CONCURRENT]
            if due:
                await asyncio.gather(*map(self.probe, due))

    def due(self) -> list[str]:
        """Return the suspected targets to probe now."""
        now_ms = self.clock.now_ms()
        registry = self.mirror.registry
        return [
            name
            for name, state in registry.states.items()
            if state.suspected
            and state.ejected_until_ms <= now_ms
            and registry.accepts_calls(name, now_ms)
        ]

    async def probe(self, target_id: str) -> None:
        """Probe one target, and clear it or eject it for longer."""
        registry = self.mirror.registry
        target = registry.targets.get(target_id)
        config = self.mirror.catalogue
        service = config.services.get(target.service) if target and config else None
        if service is None:
            return
        address = http_client.parse_address(target.address)
        try:
            status, _, fields = await self.http.call(
                address,
                "GET",
                service.health_path,
                wait_ms=WAIT_MS,
                matches=headers.control_matcher,
                request_id=HEALTH_CHECK,
            )
        except FAILURES as error:
            self.http.close_idle(address)
            # One that is only slow to answer may have its places taken.
            unreached = isinstance(error, UNREACHED)
            now_ms = self.clock.now_ms()
            registry.eject(target_id, f"probe: {error}", now_ms, unreached)
        else:
            reply = headers.read_reply(status, fields)
            registry.restore(target_id, reply.cold_ms or 0.0, self.clock.now_ms())
            self.on_reply(target, reply)
