"""Validation rules for the whole configuration, checked before a change is written.

Only the problems that a change introduces reject it, so that an existing problem
elsewhere never blocks taking a data centre out of service::

    problems = rules.new_problems(before, after, wall_ms)
"""

import collections
import datetime
import functools
import re
import typing

from cornelreach.settings import items
from cornelreach.util import decoding

MAX_POOL_TARGETS = 16
NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
DIGEST = re.compile(r"[0-9a-fA-F]{64}")
TARGET_KINDS = ("engine", "store", "service")
TARGET_STATES = ("in_service", "leaving")
DATA_CENTRE_STATES = ("in_service", "taken_out")


class Problem(typing.NamedTuple):
    """One broken rule: where it is, what is wrong and how to fix it."""

    where: str
    message: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.where}: {self.message}; {self.remedy}"


Items = dict[str, items.Item]
Problems = typing.Iterator[Problem]


def new_problems(before: Items, after: Items, wall_ms: float) -> tuple[Problem, ...]:
    """Return the problems of ``after`` that ``before`` does not have."""
    known = set(all_problems(before, wall_ms))
    return tuple(found for found in all_problems(after, wall_ms) if found not in known)


def all_problems(held: Items, wall_ms: float) -> tuple[Problem, ...]:
    """Return every problem of a configuration; ``held`` has the items by key."""
    found: list[Problem] = []
    for key, item in held.items():
        found.extend(_check_name(key, item))
        found.extend(check(item, key, held, wall_ms))
    found.extend(_check_pools(held))
    found.extend(_check_digests(held))
    return tuple(found)


@functools.singledispatch
def check(item: items.Item, key: str, held: Items, wall_ms: float) -> Problems:
    """Yield the problems of one item; ``held`` has all items of the configuration."""
    yield from ()


@check.register
def _(item: items.Defaults, key: str, held: Items, wall_ms: float) -> Problems:
    yield from _check_positive(key, item, zero_ok=("retry_share",))
    if not 0 < item.objective_share < 1:
        yield Problem(
            key, "objective_share is not between 0 and 1", "use a share such as 0.95"
        )


@check.register
def _(item: items.Account, key: str, held: Items, wall_ms: float) -> Problems:
    if item.weight < 1:
        yield Problem(key, f"weight {item.weight} is below 1", "use 1 or more")
    for digest in item.key_digests:
        if not DIGEST.fullmatch(digest):
            remedy = "use the hex SHA-256 of the bearer key, never the key itself"
            yield Problem(key, f"key digest {digest[:8]!r}.. is malformed", remedy)
    for model in item.models:
        yield from _check_exists(key, "model", model, held)


@check.register
def _(item: items.Model, key: str, held: Items, wall_ms: float) -> Problems:
    yield from _check_positive(key, item)
    if not item.version:
        yield Problem(key, "version is empty", "set the version of the weights")


@check.register
def _(item: items.Target, key: str, held: Items, wall_ms: float) -> Problems:
    yield from _check_one_of(key, "kind", item.kind, TARGET_KINDS)
    yield from _check_one_of(key, "state", item.state, TARGET_STATES)
    yield from _check_exists(key, "data-centre", item.data_centre, held)
    yield from _check_positive(key, item, zero_ok=("cold_ms",))
    if item.kind == "engine":
        yield from _check_exists(key, "model", item.serves, held)
    if item.kind == "service" and not item.serves:
        yield Problem(key, "serves is empty", "set the name of the service")
    if item.cold_sequences > item.max_sequences:
        text = "cold_sequences is greater than max_sequences"
        yield Problem(key, text, "lower cold_sequences")
    host, _, port = item.address.removeprefix("http://").rpartition(":")
    if not host or not decoding.is_number(port):
        text = f"address {item.address!r} is not host:port"
        yield Problem(key, text, "use an IP address and a port")


@check.register
def _(item: items.DataCentre, key: str, held: Items, wall_ms: float) -> Problems:
    yield from _check_one_of(key, "state", item.state, DATA_CENTRE_STATES)
    if item.state != "in_service" and not item.reason.strip():
        yield Problem(key, "it is taken out without a reason", "set reason")


