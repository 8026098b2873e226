"""Directives that operators give directly to an instance while the platform is down.

A directive takes a data centre or target out of service or brings it back. It carries
the version of the platform's item that it was based on and the IDs of the directives
that it replaces. Directives that no other one replaces are heads. The platform's item
counts as a head too, unless one of the heads was based on it. If the heads disagree,
the subject stays out of service until an operator who has seen all of them brings it
back.

An instance that reaches the platform merges the result into the item by a conditional
write, together with the IDs of the directives. Once an item contains the ID of a
directive, the directive is dropped. Both concurrent changes thus stay on record, and
neither silently undoes the other. Field ``merge`` of an item records what its merge was
based on; any other write of the item drops the field::

    directives.issue("settings/data-centre/north", "taken_out", "fire", "ana", wall_ms)
    directives.effective("settings/data-centre/north")
"""

import typing
import uuid

from returns import result

from cornelreach.fleet import peermessages
from cornelreach.settings import items, state as state_module

IN_SERVICE = "in_service"
ALLOWED_STATES = {
    "data-centre": (IN_SERVICE, "taken_out"),
    "target": (IN_SERVICE, "leaving"),
}
MERGE_FIELD = "merge"
MAX_MERGED_IDS = 256
DIRECTIVES_PER_MESSAGE = 16


class Refused(typing.NamedTuple):
    """Why a directive was rejected, and what to do instead."""

    message: str
    remedy: str


class Merge(typing.NamedTuple):
    """A conditional write that merges directives into the platform's item."""

    key: str
    if_version: int
    value: dict[str, typing.Any]


class Directives:
    """The directives that one instance holds until the platform's items have them."""

    def __init__(self, state: state_module.State) -> None:
        self.state = state
        self._held: dict[str, peermessages.Directive] = {}
        state.subscribe(lambda changed: self._drop_merged())

    def issue(
        self, subject: str, state: str, reason: str, operator: str, wall_ms: float
    ) -> result.Result[peermessages.Directive, Refused]:
        """Add an operator's directive; it takes effect on this instance at once."""
        allowed = ALLOWED_STATES.get(items.kind_of(subject), ())
        if state not in allowed:
            text = f"{subject} cannot be put into state {state!r}"
            remedy = f"use one of {', '.join(allowed) or 'data-centre, target'}"
            return result.Failure(Refused(text, remedy))
        entry = self.state.get(subject)
        if entry is None or entry.value is None:
            text = f"{subject} is not in the settings held here"
            return result.Failure(Refused(text, "check the name with `get`"))
        if not reason.strip():
            return result.Failure(Refused("the reason is empty", "give a reason"))
        known_ids = tuple(sorted(held.ident for held in self._on_subject(subject)))
        directive = peermessages.Directive(
            uuid.uuid4().hex[:16],
            subject,
            state,
            reason,
            operator,
            int(wall_ms),
            entry.version,
            known_ids,
        )
        self._held[directive.ident] = directive
        return result.Success(directive)

    def receive(self, directives: tuple[peermessages.Directive, ...]) -> None:
        """Add the directives of a peer's message."""
        for directive in directives:
            if directive.ident not in self._held and not self._is_merged(directive):
                self._held[directive.ident] = directive

    def directives_for_message(self) -> tuple[peermessages.Directive, ...]:
        """Return the latest directives, which each message carries."""
        held = sorted(self._held.values(), key=lambda found: found.given_wall_ms)
        return tuple(held[-DIRECTIVES_PER_MESSAGE:])

    def effective(self, subject: str) -> str | None:
        """Return the state in force, or None without a directive on the subject."""
        heads = self.heads(subject)
        if not heads:
            return None
        states = [head.state for head in heads]
        entry = self.state.get(subject)
        if entry is not None and not any(_based_on(head, entry) for head in heads):
            states.append((entry.value or {}).get("state", IN_SERVICE))
        out_of_service = sorted(state for state in states if state != IN_SERVICE)
        return out_of_service[0] if out_of_service else IN_SERVICE

    def heads(self, subject: str) -> list[peermessages.Directive]:
        """Return the directives on a subject that no other one replaces."""
        found = self._on_subject(subject)
        replaced = {ident for held in found for ident in held.replaces}
        return [held for held in found if held.ident not in replaced]

    def pending_merges(self) -> tuple[Merge, ...]:
        """Return the writes that merge the held directives into the platform."""
        subjects = sorted({held.subject for held in self._held.values()})
        return tuple(filter(None, map(self._merge_of, subjects)))

    def _merge_of(self, subject: str) -> Merge | None:
        entry = self.state.get(subject)
        heads = self.heads(subject)
        if entry is None or entry.value is None or not heads:
            return None
        state = self.effective(subject)
        merged = [*entry.value.get("directives", ()), *self._directive_ids(subject)]
        value = entry.value | {
            "state": state,
            "reason": _reason(entry.value, heads, state),
            "directives": merged[-MAX_MERGED_IDS:],
            MERGE_FIELD: {
                "base": entry.version,
                "idents": self._directive_ids(subject),
            },
        }
        return Merge(subject, entry.version, value)

    def _directive_ids(self, subject: str) -> list[str]:
        held = sorted(self._on_subject(subject), key=lambda found: found.given_wall_ms)
        replaced = [ident for found in held for ident in found.replaces]
        return list(dict.fromkeys([*replaced, *(found.ident for found in held)]))

    def _on_subject(self, subject: str) -> list[peermessages.Directive]:
        return [held for held in self._held.values() if held.subject == subject]

    def _is_merged(self, directive: peermessages.Directive) -> bool:
        entry = self.state.get(directive.subject)
        if entry is None:
            return False
        if entry.value is None:
            return entry.version > directive.base
        return directive.ident in entry.value.get("directives", ())

    def _drop_merged(self) -> None:
        for directive in list(self._held.values()):
            if self._is_merged(directive):
                del self._held[directive.ident]


def _based_on(head: peermessages.Directive, entry: state_module.Entry) -> bool:
    """Return whether a directive took an item's content into account.

    It did if it was based on this version of the item. It also did if it replaces all
    directives that a merge wrote into the item, and its base is not older than the
    version on which the merge was based.
    """
    if head.base >= entry.version:
        return True
    merge = (entry.value or {}).get(MERGE_FIELD)
    if not merge or head.base < merge["base"]:
        return False
    return set(merge["idents"]) <= set(head.replaces)


def _reason(
    value: dict[str, typing.Any], heads: list[peermessages.Directive], state: str
) -> str:
    reasons = [
        f"{head.reason} ({head.operator})" for head in heads if head.state == state
    ]
    overruled = [
        f"{head.operator} asked for {head.state}, not knowing of this: {head.reason}"
        for head in heads
        if head.state != state
    ]
    if overruled and value.get("state", IN_SERVICE) == state and value.get("reason"):
        reasons.insert(0, value["reason"])
    return "; ".join(dict.fromkeys([*reasons, *overruled]))
