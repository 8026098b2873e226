"""Rollouts of a service's targets to another software version, as operators order them.

Nobody is elected. Each instance counts what the old and the new version answer and
reports that to three collectors; any instance that gets reports judges the version and
sends all instances a directive. What must last is the status of the order's object::

    releases = Releases(gossip, objects, environment, bounds)
    selector.rules = releases.rules
    releases.apply_record(record)
    clock.every(TICK_MS, releases.tick)
"""

import asyncio
import typing

from returns import result

from cornelreach.gateway import (
    datagrams,
    gossip as gossip_module,
    releaseanalysis,
    releasecollector,
    releaseexposure,
    releaserules,
    releasestate,
    releasewriter,
)
from cornelreach.platform import (
    releases as platform_releases,
    results,
    site as site_module,
)
from cornelreach.util import events, guards, hashing

TICK_MS = 50.0
MIN_INTERVAL_MS = 200.0
INSTANCE_INTERVAL_MS = 3.0  # for each instance, as each gets directives
MIN_GRANT_MS = 1_000.0
GRANT_INTERVALS = 4
COLLECTORS = 3
SILENT_MS = 1_500.0  # after which a collector without a directive is passed over
SKIP_MS = 5_000.0
HOLD_MS = 1_500.0  # for targets whose order may not have been read yet
HOLD_RETRY_S = 0.1
CONFIRM_MS = 1_000.0  # for the age of an order that others may know for longer

Phase = releaseanalysis.Phase

ORDERED = events.define(
    2620,
    "INFO",
    "Rollout of {target} to {service} is ordered, within {duration_ms} ms; status "
    "{state}.",
    "Nothing.",
)
IGNORED = events.define(
    2621,
    "WARNING",
    "Ignored the rollout order {key}: {error}.",
    "Write the order again; see docs/operators/software-rollouts.md.",
)
WITHDRAWN = events.define(
    2623,
    "INFO",
    "The order to roll {target} out to {service} is gone in phase {phase}: {reason}.",
    "Nothing; unless it succeeded, the listed targets of that version get nothing.",
)
HELD = events.define(
    2624,
    "INFO",
    "Targets of {service} with the new software version {target} wait until the orders "
    "of rollouts have been read again.",
    "Nothing.",
)
RELEASED = events.define(
    2625,
    "INFO",
    "Targets of {service} with version {target} are used: {reason}.",
    "If orders could not be read: check the platform.",
)


