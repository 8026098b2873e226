"""The call chain of both fleets: reader, then drafter, then booking service."""

import random
import time
import typing

import msgspec

from cornelreach.http import client

MODELS = ("reader", "drafter")
DOCUMENT_WORDS = 16_000
WORDS = ("track", "signal", "possession", "points", "line", "gang", "block", "tamping")


class Turn(typing.NamedTuple):
    """The results of one turn."""

    answer: str
    first_token_ms: float
    prompt_tokens: int
    cached_tokens: int
    booked: bool


class UnexpectedResponse(Exception):
    """A call of the chain got an unexpected response."""


def document(seed: int) -> str:
    """Return a long rulebook that depends only on the seed."""
    rng = random.Random(seed)
    return " ".join(rng.choice(WORDS) for _ in range(DOCUMENT_WORDS))


class Chain:
    """Sends turns about one document to the instances in rotation."""

    def __init__(
        self,
        http: client.Client,
        callers: typing.Sequence[str],
        key: str,
        report_line: typing.Callable[[str], None],
    ) -> None:
        self.http = http
        self.callers = [client.parse_address(one) for one in callers]
        self.headers = ((b"authorization", b"Bearer " + key.encode()),)
        self.report_line = report_line
        self.text = document(1)

    async def run(self, count: int) -> list[Turn]:
        """Run ``count`` turns and return their results."""
        report = []
        for number in range(count):
            turn = await self._turn(number)
            report.append(turn)
            share = 1 - turn.cached_tokens / max(1, turn.prompt_tokens)
            self.report_line(
                f"turn {number + 1}: {turn.answer}, first token "
                f"{turn.first_token_ms:.0f} ms, {turn.prompt_tokens} prompt tokens, "
                f"{share:.0%} computed, {'booked' if turn.booked else 'not booked'}"
            )
        return report

    async def _turn(self, number: int) -> Turn:
        address = self.callers[number % len(self.callers)]
        question = f"{self.text}\n\nMay block {number} be closed?"
        answer, usage, first_ms = await self._chat(address, "reader", question)
        notice, _, _ = await self._chat(address, "drafter", f"Notice {number}")
        body = msgspec.json.encode({"block": number, "notice": notice})
        key = ((b"idempotency-key", f"block-{number}".encode()),)
        path = "/v1/services/booking/blocks"
        status, data, _ = await self.http.call(
            address, "POST", path, body, self.headers + key
        )
        if status != 201:
            raise UnexpectedResponse(f"booking answered {status}: {data.decode()}")
        return Turn(
            answer,
            first_ms,
            usage.get("prompt_tokens", 0),
            usage.get("cached_tokens", 0),
            True,
        )

    async def _chat(
        self, address: client.Address, model: str, content: str
    ) -> tuple[str, dict[str, int], float]:
        body = msgspec.json.encode(
            {
                "model": model,
                "messages": [{"role": "user", "content": content}],
                "stream": True,
                "max_tokens": 24,
            }
        )
        started = time.monotonic()
        answer = await self.http.send(
            address, "POST", "/v1/chat/completions", body, self.headers
        )
        first_ms, text = 0.0, bytearray()
        async for part in answer.parts():
            first_ms = first_ms or (time.monotonic() - started) * 1_000
            text += part
        if answer.status != 200 or not text.endswith(b"data: [DONE]\n\n"):
            raise UnexpectedResponse(
                f"{model} answered {answer.status}: {bytes(text[-300:])!r}"
            )
        return *_parse(bytes(text)), first_ms


def _parse(text: bytes) -> tuple[str, dict[str, int]]:
    words, usage = [], {}
    for line in text.split(b"\n"):
        if line.startswith(b"data: {"):
            chunk = msgspec.json.decode(line[6:])
            words.append(chunk["choices"][0]["delta"].get("content") or "")
            usage = chunk.get("usage") or usage
    return "".join(words).strip(), usage


async def executions(
    http: client.Client, services: typing.Iterable[str]
) -> list[dict[str, typing.Any]]:
    """Return all executions recorded by the services."""
    found = []
    for service in services:
        address = client.parse_address(service)
        _, body, _ = await http.call(address, "GET", "/executions")
        found += msgspec.json.decode(body)["executions"]
    return found


def summary(
    report: typing.Sequence[Turn], booked: typing.Sequence[dict[str, typing.Any]]
) -> str:
    """Return the summary line of a run."""
    prompt = sum(turn.prompt_tokens for turn in report)
    cached = sum(turn.cached_tokens for turn in report)
    first = sorted(turn.first_token_ms for turn in report)
    return (
        f"{len(report)} turns; first token median {first[len(first) // 2]:.0f} ms, "
        f"worst {first[-1]:.0f} ms; {prompt - cached} of {prompt} prompt tokens "
        f"computed ({(prompt - cached) / max(1, prompt):.0%}); "
        f"{len(booked)} bookings executed"
    )


def all_booked_once(
    report: typing.Sequence[Turn], booked: typing.Sequence[dict[str, typing.Any]]
) -> bool:
    """Return whether every turn was booked exactly once."""
    keys = [execution["key"] for execution in booked]
    return len(keys) == len(set(keys)) == len(report)
