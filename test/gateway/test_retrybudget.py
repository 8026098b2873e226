"""The retry budget of a fleet whose instances restart, join, leave and stand still.

A model in virtual time plays series of such events. All instances retry as often as
their budgets admit, and the fleet's retries are held against the rule: no more than
``retry_budget`` times the requests, plus ``retry_slack``, in any window.
"""

import unittest

import hypothesis
from hypothesis import stateful, strategies

from cornelreach.gateway import quotas

RATIO, SLACK, WINDOW_MS = 0.2, 54, 10_000
STEP_MS = 500
RESTART_MS = 1_000
LEARN_MS = 1_500  # until all know of an instance that joined or left
FLEET_SIZES = (1, 3, 8, 63, 300)
REQUESTS_PER_STEP = 40  # of the fleet
PARTS = strategies.sampled_from((0.1, 0.4, 0.9, 1.0))


class Instance:
    """One process under a name; it restarts, and stands still, until a time."""

    def __init__(self, name, now_ms):
        self.name = name
        self.back_ms = self.still_ms = now_ms
        self.budget = None
        self.waiting = 0

    def start(self, now_ms):
        """Begin anew: nothing of the former process is left."""
        self.budget = quotas.RetryBudget(RATIO, SLACK, WINDOW_MS, now_ms)


class FleetModel:
    """A fleet in virtual time, and what its instances sent."""

    def __init__(self, size):
        self.now_ms = 0.0
        self.count = 0
        self.instances = []
        self.known = []  # of the instances that all have learned of, with the time
        self.requests, self.retries = [], []
        for _ in range(size):
            self.join()
        self.known = [(0.0, tuple(one.name for one in self.instances))]
        self.pause(WINDOW_MS, retrying=False)

    def join(self):
        """Add an instance."""
        self.instances.append(Instance(f"i{self.count}", self.now_ms))
        self.instances[-1].start(self.now_ms)
        self.count += 1
        self._publish()

    def leave(self, count):
        """Remove the oldest instances, but one."""
        del self.instances[: min(count, len(self.instances) - 1)]
        self._publish()

    def _publish(self):
        names = tuple(one.name for one in self.instances)
        self.known.append((self.now_ms + LEARN_MS, names))

    def part(self, share):
        """Return a part of the instances."""
        return self.instances[: max(1, round(share * len(self.instances)))]

    def restart(self, share):
        """Kill a part of the instances, which start again."""
        for one in self.part(share):
            one.back_ms = self.now_ms + RESTART_MS
            one.budget = None

    def freeze(self, share, for_ms):
        """Let a part of the instances stand still; requests wait for them."""
        for one in self.part(share):
            one.still_ms = self.now_ms + for_ms

    def pause(self, for_ms, retrying=True):
        """Let time pass, with requests, and as many retries as are admitted."""
        end_ms = self.now_ms + for_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            self.step(retrying)

    def step(self, retrying):
        """Play one step of time."""
        names = next(names for at, names in reversed(self.known) if at <= self.now_ms)
        self.requests.append((self.now_ms, REQUESTS_PER_STEP))
        running = 0
        for number, one in enumerate(self.instances):
            if one.budget is None and one.back_ms <= self.now_ms:
                one.start(self.now_ms)
            # Dealt in turn, so that each instance gets its part in time.
            step = len(self.requests)
            size = len(self.instances)
            begin = (step * REQUESTS_PER_STEP + number) // size
            one.waiting += (
                step * REQUESTS_PER_STEP + REQUESTS_PER_STEP + number
            ) // size
            one.waiting -= begin
            if one.budget is None:
                one.waiting = 0  # lost with the process, or refused
                continue
            if one.still_ms > self.now_ms:
                continue
            running += self._serve(one, quotas.Fleet(one.name, names), retrying)
        if running:
            self.retries.append((self.now_ms, running))

    def _serve(self, one, fleet, retrying):
        for _ in range(one.waiting):
            one.budget.count_request(fleet, self.now_ms)
        one.waiting = retries = 0
        while retrying and self.admits(one, fleet):
            one.budget.count_retry(self.now_ms)
            retries += 1
        return retries

    def admits(self, one, fleet):
        """Return whether an instance may retry."""
        found = one.budget.admits_retry(fleet, self.now_ms)
        return found is quotas.Admission.ADMITTED

    def excess(self):
        """Return by how much retries exceed the rule in a window that ends now."""
        begin_ms = self.now_ms - WINDOW_MS
        retries = _sum(self.retries, begin_ms, self.now_ms)
        requests = max(
            _sum(self.requests, begin_ms - back_ms, self.now_ms - back_ms)
            for back_ms in (0, WINDOW_MS / 2, WINDOW_MS)
        )
        return retries - RATIO * requests - SLACK


