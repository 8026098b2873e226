"""State machine of one verified transfer of blocks: events in, commands out.

The source reports the generation and checksum of each block, the destination stages
the blocks, and the source is queried again. Only a block that is unchanged at the
source and arrived with its checksum is committed; all others are dropped. A block that
was freed, rewritten or only partly written at any time during the transfer therefore
never becomes readable at the destination::

    transfer = transfers.Transfer(keys)
    transfer.start()                                  # [QueryStats(keys)]
    transfer.handle(transfers.StatsReceived(stats))   # [Stage(blocks)]
    transfer.handle(transfers.Staged("import-1", {...}))    # [QueryStats(keys)]
    transfer.handle(transfers.StatsReceived(stats))   # [Commit("import-1", keys)]
    transfer.handle(transfers.Committed(keys))        # []
    transfer.outcome                                  # Outcome("done", keys)

A failure or the time limit ends a transfer that has not begun to commit; the run then
computes its prompt itself. A prompt can only use its leading blocks, so those after the
first failed one are dropped too.
"""

import enum
import functools
import typing


class BlockStat(typing.NamedTuple):
    """A source's report on one block; ``boot`` is the source's boot identity."""

    key: str
    generation: int
    checksum: str
    committed: bool
    boot: str


class QueryStats(typing.NamedTuple):
    """Command: query the state of blocks at the source."""

    keys: tuple[str, ...]


class Stage(typing.NamedTuple):
    """Command: copy blocks to the destination without making them readable there."""

    blocks: tuple[BlockStat, ...]


class Commit(typing.NamedTuple):
    """Command: make staged blocks readable, and drop the others of the import.

    With empty ``keys`` all of them are dropped. ``staging`` is the id of the import.
    """

    staging: str
    keys: tuple[str, ...]


Command = QueryStats | Stage | Commit


class StatsReceived(typing.NamedTuple):
    """Event: the source has reported its blocks; it omits those that it lacks."""

    stats: tuple[BlockStat, ...]


class Staged(typing.NamedTuple):
    """Event: the destination has staged blocks; ``checksums`` are those it received."""

    staging: str
    checksums: dict[str, str]


class Committed(typing.NamedTuple):
    """Event: the destination has made these blocks readable."""

    keys: tuple[str, ...]


class Failed(typing.NamedTuple):
    """Event: a call failed, or its response was lost."""

    reason: str


class TimedOut(typing.NamedTuple):
    """Event: the time limit has passed."""


Event = StatsReceived | Staged | Committed | Failed | TimedOut


class State(enum.StrEnum):
    """The phase of a transfer."""

    ASKING = "asking"
    STAGING = "staging"
    VERIFYING = "proving"
    COMMITTING = "committing"
    ENDED = "ended"


class Ending(enum.StrEnum):
    """How a transfer ended; ``UNKNOWN`` if the response to its commit was lost."""

    DONE = "done"
    NOTHING_HELD = "nothing_held"
    CHANGED = "changed"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    UNKNOWN = "unknown"


class Outcome(typing.NamedTuple):
    """The ending, and the blocks that are known to be readable at the destination."""

    ending: Ending
    keys: tuple[str, ...] = ()


class Transfer:
    """One transfer; ``outcome`` is None until it has ended."""

    def __init__(self, keys: typing.Sequence[str]) -> None:
        self.keys = tuple(keys)
        self.state = State.ASKING
        self.outcome: Outcome | None = None
        self._stats_before: dict[str, BlockStat] = {}
        self._staged: Staged | None = None
        self._verified: tuple[str, ...] = ()

    def start(self) -> list[Command]:
        """Return the first command."""
        return [QueryStats(self.keys)]

    @functools.singledispatchmethod
    def handle(self, event: Event) -> list[Command]:
        """Process an event and return the next commands; late events are allowed."""
        raise TypeError(f"unknown event {event!r}; see transfers.Event")

    @handle.register
    def _(self, event: StatsReceived) -> list[Command]:
        if self.state is State.ASKING:
            return self._start_staging(event)
        if self.state is State.VERIFYING:
            return self._verify(event)
        return []

    @handle.register
    def _(self, event: Staged) -> list[Command]:
        if self.state is not State.STAGING:
            return [Commit(event.staging, ())]
        self._staged = event
        self.state = State.VERIFYING
        return [QueryStats(tuple(self._stats_before))]

    @handle.register
    def _(self, event: Committed) -> list[Command]:
        if self.state is State.COMMITTING:
            readable = tuple(key for key in self._verified if key in event.keys)
            self._end(Ending.DONE, readable)
        return []

    @handle.register
    def _(self, event: Failed) -> list[Command]:
        return self._abort(Ending.FAILED)

    @handle.register
    def _(self, event: TimedOut) -> list[Command]:
        return self._abort(Ending.TIMED_OUT)

    def _start_staging(self, event: StatsReceived) -> list[Command]:
        stats = {stat.key: stat for stat in event.stats if stat.committed}
        self._stats_before = _leading_blocks(self.keys, stats)
        if not self._stats_before:
            self._end(Ending.NOTHING_HELD)
            return []
        self.state = State.STAGING
        return [Stage(tuple(self._stats_before.values()))]

    def _verify(self, event: StatsReceived) -> list[Command]:
        stats_after = {stat.key: stat for stat in event.stats}
        verified = {
            key: stat
            for key, stat in self._stats_before.items()
            if stats_after.get(key) == stat
            and self._staged.checksums.get(key) == stat.checksum
        }
        keys = self._verified = tuple(_leading_blocks(self.keys, verified))
        if keys:
            self.state = State.COMMITTING
        else:
            self._end(Ending.CHANGED)
        return [Commit(self._staged.staging, keys)]

    def _abort(self, ending: Ending) -> list[Command]:
        if self.state is State.ENDED:
            return []
        if self.state is State.COMMITTING:
            self._end(Ending.UNKNOWN)
            return []
        staged = self._staged
        self._end(ending)
        return [Commit(staged.staging, ())] if staged else []

    def _end(self, ending: Ending, keys: tuple[str, ...] = ()) -> None:
        self.state = State.ENDED
        self.outcome = Outcome(ending, keys)


def _leading_blocks(
    keys: typing.Sequence[str], blocks: typing.Mapping[str, BlockStat]
) -> dict[str, BlockStat]:
    """Return the blocks of the leading keys, up to the first missing one."""
    leading = {}
    for key in keys:
        if key not in blocks:
            break
        leading[key] = blocks[key]
    return leading
