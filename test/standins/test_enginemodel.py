import unittest

from cornelreach.util import timers as timers_module
from standins import cacheevents, enginemodel, kvcache


def run_request(run, pieces=(), **fields):
    keyed = tuple(enginemodel.Piece(key, 1_000) for key in pieces)
    return enginemodel.RunRequest(run, keyed, **fields)


class EngineTest(unittest.TestCase):
    def setUp(self):
        self.timers = timers_module.VirtualTimers()

    def engine(self, **fields):
        fields.setdefault("starts_cold", False)
        settings = enginemodel.Settings("e1", **fields)
        return enginemodel.Engine(settings, self.timers)

    def test_a_repeated_prefix_skips_its_prefill(self):
        engine = self.engine()
        first = engine.submit(run_request("a", "xyz", tail_tokens=10, answer_tokens=4))
        self.timers.advance(1_000)
        second = engine.submit(run_request("b", "xy", tail_tokens=10))
        other = engine.submit(run_request("c", "qyx"))
        self.timers.advance(1_000)
        self.assertEqual(("stop", 4), (first.outcome, first.emitted))
        self.assertEqual(
            [0, 2_000, 0], [r.cached_tokens for r in (first, second, other)]
        )

    def test_eviction_starts_at_the_end_of_the_oldest_chain(self):
        engine = self.engine(cache_tokens=3_000)
        engine.submit(run_request("a", "xyz"))
        self.timers.advance(2_000)
        engine.submit(run_request("b", "q"))
        self.timers.advance(2_000)
        self.assertEqual(2, engine.cache.prefix("xyz"))
        self.assertLessEqual(engine.cache.used_tokens, 3_000)

    def test_lower_priority_number_goes_first(self):
        engine = self.engine()
        slow = engine.submit(run_request("a", "xyz", priority=1))
        fast = engine.submit(run_request("b", "q", priority=0))
        self.timers.advance(170)
        self.assertEqual((None, "stop"), (slow.outcome, fast.outcome))

    def test_a_cold_engine_crashes_above_its_limit(self):
        engine = self.engine(starts_cold=True)
        boot = engine.boot_id
        one = engine.submit(run_request("a", "xyz"))
        two = engine.submit(run_request("b"))
        self.assertEqual(["failed", "failed"], [one.outcome, two.outcome])
        self.assertEqual((1, 1), (engine.worst_overload, engine.crashes))
        with self.assertRaises(enginemodel.Rejected):
            engine.submit(run_request("c"), boot)

    def test_an_engine_warms_up_by_serving_not_by_waiting(self):
        engine = self.engine(starts_cold=True, cold_ms=300)
        self.timers.advance(10_000)
        self.assertTrue(engine.cold)
        engine.submit(run_request("a", "xyz"))
        self.timers.advance(1_000)
        self.assertFalse(engine.cold)

    def test_cancel_ends_the_run_and_releases_its_blocks(self):
        engine = self.engine()
        run = engine.submit(run_request("a", "xyz", answer_tokens=1_000))
        self.timers.advance(600)
        self.assertTrue(engine.cancel("a"))
        self.assertFalse(engine.cancel("a"))
        self.assertEqual("cancelled", run.outcome)
        self.assertTrue(all(not b.pins for b in engine.cache.blocks.values()))

    def test_a_load_keeps_old_runs_and_slows_above_two_loads(self):
        engine = self.engine()
        run = engine.submit(run_request("a", answer_tokens=100))
        engine.order("2", concurrent_loads=4)
        self.timers.advance(900)
        self.assertEqual("1", engine.version)
        self.timers.advance(200)
        self.assertEqual(("2", True), (engine.version, engine.cold))
        self.timers.advance(5_000)
        self.assertEqual("stop", run.outcome)

    def test_an_older_fence_is_refused_only_if_checked(self):
        checks, ignores = self.engine(checks_fence=True), self.engine()
        for engine in (checks, ignores):
            engine.order("2", fence=5)
        ignores.order("3", fence=4)
        with self.assertRaises(enginemodel.Rejected):
            checks.order("3", fence=4)

    def test_staged_blocks_are_readable_only_after_the_commit(self):
        engine = self.engine()
        name = engine.stage({"x": 1_000, "y": 1_000})
        self.assertEqual(0, engine.cache.prefix("xy"))
        self.assertEqual(["x"], engine.commit(name, ["x"]))
        self.assertEqual([], engine.commit(name, ["y"]))
        self.assertEqual(1, engine.cache.prefix("xy"))

    def test_blocks_pinned_for_an_import_are_not_evicted_by_it(self):
        engine = self.engine(cache_tokens=3_000)
        for key in "xqr":
            engine.cache.store(key, 1_000)
        pinned = engine.pin_prefix("xyz")
        name = engine.stage(dict.fromkeys("xyz", 1_000), pinned)
        self.assertEqual(["x", "y", "z"], engine.commit(name, "xyz"))
        self.assertEqual(3, engine.cache.prefix("xyz"))
        expired = engine.stage({"q": 1_000}, engine.pin_prefix("x"))
        self.timers.advance(enginemodel.STAGING_TIMEOUT_MS)
        self.assertEqual([], engine.commit(expired, ["q"]))
        self.assertEqual(0, engine.cache.blocks["x"].pins)

    def test_the_report_lags_and_can_freeze(self):
        engine = self.engine()
        engine.submit(run_request("a", answer_tokens=100))
        self.assertEqual(0, engine.state()["running"])
        self.timers.advance(501)
        self.assertEqual(1, engine.state()["running"])
        engine.frozen = True
        self.timers.advance(10_000)
        self.assertEqual(1, engine.state()["running"])


class EventsTest(unittest.TestCase):
    def test_events_come_late_with_gaps_and_repeats(self):
        timers = timers_module.VirtualTimers()
        faults = cacheevents.Faults(200.0, 0.3, 0.3)
        cache = kvcache.Cache(10**6, timers, faults, seed=3)
        for index in range(100):
            cache.store(str(index), 1)
        self.assertEqual(([], 0), cache.events.after(0))
        timers.advance(200)
        events, _ = cache.events.after(0)
        seqs = [event.seq for event in events]
        self.assertLess(len(set(seqs)), 100)
        self.assertGreater(len(seqs), len(set(seqs)))
