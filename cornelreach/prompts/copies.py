"""Which prompts an owner copies to stores, where, and what it frees there.

A document is worth its expected returns times the prefill that a copy saves, for each
byte. Within one model, prefill and bytes both go by tokens, so the expected rate of
returns alone orders documents; prompts too short to be worth a transfer are left out.

A first copy goes to the data centre where the prompt would go next: the one of the
second pool in rendezvous order of its root. So it is found again there when this data
centre is taken out, and here after it was evicted. A document that keeps returning gets
a second copy, in this data centre::

    for export in keeper.exports(now_ms):        # within the links' budgets
        ...
    for removal in keeper.removals("store-1", used_share=0.95, now_ms=now_ms):
        ...
"""

import typing

from cornelreach.prompts import directory as directory_module, documents, links, pieces
from cornelreach.util import hashing

EXPORT_PIECES = 64
MIN_EXPORT_TOKENS = 500
EXPORTS_RUNNING = 4
EXPORT_RETRY_MS = 5_000
SCANNED_DOCUMENTS = 256
PENDING_DOCUMENTS = 4_096
HIGH_SHARE = 0.90
LOW_SHARE = 0.85
REMOVED_DOCUMENTS = 64
WARM_DOCUMENTS = 64


class Store(typing.NamedTuple):
    """A store in reach; ``full`` where it has refused a write lately."""

    name: str
    data_centre: str
    full: bool = False


class Export(typing.NamedTuple):
    """Copy pieces, named by their whole keys, from an engine to a store."""

    root: str
    source: str
    store: str
    keys: tuple[str, ...]
    size_bytes: int


class Removal(typing.NamedTuple):
    """Free pieces in a store."""

    store: str
    keys: tuple[str, ...]


class WarmUp(typing.NamedTuple):
    """Bring pieces from a store to an engine that has none."""

    source: str
    target: str
    keys: tuple[str, ...]
    size_bytes: int


class _Pool(typing.NamedTuple):
    """What the copies are chosen for."""

    data_centre: str
    engines: frozenset[str]
    stores: tuple[Store, ...]
    pools: dict[str, str]
    bytes_per_token: int


