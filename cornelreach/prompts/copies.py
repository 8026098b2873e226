"""Decides which documents a pool owner copies to stores, and which it removes there.

The value of a copy per byte is the expected number of returns times the prefill that it
saves. Within one model, both prefill and bytes are proportional to the tokens, so
documents are ordered by their expected rate of returns alone. Prompts too short to be
worth a transfer are not copied.

The first copy goes to the data centre that the prompt would be routed to next, that of
the second pool in the rendezvous order of its root. It is used there when this data
centre is taken out of service, and here when the engines have evicted the prompt. A
document that keeps returning gets a second copy in this data centre::

    for export in planner.start_exports(now_ms):  # within the links' budgets
        ...
    for removal in planner.plan_removals("store-1", used_share=0.95, now_ms=now_ms):
        ...
"""

import typing

from cornelreach.prompts import directory as directory_module, documents, links, pieces
from cornelreach.util import hashing

MAX_EXPORT_PIECES = 64
MIN_EXPORT_TOKENS = 500
MAX_RUNNING_EXPORTS = 4
EXPORT_RETRY_MS = 5_000
MAX_SCANNED_DOCUMENTS = 256
MAX_PENDING_DOCUMENTS = 4_096
HIGH_WATERMARK = 0.90
LOW_WATERMARK = 0.85
MAX_REMOVED_DOCUMENTS = 64
MAX_WARM_UP_DOCUMENTS = 64


class Store(typing.NamedTuple):
    """A reachable store; a ``full`` one gets no copies."""

    name: str
    data_centre: str
    full: bool = False


class Export(typing.NamedTuple):
    """Pieces, by their full keys, to copy from an engine to a store."""

    root: str
    source: str
    store: str
    keys: tuple[str, ...]
    size_bytes: int


class Removal(typing.NamedTuple):
    """Pieces to remove from a store."""

    store: str
    keys: tuple[str, ...]


class WarmUp(typing.NamedTuple):
    """Pieces to import from a store into an engine that restarted empty."""

    source: str
    target: str
    keys: tuple[str, ...]
    size_bytes: int


class _PoolSettings(typing.NamedTuple):
    """The settings of the pool; ``pools`` maps the model's pools to data centres."""

    data_centre: str
    engines: frozenset[str]
    stores: tuple[Store, ...]
    pools: dict[str, str]
    bytes_per_token: int


