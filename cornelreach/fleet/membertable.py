"""Table of the known instances of one data centre, and which updates to send next."""

import math
import typing

from cornelreach.fleet import peermessages

UPDATES_PER_MESSAGE = 6
ROUND_ROBIN_PER_MESSAGE = 1
RESEND_FACTOR = 3
MAX_FULL_UPDATES = 400


class MemberTable:
    """Members by name; a member is replaced only by one of higher precedence."""

    def __init__(self) -> None:
        self.members: dict[str, peermessages.Member] = {}
        self._sends: dict[str, int] = {}
        self._cursor = 0

    def update(self, member: peermessages.Member) -> peermessages.Member | None:
        """Store a member if its precedence is higher; return the previous one.

        Returns the member itself if the name was unknown, None if nothing changed.
        """
        name = member.identity.name
        held = self.members.get(name)
        if held is not None and held.precedence >= member.precedence:
            return None
        self.members[name] = member
        self._sends[name] = 0
        return held if held is not None else member

    def remove(self, name: str) -> None:
        """Remove an instance by name."""
        self.members.pop(name, None)
        self._sends.pop(name, None)

    def not_dead(self) -> list[peermessages.Member]:
        """Return the members that are not dead."""
        return [
            member
            for member in self.members.values()
            if member.status != peermessages.Status.DEAD
        ]

    def message_updates(self) -> tuple[peermessages.Member, ...]:
        """Return the members to send in the next message, and count them as sent.

        These are the least sent recent updates, plus entries of the table in turn.
        """
        limit = RESEND_FACTOR * math.ceil(math.log2(len(self.members) + 2))
        for name in [name for name, sent in self._sends.items() if sent >= limit]:
            del self._sends[name]
        recent = sorted(self._sends, key=self._sends.__getitem__)[:UPDATES_PER_MESSAGE]
        for name in recent:
            self._sends[name] += 1
        chosen = dict.fromkeys([*recent, *self._round_robin()])
        return tuple(self.members[name] for name in chosen)

    def full_updates(self) -> tuple[peermessages.Member, ...]:
        """Return all members, up to a limit."""
        return tuple(self.members.values())[:MAX_FULL_UPDATES]

    def _round_robin(self) -> typing.Iterator[str]:
        names = list(self.members)
        for _ in range(min(ROUND_ROBIN_PER_MESSAGE, len(names))):
            self._cursor = (self._cursor + 1) % len(names)
            yield names[self._cursor]
