"""Settings file that the users' platform writes for each process.

``load`` decodes the file, whose path is in an environment variable, into ``Site``.
Fields that are not declared here are ignored: they belong to parts of the platform's
contract that do not apply to this deployment.
"""

import pathlib
import tomllib
import typing

import msgspec

from cornelreach.util import decoding, errors

PATH_VARIABLE = "CORNELREACH_CONFIG"


class Bounds(typing.NamedTuple):
    """Bounds guaranteed by the platform, on which decisions rely."""

    drain_ms: float
    grace_ms: float
    config_ms: float
    revoke_ms: float
    revoke_strict: bool
    retry_ratio: float
    retry_window_ms: float
    retry_slack: float
    cold_overage: float
    cold_slack: float
    lease_ms: float
    thaw_ms: float
    version_ms: float
    evacuate_ms: float = 5_000
    contact_ms: float = 3_000


class Site(typing.NamedTuple):
    """Where a process runs, the addresses it listens on, and the platform's address.

    ``power`` is the share of processors that the process may use, ``report_ms`` the
    interval at which targets write their entries. ``is_first_start`` is set while the
    whole system starts for the first time. ``contracts`` names the parts of the
    platform's contract that apply to this deployment.
    """

    name: str
    zone: str
    regions: typing.Mapping[str, str]
    front: str
    readiness: str
    ip: str
    ports: tuple[int, int]
    platform: str
    bounds: Bounds
    reads_per_s: float
    writes_per_s: float
    power: float = 1.0
    report_ms: float = 1_200
    is_first_start: bool = False
    contracts: frozenset[str] = frozenset()


class _Listen(typing.TypedDict):
    front: str
    readiness: str


class _Platform(typing.TypedDict):
    address: str
    reads_per_s: float
    writes_per_s: float


class _Limits(typing.TypedDict):
    """Processor limits: ``cpu_share`` of one processor, multiplied by ``cores``."""

    cpu_share: typing.NotRequired[float]
    cores: typing.NotRequired[float]


class _Bounds(typing.TypedDict):
    drain_ms: float
    grace_s: float
    config_apply_ms: float
    revoke_ms: typing.NotRequired[float]
    revoke_strict: typing.NotRequired[bool]
    retry_budget: float
    budget_window_s: float
    retry_slack: float
    cold_overage: typing.NotRequired[float]
    cold_slack: typing.NotRequired[float]
    lease_ms: typing.NotRequired[float]
    thaw_ms: typing.NotRequired[float]
    version_ms: typing.NotRequired[float]
    evacuate_ms: typing.NotRequired[float]
    contact_ms: typing.NotRequired[float]


class _File(typing.TypedDict):
    node_name: str
    zone: str
    ip: str
    internal_ports: tuple[int, int]
    zones: dict[str, str]
    listen: _Listen
    bounds: _Bounds
    platform: _Platform
    limits: typing.NotRequired[_Limits]
    heartbeat_ms: typing.NotRequired[float]
    bootstrap: typing.NotRequired[bool]
    contracts: typing.NotRequired[list[str]]


def read(path: str) -> bytes | None:
    """Return the content of the settings file, or None if it cannot be read."""
    try:
        return pathlib.Path(path).read_bytes()
    except OSError:
        return None


def load(path: str) -> Site:
    """Decode a settings file; raises errors.UserError if that fails."""
    try:
        fields = tomllib.loads(pathlib.Path(path).read_text())
        found = msgspec.convert(fields, _File)
    except (OSError, tomllib.TOMLDecodeError, *decoding.DECODE_ERRORS) as error:
        raise errors.UserError(
            f"cannot load settings file {path!r}: {error}",
            f"correct the file named by {PATH_VARIABLE}",
        ) from None
    _check_budget(found["bounds"], path)
    return Site(
        name=found["node_name"],
        zone=found["zone"],
        regions=found["zones"],
        front=found["listen"]["front"],
        readiness=found["listen"]["readiness"],
        ip=found["ip"],
        ports=found["internal_ports"],
        platform=found["platform"]["address"],
        bounds=_bounds(found["bounds"]),
        reads_per_s=found["platform"]["reads_per_s"],
        writes_per_s=found["platform"]["writes_per_s"],
        power=_power(found.get("limits", {})),
        report_ms=found.get("heartbeat_ms", 1_200),
        is_first_start=found.get("bootstrap", False),
        contracts=frozenset(found.get("contracts", ())),
    )


def _check_budget(found: _Bounds, path: str) -> None:
    """Raise UserError for bounds on retries that have no meaning; 0 admits none."""
    for name, is_valid, expected in (
        ("retry_budget", 0 <= found["retry_budget"] < float("inf"), "0 or more"),
        ("retry_slack", 0 <= found["retry_slack"] < float("inf"), "0 or more"),
        ("budget_window_s", 0 < found["budget_window_s"] < float("inf"), "above 0"),
    ):
        if not is_valid:
            raise errors.UserError(
                f"settings file {path!r}: bounds.{name} is {found[name]}",
                f"give a number that is {expected}",
            )


def _power(found: _Limits) -> float:
    return found.get("cpu_share", 1.0) * found.get("cores", 1.0)


def _bounds(found: _Bounds) -> Bounds:
    # The file leaves out the bounds of parts of the platform's contract that do not
    # apply to this deployment.
    return Bounds(
        drain_ms=found["drain_ms"],
        grace_ms=found["grace_s"] * 1_000,
        config_ms=found["config_apply_ms"],
        revoke_ms=found.get("revoke_ms", 5_000),
        revoke_strict=found.get("revoke_strict", False),
        retry_ratio=found["retry_budget"],
        retry_window_ms=found["budget_window_s"] * 1_000,
        retry_slack=found["retry_slack"],
        cold_overage=found.get("cold_overage", 1.0),
        cold_slack=found.get("cold_slack", 0.0),
        lease_ms=found.get("lease_ms", 3_000),
        thaw_ms=found.get("thaw_ms", 0),
        version_ms=found.get("version_ms", 8_000),
        evacuate_ms=found.get("evacuate_ms", 5_000),
        contact_ms=found.get("contact_ms", 3_000),
    )
