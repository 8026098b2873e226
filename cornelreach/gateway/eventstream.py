"""Splitting a server-sent event stream into whole events."""

import re

MAX_EVENT_BYTES = 262_144
_END_OVERLAP = 3  # bytes before new ones that may belong to the end of an event
# Lines end in LF, CR LF or CR. A CR that is the last byte may precede an LF.
_EVENT_END = re.compile(rb"(?:\r\n|\n|\r(?=[^\n]))(?:\r\n|\n|\r(?=[^\n]))")
_STREAM_END = re.compile(rb"(?:\r\n|\n|\r)\r\Z")
_IDENTIFIER = re.compile(rb"(?:\A|[\r\n])id:([^\r\n]*)")


class EventTooLong(Exception):
    """An event does not end within ``MAX_EVENT_BYTES``."""


class EventSplitter:
    """Returns complete events and remembers the identifier of the last one.

    An incomplete event is buffered. At the end of the stream it shows that the stream
    was broken off; it is discarded if the stream continues from another target::

        splitter.feed(b"id: 7\\ndata: a\\n\\nid: 8\\nda")  # first event; last_id == "7"
    """

    def __init__(self, last_id: str | None = None) -> None:
        self.last_id = last_id
        self.has_event = False  # a whole one, since the last reset
        self._buffer = bytearray()

    def feed(self, data: bytes) -> bytes:
        """Return the events that these bytes complete; raises EventTooLong."""
        start = max(0, len(self._buffer) - _END_OVERLAP)
        self._buffer += data
        end = 0
        for match in _EVENT_END.finditer(self._buffer, start):
            end = match.end()
        if not end and len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLong(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return self._take(end)

    def finish(self) -> bytes:
        """Return the event that the end of the stream completes, if any."""
        return self._take(len(self._buffer) if _STREAM_END.search(self._buffer) else 0)

    def remainder(self) -> bytes:
        """Return the bytes after the last complete event."""
        return bytes(self._buffer)

    def reset(self) -> None:
        """Discard the incomplete event; the stream continues from another target."""
        self._buffer.clear()
        self.has_event = False

    def _take(self, end: int) -> bytes:
        complete = bytes(self._buffer[:end])
        del self._buffer[:end]
        self.has_event = self.has_event or bool(complete)
        identifiers = _IDENTIFIER.findall(complete)
        if identifiers:
            self.last_id = identifiers[-1].strip().decode("latin-1")
        return complete
