"""What the decoders raise for input that is not what they were made for.

msgspec raises its own error for a wrong form, UnicodeDecodeError for text that is not
UTF-8, and RecursionError for values that are nested too deep::

    try:
        return DECODER.decode(body)
    except decoding.UNREADABLE:
        return None
"""

import msgspec

UNREADABLE = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
MAX_DIGITS = 18


def is_number(text: str) -> bool:
    """Return whether a text is a whole number in ASCII digits that ``int`` takes."""
    return text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
