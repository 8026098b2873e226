"""This boot's attempts to run at-most-once calls, and their states.

An attempt is *claiming* until the first byte is about to be written, then *running*,
and ends as *finished*, *unknown* (sent, no answer) or *abandoned* (never sent). Only a
claiming attempt can be abandoned or begun, so an abandoned one is never sent.
"""

import asyncio
import enum
import itertools
import typing

from cornelreach.calls import ledger

KEEP_MS = 600_000
MAX_RUNS = 20_000
PRUNE_COUNT = 4


class State(enum.StrEnum):
    """The state of an attempt; FORGOTTEN if this boot has no record of it."""

    CLAIMING = "claiming"
    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    ABANDONED = "abandoned"
    FORGOTTEN = "forgotten"


class TooLate(Exception):
    """The attempt may no longer be sent."""


class Run:
    """One attempt; ``settled`` is set once it has ended."""

    def __init__(self, attempt: ledger.AttemptId, opened_ms: float) -> None:
        self.attempt = attempt
        self.opened_ms = opened_ms
        self.state = State.CLAIMING
        self.answer: ledger.Answer | None = None
        self.settled = asyncio.Event()

    def begin(self) -> None:
        """Mark the attempt as sent; raises TooLate if it was abandoned."""
        if self.state is not State.CLAIMING:
            raise TooLate(f"attempt {self.attempt.number} is {self.state}")
        self.state = State.RUNNING

    def finish(self, answer: ledger.Answer) -> None:
        """Store the target's answer and end the attempt."""
        if self.state is State.RUNNING:
            self.answer = answer
            self._end(State.FINISHED)

    def retract(self) -> None:
        """Return to claiming: the target declined the call without running it."""
        if self.state is State.RUNNING:
            self.state = State.CLAIMING

    def lose(self) -> None:
        """End the attempt as unknown: its answer was lost."""
        if self.state is State.RUNNING:
            self._end(State.UNKNOWN)

    def abandon(self) -> bool:
        """Abandon the attempt if it was not sent; False if it was sent."""
        if self.state is State.CLAIMING:
            self._end(State.ABANDONED)
        return self.state is State.ABANDONED

    def _end(self, state: State) -> None:
        self.state = state
        self.settled.set()


class Runs:
    """The attempts of one boot by number."""

    def __init__(self, instance: str, boot: str) -> None:
        self.instance = instance
        self.boot = boot
        self._next = 0
        self._runs: dict[int, Run] = {}

    def open(self, now_ms: float) -> Run:
        """Create a new attempt."""
        self._next += 1
        attempt = ledger.AttemptId(self.instance, self.boot, self._next)
        run = self._runs[self._next] = Run(attempt, now_ms)
        self._prune(now_ms - KEEP_MS)
        return run

    def owns(self, attempt: ledger.AttemptId) -> bool:
        """Tell whether an attempt is one of this boot."""
        return (attempt.instance, attempt.boot) == (self.instance, self.boot)

    def find(self, attempt: ledger.AttemptId) -> Run | None:
        """Return the attempt, or None if it is of another boot or was removed."""
        return self._runs.get(attempt.number) if self.owns(attempt) else None

    def active(self) -> typing.Iterator[Run]:
        """Yield the attempts that have not ended."""
        return (run for run in self._runs.values() if not run.settled.is_set())

    def _prune(self, before_ms: float) -> None:
        """Remove the oldest attempts if they have ended."""
        oldest = list(itertools.islice(self._runs.items(), PRUNE_COUNT))
        for number, run in oldest:
            over_limit = len(self._runs) > MAX_RUNS
            if run.settled.is_set() and (over_limit or run.opened_ms < before_ms):
                del self._runs[number]
