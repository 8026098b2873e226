"""Copies the prompts of one pool to stores and removes copies, in virtual time."""

import typing

from cornelreach.prompts import copies, directory as directory_module, links, pieces
from standins import load
from standins.bench import blocktransfers, site as site_module

EXPORT_INTERVAL_MS = 200.0
REMOVAL_INTERVAL_MS = 1_000.0
WARM_UP_INTERVAL_MS = 500.0


class CopyRunner:
    """Carries out the decisions of ``copies.CopyPlanner`` for one pool."""

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
        self._full_stores: set[str] = set()
        self._restarted: set[str] = set()
        self.configure()
        site.timers.every(EXPORT_INTERVAL_MS, self._export)
        site.timers.every(REMOVAL_INTERVAL_MS, self._remove)
        site.timers.every(WARM_UP_INTERVAL_MS, self._warm_up)

    def configure(self) -> None:
        """Pass the stores and pools of the data centres in service to the planner."""
        data_centre, _, model = self.pool.partition("/")
        data_centres_in_use = {
            self.site.data_centres[name] for name in self.site.serving(model)
        }
        pools = {f"{place}/{model}": place for place in data_centres_in_use}
        stores = [
            copies.Store(name, self.site.data_centres[name], name in self._full_stores)
            for name in self.site.stores
        ]
        self.copies.configure(
            data_centre, self.targets, stores, pools, blocktransfers.BYTES_PER_TOKEN
        )
        self.copies.set_leaving(data_centre in self.site.taken_out)

    def record_placement(self, prompt: pieces.PromptPieces) -> None:
        """Record that a prompt was placed."""
        self.copies.record_placement(prompt, self.site.timers.now_ms())

    def record_completion(self, prompt: pieces.PromptPieces) -> None:
        """Record that an engine has the whole prompt in its cache."""
        self.copies.record_completion(prompt.root, self.site.timers.now_ms())

    def record_restart(self, target: str) -> None:
        """Record that an engine restarted and its cache is empty."""
        self._restarted.add(target)

    def _export(self) -> None:
        for export in self.copies.start_exports(self.site.timers.now_ms()):
            blocktransfers.export_blocks(
                self.site,
                export.source,
                export.store,
                export.keys,
                self._export_callback(export),
            )

    def _export_callback(
        self, export: copies.Export
    ) -> blocktransfers.TransferCallback:
        def on_done(keys: list[str]) -> None:
            if len(keys) < len(export.keys) and self._is_full(export.store):
                self._full_stores.add(export.store)
                self.configure()
            self.copies.record_export(export, keys, self.site.timers.now_ms())

        return on_done

    def _fill_share(self, store: str) -> float:
        state = self.site.stores[store].state()
        room = state["memory_bytes"] + state["disk_bytes"]
        return (state["memory_used"] + state["disk_used"]) / room

    def _is_full(self, store: str) -> bool:
        return self._fill_share(store) > copies.HIGH_WATERMARK

    def _remove(self) -> None:
        if load.DRAFTER in self.pool:
            return
        now_ms = self.site.timers.now_ms()
        for store in self.site.stores:
            for removal in self.copies.plan_removals(
                store, self._fill_share(store), now_ms
            ):
                for key in removal.keys:
                    self.site.stores[store].delete(key)
        still_full = {store for store in self._full_stores if self._is_full(store)}
        if still_full != self._full_stores:
            self._full_stores = still_full
            self.configure()

    def _warm_up(self) -> None:
        self._restarted = {
            name for name in self._restarted if self.site.engines[name].state()["cold"]
        }
        now_ms = self.site.timers.now_ms()
        for warm_up in self.copies.start_warm_ups(sorted(self._restarted), now_ms):
            blocktransfers.import_blocks(
                self.site,
                warm_up.source,
                warm_up.target,
                warm_up.keys,
                lambda keys: None,
            )