@check.register
def _(item: items.Override, key: str, held: Items, wall_ms: float) -> Problems:
    if not item.reason.strip():
        yield Problem(
            key, "the exception has no reason", "explain why the value differs"
        )
    yield from _check_ends(key, item, wall_ms)
    kind, _, name = item.scope.partition(":")
    if kind not in ("account", "model"):
        remedy = "use account:<name> or model:<name>"
        yield Problem(key, f"scope {item.scope!r} is unknown", remedy)
    else:
        yield from _check_exists(key, kind, name, held)
    default = getattr(items.Defaults(), item.setting, None)
    if isinstance(default, str | None):
        setting_names = ", ".join(
            name for name in items.Defaults._fields if name != "name"
        )
        text = f"setting {item.setting!r} is not a default"
        yield Problem(key, text, f"use one of {setting_names}")
    elif item.value < 0:
        yield Problem(key, f"value {item.value} is negative", "use 0 or more")
    yield from _check_unique_setting(key, item, held)


def _check_ends(key: str, item: items.Override, wall_ms: float) -> Problems:
    try:
        ends = datetime.datetime.fromisoformat(item.ends)
    except ValueError:
        remedy = "use a time such as 2027-01-31T12:00:00+00:00"
        yield Problem(key, f"ends {item.ends!r} is not an ISO 8601 time", remedy)
        return
    if ends.tzinfo is None:
        yield Problem(key, "ends has no time zone", "add one, such as +00:00")
    elif ends.timestamp() * 1_000 <= wall_ms:
        yield Problem(key, "ends is in the past", "set a later time or delete it")


def _check_unique_setting(key: str, item: items.Override, held: Items) -> Problems:
    for other_key, other in held.items():
        if not isinstance(other, items.Override) or other_key >= key:
            continue
        if (other.scope, other.setting) == (item.scope, item.setting):
            text = f"{other_key} already sets {item.setting} for {item.scope}"
            yield Problem(key, text, "change that exception instead")


def _check_name(key: str, item: items.Item) -> Problems:
    name = key.removeprefix(items.key_of(items.kind_of(key), ""))
    if item.name != name:
        yield Problem(key, f"its name is {item.name!r}", f"name it {name!r}")
    if not NAME.fullmatch(name):
        remedy = "use up to 63 of a-z, 0-9, '.', '_' and '-'"
        yield Problem(key, f"name {name!r} is malformed", remedy)


def _check_exists(key: str, kind: str, name: str, held: Items) -> Problems:
    if items.key_of(kind, name) not in held:
        remedy = f"create the {kind} first or correct the name"
        yield Problem(key, f"{kind} {name!r} is not known", remedy)


def _check_one_of(
    key: str, field: str, value: str, allowed: tuple[str, ...]
) -> Problems:
    if value not in allowed:
        text = f"{field} {value!r} is unknown"
        yield Problem(key, text, f"use one of {', '.join(allowed)}")


def _check_positive(
    key: str, item: items.Item, zero_ok: tuple[str, ...] = ()
) -> Problems:
    for field, value in item._asdict().items():
        if isinstance(value, bool) or not isinstance(value, int | float):
            continue
        if value < 0 or (value == 0 and field not in zero_ok):
            yield Problem(key, f"{field} is {value}", "use a number above 0")


def _check_pools(held: Items) -> Problems:
    pools: dict[str, list[items.Target]] = collections.defaultdict(list)
    for item in held.values():
        if isinstance(item, items.Target) and item.kind != "store":
            pools[item.pool_name].append(item)
    for name, targets in sorted(pools.items()):
        where = f"pool {name}"
        if len(targets) > MAX_POOL_TARGETS:
            text = f"it has {len(targets)} targets, {MAX_POOL_TARGETS} at most"
            yield Problem(where, text, "split it by setting pool on its targets")
        if len({(target.data_centre, target.serves) for target in targets}) > 1:
            text = "its targets differ in data_centre or serves"
            yield Problem(where, text, "put them into different pools")


def _check_digests(held: Items) -> Problems:
    owners: dict[str, str] = {}
    for key, item in held.items():
        if not isinstance(item, items.Account):
            continue
        for digest in item.key_digests:
            owner = owners.setdefault(digest.lower(), key)
            if owner != key:
                text = f"key digest {digest[:8]}.. also belongs to {owner}"
                yield Problem(key, text, "use separate keys for each account")
