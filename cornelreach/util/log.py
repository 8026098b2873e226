"""Configuration of structured logging."""

import sys
import typing

import loguru
import msgspec

from cornelreach.util import logsink


def _format_json(message: "loguru.Message") -> bytes:
    record = message.record
    fields = {key: _json_value(value) for key, value in record["extra"].items()}
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
        **fields,
    }
    return msgspec.json.encode(line) + b"\n"


def _json_value(value: object) -> object:
    return value if isinstance(value, int | float | bool) else str(value)


def configure(
    level: str, line_format: str, sink: logsink.LogSink | None = None
) -> None:
    """Log messages of a level and above in the format ``json`` or ``text``.

    JSON lines go to a sink that never blocks, if one is given; all other output goes
    to standard error.
    """
    loguru.logger.remove()
    if line_format == "json":
        write_line: typing.Callable[[bytes], object] = (
            sink.write if sink is not None else sys.stderr.buffer.write
        )
        loguru.logger.add(
            lambda message: write_line(_format_json(message)), level=level
        )
        return
    text = "{time:HH:mm:ss.SSS} {level} {extra} {message}"
    loguru.logger.add(sys.stderr, level=level, format=text)
