"""What the operator's commands work with: the platform, and instances to ask."""

import asyncio
import datetime
import os
import pathlib
import ssl
import time
import typing

import msgspec
from returns import result

from cornelreach.http import client as http_client
from cornelreach.platform import client as platform_client, results
from cornelreach.settings import items
from cornelreach.ui import exits
from cornelreach.util import decoding

PLATFORM_VARIABLE = "CORNELREACH_PLATFORM"
INSTANCES_VARIABLE = "CORNELREACH_INSTANCES"
KEY_VARIABLE = "CORNELREACH_OPERATOR_KEY_FILE"
ASK_WAIT_MS = 3_000

Arguments = dict[str, typing.Any]


class Output(typing.NamedTuple):
    """What a command prints: ``value`` with --json, ``text`` otherwise."""

    value: typing.Any
    text: str
    code: exits.Exit = exits.Exit.OK


class Answer(typing.NamedTuple):
    """What an instance said, or why there is no answer; ``refused`` if it said no."""

    address: str
    value: typing.Any = None
    error: str = ""
    refused: bool = False


class Tool:
    """Settings of one run, from flags over environment variables."""

    def __init__(
        self, arguments: Arguments, environment: typing.Mapping[str, str] = os.environ
    ) -> None:
        self._platform = arguments["--platform"] or environment.get(
            PLATFORM_VARIABLE, ""
        )
        listed = arguments["--instances"] or environment.get(INSTANCES_VARIABLE, "")
        self.instances = [part.strip() for part in listed.split(",") if part.strip()]
        self._key_file = arguments["--operator-key-file"] or environment.get(
            KEY_VARIABLE, ""
        )
        tls = self._platform.startswith("https:") or "https:" in listed
        self.http = http_client.Client(ssl.create_default_context() if tls else None)

    @property
    def platform(self) -> platform_client.Client:
        """Return the client of the platform."""
        if not self._platform:
            remedy = f"give --platform URL or set {PLATFORM_VARIABLE}"
            raise exits.Failed(exits.Exit.USAGE, "no platform is named", remedy)
        return platform_client.Client(self.http, parse(self._platform))

    def wall_ms(self) -> float:
        """Return wall time."""
        return time.time() * 1_000

    async def listing(self) -> results.Listing:
        """Return every item in the platform; fails if it cannot be read."""
        listed = await self.platform.list(items.PREFIX)
        if isinstance(listed, result.Failure):
            raise unreachable("the platform", listed.failure().message)
        return listed.unwrap()

    async def ask(
        self, address: str, method: str, path: str, body: object = None
    ) -> Answer:
        """Return an instance's answer to an operator's request."""
        headers = ((b"authorization", b"Bearer " + self._key().encode()),)
        sent = b"" if body is None else msgspec.json.encode(body)
        try:
            status, found, _ = await self.http.call(
                parse(address), method, path, sent, headers, ASK_WAIT_MS
            )
            value = msgspec.json.decode(found) if found else None
        except (
            http_client.RequestNotSent,
            http_client.ResponseLost,
            *decoding.UNREADABLE,
        ) as error:
            return Answer(address, error=str(error))
        if status >= 300:
            return Answer(address, None, refusal_text(status, value), refused=True)
        return Answer(address, value)

    async def ask_all(self, path: str) -> list[Answer]:
        """Return the answer of each named instance to a GET."""
        if not self.instances:
            remedy = f"give --instances HOST:PORT,.. or set {INSTANCES_VARIABLE}"
            text = "no instance's admin address is named"
            raise exits.Failed(exits.Exit.USAGE, text, remedy)
        asked = [self.ask(address, "GET", path) for address in self.instances]
        return list(await asyncio.gather(*asked))

    def _key(self) -> str:
        if not self._key_file:
            return ""
        try:
            return pathlib.Path(self._key_file).read_text().strip()
        except OSError as error:
            text = f"the operator key cannot be read: {error}"
            remedy = "correct --operator-key-file"
            raise exits.Failed(exits.Exit.USAGE, text, remedy) from None

    async def close(self) -> None:
        """Close every connection."""
        await self.http.close()


def parse(text: str) -> http_client.Address:
    """Return an address; fails on one that is malformed."""
    try:
        return http_client.parse_address(text)
    except ValueError as error:
        remedy = "write host:port, http://host:port or https://host:port"
        raise exits.Failed(exits.Exit.USAGE, str(error), remedy) from None


def unreachable(what: str, reason: str) -> exits.Failed:
    """Return the error of a platform or an instance that does not answer."""
    text = f"{what} did not answer: {reason}"
    return exits.Failed(exits.Exit.UNREACHABLE, text, "check its address, or try later")


def refusal_text(status: int, value: object) -> str:
    """Return what an instance's typed refusal says."""
    error = value.get("error") if isinstance(value, dict) else None
    if isinstance(error, dict):
        return f"{error.get('message')}; {error.get('remedy')}"
    return f"status {status}"


def plain(value: object) -> object:
    """Return a value with NamedTuples as mappings, ready for JSON."""
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return {name: plain(field) for name, field in value._asdict().items()}
    if isinstance(value, dict):
        return {key: plain(field) for key, field in value.items()}
    if isinstance(value, list | tuple):
        return [plain(field) for field in value]
    return value


def table(heads: typing.Sequence[str], rows: typing.Sequence[typing.Sequence]) -> str:
    """Return rows under their heads in columns."""
    cells = [[str(cell) for cell in row] for row in (heads, *rows)]
    widths = [max(len(row[index]) for row in cells) for index in range(len(heads))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells
    ]
    return "\n".join(line.rstrip() for line in lines)


def utc(wall_ms: float) -> str:
    """Return a wall time as ISO 8601 text in seconds."""
    moment = datetime.datetime.fromtimestamp(wall_ms / 1_000, datetime.UTC)
    return moment.isoformat(timespec="seconds")
