"""Runs in flight: dispatched to a target, but without a first token yet.

They are the part of a target's load that the pool owner knows without waiting for a
report::

    runs = inflight.InFlightRuns()
    runs.add(inflight.InFlightRun("run-1", "engine-1", keys, 0, 800.0), now_ms)
    runs.wait_ms("engine-1", now_ms)      # 800.0

Runs whose first token is never reported are dropped after ``MAX_AGE_MS``.
"""

import typing

MAX_AGE_MS = 120_000
PEAK_HALF_LIFE_MS = 1_000
PEAK_TTL_MS = 20_000
SLOWDOWN_WEIGHT = 0.1
MIN_SLOWDOWN = 0.5
MAX_SLOWDOWN = 4.0
MIN_MEASURED_MS = 20.0
OVERDUE_AFTER_MS = 500.0


class InFlightRun(typing.NamedTuple):
    """A run in flight: its piece keys, how many its target held, and its prefill time.

    ``prefill_ms`` is the time at the configured rate of the target. Wait times multiply
    it by the target's measured slowdown.
    """

    run: str
    target: str
    keys: tuple[str, ...]
    held: int
    prefill_ms: float
    added_ms: float = 0.0


class Load(typing.NamedTuple):
    """The prefill time queued at a target, and the slowdown of the target."""

    wait_ms: float
    slowdown: float


class _Queue:
    """The runs in flight at one target, in the order in which it computes them.

    ``slowdown`` is how many times slower than configured the target computes.
    ``reports_first_tokens`` is set once a first token has been reported. Until then an
    overdue run is assumed to have had its first token, and the next one to be computed.
    """

    def __init__(self) -> None:
        self.runs: dict[str, InFlightRun] = {}
        self.total_ms = 0.0
        self.head_since_ms = 0.0
        self.peak_ms = 0.0
        self.peak_at_ms = 0.0
        self.slowdown = 1.0
        self.reports_first_tokens = False

    def pending_ms(self, now_ms: float) -> float:
        if not self.runs:
            return 0.0
        head = next(iter(self.runs.values()))
        done_ms = max(0.0, now_ms - self.head_since_ms) / self.slowdown
        if done_ms > head.prefill_ms:
            assumed_done_ms = (
                0.0 if self.reports_first_tokens else done_ms - OVERDUE_AFTER_MS
            )
            done_ms = max(head.prefill_ms, assumed_done_ms)
        return max(0.0, self.total_ms - done_ms) * self.slowdown

    def first_token_due_ms(self, run: str) -> float:
        """Return the expected time of a run's first token."""
        due_ms = self.head_since_ms
        for in_flight in self.runs.values():
            due_ms += in_flight.prefill_ms * self.slowdown
            if in_flight.run == run:
                break
        return due_ms

    def put(self, in_flight: InFlightRun) -> None:
        previous = self.runs.get(in_flight.run)
        self.total_ms += in_flight.prefill_ms - (
            previous.prefill_ms if previous else 0.0
        )
        self.runs[in_flight.run] = in_flight

    def pop(self, run: str, now_ms: float) -> InFlightRun:
        head = next(iter(self.runs))
        in_flight = self.runs.pop(run)
        if run == head:
            overdue_ms = (
                self.head_since_ms
                + in_flight.prefill_ms * self.slowdown
                + OVERDUE_AFTER_MS
            )
            self.head_since_ms = (
                now_ms if self.reports_first_tokens else min(now_ms, overdue_ms)
            )
        self.total_ms = self.total_ms - in_flight.prefill_ms if self.runs else 0.0
        return in_flight

    def recent_peak_ms(self, now_ms: float) -> float:
        age_ms = max(0.0, now_ms - self.peak_at_ms)
        if age_ms > PEAK_TTL_MS:
            return 0.0
        return self.peak_ms * 0.5 ** (age_ms / PEAK_HALF_LIFE_MS)

    def record_peak(self, now_ms: float) -> None:
        pending_ms = self.pending_ms(now_ms)
        if pending_ms >= self.recent_peak_ms(now_ms):
            self.peak_ms, self.peak_at_ms = pending_ms, now_ms


