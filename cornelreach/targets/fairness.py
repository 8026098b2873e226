"""Fair queueing among the client accounts of a pool.

Entries are ordered by start-time fair queueing: an account's virtual time grows by the
tokens granted to it divided by its weight, and the smallest virtual time goes first. An
account that was idle starts at the current virtual time, so it gains no credit while
idle::

    queue = fairness.FairQueue(fairness.default_quota)
    queue.add(entry, now_ms)
    for entry in queue.next_entries(now_ms):
        ...                                   # try to place it
        queue.grant(entry, prefill_tokens, now_ms)

A priority orders the calls of one account. Relative to other accounts only ``BATCH``
matters: batch calls are deprioritized, as are the calls of an account that is over its
token budget. Both end once a call has waited ``AGING_MS``.
"""

import math
import typing

from cornelreach.targets import permits

AGING_MS = 4_000
ACTIVE_MS = 60_000
RECENT_PREFILL_MS = 4_000
LONG_PROMPT_TOKENS = 8_000
MAX_TRIES_PER_ACCOUNT = 8


class Quota(typing.NamedTuple):
    """The token rate, burst and queue length of an account in one pool.

    An account that is over its budget may still use idle capacity.
    """

    tokens_per_s: float = 20_000
    burst_tokens: float = 200_000
    queue_calls: int = 256


def default_quota(account: str) -> Quota:
    """Return the default quota, the same for every account."""
    return Quota()


class Entry(typing.NamedTuple):
    """A queued request.

    It is granted only until ``poll_until_ms``, when its sender is due to poll again.
    """

    request: permits.PermitRequest
    arrived_ms: float
    deadline_at_ms: float
    poll_until_ms: float

    @property
    def name(self) -> str:
        """Return the request's identifier."""
        return self.request.request

    @property
    def tokens(self) -> int:
        """Return the maximum number of tokens of the call, prompt and answer."""
        return self.request.prompt_tokens + self.request.answer_tokens


class _Account:
    """Queue, virtual time and token budget of one account."""

    def __init__(self, quota: Quota, now_ms: float) -> None:
        self.quota = quota
        self.weight = 1
        self.used_ms = now_ms
        self.entries: dict[str, Entry] = {}
        self.tokens = 0
        self.virtual_time = 0.0
        self.outstanding_sequences = 0
        self._recent_prefill_tokens = 0.0
        self._recent_ms = now_ms
        self._budget_tokens = quota.burst_tokens
        self._refilled_ms = now_ms

    def budget_tokens(self, now_ms: float) -> float:
        """Return the remaining budget, negative if the account is over it."""
        gained = (now_ms - self._refilled_ms) / 1_000 * self.quota.tokens_per_s
        self._refilled_ms = now_ms
        refilled = self._budget_tokens + gained
        self._budget_tokens = min(self.quota.burst_tokens, refilled)
        return self._budget_tokens

    def spend(self, tokens: float, now_ms: float) -> None:
        self.budget_tokens(now_ms)
        floor = -self.quota.burst_tokens
        self._budget_tokens = max(floor, self._budget_tokens - tokens)
        self.virtual_time += tokens / self.weight

    def recent_prefill_tokens(self, now_ms: float) -> float:
        """Return the prompt tokens recently sent for prefill, decayed by age.

        A long prompt counts only in part, as targets prefill it after the short ones.
        """
        aged_ms = now_ms - self._recent_ms
        self._recent_ms = now_ms
        self._recent_prefill_tokens *= math.exp(-aged_ms / RECENT_PREFILL_MS)
        return self._recent_prefill_tokens

    def record_prefill(self, tokens: int, now_ms: float) -> None:
        counted = min(tokens, LONG_PROMPT_TOKENS)
        self._recent_prefill_tokens = self.recent_prefill_tokens(now_ms) + counted

    def in_priority_order(self, now_ms: float) -> list[Entry]:
        """Return the queued entries by aged priority, then arrival."""
        return sorted(
            self.entries.values(),
            key=lambda one: (_aged_priority(one, now_ms), one.arrived_ms),
        )


def _aged_priority(entry: Entry, now_ms: float) -> int:
    aged = int((now_ms - entry.arrived_ms) / AGING_MS)
    return max(0, entry.request.priority - aged)


