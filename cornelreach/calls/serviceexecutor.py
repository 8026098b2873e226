"""Execution of calls to plain services, such as a booking or an order.

An at-most-once call is sent on a new connection, and only when ``atmostonce`` allows
it. If its answer is lost after the first byte was sent, it is never reported as not
run.
"""

import asyncio
import itertools
import typing

from returns import result

from cornelreach.calls import (
    atmostonce,
    attempt,
    callmessages,
    chat,
    chatexecutor,
    interfaces,
    ledger,
    localattempts,
)
from cornelreach.http import client, messages, server
from cornelreach.settings import items
from cornelreach.targets import permits, retries
from cornelreach.util import errors

PRIORITY = 0
MAX_ATTEMPTS = 3
MAX_KEY_CHARACTERS = 255
NOT_RUN_STATUS = frozenset((412, 429))
DEFAULT_WAIT_MS = 10_000
DEFAULT_TYPE = "application/octet-stream"
RETRY_AFTER_MS = 1_000


class CallDeclined(Exception):
    """The target received the call and reported that it did not run it."""


class CallLost(Exception):
    """The request was written at least in part and its answer was lost."""


class CallNotSent(Exception):
    """No byte of the request was written."""


def no_check() -> None:
    """Allow a repeatable call to be sent without further checks."""


class ServiceExecutor:
    """Executes calls to plain services; implements ``atmostonce.ServiceSender``."""

    def __init__(self, dependencies: chatexecutor.CallDependencies) -> None:
        self.dependencies = dependencies

    def parse(
        self, account: items.Account, service_path: str, request: messages.Request
    ) -> callmessages.ServiceCall:
        """Return the validated call."""
        service, _, path = service_path.partition("/")
        if request.method != "POST":
            _bad_request(f"{request.method} is not supported", "use POST")
        self._check_access(account, service)
        key = request.header("idempotency-key") or ""
        if len(key) > MAX_KEY_CHARACTERS:
            _bad_request(
                f"Idempotency-Key exceeds {MAX_KEY_CHARACTERS} characters", "shorten it"
            )
        wait_text = request.header("x-deadline-ms") or str(DEFAULT_WAIT_MS)
        if not chat.valid_deadline(wait_text):
            _bad_request(
                "X-Deadline-Ms is not a valid time", "send 1 to 3600000 milliseconds"
            )
        return callmessages.ServiceCall(
            account.name,
            service,
            "/" + path,
            key,
            request.body,
            request.header("content-type") or DEFAULT_TYPE,
            float(wait_text),
        )

    def _check_access(self, account: items.Account, service: str) -> None:
        if not self.dependencies.view.pools(service):
            _refuse(
                errors.Code.NOT_FOUND,
                f"service {service!r} does not exist",
                "use a service that the operators have created",
            )
        if account.services and service not in account.services:
            _refuse(
                errors.Code.FORBIDDEN,
                f"account {account.name!r} may not use service {service!r}",
                "ask the operators for access",
            )

    async def run_repeatable(self, call: callmessages.ServiceCall) -> ledger.Answer:
        """Send a call that may be repeated, and retry it if its answer is lost."""
        avoid: tuple[str, ...] = ()
        self.dependencies.retries.record_first_attempt(call.account)
        for count in itertools.count(1):
            placed = await self._place(call, avoid)
            try:
                return await self._send(call, placed, no_check)
            except (CallLost, CallNotSent, CallDeclined) as error:
                avoid += (placed.target.name,)
                lost = isinstance(error, CallLost)
                ran = (
                    errors.ExecutionStatus.UNKNOWN
                    if lost
                    else errors.ExecutionStatus.NOT_RUN
                )
                failed = retries.FailedAttempt(count, ran)
                if not self.dependencies.retries.take_retry(call.account, failed):
                    raise server.Refused(_final_refusal(str(error), lost)) from None

    async def send(
        self, call: callmessages.ServiceCall, begin: typing.Callable[[], None]
    ) -> atmostonce.SendResult:
        """Send an at-most-once call; at most one target receives it."""
        avoid: tuple[str, ...] = ()
        reason = ""
        for _ in range(MAX_ATTEMPTS):
            try:
                placed = await self._place(call, avoid)
                return atmostonce.Answered(await self._send(call, placed, begin))
            except server.Refused as refused:
                return atmostonce.NotSent(refused.refusal)
            except localattempts.AttemptClosed as error:
                return atmostonce.NotSent(_final_refusal(str(error), lost=False))
            except CallDeclined as error:
                refusal = _final_refusal(str(error), lost=False)
                return atmostonce.NotSent(refusal, declined=True)
            except CallLost as error:
                return atmostonce.Lost(str(error))
            except CallNotSent as error:
                avoid += (placed.target.name,)
                reason = str(error)
        return atmostonce.NotSent(_final_refusal(reason, lost=False))

    async def _place(
        self, call: callmessages.ServiceCall, avoid: tuple[str, ...]
    ) -> interfaces.PlacedRequest:
        wait_ms = int(call.wait_ms)
        placement = interfaces.PlacementRequest(
            call.account, call.service, PRIORITY, None, 0, wait_ms, avoid
        )
        outcome = await self.dependencies.placer.place(placement)
        if isinstance(outcome, result.Failure):
            raise server.Refused(outcome.failure())
        return outcome.unwrap()

    async def _send(
        self,
        call: callmessages.ServiceCall,
        placed: interfaces.PlacedRequest,
        begin: typing.Callable[[], None],
    ) -> ledger.Answer:
        outcome, boot = permits.Outcome.CANCELLED, ""
        try:
            async with asyncio.timeout(call.wait_ms / 1_000):
                answer = await self._open(call, placed, begin)
                boot = answer.header("x-boot-id") or ""
                body = await answer.read()
            if answer.status in NOT_RUN_STATUS:
                if not boot:
                    raise client.ResponseLost(f"status {answer.status} without a boot")
                outcome = permits.Outcome.REJECTED
                raise CallDeclined(f"the target answered {answer.status}")
            outcome = permits.Outcome.DONE
            kind = answer.header("content-type") or DEFAULT_TYPE
            return ledger.Answer(answer.status, kind, body)
        except client.RequestNotSent as error:
            outcome = permits.Outcome.CONNECTION_LOST
            raise CallNotSent(str(error)) from None
        except attempt.PermitExpired as error:
            outcome = permits.Outcome.UNUSED
            raise CallNotSent(str(error)) from None
        except (client.ResponseLost, TimeoutError) as error:
            outcome = permits.Outcome.CONNECTION_LOST
            raise CallLost(str(error)) from None
        finally:
            permit = placed.permit
            release = permits.Release(permit.permit, placed.target.name, outcome, boot)
            self.dependencies.placer.release(release, permit.pool)

    async def _open(
        self,
        call: callmessages.ServiceCall,
        placed: interfaces.PlacedRequest,
        begin: typing.Callable[[], None],
    ) -> client.ClientResponse:
        headers = [
            (b"content-type", call.content_type.encode()),
            (b"if-match", placed.permit.boot.encode()),
        ]
        if call.key:
            headers.append((b"idempotency-key", call.key.encode()))
        check = attempt.permit_check(placed, self.dependencies.clock)

        def before_write() -> None:
            check()
            begin()

        return await self.dependencies.http.send(
            client.parse_address(placed.target.address),
            "POST",
            call.path,
            call.body,
            tuple(headers),
            before_write=before_write,
            new_connection=True,
        )


