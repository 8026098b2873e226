"""Index of the prompt parts that each prompt store holds.

A store does not check that a part is complete when an engine fetches it. A store is
therefore offered as a source only if its own events show that it holds the part: the
part was reported complete, in the current incarnation of the store, and the store has
answered recently. The store for a new part is chosen by weighted rendezvous hashing, so
that all instances agree without communication::

    index.find_source(part, salt, now_ms)   # address of a store that holds it, or None
    index.choose_store(part, salt, now_ms)  # address of a store to save it to, or None
"""

import asyncio
import contextlib
import math
import random
import typing

from cornelreach.gateway import (
    calls,
    catalogue,
    datagrams,
    gossip as gossip_module,
)
from cornelreach.platform import promptstores
from cornelreach.util import events, hashing, timers

POLL_WAIT_MS = 800
PAUSE_MS = 120.0
RETRY_MS = 300.0
ROLE_CHECK_MS = 20_000.0  # in case a change of the role was missed
FRESH_MS = 1_500.0  # the wait of a poll plus a margin for the call
QUEUED_MS = 1_000.0  # until engines have begun with the requests that they have
# A store that came back empty gets no parts while anybody may offer those that it had:
# they would be fetched while they are being written.
SETTLE_MS = FRESH_MS + QUEUED_MS
MAX_FILL_SHARE = 0.95
MIN_DELAY_MS = 80.0  # smaller delays are within the engines' own jitter
MAX_DELAY_SHARE = 2.0  # of the prefill time, as a prefill also delays other prompts
SLOW_MS = 120.0  # a store whose fetches are delayed longer gets no new parts
DELAY_WEIGHT = 0.2
DELAY_DECAY_MS = 2_500.0
SAVE_TIMEOUT_MS = 3_000.0  # a save that is not reported complete by then is retried
RELAY_MS = 250.0
UNKNOWN_EPOCH = -1  # of a store that the hub has lost
HASH_RANGE = float(1 << 64)

STORE_LOST = events.define(
    2301,
    "WARNING",
    "Prompt store {store} cannot be watched: {reason}.",
    "Check the store; engines prefill its prompts again meanwhile.",
)
STORE_FOUND = events.define(
    2302, "INFO", "Prompt store {store} is watched: {parts} parts.", "Nothing."
)


class PromptStoreContents:
    """The known contents and state of one store."""

    def __init__(self, store: catalogue.PromptStore) -> None:
        self.store = store
        self.epoch: int | None = None
        self.settled_ms = 0.0
        self._last_epoch: int | None = None  # also while the present one is not known
        self.position = 0
        self.parts: dict[promptstores.PartKey, int] = {}
        self.tokens = 0
        self.answered_ms: float | None = None
        self.saving: dict[promptstores.PartKey, float] = {}
        self._delay_ms = 0.0
        self._delay_at_ms = 0.0

    def record_delay(self, delay_ms: float, now_ms: float) -> None:
        """Update the average delay that a fetch from this store adds."""
        average_ms = self.delay_ms(now_ms)
        self._delay_ms = average_ms + DELAY_WEIGHT * (max(0.0, delay_ms) - average_ms)
        self._delay_at_ms = now_ms

    def delay_ms(self, now_ms: float) -> float:
        """Return the average delay of recent fetches.

        It decays over time, so that a slow store is tried again.
        """
        return self._delay_ms * math.exp((self._delay_at_ms - now_ms) / DELAY_DECAY_MS)

    def is_fresh(self, now_ms: float) -> bool:
        """Return whether the store answered recently enough to rely on this state."""
        return (
            self.epoch is not None
            and self.answered_ms is not None
            and now_ms - self.answered_ms <= FRESH_MS
        )

    def clear(self) -> None:
        """Forget the contents; a new incarnation of the store may hold none of them."""
        self.epoch = None
        self.parts.clear()
        self.tokens = 0
        self.saving.clear()

    def _set_epoch(self, epoch: int, now_ms: float) -> None:
        self.epoch = epoch
        if epoch != self._last_epoch:
            self._last_epoch = epoch
            self.settled_ms = now_ms + SETTLE_MS

    def is_settled(self, now_ms: float) -> bool:
        """Return whether nobody offers parts of an earlier incarnation any more."""
        return now_ms >= self.settled_ms

    def apply_listing(self, batch: promptstores.Batch, now_ms: float) -> None:
        """Replace the contents with a full listing."""
        self.clear()
        self._set_epoch(batch.epoch, now_ms)
        self.position = batch.position
        self._apply(batch.changes)
        self.answered_ms = now_ms

    def apply_events(self, batch: promptstores.Batch, now_ms: float) -> bool:
        """Apply changes; return False if a full listing is needed first."""
        if batch.epoch != self.epoch or batch.gap:
            self.clear()
            return False
        self.position = batch.position
        self._apply(batch.changes)
        self.answered_ms = now_ms
        return True

    def apply_relayed(self, update: datagrams.PromptStoreUpdate, now_ms: float) -> None:
        """Apply an update relayed by a peer that watches the store.

        Parts in a lost datagram stay unknown and are prefilled again. That is the only
        harm, since a store drops parts only with its incarnation or a version of
        weights. If the peer has lost the store, nothing is offered until it is heard
        again, and its parts are kept for that case.
        """
        if update.epoch == UNKNOWN_EPOCH:
            self.answered_ms = None
            return
        if update.epoch != self.epoch:
            self.clear()
            self._set_epoch(update.epoch, now_ms)
        self.position = update.position
        self._apply(
            promptstores.Stored(promptstores.PartKey(salt, key), tokens)
            for salt, key, tokens in update.parts
        )
        answered_ms = now_ms - update.age_ms
        self.answered_ms = max(self.answered_ms or answered_ms, answered_ms)

    def _apply(self, changes: typing.Iterable[promptstores.Stored]) -> None:
        for part, tokens in changes:
            self.tokens += tokens - self.parts.pop(part, 0)
            self.saving.pop(part, None)
            if tokens:
                self.parts[part] = tokens

    def has_room(self, tokens: int) -> bool:
        """Return whether the store has room for a part of this size."""
        return self.tokens + tokens <= self.store.tokens * MAX_FILL_SHARE


