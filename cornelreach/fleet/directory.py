"""Names and addresses of the instances that can be called, as a node knows them."""

from cornelreach.fleet import node as node_module
from cornelreach.util import hashing, timers as timers_module


class Directory:
    """The instances that accept new work, by data centre."""

    def __init__(self, node: node_module.Node, clock: timers_module.Timers) -> None:
        self.node = node
        self.clock = clock

    def names(self, data_centre: str) -> list[str]:
        """Return the instances of a data centre that accept new work.

        For another data centre, these are the instances in the platform's list and in
        recent heartbeats.
        """
        if data_centre == self.node.me.data_centre:
            return [identity.name for identity in self.node.membership.serving()]
        return sorted(self.node.remotes.contacts(data_centre))

    def addresses(self) -> dict[str, str]:
        """Return the peer address of every known instance by name."""
        found = {
            name: contact.address
            for data_centre in self.node.remotes.names()
            for name, contact in self.node.remotes.contacts(data_centre).items()
        }
        serving = self.node.membership.serving()
        return found | {identity.name: identity.address for identity in serving}

    def address(self, instance: str) -> str:
        """Return the peer address of an instance, empty if it is unknown."""
        identity = self.node.membership.find_serving(instance)
        if identity is not None:
            return identity.address
        contact = self.node.remotes.contact(instance)
        return contact.address if contact is not None else ""

    def knows(self, data_centre: str, instance: str) -> bool:
        """Return whether an instance is among the ``names`` of a data centre."""
        if data_centre == self.node.me.data_centre:
            return self.node.membership.find_serving(instance) is not None
        contact = self.node.remotes.contact(instance)
        return contact is not None and contact.data_centre == data_centre

    def reachable(self, data_centre: str) -> bool:
        """Return whether a data centre is reachable at present."""
        return self.node.remotes.reachable(data_centre, self.clock.now_ms())

    def owner(self, pool: str, data_centre: str) -> str:
        """Return the owner of a pool by rendezvous hashing, or an empty string."""
        order = hashing.rendezvous(pool.encode(), self.names(data_centre))
        return order[0] if order else ""
