"""Quarantine of the prompt parts and requests on which targets crash.

What is said of parts holds for requests as well. A guilty part is confirmed before it
is refused: another instance may have got whole answers to it. Each instance concludes
for itself from the crashes that all report to each other, so that a part is refused
everywhere although no instance has seen more than one or two of the crashes. The
platform's store keeps the part, for instances that start later. It is tried again with
one prompt, after a time that grows with each trial::

    left_ms = quarantine.refuse_ms(parts)  # None if the prompt may be sent
    quarantine.record_loss(lifetime, prompt_hash, parts, begun=True)
    quarantine.record_answer(parts)
"""

import typing

from cornelreach.gateway import crashes
from cornelreach.util import events, timers

FIRST_TRIAL_MS = 300_000.0
TRIAL_FACTOR = 4.0
MAX_TRIAL_MS = 86_400_000.0
EVALUATE_MS = 50.0  # a crash brings many losses at once
RELEASED_MS = 30_000.0  # by then an entry that was being written has been read
CLAIM_MS = 30_000.0  # between two attempts of an instance to get a trial
DOUBTFUL_CRASHES = 2
MAX_REQUESTS = 1_000  # the oldest are released, as few ever come again

QUARANTINED = events.define(
    2601,
    "WARNING",
    "Prompts with part {part} are refused: {crashes} targets crashed, weight {weight}.",
    "Look for what is special in that part; delete quarantines/{part} if it is sound.",
)
RELEASED = events.define(2602, "INFO", "{part} is sent again: {reason}.", "Nothing.")
TRIAL = events.define(
    2603,
    "INFO",
    "One request with {part} is sent as trial {trials}.",
    "Nothing; if its target crashes: see events 2601 and 2604.",
)
REQUEST_QUARANTINED = events.define(
    2604,
    "WARNING",
    "{part} is refused: {crashes} targets crashed on it, weight {weight}.",
    "Look for the request in lines 2402; delete quarantines/{part} if it is sound.",
)


class Held:
    """A quarantined part; ``version`` is that of its entry in the store, if written."""

    def __init__(self, now_ms: float) -> None:
        self.since_ms = now_ms
        self.version: int | None = None
        self.trials = 0
        self.due_ms = now_ms + FIRST_TRIAL_MS
        self.has_trial = False

    def update(self, version: int, trials: int, now_ms: float) -> None:
        """Follow the entry in the store: each trial defers the next one."""
        self.version = version
        if trials != self.trials:
            self.trials = trials
            wait_ms = min(MAX_TRIAL_MS, FIRST_TRIAL_MS * TRIAL_FACTOR**trials)
            self.due_ms = now_ms + wait_ms


OnPart = typing.Callable[[str], None]


def _ignore(part: str) -> None:
    """Ignore a change of a part."""


OnRelease = typing.Callable[[str, int | None], None]


def _ignore_release(part: str, version: int | None) -> None:
    """Ignore a release."""


