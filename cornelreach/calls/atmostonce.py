"""Runs calls at most once.

An attempt is sent to a target only after the log holds its claim, and only if it has
not been abandoned. Its outcome is recorded afterwards; a repeat receives the recorded
answer, or a refusal that says that the outcome is unknown.
"""

import asyncio
import typing

from returns import result

from cornelreach.calls import (
    callmessages,
    claims,
    ledger,
    localattempts,
    refusals,
    tickets,
)
from cornelreach.peers import wire
from cornelreach.util import errors, events, hashing, timers

CLAIM_WAIT_MS = 2_000
QUERY_WAIT_MS = 1_000
MAX_CLAIM_AGE_MS = 3_600_000
ANSWER_MARGIN_MS = 500
MAX_CLAIM_ATTEMPTS = 6
MAX_RECORDED_BYTES = 16_384
RECORD_WAIT_MS = 2_000
RECORD_RETRY_MS = 500
RECORD_TIMEOUT_MS = 600_000
MAX_PENDING_RECORDS = 4_096

LOST = events.define(
    1613,
    "WARNING",
    "Attempt {attempt} to call service {service} was sent but not answered.",
    "Check the service; the caller is told that the outcome is unknown.",
)
UNRECORDED = events.define(
    1614,
    "WARNING",
    "The outcome of attempt {attempt} could not be recorded within ten minutes.",
    "Check the platform; repeats are told that the outcome is unknown.",
)

CallResult = result.Result[ledger.Answer, errors.Refusal]


class Answered(typing.NamedTuple):
    """The target answered."""

    answer: ledger.Answer


class NotSent(typing.NamedTuple):
    """No byte was written, or the target reported that it did not run the call.

    ``declined`` is True in the second case, in which the attempt had begun.
    """

    refusal: errors.Refusal
    declined: bool = False


class Lost(typing.NamedTuple):
    """At least one byte was written and no complete answer was received."""

    reason: str


SendResult = Answered | NotSent | Lost


class ServiceSender(typing.Protocol):
    """Sends one call to a target of its service."""

    async def send(
        self, call: callmessages.ServiceCall, begin: typing.Callable[[], None]
    ) -> SendResult:
        """Send the call on a new connection.

        ``begin`` is called once the connection is open, right before the first byte; if
        it raises localattempts.AttemptClosed, nothing is sent and NotSent is returned.
        """