class PromptIndex:
    """The contents of all prompt stores, by address."""

    def __init__(self) -> None:
        self.stores: dict[str, PromptStoreContents] = {}

    def configure(self, stores: typing.Iterable[catalogue.PromptStore]) -> None:
        """Replace the set of stores; the contents of those that remain are kept."""
        found = {one.address: one for one in stores}
        for address in [one for one in self.stores if one not in found]:
            del self.stores[address]
        for address, store in found.items():
            if address not in self.stores:
                self.stores[address] = PromptStoreContents(store)

    def find_source(
        self, part: calls.Part, salt: str, now_ms: float, prefill_rate: float = math.inf
    ) -> str | None:
        """Return the fastest store from which a part can be fetched, or None.

        Stores whose recent fetches were delayed by much more than the prefill of the
        part takes at ``prefill_rate``, in tokens a millisecond, are skipped.
        """
        key = promptstores.PartKey(salt, part.key)
        prefill_ms = part.tokens / prefill_rate if prefill_rate < math.inf else math.inf
        holders = [
            contents
            for contents in self.stores.values()
            if contents.parts.get(key, 0) >= part.tokens
            and contents.is_fresh(now_ms)
            and contents.delay_ms(now_ms)
            <= max(MIN_DELAY_MS, MAX_DELAY_SHARE * prefill_ms)
        ]
        if not holders:
            return None
        return max(holders, key=lambda one: one.store.link_mbps).store.address

    def choose_store(self, part: calls.Part, salt: str, now_ms: float) -> str | None:
        """Return the store to save a part to.

        Returns None if the part is stored or being saved, or if no store has room.
        """
        key = promptstores.PartKey(salt, part.key)
        usable = [one for one in self.stores.values() if one.is_fresh(now_ms)]
        if any(key in one.parts for one in usable):
            return None
        with_room = [
            one
            for one in usable
            if one.has_room(part.tokens)
            and one.delay_ms(now_ms) <= SLOW_MS
            and one.is_settled(now_ms)
        ]
        if not with_room:
            return None
        key_hash = hashing.name_hash(f"{salt}/{part.key}")
        chosen = max(with_room, key=lambda one: self._weight(key_hash, one.store))
        if now_ms - chosen.saving.get(key, -SAVE_TIMEOUT_MS) < SAVE_TIMEOUT_MS:
            return None
        chosen.saving[key] = now_ms
        return chosen.store.address

    def record_delay(self, addresses: set[str], delay_ms: float, now_ms: float) -> None:
        """Record the delay of a prompt that was partly fetched from stores."""
        for address in addresses & set(self.stores):
            self.stores[address].record_delay(delay_ms, now_ms)

    @staticmethod
    def _weight(key_hash: int, store: catalogue.PromptStore) -> float:
        # Weighted rendezvous hashing: stores get parts in proportion to their size.
        score = hashing.pair_score(key_hash, hashing.name_hash(store.name))
        uniform = (score + 0.5) / HASH_RANGE
        return uniform ** (1.0 / max(1, store.tokens))