class CopyPlanner:
    """Plans the copies of the documents of one pool."""

    def __init__(
        self,
        directory: directory_module.Directory,
        link_budgets: links.Links,
        known_documents: documents.Documents | None = None,
    ) -> None:
        self.directory = directory
        self.links = link_budgets
        self.documents = known_documents or documents.Documents()
        self.key_index = documents.KeyIndex()
        self.pool = _PoolSettings("", frozenset(), (), {}, 1)
        self._pending: dict[str, float] = {}
        self._running: set[tuple[str, str]] = set()
        self._is_leaving = False

    def configure(
        self,
        data_centre: str,
        engines: typing.Iterable[str],
        stores: typing.Iterable[Store],
        pools: typing.Mapping[str, str],
        bytes_per_token: int,
    ) -> None:
        """Apply the settings.

        ``pools`` maps the model's pools in service to their data centres. Their order
        for a root is the one in which ``affinity`` ranks them.
        """
        self.pool = _PoolSettings(
            data_centre,
            frozenset(engines),
            tuple(stores),
            dict(pools),
            bytes_per_token,
        )

    def set_leaving(self, leaving: bool) -> None:
        """Set whether this data centre is about to be taken out of service.

        If so, every document gets a copy in another one, the most frequent ones first.
        """
        self._is_leaving = leaving
        if leaving:
            for document in self.documents.most_frequent(0.0, MAX_PENDING_DOCUMENTS):
                self._pending.setdefault(document.root, 0.0)

    def record_placement(self, prompt: pieces.PromptPieces, now_ms: float) -> None:
        """Record a prompt that was placed."""
        self.key_index.add(prompt.keys)
        self.documents.record_prompt(prompt, now_ms)

    def record_completion(self, root: str, now_ms: float) -> None:
        """Record the end of a run; an engine now holds its pieces for copying."""
        self._pending.setdefault(root, now_ms)
        if len(self._pending) > MAX_PENDING_DOCUMENTS:
            del self._pending[next(iter(self._pending))]

    def record_export(self, export: Export, keys: typing.Sequence[str], now_ms: float):
        """Record the end of an export; ``keys`` are the ones that the store has now."""
        self._running.discard((export.root, export.store))
        self.directory.assume(export.store, tuple(keys), now_ms)
        self._pending[export.root] = now_ms + (0 if keys else EXPORT_RETRY_MS)

    def start_exports(self, now_ms: float) -> list[Export]:
        """Return the copies to start now, within the budgets of their links.

        They count as running until ``record_export`` is called.
        """
        started = []
        for document in self._due_documents(now_ms):
            if len(self._running) >= MAX_RUNNING_EXPORTS:
                break
            export = self._next_export(document)
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

    def _due_documents(self, now_ms: float) -> list[documents.Document]:
        found = []
        for root, due_ms in list(self._pending.items()):
            document = self.documents.get(root)
            if document is None:
                del self._pending[root]
            elif due_ms <= now_ms:
                found.append(document)
        found.sort(key=lambda one: -one.returns_per_hour(now_ms))
        return found[:MAX_SCANNED_DOCUMENTS]

    def _next_export(self, document: documents.Document) -> Export | None:
        """Return the next export that a document needs, or None."""
        held = self.directory.lookup(document.keys)
        for store in self._preferred_stores(document):
            if (document.root, store.name) in self._running:
                continue
            found = held.get(store.name)
            start = found.prefix if found else 0
            source, count = self._source(held, start)
            count = min(count, MAX_EXPORT_PIECES)
            tokens = sum(document.tokens[start : start + count])
            keys = self.key_index.expand(document.keys[start : start + count])
            if len(keys) == count and tokens >= MIN_EXPORT_TOKENS:
                size_bytes = tokens * self.pool.bytes_per_token
                return Export(
                    document.root, source, store.name, tuple(keys), size_bytes
                )
        return None

    def _source(
        self, held: dict[str, directory_module.HeldPieces], start: int
    ) -> tuple[str, int]:
        """Return the engine with most pieces in a row from ``start``, and how many."""
        best = ("", 0)
        for name, found in held.items():
            if name in self.pool.engines and not found.stale:
                count = directory_module.run_length(found.confirmed_bits, start)
                best = max(best, (name, count), key=lambda one: one[1])
        return best

    def _preferred_stores(self, document: documents.Document) -> list[Store]:
        """Return the stores that should hold a document, in order of preference."""
        usable = [store for store in self.pool.stores if not store.full]
        ranked = self._rank_stores(document.root, usable)
        if self._is_leaving:
            ranked = [one for one in ranked if one.data_centre != self.pool.data_centre]
        return ranked[: 2 if document.hot else 1]

    def _rank_stores(self, root: str, stores: typing.Sequence[Store]) -> list[Store]:
        key = bytes.fromhex(root)
        data_centres = self.pool.pools
        ranked_pools = hashing.rendezvous(key, data_centres)
        others = [data_centres[pool] for pool in ranked_pools]
        others = [name for name in others if name != self.pool.data_centre]
        order = {name: rank for rank, name in enumerate(others)}
        last = len(order)

        def rank(store: Store) -> tuple[int, int]:
            own = store.data_centre == self.pool.data_centre
            position = last + 1 if own else order.get(store.data_centre, last)
            return position, -hashing.score(key, store.name)

        ranked = sorted(stores, key=rank)
        own = [one for one in ranked if one.data_centre == self.pool.data_centre]
        return ranked[:1] + [one for one in own + ranked[1:] if one != ranked[0]]

    def plan_removals(
        self, store: str, used_share: float, now_ms: float
    ) -> list[Removal]:
        """Return the pieces to remove from a store that is nearly full.

        Documents with the lowest expected rate of returns are removed first. Within a
        document the last pieces go first, as they are of no use without those before.
        """
        if used_share < HIGH_WATERMARK:
            return []
        chosen = []
        freed_share = (used_share - LOW_WATERMARK) / used_share
        limit = max(1, int(len(self.documents) * freed_share))
        for document in self.documents.least_frequent(
            now_ms, min(limit, MAX_REMOVED_DOCUMENTS)
        ):
            found = self.directory.lookup(document.keys).get(store)
            if found is not None:
                keys = self.key_index.expand(document.keys)
                held = [
                    key for index, key in enumerate(keys) if found.bits >> index & 1
                ]
                chosen.append(Removal(store, tuple(reversed(held))))
        return chosen

    def start_warm_ups(
        self, empty: typing.Sequence[str], now_ms: float
    ) -> list[WarmUp]:
        """Return the imports into restarted engines, most frequent documents first.

        A document that no engine of the pool holds goes to the engine that is first in
        the rendezvous order of its root. The background budgets limit the rate.
        """
        started = []
        for document in (
            self.documents.most_frequent(now_ms, MAX_WARM_UP_DOCUMENTS) if empty else ()
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
        for store in self._rank_stores(document.root, self.pool.stores):
            found = held.get(store.name)
            count = found.prefix if found and not found.stale else 0
            keys = self.key_index.expand(document.keys[:count])
            if keys and len(keys) == count:
                size_bytes = sum(document.tokens[:count]) * self.pool.bytes_per_token
                return WarmUp(store.name, target, tuple(keys), size_bytes)
        return None
