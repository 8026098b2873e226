"""Proofs of freshness that pass from a hub to the instances that listen to it.

In a larger fleet only hubs follow the platform's records all the time. An instance asks
its hub now and then how far it has read and how old its proof is. The answer proves a
moment before the question was sent, so neither clocks nor a datagram's delay count::

    asked at 12_000 by one's own clock; answered "nothing after 70, proved 300 ms ago":
    whoever has read up to 70 knows that nothing newer existed at 11_700

Changes are pushed as the hub reads them. Whoever missed one sees it in the next answer
and reads the platform itself, and so does whoever has no proof young enough: a hub that
is dead, frozen or cut off delays nobody beyond ``Follower.limit_ms``.
"""

import asyncio
import typing

from cornelreach.gateway import datagrams, following, gossip as gossip_module
from cornelreach.platform import results
from cornelreach.util import timers

ASK_MS = 400.0
KEPT_ASKS = 16


class Proofs:
    """Asks, answers and pushes for all followers of one instance."""

    def __init__(
        self,
        gossip: gossip_module.Gossip,
        clock: timers.Timers,
        regained: typing.Callable[[float], None],
    ) -> None:
        self.gossip = gossip
        self.clock = clock
        self.regained = regained
        self.regained_ms: float | None = None
        self.followers: dict[str, following.Follower] = {}
        self._asked: dict[int, float] = {}
        self._number = 0
        gossip.on_ask = self.take_ask
        gossip.on_answer = self.take_answer
        gossip.on_changes = self.take_changes

    def add(self, follower: following.Follower) -> None:
        """Let a follower take proofs and changes from a hub, and give them on."""
        self.followers[follower.reader.prefix] = follower
        follower.source = self
        follower.on_changes = self.push

    # What a follower asks about its source.

    def hub(self) -> str:
        """Return the hub that proofs come from, empty where there is none."""
        if not self.gossip.hubs.is_needed() or self.gossip.leads():
            return ""
        return self.gossip.followed()

    def leads(self) -> bool:
        """Return whether others take their proofs from this instance."""
        return self.gossip.leads()

    # Datagrams.

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await asyncio.sleep(ASK_MS / 1_000)
            self.ask()

    def ask(self) -> None:
        """Ask the hub how fresh its records are."""
        hub = self.hub()
        if not hub:
            return
        self._number += 1
        self._asked[self._number] = self.clock.now_ms()
        while len(self._asked) > KEPT_ASKS:
            del self._asked[next(iter(self._asked))]
        self.gossip.send(datagrams.Ask(self.gossip.name, self._number), (hub,))

    def take_ask(self, ask: datagrams.Ask) -> None:
        """Answer an instance with what this one has proved."""
        now_ms = self.clock.now_ms()
        rows = {
            prefix: (one.revision, one.changed, now_ms - one.proved_ms)
            for prefix, one in self.followers.items()
            if one.revision is not None and one.proved_ms is not None
        }
        ago_ms = None if self.regained_ms is None else now_ms - self.regained_ms
        answer = datagrams.Answer(self.gossip.name, ask.number, rows, ago_ms)
        self.gossip.send(answer, (ask.name,))

    def take_answer(self, answer: datagrams.Answer) -> None:
        """Take the proofs of a hub, each as old as it was when the question left."""
        sent_ms = self._asked.pop(answer.number, None)
        if sent_ms is None:
            return
        if answer.regained_ago_ms is not None:
            self.regained(sent_ms - answer.regained_ago_ms)
        for prefix, (revision, changed, age_ms) in answer.rows.items():
            follower = self.followers.get(prefix)
            if follower is not None:
                follower.proved_by_hub(revision, changed, sent_ms - age_ms)

    def push(
        self,
        prefix: str,
        before: int,
        after: int,
        records: tuple[results.Record, ...],
    ) -> None:
        """Send changes on as a hub, where they fit into a datagram."""
        if not self.gossip.leads():
            return
        rows = tuple((one.key, one.version, one.value) for one in records)
        changes = datagrams.Changes(self.gossip.name, prefix, before, after, rows)
        if len(datagrams.encode(changes)) <= datagrams.MOST_BYTES:
            self.gossip.send(changes, self.gossip.followers())

    def take_changes(self, changes: datagrams.Changes) -> None:
        """Take changes that a hub has read."""
        follower = self.followers.get(changes.prefix)
        if follower is not None:
            records = tuple(results.Record(*row) for row in changes.rows)
            follower.pushed(changes.before, changes.after, records)
