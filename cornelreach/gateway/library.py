"""Which parts of prompts lie whole in which store of kept prompts.

A store checks nothing when an engine fetches from it, so a part is named as a source
only while the store's own events prove it: it was reported complete, in the present
incarnation, and the store has answered a moment ago. Where to keep a new part follows
from its name and the stores' sizes, so that instances agree without talking::

    shelf = library.source(part, salt, now_ms)    # an address, or None
    library.place(part, salt)                     # where to keep it, or None
"""

import asyncio
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
PACE_MS = 120.0
RETRY_MS = 300.0
LISTEN_MS = 600.0  # between two looks whether this instance has become a hub
TRUST_MS = 1_500.0  # the wait of a poll, and the call's margin
FULL_SHARE = 0.95
LEAST_DELAY_MS = 80.0  # less is the engines' own unevenness
WORTH_SHARE = 2.0  # a part read again also takes the engine's time from others
SLOW_MS = 120.0  # a store that delays fetches so long is not given more to keep
DELAY_WEIGHT = 0.2
DELAY_FADES_MS = 2_500.0
SAVING_MS = 3_000.0  # a save under way that shows no end by then is tried again
RELAY_MS = 250.0
HASH_RANGE = float(1 << 64)

SHELF_LOST = events.define(
    2301,
    "WARNING",
    "Prompt store {store} cannot be followed: {reason}.",
    "Look at the store; prompts are read again meanwhile.",
)
SHELF_FOUND = events.define(
    2302, "INFO", "Prompt store {store} is followed: {parts} parts.", "Nothing."
)


class Shelf:
    """What is known of one store."""

    def __init__(self, store: catalogue.PromptStore) -> None:
        self.store = store
        self.epoch: int | None = None
        self.position = 0
        self.parts: dict[promptstores.PartKey, int] = {}
        self.tokens = 0
        self.answered_ms: float | None = None
        self.saving: dict[promptstores.PartKey, float] = {}
        self._delay_ms = 0.0
        self._delay_at_ms = 0.0

    def note_delay(self, delay_ms: float, now_ms: float) -> None:
        """Learn how much longer than reading nothing a fetch from here took."""
        held_ms = self.delay_ms(now_ms)
        self._delay_ms = held_ms + DELAY_WEIGHT * (max(0.0, delay_ms) - held_ms)
        self._delay_at_ms = now_ms

    def delay_ms(self, now_ms: float) -> float:
        """Return the delay of fetches lately; it fades, so that it is tried again."""
        return self._delay_ms * math.exp((self._delay_at_ms - now_ms) / DELAY_FADES_MS)

    def is_trusted(self, now_ms: float) -> bool:
        """Return whether what is known of the store still holds."""
        return (
            self.epoch is not None
            and self.answered_ms is not None
            and now_ms - self.answered_ms <= TRUST_MS
        )

    def clear(self) -> None:
        """Forget everything: another incarnation may hold nothing of it."""
        self.epoch = None
        self.parts.clear()
        self.tokens = 0
        self.saving.clear()

    def take_listing(self, batch: promptstores.Batch, now_ms: float) -> None:
        """Take over all that a store holds."""
        self.clear()
        self.epoch, self.position = batch.epoch, batch.position
        self._apply(batch.changes)
        self.answered_ms = now_ms

    def take_events(self, batch: promptstores.Batch, now_ms: float) -> bool:
        """Take over changes; return False if a listing is needed first."""
        if batch.epoch != self.epoch or batch.gap:
            self.clear()
            return False
        self.position = batch.position
        self._apply(batch.changes)
        self.answered_ms = now_ms
        return True

    def take_relayed(self, news: datagrams.ShelfNews, now_ms: float) -> None:
        """Take over what a peer that follows the store relays.

        Parts that a lost datagram named are missed: they are read again. Nothing
        leaves a store but with its incarnation, or with a version of weights.
        """
        if news.epoch != self.epoch:
            self.clear()
            self.epoch = news.epoch
        self.position = news.position
        self._apply(
            promptstores.Stored(promptstores.PartKey(salt, key), tokens)
            for salt, key, tokens in news.parts
        )
        answered_ms = now_ms - news.age_ms
        self.answered_ms = max(self.answered_ms or answered_ms, answered_ms)

    def _apply(self, changes: typing.Iterable[promptstores.Stored]) -> None:
        for part, tokens in changes:
            self.tokens += tokens - self.parts.pop(part, 0)
            self.saving.pop(part, None)
            if tokens:
                self.parts[part] = tokens

    def has_room(self, tokens: int) -> bool:
        """Return whether a part of a size still fits."""
        return self.tokens + tokens <= self.store.tokens * FULL_SHARE


