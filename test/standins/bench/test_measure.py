import unittest

from standins import load, measure, profiles
from standins.bench import baselines, figures, site as site_module


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

    def test_unavoidable_tokens_are_first_sightings_and_tails(self):
        calls = load.schedule(profiles.TARMAC_BLEU, 1, 300)
        pieces = {key for call in calls for key in call.keys}
        tails = sum(call.tail_tokens for call in calls)
        expected = len(pieces) * profiles.PIECE_TOKENS + tails
        self.assertEqual(expected, load.unavoidable_tokens(calls, 0))


class MeasureTest(unittest.TestCase):
    def setUp(self):
        self.experiment = measure.prepare(profiles.TIRNICA, 1, 90, 0.3, False)

    def test_a_run_repeats_and_the_bound_recomputes_least(self):
        least = measure.run(self.experiment, baselines.LeastLoad())
        again = measure.run(self.experiment, baselines.LeastLoad())
        bound = measure.run(self.experiment, baselines.Unlimited())
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


class FiguresTest(unittest.TestCase):
    def test_percentiles_are_of_the_nearest_rank(self):
        values = [float(value) for value in range(1, 101)]
        self.assertEqual(95.0, figures.percentile(values, 0.95))
        self.assertEqual(0.0, figures.percentile([], 0.95))
