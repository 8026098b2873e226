"""The exceptions that msgspec decoders raise for invalid input.

They are msgspec's own errors for malformed input or a schema mismatch,
UnicodeDecodeError for text that is not UTF-8, and RecursionError for values that are
nested too deeply::

    try:
        return DECODER.decode(body)
    except decoding.DECODE_ERRORS:
        return None
"""

import functools
import ipaddress
import re
import typing

import msgspec

DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
MAX_DIGITS = 18
MAX_PORT = 65_535
CACHED_ADDRESSES = 16_384
# A whole number that fits into a datagram.
Whole = typing.Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
DECIMAL = re.compile(r"[0-9]+(\.[0-9]*)?")


def is_number(text: str) -> bool:
    """Return whether a text is a whole number in ASCII digits that ``int`` accepts."""
    return text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS


@functools.lru_cache(maxsize=CACHED_ADDRESSES)
def check_address(text: str) -> None:
    """Raise ValueError unless a text is an IP address and a port, as in ``IP:PORT``."""
    host = text.rpartition(":")[0]
    bare = host[1:-1] if host.startswith("[") and host.endswith("]") else host
    try:
        ipaddress.ip_address(bare)
    except ValueError:
        raise ValueError(f"address {text[:64]!r} is not of the form IP:PORT") from None
    check_port(text)


def is_address(text: str) -> bool:
    """Return whether a text is an IP address and a port."""
    try:
        check_address(text)
    except ValueError:
        return False
    return True


def check_port(text: str) -> None:
    """Raise ValueError unless a text ends in a port, as in ``HOST:PORT``."""
    host, _, port = text.rpartition(":")
    if not host or not is_number(port) or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"address {text[:64]!r} has no port from 1 to {MAX_PORT}")


def parse_decimal(text: str) -> float | None:
    """Return a decimal number without sign or exponent, or None for other texts.

    A number with too many digits for a float is infinite.
    """
    return float(text) if DECIMAL.fullmatch(text) else None
