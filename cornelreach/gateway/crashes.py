"""Evidence of prompt parts and requests that crash targets.

A target that crashes takes all its answers along, so a single crash does not tell which
request caused it. A request is suspect if its answer had not brought an event yet. A
shared part is guilty once crashes of several lifetimes, with different prompts, have
all had it among their suspects, and no answer to it has been whole since. A request is
guilty once its repetitions have been among the suspects of several crashes::

    names = ("m.5c1e07a2", "request-91bd3f06e4402b7d")
    crash_log.record_loss(Lifetime("engine-1", 7), prompt_hash, names, True)
    crash_log.guilty_parts(quarantined=())

A crash that something quarantined explains counts against nothing else. More evidence
is needed against a part of which an answer was whole shortly before the crashes, since
parts that many prompts share are suspects in most crashes, and against one of several
parts or requests that have been in the same crashes all along.
"""

import collections
import re
import typing

import msgspec

from cornelreach.gateway import calls, datagrams
from cornelreach.http import messages
from cornelreach.util import hashing, timers

BEGUN_WEIGHT = 2  # the target had begun to answer, as it does before it crashes
WAITING_WEIGHT = 1
GUILTY_WEIGHT = 4
GUILTY_WEIGHT_IN_DOUBT = 10
SOUND_MS = 60_000.0
KEPT_MS = 300_000.0
SAME_MOMENT_MS = 100.0  # crashes this close may have another cause, as a power cut
CUT_MS = 500.0  # in which an instance loses its connections to several targets
MAX_CRASHES = 256
MAX_PROMPTS = 12  # of one crash
MAX_PLAIN_REQUESTS = 32  # of one crash, without parts
MAX_PARTS = 16  # of one prompt
MAX_NAMES = MAX_PARTS + 4  # of one prompt, with those of its requests
MAX_SOUND = 8_192
MAX_REPORTS = 8  # at a time; a power cut ends far more targets at one moment

REQUEST_PREFIX = "request-"
_PLAIN_NAME = re.compile(r"[0-9A-Za-z_-]{1,24}\Z")


def part_name(model: str, key: str) -> str:
    """Return the name of a part, which is bounded in length and safe in keys."""
    if _PLAIN_NAME.match(model) and _PLAIN_NAME.match(key):
        return f"{model}.{key}"
    return f"{hashing.name_hash(f'{model} {key}'):016x}"


def shared_parts(call: calls.Call) -> tuple[str, ...]:
    """Return the names of a prompt's parts except the last, which is its own."""
    return tuple(part_name(call.model, one.key) for one in call.parts[:-1])


def prompt_hash(call: calls.Call) -> int:
    """Return a hash of a whole prompt, equal for each repetition of it."""
    return hashing.name_hash(" ".join((call.model, *(one.key for one in call.parts))))


def request_name(
    request: messages.Request, host: str, caller: str, call: calls.Call
) -> str:
    """Return the name of a request, equal for each repetition of it.

    Repetitions differ in their identifier, deadline and last event, so of the headers
    only the prompt counts.
    """
    keys = tuple(one.key for one in call.parts)
    own = (request.method, host, request.target, caller, call.model, keys)
    digest = hashing.digest(msgspec.msgpack.encode(own), request.body)
    return REQUEST_PREFIX + digest[:8].hex()


def is_request(name: str) -> bool:
    """Return whether a name is that of a request; the others are those of parts."""
    return name.startswith(REQUEST_PREFIX) and "." not in name


class Lifetime(typing.NamedTuple):
    """One lifetime of a target."""

    target: str
    born_ms: int


class _Limits(typing.NamedTuple):
    """The weights at which something is guilty."""

    usual: int
    in_doubt: int


# A request repeats itself in all its crashes, so that fewer suffice than for a part.
PART_LIMITS = _Limits(GUILTY_WEIGHT, GUILTY_WEIGHT_IN_DOUBT)
REQUEST_LIMITS = _Limits(3, 5)


