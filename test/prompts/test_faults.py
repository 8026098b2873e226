"""Tests of the actual policy under single faults and pairs of faults.

The faults affect engines, stores, links or a data centre. Each trial runs a short load
on one site in virtual time. Whatever fails, each call gets an answer or a refusal, no
cold engine gets more than its limit, and at most 5% of the calls are refused, as the
remaining stores and engines are used.
"""

import itertools
import unittest

from standins import cacheevents, load, profiles
from standins.bench import figures, policy, site

SECONDS = 18.0
FAULT_MS = 6_000.0
MEASURE_FROM_MS = 5_000.0
DEADLINE_MS = 6_000.0
RETURN_GAP_S = 10.0
CACHE_TOKENS = 20_000
RATE = 1.2


def engine_restarts(trial):
    """Restart an engine without notice."""
    trial.engines["reader-1"].turn_cold()


def store_restarts(trial):
    """Restart a store, which loses everything it held."""
    trial.stores["store-0"].restart()


def store_fills_up(trial):
    """Leave a store almost no free memory and no disk."""
    store = trial.stores["store-1"]
    used_bytes = store.used_bytes["memory"] + 1
    store.settings = store.settings._replace(memory_bytes=used_bytes, disk_bytes=0)


def links_slow_down(trial):
    """Reduce the rate of every store's link to a thirtieth."""
    for name in trial.stores:
        trial.links[name].bytes_per_s /= 30


def link_stalls(trial):
    """Block the link of an engine for 20 s."""
    trial.links["reader-0"].stall(20_000)


def events_are_lost(trial):
    """Deliver cache events late, with gaps and repeats."""
    faults = cacheevents.Faults(lag_ms=2_000, gap_share=0.3, repeat_share=0.3)
    for engine in trial.engines.values():
        engine.cache.events.faults = faults
    for store in trial.stores.values():
        store.events.faults = faults


def reports_freeze(trial):
    """Let an engine repeat its last load report."""
    trial.engines["reader-2"].frozen = True


def data_centre_leaves(trial):
    """Take a data centre out of service; the script of the trial does it."""


FAULTS = (
    engine_restarts,
    store_restarts,
    store_fills_up,
    links_slow_down,
    link_stalls,
    events_are_lost,
    reports_freeze,
    data_centre_leaves,
)


def run(faults, seed=1):
    """Run one trial, and return its site and figures."""
    profile = profiles.TIRNICA._replace(
        deadline_ms=DEADLINE_MS, gap_s=RETURN_GAP_S, cache_tokens=CACHE_TOKENS
    )
    calls = load.schedule(profile, seed, SECONDS, RATE)
    take_out_ms = FAULT_MS if data_centre_leaves in faults else None
    trial = site.Site(profile, calls, site.Script(out_at_ms=take_out_ms), seed)
    for fault in faults:
        trial.timers.after(FAULT_MS, lambda fault=fault: fault(trial))
    tested_policy = policy.Cornelreach()
    trial.run(tested_policy, SECONDS * 1_000, MEASURE_FROM_MS)
    return trial, figures.compute("trial", trial, MEASURE_FROM_MS, SECONDS * 1_000)


class FaultTest(unittest.TestCase):
    """Single faults, and all pairs of faults."""

    def check(self, faults):
        trial, trial_figures = run(faults)
        names = [fault.__name__ for fault in faults]
        over = [engine.worst_overload for engine in trial.engines.values()]
        self.assertLessEqual(max(over), 0, names)
        for record in trial.records:
            deadline_ms = record.call.at_ms + record.call.deadline_ms
            if deadline_ms + 1_000 < SECONDS * 1_000:
                self.assertTrue(record.outcome, (names, record.call.name))
        refused = sum(trial_figures.refusals.values())
        self.assertLessEqual(refused, 0.05 * len(trial.records), (names, trial_figures))

    def test_single_faults(self):
        for fault in FAULTS:
            with self.subTest(fault.__name__):
                self.check([fault])

    def test_pairs_of_faults(self):
        for faults in itertools.combinations(FAULTS, 2):
            with self.subTest([fault.__name__ for fault in faults]):
                self.check(faults)
