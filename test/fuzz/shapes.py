"""Hypothesis strategies for valid, damaged and random input of decoders."""

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
    lambda nested: strategies.one_of(
        strategies.lists(nested, max_size=4),
        strategies.dictionaries(KEYS, nested, max_size=6),
    ),
    max_leaves=12,
)
OBJECTS = strategies.dictionaries(KEYS, VALUES, max_size=8)
DEEP = strategies.sampled_from([b"[" * 2_000, b'{"id":' * 2_000, b"\x91" * 2_000])
NOISE = strategies.binary(max_size=64)


def _json(value: object) -> bytes:
    return msgspec.json.encode(value)


def damaged(valid: bytes) -> strategies.SearchStrategy[bytes]:
    """Return variants of an encoding with bytes removed, repeated or replaced."""
    positions = strategies.integers(0, len(valid))

    def splice(start: int, end: int, part: bytes) -> bytes:
        first, last = sorted((start, end))
        return valid[:first] + part + valid[last:]

    return strategies.builds(
        splice, positions, positions, strategies.binary(max_size=6)
    )


def partial_objects(
    **known: strategies.SearchStrategy,
) -> strategies.SearchStrategy[dict]:
    """Return objects whose fields are matching, arbitrary or missing."""
    optional_fields = {
        name: strategies.one_of(matching, VALUES) for name, matching in known.items()
    }
    return strategies.fixed_dictionaries({}, optional=optional_fields)


def json_of(
    values: strategies.SearchStrategy, valid: object
) -> strategies.SearchStrategy[bytes]:
    """Return JSON of given and arbitrary values, damaged JSON, deep JSON and noise."""
    return strategies.one_of(
        values.map(_json), VALUES.map(_json), damaged(_json(valid)), DEEP, NOISE
    )
