"""The end of an instance's grace period, for the requests that it has taken.

A request that can't be answered before that end is not taken late in a stop, and one
that was taken gets an answer in time, which says whether it may have run::

    stops.begin(late_s, due_s)
    if stops.takes(request_state):
        response = await stops.answer_in_time(request_state, forward(request_state))
        if response is None:
            refuse()  # the instance ends now
"""

import asyncio
import typing

from cornelreach.gateway import requeststate
from cornelreach.http import messages

NEVER_S = float("inf")


class Stops:
    """The requests under way, and by when a stop needs their answers.

    Times are those of the event loop, in seconds: from ``late_s`` on a request is taken
    only if it is due by ``due_s``, when all others are answered.
    """

    def __init__(self) -> None:
        self.late_s = self.due_s = NEVER_S
        self.under_way: set[requeststate.RequestState] = set()
        self._timeouts: dict[requeststate.RequestState, asyncio.Timeout] = {}

    @property
    def has_begun(self) -> bool:
        """Return whether the instance is stopping."""
        return self.due_s < NEVER_S

    def begin(self, late_s: float, due_s: float) -> None:
        """Begin a stop."""
        self.late_s, self.due_s = late_s, due_s
        for request_state in self.under_way:
            self._bound(request_state)
        for timeout in self._timeouts.values():
            timeout.reschedule(due_s)

    def takes(self, request_state: requeststate.RequestState) -> bool:
        """Return whether a request is answered before a stop ends, if there is one."""
        is_late = asyncio.get_running_loop().time() >= self.late_s
        return not is_late or request_state.due_s <= self.due_s

    def add(self, request_state: requeststate.RequestState) -> None:
        """Add a request that is under way."""
        self.under_way.add(request_state)
        self._bound(request_state)

    def remove(self, request_state: requeststate.RequestState) -> None:
        """Remove a request that has ended."""
        self.under_way.discard(request_state)

    def _bound(self, request_state: requeststate.RequestState) -> None:
        request_state.due_s = min(request_state.due_s, self.due_s)

    async def answer_in_time(
        self,
        request_state: requeststate.RequestState,
        work: typing.Awaitable[messages.Response],
    ) -> messages.Response | None:
        """Return the response that some work gives, or None if a stop ends before."""
        try:
            due_s = self.due_s if self.has_begun else None
            async with asyncio.timeout_at(due_s) as timeout:
                self._timeouts[request_state] = timeout
                return await work
        except TimeoutError:
            if not timeout.expired():
                raise
            return None
        finally:
            del self._timeouts[request_state]
