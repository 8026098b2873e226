"""Keeps the quarantines of all instances alike, by datagrams and by the store.

Instances tell each other of crashes, and ask each other for whole answers to a suspect.
A few instances, by rendezvous, write the entry of a part that they have quarantined;
the others learn it from the watch of the entries as well::

    sync = QuarantineSync(quarantine, gossip, objects, mirror, clock)
    datagrams = sync.reports()  # sent with each round of reports
"""

import asyncio
import typing

from returns import result

from cornelreach.gateway import (
    crashes,
    datagrams,
    gossip as gossip_module,
    mirror as mirror_module,
    quarantine as quarantine_module,
)
from cornelreach.platform import quarantines, results
from cornelreach.util import hashing, timers

CONFIRM_MS = 400.0  # two rounds of reports and the answers to them
HUB_CONFIRM_MS = 1_500.0  # the same by way of hubs in two data centres
WRITERS = 5  # instances that write an entry, each later than the one before
STAGGER_MS = 400.0
RETRY_MS = 1_000.0


class QuarantineSync:
    """Connects a quarantine with the other instances and with the store."""

    def __init__(
        self,
        quarantine: quarantine_module.Quarantine,
        gossip: gossip_module.Gossip,
        objects: results.ObjectStore,
        mirror: mirror_module.Mirror,
        clock: timers.Timers,
    ) -> None:
        self.quarantine = quarantine
        self.gossip = gossip
        self.objects = objects
        self.mirror = mirror
        self.clock = clock
        self._queries: dict[str, float] = {}
        self._replies: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        gossip.report_sources.append(self.reports)
        gossip.handlers[datagrams.CrashReport] = self.handle_crash
        gossip.handlers[datagrams.SoundQuery] = self.handle_query
        gossip.handlers[datagrams.SoundReport] = self.handle_sound
        quarantine.confirm_ms = self._confirm_ms
        quarantine.on_suspect = self._ask
        quarantine.on_hold = lambda part: self._spawn(self._write(part))
        quarantine.on_release = self._announce_release
        quarantine.on_trial_due = lambda part: self._spawn(self._claim_trial(part))

    def _confirm_ms(self) -> float:
        return HUB_CONFIRM_MS if self.gossip.hubs.is_needed() else CONFIRM_MS

    # Datagrams.

    def reports(self) -> list[datagrams.Datagram]:
        """Return what to tell the other instances in this round of reports."""
        name, span_ms = self.gossip.name, gossip_module.REPORT_MS
        now_ms = self.clock.now_ms()
        found: list[datagrams.Datagram] = []
        crash_log = self.quarantine.crash_log
        for report in crash_log.reports(name, span_ms, not self.gossip.is_relay()):
            found.extend(datagrams.crash_reports(report))
        self._queries = _recent(self._queries, now_ms - span_ms)
        for part in self._queries:
            first_ms = crash_log.evidence(part).first_ms
            if first_ms > float("-inf"):
                ago_ms = now_ms - first_ms + crashes.SOUND_MS
                found.append(datagrams.SoundQuery(name, {part: ago_ms}))
        self._replies = _recent(self._replies, now_ms - span_ms)
        for part in self._replies:
            ago_ms = crash_log.sound_ago_ms(part)
            if ago_ms is not None:
                found.append(datagrams.SoundReport(name, {part: ago_ms}))
        return found

    def handle_crash(self, report: datagrams.CrashReport) -> None:
        """Merge another instance's report of a crash."""
        if parts := self.quarantine.crash_log.merge(report):
            self.quarantine.evaluate(parts)

    def handle_query(self, query: datagrams.SoundQuery) -> None:
        """Answer for the parts of which an answer was whole, and pass the rest on."""
        now_ms = self.clock.now_ms()
        for part, ago_ms in query.parts.items():
            sound_ms = self.quarantine.crash_log.sound_ago_ms(part)
            if sound_ms is not None and sound_ms < ago_ms:
                self._replies.setdefault(part, now_ms)
            elif self.gossip.is_relay():
                self._queries.setdefault(part, now_ms)

    def handle_sound(self, report: datagrams.SoundReport) -> None:
        """Apply another instance's whole answers."""
        now_ms = self.clock.now_ms()
        for part, ago_ms in report.parts.items():
            self.quarantine.record_answer_elsewhere(part, now_ms - ago_ms)
            if self.gossip.is_relay():
                self._replies.setdefault(part, now_ms)

    def _ask(self, part: str) -> None:
        self._queries[part] = self.clock.now_ms()

    # The store.

    def _spawn(self, work: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """End all calls to the store."""
        for task in self._tasks:
            task.cancel()

    def _rank(self, part: str) -> int:
        fleet = self.mirror.fleet
        names = {*fleet.names, fleet.name}
        return hashing.rendezvous(part.encode(), names).index(fleet.name)

    def _held(self, part: str) -> quarantine_module.Held | None:
        return self.quarantine.held.get(part)

    async def _write(self, part: str) -> None:
        """Write the entry of a part, unless it comes from another instance first."""
        rank = self._rank(part)
        if rank >= WRITERS:
            return
        await asyncio.sleep(rank * STAGGER_MS / 1_000)
        while (held := self._held(part)) is not None and held.version is None:
            await self.objects.put(
                quarantines.key(part), quarantines.value(held.trials), if_absent=True
            )
            await asyncio.sleep(RETRY_MS / 1_000)

    async def _claim_trial(self, part: str) -> None:
        """Get the right to send one prompt with a part, by a conditional write."""
        held = self._held(part)
        if held is None or held.version is None:
            return
        outcome = await self.objects.put(
            quarantines.key(part),
            quarantines.value(held.trials + 1),
            if_version=held.version,
        )
        if isinstance(outcome, result.Success) and self._held(part) is held:
            held.update(outcome.unwrap(), held.trials + 1, self.clock.now_ms())
            held.has_trial = True

    def _announce_release(self, part: str, version: int | None) -> None:
        """Tell the others of a whole answer, and delete the entry once it is known."""
        self._replies[part] = self.clock.now_ms()
        if version is not None:
            self._spawn(self._delete(part, version))

    async def _delete(self, part: str, version: int) -> None:
        while isinstance(
            outcome := await self.objects.delete(quarantines.key(part), version),
            result.Failure,
        ) and isinstance(
            outcome.failure(), results.Unavailable | results.OutcomeUnknown
        ):
            await asyncio.sleep(RETRY_MS / 1_000)


def _recent(times: dict[str, float], oldest_ms: float) -> dict[str, float]:
    return {part: at_ms for part, at_ms in times.items() if at_ms >= oldest_ms}
