"""A prompt store without I/O: a memory and a disk tier behind one limited link.

A block is written first and readable after its commit. New blocks go to memory; the
least recently read ones move to disk. Nothing is evicted: a full store raises Full::

    store = storemodel.Store(storemodel.Settings("s1"), timers)
    wait_ms = store.write("k", 1_000_000)
    store.commit("k")
"""

import collections
import typing

from cornelreach.util import timers as timers_module
from standins import cacheevents, linkmodel


class Settings(typing.NamedTuple):
    """Sizes, speeds and faults of one store."""

    name: str
    memory_bytes: int = 1_000_000_000
    disk_bytes: int = 8_000_000_000
    link_bytes_per_s: int = 50_000_000
    disk_bytes_per_s: int = 25_000_000
    events: cacheevents.Faults = cacheevents.Faults()
    seed: int = 0


class Full(Exception):
    """Neither tier has room for the block."""


class Block:
    """One stored piece; ``tier`` is ``memory`` or ``disk``."""

    __slots__ = ("key", "size_bytes", "generation", "committed", "tier")

    def __init__(self, key: str, size_bytes: int, generation: int) -> None:
        self.key = key
        self.size_bytes = size_bytes
        self.generation = generation
        self.committed = False
        self.tier = "memory"


class Store:
    """The blocks of one store, its network link and its disk."""

    def __init__(
        self, settings: Settings, timers: timers_module.Timers, boot: str = "boot"
    ) -> None:
        self.settings = settings
        self.link = linkmodel.Link(settings.link_bytes_per_s, timers)
        self.disk = linkmodel.Link(settings.disk_bytes_per_s, timers)
        self.events = cacheevents.Log(timers, settings.events, settings.seed)
        self.blocks: collections.OrderedDict[str, Block] = collections.OrderedDict()
        self.used_bytes = {"memory": 0, "disk": 0}
        self.generation = 0
        self.alive = True
        self._boot = boot
        self._epoch = 0

    @property
    def boot_id(self) -> str:
        """Return the boot identity, which changes with every restart."""
        return f"{self._boot}-{self._epoch}"

    def state(self) -> dict[str, typing.Any]:
        """Return the usage of both tiers and the backlog of the link."""
        return {
            "boot_id": self.boot_id,
            "memory_bytes": self.settings.memory_bytes,
            "memory_used": self.used_bytes["memory"],
            "disk_bytes": self.settings.disk_bytes,
            "disk_used": self.used_bytes["disk"],
            "link_bytes_per_s": self.settings.link_bytes_per_s,
            "link_backlog_bytes": self.link.backlog_bytes(),
        }

    def write(self, key: str, size_bytes: int) -> float:
        """Add an uncommitted block; returns the transfer time in ms.

        Raises Full if it doesn't fit; other blocks stay.
        """
        self.delete(key)
        self._make_room(size_bytes)
        self.generation += 1
        self.blocks[key] = Block(key, size_bytes, self.generation)
        self.used_bytes["memory"] += size_bytes
        return self.link.reserve(size_bytes)

    def _make_room(self, size_bytes: int) -> None:
        excess = self.used_bytes["memory"] + size_bytes - self.settings.memory_bytes
        moved = []
        for block in self.blocks.values():
            if excess <= 0:
                break
            if block.tier == "memory":
                moved.append(block)
                excess -= block.size_bytes
        moved_bytes = sum(block.size_bytes for block in moved)
        disk_room = self.settings.disk_bytes - self.used_bytes["disk"]
        if excess > 0 or moved_bytes > disk_room:
            raise Full
        for block in moved:
            block.tier = "disk"
        self.used_bytes["memory"] -= moved_bytes
        self.used_bytes["disk"] += moved_bytes

    def commit(self, key: str) -> bool:
        """Make a block readable; False if it is not stored."""
        block = self.blocks.get(key)
        if block is None:
            return False
        if not block.committed:
            block.committed = True
            self.events.publish("stored", key)
        return True

    def read_ms(self, key: str) -> float | None:
        """Queue a read and return its time in ms, or None if not readable."""
        block = self.blocks.get(key)
        if block is None or not block.committed:
            return None
        self.blocks.move_to_end(key)
        wait_ms = self.link.reserve(block.size_bytes)
        if block.tier == "disk":
            wait_ms = max(wait_ms, self.disk.reserve(block.size_bytes))
        return wait_ms

    def delete(self, key: str) -> bool:
        """Delete a block; False if it is not stored."""
        block = self.blocks.pop(key, None)
        if block is None:
            return False
        self.used_bytes[block.tier] -= block.size_bytes
        if block.committed:
            self.events.publish("removed", key)
        return True

    def restart(self) -> None:
        """Drop all blocks and change the boot identity."""
        self._epoch += 1
        self.blocks.clear()
        self.events.clear()
        self.used_bytes = {"memory": 0, "disk": 0}
