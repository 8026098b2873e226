"""Forwarding of a request: from the caller's header to the last byte of the response.

The outcomes of a call to a target differ in what is known of the request: not sent, not
run as stated by the target, answered, or lost with its outcome unknown. A request is
sent to another target only after the first two, or if it may be repeated.
"""

import asyncio
import contextlib
import functools
import random
import typing

from cornelreach.gateway import (
    beliefs as beliefs_module,
    calls,
    catalogue,
    eventstream,
    passages,
    refusals,
    selection,
)
from cornelreach.http import client as http_client, messages, server
from cornelreach.platform import headers
from cornelreach.reports import metrics as metrics_module
from cornelreach.util import events, timers

DEADLINE_MARGIN_S = 0.015  # reserved for returning the response to the caller
FIRST_TRY_SHARE = 0.5  # of the time left, while a further attempt is allowed
# Statuses that imply that the request was not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))

ENDED = events.define(
    2401,
    "INFO",
    "Request {id} on {route}: {outcome}, status {status}, tries {tries}.",
    "Search the log for the identifier; see docs/OPERATIONS.md.",
)
TRY_ENDED = events.define(
    2402,
    "INFO",
    "Request {id} at {target}: {outcome} ({reason}).",
    "If there are many for one target: check it.",
)


class Vetoed(Exception):
    """The chosen target stopped taking requests before the first byte was sent."""


class Parts(typing.NamedTuple):
    """What forwarding uses; ``clock`` also runs while the machine is suspended."""

    beliefs: beliefs_module.Beliefs
    selector: selection.Selector
    http: http_client.Client
    clock: timers.Timers
    random: random.Random
    metrics: metrics_module.Metrics


