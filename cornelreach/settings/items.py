"""Items of the desired configuration, each stored as one object in the platform.

An item is a NamedTuple whose types ``msgspec`` checks on reading. Its key is
``settings/<kind>/<name>``::

    key = items.key_of("account", "tirnica")
    account = items.decode(key, b'{"name": "tirnica"}')
"""

import typing

import msgspec

PREFIX = "settings/"


class Defaults(typing.NamedTuple):
    """Fleet-wide defaults; the only item of this kind is named ``fleet``."""

    name: str = "fleet"
    first_token_objective_ms: int = 1_700
    between_tokens_objective_ms: int = 56
    objective_share: float = 0.95
    deadline_ms: int = 60_000
    account_tokens_per_s: int = 20_000
    account_burst_tokens: int = 200_000
    account_queue_calls: int = 256
    max_prompt_tokens: int = 200_000
    max_answer_tokens: int = 4_096
    retry_share: float = 0.1
    claim_retention_ms: int = 86_400_000
    stored_copies: int = 1
    drain_ms: int = 30_000


class Account(typing.NamedTuple):
    """A client account; ``key_digests`` are hex SHA-256 digests of its bearer keys."""

    name: str
    key_digests: list[str] = []
    weight: int = 1
    models: list[str] = []
    services: list[str] = []


class Model(typing.NamedTuple):
    """A model and the version of its weights that new requests use."""

    name: str
    version: str = "1"
    adapters: list[str] = []
    prefill_tokens_per_s: int = 8_000
    bytes_per_token: int = 1_000


class Target(typing.NamedTuple):
    """A target of kind ``engine``, ``store`` or ``service``.

    ``serves`` names its model or service; an empty ``pool`` means
    ``<data_centre>/<serves>``.
    """

    name: str
    kind: str
    data_centre: str
    address: str
    serves: str = ""
    pool: str = ""
    state: str = "in_service"
    max_sequences: int = 16
    max_tokens: int = 200_000
    cold_sequences: int = 1
    cold_tokens: int = 200_000
    cold_ms: int = 5_000
    checks_fence: bool = False
    link_bytes_per_s: int = 50_000_000

    @property
    def pool_name(self) -> str:
        """Return the name of the pool that the target belongs to."""
        return self.pool or f"{self.data_centre}/{self.serves}"


class DataCentre(typing.NamedTuple):
    """A data centre; ``state`` is ``in_service`` or ``taken_out``."""

    name: str
    region: str = ""
    state: str = "in_service"
    reason: str = ""


class Override(typing.NamedTuple):
    """An exception to one default for a scope, with a reason and an end time.

    ``scope`` is ``account:<name>`` or ``model:<name>``; ``ends`` is an ISO 8601 time.
    """

    name: str
    scope: str
    setting: str
    value: float
    reason: str
    ends: str
    created: str = ""


Item = Defaults | Account | Model | Target | DataCentre | Override

KINDS: dict[str, type] = {
    "defaults": Defaults,
    "account": Account,
    "model": Model,
    "target": Target,
    "data-centre": DataCentre,
    "exception": Override,
}


def key_of(kind: str, name: str) -> str:
    """Return the platform key of an item."""
    return f"{PREFIX}{kind}/{name}"


def kind_of(key: str) -> str:
    """Return the kind of item in a platform key, or an empty string."""
    parts = key.removeprefix(PREFIX).split("/", 1)
    return parts[0] if key.startswith(PREFIX) and parts[0] in KINDS else ""


def decode(key: str, value: bytes) -> Item:
    """Decode the platform's JSON value of an item.

    Raises msgspec.ValidationError if the value does not match the kind.
    """
    return convert(key, msgspec.json.decode(value))


def convert(key: str, value: dict[str, typing.Any]) -> Item:
    """Return the item for a decoded value; unknown fields are ignored."""
    kind = KINDS[kind_of(key)]
    known = {name: value[name] for name in kind._fields if name in value}
    missing = [
        name
        for name in kind._fields
        if name not in known and name not in kind._field_defaults
    ]
    if missing:
        raise msgspec.ValidationError(f"{key}: field {missing[0]!r} is missing")
    hints = typing.get_type_hints(kind)
    checked = {
        name: msgspec.convert(field, hints[name]) for name, field in known.items()
    }
    return kind(**checked)


def encode(item: Item) -> dict[str, typing.Any]:
    """Return the platform value of an item."""
    return item._asdict()