class FairQueue:
    """The calls queued for one pool."""

    def __init__(self, quota: typing.Callable[[str], Quota]) -> None:
        self._quota_of = quota
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
        """Return a queued entry, or None."""
        return self._entries.get(name)

    def call_count(self, account: str) -> int:
        """Return the number of queued calls of an account."""
        known = self._accounts.get(account)
        return len(known.entries) if known else 0

    def add(self, entry: Entry, now_ms: float) -> None:
        """Append an entry to its account's queue; a known entry keeps its place."""
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
        """Remove an entry without charging its account."""
        entry = self._entries.pop(name, None)
        if entry is None:
            return None
        account = self._accounts[entry.request.account]
        del account.entries[name]
        account.tokens -= entry.tokens
        self.tokens -= entry.tokens
        return entry

    def grant(self, entry: Entry, prefill_tokens: int, now_ms: float) -> None:
        """Remove a granted entry, charge its account and count it as outstanding.

        ``prefill_tokens`` is the part of the prompt that the target has to compute.
        """
        self.remove(entry.name)
        account = self._account(entry.request.account, now_ms)
        self._virtual_time = max(self._virtual_time, account.virtual_time)
        account.spend(prefill_tokens + entry.request.answer_tokens, now_ms)
        account.record_prefill(prefill_tokens, now_ms)
        account.outstanding_sequences += entry.request.sequences
        account.used_ms = now_ms

    def release(self, account: str, sequences: int) -> None:
        """Subtract an ended call from the outstanding sequences of its account."""
        known = self._accounts.get(account)
        if known is not None:
            known.outstanding_sequences = max(
                0, known.outstanding_sequences - sequences
            )

    def is_over_budget(self, account: str, now_ms: float) -> bool:
        """Return whether an account has used up its token budget."""
        return self._account(account, now_ms).budget_tokens(now_ms) < 0

    def fair_share(self, account: str, capacity: int, now_ms: float) -> float:
        """Return an account's weighted share of ``capacity`` among active accounts."""
        return capacity * self._share(self._account(account, now_ms), now_ms)

    def exceeds_prefill_share(
        self, account: str, tokens_per_s: float, now_ms: float
    ) -> bool:
        """Return whether an account's recent prefill exceeds its share of a rate."""
        own = self._account(account, now_ms)
        share = self._share(own, now_ms) * tokens_per_s * RECENT_PREFILL_MS / 1_000
        return own.recent_prefill_tokens(now_ms) > share + LONG_PROMPT_TOKENS

    def _share(self, own: _Account, now_ms: float) -> float:
        accounts = self._accounts.values()
        active = [one for one in accounts if one is own or _is_active(one, now_ms)]
        return own.weight / sum(one.weight for one in active)

    def outstanding_sequences(self, account: str) -> int:
        """Return the outstanding sequences of an account."""
        known = self._accounts.get(account)
        return known.outstanding_sequences if known else 0

    def next_entries(
        self, now_ms: float, free_tokens: float = float("inf")
    ) -> list[Entry]:
        """Return the entries to try to place, in fair order.

        For each account these are at most ``MAX_TRIES_PER_ACCOUNT`` entries whose
        prompt fits into ``free_tokens`` and the first one that does not, so that a long
        prompt does not block the shorter ones behind it.
        """
        keyed = []
        for account in self._accounts.values():
            if account.entries:
                keyed.extend(_with_sort_keys(account, now_ms, free_tokens))
        keyed.sort(key=lambda pair: pair[0])
        return [entry for _, entry in keyed]

    def tokens_ahead(self, account: str, now_ms: float) -> float:
        """Return the tokens that are granted before a new call of an account."""
        own = self._account(account, now_ms)
        ahead = float(own.tokens)
        for other in self._accounts.values():
            if other is not own:
                interleaved = own.tokens * other.weight / own.weight
                ahead += min(other.tokens, interleaved)
        return ahead

    def newest_of_largest_account(self) -> Entry | None:
        """Return the newest entry of the account with the most tokens by weight."""
        waiting = [one for one in self._accounts.values() if one.entries]
        if not waiting:
            return None
        account = max(waiting, key=lambda one: one.tokens / one.weight)
        return next(reversed(account.entries.values()))

    def remove_idle_accounts(self, now_ms: float) -> None:
        """Remove accounts that are inactive and have a full budget."""
        for name, account in list(self._accounts.items()):
            full = account.budget_tokens(now_ms) >= account.quota.burst_tokens
            if full and not _is_active(account, now_ms):
                del self._accounts[name]

    def _account(self, name: str, now_ms: float) -> _Account:
        account = self._accounts.get(name)
        quota = self._quota_of(name)
        if account is None:
            account = self._accounts[name] = _Account(quota, now_ms)
        account.quota = quota
        return account


def _is_active(account: _Account, now_ms: float) -> bool:
    busy = bool(account.entries) or account.outstanding_sequences > 0
    return busy or now_ms - account.used_ms < ACTIVE_MS


def _with_sort_keys(
    account: _Account, now_ms: float, free_tokens: float
) -> list[tuple[tuple, Entry]]:
    """Return entries with their sort keys: deprioritized ones last, then by start."""
    over_budget = account.budget_tokens(now_ms) < 0
    start = account.virtual_time
    keyed = []
    for entry in _entries_to_try(account.in_priority_order(now_ms), free_tokens):
        batch = entry.request.priority is permits.Priority.BATCH
        recent = now_ms - entry.arrived_ms < AGING_MS
        key = (recent and (batch or over_budget), start, entry.arrived_ms, entry.name)
        keyed.append((key, entry))
        start += entry.tokens / account.weight
    return keyed


def _entries_to_try(ordered: list[Entry], free_tokens: float) -> typing.Iterator[Entry]:
    remaining = MAX_TRIES_PER_ACCOUNT
    too_long = False
    for entry in ordered:
        if entry.request.prompt_tokens <= free_tokens:
            remaining -= 1
            yield entry
        elif not too_long:
            too_long = True
            yield entry
        if remaining == 0:
            return
