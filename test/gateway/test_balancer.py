"""Load balancing: by cached prompts, by load of all instances, avoiding outliers."""

import collections
import random
import unittest

from cornelreach.gateway import (
    balancer,
    calls,
    catalogue,
    datagrams,
    gossip,
    prefillrates,
    registry,
)
from cornelreach.util import timers
from test.gateway import test_registry

SERVICE = catalogue.Service("s", "/h", 100, 0.0, catalogue.Engine(48, 60_000, ("m",)))


def prompt_of(*parts, output=100):
    """Return the demand of a request with these prompt parts."""
    found = tuple(calls.Part(key, tokens) for key, tokens in parts)
    prompt = sum(part.tokens for part in found)
    call = calls.Call("id", None, None, "m", prompt, output, found, None)
    return balancer.prompt_request(call)


class Case(unittest.TestCase):
    """A balancer in front of four targets."""

    def setUp(self):
        self.clock = timers.VirtualTimers(start_ms=10_000)
        self.registry = registry.TargetRegistry()
        self.gossip = gossip.Gossip("me", "b", self.registry, self.clock)
        self.balancer = balancer.Balancer(
            self.registry, self.gossip, "lj", random.Random(3)
        )
        for number in range(4):
            self.registry.put(test_registry.target(f"e{number}"), 0, 0)
        self.targets = self.registry.usable("s", 0)

    def engine(self, wanted, kept=lambda part, salt: False):
        """Return the name of the engine that is chosen."""
        chosen, _ = self.balancer.choose_engine(
            self.targets, wanted, lambda _: "v1.", kept, SERVICE, lambda _: 0.0
        )
        return chosen.id

    def report_pace(self, target, pace):
        """Let a target report how long work takes there."""
        state = self.registry.state(target)
        state.load = calls.Load(2, 0, 8, pace)
        state.load_ms = self.clock.now_ms()

    def report(self, peer, number=1, **loads):
        """Apply a peer's load report."""
        report = datagrams.LoadReport(peer, "b", number, loads)
        self.gossip.apply_report(report)


class Engines(Case):
    """Selection among model engines."""

    def test_a_prompt_returns_to_the_engine_that_has_it_cached(self):
        prompt = prompt_of(("doc", 8_000), ("own", 500))
        first = self.engine(prompt)
        self.balancer.record_prompt(first, "v1.", prompt, 60_000)
        again = prompt_of(("doc", 8_000), ("other", 500))
        self.assertEqual(self.engine(again), first)

    def test_instances_agree_on_the_home_engine_of_a_prompt(self):
        prompt = prompt_of(("doc", 8_000), ("own", 500))
        other = balancer.Balancer(self.registry, self.gossip, "kr", random.Random(9))
        chosen, _ = other.choose_engine(
            self.targets,
            prompt,
            lambda _: "v1.",
            lambda part, salt: False,
            SERVICE,
            lambda _: 0.0,
        )
        self.assertEqual(self.engine(prompt), chosen.id)

    def test_the_load_sent_by_peers_counts(self):
        prompt = prompt_of(("doc", 8_000), ("own", 500))
        first = self.engine(prompt)
        self.report("peer", **{first: datagrams.TargetLoad(2, 18_000, 20_000)})
        self.assertNotEqual(self.engine(prompt), first)

    def test_a_stored_prompt_goes_to_a_less_loaded_engine(self):
        prompt = prompt_of(("doc", 8_000), ("own", 500))
        first = self.engine(prompt)
        self.balancer.record_prompt(first, "v1.", prompt, 60_000)
        self.report("peer", **{first: datagrams.TargetLoad(1, 4_000, 20_000)})
        kept = self.engine(prompt, kept=lambda part, salt: part.key == "doc")
        self.assertNotEqual(kept, first)

    def test_full_memory_is_avoided(self):
        prompt = prompt_of(("doc", 8_000), ("own", 500))
        first = self.engine(prompt)
        self.report("peer", **{first: datagrams.TargetLoad(6, 0, 58_000)})
        self.assertNotEqual(self.engine(prompt), first)

    def test_a_slow_engine_is_avoided(self):
        for _ in range(30):
            for number in range(4):
                slow = 6.0 if number == 0 else 1.0
                self.balancer.prefill_rates.record(f"e{number}", 9_000, 90 * slow)
        counts = collections.Counter(
            self.engine(prompt_of((f"d{number}", 5_000), ("x", 500)))
            for number in range(200)
        )
        self.assertEqual(counts["e0"], 0)

    def test_an_engine_that_fails_many_requests_is_avoided(self):
        prompt = prompt_of(("doc", 8_000), ("own", 500))
        first = self.engine(prompt)
        self.registry.record_outcome(first, False, 50)
        self.assertEqual(self.engine(prompt), first)
        for _ in range(4):
            self.registry.record_outcome(first, False, 50)
        self.assertNotEqual(self.engine(prompt), first)
        for _ in range(40):
            self.registry.record_outcome(first, True, 50)
        self.assertEqual(self.engine(prompt), first)

    def test_an_engine_that_a_peer_cannot_reach_is_avoided(self):
        prompt = prompt_of(("doc", 8_000), ("own", 500))
        first = self.engine(prompt)
        report = datagrams.LoadReport("peer", "b", 1, {}, suspected=(first,))
        self.gossip.apply_report(report)
        self.assertNotEqual(self.engine(prompt), first)

    # Guards against queueing at an engine on which work takes long at the moment, and
    # against avoiding it for a report that is no longer true.
    def test_the_pace_in_a_recent_report_multiplies_the_queue(self):
        prompt = prompt_of(("doc", 8_000), ("own", 500))
        first = self.engine(prompt)
        for number in range(4):
            self.registry.state(f"e{number}").prefill_tokens = 4_000
        self.assertEqual(self.engine(prompt), first)
        self.report_pace(first, 4.0)
        self.assertNotEqual(self.engine(prompt), first)
        self.clock.advance(registry.LOAD_DECAY_MS)
        self.assertEqual(self.engine(prompt), first)

    def test_the_cache_model_is_bounded_by_the_engines_memory(self):
        held = balancer.CachedParts(10_000)
        parts = [calls.Part(f"p{number}", 4_000) for number in range(4)]
        held.add("v1.", parts)
        kept = [held.holds("v1.", part) for part in parts]
        self.assertEqual(kept, [False, False, True, True])


