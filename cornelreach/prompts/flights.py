"""Runs that were placed and whose first token has not come yet.

They are the load that an owner knows exactly, ahead of any report::

    runs = flights.Flights()
    runs.add(flights.Flight("run-1", "engine-1", keys, 0, 800.0), now_ms)
    runs.wait_ms("engine-1", now_ms)      # 800.0

Runs whose first token is never told are forgotten after ``FORGET_MS``.
"""

import typing

FORGET_MS = 120_000
RECENT_HALF_LIFE_MS = 1_000
RECENT_MS = 20_000
PACE_WEIGHT = 0.1
MIN_PACE = 0.5
MAX_PACE = 4.0
MIN_PACED_MS = 20.0
OVERDUE_MS = 500.0


class Flight(typing.NamedTuple):
    """One placed run: its piece keys, how many its target held, and its prefill.

    ``prefill_ms`` is at the stated rate of the target; waits scale it by its pace.
    """

    run: str
    target: str
    keys: tuple[str, ...]
    held: int
    prefill_ms: float
    added_ms: float = 0.0


class Load(typing.NamedTuple):
    """The prefill ahead at a target, and how many times slower than stated it is."""

    wait_ms: float
    pace: float


class _Queue:
    """The flights of one target in the order in which it computes them.

    ``told`` is set once a first token has been told. Until then a run that is overdue
    is taken to have had its own, and the next one to be computed.
    """

    def __init__(self) -> None:
        self.flights: dict[str, Flight] = {}
        self.total_ms = 0.0
        self.head_since_ms = 0.0
        self.peak_ms = 0.0
        self.peak_at_ms = 0.0
        self.pace = 1.0
        self.told = False

    def pending_ms(self, now_ms: float) -> float:
        if not self.flights:
            return 0.0
        head = next(iter(self.flights.values()))
        done_ms = max(0.0, now_ms - self.head_since_ms) / self.pace
        if done_ms > head.prefill_ms:
            late_ms = 0.0 if self.told else done_ms - OVERDUE_MS
            done_ms = max(head.prefill_ms, late_ms)
        return max(0.0, self.total_ms - done_ms) * self.pace

    def due_ms(self, run: str) -> float:
        """Return when a run is expected to have its first token."""
        due_ms = self.head_since_ms
        for flight in self.flights.values():
            due_ms += flight.prefill_ms * self.pace
            if flight.run == run:
                break
        return due_ms

    def put(self, flight: Flight) -> None:
        former = self.flights.get(flight.run)
        self.total_ms += flight.prefill_ms - (former.prefill_ms if former else 0.0)
        self.flights[flight.run] = flight

    def pop(self, run: str, now_ms: float) -> Flight:
        head = next(iter(self.flights))
        flight = self.flights.pop(run)
        if run == head:
            due_ms = self.head_since_ms + flight.prefill_ms * self.pace + OVERDUE_MS
            self.head_since_ms = now_ms if self.told else min(now_ms, due_ms)
        self.total_ms = self.total_ms - flight.prefill_ms if self.flights else 0.0
        return flight

    def recent_ms(self, now_ms: float) -> float:
        age_ms = max(0.0, now_ms - self.peak_at_ms)
        if age_ms > RECENT_MS:
            return 0.0
        return self.peak_ms * 0.5 ** (age_ms / RECENT_HALF_LIFE_MS)

    def note_peak(self, now_ms: float) -> None:
        pending_ms = self.pending_ms(now_ms)
        if pending_ms >= self.recent_ms(now_ms):
            self.peak_ms, self.peak_at_ms = pending_ms, now_ms


