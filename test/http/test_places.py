"""Tests of connections that wait for a place."""

import asyncio
import unittest
from unittest import mock

from cornelreach.http import places


class Places(unittest.IsolatedAsyncioTestCase):
    """Places that are given by hand."""

    async def asyncSetUp(self):
        self.free, self.kept, self.taken = 0, False, []
        self.places = places.Places(self.take)

    def take(self, name, is_late):
        """Take a place, if one is free, or one that is kept for those who are late."""
        if not self.free and not (self.kept and is_late):
            return False
        self.free -= min(self.free, 1)
        self.taken.append(name)
        return True

    def start(self, count):
        """Let connections wait."""
        waits = (self.places.wait_for(name) for name in range(count))
        return [asyncio.ensure_future(one) for one in waits]

    # Guards against a caller that is turned away because nothing can be replaced just
    # as it connects.
    async def test_those_that_wait_get_places_in_order(self):
        waiting = self.start(3)
        await asyncio.sleep(0)
        self.free = 2
        self.assertEqual([await one for one in waiting[:2]], [True, True])
        self.assertEqual(self.taken, [0, 1])
        self.free = 1
        self.assertTrue(await waiting[2])

    # Guards against connections that come later and take the places of those that wait.
    async def test_a_new_one_waits_behind_the_others(self):
        first = self.start(1)[0]
        await asyncio.sleep(0)
        self.free = 1
        self.assertFalse(await self.places.wait_for("second"))
        self.assertEqual((await first, self.taken), (True, [0]))

    # Guards against idle connections closed for a crowd that is replaced in a moment.
    async def test_who_has_waited_may_take_more_than_who_has_just_come(self):
        self.kept = True
        with mock.patch.object(places, "LATE_S", 0):
            self.assertTrue(await self.places.wait_for("late"))
        with mock.patch.object(places, "LATE_S", 2 * places.WAIT_S):
            self.assertFalse(await self.places.wait_for("early"))

    # Guards against connections that wait without end, or without number.
    async def test_waiting_is_bounded(self):
        waiting = self.start(places.MAX_WAITING + 1)
        self.assertFalse(await waiting[-1])
        self.assertFalse(any(one.done() for one in waiting[:-1]))
        self.assertEqual({await one for one in waiting}, {False})

    # Guards against a place that is given to a connection that has gone.
    async def test_one_that_is_cancelled_takes_no_place(self):
        first, second = self.start(2)
        await asyncio.sleep(0)
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        self.free = 1
        self.assertTrue(await second)
        self.assertEqual(self.taken, [1])
