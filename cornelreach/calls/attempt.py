"""One attempt to run a chat call on an engine: sending, reading and resumption."""

import asyncio
import typing

from returns import result

from cornelreach.calls import interfaces, sse
from cornelreach.http import client
from cornelreach.targets import permits
from cornelreach.util import timers

MAX_RESUMES = 2
CANCEL_WAIT_MS = 2_000
STALL_TIMEOUT_MS = 10_000
RETRY_LATER_STATUS = frozenset((429, 503))
PRECONDITION_FAILED = 412


class ReceivedChunk(typing.NamedTuple):
    """One chunk of an answer: event number, decoded chunk and the engine's data."""

    number: int
    chunk: sse.Chunk
    data: bytes


class PermitExpired(Exception):
    """The permit expired before the first byte was written."""


class AttemptError(Exception):
    """The attempt ended without a complete answer.

    ``ran`` is false only when the engine cannot have run the request.
    """

    def __init__(self, reason: str, outcome: permits.Outcome, ran: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.outcome = outcome
        self.ran = ran


class StallGuard:
    """Aborts an answer without new data for one to two periods of ``STALL_TIMEOUT_MS``.

    One periodic timer per stream costs less than a timeout around each read.
    """

    def __init__(self, answer: client.ClientResponse, clock: timers.Timers) -> None:
        self.received = False
        self._answer = answer
        self._subscription = clock.every(STALL_TIMEOUT_MS, self._check)

    def _check(self) -> None:
        if not self.received:
            self._answer.abort()
        self.received = False

    def stop(self) -> None:
        """Stop the timer."""
        self._subscription.cancel()


class Attempt:
    """Sends a request to an engine and yields the chunks of its answer.

    Every chunk carries the run's identifier. A chunk of another run fails the attempt,
    so that a caller never receives the answer to another call.
    """

    def __init__(
        self,
        http: client.Client,
        clock: timers.Timers,
        placed: interfaces.PlacedRequest,
        run: str,
    ) -> None:
        self.http = http
        self.clock = clock
        self.placed = placed
        self.run = run
        self.boot = ""
        self.first_token_ms = 0
        self.cached_tokens = 0
        self.prompt_tokens = 0
        self.finished = False
        self.sent = False
        self._last_number = -1
        self._sent_ms = 0.0

    @property
    def address(self) -> client.Address:
        """Return the address of the target."""
        return client.parse_address(self.placed.target.address)

    async def chunks(self, body: bytes) -> typing.AsyncIterator[ReceivedChunk]:
        """Yield each chunk; raises AttemptError if the answer cannot be completed."""
        answer = await self._send(body)
        resumes = 0
        while True:
            try:
                async for item in self._read(answer):
                    yield item
            except client.ResponseLost as error:
                resumes += 1
                answer = await self._resume(error, resumes)
                continue
            if self.finished:
                return
            resumes += 1
            lost = client.ResponseLost("the stream ended without its last event")
            answer = await self._resume(lost, resumes)

    async def _send(self, body: bytes) -> client.ClientResponse:
        headers = (
            (b"content-type", b"application/json"),
            (b"if-match", self.placed.permit.boot.encode()),
        )
        self._sent_ms = self.clock.now_ms()
        try:
            async with asyncio.timeout(STALL_TIMEOUT_MS * 6 / 1_000):
                answer = await self.http.send(
                    self.address,
                    "POST",
                    "/v1/chat/completions",
                    body,
                    headers,
                    before_write=self._before_write,
                )
        except PermitExpired as error:
            raise AttemptError(str(error), permits.Outcome.UNUSED, ran=False) from None
        except client.RequestNotSent as error:
            raise AttemptError(
                str(error), permits.Outcome.CONNECTION_LOST, ran=False
            ) from None
        except (client.ResponseLost, TimeoutError) as error:
            raise AttemptError(
                str(error), permits.Outcome.CONNECTION_LOST, ran=True
            ) from None
        self.boot = answer.header("x-boot-id") or ""
        if answer.status != 200:
            await self._raise_for_status(answer)
        return answer

    def _before_write(self) -> None:
        permit_check(self.placed, self.clock)()
        self.sent = True

    async def _raise_for_status(self, answer: client.ClientResponse) -> typing.NoReturn:
        status = answer.status
        answer.retire()  # a copy of this answer would name no run
        text = (await answer.read())[:200].decode(errors="replace")
        if status == PRECONDITION_FAILED:
            raise AttemptError(
                "the target restarted", permits.Outcome.REJECTED, ran=False
            )
        if status in RETRY_LATER_STATUS:
            raise AttemptError(
                "the target is at capacity", permits.Outcome.REJECTED, ran=False
            )
        reason = f"the target answered {status}: {text}"
        raise AttemptError(reason, permits.Outcome.FAILED, ran=status >= 500)

    async def _read(
        self, answer: client.ClientResponse
    ) -> typing.AsyncIterator[ReceivedChunk]:
        parser = sse.EventParser()
        parts = answer.parts()
        guard = StallGuard(answer, self.clock)
        try:
            async for part in parts:
                guard.received = True
                for event in parser.feed(part):
                    item = self._decode(event)
                    if item is not None:
                        yield item
        except sse.MalformedStream as error:
            raise AttemptError(str(error), permits.Outcome.FAILED, ran=True) from None
        finally:
            guard.stop()
            await parts.aclose()

    def _decode(self, event: sse.Event) -> ReceivedChunk | None:
        if event.data == sse.DONE:
            self.finished = True
            return None
        if event.number <= self._last_number:
            return None
        self._last_number = event.number
        chunk = sse.decode(event.data)
        if chunk.get("id") != self.run:
            raise sse.MalformedStream("the target sent a chunk of another run")
        if not self.first_token_ms and sse.delta_text(chunk):
            self.first_token_ms = max(1, int(self.clock.now_ms() - self._sent_ms))
        usage = chunk.get("usage")
        if usage:
            self.cached_tokens = usage.get("cached_tokens", 0)
            self.prompt_tokens = usage.get("prompt_tokens", 0)
        return ReceivedChunk(event.number, chunk, event.data)

    async def _resume(self, error: Exception, resumes: int) -> client.ClientResponse:
        if resumes > MAX_RESUMES:
            raise AttemptError(str(error), permits.Outcome.CONNECTION_LOST, ran=True)
        return await resume(self.http, self.address, self.run, self._last_number, error)

    async def cancel(self) -> None:
        """Ask the engine to stop the run; if the request is lost, work is wasted."""
        target = f"/v1/runs/{self.run}/cancel"
        try:
            await self.http.call(self.address, "POST", target, wait_ms=CANCEL_WAIT_MS)
        except (client.RequestNotSent, client.ResponseLost):
            return


def permit_check(
    placed: interfaces.PlacedRequest, clock: timers.Timers
) -> typing.Callable[[], None]:
    """Return a check to call before the first byte; it raises PermitExpired."""

    def check() -> None:
        checked = permits.check(placed.permit, placed.asked_ms, clock.now_ms(), None)
        if isinstance(checked, result.Failure):
            raise PermitExpired(checked.failure().message)

    return check


async def resume(
    http: client.Client,
    address: client.Address,
    run: str,
    last_number: int,
    cause: Exception,
) -> client.ClientResponse:
    """Request the events of a run that follow ``last_number``.

    Raises AttemptError if the engine cannot be reached or no longer has the run.
    """
    target = f"/v1/runs/{run}/events?from={last_number}"
    try:
        async with asyncio.timeout(STALL_TIMEOUT_MS / 1_000):
            answer = await http.send(address, "GET", target)
    except (client.RequestNotSent, client.ResponseLost, TimeoutError) as error:
        reason = f"{cause}; resuming failed: {error}"
        raise AttemptError(reason, permits.Outcome.CONNECTION_LOST, ran=True) from None
    if answer.status != 200:
        await answer.read()
        raise AttemptError(
            f"{cause}; the engine no longer has the run",
            permits.Outcome.CONNECTION_LOST,
            ran=True,
        )
    return answer
