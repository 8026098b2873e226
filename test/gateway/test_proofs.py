"""Freshness proofs from hubs: when an instance relies on them, when it reads itself."""

import random
import unittest

import hypothesis
from hypothesis import strategies
from returns import result

from cornelreach.gateway import datagrams, proofs, watching
from cornelreach.platform import results
from cornelreach.util import timers
from tools import hub_fleet as fleet_module

PREFIX = "servers/"
TIMING = watching.Timing(15_000, 400, 0.0, 900.0)
ALL = 1_000_000


def run_at_once(work):
    """Return the result of a coroutine that waits for nothing."""
    try:
        work.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("it waits")


class Store:
    """The platform: numbered changes, and a record of the callers."""

    def __init__(self):
        self.revision = 1
        self.changes = []
        self.calls = []

    def write(self, key):
        """Change a record."""
        self.revision += 1
        self.changes.append(results.Record(PREFIX + key, self.revision, {"n": key}))

    def other(self):
        """Change a record of another kind, which only raises the revision."""
        self.revision += 1

    def since(self, revision):
        """Return the changes since a revision."""
        found = tuple(one for one in self.changes if one.version > revision)
        return results.Changes(self.revision, found)


class Objects:
    """The platform as one instance reaches it."""

    def __init__(self, store, name):
        self.store = store
        self.name = name
        self.away = False

    async def list(self, prefix, after=""):
        return self.answer(results.Listing(self.store.revision, ()))

    async def watch(self, prefix, since, wait_ms, margin_ms=0):
        return self.answer(self.store.since(since))

    def answer(self, found):
        """Record a call and return its result."""
        self.store.calls.append(self.name)
        if self.away:
            return result.Failure(results.Unavailable("unavailable"))
        return result.Success(found)


class Handler:
    """Records the keys it is passed and the time of the proof."""

    prefix = PREFIX

    def __init__(self):
        self.keys = []
        self.proved_ms = None

    async def on_list(self, records, reconnected):
        self.keys = [one.key for one in records]

    def on_change(self, record):
        self.keys.append(record.key)

    def on_proof(self, at_ms):
        self.proved_ms = max(self.proved_ms or at_ms, at_ms)

    def on_reconnect(self):
        pass


class Fleet(fleet_module.HubFleet):
    """Instances whose watchers make calls or rest, in virtual time."""

    def __init__(self, size):
        super().__init__(size)
        self.store = Store()
        self.watchers = {}
        for name, one in self.instances.items():
            watcher = watching.Watcher(
                Objects(self.store, name),
                Handler(),
                TIMING,
                self.clock,
                random.Random(1),
            )
            source = proofs.Proofs(one, self.clock)
            source.add(watcher)
            self.watchers[name] = watcher
            self.call_after(
                self.random.uniform(0, 250), lambda n=name, s=source: self._query(n, s)
            )
            self.call_after(self.random.uniform(0, 50), lambda n=name: self._follow(n))

    def _query(self, name, source):
        if name not in self.dead:
            source.send_query()
        self.call_after(proofs.QUERY_MS, lambda: self._query(name, source))

    def _follow(self, name):
        watcher = self.watchers[name]
        pause_ms = 50.0
        if name not in self.dead:
            pause_ms = watcher._rest_ms()
            if pause_ms <= 0:
                waits = watcher._wait_ms()
                self._call(watcher)
                # A call without changes waits; here it returns at once, and the pause
                # stands for the wait.
                pause_ms = min(waits, TIMING.hub_ms)
        self.call_after(max(5.0, min(pause_ms, 50.0)), lambda: self._follow(name))

    def _call(self, watcher):
        work = watcher._list() if watcher.revision is None else watcher._watch(0)
        outcome = run_at_once(work)
        if isinstance(outcome, result.Success):
            run_at_once(watcher._succeeded(outcome.unwrap(), self.clock.now_ms(), ALL))

    def keys(self, name):
        """Return the keys that an instance has received."""
        return set(self.watchers[name].handler.keys)