def _sum(counts, begin_ms, end_ms):
    return sum(count for at_ms, count in counts if begin_ms < at_ms <= end_ms)


class Series(stateful.RuleBasedStateMachine):
    """Series of restarts, freezes, joins and leaves, beside clients that repeat."""

    @stateful.initialize(size=strategies.sampled_from(FLEET_SIZES))
    def start(self, size):
        self.model = FleetModel(size)

    @stateful.rule(share=PARTS)
    def restart(self, share):
        self.model.restart(share)

    @stateful.rule(share=PARTS, for_ms=strategies.sampled_from((500, 4_000, 11_000)))
    def freeze(self, share, for_ms):
        self.model.freeze(share, for_ms)

    @stateful.rule(count=strategies.integers(1, 5))
    def join(self, count):
        for _ in range(count):
            self.model.join()

    @stateful.rule(count=strategies.integers(1, 40))
    def leave(self, count):
        self.model.leave(count)

    @stateful.rule(
        for_ms=strategies.sampled_from((500, 1_500, 4_000, 9_500, 11_000)),
        retrying=strategies.booleans(),
    )
    def pause(self, for_ms, retrying):
        end_ms = self.model.now_ms + for_ms
        while self.model.now_ms < end_ms:
            self.model.pause(STEP_MS, retrying)
            assert self.model.excess() <= 0, self.model.excess()


SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=100,
    stateful_step_count=15,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class RetryBudget(unittest.TestCase):
    """Series of events, drawn and single ones, at each size."""

    # Guards against any series of events in which the fleet retries beyond the rule.
    def test_no_series_of_events_exceeds_the_rule(self):
        stateful.run_state_machine_as_test(Series, settings=SETTINGS)

    # Guards against a fleet that spends its slack once more after each restart.
    def test_restarts_in_one_window_spend_the_slack_once(self):
        for size in FLEET_SIZES:
            for gap_ms in (1_500, 4_000, 9_500):
                with self.subTest(size=size, gap_ms=gap_ms):
                    model = FleetModel(size)
                    for _ in range(4):
                        model.pause(gap_ms)
                        self.assertLessEqual(model.excess(), 0)
                        model.restart(0.9)
                    model.pause(gap_ms)
                    self.assertLessEqual(model.excess(), 0)

    # Guards against shares that grow while what has left still counts.
    def test_instances_that_leave_have_spent_their_share(self):
        model = FleetModel(8)
        model.pause(STEP_MS)
        model.leave(7)
        model.pause(LEARN_MS + STEP_MS)
        self.assertLessEqual(model.excess(), 0)

    # Guards against a budget that stays small after a restart.
    def test_what_is_unspent_is_used_once_a_window_has_passed(self):
        for size in FLEET_SIZES:
            with self.subTest(size=size):
                calm, restarted = FleetModel(size), FleetModel(size)
                restarted.restart(1.0)
                for model in (calm, restarted):
                    model.pause(WINDOW_MS + RESTART_MS + STEP_MS, retrying=False)
                    model.retries.clear()
                    model.pause(WINDOW_MS)
                counts = [sum(n for _, n in one.retries) for one in (restarted, calm)]
                self.assertAlmostEqual(counts[0], counts[1], delta=0.02 * counts[1] + 1)
                spent = _sum(calm.retries, 0, calm.now_ms)
                if size < 63:  # whole retries out of smaller shares don't add up
                    limit = RATIO * REQUESTS_PER_STEP * WINDOW_MS / STEP_MS + SLACK
                    self.assertGreater(spent, 0.7 * limit)

    def test_what_keeps_a_retry_back_is_told(self):
        fleet = quotas.Fleet("i0", ("i0",))
        budget = quotas.RetryBudget(0.0, 10, WINDOW_MS, 1_000)
        early = budget.admits_retry(fleet, WINDOW_MS)
        self.assertIs(early, quotas.Admission.AFTER_START)
        while budget.admits_retry(fleet, 12_000) is quotas.Admission.ADMITTED:
            budget.count_retry(12_000)
        self.assertIs(budget.admits_retry(fleet, 12_000), quotas.Admission.SPENT)
