"""Places of accepted connections, for which new ones may wait a moment.

While a crowd connects again and again, there may be nothing to replace for some passes
of the event loop. New connections then wait in order, a few at a time::

    places = Places(take)  # take(connection) returns whether it has got a place
    if not await places.wait_for(connection):
        close(connection)
"""

import asyncio
import collections
import typing

MAX_WAITING = 64
WAIT_S = 0.25
CHECK_S = 0.01

Waiter = typing.TypeVar("Waiter")


class Places(typing.Generic[Waiter]):
    """Connections that wait for a place, the one that has waited longest first."""

    def __init__(self, take: typing.Callable[[Waiter], bool]) -> None:
        self._take = take
        self._waiting: collections.deque[tuple[Waiter, asyncio.Future[None]]] = (
            collections.deque()
        )
        self._check: asyncio.TimerHandle | None = None

    async def wait_for(self, connection: Waiter) -> bool:
        """Return whether there is a place for a connection, at once or in time."""
        if not self._waiting and self._take(connection):
            return True
        if len(self._waiting) >= MAX_WAITING:
            return False
        found = asyncio.get_running_loop().create_future()
        entry = connection, found
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
        while self._waiting and self._take(self._waiting[0][0]):
            _, found = self._waiting.popleft()
            found.set_result(None)
        if self._waiting:
            loop = asyncio.get_running_loop()
            self._check = loop.call_later(CHECK_S, self._give)
