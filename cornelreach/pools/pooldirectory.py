"""This instance's view of every pool: its owner, its load, and its reachability.

Each owner publishes the status of its pool with its heartbeats. The status with the
highest epoch determines the owner, or else the platform's record. If that owner is
unreachable, the first live instance in the pool's rendezvous order replaces it, which
may admit to warm targets only.
"""

import typing

import msgspec

from cornelreach.fleet import directory as directory_module, node as node_module
from cornelreach.pools import ownerships
from cornelreach.prompts import affinity
from cornelreach.settings import items, view
from cornelreach.targets import ownership, pool as pool_module
from cornelreach.util import decoding, timers

TOPIC_PREFIX = "pool/"


class PoolStatus(typing.NamedTuple):
    """The status of a pool; short, as every heartbeat of its owner carries it."""

    owner: str
    epoch: int
    wait_ms: int
    room: int
    targets: int
    cold_targets: int
    sequence: int


DECODER = msgspec.msgpack.Decoder(PoolStatus)


class PoolDirectory:
    """The pools as this instance sees them."""

    def __init__(
        self,
        settings: view.View,
        node: node_module.Node,
        directory: directory_module.Directory,
        clock: timers.Timers,
    ) -> None:
        self.view = settings
        self.node = node
        self.directory = directory
        self.clock = clock
        self.ownerships: ownerships.Ownerships | None = None
        self._sequence = 0

    def in_service(self) -> frozenset[str]:
        """Return the data centres that take new calls.

        An operator's directive takes precedence over the settings.
        """
        named = self.view.named_data_centres()
        return frozenset(name for name in named if self._is_in_service(name))

    def _is_in_service(self, data_centre: str) -> bool:
        key = items.key_of("data-centre", data_centre)
        directive = self.node.directives.effective(key)
        state = directive or self.view.data_centre_state(data_centre)
        return state == view.IN_SERVICE

    def is_reachable(self, data_centre: str) -> bool:
        """Return whether a data centre is currently reachable."""
        return self.directory.reachable(data_centre)

    def address(self, instance: str) -> str:
        """Return the peer address of an instance, empty if it is unknown."""
        return self.directory.address(instance)

    def members(self) -> list[ownership.Member]:
        """Return the unsuspected instances of this data centre with their boots."""
        alive = self.node.membership.alive()
        return [ownership.Member(one.name, one.boot) for one in alive]

    def publish(self, summary: pool_module.Summary, wait_ms: float) -> None:
        """Publish the status of a pool that this instance owns to the fleet."""
        self._sequence += 1
        status = PoolStatus(
            self.node.me.name,
            summary.epoch,
            int(wait_ms),
            summary.room_sequences,
            summary.targets,
            summary.cold_targets,
            self._sequence,
        )
        topic = TOPIC_PREFIX + summary.pool
        body = msgspec.msgpack.encode(status)
        self.node.notes.publish(topic, summary.epoch, body, self.clock.now_ms())

    def status(self, pool: str) -> PoolStatus | None:
        """Return the newest status of a pool, or None."""
        return self._newest_status(pool)[0]

    def _newest_status(self, pool: str) -> tuple[PoolStatus | None, float]:
        """Return the newest status of a pool, None if invalid, and its age in ms."""
        found = self.node.notes.find(TOPIC_PREFIX + pool, self.clock.now_ms())
        if found is None:
            return None, 0.0
        body, age_ms = found
        try:
            return DECODER.decode(body), age_ms
        except decoding.DECODE_ERRORS:
            return None, age_ms

    def owner(self, pool: str) -> str:
        """Return the instance to send permit requests to, empty if there is none."""
        if self.ownerships.owns(pool):
            return self.node.me.name
        targets = self.view.pool(pool)
        if not targets:
            return ""
        data_centre = targets[0].data_centre
        announced = self._announced_owner(pool)
        if self.directory.knows(data_centre, announced):
            return announced
        return self.directory.owner(pool, data_centre)

    def _announced_owner(self, pool: str) -> str:
        """Return the owner according to the newer of published status and record."""
        status = self.status(pool)
        record = self.ownerships.recorded(pool)
        if status is not None and (record is None or status.epoch >= record.epoch):
            return status.owner
        return record.owner.name if record is not None else ""

    def summary(self, pool: str) -> affinity.PoolSummary:
        """Return a pool's summary for the choice of a pool.

        A pool without a published status counts as one with free capacity.
        """
        targets = self.view.pool(pool)
        data_centre = targets[0].data_centre if targets else ""
        status, age_ms = self._newest_status(pool)
        if status is None:
            count = max(1, len(targets))
            return affinity.PoolSummary(pool, data_centre, "", 0.0, 1, count)
        return affinity.PoolSummary(
            pool,
            data_centre,
            status.owner,
            status.wait_ms,
            status.room,
            status.targets,
            status.cold_targets,
            status.sequence,
            age_ms,
        )
