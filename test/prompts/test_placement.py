"""Tests of the choice of an engine."""

import unittest

from returns import result

from cornelreach.prompts import directory, links, pieces, placement, plans

RATE = 8_000
PIECE_MS = 125
NAMES = [f"engine-{number}" for number in range(4)]


def prompt(count, name="doc", question=""):
    """Return a prompt of whole pieces and perhaps a question of its own."""
    text = f"{name} " * (count * pieces.PIECE_CHARS)
    chat = [{"role": "user", "content": text[: count * pieces.PIECE_CHARS]}]
    if question:
        chat.append({"role": "user", "content": question})
    return pieces.split("a", "m", "1", chat)


class Case(unittest.TestCase):
    """A pool of four engines and a store, all empty."""

    def setUp(self):
        self.directory = directory.Directory()
        self.links = links.Links()
        for name in [*NAMES, "store"]:
            self.directory.listing(name, "b", 0, [])
            self.links.set_rate(name, 50_000_000)
        self.placer = placement.Placement(self.directory, self.links)
        self.runs = 0

    def hold(self, name, keys):
        self.directory.listing(name, "b", 1, keys)

    def choose(self, wanted, now_ms=0.0, queued=None, names=NAMES, **options):
        queued = queued or {}
        candidates = [
            placement.Candidate(name, RATE, queued.get(name, 0)) for name in names
        ]
        chosen = self.placer.choose(wanted, candidates, 1_000, now_ms, **options)
        return chosen.unwrap()

    def place(self, wanted, now_ms=0.0, **options):
        plan = self.choose(wanted, now_ms, **options)
        self.runs += 1
        self.placer.dispatched(f"run-{self.runs}", wanted, plan, now_ms)
        return plan


class Choice(Case):
    """One decision at a time."""

    def test_no_candidate_is_a_refusal_with_a_remedy(self):
        chosen = self.placer.choose(prompt(1), [], 1_000, 0)
        self.assertIsInstance(chosen, result.Failure)
        self.assertTrue(chosen.failure().retry_after_ms)

    def test_uses_what_an_engine_holds_in_place(self):
        wanted = prompt(8)
        self.hold("engine-2", wanted.keys[:7])
        plan = self.choose(wanted)
        self.assertEqual((plan.target, plan.action), ("engine-2", "in_place"))
        self.assertEqual(plan.cost.prefill_ms, PIECE_MS)
        self.assertEqual(len(plans.explain(plan)), 4)
        self.assertEqual(plans.explain(plan)[0]["target"], "engine-2")

    def test_brings_in_from_a_store_and_from_a_busy_engine(self):
        wanted = prompt(8)
        self.hold("store", wanted.keys)
        plan = self.choose(wanted)
        self.assertEqual((plan.action, plan.source), ("bring_in", "store"))
        self.assertEqual(plan.bring, wanted.keys)
        self.assertEqual(plan.bring_bytes, 8_000_000)
        self.assertEqual(plan.transfer_limit_ms, 8 * PIECE_MS)
        steps = plans.decode(plans.encode(plan))
        self.assertEqual((steps.source, steps.start, steps.end), ("store", 0, 8))
        self.assertEqual(plans.decode("not a plan"), plans.Steps())
        self.hold("engine-1", wanted.keys)
        plan = self.choose(wanted, queued={"engine-1": 40_000}, unusable={"store"})
        self.assertEqual((plan.action, plan.source), ("bring_in", "engine-1"))
        self.assertNotEqual(plan.target, "engine-1")

    def test_an_import_names_the_held_pieces_but_reads_only_the_others(self):
        wanted = prompt(8)
        self.hold("engine-1", wanted.keys[:3])
        self.hold("store", wanted.keys)
        plan = self.choose(wanted, names=NAMES[1:2])
        self.assertEqual((plan.bring, plan.bring_bytes), (wanted.keys, 5_000_000))
        self.assertEqual(plans.decode(plans.encode(plan))[1:3], (0, 8))
        self.hold("store", wanted.keys[2:])
        plan = self.choose(wanted, names=NAMES[1:2])
        self.assertEqual(plan.bring, wanted.keys[3:])

    def test_never_transfers_what_prefill_would_compute_sooner(self):
        wanted = prompt(8)
        self.hold("store", wanted.keys)
        self.links.set_rate("store", 4_000_000)
        plan = self.choose(wanted)
        self.assertEqual((plan.action, plan.source), ("recompute", ""))
        self.links.set_rate("store", 50_000_000)
        self.links.report_backlog("store", 100_000_000, 0)
        self.assertEqual(self.choose(wanted).action, "recompute")

    def test_a_stale_source_serves_in_place_but_gives_no_transfer(self):
        wanted = prompt(8)
        self.hold("engine-3", wanted.keys)
        self.directory.mark_stale("engine-3")
        self.assertEqual(self.choose(wanted).target, "engine-3")
        plan = self.choose(wanted, names=NAMES[:2])
        self.assertEqual(plan.action, "recompute")

    def test_equal_candidates_follow_the_rendezvous_order_of_the_root(self):
        chosen = {self.choose(prompt(2, f"doc {n}")).target for n in range(40)}
        self.assertEqual(chosen, set(NAMES))
        again = [self.choose(prompt(2, "same", str(n))).target for n in range(5)]
        self.assertEqual(len(set(again)), 1)


