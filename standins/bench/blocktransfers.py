"""Transfers of blocks between the engines and stores of a site in virtual time.

A block is committed at its destination only if its generation at the source is the
same after the transfer as before::

    blocktransfers.import_blocks(
        site, "store-0", "reader-1", keys, lambda imported: ...
    )
"""

import typing

from standins import profiles, storemodel
from standins.bench import site as site_module

BYTES_PER_TOKEN = 1_000
TransferCallback = typing.Callable[[list[str]], None]


def _generation(site: site_module.Site, name: str, key: str) -> int | None:
    """Return the generation of a readable block, or None."""
    holder = site.engines[name].cache if name in site.engines else site.stores[name]
    block = holder.blocks.get(key)
    return block.generation if block is not None and block.committed else None


def _unchanged(
    site: site_module.Site, name: str, generations: dict[str, int]
) -> list[str]:
    return [
        key
        for key, generation in generations.items()
        if _generation(site, name, key) == generation
    ]


def _readable(
    site: site_module.Site, name: str, keys: typing.Sequence[str]
) -> dict[str, int]:
    """Return the generations of the leading keys that are readable."""
    found: dict[str, int] = {}
    for key in keys:
        generation = _generation(site, name, key)
        if generation is None:
            break
        found[key] = generation
    return found


def import_blocks(
    site: site_module.Site,
    source: str,
    target: str,
    keys: typing.Sequence[str],
    on_done: TransferCallback,
) -> None:
    """Import blocks into an engine; ``on_done`` gets the keys that are readable there.

    Leading blocks that the engine already has are pinned and not transferred.
    """
    engine = site.engines[target]
    boot = engine.boot_id
    pinned = engine.pin_prefix(keys)
    generations = _readable(site, source, keys)
    tokens = profiles.PIECE_TOKENS
    missing = list(generations)[len(pinned) :]
    wait_ms = max(
        _send_ms(site, source, missing),
        site.links[target].reserve(len(missing) * tokens * BYTES_PER_TOKEN),
    )

    def finish() -> None:
        kept = _unchanged(site, source, generations)
        if engine.boot_id != boot:
            kept = []
        staged = engine.stage(dict.fromkeys(kept, tokens), pinned)
        on_done(engine.commit(staged, kept))

    site.timers.after(wait_ms + 2 * site_module.HOP_MS, finish)


def _send_ms(site: site_module.Site, source: str, keys: list[str]) -> float:
    if source in site.stores:
        return max((site.stores[source].read_ms(key) for key in keys), default=0.0)
    size_bytes = len(keys) * profiles.PIECE_TOKENS * BYTES_PER_TOKEN
    return site.links[source].reserve(size_bytes)


def export_blocks(
    site: site_module.Site,
    source: str,
    store_name: str,
    keys: typing.Sequence[str],
    on_done: TransferCallback,
) -> None:
    """Copy blocks of an engine to a store; ``on_done`` gets the committed keys."""
    store = site.stores[store_name]
    boot = store.boot_id
    size_bytes = profiles.PIECE_TOKENS * BYTES_PER_TOKEN
    written: dict[str, int] = {}
    wait_ms = 0.0
    for key, generation in _readable(site, source, keys).items():
        try:
            write_ms = store.write(key, size_bytes)
        except storemodel.Full:
            break
        written[key] = generation
        wait_ms = max(wait_ms, write_ms, site.links[source].reserve(size_bytes))

    def finish() -> None:
        kept = _unchanged(site, source, written)
        for key in set(written) - set(kept):
            store.delete(key)
        same = store.boot_id == boot
        on_done([key for key in kept if same and store.commit(key)])

    site.timers.after(wait_ms + 2 * site_module.HOP_MS, finish)
