"""The exchange of counts and decisions on orders between instances, by datagrams.

Each instance reports to three collectors, the first by rendezvous that are not silent.
Any instance that gets reports judges them and sends all instances a directive, so a
collector that ends is replaced without an election::

    exchange = Exchange(gossip, clock, bounds, orders)
    exchange.send(release, old_in_flight)
"""

import typing

from cornelreach.gateway import (
    datagrams,
    gossip as gossip_module,
    releaseanalysis,
    releasecollector,
    releaseexposure,
    releasestate,
    releasewriter,
)
from cornelreach.platform import site as site_module
from cornelreach.util import hashing, timers

MIN_INTERVAL_MS = 200.0
INSTANCE_INTERVAL_MS = 3.0  # for each instance, as each gets directives
SHIFTING_SHARE = 0.5
MIN_GRANT_MS = 1_000.0
GRANT_INTERVALS = 4
COLLECTORS = 3
SILENT_MS = 1_500.0  # after which a collector without a directive is passed over
SKIP_MS = 5_000.0
MAX_REASON_BYTES = 300  # so that a directive fits into a datagram

Phase = releaseanalysis.Phase


class Orders(typing.Protocol):
    """The orders that an instance knows."""

    def learn(self, order: datagrams.ReleaseOrder) -> releasestate.Release | None:
        """Return the order that another instance names, None if it is outdated."""

    def old_in_flight(self, release: releasestate.Release) -> int:
        """Return how many requests are under way at targets of other versions."""

    def on_phase(self, release: releasestate.Release) -> None:
        """Follow that an order has entered another phase."""