class Bursts(Case):
    """Several instances send prompts at the same moment (a thundering herd)."""

    sequence = 0

    def largest_share(self, immediate):
        """Send bursts from eight instances; return the most loaded engine's share.

        ``immediate`` is whether each instance knows of the prompts sent before its own.
        """
        total = 0
        for burst in range(20):
            loads = collections.Counter()
            for number in range(8):
                view = dict(loads) if immediate else {}
                report = {
                    name: datagrams.TargetLoad(1, tokens, tokens)
                    for name, tokens in view.items()
                }
                self.sequence += 1
                self.report("peers", self.sequence, **report)
                prompt = prompt_of((f"d{burst}.{number}", 6_000), ("x", 1_000))
                loads[self.engine(prompt)] += 7_000
            total += max(loads.values())
        return total / 20 / (8 * 7_000)

    def test_immediate_reports_spread_a_burst(self):
        immediate, late = self.largest_share(True), self.largest_share(False)
        self.assertLessEqual(immediate, 0.26)
        self.assertGreater(late, immediate * 1.3)


class Plain(Case):
    """Selection among targets of plain services."""

    def counts(self):
        """Return how often each target is chosen in 200 selections."""
        return collections.Counter(
            self.balancer.choose_plain(self.targets, 10_000).id for _ in range(200)
        )

    def test_the_least_loaded_target_is_chosen(self):
        for number in range(3):
            self.registry.state(f"e{number}").in_flight = 4
        self.assertEqual(self.counts()["e3"], 200)

    # Guards against decisions that fail for absurd figures in a load report.
    def test_absurd_load_reports_fail_no_decision(self):
        for load in (calls.Load(10**18, 10**18, 0, 20.0), calls.Load(0, 0, 0, 0.1)):
            self.registry.state("e0").load = load
            self.registry.state("e0").load_ms = 10_000
            self.assertGreater(self.counts()["e3"], 20)
            self.engine(prompt_of(("doc", 8_000)))

    def test_a_target_that_fails_far_more_than_its_peers_is_avoided(self):
        for _ in range(40):
            for number in range(4):
                bad = number == 0 and self.balancer.random.random() < 0.5
                self.registry.record_outcome(f"e{number}", not bad, 20)
        self.assertLess(self.counts()["e0"], 10)

    def test_equal_failures_of_all_targets_exclude_none(self):
        for _ in range(40):
            for number in range(4):
                ok = self.balancer.random.random() > 0.14
                self.registry.record_outcome(f"e{number}", ok, 20)
        self.assertGreater(min(self.counts().values()), 20)

    def test_a_slow_target_is_avoided(self):
        for _ in range(40):
            for number in range(4):
                self.registry.record_outcome(
                    f"e{number}", True, 150 if number == 0 else 20
                )
        self.assertEqual(self.counts()["e0"], 0)


class PrefillRates(unittest.TestCase):
    """Estimates of the engines' prefill rates."""

    def test_short_prompts_are_ignored(self):
        prefill_rates = prefillrates.PrefillRates()
        prefill_rates.record("e", 500, 5_000)
        self.assertEqual(prefill_rates.slowdown("e"), 1.0)

    def test_the_expected_time_follows_the_median(self):
        prefill_rates = prefillrates.PrefillRates()
        for name, elapsed_ms in (("a", 100), ("b", 110), ("c", 900)):
            for _ in range(30):
                prefill_rates.record(name, 10_000, elapsed_ms)
        self.assertAlmostEqual(prefill_rates.expected_ms(10_000), 110, delta=1)
        self.assertGreater(prefill_rates.slowdown("c"), 7)
