"""Byte budgets and backlogs of the links between engines and stores.

Every target has one link. A transfer loads the links of both its ends; each link sends
its backlog in order at its rate::

    links = Links()
    links.set_rate("engine-1", 50_000_000)
    links.estimate_ms(("store-1", "engine-1"), 20_000_000, now_ms)    # 400.0

Work that no call waits for, such as copies made ahead, is paid from a budget: a share
of each link's rate that accrues up to ``BUDGET_BURST_MS``.
"""

import typing

DEFAULT_BYTES_PER_S = 50_000_000
LATENCY_MS = 2.0
BACKGROUND_SHARE = 0.5
BUDGET_BURST_MS = 1_000
RATE_EXPONENT = 0.5
RECOVER_AFTER_MS = 10_000
RECOVER_MS = 60_000
MIN_RATE_SHARE = 0.01
MEASURED_BYTES = 100_000

Path = tuple[str, ...]


class View(typing.NamedTuple):
    """One link at one time: its backlog, and the time that a byte takes."""

    wait_ms: float
    ms_per_byte: float


class Transfer(typing.NamedTuple):
    """A transfer under way; bytes count on every link of its path."""

    path: Path
    size_bytes: int
    started_ms: float
    estimated_ms: float


class _Link:
    def __init__(self, bytes_per_s: float) -> None:
        self.nominal = bytes_per_s
        self.rate = bytes_per_s
        self.free_at_ms = 0.0
        self.budget_bytes = 0.0
        self.accrued_ms = 0.0
        self.sent_bytes = 0
        self.recovered_ms = 0.0
        self.measured_ms = 0.0

    def recover(self, now_ms: float) -> None:
        """Let a slow rate return to the nominal one, so that it is tried again."""
        if self.rate >= self.nominal:
            return
        since_ms = max(self.recovered_ms, self.measured_ms + RECOVER_AFTER_MS)
        share = min(1.0, max(0.0, now_ms - since_ms) / RECOVER_MS)
        self.rate += (self.nominal - self.rate) * share
        self.recovered_ms = now_ms

    def wait_ms(self, now_ms: float) -> float:
        return max(0.0, self.free_at_ms - now_ms)

    def send_ms(self, size_bytes: int) -> float:
        return size_bytes * 1_000 / self.rate

    def accrue(self, now_ms: float) -> None:
        gained = (now_ms - self.accrued_ms) / 1_000 * self.rate * BACKGROUND_SHARE
        burst = self.rate * BACKGROUND_SHARE * BUDGET_BURST_MS / 1_000
        self.budget_bytes = min(burst, self.budget_bytes + max(0.0, gained))
        self.accrued_ms = now_ms


class Links:
    """The links of the targets that one owner moves pieces between."""

    def __init__(self) -> None:
        self._links: dict[str, _Link] = {}

    def set_rate(self, name: str, bytes_per_s: int) -> None:
        """Set the nominal rate of a target's link; a change drops what was measured."""
        link = self._link(name)
        if link.nominal != bytes_per_s:
            link.nominal = link.rate = float(bytes_per_s)

    def remove(self, name: str) -> None:
        """Forget the link of a target that left."""
        self._links.pop(name, None)

    def report_backlog(self, name: str, backlog_bytes: int, now_ms: float) -> None:
        """Take over a backlog that a target reports if it is longer than known."""
        link = self._link(name)
        reported_ms = now_ms + link.send_ms(backlog_bytes)
        link.free_at_ms = max(link.free_at_ms, reported_ms)

    def view(self, name: str, now_ms: float) -> View:
        """Return the state of one link, for several estimates at one time."""
        link = self._link(name)
        link.recover(now_ms)
        return View(link.wait_ms(now_ms), 1_000 / link.rate)

    def estimate_ms(self, path: Path, size_bytes: int, now_ms: float) -> float:
        """Return how long a transfer would take if it were started now."""
        one, *others = [self.view(name, now_ms) for name in path]
        return max(between_ms(one, other, size_bytes) for other in others)

    def start(self, path: Path, size_bytes: int, now_ms: float) -> Transfer:
        """Count a transfer on the links of its path at once."""
        estimated_ms = self.estimate_ms(path, size_bytes, now_ms)
        for name in path:
            link = self._link(name)
            start_ms = max(now_ms, link.free_at_ms)
            link.free_at_ms = start_ms + link.send_ms(size_bytes)
            link.sent_bytes += size_bytes
        return Transfer(path, size_bytes, now_ms, estimated_ms)

    def finish(self, transfer: Transfer, now_ms: float, done: bool) -> None:
        """End a transfer; its duration corrects the rates of its links.

        One that was not done gives back the backlog that it has not used.
        """
        took_ms = max(1.0, now_ms - transfer.started_ms)
        for name in transfer.path:
            link = self._link(name)
            if not done:
                unused_ms = max(0.0, transfer.estimated_ms - took_ms)
                link.free_at_ms = max(now_ms, link.free_at_ms - unused_ms)
        if transfer.size_bytes >= MEASURED_BYTES:
            self._measure(transfer, took_ms, now_ms)

    def _measure(self, transfer: Transfer, took_ms: float, now_ms: float) -> None:
        ratio = max(0.1, min(10.0, transfer.estimated_ms / took_ms))
        links = [self._link(name) for name in transfer.path]
        slowest = min(links, key=lambda link: link.rate)
        rate = slowest.rate * ratio**RATE_EXPONENT
        floor = slowest.nominal * MIN_RATE_SHARE
        slowest.measured_ms = now_ms
        slowest.rate = min(slowest.nominal, max(floor, rate))

    def spend(self, path: Path, size_bytes: int, now_ms: float) -> bool:
        """Take background bytes from the budgets of a path, or return False.

        Nothing is taken while a call's transfer keeps one of the links busy.
        """
        links = [self._link(name) for name in path]
        for link in links:
            link.accrue(now_ms)
        if any(link.budget_bytes < min(size_bytes, _burst(link)) for link in links):
            return False
        if any(link.wait_ms(now_ms) > BUDGET_BURST_MS / 2 for link in links):
            return False
        for link in links:
            link.budget_bytes -= size_bytes
        return True

    def sent_bytes(self) -> dict[str, int]:
        """Return the bytes counted on each link so far."""
        return {name: link.sent_bytes for name, link in self._links.items()}

    def _link(self, name: str) -> _Link:
        link = self._links.get(name)
        if link is None:
            link = self._links[name] = _Link(float(DEFAULT_BYTES_PER_S))
        return link


def _burst(link: _Link) -> float:
    return link.rate * BACKGROUND_SHARE * BUDGET_BURST_MS / 1_000


def between_ms(one: View, other: View, size_bytes: int) -> float:
    """Return how long a transfer between two links would take."""
    wait_ms = one.wait_ms if one.wait_ms > other.wait_ms else other.wait_ms
    slower = max(one.ms_per_byte, other.ms_per_byte)
    return LATENCY_MS + wait_ms + slower * size_bytes
