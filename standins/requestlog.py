"""What the stand-in engines have received and said, for checks afterwards.

request_log = RequestLog()
engine = wireengine.WireEngine("engine-1", "pool", request_log, source)
request_log.runs()["id-1"]  # the arrivals of a request that ran
"""

import typing


class Arrival(typing.NamedTuple):
    """One request received by an engine; ``refused`` if it was not run.

    ``poison`` names a request that crashes engines.
    """

    request_id: str
    engine: str
    at_s: float
    refused: bool
    account: str
    version: int
    cold: bool
    resumed_from: int
    line: str
    born: int = 0
    misdirected: bool = False
    parts: tuple[str, ...] = ()
    poison: str = ""


class OrderRecord(typing.NamedTuple):
    """One order received by an engine."""

    engine: str
    born: int
    holder: str
    fence: int
    at_s: float


class Notice(typing.NamedTuple):
    """An answer that says that its engine leaves, rests until a time, or has a limit.

    ``request_id`` is that of the request it answered, empty for a control call;
    ``per_s`` is the limit.
    """

    kind: str
    request_id: str
    engine: str
    born: int
    at_s: float
    until_s: float
    per_s: float = 0.0


class Crash(typing.NamedTuple):
    """The crash of an engine by a poisoned part of a prompt, or a whole request."""

    part: str
    engine: str
    at_s: float


class Failure(typing.NamedTuple):
    """A request that an engine ran and answered with an error of its own."""

    request_id: str
    engine: str
    at_s: float


class Reset(typing.NamedTuple):
    """A response without a length that its engine reset before its end."""

    request_id: str
    engine: str
    at_s: float


class PartialFetch(typing.NamedTuple):
    """A part that was fetched from a prompt store while it was being written."""

    request_id: str
    part: str
    epoch: int
    at_s: float


class RequestLog:
    """The requests and orders that all engines have received, and their notices.

    Prompts with a part in ``poisoned_parts``, unless it is their last, crash each
    engine that begins to answer, and so do requests with a target and body in
    ``poisoned_requests``, which has their names. Those in ``slow_requests`` take
    longer.
    """

    def __init__(self) -> None:
        self.poisoned_parts: set[str] = set()
        self.poisoned_requests: dict[tuple[str, bytes], str] = {}
        self.slow_requests: set[tuple[str, bytes]] = set()
        self.crashes: list[Crash] = []
        self.partial_fetches: list[PartialFetch] = []
        self.resets: list[Reset] = []
        self.failures: list[Failure] = []
        self.notices: list[Notice] = []
        self.arrivals: list[Arrival] = []
        self.orders: list[OrderRecord] = []
        self.leaked_keys: list[str] = []

    def runs(self) -> dict[str, list[Arrival]]:
        """Return the arrivals that ran, by request id."""
        found: dict[str, list[Arrival]] = {}
        for one in self.arrivals:
            if not one.refused:
                found.setdefault(one.request_id, []).append(one)
        return found
