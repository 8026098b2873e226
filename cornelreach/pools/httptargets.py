"""HTTP access of a rollout to the engines of a model."""

import typing

import msgspec

from cornelreach.http import client
from cornelreach.pools import rollouts
from cornelreach.settings import items
from cornelreach.targets import orders
from cornelreach.util import decoding

OBSERVE_WAIT_MS = 1_000
CONFLICT = 409


class State(typing.TypedDict, total=False):
    """The fields that a rollout uses of the reply to ``GET /v1/state``."""

    version: typing.Required[str]
    cold: bool
    running: int


class HttpTargets:
    """Queries engines and sends orders; ``engines`` returns those of the model."""

    def __init__(
        self,
        http: client.Client,
        engines: typing.Callable[[], typing.Mapping[str, items.Target]],
    ) -> None:
        self.http = http
        self.engines = engines

    def pools(self) -> dict[str, str]:
        """Return the pool of each engine."""
        return {name: one.pool_name for name, one in self.engines().items()}

    async def observe(self, target: str) -> rollouts.Observation | None:
        """Return an engine's report, None if it is unreachable or invalid."""
        engine = self.engines().get(target)
        if engine is None:
            return None
        try:
            status, body, _ = await self.http.call(
                client.parse_address(engine.address),
                "GET",
                "/v1/state",
                wait_ms=OBSERVE_WAIT_MS,
            )
            state = msgspec.json.decode(body, type=State)
        except (client.RequestNotSent, client.ResponseLost, *decoding.DECODE_ERRORS):
            return None
        if status != 200:
            return None
        warm = not state.get("cold", False)
        return rollouts.Observation(state["version"], warm, state.get("running", 0))

    async def send(self, order: orders.Order) -> orders.Answer:
        """Send one order; an incomplete reply counts as ``LOST``."""
        engine = self.engines().get(order.target)
        if engine is None:
            return orders.Answer.REFUSED
        body = msgspec.json.encode(
            {
                "order": order.order.value,
                "model": order.model,
                "version": order.version,
                "adapter": order.adapter,
                "fence": order.fence,
            }
        )
        try:
            status, _, _ = await self.http.call(
                client.parse_address(engine.address),
                "POST",
                "/v1/orders",
                body,
                wait_ms=orders.ORDER_MS,
                new_connection=True,  # no answer to an earlier order comes there
            )
        except client.RequestNotSent:
            return orders.Answer.REFUSED
        except client.ResponseLost:
            return orders.Answer.LOST
        if status == CONFLICT:
            return orders.Answer.OLD_FENCE
        accepted = status < 300
        return orders.Answer.ACCEPTED if accepted else orders.Answer.REFUSED
