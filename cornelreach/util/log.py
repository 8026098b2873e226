"""Set-up of structured logs."""

import sys

import loguru
import msgspec


def _json_line(message: "loguru.Message") -> None:
    record = message.record
    fields = {key: _plain(value) for key, value in record["extra"].items()}
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
        **fields,
    }
    sys.stderr.write(msgspec.json.encode(line).decode() + "\n")


def _plain(value: object) -> object:
    return value if isinstance(value, int | float | bool) else str(value)


def configure(level: str, form: str) -> None:
    """Send log lines of a level and above to standard error as ``json`` or ``text``."""
    loguru.logger.remove()
    if form == "json":
        loguru.logger.add(_json_line, level=level)
        return
    text = "{time:HH:mm:ss.SSS} {level} {extra} {message}"
    loguru.logger.add(sys.stderr, level=level, format=text)
