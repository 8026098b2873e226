"""Access to the platform and to instances, and output helpers, for the commands."""

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
REQUEST_TIMEOUT_MS = 3_000

Arguments = dict[str, typing.Any]


class Output(typing.NamedTuple):
    """The output of a command: ``value`` is printed with --json, ``text`` without."""

    value: typing.Any
    text: str
    code: exits.ExitCode = exits.ExitCode.OK


class InstanceReply(typing.NamedTuple):
    """An instance's response or the error; ``refused`` if the instance rejected it."""

    address: str
    value: typing.Any = None
    error: str = ""
    refused: bool = False


class CommandContext:
    """Connections of a command; flags override environment variables."""

    def __init__(
        self, arguments: Arguments, environment: typing.Mapping[str, str] = os.environ
    ) -> None:
        self._platform = arguments["--platform"] or environment.get(
            PLATFORM_VARIABLE, ""
        )
        instance_list = arguments["--instances"] or environment.get(
            INSTANCES_VARIABLE, ""
        )
        self.instances = [
            part.strip() for part in instance_list.split(",") if part.strip()
        ]
        self._key_file = arguments["--operator-key-file"] or environment.get(
            KEY_VARIABLE, ""
        )
        tls = self._platform.startswith("https:") or "https:" in instance_list
        self.http = http_client.Client(ssl.create_default_context() if tls else None)

    @property
    def platform(self) -> platform_client.Client:
        """Return a client of the platform."""
        if not self._platform:
            remedy = f"pass --platform URL or set {PLATFORM_VARIABLE}"
            raise exits.CommandError(
                exits.ExitCode.USAGE, "no platform address is set", remedy
            )
        return platform_client.Client(self.http, parse_address(self._platform))

    def wall_ms(self) -> float:
        """Return the time since the Unix epoch."""
        return time.time() * 1_000

    async def listing(self) -> results.Listing:
        """Return all items on the platform; raises exits.CommandError if that fails."""
        listing = await self.platform.list(items.PREFIX)
        if isinstance(listing, result.Failure):
            raise unreachable_error("the platform", listing.failure().message)
        return listing.unwrap()

    async def request(
        self, address: str, method: str, path: str, body: object = None
    ) -> InstanceReply:
        """Send an operator request to an instance and return the response."""
        headers = ((b"authorization", b"Bearer " + self._key().encode()),)
        request_body = b"" if body is None else msgspec.json.encode(body)
        try:
            status, response_body, _ = await self.http.call(
                parse_address(address),
                method,
                path,
                request_body,
                headers,
                REQUEST_TIMEOUT_MS,
            )
            value = msgspec.json.decode(response_body) if response_body else None
        except (
            http_client.RequestNotSent,
            http_client.ResponseLost,
            *decoding.DECODE_ERRORS,
        ) as error:
            return InstanceReply(address, error=str(error))
        if status >= 300:
            return InstanceReply(
                address, None, refusal_text(status, value), refused=True
            )
        return InstanceReply(address, value)

    async def request_all(self, path: str) -> list[InstanceReply]:
        """Send a GET request to every instance in --instances."""
        if not self.instances:
            remedy = f"pass --instances HOST:PORT,... or set {INSTANCES_VARIABLE}"
            text = "no admin addresses of instances are set"
            raise exits.CommandError(exits.ExitCode.USAGE, text, remedy)
        requests = [self.request(address, "GET", path) for address in self.instances]
        return list(await asyncio.gather(*requests))

    def _key(self) -> str:
        if not self._key_file:
            return ""
        try:
            return pathlib.Path(self._key_file).read_text().strip()
        except OSError as error:
            text = f"cannot read the operator key: {error}"
            remedy = "correct --operator-key-file"
            raise exits.CommandError(exits.ExitCode.USAGE, text, remedy) from None

    async def close(self) -> None:
        """Close all connections."""
        await self.http.close()


def parse_address(text: str) -> http_client.Address:
    """Parse an address; raises exits.CommandError if it is malformed."""
    try:
        return http_client.parse_address(text)
    except ValueError as error:
        remedy = "write host:port, http://host:port or https://host:port"
        raise exits.CommandError(exits.ExitCode.USAGE, str(error), remedy) from None


def unreachable_error(what: str, reason: str) -> exits.CommandError:
    """Return the error for a platform or an instance that did not respond."""
    text = f"{what} did not respond: {reason}"
    return exits.CommandError(
        exits.ExitCode.UNREACHABLE, text, "check its address or try later"
    )


def refusal_text(status: int, value: object) -> str:
    """Return the message and remedy of an instance's error response."""
    error = value.get("error") if isinstance(value, dict) else None
    if isinstance(error, dict):
        return f"{error.get('message')}; {error.get('remedy')}"
    return f"status {status}"


def to_builtins(value: object) -> object:
    """Convert nested NamedTuples to dicts for JSON."""
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return {name: to_builtins(field) for name, field in value._asdict().items()}
    if isinstance(value, dict):
        return {key: to_builtins(field) for key, field in value.items()}
    if isinstance(value, list | tuple):
        return [to_builtins(field) for field in value]
    return value


def table(
    headings: typing.Sequence[str], rows: typing.Sequence[typing.Sequence]
) -> str:
    """Format rows as a table with aligned columns."""
    cells = [[str(cell) for cell in row] for row in (headings, *rows)]
    widths = [max(len(row[index]) for row in cells) for index in range(len(headings))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells
    ]
    return "\n".join(line.rstrip() for line in lines)


def format_utc(wall_ms: float) -> str:
    """Format a time since the Unix epoch as ISO 8601 with a precision of seconds."""
    moment = datetime.datetime.fromtimestamp(wall_ms / 1_000, datetime.UTC)
    return moment.isoformat(timespec="seconds")
