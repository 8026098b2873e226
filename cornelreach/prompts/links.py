"""Models the network links of engines and stores: backlogs, rates and byte budgets.

Every target has one link. A transfer adds to the backlog of the links at both its ends,
and each link works off its backlog in order at its rate::

    links = Links()
    links.set_rate("engine-1", 50_000_000)
    links.estimate_ms(("store-1", "engine-1"), 20_000_000, now_ms)    # 400.0

Background transfers, which no call waits for, draw on a budget. It accrues at a share
of the link's rate, up to the amount of ``BUDGET_BURST_MS``.
"""

import typing

DEFAULT_BYTES_PER_S = 50_000_000
LATENCY_MS = 2.0
BACKGROUND_SHARE = 0.5
BUDGET_BURST_MS = 1_000
RATE_EXPONENT = 0.5
RECOVERY_DELAY_MS = 10_000
RECOVERY_MS = 60_000
MIN_RATE_SHARE = 0.01
MIN_MEASURED_BYTES = 100_000

Path = tuple[str, ...]


class LinkState(typing.NamedTuple):
    """A link at one time: the duration of its backlog, and the time per byte."""

    wait_ms: float
    ms_per_byte: float


class Transfer(typing.NamedTuple):
    """A transfer in progress; its bytes count on every link of its path."""

    path: Path
    size_bytes: int
    started_ms: float
    estimated_ms: float


class _Link:
    def __init__(self, bytes_per_s: float) -> None:
        self.nominal_rate = bytes_per_s
        self.rate = bytes_per_s
        self.free_at_ms = 0.0
        self.budget_bytes = 0.0
        self.last_accrual_ms = 0.0
        self.sent_bytes = 0
        self.last_recovery_ms = 0.0
        self.last_measured_ms = 0.0

    def recover(self, now_ms: float) -> None:
        """Raise a reduced rate towards the nominal one, so that it is tried again."""
        if self.rate >= self.nominal_rate:
            return
        since_ms = max(self.last_recovery_ms, self.last_measured_ms + RECOVERY_DELAY_MS)
        share = min(1.0, max(0.0, now_ms - since_ms) / RECOVERY_MS)
        self.rate += (self.nominal_rate - self.rate) * share
        self.last_recovery_ms = now_ms

    def wait_ms(self, now_ms: float) -> float:
        return max(0.0, self.free_at_ms - now_ms)

    def send_ms(self, size_bytes: int) -> float:
        return size_bytes * 1_000 / self.rate

    def accrue(self, now_ms: float) -> None:
        accrued_bytes = (
            (now_ms - self.last_accrual_ms) / 1_000 * self.rate * BACKGROUND_SHARE
        )
        max_bytes = self.rate * BACKGROUND_SHARE * BUDGET_BURST_MS / 1_000
        self.budget_bytes = min(max_bytes, self.budget_bytes + max(0.0, accrued_bytes))
        self.last_accrual_ms = now_ms


