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
    calls,
    catalogue,
    continuations as continuations_module,
    crashes,
    detours as detours_module,
    mirror as mirror_module,
    quarantine as quarantine_module,
    refusals,
    registry as registry_module,
    requestlog,
    requeststate,
    roomadmission,
    selection,
    silence as silence_module,
    stops,
    streamrelay,
)
from cornelreach.http import client as http_client, messages
from cornelreach.platform import headers
from cornelreach.reports import metrics as metrics_module
from cornelreach.util import timers

IDLE_POLL_S = 0.02
TURN_MS = 20.0
MAX_TURN_S = 1.0  # a target that crashes on a request does so early in its run
DEADLINE_MARGIN_S = 0.015  # reserved for returning the response to the caller
FIRST_ATTEMPT_SHARE = 0.5  # of the time left, while the request may run once more
RUN_MARGIN = 1.25  # a run may take longer than recent ones
NO_CONTENT = 204
# Statuses that imply that the request was not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))

Selected = streamrelay.Way | selection.Selected | None


class StaleChoice(Exception):
    """The chosen target stopped taking requests before the first byte was sent."""


class DoubtfulTarget(Exception):
    """The target may not be in the lifetime that was chosen; ``outcome`` says why."""

    def __init__(self, outcome: requeststate.NotSent) -> None:
        super().__init__(outcome.reason)
        self.outcome = outcome


class Dependencies(typing.NamedTuple):
    """What forwarding uses; ``clock`` also runs while the machine is suspended."""

    mirror: mirror_module.Mirror
    selector: selection.Selector
    http: http_client.Client
    clock: timers.Timers
    random: random.Random
    metrics: metrics_module.Metrics
    continuations: continuations_module.Continuations
    quarantine: quarantine_module.Quarantine
    detours: detours_module.Detours
    silence: silence_module.Silence


