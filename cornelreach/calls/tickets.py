"""Tickets: keys whose calls only the boot that issued them may run.

A ticket needs no claim in the platform: its key names the instance and the boot, and
every other instance forwards the call there or refuses it::

    key = issue("lj-north-1", boot, clock.now_ms())
    parse(key)  # Ticket("lj-north-1", boot, issued_ms)
"""

import secrets
import typing

from cornelreach.calls import localattempts
from cornelreach.util import decoding

PREFIX = "ticket"
VALID_MS = 3_600_000
KEEP_MS = 2 * VALID_MS
MAX_TICKETS = 50_000
NONCE_BYTES = 9


class Ticket(typing.NamedTuple):
    """The boot that may run the call, and its monotonic time of issue."""

    instance: str
    boot: str
    issued_ms: int


def issue(instance: str, boot: str, now_ms: float) -> str:
    """Return a new key."""
    nonce = secrets.token_hex(NONCE_BYTES)
    return f"{PREFIX}~{instance}~{boot}~{int(now_ms)}~{nonce}"


def parse(key: str) -> Ticket | None:
    """Return the ticket in a key, or None for a key of the caller's own."""
    parts = key.split("~")
    if len(parts) != 5 or parts[0] != PREFIX or not decoding.is_number(parts[3]):
        return None
    return Ticket(parts[1], parts[2], int(parts[3]))


class TicketUse(typing.NamedTuple):
    """The use of a ticket; it can be used only once."""

    body_digest: bytes
    attempt: localattempts.LocalAttempt
    issued_ms: int


class UsedTickets:
    """The tickets used at this boot, kept for longer than a ticket is valid."""

    def __init__(self) -> None:
        self._uses: dict[bytes, TicketUse] = {}

    def find(self, key: bytes) -> TicketUse | None:
        """Return the use of a ticket."""
        return self._uses.get(key)

    def add(self, key: bytes, use: TicketUse, now_ms: float) -> bool:
        """Record a use; False if too many are stored."""
        if len(self._uses) >= MAX_TICKETS:
            self._prune(now_ms - KEEP_MS)
        if len(self._uses) >= MAX_TICKETS and key not in self._uses:
            return False
        self._uses[key] = use
        return True

    def _prune(self, before_ms: float) -> None:
        expired = [key for key, use in self._uses.items() if use.issued_ms < before_ms]
        for key in expired:
            del self._uses[key]