class Links:
    """The links of the engines and stores of one pool owner."""

    def __init__(self) -> None:
        self._links: dict[str, _Link] = {}

    def set_rate(self, name: str, bytes_per_s: int) -> None:
        """Set a target's nominal rate; a change discards the measured rate."""
        link = self._link(name)
        if link.nominal_rate != bytes_per_s:
            link.nominal_rate = link.rate = float(bytes_per_s)

    def remove(self, name: str) -> None:
        """Remove the link of a target that left."""
        self._links.pop(name, None)

    def report_backlog(self, name: str, backlog_bytes: int, now_ms: float) -> None:
        """Raise a backlog to the one that the target reports, if that is longer."""
        link = self._link(name)
        reported_ms = now_ms + link.send_ms(backlog_bytes)
        link.free_at_ms = max(link.free_at_ms, reported_ms)

    def state(self, name: str, now_ms: float) -> LinkState:
        """Return the state of a link, for several estimates at the same time."""
        link = self._link(name)
        link.recover(now_ms)
        return LinkState(link.wait_ms(now_ms), 1_000 / link.rate)

    def estimate_ms(self, path: Path, size_bytes: int, now_ms: float) -> float:
        """Return the estimated duration of a transfer that starts now."""
        one, *others = [self.state(name, now_ms) for name in path]
        return max(estimated_transfer_ms(one, other, size_bytes) for other in others)

    def start(self, path: Path, size_bytes: int, now_ms: float) -> Transfer:
        """Add a transfer to the backlog of every link of its path."""
        estimated_ms = self.estimate_ms(path, size_bytes, now_ms)
        for name in path:
            link = self._link(name)
            start_ms = max(now_ms, link.free_at_ms)
            link.free_at_ms = start_ms + link.send_ms(size_bytes)
            link.sent_bytes += size_bytes
        return Transfer(path, size_bytes, now_ms, estimated_ms)

    def finish(self, transfer: Transfer, now_ms: float, completed: bool) -> None:
        """End a transfer, and adjust the rate of its slowest link by the duration.

        For one that was not completed, the unused part of its estimate is subtracted
        from the backlogs.
        """
        duration_ms = max(1.0, now_ms - transfer.started_ms)
        for name in transfer.path:
            link = self._link(name)
            if not completed:
                unused_ms = max(0.0, transfer.estimated_ms - duration_ms)
                link.free_at_ms = max(now_ms, link.free_at_ms - unused_ms)
        if transfer.size_bytes >= MIN_MEASURED_BYTES:
            self._adjust_rate(transfer, duration_ms, now_ms)

    def _adjust_rate(
        self, transfer: Transfer, duration_ms: float, now_ms: float
    ) -> None:
        ratio = max(0.1, min(10.0, transfer.estimated_ms / duration_ms))
        links = [self._link(name) for name in transfer.path]
        slowest = min(links, key=lambda link: link.rate)
        rate = slowest.rate * ratio**RATE_EXPONENT
        min_rate = slowest.nominal_rate * MIN_RATE_SHARE
        slowest.last_measured_ms = now_ms
        slowest.rate = min(slowest.nominal_rate, max(min_rate, rate))

    def try_spend(self, path: Path, size_bytes: int, now_ms: float) -> bool:
        """Take bytes for a background transfer from all budgets of a path.

        Returns False and takes nothing if a budget is too small, or if a link's
        backlog exceeds half of ``BUDGET_BURST_MS``, so that transfers for calls go
        first. A transfer larger than a full budget needs a full one, and overdraws it.
        """
        links = [self._link(name) for name in path]
        for link in links:
            link.accrue(now_ms)
        if any(
            link.budget_bytes < min(size_bytes, _max_budget_bytes(link))
            for link in links
        ):
            return False
        if any(link.wait_ms(now_ms) > BUDGET_BURST_MS / 2 for link in links):
            return False
        for link in links:
            link.budget_bytes -= size_bytes
        return True

    def sent_bytes(self) -> dict[str, int]:
        """Return the total bytes of the transfers started on each link."""
        return {name: link.sent_bytes for name, link in self._links.items()}

    def _link(self, name: str) -> _Link:
        link = self._links.get(name)
        if link is None:
            link = self._links[name] = _Link(float(DEFAULT_BYTES_PER_S))
        return link


def _max_budget_bytes(link: _Link) -> float:
    return link.rate * BACKGROUND_SHARE * BUDGET_BURST_MS / 1_000


def estimated_transfer_ms(one: LinkState, other: LinkState, size_bytes: int) -> float:
    """Return the estimated duration of a transfer between two links."""
    wait_ms = one.wait_ms if one.wait_ms > other.wait_ms else other.wait_ms
    slower = max(one.ms_per_byte, other.ms_per_byte)
    return LATENCY_MS + wait_ms + slower * size_bytes
