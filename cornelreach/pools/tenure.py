"""The shell of ownership: records in the platform, heartbeats between the pair.

An instance keeps one ``ownership.Ownership`` for each pool of its data centre. The
record of a pool is the object ``settings/ownership/<pool>``: it lies beside the
settings, so that the relay which brings a change of the settings to every instance
brings a change of owner too.
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
BEAT_WAIT_MS = 800
LISTED_WITHIN_MS = 30_000
REPLACED_FOR_MS = 10_000

TAKEN = events.define(
    1401,
    "INFO",
    "Pool {pool}: this instance is {role} in epoch {epoch}.",
    "Nothing.",
)
UNREADABLE = events.define(
    1402,
    "ERROR",
    "The ownership record of pool {pool} cannot be read: {error}.",
    "Delete the object; the instances will write it anew.",
)


class Beats(typing.NamedTuple):
    """Heartbeats of one owner to one successor, for all pools that they share."""

    items: list[ownership.Heartbeat]


class Replies(typing.NamedTuple):
    """The answers to ``Beats``, each for the pool that it names."""

    acks: list[ownership.Ack]
    stales: list[ownership.StaleEpoch]


class Resignations(typing.NamedTuple):
    """The parts that an instance gives up as it stops."""

    items: list[ownership.Resignation]


class Done(typing.NamedTuple):
    """An empty reply."""


OWNER_BEAT = wire.Method("OwnerBeat", Beats, Replies)
RESIGN = wire.Method("Resign", Resignations, Done)


class Fleet(typing.Protocol):
    """What tenure asks of the fleet's directory."""

    def alive(self) -> list[ownership.Member]:
        """Return the unsuspected instances of this data centre with their boots."""

    def address(self, instance: str) -> str:
        """Return the peer address of an instance, empty if it is unknown."""

    def platform_reached(self) -> bool:
        """Return whether the platform answers."""

    def listing(self) -> tuple[frozenset[str], float]:
        """Return the names in the platform's list, and when it was read."""


def encode(record: ownership.Record) -> dict[str, typing.Any]:
    """Return a record as a platform value."""
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
    """Return the record in a platform value; raises msgspec.ValidationError."""
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