class _LostPrompt(typing.NamedTuple):
    """A lost prompt or plain request; ``parts`` names its request as well."""

    begun: bool
    parts: tuple[str, ...]

    @property
    def weight(self) -> int:
        return BEGUN_WEIGHT if self.begun else WAITING_WEIGHT

    def merge(self, other: "_LostPrompt") -> "_LostPrompt":
        """Return the weightier of two losses of a prompt, with the requests of both."""
        main, rest = (other, self) if other.begun > self.begun else (self, other)
        more = (n for n in rest.parts if is_request(n) and n not in main.parts)
        return _LostPrompt(main.begun, (*main.parts, *more)[:MAX_NAMES])

    def is_explanation(self, name: str, quarantined: typing.Container[str]) -> bool:
        """Return whether something quarantined in it explains the crash for a name.

        The parts of a quarantined request are still suspects in its crashes: one of
        them may crash targets in other prompts as well.
        """
        return any(
            one in quarantined and not (is_request(one) and name in self.parts)
            for one in self.parts
        )


class _Crash:
    """The suspects of one crash, by the hash of the prompt."""

    def __init__(self, at_ms: float) -> None:
        self.at_ms = at_ms
        self.changed_ms = at_ms
        self.observed_ms: float | None = None  # the last change seen by this instance
        self.prompts: dict[int, _LostPrompt] = {}
        self.parts: set[str] = set()  # also of suspects that others have replaced

    def add(self, prompt: int, lost: _LostPrompt, now_ms: float) -> bool:
        """Add a suspect; returns whether that is new."""
        held = self.prompts.get(prompt)
        if held is not None:
            lost = held.merge(lost)
        if lost == held or held is None and not self._has_room(lost):
            return False
        self.prompts[prompt] = lost
        self.parts.update(lost.parts)
        self.changed_ms = now_ms
        return True

    def _has_room(self, lost: _LostPrompt) -> bool:
        """Return whether a suspect fits, in place of one less suspect if need be."""
        is_plain = all(map(is_request, lost.parts))
        if len(self.prompts) < (MAX_PLAIN_REQUESTS if is_plain else MAX_PROMPTS):
            return True
        waiting = [prompt for prompt, one in self.prompts.items() if not one.begun]
        if not lost.begun or not waiting:
            return False
        del self.prompts[waiting[0]]
        return True

    def is_explained(self, name: str, quarantined: typing.Container[str]) -> bool:
        """Return whether something quarantined caused it, rather than this name."""
        return any(
            one.is_explanation(name, quarantined) for one in self.prompts.values()
        )

    def alternatives(self, name: str, lost: _LostPrompt) -> set[str]:
        """Return what may have caused the crash in place of a name in a suspect."""
        parts = {one for one in lost.parts if not is_request(one)}
        if not is_request(name):
            return parts
        return parts.union(
            one
            for prompt in self.prompts.values()
            for one in prompt.parts
            if is_request(one)
        )

    def heaviest(
        self, part: str, counted: typing.Container[int]
    ) -> tuple[int, _LostPrompt] | None:
        """Return the weightiest suspect with a part that was not counted before."""
        found = [
            item
            for item in self.prompts.items()
            if part in item[1].parts and item[0] not in counted
        ]
        return max(found, key=lambda item: item[1].weight, default=None)


class Evidence(typing.NamedTuple):
    """What speaks against a part or a request.

    ``first_ms`` is the time of the first crash, ``alternatives`` are what else may have
    caused the crashes that count: other parts of the same prompts, and in place of a
    request also the other requests.
    """

    weight: int
    crashes: int
    first_ms: float
    alternatives: frozenset[str]


