"""Index of targets by pool, model or service, and data centre.

It is updated one target at a time; the cost of an update depends on the size of the
pool and not on the number of targets in the fleet::

    index = TargetIndex()
    index.replace(None, target)
    index.by_pool[target.pool_name], index.by_data_centre[target.data_centre]
"""

from cornelreach.settings import items


class TargetIndex:
    """Looks targets up; its lists are replaced and never modified in place.

    ``by_pool`` has the targets of each pool, ``pools_by_served`` the pools of each
    model or service, ``by_data_centre`` the targets of each data centre by name, and
    ``stores`` the prompt stores by name.
    """

    def __init__(self) -> None:
        self.by_pool: dict[str, list[items.Target]] = {}
        self.pools_by_served: dict[str, dict[str, list[items.Target]]] = {}
        self.by_data_centre: dict[str, dict[str, items.Target]] = {}
        self.stores: dict[str, items.Target] = {}

    def replace(self, old: items.Target | None, new: items.Target | None) -> None:
        """Replace the old item of a target by the new one; None means no item."""
        if old is not None:
            self._remove(old)
        if new is not None:
            self._add(new)

    def _add(self, target: items.Target) -> None:
        pool, served_pools = (
            target.pool_name,
            self.pools_by_served.setdefault(target.serves, {}),
        )
        self.by_pool[pool] = sorted([*self.by_pool.get(pool, ()), target])
        served_pools[pool] = sorted([*served_pools.get(pool, ()), target])
        self.by_data_centre.setdefault(target.data_centre, {})[target.name] = target
        if target.kind == "store":
            self.stores[target.name] = target

    def _remove(self, target: items.Target) -> None:
        served_pools = self.pools_by_served.get(target.serves, {})
        _remove_from_pool(self.by_pool, target)
        _remove_from_pool(served_pools, target)
        if not served_pools:
            self.pools_by_served.pop(target.serves, None)
        in_data_centre = self.by_data_centre.get(target.data_centre, {})
        in_data_centre.pop(target.name, None)
        if not in_data_centre:
            self.by_data_centre.pop(target.data_centre, None)
        self.stores.pop(target.name, None)


def _remove_from_pool(
    by_pool: dict[str, list[items.Target]], target: items.Target
) -> None:
    """Remove a target, if present: another item of its name may have removed it."""
    remaining = [
        other for other in by_pool.get(target.pool_name, ()) if other != target
    ]
    if remaining:
        by_pool[target.pool_name] = remaining
    else:
        by_pool.pop(target.pool_name, None)
