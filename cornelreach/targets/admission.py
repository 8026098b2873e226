"""Admission to one target: outstanding permits, free capacity and warm-up state.

The owner of the target's pool keeps one ``TargetAdmission`` per target. A target is
identified by its boot ID: a new boot clears the state and makes the target cold. A cold
target is limited to its cold limits and is admitted to only while the owner holds the
exclusive right to admit, and only once all load on the target is accounted for::

    target = admission.TargetAdmission("e1", limits)
    target.observe(report, admission_right, now_ms)
    if target.available(admission_right, now_ms).covers(load):
        target.grant("call-7/1", load, use_ms=60_000, now_ms=now_ms)

Load is accounted for if the boot began during this owner's exclusive right, or if a
report showed the target idle after the last moment at which a call admitted by a
previous owner could have started.
"""

import collections
import enum
import typing

from cornelreach.targets import permits

REPORT_LAG_MS = 2_000
USE_GRACE_MS = 5_000
MAX_FORMER_BOOTS = 16
DRIFT_FACTOR = 1 + permits.CLOCK_DRIFT_SHARE
MAX_REPORT_AGE_MS = (REPORT_LAG_MS + permits.DELIVERY_MS) * DRIFT_FACTOR
PERMIT_EXPIRY_MS = permits.PERMIT_MS * DRIFT_FACTOR


FINAL_OUTCOMES = frozenset(
    {
        permits.Outcome.DONE,
        permits.Outcome.UNUSED,
        permits.Outcome.REJECTED,
    }
)


class Limits(typing.NamedTuple):
    """Limits of a warm and of a cold target, in sequences and prompt tokens."""

    max_sequences: int = 16
    max_tokens: int = 200_000
    cold_sequences: int = 1
    cold_tokens: int = 20_000
    cold_ms: float = 5_000
    prefill_tokens_per_s: float = 8_000


class Load(typing.NamedTuple):
    """A number of sequences and the prompt tokens in them."""

    sequences: int
    tokens: int

    def covers(self, other: "Load") -> bool:
        """Return whether ``other`` fits within this load."""
        return other.sequences <= self.sequences and other.tokens <= self.tokens


NO_CAPACITY = Load(0, 0)


class WarmupState(enum.StrEnum):
    """Whether a target can take its full load."""

    UNKNOWN = "unknown"
    COLD = "cold"
    WARM = "warm"


class AdmissionRight(typing.NamedTuple):
    """The owner's right to admit to cold targets.

    ``exclusive`` is whether the right is held now. No other instance can have admitted
    since ``exclusive_from_ms`` on the owner's clock; the value also distinguishes one
    term of ownership from the next.
    """

    epoch: int
    exclusive: bool
    exclusive_from_ms: float


class Grant(typing.NamedTuple):
    """An outstanding permit; times are on the owner's clock."""

    load: Load
    issued_ms: float
    use_until_ms: float