class Exchange:
    """Sends and receives the datagrams on orders, and judges as a collector."""

    def __init__(
        self,
        gossip: gossip_module.Gossip,
        clock: timers.Timers,
        bounds: site_module.Bounds,
        orders: Orders,
    ) -> None:
        self.gossip = gossip
        self.clock = clock
        self.bounds = bounds
        self.orders = orders
        self._judges: dict[tuple[str, str, str], releasecollector.Collector] = {}
        self._sequence = 0
        # By collector, since when it has been sent reports without an answer, and until
        # when it is passed over.
        self._asked_ms: dict[str, float] = {}
        self._skipped_ms: dict[str, float] = {}
        # Those that were passed over and have not answered since. They get reports
        # beside the collectors, so that none is missing while they are tried again.
        self._doubted: set[str] = set()
        gossip.handlers[datagrams.ReleaseReport] = self.handle_report
        gossip.handlers[datagrams.ReleaseDirective] = self.handle_directive

    def names(self) -> set[str]:
        """Return the names of all registered instances and of this one."""
        return {*self.gossip.members, self.gossip.name}

    def interval_ms(
        self, releases: typing.Iterable[releasestate.Release] = ()
    ) -> float:
        """Return the time between two rounds of reports and directives.

        It is shorter while traffic shifts, which has to end before the last third of
        an order, in which the store may be away.
        """
        usual_ms = max(MIN_INTERVAL_MS, INSTANCE_INTERVAL_MS * len(self.names()))
        is_shifting = any(one.phase is Phase.SHIFTING for one in releases)
        return usual_ms * SHIFTING_SHARE if is_shifting else usual_ms

    def grant_ms(self) -> float:
        """Return for how long a directive lets requests go to the new version."""
        return max(MIN_GRANT_MS, GRANT_INTERVALS * self.interval_ms())

    def share(self, phase: Phase) -> float:
        """Return the share of the requests that the new version gets in a phase."""
        if phase is Phase.OBSERVING:
            return releaseexposure.CANARY_SHARE * self.bounds.exposure_share
        return 1.0 if phase in (Phase.SHIFTING, Phase.SUCCEEDED) else 0.0

    def forget(self, release: releasestate.Release) -> None:
        """Forget the reports on an order that is gone."""
        self._judges.pop(release.identity, None)

    # Who collects and who writes.

    def rank(self, release: releasestate.Release) -> int | None:
        """Return this instance's rank among those that write, None if it does not.

        Instances that have ended stay registered: those known to be silent have no
        rank, and a collector writes as well.
        """
        heard = [one for one in self._ranked(release) if one not in self._doubted]
        rank = heard.index(self.gossip.name)
        if rank < releasewriter.WRITERS:
            return rank
        is_collector = self.gossip.name in self.collectors(release)
        return releasewriter.WRITERS if is_collector else None

    def _ranked(self, release: releasestate.Release) -> list[str]:
        key = hashing.digest(*(part.encode() for part in release.identity))
        return hashing.rendezvous(key, self.names())

    def collectors(self, release: releasestate.Release) -> list[str]:
        """Return the instances that get reports; those that are silent are skipped."""
        now_ms = self.clock.now_ms()
        found: list[str] = []
        for name in self._ranked(release):
            if sum(one not in self._doubted for one in found) == COLLECTORS:
                break
            if self._skipped_ms.get(name, 0.0) > now_ms:
                continue
            asked_ms = self._asked_ms.get(name, now_ms)
            if name != self.gossip.name and now_ms - asked_ms > SILENT_MS:
                self._skipped_ms[name] = now_ms + SKIP_MS
                self._doubted.add(name)
                del self._asked_ms[name]
                continue
            found.append(name)
        return found

    # Sending.

    def send(self, release: releasestate.Release) -> None:
        """Report what was counted, and judge if this instance is a collector."""
        now_ms = self.clock.now_ms()
        judge = self._judge(release)
        self._sequence += 1
        report = datagrams.ReleaseReport(
            self.gossip.name,
            self.gossip.boot,
            self._sequence,
            release.wire_order(),
            release.phase,
            release.known_age_ms(now_ms),
            self.orders.old_in_flight(release),
            release.wire_counts(),
        )
        judge.add(report, now_ms)
        receivers = self.collectors(release)
        others = [name for name in receivers if name != self.gossip.name]
        for name in others:
            self._asked_ms.setdefault(name, now_ms)
        for part in datagrams.release_reports(report):
            self.gossip.send(part, others)
        if len(others) < len(receivers) or judge.is_asked(self.gossip.name, now_ms):
            self._direct(release, judge)

    def _judge(self, release: releasestate.Release) -> releasecollector.Collector:
        found = self._judges.get(release.identity)
        if found is None:
            found = releasecollector.Collector(release)
            self._judges[release.identity] = found
        return found

    def _direct(
        self, release: releasestate.Release, judge: releasecollector.Collector
    ) -> None:
        """Judge the reports and tell all instances what follows."""
        now_ms = self.clock.now_ms()
        phase, reason, is_complete = release.phase, release.reason, False
        if release.is_age_known and not release.is_reverting:
            found = judge.judge(now_ms, len(self.names()))
            is_complete = found.is_complete
            if found.phase > phase:
                phase, reason = found.phase, found.reason
        directive = datagrams.ReleaseDirective(
            self.gossip.name,
            self.gossip.boot,
            self._sequence,
            release.wire_order(),
            phase,
            release.known_age_ms(now_ms),
            self.share(phase) if release.is_age_known else None,
            is_complete,
            reason.encode()[:MAX_REASON_BYTES].decode(errors="ignore"),
        )
        others = [name for name in self.gossip.members if name != self.gossip.name]
        self.gossip.send(directive, others)
        self._follow(release, directive)

    # Receiving.

    def handle_report(self, report: datagrams.ReleaseReport) -> None:
        """Take in another instance's report."""
        release = self.orders.learn(report.order)
        if release is None or release.is_over:
            return
        now_ms = self.clock.now_ms()
        release.adopt_age(report.age_ms, now_ms)
        self._judge(release).add(report, now_ms)
        self._adopt(release, report.phase, "its report has this phase", report.name)

    def handle_directive(self, directive: datagrams.ReleaseDirective) -> None:
        """Follow a collector's directive."""
        self._asked_ms.pop(directive.name, None)
        self._skipped_ms.pop(directive.name, None)
        self._doubted.discard(directive.name)
        release = self.orders.learn(directive.order)
        if release is not None and not release.is_over:
            self._follow(release, directive)

    def _follow(
        self,
        release: releasestate.Release,
        directive: datagrams.ReleaseDirective,
    ) -> None:
        now_ms = self.clock.now_ms()
        release.adopt_age(directive.age_ms, now_ms)
        if directive.share:
            release.granted_until_ms = now_ms + self.grant_ms()
        if directive.is_complete:
            release.complete_until_ms = now_ms + self.grant_ms()
        self._adopt(release, directive.phase, directive.reason, directive.name)

    def _adopt(
        self, release: releasestate.Release, number: int, reason: str, source: str
    ) -> None:
        """Enter a higher phase, and tell the collectors at once.

        The final phases come from the store, which alone settles them.
        """
        phase = Phase(min(max(number, Phase.OBSERVING), Phase.REVERTING))
        if release.adopt(phase, reason, self.clock.now_ms(), source):
            self.send(release)
            self.orders.on_phase(release)
