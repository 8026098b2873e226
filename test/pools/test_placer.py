"""Placement of a call again after targets have failed it."""

import types
import unittest

from returns import result

from cornelreach.calls import interfaces
from cornelreach.pools import methods, placer
from cornelreach.settings import items
from cornelreach.targets import permits, refusals
from cornelreach.util import timers

POOLS = {"north/drafter": "a", "south/drafter": "b"}


class Site:
    """Two pools of one target each, of which some are in service."""

    def __init__(self):
        self.serving = set(POOLS)
        self.asked = []
        self.targets = {
            name: items.Target(name, "engine", pool.partition("/")[0], "h:1", "drafter")
            for pool, name in POOLS.items()
        }
        self.models, self.accounts = {}, {}

    def pools(self, serves):
        """Return the targets of each pool."""
        return {pool: [self.targets[name]] for pool, name in POOLS.items()}

    def in_service(self):
        """Return the data centres in service."""
        return frozenset(pool.partition("/")[0] for pool in self.serving)

    def is_reachable(self, data_centre):
        """Return whether a data centre is reached."""
        return True

    def owner(self, pool):
        """Return the owner of a pool."""
        return "a"

    def summary(self, pool):
        """Return what is known of a pool."""
        centre = pool.partition("/")[0]
        return types.SimpleNamespace(pool=pool, data_centre=centre, wait_ms=0.0)

    async def ask(self, sender, request):
        """Answer as the owner of a pool."""
        target = POOLS[request.pool]
        self.asked.append((target, request.excluded))
        if target in request.excluded:
            return methods.PermitReply(refusal=refusals.no_target())
        permit = permits.Permit("p", request.pool, 1, target, "boot", 1, 1, False)
        return methods.PermitReply(permit=permit)


class Again(unittest.IsolatedAsyncioTestCase):
    """Calls that one target has failed."""

    def setUp(self):
        self.site = Site()
        sender = types.SimpleNamespace(name="a", boot="b", data_centre="north")
        self.placer = placer.Placer(
            lambda: sender, timers.LoopTimers(), self.site, None, self.site, self.site
        )

    async def place(self, avoid, wait_ms=2_000):
        """Place a call; return the outcome."""
        request = interfaces.PlacementRequest(
            "x", "drafter", 0, None, 1, wait_ms, tuple(avoid)
        )
        return await self.placer.place(request)

    async def test_a_target_that_failed_the_call_is_avoided_while_there_is_another(
        self,
    ):
        placed = (await self.place("a")).unwrap()
        self.assertEqual(placed.target.name, "b")

    # Guards against a call that is refused though a target of its pool is usable: the
    # only other one was drained for new weights, or its owner had been killed.
    async def test_a_target_that_failed_the_call_is_tried_again_if_none_is_left(self):
        self.site.serving.remove("south/drafter")
        placed = (await self.place("a")).unwrap()
        self.assertEqual(placed.target.name, "a")
        self.assertEqual(self.site.asked[0], ("a", ("a",)))

    async def test_a_call_without_time_is_refused(self):
        self.site.serving.clear()
        outcome = await self.place("", wait_ms=100)
        self.assertIsInstance(outcome, result.Failure)
