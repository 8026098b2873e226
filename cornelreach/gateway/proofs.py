"""Freshness proofs that hubs give to the instances that use them.

In a larger fleet only hubs watch the platform's records all the time. An instance
periodically asks its hub up to which revision it has read and how old its proof is. The
age in the reply is subtracted from the time of the query, by the clock of the asking
instance, so neither clock differences nor delays of datagrams matter::

    query sent at 12_000; reply "no change after 70, proved 300 ms ago":
    an instance that has read up to 70 knows that nothing newer existed at 11_700

Only the watch of the configuration ends often enough to prove freshness by itself. What
it proves holds for the other kinds of records too, while their calls were waiting: a
change would have ended them, and a connection that has died silently is found by its
keepalive probes.

Hubs push changes as they read them. An instance that missed a push learns of it from
the next reply and reads the platform itself. So does an instance whose proof is too
old: a hub that is dead, frozen or partitioned delays nobody for longer than
``Timing.max_proof_age_ms``.
"""

import asyncio
import typing

from cornelreach.gateway import datagrams, gossip as gossip_module, watching
from cornelreach.platform import results
from cornelreach.util import timers

QUERY_MS = 400.0
DELIVERY_MS = 150.0  # by then a change has ended a waiting call
MAX_OPEN_QUERIES = 16


class Question(typing.NamedTuple):
    """What several instances were asked at a time, and who gets their answers."""

    number: int
    sent_ms: float
    on_reply: typing.Callable[[datagrams.FreshnessReply, float], None]


class Proofs:
    """Sends and answers queries, and pushes changes, for an instance's watchers."""

    def __init__(
        self,
        gossip: gossip_module.Gossip,
        clock: timers.Timers,
    ) -> None:
        self.gossip = gossip
        self.clock = clock
        self.on_reconnect: typing.Callable[[float], None] = lambda at_ms: None
        self.reconnected_ms: float | None = None
        self.anchor: watching.Watcher | None = None
        self.watchers: dict[str, watching.Watcher] = {}
        self._queries: dict[int, float] = {}
        self._question: Question | None = None
        self._number = 0
        gossip.on_freshness_query = self.handle_query
        gossip.on_freshness_reply = self.handle_reply
        gossip.on_record_changes = self.handle_changes

    def add(self, watcher: watching.Watcher) -> None:
        """Connect a watcher, both to receive proofs and changes and to push them."""
        self.watchers[watcher.handler.prefix] = watcher
        watcher.source = self
        watcher.on_changes = self.push

    # The proof source of the watchers.

    def hub(self) -> str:
        """Return the hub that proofs come from, or an empty text if there is none."""
        if not self.gossip.hubs.is_needed() or self.gossip.is_hub():
            return ""
        return self.gossip.followed_hub()

    def is_hub(self) -> bool:
        """Return whether other instances get their proofs from this one."""
        return self.gossip.is_hub()

    # Datagrams.

    async def run(self) -> None:
        """Query the hub periodically until cancelled."""
        while True:
            await asyncio.sleep(QUERY_MS / 1_000)
            self.send_query()

    def send_query(self) -> None:
        """Ask the hub how fresh its copy of the records is."""
        hub = self.hub()
        if not hub:
            return
        self._number += 1
        self._queries[self._number] = self.clock.now_ms()
        while len(self._queries) > MAX_OPEN_QUERIES:
            del self._queries[next(iter(self._queries))]
        self.gossip.send(
            datagrams.FreshnessQuery(self.gossip.name, self._number), (hub,)
        )

    def ask(
        self,
        names: typing.Iterable[str],
        on_reply: typing.Callable[[datagrams.FreshnessReply, float], None],
    ) -> None:
        """Ask instances how fresh their copies are.

        Each answer is passed on with the time of the question, until the next one.
        """
        self._number += 1
        self._question = Question(self._number, self.clock.now_ms(), on_reply)
        query = datagrams.FreshnessQuery(self.gossip.name, self._number)
        self.gossip.send(query, names)

    def handle_query(self, query: datagrams.FreshnessQuery) -> None:
        """Answer a query with the freshness of this instance's records."""
        now_ms = self.clock.now_ms()
        rows = {
            prefix: (one.revision, one.changed_revision, now_ms - self.proved_ms(one))
            for prefix, one in self.watchers.items()
            if one.revision is not None and one.proved_ms is not None
        }
        ago_ms = None if self.reconnected_ms is None else now_ms - self.reconnected_ms
        reply = datagrams.FreshnessReply(self.gossip.name, query.number, rows, ago_ms)
        self.gossip.send(reply, (query.name,))

    def proved_ms(self, watcher: watching.Watcher) -> float | None:
        """Return when a watcher's copy is known to have been up to date.

        A proof that the anchor has just learned does not count yet: an earlier change
        may still have to be read, as after the process was suspended.
        """
        proved_ms, settled_ms = watcher.proved_ms, None
        if self.anchor is not None:
            learned_ms = self.clock.now_ms() - DELIVERY_MS
            settled_ms = self.anchor.proved_ms_at(learned_ms)
        if proved_ms is None or settled_ms is None:
            return proved_ms
        waiting_ms = watcher.waiting_since_ms
        if waiting_ms is None or waiting_ms > settled_ms or watcher.lost_ms is not None:
            return proved_ms
        return max(proved_ms, settled_ms)

    def handle_reply(self, reply: datagrams.FreshnessReply) -> None:
        """Apply the proofs of a hub, with ages counted back from the query."""
        question = self._question
        if question is not None and reply.number == question.number:
            question.on_reply(reply, question.sent_ms)
            return
        sent_ms = self._queries.pop(reply.number, None)
        if sent_ms is None:
            return
        if reply.regained_ago_ms is not None:
            self.on_reconnect(sent_ms - reply.regained_ago_ms)
        for prefix, (revision, changed, age_ms) in reply.rows.items():
            watcher = self.watchers.get(prefix)
            if watcher is not None:
                watcher.apply_hub_proof(revision, changed, sent_ms - age_ms)

    def push(
        self,
        prefix: str,
        before: int,
        after: int,
        records: tuple[results.Record, ...],
    ) -> None:
        """Push changes to this hub's users, up to one that fits into no datagram."""
        if not self.gossip.is_hub():
            return
        subscribers = self.gossip.subscribers()
        rows = [(one.key, one.version, one.value) for one in records]
        for changes in datagrams.record_changes(
            self.gossip.name, prefix, before, after, rows
        ):
            self.gossip.send(changes, subscribers)

    def handle_changes(self, changes: datagrams.RecordChanges) -> None:
        """Apply changes that a hub has pushed."""
        watcher = self.watchers.get(changes.prefix)
        if watcher is not None:
            records = tuple(results.Record(*row) for row in changes.rows)
            watcher.apply_pushed(changes.before, changes.after, records)
