"""Admission to one target: what is out, what there is room for, and how warm it is.

The aggregate lives at the owner of the target's pool. A target is known by its boot
identity: a new boot empties the aggregate and makes the target cold. A cold target
takes only the cold limit, only while the owner has the exclusive right to admit, and
only once all load at it is accounted for::

    target = admission.TargetAdmission("e1", limits)
    target.observe(report, standing, now_ms)
    if target.room(standing, now_ms).holds(load):
        target.grant("call-7/1", load, use_ms=60_000, now_ms=now_ms)

Load is accounted for if the boot began within this owner's exclusive right, or if a
report taken after the last possible start under a former owner showed it empty.
"""

import collections
import enum
import typing

from cornelreach.targets import permits

REPORT_LAG_MS = 2_000
USE_GRACE_MS = 5_000
FORMER_BOOTS = 16
MARGIN = 1 + permits.CLOCK_DRIFT_SHARE
TAKEN_MS = (REPORT_LAG_MS + permits.DELIVERY_MS) * MARGIN
SETTLE_MS = permits.PERMIT_MS * MARGIN


ENDED = frozenset(
    {
        permits.Outcome.DONE,
        permits.Outcome.UNUSED,
        permits.Outcome.REJECTED,
    }
)


class Limits(typing.NamedTuple):
    """What a target bears warm and cold, in sequences and prompt tokens."""

    max_sequences: int = 16
    max_tokens: int = 200_000
    cold_sequences: int = 1
    cold_tokens: int = 20_000
    cold_ms: float = 5_000
    prefill_tokens_per_s: float = 8_000


class Load(typing.NamedTuple):
    """Sequences and the prompt tokens that they hold."""

    sequences: int
    tokens: int

    def holds(self, other: "Load") -> bool:
        """Return whether another load fits into this one."""
        return other.sequences <= self.sequences and other.tokens <= self.tokens


NO_ROOM = Load(0, 0)


class Heat(enum.StrEnum):
    """Whether a target bears its full load."""

    UNKNOWN = "unknown"
    COLD = "cold"
    WARM = "warm"


class Standing(typing.NamedTuple):
    """The owner's right to admit to cold targets.

    ``exclusive`` holds now. Nobody else can have admitted since ``exclusive_from_ms``
    of the owner's clock, which also tells one tenure from the next.
    """

    epoch: int
    exclusive: bool
    exclusive_from_ms: float


class Grant(typing.NamedTuple):
    """A permit that is out, by the owner's clock."""

    load: Load
    issued_ms: float
    use_until_ms: float


