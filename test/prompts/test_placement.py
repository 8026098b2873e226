"""Tests of the choice of an engine for a prompt."""

import unittest

from returns import result

from cornelreach.prompts import directory, links, pieces, placement, plans

RATE = 8_000
PIECE_MS = 125
NAMES = [f"engine-{number}" for number in range(4)]


def prompt(count, name="doc", question=""):
    """Return a prompt of full pieces, optionally followed by a question."""
    text = f"{name} " * (count * pieces.PIECE_CHARS)
    chat = [{"role": "user", "content": text[: count * pieces.PIECE_CHARS]}]
    if question:
        chat.append({"role": "user", "content": question})
    return pieces.split("a", "m", "1", chat)


class PlacementTestCase(unittest.TestCase):
    """A pool of four engines and a store, all of them empty."""

    def setUp(self):
        self.directory = directory.Directory()
        self.links = links.Links()
        for name in [*NAMES, "store"]:
            self.directory.apply_listing(name, "b", 0, [])
            self.links.set_rate(name, 50_000_000)
        self.placer = placement.Placement(self.directory, self.links)
        self.runs = 0

    def hold(self, name, keys):
        self.directory.apply_listing(name, "b", 1, keys)

    def choose(self, prompt_pieces, now_ms=0.0, queued=None, names=NAMES, **options):
        queued = queued or {}
        candidates = [
            placement.Candidate(name, RATE, queued.get(name, 0)) for name in names
        ]
        chosen = self.placer.choose(prompt_pieces, candidates, 1_000, now_ms, **options)
        return chosen.unwrap()

    def place(self, prompt_pieces, now_ms=0.0, **options):
        plan = self.choose(prompt_pieces, now_ms, **options)
        self.runs += 1
        self.placer.record_dispatch(f"run-{self.runs}", prompt_pieces, plan, now_ms)
        return plan


class ChoiceTest(PlacementTestCase):
    """Single decisions, with nothing in flight."""

    def test_no_candidate_gives_a_refusal_with_a_retry_time(self):
        chosen = self.placer.choose(prompt(1), [], 1_000, 0)
        self.assertIsInstance(chosen, result.Failure)
        self.assertTrue(chosen.failure().retry_after_ms)

    def test_prefers_the_engine_that_holds_the_prompt(self):
        prompt_pieces = prompt(8)
        self.hold("engine-2", prompt_pieces.keys[:7])
        plan = self.choose(prompt_pieces)
        self.assertEqual((plan.target, plan.action), ("engine-2", "in_place"))
        self.assertEqual(plan.cost.prefill_ms, PIECE_MS)
        self.assertEqual(len(plans.explain(plan)), 4)
        self.assertEqual(plans.explain(plan)[0]["target"], "engine-2")

    def test_imports_from_a_store_or_a_busy_engine(self):
        prompt_pieces = prompt(8)
        self.hold("store", prompt_pieces.keys)
        plan = self.choose(prompt_pieces)
        self.assertEqual((plan.action, plan.source), ("bring_in", "store"))
        self.assertEqual(plan.bring, prompt_pieces.keys)
        self.assertEqual(plan.bring_bytes, 8_000_000)
        self.assertEqual(plan.transfer_limit_ms, 8 * PIECE_MS)
        steps = plans.decode(plans.encode(plan))
        self.assertEqual((steps.source, steps.start, steps.end), ("store", 0, 8))
        self.assertEqual(plans.decode("not a plan"), plans.Steps())
        self.hold("engine-1", prompt_pieces.keys)
        plan = self.choose(
            prompt_pieces, queued={"engine-1": 40_000}, unreachable={"store"}
        )
        self.assertEqual((plan.action, plan.source), ("bring_in", "engine-1"))
        self.assertNotEqual(plan.target, "engine-1")

    def test_import_names_held_pieces_but_transfers_only_the_others(self):
        prompt_pieces = prompt(8)
        self.hold("engine-1", prompt_pieces.keys[:3])
        self.hold("store", prompt_pieces.keys)
        plan = self.choose(prompt_pieces, names=NAMES[1:2])
        self.assertEqual(
            (plan.bring, plan.bring_bytes), (prompt_pieces.keys, 5_000_000)
        )
        self.assertEqual(plans.decode(plans.encode(plan))[1:3], (0, 8))
        self.hold("store", prompt_pieces.keys[2:])
        plan = self.choose(prompt_pieces, names=NAMES[1:2])
        self.assertEqual(plan.bring, prompt_pieces.keys[3:])

    def test_recomputes_if_prefill_is_faster_than_a_transfer(self):
        prompt_pieces = prompt(8)
        self.hold("store", prompt_pieces.keys)
        self.links.set_rate("store", 4_000_000)
        plan = self.choose(prompt_pieces)
        self.assertEqual((plan.action, plan.source), ("recompute", ""))
        self.links.set_rate("store", 50_000_000)
        self.links.report_backlog("store", 100_000_000, 0)
        self.assertEqual(self.choose(prompt_pieces).action, "recompute")

    def test_stale_engine_is_used_in_place_but_not_as_a_source(self):
        prompt_pieces = prompt(8)
        self.hold("engine-3", prompt_pieces.keys)
        self.directory.mark_stale("engine-3")
        self.assertEqual(self.choose(prompt_pieces).target, "engine-3")
        plan = self.choose(prompt_pieces, names=NAMES[:2])
        self.assertEqual(plan.action, "recompute")

    def test_equal_candidates_are_ordered_by_rendezvous_hash(self):
        chosen = {self.choose(prompt(2, f"doc {n}")).target for n in range(40)}
        self.assertEqual(chosen, set(NAMES))
        again = [self.choose(prompt(2, "same", str(n))).target for n in range(5)]
        self.assertEqual(len(set(again)), 1)


