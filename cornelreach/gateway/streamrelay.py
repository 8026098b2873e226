"""Relaying of a stream to its caller, which may go on at another target.

Each whole event is passed on as it arrives. The response ends as complete only if the
target's answer did; if it broke off, the caller's connection is closed without its last
chunk, or a resumable stream goes on at another target::

    relay = streamrelay.StreamRelay(dependencies, log, choose, attempt, attempt_failed)
    response = relay.response(request_state, chosen, answer)
"""

import asyncio
import contextlib
import typing

from cornelreach.gateway import (
    continuations as continuations_module,
    detours as detours_module,
    eventstream,
    quarantine as quarantine_module,
    requestlog,
    requeststate,
    selection,
    silence as silence_module,
)
from cornelreach.http import client as http_client, messages, server
from cornelreach.platform import headers

STREAM_LOST = (
    http_client.ResponseLost,
    eventstream.EventTooLong,
    eventstream.NotContinued,
    TimeoutError,
)

Way = selection.Choice | detours_module.Detour


class Kind(typing.NamedTuple):
    """The status of an answer and the type of its body, in lower case."""

    status: int
    media_type: str


def _kind_of(answer: http_client.ClientResponse) -> Kind:
    media_type = (answer.header("content-type") or "").partition(";")[0]
    return Kind(answer.status, media_type.strip().lower())


class Dependencies(typing.Protocol):
    """What relaying uses of the components of forwarding."""

    continuations: continuations_module.Continuations
    quarantine: quarantine_module.Quarantine
    silence: silence_module.Silence


class _Reading:
    """The reading of a stream, which is ended if its target is lost midway."""

    def __init__(self) -> None:
        self._timeout: asyncio.Timeout | None = None

    @property
    def is_waiting(self) -> bool:
        """Return whether the next part of the stream is awaited."""
        return self._timeout is not None

    def give_up(self) -> None:
        """End the wait for the next part."""
        if self._timeout is not None:
            self._timeout.reschedule(0.0)

    async def next_part(
        self, parts: typing.AsyncIterator[bytes], due_s: float
    ) -> bytes:
        """Return the next part; raises ResponseLost if its target was given up."""
        try:
            async with asyncio.timeout_at(due_s) as self._timeout:
                return await anext(parts)
        except TimeoutError:
            if asyncio.get_running_loop().time() >= due_s:
                raise
            text = "the target is silent and out of reach"
            raise http_client.ResponseLost(text) from None
        finally:
            self._timeout = None


def _progress_of(splitter: eventstream.EventSplitter) -> requeststate.Progress:
    progress = requeststate.Progress
    return progress.EVENTS if splitter.has_event else progress.HEAD


def _empty(framing: str) -> http_client.ResponseLost:
    """Return what is wrong with a stream that ended without an event.

    A target that crashed closes its connection, and writes no other end.
    """
    text = "the stream ended without an event"
    if framing == "close":
        return http_client.ConnectionClosed(text)
    return http_client.ResponseLost(text)