class Flights:
    """All flights of one owner, grouped by target."""

    def __init__(self) -> None:
        self._queues: dict[str, _Queue] = {}
        self._targets: dict[str, str] = {}
        self._by_root: dict[tuple[str, ...], dict[str, None]] = {}

    def __len__(self) -> int:
        return len(self._targets)

    def add(self, flight: Flight, now_ms: float) -> None:
        """Count a run from the moment of its choice; a second choice replaces it."""
        self.remove(flight.run, now_ms)
        self._forget_old(flight.target, now_ms)
        queue = self._queues.setdefault(flight.target, _Queue())
        if not queue.flights:
            queue.head_since_ms = now_ms
        queue.put(flight._replace(added_ms=now_ms))
        self._targets[flight.run] = flight.target
        self._by_root.setdefault(flight.keys[:1], {})[flight.run] = None
        queue.note_peak(now_ms)

    def change(self, run: str, prefill_ms: float, now_ms: float) -> None:
        """Set the prefill that a run begins now, after a failed transfer."""
        flight = self.get(run)
        if flight is not None:
            queue = self._queues[flight.target]
            queue.put(flight._replace(prefill_ms=prefill_ms))
            if run == next(iter(queue.flights)):
                queue.head_since_ms = now_ms
            queue.note_peak(now_ms)

    def get(self, run: str) -> Flight | None:
        """Return the flight of a run, or None."""
        target = self._targets.get(run)
        return None if target is None else self._queues[target].flights.get(run)

    def remove(self, run: str, now_ms: float) -> Flight | None:
        """End a flight at its first token, or when its run ends without one."""
        target = self._targets.pop(run, None)
        if target is None:
            return None
        flight = self._queues[target].pop(run, now_ms)
        self._forget_root(flight)
        return flight

    def first_token(self, run: str, now_ms: float) -> Flight | None:
        """End a flight and learn from its duration how fast its target is."""
        flight = self.get(run)
        if flight is None:
            return None
        queue = self._queues[flight.target]
        queue.told = True
        if next(iter(queue.flights)) == run and flight.prefill_ms >= MIN_PACED_MS:
            seen = (now_ms - queue.head_since_ms) / flight.prefill_ms
            seen = min(MAX_PACE, max(MIN_PACE, seen))
            queue.pace += PACE_WEIGHT * (seen - queue.pace)
        return self.remove(run, now_ms)

    def remove_target(self, name: str) -> list[str]:
        """Forget the flights of a target that restarted or left; return their runs."""
        queue = self._queues.pop(name, None)
        lost = list(queue.flights.values()) if queue else []
        for flight in lost:
            del self._targets[flight.run]
            self._forget_root(flight)
        return [flight.run for flight in lost]

    def load(self, target: str, now_ms: float, reported_ms: float = 0.0) -> Load:
        """Return the prefill ahead of a new run at a target, and the target's pace.

        ``reported_ms`` is the target's own, lagging figure. It counts only beyond what
        this owner had in flight there lately, as it then shows the work of others.
        """
        queue = self._queues.get(target)
        if queue is None:
            return Load(reported_ms, 1.0)
        wait_ms = queue.pending_ms(now_ms)
        if reported_ms > 0.0:
            wait_ms += max(0.0, reported_ms - queue.recent_ms(now_ms))
        return Load(wait_ms, queue.pace)

    def wait_ms(self, target: str, now_ms: float, reported_ms: float = 0.0) -> float:
        """Return the prefill ahead of a new run at a target."""
        return self.load(target, now_ms, reported_ms).wait_ms

    def pace(self, target: str) -> float:
        """Return how many times slower than stated a target computes."""
        queue = self._queues.get(target)
        return queue.pace if queue else 1.0

    def due_ms(self, run: str) -> float:
        """Return when a run is expected to have its first token, 0 if it has ended."""
        target = self._targets.get(run)
        return 0.0 if target is None else self._queues[target].due_ms(run)

    def shared(
        self, keys: typing.Sequence[str], now_ms: float
    ) -> dict[str, tuple[str, int]]:
        """Return for each target the run that is computing most of a prompt there.

        With it comes the count of leading pieces in common. Targets where nothing that
        is still being computed would be shared are left out.
        """
        best: dict[str, tuple[str, int]] = {}
        for run in self._by_root.get(tuple(keys[:1]), ()):
            flight = self.get(run)
            told = self._queues[flight.target].told
            if not told and self.due_ms(run) + OVERDUE_MS < now_ms:
                continue
            common = _common(flight.keys, keys)
            if common > max(flight.held, best.get(flight.target, ("", 0))[1]):
                best[flight.target] = (run, common)
        return best

    def _forget_root(self, flight: Flight) -> None:
        runs = self._by_root[flight.keys[:1]]
        del runs[flight.run]
        if not runs:
            del self._by_root[flight.keys[:1]]

    def _forget_old(self, target: str, now_ms: float) -> None:
        queue = self._queues.get(target)
        while queue and queue.flights:
            oldest = next(iter(queue.flights.values()))
            if now_ms - oldest.added_ms < FORGET_MS:
                return
            self.remove(oldest.run, now_ms)


def _common(one: typing.Sequence[str], other: typing.Sequence[str]) -> int:
    """Return the common prefix of two chains; equal keys mean equal prefixes."""
    low, high = 0, min(len(one), len(other))
    while low < high:
        middle = (low + high + 1) // 2
        if one[middle - 1] == other[middle - 1]:
            low = middle
        else:
            high = middle - 1
    return low
