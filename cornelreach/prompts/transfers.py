"""One verified transfer of blocks, as events in and commands out.

The source is asked for generation and checksum of each block, the destination stages
them, and the source is asked again. Only a block that is the same before and after, and
that arrived with its checksum, is committed; all others are dropped. A block that was
freed, rewritten or partly written at any moment of the transfer is therefore never
readable at the destination::

    transfer = transfers.Transfer(keys)
    commands = transfer.start()                        # Ask(keys)
    commands = transfer.on(transfers.Asked(stats))     # Stage(blocks)
    commands = transfer.on(transfers.Staged("import-1", {...}))     # Ask(keys)
    commands = transfer.on(transfers.Asked(stats))     # Commit("import-1", keys)
    commands = transfer.on(transfers.Committed(keys))  # none
    transfer.outcome                                   # Outcome("done", keys)

A failure or the time limit ends a transfer that has not begun to commit: the run then
computes its prompt. Only the leading blocks are of use to a prompt, so those after the
first failed one are dropped too.
"""

import enum
import functools
import typing


class Stat(typing.NamedTuple):
    """What a source says of one block; ``boot`` is the source's own identity."""

    key: str
    generation: int
    checksum: str
    committed: bool
    boot: str


class Ask(typing.NamedTuple):
    """Command: ask the source for the state of blocks."""

    keys: tuple[str, ...]


class Stage(typing.NamedTuple):
    """Command: let the destination read these blocks without making them readable."""

    blocks: tuple[Stat, ...]


class Commit(typing.NamedTuple):
    """Command: make staged blocks readable and drop the others of the import.

    No keys drop all of them.
    """

    staging: str
    keys: tuple[str, ...]


Command = Ask | Stage | Commit


class Asked(typing.NamedTuple):
    """Event: the source's answer; blocks that it does not hold are left out."""

    stats: tuple[Stat, ...]


class Staged(typing.NamedTuple):
    """Event: the destination's answer, checksums by key of what arrived."""

    staging: str
    checksums: dict[str, str]


class Committed(typing.NamedTuple):
    """Event: the destination has made these blocks readable."""

    keys: tuple[str, ...]


class Failed(typing.NamedTuple):
    """Event: a call failed, or its answer was lost."""

    reason: str


class TimedOut(typing.NamedTuple):
    """Event: the time limit has passed."""


Event = Asked | Staged | Committed | Failed | TimedOut


class State(enum.StrEnum):
    """Where a transfer stands."""

    ASKING = "asking"
    STAGING = "staging"
    PROVING = "proving"
    COMMITTING = "committing"
    ENDED = "ended"


class Ending(enum.StrEnum):
    """How a transfer ended; ``UNKNOWN`` if the answer to its commit was lost."""

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
    """The state of one transfer; ``outcome`` is None until it has ended."""

    def __init__(self, keys: typing.Sequence[str]) -> None:
        self.keys = tuple(keys)
        self.state = State.ASKING
        self.outcome: Outcome | None = None
        self._before: dict[str, Stat] = {}
        self._staged: Staged | None = None
        self._proved: tuple[str, ...] = ()

    def start(self) -> list[Command]:
        """Return the first command."""
        return [Ask(self.keys)]

    @functools.singledispatchmethod
    def on(self, event: Event) -> list[Command]:
        """Take an event and return what to do next; late events are harmless."""
        raise TypeError(f"unknown event {event!r}; see transfers.Event")

    @on.register
    def _(self, event: Asked) -> list[Command]:
        if self.state is State.ASKING:
            return self._stage(event)
        if self.state is State.PROVING:
            return self._prove(event)
        return []

    @on.register
    def _(self, event: Staged) -> list[Command]:
        if self.state is not State.STAGING:
            return [Commit(event.staging, ())]
        self._staged = event
        self.state = State.PROVING
        return [Ask(tuple(self._before))]

    @on.register
    def _(self, event: Committed) -> list[Command]:
        if self.state is State.COMMITTING:
            readable = tuple(key for key in self._proved if key in event.keys)
            self._end(Ending.DONE, readable)
        return []

    @on.register
    def _(self, event: Failed) -> list[Command]:
        return self._give_up(Ending.FAILED)

    @on.register
    def _(self, event: TimedOut) -> list[Command]:
        return self._give_up(Ending.TIMED_OUT)

    def _stage(self, event: Asked) -> list[Command]:
        stats = {stat.key: stat for stat in event.stats if stat.committed}
        self._before = _leading(self.keys, stats)
        if not self._before:
            self._end(Ending.NOTHING_HELD)
            return []
        self.state = State.STAGING
        return [Stage(tuple(self._before.values()))]

    def _prove(self, event: Asked) -> list[Command]:
        after = {stat.key: stat for stat in event.stats}
        proved = {
            key: stat
            for key, stat in self._before.items()
            if after.get(key) == stat
            and self._staged.checksums.get(key) == stat.checksum
        }
        keys = self._proved = tuple(_leading(self.keys, proved))
        if keys:
            self.state = State.COMMITTING
        else:
            self._end(Ending.CHANGED)
        return [Commit(self._staged.staging, keys)]

    def _give_up(self, ending: Ending) -> list[Command]:
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


def _leading(
    keys: typing.Sequence[str], found: typing.Mapping[str, Stat]
) -> dict[str, Stat]:
    """Return what was found for the keys before the first one that was not."""
    leading = {}
    for key in keys:
        if key not in found:
            break
        leading[key] = found[key]
    return leading
