"""Does the I/O of a node.

It sends heartbeats and pulls, lists the instances in the platform and writes merges of
directives::

    runner = NodeRunner(node, peers, server, objects, clock)
    sync = Sync(
        ...,
        is_watcher=runner.is_watcher,
        on_platform_result=runner.record_platform_result,
    )
    run = asyncio.create_task(runner.run())
    follow = asyncio.create_task(runner.follow_platform())
"""

import asyncio
import random
import typing

from returns import result

from cornelreach.fleet import membership, node as node_module, peermessages
from cornelreach.peers import wire
from cornelreach.platform import budget, results
from cornelreach.settings import relay
from cornelreach.util import events, timers as timers_module

HEARTBEAT = wire.Method("Heartbeat", peermessages.Heartbeat, peermessages.Heartbeat)
PULL = wire.Method("Pull", relay.Pull, relay.Pulled)

PULL_WAIT_MS = 2_000
LIST_INTERVAL_MS = 5_000
LONG_LIST_INTERVAL_MS = 300_000
FOLLOW_INTERVAL_MS = 1_000

MEMBER_CHANGED = events.define(
    1311, "INFO", "Instance {name} boot {boot}: {change}.", "Nothing."
)
SUPERSEDED = events.define(
    1312,
    "ERROR",
    "Boot {boot} has started under this instance's name; this process stops.",
    "Give each running instance a unique name.",
)
PAUSED = events.define(
    1313,
    "WARNING",
    "This process was paused for {paused_ms} ms.",
    "Check for a suspended machine or an overloaded processor.",
)
CONFIRMED = events.define(
    1314, "INFO", "The view of the fleet is up to date (alone: {alone}).", "Nothing."
)
DIRECTIVES_MERGED = events.define(
    1315, "INFO", "Merged the directives on {key} into the platform.", "Nothing."
)

Observer = typing.Callable[[membership.Event], None]


class NodeRunner:
    """Runs a node on asyncio.

    ``observer`` is called with each membership event. On ``Superseded``, the daemon
    must stop.
    """

    def __init__(
        self,
        node: node_module.Node,
        peers: wire.Client,
        server: wire.Server,
        objects: results.ObjectStore,
        clock: timers_module.Timers,
        observer: Observer = lambda event: None,
    ) -> None:
        self.node = node
        self.peers = peers
        self.objects = objects
        self.clock = clock
        self.observer = observer
        self.rng = random.Random(node.me.boot)
        self.listing: frozenset[str] = frozenset()
        self.listing_ms = float("-inf")
        self._last_list_ms: float | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        server.register(HEARTBEAT, self._handle_heartbeat)
        server.register(PULL, self._handle_pull)

    def is_watcher(self) -> bool:
        """Return whether this instance watches the platform for its peers."""
        return self.node.is_watcher(self.clock.now_ms())

    @property
    def platform_ok(self) -> bool:
        """Return whether any instance of this data centre reaches the platform."""
        return self.node.platform_reached()

    def record_platform_result(self, reached: bool) -> None:
        """Record whether a call reached the platform."""
        self.node.record_platform_result(reached, self.clock.now_ms())

    async def run(self) -> None:
        """Run ``tick`` regularly until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(node_module.TICK_MS / 1_000)

    def tick(self) -> None:
        """Send the heartbeats and pulls that are due and report membership events."""
        for pending in self.node.tick(self.clock.now_ms()):
            self._spawn(self._send(pending))
        self._fetch()
        for event in self.node.events():
            log_event(event)
            self.observer(event)

    async def follow_platform(self) -> None:
        """List the instances in the platform and merge directives, until cancelled.

        Only watchers and instances without peers list often; only watchers merge.
        """
        await asyncio.sleep(budget.start_delay_ms(self.rng) / 1_000)
        while True:
            if self._list_due():
                await self._list()
            if self.platform_ok and self.is_watcher():
                await self._merge()
            delay_ms = FOLLOW_INTERVAL_MS * self.rng.uniform(0.8, 1.2)
            await asyncio.sleep(delay_ms / 1_000)

    def _list_due(self) -> bool:
        if self._last_list_ms is None:
            return True
        age_ms = self.clock.now_ms() - self._last_list_ms
        alone = len(self.node.membership.serving()) < 2
        return age_ms >= (
            LIST_INTERVAL_MS if alone or self.is_watcher() else LONG_LIST_INTERVAL_MS
        )

    async def _list(self) -> None:
        asked_ms = self.clock.now_ms()
        found = await self.objects.instances()
        if isinstance(found, result.Success):
            self.node.set_listed(found.unwrap())
            self.listing = frozenset(one.name for one in found.unwrap())
            self.listing_ms = asked_ms
            jitter_ms = self.rng.uniform(0, LIST_INTERVAL_MS / 4)
            self._last_list_ms = self.clock.now_ms() - jitter_ms

    async def _merge(self) -> None:
        for merge in self.node.directives.pending_merges():
            outcome = await self.objects.put(
                merge.key, merge.value, if_version=merge.if_version
            )
            if isinstance(outcome, result.Success):
                events.emit(DIRECTIVES_MERGED, key=merge.key)

    async def _send(self, pending: node_module.PendingHeartbeat) -> None:
        outcome = await self.peers.call(
            pending.contact.address,
            HEARTBEAT,
            pending.message,
            node_module.HEARTBEAT_WAIT_MS,
        )
        now_ms = self.clock.now_ms()
        if isinstance(outcome, result.Success):
            self.node.answered(pending, outcome.unwrap(), now_ms)
            self._fetch()
        else:
            self.node.unanswered(pending, now_ms)

    def _fetch(self) -> None:
        for fetch in self.node.fetches():
            self._spawn(self._fetch_one(fetch))

    async def _fetch_one(self, fetch: relay.Fetch) -> None:
        outcome = await self.peers.call(fetch.address, PULL, fetch.pull, PULL_WAIT_MS)
        if isinstance(outcome, result.Success):
            self.node.pulled(fetch, outcome.unwrap(), self.clock.now_ms())
            self._fetch()
        else:
            self.node.relay.failed(fetch)

    async def _handle_heartbeat(
        self, sender: wire.Sender, message: peermessages.Heartbeat
    ) -> peermessages.Heartbeat:
        reply = self.node.receive(message, self.clock.now_ms())
        self._fetch()
        return reply

    async def _handle_pull(self, sender: wire.Sender, pull: relay.Pull) -> relay.Pulled:
        return self.node.relay.serve(pull)

    def _spawn(self, work: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def log_event(event: membership.Event) -> None:
    """Log a membership event."""
    if isinstance(event, membership.Superseded):
        events.emit(SUPERSEDED, boot=event.by.boot)
    elif isinstance(event, membership.Woke):
        events.emit(PAUSED, paused_ms=int(event.paused_ms))
    elif isinstance(event, membership.Confirmed):
        events.emit(CONFIRMED, alone=event.alone)
    else:
        identity, change = event.identity, type(event).__name__.lower()
        events.emit(
            MEMBER_CHANGED, name=identity.name, boot=identity.boot, change=change
        )
