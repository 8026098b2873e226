"""Short notes that every instance of a data centre or region should hold.

A publisher renews its note; the highest stamp of a topic holds, and a note that is not
renewed lapses. Each message carries the notes that were sent least often, up to a
number of bytes, so the traffic of a node is bounded and only the age of notes grows::

    board.publish("pool/north/m", epoch, body, now_ms)
    board.body("pool/north/m", now_ms)
"""

import typing

from cornelreach.fleet import news

LAPSE_MS = 15_000
RESENDS = 8
LOCAL_BYTES = 400
REMOTE_BYTES = 2_000
OVERHEAD_BYTES = 16


class _Note(typing.NamedTuple):
    stamp: tuple[int, int]
    body: bytes
    published_ms: float


class Board:
    """The notes that one instance holds, by topic."""

    def __init__(self) -> None:
        self._notes: dict[str, _Note] = {}
        self._sends: dict[str, int] = {}
        self._remote_turns: dict[str, int] = {}
        self._sequence = 0

    def publish(self, topic: str, epoch: int, body: bytes, now_ms: float) -> None:
        """Replace this instance's own note of a topic."""
        held = self._notes.get(topic)
        last = held.stamp[1] if held and held.stamp[0] == epoch else 0
        self._sequence = max(self._sequence, last) + 1
        self._keep(topic, _Note((epoch, self._sequence), body, now_ms))

    def learn(self, summaries: tuple[news.Summary, ...], now_ms: float) -> None:
        """Take over the notes that are newer than held."""
        for summary in summaries:
            held = self._notes.get(summary.topic)
            published_ms = now_ms - max(0, summary.age_ms)
            if held is not None and held.stamp >= tuple(summary.stamp):
                continue
            if now_ms - published_ms < LAPSE_MS:
                note = _Note(tuple(summary.stamp), summary.body, published_ms)
                self._keep(summary.topic, note)

    def body(self, topic: str, now_ms: float) -> bytes | None:
        """Return the body of a topic, or None if there is none or it has lapsed."""
        found = self.find(topic, now_ms)
        return found[0] if found is not None else None

    def find(self, topic: str, now_ms: float) -> tuple[bytes, float] | None:
        """Return body and age in milliseconds of a topic's note in force, or None."""
        note = self._notes.get(topic)
        if note is None or now_ms - note.published_ms >= LAPSE_MS:
            return None
        return note.body, now_ms - note.published_ms

    def notes(self, now_ms: float) -> dict[str, tuple[bytes, float]]:
        """Return body and age in milliseconds of every note in force."""
        return {
            topic: (note.body, now_ms - note.published_ms)
            for topic, note in self._notes.items()
            if now_ms - note.published_ms < LAPSE_MS
        }

    def message_notes(self, remote: bool, now_ms: float) -> tuple[news.Summary, ...]:
        """Return the notes for one message and count them as sent."""
        sends = self._remote_turns if remote else self._sends
        left_bytes = REMOTE_BYTES if remote else LOCAL_BYTES
        chosen = []
        for topic in sorted(sends, key=sends.__getitem__):
            note = self._notes[topic]
            size_bytes = len(topic) + len(note.body) + OVERHEAD_BYTES
            if size_bytes > left_bytes or (sends[topic] >= RESENDS and not remote):
                break
            age_ms = now_ms - note.published_ms
            if age_ms >= LAPSE_MS:
                continue
            left_bytes -= size_bytes
            sends[topic] += 1
            chosen.append(news.Summary(topic, note.stamp, note.body, int(age_ms)))
        return tuple(chosen)

    def sweep(self, now_ms: float) -> None:
        """Forget lapsed notes."""
        for topic in list(self._notes):
            if now_ms - self._notes[topic].published_ms >= LAPSE_MS:
                del self._notes[topic]
                self._sends.pop(topic, None)
                self._remote_turns.pop(topic, None)

    def _keep(self, topic: str, note: _Note) -> None:
        self._notes[topic] = note
        self._sends[topic] = 0
        self._remote_turns.setdefault(topic, 0)
