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
MAX_STORED_ATTEMPTS = 20_000
PRUNE_COUNT = 4


class AttemptState(enum.StrEnum):
    """The state of an attempt; FORGOTTEN if this boot has no record of it."""

    CLAIMING = "claiming"
    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    ABANDONED = "abandoned"
    FORGOTTEN = "forgotten"


class AttemptClosed(Exception):
    """The attempt may no longer be sent."""


class LocalAttempt:
    """One attempt; ``ended`` is set once it has ended."""

    def __init__(self, attempt_id: ledger.AttemptId, opened_ms: float) -> None:
        self.id = attempt_id
        self.opened_ms = opened_ms
        self.state = AttemptState.CLAIMING
        self.answer: ledger.Answer | None = None
        self.ended = asyncio.Event()

    def begin(self) -> None:
        """Mark the attempt as sent; raises AttemptClosed if it was abandoned."""
        if self.state is not AttemptState.CLAIMING:
            raise AttemptClosed(f"attempt {self.id.number} is {self.state}")
        self.state = AttemptState.RUNNING

    def finish(self, answer: ledger.Answer) -> None:
        """Store the target's answer and end the attempt."""
        if self.state is AttemptState.RUNNING:
            self.answer = answer
            self._end(AttemptState.FINISHED)

    def mark_declined(self) -> None:
        """Return to claiming: the target declined the call without running it."""
        if self.state is AttemptState.RUNNING:
            self.state = AttemptState.CLAIMING

    def mark_unknown(self) -> None:
        """End the attempt as unknown: its answer was lost."""
        if self.state is AttemptState.RUNNING:
            self._end(AttemptState.UNKNOWN)

    def abandon(self) -> bool:
        """Abandon the attempt if it was not sent; False if it was sent."""
        if self.state is AttemptState.CLAIMING:
            self._end(AttemptState.ABANDONED)
        return self.state is AttemptState.ABANDONED

    def _end(self, state: AttemptState) -> None:
        self.state = state
        self.ended.set()


class LocalAttempts:
    """The attempts of one boot by number."""

    def __init__(self, instance: str, boot: str) -> None:
        self.instance = instance
        self.boot = boot
        self._next = 0
        self._attempts: dict[int, LocalAttempt] = {}

    def open(self, now_ms: float) -> LocalAttempt:
        """Create a new attempt."""
        self._next += 1
        attempt_id = ledger.AttemptId(self.instance, self.boot, self._next)
        attempt = self._attempts[self._next] = LocalAttempt(attempt_id, now_ms)
        self._prune(now_ms - KEEP_MS)
        return attempt

    def owns(self, attempt_id: ledger.AttemptId) -> bool:
        """Tell whether an attempt is one of this boot."""
        return (attempt_id.instance, attempt_id.boot) == (self.instance, self.boot)

    def find(self, attempt_id: ledger.AttemptId) -> LocalAttempt | None:
        """Return the attempt, or None if it is of another boot or was removed."""
        return self._attempts.get(attempt_id.number) if self.owns(attempt_id) else None

    def active(self) -> typing.Iterator[LocalAttempt]:
        """Yield the attempts that have not ended."""
        return (
            attempt for attempt in self._attempts.values() if not attempt.ended.is_set()
        )

    def _prune(self, before_ms: float) -> None:
        """Remove the oldest attempts if they have ended."""
        oldest = list(itertools.islice(self._attempts.items(), PRUNE_COUNT))
        for number, attempt in oldest:
            over_limit = len(self._attempts) > MAX_STORED_ATTEMPTS
            if attempt.ended.is_set() and (over_limit or attempt.opened_ms < before_ms):
                del self._attempts[number]
