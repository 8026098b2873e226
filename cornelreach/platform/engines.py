"""Calls to model engines beside requests: their report, and orders to them."""

import enum
import typing

import msgspec

from cornelreach.http import client as http_client
from cornelreach.platform import headers
from cornelreach.util import decoding

REPORT = "/api/report"
ORDER = "/api/order"
CALL_WAIT_MS = 1_000


class Runs(enum.StrEnum):
    """What becomes of the runs that an order meets."""

    FINISH = "wait"
    GO_ON = "retain"


class Report(typing.NamedTuple):
    """What an engine says of itself, some hundred ms ago.

    ``orders`` counts those it accepted, ``requests`` those that run or wait.
    """

    versions: typing.Mapping[str, int]
    busy: bool
    orders: int
    requests: int


class _Model(typing.TypedDict):
    name: str
    version: int


class _Report(typing.TypedDict):
    """The ``sequence`` is the number of orders that the engine accepted."""

    models: list[_Model]
    busy: bool
    sequence: int
    queued: int
    running: int


class Order(typing.NamedTuple):
    """Brings an engine's model to a version of weights.

    ``after`` is the number of orders that the engine must have accepted before.
    """

    target: str
    model: str
    version: int
    holder: str
    fence: int
    after: int
    runs: Runs


class Engines:
    """Speaks to engines."""

    def __init__(self, http: http_client.Client) -> None:
        self.http = http

    async def report(self, address: str) -> Report | None:
        """Return an engine's report, or None without a readable one."""
        where = http_client.parse_address(address)
        try:
            status, body, _ = await self.http.call(
                where, "GET", REPORT, wait_ms=CALL_WAIT_MS
            )
            if status != 200:
                return None
            found = msgspec.json.decode(body, type=_Report)
        except (
            http_client.RequestNotSent,
            http_client.AnswerLost,
            *decoding.UNREADABLE,
        ):
            return None
        versions = {one["name"]: one["version"] for one in found["models"]}
        requests = found["queued"] + found["running"]
        return Report(versions, found["busy"], found["sequence"], requests)

    async def order(
        self, address: str, order: Order, begin: typing.Callable[[], None]
    ) -> int:
        """Send an order and return the status, 0 if no answer came.

        ``begin`` runs right before the first byte and may raise to hold it back.
        """
        body = {
            "op": "version",
            "model": order.model,
            "version": order.version,
            "method": order.runs.value,
            "holder": order.holder,
            "fence": order.fence,
            "precondition": order.after,
        }
        fields = (
            (b"content-type", b"application/json"),
            (headers.TARGET, order.target.encode()),
        )
        try:
            status, _, _ = await self.http.call(
                http_client.parse_address(address),
                "POST",
                ORDER,
                msgspec.json.encode(body),
                fields,
                CALL_WAIT_MS,
                before_write=begin,
                fresh=True,
            )
        except (http_client.RequestNotSent, http_client.AnswerLost):
            return 0
        return status
