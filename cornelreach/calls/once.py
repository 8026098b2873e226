"""Runs a call that may not be repeated at most once.

The target is written to only after the log holds the claim of this very attempt, and
only while the attempt has not been given up. What became of it is recorded afterwards;
a repeat is given the recorded answer, or told that the outcome is unknown.
"""

import asyncio
import typing

from returns import result

from cornelreach.calls import claims, exchanges, ledger, refusals, runs, tickets
from cornelreach.peers import wire
from cornelreach.util import errors, events, hashing, timers

CLAIM_WAIT_MS = 2_000
ASK_WAIT_MS = 1_000
HOLD_MS = 3_600_000
ANSWER_MARGIN_MS = 500
MAX_ROUNDS = 6
MAX_RECORDED_BYTES = 16_384
RECORD_WAIT_MS = 2_000
RECORD_PAUSE_MS = 500
RECORD_KEEP_MS = 600_000
MAX_RECORDS = 4_096

LOST = events.define(
    1613,
    "WARNING",
    "Attempt {attempt} at service {service} was sent and got no answer.",
    "Look at the service; its caller is told that the outcome is unknown.",
)
UNRECORDED = events.define(
    1614,
    "WARNING",
    "The end of attempt {attempt} could not be recorded within ten minutes.",
    "Look at the platform; repeats are told that the outcome is unknown.",
)

Outcome = result.Result[ledger.Answer, errors.Refusal]


class Answered(typing.NamedTuple):
    """The target answered."""

    answer: ledger.Answer


class NotSent(typing.NamedTuple):
    """No byte was written, or the target said that it did not run the call.

    ``declined`` marks the second case, in which the attempt had begun.
    """

    refusal: errors.Refusal
    declined: bool = False


class Lost(typing.NamedTuple):
    """At least one byte was written and no whole answer came."""

    reason: str


Sent = Answered | NotSent | Lost


class Sender(typing.Protocol):
    """Sends one call to a target of its service."""

    async def send(
        self, call: exchanges.Call, begin: typing.Callable[[], None]
    ) -> Sent:
        """Send on a fresh connection.

        ``begin`` is called with the connection open, right before the first byte; if
        it raises runs.TooLate, nothing is sent and the end is NotSent.
        """