class Tenures:
    """The parts of this instance in the pools of its data centre."""

    def __init__(
        self,
        me: ownership.Member,
        clock: timers.Timers,
        state: state_module.State,
        objects: results.Objects,
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
        self.parts: dict[str, ownership.Ownership] = {}
        self._roles: dict[str, tuple[ownership.Role, int]] = {}
        self._known_ms: dict[ownership.Member, float] = {}
        self._replaced_ms: dict[ownership.Member, float] = {}
        self._writing: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._members: list[ownership.Member] = []
        self._orders: dict[str, list[ownership.Member]] = {}
        server.register(OWNER_BEAT, self._beat)
        server.register(RESIGN, self._resigned)
        state.subscribe(self._changed)
        clock.every(TICK_MS, self.tick)

    def configure(self, pools: typing.Iterable[str]) -> None:
        """Follow the settings: the pools of this data centre."""
        wanted = set(pools)
        for name in set(self.parts) - wanted:
            del self.parts[name]
            self._orders.pop(name, None)
        for name in wanted - set(self.parts):
            self.parts[name] = ownership.Ownership(name, self.me)
            self._observe(name)

    def standing(self, pool: str) -> admission.Standing:
        """Return this instance's right to admit to cold targets of a pool."""
        part = self.parts.get(pool)
        if part is None:
            return admission.Standing(0, False, float("inf"))
        return part.standing(self.clock.now_ms())

    def owns(self, pool: str) -> bool:
        """Return whether this instance is the owner of a pool by its own view."""
        part = self.parts.get(pool)
        return part is not None and part.role is ownership.Role.OWNER

    def epoch(self, pool: str) -> int:
        """Return the epoch of a pool that this instance knows of."""
        part = self.parts.get(pool)
        return part.record.epoch if part and part.record else 0

    def recorded(self, pool: str) -> ownership.Record | None:
        """Return the newest record of any pool that has reached this instance."""
        part = self.parts.get(pool)
        if part is not None and part.record is not None:
            return part.record
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

    def _changed(self, changed: state_module.Changed) -> None:
        for entry in changed.entries:
            if entry.key.startswith(KEY_PREFIX):
                pool = entry.key.removeprefix(KEY_PREFIX)
                if pool in self.parts:
                    self._observe(pool)

    def _observe(self, pool: str) -> None:
        if self.state.revision == 0:
            return
        entry = self.state.get(KEY_PREFIX + pool)
        version = entry.version if entry else 0
        if version <= self.parts[pool].version:
            return
        now_ms = self.clock.now_ms()
        self.parts[pool].observe_record(version, self._read(pool), now_ms)

    def tick(self) -> None:
        """Let time act on every part, and start what is due."""
        now_ms = self.clock.now_ms()
        self._follow_members(self.fleet.alive())
        alive = {one.name: one.boot for one in self._members}
        reached = self.fleet.platform_reached()
        beats: dict[str, list[ownership.Heartbeat]] = {}
        for pool, part in self.parts.items():
            self._observe(pool)
            self._observe_boots(part, alive, now_ms)
            part.advance(now_ms)
            self._propose(part, now_ms)
            beat = part.heartbeat(now_ms, reached)
            if beat is not None:
                beats.setdefault(beat.record.successor.name, []).append(beat)
            self._tell(part)
        self._forget_members()
        for successor, batch in beats.items():
            self._spawn(self._send_beats(successor, batch))

    def _forget_members(self) -> None:
        records = [part.record for part in self.parts.values() if part.record]
        named = {one for record in records for one in (record.owner, record.successor)}
        for times_ms in (self._known_ms, self._replaced_ms):
            for member in set(times_ms) - named:
                del times_ms[member]

    def _observe_boots(
        self,
        part: ownership.Ownership,
        alive: typing.Mapping[str, str],
        now_ms: float,
    ) -> None:
        if part.record is None:
            return
        for member in (part.record.owner, part.record.successor):
            if member is None:
                continue
            replaced = self._replaced(member, alive.get(member.name), now_ms)
            silent = member.name not in alive and self._unlisted(member, now_ms)
            if replaced or silent:
                part.observe_death(member, now_ms)

    def _replaced(
        self, member: ownership.Member, boot: str | None, now_ms: float
    ) -> bool:
        """Return whether another boot has served under a member's name for long.

        For a moment it may be an earlier boot, which the directory has yet to forget.
        """
        if boot is None or boot == member.boot:
            self._replaced_ms.pop(member, None)
            return False
        since_ms = self._replaced_ms.setdefault(member, now_ms)
        return now_ms - since_ms >= REPLACED_FOR_MS

    def _unlisted(self, member: ownership.Member, now_ms: float) -> bool:
        """Return whether the platform's list proves that a silent member is gone.

        The list lags, so it counts only if it was read well after the member became
        known here.
        """
        known_ms = self._known_ms.setdefault(member, now_ms)
        names, read_ms = self.fleet.listing()
        return read_ms - known_ms > LISTED_WITHIN_MS and member.name not in names

    def _follow_members(self, members: list[ownership.Member]) -> None:
        if members != self._members:
            self._members = members
            self._orders.clear()

    def _order(self, pool: str) -> list[ownership.Member]:
        """Return the instances alive in the pool's order, kept until they change."""
        if pool not in self._orders:
            by_name = {one.name: one for one in self._members}
            order = hashing.rendezvous(pool.encode(), by_name)
            self._orders[pool] = [by_name[name] for name in order]
        return self._orders[pool]

    def _propose(self, part: ownership.Ownership, now_ms: float) -> None:
        attempt = part.propose(self._order(part.pool), now_ms)
        if attempt is not None and part.pool not in self._writing:
            self._writing.add(part.pool)
            self._spawn(self._write(part, attempt))

    async def _write(
        self, part: ownership.Ownership, attempt: ownership.Attempt
    ) -> None:
        key = KEY_PREFIX + part.pool
        try:
            outcome = await self.objects.put(
                key, encode(attempt.record), if_version=attempt.version
            )
            now_ms = self.clock.now_ms()
            if isinstance(outcome, result.Success):
                self._take(part, outcome.unwrap(), attempt.record)
            else:
                self._fail(part, outcome.failure())
                await self._read_back(part)
            self._tell(part)
            part.advance(now_ms)
        finally:
            self._writing.discard(part.pool)

    def _fail(self, part: ownership.Ownership, error: results.WriteError) -> None:
        """Tell a part what a failed write settles; a conflict needs reading."""
        if isinstance(error, results.OutcomeUnknown):
            part.mark_outcome_unknown()
        elif not isinstance(error, results.Conflict):
            part.reject_attempt()

    async def _read_back(self, part: ownership.Ownership) -> None:
        found = await self.objects.get(KEY_PREFIX + part.pool)
        if isinstance(found, result.Success):
            record = found.unwrap()
            try:
                self._take(part, record.version, decode(record.value))
            except msgspec.ValidationError as error:
                events.emit(UNREADABLE, pool=part.pool, error=error)

    def _take(
        self, part: ownership.Ownership, version: int, record: ownership.Record
    ) -> None:
        part.observe_record(version, record, self.clock.now_ms())
        # Ahead of the watch; the revision does not move.
        entry = results.Record(KEY_PREFIX + part.pool, version, encode(record))
        ahead = state_module.Delta(self.state.revision + 1, version, (entry,))
        self.state.apply(ahead)

    async def _send_beats(
        self, successor: str, batch: list[ownership.Heartbeat]
    ) -> None:
        address = self.fleet.address(successor)
        if not address:
            return
        reply = await self.peers.call(address, OWNER_BEAT, Beats(batch), BEAT_WAIT_MS)
        if isinstance(reply, result.Failure):
            return
        now_ms = self.clock.now_ms()
        replies = reply.unwrap()
        for ack in replies.acks:
            if ack.pool in self.parts:
                self.parts[ack.pool].receive_ack(ack, now_ms)
        for stale in replies.stales:
            if stale.pool in self.parts:
                self.parts[stale.pool].receive_stale(stale, now_ms)

    async def _beat(self, sender: wire.Sender, beats: Beats) -> Replies:
        now_ms = self.clock.now_ms()
        replies = Replies([], [])
        for beat in beats.items:
            part = self.parts.get(beat.pool)
            answer = part.receive_heartbeat(beat, now_ms) if part else None
            if isinstance(answer, ownership.Ack):
                replies.acks.append(answer)
            elif isinstance(answer, ownership.StaleEpoch):
                replies.stales.append(answer)
        return replies

    async def resign(self) -> None:
        """Give up every part in a planned stop, and tell the other member."""
        told: dict[str, list[ownership.Resignation]] = {}
        now_ms = self.clock.now_ms()
        for part in self.parts.values():
            record, resignation = part.record, part.resign(now_ms)
            if resignation is None:
                continue
            for member in (record.owner, record.successor):
                if member is not None and member != self.me:
                    told.setdefault(member.name, []).append(resignation)
        await asyncio.gather(*(self._resign_to(*one) for one in told.items()))

    async def _resign_to(
        self, name: str, resignations: list[ownership.Resignation]
    ) -> None:
        address = self.fleet.address(name)
        if address:
            message = Resignations(resignations)
            await self.peers.call(address, RESIGN, message, BEAT_WAIT_MS)

    async def _resigned(self, sender: wire.Sender, message: Resignations) -> Done:
        now_ms = self.clock.now_ms()
        for resignation in message.items:
            part = self.parts.get(resignation.pool)
            if part is not None:
                part.receive_resignation(resignation, now_ms)
        return Done()

    def _tell(self, part: ownership.Ownership) -> None:
        epoch = part.record.epoch if part.record else 0
        if self._roles.get(part.pool) != (part.role, epoch):
            self._roles[part.pool] = (part.role, epoch)
            events.emit(TAKEN, pool=part.pool, role=part.role.value, epoch=epoch)

    def _spawn(self, work: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
