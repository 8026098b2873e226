"""Simulation of several nodes, a platform and the network between them.

Time is virtual.
"""

import random

import loguru
from returns import result

from cornelreach.fleet import node as node_module, peermessages
from cornelreach.platform import backoff, results
from cornelreach.settings import items, state as state_module, sync as sync_module
from cornelreach.util import timers
from test.platform import objects

LINK_DELAY_MS = (0.3, 3.0)
PLATFORM_DELAY_MS = (2.0, 10.0)
STALE_RESPONSE_SHARE = 0.05

loguru.logger.disable("cornelreach.settings.sync")


class Host:
    """A process that runs a node; it may be paused or dead."""

    def __init__(self, simulation, name, data_centre, boot):
        self.simulation = simulation
        self.alive = True
        self.paused = False
        self.backlog = []
        self.watching = False
        self.events = []
        self.applied_changes = []
        self.revision_times = []
        clock = simulation.clock
        me = peermessages.Identity(name, boot, int(clock.wall_ms()), data_centre, name)
        self.state = state_module.State()
        self.state.subscribe(self.changed)
        rng = random.Random(simulation.rng.random())
        self.node = node_module.Node(me, self.state, rng, clock.now_ms())
        retry_backoff = backoff.Backoff(rng, limit_ms=sync_module.RETRY_LIMIT_MS)
        self.sync = sync_module.Sync(None, self.state, retry_backoff)
        simulation.clock.after(rng.uniform(0, node_module.TICK_MS), self.tick)

    def changed(self, changed):
        """Record each change that takes effect here."""
        at_ms = self.simulation.clock.now_ms()
        for entry in changed.entries:
            self.applied_changes.append((at_ms, entry.key, entry.version))

    def run(self, callback, *arguments):
        """Call now, or after a pause; never if this process is dead."""
        if self.paused:
            self.backlog.append((callback, arguments))
        elif self.alive:
            callback(*arguments)

    def tick(self):
        """Run a tick and schedule the next."""
        self.run(self.tick_now)
        if self.alive:
            self.simulation.clock.after(node_module.TICK_MS, self.tick)

    def tick_now(self):
        """Send what is due and start to watch the platform if this is a watcher."""
        now_ms = self.simulation.clock.now_ms()
        if not self.revision_times or self.revision_times[-1][1] != self.state.revision:
            self.revision_times.append((now_ms, self.state.revision))
        for pending in self.node.tick(now_ms):
            self.simulation.send(self, pending)
        for fetch in self.node.fetches():
            self.simulation.pull(self, fetch)
        self.events.extend(self.node.events())
        if not self.watching and self.node.is_watcher(now_ms):
            self.watching = True
            self.simulation.call_platform(self)

    def handle_platform_response(self, outcome, watch_from):
        """Process a response of the platform and schedule the next call."""
        delay_ms = self.sync.handle(outcome, watch_from)
        self.node.record_platform_result(
            self.sync.platform_ok, self.simulation.clock.now_ms()
        )
        self.simulation.clock.after(delay_ms, lambda: self.run(self.watch_again))

    def watch_again(self):
        """Call the platform again if this instance is still a watcher."""
        self.watching = self.node.is_watcher(self.simulation.clock.now_ms())
        if self.watching:
            self.simulation.call_platform(self)


