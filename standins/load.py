"""Seeded callers that return to long documents after gaps.

The schedule is an open loop: it depends on profile, seed, length and rate alone, so
that every policy meets the same calls::

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


class Call(typing.NamedTuple):
    """One call; ``keys`` are the chained keys of its pieces, ``edge`` is the data
    centre of the instance that it reaches."""

    name: str
    at_ms: float
    account: str
    model: str
    keys: tuple[str, ...]
    tail_tokens: int
    answer_tokens: int
    deadline_ms: float
    edge: str

    @property
    def prompt_tokens(self) -> int:
        """Return the length of the whole prompt."""
        return len(self.keys) * profiles.PIECE_TOKENS + self.tail_tokens


class Burst(typing.NamedTuple):
    """Extra calls of the largest account about documents that nobody has read.

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


class _Callers:
    def __init__(self, profile: profiles.Profile, seed: int, rate: float) -> None:
        self.profile = profile
        self.random = random.Random(seed)
        self.calls: list[Call] = []
        self.names = 0
        self.rate = rate
        self.accounts = [
            f"account-{index}" for index in range(len(profile.account_weights))
        ]

    def document(self) -> _Document:
        self.names += 1
        account = self.random.choices(self.accounts, self.profile.account_weights)[0]
        tokens = self.random.randint(*self.profile.document_tokens)
        return _Document(f"document-{self.names}", account, tokens)

    def gap_ms(self) -> float:
        sigma = self.profile.gap_sigma
        mean_ms = self.profile.gap_s * 1_000
        return self.random.lognormvariate(math.log(mean_ms) - sigma**2 / 2, sigma)

    def visit(self, document: _Document, at_ms: float) -> None:
        """Add the calls of one visit: questions in turn, and a notice after a yes."""
        tail = document.tokens % profiles.PIECE_TOKENS
        count = document.tokens // profiles.PIECE_TOKENS
        keys = piece_keys(document.account, READER, document.name, count)
        edge = self.random.choice(self.profile.data_centres)
        for _ in range(self.random.choice(profiles.TURNS)):
            tail += self.random.randint(*profiles.QUESTION_TOKENS)
            self.add(document, at_ms, READER, keys, tail, profiles.ANSWER_TOKENS, edge)
            if self.random.random() < self.profile.yes_share:
                self.draft(document, at_ms + profiles.DRAFT_AFTER_MS, edge)
            at_ms += self.random.uniform(*profiles.THINK_MS)

    def draft(self, document: _Document, at_ms: float, edge: str) -> None:
        account, count = document.account, profiles.TEMPLATE_PIECES
        keys = piece_keys(account, DRAFTER, "template", count)
        tail = self.random.randint(*profiles.DRAFT_TAIL_TOKENS)
        length = self.random.randint(*profiles.NOTICE_TOKENS)
        self.add(document, at_ms, DRAFTER, keys, tail, length, edge)

    def add(
        self,
        document: _Document,
        at_ms: float,
        model: str,
        keys: list[str],
        tail: int,
        length: int,
        edge: str,
    ) -> None:
        name = f"call-{len(self.calls)}"
        deadline_ms = self.profile.deadline_ms
        self.calls.append(
            Call(
                name,
                at_ms,
                document.account,
                model,
                tuple(keys),
                tail,
                length,
                deadline_ms,
                edge,
            )
        )

    def run(self, end_ms: float) -> list[Call]:
        count = max(1, round(self.profile.documents * self.rate))
        visits = []
        for order in range(count):
            at_ms = self.random.uniform(0, self.gap_ms())
            visits.append((at_ms, order, self.document()))
        heapq.heapify(visits)
        while visits and visits[0][0] < end_ms:
            at_ms, order, document = heapq.heappop(visits)
            if self.random.random() < self.profile.fresh:
                document = self.document()
            self.visit(document, at_ms)
            grown = document.tokens + self.profile.growth_tokens
            document = document._replace(tokens=grown)
            heapq.heappush(visits, (at_ms + self.gap_ms(), order, document))
        return [call for call in self.calls if call.at_ms < end_ms]


def burst_calls(profile: profiles.Profile, seed: int, burst: Burst) -> list[Call]:
    """Return the calls of a burst, which differ in name from those of a schedule."""
    callers = _Callers(profile, seed, burst.rate)
    account = callers.accounts[0]
    rate = burst.rate * profile.nominal_calls_per_s
    at_ms = burst.from_ms
    while (at_ms := at_ms + callers.random.expovariate(rate) * 1_000) < burst.until_ms:
        tokens = callers.random.randint(*profile.document_tokens)
        name = f"burst-{len(callers.calls)}"
        count, tail = divmod(tokens, profiles.PIECE_TOKENS)
        keys = piece_keys(account, READER, name, count)
        document = _Document(name, account, tokens)
        edge = callers.random.choice(profile.data_centres)
        callers.add(document, at_ms, READER, keys, tail, profiles.ANSWER_TOKENS, edge)
    return [call._replace(name=f"burst-{call.name}") for call in callers.calls]


def schedule(
    profile: profiles.Profile,
    seed: int,
    seconds: float,
    rate: float = 1.0,
    burst: Burst | None = None,
) -> list[Call]:
    """Return the calls of a run in order of time; ``rate`` 1.0 is the nominal load."""
    calls = _Callers(profile, seed, rate).run(seconds * 1_000)
    if burst is not None:
        calls += burst_calls(profile, seed, burst)
    return sorted(calls, key=lambda call: (call.at_ms, call.name))


def unavoidable_tokens(calls: list[Call], from_ms: float) -> int:
    """Return the prompt tokens after ``from_ms`` that no cache can hold.

    These are the first sightings of each piece, and what follows the last piece.
    """
    seen: set[str] = set()
    total = 0
    for call in calls:
        fresh = [key for key in call.keys if key not in seen]
        seen.update(fresh)
        if call.at_ms >= from_ms:
            total += len(fresh) * profiles.PIECE_TOKENS + call.tail_tokens
    return total
