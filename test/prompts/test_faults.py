"""Faults of targets, stores and links, alone and in pairs, under the real policy.

Each trial runs a short schedule of one fleet in virtual time. Whatever fails, each call
gets its answer or a refusal, no cold engine gets more than it bears, and what stores
and engines can still give is used.
"""

import itertools
import unittest

from standins import cacheevents, load, profiles
from standins.bench import figures, policy, site

SECONDS = 18.0
FAULT_MS = 6_000.0
FROM_MS = 5_000.0
DEADLINE_MS = 6_000.0
GAP_S = 10.0
CACHE_TOKENS = 20_000
RATE = 1.2


def engine_turns_cold(trial):
    """Restart an engine without warning."""
    trial.engines["reader-1"].turn_cold()


def store_dies(trial):
    """Lose everything that a store held."""
    trial.stores["store-0"].restart()


def store_fills_up(trial):
    """Leave a store no room."""
    store = trial.stores["store-1"]
    used_bytes = store.used_bytes["memory"] + 1
    store.settings = store.settings._replace(memory_bytes=used_bytes, disk_bytes=0)


def links_slow_down(trial):
    """Let every store's link have a thirtieth of its rate."""
    for name in trial.stores:
        trial.links[name].bytes_per_s /= 30


def link_stalls(trial):
    """Hold back what an engine sends and receives."""
    trial.links["reader-0"].stall(20_000)


def events_get_lost(trial):
    """Deliver cache events late, with gaps and repeats."""
    faults = cacheevents.Faults(lag_ms=2_000, gap_share=0.3, repeat_share=0.3)
    for engine in trial.engines.values():
        engine.cache.events.faults = faults
    for store in trial.stores.values():
        store.events.faults = faults


def reports_freeze(trial):
    """Let an engine repeat an old load report."""
    trial.engines["reader-2"].frozen = True


def data_centre_leaves(trial):
    """Take a data centre out; the script of the trial does it."""


FAULTS = (
    engine_turns_cold,
    store_dies,
    store_fills_up,
    links_slow_down,
    link_stalls,
    events_get_lost,
    reports_freeze,
    data_centre_leaves,
)


def run(faults, seed=1):
    """Run one trial and return its site and figures."""
    profile = profiles.TIRNICA._replace(
        deadline_ms=DEADLINE_MS, gap_s=GAP_S, cache_tokens=CACHE_TOKENS
    )
    calls = load.schedule(profile, seed, SECONDS, RATE)
    out_ms = FAULT_MS if data_centre_leaves in faults else None
    trial = site.Site(profile, calls, site.Script(out_at_ms=out_ms), seed)
    for fault in faults:
        trial.timers.after(FAULT_MS, lambda fault=fault: fault(trial))
    chosen = policy.Cornelreach()
    trial.run(chosen, SECONDS * 1_000, FROM_MS)
    return trial, figures.of("trial", trial, FROM_MS, SECONDS * 1_000)


class Faults(unittest.TestCase):
    """One fault and two faults at a time."""

    def check(self, faults):
        trial, found = run(faults)
        names = [fault.__name__ for fault in faults]
        over = [engine.worst_overload for engine in trial.engines.values()]
        self.assertLessEqual(max(over), 0, names)
        for record in trial.records:
            late_ms = record.call.at_ms + record.call.deadline_ms
            if late_ms + 1_000 < SECONDS * 1_000:
                self.assertTrue(record.outcome, (names, record.call.name))
        refused = sum(found.refusals.values())
        self.assertLessEqual(refused, 0.05 * len(trial.records), (names, found))

    def test_one_at_a_time(self):
        for fault in FAULTS:
            with self.subTest(fault.__name__):
                self.check([fault])

    def test_in_pairs(self):
        for faults in itertools.combinations(FAULTS, 2):
            with self.subTest([fault.__name__ for fault in faults]):
                self.check(faults)