class Simulation:
    """Hosts by name, and the network and platform that connect them.

    ``cut_links`` has pairs of sender and receiver between which messages are lost. Each
    of them is a host, a data centre or ``platform``.
    """

    def __init__(self, seed, hosts, listed=True):
        self.rng = random.Random(seed)
        self.clock = timers.VirtualTimers(wall_start_ms=1_000_000)
        self.store = objects.Store()
        self.cut_links = set()
        self.loss_share = 0.0
        self.stale_share = STALE_RESPONSE_SHARE
        self.platform_down = False
        self.messages = 0
        self.platform_calls = []
        self.on_message = lambda sender, receiver, message: None
        self.pending_watches = []
        self.boot_count = 0
        self.hosts = {}
        self.entries = tuple(
            results.Instance(name, data_centre, name)
            for name, data_centre in hosts.items()
        )
        for name, data_centre in hosts.items():
            self.start(name, data_centre, listed)

    def start(self, name, data_centre, listed=True):
        """Start a process under a name, replacing the previous one."""
        self.boot_count += 1
        self.hosts[name] = Host(self, name, data_centre, f"boot-{self.boot_count}")
        if listed:
            self.hosts[name].node.set_listed(self.entries)
        return self.hosts[name]

    def kill(self, name):
        """Kill a process."""
        self.hosts[name].alive = False

    def pause(self, name, for_ms):
        """Pause a process for a time."""
        host = self.hosts[name]
        host.paused = True
        self.clock.after(for_ms, lambda: self.resume(host))

    def resume(self, host):
        """Resume a paused process and run the callbacks that waited for it."""
        host.paused = False
        backlog, host.backlog = host.backlog, []
        for callback, arguments in backlog:
            host.run(callback, *arguments)

    def delivers(self, sender, receiver):
        """Return whether a message from one host or the platform reaches another."""
        names = [
            (self.hosts[end].node.me.data_centre, end) if end in self.hosts else (end,)
            for end in (sender, receiver)
        ]
        cut = any((a, b) in self.cut_links for a in names[0] for b in names[1])
        return not cut and self.rng.random() >= self.loss_share

    def delay_ms(self, delay_range_ms=LINK_DELAY_MS):
        """Return a random one-way delay."""
        return self.rng.uniform(*delay_range_ms)

    def request(self, host, address, serve, answered, unanswered, wait_ms):
        """Send a request; call ``answered`` with the reply, or ``unanswered``."""
        pending = [True]

        def once(callback, *arguments):
            if pending.pop() if pending else False:
                host.run(callback, *arguments)

        def deliver():
            peer = self.hosts[address]
            peer.run(reply, peer)

        def reply(peer):
            value = serve(peer)
            if self.delivers(address, host.node.me.name):
                self.clock.after(self.delay_ms(), lambda: once(answered, value))

        self.messages += 1
        if address in self.hosts and self.delivers(host.node.me.name, address):
            self.clock.after(self.delay_ms(), deliver)
        self.clock.after(wait_ms, lambda: once(unanswered))

    def send(self, host, pending):
        """Deliver a heartbeat and its reply."""
        now_ms = self.clock.now_ms

        def serve(peer):
            reply = peer.node.receive(pending.message, now_ms())
            self.on_message(peer.node.me.name, host.node.me.name, reply)
            return reply

        self.on_message(host.node.me.name, pending.contact.address, pending.message)
        self.request(
            host,
            pending.contact.address,
            serve,
            lambda reply: host.node.answered(pending, reply, now_ms()),
            lambda: host.node.unanswered(pending, now_ms()),
            node_module.HEARTBEAT_WAIT_MS,
        )

    def pull(self, host, fetch):
        """Deliver a pull of settings and its reply."""
        self.request(
            host,
            fetch.address,
            lambda peer: peer.node.relay.serve(fetch.pull),
            lambda reply: host.node.pulled(fetch, reply, self.clock.now_ms()),
            lambda: host.node.relay.failed(fetch),
            2_000,
        )

    def call_platform(self, host):
        """List or watch for a host; responses may be late, lost or stale."""
        name = host.node.me.name
        self.platform_calls.append(self.clock.now_ms())
        if self.platform_down or not self.delivers(name, "platform"):
            unavailable = result.Failure(results.Unavailable("unavailable", 200))
            timeout_ms = host.sync.wait_ms + host.sync.margin_ms
            wait_ms = self.rng.choice((1, 500, timeout_ms))
            self.clock.after(
                wait_ms, lambda: host.run(host.handle_platform_response, unavailable, 0)
            )
            return
        watch_from = host.sync.watch_from
        entry = (host, watch_from, host.sync.must_list)
        if not host.sync.must_list and self.store.revision <= watch_from:
            self.pending_watches.append(entry)
            self.clock.after(host.sync.wait_ms, lambda: self.finish_watch(entry))
            return
        self.respond(*entry)

    def finish_watch(self, entry):
        """Respond to a pending watch."""
        if entry in self.pending_watches:
            self.pending_watches.remove(entry)
            self.respond(*entry)

    def respond(self, host, since, listing):
        """Respond to a list or watch after a delay."""
        visible_revision = self.store.revision
        if self.rng.random() < self.stale_share:
            visible_revision = self.rng.randrange(visible_revision + 1)

        def deliver():
            if self.platform_down or not self.delivers("platform", host.node.me.name):
                outcome = result.Failure(results.Unavailable("unavailable", 200))
            elif listing:
                outcome = result.Success(
                    self.store.listing_at(items.PREFIX, visible_revision)
                )
            else:
                found = self.store.changes(items.PREFIX, since).unwrap()
                visible = tuple(
                    r for r in found.records if r.version <= visible_revision
                )
                outcome = result.Success(results.Changes(visible_revision, visible))
            host.run(host.handle_platform_response, outcome, since)

        self.clock.after(self.delay_ms(PLATFORM_DELAY_MS), deliver)

    def write(self, key, value):
        """Write a change to the platform and finish the pending watches."""
        held = self.store.records.get(key)
        version = self.store.write(key, value, held.version if held else 0).unwrap()
        for entry in list(self.pending_watches):
            self.finish_watch(entry)
        return version

    def advance(self, delta_ms):
        """Advance the virtual time."""
        self.clock.advance(delta_ms)