class InFlight(Case):
    """What was dispatched counts in the next choice."""

    def test_a_burst_spreads_before_any_report(self):
        plans = [self.place(prompt(4, f"doc {n}")) for n in range(40)]
        counts = [sum(plan.target == name for plan in plans) for name in NAMES]
        self.assertEqual(counts, [10] * 4)

    def test_a_second_prompt_on_a_document_waits_for_the_first(self):
        first = self.place(prompt(8, question="one " * 100))
        second = self.place(prompt(8, question="two " * 100))
        self.assertEqual(second.target, first.target)
        self.assertEqual(second.after, "run-1")
        self.assertLess(second.cost.prefill_ms, PIECE_MS)
        self.placer.first_token("run-1", 1_000)
        third = self.choose(prompt(8, question="three " * 100), 1_000)
        self.assertEqual((third.target, third.action), (first.target, "in_place"))
        self.assertEqual(third.after, "")

    def test_a_failed_run_takes_its_pieces_back(self):
        plan = self.place(prompt(8))
        self.placer.ended("run-1", 10)
        self.placer.ended("run-1", 10)
        self.assertEqual(self.choose(prompt(8), 20).cost.held, 0)
        self.assertEqual(self.placer.flights.wait_ms(plan.target, 20), 0)

    def test_transfers_in_flight_slow_the_next_and_a_stall_counts_as_prefill(self):
        self.hold("store", [*prompt(8, "x").keys, *prompt(8, "y").keys])
        first = self.place(prompt(8, "x"))
        second = self.choose(prompt(8, "y"))
        self.assertGreater(second.cost.transfer_ms, first.cost.transfer_ms * 1.9)
        self.placer.transferred("run-1", False, first.transfer_limit_ms)
        waits = self.placer.flights.wait_ms(first.target, first.transfer_limit_ms)
        self.assertGreater(waits, 8 * PIECE_MS * 0.6)

    def test_reports_count_only_beyond_own_work(self):
        self.place(prompt(8), names=NAMES[:1])
        runs = self.placer.flights
        self.assertEqual(runs.wait_ms(NAMES[0], 0, 1_000), 1_000)
        self.assertEqual(runs.wait_ms(NAMES[0], 0, 3_000), 3_000)
        self.placer.first_token("run-1", 1_000)
        self.assertLess(runs.wait_ms(NAMES[0], 1_000, 1_000), 600)

    def test_learns_a_slow_engine_and_forgets_a_lost_one(self):
        for _ in range(20):
            plan = self.place(prompt(4), names=NAMES[:1])
            self.placer.first_token(f"run-{self.runs}", 2_000)
            self.directory.record_boot(NAMES[0], str(self.runs))
        self.assertGreater(self.placer.flights.pace(NAMES[0]), 2)
        self.place(prompt(4), names=NAMES[:1])
        self.placer.target_lost(plan.target)
        self.assertEqual(len(self.placer.flights), 0)
