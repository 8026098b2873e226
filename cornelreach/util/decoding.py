"""The exceptions that msgspec decoders raise for invalid input.

They are msgspec's own errors for malformed input or a schema mismatch,
UnicodeDecodeError for text that is not UTF-8, and RecursionError for values that are
nested too deeply::

    try:
        return DECODER.decode(body)
    except decoding.DECODE_ERRORS:
        return None
"""

import re

import msgspec

DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
MAX_DIGITS = 18
DECIMAL = re.compile(r"[0-9]+(\.[0-9]*)?")


def is_number(text: str) -> bool:
    """Return whether a text is a whole number in ASCII digits that ``int`` accepts."""
    return text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS


def parse_decimal(text: str) -> float | None:
    """Return a decimal number without sign or exponent, or None for other texts.

    A number with too many digits for a float is infinite.
    """
    return float(text) if DECIMAL.fullmatch(text) else None
