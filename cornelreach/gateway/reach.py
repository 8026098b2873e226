"""Whether this instance reaches any target at all.

If no connection to any target can be opened, the links of this instance are the
likelier cause, and its suspicions say nothing of the targets::

    reach = Reach(registry, clock)
    if reach.is_cut_off():
        ...
"""

from cornelreach.gateway import registry as registry_module
from cornelreach.util import events, timers

LOST = events.define(
    2206,
    "WARNING",
    "None of {targets} targets is reached; the last failure at {target}: {reason}.",
    "Compare with the other instances: if they reach targets, check this one's links.",
)
REGAINED = events.define(
    2207,
    "INFO",
    "Targets are reached again after {away_ms} ms, first {target}.",
    "Nothing.",
)


class Reach:
    """Follows the suspicions of a registry's targets."""

    def __init__(
        self, registry: registry_module.TargetRegistry, clock: timers.Timers
    ) -> None:
        self.registry = registry
        self.clock = clock
        self._lost_ms: float | None = None
        registry.on_failure = self.record_failure
        registry.on_answer = self.record_answer

    def is_cut_off(self) -> bool:
        """Return whether there are targets in service and none of them is reached."""
        opened = [
            one.id
            for one in self.registry.targets.values()
            if self.registry.is_open(one.id, one.service)
        ]
        return bool(opened) and all(
            self.registry.state(one).unreached for one in opened
        )

    def record_failure(self, target: str, reason: str) -> None:
        """Follow a call that a target did not answer."""
        if self._lost_ms is None and self.is_cut_off():
            self._lost_ms = self.clock.now_ms()
            events.emit(
                LOST, targets=len(self.registry.targets), target=target, reason=reason
            )

    def record_answer(self, target: str) -> None:
        """Follow an answer of a target that was suspected."""
        if self._lost_ms is not None:
            away_ms = round(self.clock.now_ms() - self._lost_ms)
            self._lost_ms = None
            events.emit(REGAINED, away_ms=away_ms, target=target)
