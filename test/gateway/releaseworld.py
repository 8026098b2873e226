"""A seeded simulation of the responses of two versions, without a network.

Instances send requests by their ``releaseexposure.Exposure``; a collector judges
the summed counts every 200 ms, and its phase applies at all instances 150 ms later.
"""

import heapq
import itertools
import random

from cornelreach.gateway import registry, releaseanalysis, releaseexposure

DURATION_MS = 12_000.0
START_MS = 300.0  # when the new targets appear
REPORT_MS = 200.0
LAG_MS = 150.0
RESPONSE_MS = 200.0
EXPOSURE_SHARE, EXPOSURE_SLACK = 0.1, 50
GOAL_MS = 3_000.0  # from the 50th bad response to the last request
ROUTES = {"/chat/": 0.5, "/run/": 0.25, "/once/": 0.15, "/rare/": 0.1}
Phase = releaseanalysis.Phase


def good(source, route, age_ms, load):
    """Return whether a response fails, and how many times it takes as long as usual."""
    return False, 1.0


def bad(share=0.0, times=1.0, since_ms=0.0, load=0.0, route=None, slow_share=1.0):
    """Return a version that is bad from an age and a load on, or on one route."""

    def respond(source, at_route, age_ms, at_load):
        if age_ms < since_ms or at_load < load or route not in (None, at_route):
            return False, 1.0
        is_slow = source.random() < slow_share
        return source.random() < share, times if is_slow else 1.0

    return respond


class World:
    """One order and what became of it."""

    def __init__(
        self,
        seed,
        new,
        old=good,
        per_s=120,
        targets=6,
        instances=5,
        silent=0,
        cold_ms=0,
        routes=ROUTES,
    ):
        self.random = random.Random(seed)
        self.versions = {False: old, True: new}
        self.per_s, self.cold_ms, self.silent = per_s, cold_ms, silent
        self.routes = routes
        self.targets = [
            registry.Target(f"new-{n}", "s", "", "", 8, False, {}, 1)
            for n in range(targets)
        ]
        self.order = releaseanalysis.Order("s", "v2", "1", DURATION_MS)
        self.analysis = releaseanalysis.Analysis(self.order)
        self.handover = releaseanalysis.Handover(self.order)
        self.exposures, self.recorders = [], []
        for _ in range(instances):
            exposure = releaseexposure.Exposure(self.order, EXPOSURE_SHARE)
            exposure.target_count = targets
            self.exposures.append(exposure)
            self.recorders.append(releaseanalysis.Recorder())
        self.phase, self.judgement = Phase.OBSERVING, None
        self.requests, self.old_in_flight, self.in_flight = 0, 0, {}
        self.sent_ms, self.bad_ms, self.ended_ms = [], [], None
        self._events, self._numbers = [], itertools.count()

    def _at(self, at_ms, action):
        heapq.heappush(self._events, (at_ms, next(self._numbers), action))

    def run(self):
        """Play the order until its deadline."""
        self._at(0.0, self._send)
        self._at(REPORT_MS, self._judge)
        while self._events and self._events[0][0] < DURATION_MS:
            now_ms, _, action = heapq.heappop(self._events)
            action(now_ms)
        return self

    def _send(self, now_ms):
        self._at(now_ms + self.random.expovariate(self.per_s) * 1_000, self._send)
        source = self.random
        route = source.choices(list(self.routes), self.routes.values())[0]
        number = source.randrange(len(self.exposures))
        exposure, is_new = self.exposures[number], False
        if now_ms >= START_MS:
            kind = route == "/once/", len(self.routes) == 1, False
            lane = exposure.lane(
                now_ms, now_ms, self.phase, True, *kind, source.random()
            )
            is_new = lane is releaseexposure.Lane.NEW
        self.requests += 1
        targets = self.targets
        if self.phase == Phase.OBSERVING:
            targets = exposure.canary_targets(now_ms, targets, lambda one: False)
        target = source.choice(targets).id
        usual = self.per_s * RESPONSE_MS / 1_000 / len(self.targets)
        load = self.in_flight.get(target, 0) / usual if is_new else 1.0
        age_ms = now_ms - START_MS
        failed, times = self.versions[is_new](source, route, age_ms, load)
        is_cold = is_new and age_ms < self.cold_ms
        took_ms = RESPONSE_MS * times * source.lognormvariate(0.0, 0.35)
        took_ms *= 6.0 if is_cold else 1.0
        ratio = None if failed or is_cold else took_ms / releaseanalysis.PLAIN_UNIT_MS
        if is_new:
            self.sent_ms.append(now_ms)
            self.in_flight[target] = self.in_flight.get(target, 0) + 1
        self.old_in_flight += not is_new

        def end(end_ms):
            self.recorders[number].add(route, is_new, failed, ratio)
            if is_new:
                self.in_flight[target] -= 1
                if failed or times > 1.0:
                    self.bad_ms.append(end_ms)
            self.old_in_flight -= not is_new

        self._at(now_ms + took_ms, end)

    def _judge(self, now_ms):
        reports = self.recorders[self.silent :]
        counts = releaseanalysis.add_counts(one.counts() for one in reports)
        self._at(now_ms + LAG_MS, lambda at_ms: self._apply(at_ms, counts))
        self._at(now_ms + REPORT_MS, self._judge)

    def _apply(self, now_ms, counts):
        self.analysis.observe(now_ms, counts)
        self.judgement = found = self.analysis.judge(now_ms)
        is_shifted = self.phase == found.phase == Phase.SHIFTING
        if is_shifted and self.handover.is_complete(
            now_ms, now_ms, True, self.old_in_flight, found.is_suspect
        ):
            self.analysis.adopt(Phase.SUCCEEDED)
        elif found.phase == Phase.REVERTING:
            self.analysis.adopt(Phase.REVERTED)
        if self.analysis.phase >= Phase.SUCCEEDED and self.ended_ms is None:
            self.ended_ms = now_ms
        self._at(now_ms + LAG_MS, self._set_phase)

    def _set_phase(self, now_ms):
        self.phase = self.analysis.phase

    def excess(self):
        """Return by how many requests the new version exceeds its bound."""
        bound = EXPOSURE_SHARE * self.requests + EXPOSURE_SLACK
        return len(self.sent_ms) - bound

    def late_ms(self):
        """Return how long after the 50th bad response the last request was sent."""
        return self.sent_ms[-1] - self.bad_ms[49] if len(self.bad_ms) > 49 else 0.0
