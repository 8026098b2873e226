"""The way of a call to a plain service, such as a booking or an order.

A call that may not be repeated is sent at most once, on a fresh connection. An answer
that was lost after the first byte is never reported as not run.
"""

import asyncio
import typing

from returns import result

from cornelreach.calls import attempt, chatflow, ports
from cornelreach.http import client, messages, server
from cornelreach.settings import items
from cornelreach.targets import permits
from cornelreach.util import errors

PRIORITY = 0
MAX_ATTEMPTS = 3
PASSED_HEADERS = (b"content-type", b"idempotency-key", b"accept")
RETURNED_HEADERS = (b"content-type", b"location")
NOT_RUN_STATUS = frozenset((412, 429))
DEFAULT_WAIT_MS = 10_000


class ServiceCall(typing.NamedTuple):
    """One call to a plain service; ``key`` is the caller's, empty if there is none."""

    account: str
    service: str
    path: str
    body: bytes
    headers: messages.Headers
    key: str
    repeatable: bool
    wait_ms: int


class Lost(Exception):
    """The request was written at least in part and its answer did not arrive."""


class NotSent(Exception):
    """The service surely has not run the call."""


class ServiceFlow:
    """Carries calls to plain services out."""

    def __init__(self, parts: chatflow.Parts) -> None:
        self.parts = parts

    async def handle(
        self, account: items.Account, rest: str, request: messages.Request
    ) -> messages.Response:
        """Answer a caller; raises server.Refused with a typed refusal."""
        call = self.parse(account, rest, request)
        return await self.run(call)

    def parse(
        self, account: items.Account, rest: str, request: messages.Request
    ) -> ServiceCall:
        """Return the checked call."""
        service, _, path = rest.partition("/")
        if request.method != "POST":
            _bad(f"{request.method} is not served", "use POST")
        if not self.parts.view.pools(service):
            raise server.Refused(
                errors.Refusal(
                    errors.Code.NOT_FOUND,
                    f"service {service!r} does not exist",
                    "use a service that the operators have created",
                )
            )
        if account.services and service not in account.services:
            raise server.Refused(
                errors.Refusal(
                    errors.Code.FORBIDDEN,
                    f"account {account.name!r} may not use service {service!r}",
                    "ask the operators for access",
                )
            )
        key = request.header("idempotency-key") or ""
        if len(key) > 255:
            _bad("Idempotency-Key exceeds 255 characters", "send a shorter key")
        wait_text = request.header("x-deadline-ms") or str(DEFAULT_WAIT_MS)
        if not wait_text.isascii() or not wait_text.isdigit() or int(wait_text) == 0:
            _bad("X-Deadline-Ms is not a time", "send milliseconds above 0")
        headers = tuple(pair for pair in request.headers if pair[0] in PASSED_HEADERS)
        repeatable = (request.header("x-repeatable") or "no").lower() == "yes"
        return ServiceCall(
            account.name,
            service,
            "/" + path,
            request.body,
            headers,
            key,
            repeatable,
            int(wait_text),
        )

    async def run(self, call: ServiceCall) -> messages.Response:
        """Send a call, again only where the service surely has not run it."""
        avoid: tuple[str, ...] = ()
        for count in range(1, MAX_ATTEMPTS + 1):
            ticket = await self._place(call, avoid)
            try:
                return await self.send(call, ticket)
            except Lost as error:
                if call.repeatable and count < MAX_ATTEMPTS:
                    avoid += (ticket.target.name,)
                    continue
                raise server.Refused(unknown(str(error))) from None
            except NotSent as error:
                avoid += (ticket.target.name,)
                reason = str(error)
        raise server.Refused(
            errors.Refusal(
                errors.Code.UNAVAILABLE,
                f"service {call.service!r} took no call: {reason}",
                "send the call again later",
                errors.Ran.NOT_RUN,
                1_000,
            )
        )

    async def _place(self, call: ServiceCall, avoid: tuple[str, ...]) -> ports.Ticket:
        need = ports.Need(
            call.account, call.service, PRIORITY, None, 0, call.wait_ms, avoid
        )
        placed = await self.parts.placer.place(need)
        if isinstance(placed, result.Failure):
            raise server.Refused(placed.failure())
        return placed.unwrap()

    async def send(self, call: ServiceCall, ticket: ports.Ticket) -> messages.Response:
        """Send once and return the service's answer; raises Lost or NotSent."""
        outcome, boot = permits.Outcome.CANCELLED, ""
        try:
            async with asyncio.timeout(call.wait_ms / 1_000):
                answer = await self._open(call, ticket)
                boot = answer.header("x-boot-id") or ""
                body = await answer.read()
            if answer.status in NOT_RUN_STATUS:
                outcome = permits.Outcome.REJECTED
                raise NotSent(f"the target answered {answer.status}")
            outcome = permits.Outcome.DONE
            headers = tuple(
                pair for pair in answer.headers if pair[0] in RETURNED_HEADERS
            )
            return messages.Response(answer.status, body, headers)
        except client.RequestNotSent as error:
            outcome = permits.Outcome.CONNECTION_LOST
            raise NotSent(str(error)) from None
        except attempt.PermitExpired as error:
            outcome = permits.Outcome.UNUSED
            raise NotSent(str(error)) from None
        except (client.AnswerLost, TimeoutError) as error:
            outcome = permits.Outcome.CONNECTION_LOST
            raise Lost(str(error)) from None
        finally:
            permit = ticket.permit
            release = permits.Release(permit.permit, ticket.target.name, outcome, boot)
            self.parts.placer.release(release, permit.pool)

    async def _open(self, call: ServiceCall, ticket: ports.Ticket) -> client.Answer:
        headers = (*call.headers, (b"if-match", ticket.permit.boot.encode()))
        return await self.parts.http.send(
            client.parse_address(ticket.target.address),
            "POST",
            call.path,
            call.body,
            headers,
            before_write=attempt.permit_check(ticket, self.parts.clock),
            fresh=not call.repeatable,
        )


def unknown(reason: str) -> errors.Refusal:
    """Return the refusal of a call that was written and whose answer was lost."""
    return errors.Refusal(
        errors.Code.OUTCOME_UNKNOWN,
        f"the service's answer was lost: {reason}",
        "look the outcome up at the service before sending another call",
        errors.Ran.UNKNOWN,
    )


def _bad(message: str, remedy: str) -> typing.NoReturn:
    raise server.Refused(errors.Refusal(errors.Code.BAD_REQUEST, message, remedy))
