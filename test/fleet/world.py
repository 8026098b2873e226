"""Several nodes, a platform and the links between them under virtual time."""

import random

import loguru
from returns import result

from cornelreach.fleet import news, node as node_module
from cornelreach.platform import backoff, results
from cornelreach.settings import items, state as state_module, sync as sync_module
from cornelreach.util import timers
from test.platform import objects

LINK_MS = (0.3, 3.0)
PLATFORM_MS = (2.0, 10.0)
STALE_ANSWERS = 0.05

loguru.logger.disable("cornelreach.settings.sync")


class Host:
    """A process with its node, which may be paused or dead."""

    def __init__(self, world, name, data_centre, boot):
        self.world = world
        self.alive = True
        self.paused = False
        self.backlog = []
        self.polling = False
        self.told = []
        self.revisions = []
        self.complete = []
        clock = world.clock
        me = news.Identity(name, boot, int(clock.wall_ms()), data_centre, name)
        self.state = state_module.State()
        self.state.subscribe(self.changed)
        source = random.Random(world.source.random())
        self.node = node_module.Node(me, self.state, source, clock.now_ms())
        pause = backoff.Backoff(source, limit_ms=sync_module.RETRY_LIMIT_MS)
        self.sync = sync_module.Sync(None, self.state, pause)
        world.clock.after(source.uniform(0, node_module.TICK_MS), self.tick)

    def changed(self, changed):
        """Record each change that came into force here."""
        at_ms = self.world.clock.now_ms()
        for entry in changed.entries:
            self.revisions.append((at_ms, entry.key, entry.version))

    def run(self, work, *arguments):
        """Run now, after a pause, or never if this process is dead."""
        if self.paused:
            self.backlog.append((work, arguments))
        elif self.alive:
            work(*arguments)

    def tick(self):
        """Send what is due and keep the watch going."""
        self.run(self.tick_now)
        if self.alive:
            self.world.clock.after(node_module.TICK_MS, self.tick)

    def tick_now(self):
        """Do one tick."""
        now_ms = self.world.clock.now_ms()
        if not self.complete or self.complete[-1][1] != self.state.revision:
            self.complete.append((now_ms, self.state.revision))
        for send in self.node.tick(now_ms):
            self.world.send(self, send)
        for fetch in self.node.fetches():
            self.world.pull(self, fetch)
        self.told.extend(self.node.events())
        if not self.polling and self.node.watching(now_ms):
            self.polling = True
            self.world.poll(self)

    def polled(self, outcome, floor):
        """Take an answer of the platform and watch on."""
        delay_ms = self.sync.handle(outcome, floor)
        self.node.platform_report(self.sync.platform_ok, self.world.clock.now_ms())
        self.world.clock.after(delay_ms, lambda: self.run(self.poll_again))

    def poll_again(self):
        """Go on if this instance still watches."""
        self.polling = self.node.watching(self.world.clock.now_ms())
        if self.polling:
            self.world.poll(self)


