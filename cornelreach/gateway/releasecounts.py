"""Counts of responses by route and version, as instances exchange them.

Every instance records its responses; the counts are cumulative, so that a lost report
costs nothing, and those of all instances are added::

    recorder.add("/chat/", is_new=True, is_failure=False, ratio=1.2)
    total = add_counts([recorder.counts(), *others])
"""

import math
import operator
import typing

BUCKETS = 20
BUCKET_GROWTH = 1.5
# The last bucket then begins at 74, and a response 2.25 times as slow as a median of up
# to 32 is still told apart.
FIRST_BUCKET_RATIO = 0.05
# The unit in which the time of a plain call is passed as a ratio: slow responses are
# told apart for medians from 2.5 ms to 1.6 s.
PLAIN_UNIT_MS = 50.0


class RouteCounts(typing.NamedTuple):
    """The responses of one version on one route; ``times`` are counts by bucket.

    Not every response has a time, so ``times`` may add up to less than ``responses``.
    """

    responses: int = 0
    failures: int = 0
    times: tuple[int, ...] = (0,) * BUCKETS

    def __add__(  # type: ignore[override]
        self, other: "RouteCounts"
    ) -> "RouteCounts":
        """Return the sum of both."""
        return RouteCounts(
            self.responses + other.responses,
            self.failures + other.failures,
            tuple(map(operator.add, self.times, other.times)),
        )

    def since(self, before: "RouteCounts") -> "RouteCounts":
        """Return what was added since; nothing if any count has fallen."""
        times = tuple(map(operator.sub, self.times, before.times))
        responses = self.responses - before.responses
        failures = self.failures - before.failures
        if min(responses, failures, *times) < 0:
            return NO_COUNTS
        return RouteCounts(responses, failures, times)


NO_COUNTS = RouteCounts()
# By route name and whether the responses are those of the new version.
Counts = dict[tuple[str, bool], RouteCounts]


def bucket(ratio: float) -> int:
    """Return the bucket of a response time relative to the expected time."""
    if not ratio > FIRST_BUCKET_RATIO:
        return 0
    steps = math.log(ratio / FIRST_BUCKET_RATIO, BUCKET_GROWTH)
    return 1 + int(min(steps, BUCKETS - 2))


class Recorder:
    """Counts the responses of one instance for one order."""

    def __init__(self) -> None:
        self._responses: dict[tuple[str, bool], list[int]] = {}
        self._times: dict[tuple[str, bool], list[int]] = {}

    def add(
        self, route: str, is_new: bool, is_failure: bool, ratio: float | None
    ) -> None:
        """Count a response.

        ``ratio`` is the response time divided by the expected time, or for plain calls
        by ``PLAIN_UNIT_MS``; None if the time is not to be counted (cold targets,
        failures). Responses that say "not run" are not passed here.
        """
        key = route, is_new
        if key not in self._responses:
            self._responses[key], self._times[key] = [0, 0], [0] * BUCKETS
        self._responses[key][0] += 1
        self._responses[key][1] += is_failure
        if ratio is not None:
            self._times[key][bucket(ratio)] += 1

    def counts(self) -> Counts:
        """Return the counts since the order began."""
        return {
            key: RouteCounts(responses, failures, tuple(self._times[key]))
            for key, (responses, failures) in self._responses.items()
        }


def add_counts(parts: typing.Iterable[Counts]) -> Counts:
    """Return the sum of the counts of several instances."""
    total: Counts = {}
    for part in parts:
        for key, counts in part.items():
            total[key] = total[key] + counts if key in total else counts
    return total
