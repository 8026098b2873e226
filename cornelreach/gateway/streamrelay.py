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
)
from cornelreach.http import client as http_client, messages, server
from cornelreach.platform import headers

STREAM_LOST = (http_client.ResponseLost, eventstream.EventTooLong, TimeoutError)

Way = selection.Choice | detours_module.Detour


class Dependencies(typing.Protocol):
    """What relaying uses of the components of forwarding."""

    continuations: continuations_module.Continuations
    quarantine: quarantine_module.Quarantine


def _progress_of(splitter: eventstream.EventSplitter) -> requeststate.Progress:
    progress = requeststate.Progress
    return progress.EVENTS if splitter.has_event else progress.HEAD


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
        self.on_end: typing.Callable[[], None] = lambda: None

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
        it is complete: the end of a connection may be the only framing.
        """
        splitter = eventstream.EventSplitter(request_state.last_event)
        continuations = self.dependencies.continuations
        outcome = "left"
        try:
            while True:
                framing = answer.framing
                try:
                    async for part in self._read_until_due(request_state, answer):
                        chosen.record_part()
                        if data := splitter.feed(part):
                            continuations.bind(request_state, chosen.target.software)
                            yield data
                    if data := splitter.finish():
                        continuations.bind(request_state, chosen.target.software)
                        yield data
                    if splitter.remainder():
                        text = "the stream ended in an event"
                        raise http_client.ConnectionClosed(text)
                    if splitter.last_id is None and not splitter.has_event:
                        text = "the stream ended without an event"
                        raise http_client.ConnectionClosed(text)
                    outcome = "streamed"
                    self.dependencies.quarantine.record_answer(request_state.suspects)
                    return
                except STREAM_LOST as error:
                    outcome = "broken"
                    lost = requeststate.lost_by(error, _progress_of(splitter))
                finally:
                    chosen.release()
                    answer.close()
                chosen, answer = await self._resume(
                    request_state, chosen, splitter, lost
                )
        finally:
            self.on_end()
            self.log.stream_ended(request_state, outcome, framing, splitter)

    async def _read_until_due(
        self,
        request_state: requeststate.RequestState,
        answer: http_client.ClientResponse,
    ) -> typing.AsyncIterator[bytes]:
        async with contextlib.aclosing(answer.parts()) as parts:
            while True:
                try:
                    async with asyncio.timeout_at(request_state.due_s):
                        part = await anext(parts)
                except StopAsyncIteration:
                    return
                yield part

    async def _resume(
        self,
        request_state: requeststate.RequestState,
        chosen: Way,
        splitter: eventstream.EventSplitter,
        lost: requeststate.Lost,
    ) -> tuple[Way, http_client.ClientResponse]:
        """Continue a broken stream from another target, or raise ClientDisconnected."""
        request_state.record_outcome(chosen.target.id, lost)
        self.attempt_failed(request_state, chosen, lost)
        request_state.last_event = splitter.last_id
        while (next_choice := await self.choose(request_state)) is not None:
            outcome = await self.attempt(request_state, next_choice)
            if isinstance(outcome, requeststate.Opened):
                splitter.reset()
                return next_choice, outcome.answer
        raise server.ClientDisconnected
