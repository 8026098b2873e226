"""Which service and software version began each stream that may be resumed.

What two software versions write does not fit together, so a stream goes on only at the
version that began it. A caller may take it up at any instance, also after the one that
began it has died. So an instance sends the origin of a stream, before the stream's
first event, to a few others: two of its data centre and one elsewhere, found by the
hash of the attempt's identifier on a ring of the registered instances. The instance at
which the caller takes the stream up asks the next ones on the same rings. Origins are
kept in memory for as long as a stream may last::

    origins.record("9c41d07be2a35f68", Origin("llm-pool", "2.4.1"), 15_000)
    origin = await origins.find("9c41d07be2a35f68")  # None if no instance knows
"""

import asyncio
import bisect
import collections
import itertools
import typing

from cornelreach.gateway import datagrams, gossip as gossip_module, hubs
from cornelreach.util import hashing, timers

ZONE_COPIES = 2
OTHER_COPIES = 1
ASKED_MORE = 2  # instances, since members are not seen alike and some are down
FIND_MS = 150.0
MAX_KEPT = 32_768


class Origin(typing.NamedTuple):
    """The service of a stream, and the version of its target's software."""

    service: str
    software: str


class _Kept(typing.NamedTuple):
    origin: Origin
    until_ms: float


class _Search:
    """A question to other instances; it ends with the first that knows the answer."""

    def __init__(self, asked: int) -> None:
        self.waiting = asked
        self.result: asyncio.Future[Origin | None] = (
            asyncio.get_running_loop().create_future()
        )

    def add_reply(self, origin: Origin | None) -> None:
        """Add the reply of one instance; None if it does not know."""
        self.waiting -= 1
        if not self.result.done() and (origin is not None or self.waiting <= 0):
            self.result.set_result(origin)


class Ring:
    """Instances in the order of their hashes; each key has its place on the ring."""

    def __init__(self, names: typing.Iterable[str]) -> None:
        self._places = sorted((hashing.name_hash(name), name) for name in names)

    def successors(self, key: int) -> typing.Iterator[str]:
        """Yield all instances, beginning with the one that follows the key."""
        start = bisect.bisect(self._places, (key,))
        for _, name in itertools.chain(self._places[start:], self._places[:start]):
            yield name


class Holders:
    """Finds the instances that keep an origin, on rings of the registered ones."""

    def __init__(
        self, name: str, zone: str, members: typing.Mapping[str, hubs.Member]
    ) -> None:
        self.name = name
        self.zone = zone
        self.members = members
        self._names: frozenset[str] = frozenset()
        self._near = self._all = Ring(())

    def find(self, key: int, more: int = 0) -> list[str]:
        """Return the holders of a key, and ``more`` candidates on each ring.

        Those that a small data centre lacks are taken from the ring of all.
        """
        self._update_rings()
        near_count, count = ZONE_COPIES + more, ZONE_COPIES + OTHER_COPIES + 2 * more
        near = self._take(self._near.successors(key), near_count, ())
        return near + self._take(self._all.successors(key), count - len(near), near)

    def _take(
        self,
        names: typing.Iterator[str],
        count: int,
        taken: typing.Container[str],
    ) -> list[str]:
        others = (name for name in names if name != self.name and name not in taken)
        return list(itertools.islice(others, count))

    def _update_rings(self) -> None:
        if self._names == self.members.keys():
            return
        self._names = frozenset(self.members)
        self._all = Ring(self._names)
        self._near = Ring(
            name for name, one in self.members.items() if one.zone == self.zone
        )


class StreamOrigins:
    """Records the origins of this instance's streams, and keeps those of others."""

    def __init__(self, gossip: gossip_module.Gossip, clock: timers.Timers) -> None:
        self.gossip = gossip
        self.clock = clock
        self.holders = Holders(gossip.name, gossip.zone, gossip.members)
        self._kept: collections.OrderedDict[int, _Kept] = collections.OrderedDict()
        self._searches: dict[int, _Search] = {}
        self._number = 0
        gossip.handlers[datagrams.StreamOrigin] = self.handle_origin
        gossip.handlers[datagrams.OriginQuery] = self.handle_query
        gossip.handlers[datagrams.OriginReply] = self.handle_reply

    def record(self, attempt: str, origin: Origin, keep_ms: float) -> None:
        """Keep the origin of a stream here and at its holders for ``keep_ms``."""
        key = hashing.name_hash(attempt)
        self._keep(key, origin, keep_ms)
        datagram = datagrams.StreamOrigin(key, *origin, round(keep_ms))
        self.gossip.send(datagram, self.holders.find(key))

    async def find(self, attempt: str) -> Origin | None:
        """Return the origin of a stream, or None if no instance knows it."""
        key = hashing.name_hash(attempt)
        found = self._lookup(key)
        asked = self.holders.find(key, ASKED_MORE)
        if found is not None or not asked:
            return found
        self._number += 1
        number = self._number
        search = self._searches[number] = _Search(len(asked))
        query = datagrams.OriginQuery(self.gossip.name, number, key)
        self.gossip.send(query, asked)
        try:
            async with asyncio.timeout(FIND_MS / 1_000):
                return await search.result
        except TimeoutError:
            return None
        finally:
            del self._searches[number]

    def count(self) -> int:
        """Return how many origins are kept here."""
        return len(self._kept)

    def _lookup(self, key: int) -> Origin | None:
        kept = self._kept.get(key)
        if kept is None or kept.until_ms < self.clock.now_ms():
            return None
        return kept.origin

    def _keep(self, key: int, origin: Origin, keep_ms: float) -> None:
        now_ms = self.clock.now_ms()
        self._kept.pop(key, None)
        self._kept[key] = _Kept(origin, now_ms + keep_ms)
        while len(self._kept) > MAX_KEPT or self._first_until_ms() < now_ms:
            self._kept.popitem(last=False)

    def _first_until_ms(self) -> float:
        return next(iter(self._kept.values())).until_ms

    # Datagrams.

    def handle_origin(self, datagram: datagrams.StreamOrigin) -> None:
        """Keep the origin of another instance's stream."""
        origin = Origin(datagram.service, datagram.software)
        self._keep(datagram.key, origin, datagram.keep_ms)

    def handle_query(self, query: datagrams.OriginQuery) -> None:
        """Tell another instance the origin of a stream, if it is known here."""
        origin = self._lookup(query.key)
        reply = datagrams.OriginReply(query.number, *(origin or (None, None)))
        self.gossip.send(reply, (query.name,))

    def handle_reply(self, reply: datagrams.OriginReply) -> None:
        """Pass a reply on to the search that waits for it."""
        search = self._searches.get(reply.number)
        if search is None:
            return
        known = reply.service is not None and reply.software is not None
        search.add_reply(Origin(reply.service, reply.software) if known else None)
