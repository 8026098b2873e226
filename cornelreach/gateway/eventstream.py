"""Splitting a server-sent event stream into whole events."""

import re

from cornelreach.util import decoding

MAX_EVENT_BYTES = 262_144
_END_OVERLAP = 3  # bytes before new ones that may belong to the end of an event
# Lines end in LF, CR LF or CR. A CR that is the last byte may precede an LF.
_EVENT_END = re.compile(rb"(?:\r\n|\n|\r(?=[^\n]))(?:\r\n|\n|\r(?=[^\n]))")
_STREAM_END = re.compile(rb"(?:\r\n|\n|\r)\r\Z")
_COMMENT = b":"
_IDENTIFIER = re.compile(rb"(?:\A|[\r\n])id:([^\r\n]*)")


class EventTooLong(Exception):
    """An event does not end within ``MAX_EVENT_BYTES``."""


class NotContinued(Exception):
    """What another target sent is not the rest of the stream."""


class EventSplitter:
    """Returns complete events and remembers the identifier of the last one.

    An incomplete event is buffered. At the end of the stream it shows that the stream
    was broken off; it is discarded if the stream continues from another target, whose
    events must bear increasing identifiers::

        splitter.feed(b"id: 7\\ndata: a\\n\\nid: 8\\nda")  # first event; last_id == "7"

    ``count`` is the number of identifiers in the events so far, and ``is_identified``
    tells whether the last event bears one, so that the stream can go on behind it.
    """

    def __init__(self, last_id: str | None = None) -> None:
        self.last_id = last_id
        self.has_event = False  # a whole one, since the last reset
        self.count = 0
        self.is_identified = True
        self._is_continued = False
        self._buffer = bytearray()

    def feed(self, data: bytes) -> bytes:
        """Return the events that these bytes complete.

        Raises EventTooLong, or NotContinued if they are no rest of the stream.
        """
        start = max(0, len(self._buffer) - _END_OVERLAP)
        self._buffer += data
        begin = end = 0
        for match in _EVENT_END.finditer(self._buffer, start):
            begin, end = end, match.end()
        if not end and len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLong(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return self._take(end, begin)

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
        self._is_continued = True

    def _take(self, end: int, last_begin: int = 0) -> bytes:
        complete = bytes(self._buffer[:end])
        del self._buffer[:end]
        if not complete:
            return complete
        if self._is_continued:
            self._check_continued(complete)
        self.has_event = True
        found = [*_IDENTIFIER.finditer(complete)]
        if found:
            self.count += len(found)
            self.last_id = found[-1].group(1).strip().decode("latin-1")
        if not complete.startswith(_COMMENT, last_begin):
            self.is_identified = bool(found) and found[-1].end() > last_begin
        return complete

    def _check_continued(self, complete: bytes) -> None:
        last_id = self.last_id
        for event in filter(None, _EVENT_END.split(complete)):
            if event.startswith(_COMMENT):
                continue
            found = _IDENTIFIER.findall(event)
            if not found:
                raise NotContinued("an event of the continuation has no identifier")
            next_id = found[-1].strip().decode("latin-1")
            if not _increases(last_id, next_id):
                raise NotContinued(f"event {next_id!r} comes behind {last_id!r}")
            last_id = next_id


def _increases(last_id: str | None, next_id: str) -> bool:
    """Return whether an identifier may follow another; only numbers can be compared."""
    if last_id is None or not decoding.is_number(last_id):
        return next_id != last_id
    return decoding.is_number(next_id) and int(next_id) > int(last_id)