class Quarantine:
    """The parts and requests that are refused.

    ``on_suspect`` is called with a part that is to be confirmed, ``on_hold`` with one
    that this instance has quarantined and ``on_trial_due`` with one of which a prompt
    may be tried. ``on_release`` is called with a part that this instance found to be
    sound and the version of its entry, if known; again if the entry shows later.
    """

    def __init__(self, clock: timers.Timers) -> None:
        self.clock = clock
        self.crash_log = crashes.CrashLog(clock)
        self.held: dict[str, Held] = {}
        self.confirm_ms: typing.Callable[[], float] = lambda: 0.0
        self.on_suspect: OnPart = _ignore
        self.on_hold: OnPart = _ignore
        self.on_release: OnRelease = _ignore_release
        self.on_trial_due: OnPart = _ignore
        self._suspected: set[str] = set()
        self._changed: set[str] = set()
        self._released_ms: dict[str, float] = {}

    # Requests.

    def refuse_ms(self, parts: typing.Iterable[str]) -> float | None:
        """Return for how long a request is refused, or None if it may be sent."""
        if not self.held:
            return None
        found = {part: self.held[part] for part in parts if part in self.held}
        if not found:
            return None
        if all(one.has_trial for one in found.values()):
            for part, one in found.items():
                one.has_trial = False
                events.emit(TRIAL, part=part, trials=one.trials)
            return None
        now_ms = self.clock.now_ms()
        for part, one in found.items():
            if one.due_ms <= now_ms and not one.has_trial:
                one.due_ms = now_ms + CLAIM_MS
                self.on_trial_due(part)
        return max(one.due_ms for one in found.values()) - now_ms

    def holds(self, parts: typing.Iterable[str]) -> bool:
        """Return whether any of the parts is quarantined."""
        return bool(self.held) and any(part in self.held for part in parts)

    def is_doubtful(self, name: str) -> bool:
        """Return whether targets have crashed on a request, or on one beside it."""
        return self.crash_log.crash_moments(name) >= DOUBTFUL_CRASHES

    def is_suspected(self, part: str) -> bool:
        """Return whether a part would be quarantined if that were confirmed."""
        return self.crash_log.is_guilty(part, self.held.keys())

    def record_loss(
        self,
        lifetime: crashes.Lifetime,
        prompt: int,
        parts: tuple[str, ...],
        begun: bool,
    ) -> None:
        """Record that a target crashed before the first event of an answer."""
        if parts and self.crash_log.record_loss(lifetime, prompt, parts, begun):
            self.evaluate(parts)

    def record_answer(self, parts: tuple[str, ...]) -> None:
        """Record a whole answer; it releases the request and its prompt's parts."""
        now_ms = self.clock.now_ms()
        self.crash_log.record_sound(parts, now_ms)
        for part in parts:
            if part in self.held:
                self._remember_release(part, now_ms)
                self.on_release(part, self.held[part].version)
                self._release(part, "an answer was whole")

    def _remember_release(self, part: str, now_ms: float) -> None:
        oldest_ms = now_ms - RELEASED_MS
        recent = [one for one in self._released_ms.items() if one[1] > oldest_ms]
        self._released_ms = {**dict(recent), part: now_ms}

    def record_answer_elsewhere(self, part: str, at_ms: float) -> None:
        """Record another instance's whole answer; a later one releases its part."""
        self.crash_log.record_sound((part,), at_ms)
        if part in self.held and at_ms > self.held[part].since_ms:
            self._release(part, "an answer was whole elsewhere")

    def count(self, requests: bool) -> int:
        """Return how many requests are refused, or how many parts."""
        return sum(crashes.is_request(name) == requests for name in self.held)

    # Conclusions.

    def evaluate(self, parts: typing.Iterable[str]) -> None:
        """Look soon whether any of the parts, against which more speaks, is guilty."""
        if not self._changed:
            self.clock.after(EVALUATE_MS, self._evaluate)
        self._changed.update(parts)

    def _evaluate(self) -> None:
        changed, self._changed = self._changed, set()
        requests = []
        for part in sorted(changed - self._suspected - self.held.keys()):
            if self.crash_log.is_guilty(part, self.held.keys()):
                self._suspected.add(part)
                self.on_suspect(part)
                if crashes.is_request(part):
                    requests.append(part)
                else:
                    self._confirm_later([part])
        self._confirm_later(requests)

    def _confirm_later(self, parts: list[str]) -> None:
        if parts:
            self.clock.after(self.confirm_ms(), lambda: self._confirm(parts))

    def _confirm(self, parts: list[str]) -> None:
        """Quarantine those that are still guilty, none of them in place of another.

        Of requests in the same crashes, the first one would otherwise explain them.
        """
        held = frozenset(self.held)
        for part in parts:
            self._suspected.discard(part)
            if part not in held and self.crash_log.is_guilty(part, held):
                found = self.crash_log.evidence(part, held)
                self._released_ms.pop(part, None)
                self._hold(part, found.crashes, found.weight)
                self.on_hold(part)
        self._judge_again(held)

    def _judge_again(self, earlier: frozenset[str]) -> None:
        """Release what was held for crashes that something held since explains."""
        since = self.held.keys() - earlier
        if not since:
            return
        for part in sorted(earlier & self.held.keys()):
            if self.crash_log.is_explained(part, since):
                self._remember_release(part, self.clock.now_ms())
                self.on_release(part, self.held[part].version)
                self._release(part, "another one explains its crashes")

    def _hold(self, part: str, crash_count: int, weight: int) -> None:
        self.held[part] = Held(self.clock.now_ms())
        is_request = crashes.is_request(part)
        event = REQUEST_QUARANTINED if is_request else QUARANTINED
        events.emit(event, part=part, crashes=crash_count, weight=weight)
        if is_request:
            requests = list(filter(crashes.is_request, self.held))
            for oldest in requests[:-MAX_REQUESTS]:
                self.on_release(oldest, self.held[oldest].version)
                self._release(oldest, "more recent ones are refused")

    def _release(self, part: str, reason: str) -> None:
        del self.held[part]
        events.emit(RELEASED, part=part, reason=reason)

    # Entries of the store.

    def apply_entry(self, part: str, version: int, trials: int) -> None:
        """Hold a part that has an entry in the store, unless released here since."""
        now_ms = self.clock.now_ms()
        if self._released_ms.get(part, float("-inf")) > now_ms - RELEASED_MS:
            self.on_release(part, version)
            return
        if part not in self.held:
            self._hold(part, 0, 0)
        self.held[part].update(version, trials, now_ms)

    def remove_entry(self, part: str) -> None:
        """Release a part whose entry was deleted: somebody knows that it is sound."""
        self._released_ms.pop(part, None)
        if part in self.held:
            self.crash_log.record_sound((part,), self.clock.now_ms())
            self._release(part, "its entry was deleted")

    def forget_entries(self) -> None:
        """Write all entries again: the store came back from an older copy."""
        for part, held in self.held.items():
            if held.version is not None:
                held.version = None
                self.on_hold(part)
