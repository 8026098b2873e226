"""Execution of chat calls: placement, sending, relaying, retries and resumption.

A caller sees one stream identifier and one sequence of event numbers, even if another
engine completes the answer after the first one failed.
"""

import asyncio
import contextlib
import itertools
import typing

from returns import result

from cornelreach.calls import attempt, chat, interfaces, sse, streams
from cornelreach.http import client, messages as http, server
from cornelreach.prompts import pieces, plans, transferclient
from cornelreach.settings import items, view
from cornelreach.targets import permits, retries
from cornelreach.util import errors, events, timers

RESUME_GRACE_MS = 5_000
RETRY_AFTER_MS = 1_000

ATTEMPT_FAILED = events.define(
    1601,
    "WARNING",
    "Attempt for account {account} on target {target} failed: {reason}.",
    "Check the target if this repeats; the call is retried within the retry budget.",
)


class Observer(typing.Protocol):
    """Receives measurements of calls; implemented by ``reports.reporter``."""

    def record_first_token(self, account: str, wait_ms: float) -> None:
        """Record the time from receipt to the first token."""

    def record_token_gap(self, account: str, gap_ms: float) -> None:
        """Record the time between two chunks."""

    def record_answer(
        self, account: str, prompt_tokens: int, cached_tokens: int
    ) -> None:
        """Record a complete answer."""

    def record_failure(self, account: str, code: errors.Code) -> None:
        """Record a refusal or a failure."""


class Identity(typing.NamedTuple):
    """The instance and boot that execute the calls."""

    name: str
    boot: str


class CallDependencies(typing.NamedTuple):
    """What the execution of chat and service calls depends on."""

    clock: timers.Timers
    http: client.Client
    view: view.View
    transfer_client: transferclient.TransferClient
    placer: interfaces.Placer
    key_ring: typing.Callable[[], streams.KeyRing]
    observer: Observer
    retries: retries.RetryBudgets
    identity: Identity
    usable_versions: typing.Callable[[items.Model, str], tuple[str, ...]]


class Progress:
    """The part of an answer that a caller has received so far."""

    def __init__(self, call: chat.ChatCall, started_ms: float) -> None:
        self.call = call
        self.started_ms = started_ms
        self.last_ms = started_ms
        self.texts: list[str] = []
        self.run = ""
        self.number = 0
        self.offset = 0
        self.failed_targets: tuple[str, ...] = ()
        self.version = ""
        self.prompt: pieces.PromptPieces | None = None

    @property
    def delivered(self) -> str:
        """Return the text that the caller already has."""
        return "".join(self.texts)

    def to_caller(self, item: attempt.ReceivedChunk, run: str) -> sse.Event:
        """Return an engine's chunk with the event number and run of the caller."""
        self.number = self.offset + item.number
        if run == self.run:
            return sse.Event(self.number, item.data)
        data = item.data.replace(run.encode(), self.run.encode())
        return sse.Event(self.number, data)