class Releases:
    """The orders that this instance knows, and what it does for each."""

    def __init__(
        self,
        gossip: gossip_module.Gossip,
        objects: results.ObjectStore,
        environment: releaserules.Environment,
        bounds: site_module.Bounds,
    ) -> None:
        self.gossip = gossip
        self.environment = environment
        self.mirror = environment.mirror
        self.clock = environment.clock
        self.bounds = bounds
        self.rules: dict[str, releaserules.ServiceRule] = {}
        self.writer = releasewriter.Writer(self, objects, environment.clock)
        # Reads the orders as they are now; returns whether that could be done.
        self.read_now: typing.Callable[[], typing.Awaitable[bool]] = _never_read
        self._collectors: dict[tuple[str, str, str], releasecollector.Collector] = {}
        self._pending: dict[str, results.Record] = {}
        self._ignored: dict[str, int] = {}
        self._sequence = 0
        self._due_ms = 0.0
        # By collector, since when it has been sent reports without an answer, and until
        # when it is passed over.
        self._asked_ms: dict[str, float] = {}
        self._skipped_ms: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        gossip.handlers[datagrams.ReleaseReport] = self.handle_report
        gossip.handlers[datagrams.ReleaseDirective] = self.handle_directive
        self.mirror.registry.on_software = self.hold

    def apply_bounds(self, bounds: site_module.Bounds) -> None:
        """Apply bounds that have changed."""
        self.bounds = bounds
        for rule in self.rules.values():
            if rule.release is not None:
                share = releaseexposure.CANARY_SHARE * bounds.exposure_share
                rule.release.exposure.share = share

    def rule(self, service: str) -> releaserules.ServiceRule:
        """Return the rule of a service, which is made if there is none."""
        found = self.rules.get(service)
        if found is None:
            found = releaserules.ServiceRule(service, self.environment)
            self.rules[service] = found
        return found

    def release(self, service: str) -> releasestate.Release | None:
        """Return the order for a service, if there is one."""
        rule = self.rules.get(service)
        return None if rule is None else rule.release

    # Orders.

    def apply_record(self, record: results.Record, is_first: bool = False) -> None:
        """Apply an order as it is stored; ``is_first`` if the process has just started.

        A record without a value is that of a deleted order.
        """
        service = record.key.removeprefix(platform_releases.PREFIX)
        self._pending.pop(service, None)
        if record.value is None:
            self.withdraw(service, "it was deleted")
            return
        match platform_releases.decode(record):
            case result.Success(entry):
                self._apply_entry(entry, record, is_first)
            case result.Failure(error):
                self.withdraw(service, "it cannot be decoded any more")
                self._ignore(record, error)

    def _ignore(self, record: results.Record, error: str) -> None:
        """Log once that an order is not followed."""
        if self._ignored.get(record.key) != record.version:
            self._ignored[record.key] = record.version
            events.emit(IGNORED, key=record.key, error=error)

    def _apply_entry(
        self, entry: platform_releases.Entry, record: results.Record, is_first: bool
    ) -> None:
        config = self.mirror.catalogue
        if config is None or entry.service not in config.services:
            # The service may be in a configuration that has not been read yet.
            self._pending[entry.service] = record
            if config is not None:
                self._ignore(record, f"there is no service {entry.service!r}")
            return
        order = releaseanalysis.Order(
            entry.service, entry.target, entry.created, entry.duration_ms
        )
        release = self.release(entry.service)
        if release is None or release.identity != order[:3]:
            release = self._start(order, entry, is_first)
        self.apply_written(release, entry.state, entry.version)

    def _start(
        self,
        order: releaseanalysis.Order,
        entry: platform_releases.Entry | None,
        is_first: bool,
    ) -> releasestate.Release:
        now_ms = self.clock.now_ms()
        rule = self.rule(order.service)
        if rule.release is not None:
            self.withdraw(order.service, "another order replaces it")
            rule = self.rule(order.service)
        rule.reopen(order.target)
        rule.held.clear()
        release = releasestate.Release(
            order,
            None if entry is None else entry.version,
            self.bounds.exposure_share,
            now_ms,
            is_age_known=not is_first,
        )
        state = "" if entry is None else entry.state
        if state in platform_releases.FINAL:
            # It was over before this instance knew of it.
            release.phase = releasestate.FINAL_PHASES[state]
            release.phase_ms = float("-inf")
        rule.release = release
        self._due_ms = now_ms
        events.emit(
            ORDERED,
            service=order.service,
            target=order.target,
            created=order.created,
            duration_ms=round(order.duration_ms),
            state=state or "not written",
        )
        return release

    def apply_written(
        self, release: releasestate.Release, state: str, version: int
    ) -> None:
        """Apply a status that this instance has written."""
        if release.version is not None and version < release.version:
            return
        was_over, now_ms = release.is_over, self.clock.now_ms()
        release.apply_state(state, version, now_ms)
        if release.is_over and not was_over:
            self._end(release, now_ms)

    def _end(self, release: releasestate.Release, now_ms: float) -> None:
        """Follow the final state of an order."""
        if release.phase is Phase.SUCCEEDED:
            self.rule(release.order.service).close_old(now_ms)

    def withdraw(self, service: str, reason: str) -> None:
        """Follow that an order is gone; its targets are closed unless it succeeded."""
        rule = self.rules.get(service)
        if rule is None or rule.release is None:
            return
        rule.close_new(self.clock.now_ms())
        release, rule.release = rule.release, None
        self._collectors.pop(release.identity, None)
        events.emit(
            WITHDRAWN,
            service=service,
            target=release.order.target,
            phase=release.phase.name,
            reason=reason,
        )

    def orders(self) -> set[str]:
        """Return the services whose orders are known from the store."""
        return {
            service
            for service, rule in self.rules.items()
            if rule.release is not None and rule.release.version is not None
        } | set(self._pending)

    # Versions without a known order.

    def hold(self, service: str, software: str) -> None:
        """Hold targets of a new version back until the orders have been read again."""
        release = self.release(service)
        if release is not None and release.order.target == software:
            return
        rule = self.rule(service)
        if software not in rule.held:
            rule.held[software] = self.clock.now_ms() + HOLD_MS
            events.emit(HELD, service=service, target=software)
            self.spawn(self._end_hold(rule, software))

    async def _end_hold(self, rule: releaserules.ServiceRule, software: str) -> None:
        reason = "the orders could not be read in time"
        while rule.held.get(software, 0.0) > self.clock.now_ms():
            if await self.read_now():
                reason = "the orders have been read"
                break
            await asyncio.sleep(HOLD_RETRY_S)
        rule.held.pop(software, None)
        events.emit(RELEASED, service=rule.service, target=software, reason=reason)

    def spawn(self, work: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
        """Run a task until it ends or this instance stops."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """End all calls to the store."""
        for task in self._tasks:
            task.cancel()

    # Rounds.

    def interval_ms(self) -> float:
        """Return the time between two rounds of reports and directives."""
        return max(MIN_INTERVAL_MS, INSTANCE_INTERVAL_MS * len(self.names()))

    def grant_ms(self) -> float:
        """Return for how long a directive lets requests go to the new version."""
        return max(MIN_GRANT_MS, GRANT_INTERVALS * self.interval_ms())

    def names(self) -> set[str]:
        """Return the names of all registered instances and of this one."""
        return {*self.gossip.members, self.gossip.name}

    def tick(self) -> None:
        """Do what is due."""
        now_ms = self.clock.now_ms()
        if not self.rules and not self._pending:
            return
        for record in list(self._pending.values()):
            self.apply_record(record)
        is_due = now_ms >= self._due_ms
        for service, rule in list(self.rules.items()):
            rule.update(now_ms)
            self._show(rule, now_ms)
            if rule.release is not None:
                guards.call(self._follow, rule.release)
                if is_due and not rule.release.is_over:
                    guards.call(self.exchange, rule.release)
            elif not rule.is_needed():
                del self.rules[service]
        if is_due:
            self._due_ms = now_ms + self.interval_ms()

    def _follow(self, release: releasestate.Release) -> None:
        """Estimate an order's age if nobody knows it, and write its status."""
        now_ms = self.clock.now_ms()
        if not release.is_age_known and now_ms >= release.seen_ms + CONFIRM_MS:
            listed = self.mirror.registry.listed_targets(release.order.service)
            born_ms = [one.born_ms for one in listed if release.is_new(one)]
            release.estimate_age(born_ms, self.clock.wall_ms(), now_ms)
        self.writer.check(release, self.rank(release))

    def _show(self, rule: releaserules.ServiceRule, now_ms: float) -> None:
        """Set the metrics of a service's order."""
        metrics, release = self.environment.metrics, rule.release
        if release is None:
            metrics.clear("release_phase", rule.service)
            metrics.clear("release_share", rule.service)
            return
        is_open = release.phase is Phase.SUCCEEDED or release.is_granted(now_ms)
        share = self._share(release.phase) if is_open else 0.0
        metrics.set("release_phase", release.phase, rule.service)
        metrics.set("release_share", share, rule.service)

    def rank(self, release: releasestate.Release) -> int | None:
        """Return this instance's rank among those that write, None if it does not.

        Instances that have ended stay registered, so a collector writes as well.
        """
        ranked = self._ranked(release)
        rank = ranked.index(self.gossip.name)
        if rank < releasewriter.WRITERS:
            return rank
        is_collector = self.gossip.name in self.collectors(release)
        return releasewriter.WRITERS if is_collector else None

    def _ranked(self, release: releasestate.Release) -> list[str]:
        key = "\n".join(release.identity).encode()
        return hashing.rendezvous(key, self.names())

    def collectors(self, release: releasestate.Release) -> list[str]:
        """Return the instances that get reports; those that are silent are skipped."""
        now_ms = self.clock.now_ms()
        found: list[str] = []
        for name in self._ranked(release):
            if len(found) == COLLECTORS:
                break
            if self._skipped_ms.get(name, 0.0) > now_ms:
                continue
            asked_ms = self._asked_ms.get(name, now_ms)
            if name != self.gossip.name and now_ms - asked_ms > SILENT_MS:
                self._skipped_ms[name] = now_ms + SKIP_MS
                del self._asked_ms[name]
                continue
            found.append(name)
        return found

    def exchange(self, release: releasestate.Release) -> None:
        """Report what was counted, and judge if this instance is a collector."""
        now_ms = self.clock.now_ms()
        collector = self._collector(release)
        self._sequence += 1
        report = datagrams.ReleaseReport(
            self.gossip.name,
            self.gossip.boot,
            self._sequence,
            release.wire_order(),
            release.phase,
            release.known_age_ms(now_ms),
            self.rule(release.order.service).old_in_flight(),
            release.wire_counts(),
        )
        collector.add(report, now_ms)
        receivers = self.collectors(release)
        others = [name for name in receivers if name != self.gossip.name]
        for name in others:
            self._asked_ms.setdefault(name, now_ms)
        for part in datagrams.release_reports(report):
            self.gossip.send(part, others)
        if self.gossip.name in receivers or collector.is_asked(
            self.gossip.name, now_ms
        ):
            self._direct(release, collector)

    def _collector(self, release: releasestate.Release) -> releasecollector.Collector:
        found = self._collectors.get(release.identity)
        if found is None:
            found = releasecollector.Collector(release)
            self._collectors[release.identity] = found
        return found

    def _direct(
        self, release: releasestate.Release, collector: releasecollector.Collector
    ) -> None:
        """Judge the reports and tell all instances what follows."""
        now_ms = self.clock.now_ms()
        phase, reason, is_complete = release.phase, release.reason, False
        if release.is_age_known and not release.is_reverting:
            found = collector.judge(now_ms, len(self.names()))
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
            self._share(phase) if release.is_age_known else None,
            is_complete,
            reason[: releasestate.MAX_REASON],
        )
        others = [name for name in self.gossip.members if name != self.gossip.name]
        self.gossip.send(directive, others)
        self._follow_directive(release, directive)

    def _share(self, phase: Phase) -> float:
        if phase is Phase.OBSERVING:
            return releaseexposure.CANARY_SHARE * self.bounds.exposure_share
        return 1.0 if phase in (Phase.SHIFTING, Phase.SUCCEEDED) else 0.0

    # Datagrams.

    def _find(self, order: datagrams.ReleaseOrder) -> releasestate.Release | None:
        release = self.release(order.service)
        if release is None or release.identity != order[:3]:
            return None
        return release

    def handle_report(self, report: datagrams.ReleaseReport) -> None:
        """Take in another instance's report."""
        release = self._find(report.order)
        if release is None or release.is_over:
            return
        now_ms = self.clock.now_ms()
        release.adopt_age(report.age_ms, now_ms)
        collector = self._collector(release)
        collector.add(report, now_ms)
        phase = _phase(report.phase)
        if phase > release.phase:
            self._adopt(release, phase, f"{report.name} reports it")

    def handle_directive(self, directive: datagrams.ReleaseDirective) -> None:
        """Follow a collector's directive."""
        self._asked_ms.pop(directive.name, None)
        self._skipped_ms.pop(directive.name, None)
        release = self._find(directive.order)
        if release is not None and not release.is_over:
            self._follow_directive(release, directive)

    def _follow_directive(
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
        phase = _phase(directive.phase)
        if phase > release.phase:
            reason = f"{directive.reason}, says {directive.name}"
            self._adopt(release, phase, reason)

    def _adopt(self, release: releasestate.Release, phase: Phase, reason: str) -> None:
        """Enter a phase, and tell the collectors at once.

        The final phases are read from the store, which alone settles them.
        """
        phase = min(phase, Phase.REVERTING)
        now_ms = self.clock.now_ms()
        if release.adopt(phase, reason, now_ms):
            self.exchange(release)
            self.writer.check(release, self.rank(release))


def _phase(number: int) -> Phase:
    return Phase(min(max(number, 0), Phase.REVERTED))


async def _never_read() -> bool:
    return False
