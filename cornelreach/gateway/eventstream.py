"""Splitting a server-sent event stream into whole events, so that it can resume."""

END = b"\n\n"


class EventSplitter:
    """Returns complete events and remembers the identifier of the last one.

    An incomplete event at the end is buffered, and discarded if the stream is continued
    from another target::

        splitter.feed(b"id: 7\\ndata: a\\n\\nid: 8\\nda")  # first event; last_id == "7"
    """

    def __init__(self, last_id: str | None = None) -> None:
        self.last_id = last_id
        self._buffer = b""

    def feed(self, data: bytes) -> bytes:
        """Return the events that these bytes complete."""
        # Lines, and so the blank line between two events, may also end in CR LF.
        self._buffer += data
        end = max(
            self._buffer.rfind(END) + len(END) if END in self._buffer else 0,
            self._buffer.rfind(b"\r\n\r\n") + 4 if b"\r\n\r\n" in self._buffer else 0,
        )
        complete, self._buffer = self._buffer[:end], self._buffer[end:]
        self._update_last_id(complete)
        return complete

    def remainder(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._buffer

    def reset(self) -> None:
        """Discard the incomplete event; the stream continues from another target."""
        self._buffer = b""

    def _update_last_id(self, complete: bytes) -> None:
        at = max(complete.rfind(b"\nid:"), 0 if complete.startswith(b"id:") else -1)
        if at < 0:
            return
        line = complete[at:].lstrip(b"\n").split(b"\n", 1)[0]
        self.last_id = line.removeprefix(b"id:").strip().decode("latin-1")
