"""Short notes that are spread to the instances of a data centre or region by gossip.

A publisher renews its note regularly. The note with the highest stamp of a topic is
valid, and one that is not renewed expires. Each message carries the notes that were
sent least often, up to a number of bytes: with more notes, the traffic of a node stays
bounded and only the age of the notes grows::

    notes.publish("pool/north/m", epoch, body, now_ms)
    notes.body("pool/north/m", now_ms)
"""

import typing

from cornelreach.fleet import peermessages

NOTE_TTL_MS = 15_000
MAX_LOCAL_SENDS = 8
LOCAL_MESSAGE_BYTES = 400
REMOTE_MESSAGE_BYTES = 2_000
NOTE_OVERHEAD_BYTES = 16


class _StoredNote(typing.NamedTuple):
    stamp: tuple[int, int]
    body: bytes
    published_ms: float


class NoteTable:
    """The notes that one instance holds, by topic."""

    def __init__(self) -> None:
        self._notes: dict[str, _StoredNote] = {}
        self._local_sends: dict[str, int] = {}
        self._remote_sends: dict[str, int] = {}
        self._sequence = 0

    def publish(self, topic: str, epoch: int, body: bytes, now_ms: float) -> None:
        """Replace this instance's own note of a topic."""
        held = self._notes.get(topic)
        last_sequence = held.stamp[1] if held and held.stamp[0] == epoch else 0
        self._sequence = max(self._sequence, last_sequence) + 1
        self._store(topic, _StoredNote((epoch, self._sequence), body, now_ms))

    def merge(self, notes: tuple[peermessages.Note, ...], now_ms: float) -> None:
        """Store the notes of a peer that are newer than the held ones."""
        for received in notes:
            held = self._notes.get(received.topic)
            published_ms = now_ms - max(0, received.age_ms)
            if held is not None and held.stamp >= tuple(received.stamp):
                continue
            if now_ms - published_ms < NOTE_TTL_MS:
                note = _StoredNote(tuple(received.stamp), received.body, published_ms)
                self._store(received.topic, note)

    def body(self, topic: str, now_ms: float) -> bytes | None:
        """Return the body of a topic's note, or None if it is missing or expired."""
        found = self.find(topic, now_ms)
        return found[0] if found is not None else None

    def find(self, topic: str, now_ms: float) -> tuple[bytes, float] | None:
        """Return body and age in milliseconds of a topic's current note, or None."""
        note = self._notes.get(topic)
        if note is None or now_ms - note.published_ms >= NOTE_TTL_MS:
            return None
        return note.body, now_ms - note.published_ms

    def notes(self, now_ms: float) -> dict[str, tuple[bytes, float]]:
        """Return body and age in milliseconds of every current note by topic."""
        return {
            topic: (note.body, now_ms - note.published_ms)
            for topic, note in self._notes.items()
            if now_ms - note.published_ms < NOTE_TTL_MS
        }

    def message_notes(
        self, remote: bool, now_ms: float
    ) -> tuple[peermessages.Note, ...]:
        """Return the notes for the next message, and count them as sent."""
        sends = self._remote_sends if remote else self._local_sends
        remaining_bytes = REMOTE_MESSAGE_BYTES if remote else LOCAL_MESSAGE_BYTES
        chosen = []
        for topic in sorted(sends, key=sends.__getitem__):
            note = self._notes[topic]
            size_bytes = len(topic) + len(note.body) + NOTE_OVERHEAD_BYTES
            if size_bytes > remaining_bytes or (
                sends[topic] >= MAX_LOCAL_SENDS and not remote
            ):
                break
            age_ms = now_ms - note.published_ms
            if age_ms >= NOTE_TTL_MS:
                continue
            remaining_bytes -= size_bytes
            sends[topic] += 1
            chosen.append(peermessages.Note(topic, note.stamp, note.body, int(age_ms)))
        return tuple(chosen)

    def remove_expired(self, now_ms: float) -> None:
        """Remove expired notes."""
        for topic in list(self._notes):
            if now_ms - self._notes[topic].published_ms >= NOTE_TTL_MS:
                del self._notes[topic]
                self._local_sends.pop(topic, None)
                self._remote_sends.pop(topic, None)

    def _store(self, topic: str, note: _StoredNote) -> None:
        self._notes[topic] = note
        self._local_sends[topic] = 0
        self._remote_sends.setdefault(topic, 0)
