"""A prefix cache of KV blocks with limited memory and LRU eviction.

A block is one piece of a prompt. Only a chain of blocks from the start of the prompt
counts as a hit::

    cache = kvcache.Cache(200_000, timers)
    cache.store("root", 1_000)
    cache.prefix(["root", "child"])    # 1
"""

import collections
import typing

from cornelreach.util import hashing, timers as timers_module
from standins import cacheevents


class Block:
    """One piece in memory; ``pins`` counts its current readers."""

    __slots__ = ("key", "tokens", "generation", "committed", "pins")

    def __init__(self, key: str, tokens: int, generation: int, committed: bool) -> None:
        self.key = key
        self.tokens = tokens
        self.generation = generation
        self.committed = committed
        self.pins = 0


def content(key: str, size_bytes: int) -> bytes:
    """Return placeholder bytes for the KV values of a piece."""
    seed = hashing.digest(key.encode())
    return (seed * (size_bytes // len(seed) + 1))[:size_bytes]


def checksum(data: bytes) -> str:
    """Return the checksum that a receiver compares after a transfer."""
    return hashing.digest(data).hex()


class Cache:
    """A least-recently-used cache of blocks, limited to ``capacity_tokens``."""

    def __init__(
        self,
        capacity_tokens: int,
        timers: timers_module.Timers,
        faults: cacheevents.Faults | None = None,
        seed: int = 0,
    ) -> None:
        self.capacity_tokens = capacity_tokens
        self.blocks: collections.OrderedDict[str, Block] = collections.OrderedDict()
        self.used_tokens = 0
        self.generation = 0
        self.events = cacheevents.Log(timers, faults, seed)

    def prefix(self, keys: typing.Sequence[str]) -> int:
        """Return how many leading keys are cached and committed."""
        for index, key in enumerate(keys):
            block = self.blocks.get(key)
            if block is None or not block.committed:
                return index
        return len(keys)

    def pin(self, keys: typing.Sequence[str]) -> list[Block]:
        """Pin cached blocks for a run; the root of the chain is evicted last."""
        pinned = [self.blocks[key] for key in keys]
        for block in reversed(pinned):
            block.pins += 1
            self.blocks.move_to_end(block.key)
        return pinned

    def release(self, blocks: typing.Sequence[Block]) -> None:
        """Unpin the blocks of a run; the end of its chain is evicted first."""
        for block in reversed(blocks):
            block.pins -= 1
            if self.blocks.get(block.key) is block:
                self.blocks.move_to_end(block.key)

    def store(self, key: str, tokens: int, committed: bool = True) -> Block | None:
        """Add a block and return it, or None if pinned blocks fill the memory."""
        block = self.blocks.get(key)
        if block is not None:
            block.committed = block.committed or committed
            self.blocks.move_to_end(key)
            return block
        if not self._make_room(tokens):
            return None
        self.generation += 1
        block = Block(key, tokens, self.generation, committed)
        self.blocks[key] = block
        self.used_tokens += tokens
        self.events.publish("stored", key)
        return block

    def _make_room(self, tokens: int) -> bool:
        excess = self.used_tokens + tokens - self.capacity_tokens
        if excess <= 0:
            return True
        evicted = []
        for block in self.blocks.values():
            if not block.pins:
                evicted.append(block.key)
                excess -= block.tokens
                if excess <= 0:
                    break
        if excess > 0:
            return False
        for key in evicted:
            self.remove(key)
        return True

    def remove(self, key: str) -> None:
        """Remove a block; its generation is never reused."""
        block = self.blocks.pop(key, None)
        if block is not None:
            self.used_tokens -= block.tokens
            self.events.publish("removed", key)

    def clear(self) -> None:
        """Drop all blocks and events, as a restart does."""
        self.blocks.clear()
        self.events.clear()
        self.used_tokens = 0