class ChatExecutor:
    """Executes chat calls; each instance has one."""

    def __init__(self, dependencies: CallDependencies) -> None:
        self.dependencies = dependencies
        self._numbers = itertools.count(1)
        self._background: set[asyncio.Task[None]] = set()
        self._awaiting_resume: dict[str, asyncio.Event] = {}

    async def run(self, call: chat.ChatCall) -> http.Response:
        """Answer a call; raises server.Refused before the first token."""
        started_ms = self.dependencies.clock.now_ms()
        progress = Progress(call, started_ms)
        relayed = self._relay(progress)
        try:
            async with asyncio.timeout(self._deadline_ms(call) / 1_000):
                first = await anext(relayed)
                if not call.stream:
                    return await self._full_response(progress, first, relayed)
        except TimeoutError:
            await relayed.aclose()
            raise self._deadline_passed(progress) from None
        except server.Refused as refused:
            self.dependencies.observer.record_failure(
                call.account, refused.refusal.code
            )
            raise
        headers = (
            (b"content-type", b"text/event-stream"),
            (b"cache-control", b"no-store"),
            (b"x-stream-id", progress.run.encode()),
        )
        return http.Response(200, headers=headers, stream=_encoded(first, relayed))

    def _deadline_ms(self, call: chat.ChatCall) -> float:
        default_ms = self._effective("deadline_ms", call)
        return min(call.deadline_ms or default_ms, default_ms)

    def _effective(self, setting: str, call: chat.ChatCall) -> int:
        wall_ms = self.dependencies.clock.wall_ms()
        return self.dependencies.view.effective(
            setting, wall_ms, call.account, call.model
        )

    def _deadline_passed(self, progress: Progress) -> server.Refused:
        self.dependencies.observer.record_failure(
            progress.call.account, errors.Code.DEADLINE
        )
        ran = (
            errors.ExecutionStatus.UNKNOWN
            if progress.run
            else errors.ExecutionStatus.NOT_RUN
        )
        return server.Refused(
            errors.Refusal(
                errors.Code.DEADLINE,
                "the deadline passed before the answer was available",
                "allow more time or send the call again later",
                ran,
                RETRY_AFTER_MS,
            )
        )

    async def _full_response(
        self,
        progress: Progress,
        first: sse.Event,
        relayed: typing.AsyncIterator[sse.Event],
    ) -> http.Response:
        last = first
        async with contextlib.aclosing(relayed):
            async for event in relayed:
                last = event
        chunk = sse.decode(last.data)
        usage = chunk.get("usage") or {}
        choices = chunk.get("choices") or [{}]
        message = {"role": "assistant", "content": progress.delivered}
        reason = choices[0].get("finish_reason") or "stop"
        body = {
            "id": progress.run,
            "object": "chat.completion",
            "model": progress.call.model,
            "choices": [{"index": 0, "message": message, "finish_reason": reason}],
            "usage": usage,
        }
        return http.json_response(200, body)

    async def _relay(self, progress: Progress) -> typing.AsyncIterator[sse.Event]:
        account = progress.call.account
        self.dependencies.retries.record_first_attempt(account)
        for count in itertools.count(1):
            placed = await self._place(progress)
            try:
                async for event in self._attempt(progress, placed):
                    yield event
                return
            except attempt.AttemptError as failure:
                events.emit(
                    ATTEMPT_FAILED,
                    account=progress.call.account,
                    target=placed.target.name,
                    reason=failure.reason,
                )
                progress.offset = progress.number
                progress.failed_targets += (placed.target.name,)
                ran = (
                    errors.ExecutionStatus.UNKNOWN
                    if failure.ran
                    else errors.ExecutionStatus.NOT_RUN
                )
                failed = retries.FailedAttempt(count, ran)
                if not self.dependencies.retries.take_retry(account, failed):
                    raise server.Refused(_attempts_failed(failure, ran)) from None

    async def _place(self, progress: Progress) -> interfaces.PlacedRequest:
        prompts = self._prompts(progress.call)
        placements = [
            self._placement_request(progress, version, prompt)
            for version, prompt in prompts.items()
        ]
        outcome = await self.dependencies.placer.place(*placements)
        if isinstance(outcome, result.Failure):
            raise server.Refused(outcome.failure())
        placed = outcome.unwrap()
        # The attempt keeps the version of its placement, even if a rollout proceeds.
        progress.version = placed.request.version
        progress.prompt = prompts[progress.version]
        return placed

    def _placement_request(
        self, progress: Progress, version: str, prompt: pieces.PromptPieces
    ) -> interfaces.PlacementRequest:
        call = progress.call
        elapsed_ms = self.dependencies.clock.now_ms() - progress.started_ms
        return interfaces.PlacementRequest(
            call.account,
            call.model,
            call.priority,
            prompt,
            self._answer_tokens(call),
            max(1, int(self._deadline_ms(call) - elapsed_ms)),
            progress.failed_targets,
            version,
        )

    def _model(self, call: chat.ChatCall) -> items.Model:
        model = self.dependencies.view.models.get(call.model)
        if model is None:
            raise server.Refused(_model_not_found(call.model))
        return model

    def _prompts(self, call: chat.ChatCall) -> dict[str, pieces.PromptPieces]:
        """Return the prompt's pieces for each usable weight version, best first."""
        model = self._model(call)
        texts = [message._asdict() for message in call.messages]
        current = pieces.split(call.account, call.model, model.version, texts)
        return {
            version: current
            if version == model.version
            else pieces.split(call.account, call.model, version, texts)
            for version in self.dependencies.usable_versions(model, current.root)
        }

    def _answer_tokens(self, call: chat.ChatCall) -> int:
        limit = self._effective("max_answer_tokens", call)
        return min(call.max_tokens or limit, limit)

    def _sign(self, call: chat.ChatCall, target: str) -> str:
        identity = self.dependencies.identity
        number = next(self._numbers)
        return self.dependencies.key_ring().sign(
            streams.StreamId(call.account, target, identity.name, identity.boot, number)
        )

    async def _attempt(
        self, progress: Progress, placed: interfaces.PlacedRequest
    ) -> typing.AsyncIterator[sse.Event]:
        call = progress.call
        run = self._sign(call, placed.target.name)
        engine_attempt = attempt.Attempt(
            self.dependencies.http, self.dependencies.clock, placed, run
        )
        progress.run = progress.run or run
        outcome = permits.Outcome.CANCELLED
        try:
            engine_attempt.placed = placed = await self._import_pieces(progress, placed)
            body = self._body(progress, run, placed.permit.target_priority)
            async for item in engine_attempt.chunks(body):
                yield self._record_chunk(progress, item, run)
            outcome = permits.Outcome.DONE
            self.dependencies.observer.record_answer(
                call.account, engine_attempt.prompt_tokens, engine_attempt.cached_tokens
            )
        except attempt.AttemptError as failure:
            outcome = failure.outcome
            if failure.ran:
                self._start_background(engine_attempt.cancel())
            if not progress.texts:
                progress.run = ""
            raise
        finally:
            if outcome is permits.Outcome.CANCELLED and engine_attempt.sent:
                self._start_background(
                    self._cancel_unless_resumed(progress, engine_attempt, placed)
                )
            else:
                self._release(engine_attempt, placed, outcome)

    async def _import_pieces(
        self, progress: Progress, placed: interfaces.PlacedRequest
    ) -> interfaces.PlacedRequest:
        """Import the pieces that the permit's plan names.

        If that fails, the engine prefills them itself.
        """
        plan = plans.decode(placed.permit.plan)
        source = self.dependencies.view.targets.get(plan.source)
        if source is None:
            return placed
        keys = progress.prompt.keys
        await self.dependencies.transfer_client.import_blocks(
            client.parse_address(source.address),
            client.parse_address(placed.target.address),
            keys[plan.start : plan.end],
            plan.limit_ms,
        )
        return await self.dependencies.placer.renew(placed)

    def _body(self, progress: Progress, run: str, priority: int) -> bytes:
        call = progress.call
        prompt = progress.prompt
        described = [
            {"key": key, "tokens": tokens}
            for key, tokens in zip(prompt.keys, prompt.tokens, strict=True)
        ]
        tokens = self._answer_tokens(call)
        return chat.engine_body(
            call, run, progress.version, described, tokens, priority, progress.delivered
        )

    def _record_chunk(
        self, progress: Progress, item: attempt.ReceivedChunk, run: str
    ) -> sse.Event:
        now_ms = self.dependencies.clock.now_ms()
        text = sse.delta_text(item.chunk)
        if text:
            account = progress.call.account
            if progress.texts:
                self.dependencies.observer.record_token_gap(
                    account, now_ms - progress.last_ms
                )
            else:
                self.dependencies.observer.record_first_token(
                    account, now_ms - progress.started_ms
                )
            progress.last_ms = now_ms
            progress.texts.append(text)
        return progress.to_caller(item, run)

    def _release(
        self,
        engine_attempt: attempt.Attempt,
        placed: interfaces.PlacedRequest,
        outcome: permits.Outcome,
    ) -> None:
        # A cancelled run has not necessarily ended: it may have been resumed.
        cancelled = outcome is permits.Outcome.CANCELLED
        if cancelled and not engine_attempt.sent:
            outcome = permits.Outcome.UNUSED
        release = permits.Release(
            placed.permit.permit,
            placed.target.name,
            outcome,
            "" if cancelled else engine_attempt.boot,
            engine_attempt.first_token_ms or None,
        )
        self.dependencies.placer.release(release, placed.permit.pool)

    async def _cancel_unless_resumed(
        self,
        progress: Progress,
        engine_attempt: attempt.Attempt,
        placed: interfaces.PlacedRequest,
    ) -> None:
        # The caller has disconnected. If it resumes the stream within the grace period,
        # here or at another instance, the run continues to its end.
        resumed = asyncio.Event()
        self._awaiting_resume[engine_attempt.run] = resumed
        grace_ms = RESUME_GRACE_MS if progress.call.stream else 0
        try:
            async with asyncio.timeout(grace_ms / 1_000):
                await resumed.wait()
        except TimeoutError:
            await engine_attempt.cancel()
        finally:
            del self._awaiting_resume[engine_attempt.run]
            self._release(engine_attempt, placed, permits.Outcome.CANCELLED)

    def on_resumed(self, run: str) -> None:
        """Note that a caller resumed a run, here or at another instance."""
        if run in self._awaiting_resume:
            self._awaiting_resume[run].set()

    def _start_background(
        self, coroutine: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = asyncio.ensure_future(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def wait_idle(self) -> None:
        """Wait for cancellations and resume grace periods in progress."""
        while self._background:
            await asyncio.wait(self._background)


async def _encoded(
    first: sse.Event, relayed: typing.AsyncIterator[sse.Event]
) -> typing.AsyncIterator[bytes]:
    last = first
    async with contextlib.aclosing(relayed):
        yield sse.encode(*first)
        try:
            async for event in relayed:
                last = event
                yield sse.encode(*event)
            yield sse.encode(last.number + 1, sse.DONE)
        except server.Refused as refused:
            body = server.refusal_response(refused.refusal).body
            yield b"event: error\n" + sse.encode(last.number + 1, body)


def _attempts_failed(
    failure: attempt.AttemptError, ran: errors.ExecutionStatus
) -> errors.Refusal:
    code = errors.Code.TARGET_FAILED if failure.ran else errors.Code.UNAVAILABLE
    return errors.Refusal(
        code,
        f"no target completed the call: {failure.reason}",
        "send the call again",
        ran,
        RETRY_AFTER_MS,
    )


def _model_not_found(name: str) -> errors.Refusal:
    return errors.Refusal(
        errors.Code.NOT_FOUND,
        f"model {name!r} does not exist",
        "use a model that the operators have created",
    )
