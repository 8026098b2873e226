"""Validation of a chat completion request.

The body has the usual format of chat completions: ``model``, ``messages`` and optional
``stream``, ``max_tokens`` and sampling fields. Sampling fields are passed to the engine
unchanged.
"""

import math
import typing

import msgspec
from returns import result

from cornelreach.util import decoding, errors

CHARACTERS_PER_TOKEN = 4
PRIORITIES = {"high": 0, "normal": 1, "low": 2}
HANDLED_FIELDS = frozenset(("model", "messages", "stream", "max_tokens", "priority"))
RESERVED_FIELDS = frozenset(("run", "pieces", "version", "continue_final_message"))


class Part(typing.TypedDict):
    """One part of a message's content; only text is supported."""

    type: typing.Literal["text"]
    text: str


class Message(typing.TypedDict):
    """One message of a conversation."""

    role: typing.Literal["system", "developer", "user", "assistant", "tool"]
    content: str | list[Part]


class ChatBody(typing.TypedDict, total=False):
    """The validated fields of a request body."""

    model: typing.Required[str]
    messages: typing.Required[list[Message]]
    stream: bool
    max_tokens: int
    max_completion_tokens: int
    n: int


class TextMessage(typing.NamedTuple):
    """A message whose content is plain text."""

    role: str
    content: str


class ChatCall(typing.NamedTuple):
    """A validated chat completion request.

    ``deadline_ms`` is the time allowed from receipt; None means the default.
    ``extra`` holds sampling fields for the engine.
    """

    account: str
    model: str
    messages: tuple[TextMessage, ...]
    stream: bool
    max_tokens: int | None
    priority: int
    deadline_ms: int | None
    extra: dict[str, object]

    @property
    def prompt_tokens(self) -> int:
        """Return the estimated length of the prompt."""
        characters = sum(len(message.content) for message in self.messages)
        return max(1, math.ceil(characters / CHARACTERS_PER_TOKEN))


def bad_request(message: str, remedy: str) -> result.Result[typing.Any, errors.Refusal]:
    """Return a BAD_REQUEST refusal: the same request can never succeed."""
    return result.Failure(errors.Refusal(errors.Code.BAD_REQUEST, message, remedy))


def parse(
    account: str, body: bytes, deadline_ms: str | None, priority: str | None
) -> result.Result[ChatCall, errors.Refusal]:
    """Return the validated call, or a refusal that names the field and the remedy."""
    try:
        raw = msgspec.json.decode(body)
        fields = msgspec.convert(raw, ChatBody)
    except decoding.DECODE_ERRORS as error:
        return bad_request(
            f"the body is not a chat completion request: {error}",
            "correct the field that the message names",
        )
    problem = validate(fields, deadline_ms, priority)
    if problem is not None:
        return problem
    reserved = sorted(RESERVED_FIELDS & raw.keys())
    if reserved:
        return bad_request(f"field {reserved[0]!r} is reserved", "leave it out")
    extra = {key: value for key, value in raw.items() if key not in HANDLED_FIELDS}
    extra.pop("max_completion_tokens", None)
    return result.Success(
        ChatCall(
            account=account,
            model=fields["model"],
            messages=tuple(to_text_message(message) for message in fields["messages"]),
            stream=fields.get("stream", False),
            max_tokens=fields.get("max_completion_tokens", fields.get("max_tokens")),
            priority=PRIORITIES[priority or "normal"],
            deadline_ms=int(deadline_ms) if deadline_ms else None,
            extra=extra,
        )
    )


def validate(
    fields: ChatBody, deadline_ms: str | None, priority: str | None
) -> result.Result[ChatCall, errors.Refusal] | None:
    """Return a refusal for the first field that breaks a rule, or None."""
    if not fields["messages"]:
        return bad_request("'messages' is empty", "send at least one message")
    if fields.get("n", 1) != 1:
        return bad_request("'n' is not 1", "send one request for each answer")
    for name in ("max_tokens", "max_completion_tokens"):
        if fields.get(name, 1) < 1:
            return bad_request(f"{name!r} is below 1", "ask for at least one token")
    if deadline_ms is not None and not valid_deadline(deadline_ms):
        return bad_request(
            "X-Deadline-Ms is not a valid time", "send 1 to 3600000 milliseconds"
        )
    if priority is not None and priority not in PRIORITIES:
        return bad_request("X-Priority is unknown", "send high, normal or low")
    return None


def valid_deadline(text: str) -> bool:
    """Return whether a header holds a deadline from 1 ms to one hour."""
    return text.isascii() and text.isdigit() and 0 < int(text[:9]) <= 3_600_000


def to_text_message(message: Message) -> TextMessage:
    """Return a message with its text parts joined."""
    content = message["content"]
    if not isinstance(content, str):
        content = "".join(part["text"] for part in content)
    return TextMessage(message["role"], content)


def engine_body(
    call: ChatCall,
    run: str,
    version: str,
    pieces: typing.Sequence[typing.Mapping[str, object]],
    max_tokens: int,
    priority: int,
    delivered: str = "",
) -> bytes:
    """Return the request body for an engine.

    ``priority`` is the permit's; the caller's priority only orders the calls of its own
    account. ``delivered`` is the part of the answer that the caller already has; the
    engine continues from its end.
    """
    messages = [message._asdict() for message in call.messages]
    fields: dict[str, object] = {
        **call.extra,
        "model": call.model,
        "messages": messages,
        "stream": True,
        "max_tokens": max_tokens,
        "priority": priority,
        "run": run,
        "version": version,
        "pieces": pieces,
    }
    if delivered:
        messages.append({"role": "assistant", "content": delivered})
        fields["continue_final_message"] = True
    return msgspec.json.encode(fields)
