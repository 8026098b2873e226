"""HTTP API of the admin address: health checks, metrics and operator requests."""

import hmac
import typing

import msgspec
from returns import result

from cornelreach import instance as instance_module
from cornelreach.http import messages, server
from cornelreach.settings import items
from cornelreach.util import decoding, errors

DATA_CENTRE_PREFIX = "/admin/data-centres/"
METRICS_TYPE = b"text/plain; version=0.0.4; charset=utf-8"

KeySource = typing.Callable[[], str]


class AdminApi:
    """Handles requests from load balancers, metrics scrapers and operators."""

    def __init__(
        self,
        instance: instance_module.Instance,
        operator_key: KeySource,
        drain: typing.Callable[[], None],
    ) -> None:
        self.instance = instance
        self.operator_key = operator_key
        self.drain = drain

    async def handle(self, request: messages.Request) -> messages.Response:
        """Handle a request."""
        if request.path == "/healthz":
            return messages.json_response(200, {"alive": True})
        if request.path == "/readyz":
            return self._readiness()
        if request.path == "/metrics":
            headers = ((b"content-type", METRICS_TYPE),)
            return messages.Response(200, self.instance.metrics.render(), headers)
        if request.path.startswith("/admin/"):
            self._authorize(request)
            return await self._handle_operator_request(request)
        raise server.Refused(_not_found(request.path))

    def _readiness(self) -> messages.Response:
        if self.instance.draining:
            return messages.json_response(503, {"state": "draining"})
        if not self.instance.configured():
            return messages.json_response(503, {"state": "no_configuration"})
        return messages.json_response(200, {"state": "ready"})

    def _authorize(self, request: messages.Request) -> None:
        expected = self.operator_key()
        _, _, key = (request.header("authorization") or "").partition(" ")
        if not expected or not hmac.compare_digest(key.encode(), expected.encode()):
            raise server.Refused(
                errors.Refusal(
                    errors.Code.UNAUTHENTICATED,
                    "the operator key is missing or wrong",
                    "send the key in --operator-key-file as Authorization: Bearer",
                )
            )

    async def _handle_operator_request(
        self, request: messages.Request
    ) -> messages.Response:
        if (request.method, request.path) == ("GET", "/admin/status"):
            return messages.json_response(200, instance_status(self.instance))
        if (request.method, request.path) == ("POST", "/admin/drain"):
            self.drain()
            return messages.json_response(202, {"state": "draining"})
        if (request.method, request.path) == ("GET", "/admin/burn"):
            return messages.json_response(200, self.instance.reporter.export())
        if request.method == "POST" and request.path.startswith(DATA_CENTRE_PREFIX):
            return self._issue_directive(request)
        raise server.Refused(_not_found(request.path))

    def _issue_directive(self, request: messages.Request) -> messages.Response:
        try:
            directive = msgspec.json.decode(request.body, type=DirectiveRequest)
        except decoding.DECODE_ERRORS as error:
            raise server.Refused(
                _bad_request(f"invalid request body: {error}")
            ) from None
        name = request.path.removeprefix(DATA_CENTRE_PREFIX)
        outcome = self.instance.node.directives.issue(
            items.key_of("data-centre", name),
            directive["state"],
            directive["reason"],
            directive["operator"],
            self.instance.clock.wall_ms(),
        )
        if isinstance(outcome, result.Failure):
            failure = outcome.failure()
            raise server.Refused(_bad_request(failure.message, failure.remedy))
        return messages.json_response(202, outcome.unwrap()._asdict())


class DirectiveRequest(typing.TypedDict):
    """A request body that takes a data centre out of service or brings it back."""

    state: str
    reason: str
    operator: str


def instance_status(instance: instance_module.Instance) -> dict[str, typing.Any]:
    """Return the status of an instance as reported to operators."""
    settings = instance.settings
    now_ms = instance.clock.now_ms()
    owned_pools = instance.permit_service.owned_pools.values()
    pools = [
        {
            **one.owner.summary(now_ms)._asdict(),
            "exclusive": instance.admission_right(one.owner.name).exclusive,
        }
        for one in owned_pools
    ]
    return {
        "name": settings.name,
        "data_centre": settings.data_centre,
        "region": settings.region,
        "boot": instance.boot,
        "revision": instance.state.revision,
        "platform_ok": bool(instance.node_runner.platform_ok),
        "draining": instance.draining,
        "connections": len(instance.server.connections) if instance.server else 0,
        "members": sorted(instance.members.addresses()),
        "pools": pools,
    }


def _bad_request(
    message: str, remedy: str = "see docs/reference-commands.md"
) -> errors.Refusal:
    return errors.Refusal(errors.Code.BAD_REQUEST, message, remedy)


def _not_found(path: str) -> errors.Refusal:
    return errors.Refusal(
        errors.Code.NOT_FOUND,
        f"path {path!r} does not exist on the admin address",
        "use /healthz, /readyz, /metrics, /admin/status or /admin/drain",
    )
