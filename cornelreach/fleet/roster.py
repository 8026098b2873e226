"""Instances known from the platform's lagging list alone."""

import typing

from cornelreach.platform import results
from cornelreach.util import hashing


class Roster:
    """Live instances by name; the first view of a fleet before any heartbeat."""

    def __init__(self, name: str, data_centre: str, peer_address: str) -> None:
        self.own = results.Instance(name, data_centre, peer_address)
        self._instances: dict[str, results.Instance] = {name: self.own}

    def update(self, instances: typing.Iterable[results.Instance]) -> None:
        """Take over the platform's list; this instance always stays in it."""
        live = {one.name: one for one in instances if one.state == "live"}
        self._instances = {**live, self.own.name: self.own}

    def names(self, data_centre: str) -> list[str]:
        """Return the live instances of a data centre."""
        return sorted(
            one.name
            for one in self._instances.values()
            if one.data_centre == data_centre
        )

    def addresses(self) -> dict[str, str]:
        """Return the peer address of every live instance by name."""
        return {one.name: one.peer_address for one in self._instances.values()}

    def address(self, instance: str) -> str:
        """Return the peer address of an instance, empty if it is unknown."""
        found = self._instances.get(instance)
        return found.peer_address if found else ""

    def in_reach(self, data_centre: str) -> bool:
        """Return whether any instance of a data centre is known."""
        return bool(self.names(data_centre))

    def owner(self, pool: str, data_centre: str) -> str:
        """Return the instance that owns a pool by rendezvous, or an empty name."""
        order = hashing.rendezvous(pool.encode(), self.names(data_centre))
        return order[0] if order else ""
