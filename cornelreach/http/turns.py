"""Turns of the event loop for connections whose messages come in many pieces.

Parsing a message of many small pieces would occupy the event loop, while other
connections wait. So a reader gets a few pieces each time that data arrives, and waits
for its turn before it goes on; one reader at a time has a turn in each pass of the
loop, whatever the number of connections::

    pieces = turns.Pieces()
    while not complete:
        await pieces.next()
        event = parse()
        if event is needs_data:
            pieces.wait_for_data()
"""

import asyncio
import collections
import weakref

FREE_PIECES = 12  # each time that data arrives; most messages have fewer
TURN_PIECES = 32
PIECE_BYTES = 1_024


class Turns:
    """Lets one of the readers that wait go on in each pass of an event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = weakref.ref(loop)
        self._waiting: collections.deque[asyncio.Future[None]] = collections.deque()
        self._scheduled = False

    async def wait(self) -> None:
        """Wait for a turn."""
        turn = self._loop().create_future()
        self._waiting.append(turn)
        self._schedule()
        await turn

    def _schedule(self) -> None:
        if not self._scheduled and self._waiting:
            self._scheduled = True
            self._loop().call_soon(self._give)

    def _give(self) -> None:
        self._scheduled = False
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                break
        self._schedule()


_turns: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, Turns] = (
    weakref.WeakKeyDictionary()
)


def of_running_loop() -> Turns:
    """Return the turns that all readers on the running event loop share."""
    loop = asyncio.get_running_loop()
    found = _turns.get(loop)
    if found is None:
        found = _turns[loop] = Turns(loop)
    return found


class Pieces:
    """Counts the pieces that one reader has parsed since it last waited.

    Long ones count for several, as they may consist of many short events.
    """

    def __init__(self) -> None:
        self._left = FREE_PIECES

    async def next(self, length: int = 0) -> None:
        """Count a piece of some bytes; waits for a turn if there were many before."""
        if self._left <= 0:
            await of_running_loop().wait()
            self._left = TURN_PIECES
        self._left -= 1 + length // PIECE_BYTES

    def wait_for_data(self) -> None:
        """Begin anew, as the reader waits for data that hasn't arrived."""
        self._left = FREE_PIECES
