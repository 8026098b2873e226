"""Who can be called now: names and addresses, from a node's knowledge."""

from cornelreach.fleet import node as node_module
from cornelreach.util import hashing, timers as timers_module


class Directory:
    """Instances that take new work, by data centre."""

    def __init__(self, node: node_module.Node, clock: timers_module.Timers) -> None:
        self.node = node
        self.clock = clock

    def names(self, data_centre: str) -> list[str]:
        """Return the instances of a data centre that take new work.

        Of another data centre these are the listed and the recently heard ones.
        """
        if data_centre == self.node.me.data_centre:
            return [identity.name for identity in self.node.membership.serving()]
        return sorted(self.node.sites.contacts(data_centre))

    def addresses(self) -> dict[str, str]:
        """Return the peer address of every known instance by name."""
        found = {
            name: contact.address
            for site in self.node.sites.names()
            for name, contact in self.node.sites.contacts(site).items()
        }
        serving = self.node.membership.serving()
        return found | {identity.name: identity.address for identity in serving}

    def address(self, instance: str) -> str:
        """Return the peer address of an instance, empty if it is unknown."""
        identity = self.node.membership.serves(instance)
        if identity is not None:
            return identity.address
        contact = self.node.sites.contact(instance)
        return contact.address if contact is not None else ""

    def knows(self, data_centre: str, instance: str) -> bool:
        """Return whether an instance is among the ``names`` of a data centre."""
        if data_centre == self.node.me.data_centre:
            return self.node.membership.serves(instance) is not None
        contact = self.node.sites.contact(instance)
        return contact is not None and contact.data_centre == data_centre

    def in_reach(self, data_centre: str) -> bool:
        """Return whether calls to a data centre get through at present."""
        return self.node.sites.reachable(data_centre, self.clock.now_ms())

    def owner(self, pool: str, data_centre: str) -> str:
        """Return the instance that owns a pool by rendezvous, or an empty name."""
        order = hashing.rendezvous(pool.encode(), self.names(data_centre))
        return order[0] if order else ""
