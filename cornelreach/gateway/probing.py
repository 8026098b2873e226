"""Asking targets that failed whether they are back, before callers' requests do.

A target whose connections fail is suspected until it answers its health call, with any
status: an answer shows that it is there, and whether it takes requests it says itself.
It also says whether it is cold, ahead of its entry: it may have started anew.
"""

import asyncio

from cornelreach.gateway import beliefs as beliefs_module
from cornelreach.http import client as http_client
from cornelreach.platform import headers
from cornelreach.util import timers

TICK_MS = 100.0
WAIT_MS = 250.0
AT_ONCE = 4

FAILURES = (http_client.RequestNotSent, http_client.AnswerLost)


class Prober:
    """Probes the suspected targets when their ejection has passed."""

    def __init__(
        self,
        beliefs: beliefs_module.Beliefs,
        http: http_client.Client,
        clock: timers.Timers,
    ) -> None:
        self.beliefs = beliefs
        self.http = http
        self.clock = clock

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await asyncio.sleep(TICK_MS / 1_000)
            due = self.due()[:AT_ONCE]
            if due:
                await asyncio.gather(*map(self.probe, due))

    def due(self) -> list[str]:
        """Return the suspected targets that are to be asked now."""
        now_ms = self.clock.now_ms()
        roster = self.beliefs.roster
        return [
            name
            for name, state in roster.states.items()
            if state.suspected and state.ejected_until_ms <= now_ms
        ]

    async def probe(self, target_id: str) -> None:
        """Ask one target, and clear it or eject it for longer."""
        roster = self.beliefs.roster
        target = roster.targets.get(target_id)
        config = self.beliefs.catalogue
        service = config.services.get(target.service) if target and config else None
        if service is None:
            return
        address = http_client.parse_address(target.address)
        try:
            status, _, fields = await self.http.call(
                address, "GET", service.health_path, wait_ms=WAIT_MS
            )
        except FAILURES as error:
            self.http.forget(address)
            roster.failed(target_id, f"probe: {error}", self.clock.now_ms())
        else:
            reply = headers.read_reply(status, fields)
            roster.cleared(target_id, reply.cold_ms or 0.0, self.clock.now_ms())
