"""Queues of a pool, one for each client account, and whose turn it is.

Turns follow start-time fair queueing: an account's virtual time grows by the tokens
granted to it over its weight, and the smallest goes first. An account that was idle
starts at the present virtual time, so it saves up no turns::

    queue = fairness.FairQueue(fairness.default_terms)
    queue.add(entry, now_ms)
    for entry in queue.turns(now_ms):
        ...                                   # try to place it
        queue.take(entry, prefill_tokens, now_ms)

A priority orders the calls of one account. Against other accounts only ``BATCH``
counts, which stands back, as does an account that has spent its token budget. Either
disadvantage ends after a wait of ``AGE_MS``.
"""

import math
import typing

from cornelreach.targets import permits

AGE_MS = 4_000
ACTIVE_MS = 60_000
RECENT_MS = 4_000
LONG_PROMPT_TOKENS = 8_000
TRIES_PER_ACCOUNT = 8


class Terms(typing.NamedTuple):
    """What an account may use of this pool; beyond the budget it borrows idle room."""

    tokens_per_s: float = 20_000
    burst_tokens: float = 200_000
    queue_calls: int = 256


def default_terms(account: str) -> Terms:
    """Return the terms of an account without its own."""
    return Terms()


class Entry(typing.NamedTuple):
    """A request that waits."""

    request: permits.PermitRequest
    arrived_ms: float
    deadline_at_ms: float
    attended_until_ms: float

    @property
    def name(self) -> str:
        """Return the request's identifier."""
        return self.request.request

    @property
    def tokens(self) -> int:
        """Return the most tokens that the call can cost."""
        return self.request.prompt_tokens + self.request.answer_tokens


class _Account:
    """Queue, virtual time and token budget of one account."""

    def __init__(self, terms: Terms, now_ms: float) -> None:
        self.terms = terms
        self.weight = 1
        self.used_ms = now_ms
        self.entries: dict[str, Entry] = {}
        self.tokens = 0
        self.virtual_time = 0.0
        self.out_sequences = 0
        self._recent_tokens = 0.0
        self._recent_ms = now_ms
        self._budget_tokens = terms.burst_tokens
        self._filled_ms = now_ms

    def budget_tokens(self, now_ms: float) -> float:
        """Return what is left of the budget; below zero the account has borrowed."""
        gained = (now_ms - self._filled_ms) / 1_000 * self.terms.tokens_per_s
        self._filled_ms = now_ms
        filled = self._budget_tokens + gained
        self._budget_tokens = min(self.terms.burst_tokens, filled)
        return self._budget_tokens

    def spend(self, tokens: float, now_ms: float) -> None:
        self.budget_tokens(now_ms)
        floor = -self.terms.burst_tokens
        self._budget_tokens = max(floor, self._budget_tokens - tokens)
        self.virtual_time += tokens / self.weight

    def recent_tokens(self, now_ms: float) -> float:
        """Return the prompt tokens sent to be read lately, decayed by age.

        Of a long prompt, which targets read after the short ones, only a part counts.
        """
        aged_ms = now_ms - self._recent_ms
        self._recent_ms = now_ms
        self._recent_tokens *= math.exp(-aged_ms / RECENT_MS)
        return self._recent_tokens

    def read(self, tokens: int, now_ms: float) -> None:
        counted = min(tokens, LONG_PROMPT_TOKENS)
        self._recent_tokens = self.recent_tokens(now_ms) + counted

    def in_order(self, now_ms: float) -> list[Entry]:
        """Return the waiting entries by aged priority, then arrival."""
        return sorted(
            self.entries.values(),
            key=lambda one: (_aged_priority(one, now_ms), one.arrived_ms),
        )


def _aged_priority(entry: Entry, now_ms: float) -> int:
    aged = int((now_ms - entry.arrived_ms) / AGE_MS)
    return max(0, entry.request.priority - aged)


