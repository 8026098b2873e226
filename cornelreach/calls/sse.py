"""Incremental parsing of the server-sent events of an engine's answer."""

import typing

import msgspec

from cornelreach.util import decoding

MAX_EVENT_BYTES = 1_048_576
DONE = b"[DONE]"


class Delta(typing.TypedDict, total=False):
    """New text of an answer."""

    content: str | None


class Choice(typing.TypedDict, total=False):
    """One alternative of a chunk; only the first is used."""

    delta: Delta
    finish_reason: str | None


class Usage(typing.TypedDict, total=False):
    """Token counts at the end of an answer."""

    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int


class Chunk(typing.TypedDict, total=False):
    """One decoded chunk; ``id`` is the run that it belongs to."""

    id: str
    choices: list[Choice]
    usage: Usage | None


class Event(typing.NamedTuple):
    """One event: the engine's event number and the undecoded data."""

    number: int
    data: bytes


MAX_NUMBER_DIGITS = 18


class MalformedStream(Exception):
    """The answer is not a valid stream of server-sent events."""


CHUNK_DECODER = msgspec.json.Decoder(Chunk)


def decode(data: bytes) -> Chunk:
    """Return the chunk in an event; raises MalformedStream for anything else."""
    try:
        return CHUNK_DECODER.decode(data)
    except decoding.DECODE_ERRORS as error:
        raise MalformedStream(f"chunk is not valid: {error}") from None


def delta_text(chunk: Chunk) -> str:
    """Return the new text of a chunk."""
    choices = chunk.get("choices") or [{}]
    return choices[0].get("delta", {}).get("content") or ""


def is_final(chunk: Chunk) -> bool:
    """Return whether a chunk ends its answer."""
    choices = chunk.get("choices") or [{}]
    return choices[0].get("finish_reason") is not None


def encode(number: int, data: bytes) -> bytes:
    """Return the bytes of one event."""
    return b"id: %d\ndata: %s\n\n" % (number, data)


class EventParser:
    """Parses a byte stream into events."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, part: bytes) -> typing.Iterator[Event]:
        """Add bytes and yield the events that they complete."""
        self._buffer += part
        if b"\r" in self._buffer:
            self._buffer = self._buffer.replace(b"\r\n", b"\n")
        while (end := self._buffer.find(b"\n\n")) >= 0:
            block = bytes(self._buffer[:end])
            del self._buffer[: end + 2]
            event = _parse_event(block)
            if event is not None:
                yield event
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise MalformedStream(f"an event exceeds {MAX_EVENT_BYTES} bytes")


def _parse_event(block: bytes) -> Event | None:
    number, data = -1, []
    for line in block.split(b"\n"):
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"id" and value.isdigit() and len(value) <= MAX_NUMBER_DIGITS:
            number = int(value)
        elif name == b"data":
            data.append(value)
    return Event(number, b"\n".join(data)) if data else None
