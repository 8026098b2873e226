"""Faults of targets, stores and links, by name, each a change to a running site."""

import typing

from standins import cacheevents

STALL_MS = 4_000.0
SLOW_SHARE = 0.05
FIRST_READER = "reader-0"
FIRST_STORE = "store-0"


class Site(typing.Protocol):
    """What a fault changes of ``site.Site``."""

    engines: dict[str, typing.Any]
    stores: dict[str, typing.Any]
    links: dict[str, typing.Any]


def turn_cold(site: Site) -> None:
    """An engine restarts unannounced."""
    site.engines[FIRST_READER].turn_cold()


def turn_all_cold(site: Site) -> None:
    """Every engine restarts at once."""
    for engine in site.engines.values():
        engine.turn_cold()


def freeze_reports(site: Site) -> None:
    """Load reports of all engines stay as they are."""
    for engine in site.engines.values():
        engine.frozen = True


def freeze_then_turn_cold(site: Site) -> None:
    """An engine turns cold and its report still shows the time before."""
    freeze_reports(site)
    turn_cold(site)


def lose_events(site: Site) -> None:
    """A third of all cache events is lost and a third repeated, all come late."""
    worse = cacheevents.Faults(2_000.0, 0.33, 0.33)
    for engine in site.engines.values():
        engine.cache.events.faults = worse
    for store in site.stores.values():
        store.events.faults = worse


def kill_store(site: Site) -> None:
    """A store loses everything."""
    site.stores[FIRST_STORE].restart()


def fill_stores(site: Site) -> None:
    """No store has room for another block."""
    for store in site.stores.values():
        used = store.used_bytes
        store.settings = store.settings._replace(
            memory_bytes=max(1, used["memory"]), disk_bytes=max(1, used["disk"])
        )


def stall_link(site: Site) -> None:
    """A store's link stands still for a while."""
    site.links[FIRST_STORE].stall(STALL_MS)


def slow_links(site: Site) -> None:
    """All links fall to a small share of their rate."""
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