class TargetAdmission:
    """The outstanding permits of one target."""

    def __init__(self, name: str, limits: Limits) -> None:
        self.name = name
        self.limits = limits
        self.boot = ""
        self.warmup_state = WarmupState.UNKNOWN
        self.outstanding: dict[str, Grant] = {}
        self.outstanding_load = NO_CAPACITY
        self.external_sequences = 0
        self._boot_seen_ms = -1.0
        self._suspected_ms: float | None = None
        self._first_served_ms: float | None = None
        self._reports_cold = False
        self._former_boots = collections.deque(maxlen=MAX_FORMER_BOOTS)
        self._accounted_term_ms: float | None = None
        self._overdue_from_ms = float("inf")
        self._peaks: list[tuple[float, int]] = []

    def needs_probe(self) -> bool:
        """Return whether the target's boot ID should be queried now."""
        return (
            self.warmup_state is WarmupState.UNKNOWN or self._suspected_ms is not None
        )

    def is_accounted(self, admission_right: AdmissionRight) -> bool:
        """Return whether all load that can be running has an outstanding permit."""
        return self._accounted_term_ms == admission_right.exclusive_from_ms

    def limit(self) -> Load:
        """Return the limit that applies in the current warm-up state."""
        limits = self.limits
        if self.warmup_state is WarmupState.WARM:
            return Load(limits.max_sequences, limits.max_tokens)
        return Load(limits.cold_sequences, limits.cold_tokens)

    def can_ever_fit(self, load: Load) -> bool:
        """Return whether a load would fit if no permit were outstanding."""
        return self.warmup_state is not WarmupState.UNKNOWN and self.limit().covers(
            load
        )

    def available(self, admission_right: AdmissionRight, now_ms: float) -> Load:
        """Return the load that may be admitted now."""
        if self.needs_probe():
            return NO_CAPACITY
        self._expire(now_ms)
        limits = self.limits
        if self.warmup_state is WarmupState.WARM:
            used = self.outstanding_load.sequences + self.external_sequences
            return self._free(limits.max_sequences - used, limits.max_tokens)
        if not admission_right.exclusive or not self.is_accounted(admission_right):
            return NO_CAPACITY
        sequences = limits.cold_sequences - self.outstanding_load.sequences
        return self._free(sequences, limits.cold_tokens)

    def _free(self, sequences: int, max_tokens: int) -> Load:
        tokens = max_tokens - self.outstanding_load.tokens
        if sequences <= 0 or tokens <= 0:
            return NO_CAPACITY
        return Load(sequences, tokens)

    def grant(self, permit: str, load: Load, use_ms: float, now_ms: float) -> None:
        """Add an outstanding permit; a repeated grant renews it, counted once."""
        if permit not in self.outstanding:
            self._count(load, 1)
        use_until_ms = now_ms + use_ms + USE_GRACE_MS
        self.outstanding[permit] = Grant(load, now_ms, use_until_ms)
        self._overdue_from_ms = min(self._overdue_from_ms, use_until_ms)
        self._note_peak(now_ms)

    def release(
        self, release: permits.Release, admission_right: AdmissionRight, now_ms: float
    ) -> None:
        """Release a permit and update the target's state from the outcome of the call.

        A call that failed, or was cancelled without a reply from the target, may still
        be running: on a cold target it stays counted until a report shows the target
        idle.
        """
        grant = self.outstanding.get(release.permit)
        if grant is None:
            return
        if self.warmup_state is WarmupState.WARM or _has_ended(release):
            self._drop(release.permit)
        if release.outcome is permits.Outcome.CONNECTION_LOST:
            self.suspect(now_ms)
        if release.boot:
            seen_ms = max(grant.issued_ms, self._boot_seen_ms)
            self._update_boot(release.boot, seen_ms, admission_right)
        if release.boot != self.boot:
            return
        if release.outcome is permits.Outcome.DONE and self._first_served_ms is None:
            self._first_served_ms = now_ms
        if release.outcome is permits.Outcome.FAILED:
            self._first_served_ms = None

    def observe(
        self, report: permits.Report, admission_right: AdmissionRight, now_ms: float
    ) -> None:
        """Process a report; the load in it may be ``REPORT_LAG_MS`` old."""
        self._update_boot(report.boot, report.asked_ms, admission_right)
        if report.load_boot != self.boot or report.boot != self.boot:
            return
        self._observe_warmup_state(report, now_ms)
        total = report.running + report.queued
        if total == 0:
            self._observe_idle(report, admission_right)
        self._trim_peaks(now_ms)
        own_peak = max((peak for _, peak in self._peaks), default=0)
        own_peak = max(own_peak, self.outstanding_load.sequences)
        self.external_sequences = max(0, total - own_peak)

    def observe_boot(
        self, boot: str, asked_ms: float, admission_right: AdmissionRight
    ) -> None:
        """Process the boot ID in the reply to a request sent at ``asked_ms``."""
        self._update_boot(boot, asked_ms, admission_right)

    def suspect(self, now_ms: float) -> None:
        """Stop admitting until a request sent after ``now_ms`` confirms the boot ID."""
        self._suspected_ms = now_ms

    def _update_boot(
        self, boot: str, asked_ms: float, admission_right: AdmissionRight
    ) -> None:
        if boot == self.boot:
            self._boot_seen_ms = max(self._boot_seen_ms, asked_ms)
            if self._suspected_ms is not None and asked_ms >= self._suspected_ms:
                self._suspected_ms = None
            return
        if asked_ms < self._boot_seen_ms or boot in self._former_boots:
            return
        self._begin_boot(boot, asked_ms, admission_right)

    def _begin_boot(
        self, boot: str, asked_ms: float, admission_right: AdmissionRight
    ) -> None:
        began_in_term = bool(self.boot) and (
            self._boot_seen_ms >= admission_right.exclusive_from_ms
        )
        self._accounted_term_ms = (
            admission_right.exclusive_from_ms if began_in_term else None
        )
        self._former_boots.append(self.boot)
        self.boot = boot
        self.warmup_state = WarmupState.COLD
        self.outstanding.clear()
        self.outstanding_load = NO_CAPACITY
        self.external_sequences = 0
        self._boot_seen_ms = asked_ms
        self._suspected_ms = None
        self._first_served_ms = None
        self._reports_cold = False
        self._peaks.clear()

    def _observe_warmup_state(self, report: permits.Report, now_ms: float) -> None:
        if report.cold is not None:
            self._reports_cold = True
            if report.cold and self.warmup_state is WarmupState.WARM:
                self._accounted_term_ms = None
            self.warmup_state = WarmupState.COLD if report.cold else WarmupState.WARM
            return
        first_served_ms = self._first_served_ms
        if self._reports_cold or first_served_ms is None:
            return
        if now_ms - first_served_ms >= self.limits.cold_ms:
            self.warmup_state = WarmupState.WARM

    def _observe_idle(
        self, report: permits.Report, admission_right: AdmissionRight
    ) -> None:
        """Drop permits that had expired before the idle report was measured."""
        measured_ms = report.asked_ms - MAX_REPORT_AGE_MS
        expired = [
            permit
            for permit, grant in self.outstanding.items()
            if grant.issued_ms + PERMIT_EXPIRY_MS <= measured_ms
        ]
        for permit in expired:
            self._drop(permit)
        if (
            admission_right.exclusive
            and measured_ms >= admission_right.exclusive_from_ms
        ):
            self._accounted_term_ms = admission_right.exclusive_from_ms

    def _expire(self, now_ms: float) -> None:
        """Drop overdue permits of a warm target.

        On a cold target they stay until a report shows that the target is idle.
        """
        if self.warmup_state is not WarmupState.WARM or now_ms < self._overdue_from_ms:
            return
        overdue = [
            permit
            for permit, grant in self.outstanding.items()
            if grant.use_until_ms <= now_ms
        ]
        for permit in overdue:
            self._drop(permit)
        remaining = (grant.use_until_ms for grant in self.outstanding.values())
        self._overdue_from_ms = min(remaining, default=float("inf"))

    def _drop(self, permit: str) -> bool:
        grant = self.outstanding.pop(permit, None)
        if grant is not None:
            self._count(grant.load, -1)
        return grant is not None

    def _count(self, load: Load, sign: int) -> None:
        self.outstanding_load = Load(
            self.outstanding_load.sequences + sign * load.sequences,
            self.outstanding_load.tokens + sign * load.tokens,
        )

    def _note_peak(self, now_ms: float) -> None:
        """Record the outstanding sequences for the maximum over ``REPORT_LAG_MS``."""
        sequences = self.outstanding_load.sequences
        while self._peaks and self._peaks[-1][1] <= sequences:
            self._peaks.pop()
        self._peaks.append((now_ms, sequences))
        self._trim_peaks(now_ms)

    def _trim_peaks(self, now_ms: float) -> None:
        while self._peaks and self._peaks[0][0] < now_ms - REPORT_LAG_MS:
            self._peaks.pop(0)


def _has_ended(release: permits.Release) -> bool:
    cancelled = release.outcome is permits.Outcome.CANCELLED and bool(release.boot)
    return cancelled or release.outcome in FINAL_OUTCOMES
