"""Targets by pool and by data centre, kept up to date one target at a time.

The cost of a change grows with the pool that it touches, not with the fleet::

    index = Index()
    index.replace(None, target)
    index.pools[target.pool_name], index.sites[target.data_centre]
"""

from cornelreach.settings import items


class Index:
    """What the targets add up to; its lists are replaced, never changed in place.

    ``pools`` gives the targets of a pool by its name, ``serving`` the pools of a model
    or service, ``sites`` the targets of a data centre by name.
    """

    def __init__(self) -> None:
        self.pools: dict[str, list[items.Target]] = {}
        self.serving: dict[str, dict[str, list[items.Target]]] = {}
        self.sites: dict[str, dict[str, items.Target]] = {}
        self.stores: dict[str, items.Target] = {}

    def replace(self, former: items.Target | None, held: items.Target | None) -> None:
        """Put a target in place of its former item; None stands for no item."""
        if former is not None:
            self._remove(former)
        if held is not None:
            self._add(held)

    def _add(self, target: items.Target) -> None:
        pool, model = target.pool_name, self.serving.setdefault(target.serves, {})
        self.pools[pool] = sorted([*self.pools.get(pool, ()), target])
        model[pool] = sorted([*model.get(pool, ()), target])
        self.sites.setdefault(target.data_centre, {})[target.name] = target
        if target.kind == "store":
            self.stores[target.name] = target

    def _remove(self, target: items.Target) -> None:
        model = self.serving.get(target.serves, {})
        _drop(self.pools, target)
        _drop(model, target)
        if not model:
            self.serving.pop(target.serves, None)
        site = self.sites.get(target.data_centre, {})
        site.pop(target.name, None)
        if not site:
            self.sites.pop(target.data_centre, None)
        self.stores.pop(target.name, None)


def _drop(pools: dict[str, list[items.Target]], target: items.Target) -> None:
    """Take a target out; two items may bear one name, so it may be gone already."""
    left = [one for one in pools.get(target.pool_name, ()) if one != target]
    if left:
        pools[target.pool_name] = left
    else:
        pools.pop(target.pool_name, None)
