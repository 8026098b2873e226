"""The table of known instances of one data centre, and which news of it to pass on."""

import math
import typing

from cornelreach.fleet import news

NEWS_PER_MESSAGE = 6
TRICKLE_PER_MESSAGE = 1
RESEND_FACTOR = 3
FULL_LIMIT = 400


class Members:
    """Statements by name; each is replaced only by one of higher precedence."""

    def __init__(self) -> None:
        self.members: dict[str, news.Member] = {}
        self._sends: dict[str, int] = {}
        self._cursor = 0

    def learn(self, member: news.Member) -> news.Member | None:
        """Take a statement over if it is news; return what was held before it.

        Returns the statement itself when there was none, None when it is not news.
        """
        name = member.identity.name
        held = self.members.get(name)
        if held is not None and held.precedence >= member.precedence:
            return None
        self.members[name] = member
        self._sends[name] = 0
        return held if held is not None else member

    def forget(self, name: str) -> None:
        """Drop a name."""
        self.members.pop(name, None)
        self._sends.pop(name, None)

    def present(self) -> list[news.Member]:
        """Return the members that are not dead."""
        return [
            member
            for member in self.members.values()
            if member.status != news.Status.DEAD
        ]

    def message_news(self) -> tuple[news.Member, ...]:
        """Return the least sent news and a few entries in turn; counts them as sent."""
        limit = RESEND_FACTOR * math.ceil(math.log2(len(self.members) + 2))
        for name in [name for name, sent in self._sends.items() if sent >= limit]:
            del self._sends[name]
        hot = sorted(self._sends, key=self._sends.__getitem__)[:NEWS_PER_MESSAGE]
        for name in hot:
            self._sends[name] += 1
        chosen = dict.fromkeys([*hot, *self._trickle()])
        return tuple(self.members[name] for name in chosen)

    def full_news(self) -> tuple[news.Member, ...]:
        """Return all statements, up to a limit."""
        return tuple(self.members.values())[:FULL_LIMIT]

    def _trickle(self) -> typing.Iterator[str]:
        names = list(self.members)
        for _ in range(min(TRICKLE_PER_MESSAGE, len(names))):
            self._cursor = (self._cursor + 1) % len(names)
            yield names[self._cursor]