class Once:
    """The edge's part: claims, sends, records, and answers peers that ask."""

    def __init__(
        self,
        attempts: runs.Runs,
        log: claims.Claims,
        sender: Sender,
        clock: timers.Timers,
    ) -> None:
        self.attempts = attempts
        self.log = log
        self.sender = sender
        self.clock = clock
        self.book = tickets.Book()
        self._tasks: set[asyncio.Task] = set()
        self._records = 0

    async def run(self, call: exchanges.Call) -> Outcome:
        """Run a call, or return what became of it.

        A caller that hangs up does not stop it: its outcome is recorded for a repeat.
        """
        task = self._spawn(self._run(call))
        try:
            async with asyncio.timeout((call.wait_ms + ANSWER_MARGIN_MS) / 1_000):
                return await asyncio.shield(task)
        except TimeoutError:
            return result.Failure(refusals.still_running())

    def issue_ticket(self) -> str:
        """Return a key that this boot alone may run."""
        attempts = self.attempts
        return tickets.issue(attempts.instance, attempts.boot, self.clock.now_ms())

    async def drained(self) -> None:
        """Wait until every attempt has ended and every outcome is recorded."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def close(self) -> None:
        """Stop at once; what is running is left without an outcome."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def answer_ask(
        self, sender: wire.Sender, request: exchanges.Ask
    ) -> exchanges.Asked:
        """Tell a peer what became of an attempt of this boot."""
        run = self.attempts.find(request.attempt)
        if run is None:
            return exchanges.Asked(runs.State.FORGOTTEN)
        await _settled(run, request.wait_ms)
        return exchanges.Asked(run.state, run.answer)

    async def answer_forward(
        self, sender: wire.Sender, call: exchanges.Call
    ) -> exchanges.Forwarded:
        """Run a ticket's call for a peer that received it."""
        ticket = tickets.parse(call.key)
        if ticket is None or not self._issued(ticket):
            return exchanges.Forwarded(refusal=refusals.boot_gone())
        outcome = await self.run(call)
        if isinstance(outcome, result.Success):
            return exchanges.Forwarded(answer=outcome.unwrap())
        return exchanges.Forwarded(refusal=outcome.failure())

    async def _run(self, call: exchanges.Call) -> Outcome:
        due_ms = self.clock.now_ms() + call.wait_ms
        if not call.key:
            run = self.attempts.open(self.clock.now_ms())
            return await self._send(run, call, due_ms)
        ticket = tickets.parse(call.key)
        if ticket is None:
            return await self._claimed(call, due_ms)
        if self._issued(ticket):
            return await self._own_ticket(ticket, call, due_ms)
        return await self._forward(ticket, call)

    def _issued(self, ticket: tickets.Ticket) -> bool:
        attempts = self.attempts
        return (ticket.instance, ticket.boot) == (attempts.instance, attempts.boot)

    async def _claimed(self, call: exchanges.Call, due_ms: float) -> Outcome:
        direct = False
        for _ in range(MAX_ROUNDS):
            run = self.attempts.open(self.clock.now_ms())
            entry = self._claim(call, run)
            decision = await self.log.submit(entry, self._claim_wait(due_ms), direct)
            if isinstance(decision, ledger.Held):
                return await self._execute(run, call, entry, due_ms)
            run.abandon()
            if isinstance(decision, claims.OwnerLost):
                direct = True
            elif isinstance(decision, ledger.Running):
                outcome = await self._follow(decision.attempt, entry, due_ms, direct)
                if outcome is not None:
                    return outcome
            else:
                if isinstance(decision, ledger.Unavailable):
                    self._record(_ending(entry, ledger.Kind.RELEASE))
                return refusals.conclude(decision)
            if self.clock.now_ms() >= due_ms:
                break
        return result.Failure(refusals.unclaimed("the claim took too long", 1_000))

    def _claim(self, call: exchanges.Call, run: runs.Run) -> ledger.Entry:
        key = ledger.key_digest(call.account, call.service, call.path, call.key)
        return ledger.Entry(
            ledger.Kind.CLAIM,
            key,
            run.attempt,
            int(self.clock.wall_ms()),
            hashing.digest(call.body),
        )

    def _claim_wait(self, due_ms: float) -> float:
        return min(CLAIM_WAIT_MS, max(0.0, due_ms - self.clock.now_ms()))

    async def _execute(
        self, run: runs.Run, call: exchanges.Call, entry: ledger.Entry, due_ms: float
    ) -> Outcome:
        """Send a call whose claim is held, and record its end."""
        outcome = await self._send(run, call, due_ms)
        if run.state is runs.State.ABANDONED:
            self._record(_ending(entry, ledger.Kind.RELEASE))
        else:
            answer = _recordable(run.answer)
            self._record(_ending(entry, ledger.Kind.OUTCOME, answer))
        return outcome

    async def _send(
        self, run: runs.Run, call: exchanges.Call, due_ms: float
    ) -> Outcome:
        def begin() -> None:
            now_ms = self.clock.now_ms()
            if now_ms >= due_ms or now_ms - run.opened_ms > self._hold_ms():
                run.abandon()
            run.begin()

        try:
            sent = await self.sender.send(call, begin)
        except BaseException:
            run.abandon()
            run.lose()
            raise
        if isinstance(sent, Answered):
            run.finish(sent.answer)
            return result.Success(sent.answer)
        if isinstance(sent, NotSent) and sent.declined:
            run.retract()
        if isinstance(sent, NotSent) and run.abandon():
            return result.Failure(sent.refusal)
        if run.abandon():
            refusal = refusals.unclaimed("no target could be reached", 1_000)
            return result.Failure(refusal)
        run.lose()
        events.emit(LOST, attempt=run.attempt.number, service=call.service)
        return result.Failure(refusals.unknown())

    def _hold_ms(self) -> float:
        """Return how long after its claim a call may still be sent."""
        return min(HOLD_MS, self.log.retention_ms() / 2)

    async def _follow(
        self,
        attempt: ledger.Attempt,
        entry: ledger.Entry,
        due_ms: float,
        direct: bool,
    ) -> Outcome | None:
        """Return the outcome of another attempt, or None once the key is free."""
        while self.clock.now_ms() < due_ms:
            asked = await self._ask(attempt, due_ms - self.clock.now_ms())
            if asked is None:
                return result.Failure(refusals.unknown(retry_after_ms=5_000))
            if asked.state is runs.State.FINISHED:
                return result.Success(asked.answer)
            if asked.state is runs.State.ABANDONED:
                ending = _ending(entry, ledger.Kind.RELEASE)._replace(attempt=attempt)
                await self.log.submit(ending, self._claim_wait(due_ms), direct)
                return None
            if asked.state in (runs.State.UNKNOWN, runs.State.FORGOTTEN):
                return result.Failure(refusals.unknown())
        return result.Failure(refusals.still_running())

    async def _ask(
        self, attempt: ledger.Attempt, left_ms: float
    ) -> exchanges.Asked | None:
        request = exchanges.Ask(attempt, min(ASK_WAIT_MS, left_ms))
        if attempt.instance == self.attempts.instance:
            return await self.answer_ask(None, request)
        address = self.log.members().get(attempt.instance)
        if address is None:
            return None
        wait_ms = request.wait_ms + claims.REPLY_MARGIN_MS
        reply = await self.log.peers.call(address, exchanges.ASK, request, wait_ms)
        return reply.value_or(None)

    async def _own_ticket(
        self, ticket: tickets.Ticket, call: exchanges.Call, due_ms: float
    ) -> Outcome:
        now_ms = self.clock.now_ms()
        key = ledger.key_digest(call.account, call.service, call.path, call.key)
        body_digest = hashing.digest(call.body)
        use = self.book.find(key)
        if use is not None and use.body_digest != body_digest:
            return refusals.conclude(ledger.Differs())
        if use is not None and use.run.state is not runs.State.ABANDONED:
            return await self._used(use.run, due_ms)
        if not 0 <= now_ms - ticket.issued_ms <= tickets.VALID_MS:
            return result.Failure(refusals.ticket_expired())
        run = self.attempts.open(now_ms)
        fresh = tickets.Use(body_digest, run, ticket.issued_ms)
        if not self.book.add(key, fresh, now_ms):
            run.abandon()
            return result.Failure(refusals.book_full())
        return await self._send(run, call, due_ms)

    async def _used(self, run: runs.Run, due_ms: float) -> Outcome:
        await _settled(run, due_ms - self.clock.now_ms())
        if run.state is runs.State.FINISHED:
            return result.Success(run.answer)
        if run.state is runs.State.ABANDONED:
            return result.Failure(refusals.unclaimed("no target took the call", 0))
        if run.state is runs.State.UNKNOWN:
            return result.Failure(refusals.unknown())
        return result.Failure(refusals.still_running())

    async def _forward(self, ticket: tickets.Ticket, call: exchanges.Call) -> Outcome:
        address = self.log.members().get(ticket.instance)
        if address is None:
            return result.Failure(refusals.boot_gone())
        wait_ms = call.wait_ms + 2 * ANSWER_MARGIN_MS
        reply = await self.log.peers.call(address, exchanges.FORWARD, call, wait_ms)
        if isinstance(reply, result.Failure):
            return result.Failure(refusals.unknown(retry_after_ms=5_000))
        forwarded = reply.unwrap()
        if forwarded.answer is not None:
            return result.Success(forwarded.answer)
        return result.Failure(forwarded.refusal or refusals.unknown())

    def _record(self, entry: ledger.Entry) -> None:
        """Write an ending to the log in the background."""
        if self._records < MAX_RECORDS:
            self._records += 1
            self._spawn(self._keep_recording(entry))

    async def _keep_recording(self, entry: ledger.Entry) -> None:
        give_up_ms = self.clock.now_ms() + RECORD_KEEP_MS
        try:
            while self.clock.now_ms() < give_up_ms:
                decision = await self.log.submit(entry, RECORD_WAIT_MS)
                if isinstance(decision, ledger.Recorded):
                    return
                await asyncio.sleep(RECORD_PAUSE_MS / 1_000)
            events.emit(UNRECORDED, attempt=entry.attempt.number)
        finally:
            self._records -= 1

    def _spawn(self, work: typing.Coroutine) -> asyncio.Task:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


async def _settled(run: runs.Run, wait_ms: float) -> None:
    """Wait until an attempt has ended, at most for a time."""
    if wait_ms <= 0:
        return
    try:
        async with asyncio.timeout(wait_ms / 1_000):
            await run.settled.wait()
    except TimeoutError:
        return


def _ending(
    claim: ledger.Entry, kind: ledger.Kind, answer: ledger.Answer | None = None
) -> ledger.Entry:
    return claim._replace(kind=kind, body_digest=b"", answer=answer)


def _recordable(answer: ledger.Answer | None) -> ledger.Answer | None:
    if answer is None or len(answer.body) <= MAX_RECORDED_BYTES:
        return answer
    return answer._replace(body=b"", kept=False)