class Copies:
    """The copies that one owner keeps of the documents of its pool."""

    def __init__(
        self,
        directory: directory_module.Directory,
        link_budgets: links.Links,
        known: documents.Documents | None = None,
    ) -> None:
        self.directory = directory
        self.links = link_budgets
        self.documents = known or documents.Documents()
        self.names = documents.Names()
        self.pool = _Pool("", frozenset(), (), {}, 1)
        self._pending: dict[str, float] = {}
        self._running: set[tuple[str, str]] = set()
        self._leaving = False

    def configure(
        self,
        data_centre: str,
        engines: typing.Iterable[str],
        stores: typing.Iterable[Store],
        pools: typing.Mapping[str, str],
        bytes_per_token: int,
    ) -> None:
        """Follow the settings.

        ``pools`` are those of the model that are in service, with their data centres;
        their order for a root is the one that edges use.
        """
        self.pool = _Pool(
            data_centre,
            frozenset(engines),
            tuple(stores),
            dict(pools),
            bytes_per_token,
        )

    def leave(self, leaving: bool) -> None:
        """Prepare for this data centre's take-out, or end the preparation.

        Every document then gets a copy elsewhere, those that return most first.
        """
        self._leaving = leaving
        if leaving:
            for document in self.documents.most_frequent(0.0, PENDING_DOCUMENTS):
                self._pending.setdefault(document.root, 0.0)

    def seen(self, prompt: pieces.PromptPieces, now_ms: float) -> None:
        """Note a prompt that was placed."""
        self.names.add(prompt.keys)
        self.documents.record_prompt(prompt, now_ms)

    def computed(self, root: str, now_ms: float) -> None:
        """Note that a run has ended, so that an engine holds its pieces."""
        self._pending.setdefault(root, now_ms)
        if len(self._pending) > PENDING_DOCUMENTS:
            del self._pending[next(iter(self._pending))]

    def exported(self, export: Export, keys: typing.Sequence[str], now_ms: float):
        """Note the end of an export; ``keys`` are those that the store has now."""
        self._running.discard((export.root, export.store))
        self.directory.assume(export.store, tuple(keys), now_ms)
        self._pending[export.root] = now_ms + (0 if keys else EXPORT_RETRY_MS)

    def exports(self, now_ms: float) -> list[Export]:
        """Return the copies to start now, within the budgets of their links."""
        started = []
        for document in self._due(now_ms):
            if len(self._running) >= EXPORTS_RUNNING:
                break
            export = self._export(document)
            if export is None:
                if not any(root == document.root for root, _ in self._running):
                    self._pending.pop(document.root, None)
                continue
            path = (export.source, export.store)
            if self.links.try_spend(path, export.size_bytes, now_ms):
                self.links.start(path, export.size_bytes, now_ms)
                self._running.add((export.root, export.store))
                started.append(export)
        return started

    def _due(self, now_ms: float) -> list[documents.Document]:
        found = []
        for root, due_ms in list(self._pending.items()):
            document = self.documents.get(root)
            if document is None:
                del self._pending[root]
            elif due_ms <= now_ms:
                found.append(document)
        found.sort(key=lambda one: -one.returns_per_hour(now_ms))
        return found[:SCANNED_DOCUMENTS]

    def _export(self, document: documents.Document) -> Export | None:
        """Return the next copy that a document lacks, or None."""
        held = self.directory.lookup(document.keys)
        for store in self._wanted(document):
            if (document.root, store.name) in self._running:
                continue
            found = held.get(store.name)
            start = found.prefix if found else 0
            source, count = self._source(held, start)
            count = min(count, EXPORT_PIECES)
            tokens = sum(document.tokens[start : start + count])
            keys = self.names.expand(document.keys[start : start + count])
            if len(keys) == count and tokens >= MIN_EXPORT_TOKENS:
                size_bytes = tokens * self.pool.bytes_per_token
                return Export(
                    document.root, source, store.name, tuple(keys), size_bytes
                )
        return None

    def _source(
        self, held: dict[str, directory_module.HeldPieces], start: int
    ) -> tuple[str, int]:
        """Return the engine that holds most pieces from a place on, and how many."""
        best = ("", 0)
        for name, found in held.items():
            if name in self.pool.engines and not found.stale:
                count = directory_module.run_length(found.confirmed_bits, start)
                best = max(best, (name, count), key=lambda one: one[1])
        return best

    def _wanted(self, document: documents.Document) -> list[Store]:
        """Return the stores that should hold a document, the most useful first."""
        usable = [store for store in self.pool.stores if not store.full]
        ranked = self._ranked(document.root, usable)
        if self._leaving:
            ranked = [one for one in ranked if one.data_centre != self.pool.data_centre]
        return ranked[: 2 if document.hot else 1]

    def _ranked(self, root: str, stores: typing.Sequence[Store]) -> list[Store]:
        key = bytes.fromhex(root)
        places = self.pool.pools
        ranked_pools = hashing.rendezvous(key, places)
        others = [places[pool] for pool in ranked_pools]
        others = [place for place in others if place != self.pool.data_centre]
        order = {place: rank for rank, place in enumerate(others)}
        last = len(order)

        def rank(store: Store) -> tuple[int, int]:
            own = store.data_centre == self.pool.data_centre
            place = last + 1 if own else order.get(store.data_centre, last)
            return place, -hashing.score(key, store.name)

        ranked = sorted(stores, key=rank)
        own = [one for one in ranked if one.data_centre == self.pool.data_centre]
        return ranked[:1] + [one for one in own + ranked[1:] if one != ranked[0]]

    def removals(self, store: str, used_share: float, now_ms: float) -> list[Removal]:
        """Return what to free in a store that is nearly full.

        Documents with the lowest expected rate of returns go first, and within one the
        last pieces before those that they need.
        """
        if used_share < HIGH_SHARE:
            return []
        chosen = []
        wanted = (used_share - LOW_SHARE) / used_share
        limit = max(1, int(len(self.documents) * wanted))
        for document in self.documents.least_frequent(
            now_ms, min(limit, REMOVED_DOCUMENTS)
        ):
            found = self.directory.lookup(document.keys).get(store)
            if found is not None:
                keys = self.names.expand(document.keys)
                held = [
                    key for place, key in enumerate(keys) if found.bits >> place & 1
                ]
                chosen.append(Removal(store, tuple(reversed(held))))
        return chosen

    def warm_ups(self, empty: typing.Sequence[str], now_ms: float) -> list[WarmUp]:
        """Return what to bring to engines that have started anew, best first.

        Each document goes to the engine that its root prefers among them, if no engine
        of the pool holds it. Background budgets pace it.
        """
        started = []
        for document in (
            self.documents.most_frequent(now_ms, WARM_DOCUMENTS) if empty else ()
        ):
            held = self.directory.lookup(document.keys)
            if self._source(held, 0)[1]:
                continue
            key = bytes.fromhex(document.root)
            target = hashing.rendezvous(key, empty)[0]
            warm_up = self._warm_up(document, held, target)
            if warm_up is None:
                continue
            path = (warm_up.source, target)
            if not self.links.try_spend(path, warm_up.size_bytes, now_ms):
                break
            self.links.start(path, warm_up.size_bytes, now_ms)
            self.directory.assume(target, document.keys, now_ms)
            started.append(warm_up)
        return started

    def _warm_up(
        self,
        document: documents.Document,
        held: dict[str, directory_module.HeldPieces],
        target: str,
    ) -> WarmUp | None:
        for store in self._ranked(document.root, self.pool.stores):
            found = held.get(store.name)
            count = found.prefix if found and not found.stale else 0
            keys = self.names.expand(document.keys[:count])
            if keys and len(keys) == count:
                size_bytes = sum(document.tokens[:count]) * self.pool.bytes_per_token
                return WarmUp(store.name, target, tuple(keys), size_bytes)
        return None
