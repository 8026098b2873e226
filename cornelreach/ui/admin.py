"""The admin address: health for the balancer, metrics, and operators' requests."""

import hmac
import typing

from cornelreach import instance as instance_module
from cornelreach.http import messages, server
from cornelreach.util import errors

METRICS_TYPE = b"text/plain; version=0.0.4; charset=utf-8"

Render = typing.Callable[[], bytes]
KeySource = typing.Callable[[], str]


class Admin:
    """Answers the balancer, the metrics scraper and operators."""

    def __init__(
        self,
        instance: instance_module.Instance,
        render: Render,
        operator_key: KeySource,
        drain: typing.Callable[[], None],
    ) -> None:
        self.instance = instance
        self.render = render
        self.operator_key = operator_key
        self.drain = drain

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answer one request."""
        if request.path == "/healthz":
            return messages.json_response(200, {"alive": True})
        if request.path == "/readyz":
            return self._ready()
        if request.path == "/metrics":
            kind = ((b"content-type", METRICS_TYPE),)
            return messages.Response(200, self.render(), kind)
        if request.path.startswith("/admin/"):
            self._authorize(request)
            return await self._operate(request)
        raise server.Refused(_not_found(request.path))

    def _ready(self) -> messages.Response:
        if self.instance.draining:
            return messages.json_response(503, {"state": "draining"})
        if not self.instance.configured():
            return messages.json_response(503, {"state": "no_configuration"})
        return messages.json_response(200, {"state": "ready"})

    def _authorize(self, request: messages.Request) -> None:
        expected = self.operator_key()
        _, _, given = (request.header("authorization") or "").partition(" ")
        if not expected or not hmac.compare_digest(given.encode(), expected.encode()):
            raise server.Refused(
                errors.Refusal(
                    errors.Code.UNAUTHENTICATED,
                    "the operator key is missing or wrong",
                    "send Authorization: Bearer with the key of --operator-key-file",
                )
            )

    async def _operate(self, request: messages.Request) -> messages.Response:
        if (request.method, request.path) == ("GET", "/admin/status"):
            return messages.json_response(200, status_of(self.instance))
        if (request.method, request.path) == ("POST", "/admin/drain"):
            self.drain()
            return messages.json_response(202, {"state": "draining"})
        raise server.Refused(_not_found(request.path))


def status_of(instance: instance_module.Instance) -> dict[str, typing.Any]:
    """Return what an operator sees of one instance."""
    settings = instance.settings
    now_ms = instance.clock.now_ms()
    pools = [owner.summary(now_ms)._asdict() for owner in instance.desk.owners.values()]
    return {
        "name": settings.name,
        "data_centre": settings.data_centre,
        "region": settings.region,
        "boot": instance.boot,
        "revision": instance.state.revision,
        "platform_ok": instance.sync.platform_ok,
        "draining": instance.draining,
        "connections": len(instance.server.connections) if instance.server else 0,
        "pools": pools,
    }


def _not_found(path: str) -> errors.Refusal:
    return errors.Refusal(
        errors.Code.NOT_FOUND,
        f"path {path!r} does not exist on the admin address",
        "use /healthz, /readyz, /metrics, /admin/status or /admin/drain",
    )
