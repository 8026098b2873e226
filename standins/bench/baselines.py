"""Baseline policies: round robin, least load, affinity, and an upper bound.

All callers share one count of calls in flight, which favours the baselines over
instances that each know only their own calls. An engine whose delayed load report says
that it is cold gets only ``cold_sequences`` calls at a time, one by default.
"""

import abc
import collections
import itertools
import typing

from cornelreach.util import hashing
from standins import load
from standins.bench import site as site_module

RETRY_MS = 25.0


class _Balancer(abc.ABC):
    """Queues calls that no engine accepts, in order of arrival."""

    name = ""
    shares_cache = False

    def start(self, site: site_module.Site) -> None:
        self.site = site
        self.in_flight: collections.Counter[str] = collections.Counter()
        self.queues: dict[str, collections.deque[site_module.Record]] = {
            model: collections.deque() for model in (load.READER, load.DRAFTER)
        }
        site.timers.every(RETRY_MS, self.on_data_centres_changed)

    def offer(self, record: site_module.Record) -> None:
        self.queues[record.call.model].append(record)
        self._drain(record.call.model)

    def on_first_token(self, record: site_module.Record, target: str) -> None:
        """Ignore first tokens."""
        return

    def on_ended(self, record: site_module.Record, target: str) -> None:
        self.in_flight[target] -= 1
        self._drain(record.call.model)

    def on_rejected(self, record: site_module.Record, target: str, kind: str) -> None:
        self.in_flight[target] -= 1
        self.site.refuse(record, kind)

    def on_data_centres_changed(self) -> None:
        for model in self.queues:
            self._drain(model)

    def _drain(self, model: str) -> None:
        queue = self.queues[model]
        now_ms = self.site.timers.now_ms()
        while queue and queue[0].call.at_ms + queue[0].call.deadline_ms <= now_ms:
            self.site.refuse(queue.popleft(), "deadline")
        kept = collections.deque()
        while queue:
            record = queue.popleft()
            target = self._choose_open(record.call)
            if target is None:
                kept.append(record)
                continue
            self.in_flight[target] += 1
            self.site.send(self, record, target)
        self.queues[model] = kept

    def _choose_open(self, call: load.ScheduledCall) -> str | None:
        serving = self.site.serving(call.model)
        return self.choose(call, [name for name in serving if self._accepts(name)])

    def _accepts(self, name: str) -> bool:
        engine = self.site.engines[name]
        if not engine.state()["cold"]:
            return True
        return self.in_flight[name] < engine.settings.cold_sequences

    @abc.abstractmethod
    def choose(self, call: load.ScheduledCall, targets: list[str]) -> str | None:
        """Return the engine for a call, or None if the call has to wait."""


class RoundRobin(_Balancer):
    """Sends calls to the engines in turn."""

    name = "round robin"

    def __init__(self) -> None:
        self._turns = itertools.count()

    def choose(self, call: load.ScheduledCall, targets: list[str]) -> str | None:
        return targets[next(self._turns) % len(targets)] if targets else None


class LeastLoad(_Balancer):
    """Chooses the engine with the fewest calls in flight."""

    name = "least load"

    def choose(self, call: load.ScheduledCall, targets: list[str]) -> str | None:
        def load_of(name: str) -> tuple[int, int]:
            return self.in_flight[name], hashing.score(call.name.encode(), name)

        return min(targets, key=load_of, default=None)


class Affinity(_Balancer):
    """Chooses the engine that the first piece hashes to, whatever its load."""

    name = "affinity"

    def _choose_open(self, call: load.ScheduledCall) -> str | None:
        serving = self.site.serving(call.model)
        chosen = self.choose(call, serving)
        return chosen if chosen is not None and self._accepts(chosen) else None

    def choose(self, call: load.ScheduledCall, targets: list[str]) -> str | None:
        order = hashing.rendezvous(bytes.fromhex(call.keys[0]), targets)
        return order[0] if order else None


class UnlimitedCache(LeastLoad):
    """Least load on engines that share one cache without limit."""

    name = "unlimited cache"
    shares_cache = True


def all_baselines() -> list[typing.Any]:
    """Return a fresh set of the baselines."""
    return [RoundRobin(), LeastLoad(), Affinity(), UnlimitedCache()]
