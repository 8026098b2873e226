"""Contacts in the other data centres, and which data centres are reachable."""

import random
import typing

from cornelreach.fleet import peermessages
from cornelreach.platform import results

UNREACHABLE_AFTER_MS = 8_000
MAX_CONTACTS = 16
MAX_CONTACT_MISSES = 3
EXCHANGE_INTERVAL_MS = 1_000


class RemoteDataCentres:
    """Contacts by data centre, and the time of the last reply from each data centre.

    A reply to any instance of this data centre counts; heartbeats carry its age. A data
    centre is reachable until ``UNREACHABLE_AFTER_MS`` after the last reply. Without a
    reply, that time runs from the start of this instance, which would otherwise avoid
    every other data centre at first.
    """

    def __init__(self, own_data_centre: str, rng: random.Random, now_ms: float) -> None:
        self.own_data_centre = own_data_centre
        self.rng = rng
        self._started_ms = now_ms
        self._listed: dict[str, dict[str, peermessages.Contact]] = {}
        self._discovered: dict[str, dict[str, peermessages.Contact]] = {}
        self._misses: dict[str, int] = {}
        self._answered_ms: dict[str, float] = {}
        self._next_ms = now_ms

    def names(self) -> list[str]:
        """Return the other data centres that have a known contact."""
        return sorted(name for name in {*self._listed, *self._discovered})

    def contacts(self, data_centre: str) -> dict[str, peermessages.Contact]:
        """Return the known contacts of a data centre by name."""
        return self._listed.get(data_centre, {}) | self._discovered.get(data_centre, {})

    def contact(self, instance: str) -> peermessages.Contact | None:
        """Return the contact for an instance of another data centre, or None."""
        for known in (self._discovered, self._listed):
            for contacts in known.values():
                if instance in contacts:
                    return contacts[instance]
        return None

    def set_listed(self, instances: typing.Iterable[results.Instance]) -> None:
        """Replace the listed contacts with the platform's list."""
        self._listed = {}
        for entry in instances:
            if entry.data_centre != self.own_data_centre and entry.state == "live":
                contact = peermessages.Contact(
                    entry.name, entry.peer_address, entry.data_centre
                )
                self._listed.setdefault(entry.data_centre, {})[entry.name] = contact

    def receive(self, member: peermessages.Member) -> None:
        """Add an instance named in a heartbeat; keep ``MAX_CONTACTS`` at most."""
        identity = member.identity
        contacts = self._discovered.setdefault(identity.data_centre, {})
        contacts.pop(identity.name, None)
        if member.status in (peermessages.Status.ALIVE, peermessages.Status.SUSPECT):
            contacts[identity.name] = peermessages.Contact(
                identity.name, identity.address, identity.data_centre
            )
        while len(contacts) > MAX_CONTACTS:
            del contacts[next(iter(contacts))]

    def answered(self, identity: peermessages.Identity, now_ms: float) -> None:
        """Record a reply from an instance of another data centre."""
        self._misses.pop(identity.name, None)
        self._answered_ms[identity.data_centre] = now_ms

    def unanswered(self, contact: peermessages.Contact) -> None:
        """Count a message without reply; drop the contact after several in a row."""
        self._misses[contact.name] = self._misses.get(contact.name, 0) + 1
        if self._misses[contact.name] >= MAX_CONTACT_MISSES:
            self._discovered.get(contact.data_centre, {}).pop(contact.name, None)

    def merge_reachability(
        self, reachability: tuple[peermessages.Reachability, ...], now_ms: float
    ) -> None:
        """Merge the replies that other instances of this data centre have got."""
        for entry in reachability:
            at_ms = now_ms - max(0, entry.age_ms)
            if at_ms > self._answered_ms.get(entry.data_centre, float("-inf")):
                self._answered_ms[entry.data_centre] = at_ms

    def reachability(self, now_ms: float) -> tuple[peermessages.Reachability, ...]:
        """Return the recent replies, for a message within the data centre."""
        return tuple(
            peermessages.Reachability(name, int(now_ms - at_ms))
            for name, at_ms in self._answered_ms.items()
            if now_ms - at_ms < UNREACHABLE_AFTER_MS
        )

    def reachable(self, data_centre: str, now_ms: float) -> bool:
        """Return whether a data centre is reachable at present."""
        if data_centre == self.own_data_centre:
            return True
        last_ms = self._answered_ms.get(data_centre, self._started_ms)
        return now_ms - last_ms < UNREACHABLE_AFTER_MS

    def next_contact(self, members: int, now_ms: float) -> peermessages.Contact | None:
        """Return a contact to send a heartbeat to if one is due, or None.

        The interval grows with ``members``, the number of instances here, so that each
        pair of data centres exchanges about one message per ``EXCHANGE_INTERVAL_MS``.
        """
        known = self.names()
        if not known or now_ms < self._next_ms:
            return None
        period_ms = EXCHANGE_INTERVAL_MS * max(1.0, members / len(known))
        self._next_ms = now_ms + period_ms * self.rng.uniform(0.75, 1.25)
        return self.choose_contact(self.rng.choice(known))

    def choose_contact(self, data_centre: str) -> peermessages.Contact | None:
        """Return a random contact of a data centre, preferably one that answers."""
        known = self.contacts(data_centre)
        answering = [
            contact
            for contact in known.values()
            if self._misses.get(contact.name, 0) < MAX_CONTACT_MISSES
        ]
        choices = answering or list(known.values())
        return self.rng.choice(choices) if choices else None