class Library:
    """All stores of kept prompts."""

    def __init__(self) -> None:
        self.shelves: dict[str, Shelf] = {}

    def configure(self, stores: typing.Iterable[catalogue.PromptStore]) -> None:
        """Follow exactly these stores from now on."""
        found = {one.address: one for one in stores}
        for address in [one for one in self.shelves if one not in found]:
            del self.shelves[address]
        for address, store in found.items():
            if address not in self.shelves:
                self.shelves[address] = Shelf(store)

    def source(
        self, part: calls.Part, salt: str, now_ms: float, pace: float = math.inf
    ) -> str | None:
        """Return the store from which a part can be fetched, the fastest first.

        A store that lately delayed fetches by far more than an engine takes to read
        the part at ``pace``, in tokens a millisecond, is none.
        """
        key = promptstores.PartKey(salt, part.key)
        worth_ms = part.tokens / pace if pace < math.inf else math.inf
        holders = [
            shelf
            for shelf in self.shelves.values()
            if shelf.parts.get(key, 0) >= part.tokens
            and shelf.is_trusted(now_ms)
            and shelf.delay_ms(now_ms) <= max(LEAST_DELAY_MS, WORTH_SHARE * worth_ms)
        ]
        if not holders:
            return None
        return max(holders, key=lambda one: one.store.link_mbps).store.address

    def place(self, part: calls.Part, salt: str, now_ms: float) -> str | None:
        """Return the store that is to keep a part that none holds, or None."""
        key = promptstores.PartKey(salt, part.key)
        trusted = [one for one in self.shelves.values() if one.is_trusted(now_ms)]
        if any(key in one.parts for one in trusted):
            return None
        free = [
            one
            for one in trusted
            if one.has_room(part.tokens) and one.delay_ms(now_ms) <= SLOW_MS
        ]
        if not free:
            return None
        chosen = max(free, key=lambda one: self._weight(key, one.store))
        if now_ms - chosen.saving.get(key, -SAVING_MS) < SAVING_MS:
            return None
        chosen.saving[key] = now_ms
        return chosen.store.address

    def delayed(self, addresses: set[str], delay_ms: float, now_ms: float) -> None:
        """Learn the delay of a prompt that was fetched in part from stores."""
        for address in addresses & set(self.shelves):
            self.shelves[address].note_delay(delay_ms, now_ms)

    @staticmethod
    def _weight(key: promptstores.PartKey, store: catalogue.PromptStore) -> float:
        # Weighted rendezvous: each store gets parts in proportion to its size.
        name = f"{key.salt}/{key.key}".encode()
        chance = (hashing.score(name, store.name) + 0.5) / HASH_RANGE
        return chance ** (1.0 / max(1, store.tokens))


class Librarian:
    """Follows the events of the stores into the library.

    In a larger fleet the hub of each data centre follows the stores and relays what it
    learns, so that the stores bear the calls. An instance lists a store once itself
    before it takes what is relayed.
    """

    def __init__(
        self,
        library: Library,
        stores: promptstores.Stores,
        clock: timers.Timers,
        gossip: gossip_module.Gossip,
        source: random.Random,
    ) -> None:
        self.library = library
        self.stores = stores
        self.clock = clock
        self.gossip = gossip
        self.random = source
        self._tasks: dict[str, asyncio.Task[None]] = {}
        gossip.on_shelf = self.take_relayed

    def configure(self, found: catalogue.Catalogue) -> None:
        """Follow the stores of a configuration."""
        self.library.configure(found.stores)
        for address in [one for one in self._tasks if one not in self.library.shelves]:
            self._tasks.pop(address).cancel()
        for address, shelf in self.library.shelves.items():
            if address not in self._tasks:
                task = asyncio.ensure_future(self._follow(shelf))
                self._tasks[address] = task

    def close(self) -> None:
        """Stop following."""
        for task in self._tasks.values():
            task.cancel()

    def take_relayed(self, news: datagrams.ShelfNews) -> None:
        """Take over what a peer relays, unless this instance follows the store."""
        for shelf in self.library.shelves.values():
            if shelf.store.name == news.store and not self.watches():
                shelf.take_relayed(news, self.clock.now_ms())

    def relays(self) -> bool:
        """Return whether stores are followed by a few instances for all."""
        return self.gossip.hubs.is_needed()

    def watches(self) -> bool:
        """Return whether this instance follows the stores itself."""
        return not self.relays() or self.gossip.leads()

    async def _follow(self, shelf: Shelf) -> None:
        while True:
            try:
                pause_ms = await self._step(shelf)
            except (*promptstores.FAILURES, promptstores.Busy) as error:
                if shelf.epoch is not None:
                    events.emit(SHELF_LOST, store=shelf.store.name, reason=str(error))
                shelf.clear()
                pause_ms = RETRY_MS
            await asyncio.sleep(pause_ms * self.random.uniform(0.8, 1.2) / 1_000)

    async def _step(self, shelf: Shelf) -> float:
        """Learn what is new at a store, and return the pause until the next time."""
        address = shelf.store.address
        if shelf.epoch is None:
            batch = await self.stores.listing(address)
            shelf.take_listing(batch, self.clock.now_ms())
            events.emit(SHELF_FOUND, store=shelf.store.name, parts=len(shelf.parts))
            return PACE_MS
        if not self.watches():
            return LISTEN_MS
        batch = await self.stores.events(address, shelf.position, POLL_WAIT_MS)
        if shelf.take_events(batch, self.clock.now_ms()) and self.relays():
            self._relay(shelf, batch)
            return RELAY_MS
        return PACE_MS

    def _relay(self, shelf: Shelf, batch: promptstores.Batch) -> None:
        parts = {(part.salt, part.key): tokens for part, tokens in batch.changes}
        for news in datagrams.shelf_news(
            shelf.store.name, shelf.epoch, shelf.position, 0.0, parts
        ):
            self.gossip.relay(news)