class CrashLog:
    """The recent crashes, and the parts and requests of which answers were whole."""

    def __init__(self, clock: timers.Timers) -> None:
        self.clock = clock
        self._crashes: collections.OrderedDict[Lifetime, _Crash] = (
            collections.OrderedDict()
        )
        self._by_part: dict[str, list[_Crash]] = {}
        self._sound_ms: collections.OrderedDict[str, float] = collections.OrderedDict()

    # Records.

    def record_loss(
        self, lifetime: Lifetime, prompt: int, parts: tuple[str, ...], begun: bool
    ) -> bool:
        """Record a prompt lost with a target; returns whether that is new.

        Of very many parts those that are not known to be sound are kept.
        """
        parts = tuple(sorted(parts, key=self._rank)[:MAX_PARTS])
        now_ms = self.clock.now_ms()
        crash = self._crash(lifetime, now_ms)
        if not self._add(crash, prompt, _LostPrompt(begun, parts)):
            return False
        crash.observed_ms = now_ms
        return True

    def _rank(self, name: str) -> bool:
        return not is_request(name) and name in self._sound_ms

    def merge(self, report: datagrams.CrashReport) -> set[str]:
        """Merge another instance's report; returns the parts that it says more of."""
        now_ms = self.clock.now_ms()
        lifetime = Lifetime(report.target, report.born_ms)
        crash = self._crash(lifetime, now_ms - report.age_ms)
        found: set[str] = set()
        for one in report.prompts:
            for part, ago_ms in one.parts.items():
                if ago_ms is not None:
                    self.record_sound((part,), now_ms - ago_ms)
            lost = _LostPrompt(one.begun, tuple(one.parts))
            if self._add(crash, one.prompt, lost):
                found.update(lost.parts)
        return found

    def _add(self, crash: _Crash, prompt: int, lost: _LostPrompt) -> bool:
        if not crash.add(prompt, lost, self.clock.now_ms()):
            return False
        for part in set(lost.parts):
            found = self._by_part.setdefault(part, [])
            if crash not in found:
                found.append(crash)
                found.sort(key=lambda one: one.at_ms)
        return True

    def _crash(self, lifetime: Lifetime, at_ms: float) -> _Crash:
        found = self._crashes.get(lifetime)
        if found is None:
            self._forget_old()
            found = self._crashes[lifetime] = _Crash(at_ms)
        return found

    def _forget_old(self) -> None:
        """Make room for one more crash, and forget those that are too old."""
        oldest_ms = self.clock.now_ms() - KEPT_MS
        while self._crashes:
            lifetime, crash = next(iter(self._crashes.items()))
            if len(self._crashes) < MAX_CRASHES and crash.at_ms >= oldest_ms:
                return
            del self._crashes[lifetime]
            for part in crash.parts:
                found = self._by_part[part]
                found.remove(crash)
                if not found:
                    del self._by_part[part]

    def record_sound(self, parts: typing.Iterable[str], at_ms: float) -> None:
        """Record that an answer to a prompt with these parts was whole."""
        for part in parts:
            held_ms = self._sound_ms.pop(part, at_ms)
            self._sound_ms[part] = max(held_ms, at_ms)
        while len(self._sound_ms) > MAX_SOUND:
            self._sound_ms.popitem(last=False)

    def sound_ago_ms(self, part: str) -> float | None:
        """Return the time since an answer to a part was whole, or None."""
        sound_ms = self._sound_ms.get(part)
        return None if sound_ms is None else self.clock.now_ms() - sound_ms

    # Conclusions.

    def evidence(self, part: str, quarantined: typing.Container[str] = ()) -> Evidence:
        """Return what speaks against a part or request since its last whole answer.

        Crashes that something in ``quarantined`` explains are left out.
        """
        since_ms = max(
            self._sound_ms.get(part, float("-inf")), self.clock.now_ms() - KEPT_MS
        )
        weight = crashes = 0
        first_ms = float("-inf")
        next_ms = float("inf")
        counted: set[int] = set()
        alternatives: set[str] = set()
        for crash in reversed(self._by_part.get(part, ())):
            if crash.at_ms <= since_ms or weight >= GUILTY_WEIGHT_IN_DOUBT:
                break
            found = crash.heaviest(part, counted)
            if found is None or self._is_repeated(part, crash, next_ms):
                continue
            if crash.is_explained(part, quarantined):
                continue
            prompt, lost = found
            if not is_request(part):
                counted.add(prompt)
            alternatives |= crash.alternatives(part, lost)
            weight, crashes = weight + lost.weight, crashes + 1
            first_ms = next_ms = crash.at_ms
        return Evidence(weight, crashes, first_ms, frozenset(alternatives - {part}))

    def crash_moments(self, name: str) -> int:
        """Return at how many times something was lost since its last whole answer.

        Losses at several targets in quick succession count once: their connections may
        have been cut.
        """
        before_ms = max(
            self._sound_ms.get(name, float("-inf")), self.clock.now_ms() - KEPT_MS
        )
        count, last_ms = 0, float("-inf")
        for crash in self._by_part.get(name, ()):
            if crash.at_ms > before_ms and crash.at_ms > last_ms + CUT_MS:
                count, last_ms = count + 1, crash.at_ms
        return count

    def _is_repeated(self, name: str, crash: _Crash, next_ms: float) -> bool:
        """Return whether a crash counts with the next one, as of the same moment.

        A request that one target after the other crashed on is in all the crashes of
        that moment.
        """
        if crash.at_ms <= next_ms - SAME_MOMENT_MS:
            return False
        return not is_request(name) or any(
            abs(one.at_ms - crash.at_ms) < SAME_MOMENT_MS and name not in one.parts
            for one in self._crashes.values()
        )

    def is_guilty(self, part: str, quarantined: typing.Container[str] = ()) -> bool:
        """Return whether a part or request has to be quarantined."""
        limits = REQUEST_LIMITS if is_request(part) else PART_LIMITS
        found = self.evidence(part, quarantined)
        if found.weight >= limits.in_doubt:
            return True
        if found.weight < limits.usual or self._was_sound(part, found):
            return False
        return not any(
            self._is_rival(one, found, quarantined)
            for one in found.alternatives
            if one not in quarantined
        )

    def is_explained(self, part: str, quarantined: typing.Container[str]) -> bool:
        """Return whether something quarantined explains all crashes of a part.

        A part with even one crash of its own may be guilty as well.
        """
        is_known = self.evidence(part).crashes > 0
        return is_known and not self.evidence(part, quarantined).crashes

    def _was_sound(self, part: str, found: Evidence) -> bool:
        return self._sound_ms.get(part, float("-inf")) > found.first_ms - SOUND_MS

    def _is_rival(
        self, part: str, found: Evidence, quarantined: typing.Container[str]
    ) -> bool:
        """Return whether as much speaks against a name as was found for another."""
        own = self.evidence(part, quarantined)
        return own.weight >= found.weight and not self._was_sound(part, own)

    def guilty_parts(self, quarantined: typing.Container[str] = ()) -> list[str]:
        """Return the parts and requests that have to be quarantined and are not yet."""
        return sorted(
            part
            for part in self._by_part
            if part not in quarantined and self.is_guilty(part, quarantined)
        )

    def reports(
        self, name: str, span_ms: float, observed_only: bool
    ) -> list[datagrams.CrashReport]:
        """Return reports of the crashes of which something is new in ``span_ms``.

        With ``observed_only`` those are left out that only others have seen.
        """
        now_ms = self.clock.now_ms()
        changed_ms = {
            lifetime: crash.observed_ms or 0.0 if observed_only else crash.changed_ms
            for lifetime, crash in self._crashes.items()
        }
        recent = [one for one, at_ms in changed_ms.items() if at_ms >= now_ms - span_ms]
        recent.sort(key=lambda one: -changed_ms[one])
        return [self._report(name, one) for one in recent[:MAX_REPORTS]]

    def _report(self, name: str, lifetime: Lifetime) -> datagrams.CrashReport:
        crash = self._crashes[lifetime]
        prompts = tuple(
            datagrams.LostPrompt(
                prompt,
                lost.begun,
                {part: self.sound_ago_ms(part) for part in lost.parts},
            )
            for prompt, lost in crash.prompts.items()
        )
        age_ms = self.clock.now_ms() - crash.at_ms
        return datagrams.CrashReport(name, *lifetime, age_ms, prompts)
