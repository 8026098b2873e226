"""Set-up of structured logs."""

import sys
import typing

import loguru
import msgspec

from cornelreach.util import outlet as outlet_module


def _json_line(message: "loguru.Message") -> bytes:
    record = message.record
    fields = {key: _plain(value) for key, value in record["extra"].items()}
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
        **fields,
    }
    return msgspec.json.encode(line) + b"\n"


def _plain(value: object) -> object:
    return value if isinstance(value, int | float | bool) else str(value)


def configure(
    level: str, form: str, outlet: outlet_module.Outlet | None = None
) -> None:
    """Send log lines of a level and above out, as ``json`` or ``text``.

    They go to an outlet that never blocks, or without one to standard error.
    """
    loguru.logger.remove()
    if form == "json":
        write: typing.Callable[[bytes], object] = (
            outlet.write if outlet is not None else sys.stderr.buffer.write
        )
        loguru.logger.add(lambda message: write(_json_line(message)), level=level)
        return
    text = "{time:HH:mm:ss.SSS} {level} {extra} {message}"
    loguru.logger.add(sys.stderr, level=level, format=text)
