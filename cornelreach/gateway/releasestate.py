"""One order of a software rollout, as an instance knows it, and what it has counted.

The phase only rises, by directives and reports of other instances, until the store
names the final one, which overrides it. The age is that of the instance that saw the
order first::

    release = Release(order, version, 0.1, now_ms)
    release.adopt(releaseanalysis.Phase.SHIFTING, "30 good responses", now_ms)
"""

import typing

from cornelreach.gateway import (
    datagrams,
    registry as registry_module,
    releaseanalysis,
    releasecounts,
    releaseexposure,
)
from cornelreach.platform import releases as platform_releases
from cornelreach.util import events

Phase = releaseanalysis.Phase

FINAL_PHASES = {
    platform_releases.SUCCEEDED: Phase.SUCCEEDED,
    platform_releases.REVERTED: Phase.REVERTED,
}
FINAL_STATES = {phase: state for state, phase in FINAL_PHASES.items()}
# The states that are to be written in a phase that is not final.
REVERT_PHASES = (Phase.REVERTING, Phase.REVERTED)
MAX_AGE_EXTRA_MS = 60_000.0  # beyond the duration; a greater age of a peer is unsound
KNOWN_LONGER_MS = 500.0  # more than the delays of watches and datagrams

CHANGED = events.define(
    2622,
    "INFO",
    "Rollout of {target} to {service}: {before} became {after} at {age_ms} ms of "
    "{duration_ms} ms, says {source}: {reason}.",
    "If it was rolled back: see docs/operators/software-rollouts.md.",
)


