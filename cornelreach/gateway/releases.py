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
    releaseexchange,
    releaseexposure,
    releaserules,
    releasestate,
    releasewriter,
    watching,
)
from cornelreach.platform import (
    releases as platform_releases,
    results,
    site as site_module,
)
from cornelreach.util import events, guards

TICK_MS = 50.0
HOLD_MS = 1_500.0  # for targets whose order may not have been read yet
HOLD_RETRY_S = 0.1
CONFIRM_MS = 1_000.0  # for the age of an order that others may know for longer
WITHDRAWN_MS = 60_000.0  # in which late datagrams may name an order that is gone
OUTAGE_MS = 100.0  # after an outage, in which what changed meanwhile is read

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
    "Targets of {service} with version {target} wait no longer: {reason}.",
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
        self.environment = environment
        self.mirror = environment.mirror
        self.clock = environment.clock
        self.bounds = bounds
        self.rules: dict[str, releaserules.ServiceRule] = {}
        self.exchange = releaseexchange.Exchange(gossip, self.clock, bounds, self)
        self.writer = releasewriter.Writer(self, objects, self.clock)
        # Reads the orders as they are now; returns whether that could be done.
        self.read_now: typing.Callable[[], typing.Awaitable[bool]] = _never_read
        # Orders for services that are in no configuration yet.
        self._pending: dict[str, tuple[results.Record, bool]] = {}
        self._ignored: dict[str, int] = {}
        self._withdrawn: dict[tuple[str, str, str], float] = {}
        self._outage: watching.Outage | None = None
        self._due_ms = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        self.mirror.registry.on_software = self.hold

    def apply_bounds(self, bounds: site_module.Bounds) -> None:
        """Apply bounds that have changed."""
        self.bounds = self.exchange.bounds = bounds
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

    # Orders in the store.

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
            self._pending[entry.service] = record, is_first
            if config is not None:
                self._ignore(record, f"there is no service {entry.service!r}")
            return
        order = releaseanalysis.Order(*entry[:4])
        release = self.release(entry.service)
        if release is None or release.identity != order[:3]:
            release = self._start(order, entry.version, entry.state, is_first)
        self.apply_written(release, entry.state, entry.version)

    def apply_pending(self) -> None:
        """Apply the orders for services that were in no configuration before."""
        for record, is_first in list(self._pending.values()):
            self.apply_record(record, is_first)

    def apply_written(
        self, release: releasestate.Release, state: str, version: int
    ) -> None:
        """Apply a status that was read, or that this instance has written."""
        if release.version is not None and version < release.version:
            return
        was_over, now_ms = release.is_over, self.clock.now_ms()
        release.apply_state(state, version, now_ms)
        if release.is_over and not was_over and release.phase is Phase.SUCCEEDED:
            self.rule(release.order.service).close_old(now_ms)

    def _start(
        self,
        order: releaseanalysis.Order,
        version: int | None,
        state: str,
        is_first: bool,
    ) -> releasestate.Release:
        now_ms = self.clock.now_ms()
        if self.release(order.service) is not None:
            self.withdraw(order.service, "another order replaces it")
        rule = self.rule(order.service)
        rule.reopen(order.target)
        rule.held.clear()
        outage = self._outage
        missed_ms = 0.0
        if outage is not None and now_ms <= outage.returned_ms + OUTAGE_MS:
            missed_ms = now_ms - outage.lost_ms
        release = releasestate.Release(
            order, version, self.bounds.exposure_share, now_ms
        )
        if is_first or missed_ms:
            release.doubt_age(order.duration_ms if is_first else missed_ms)
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

    def withdraw(self, service: str, reason: str) -> None:
        """Follow that an order is gone; its targets are closed unless it succeeded."""
        release, now_ms = self.release(service), self.clock.now_ms()
        if release is None:
            return
        rule = self.rule(service)
        rule.close_new(now_ms)
        rule.release = None
        self.exchange.forget(release)
        self._withdrawn[release.identity] = now_ms
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

    def record_outage(self, outage: watching.Outage) -> None:
        """Record for how long orders could not be read."""
        self._outage = outage

    def record_proof(self, at_ms: float) -> None:
        """Drop orders that only other instances named, and the store did not have."""
        for service, rule in list(self.rules.items()):
            release = rule.release
            if release is None or release.version is not None:
                continue
            if at_ms > release.seen_ms + CONFIRM_MS:
                self.withdraw(service, "the store has no such order")

    # Orders that other instances name.

    def learn(self, order: datagrams.ReleaseOrder) -> releasestate.Release | None:
        """Return the order that another instance names, None if it is outdated.

        It may have read an order that this instance, whose watch is slow, has not.
        """
        release = self.release(order.service)
        if release is not None and release.identity == order[:3]:
            return release
        if release is not None and not release.is_over:
            return None
        if order[:3] in self._withdrawn or not self._is_sound(order):
            return None
        found = self._start(releaseanalysis.Order(*order), None, "", False)
        found.doubt_age(found.max_missed_ms)
        return found

    def _is_sound(self, order: datagrams.ReleaseOrder) -> bool:
        config = self.mirror.catalogue
        longest_ms = platform_releases.MAX_DURATION_S * 1_000
        return (
            config is not None
            and order.service in config.services
            and bool(order.target)
            and 0 < order.duration_ms <= longest_ms
        )

    def old_in_flight(self, release: releasestate.Release) -> int:
        """Return how many requests are under way at targets of other versions."""
        return self.rule(release.order.service).old_in_flight()

    def on_phase(self, release: releasestate.Release) -> None:
        """Write what an order's new phase calls for."""
        if release.wanted_state(self.clock.now_ms()):
            self.writer.check(release, self.exchange.rank(release))

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
        reason = "an order for the service is known"
        while (until_ms := rule.held.get(software)) is not None:
            if until_ms <= self.clock.now_ms():
                reason = "the orders could not be read in time"
                break
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

    def tick(self) -> None:
        """Do what is due."""
        if not self.rules and not self._pending:
            return
        now_ms = self.clock.now_ms()
        is_due = now_ms >= self._due_ms or self._is_verdict_due(now_ms)
        for service, rule in list(self.rules.items()):
            if rule.release is not None:
                guards.call(self._follow, rule.release)
            if is_due:
                guards.call(self._exchange, rule)
            if not rule.is_needed():
                del self.rules[service]
        if is_due:
            found = [one.release for one in self.rules.values() if one.release]
            self._due_ms = now_ms + self.exchange.interval_ms(found)
            self.apply_pending()
            self._withdrawn = {
                identity: at_ms
                for identity, at_ms in self._withdrawn.items()
                if at_ms > now_ms - WITHDRAWN_MS
            }

    def _is_verdict_due(self, now_ms: float) -> bool:
        """Return whether an order has just reached the age of a good verdict.

        Waiting for the next round would bring success closer to the last third of the
        order, in which the store may be away.
        """
        first_ms = now_ms - TICK_MS
        for rule in self.rules.values():
            release = rule.release
            if release is not None and release.phase is Phase.OBSERVING:
                verdict_ms = release.order.duration_ms * releaseanalysis.EARLY_SHARE
                if release.age_ms(first_ms) < verdict_ms <= release.age_ms(now_ms):
                    return True
        return False

    def _follow(self, release: releasestate.Release) -> None:
        """Estimate an order's age if nobody knows it, and write its status."""
        now_ms = self.clock.now_ms()
        is_doubted = release.max_missed_ms > 0 or not release.is_age_known
        if is_doubted and now_ms >= release.seen_ms + CONFIRM_MS:
            listed = self.mirror.registry.listed_targets(release.order.service)
            born_ms = [one.born_ms for one in listed if release.is_new(one)]
            release.estimate_age(born_ms, self.clock.wall_ms(), now_ms)
        self.on_phase(release)

    def _exchange(self, rule: releaserules.ServiceRule) -> None:
        """Follow the list of targets, and send what other instances need to know."""
        now_ms = self.clock.now_ms()
        rule.update(now_ms)
        if rule.release is not None and not rule.release.is_over:
            self.exchange.send(rule.release)
        self._show(rule, now_ms)

    def _show(self, rule: releaserules.ServiceRule, now_ms: float) -> None:
        """Set the metrics of a service's order."""
        metrics, release = self.environment.metrics, rule.release
        if release is None:
            metrics.clear("release_phase", rule.service)
            metrics.clear("release_share", rule.service)
            return
        is_open = release.phase is Phase.SUCCEEDED or release.is_granted(now_ms)
        share = self.exchange.share(release.phase) if is_open else 0.0
        metrics.set("release_phase", release.phase, rule.service)
        metrics.set("release_share", share, rule.service)


async def _never_read() -> bool:
    return False
