"""Randomized runs of a fleet under faults.

No instance may revert a change, and every instance must receive changes in time.
"""

import contextlib
import random
import unittest
import unittest.mock

from cornelreach.fleet import membership
from cornelreach.settings import items, relay, state, sync
from test.fleet import simulation
from test.platform import histories

SEEDS = 150
DEFECT_SEEDS = 120
IN_FORCE_LIMIT_MS = 7_000
HEAL_AT_MS = 9_000
SETTLED_AT_MS = 6_000
LAYOUTS = (
    {"a1": "a", "a2": "a", "b1": "b", "b2": "b"},
    {"a1": "a", "a2": "a", "a3": "a", "a4": "a"},
    {"a1": "a", "a2": "a", "b1": "b", "c1": "c"},
)


class FaultRun:
    """A randomized run: writes under faults, then more writes after they are healed."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.layout = self.rng.choice(LAYOUTS)
        self.fleet = simulation.Simulation(seed, self.layout)
        self.fleet.loss_share = self.rng.choice((0, 0, 0.05))
        self.accepted = []
        self.hosts = list(self.fleet.hosts.values())
        clock = self.fleet.clock
        self.cut_from_platform(self.rng.randrange(3))
        for _ in range(4):
            clock.after(self.rng.uniform(500, 8_000), self.write)
        clock.after(self.rng.uniform(2_000, 6_000), self.inject_fault)
        self.schedule_heal(clock)
        self.fleet.advance(HEAL_AT_MS + 500 + IN_FORCE_LIMIT_MS)

    def schedule_heal(self, clock):
        """Schedule the end of all faults, followed by two more writes."""
        clock.after(HEAL_AT_MS, self.heal)
        for _ in range(2):
            clock.after(HEAL_AT_MS + self.rng.uniform(100, 500), self.write)

    def write(self):
        """Write two changes of one item in immediate succession."""
        key = items.key_of("model", f"m{self.rng.randrange(3)}")
        for number in range(2):
            value = {"name": key[15:], "bytes_per_token": 1 + number}
            delete = self.rng.random() < 0.2 and key in self.fleet.store.records
            version = self.fleet.write(key, None if delete else value)
            now_ms = self.fleet.clock.now_ms()
            self.accepted.append(histories.Accepted(key, version, now_ms))

    def cut_from_platform(self, kind):
        """Cut a data centre or two instances off the platform, one way or both."""
        if kind == 0:
            return
        places = ["b"] if "b" in self.layout.values() else ["a1", "a2"]
        for place in places:
            self.fleet.cut_links.add((place, "platform"))
            if kind == 2:
                self.fleet.cut_links.add(("platform", place))

    def inject_fault(self):
        """Replace or pause an instance, cut data centres off or stop the platform."""
        name = self.rng.choice(list(self.layout))
        kind = self.rng.randrange(4)
        if kind == 0:
            self.fleet.kill(name)
            new_host = self.fleet.start(name, self.layout[name])
            self.hosts.append(new_host)
        elif kind == 1:
            self.fleet.pause(name, self.rng.uniform(500, 4_000))
        elif kind == 2:
            places = sorted(set(self.layout.values()))
            pairs = {(a, b) for a in places for b in places if a != b}
            self.fleet.cut_links |= {pair for pair in pairs if self.rng.random() < 0.7}
        else:
            self.fleet.platform_down = True

    def heal(self):
        """End all faults."""
        self.fleet.cut_links = set()
        self.fleet.platform_down = False
        for host in self.hosts:
            if host.paused:
                self.fleet.resume(host)

    def overdue(self, since_ms):
        """Return the changes that did not take effect in time on a live process."""
        alive = [host for host in self.hosts if host.alive]
        revision_times = [
            histories.CaughtUp(host.node.me.boot, revision, at_ms)
            for host in alive
            for at_ms, revision in host.revision_times
        ]
        accepted = [change for change in self.accepted if change.at_ms >= since_ms]
        boots = [host.node.me.boot for host in alive]
        return histories.overdue(
            accepted, self.changes(), revision_times, boots, IN_FORCE_LIMIT_MS
        )

    def changes(self):
        """Return the changes that took effect on each process."""
        return [
            histories.AppliedChange(host.node.me.boot, key, version, at_ms)
            for host in self.hosts
            for at_ms, key, version in host.applied_changes
        ]

    def violations(self):
        """Return everything that the checkers find."""
        found = histories.regressions(self.changes()) + self.overdue(HEAL_AT_MS)
        expected_records = list(self.fleet.store.listing(items.PREFIX).records)
        alive = [host for host in self.hosts if host.alive]
        return found + [host for host in alive if host.state.live() != expected_records]


class ConnectedRun(FaultRun):
    """A run in which every instance stays reachable by its peers."""

    def schedule_heal(self, clock):
        """Leave the cuts from the platform in place."""

    def inject_fault(self):
        """Replace an instance in half of the runs."""
        name = self.rng.choice(list(self.layout))
        if self.rng.random() < 0.5:
            self.fleet.kill(name)
            self.hosts.append(self.fleet.start(name, self.layout[name]))

    def violations(self):
        """Also check the time limit for all changes after the last process start."""
        return super().violations() + self.overdue(SETTLED_AT_MS)


def store_any_version(self, entry):
    """Injected defect: stores an entry whatever its version."""
    self._entries[entry.key] = entry
    self._by_version.append((entry.version, entry.key))
    return True


def delta_without_deletions(self, *arguments, **options):
    """Injected defect: deletions are not sent to peers."""
    delta = original_delta(self, *arguments, **options)
    kept = tuple(entry for entry in delta.entries if entry.value is not None)
    return delta._replace(entries=kept)


original_delta = state.State.delta
NO_REPAIR = (relay, "MISMATCHES_TO_REPAIR", 1e9)
DEFECTS = {
    "an entry of any version is stored": [
        (state.State, "_store_if_newer", store_any_version)
    ],
    "deletions are not sent": [
        (state.State, "delta", delta_without_deletions),
        NO_REPAIR,
    ],
    "peers are not pulled from": [(relay.Relay, "compare", lambda *arguments: None)],
    "unreachable watchers are not replaced": [
        (membership.Membership, "watch_rank", lambda self, name, now_ms: 0)
    ],
    "a failed watch is not retried": [(sync.Sync, "_handle_failure", lambda *_: 1e9)],
}


class ConvergenceTest(unittest.TestCase):
    """Runs without and with injected defects."""

    def test_nothing_reverts_and_all_receive_changes_in_time(self):
        for seed in range(SEEDS):
            run_type = ConnectedRun if seed % 2 else FaultRun
            self.assertEqual(
                run_type(seed).violations(), [], f"{run_type.__name__} seed {seed}"
            )

    def test_injected_defects_are_detected(self):
        for name, patches in DEFECTS.items():
            with self.subTest(name), contextlib.ExitStack() as stack:
                for patch in patches:
                    stack.enter_context(unittest.mock.patch.object(*patch))
                run_types = (ConnectedRun, FaultRun)
                found = any(
                    run_types[s % 2](s).violations() for s in range(DEFECT_SEEDS)
                )
                self.assertTrue(found)
