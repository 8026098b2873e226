"""Brings one target to a weight version with idempotent orders.

The holder of a lease sends orders with its fencing number. An order names the state to
reach, so a repeated or late order can only set the target back to an earlier state. The
target's own report is read before and after each order::

    order = orders.TargetOrder("e1", "reader", "8", fence=4)
    step = order.step(now_ms)            # Read, Send, Wait or an Outcome
    order.read(version, asked_ms, now_ms)
    order.answered(orders.Answer.ACCEPTED, now_ms)

A target that checks the fence refuses the orders of a former holder. A target that does
not check it gets orders only through the owner of its pool, which drops those below the
highest fence it has seen. A holder sends an order only while the rest of its lease is
longer than ``ORDER_MS``. The next read detects the effect of an order that still
arrives late, and the next order corrects it.
"""

import enum
import typing

from cornelreach.targets import admission

ORDER_MS = 2_000
LOAD_MS = 5_000
READ_INTERVAL_MS = 250
MAX_ATTEMPTS = 3


class Kind(enum.StrEnum):
    """The kinds of orders."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


class Order(typing.NamedTuple):
    """An order to a target."""

    target: str
    order: Kind
    model: str
    version: str
    fence: int
    adapter: str = ""


class Answer(enum.StrEnum):
    """The reply to an order; ``LOST`` if none arrived."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    OLD_FENCE = "old_fence"
    LOST = "lost"


class Read(typing.NamedTuple):
    """Step: read the target's state."""


class Send(typing.NamedTuple):
    """Step: send an order."""

    order: Order


class Wait(typing.NamedTuple):
    """Step: do nothing for ``wait_ms``."""

    wait_ms: float


class Outcome(enum.StrEnum):
    """The final result; ``SUPERSEDED`` if another holder has taken over."""

    CONVERGED = "converged"
    FAILED = "failed"
    SUPERSEDED = "superseded"


Step = Read | Send | Wait | Outcome


class Fences:
    """The highest fence seen for each lease, at the instance that sends the orders."""

    def __init__(self) -> None:
        self._highest: dict[str, int] = {}

    def admits(self, lease: str, fence: int) -> bool:
        """Return whether an order may be sent, and record its fence."""
        if fence < self._highest.get(lease, 0):
            return False
        self._highest[lease] = fence
        return True


class TargetOrder:
    """State machine that brings one target to one version."""

    def __init__(self, target: str, model: str, version: str, fence: int) -> None:
        self.order = Order(target, Kind.LOAD, model, version, fence)
        self.outcome: Outcome | None = None
        self.attempts = 0
        self._read_due_ms = float("-inf")
        self._sent_ms: float | None = None
        self._send = False

    def step(self, now_ms: float) -> Step:
        """Return the next step, or the outcome once there is one."""
        if self.outcome is not None:
            return self.outcome
        if self._send:
            return Send(self.order)
        if now_ms >= self._read_due_ms:
            return Read()
        return Wait(self._read_due_ms - now_ms)

    def read(self, version: str, asked_ms: float, now_ms: float) -> None:
        """Process the version that the target reports.

        The report may be ``admission.REPORT_LAG_MS`` old, so an attempt without visible
        effect counts as failed only after that time plus ``LOAD_MS``.
        """
        self._read_due_ms = now_ms + READ_INTERVAL_MS
        if version == self.order.version:
            self.outcome = self.outcome or Outcome.CONVERGED
            return
        if self._sent_ms is None:
            self._send = True
        elif asked_ms - self._sent_ms >= LOAD_MS + admission.REPORT_LAG_MS:
            self._retry_or_fail()

    def sent(self, now_ms: float) -> None:
        """Record that the order is about to be sent."""
        self._send = False
        self.attempts += 1
        self._sent_ms = now_ms

    def answered(self, answer: Answer, now_ms: float) -> None:
        """Process the target's reply; after a lost one the next read decides."""
        self._read_due_ms = now_ms
        if answer is Answer.OLD_FENCE:
            self.outcome = Outcome.SUPERSEDED
        elif answer is Answer.REFUSED:
            self._retry_or_fail()

    def _retry_or_fail(self) -> None:
        if self.attempts >= MAX_ATTEMPTS:
            self.outcome = Outcome.FAILED
        else:
            self._sent_ms = None
