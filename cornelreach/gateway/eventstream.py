"""Cutting an event stream at the ends of its events, so that it can be resumed."""

END = b"\n\n"


class Cutter:
    """Passes complete events on and remembers the identifier of the last one.

    A rest that is not a complete event stays behind and is dropped when the stream
    is continued elsewhere::

        cutter.feed(b"id: 7\\ndata: a\\n\\nid: 8\\nda")  # first event; last_id == "7"
    """

    def __init__(self, last_id: str | None = None) -> None:
        self.last_id = last_id
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """Return the events that are complete with these bytes."""
        # A line may end in CR LF; the blank line between events then does too.
        self._rest += data
        cut = max(
            self._rest.rfind(END) + len(END) if END in self._rest else 0,
            self._rest.rfind(b"\r\n\r\n") + 4 if b"\r\n\r\n" in self._rest else 0,
        )
        whole, self._rest = self._rest[:cut], self._rest[cut:]
        self._remember(whole)
        return whole

    def rest(self) -> bytes:
        """Return the bytes behind the last complete event."""
        return self._rest

    def restart(self) -> None:
        """Drop the incomplete event; the stream goes on from another target."""
        self._rest = b""

    def _remember(self, whole: bytes) -> None:
        at = max(whole.rfind(b"\nid:"), 0 if whole.startswith(b"id:") else -1)
        if at < 0:
            return
        line = whole[at:].lstrip(b"\n").split(b"\n", 1)[0]
        self.last_id = line.removeprefix(b"id:").strip().decode("latin-1")