class PromptStoreWatcher:
    """Watches the events of the stores and updates the index.

    In a larger fleet only the hub of each data centre watches the stores, to limit the
    number of calls, and relays the updates. Every instance lists a store once itself
    before it applies relayed updates.
    """

    def __init__(
        self,
        prompt_index: PromptIndex,
        client: promptstores.PromptStoreClient,
        clock: timers.Timers,
        gossip: gossip_module.Gossip,
        random_source: random.Random,
    ) -> None:
        self.prompt_index = prompt_index
        self.client = client
        self.clock = clock
        self.gossip = gossip
        self.random = random_source
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._role_changed = asyncio.Event()
        gossip.on_prompt_store_update = self.apply_relayed

    def wake(self) -> None:
        """Wake all watches: this instance may have to watch the stores itself now."""
        self._role_changed.set()
        self._role_changed = asyncio.Event()

    def configure(self, found: catalogue.Catalogue) -> None:
        """Watch the stores of a configuration."""
        self.prompt_index.configure(found.stores)
        for address in [
            one for one in self._tasks if one not in self.prompt_index.stores
        ]:
            self._tasks.pop(address).cancel()
        for address, contents in self.prompt_index.stores.items():
            if address not in self._tasks:
                task = asyncio.ensure_future(self._watch(contents))
                self._tasks[address] = task

    def close(self) -> None:
        """Stop watching."""
        for task in self._tasks.values():
            task.cancel()

    def apply_relayed(self, update: datagrams.PromptStoreUpdate) -> None:
        """Apply a relayed update, unless this instance watches the stores itself."""
        for contents in self.prompt_index.stores.values():
            if contents.store.name == update.store and not self.is_watching():
                contents.apply_relayed(update, self.clock.now_ms())

    def uses_hubs(self) -> bool:
        """Return whether only hubs watch the stores and relay updates."""
        return self.gossip.hubs.is_needed()

    def is_watching(self) -> bool:
        """Return whether this instance watches the stores itself."""
        return not self.uses_hubs() or self.gossip.is_hub()

    async def _watch(self, contents: PromptStoreContents) -> None:
        while True:
            try:
                pause_ms = await self._step(contents)
            except (*promptstores.FAILURES, promptstores.Busy) as error:
                if contents.epoch is not None:
                    events.emit(
                        STORE_LOST, store=contents.store.name, reason=str(error)
                    )
                contents.clear()
                if self.uses_hubs() and self.gossip.is_hub():
                    self.gossip.relay_update(
                        datagrams.PromptStoreUpdate(
                            contents.store.name, UNKNOWN_EPOCH, 0, 0.0, ()
                        )
                    )
                pause_ms = RETRY_MS
            await asyncio.sleep(pause_ms * self.random.uniform(0.8, 1.2) / 1_000)

    async def _step(self, contents: PromptStoreContents) -> float:
        """Fetch the changes of a store; returns the pause until the next step."""
        address = contents.store.address
        if contents.epoch is None:
            batch = await self.client.listing(address)
            contents.apply_listing(batch, self.clock.now_ms())
            if self.uses_hubs() and self.gossip.is_hub():
                self._relay(contents, batch._replace(changes=()))
            events.emit(
                STORE_FOUND, store=contents.store.name, parts=len(contents.parts)
            )
            return PAUSE_MS
        if not self.is_watching():
            await self._wait_for_role()
            return 0.0
        batch = await self.client.events(address, contents.position, POLL_WAIT_MS)
        if contents.apply_events(batch, self.clock.now_ms()) and self.uses_hubs():
            self._relay(contents, batch)
            return RELAY_MS
        return PAUSE_MS

    async def _wait_for_role(self) -> None:
        """Wait until this instance may have become a hub."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ROLE_CHECK_MS / 1_000):
                await self._role_changed.wait()

    def _relay(self, contents: PromptStoreContents, batch: promptstores.Batch) -> None:
        parts = {(part.salt, part.key): tokens for part, tokens in batch.changes}
        for update in datagrams.prompt_store_updates(
            contents.store.name, contents.epoch, contents.position, 0.0, parts
        ):
            self.gossip.relay_update(update)
