"""Rules that a whole configuration must meet before a change to it is written.

Only what a change breaks counts against it, so that an older fault elsewhere never
stands in the way of a take-out::

    problems = rules.broken(before, after, wall_ms)
"""

import collections
import datetime
import functools
import re
import typing

from cornelreach.settings import items
from cornelreach.util import decoding

POOL_TARGETS = 16
NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
DIGEST = re.compile(r"[0-9a-fA-F]{64}")
TARGET_KINDS = ("engine", "store", "service")
TARGET_STATES = ("in_service", "leaving")
DATA_CENTRE_STATES = ("in_service", "taken_out")


class Problem(typing.NamedTuple):
    """One broken rule: where, what and how to mend it."""

    where: str
    message: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.where}: {self.message}; {self.remedy}"


Items = dict[str, items.Item]
Problems = typing.Iterator[Problem]


def broken(before: Items, after: Items, wall_ms: float) -> tuple[Problem, ...]:
    """Return the rules that hold in ``before`` and not in ``after``."""
    known = set(problems(before, wall_ms))
    return tuple(found for found in problems(after, wall_ms) if found not in known)


def problems(held: Items, wall_ms: float) -> tuple[Problem, ...]:
    """Return every broken rule of a configuration, by platform key."""
    found: list[Problem] = []
    for key, item in held.items():
        found.extend(_check_name(key, item))
        found.extend(check(item, key, held, wall_ms))
    found.extend(_check_pools(held))
    found.extend(_check_digests(held))
    return tuple(found)


@functools.singledispatch
def check(item: items.Item, key: str, held: Items, wall_ms: float) -> Problems:
    """Yield the problems of one item within a configuration."""
    yield from ()


@check.register
def _(item: items.Defaults, key: str, held: Items, wall_ms: float) -> Problems:
    yield from _check_positive(key, item, zero_ok=("retry_share",))
    if not 0 < item.objective_share < 1:
        yield Problem(key, "objective_share is not a share", "use one such as 0.95")


@check.register
def _(item: items.Account, key: str, held: Items, wall_ms: float) -> Problems:
    if item.weight < 1:
        yield Problem(key, f"weight {item.weight} is below 1", "use 1 or more")
    for digest in item.key_digests:
        if not DIGEST.fullmatch(digest):
            remedy = "give the hex SHA-256 of the bearer key, never the key itself"
            yield Problem(key, f"key digest {digest[:8]!r}.. is malformed", remedy)
    for model in item.models:
        yield from _check_known(key, "model", model, held)


@check.register
def _(item: items.Model, key: str, held: Items, wall_ms: float) -> Problems:
    yield from _check_positive(key, item)
    if not item.version:
        yield Problem(key, "version is empty", "name the weight version")


@check.register
def _(item: items.Target, key: str, held: Items, wall_ms: float) -> Problems:
    yield from _check_one_of(key, "kind", item.kind, TARGET_KINDS)
    yield from _check_one_of(key, "state", item.state, TARGET_STATES)
    yield from _check_known(key, "data-centre", item.data_centre, held)
    yield from _check_positive(key, item, zero_ok=("cold_ms",))
    if item.kind == "engine":
        yield from _check_known(key, "model", item.serves, held)
    if item.kind == "service" and not item.serves:
        yield Problem(key, "serves is empty", "name the service")
    if item.cold_sequences > item.max_sequences:
        text = "cold_sequences is above max_sequences"
        yield Problem(key, text, "lower cold_sequences")
    host, _, port = item.address.removeprefix("http://").rpartition(":")
    if not host or not decoding.is_number(port):
        text = f"address {item.address!r} is not host:port"
        yield Problem(key, text, "give an IP number and a port")


@check.register
def _(item: items.DataCentre, key: str, held: Items, wall_ms: float) -> Problems:
    yield from _check_one_of(key, "state", item.state, DATA_CENTRE_STATES)
    if item.state != "in_service" and not item.reason.strip():
        yield Problem(key, "it is taken out without a reason", "add reason")


@check.register
def _(item: items.Override, key: str, held: Items, wall_ms: float) -> Problems:
    if not item.reason.strip():
        yield Problem(key, "the exception has no reason", "write down why it differs")
    yield from _check_ends(key, item, wall_ms)
    kind, _, name = item.scope.partition(":")
    if kind not in ("account", "model"):
        remedy = "use account:<name> or model:<name>"
        yield Problem(key, f"scope {item.scope!r} is unknown", remedy)
    else:
        yield from _check_known(key, kind, name, held)
    default = getattr(items.Defaults(), item.setting, None)
    if isinstance(default, str | None):
        settable = ", ".join(name for name in items.Defaults._fields if name != "name")
        text = f"setting {item.setting!r} is not a default"
        yield Problem(key, text, f"use one of {settable}")
    elif item.value < 0:
        yield Problem(key, f"value {item.value} is negative", "use 0 or more")
    yield from _check_twice(key, item, held)


def _check_ends(key: str, item: items.Override, wall_ms: float) -> Problems:
    try:
        ends = datetime.datetime.fromisoformat(item.ends)
    except ValueError:
        remedy = "give a time such as 2027-01-31T12:00:00+00:00"
        yield Problem(key, f"end {item.ends!r} is not an ISO 8601 time", remedy)
        return
    if ends.tzinfo is None:
        yield Problem(key, "the end has no time zone", "add one, such as +00:00")
    elif ends.timestamp() * 1_000 <= wall_ms:
        yield Problem(key, "the end has passed", "set a later end or delete it")


def _check_twice(key: str, item: items.Override, held: Items) -> Problems:
    for other_key, other in held.items():
        if not isinstance(other, items.Override) or other_key >= key:
            continue
        if (other.scope, other.setting) == (item.scope, item.setting):
            text = f"{other_key} already sets {item.setting} for {item.scope}"
            yield Problem(key, text, "change that one instead")


def _check_name(key: str, item: items.Item) -> Problems:
    name = key.removeprefix(items.key_of(items.kind_of(key), ""))
    if item.name != name:
        yield Problem(key, f"its name is {item.name!r}", f"name it {name!r}")
    if not NAME.fullmatch(name):
        remedy = "use up to 63 of a-z, 0-9, '.', '_' and '-'"
        yield Problem(key, f"name {name!r} is malformed", remedy)


def _check_known(key: str, kind: str, name: str, held: Items) -> Problems:
    if items.key_of(kind, name) not in held:
        remedy = f"add the {kind} first or correct the name"
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
        if len(targets) > POOL_TARGETS:
            text = f"it has {len(targets)} targets, {POOL_TARGETS} at most"
            yield Problem(where, text, "split it by the field pool of its targets")
        if len({(target.data_centre, target.serves) for target in targets}) > 1:
            text = "its targets differ in data_centre or serves"
            yield Problem(where, text, "give them different pools")


def _check_digests(held: Items) -> Problems:
    owners: dict[str, str] = {}
    for key, item in held.items():
        if not isinstance(item, items.Account):
            continue
        for digest in item.key_digests:
            owner = owners.setdefault(digest.lower(), key)
            if owner != key:
                text = f"key digest {digest[:8]}.. belongs to {owner} too"
                yield Problem(key, text, "give each account keys of its own")
