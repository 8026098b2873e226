"""Requests that wait for room at an engine, the most urgent ones first.

One timer looks for room while any request waits. It wakes those that fit, in order, and
each of them then chooses its target. Instances look at random moments, so that they
do not send to the same engine at once::

    queue.enter(request_state, waiter)
    await queue.wait(request_state, max_ms=100.0)
    queue.leave(request_state)
"""

import asyncio
import bisect
import contextlib
import itertools
import math
import operator
import random
import typing

from cornelreach.gateway import (
    catalogue,
    requeststate,
    roomestimate,
)
from cornelreach.util import timers

LOOK_MS = 10.0  # on average, between two looks for room
LOOK_SPREAD = 0.5
MAX_AHEAD = 4  # waiting requests that a new one is compared with


class Waiter:
    """A request that waits, and the engines that it may go to."""

    def __init__(
        self,
        demand: roomestimate.Demand,
        engine: catalogue.Engine,
        service: str,
        due_s: float,
    ) -> None:
        self.demand = demand
        self.engine = engine
        self.service = service
        self.key = (demand.rank, due_s, 0)
        self.target_names: tuple[str, ...] = ()
        self.woken: asyncio.Future[None] | None = None


LoadOf = typing.Callable[[str], roomestimate.Load]
# The engines of which an instance takes free places now, while so many requests wait.
Takes = typing.Callable[[dict[str, int], int], list[str]]
# The context tokens that found no room, by the engines that may be used and by rank.
Refused = dict[tuple[tuple[str, ...], int], int]


def add_demand(
    load: roomestimate.Load, demand: roomestimate.Demand
) -> roomestimate.Load:
    """Return the load of an engine with one more request."""
    return load._replace(
        requests=load.requests + 1,
        context_tokens=load.context_tokens + demand.context_tokens,
    )


class RoomQueue:
    """The waiting requests of one instance, by rank and then by when they are due."""

    def __init__(
        self,
        clock: timers.Timers,
        source: random.Random,
        load_of: LoadOf,
        takes: Takes = lambda free, waiting: list(free),
    ) -> None:
        self.clock = clock
        self.random = source
        self.load_of = load_of
        self.takes = takes
        self._waiters: dict[requeststate.RequestState, Waiter] = {}
        self._ordered: list[Waiter] = []
        self._numbers = itertools.count()
        self._timer: timers.Subscription | None = None

    def __len__(self) -> int:
        return len(self._ordered)

    def enter(self, request_state: requeststate.RequestState, waiter: Waiter) -> Waiter:
        """Add a request, unless it waits already; returns its place."""
        held = self._waiters.get(request_state)
        if held is not None:
            return held
        waiter.key = (*waiter.key[:2], next(self._numbers))
        self._waiters[request_state] = waiter
        bisect.insort(self._ordered, waiter, key=operator.attrgetter("key"))
        return waiter

    def holds(self, request_state: requeststate.RequestState) -> bool:
        """Return whether a request waits."""
        return request_state in self._waiters

    def leave(self, request_state: requeststate.RequestState) -> None:
        """Remove a request; idempotent."""
        waiter = self._waiters.pop(request_state, None)
        if waiter is not None:
            self._ordered.remove(waiter)

    async def wait(
        self, request_state: requeststate.RequestState, max_ms: float
    ) -> None:
        """Wait until there may be room for a request that has entered, or a time."""
        waiter = self._waiters[request_state]
        waiter.woken = asyncio.get_running_loop().create_future()
        self._schedule()
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max_ms / 1_000):
                    await waiter.woken
        finally:
            waiter.woken = None

    def tokens_ahead(self, waiter: Waiter) -> int:
        """Return the context tokens of requests that come before another one."""
        return sum(
            one.demand.context_tokens
            for one in self._ordered
            if one.key < waiter.key and one.service == waiter.service
        )

    def must_yield(
        self, waiter: Waiter, loads: typing.Mapping[str, roomestimate.Load]
    ) -> bool:
        """Return whether a request that comes first could use the room as well.

        One that needs more does not hold up one that fits beside it, nor does one that
        waits for something else meanwhile, as its turn or a connection.
        """
        loads = dict(loads)
        refused: Refused = {}
        for one in self._ordered[:MAX_AHEAD]:
            if one is waiter or one.key >= waiter.key:
                return False
            if (
                one.woken is not None
                and one.service == waiter.service
                and one.demand.context_tokens <= waiter.demand.context_tokens
                and self._take_room(one, loads, refused)
            ):
                return True
        return False

    def _schedule(self) -> None:
        if self._timer is None:
            spread = 1.0 + LOOK_SPREAD * (2.0 * self.random.random() - 1.0)
            self._timer = self.clock.after(LOOK_MS * spread, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.look()
        if any(one.woken is not None for one in self._ordered):
            self._schedule()

    def look(self) -> None:
        """Wake the requests for which there is room now, in order."""
        loads: dict[str, roomestimate.Load] = {}
        refused: Refused = {}
        for waiter in self._ordered:
            if waiter.woken is None or waiter.woken.done():
                continue
            if self._take_room(waiter, loads, refused):
                waiter.woken.set_result(None)

    def _take_room(
        self, waiter: Waiter, loads: dict[str, roomestimate.Load], refused: Refused
    ) -> bool:
        """Count a request at the first engine where it fits, if there is one."""
        names, demand = waiter.target_names, waiter.demand
        if demand.context_tokens >= refused.get((names, demand.rank), math.inf):
            return False
        free = {}
        for name in names:
            load = loads.get(name)
            if load is None:
                load = loads[name] = self.load_of(name)
            found = roomestimate.places(load, demand, waiter.engine)
            if found:
                free[name] = found
        for name in self.takes(free, len(self._ordered)):
            loads[name] = add_demand(loads[name], demand)
            return True
        refused[names, demand.rank] = demand.context_tokens
        return False
