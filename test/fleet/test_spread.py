"""Seeded runs of a fleet under faults: nothing reverts, all learn in time."""

import contextlib
import random
import unittest
import unittest.mock

from cornelreach.fleet import membership
from cornelreach.settings import items, relay, state, sync
from test.fleet import world
from test.platform import histories

SEEDS = 150
FAULT_SEEDS = 120
FORCE_MS = 7_000
HEALED_MS = 9_000
SETTLED_MS = 6_000
LAYOUTS = (
    {"a1": "a", "a2": "a", "b1": "b", "b2": "b"},
    {"a1": "a", "a2": "a", "a3": "a", "a4": "a"},
    {"a1": "a", "a2": "a", "b1": "b", "c1": "c"},
)


class Run:
    """One seeded run: faults and writes, then a healed time with more writes."""

    def __init__(self, seed):
        self.source = random.Random(seed)
        self.layout = self.source.choice(LAYOUTS)
        self.site = world.World(seed, self.layout)
        self.site.loss = self.source.choice((0, 0, 0.05))
        self.accepted = []
        self.hosts = list(self.site.hosts.values())
        clock = self.site.clock
        self.cut_from_platform(self.source.randrange(3))
        for _ in range(4):
            clock.after(self.source.uniform(500, 8_000), self.write)
        clock.after(self.source.uniform(2_000, 6_000), self.disturb)
        self.plan_heal(clock)
        self.site.advance(HEALED_MS + 500 + FORCE_MS)

    def plan_heal(self, clock):
        """Let everything through again, and have two more changes accepted then."""
        clock.after(HEALED_MS, self.heal)
        for _ in range(2):
            clock.after(HEALED_MS + self.source.uniform(100, 500), self.write)

    def write(self):
        """Have two changes accepted, one right after the other."""
        key = items.key_of("model", f"m{self.source.randrange(3)}")
        for number in range(2):
            value = {"name": key[15:], "bytes_per_token": 1 + number}
            delete = self.source.random() < 0.2 and key in self.site.store.records
            version = self.site.write(key, None if delete else value)
            now_ms = self.site.clock.now_ms()
            self.accepted.append(histories.Accepted(key, version, now_ms))

    def cut_from_platform(self, kind):
        """Cut a data centre or two instances off, one way or both."""
        if kind == 0:
            return
        places = ["b"] if "b" in self.layout.values() else ["a1", "a2"]
        for place in places:
            self.site.cuts.add((place, "platform"))
            if kind == 2:
                self.site.cuts.add(("platform", place))

    def disturb(self):
        """Kill and replace, pause, or cut off everything for a while."""
        name = self.source.choice(list(self.layout))
        kind = self.source.randrange(4)
        if kind == 0:
            self.site.kill(name)
            fresh = self.site.start(name, self.layout[name])
            self.hosts.append(fresh)
        elif kind == 1:
            self.site.pause(name, self.source.uniform(500, 4_000))
        elif kind == 2:
            places = sorted(set(self.layout.values()))
            pairs = {(a, b) for a in places for b in places if a != b}
            self.site.cuts |= {pair for pair in pairs if self.source.random() < 0.7}
        else:
            self.site.platform_away = True

    def heal(self):
        """Let everything through again."""
        self.site.cuts = set()
        self.site.platform_away = False
        for host in self.hosts:
            if host.paused:
                self.site.resume(host)

    def overdue(self, since_ms):
        """Return what the processes that live did not have in force in time."""
        alive = [host for host in self.hosts if host.alive]
        complete = [
            histories.Complete(host.node.me.boot, revision, at_ms)
            for host in alive
            for at_ms, revision in host.complete
        ]
        accepted = [change for change in self.accepted if change.at_ms >= since_ms]
        boots = [host.node.me.boot for host in alive]
        return histories.overdue(accepted, self.changes(), complete, boots, FORCE_MS)

    def changes(self):
        """Return what came into force on each process."""
        return [
            histories.InForce(host.node.me.boot, key, version, at_ms)
            for host in self.hosts
            for at_ms, key, version in host.revisions
        ]

    def wrong(self):
        """Return what the checkers find."""
        found = histories.reverted(self.changes()) + self.overdue(HEALED_MS)
        wanted = list(self.site.store.listing(items.PREFIX).records)
        alive = [host for host in self.hosts if host.alive]
        return found + [host for host in alive if host.state.live() != wanted]


class Connected(Run):
    """A run in which every instance is reachable all the time."""

    def plan_heal(self, clock):
        """Let the cuts from the platform stay."""

    def disturb(self):
        """Pause nobody; kill and replace at the most."""
        name = self.source.choice(list(self.layout))
        if self.source.random() < 0.5:
            self.site.kill(name)
            self.hosts.append(self.site.start(name, self.layout[name]))

    def wrong(self):
        """Hold the changes since the last process started to the bound."""
        return super().wrong() + self.overdue(SETTLED_MS)


def takes_anything(self, entry):
    """Planted fault: replaces an entry whatever its version."""
    self._entries[entry.key] = entry
    self._by_version.append((entry.version, entry.key))
    return True


def without_deletions(self, *arguments, **options):
    """Planted fault: deletions are not relayed."""
    delta = right_delta(self, *arguments, **options)
    kept = tuple(entry for entry in delta.entries if entry.value is not None)
    return delta._replace(entries=kept)


right_delta = state.State.delta
NO_REPAIR = (relay, "MISMATCHES_TO_REPAIR", 1e9)
FAULTS = {
    "an entry of any version is taken": [
        (state.State, "_store_if_newer", takes_anything)
    ],
    "deletions are not relayed": [
        (state.State, "delta", without_deletions),
        NO_REPAIR,
    ],
    "peers are not asked": [(relay.Relay, "compare", lambda *arguments: None)],
    "watchers cut off are not replaced": [
        (membership.Membership, "watch_rank", lambda self, name, now_ms: 0)
    ],
    "a failed watch is not repeated": [(sync.Sync, "_handle_failure", lambda *_: 1e9)],
}


class Spread(unittest.TestCase):
    """Runs without and with planted faults."""

    def test_nothing_reverts_and_all_learn_in_time(self):
        for seed in range(SEEDS):
            kind = Connected if seed % 2 else Run
            self.assertEqual(kind(seed).wrong(), [], f"{kind.__name__} seed {seed}")

    def test_planted_faults_are_found(self):
        for name, patches in FAULTS.items():
            with self.subTest(name), contextlib.ExitStack() as stack:
                for patch in patches:
                    stack.enter_context(unittest.mock.patch.object(*patch))
                kinds = (Connected, Run)
                found = any(kinds[s % 2](s).wrong() for s in range(FAULT_SEEDS))
                self.assertTrue(found)