class Release:
    """An order and its state at this instance.

    ``version`` is the object's version that was last read, or None if the order is
    known from other instances only; ``state`` is the state in its status.
    ``is_age_known`` is not set while another instance may know the order for longer.
    ``complete_until_ms`` is until when the old version is known not to be needed.
    """

    def __init__(
        self,
        order: releaseanalysis.Order,
        version: int | None,
        exposure_share: float,
        now_ms: float,
    ) -> None:
        self.order = order
        self.version = version
        self.state = ""
        self.exposure = releaseexposure.Exposure(order, exposure_share)
        self.recorder = releasecounts.Recorder()
        self.phase = Phase.OBSERVING
        self.phase_ms = now_ms
        self.reason = ""
        self.seen_ms = self.started_ms = now_ms
        self.is_age_known = True
        self.max_missed_ms = 0.0  # before it was seen
        self.granted_until_ms = float("-inf")
        self.complete_until_ms = float("-inf")
        self.has_targets = False  # whether one of the new version has appeared

    @property
    def identity(self) -> tuple[str, str, str]:
        """Return what tells the order from others."""
        return self.order[:3]

    @property
    def is_over(self) -> bool:
        """Return whether the phase is final."""
        return self.phase >= Phase.SUCCEEDED

    @property
    def is_reverting(self) -> bool:
        """Return whether the new version gets no new requests any more."""
        return self.phase in REVERT_PHASES

    def age_ms(self, now_ms: float) -> float:
        """Return the time since the order, as far as it is known."""
        return now_ms - self.started_ms

    def known_age_ms(self, now_ms: float) -> float | None:
        """Return the age for other instances; None while they may know better."""
        return self.age_ms(now_ms) if self.is_age_known else None

    def adopt_age(self, age_ms: float | None, now_ms: float) -> None:
        """Take over a greater age from another instance."""
        if age_ms is None or not 0 <= age_ms <= (
            self.order.duration_ms + MAX_AGE_EXTRA_MS
        ):
            return
        if age_ms > self.age_ms(now_ms) + KNOWN_LONGER_MS:
            self.max_missed_ms = 0.0  # another instance saw the order begin
        self.started_ms = min(self.started_ms, now_ms - age_ms)
        self.is_age_known = True

    def doubt_age(self, max_missed_ms: float) -> None:
        """Note that the order may be older, by no more than a time.

        Others that know it for as short a time may have missed as much.
        """
        self.is_age_known = False
        self.max_missed_ms = max_missed_ms

    def estimate_age(
        self, born_ms: typing.Iterable[int], wall_ms: float, now_ms: float
    ) -> None:
        """Estimate the age from when the targets of the new version were started.

        Only for an order that no other instance knows for longer: clocks of other
        machines may be wrong.
        """
        since_ms = wall_ms - min((one for one in born_ms if one), default=wall_ms)
        since_ms = min(since_ms, self.order.duration_ms)
        missed_ms = min(since_ms - self.age_ms(now_ms), self.max_missed_ms)
        self.started_ms -= max(0.0, missed_ms)
        self.max_missed_ms = 0.0
        self.is_age_known = True

    def adopt(self, phase: Phase, reason: str, now_ms: float, source: str = "") -> bool:
        """Enter a phase if it is higher; return whether that is so.

        ``source`` is the instance that says so.
        """
        if phase <= self.phase:
            return False
        self._enter(phase, reason, now_ms, source)
        return True

    def apply_state(self, state: str, version: int, now_ms: float) -> None:
        """Apply the status in the store, of which a final state overrides all else."""
        self.state, self.version = state, version
        phase = FINAL_PHASES.get(state)
        if phase is not None and phase is not self.phase:
            is_expected = self.is_reverting == (phase is Phase.REVERTED)
            reason = self.reason if is_expected else ""
            self._enter(phase, reason or "its status", now_ms, "the store")

    def _enter(self, phase: Phase, reason: str, now_ms: float, source: str) -> None:
        was_reverting = self.is_reverting
        before, self.phase = self.phase, phase
        self.reason = reason
        if not (was_reverting and self.is_reverting):
            self.phase_ms = now_ms
        if phase is Phase.SHIFTING:
            # The shift begins now, and not with this instance's next request.
            self.exposure.lane(
                now_ms, self.age_ms(now_ms), phase, False, False, False, True, 1.0
            )
        events.emit(
            CHANGED,
            service=self.order.service,
            target=self.order.target,
            before=before.name,
            after=phase.name,
            age_ms=round(self.age_ms(now_ms)),
            duration_ms=round(self.order.duration_ms),
            reason=reason or "no reason given",
            source=source,
        )

    def is_granted(self, now_ms: float) -> bool:
        """Return whether a directive allows the new version at present."""
        return now_ms < self.granted_until_ms

    def wanted_state(self, now_ms: float) -> str:
        """Return the state that is to be written, or an empty text if there is none."""
        if self.state in platform_releases.FINAL:
            return ""
        if self.is_over:
            return FINAL_STATES[self.phase]
        if self.phase is Phase.REVERTING:
            return platform_releases.REVERTED
        if self.phase is Phase.SHIFTING and now_ms < self.complete_until_ms:
            return platform_releases.SUCCEEDED
        return "" if self.state else platform_releases.RUNNING

    def is_new(self, target: registry_module.Target) -> bool:
        """Return whether a target has the software version of the order."""
        return target.software == self.order.target

    # Datagrams.

    def wire_order(self) -> datagrams.ReleaseOrder:
        """Return the order as it is sent to other instances."""
        return datagrams.ReleaseOrder(*self.order)

    def wire_counts(
        self,
    ) -> dict[str, tuple[datagrams.RouteCounts, datagrams.RouteCounts]]:
        """Return what this instance has counted, by route; the old version first."""
        counts = self.recorder.counts()
        none = releasecounts.RouteCounts()
        return {
            route: (
                _to_wire(counts.get((route, False), none)),
                _to_wire(counts.get((route, True), none)),
            )
            for route in sorted({route for route, _ in counts})
        }


def _to_wire(counts: releasecounts.RouteCounts) -> datagrams.RouteCounts:
    times = list(counts.times)
    while times and not times[-1]:
        times.pop()
    return datagrams.RouteCounts(counts.responses, counts.failures, tuple(times))


def from_wire(
    counts: typing.Mapping[str, tuple[datagrams.RouteCounts, datagrams.RouteCounts]],
) -> releasecounts.Counts:
    """Return the counts in a report; buckets beyond the last one are ignored."""
    found: releasecounts.Counts = {}
    size = releasecounts.BUCKETS
    for route, versions in counts.items():
        for is_new, one in zip((False, True), versions, strict=True):
            times = (*one.times, *(0,) * size)[:size]
            found[route, is_new] = releasecounts.RouteCounts(
                one.responses, one.failures, times
            )
    return found
