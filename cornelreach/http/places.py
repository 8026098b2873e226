"""Places of accepted connections, for which new ones may wait a moment.

While a crowd connects again and again, there may be nothing to replace for some passes
of the event loop. New connections then wait in order, a few at a time::

    # take(connection, is_late) returns whether it has got a place
    places = Places(take)
    if not await places.wait_for(connection):
        close(connection)
"""

import asyncio
import collections
import typing

MAX_WAITING = 64
WAIT_S = 0.25
LATE_S = 0.1  # a connection that has waited for so long may take an idle one's place
CHECK_S = 0.01

Waiter = typing.TypeVar("Waiter")


class _Entry(typing.NamedTuple, typing.Generic[Waiter]):
    connection: Waiter
    since_s: float
    found: asyncio.Future[None]


class Places(typing.Generic[Waiter]):
    """Connections that wait for a place, the one that has waited longest first."""

    def __init__(self, take: typing.Callable[[Waiter, bool], bool]) -> None:
        self._take = take
        self._waiting: collections.deque[_Entry[Waiter]] = collections.deque()
        self._check: asyncio.TimerHandle | None = None

    async def wait_for(self, connection: Waiter) -> bool:
        """Return whether there is a place for a connection, at once or in time."""
        if not self._waiting and self._take(connection, False):
            return True
        if len(self._waiting) >= MAX_WAITING:
            return False
        loop = asyncio.get_running_loop()
        found = loop.create_future()
        entry = _Entry(connection, loop.time(), found)
        self._waiting.append(entry)
        self._give()
        try:
            await asyncio.wait((found,), timeout=WAIT_S)
        finally:
            if not found.done():
                self._waiting.remove(entry)
        return found.done()

    def _give(self) -> None:
        """Give the places that there are to those that wait."""
        if self._check is not None:
            self._check.cancel()
            self._check = None
        loop = asyncio.get_running_loop()
        while self._waiting:
            first = self._waiting[0]
            is_late = loop.time() - first.since_s >= LATE_S
            if not self._take(first.connection, is_late):
                break
            self._waiting.popleft().found.set_result(None)
        if self._waiting:
            self._check = loop.call_later(CHECK_S, self._give)
