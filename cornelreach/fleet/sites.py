"""The other data centres: whom to contact there, and which of them answer."""

import random
import typing

from cornelreach.fleet import news
from cornelreach.platform import results

SITE_LOST_MS = 8_000
CONTACTS = 16
CONTACT_MISSES = 3
EXCHANGE_MS = 1_000


class Sites:
    """Contacts by data centre and the time of the last answer from each.

    An answer to any instance of this data centre counts; its age travels with the
    heartbeats. A data centre counts as reachable for ``SITE_LOST_MS`` after it, and
    after the start, so that a fresh instance does not pass over all others.
    """

    def __init__(self, own: str, source: random.Random, now_ms: float) -> None:
        self.own = own
        self.source = source
        self._started_ms = now_ms
        self._listed: dict[str, dict[str, news.Contact]] = {}
        self._heard: dict[str, dict[str, news.Contact]] = {}
        self._misses: dict[str, int] = {}
        self._reached_ms: dict[str, float] = {}
        self._next_ms = now_ms

    def names(self) -> list[str]:
        """Return the other data centres that have a known contact."""
        return sorted(name for name in {*self._listed, *self._heard})

    def contacts(self, data_centre: str) -> dict[str, news.Contact]:
        """Return the known contacts of a data centre by name."""
        return self._listed.get(data_centre, {}) | self._heard.get(data_centre, {})

    def contact(self, instance: str) -> news.Contact | None:
        """Return the contact of that name in any other data centre, or None."""
        for known in (self._heard, self._listed):
            for contacts in known.values():
                if instance in contacts:
                    return contacts[instance]
        return None

    def listed(self, instances: typing.Iterable[results.Instance]) -> None:
        """Take over the platform's list."""
        self._listed = {}
        for entry in instances:
            if entry.data_centre != self.own and entry.state == "live":
                contact = news.Contact(
                    entry.name, entry.peer_address, entry.data_centre
                )
                self._listed.setdefault(entry.data_centre, {})[entry.name] = contact

    def heard(self, member: news.Member) -> None:
        """Remember an instance of another data centre, a few of each."""
        identity = member.identity
        contacts = self._heard.setdefault(identity.data_centre, {})
        contacts.pop(identity.name, None)
        if member.status in (news.Status.ALIVE, news.Status.SUSPECT):
            contacts[identity.name] = news.Contact(
                identity.name, identity.address, identity.data_centre
            )
        while len(contacts) > CONTACTS:
            del contacts[next(iter(contacts))]

    def answered(self, identity: news.Identity, now_ms: float) -> None:
        """Count an answer from another data centre."""
        self._misses.pop(identity.name, None)
        self._reached_ms[identity.data_centre] = now_ms

    def unanswered(self, contact: news.Contact) -> None:
        """Count a message without answer; a contact that keeps silent is dropped."""
        self._misses[contact.name] = self._misses.get(contact.name, 0) + 1
        if self._misses[contact.name] >= CONTACT_MISSES:
            self._heard.get(contact.data_centre, {}).pop(contact.name, None)

    def learn(self, reaches: tuple[news.Reach, ...], now_ms: float) -> None:
        """Take over what others of this data centre reached."""
        for reach in reaches:
            at_ms = now_ms - max(0, reach.age_ms)
            if at_ms > self._reached_ms.get(reach.data_centre, float("-inf")):
                self._reached_ms[reach.data_centre] = at_ms

    def reaches(self, now_ms: float) -> tuple[news.Reach, ...]:
        """Return the recent answers, for a message inside the data centre."""
        return tuple(
            news.Reach(name, int(now_ms - at_ms))
            for name, at_ms in self._reached_ms.items()
            if now_ms - at_ms < SITE_LOST_MS
        )

    def reachable(self, data_centre: str, now_ms: float) -> bool:
        """Return whether calls to a data centre get through at present."""
        if data_centre == self.own:
            return True
        last_ms = self._reached_ms.get(data_centre, self._started_ms)
        return now_ms - last_ms < SITE_LOST_MS

    def due(self, members: int, now_ms: float) -> news.Contact | None:
        """Return whom to contact now, if this instance's turn has come.

        With ``members`` instances here, each pair of data centres exchanges about
        one message in ``EXCHANGE_MS``.
        """
        known = self.names()
        if not known or now_ms < self._next_ms:
            return None
        period_ms = EXCHANGE_MS * max(1.0, members / len(known))
        self._next_ms = now_ms + period_ms * self.source.uniform(0.75, 1.25)
        return self.pick(self.source.choice(known))

    def pick(self, data_centre: str) -> news.Contact | None:
        """Return a contact of a data centre, of those that answer by preference."""
        known = self.contacts(data_centre)
        answering = [
            contact
            for contact in known.values()
            if self._misses.get(contact.name, 0) < CONTACT_MISSES
        ]
        choices = answering or list(known.values())
        return self.source.choice(choices) if choices else None