class ServiceApi:
    """HTTP interface of plain services."""

    def __init__(
        self, executor: ServiceExecutor, runner: atmostonce.AtMostOnceRunner
    ) -> None:
        self.executor = executor
        self.runner = runner

    async def handle(
        self, account: items.Account, service_path: str, request: messages.Request
    ) -> messages.Response:
        """Handle one request; raises server.Refused with a typed refusal."""
        call = self.executor.parse(account, service_path, request)
        if (request.header("x-repeatable") or "no").lower() == "yes":
            return caller_response(await self.executor.run_repeatable(call))
        outcome = await self.runner.run(call)
        if isinstance(outcome, result.Failure):
            raise server.Refused(outcome.failure())
        return caller_response(outcome.unwrap())

    def issue_ticket(self) -> messages.Response:
        """Return a response with a ticket, whose call only this boot may run."""
        return messages.json_response(201, {"ticket": self.runner.issue_ticket()})


def caller_response(answer: ledger.Answer) -> messages.Response:
    """Return the response to the caller for a service's answer."""
    headers = ((b"content-type", answer.content_type.encode()),)
    return messages.Response(answer.status, answer.body, headers)


def _final_refusal(reason: str, lost: bool) -> errors.Refusal:
    if lost:
        return errors.Refusal(
            errors.Code.OUTCOME_UNKNOWN,
            f"the service's answer was lost: {reason}",
            "send the call again",
            errors.ExecutionStatus.UNKNOWN,
            RETRY_AFTER_MS,
        )
    return errors.Refusal(
        errors.Code.UNAVAILABLE,
        f"no target accepted the call: {reason}",
        "send the call again later",
        errors.ExecutionStatus.NOT_RUN,
        RETRY_AFTER_MS,
    )


def _refuse(code: errors.Code, message: str, remedy: str) -> typing.NoReturn:
    raise server.Refused(errors.Refusal(code, message, remedy))


def _bad_request(message: str, remedy: str) -> typing.NoReturn:
    _refuse(errors.Code.BAD_REQUEST, message, remedy)