class Forwarder:
    """Handles the requests of callers."""

    def __init__(self, dependencies: Dependencies) -> None:
        self.dependencies = dependencies
        self.log = requestlog.RequestLog(
            dependencies.mirror, dependencies.metrics, dependencies.clock
        )
        self.relay = streamrelay.StreamRelay(
            dependencies, self.log, self._choose, self._attempt, self._attempt_failed
        )
        self.stops = stops.Stops()
        # By service, since when a request is under way that targets may crash on.
        self._turns_s: dict[str, float] = {}
        self.relay.on_end = self.stops.remove
        dependencies.http.on_skipped = self._answer_skipped

    def _answer_skipped(
        self, address: http_client.Address, status: int, fields: messages.Headers
    ) -> None:
        reply = headers.read_reply(status, fields)
        sender = f"{address.host}:{address.port}"
        self.log.answer_skipped(sender, status, reply.request_id, reply.not_run)

    @property
    def active(self) -> int:
        """Return the number of requests under way, streams among them."""
        return len(self.stops.under_way)

    async def handle(self, request: messages.Request) -> messages.Response:
        """Forward one request of a caller and return the response."""
        call = headers.read_call(request.headers)
        found = self._admit(request, call)
        if isinstance(found, refusals.NamedRefusal):
            return self._refuse(call.request_id, None, found)
        if not self.stops.takes(found):
            return self._refuse(call.request_id, found, refusals.stopping())
        self.dependencies.selector.count_request(found.service)
        return await self._run(found, self._forward_in_time)

    async def handle_passed_on(self, request: messages.Request) -> messages.Response:
        """Forward a request that another instance could not send to any target.

        The other instance has counted it among the requests of its service. It is
        declined if no target is reached from here either.
        """
        order = detours_module.read_order(request)
        if order is None or self.stops.has_begun:
            return self._decline(request, "not taken")
        found = self._admit(request, headers.read_call(request.headers))
        if isinstance(found, refusals.NamedRefusal):
            return self._decline(request, found.name)
        if self.dependencies.mirror.catalogue.version < order.config:
            return self._decline(request, "older configuration")
        if all(one.service != order.service for one in found.route.shares):
            return self._decline(request, "another service")
        if order.account and order.account != found.account_name:
            return self._decline(request, "another account")
        detours_module.follow(found, order)
        return await self._run(found, self._forward_passed_on)

    def _decline(self, request: messages.Request, reason: str) -> messages.Response:
        request_id = headers.read_call(request.headers).request_id
        response = self._refuse(request_id, None, refusals.declined(reason))
        report = detours_module.Report(True)
        return detours_module.with_report(response, report, request_id)

    async def _run(
        self,
        request_state: requeststate.RequestState,
        forward: typing.Callable[
            [requeststate.RequestState], typing.Awaitable[messages.Response]
        ],
    ) -> messages.Response:
        self.stops.add(request_state)
        streaming = False
        try:
            response = await forward(request_state)
            streaming = response.stream is not None
            return response
        finally:
            if not streaming:
                self.stops.remove(request_state)

    async def _answer_in_time(
        self,
        request_state: requeststate.RequestState,
        work: typing.Awaitable[messages.Response],
    ) -> messages.Response:
        """Return a response; a stop that ends before refuses the request."""
        response = await self.stops.answer_in_time(request_state, work)
        if response is not None:
            return response
        has_run = request_state.may_have_run
        refusal = refusals.stopped() if has_run else refusals.stopping()
        return self._refuse(request_state.call.request_id, request_state, refusal)

    async def _forward_passed_on(
        self, request_state: requeststate.RequestState
    ) -> messages.Response:
        sent_before = request_state.times_sent
        response = await self._answer_in_time(
            request_state, self._send_on(request_state)
        )
        was_sent = request_state.times_sent > sent_before
        target = (
            request_state.tries[-1].partition(":")[0] if request_state.tries else ""
        )
        report = detours_module.Report(
            request_state.is_unreached and not was_sent,
            target,
            request_state.answered_by,
        )
        return detours_module.with_report(
            response, report, request_state.call.request_id, request_state.departed_ms
        )

    async def wait_idle(self) -> None:
        """Wait until no request is under way."""
        while self.active:
            await asyncio.sleep(IDLE_POLL_S)

    def _admit(
        self, request: messages.Request, call: calls.Call
    ) -> requeststate.RequestState | refusals.NamedRefusal:
        mirror = self.dependencies.mirror
        config = mirror.catalogue
        if config is None or not mirror.is_synced():
            return refusals.no_catalogue()
        route = self._match(request)
        if route is None:
            return refusals.no_route()
        account = self._find_account(route, call.api_key or "")
        if isinstance(account, refusals.NamedRefusal):
            return account
        if not call.request_id:
            return refusals.no_identifier()
        service = self._pick_service(route)
        return requeststate.RequestState(
            request, call, route, account, service, DEADLINE_MARGIN_S
        )

    def _find_account(
        self, route: catalogue.Route, key: str
    ) -> catalogue.Account | refusals.NamedRefusal | None:
        """Return the account that holds a key, or None if the request has none.

        A key is optional on a route that may be used without one, but a request that
        carries one is its account's there too.
        """
        mirror = self.dependencies.mirror
        config = mirror.catalogue
        if config.accounts is None or not (key or config.needs_key(route)):
            return None
        if not mirror.may_use_keys(self.dependencies.clock.now_ms()):
            return refusals.stale_keys()
        return config.accounts.get(key) or refusals.unknown_key()

    def _pick_service(self, route: catalogue.Route) -> str:
        if len(route.shares) == 1:
            return route.shares[0].service
        names = [one.service for one in route.shares]
        weights = [one.weight for one in route.shares]
        return self.dependencies.random.choices(names, weights)[0]

    async def _forward_in_time(
        self, request_state: requeststate.RequestState
    ) -> messages.Response:
        return await self._answer_in_time(request_state, self._forward(request_state))

    async def _forward(
        self, request_state: requeststate.RequestState
    ) -> messages.Response:
        quarantine = self.dependencies.quarantine
        request_state.refused_ms = quarantine.refuse_ms(request_state.suspects)
        if request_state.refused_ms is not None:
            refusal = refusals.quarantined(request_state.refused_ms)
            return self._refuse(request_state.call.request_id, request_state, refusal)
        request_state.is_trial = quarantine.holds(request_state.suspects)
        if not await self.dependencies.continuations.admit(request_state):
            refusal = refusals.unknown_origin()
            return self._refuse(request_state.call.request_id, request_state, refusal)
        return await self._send_on(request_state)

    async def _send_on(
        self, request_state: requeststate.RequestState
    ) -> messages.Response:
        """Send a request to targets until one answers, or refuse it."""
        loop = asyncio.get_running_loop()
        while (chosen := await self._choose(request_state)) is not None:
            outcome = await self._attempt(request_state, chosen)
            match outcome:
                case requeststate.Answered(response):
                    if response.status < 300:
                        self.dependencies.quarantine.record_answer(
                            request_state.suspects
                        )
                    self.log.ended(request_state, "answered", response.status)
                    return response
                case requeststate.Opened(answer):
                    return self.relay.response(request_state, chosen, answer)
        if request_state.failure is not None:
            self.log.ended(request_state, "failure", request_state.failure.status)
            return request_state.failure
        refusal = request_state.refusal(loop.time())
        return self._refuse(request_state.call.request_id, request_state, refusal)

    async def _choose(
        self, request_state: requeststate.RequestState
    ) -> streamrelay.Way | None:
        try:
            return await self._find_way(request_state)
        finally:
            self.dependencies.selector.stop_waiting(request_state)

    async def _find_way(
        self, request_state: requeststate.RequestState
    ) -> streamrelay.Way | None:
        loop = asyncio.get_running_loop()
        while request_state.may_attempt(loop.time()):
            if not self._is_still_repeatable(request_state):
                return None
            if self._is_quarantined(request_state) or self._is_suspect(request_state):
                return None
            spent_ms = (loop.time() - request_state.request.received_s) * 1_000
            found = self._select(request_state, spent_ms)
            if found is None or isinstance(found, streamrelay.Way):
                return found
            if not await self._wait_for_target(request_state, found):
                return None
        return None

    async def _wait_for_target(
        self, request_state: requeststate.RequestState, found: selection.Hindrance
    ) -> bool:
        """Wait for a target, if that may help; returns whether to look again."""
        match found:
            case selection.Resting(left_ms):
                request_state.resting_ms = left_ms
            case selection.Limited(left_ms):
                request_state.limited_ms = left_ms
            case roomadmission.NoRoom(left_ms):
                request_state.room_ms = left_ms
            case roomadmission.RoomWait(wait_ms, queue):
                await queue.wait(request_state, wait_ms)
                return True
            case selection.Wait(wait_ms, max_ms):
                wait_s = wait_ms / 1_000
                now_s = asyncio.get_running_loop().time()
                waited_s = now_s + wait_s - request_state.request.received_s
                if waited_s * 1_000 <= max_ms:
                    await asyncio.sleep(wait_s)
                    return True
        return False

    def _select(
        self, request_state: requeststate.RequestState, spent_ms: float
    ) -> Selected:
        """Return a way to a target, or why there is none yet."""
        if not self._has_turn(request_state):
            return selection.Wait(TURN_MS, request_state.route.objective_ms)
        found = self.dependencies.selector.choose(request_state, spent_ms)
        if isinstance(found, selection.Unreached):
            return self._choose_unreached(request_state, spent_ms)
        return found

    def _choose_unreached(
        self, request_state: requeststate.RequestState, spent_ms: float
    ) -> Selected:
        """Return a way through another instance, or a last try from here.

        A target whose ejection is over is tried once though it could not be reached
        before, unless others have just said that they reach none either.
        """
        detours = self.dependencies.detours
        if (detour := detours.choose(request_state)) is not None:
            return detour
        hopeless = request_state.is_passed_on or detours.is_hopeless(
            request_state.service
        )
        retry = not request_state.unreached and not hopeless
        found = self.dependencies.selector.choose(
            request_state, spent_ms, here_only=True, retry=retry
        )
        if not isinstance(found, selection.Unreached):
            return found
        request_state.is_unreached = True
        return None

    def _is_still_repeatable(self, request_state: requeststate.RequestState) -> bool:
        """Return whether the configuration in force lets a request run once more.

        It may be newer than the one that admitted the request.
        """
        if not request_state.possible_runs:
            return True
        route = self._match(request_state.request)
        return route is None or route.repeatable

    def _match(self, request: messages.Request) -> catalogue.Route | None:
        path = request.target.decode("latin-1").partition("?")[0]
        host = headers.request_host(request.headers)
        return self.dependencies.mirror.catalogue.match(host, path)

    def _is_quarantined(self, request_state: requeststate.RequestState) -> bool:
        """Return whether targets crash on the request; a trial is sent once."""
        if request_state.is_trial and not request_state.times_sent:
            return False
        quarantine = self.dependencies.quarantine
        if not quarantine.holds(request_state.suspects):
            return False
        request_state.refused_ms = quarantine.refuse_ms(request_state.suspects)
        return True

    def _has_turn(self, request_state: requeststate.RequestState) -> bool:
        """Return whether a request may be sent beside those under way.

        Of those on which targets may crash, one at a time is sent to a service, so that
        the next crash tells which one it is.
        """
        since_s = self._turns_s.get(request_state.service)
        now_s = asyncio.get_running_loop().time()
        if since_s is None or now_s - since_s > MAX_TURN_S:
            return True
        return not self.dependencies.quarantine.is_doubtful(request_state.name)

    def _is_suspect(self, request_state: requeststate.RequestState) -> bool:
        """Return whether one more target would probably crash on the request.

        A request that has run gets no promise that it was not, so others need not
        confirm that first. Its parts may be those of many sound prompts.
        """
        quarantine = self.dependencies.quarantine
        return bool(request_state.possible_runs) and quarantine.is_suspected(
            request_state.name
        )

    async def _attempt(
        self, request_state: requeststate.RequestState, chosen: streamrelay.Way
    ) -> requeststate.Outcome:
        if isinstance(chosen, detours_module.Detour):
            outcome = await self.dependencies.detours.exchange(request_state, chosen)
        else:
            outcome = await self._attempt_here(request_state, chosen)
        request_state.record_outcome(chosen.target.id, outcome)
        request_state.choice_summary = chosen.summary
        self.dependencies.metrics.add("tries_total", 1, type(outcome).__name__.lower())
        if isinstance(outcome, requeststate.Answered | requeststate.Opened):
            request_state.answered_by = chosen.target.software
            if isinstance(outcome, requeststate.Answered):
                chosen.record_event()
        else:
            self._attempt_failed(request_state, chosen, outcome)
        return outcome

    async def _attempt_here(
        self, request_state: requeststate.RequestState, chosen: selection.Choice
    ) -> requeststate.Outcome:
        selector = self.dependencies.selector
        chosen.acquire()
        selector.reserve_retry(request_state)
        turn_s = asyncio.get_running_loop().time()
        if self.dependencies.quarantine.is_doubtful(request_state.name):
            self._turns_s[request_state.service] = turn_s
        outcome: requeststate.Outcome | None = None
        try:
            selector.announce(chosen)
            outcome = await self._exchange(request_state, chosen)
        finally:
            selector.release_retry(request_state)
            if self._turns_s.get(request_state.service) == turn_s:
                del self._turns_s[request_state.service]
            if not isinstance(outcome, requeststate.Opened):
                chosen.release()
        return outcome

    def _attempt_failed(
        self,
        request_state: requeststate.RequestState,
        chosen: streamrelay.Way,
        outcome: requeststate.Outcome,
    ) -> None:
        if isinstance(chosen, detours_module.Detour):
            self.dependencies.detours.record_outcome(chosen, outcome)
        else:
            self.dependencies.selector.record_failure(chosen, outcome)
            if chosen.counted_attempt is not None:
                chosen.counted_attempt.record_failure(outcome)
            if isinstance(outcome, requeststate.Lost):
                self._record_crash(request_state, chosen, outcome)
        self.log.attempt_failed(request_state, chosen.target.id, outcome)

    def _record_crash(
        self,
        request_state: requeststate.RequestState,
        chosen: selection.Choice,
        lost: requeststate.Lost,
    ) -> None:
        progress = requeststate.Progress
        if lost.closed and lost.progress is not progress.EVENTS:
            self.dependencies.quarantine.record_loss(
                crashes.Lifetime(chosen.target.id, chosen.target.born_ms),
                request_state.prompt_hash,
                request_state.suspects,
                lost.progress is progress.HEAD,
            )

    async def _exchange(
        self, request_state: requeststate.RequestState, chosen: selection.Choice
    ) -> requeststate.Outcome:
        written: list[bool] = []
        progress = requeststate.Progress.NONE
        before_write = functools.partial(
            self._before_write, request_state, chosen, written
        )
        try:
            due_s = self._attempt_due_s(request_state)
            async with asyncio.timeout_at(due_s) as timeout:
                give_up = functools.partial(timeout.reschedule, 0.0)
                with self.dependencies.silence.watch(
                    chosen.target,
                    give_up if request_state.may_repeat() else None,
                    check_ms=chosen.overdue_ms(),
                ):
                    answer = await self._send(request_state, chosen, before_write)
                progress = requeststate.Progress.HEAD
                return await self._read_answer(request_state, chosen, answer)
        except http_client.RequestNotSent as error:
            return requeststate.NotSent(str(error))
        except StaleChoice as error:
            return requeststate.NotSent(str(error), at_fault=False)
        except DoubtfulTarget as error:
            return error.outcome
        except TimeoutError:
            if not written:
                return requeststate.NotSent("no connection in time")
            return requeststate.Lost(self._timed_out(request_state, due_s), progress)
        except http_client.ResponseLost as error:
            return requeststate.lost_by(error, progress)

    async def _send(
        self,
        request_state: requeststate.RequestState,
        chosen: selection.Choice,
        before_write: typing.Callable[[], None],
    ) -> http_client.ClientResponse:
        request = request_state.request
        left_ms = (request_state.deadline_s - asyncio.get_running_loop().time()) * 1_000
        return await self.dependencies.http.send(
            http_client.parse_address(chosen.target.address),
            request.method,
            request.target,
            request.body,
            headers.request_headers(
                request.headers, chosen.metadata(request_state, left_ms)
            ),
            before_write=before_write,
            matches=headers.named_matcher(request_state.call.request_id),
            on_connected=functools.partial(
                self._confirm_target, request_state, chosen.target
            ),
            request_id=request_state.call.request_id,
        )

    async def _confirm_target(
        self,
        request_state: requeststate.RequestState,
        target: registry_module.Target,
        connection: int,
    ) -> None:
        """Raise DoubtfulTarget if a stream must not be sent on a connection."""
        request_state.record_connection(target.address, connection)
        doubt = await self.dependencies.continuations.doubt(
            request_state, target, connection
        )
        if doubt is not None:
            raise DoubtfulTarget(doubt)

    def _before_write(
        self,
        request_state: requeststate.RequestState,
        chosen: selection.Choice,
        written: list[bool],
    ) -> None:
        """Check the choice again, with the connection open, and count the request."""
        if not self.dependencies.selector.still_open(chosen):
            raise StaleChoice("the target no longer takes requests")
        if self._is_quarantined(request_state):
            raise StaleChoice("targets crash on the request")
        if not self.dependencies.selector.may_send(request_state, chosen):
            raise StaleChoice("a rollout keeps the request from the target")
        chosen.record_send()
        self.dependencies.selector.record_sent(request_state, chosen)
        written.append(True)
        request_state.is_sent = True
        request_state.times_sent += 1
        self.dependencies.selector.release_retry(request_state)
        if request_state.times_sent > 1:
            self.dependencies.selector.count_retry(request_state.service)

    def _timed_out(self, request_state: requeststate.RequestState, due_s: float) -> str:
        """Return why an attempt was given up: its time is over, or its target lost."""
        if asyncio.get_running_loop().time() < due_s:
            return "the target is silent and out of reach"
        part = "all" if due_s >= request_state.due_s else "part"
        return f"no answer in {part} of the time left"

    def _attempt_due_s(self, request_state: requeststate.RequestState) -> float:
        """Return when to give an attempt up, in time for another if both fit.

        Where only one run fits into what is left, or nobody knows how long runs take,
        it gets all of it.
        """
        route = request_state.route
        if route.kind is not catalogue.Kind.IDEMPOTENT:
            return request_state.due_s
        if request_state.possible_runs + 1 >= route.attempts:
            return request_state.due_s
        now_s = asyncio.get_running_loop().time()
        share_s = (request_state.due_s - now_s) * FIRST_ATTEMPT_SHARE
        registry = self.dependencies.mirror.registry
        needed_ms = registry.needed_ms(request_state.service)
        if needed_ms is None or share_s * 1_000 < needed_ms * RUN_MARGIN:
            return request_state.due_s
        return now_s + share_s

    async def _read_answer(
        self,
        request_state: requeststate.RequestState,
        chosen: selection.Choice,
        answer: http_client.ClientResponse,
    ) -> requeststate.Outcome:
        reply = headers.read_reply(answer.status, answer.headers)
        self.dependencies.selector.record_reply(chosen, reply)
        request_state.departed_ms = chosen.target.born_ms if reply.leaving else None
        request_state.first_byte_s = asyncio.get_running_loop().time()
        if reply.not_run:
            # Its head says all; the body is read to keep the connection.
            with contextlib.suppress(http_client.ResponseLost):
                await answer.read()
            return requeststate.NotRun(f"status {reply.status}", reply.moved)
        success = 200 <= reply.status < 300
        if success and not (
            reply.signed and reply.request_id == request_state.call.request_id
        ):
            answer.abort()
            answer.close()
            return requeststate.Lost("success response without the target's signature")
        if success and request_state.route.kind is catalogue.Kind.STREAM:
            return requeststate.Opened(answer)
        body = await answer.read()
        if reply.status in NOT_RUN_STATUSES:
            return requeststate.Lost(f"status {reply.status} without 'not run'")
        if success and not body and self._may_lack_body(request_state, answer):
            raise http_client.ConnectionClosed("the answer ended behind its head")
        response = messages.Response(
            reply.status, body, headers.response_headers(answer.headers)
        )
        if reply.status >= 500:
            return requeststate.Failure(response)
        answer.settle()
        return requeststate.Answered(response)

    def _may_lack_body(
        self,
        request_state: requeststate.RequestState,
        answer: http_client.ClientResponse,
    ) -> bool:
        """Return whether an answer without a body may have been broken off.

        Its head says nothing of a length, and the connection ended right behind it.
        """
        has_none = request_state.request.method == "HEAD" or answer.status == NO_CONTENT
        return answer.framing == "close" and not has_none

    def _refuse(
        self,
        request_id: str,
        request_state: requeststate.RequestState | None,
        refusal: refusals.NamedRefusal,
    ) -> messages.Response:
        response = refusals.make_response(refusal, self.dependencies.random.random())
        self.log.ended(request_state, refusal.name, response.status, request_id)
        return response