class Proofs(unittest.TestCase):
    """A fleet of 40 instances in three data centres."""

    def setUp(self):
        self.fleet = Fleet(40)
        self.fleet.run(3_000)
        self.leaders = {
            name for names in self.fleet.hubs_by_zone().values() for name in names
        }

    def test_only_hubs_call_the_platform(self):
        self.fleet.store.calls.clear()
        self.fleet.run(5_000)
        self.assertEqual(set(self.fleet.store.calls), self.leaders)

    def test_every_instance_has_a_recent_proof(self):
        now_ms = self.fleet.clock.now_ms()
        for name, one in self.fleet.watchers.items():
            self.assertLess(now_ms - one.proved_ms, TIMING.max_proof_age_ms, name)

    def test_a_change_reaches_all_by_push_without_calls(self):
        self.fleet.store.calls.clear()
        self.fleet.store.write("a")
        self.fleet.run(120)
        for name in self.fleet.instances:
            self.assertEqual(self.fleet.keys(name), {PREFIX + "a"}, name)
        self.assertEqual(set(self.fleet.store.calls), self.leaders)

    def test_an_instance_that_misses_a_push_reads_the_platform(self):
        self.fleet.loss = 1.0
        self.fleet.store.write("a")
        self.fleet.run(100)
        self.fleet.loss = 0.0
        self.fleet.run(proofs.QUERY_MS + watching.PUSH_GRACE_MS + 120)
        for name in self.fleet.instances:
            self.assertEqual(self.fleet.keys(name), {PREFIX + "a"}, name)

    def test_dead_hubs_delay_nobody_beyond_the_limit(self):
        self.fleet.dead |= self.leaders
        self.fleet.store.write("a")
        self.fleet.run(TIMING.max_proof_age_ms + 60)
        for name in self.fleet.live_instances():
            self.assertEqual(self.fleet.keys(name), {PREFIX + "a"}, name)

    def test_a_hub_cut_off_from_the_platform_delays_nobody_beyond_the_limit(self):
        for name in self.leaders:
            self.fleet.watchers[name].objects.away = True
        self.fleet.store.write("a")
        self.fleet.run(TIMING.max_proof_age_ms + proofs.QUERY_MS + 60)
        for name in set(self.fleet.instances) - self.leaders:
            self.assertEqual(self.fleet.keys(name), {PREFIX + "a"}, name)

    def test_the_configurations_proof_holds_for_a_call_that_waits(self):
        name = next(iter(self.leaders))
        watcher = self.fleet.watchers[name]
        source = watcher.source
        source.anchor = watching.Watcher(
            None, Handler(), TIMING, self.fleet.clock, random.Random(1)
        )
        clock = self.fleet.clock
        watcher.proved_ms = clock.now_ms() - 9_000
        source.anchor._prove(clock.now_ms() - 1_000)
        watcher.waiting_since_ms = clock.now_ms() - 5_000
        # Guards against a hub that wakes and proves a time before which a change lies
        # unread, as the answer to another call was read first.
        self.assertEqual(source.proved_ms(watcher), watcher.proved_ms)
        clock.advance(proofs.DELIVERY_MS)
        now_ms = clock.now_ms() - proofs.DELIVERY_MS
        cases = (
            (now_ms - 5_000, None, now_ms - 1_000),
            (now_ms - 500, None, watcher.proved_ms),
            (None, None, watcher.proved_ms),
            (now_ms - 5_000, now_ms - 200, watcher.proved_ms),
        )
        for waiting_ms, lost_ms, proved_ms in cases:
            watcher.waiting_since_ms, watcher.lost_ms = waiting_ms, lost_ms
            self.assertEqual(source.proved_ms(watcher), proved_ms)
        watcher.waiting_since_ms, watcher.lost_ms = now_ms - 5_000, None
        source.anchor._prove(now_ms + 100)
        self.assertEqual(source.proved_ms(watcher), now_ms - 1_000)

    def test_changes_of_other_kinds_cause_no_calls(self):
        self.fleet.store.calls.clear()
        for _ in range(20):
            self.fleet.store.other()
            self.fleet.run(100)
        self.assertEqual(set(self.fleet.store.calls), self.leaders)


class Ordering(unittest.TestCase):
    """One watcher that gets answers and pushes of any age and in any order."""

    def setUp(self):
        self.clock = timers.VirtualTimers(start_ms=10_000)
        self.store = Store()
        self.handler = Handler()
        self.watcher = watching.Watcher(
            Objects(self.store, "me"),
            self.handler,
            TIMING,
            self.clock,
            random.Random(1),
        )
        self.watcher.revision = 1

    def test_a_late_answer_proves_only_the_time_of_its_query(self):
        fleet = fleet_module.HubFleet(12)
        fleet.run(2_000)
        name = next(n for n in fleet.instances if not fleet.instances[n].is_hub())
        source = proofs.Proofs(fleet.instances[name], fleet.clock)
        source.add(self.watcher)
        asked_ms = fleet.clock.now_ms()
        source.send_query()
        fleet.run(5_000)  # the instance was suspended, or the answer delayed
        row = (1, 1, 300.0)
        source.handle_reply(datagrams.FreshnessReply("h", 1, {PREFIX: row}))
        self.assertEqual(self.handler.proved_ms, asked_ms - 300.0)
        source.handle_reply(datagrams.FreshnessReply("h", 99, {PREFIX: (9, 1, 0.0)}))
        self.assertEqual(self.handler.proved_ms, asked_ms - 300.0)

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["write", "other", "hub", "push", "proof"]),
                strategies.integers(0, 3),
            ),
            max_size=40,
        )
    )
    def test_a_proof_never_covers_an_unread_change(self, steps):
        self.setUp()
        hub, changed, proved_ms, pushes = 1, 1, self.clock.now_ms(), []
        written = {}
        for step, choice in steps:
            self.clock.advance(100)
            if step == "write":
                self.store.write(f"k{self.store.revision}")
                written[self.store.changes[-1].key] = self.clock.now_ms()
            elif step == "other":
                self.store.other()
            elif step == "hub":
                found = self.store.since(hub)
                if found.records:
                    pushes.append((hub, found.revision, found.records))
                    changed = found.revision
                hub, proved_ms = found.revision, self.clock.now_ms()
            elif step == "push" and pushes:
                self.watcher.apply_pushed(*pushes[choice % len(pushes)])
            elif step == "proof":
                self.watcher.apply_hub_proof(hub, changed, proved_ms)
            proved = self.handler.proved_ms or 0.0
            missed = [
                key
                for key, at_ms in written.items()
                if at_ms <= proved and key not in self.handler.keys
            ]
            self.assertEqual(missed, [])