class FairQueue:
    """The calls that wait for one pool."""

    def __init__(self, terms: typing.Callable[[str], Terms]) -> None:
        self._terms = terms
        self._accounts: dict[str, _Account] = {}
        self._entries: dict[str, Entry] = {}
        self._virtual_time = 0.0
        self.tokens = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, name: str) -> bool:
        return name in self._entries

    def __iter__(self) -> typing.Iterator[Entry]:
        return iter(list(self._entries.values()))

    def get(self, name: str) -> Entry | None:
        """Return a waiting entry."""
        return self._entries.get(name)

    def calls_of(self, account: str) -> int:
        """Return how many calls of an account wait."""
        held = self._accounts.get(account)
        return len(held.entries) if held else 0

    def add(self, entry: Entry, now_ms: float) -> None:
        """Put an entry at the end of its account's queue, or renew it in its place."""
        account = self._account(entry.request.account, now_ms)
        known = self._entries.get(entry.name)
        if known is not None:
            entry = entry._replace(arrived_ms=known.arrived_ms)
            account.tokens -= known.tokens
            self.tokens -= known.tokens
        elif not account.entries:
            account.virtual_time = max(account.virtual_time, self._virtual_time)
        account.weight = max(1, entry.request.weight)
        account.used_ms = now_ms
        account.entries[entry.name] = entry
        account.tokens += entry.tokens
        self._entries[entry.name] = entry
        self.tokens += entry.tokens

    def remove(self, name: str) -> Entry | None:
        """Take an entry out without a charge."""
        entry = self._entries.pop(name, None)
        if entry is None:
            return None
        account = self._accounts[entry.request.account]
        del account.entries[name]
        account.tokens -= entry.tokens
        self.tokens -= entry.tokens
        return entry

    def take(self, entry: Entry, prefill_tokens: int, now_ms: float) -> None:
        """Charge an account for a call that is granted, and count it as out.

        ``prefill_tokens`` is what the target has to read of the prompt.
        """
        self.remove(entry.name)
        account = self._account(entry.request.account, now_ms)
        self._virtual_time = max(self._virtual_time, account.virtual_time)
        account.spend(prefill_tokens + entry.request.answer_tokens, now_ms)
        account.read(prefill_tokens, now_ms)
        account.out_sequences += entry.request.sequences
        account.used_ms = now_ms

    def give_back(self, account: str, sequences: int) -> None:
        """Count a granted call of an account as ended."""
        held = self._accounts.get(account)
        if held is not None:
            held.out_sequences = max(0, held.out_sequences - sequences)

    def borrows(self, account: str, now_ms: float) -> bool:
        """Return whether an account has spent its budget."""
        return self._account(account, now_ms).budget_tokens(now_ms) < 0

    def fair_sequences(self, account: str, capacity: int, now_ms: float) -> float:
        """Return an account's share by weight of a capacity, among active accounts."""
        return capacity * self._share(self._account(account, now_ms), now_ms)

    def reads_over_share(
        self, account: str, tokens_per_s: float, now_ms: float
    ) -> bool:
        """Return whether an account lately had more read than its share of a speed."""
        mine = self._account(account, now_ms)
        share = self._share(mine, now_ms) * tokens_per_s * RECENT_MS / 1_000
        return mine.recent_tokens(now_ms) > share + LONG_PROMPT_TOKENS

    def _share(self, mine: _Account, now_ms: float) -> float:
        accounts = self._accounts.values()
        active = [one for one in accounts if one is mine or _active(one, now_ms)]
        return mine.weight / sum(one.weight for one in active)

    def out_sequences(self, account: str) -> int:
        """Return how many sequences of an account are out."""
        held = self._accounts.get(account)
        return held.out_sequences if held else 0

    def turns(self, now_ms: float, room_tokens: float = float("inf")) -> list[Entry]:
        """Return the entries to try, those whose turn it is first.

        Of each account they are at most ``TRIES_PER_ACCOUNT`` whose prompt fits into
        ``room_tokens``, and the first that does not, so that long prompts do not hold
        up the shorter ones behind them.
        """
        keyed = []
        for account in self._accounts.values():
            if account.entries:
                keyed.extend(_keyed(account, now_ms, room_tokens))
        keyed.sort(key=lambda pair: pair[0])
        return [entry for _, entry in keyed]

    def tokens_ahead(self, account: str, now_ms: float) -> float:
        """Return the tokens that are served before a new call of an account."""
        mine = self._account(account, now_ms)
        ahead = float(mine.tokens)
        for other in self._accounts.values():
            if other is not mine:
                matched = mine.tokens * other.weight / mine.weight
                ahead += min(other.tokens, matched)
        return ahead

    def largest(self) -> Entry | None:
        """Return the newest entry of the account with the most waiting tokens."""
        filled = [one for one in self._accounts.values() if one.entries]
        if not filled:
            return None
        account = max(filled, key=lambda one: one.tokens / one.weight)
        return next(reversed(account.entries.values()))

    def forget_idle(self, now_ms: float) -> None:
        """Drop the state of accounts that have nothing here and a full budget."""
        for name, account in list(self._accounts.items()):
            full = account.budget_tokens(now_ms) >= account.terms.burst_tokens
            if full and not _active(account, now_ms):
                del self._accounts[name]

    def _account(self, name: str, now_ms: float) -> _Account:
        account = self._accounts.get(name)
        terms = self._terms(name)
        if account is None:
            account = self._accounts[name] = _Account(terms, now_ms)
        account.terms = terms
        return account


def _active(account: _Account, now_ms: float) -> bool:
    held = bool(account.entries) or account.out_sequences > 0
    return held or now_ms - account.used_ms < ACTIVE_MS


def _keyed(
    account: _Account, now_ms: float, room_tokens: float
) -> list[tuple[tuple, Entry]]:
    """Return entries with their sort keys: standing back, then virtual start."""
    borrows = account.budget_tokens(now_ms) < 0
    start = account.virtual_time
    keyed = []
    for entry in _to_try(account.in_order(now_ms), room_tokens):
        batch = entry.request.priority is permits.Priority.BATCH
        young = now_ms - entry.arrived_ms < AGE_MS
        key = (young and (batch or borrows), start, entry.arrived_ms, entry.name)
        keyed.append((key, entry))
        start += entry.tokens / account.weight
    return keyed


def _to_try(ordered: list[Entry], room_tokens: float) -> typing.Iterator[Entry]:
    left = TRIES_PER_ACCOUNT
    too_long = False
    for entry in ordered:
        if entry.request.prompt_tokens <= room_tokens:
            left -= 1
            yield entry
        elif not too_long:
            too_long = True
            yield entry
        if left == 0:
            return