class InFlightRuns:
    """All runs in flight of one pool owner, grouped by target."""

    def __init__(self) -> None:
        self._queues: dict[str, _Queue] = {}
        self._targets: dict[str, str] = {}
        self._by_first_key: dict[tuple[str, ...], dict[str, None]] = {}

    def __len__(self) -> int:
        return len(self._targets)

    def add(self, in_flight: InFlightRun, now_ms: float) -> None:
        """Add a run at its dispatch; it replaces one with the same id."""
        self.remove(in_flight.run, now_ms)
        self._drop_expired(in_flight.target, now_ms)
        queue = self._queues.setdefault(in_flight.target, _Queue())
        if not queue.runs:
            queue.head_since_ms = now_ms
        queue.put(in_flight._replace(added_ms=now_ms))
        self._targets[in_flight.run] = in_flight.target
        self._by_first_key.setdefault(in_flight.keys[:1], {})[in_flight.run] = None
        queue.record_peak(now_ms)

    def restart_prefill(self, run: str, prefill_ms: float, now_ms: float) -> None:
        """Set the prefill time of a run that starts it now, after a failed transfer."""
        in_flight = self.get(run)
        if in_flight is not None:
            queue = self._queues[in_flight.target]
            queue.put(in_flight._replace(prefill_ms=prefill_ms))
            if run == next(iter(queue.runs)):
                queue.head_since_ms = now_ms
            queue.record_peak(now_ms)

    def get(self, run: str) -> InFlightRun | None:
        """Return a run in flight, or None."""
        target = self._targets.get(run)
        return None if target is None else self._queues[target].runs.get(run)

    def remove(self, run: str, now_ms: float) -> InFlightRun | None:
        """Remove a run that has its first token or ended without one; return it."""
        target = self._targets.pop(run, None)
        if target is None:
            return None
        in_flight = self._queues[target].pop(run, now_ms)
        self._unindex(in_flight)
        return in_flight

    def first_token(self, run: str, now_ms: float) -> InFlightRun | None:
        """Remove a run at its first token, and update the slowdown of its target."""
        in_flight = self.get(run)
        if in_flight is None:
            return None
        queue = self._queues[in_flight.target]
        queue.reports_first_tokens = True
        if next(iter(queue.runs)) == run and in_flight.prefill_ms >= MIN_MEASURED_MS:
            measured = (now_ms - queue.head_since_ms) / in_flight.prefill_ms
            measured = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, measured))
            queue.slowdown += SLOWDOWN_WEIGHT * (measured - queue.slowdown)
        return self.remove(run, now_ms)

    def remove_target(self, name: str) -> list[str]:
        """Remove the runs of a target that restarted or left; return their ids."""
        queue = self._queues.pop(name, None)
        removed = list(queue.runs.values()) if queue else []
        for in_flight in removed:
            del self._targets[in_flight.run]
            self._unindex(in_flight)
        return [in_flight.run for in_flight in removed]

    def load(self, target: str, now_ms: float, reported_ms: float = 0.0) -> Load:
        """Return the prefill time ahead of a new run at a target, and its slowdown.

        ``reported_ms`` is the queue from the target's load report, which lags. Only its
        excess over what this owner recently had in flight there is added, as that must
        be work of others.
        """
        queue = self._queues.get(target)
        if queue is None:
            return Load(reported_ms, 1.0)
        wait_ms = queue.pending_ms(now_ms)
        if reported_ms > 0.0:
            wait_ms += max(0.0, reported_ms - queue.recent_peak_ms(now_ms))
        return Load(wait_ms, queue.slowdown)

    def wait_ms(self, target: str, now_ms: float, reported_ms: float = 0.0) -> float:
        """Return the prefill time ahead of a new run at a target."""
        return self.load(target, now_ms, reported_ms).wait_ms

    def slowdown(self, target: str) -> float:
        """Return how many times slower than configured a target computes."""
        queue = self._queues.get(target)
        return queue.slowdown if queue else 1.0

    def first_token_due_ms(self, run: str) -> float:
        """Return the expected time of a run's first token, 0 if it is not in flight."""
        target = self._targets.get(run)
        return 0.0 if target is None else self._queues[target].first_token_due_ms(run)

    def shared_prefixes(
        self, keys: typing.Sequence[str], now_ms: float
    ) -> dict[str, tuple[str, int]]:
        """Return for each target the run that shares the longest prefix with a prompt.

        Each comes with the number of shared leading pieces. A run is ignored if its
        target already held these pieces, or if it is overdue at a target that has
        reported no first token yet.
        """
        best: dict[str, tuple[str, int]] = {}
        for run in self._by_first_key.get(tuple(keys[:1]), ()):
            in_flight = self.get(run)
            reported = self._queues[in_flight.target].reports_first_tokens
            if (
                not reported
                and self.first_token_due_ms(run) + OVERDUE_AFTER_MS < now_ms
            ):
                continue
            prefix = _common_prefix(in_flight.keys, keys)
            if prefix > max(in_flight.held, best.get(in_flight.target, ("", 0))[1]):
                best[in_flight.target] = (run, prefix)
        return best

    def _unindex(self, in_flight: InFlightRun) -> None:
        runs = self._by_first_key[in_flight.keys[:1]]
        del runs[in_flight.run]
        if not runs:
            del self._by_first_key[in_flight.keys[:1]]

    def _drop_expired(self, target: str, now_ms: float) -> None:
        queue = self._queues.get(target)
        while queue and queue.runs:
            oldest = next(iter(queue.runs.values()))
            if now_ms - oldest.added_ms < MAX_AGE_MS:
                return
            self.remove(oldest.run, now_ms)


def _common_prefix(one: typing.Sequence[str], other: typing.Sequence[str]) -> int:
    """Return the length of the common prefix of two key chains.

    Uses binary search, as equal keys mean equal prefixes.
    """
    low, high = 0, min(len(one), len(other))
    while low < high:
        middle = (low + high + 1) // 2
        if one[middle - 1] == other[middle - 1]:
            low = middle
        else:
            high = middle - 1
    return low
