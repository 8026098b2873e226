"""Named faults of targets, stores and links; each changes a running site."""

import typing

from standins import cacheevents

STALL_MS = 4_000.0
SLOW_SHARE = 0.05
FIRST_READER = "reader-0"
FIRST_STORE = "store-0"


class Site(typing.Protocol):
    """The parts of ``site.Site`` that faults change."""

    engines: dict[str, typing.Any]
    stores: dict[str, typing.Any]
    links: dict[str, typing.Any]


def turn_cold(site: Site) -> None:
    """Restart an engine without notice."""
    site.engines[FIRST_READER].turn_cold()


def turn_all_cold(site: Site) -> None:
    """Restart every engine at the same time."""
    for engine in site.engines.values():
        engine.turn_cold()


def freeze_reports(site: Site) -> None:
    """Stop updating the load reports of all engines."""
    for engine in site.engines.values():
        engine.frozen = True


def freeze_then_turn_cold(site: Site) -> None:
    """Restart an engine whose load report still shows the state before."""
    freeze_reports(site)
    turn_cold(site)


def lose_events(site: Site) -> None:
    """Lose a third of all cache events, repeat a third, and delay all of them."""
    lossy_events = cacheevents.Faults(2_000.0, 0.33, 0.33)
    for engine in site.engines.values():
        engine.cache.events.faults = lossy_events
    for store in site.stores.values():
        store.events.faults = lossy_events


def kill_store(site: Site) -> None:
    """Restart a store, which loses all blocks."""
    site.stores[FIRST_STORE].restart()


def fill_stores(site: Site) -> None:
    """Reduce every store's limits to what it holds, so that no block fits."""
    for store in site.stores.values():
        used = store.used_bytes
        store.settings = store.settings._replace(
            memory_bytes=max(1, used["memory"]), disk_bytes=max(1, used["disk"])
        )


def stall_link(site: Site) -> None:
    """Stall a store's link for ``STALL_MS``."""
    site.links[FIRST_STORE].stall(STALL_MS)


def slow_links(site: Site) -> None:
    """Reduce the rate of all links to ``SLOW_SHARE``."""
    for link in site.links.values():
        link.bytes_per_s *= SLOW_SHARE


FAULTS: dict[str, typing.Callable[[Site], None]] = {
    "turn cold": turn_cold,
    "turn all cold": turn_all_cold,
    "freeze reports": freeze_reports,
    "freeze then turn cold": freeze_then_turn_cold,
    "lose events": lose_events,
    "kill store": kill_store,
    "fill stores": fill_stores,
    "stall link": stall_link,
    "slow links": slow_links,
}
