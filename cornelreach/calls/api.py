"""HTTP interface for callers: routing, authentication and access checks."""

import typing

from cornelreach.calls import attempt, chat, chatexecutor, serviceexecutor, sse, streams
from cornelreach.http import client, messages, server
from cornelreach.pools import notices
from cornelreach.settings import items, view
from cornelreach.util import decoding, errors

CHAT_PATH = "/v1/chat/completions"
MODELS_PATH = "/v1/models"
TICKETS_PATH = "/v1/tickets"
STREAM_PREFIX = "/v1/streams/"
SERVICE_PREFIX = "/v1/services/"
BEFORE_FIRST_EVENT = -1
DRAIN_RETRY_MS = 1_000


class InstanceStatus(typing.Protocol):
    """State of the instance that decides whether it accepts new calls."""

    draining: bool

    def configured(self) -> bool:
        """Return whether settings have been received."""


class Api:
    """Routes callers' requests; a new call that is refused here was not run."""

    def __init__(
        self,
        settings: view.View,
        chat_executor: chatexecutor.ChatExecutor,
        service_api: serviceexecutor.ServiceApi,
        status: InstanceStatus,
        announce: typing.Callable[[notices.Resumed], None],
    ) -> None:
        self.view = settings
        self.chat_executor = chat_executor
        self.service_api = service_api
        self.status = status
        self.announce = announce

    async def handle(self, request: messages.Request) -> messages.Response:
        """Handle one request; raises server.Refused with a typed refusal."""
        self._check_open()
        account = self._authenticate(request)
        if request.path == CHAT_PATH:
            self._check_method(request, "POST")
            return await self._chat(account, request)
        if request.path == MODELS_PATH:
            self._check_method(request, "GET")
            return self._models(account)
        if request.path == TICKETS_PATH:
            self._check_method(request, "POST")
            return self.service_api.issue_ticket()
        if request.path.startswith(STREAM_PREFIX):
            self._check_method(request, "GET")
            return await self._resume_stream(account, request)
        if request.path.startswith(SERVICE_PREFIX):
            service_path = request.path.removeprefix(SERVICE_PREFIX)
            return await self.service_api.handle(account, service_path, request)
        raise server.Refused(
            errors.Refusal(
                errors.Code.NOT_FOUND,
                f"path {request.path!r} does not exist",
                f"use {CHAT_PATH}, {STREAM_PREFIX} or {SERVICE_PREFIX}",
            )
        )

    def _check_open(self) -> None:
        if self.status.draining:
            raise server.Refused(
                errors.Refusal(
                    errors.Code.DRAINING,
                    "this instance is stopping",
                    "send the call again; the balancer will choose another instance",
                    retry_after_ms=DRAIN_RETRY_MS,
                )
            )
        if not self.status.configured():
            raise server.Refused(
                errors.Refusal(
                    errors.Code.UNAVAILABLE,
                    "this instance has no settings yet",
                    "send the call again soon, or to another instance",
                    retry_after_ms=DRAIN_RETRY_MS,
                )
            )

    def _check_method(self, request: messages.Request, method: str) -> None:
        if request.method != method:
            raise server.Refused(
                errors.Refusal(
                    errors.Code.BAD_REQUEST,
                    f"{request.path!r} does not support {request.method}",
                    f"use {method}",
                )
            )

    def _authenticate(self, request: messages.Request) -> items.Account:
        scheme, _, key = (request.header("authorization") or "").partition(" ")
        account = None
        if scheme.lower() == "bearer" and key:
            account = self.view.account_by_key(key.strip())
        if account is None:
            raise server.Refused(
                errors.Refusal(
                    errors.Code.UNAUTHENTICATED,
                    "no client account has this bearer key",
                    "send Authorization: Bearer with a key of your account",
                )
            )
        return account

    async def _chat(
        self, account: items.Account, request: messages.Request
    ) -> messages.Response:
        parsed = chat.parse(
            account.name,
            request.body,
            request.header("x-deadline-ms"),
            request.header("x-priority"),
        )
        call = parsed.alt(_raise_refusal).unwrap()
        if account.models and call.model not in account.models:
            _forbid(f"account {account.name!r} may not use model {call.model!r}")
        wall_ms = self.chat_executor.dependencies.clock.wall_ms()
        limit = self.view.effective(
            "max_prompt_tokens", wall_ms, account.name, call.model
        )
        if call.prompt_tokens > limit:
            refusal = errors.Refusal(
                errors.Code.TOO_LARGE,
                f"the prompt has about {call.prompt_tokens} tokens; limit: {limit}",
                "shorten the prompt or ask the operators for an exception",
            )
            raise server.Refused(refusal)
        return await self.chat_executor.run(call)

    def _models(self, account: items.Account) -> messages.Response:
        names = sorted(self.view.models)
        models = [
            {"id": name, "object": "model", "owned_by": "operators"}
            for name in names
            if not account.models or name in account.models
        ]
        return messages.json_response(200, {"object": "list", "data": models})

    async def _resume_stream(
        self, account: items.Account, request: messages.Request
    ) -> messages.Response:
        run = request.path.removeprefix(STREAM_PREFIX)
        stream = self.chat_executor.dependencies.key_ring().verify(run, account.name)
        target = self.view.targets.get(stream.target) if stream else None
        last_number = request.query.get("from", str(BEFORE_FIRST_EVENT))
        if target is None or not decoding.is_number(last_number.removeprefix("-")):
            raise server.Refused(_stream_not_found())
        self._announce(stream, run)
        return await self._send_resume(target, run, int(last_number))

    def _announce(self, stream: streams.StreamId, run: str) -> None:
        self.chat_executor.on_resumed(run)
        if stream.instance != self.chat_executor.dependencies.identity.name:
            self.announce(notices.Resumed(stream.instance, run))

    async def _send_resume(
        self, target: items.Target, run: str, last_number: int
    ) -> messages.Response:
        address = client.parse_address(target.address)
        cause = client.ResponseLost("the caller resumed")
        try:
            answer = await attempt.resume(
                self.chat_executor.dependencies.http, address, run, last_number, cause
            )
        except attempt.AttemptError:
            raise server.Refused(_stream_not_found()) from None
        headers = (
            (b"content-type", b"text/event-stream"),
            (b"x-stream-id", run.encode()),
        )
        return messages.Response(
            200, headers=headers, stream=_check_run_ids(answer, run)
        )


async def _check_run_ids(
    answer: client.ClientResponse, run: str
) -> typing.AsyncIterator[bytes]:
    parser = sse.EventParser()
    async for part in answer.parts():
        for event in parser.feed(part):
            if event.data != sse.DONE and sse.decode(event.data).get("id") != run:
                raise sse.MalformedStream("the target sent a chunk of another run")
            yield sse.encode(max(0, event.number), event.data)


def _raise_refusal(refusal: errors.Refusal) -> typing.NoReturn:
    raise server.Refused(refusal)


def _forbid(message: str) -> typing.NoReturn:
    remedy = "use a model of this account, or ask the operators for access"
    raise server.Refused(errors.Refusal(errors.Code.FORBIDDEN, message, remedy))


def _stream_not_found() -> errors.Refusal:
    return errors.Refusal(
        errors.Code.NOT_FOUND,
        "this account has no stream with that identifier and position",
        "send the call again",
        errors.ExecutionStatus.UNKNOWN,
    )
