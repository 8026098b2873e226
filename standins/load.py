"""Generates a seeded schedule of callers that return to long documents after gaps.

The schedule is an open loop: it depends only on profile, seed, length and rate, so that
every policy gets the same calls::

    calls = load.schedule(profiles.TIRNICA, seed=1, seconds=60)
"""

import heapq
import math
import random
import typing

from cornelreach.util import hashing
from standins import profiles

READER = "reader"
DRAFTER = "drafter"


class ScheduledCall(typing.NamedTuple):
    """One call; ``keys`` are the chained keys of its pieces, ``data_centre`` is that of
    the instance that receives it."""

    name: str
    at_ms: float
    account: str
    model: str
    keys: tuple[str, ...]
    tail_tokens: int
    answer_tokens: int
    deadline_ms: float
    data_centre: str

    @property
    def prompt_tokens(self) -> int:
        """Return the length of the whole prompt."""
        return len(self.keys) * profiles.PIECE_TOKENS + self.tail_tokens


class Burst(typing.NamedTuple):
    """Extra calls of the largest account about documents that are new to all caches.

    ``rate`` is a share of the nominal load.
    """

    from_ms: float
    until_ms: float
    rate: float


class _Document(typing.NamedTuple):
    name: str
    account: str
    tokens: int


def piece_keys(account: str, model: str, document: str, count: int) -> list[str]:
    """Return the chained keys of a document's first pieces."""
    keys, parent = [], hashing.digest(account.encode(), model.encode())
    for _ in range(count):
        parent = hashing.digest(parent, document.encode())
        keys.append(parent.hex())
    return keys


class _ScheduleBuilder:
    def __init__(self, profile: profiles.Profile, seed: int, rate: float) -> None:
        self.profile = profile
        self.random = random.Random(seed)
        self.calls: list[ScheduledCall] = []
        self.document_count = 0
        self.rate = rate
        self.accounts = [
            f"account-{index}" for index in range(len(profile.account_weights))
        ]

    def new_document(self) -> _Document:
        self.document_count += 1
        account = self.random.choices(self.accounts, self.profile.account_weights)[0]
        tokens = self.random.randint(*self.profile.document_tokens)
        return _Document(f"document-{self.document_count}", account, tokens)

    def gap_ms(self) -> float:
        sigma = self.profile.gap_sigma
        mean_ms = self.profile.gap_s * 1_000
        return self.random.lognormvariate(math.log(mean_ms) - sigma**2 / 2, sigma)

    def add_visit(self, document: _Document, at_ms: float) -> None:
        """Add the calls of one visit: questions, and a notice after each yes."""
        tail_tokens = document.tokens % profiles.PIECE_TOKENS
        count = document.tokens // profiles.PIECE_TOKENS
        keys = piece_keys(document.account, READER, document.name, count)
        data_centre = self.random.choice(self.profile.data_centres)
        for _ in range(self.random.choice(profiles.TURNS)):
            tail_tokens += self.random.randint(*profiles.QUESTION_TOKENS)
            self.add_call(
                document,
                at_ms,
                READER,
                keys,
                tail_tokens,
                profiles.ANSWER_TOKENS,
                data_centre,
            )
            if self.random.random() < self.profile.yes_share:
                self.add_draft(document, at_ms + profiles.DRAFT_AFTER_MS, data_centre)
            at_ms += self.random.uniform(*profiles.THINK_MS)

    def add_draft(self, document: _Document, at_ms: float, data_centre: str) -> None:
        account, count = document.account, profiles.TEMPLATE_PIECES
        keys = piece_keys(account, DRAFTER, "template", count)
        tail_tokens = self.random.randint(*profiles.DRAFT_TAIL_TOKENS)
        answer_tokens = self.random.randint(*profiles.NOTICE_TOKENS)
        self.add_call(
            document, at_ms, DRAFTER, keys, tail_tokens, answer_tokens, data_centre
        )

    def add_call(
        self,
        document: _Document,
        at_ms: float,
        model: str,
        keys: list[str],
        tail_tokens: int,
        answer_tokens: int,
        data_centre: str,
    ) -> None:
        name = f"call-{len(self.calls)}"
        deadline_ms = self.profile.deadline_ms
        self.calls.append(
            ScheduledCall(
                name,
                at_ms,
                document.account,
                model,
                tuple(keys),
                tail_tokens,
                answer_tokens,
                deadline_ms,
                data_centre,
            )
        )

    def run(self, end_ms: float) -> list[ScheduledCall]:
        count = max(1, round(self.profile.documents * self.rate))
        visits = []
        for number in range(count):
            at_ms = self.random.uniform(0, self.gap_ms())
            visits.append((at_ms, number, self.new_document()))
        heapq.heapify(visits)
        while visits and visits[0][0] < end_ms:
            at_ms, number, document = heapq.heappop(visits)
            if self.random.random() < self.profile.new_document_share:
                document = self.new_document()
            self.add_visit(document, at_ms)
            grown_tokens = document.tokens + self.profile.growth_tokens
            document = document._replace(tokens=grown_tokens)
            heapq.heappush(visits, (at_ms + self.gap_ms(), number, document))
        return [call for call in self.calls if call.at_ms < end_ms]


def burst_calls(
    profile: profiles.Profile, seed: int, burst: Burst
) -> list[ScheduledCall]:
    """Return the calls of a burst; their names start with ``burst-``."""
    builder = _ScheduleBuilder(profile, seed, burst.rate)
    account = builder.accounts[0]
    rate = burst.rate * profile.nominal_calls_per_s
    at_ms = burst.from_ms
    while (at_ms := at_ms + builder.random.expovariate(rate) * 1_000) < burst.until_ms:
        tokens = builder.random.randint(*profile.document_tokens)
        name = f"burst-{len(builder.calls)}"
        count, tail_tokens = divmod(tokens, profiles.PIECE_TOKENS)
        keys = piece_keys(account, READER, name, count)
        document = _Document(name, account, tokens)
        data_centre = builder.random.choice(profile.data_centres)
        builder.add_call(
            document,
            at_ms,
            READER,
            keys,
            tail_tokens,
            profiles.ANSWER_TOKENS,
            data_centre,
        )
    return [call._replace(name=f"burst-{call.name}") for call in builder.calls]


def schedule(
    profile: profiles.Profile,
    seed: int,
    seconds: float,
    rate: float = 1.0,
    burst: Burst | None = None,
) -> list[ScheduledCall]:
    """Return the calls of a run by time; a ``rate`` of 1.0 is the nominal load."""
    calls = _ScheduleBuilder(profile, seed, rate).run(seconds * 1_000)
    if burst is not None:
        calls += burst_calls(profile, seed, burst)
    return sorted(calls, key=lambda call: (call.at_ms, call.name))


def unavoidable_tokens(calls: list[ScheduledCall], from_ms: float) -> int:
    """Return the prompt tokens after ``from_ms`` that no cache can hold.

    These are the first occurrence of each piece and the tokens after the last piece.
    """
    seen: set[str] = set()
    total = 0
    for call in calls:
        new_keys = [key for key in call.keys if key not in seen]
        seen.update(new_keys)
        if call.at_ms >= from_ms:
            total += len(new_keys) * profiles.PIECE_TOKENS + call.tail_tokens
    return total
