"""Selection of the instances that act as hubs, from the view of one instance.

In a small fleet every instance reports its loads to every other. In a larger one each
data centre has hubs: its registered instances with the most processor power, and among
equals the first by rendezvous hashing, so that all instances agree without
communication. An instance reports to the first two hubs that are not silent and uses
the digests of the first one it hears. A silent hub is still probed periodically, so
that its return is noticed::

    hubs.recipients("kranj")    # names of hubs
    hubs.followed_hub()         # whose digests are used; the own name if none is heard
"""

import typing

from cornelreach.util import hashing, timers

MAX_DIRECT = 9  # instances; up to this size each reports to every other
HUB_COUNT = 2  # of a data centre, to which each instance reports
SILENT_MS = 700.0  # two digests of an idle hub and a lost datagram
PROBE_MS = 1_000.0  # between two reports to a silent hub


class Member(typing.NamedTuple):
    """A registered instance: where it receives datagrams, and its processing power.

    ``power`` is its share of processors.
    """

    host: str
    port: int
    zone: str = ""
    power: float = 1.0


class Hubs:
    """The hubs of all data centres, in order of preference."""

    def __init__(
        self, name: str, zone: str, members: dict[str, Member], clock: timers.Timers
    ) -> None:
        self.name = name
        self.zone = zone
        self.members = members
        self.clock = clock
        self._heard_ms: dict[str, float] = {}
        self._reported_ms: dict[str, float] = {}
        self._probe_ms: dict[str, float] = {}
        self._ranked: dict[str, list[str]] = {}
        self._ranked_names: frozenset[str] = frozenset()

    def is_needed(self) -> bool:
        """Return whether the fleet is too large for reports to every instance."""
        return len(self.members) > MAX_DIRECT

    def zones(self) -> list[str]:
        """Return the data centres of all registered instances."""
        self._rank()
        return list(self._ranked)

    def _rank(self) -> None:
        names = frozenset(self.members)
        if names == self._ranked_names:
            return
        self._ranked_names = names
        by_zone: dict[str, list[str]] = {}
        for name in hashing.rendezvous(b"hubs", names):
            by_zone.setdefault(self.members[name].zone, []).append(name)
        for found in by_zone.values():
            found.sort(key=lambda name: -self.members[name].power)
        self._ranked = by_zone

    def record_digest(self, name: str) -> None:
        """Record that a digest of a hub has arrived."""
        self._heard_ms[name] = self.clock.now_ms()

    def _is_heard(self, name: str) -> bool:
        heard_ms = self._heard_ms.get(name)
        return heard_ms is not None and self.clock.now_ms() - heard_ms <= SILENT_MS

    def _is_silent(self, name: str) -> bool:
        reported_ms = self._reported_ms.get(name)
        overdue = (
            reported_ms is not None and self.clock.now_ms() - reported_ms > SILENT_MS
        )
        return overdue and not self._is_heard(name)

    def recipients(self, zone: str) -> list[str]:
        """Return the hubs of a data centre to send reports to, except this instance.

        Silent hubs are skipped, apart from periodic probes.
        """
        self._rank()
        now_ms = self.clock.now_ms()
        found: list[str] = []
        visited: set[str] = set()
        live = 0
        for name in self._ranked.get(zone, ()):
            if live == HUB_COUNT:
                break
            visited.add(name)
            if name == self.name:
                live += 1
            elif not self._is_silent(name):
                live += 1
                self._reported_ms.setdefault(name, now_ms)
                found.append(name)
            elif now_ms >= self._probe_ms.get(name, 0.0):
                self._probe_ms[name] = now_ms + PROBE_MS
                found.append(name)
        self._forget_others(zone, visited)
        return found

    def _forget_others(self, zone: str, visited: set[str]) -> None:
        for name in [one for one in self._reported_ms if one not in visited]:
            member = self.members.get(name)
            if member is None or member.zone == zone:
                del self._reported_ms[name]
                self._probe_ms.pop(name, None)

    def foremost(self) -> list[str]:
        """Return the first hubs of each data centre, whether silent or not."""
        self._rank()
        return [name for zone in self._ranked.values() for name in zone[:HUB_COUNT]]

    def followed_hub(self) -> str:
        """Return the first live hub of this data centre, or this instance."""
        self._rank()
        for name in self._ranked.get(self.zone, ()):
            if name == self.name or self._is_heard(name):
                return name
        return self.name
