"""What instances tell each other of the limits that targets name."""

import unittest

from cornelreach.gateway import (
    calls,
    datagrams,
    mirror as mirror_module,
    targetlimits,
)
from tools import hub_fleet as fleet_module

CONTACT_MS = 3_000  # the shortest of the bounds on the users' sheets


def reply(per_s, moved=False):
    """Return an answer that names a limit, or none."""
    return calls.Reply(200, "id", True, moved, moved, None, None, limit_per_s=per_s)


class Fleet(fleet_module.HubFleet):
    """Instances that follow limits."""

    def __init__(self, size, **options):
        super().__init__(size, **options)
        self.limits = {
            name: targetlimits.TargetLimits(one, self.mirror_of(one), self.clock)
            for name, one in self.instances.items()
        }

    def mirror_of(self, instance):
        """Return the records of an instance, with its own registry."""
        mirror = mirror_module.Mirror(instance.name, 5_000, True)
        mirror.registry = instance.registry
        return mirror

    def answer(self, name, per_s, is_request=True, moved=False):
        """Let a target answer an instance."""
        target = self.instances[name].registry.targets["t1"]
        self.limits[name].record_reply(target, reply(per_s, moved), is_request)

    def known(self):
        """Return the limits that the instances know."""
        return {
            self.instances[name].registry.state("t1").limit_per_s
            for name in self.live_instances()
        }


class Limits(unittest.TestCase):
    """Limits spread, change and end everywhere."""

    # Guards against instances that go on because no answer told them.
    def test_a_limit_and_its_end_are_known_everywhere(self):
        for size in (2, 7, 63, 120):
            fleet = Fleet(size)
            fleet.run(2_000)
            for per_s in (1.5, 0.25, None):
                fleet.answer("i1", per_s)
                fleet.run(CONTACT_MS / 2)
                self.assertEqual(fleet.known(), {per_s}, size)

    def test_lost_datagrams_do_not_keep_it_from_spreading(self):
        for size in (7, 63):
            fleet = Fleet(size)
            fleet.loss = 0.2
            fleet.run(2_000)
            fleet.answer("i1", 1.5)
            fleet.run(CONTACT_MS)
            self.assertEqual(fleet.known(), {1.5}, size)

    def test_the_newest_answer_holds_in_any_order(self):
        fleet = Fleet(3)
        fleet.run(2_000)
        old = datagrams.LimitReport("i2", {"t1": datagrams.NamedLimit(1, 4.0, 900)})
        fleet.answer("i1", 1.5)
        fleet.limits["i1"].handle_report(old)
        self.assertEqual(fleet.instances["i1"].registry.state("t1").limit_per_s, 1.5)

    def test_only_an_answer_to_a_request_of_that_target_ends_a_limit(self):
        fleet = Fleet(1)
        fleet.answer("i0", 1.5)
        fleet.run(1)
        fleet.answer("i0", None, is_request=False)
        fleet.answer("i0", None, moved=True)
        self.assertEqual(fleet.known(), {1.5})
        fleet.run(1)
        fleet.answer("i0", 2.5, is_request=False)
        self.assertEqual(fleet.known(), {2.5})

    def test_a_report_of_another_lifetime_is_ignored(self):
        fleet = Fleet(1)
        report = datagrams.LimitReport("i2", {"t1": datagrams.NamedLimit(9, 4.0, 0)})
        fleet.limits["i0"].handle_report(report)
        self.assertEqual(fleet.known(), {None})

    def test_instances_hear_for_as_long_as_a_limit_holds(self):
        fleet = Fleet(63)
        fleet.run(2_000)
        for _ in range(30):
            fleet.answer("i1", 1.5)
            fleet.run(1_000)
        now_ms = fleet.clock.now_ms()
        ages_ms = [
            now_ms - one.registry.state("t1").limit_ms
            for one in fleet.instances.values()
        ]
        self.assertLess(max(ages_ms), targetlimits.REFRESH_MS + 2_000)

    def test_reports_fit_into_datagrams(self):
        limit = datagrams.NamedLimit(1_764_849_600_000, 1.3, 12_345.678)
        rows = {f"i-{number:010x}{'x' * 12}": limit for number in range(45)}
        found = datagrams.limit_reports("edge-mahebourg-1", rows)
        self.assertEqual(sum(len(one.targets) for one in found), 45)
        for one in found:
            data = datagrams.encode(one)
            self.assertLessEqual(len(data), datagrams.MAX_BYTES)
            self.assertEqual(datagrams.decode(data), one)
