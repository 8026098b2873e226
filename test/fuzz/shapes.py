"""Bytes and values that a decoder may meet: valid ones, near misses and noise."""

import msgspec
from hypothesis import strategies

WORDS = (
    "boot_id",
    "events",
    "seq",
    "op",
    "key",
    "next",
    "keys",
    "cold",
    "running",
    "queued",
    "id",
    "choices",
    "delta",
    "content",
    "usage",
    "cached_tokens",
    "finish_reason",
    "name",
    "state",
    "epoch",
    "owner",
    "successor",
    "boot",
    "exported",
    "blocks",
    "generation",
    "checksum",
    "committed",
    "staged",
    "import",
    "model",
    "messages",
    "role",
    "stream",
    "ends",
    "scope",
    "setting",
    "value",
    "reason",
    "kind",
    "data_centre",
    "address",
    "serves",
    "pool",
)
NUMBERS = strategies.one_of(
    strategies.integers(-3, 3),
    strategies.sampled_from([2**31, 2**63 - 1, -(2**63), 2**64 - 1]),
)
SCALARS = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    NUMBERS,
    strategies.floats(allow_nan=False, allow_infinity=False),
    strategies.sampled_from(WORDS),
    strategies.text(max_size=8),
)
KEYS = strategies.one_of(strategies.sampled_from(WORDS), strategies.text(max_size=4))
VALUES = strategies.recursive(
    SCALARS,
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=4),
        strategies.dictionaries(KEYS, inner, max_size=6),
    ),
    max_leaves=12,
)
OBJECTS = strategies.dictionaries(KEYS, VALUES, max_size=8)
DEEP = strategies.sampled_from([b"[" * 2_000, b'{"id":' * 2_000, b"\x91" * 2_000])
NOISE = strategies.binary(max_size=64)


def _json(value: object) -> bytes:
    return msgspec.json.encode(value)


def near(good: bytes) -> strategies.SearchStrategy[bytes]:
    """Return a valid encoding with some bytes cut, repeated or replaced."""
    spots = strategies.integers(0, len(good))

    def damaged(start: int, end: int, part: bytes) -> bytes:
        first, last = sorted((start, end))
        return good[:first] + part + good[last:]

    return strategies.builds(damaged, spots, spots, strategies.binary(max_size=6))


def fields(**known: strategies.SearchStrategy) -> strategies.SearchStrategy[dict]:
    """Return objects whose fields hold what fits, or anything, or are left out."""
    loose = {name: strategies.one_of(fits, VALUES) for name, fits in known.items()}
    return strategies.fixed_dictionaries({}, optional=loose)


def json_of(
    values: strategies.SearchStrategy, good: object
) -> strategies.SearchStrategy[bytes]:
    """Return JSON of given and of any values, damaged JSON, deep JSON and noise."""
    return strategies.one_of(
        values.map(_json), VALUES.map(_json), near(_json(good)), DEEP, NOISE
    )
