"""Claim log of one shard and the state of each key that results from it.

The platform stores the log as a *tail*, one object that is rewritten by conditional
writes, and as *history* objects, which take over the entries of a full tail. Entries
are numbered from 0 over the whole log, so that applying one twice has no effect::

    ledger = Ledger()
    planned = plan(ledger, [claim], now_ms, retention_ms)
    ledger.apply_entries(ledger.applied, planned.entries)  # once the write succeeded

A claim is planned against the version of the log that its conditional write requires;
a claim in the log is therefore held.
"""

import enum
import typing

import msgspec

from cornelreach.util import hashing


class AttemptId(typing.NamedTuple):
    """Identifies an attempt to run a call, by one boot of one instance."""

    instance: str
    boot: str
    number: int


class Answer(typing.NamedTuple):
    """The answer of a target, which repeats of the call receive again.

    ``kept`` is False if the body was too large to be recorded.
    """

    status: int
    content_type: str
    body: bytes
    kept: bool = True


class EntryKind(enum.StrEnum):
    """What an entry of the log records."""

    CLAIM = "claim"
    OUTCOME = "outcome"
    RELEASE = "release"


class LogEntry(typing.NamedTuple):
    """One entry: a claim, its outcome (unknown without an answer) or its release.

    ``key`` and ``body_digest`` are 16-byte digests, ``time_ms`` is wall time.
    """

    kind: EntryKind
    key: bytes
    attempt: AttemptId
    time_ms: int
    body_digest: bytes = b""
    answer: Answer | None = None


class Tail(typing.NamedTuple):
    """The newest entries; the ``start`` entries before are in history objects.

    Those numbered below ``oldest`` have expired and may have been deleted.
    """

    start: int
    entries: list[LogEntry]
    oldest: int = 0


class History(typing.NamedTuple):
    """Entries from number ``start`` on."""

    start: int
    entries: list[LogEntry]


class ClaimRecord(typing.NamedTuple):
    """The state of one key."""

    attempt: AttemptId
    body_digest: bytes
    time_ms: int
    finished: bool = False
    answer: Answer | None = None


class Held(typing.NamedTuple):
    """The attempt holds the claim and may run the call."""


class Finished(typing.NamedTuple):
    """The call has run; this was its answer."""

    answer: Answer


class Unknown(typing.NamedTuple):
    """The call may have run; its answer was lost and it is not run again."""


class Running(typing.NamedTuple):
    """Another attempt holds the claim and has recorded no outcome."""

    attempt: AttemptId


class Differs(typing.NamedTuple):
    """The key was used with another request body."""


class Recorded(typing.NamedTuple):
    """An outcome or a release is in the log, or the log lacks its claim."""


class Unavailable(typing.NamedTuple):
    """The log could not be written; the attempt must be abandoned."""

    message: str
    retry_after_ms: int = 1_000


Decision = Held | Finished | Unknown | Running | Differs | Recorded | Unavailable


class BatchPlan(typing.NamedTuple):
    """Entries to append, and the decision on each request once they are written."""

    entries: list[LogEntry]
    decisions: list[Decision]


def key_digest(account: str, service: str, path: str, key: str) -> bytes:
    """Return the digest that identifies a call to be run at most once."""
    return hashing.digest(*(part.encode() for part in (account, service, path, key)))


class Ledger:
    """The state of the keys after the first ``applied`` entries of the log."""

    def __init__(self) -> None:
        self.applied = 0
        self.records: dict[bytes, ClaimRecord] = {}

    def apply_entries(self, start: int, entries: list[LogEntry]) -> None:
        """Apply entries that are numbered from ``start``, except those applied before.

        If ``start`` is beyond ``applied``, the entries in between have expired.
        """
        for entry in entries[max(0, self.applied - start) :]:
            apply_entry(self.records, entry)
        self.applied = max(self.applied, start + len(entries))

    def expire(self, before_ms: float) -> None:
        """Remove claims older than a wall time."""
        expired = [
            key for key, record in self.records.items() if record.time_ms < before_ms
        ]
        for key in expired:
            del self.records[key]


def apply_entry(records: dict[bytes, ClaimRecord], entry: LogEntry) -> None:
    """Apply one entry to the records."""
    if entry.kind is EntryKind.CLAIM:
        records[entry.key] = ClaimRecord(
            entry.attempt, entry.body_digest, entry.time_ms
        )
        return
    record = records.get(entry.key)
    if record is None or record.attempt != entry.attempt or record.finished:
        return
    if entry.kind is EntryKind.RELEASE:
        del records[entry.key]
    else:
        records[entry.key] = record._replace(finished=True, answer=entry.answer)


def plan(
    ledger: Ledger, requests: list[LogEntry], now_ms: float, retention_ms: float
) -> BatchPlan:
    """Decide on requests in order; each sees the effect of those before it."""
    touched = {entry.key for entry in requests} & ledger.records.keys()
    scratch = {key: ledger.records[key] for key in touched}
    entries: list[LogEntry] = []
    decisions: list[Decision] = []
    for request in requests:
        decision, append = _decide(scratch, request, now_ms - retention_ms)
        decisions.append(decision)
        if append:
            entries.append(request)
            apply_entry(scratch, request)
    return BatchPlan(entries, decisions)


def _decide(
    records: dict[bytes, ClaimRecord], request: LogEntry, expired_ms: float
) -> tuple[Decision, bool]:
    record = records.get(request.key)
    if request.kind is not EntryKind.CLAIM:
        holds = record is not None and record.attempt == request.attempt
        return Recorded(), holds and not record.finished
    if record is None or record.time_ms < expired_ms:
        return Held(), True
    return _decide_claimed(record, request), False


def _decide_claimed(record: ClaimRecord, request: LogEntry) -> Decision:
    if record.body_digest != request.body_digest:
        return Differs()
    if record.finished:
        return Unknown() if record.answer is None else Finished(record.answer)
    if record.attempt == request.attempt:
        return Held()
    return Running(record.attempt)


def decode_tail(value: object) -> Tail:
    """Return the tail that a platform value holds."""
    return msgspec.convert(value, Tail)


def decode_history(value: object) -> History:
    """Return the history that a platform value holds."""
    return msgspec.convert(value, History)


def size_bytes(entry: LogEntry) -> int:
    """Return the approximate size of an entry in a platform value."""
    answer_bytes = len(entry.answer.body) * 4 // 3 if entry.answer else 0
    return 160 + answer_bytes
