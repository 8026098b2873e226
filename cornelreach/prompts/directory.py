"""Directory of the sources that hold each piece, built from cache events and listings.

A source is an engine or a store. Entries are hints: events can be late, missing or
repeated, so a block is used only after a transfer has verified it. A gap in the events
marks a source stale until its next listing; a new boot identity empties it::

    pool = directory.Directory()
    pool.apply_listing("engine-1", "boot-1", 0, [])
    pool.apply_events("engine-1", "boot-1", [directory.CacheEvent(1, "stored", key)], 1)
    pool.lookup([key])["engine-1"].prefix          # 1

Keys are identified by their first 64 bits, the part that control calls carry. A
collision only results in a wrong hint. The directory holds at most ``max_pieces``
pieces. When it is full, it evicts a sixteenth of them, starting with those that were
reported or used longest ago.
"""

import collections
import enum
import itertools
import typing

MAX_PIECES = 400_000
MAX_SOURCES = 60
EVICTION_DIVISOR = 16
SHORT_KEY_CHARS = 16
ASSUMED_TTL_MS = 3_000
MAX_ASSUMED_BATCHES = 4_096


class Tier(enum.StrEnum):
    """The kind of storage in which a source keeps a piece."""

    MEMORY = "memory"
    DISK = "disk"


class CacheEvent(typing.NamedTuple):
    """A cache event; ``op`` is ``stored`` or ``removed``, ``key`` is in hex."""

    seq: int
    op: str
    key: str
    tier: str = Tier.MEMORY


class ApplyResult(enum.StrEnum):
    """The result of applying a batch of events or a listing."""

    APPLIED = "applied"
    GAP = "gap"
    NEW_BOOT = "new_boot"
    OUTDATED = "outdated"


class HeldPieces(typing.NamedTuple):
    """Bit sets of the pieces of a prompt that a source holds; bit i is piece i.

    ``disk_bits`` are the pieces on the source's disk only, ``assumed_bits`` those that
    no event has confirmed and that a run or transfer in progress should add.
    """

    bits: int
    disk_bits: int
    assumed_bits: int
    stale: bool

    @property
    def prefix(self) -> int:
        """Return the number of leading pieces that are held."""
        return run_length(self.bits, 0)

    @property
    def confirmed_bits(self) -> int:
        """Return the pieces that an event or a listing has reported."""
        return self.bits & ~self.assumed_bits


def run_length(bits: int, start: int) -> int:
    """Return the number of consecutive bits that are set from ``start`` on."""
    rest = bits >> start
    return (~rest & (rest + 1)).bit_length() - 1


IN_MEMORY = 1
ON_DISK = 2
ASSUMED = 4
ALL_BITS = 7
SOURCE_BITS = 3


class _Source:
    """The state of one source; its bits in an entry start at ``shift``."""

    def __init__(self, shift: int) -> None:
        self.shift = shift
        self.boot = ""
        self.seq = 0
        self.stale = True
        self.assumed: collections.deque[tuple[float, list[int]]] = collections.deque()

    def mask(self, bits: int) -> int:
        return bits << self.shift


def _short_key(key: str) -> int | None:
    try:
        return int(key[:SHORT_KEY_CHARS], 16)
    except ValueError:
        return None


