"""What this instance knows of every pool: its owner, its load, and if it is in reach.

An owner publishes a note on its pool with its heartbeats. The note with the highest
epoch tells the owner; where there is none, the platform's record does, and where its
owner is not in reach the first live instance of the pool's rendezvous order stands in,
which may admit to warm targets only.
"""

import typing

import msgspec

from cornelreach.fleet import directory as directory_module, node as node_module
from cornelreach.pools import tenure
from cornelreach.prompts import affinity
from cornelreach.settings import items, view
from cornelreach.targets import ownership, pool as pool_module
from cornelreach.util import decoding, timers

TOPIC_PREFIX = "pool/"


class Note(typing.NamedTuple):
    """What an owner tells of its pool; short, as it travels with every heartbeat."""

    owner: str
    epoch: int
    wait_ms: int
    room: int
    targets: int
    cold_targets: int
    sequence: int


DECODER = msgspec.msgpack.Decoder(Note)


class Outlook:
    """Pools as seen from this instance."""

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
        self.tenures: tenure.Tenures | None = None
        self._sequence = 0

    def in_service(self) -> frozenset[str]:
        """Return the data centres that take new work, direct orders included."""
        named = self.view.named_data_centres()
        return frozenset(name for name in named if self._takes_work(name))

    def _takes_work(self, data_centre: str) -> bool:
        key = items.key_of("data-centre", data_centre)
        directed = self.node.directives.effective(key)
        state = directed or self.view.data_centre_state(data_centre)
        return state == view.IN_SERVICE

    def in_reach(self, data_centre: str) -> bool:
        """Return whether calls to a data centre get through at present."""
        return self.directory.in_reach(data_centre)

    def address(self, instance: str) -> str:
        """Return the peer address of an instance, empty if it is unknown."""
        return self.directory.address(instance)

    def members(self) -> list[ownership.Member]:
        """Return the unsuspected instances of this data centre with their boots."""
        alive = self.node.membership.alive()
        return [ownership.Member(one.name, one.boot) for one in alive]

    def publish(self, summary: pool_module.Summary, wait_ms: float) -> None:
        """Tell the fleet of a pool that this instance owns."""
        self._sequence += 1
        note = Note(
            self.node.me.name,
            summary.epoch,
            int(wait_ms),
            summary.room_sequences,
            summary.targets,
            summary.cold_targets,
            self._sequence,
        )
        topic = TOPIC_PREFIX + summary.pool
        body = msgspec.msgpack.encode(note)
        self.node.board.publish(topic, summary.epoch, body, self.clock.now_ms())

    def note(self, pool: str) -> Note | None:
        """Return the newest note of a pool's owner, or None."""
        return self._found(pool)[0]

    def _found(self, pool: str) -> tuple[Note | None, float]:
        """Return the newest readable note of a pool and its age in milliseconds."""
        found = self.node.board.find(TOPIC_PREFIX + pool, self.clock.now_ms())
        if found is None:
            return None, 0.0
        body, age_ms = found
        try:
            return DECODER.decode(body), age_ms
        except decoding.UNREADABLE:
            return None, age_ms

    def owner(self, pool: str) -> str:
        """Return the instance to ask for a pool, empty if none is in reach."""
        if self.tenures.owns(pool):
            return self.node.me.name
        targets = self.view.pool(pool)
        if not targets:
            return ""
        data_centre = targets[0].data_centre
        claimed = self._claimed(pool)
        if self.directory.knows(data_centre, claimed):
            return claimed
        return self.directory.owner(pool, data_centre)

    def _claimed(self, pool: str) -> str:
        """Return the owner by the newer of note and record."""
        note = self.note(pool)
        record = self.tenures.recorded(pool)
        if note is not None and (record is None or note.epoch >= record.epoch):
            return note.owner
        return record.owner.name if record is not None else ""

    def summary(self, pool: str) -> affinity.PoolSummary:
        """Return a pool for the edge's choice; without a note, as one with room."""
        targets = self.view.pool(pool)
        data_centre = targets[0].data_centre if targets else ""
        note, age_ms = self._found(pool)
        if note is None:
            count = max(1, len(targets))
            return affinity.PoolSummary(pool, data_centre, "", 0.0, 1, count)
        return affinity.PoolSummary(
            pool,
            data_centre,
            note.owner,
            note.wait_ms,
            note.room,
            note.targets,
            note.cold_targets,
            note.sequence,
            age_ms,
        )
