"""Directory of which source holds which piece, from cache events and listings.

An entry is a hint: events come late, with gaps and repeats, and a block is used only
after a transfer has proved it. A gap marks a source stale until its next listing; a
new boot identity empties it::

    pool = directory.Directory()
    pool.listing("engine-1", "boot-1", 0, [])
    pool.events("engine-1", "boot-1", [directory.CacheEvent(1, "stored", key)], 1)
    pool.held([key])["engine-1"].prefix          # 1

Keys are compared by their first 64 bits, which is what control calls carry: two equal
ones would only make a wrong hint. The directory holds at most ``max_pieces`` pieces.
Beyond it, the pieces that were reported or looked up longest ago are dropped first, a
sixteenth of them at a time.
"""

import collections
import enum
import itertools
import typing

MAX_PIECES = 400_000
MAX_SOURCES = 60
DROP_DIVISOR = 16
KEY_CHARACTERS = 16
ASSUME_MS = 3_000
ASSUMED_RUNS = 4_096


class Tier(enum.StrEnum):
    """Where a source keeps a piece."""

    MEMORY = "memory"
    DISK = "disk"


class CacheEvent(typing.NamedTuple):
    """One event of a source; ``op`` is ``stored`` or ``removed``, ``key`` is hex."""

    seq: int
    op: str
    key: str
    tier: str = Tier.MEMORY


class Applied(enum.StrEnum):
    """What became of a batch of events or a listing."""

    APPLIED = "applied"
    GAP = "gap"
    NEW_BOOT = "new_boot"
    OUTDATED = "outdated"


class Held(typing.NamedTuple):
    """Which pieces of a prompt a source holds: bit i of ``bits`` is piece i.

    ``disk_bits`` marks those on the source's disk, ``assumed_bits`` those that a run
    in flight is expected to bring.
    """

    bits: int
    disk_bits: int
    assumed_bits: int
    stale: bool

    @property
    def prefix(self) -> int:
        """Return how many leading pieces are held."""
        return run_length(self.bits, 0)

    @property
    def proved_bits(self) -> int:
        """Return the pieces that an event or a listing has named."""
        return self.bits & ~self.assumed_bits


def run_length(bits: int, start: int) -> int:
    """Return how many bits in a row are set from a position on."""
    rest = bits >> start
    return (~rest & (rest + 1)).bit_length() - 1


IN_MEMORY = 1
ON_DISK = 2
ASSUMED = 4
ANYWHERE = 7
SOURCE_BITS = 3


class _Source:
    """What is known of one source; its bits in an entry start at ``shift``."""

    def __init__(self, shift: int) -> None:
        self.shift = shift
        self.boot = ""
        self.seq = 0
        self.stale = True
        self.assumed: collections.deque[tuple[float, list[int]]] = collections.deque()

    def mask(self, bits: int) -> int:
        return bits << self.shift


def _number(key: str) -> int | None:
    try:
        return int(key[:KEY_CHARACTERS], 16)
    except ValueError:
        return None