class TargetAdmission:
    """The permits that are out for one target."""

    def __init__(self, name: str, limits: Limits) -> None:
        self.name = name
        self.limits = limits
        self.boot = ""
        self.heat = Heat.UNKNOWN
        self.out: dict[str, Grant] = {}
        self.out_load = NO_ROOM
        self.foreign_sequences = 0
        self._boot_seen_ms = -1.0
        self._suspected_ms: float | None = None
        self._served_from_ms: float | None = None
        self._tells_cold = False
        self._former_boots = collections.deque(maxlen=FORMER_BOOTS)
        self._accounted_from_ms: float | None = None
        self._overdue_from_ms = float("inf")
        self._peaks: list[tuple[float, int]] = []

    def needs_probe(self) -> bool:
        """Return whether the target's boot identity should be asked for now."""
        return self.heat is Heat.UNKNOWN or self._suspected_ms is not None

    def is_accounted(self, standing: Standing) -> bool:
        """Return whether no load but the permits that are out can be running."""
        return self._accounted_from_ms == standing.exclusive_from_ms

    def most(self) -> Load:
        """Return the limit that holds now."""
        limits = self.limits
        if self.heat is Heat.WARM:
            return Load(limits.max_sequences, limits.max_tokens)
        return Load(limits.cold_sequences, limits.cold_tokens)

    def bears(self, load: Load) -> bool:
        """Return whether a load would fit if nothing else were out."""
        return self.heat is not Heat.UNKNOWN and self.most().holds(load)

    def room(self, standing: Standing, now_ms: float) -> Load:
        """Return the load that may be admitted now."""
        if self.needs_probe():
            return NO_ROOM
        self._expire(now_ms)
        limits = self.limits
        if self.heat is Heat.WARM:
            used = self.out_load.sequences + self.foreign_sequences
            return self._free(limits.max_sequences - used, limits.max_tokens)
        if not standing.exclusive or not self.is_accounted(standing):
            return NO_ROOM
        sequences = limits.cold_sequences - self.out_load.sequences
        return self._free(sequences, limits.cold_tokens)

    def _free(self, sequences: int, max_tokens: int) -> Load:
        tokens = max_tokens - self.out_load.tokens
        if sequences <= 0 or tokens <= 0:
            return NO_ROOM
        return Load(sequences, tokens)

    def grant(self, permit: str, load: Load, use_ms: float, now_ms: float) -> None:
        """Count a permit as out; a repeated grant renews it without counting twice."""
        if permit not in self.out:
            self._count(load, 1)
        use_until_ms = now_ms + use_ms + USE_GRACE_MS
        self.out[permit] = Grant(load, now_ms, use_until_ms)
        self._overdue_from_ms = min(self._overdue_from_ms, use_until_ms)
        self._note_peak(now_ms)

    def release(
        self, release: permits.Release, standing: Standing, now_ms: float
    ) -> None:
        """Take a permit back and learn from how its use ended.

        A use that failed, or was cancelled without the target's answer, may still run:
        a cold target stays charged with it until a report shows the target empty.
        """
        grant = self.out.get(release.permit)
        if grant is None:
            return
        if self.heat is Heat.WARM or _has_ended(release):
            self._drop(release.permit)
        if release.outcome is permits.Outcome.CONNECTION_LOST:
            self.suspect(now_ms)
        if release.boot:
            shown_ms = max(grant.issued_ms, self._boot_seen_ms)
            self._follow_boot(release.boot, shown_ms, standing)
        if release.boot != self.boot:
            return
        if release.outcome is permits.Outcome.DONE and self._served_from_ms is None:
            self._served_from_ms = now_ms
        if release.outcome is permits.Outcome.FAILED:
            self._served_from_ms = None

    def observe(
        self, report: permits.Report, standing: Standing, now_ms: float
    ) -> None:
        """Take in a report, whose load may be ``REPORT_LAG_MS`` old."""
        self._follow_boot(report.boot, report.asked_ms, standing)
        if report.load_boot != self.boot or report.boot != self.boot:
            return
        self._observe_heat(report, now_ms)
        total = report.running + report.queued
        if total == 0:
            self._observe_empty(report, standing)
        self._trim_peaks(now_ms)
        own_peak = max((peak for _, peak in self._peaks), default=0)
        own_peak = max(own_peak, self.out_load.sequences)
        self.foreign_sequences = max(0, total - own_peak)

    def observe_boot(self, boot: str, asked_ms: float, standing: Standing) -> None:
        """Take in the boot identity of an answer to something sent at ``asked_ms``."""
        self._follow_boot(boot, asked_ms, standing)

    def suspect(self, now_ms: float) -> None:
        """Stop admitting until an answer to a later question shows the boot."""
        self._suspected_ms = now_ms

    def _follow_boot(self, boot: str, asked_ms: float, standing: Standing) -> None:
        if boot == self.boot:
            self._boot_seen_ms = max(self._boot_seen_ms, asked_ms)
            if self._suspected_ms is not None and asked_ms >= self._suspected_ms:
                self._suspected_ms = None
            return
        if asked_ms < self._boot_seen_ms or boot in self._former_boots:
            return
        self._begin_boot(boot, asked_ms, standing)

    def _begin_boot(self, boot: str, asked_ms: float, standing: Standing) -> None:
        began_here = bool(self.boot) and (
            self._boot_seen_ms >= standing.exclusive_from_ms
        )
        self._accounted_from_ms = standing.exclusive_from_ms if began_here else None
        self._former_boots.append(self.boot)
        self.boot = boot
        self.heat = Heat.COLD
        self.out.clear()
        self.out_load = NO_ROOM
        self.foreign_sequences = 0
        self._boot_seen_ms = asked_ms
        self._suspected_ms = None
        self._served_from_ms = None
        self._tells_cold = False
        self._peaks.clear()

    def _observe_heat(self, report: permits.Report, now_ms: float) -> None:
        if report.cold is not None:
            self._tells_cold = True
            if report.cold and self.heat is Heat.WARM:
                self._accounted_from_ms = None
            self.heat = Heat.COLD if report.cold else Heat.WARM
            return
        served_from_ms = self._served_from_ms
        if self._tells_cold or served_from_ms is None:
            return
        if now_ms - served_from_ms >= self.limits.cold_ms:
            self.heat = Heat.WARM

    def _observe_empty(self, report: permits.Report, standing: Standing) -> None:
        """Settle what was out long enough before the report's load was taken."""
        taken_ms = report.asked_ms - TAKEN_MS
        settled = [
            permit
            for permit, grant in self.out.items()
            if grant.issued_ms + SETTLE_MS <= taken_ms
        ]
        for permit in settled:
            self._drop(permit)
        if standing.exclusive and taken_ms >= standing.exclusive_from_ms:
            self._accounted_from_ms = standing.exclusive_from_ms

    def _expire(self, now_ms: float) -> None:
        """Drop overdue permits of a warm target; a cold one waits for proof."""
        if self.heat is not Heat.WARM or now_ms < self._overdue_from_ms:
            return
        overdue = [
            permit for permit, held in self.out.items() if held.use_until_ms <= now_ms
        ]
        for permit in overdue:
            self._drop(permit)
        left = (held.use_until_ms for held in self.out.values())
        self._overdue_from_ms = min(left, default=float("inf"))

    def _drop(self, permit: str) -> bool:
        grant = self.out.pop(permit, None)
        if grant is not None:
            self._count(grant.load, -1)
        return grant is not None

    def _count(self, load: Load, sign: int) -> None:
        self.out_load = Load(
            self.out_load.sequences + sign * load.sequences,
            self.out_load.tokens + sign * load.tokens,
        )

    def _note_peak(self, now_ms: float) -> None:
        sequences = self.out_load.sequences
        while self._peaks and self._peaks[-1][1] <= sequences:
            self._peaks.pop()
        self._peaks.append((now_ms, sequences))
        self._trim_peaks(now_ms)

    def _trim_peaks(self, now_ms: float) -> None:
        while self._peaks and self._peaks[0][0] < now_ms - REPORT_LAG_MS:
            self._peaks.pop(0)


def _has_ended(release: permits.Release) -> bool:
    cancelled = release.outcome is permits.Outcome.CANCELLED and bool(release.boot)
    return cancelled or release.outcome in ENDED
