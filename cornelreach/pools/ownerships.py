"""I/O of pool ownership: records in the platform, heartbeats between the pair.

An instance keeps one ``ownership.Ownership`` for each pool of its data centre. The
record of a pool is the object ``settings/ownership/<pool>``. It is stored with the
settings, so that the relay which distributes changes of the settings to every instance
also distributes changes of owner.
"""

import asyncio
import typing

import msgspec
from returns import result

from cornelreach.peers import wire
from cornelreach.platform import results
from cornelreach.settings import items, state as state_module
from cornelreach.targets import admission, ownership
from cornelreach.util import events, hashing, timers

KEY_PREFIX = items.PREFIX + "ownership/"
TICK_MS = 500
HEARTBEAT_WAIT_MS = 800
LISTED_WITHIN_MS = 30_000
REPLACED_FOR_MS = 10_000

ROLE_CHANGED = events.define(
    1401,
    "INFO",
    "Pool {pool}: this instance is {role} in epoch {epoch}.",
    "Nothing.",
)
UNREADABLE = events.define(
    1402,
    "ERROR",
    "The ownership record of pool {pool} cannot be decoded: {error}.",
    "Delete the object; the instances will write a new one.",
)


class Heartbeats(typing.NamedTuple):
    """Heartbeats from one owner to one successor, for all pools they share."""

    items: list[ownership.Heartbeat]


class HeartbeatReplies(typing.NamedTuple):
    """The replies to ``Heartbeats``; each names its pool."""

    acks: list[ownership.Ack]
    stales: list[ownership.StaleEpoch]


class Resignations(typing.NamedTuple):
    """The roles that an instance gives up when it stops."""

    items: list[ownership.Resignation]


class Empty(typing.NamedTuple):
    """An empty reply."""


OWNER_HEARTBEAT = wire.Method("OwnerBeat", Heartbeats, HeartbeatReplies)
RESIGN = wire.Method("Resign", Resignations, Empty)


class Fleet(typing.Protocol):
    """The required interface to the fleet's directory."""

    def alive(self) -> list[ownership.Member]:
        """Return the unsuspected instances of this data centre with their boots."""

    def address(self, instance: str) -> str:
        """Return the peer address of an instance, empty if it is unknown."""

    def platform_reached(self) -> bool:
        """Return whether the platform is reachable."""

    def listing(self) -> tuple[frozenset[str], float]:
        """Return the names in the platform's list and when it was read."""


def encode(record: ownership.Record) -> dict[str, typing.Any]:
    """Encode a record as a platform value."""
    successor = record.successor._asdict() if record.successor else None
    return {
        "epoch": record.epoch,
        "owner": record.owner._asdict(),
        "successor": successor,
    }


class _Fields(typing.TypedDict):
    epoch: int
    owner: dict[str, str]
    successor: dict[str, str] | None


def decode(value: object) -> ownership.Record:
    """Decode a record from a platform value; raises msgspec.ValidationError."""
    fields = msgspec.convert(value, _Fields)
    successor = fields["successor"]
    return ownership.Record(
        fields["epoch"],
        _member(fields["owner"]),
        _member(successor) if successor else None,
    )


def _member(fields: dict[str, str]) -> ownership.Member:
    return msgspec.convert(
        [fields.get("name"), fields.get("boot")], ownership.Member, strict=True
    )


