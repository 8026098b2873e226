"""Take-out and bring-back given directly to an instance, with the platform away.

A directive names the version of the item that its operator saw and the directives it
replaces. Those that nothing replaces are heads, and so is the platform's item unless a
head was decided on it. If the heads disagree, out of service wins until an operator
who sees both brings the subject back. Whoever reaches the platform writes the outcome
into the item together with the idents of the directives, by conditional write; an item
that names a directive has met it, and the directive is dropped. So both changes stay
on record and neither undoes the other unseen. Field ``merge`` of an item tells what
the write of a merge was decided on; any other write of the item drops it::

    directives.give("settings/data-centre/north", "taken_out", "fire", "ana", wall_ms)
    directives.effective("settings/data-centre/north")
"""

import typing
import uuid

from returns import result

from cornelreach.fleet import news
from cornelreach.settings import items, state as state_module

IN_SERVICE = "in_service"
STATES = {
    "data-centre": (IN_SERVICE, "taken_out"),
    "target": (IN_SERVICE, "leaving"),
}
MERGE_FIELD = "merge"
MERGED_KEPT = 256
MESSAGE_DIRECTIVES = 16


class Refused(typing.NamedTuple):
    """A directive that makes no sense, and what to do instead."""

    message: str
    remedy: str


class Merge(typing.NamedTuple):
    """A conditional write that brings directives into the platform's item."""

    key: str
    if_version: int
    value: dict[str, typing.Any]


class Directives:
    """The directives that one instance holds until the platform's items name them."""

    def __init__(self, state: state_module.State) -> None:
        self.state = state
        self._held: dict[str, news.Directive] = {}
        state.subscribe(lambda changed: self._retire())

    def give(
        self, subject: str, state: str, reason: str, operator: str, wall_ms: float
    ) -> result.Result[news.Directive, Refused]:
        """Take an operator's order; it is in force here at once."""
        allowed = STATES.get(items.kind_of(subject), ())
        if state not in allowed:
            text = f"{subject} cannot be put into state {state!r}"
            remedy = f"use one of {', '.join(allowed) or 'data-centre, target'}"
            return result.Failure(Refused(text, remedy))
        entry = self.state.get(subject)
        if entry is None or entry.value is None:
            text = f"{subject} is not in the settings held here"
            return result.Failure(Refused(text, "check the name with `get`"))
        if not reason.strip():
            return result.Failure(Refused("there is no reason", "give a reason"))
        known = tuple(sorted(held.ident for held in self._of(subject)))
        directive = news.Directive(
            uuid.uuid4().hex[:16],
            subject,
            state,
            reason,
            operator,
            int(wall_ms),
            entry.version,
            known,
        )
        self._held[directive.ident] = directive
        return result.Success(directive)

    def learn(self, directives: tuple[news.Directive, ...]) -> None:
        """Take over the directives of a peer's message."""
        for directive in directives:
            if directive.ident not in self._held and not self._met(directive):
                self._held[directive.ident] = directive

    def message_directives(self) -> tuple[news.Directive, ...]:
        """Return the directives that each message carries, the latest ones."""
        held = sorted(self._held.values(), key=lambda found: found.given_wall_ms)
        return tuple(held[-MESSAGE_DIRECTIVES:])

    def effective(self, subject: str) -> str | None:
        """Return the state in force, or None if no directive concerns the subject."""
        heads = self.heads(subject)
        if not heads:
            return None
        states = [head.state for head in heads]
        entry = self.state.get(subject)
        if entry is not None and not any(_covers(head, entry) for head in heads):
            states.append((entry.value or {}).get("state", IN_SERVICE))
        out = sorted(state for state in states if state != IN_SERVICE)
        return out[0] if out else IN_SERVICE

    def heads(self, subject: str) -> list[news.Directive]:
        """Return the directives of a subject that no other one replaces."""
        found = self._of(subject)
        replaced = {ident for held in found for ident in held.replaces}
        return [held for held in found if held.ident not in replaced]

    def merges(self) -> tuple[Merge, ...]:
        """Return the writes that bring the held directives to the platform."""
        subjects = sorted({held.subject for held in self._held.values()})
        return tuple(filter(None, map(self._merge, subjects)))

    def _merge(self, subject: str) -> Merge | None:
        entry = self.state.get(subject)
        heads = self.heads(subject)
        if entry is None or entry.value is None or not heads:
            return None
        state = self.effective(subject)
        merged = [*entry.value.get("directives", ()), *self._idents(subject)]
        value = entry.value | {
            "state": state,
            "reason": _reason(entry.value, heads, state),
            "directives": merged[-MERGED_KEPT:],
            MERGE_FIELD: {"base": entry.version, "idents": self._idents(subject)},
        }
        return Merge(subject, entry.version, value)

    def _idents(self, subject: str) -> list[str]:
        held = sorted(self._of(subject), key=lambda found: found.given_wall_ms)
        replaced = [ident for found in held for ident in found.replaces]
        return list(dict.fromkeys([*replaced, *(found.ident for found in held)]))

    def _of(self, subject: str) -> list[news.Directive]:
        return [held for held in self._held.values() if held.subject == subject]

    def _met(self, directive: news.Directive) -> bool:
        entry = self.state.get(directive.subject)
        if entry is None:
            return False
        if entry.value is None:
            return entry.version > directive.base
        return directive.ident in entry.value.get("directives", ())

    def _retire(self) -> None:
        for directive in list(self._held.values()):
            if self._met(directive):
                del self._held[directive.ident]


def _covers(head: news.Directive, entry: state_module.Entry) -> bool:
    """Return whether a directive was decided with an item's content in view.

    So it was if it saw that version, or all that a merge wrote into it.
    """
    if head.base >= entry.version:
        return True
    merge = (entry.value or {}).get(MERGE_FIELD)
    if not merge or head.base < merge["base"]:
        return False
    return set(merge["idents"]) <= set(head.replaces)


def _reason(
    value: dict[str, typing.Any], heads: list[news.Directive], state: str
) -> str:
    told = [f"{head.reason} ({head.operator})" for head in heads if head.state == state]
    unmet = [
        f"{head.operator} asked for {head.state}, not knowing of this: {head.reason}"
        for head in heads
        if head.state != state
    ]
    if unmet and value.get("state", IN_SERVICE) == state and value.get("reason"):
        told.insert(0, value["reason"])
    return "; ".join(dict.fromkeys([*told, *unmet]))