class StreamRelay:
    """Relays streams; ``choose`` and ``attempt`` find where a broken one goes on."""

    def __init__(
        self,
        dependencies: Dependencies,
        log: requestlog.RequestLog,
        choose: typing.Callable[..., typing.Awaitable[Way | None]],
        attempt: typing.Callable[..., typing.Awaitable[requeststate.Outcome]],
        attempt_failed: typing.Callable[..., None],
    ) -> None:
        self.dependencies = dependencies
        self.log = log
        self.choose = choose
        self.attempt = attempt
        self.attempt_failed = attempt_failed
        self.on_end: typing.Callable[..., None] = lambda request_state: None

    def response(
        self,
        request_state: requeststate.RequestState,
        chosen: Way,
        answer: http_client.ClientResponse,
    ) -> messages.Response:
        """Return the response to the caller; its stream comes from the answer."""
        length = answer.header("content-length")
        resumable = request_state.route.resumable
        return messages.Response(
            answer.status,
            headers=headers.response_headers(answer.headers),
            stream=self._relay(request_state, chosen, answer),
            length=int(length) if length and not resumable else None,
        )

    async def _relay(
        self,
        request_state: requeststate.RequestState,
        chosen: Way,
        answer: http_client.ClientResponse,
    ) -> typing.AsyncIterator[bytes]:
        """Yield a stream's whole events; one that breaks off may be resumed.

        A stream that ends inside an event was broken off, even if its framing says that
        it is complete: the end of a connection may be the only framing. So was one
        without an event, unless there may be none left.
        """
        splitter = eventstream.EventSplitter(request_state.last_event)
        first = _kind_of(answer)
        # The caller that goes on with a stream gets what its target answers.
        may_be_empty = request_state.last_event is not None
        continuations = self.dependencies.continuations
        outcome = "left"
        try:
            while True:
                framing = answer.framing
                try:
                    async for part in self._read_until_due(
                        request_state, chosen, answer, splitter
                    ):
                        chosen.record_part()
                        if data := splitter.feed(part):
                            chosen.record_event()
                            continuations.bind(request_state, chosen.target.software)
                            yield data
                    if data := splitter.finish():
                        chosen.record_event()
                        continuations.bind(request_state, chosen.target.software)
                        yield data
                    if splitter.remainder():
                        text = "the stream ended in an event"
                        raise http_client.ConnectionClosed(text)
                    if not splitter.has_event and not may_be_empty:
                        raise _empty(framing)
                    outcome = "streamed"
                    answer.settle()
                    self.dependencies.quarantine.record_answer(request_state.suspects)
                    return
                except STREAM_LOST as error:
                    outcome = "broken"
                    lost = requeststate.lost_by(error, _progress_of(splitter))
                finally:
                    chosen.release()
                    answer.close()
                chosen, answer = await self._resume(
                    request_state, chosen, splitter, lost, first
                )
                may_be_empty = 0 < request_state.call.output_tokens <= splitter.count
        finally:
            self.on_end(request_state)
            self.log.stream_ended(request_state, outcome, framing, splitter)

    async def _read_until_due(
        self,
        request_state: requeststate.RequestState,
        chosen: Way,
        answer: http_client.ClientResponse,
        splitter: eventstream.EventSplitter,
    ) -> typing.AsyncIterator[bytes]:
        reading = _Reading()
        async with contextlib.aclosing(answer.parts(as_events=True)) as parts:
            with self._watch(request_state, chosen, splitter, reading):
                while True:
                    try:
                        part = await reading.next_part(parts, request_state.due_s)
                    except StopAsyncIteration:
                        return
                    yield part

    def _watch(
        self,
        request_state: requeststate.RequestState,
        chosen: Way,
        splitter: eventstream.EventSplitter,
        reading: _Reading,
    ) -> typing.ContextManager[None]:
        """Watch the target of a stream that another one may go on with."""
        silence = self.dependencies.silence
        if not (silence.is_midway and request_state.may_repeat()) or isinstance(
            chosen, detours_module.Detour
        ):
            return contextlib.nullcontext()

        def may_give_up() -> bool:
            # A part that has come and is not read yet is not awaited.
            return (
                reading.is_waiting
                and splitter.is_identified
                and silence.has_other(chosen.target, request_state.software)
            )

        return silence.watch(chosen.target, reading.give_up, may_give_up)

    async def _resume(
        self,
        request_state: requeststate.RequestState,
        chosen: Way,
        splitter: eventstream.EventSplitter,
        lost: requeststate.Lost,
        first: Kind,
    ) -> tuple[Way, http_client.ClientResponse]:
        """Continue a broken stream from another target, or raise ClientDisconnected.

        Only an answer of the same kind as the first one continues it. One that says
        that the request is wrong would be given by any other target as well.
        """
        request_state.record_outcome(chosen.target.id, lost)
        self.attempt_failed(request_state, chosen, lost)
        if not splitter.is_identified:
            raise server.ClientDisconnected
        request_state.last_event = splitter.last_id
        while (next_choice := await self.choose(request_state)) is not None:
            outcome = await self.attempt(request_state, next_choice)
            if isinstance(outcome, requeststate.Answered):
                break
            if not isinstance(outcome, requeststate.Opened):
                continue
            if _kind_of(outcome.answer) == first:
                splitter.reset()
                return next_choice, outcome.answer
            self._discard(request_state, next_choice, outcome.answer)
        raise server.ClientDisconnected

    def _discard(
        self,
        request_state: requeststate.RequestState,
        chosen: Way,
        answer: http_client.ClientResponse,
    ) -> None:
        status, media_type = _kind_of(answer)
        answer.abort()
        answer.close()
        chosen.release()
        text = f"status {status} with {media_type!r} does not continue the stream"
        lost = requeststate.Lost(text, requeststate.Progress.HEAD)
        request_state.record_outcome(chosen.target.id, lost)
        self.attempt_failed(request_state, chosen, lost)
