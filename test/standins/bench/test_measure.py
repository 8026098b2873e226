import unittest

from standins import load, measure, profiles
from standins.bench import (
    baselines,
    blocktransfers,
    figures,
    policy as policy_module,
    site as site_module,
)


class ScheduleTest(unittest.TestCase):
    def test_a_seed_gives_one_schedule(self):
        first, again, other = (
            load.schedule(profiles.TIRNICA, seed, 60) for seed in (1, 1, 2)
        )
        self.assertEqual(first, again)
        self.assertNotEqual(first, other)

    def test_the_rate_is_near_the_nominal_one(self):
        for profile in profiles.PROFILES.values():
            calls = load.schedule(profile, 1, 1_200)
            readers = sum(call.model == load.READER for call in calls)
            share = readers / 1_200 / profile.nominal_calls_per_s
            self.assertTrue(0.8 < share < 1.2, share)

    def test_unavoidable_tokens_are_new_pieces_and_tails(self):
        calls = load.schedule(profiles.TARMAC_BLEU, 1, 300)
        pieces = {key for call in calls for key in call.keys}
        tails = sum(call.tail_tokens for call in calls)
        expected = len(pieces) * profiles.PIECE_TOKENS + tails
        self.assertEqual(expected, load.unavoidable_tokens(calls, 0))


class MeasureTest(unittest.TestCase):
    def setUp(self):
        self.experiment = measure.prepare(profiles.TIRNICA, 1, 90, 0.3, False)

    def test_runs_are_repeatable_and_the_bound_recomputes_least(self):
        least = measure.run(self.experiment, baselines.LeastLoad())
        again = measure.run(self.experiment, baselines.LeastLoad())
        bound = measure.run(self.experiment, baselines.UnlimitedCache())
        self.assertEqual(least, again)
        self.assertLess(bound.computed_tokens, least.computed_tokens)
        self.assertEqual(least.offered, bound.offered)
        kinds = sum(least.refusals.values())
        self.assertEqual(least.offered, least.done + least.unfinished + kinds)

    def test_no_call_goes_to_a_data_centre_that_is_out(self):
        experiment = self.experiment
        site = site_module.Site(experiment.profile, experiment.calls, experiment.script)
        site.run(baselines.RoundRobin(), experiment.end_ms, experiment.from_ms)
        script = experiment.script
        sent = [
            site.data_centres[one.target]
            for one in site.records
            if one.target and script.out_at_ms <= one.call.at_ms < script.back_at_ms
        ]
        self.assertGreater(len(sent), 3)
        self.assertNotIn(site.outgoing, sent)


class PolicyTest(unittest.TestCase):
    def test_faults_cause_no_cold_overload_late_work_or_refusal(self):
        for profile in profiles.PROFILES.values():
            experiment = measure.prepare(profile, 2, 120, 0.5, False)
            site = site_module.Site(profile, experiment.calls, experiment.script)
            site.run(policy_module.Cornelreach(), experiment.end_ms, 0.0)
            measured = figures.compute("cornelreach", site, 0.0, experiment.end_ms)
            self.assertEqual(
                (0, 0, {}), (*_overload_and_late_work(measured), measured.refusals)
            )
            self.assertGreater(measured.done, 0.9 * measured.offered)


def _overload_and_late_work(measured):
    return measured.worst_cold_overload, measured.late_work


class BlockTransfersTest(unittest.TestCase):
    def setUp(self):
        self.site = site_module.Site(profiles.TIRNICA, [], site_module.Script())
        self.cache = self.site.engines["reader-0"].cache
        for key in "xyz":
            self.cache.store(key, profiles.PIECE_TOKENS)

    def import_blocks(self, change):
        reported = []
        blocktransfers.import_blocks(
            self.site, "reader-0", "reader-1", "xyzq", reported.append
        )
        self.site.timers.advance(10)
        change()
        self.site.timers.advance(1_000)
        return reported[0]

    def test_an_import_brings_the_leading_cached_pieces(self):
        self.assertEqual(["x", "y", "z"], self.import_blocks(lambda: None))
        self.assertEqual(3, self.site.engines["reader-1"].cache.prefix("xyz"))
        self.assertEqual(3_000_000, self.site.links["reader-1"].sent_bytes)

    def test_an_import_drops_a_block_that_was_rewritten_meanwhile(self):
        def rewrite():
            self.cache.remove("y")
            self.cache.store("y", profiles.PIECE_TOKENS)

        self.assertEqual(["x", "z"], self.import_blocks(rewrite))
        self.assertEqual(1, self.site.engines["reader-1"].cache.prefix("xyz"))

    def test_an_import_into_a_restarted_target_is_dropped(self):
        self.assertEqual(
            [], self.import_blocks(self.site.engines["reader-1"].turn_cold)
        )

    def test_an_export_is_readable_after_its_commit(self):
        reported = []
        blocktransfers.export_blocks(
            self.site, "reader-0", "store-0", "xy", reported.append
        )
        self.assertIsNone(self.site.stores["store-0"].read_ms("x"))
        self.site.timers.advance(1_000)
        self.assertEqual([["x", "y"]], reported)
        self.assertIsNotNone(self.site.stores["store-0"].read_ms("y"))


class FiguresTest(unittest.TestCase):
    def test_percentiles_are_of_the_nearest_rank(self):
        values = [float(value) for value in range(1, 101)]
        self.assertEqual(95.0, figures.percentile(values, 0.95))
        self.assertEqual(0.0, figures.percentile([], 0.95))
