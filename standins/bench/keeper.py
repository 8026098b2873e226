"""Carries out the copies that an owner keeps in stores, in virtual time."""

import typing

from cornelreach.prompts import copies, directory as directory_module, links, pieces
from standins import load
from standins.bench import moves, site as site_module

EXPORTS_MS = 200.0
REMOVALS_MS = 1_000.0
WARM_UPS_MS = 500.0


class Keeper:
    """The shell of ``copies.CopyPlanner`` for one pool."""

    def __init__(
        self,
        site: site_module.Site,
        pool: str,
        targets: typing.Sequence[str],
        directory: directory_module.Directory,
        budgets: links.Links,
    ) -> None:
        self.site = site
        self.pool = pool
        self.targets = targets
        self.copies = copies.CopyPlanner(directory, budgets)
        self._full: set[str] = set()
        self._empty: set[str] = set()
        self.configure()
        site.timers.every(EXPORTS_MS, self._export)
        site.timers.every(REMOVALS_MS, self._remove)
        site.timers.every(WARM_UPS_MS, self._warm_up)

    def configure(self) -> None:
        """Follow the data centres in service."""
        data_centre, _, model = self.pool.partition("/")
        places = {self.site.data_centres[name] for name in self.site.serving(model)}
        pools = {f"{place}/{model}": place for place in places}
        stores = [
            copies.Store(name, self.site.data_centres[name], name in self._full)
            for name in self.site.stores
        ]
        self.copies.configure(
            data_centre, self.targets, stores, pools, moves.BYTES_PER_TOKEN
        )
        self.copies.set_leaving(data_centre in self.site.taken_out)

    def placed(self, prompt: pieces.PromptPieces) -> None:
        """Note a prompt that was placed."""
        self.copies.record_placement(prompt, self.site.timers.now_ms())

    def computed(self, prompt: pieces.PromptPieces) -> None:
        """Note that an engine holds a prompt."""
        self.copies.record_completion(prompt.root, self.site.timers.now_ms())

    def restarted(self, target: str) -> None:
        """Note that an engine of the pool is empty."""
        self._empty.add(target)

    def _export(self) -> None:
        for export in self.copies.start_exports(self.site.timers.now_ms()):
            moves.export(
                self.site, export.source, export.store, export.keys, self._ended(export)
            )

    def _ended(self, export: copies.Export) -> moves.Done:
        def ended(keys: list[str]) -> None:
            if len(keys) < len(export.keys) and self._is_full(export.store):
                self._full.add(export.store)
                self.configure()
            self.copies.record_export(export, keys, self.site.timers.now_ms())

        return ended

    def _share(self, store: str) -> float:
        state = self.site.stores[store].state()
        room = state["memory_bytes"] + state["disk_bytes"]
        return (state["memory_used"] + state["disk_used"]) / room

    def _is_full(self, store: str) -> bool:
        return self._share(store) > copies.HIGH_WATERMARK

    def _remove(self) -> None:
        if load.DRAFTER in self.pool:
            return
        now_ms = self.site.timers.now_ms()
        for store in self.site.stores:
            for removal in self.copies.plan_removals(store, self._share(store), now_ms):
                for key in removal.keys:
                    self.site.stores[store].delete(key)
        still_full = {store for store in self._full if self._is_full(store)}
        if still_full != self._full:
            self._full = still_full
            self.configure()

    def _warm_up(self) -> None:
        self._empty = {
            name for name in self._empty if self.site.engines[name].state()["cold"]
        }
        now_ms = self.site.timers.now_ms()
        for warm_up in self.copies.start_warm_ups(sorted(self._empty), now_ms):
            moves.pull(
                self.site,
                warm_up.source,
                warm_up.target,
                warm_up.keys,
                lambda keys: None,
            )
