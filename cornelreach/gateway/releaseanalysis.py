"""Whether the new software version of a service is good, from counted responses.

Every instance records its responses; collectors sum the cumulative counts of all
instances and judge them. No I/O and no clock: the age of the order is passed in::

    recorder.add("/chat/", is_new=True, is_failure=False, ratio=1.2)
    analysis = Analysis(order)
    analysis.observe(age_ms, counts)
    analysis.judge(age_ms).phase
"""

import enum
import typing

BUCKETS = 20
# The unit in which the time of a plain call is passed as a ratio.
PLAIN_UNIT_MS = 50.0


class Order(typing.NamedTuple):
    """An order to move a service's traffic to the targets of a software version.

    ``created`` is the time of creation in the object's metadata, as it is written there.
    """

    service: str
    target: str
    created: str
    duration_ms: float


class Phase(enum.IntEnum):
    """How far an order is; of two phases, the higher one applies."""

    OBSERVING = 0
    SHIFTING = 1
    REVERTING = 2
    SUCCEEDED = 3
    REVERTED = 4


class RouteCounts(typing.NamedTuple):
    """The responses of one version on one route; ``times`` are counts by bucket.

    Not every response has a time, so ``times`` may add up to less than ``responses``.
    """

    responses: int = 0
    failures: int = 0
    times: tuple[int, ...] = (0,) * BUCKETS

    def __add__(self, other: "RouteCounts") -> "RouteCounts":
        """Return the sum of both."""
        raise NotImplementedError


# By route name and whether the responses are those of the new version.
Counts = dict[tuple[str, bool], RouteCounts]


class Recorder:
    """Counts the responses of one instance for one order."""

    def add(
        self, route: str, is_new: bool, is_failure: bool, ratio: float | None
    ) -> None:
        """Count a response.

        ``ratio`` is the response time divided by the expected time, or for plain calls
        by ``PLAIN_UNIT_MS``; None if the time is not to be counted (cold targets,
        failures). Responses that say "not run" are not passed here.
        """
        raise NotImplementedError

    def counts(self) -> Counts:
        """Return the counts since the order began."""
        raise NotImplementedError


def add_counts(parts: typing.Iterable[Counts]) -> Counts:
    """Return the sum of the counts of several instances."""
    raise NotImplementedError


class Finding(typing.NamedTuple):
    """How the new version compares with the old one in one respect.

    ``kind`` is "failed" or "slow", ``route`` is empty for all routes together, and
    ``window_ms`` is None for the whole time.
    """

    kind: str
    route: str
    window_ms: float | None
    responses: int
    events: int
    expected: float
    probability: float


class Judgement(typing.NamedTuple):
    """The phase that the counts call for, with the reason and the figures behind it.

    ``finding`` is the least probable comparison, or None. While ``is_suspect`` is set,
    success must not be declared before it has to be.
    """

    phase: Phase
    reason: str
    old_responses: int
    old_failures: int
    new_responses: int
    new_failures: int
    finding: Finding | None
    is_suspect: bool


class Analysis:
    """Judges the counts of one order.

    ``phase`` never decreases; ``adopt`` raises it to what another instance has found.
    """

    def __init__(self, order: Order) -> None:
        self.order = order
        self.phase = Phase.OBSERVING

    def adopt(self, phase: Phase) -> None:
        """Take over a higher phase from another instance or from the store."""
        self.phase = max(self.phase, phase)

    def observe(self, age_ms: float, counts: Counts) -> None:
        """Take in the cumulative counts of all instances, summed.

        The sum should include the last report of instances that have ended: after a
        fall, what grows again counts as new responses.
        """
        raise NotImplementedError

    def judge(self, age_ms: float, has_targets: bool = True) -> Judgement:
        """Return the judgement at an age of the order.

        ``has_targets`` tells whether a target of the new version has appeared.
        """
        raise NotImplementedError


class Handover:
    """Tells when the old targets may stop, while the phase is ``SHIFTING``."""

    def __init__(self, order: Order) -> None:
        self.order = order

    def is_complete(
        self,
        now_ms: float,
        age_ms: float,
        is_shifted: bool,
        old_in_flight: int,
        is_suspect: bool = False,
    ) -> bool:
        """Return whether ``succeeded`` is to be written.

        ``is_shifted`` tells whether every instance heard from in the last 2 s reports
        ``SHIFTING``; ``old_in_flight`` counts the requests of all instances in flight at
        old targets. It is called at least every 200 ms.
        """
        raise NotImplementedError
