"""A network link of limited rate: transfers queue one after another and may stall."""

from cornelreach.util import timers as timers_module


class Link:
    """Computes when each transfer over the link completes."""

    def __init__(self, bytes_per_s: float, timers: timers_module.Timers) -> None:
        self.bytes_per_s = bytes_per_s
        self.timers = timers
        self.sent_bytes = 0
        self._free_ms = 0.0

    def reserve(self, size_bytes: int) -> float:
        """Queue a transfer and return in how many ms it completes."""
        now_ms = self.timers.now_ms()
        starts_ms = max(now_ms, self._free_ms)
        self._free_ms = starts_ms + size_bytes * 1_000 / self.bytes_per_s
        self.sent_bytes += size_bytes
        return self._free_ms - now_ms

    def stall(self, stall_ms: float) -> None:
        """Delay all later transfers."""
        self._free_ms = max(self.timers.now_ms(), self._free_ms) + stall_ms

    def backlog_bytes(self) -> int:
        """Return the bytes that are still queued."""
        wait_ms = max(0.0, self._free_ms - self.timers.now_ms())
        return int(wait_ms * self.bytes_per_s / 1_000)
