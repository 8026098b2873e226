"""Limits that targets name: the requests a second that they take from all instances.

An engine in need names its limit in each answer, for as long as it holds. Not every
instance gets an answer, least of all one without a share of a small limit, so those
that do tell the others, also when an answer names none any more::

    limits.record_reply(target, reply, is_request=True)
    limits.reports()  # sent with each round of reports
    limits.admits("engine-1", now_ms)  # within this instance's share
"""

import typing

from cornelreach.gateway import (
    calls,
    datagrams,
    gossip as gossip_module,
    mirror as mirror_module,
    quotas,
    registry as registry_module,
)
from cornelreach.util import timers

REPEAT_MS = 1_000.0  # a change is told with each round of reports for so long
REFRESH_MS = 2_500.0  # after it, a limit that still holds is told again
REFRESH_REPEAT_MS = 400.0
KEPT_MS = 10_000.0
MAX_REPORTED = 100  # targets in one round; those told longest ago come first


class _Told:
    """What is told of one target: the statement, and when to tell it again."""

    def __init__(self, born_ms: int, per_s: float | None) -> None:
        self.born_ms = born_ms
        self.per_s = per_s
        self.heard_ms = 0.0
        self.repeat_until_ms = 0.0
        self.refresh_ms = 0.0
        self.told_ms = 0.0

    def is_due(self, now_ms: float) -> bool:
        """Return whether to tell it in this round."""
        is_fresh = self.heard_ms > self.refresh_ms - REFRESH_MS
        if self.per_s is not None and is_fresh and now_ms >= self.refresh_ms:
            self.repeat(now_ms, REFRESH_REPEAT_MS)
        return now_ms < self.repeat_until_ms

    def repeat(self, now_ms: float, span_ms: float) -> None:
        """Tell it with each round of a time from now on."""
        self.repeat_until_ms = max(self.repeat_until_ms, now_ms + span_ms)
        self.refresh_ms = now_ms + REFRESH_MS


class TargetLimits:
    """Follows the limits in answers and in the reports of other instances."""

    def __init__(
        self,
        gossip: gossip_module.Gossip,
        mirror: mirror_module.Mirror,
        clock: timers.Timers,
    ) -> None:
        self.gossip = gossip
        self.mirror = mirror
        self.registry = mirror.registry
        self.clock = clock
        self._told: dict[str, _Told] = {}
        gossip.report_sources.append(self.reports)
        gossip.handlers[datagrams.LimitReport] = self.handle_report

    # Requests.

    def admits(self, target: str, now_ms: float, own: int = 0) -> bool:
        """Return whether one more request stays within this instance's share.

        ``own`` reservations belong to the request itself.
        """
        state = self.registry.state(target)
        if state.limit_per_s is None:
            return True
        share = self._share(target, state, now_ms)
        return state.sends.admits(share.requests, now_ms, own, share.window_ms)

    def left_ms(
        self, targets: typing.Iterable[registry_module.Target], now_ms: float
    ) -> float | None:
        """Return when the first of some targets admits a request; None if one does."""
        waits_ms = []
        for one in targets:
            if self.admits(one.id, now_ms):
                return None
            state = self.registry.state(one.id)
            share = self._share(one.id, state, now_ms)
            waits_ms.append(state.sends.wait_ms(share, now_ms))
        return min(waits_ms, default=None)

    def _share(
        self, target: str, state: registry_module.State, now_ms: float
    ) -> quotas.LimitShare:
        unheard_ms = now_ms - state.limit_ms
        return quotas.limit_share(
            self.mirror.fleet, target, state.limit_per_s, unheard_ms
        )

    # Answers, and reports of other instances.

    def record_reply(
        self, target: registry_module.Target, reply: calls.Reply, is_request: bool
    ) -> None:
        """Follow what an answer says; only one to a request ends a limit."""
        state = self.registry.states.get(target.id)
        if state is None or reply.moved:
            return
        if reply.limit_per_s is None and (state.limit_per_s is None or not is_request):
            return
        at_ms, born_ms = self.clock.now_ms(), target.born_ms
        if self.registry.set_limit(target.id, born_ms, reply.limit_per_s, at_ms):
            self._tell(target.id, born_ms, reply.limit_per_s, at_ms)

    def _tell(
        self, target: str, born_ms: int, per_s: float | None, heard_ms: float
    ) -> _Told:
        told = self._told.get(target)
        now_ms = self.clock.now_ms()
        if told is None or (told.born_ms, told.per_s) != (born_ms, per_s):
            told = self._told[target] = _Told(born_ms, per_s)
            told.repeat(now_ms, REPEAT_MS)
        told.heard_ms = heard_ms
        return told

    def reports(self) -> list[datagrams.Datagram]:
        """Return what to tell the other instances in this round of reports."""
        now_ms = self.clock.now_ms()
        self._told = {
            target: told
            for target, told in self._told.items()
            if told.heard_ms >= now_ms - KEPT_MS
        }
        due = [
            (target, told) for target, told in self._told.items() if told.is_due(now_ms)
        ]
        due.sort(key=lambda item: item[1].told_ms)
        rows = {}
        for target, told in due[:MAX_REPORTED]:
            told.told_ms = now_ms
            rows[target] = datagrams.NamedLimit(
                told.born_ms, told.per_s, now_ms - told.heard_ms
            )
        return [*datagrams.limit_reports(self.gossip.name, rows)]

    def handle_report(self, report: datagrams.LimitReport) -> None:
        """Follow another instance's report; a hub passes on what is new."""
        now_ms = self.clock.now_ms()
        for target, (born_ms, per_s, ago_ms) in report.targets.items():
            heard_ms = now_ms - ago_ms
            if (
                self.registry.set_limit(target, born_ms, per_s, heard_ms)
                and self.gossip.is_relay()
            ):
                told = self._tell(target, born_ms, per_s, heard_ms)
                told.repeat(now_ms, REFRESH_REPEAT_MS)
