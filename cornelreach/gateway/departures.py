"""Lifetimes of targets that said they leave, or whose entry was removed.

A lifetime is known by the target's identifier and its start time, 0 if it tells none.
What is known of it holds whether its entry is listed or not::

    departures.mark_leaving("i-7f3a91c2", 1780141439594)
    departures.is_leaving("i-7f3a91c2", 1780141439594)
"""

import typing

MAX_REMEMBERED = 4_096  # targets of each kind; the oldest are forgotten

Lifetimes = typing.TypeVar("Lifetimes")


def _remember(
    memory: dict[str, Lifetimes], target_id: str, lifetimes: Lifetimes
) -> None:
    memory.pop(target_id, None)
    memory[target_id] = lifetimes
    while len(memory) > MAX_REMEMBERED:
        del memory[next(iter(memory))]


class Departures:
    """Remembers which lifetimes have left or are about to."""

    def __init__(self) -> None:
        self._leaving: dict[str, frozenset[int]] = {}
        self._gone: dict[str, int] = {}

    def is_leaving(self, target_id: str, born_ms: int) -> bool:
        """Return whether a lifetime said that it leaves."""
        return born_ms in self._leaving.get(target_id, frozenset())

    def mark_leaving(self, target_id: str, born_ms: int) -> None:
        """Remember that a lifetime said that it leaves."""
        marked = self._leaving.get(target_id, frozenset())
        _remember(self._leaving, target_id, marked | {born_ms})

    def may_be_leaving(self, target_id: str, born_ms: int) -> bool:
        """Return whether another lifetime of the target said that it leaves.

        That answer may have been of this lifetime, before its entry was read.
        """
        other = target_id in self._leaving
        return other and not self.is_leaving(target_id, born_ms)

    def is_gone(self, target_id: str, born_ms: int) -> bool:
        """Return whether this was the last lifetime whose entry was removed."""
        return self._gone.get(target_id) == born_ms

    def record_gone(self, target_id: str, born_ms: int) -> None:
        """Remember that the entry of a lifetime was removed."""
        _remember(self._gone, target_id, born_ms)
        if not born_ms:
            self._leaving.pop(target_id, None)  # lifetimes cannot be told apart
