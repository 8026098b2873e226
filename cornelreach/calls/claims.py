"""Claims of at-most-once calls: sends log entries to the owner of their shard.

Rendezvous hashing over the live members picks the owner, so that the claims of the
whole fleet share few writes. Ownership only saves writes; correctness does not depend
on it: an instance that considers itself the owner, or can't reach the owner, writes
under the same condition.
"""

import random
import typing

from returns import result

from cornelreach.calls import callmessages, ledger, shards
from cornelreach.peers import wire
from cornelreach.platform import backoff, results
from cornelreach.util import hashing, timers

SHARD_COUNT = 64
SHARD_IDLE_MS = 600_000
REPLY_MARGIN_MS = 200
OWNER_WAIT_MS = 1_500
OWNER_AVOID_MS = 5_000


class Peers(typing.Protocol):
    """The part of ``peers.wire.Client`` that is used here."""

    async def call(
        self, address: str, method: wire.Method, request: object, wait_ms: float
    ) -> result.Result[typing.Any, wire.PeerUnreachable]:
        """Send one request to a peer."""


Members = typing.Callable[[], dict[str, str]]


class OwnerUnreachable(typing.NamedTuple):
    """The owner did not reply; it may still write the entry."""

    owner: str


def shard_name(key: bytes) -> str:
    """Return the shard of a key digest."""
    return f"{int.from_bytes(key[:4], 'big') % SHARD_COUNT:04d}"


class ClaimLog:
    """Submits entries to the log through their shard's owner, or directly.

    ``members`` maps the names of live instances, this one included, to their peer
    addresses; ``retention_ms`` returns the setting ``claim_retention_ms``.
    """

    def __init__(
        self,
        instance: str,
        objects: results.ObjectStore,
        peers: Peers,
        members: Members,
        clock: timers.Timers,
        retention_ms: typing.Callable[[], float],
    ) -> None:
        self.instance = instance
        self.objects = objects
        self.peers = peers
        self.members = members
        self.clock = clock
        self.retention_ms = retention_ms
        self._shards: dict[str, shards.Shard] = {}
        self._names: set[str] = set()
        self._owners: dict[str, str] = {}
        self._avoided_until_ms: dict[str, float] = {}

    def _owner(self, shard: str, members: dict[str, str]) -> str:
        if members.keys() != self._names:
            self._names = set(members)
            self._owners.clear()
        if shard not in self._owners:
            names = {self.instance, *members}
            self._owners[shard] = hashing.rendezvous(shard.encode(), names)[0]
        return self._owners[shard]

    def _reachable_members(self) -> dict[str, str]:
        """Return the members except those that recently did not reply."""
        members = dict(self.members())
        now_ms = self.clock.now_ms()
        for name, until_ms in list(self._avoided_until_ms.items()):
            if until_ms <= now_ms:
                del self._avoided_until_ms[name]
            else:
                members.pop(name, None)
        return members

    async def submit(
        self, entry: ledger.LogEntry, wait_ms: float, direct: bool = False
    ) -> ledger.Decision | OwnerUnreachable:
        """Return the decision on an entry.

        After OwnerUnreachable or Unavailable the entry may still reach the log.
        """
        name = shard_name(entry.key)
        members = self._reachable_members()
        owner = self._owner(name, members)
        if direct or owner == self.instance:
            return await self._shard(name).submit(entry, wait_ms)
        owner_wait_ms = min(wait_ms, OWNER_WAIT_MS)
        request = callmessages.SubmitRequest(entry, owner_wait_ms)
        address = members[owner]
        reply_wait_ms = owner_wait_ms + REPLY_MARGIN_MS
        reply = await self.peers.call(
            address, callmessages.SUBMIT_CLAIM, request, reply_wait_ms
        )
        if isinstance(reply, result.Failure):
            self._avoided_until_ms[owner] = self.clock.now_ms() + OWNER_AVOID_MS
            return OwnerUnreachable(owner)
        return callmessages.unpack(reply.unwrap())

    async def handle_submit(
        self, sender: wire.Sender, request: callmessages.SubmitRequest
    ) -> callmessages.SubmitReply:
        """Handle an entry of a peer that considers this instance the owner."""
        shard = self._shard(shard_name(request.entry.key))
        return callmessages.pack(await shard.submit(request.entry, request.wait_ms))

    def remove_idle_shards(self) -> None:
        """Remove shards unused for ``SHARD_IDLE_MS``; to be called once a minute."""
        oldest_ms = self.clock.now_ms() - SHARD_IDLE_MS
        for name, shard in list(self._shards.items()):
            if shard.idle and shard.used_ms < oldest_ms:
                del self._shards[name]

    async def close(self) -> None:
        """Stop the writers of all shards."""
        for shard in self._shards.values():
            await shard.close()

    def _shard(self, name: str) -> shards.Shard:
        if name not in self._shards:
            retry_backoff = backoff.Backoff(
                random.Random(f"{self.instance}/{name}"),
                shards.RETRY_MS,
                shards.RETRY_LIMIT_MS,
            )
            self._shards[name] = shards.Shard(
                self.objects, self.clock, name, self.retention_ms, retry_backoff
            )
        return self._shards[name]