class World:
    """Hosts by name; ``cuts`` holds pairs of places that cannot send."""

    def __init__(self, seed, hosts, listed=True):
        self.source = random.Random(seed)
        self.clock = timers.VirtualTimers(wall_start_ms=1_000_000)
        self.store = objects.Store()
        self.cuts = set()
        self.loss = 0.0
        self.stale = STALE_ANSWERS
        self.platform_away = False
        self.messages = 0
        self.platform_calls = []
        self.on_message = lambda source, target, message: None
        self.waiting = []
        self.boots = 0
        self.hosts = {}
        self.entries = tuple(
            results.Instance(name, place, name) for name, place in hosts.items()
        )
        for name, place in hosts.items():
            self.start(name, place, listed)

    def start(self, name, place, listed=True):
        """Start a process under a name, in place of the former one."""
        self.boots += 1
        self.hosts[name] = Host(self, name, place, f"boot-{self.boots}")
        if listed:
            self.hosts[name].node.listed(self.entries)
        return self.hosts[name]

    def kill(self, name):
        """End a process at once."""
        self.hosts[name].alive = False

    def pause(self, name, for_ms):
        """Stop a process for a while."""
        host = self.hosts[name]
        host.paused = True
        self.clock.after(for_ms, lambda: self.resume(host))

    def resume(self, host):
        """Let a paused process run on, with all that waited for it."""
        host.paused = False
        backlog, host.backlog = host.backlog, []
        for work, arguments in backlog:
            host.run(work, *arguments)

    def open(self, source, target):
        """Return whether a message gets from one place or name to another."""
        places = [
            (self.hosts[end].node.me.data_centre, end) if end in self.hosts else (end,)
            for end in (source, target)
        ]
        cut = any((a, b) in self.cuts for a in places[0] for b in places[1])
        return not cut and self.source.random() >= self.loss

    def delay_ms(self, span=LINK_MS):
        """Return the time of one way."""
        return self.source.uniform(*span)

    def exchange(self, host, target, serve, answered, unanswered, wait_ms):
        """Send a request; call ``answered`` with the reply, or ``unanswered``."""
        waiting = [True]

        def once(work, *arguments):
            if waiting.pop() if waiting else False:
                host.run(work, *arguments)

        def deliver():
            peer = self.hosts[target]
            peer.run(reply, peer)

        def reply(peer):
            value = serve(peer)
            if self.open(target, host.node.me.name):
                self.clock.after(self.delay_ms(), lambda: once(answered, value))

        self.messages += 1
        if target in self.hosts and self.open(host.node.me.name, target):
            self.clock.after(self.delay_ms(), deliver)
        self.clock.after(wait_ms, lambda: once(unanswered))

    def send(self, host, send):
        """Carry a heartbeat and its reply."""
        now_ms = self.clock.now_ms

        def serve(peer):
            reply = peer.node.receive(send.message, now_ms())
            self.on_message(peer.node.me.name, host.node.me.name, reply)
            return reply

        self.on_message(host.node.me.name, send.contact.address, send.message)
        self.exchange(
            host,
            send.contact.address,
            serve,
            lambda reply: host.node.answered(send, reply, now_ms()),
            lambda: host.node.unanswered(send, now_ms()),
            node_module.HEARTBEAT_WAIT_MS,
        )

    def pull(self, host, fetch):
        """Carry a pull of settings."""
        self.exchange(
            host,
            fetch.address,
            lambda peer: peer.node.relay.serve(fetch.pull),
            lambda reply: host.node.pulled(fetch, reply, self.clock.now_ms()),
            lambda: host.node.relay.failed(fetch),
            2_000,
        )

    def poll(self, host):
        """List or watch for a host; answers may be late, lost or from the past."""
        name = host.node.me.name
        self.platform_calls.append(self.clock.now_ms())
        if self.platform_away or not self.open(name, "platform"):
            away = result.Failure(results.Unavailable("away", 200))
            silence_ms = host.sync.wait_ms + host.sync.margin_ms
            wait_ms = self.source.choice((1, 500, silence_ms))
            self.clock.after(wait_ms, lambda: host.run(host.polled, away, 0))
            return
        floor = host.sync.watch_from
        entry = (host, floor, host.sync.must_list)
        if not host.sync.must_list and self.store.revision <= floor:
            self.waiting.append(entry)
            self.clock.after(host.sync.wait_ms, lambda: self.wake(entry))
            return
        self.answer(*entry)

    def wake(self, entry):
        """Answer a waiting watch."""
        if entry in self.waiting:
            self.waiting.remove(entry)
            self.answer(*entry)

    def answer(self, host, since, listing):
        """Answer a list or watch after a while."""
        seen = self.store.revision
        if self.source.random() < self.stale:
            seen = self.source.randrange(seen + 1)

        def deliver():
            if self.platform_away or not self.open("platform", host.node.me.name):
                outcome = result.Failure(results.Unavailable("away", 200))
            elif listing:
                outcome = result.Success(self.store.past(items.PREFIX, seen))
            else:
                found = self.store.changes(items.PREFIX, since).unwrap()
                kept = tuple(r for r in found.records if r.version <= seen)
                outcome = result.Success(results.Changes(seen, kept))
            host.run(host.polled, outcome, since)

        self.clock.after(self.delay_ms(PLATFORM_MS), deliver)

    def write(self, key, value):
        """Accept a change in the platform."""
        held = self.store.records.get(key)
        version = self.store.write(key, value, held.version if held else 0).unwrap()
        for entry in list(self.waiting):
            self.wake(entry)
        return version

    def advance(self, delta_ms):
        """Move time forward."""
        self.clock.advance(delta_ms)
