"""Decoders from platform objects to the types of the gateway.

Each decoder returns a typed value for the value of one object. An object that cannot
be decoded, because another writer forged it or left it incomplete, is logged and
yields None.
"""

import typing

import msgspec

from cornelreach.gateway import catalogue, registry
from cornelreach.platform import results
from cornelreach.util import decoding, events

CONFIG = "config/"
CONFIG_MAIN = "config/main"
TARGETS = "servers/"
EVACUATIONS = "evacuations/"
VERSIONS = "versions/"

MAX_TEXT = 1_024  # characters
MAX_COUNT = 2**53 - 1  # the largest that every JSON decoder takes
MAX_COLD_MS = 86_400_000.0

READY, DRAINING = "ready", "draining"

UNREADABLE = events.define(
    1210,
    "WARNING",
    "Ignored object {key}, revision {revision}, which cannot be decoded: {error}.",
    "If the platform wrote it, compare it with the platform's documentation.",
)

ROUTE_KINDS = {
    "idempotent": catalogue.Kind.IDEMPOTENT,
    "non_idempotent": catalogue.Kind.AT_MOST_ONCE,
    "streaming": catalogue.Kind.STREAM,
}


class _Share(typing.TypedDict):
    service: str
    weight: float


class _Route(typing.TypedDict):
    name: str
    hostname: str
    path_prefix: str
    route_type: str
    timeout_ms: float
    target_latency_ms: typing.NotRequired[float]
    max_attempts: typing.NotRequired[int]
    priority: typing.NotRequired[int | None]
    service: typing.NotRequired[str | None]
    traffic_split: typing.NotRequired[list[_Share] | None]
    allow_anonymous: typing.NotRequired[bool]
    resumable: typing.NotRequired[bool]
    allowed_regions: typing.NotRequired[list[str] | None]


class _Model(typing.TypedDict):
    name: str


class _Engine(typing.TypedDict):
    slots: int
    kv_capacity_tokens: int
    models: list[_Model]


class _Service(typing.TypedDict):
    """A service; with ``kv_store_addr`` it is a prompt store without targets."""

    name: str
    health_path: typing.NotRequired[str | None]
    max_connections: typing.NotRequired[int]
    cold_per_s: typing.NotRequired[float]
    engine: typing.NotRequired[_Engine | None]
    kv_store_addr: typing.NotRequired[str | None]
    zone: typing.NotRequired[str]
    kv_capacity_tokens: typing.NotRequired[int]
    link_mbps: typing.NotRequired[float]
    first_ms: typing.NotRequired[float]


class _Tenant(typing.TypedDict):
    name: str
    api_keys: list[str]
    isolated: typing.NotRequired[bool]
    priority: typing.NotRequired[int | None]
    allowed_regions: typing.NotRequired[list[str] | None]


class _Limits(typing.TypedDict):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _Config(typing.TypedDict):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    tenants: typing.NotRequired[list[_Tenant] | None]


Text = typing.Annotated[str, msgspec.Meta(max_length=MAX_TEXT)]
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Wait = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_MS)]


class _Hosted(typing.TypedDict):
    name: Text
    version: Count


class _Server(typing.TypedDict):
    """An entry of service discovery; ``version`` is the engine's software version."""

    service: Text
    address: Text
    zone: Text
    state: typing.Literal["ready", "draining"]
    slots: Count
    cold_remaining_ms: typing.NotRequired[Wait]
    models: typing.NotRequired[list[_Hosted]]
    born: typing.NotRequired[Count]
    sequence: Count
    version: Text


class _Version(typing.TypedDict):
    model: Text
    version: Count


Decoded = typing.TypeVar("Decoded")


class DiscoveredTarget(typing.NamedTuple):
    """A target, and for how long it will still be cold."""

    target: registry.Target
    cold_ms: float


class ModelVersion(typing.NamedTuple):
    """The version of a model's weights that engines are required to load."""

    model: str
    version: int


def _decode(record: results.Record, kind: type[Decoded]) -> Decoded | None:
    try:
        return msgspec.convert(record.value, kind)
    except decoding.DECODE_ERRORS as error:
        _report(record, error)
        return None


def _report(record: results.Record, error: Exception) -> None:
    unreadable = isinstance(record.value, results.Unreadable)
    reason = record.value.error if unreadable else str(error)
    events.emit(
        UNREADABLE,
        key=record.key,
        revision=results.revision_of(record.version),
        error=reason[:MAX_TEXT],
    )


