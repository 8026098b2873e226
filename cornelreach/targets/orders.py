"""One target's way to a wanted weight version, by orders that may be repeated.

The holder of a lease sends orders with its fencing number. An order names the state to
reach, so a repeated or late one does no more than set the target back, and the target's
own report is read before and after each order::

    order = orders.TargetOrder("e1", "reader", "8", fence=4)
    step = order.step(now_ms)            # Read, Send, Wait or an End
    order.read(version, asked_ms, now_ms)
    order.answered(orders.Answer.ACCEPTED, now_ms)

A target that checks the fence refuses an order of a former holder. One that ignores it
gets orders from the owner of its pool only, which passes on none below the highest
fence that it has seen, and a holder sends only while its lease outlasts ``ORDER_MS``;
what still arrives late is seen by the next reading and set right by the next order.
"""

import enum
import typing

from cornelreach.targets import admission

ORDER_MS = 2_000
LOAD_MS = 5_000
READ_EVERY_MS = 250
MOST_TRIES = 3


class Kind(enum.StrEnum):
    """What an order does."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


class Order(typing.NamedTuple):
    """An order as it goes to a target."""

    target: str
    order: Kind
    model: str
    version: str
    fence: int
    adapter: str = ""


class Answer(enum.StrEnum):
    """What came back for an order."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    OLD_FENCE = "old_fence"
    LOST = "lost"


class Read(typing.NamedTuple):
    """Ask the target for its state."""


class Send(typing.NamedTuple):
    """Send an order."""

    order: Order


class Wait(typing.NamedTuple):
    """Nothing to do for a while."""

    wait_ms: float


class End(enum.StrEnum):
    """How the way ended; ``SUPERSEDED`` if another holder has taken over."""

    CONVERGED = "converged"
    FAILED = "failed"
    SUPERSEDED = "superseded"


Step = Read | Send | Wait | End


class Fences:
    """The highest fence seen for each lease, at the one instance that sends."""

    def __init__(self) -> None:
        self._highest: dict[str, int] = {}

    def admits(self, lease: str, fence: int) -> bool:
        """Return whether an order may be passed on, and remember its fence."""
        if fence < self._highest.get(lease, 0):
            return False
        self._highest[lease] = fence
        return True


class TargetOrder:
    """Brings one target to one version."""

    def __init__(self, target: str, model: str, version: str, fence: int) -> None:
        self.order = Order(target, Kind.LOAD, model, version, fence)
        self.end: End | None = None
        self.tries = 0
        self._read_due_ms = float("-inf")
        self._sent_ms: float | None = None
        self._send = False

    def step(self, now_ms: float) -> Step:
        """Return what to do now."""
        if self.end is not None:
            return self.end
        if self._send:
            return Send(self.order)
        if now_ms >= self._read_due_ms:
            return Read()
        return Wait(self._read_due_ms - now_ms)

    def read(self, version: str, asked_ms: float, now_ms: float) -> None:
        """Take in the version that the target reports.

        The report may be ``admission.REPORT_LAG_MS`` old, so a try that shows no effect
        is given up only after that and ``LOAD_MS``.
        """
        self._read_due_ms = now_ms + READ_EVERY_MS
        if version == self.order.version:
            self.end = self.end or End.CONVERGED
            return
        if self._sent_ms is None:
            self._send = True
        elif asked_ms - self._sent_ms >= LOAD_MS + admission.REPORT_LAG_MS:
            self._try_again()

    def sent(self, now_ms: float) -> None:
        """Take in that the order is about to leave."""
        self._send = False
        self.tries += 1
        self._sent_ms = now_ms

    def answered(self, answer: Answer, now_ms: float) -> None:
        """Take in the target's answer; a lost one is settled by reading."""
        self._read_due_ms = now_ms
        if answer is Answer.OLD_FENCE:
            self.end = End.SUPERSEDED
        elif answer is Answer.REFUSED:
            self._try_again()

    def _try_again(self) -> None:
        if self.tries >= MOST_TRIES:
            self.end = End.FAILED
        else:
            self._sent_ms = None
