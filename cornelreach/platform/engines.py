"""Control calls to model engines: status reports and version changes."""

import enum
import typing

import msgspec

from cornelreach.gateway import calls
from cornelreach.http import client as http_client
from cornelreach.platform import headers
from cornelreach.util import decoding

REPORT = "/api/report"
ORDER = "/api/order"
CALL_WAIT_MS = 1_000


class RunPolicy(enum.StrEnum):
    """What happens to the runs in progress when an order arrives."""

    WAIT = "wait"
    RETAIN = "retain"


class Report(typing.NamedTuple):
    """Status of an engine, a few hundred milliseconds old.

    ``orders`` is the number of orders it has accepted, ``requests`` the number of
    requests that it runs or has queued, ``born_ms`` when its lifetime began, 0 if it
    does not tell.
    """

    versions: typing.Mapping[str, int]
    busy: bool
    orders: int
    requests: int
    born_ms: int = 0


class _Model(typing.TypedDict):
    name: str
    version: decoding.Whole


class _Report(typing.TypedDict):
    """``sequence`` is the number of orders that the engine has accepted."""

    models: list[_Model]
    busy: bool
    sequence: decoding.Whole
    queued: decoding.Whole
    running: decoding.Whole
    born: typing.NotRequired[decoding.Whole]


class Order(typing.NamedTuple):
    """Order to an engine to load a version of a model's weights.

    ``expected_orders`` is its precondition: the number of orders that the engine must
    have accepted before.
    """

    target: str
    model: str
    version: int
    holder: str
    fence: int
    expected_orders: int
    runs: RunPolicy


OnReply = typing.Callable[[str, calls.Reply], None]


def _ignore_reply(address: str, reply: calls.Reply) -> None:
    """Ignore what an answer says of its sender."""


class EngineClient:
    """Client for the control API of engines.

    ``on_reply`` is called with the address and the head of every answer.
    """

    def __init__(
        self, http: http_client.Client, on_reply: OnReply = _ignore_reply
    ) -> None:
        self.http = http
        self.on_reply = on_reply

    async def report(
        self, address: str, wait_ms: float = CALL_WAIT_MS
    ) -> Report | None:
        """Return an engine's report, or None if there is no valid one in time."""
        parsed_address = http_client.parse_address(address)
        try:
            status, body, fields = await self.http.call(
                parsed_address,
                "GET",
                REPORT,
                wait_ms=wait_ms,
                matches=headers.control_matcher,
            )
            self.on_reply(address, headers.read_reply(status, fields))
            if status != 200:
                return None
            found = msgspec.json.decode(body, type=_Report)
        except (
            http_client.RequestNotSent,
            http_client.ResponseLost,
            *decoding.DECODE_ERRORS,
        ):
            return None
        versions = {model["name"]: model["version"] for model in found["models"]}
        requests = found["queued"] + found["running"]
        born_ms = found.get("born", 0)
        return Report(versions, found["busy"], found["sequence"], requests, born_ms)

    async def order(
        self, address: str, order: Order, before_write: typing.Callable[[], None]
    ) -> int:
        """Send an order and return the HTTP status, or 0 if no response came.

        ``before_write`` is called right before the first byte is written; if it raises,
        the order is not sent.
        """
        body = {
            "op": "version",
            "model": order.model,
            "version": order.version,
            "method": order.runs.value,
            "holder": order.holder,
            "fence": order.fence,
            "precondition": order.expected_orders,
        }
        fields = (
            (b"content-type", b"application/json"),
            (headers.TARGET, order.target.encode()),
        )
        try:
            status, _, answered = await self.http.call(
                http_client.parse_address(address),
                "POST",
                ORDER,
                msgspec.json.encode(body),
                fields,
                CALL_WAIT_MS,
                before_write=before_write,
                new_connection=True,
                matches=headers.control_matcher,
            )
        except (http_client.RequestNotSent, http_client.ResponseLost):
            return 0
        self.on_reply(address, headers.read_reply(status, answered))
        return status