def decode_catalogue(record: results.Record) -> catalogue.Catalogue | None:
    """Return the configuration in an object, or None."""
    found = _decode(record, _Config)
    if found is None:
        return None
    routes = [
        _route(item) for item in found["routes"] if item["route_type"] in ROUTE_KINDS
    ]
    services = [_service(item) for item in found["services"] if _has_targets(item)]
    stores = [_store(item) for item in found["services"] if not _has_targets(item)]
    limits = found["limits"]
    return catalogue.Catalogue(
        found["version"],
        routes,
        services,
        stores,
        _accounts(found.get("tenants")),
        catalogue.Limits(
            limits["max_header_bytes"],
            limits["max_body_bytes"],
            limits["header_timeout_ms"],
            limits["idle_timeout_ms"],
        ),
        isolated=_isolated(found.get("tenants") or ()),
    )


def _route(found: _Route) -> catalogue.Route:
    split = found.get("traffic_split") or [
        _Share(service=found.get("service") or "", weight=1)
    ]
    return catalogue.Route(
        name=found["name"],
        host=found["hostname"].lower(),
        prefix=found["path_prefix"],
        shares=tuple(
            catalogue.Share(share["service"], share["weight"]) for share in split
        ),
        kind=ROUTE_KINDS[found["route_type"]],
        timeout_ms=found["timeout_ms"],
        objective_ms=found.get("target_latency_ms", found["timeout_ms"]),
        attempts=found.get("max_attempts", 1),
        priority=found.get("priority") or 0,
        anonymous=found.get("allow_anonymous", False),
        resumable=found.get("resumable", False),
        regions=frozenset(found.get("allowed_regions") or ()),
    )


def _has_targets(found: _Service) -> bool:
    return not found.get("kv_store_addr")


def _service(found: _Service) -> catalogue.Service:
    engine = found.get("engine")
    return catalogue.Service(
        name=found["name"],
        health_path=found.get("health_path") or "/",
        connections=found.get("max_connections", 1),
        cold_per_s=found.get("cold_per_s", 0.0),
        engine=None
        if engine is None
        else catalogue.Engine(
            engine["slots"],
            engine["kv_capacity_tokens"],
            tuple(model["name"] for model in engine["models"]),
        ),
    )


def _store(found: _Service) -> catalogue.PromptStore:
    return catalogue.PromptStore(
        found["name"],
        found["kv_store_addr"],
        found.get("zone", ""),
        found.get("kv_capacity_tokens", 0),
        found.get("link_mbps", 0.0),
        found.get("first_ms", 0.0),
    )


def _accounts(
    tenants: list[_Tenant] | None,
) -> dict[str, catalogue.Account] | None:
    if tenants is None:
        return None
    accounts = {}
    for found in tenants:
        account = catalogue.Account(
            found["name"],
            found.get("isolated", False),
            found.get("priority"),
            frozenset(found.get("allowed_regions") or ()),
        )
        accounts.update(dict.fromkeys(found["api_keys"], account))
    return accounts


def _isolated(tenants: typing.Iterable[_Tenant]) -> list[str]:
    return [found["name"] for found in tenants if found.get("isolated", False)]


def decode_target(record: results.Record) -> DiscoveredTarget | None:
    """Return the target in an entry of service discovery, or None."""
    found = _decode(record, _Server)
    if found is None:
        return None
    try:
        decoding.check_address(found["address"])
    except ValueError as error:
        _report(record, error)
        return None
    hosted = found.get("models", [])
    target = registry.Target(
        id=record.key.removeprefix(TARGETS),
        service=found["service"],
        address=found["address"],
        zone=found["zone"],
        slots=found["slots"],
        draining=found["state"] == DRAINING,
        versions={model["name"]: model["version"] for model in hosted},
        born_ms=found.get("born", 0),
        software=found["version"],
        sequence=found["sequence"],
    )
    return DiscoveredTarget(target, found.get("cold_remaining_ms", 0.0))


def decode_version(record: results.Record) -> ModelVersion | None:
    """Return the version of weights in an object, or None."""
    found = _decode(record, _Version)
    return None if found is None else ModelVersion(found["model"], found["version"])


def evacuated_zone(record: results.Record) -> str:
    """Return the zone that an evacuation object refers to."""
    return record.key.removeprefix(EVACUATIONS)