class Directory:
    """The pieces held by the targets and stores that one owner follows.

    Every piece is one entry, a number whose bits name sources and tiers.
    """

    def __init__(self, max_pieces: int = MAX_PIECES) -> None:
        self.max_pieces = max_pieces
        self._holders: dict[int, int] = {}
        self._sources: dict[str, _Source] = {}
        self._last_prompt: tuple[typing.Sequence[str], list[int]] = ((), [])

    def __len__(self) -> int:
        return len(self._holders)

    @property
    def sources(self) -> list[str]:
        """Return the names of the sources that are known."""
        return list(self._sources)

    def remove_source(self, name: str) -> None:
        """Forget a source that left, with all it held."""
        source = self._sources.pop(name, None)
        if source is not None:
            self._clear(source)

    def position(self, name: str) -> tuple[str, int]:
        """Return the boot identity and the last event of a source."""
        source = self._sources.get(name)
        return (source.boot, source.seq) if source else ("", 0)

    def stale(self, name: str) -> bool:
        """Return whether a source must be listed before it is trusted."""
        source = self._sources.get(name)
        return source is None or source.stale

    def mark_stale(self, name: str) -> None:
        """Distrust a source until its next listing, for instance after an error."""
        self._source(name).stale = True

    def booted(self, name: str, boot: str) -> Applied:
        """Note the boot identity of a source; a new one empties it."""
        source = self._source(name)
        if source.boot == boot:
            return Applied.APPLIED
        self._clear(source)
        source.boot, source.seq, source.stale = boot, 0, True
        return Applied.NEW_BOOT

    def events(
        self, name: str, boot: str, batch: typing.Iterable[CacheEvent], next_seq: int
    ) -> Applied:
        """Apply a batch of events; ``next_seq`` is the last one that it covers.

        Repeats are passed over. A jump in the sequence gives ``GAP``: the rest is
        applied as a hint, and the source stays stale until it is listed.
        """
        if self.booted(name, boot) is Applied.NEW_BOOT:
            return Applied.NEW_BOOT
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
        self._bound()
        return Applied.GAP if source.stale else Applied.APPLIED

    def listing(
        self, name: str, boot: str, seq: int, keys: typing.Iterable[str]
    ) -> Applied:
        """Replace what a source holds by its listing as of event ``seq``.

        A listing older than the events already applied is not taken.
        """
        source = self._source(name)
        if source.boot == boot and seq < source.seq:
            return Applied.OUTDATED
        listed = {number for key in keys if (number := _number(key)) is not None}
        kept = self._replace(source, listed)
        source.boot, source.seq, source.stale = boot, seq, False
        for number in listed - kept:
            self._discard(number, source.mask(ASSUMED))
            self._add(number, source.mask(IN_MEMORY))
        self._bound()
        return Applied.APPLIED

    def assume(self, name: str, keys: typing.Sequence[str], now_ms: float) -> None:
        """Count pieces as held that a run or transfer is about to bring.

        All pieces of the prompt count as used now. Unless an event confirms them, the
        assumed ones are forgotten after ``ASSUME_MS``.
        """
        source = self._source(name)
        self.expire(now_ms)
        if len(source.assumed) >= ASSUMED_RUNS:
            return
        mask = source.mask(ASSUMED)
        anywhere = source.mask(ANYWHERE)
        added = []
        holders = self._holders
        for number in self._numbers(keys):
            present = holders.pop(number, 0)
            if not present & anywhere:
                present |= mask
                added.append(number)
            holders[number] = present
        source.assumed.append((now_ms + ASSUME_MS, added))
        self._bound()

    def disproved(self, name: str, keys: typing.Iterable[str]) -> None:
        """Forget pieces that a source turned out not to hold."""
        source = self._source(name)
        for number in map(_number, keys):
            if number is not None:
                self._discard(number, source.mask(ANYWHERE))

    def retract(self, name: str, keys: typing.Iterable[str]) -> None:
        """Forget assumed pieces of a run that failed, but for confirmed ones."""
        source = self._source(name)
        for number in map(_number, keys):
            if number is not None:
                self._discard(number, source.mask(ASSUMED))

    def expire(self, now_ms: float) -> None:
        """Forget assumed pieces that no event has confirmed in time."""
        for source in self._sources.values():
            while source.assumed and source.assumed[0][0] <= now_ms:
                for number in source.assumed.popleft()[1]:
                    self._discard(number, source.mask(ASSUMED))

    def touch(self, keys: typing.Sequence[str]) -> None:
        """Keep the pieces of a prompt that was used longer than others."""
        holders = self._holders
        for number in self._numbers(keys):
            mask = holders.pop(number, 0)
            if mask:
                holders[number] = mask

    def holders(self, key: str) -> dict[str, Tier]:
        """Return the sources of one piece and its tier there."""
        mask = self._holders.get(_number(key), 0)
        return {
            name: Tier.DISK if mask & source.mask(ON_DISK) else Tier.MEMORY
            for name, source in self._sources.items()
            if mask & source.mask(ANYWHERE)
        }

    def held(self, keys: typing.Sequence[str]) -> dict[str, Held]:
        """Return for each source that holds any piece of a prompt which ones."""
        runs = self._runs(keys)
        union = 0
        for mask, _ in runs:
            union |= mask
        found = {}
        for name, source in self._sources.items():
            if union & source.mask(ANYWHERE):
                found[name] = _held(runs, source)
        return found

    def _numbers(self, keys: typing.Sequence[str]) -> list[int]:
        """Return a prompt's keys as numbers; the last prompt's are kept."""
        if self._last_prompt[0] is not keys:
            self._last_prompt = (keys, [int(key[:KEY_CHARACTERS], 16) for key in keys])
        return self._last_prompt[1]

    def _runs(self, keys: typing.Sequence[str]) -> list[tuple[int, int]]:
        """Return (holders, positions as bits) for each set of holders."""
        get = self._holders.get
        masks = [get(number, 0) for number in self._numbers(keys)]
        runs: dict[int, int] = {}
        start = 0
        for mask, group in itertools.groupby(masks):
            length = sum(1 for _ in group)
            if mask:
                positions = ((1 << length) - 1) << start
                runs[mask] = runs.get(mask, 0) | positions
            start += length
        return list(runs.items())

    def _source(self, name: str) -> _Source:
        source = self._sources.get(name)
        if source is None:
            if len(self._sources) >= MAX_SOURCES:
                raise ValueError(f"more than {MAX_SOURCES} sources; split the pool")
            taken = {known.shift for known in self._sources.values()}
            shifts = range(0, SOURCE_BITS * MAX_SOURCES, SOURCE_BITS)
            shift = next(shift for shift in shifts if shift not in taken)
            source = self._sources[name] = _Source(shift)
        return source

    def _apply(self, source: _Source, event: CacheEvent) -> None:
        number = _number(event.key)
        if number is None:
            return
        anywhere = source.mask(ANYWHERE)
        if event.op == "stored":
            others = self._holders.pop(number, 0) & ~anywhere
            bits = ON_DISK if event.tier == Tier.DISK else IN_MEMORY
            self._holders[number] = others | source.mask(bits)
        elif event.op == "removed":
            self._discard(number, anywhere)

    def _add(self, number: int, mask: int) -> None:
        self._holders[number] = self._holders.get(number, 0) | mask

    def _discard(self, number: int, mask: int) -> None:
        present = self._holders.get(number)
        if present is None:
            return
        if present & ~mask:
            self._holders[number] = present & ~mask
        else:
            del self._holders[number]

    def _replace(self, source: _Source, listed: set[int]) -> set[int]:
        """Drop what a listing lacks; return what it names and was known.

        Assumed pieces stay assumed: a run may bring them after the listing.
        """
        known = source.mask(IN_MEMORY | ON_DISK)
        kept = set()
        for number in [n for n, mask in self._holders.items() if mask & known]:
            if number in listed:
                kept.add(number)
            else:
                self._discard(number, known)
        return kept

    def _clear(self, source: _Source) -> None:
        anywhere = source.mask(ANYWHERE)
        for number in [n for n, mask in self._holders.items() if mask & anywhere]:
            self._discard(number, anywhere)
        source.assumed.clear()

    def _bound(self) -> None:
        if len(self._holders) <= self.max_pieces:
            return
        excess = len(self._holders) - self.max_pieces
        count = max(excess, self.max_pieces // DROP_DIVISOR)
        for number in list(itertools.islice(self._holders, count)):
            del self._holders[number]


def _held(runs: list[tuple[int, int]], source: _Source) -> Held:
    bits = disk_bits = assumed_bits = 0
    for mask, positions in runs:
        found = mask >> source.shift & ANYWHERE
        if found:
            bits |= positions
        if found == ON_DISK:
            disk_bits |= positions
        elif found == ASSUMED:
            assumed_bits |= positions
    return Held(bits, disk_bits, assumed_bits, source.stale)
