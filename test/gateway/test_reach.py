"""Whether an instance reaches any target."""

import unittest

from cornelreach.gateway import reach, registry
from cornelreach.util import timers


class Reaching(unittest.TestCase):
    """Two targets of two services."""

    def setUp(self):
        self.clock = timers.VirtualTimers()
        self.registry = registry.TargetRegistry()
        self.reach = reach.Reach(self.registry, self.clock)
        for name, service in (("e0", "s"), ("e1", "t")):
            self.put(name, service)

    def put(self, name, service, **changes):
        """Add a target."""
        target = registry.Target(name, service, "127.0.0.1:1", "lj", 8, False, {}, 1)
        self.registry.put(target._replace(**changes), 0, self.clock.now_ms())

    # Guards against callers being kept by an instance that does not know that it
    # reaches no target.
    def test_no_connection_to_any_target_means_that_the_instance_is_cut_off(self):
        self.assertFalse(self.reach.is_cut_off())
        self.registry.eject("e0", "no connection", 0, unreached=True)
        self.assertFalse(self.reach.is_cut_off())
        self.registry.eject("e1", "no answer in time", 0)
        self.assertFalse(self.reach.is_cut_off())
        self.registry.eject("e1", "no connection", 0, unreached=True)
        self.assertTrue(self.reach.is_cut_off())
        self.registry.restore("e0", 0, 100)
        self.assertFalse(self.reach.is_cut_off())

    # Guards against a target that drains hiding that none of the others is reached.
    def test_only_targets_in_service_count(self):
        self.registry.eject("e0", "no connection", 0, unreached=True)
        self.put("e1", "t", draining=True)
        self.assertTrue(self.reach.is_cut_off())
        self.put("e0", "s", draining=True)
        self.assertFalse(self.reach.is_cut_off())