class AtMostOnceRunner:
    """Claims calls, sends them, records outcomes and answers peers' queries."""

    def __init__(
        self,
        attempts: localattempts.LocalAttempts,
        claim_log: claims.ClaimLog,
        sender: ServiceSender,
        clock: timers.Timers,
    ) -> None:
        self.attempts = attempts
        self.claim_log = claim_log
        self.sender = sender
        self.clock = clock
        self.used_tickets = tickets.UsedTickets()
        self._tasks: set[asyncio.Task] = set()
        self._recording = 0

    async def run(self, call: callmessages.ServiceCall) -> CallResult:
        """Run a call, or return the outcome of an earlier attempt.

        It continues if its caller disconnects; the outcome is recorded for a repeat.
        """
        task = self._spawn(self._run(call))
        try:
            async with asyncio.timeout((call.wait_ms + ANSWER_MARGIN_MS) / 1_000):
                return await asyncio.shield(task)
        except TimeoutError:
            return result.Failure(refusals.still_running())

    def issue_ticket(self) -> str:
        """Return a ticket, a key whose call only this boot may run."""
        attempts = self.attempts
        return tickets.issue(attempts.instance, attempts.boot, self.clock.now_ms())

    async def wait_idle(self) -> None:
        """Wait until every attempt has ended and every outcome is recorded."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def close(self) -> None:
        """Cancel all attempts; those in progress are left without an outcome."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def handle_attempt_query(
        self, sender: wire.Sender, request: callmessages.AttemptQuery
    ) -> callmessages.AttemptStatus:
        """Tell a peer the state of an attempt of this boot."""
        attempt = self.attempts.find(request.attempt)
        if attempt is None:
            return callmessages.AttemptStatus(localattempts.AttemptState.FORGOTTEN)
        await _wait_until_ended(attempt, request.wait_ms)
        return callmessages.AttemptStatus(attempt.state, attempt.answer)

    async def handle_forward(
        self, sender: wire.Sender, call: callmessages.ServiceCall
    ) -> callmessages.ForwardReply:
        """Run a call with a ticket of this boot for the peer that received it."""
        ticket = tickets.parse(call.key)
        if ticket is None or not self._issued_here(ticket):
            return callmessages.ForwardReply(refusal=refusals.ticket_issuer_gone())
        outcome = await self.run(call)
        if isinstance(outcome, result.Success):
            return callmessages.ForwardReply(answer=outcome.unwrap())
        return callmessages.ForwardReply(refusal=outcome.failure())

    async def _run(self, call: callmessages.ServiceCall) -> CallResult:
        deadline_ms = self.clock.now_ms() + call.wait_ms
        if not call.key:
            attempt = self.attempts.open(self.clock.now_ms())
            return await self._send(attempt, call, deadline_ms)
        ticket = tickets.parse(call.key)
        if ticket is None:
            return await self._run_claimed(call, deadline_ms)
        if self._issued_here(ticket):
            return await self._run_ticket(ticket, call, deadline_ms)
        return await self._forward(ticket, call)

    def _issued_here(self, ticket: tickets.Ticket) -> bool:
        attempts = self.attempts
        return (ticket.instance, ticket.boot) == (attempts.instance, attempts.boot)

    async def _run_claimed(
        self, call: callmessages.ServiceCall, deadline_ms: float
    ) -> CallResult:
        direct = False
        for _ in range(MAX_CLAIM_ATTEMPTS):
            attempt = self.attempts.open(self.clock.now_ms())
            entry = self._claim_entry(call, attempt)
            decision = await self.claim_log.submit(
                entry, self._claim_wait_ms(deadline_ms), direct
            )
            if isinstance(decision, ledger.Held):
                return await self._execute(attempt, call, entry, deadline_ms)
            attempt.abandon()
            if isinstance(decision, claims.OwnerUnreachable):
                direct = True
            elif isinstance(decision, ledger.Running):
                outcome = await self._await_attempt(
                    decision.attempt, entry, deadline_ms, direct
                )
                if outcome is not None:
                    return outcome
            else:
                if isinstance(decision, ledger.Unavailable):
                    self._record_in_background(
                        _end_entry(entry, ledger.EntryKind.RELEASE)
                    )
                return refusals.decision_result(decision)
            if self.clock.now_ms() >= deadline_ms:
                break
        return result.Failure(refusals.not_run("the claim took too long", 1_000))

    def _claim_entry(
        self, call: callmessages.ServiceCall, attempt: localattempts.LocalAttempt
    ) -> ledger.LogEntry:
        key = ledger.key_digest(call.account, call.service, call.path, call.key)
        return ledger.LogEntry(
            ledger.EntryKind.CLAIM,
            key,
            attempt.id,
            int(self.clock.wall_ms()),
            hashing.digest(call.body),
        )

    def _claim_wait_ms(self, deadline_ms: float) -> float:
        return min(CLAIM_WAIT_MS, max(0.0, deadline_ms - self.clock.now_ms()))

    async def _execute(
        self,
        attempt: localattempts.LocalAttempt,
        call: callmessages.ServiceCall,
        entry: ledger.LogEntry,
        deadline_ms: float,
    ) -> CallResult:
        """Send a call whose claim is held, and record its outcome."""
        outcome = await self._send(attempt, call, deadline_ms)
        if attempt.state is localattempts.AttemptState.ABANDONED:
            self._record_in_background(_end_entry(entry, ledger.EntryKind.RELEASE))
        else:
            answer = _recordable(attempt.answer)
            self._record_in_background(
                _end_entry(entry, ledger.EntryKind.OUTCOME, answer)
            )
        return outcome

    async def _send(
        self,
        attempt: localattempts.LocalAttempt,
        call: callmessages.ServiceCall,
        deadline_ms: float,
    ) -> CallResult:
        def begin() -> None:
            now_ms = self.clock.now_ms()
            if (
                now_ms >= deadline_ms
                or now_ms - attempt.opened_ms > self._max_claim_age_ms()
            ):
                attempt.abandon()
            attempt.begin()

        try:
            sent = await self.sender.send(call, begin)
        except BaseException:
            attempt.abandon()
            attempt.mark_unknown()
            raise
        if isinstance(sent, Answered):
            attempt.finish(sent.answer)
            return result.Success(sent.answer)
        if isinstance(sent, NotSent) and sent.declined:
            attempt.mark_declined()
        if isinstance(sent, NotSent) and attempt.abandon():
            return result.Failure(sent.refusal)
        if attempt.abandon():
            refusal = refusals.not_run("no target could be reached", 1_000)
            return result.Failure(refusal)
        attempt.mark_unknown()
        events.emit(LOST, attempt=attempt.id.number, service=call.service)
        return result.Failure(refusals.outcome_unknown())

    def _max_claim_age_ms(self) -> float:
        """Return how long after its claim a call may still be sent."""
        return min(MAX_CLAIM_AGE_MS, self.claim_log.retention_ms() / 2)

    async def _await_attempt(
        self,
        attempt_id: ledger.AttemptId,
        entry: ledger.LogEntry,
        deadline_ms: float,
        direct: bool,
    ) -> CallResult | None:
        """Return the outcome of another attempt, or None once the key is free."""
        while self.clock.now_ms() < deadline_ms:
            status = await self._query_attempt(
                attempt_id, deadline_ms - self.clock.now_ms()
            )
            if status is None:
                return result.Failure(refusals.outcome_unknown(retry_after_ms=5_000))
            if status.state is localattempts.AttemptState.FINISHED:
                return result.Success(status.answer)
            if status.state is localattempts.AttemptState.ABANDONED:
                release = _end_entry(entry, ledger.EntryKind.RELEASE)._replace(
                    attempt=attempt_id
                )
                await self.claim_log.submit(
                    release, self._claim_wait_ms(deadline_ms), direct
                )
                return None
            if status.state in (
                localattempts.AttemptState.UNKNOWN,
                localattempts.AttemptState.FORGOTTEN,
            ):
                return result.Failure(refusals.outcome_unknown())
        return result.Failure(refusals.still_running())

    async def _query_attempt(
        self, attempt_id: ledger.AttemptId, remaining_ms: float
    ) -> callmessages.AttemptStatus | None:
        request = callmessages.AttemptQuery(
            attempt_id, min(QUERY_WAIT_MS, remaining_ms)
        )
        if attempt_id.instance == self.attempts.instance:
            return await self.handle_attempt_query(None, request)
        address = self.claim_log.members().get(attempt_id.instance)
        if address is None:
            return None
        wait_ms = request.wait_ms + claims.REPLY_MARGIN_MS
        reply = await self.claim_log.peers.call(
            address, callmessages.ASK_ATTEMPT, request, wait_ms
        )
        return reply.value_or(None)

    async def _run_ticket(
        self, ticket: tickets.Ticket, call: callmessages.ServiceCall, deadline_ms: float
    ) -> CallResult:
        now_ms = self.clock.now_ms()
        key = ledger.key_digest(call.account, call.service, call.path, call.key)
        body_digest = hashing.digest(call.body)
        use = self.used_tickets.find(key)
        if use is not None and use.body_digest != body_digest:
            return refusals.decision_result(ledger.Differs())
        if (
            use is not None
            and use.attempt.state is not localattempts.AttemptState.ABANDONED
        ):
            return await self._repeat_outcome(use.attempt, deadline_ms)
        if not 0 <= now_ms - ticket.issued_ms <= tickets.VALID_MS:
            return result.Failure(refusals.ticket_expired())
        attempt = self.attempts.open(now_ms)
        new_use = tickets.TicketUse(body_digest, attempt, ticket.issued_ms)
        if not self.used_tickets.add(key, new_use, now_ms):
            attempt.abandon()
            return result.Failure(refusals.too_many_tickets())
        return await self._send(attempt, call, deadline_ms)

    async def _repeat_outcome(
        self, attempt: localattempts.LocalAttempt, deadline_ms: float
    ) -> CallResult:
        await _wait_until_ended(attempt, deadline_ms - self.clock.now_ms())
        if attempt.state is localattempts.AttemptState.FINISHED:
            return result.Success(attempt.answer)
        if attempt.state is localattempts.AttemptState.ABANDONED:
            return result.Failure(refusals.not_run("no target accepted the call", 0))
        if attempt.state is localattempts.AttemptState.UNKNOWN:
            return result.Failure(refusals.outcome_unknown())
        return result.Failure(refusals.still_running())

    async def _forward(
        self, ticket: tickets.Ticket, call: callmessages.ServiceCall
    ) -> CallResult:
        address = self.claim_log.members().get(ticket.instance)
        if address is None:
            return result.Failure(refusals.ticket_issuer_gone())
        wait_ms = call.wait_ms + 2 * ANSWER_MARGIN_MS
        reply = await self.claim_log.peers.call(
            address, callmessages.FORWARD_TICKET, call, wait_ms
        )
        if isinstance(reply, result.Failure):
            return result.Failure(refusals.outcome_unknown(retry_after_ms=5_000))
        forwarded = reply.unwrap()
        if forwarded.answer is not None:
            return result.Success(forwarded.answer)
        return result.Failure(forwarded.refusal or refusals.outcome_unknown())

    def _record_in_background(self, entry: ledger.LogEntry) -> None:
        """Write an outcome or a release to the log in the background."""
        if self._recording < MAX_PENDING_RECORDS:
            self._recording += 1
            self._spawn(self._record_until_stored(entry))

    async def _record_until_stored(self, entry: ledger.LogEntry) -> None:
        until_ms = self.clock.now_ms() + RECORD_TIMEOUT_MS
        try:
            while self.clock.now_ms() < until_ms:
                decision = await self.claim_log.submit(entry, RECORD_WAIT_MS)
                if isinstance(decision, ledger.Recorded):
                    return
                await asyncio.sleep(RECORD_RETRY_MS / 1_000)
            events.emit(UNRECORDED, attempt=entry.attempt.number)
        finally:
            self._recording -= 1

    def _spawn(self, coroutine: typing.Coroutine) -> asyncio.Task:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


async def _wait_until_ended(
    attempt: localattempts.LocalAttempt, wait_ms: float
) -> None:
    """Wait until an attempt has ended, but no longer than ``wait_ms``."""
    if wait_ms <= 0:
        return
    try:
        async with asyncio.timeout(wait_ms / 1_000):
            await attempt.ended.wait()
    except TimeoutError:
        return


def _end_entry(
    claim: ledger.LogEntry, kind: ledger.EntryKind, answer: ledger.Answer | None = None
) -> ledger.LogEntry:
    return claim._replace(kind=kind, body_digest=b"", answer=answer)


def _recordable(answer: ledger.Answer | None) -> ledger.Answer | None:
    if answer is None or len(answer.body) <= MAX_RECORDED_BYTES:
        return answer
    return answer._replace(body=b"", kept=False)
