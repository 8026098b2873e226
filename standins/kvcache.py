"""Blocks of KV cache in limited memory.

A block is one piece of a prompt. Only a chain of blocks from the start of a prompt is
a hit::

    cache = kvcache.Cache(200_000, timers)
    cache.store("root", 1_000)
    cache.prefix(["root", "child"])    # 1
"""

import collections
import typing

from cornelreach.util import hashing, timers as timers_module
from standins import cacheevents


class Block:
    """One piece in memory; ``pins`` counts the runs that read it now."""

    __slots__ = ("key", "tokens", "generation", "committed", "pins")

    def __init__(self, key: str, tokens: int, generation: int, committed: bool) -> None:
        self.key = key
        self.tokens = tokens
        self.generation = generation
        self.committed = committed
        self.pins = 0


def content(key: str, size_bytes: int) -> bytes:
    """Return the bytes that stand for the KV values of a piece."""
    seed = hashing.digest(key.encode())
    return (seed * (size_bytes // len(seed) + 1))[:size_bytes]


def checksum(data: bytes) -> str:
    """Return the checksum that a reader compares after a transfer."""
    return hashing.digest(data).hex()


class Cache:
    """Least-recently-used blocks within ``room_tokens``."""

    def __init__(
        self,
        room_tokens: int,
        timers: timers_module.Timers,
        faults: cacheevents.Faults | None = None,
        seed: int = 0,
    ) -> None:
        self.room_tokens = room_tokens
        self.blocks: collections.OrderedDict[str, Block] = collections.OrderedDict()
        self.used_tokens = 0
        self.generation = 0
        self.events = cacheevents.Log(timers, faults, seed)

    def prefix(self, keys: typing.Sequence[str]) -> int:
        """Return how many leading keys are held and committed."""
        for index, key in enumerate(keys):
            block = self.blocks.get(key)
            if block is None or not block.committed:
                return index
        return len(keys)

    def pin(self, keys: typing.Sequence[str]) -> list[Block]:
        """Mark held blocks as read by a run; the root stays longest."""
        held = [self.blocks[key] for key in keys]
        for block in reversed(held):
            block.pins += 1
            self.blocks.move_to_end(block.key)
        return held

    def release(self, blocks: typing.Sequence[Block]) -> None:
        """End the reading of a run; the end of its chain is dropped first."""
        for block in reversed(blocks):
            block.pins -= 1
            if self.blocks.get(block.key) is block:
                self.blocks.move_to_end(block.key)

    def store(self, key: str, tokens: int, committed: bool = True) -> Block | None:
        """Add a block and return it, or None where pinned blocks fill the memory."""
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
        excess = self.used_tokens + tokens - self.room_tokens
        if excess <= 0:
            return True
        victims = []
        for block in self.blocks.values():
            if not block.pins:
                victims.append(block.key)
                excess -= block.tokens
                if excess <= 0:
                    break
        if excess > 0:
            return False
        for key in victims:
            self.remove(key)
        return True

    def remove(self, key: str) -> None:
        """Free a block; its generation is never used again."""
        block = self.blocks.pop(key, None)
        if block is not None:
            self.used_tokens -= block.tokens
            self.events.publish("removed", key)

    def clear(self) -> None:
        """Forget every block and event, as a restart does."""
        self.blocks.clear()
        self.events.clear()
        self.used_tokens = 0