class Forwarder:
    """Handles the requests of callers."""

    def __init__(self, parts: Parts) -> None:
        self.parts = parts
        self.active = 0

    async def handle(self, request: messages.Request) -> messages.Response:
        """Forward one request of a caller and return the response."""
        call = headers.read_call(request.headers)
        found = self._admit(request, call)
        if isinstance(found, refusals.Ending):
            return self._refuse(call.request_id, None, found)
        self.parts.selector.first(found.service)
        self.active += 1
        streaming = False
        try:
            response = await self._forward(found)
            streaming = response.stream is not None
            return response
        finally:
            if not streaming:
                self.active -= 1

    def _admit(
        self, request: messages.Request, call: calls.Call
    ) -> passages.Passage | refusals.Ending:
        beliefs = self.parts.beliefs
        config = beliefs.catalogue
        if config is None or not beliefs.is_synced():
            return refusals.no_catalogue()
        path = request.target.decode("latin-1").partition("?")[0]
        route = config.match(headers.host_of(request.headers), path)
        if route is None:
            return refusals.no_route()
        account = None
        if config.needs_key(route):
            if not beliefs.may_use_keys(self.parts.clock.now_ms()):
                return refusals.stale_keys()
            account = config.accounts.get(call.api_key or "")
            if account is None:
                return refusals.unknown_key()
        if not call.request_id:
            return refusals.no_identifier()
        service = self._pick_service(route)
        return passages.Passage(
            request, call, route, account, service, DEADLINE_MARGIN_S
        )

    def _pick_service(self, route: catalogue.Route) -> str:
        if len(route.shares) == 1:
            return route.shares[0].service
        names = [one.service for one in route.shares]
        weights = [one.weight for one in route.shares]
        return self.parts.random.choices(names, weights)[0]

    async def _forward(self, passage: passages.Passage) -> messages.Response:
        loop = asyncio.get_running_loop()
        while (chosen := await self._choose(passage)) is not None:
            outcome = await self._attempt(passage, chosen)
            match outcome:
                case passages.Answered(response):
                    self._log(passage, "answered", response.status)
                    return response
                case passages.Opened(answer):
                    return self._stream(passage, chosen, answer)
        if passage.failure is not None:
            self._log(passage, "failure", passage.failure.status)
            return passage.failure
        ending = passage.ending(loop.time())
        return self._refuse(passage.call.request_id, passage, ending)

    async def _choose(self, passage: passages.Passage) -> selection.Choice | None:
        loop = asyncio.get_running_loop()
        while passage.may_try(loop.time()):
            spent_ms = (loop.time() - passage.request.received_s) * 1_000
            found = self.parts.selector.choose(passage, spent_ms)
            if not isinstance(found, selection.Wait):
                return found
            wait_s = found.wait_ms / 1_000
            waited_s = loop.time() + wait_s - passage.request.received_s
            if waited_s * 1_000 > found.most_ms:
                return None
            await asyncio.sleep(wait_s)
        return None

    async def _attempt(
        self, passage: passages.Passage, chosen: selection.Choice
    ) -> passages.Outcome:
        chosen.occupy()
        self.parts.selector.sent(chosen)
        outcome: passages.Outcome | None = None
        try:
            outcome = await self._exchange(passage, chosen)
        finally:
            if not isinstance(outcome, passages.Opened):
                chosen.release()
        passage.note(chosen.target.id, outcome)
        passage.chosen = chosen.text
        self.parts.metrics.add("tries_total", 1, type(outcome).__name__.lower())
        if not isinstance(outcome, passages.Answered | passages.Opened):
            self._attempt_failed(passage, chosen, outcome)
        return outcome

    def _attempt_failed(
        self,
        passage: passages.Passage,
        chosen: selection.Choice,
        outcome: passages.Outcome,
    ) -> None:
        reason = getattr(outcome, "reason", "")
        if isinstance(outcome, passages.Failure):
            reason = f"status {outcome.response.status}"
        self.parts.selector.ended(chosen, outcome)
        events.emit(
            TRY_ENDED,
            id=passage.call.request_id,
            target=chosen.target.id,
            outcome=type(outcome).__name__.lower(),
            reason=reason,
        )

    async def _exchange(
        self, passage: passages.Passage, chosen: selection.Choice
    ) -> passages.Outcome:
        written: list[bool] = []
        before_write = functools.partial(self._before_write, passage, chosen, written)
        try:
            async with asyncio.timeout_at(self._attempt_due_s(passage)):
                answer = await self._send(passage, chosen, before_write)
                return await self._read_answer(passage, chosen, answer)
        except http_client.RequestNotSent as error:
            return passages.NotSent(str(error))
        except Vetoed as error:
            return passages.NotSent(str(error), at_fault=False)
        except TimeoutError:
            if not written:
                return passages.NotSent("no connection in time")
            return passages.Lost("no answer in time")
        except http_client.AnswerLost as error:
            return passages.Lost(str(error))

    async def _send(
        self,
        passage: passages.Passage,
        chosen: selection.Choice,
        before_write: typing.Callable[[], None],
    ) -> http_client.Answer:
        request = passage.request
        left_ms = (passage.deadline_s - asyncio.get_running_loop().time()) * 1_000
        return await self.parts.http.send(
            http_client.parse_address(chosen.target.address),
            request.method,
            request.target,
            request.body,
            headers.outgoing(request.headers, chosen.directions(passage, left_ms)),
            before_write=before_write,
            matches=headers.answers(passage.call.request_id),
        )

    def _before_write(
        self,
        passage: passages.Passage,
        chosen: selection.Choice,
        written: list[bool],
    ) -> None:
        """Check the choice again, with the connection open, and count the request."""
        if not self.parts.selector.still_open(chosen):
            raise Vetoed("the target no longer takes requests")
        chosen.begun()
        written.append(True)
        passage.arrivals += 1
        if passage.arrivals > 1:
            self.parts.selector.repeated(passage.service)

    def _attempt_due_s(self, passage: passages.Passage) -> float:
        """Return when to give an attempt up, in time for another if one is allowed."""
        route = passage.route
        if route.kind is not catalogue.Kind.IDEMPOTENT:
            return passage.due_s
        if passage.maybe_ran + 1 >= route.attempts:
            return passage.due_s
        now_s = asyncio.get_running_loop().time()
        return now_s + (passage.due_s - now_s) * FIRST_TRY_SHARE

    async def _read_answer(
        self,
        passage: passages.Passage,
        chosen: selection.Choice,
        answer: http_client.Answer,
    ) -> passages.Outcome:
        reply = headers.read_reply(answer.status, answer.headers)
        self.parts.selector.replied(chosen, reply)
        passage.first_byte_s = asyncio.get_running_loop().time()
        if reply.not_run:
            await answer.read()
            return passages.NotRun(f"status {reply.status}", reply.moved)
        success = 200 <= reply.status < 300
        if success and not (
            reply.signed and reply.request_id == passage.call.request_id
        ):
            answer.abort()
            answer.close()
            return passages.Lost("success response without the target's signature")
        if success and passage.route.kind is catalogue.Kind.STREAM:
            return passages.Opened(answer)
        body = await answer.read()
        if reply.status in NOT_RUN_STATUSES:
            return passages.Lost(f"status {reply.status} without 'not run'")
        response = messages.Response(
            reply.status, body, headers.returned(answer.headers)
        )
        if reply.status >= 500:
            return passages.Failure(response)
        return passages.Answered(response)

    def _stream(
        self,
        passage: passages.Passage,
        chosen: selection.Choice,
        answer: http_client.Answer,
    ) -> messages.Response:
        length = answer.header("content-length")
        resumable = passage.route.resumable
        return messages.Response(
            answer.status,
            headers=headers.returned(answer.headers),
            stream=self._relay(passage, chosen, answer),
            length=int(length) if length and not resumable else None,
        )

    async def _relay(
        self,
        passage: passages.Passage,
        chosen: selection.Choice,
        answer: http_client.Answer,
    ) -> typing.AsyncIterator[bytes]:
        """Yield a stream's data; a resumable stream continues from another target."""
        splitter = eventstream.Cutter(passage.last_event)
        outcome = "left"
        try:
            while True:
                try:
                    async for part in self._read_until_due(passage, answer):
                        data = splitter.feed(part) if passage.route.resumable else part
                        if data:
                            yield data
                    if splitter.rest():
                        yield splitter.rest()
                    outcome = "streamed"
                    return
                except (http_client.AnswerLost, TimeoutError) as error:
                    outcome = "broken"
                    lost = passages.Lost(str(error) or "the deadline passed")
                finally:
                    chosen.release()
                    answer.close()
                chosen, answer = await self._resume(passage, chosen, splitter, lost)
        finally:
            self.active -= 1
            self._log(passage, outcome, 200)

    async def _read_until_due(
        self, passage: passages.Passage, answer: http_client.Answer
    ) -> typing.AsyncIterator[bytes]:
        async with contextlib.aclosing(answer.parts()) as parts:
            while True:
                try:
                    async with asyncio.timeout_at(passage.due_s):
                        part = await anext(parts)
                except StopAsyncIteration:
                    return
                yield part

    async def _resume(
        self,
        passage: passages.Passage,
        chosen: selection.Choice,
        splitter: eventstream.Cutter,
        lost: passages.Lost,
    ) -> tuple[selection.Choice, http_client.Answer]:
        """Continue a broken stream from another target, or raise PeerGone."""
        passage.note(chosen.target.id, lost)
        self._attempt_failed(passage, chosen, lost)
        passage.last_event = splitter.last_id
        splitter.restart()
        while (following := await self._choose(passage)) is not None:
            outcome = await self._attempt(passage, following)
            if isinstance(outcome, passages.Opened):
                return following, outcome.answer
        raise server.PeerGone

    def _refuse(
        self,
        request_id: str,
        passage: passages.Passage | None,
        ending: refusals.Ending,
    ) -> messages.Response:
        response = refusals.respond(ending, self.parts.random.random())
        self._log(passage, ending.name, response.status, request_id)
        return response

    def _log(
        self,
        passage: passages.Passage | None,
        outcome: str,
        status: int,
        request_id: str = "",
    ) -> None:
        metrics = self.parts.metrics
        metrics.add("requests_total", 1, outcome, str(status))
        if passage is not None and passage.first_byte_s is not None:
            first_ms = passage.spent_ms(passage.first_byte_s)
            metrics.observe("first_byte_ms", first_ms, route=passage.route.name)
        now_ms = self.parts.clock.now_ms()
        beliefs = self.parts.beliefs
        fields: dict[str, typing.Any] = {"route": "-", "tries": ""}
        if passage is not None:
            request_id = passage.call.request_id
            fields = {
                "route": passage.route.name,
                "tries": " ".join(passage.tries),
                "service": passage.service,
                "chosen": passage.chosen,
                "prompt_tokens": passage.call.prompt_tokens,
                "first_ms": passage.spent_ms(passage.first_byte_s),
                "total_ms": passage.spent_ms(asyncio.get_running_loop().time()),
            }
        events.emit(
            ENDED,
            id=request_id,
            outcome=outcome,
            status=status,
            config=beliefs.catalogue.version if beliefs.catalogue else 0,
            proof_age_ms=round(min(1e9, beliefs.proof_age_ms(now_ms))),
            **fields,
        )