class InFlightTest(PlacementTestCase):
    """Dispatched runs and transfers count in later choices."""

    def test_burst_spreads_evenly_before_any_load_report(self):
        plans = [self.place(prompt(4, f"doc {n}")) for n in range(40)]
        counts = [sum(plan.target == name for plan in plans) for name in NAMES]
        self.assertEqual(counts, [10] * 4)

    def test_second_prompt_on_a_document_waits_for_the_first(self):
        first = self.place(prompt(8, question="one " * 100))
        second = self.place(prompt(8, question="two " * 100))
        self.assertEqual(second.target, first.target)
        self.assertEqual(second.after, "run-1")
        self.assertLess(second.cost.prefill_ms, PIECE_MS)
        self.placer.record_first_token("run-1", 1_000)
        third = self.choose(prompt(8, question="three " * 100), 1_000)
        self.assertEqual((third.target, third.action), (first.target, "in_place"))
        self.assertEqual(third.after, "")

    def test_failed_run_retracts_its_assumed_pieces(self):
        plan = self.place(prompt(8))
        self.placer.record_run_end("run-1", 10)
        self.placer.record_run_end("run-1", 10)
        self.assertEqual(self.choose(prompt(8), 20).cost.held, 0)
        self.assertEqual(self.placer.in_flight.wait_ms(plan.target, 20), 0)

    def test_running_transfer_delays_the_next_and_a_failed_one_adds_prefill(self):
        self.hold("store", [*prompt(8, "x").keys, *prompt(8, "y").keys])
        first = self.place(prompt(8, "x"))
        second = self.choose(prompt(8, "y"))
        self.assertGreater(second.cost.transfer_ms, first.cost.transfer_ms * 1.9)
        self.placer.record_transfer_end("run-1", False, first.transfer_limit_ms)
        waits = self.placer.in_flight.wait_ms(first.target, first.transfer_limit_ms)
        self.assertGreater(waits, 8 * PIECE_MS * 0.6)

    def test_load_reports_count_only_beyond_own_runs(self):
        self.place(prompt(8), names=NAMES[:1])
        runs = self.placer.in_flight
        self.assertEqual(runs.wait_ms(NAMES[0], 0, 1_000), 1_000)
        self.assertEqual(runs.wait_ms(NAMES[0], 0, 3_000), 3_000)
        self.placer.record_first_token("run-1", 1_000)
        self.assertLess(runs.wait_ms(NAMES[0], 1_000, 1_000), 600)

    def test_measures_a_slow_engine_and_drops_runs_of_a_lost_one(self):
        for _ in range(20):
            plan = self.place(prompt(4), names=NAMES[:1])
            self.placer.record_first_token(f"run-{self.runs}", 2_000)
            self.directory.record_boot(NAMES[0], str(self.runs))
        self.assertGreater(self.placer.in_flight.slowdown(NAMES[0]), 2)
        self.place(prompt(4), names=NAMES[:1])
        self.placer.forget_target(plan.target)
        self.assertEqual(len(self.placer.in_flight), 0)