class Directory:
    """The pieces held by the engines and stores that one pool owner follows.

    Each piece has one entry: an integer with ``SOURCE_BITS`` bits per source. They tell
    whether the source holds the piece in memory, on disk, or is assumed to hold it.
    """

    def __init__(self, max_pieces: int = MAX_PIECES) -> None:
        self.max_pieces = max_pieces
        self._holders: dict[int, int] = {}
        self._sources: dict[str, _Source] = {}
        self._last_keys: tuple[typing.Sequence[str], list[int]] = ((), [])

    def __len__(self) -> int:
        return len(self._holders)

    @property
    def sources(self) -> list[str]:
        """Return the names of all known sources."""
        return list(self._sources)

    def remove_source(self, name: str) -> None:
        """Remove a source and everything it held."""
        source = self._sources.pop(name, None)
        if source is not None:
            self._clear(source)

    def position(self, name: str) -> tuple[str, int]:
        """Return a source's boot identity and the sequence number of its last event."""
        source = self._sources.get(name)
        return (source.boot, source.seq) if source else ("", 0)

    def stale(self, name: str) -> bool:
        """Return whether a source has to be listed before its entries are reliable."""
        source = self._sources.get(name)
        return source is None or source.stale

    def mark_stale(self, name: str) -> None:
        """Mark a source stale until its next listing, for example after an error."""
        self._source(name).stale = True

    def record_boot(self, name: str, boot: str) -> ApplyResult:
        """Record a source's boot identity, and drop its entries if it is new."""
        source = self._source(name)
        if source.boot == boot:
            return ApplyResult.APPLIED
        self._clear(source)
        source.boot, source.seq, source.stale = boot, 0, True
        return ApplyResult.NEW_BOOT

    def apply_events(
        self, name: str, boot: str, batch: typing.Iterable[CacheEvent], next_seq: int
    ) -> ApplyResult:
        """Apply a batch of events; ``next_seq`` is the last sequence number it covers.

        Repeated events are ignored. A gap in the sequence gives ``GAP``: the remaining
        events are still applied as hints, but the source is stale until it is listed.
        """
        if self.record_boot(name, boot) is ApplyResult.NEW_BOOT:
            return ApplyResult.NEW_BOOT
        source = self._source(name)
        for event in sorted(batch):
            if event.seq <= source.seq:
                continue
            if event.seq > source.seq + 1:
                source.stale = True
            source.seq = event.seq
            self._apply(source, event)
        if next_seq > source.seq:
            source.seq, source.stale = next_seq, True
        self._evict()
        return ApplyResult.GAP if source.stale else ApplyResult.APPLIED

    def apply_listing(
        self, name: str, boot: str, seq: int, keys: typing.Iterable[str]
    ) -> ApplyResult:
        """Replace the entries of a source by its listing as of event ``seq``.

        A listing older than the events already applied is ignored.
        """
        source = self._source(name)
        if source.boot == boot and seq < source.seq:
            return ApplyResult.OUTDATED
        listed = {
            short_key for key in keys if (short_key := _short_key(key)) is not None
        }
        kept = self._drop_unlisted(source, listed)
        source.boot, source.seq, source.stale = boot, seq, False
        for short_key in listed - kept:
            self._discard(short_key, source.mask(ASSUMED))
            self._add(short_key, source.mask(IN_MEMORY))
        self._evict()
        return ApplyResult.APPLIED

    def assume(self, name: str, keys: typing.Sequence[str], now_ms: float) -> None:
        """Count pieces as held that a run or transfer is about to add.

        This also marks all the pieces as just used. Pieces that no event confirms
        within ``ASSUMED_TTL_MS`` are dropped again. At most ``MAX_ASSUMED_BATCHES``
        calls for a source are remembered; further ones have no effect.
        """
        source = self._source(name)
        self.expire(now_ms)
        if len(source.assumed) >= MAX_ASSUMED_BATCHES:
            return
        mask = source.mask(ASSUMED)
        all_bits = source.mask(ALL_BITS)
        added = []
        holders = self._holders
        for short_key in self._short_keys(keys):
            present = holders.pop(short_key, 0)
            if not present & all_bits:
                present |= mask
                added.append(short_key)
            holders[short_key] = present
        source.assumed.append((now_ms + ASSUMED_TTL_MS, added))
        self._evict()

    def discard(self, name: str, keys: typing.Iterable[str]) -> None:
        """Drop pieces that a source turned out not to hold."""
        source = self._source(name)
        for short_key in map(_short_key, keys):
            if short_key is not None:
                self._discard(short_key, source.mask(ALL_BITS))

    def retract_assumed(self, name: str, keys: typing.Iterable[str]) -> None:
        """Drop the assumed pieces of a failed run, but keep confirmed ones."""
        source = self._source(name)
        for short_key in map(_short_key, keys):
            if short_key is not None:
                self._discard(short_key, source.mask(ASSUMED))

    def expire(self, now_ms: float) -> None:
        """Drop assumed pieces that no event has confirmed in time."""
        for source in self._sources.values():
            while source.assumed and source.assumed[0][0] <= now_ms:
                for short_key in source.assumed.popleft()[1]:
                    self._discard(short_key, source.mask(ASSUMED))

    def touch(self, keys: typing.Sequence[str]) -> None:
        """Mark the pieces of a prompt as just used, so that they are evicted last."""
        holders = self._holders
        for short_key in self._short_keys(keys):
            mask = holders.pop(short_key, 0)
            if mask:
                holders[short_key] = mask

    def holders(self, key: str) -> dict[str, Tier]:
        """Return the sources that hold a piece, each with its tier."""
        mask = self._holders.get(_short_key(key), 0)
        return {
            name: Tier.DISK if mask & source.mask(ON_DISK) else Tier.MEMORY
            for name, source in self._sources.items()
            if mask & source.mask(ALL_BITS)
        }

    def lookup(self, keys: typing.Sequence[str]) -> dict[str, HeldPieces]:
        """Return the sources that hold pieces of a prompt, and which ones they hold."""
        groups = self._positions_by_holders(keys)
        union = 0
        for mask, _ in groups:
            union |= mask
        found = {}
        for name, source in self._sources.items():
            if union & source.mask(ALL_BITS):
                found[name] = _held_by(groups, source)
        return found

    def _short_keys(self, keys: typing.Sequence[str]) -> list[int]:
        """Return the short keys of a prompt; those of the last prompt are cached."""
        if self._last_keys[0] is not keys:
            self._last_keys = (keys, [int(key[:SHORT_KEY_CHARS], 16) for key in keys])
        return self._last_keys[1]

    def _positions_by_holders(
        self, keys: typing.Sequence[str]
    ) -> list[tuple[int, int]]:
        """Return (mask of holders, bit set of positions) for each set of holders."""
        get = self._holders.get
        masks = [get(short_key, 0) for short_key in self._short_keys(keys)]
        groups: dict[int, int] = {}
        start = 0
        for mask, group in itertools.groupby(masks):
            length = sum(1 for _ in group)
            if mask:
                positions = ((1 << length) - 1) << start
                groups[mask] = groups.get(mask, 0) | positions
            start += length
        return list(groups.items())

    def _source(self, name: str) -> _Source:
        source = self._sources.get(name)
        if source is None:
            if len(self._sources) >= MAX_SOURCES:
                raise ValueError(
                    f"a pool can have at most {MAX_SOURCES} sources; split the pool"
                )
            taken = {known.shift for known in self._sources.values()}
            shifts = range(0, SOURCE_BITS * MAX_SOURCES, SOURCE_BITS)
            shift = next(shift for shift in shifts if shift not in taken)
            source = self._sources[name] = _Source(shift)
        return source

    def _apply(self, source: _Source, event: CacheEvent) -> None:
        short_key = _short_key(event.key)
        if short_key is None:
            return
        all_bits = source.mask(ALL_BITS)
        if event.op == "stored":
            others = self._holders.pop(short_key, 0) & ~all_bits
            bits = ON_DISK if event.tier == Tier.DISK else IN_MEMORY
            self._holders[short_key] = others | source.mask(bits)
        elif event.op == "removed":
            self._discard(short_key, all_bits)

    def _add(self, short_key: int, mask: int) -> None:
        self._holders[short_key] = self._holders.get(short_key, 0) | mask

    def _discard(self, short_key: int, mask: int) -> None:
        present = self._holders.get(short_key)
        if present is None:
            return
        if present & ~mask:
            self._holders[short_key] = present & ~mask
        else:
            del self._holders[short_key]

    def _drop_unlisted(self, source: _Source, listed: set[int]) -> set[int]:
        """Drop the pieces that a listing lacks, and return the others.

        Assumed pieces stay assumed, as a run may add them after the listing.
        """
        known = source.mask(IN_MEMORY | ON_DISK)
        kept = set()
        for short_key in [key for key, mask in self._holders.items() if mask & known]:
            if short_key in listed:
                kept.add(short_key)
            else:
                self._discard(short_key, known)
        return kept

    def _clear(self, source: _Source) -> None:
        all_bits = source.mask(ALL_BITS)
        for short_key in [
            key for key, mask in self._holders.items() if mask & all_bits
        ]:
            self._discard(short_key, all_bits)
        source.assumed.clear()

    def _evict(self) -> None:
        if len(self._holders) <= self.max_pieces:
            return
        excess = len(self._holders) - self.max_pieces
        count = max(excess, self.max_pieces // EVICTION_DIVISOR)
        for short_key in list(itertools.islice(self._holders, count)):
            del self._holders[short_key]


def _held_by(groups: list[tuple[int, int]], source: _Source) -> HeldPieces:
    bits = disk_bits = assumed_bits = 0
    for mask, positions in groups:
        found = mask >> source.shift & ALL_BITS
        if found:
            bits |= positions
        if found == ON_DISK:
            disk_bits |= positions
        elif found == ASSUMED:
            assumed_bits |= positions
    return HeldPieces(bits, disk_bits, assumed_bits, source.stale)