class Ownerships:
    """This instance's roles in the pools of its data centre."""

    def __init__(
        self,
        me: ownership.Member,
        clock: timers.Timers,
        state: state_module.State,
        objects: results.ObjectStore,
        peers: wire.Client,
        server: wire.Server,
        fleet: Fleet,
    ) -> None:
        self.me = me
        self.clock = clock
        self.state = state
        self.objects = objects
        self.peers = peers
        self.fleet = fleet
        self.by_pool: dict[str, ownership.Ownership] = {}
        self._logged_roles: dict[str, tuple[ownership.Role, int]] = {}
        self._known_ms: dict[ownership.Member, float] = {}
        self._replaced_ms: dict[ownership.Member, float] = {}
        self._writing: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._members: list[ownership.Member] = []
        self._rendezvous_orders: dict[str, list[ownership.Member]] = {}
        server.register(OWNER_HEARTBEAT, self._handle_heartbeats)
        server.register(RESIGN, self._handle_resignations)
        state.subscribe(self._settings_changed)
        clock.every(TICK_MS, self.tick)

    def configure(self, pools: typing.Iterable[str]) -> None:
        """Set the pools of this data centre."""
        wanted = set(pools)
        for name in set(self.by_pool) - wanted:
            del self.by_pool[name]
            self._rendezvous_orders.pop(name, None)
        for name in wanted - set(self.by_pool):
            self.by_pool[name] = ownership.Ownership(name, self.me)
            self._observe(name)

    def admission_right(self, pool: str) -> admission.AdmissionRight:
        """Return this instance's right to admit to cold targets of a pool."""
        pool_ownership = self.by_pool.get(pool)
        if pool_ownership is None:
            return admission.AdmissionRight(0, False, float("inf"))
        return pool_ownership.admission_right(self.clock.now_ms())

    def owns(self, pool: str) -> bool:
        """Return whether this instance considers itself the owner of a pool."""
        pool_ownership = self.by_pool.get(pool)
        return (
            pool_ownership is not None and pool_ownership.role is ownership.Role.OWNER
        )

    def epoch(self, pool: str) -> int:
        """Return the latest known epoch of a pool."""
        pool_ownership = self.by_pool.get(pool)
        return (
            pool_ownership.record.epoch
            if pool_ownership and pool_ownership.record
            else 0
        )

    def recorded(self, pool: str) -> ownership.Record | None:
        """Return the newest known record of a pool, in any data centre."""
        pool_ownership = self.by_pool.get(pool)
        if pool_ownership is not None and pool_ownership.record is not None:
            return pool_ownership.record
        return self._read(pool)

    def _read(self, pool: str) -> ownership.Record | None:
        entry = self.state.get(KEY_PREFIX + pool)
        if entry is None or entry.value is None:
            return None
        try:
            return decode(entry.value)
        except msgspec.ValidationError as error:
            events.emit(UNREADABLE, pool=pool, error=error)
            return None

    def _settings_changed(self, changed: state_module.Changed) -> None:
        for entry in changed.entries:
            if entry.key.startswith(KEY_PREFIX):
                pool = entry.key.removeprefix(KEY_PREFIX)
                if pool in self.by_pool:
                    self._observe(pool)

    def _observe(self, pool: str) -> None:
        if self.state.revision == 0:
            return
        entry = self.state.get(KEY_PREFIX + pool)
        version = entry.version if entry else 0
        if version <= self.by_pool[pool].version:
            return
        now_ms = self.clock.now_ms()
        self.by_pool[pool].observe_record(version, self._read(pool), now_ms)

    def tick(self) -> None:
        """Advance every pool's ownership and start the due writes and heartbeats."""
        now_ms = self.clock.now_ms()
        self._update_members(self.fleet.alive())
        alive = {one.name: one.boot for one in self._members}
        reached = self.fleet.platform_reached()
        heartbeats: dict[str, list[ownership.Heartbeat]] = {}
        for pool, pool_ownership in self.by_pool.items():
            self._observe(pool)
            self._observe_deaths(pool_ownership, alive, now_ms)
            pool_ownership.advance(now_ms)
            self._propose(pool_ownership, now_ms)
            heartbeat = pool_ownership.heartbeat(now_ms, reached)
            if heartbeat is not None:
                heartbeats.setdefault(heartbeat.record.successor.name, []).append(
                    heartbeat
                )
            self._log_role(pool_ownership)
        self._forget_members()
        for successor, batch in heartbeats.items():
            self._spawn(self._send_heartbeats(successor, batch))

    def _forget_members(self) -> None:
        records = [
            pool_ownership.record
            for pool_ownership in self.by_pool.values()
            if pool_ownership.record
        ]
        named = {one for record in records for one in (record.owner, record.successor)}
        for times_ms in (self._known_ms, self._replaced_ms):
            for member in set(times_ms) - named:
                del times_ms[member]

    def _observe_deaths(
        self,
        pool_ownership: ownership.Ownership,
        alive: typing.Mapping[str, str],
        now_ms: float,
    ) -> None:
        if pool_ownership.record is None:
            return
        for member in (pool_ownership.record.owner, pool_ownership.record.successor):
            if member is None:
                continue
            replaced = self._is_replaced(member, alive.get(member.name), now_ms)
            silent = member.name not in alive and self._is_unlisted(member, now_ms)
            if replaced or silent:
                pool_ownership.observe_death(member, now_ms)

    def _is_replaced(
        self, member: ownership.Member, boot: str | None, now_ms: float
    ) -> bool:
        """Return whether another boot has had a member's name for ``REPLACED_FOR_MS``.

        For a short time it may be an earlier boot that the directory still lists.
        """
        if boot is None or boot == member.boot:
            self._replaced_ms.pop(member, None)
            return False
        since_ms = self._replaced_ms.setdefault(member, now_ms)
        return now_ms - since_ms >= REPLACED_FOR_MS

    def _is_unlisted(self, member: ownership.Member, now_ms: float) -> bool:
        """Return whether the platform's list proves that a silent member is gone.

        The list may be out of date, so it is proof only if it was read more than
        ``LISTED_WITHIN_MS`` after the member became known here.
        """
        known_ms = self._known_ms.setdefault(member, now_ms)
        names, read_ms = self.fleet.listing()
        return read_ms - known_ms > LISTED_WITHIN_MS and member.name not in names

    def _update_members(self, members: list[ownership.Member]) -> None:
        if members != self._members:
            self._members = members
            self._rendezvous_orders.clear()

    def _rendezvous_order(self, pool: str) -> list[ownership.Member]:
        """Return the live instances in the pool's rendezvous order, cached."""
        if pool not in self._rendezvous_orders:
            by_name = {one.name: one for one in self._members}
            order = hashing.rendezvous(pool.encode(), by_name)
            self._rendezvous_orders[pool] = [by_name[name] for name in order]
        return self._rendezvous_orders[pool]

    def _propose(self, pool_ownership: ownership.Ownership, now_ms: float) -> None:
        attempt = pool_ownership.propose(
            self._rendezvous_order(pool_ownership.pool), now_ms
        )
        if attempt is not None and pool_ownership.pool not in self._writing:
            self._writing.add(pool_ownership.pool)
            self._spawn(self._write(pool_ownership, attempt))

    async def _write(
        self, pool_ownership: ownership.Ownership, attempt: ownership.Attempt
    ) -> None:
        key = KEY_PREFIX + pool_ownership.pool
        try:
            outcome = await self.objects.put(
                key, encode(attempt.record), if_version=attempt.version
            )
            now_ms = self.clock.now_ms()
            if isinstance(outcome, result.Success):
                self._store(pool_ownership, outcome.unwrap(), attempt.record)
            else:
                self._record_failure(pool_ownership, outcome.failure())
                await self._read_back(pool_ownership)
            self._log_role(pool_ownership)
            pool_ownership.advance(now_ms)
        finally:
            self._writing.discard(pool_ownership.pool)

    def _record_failure(
        self, pool_ownership: ownership.Ownership, error: results.WriteError
    ) -> None:
        """Record a failed write; after a conflict the caller reads the object."""
        if isinstance(error, results.OutcomeUnknown):
            pool_ownership.mark_outcome_unknown()
        elif not isinstance(error, results.Conflict):
            pool_ownership.reject_attempt()

    async def _read_back(self, pool_ownership: ownership.Ownership) -> None:
        found = await self.objects.get(KEY_PREFIX + pool_ownership.pool)
        if isinstance(found, result.Success):
            record = found.unwrap()
            try:
                self._store(pool_ownership, record.version, decode(record.value))
            except msgspec.ValidationError as error:
                events.emit(UNREADABLE, pool=pool_ownership.pool, error=error)

    def _store(
        self,
        pool_ownership: ownership.Ownership,
        version: int,
        record: ownership.Record,
    ) -> None:
        pool_ownership.observe_record(version, record, self.clock.now_ms())
        # The record takes effect before the watch delivers it. The delta does not
        # continue the current revision, so it leaves that unchanged.
        entry = results.Record(
            KEY_PREFIX + pool_ownership.pool, version, encode(record)
        )
        ahead = state_module.Delta(self.state.revision + 1, version, (entry,))
        self.state.apply(ahead)

    async def _send_heartbeats(
        self, successor: str, batch: list[ownership.Heartbeat]
    ) -> None:
        address = self.fleet.address(successor)
        if not address:
            return
        reply = await self.peers.call(
            address, OWNER_HEARTBEAT, Heartbeats(batch), HEARTBEAT_WAIT_MS
        )
        if isinstance(reply, result.Failure):
            return
        now_ms = self.clock.now_ms()
        replies = reply.unwrap()
        for ack in replies.acks:
            if ack.pool in self.by_pool:
                self.by_pool[ack.pool].receive_ack(ack, now_ms)
        for stale in replies.stales:
            if stale.pool in self.by_pool:
                self.by_pool[stale.pool].receive_stale(stale, now_ms)

    async def _handle_heartbeats(
        self, sender: wire.Sender, heartbeats: Heartbeats
    ) -> HeartbeatReplies:
        now_ms = self.clock.now_ms()
        replies = HeartbeatReplies([], [])
        for heartbeat in heartbeats.items:
            pool_ownership = self.by_pool.get(heartbeat.pool)
            answer = (
                pool_ownership.receive_heartbeat(heartbeat, now_ms)
                if pool_ownership
                else None
            )
            if isinstance(answer, ownership.Ack):
                replies.acks.append(answer)
            elif isinstance(answer, ownership.StaleEpoch):
                replies.stales.append(answer)
        return replies

    async def resign(self) -> None:
        """Give up every role during a planned stop and notify the other members."""
        by_member: dict[str, list[ownership.Resignation]] = {}
        now_ms = self.clock.now_ms()
        for pool_ownership in self.by_pool.values():
            record, resignation = pool_ownership.record, pool_ownership.resign(now_ms)
            if resignation is None:
                continue
            for member in (record.owner, record.successor):
                if member is not None and member != self.me:
                    by_member.setdefault(member.name, []).append(resignation)
        await asyncio.gather(*(self._resign_to(*one) for one in by_member.items()))

    async def _resign_to(
        self, name: str, resignations: list[ownership.Resignation]
    ) -> None:
        address = self.fleet.address(name)
        if address:
            message = Resignations(resignations)
            await self.peers.call(address, RESIGN, message, HEARTBEAT_WAIT_MS)

    async def _handle_resignations(
        self, sender: wire.Sender, message: Resignations
    ) -> Empty:
        now_ms = self.clock.now_ms()
        for resignation in message.items:
            pool_ownership = self.by_pool.get(resignation.pool)
            if pool_ownership is not None:
                pool_ownership.receive_resignation(resignation, now_ms)
        return Empty()

    def _log_role(self, pool_ownership: ownership.Ownership) -> None:
        epoch = pool_ownership.record.epoch if pool_ownership.record else 0
        if self._logged_roles.get(pool_ownership.pool) != (pool_ownership.role, epoch):
            self._logged_roles[pool_ownership.pool] = (pool_ownership.role, epoch)
            events.emit(
                ROLE_CHANGED,
                pool=pool_ownership.pool,
                role=pool_ownership.role.value,
                epoch=epoch,
            )

    def _spawn(self, work: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
