"""Typed access to the settings in force.

A view follows a state and keeps a typed item for each key. A value that cannot be
decoded is logged, and the previous item stays in force::

    view = View(state)
    account = view.account_by_key("bearer key")
    view.effective("deadline_ms", wall_ms, account=account.name)
"""

import datetime
import hashlib
import hmac
import typing

from cornelreach.settings import items, state as state_module, targetindex
from cornelreach.util import events

UNREADABLE = events.define(
    1101,
    "ERROR",
    "Cannot decode item {key} version {version}: {error}.",
    "Correct the item with `cornelreach apply`; the old value stays in force.",
)

IN_SERVICE = "in_service"
BUCKET_PREFIX_LENGTH = 8


DirectiveLookup = typing.Callable[[str], str | None]


class View:
    """The typed items of a state, kept up to date as the state changes.

    ``directive_state`` returns the state that operators' directives set for an item
    key, or None; see ``fleet.directives``.
    """

    def __init__(
        self, state: state_module.State, directive_state: DirectiveLookup | None = None
    ) -> None:
        self.state = state
        self.directive_state = directive_state
        self._items: dict[str, dict[str, items.Item]] = {
            kind: {} for kind in items.KINDS
        }
        self._by_digest: dict[str, list[tuple[str, str]]] = {}
        self._index = targetindex.TargetIndex()
        self._refresh(tuple(state.live()))
        state.subscribe(lambda changed: self._refresh(changed.entries))

    @property
    def revision(self) -> int:
        """Return the revision of the settings in the view."""
        return self.state.revision

    @property
    def defaults(self) -> items.Defaults:
        """Return the fleet-wide defaults."""
        held = self._items["defaults"].get("fleet")
        return held if held is not None else items.Defaults()

    @property
    def accounts(self) -> dict[str, items.Account]:
        """Return the client accounts by name."""
        return self._items["account"]

    @property
    def models(self) -> dict[str, items.Model]:
        """Return the models by name."""
        return self._items["model"]

    @property
    def targets(self) -> dict[str, items.Target]:
        """Return the targets by name."""
        return self._items["target"]

    @property
    def stores(self) -> dict[str, items.Target]:
        """Return the prompt stores by name."""
        return self._index.stores

    def targets_in(self, data_centre: str) -> dict[str, items.Target]:
        """Return the targets of a data centre by name."""
        return self._index.by_data_centre.get(data_centre, {})

    @property
    def data_centres(self) -> dict[str, items.DataCentre]:
        """Return the data centres by name, including those taken out."""
        return self._items["data-centre"]

    @property
    def overrides(self) -> dict[str, items.Override]:
        """Return the exceptions by name, including those that have ended."""
        return self._items["exception"]

    def account_by_key(self, bearer: str) -> items.Account | None:
        """Return the account of a bearer key, or None.

        The first characters of the digest select a bucket, which reveals nothing about
        the key; full digests are compared in constant time.
        """
        digest = hashlib.sha256(bearer.encode()).hexdigest()
        found = None
        for held, name in self._by_digest.get(digest[:BUCKET_PREFIX_LENGTH], ()):
            if hmac.compare_digest(held, digest):
                found = self.accounts.get(name)
        return found

    def data_centre_state(self, name: str) -> str:
        """Return ``in_service`` or ``taken_out``; the default is ``in_service``."""
        held = self.data_centres.get(name)
        configured_state = held.state if held is not None else IN_SERVICE
        return self._directive_state("data-centre", name) or configured_state

    def accepts_work(self, target: items.Target) -> bool:
        """Return whether a target and its data centre accept new work."""
        state = self._directive_state("target", target.name) or target.state
        return (
            state == IN_SERVICE
            and self.data_centre_state(target.data_centre) == IN_SERVICE
        )

    def _directive_state(self, kind: str, name: str) -> str | None:
        if self.directive_state is None:
            return None
        return self.directive_state(items.key_of(kind, name))

    def in_service(self) -> frozenset[str]:
        """Return the data centres that accept new work."""
        named = self.named_data_centres()
        return frozenset(
            name for name in named if self.data_centre_state(name) == IN_SERVICE
        )

    def named_data_centres(self) -> set[str]:
        """Return the data centres that have an item or a target."""
        return {*self.data_centres, *self._index.by_data_centre}

    def pools(self, serves: str) -> dict[str, list[items.Target]]:
        """Return the pools of a model or service with their targets, sorted by name."""
        return self._index.pools_by_served.get(serves, {})

    def pool(self, name: str) -> list[items.Target]:
        """Return the targets of one pool."""
        return self._index.by_pool.get(name, [])

    def effective(
        self,
        setting: str,
        wall_ms: float,
        account: str | None = None,
        model: str | None = None,
    ) -> typing.Any:
        """Return the value of a setting: an exception in force, or else the default.

        An exception for the account takes precedence over one for the model. The value
        has the type of the default.
        """
        default = getattr(self.defaults, setting)
        for scope in (f"account:{account}", f"model:{model}"):
            for override in self.active(setting, scope, wall_ms):
                return type(default)(override.value)
        return default

    def active(self, setting: str, scope: str, wall_ms: float) -> list[items.Override]:
        """Return the exceptions in force for a setting and scope, newest first."""
        found = [
            override
            for override in self.overrides.values()
            if (override.setting, override.scope) == (setting, scope)
            and not ended(override, wall_ms)
        ]
        return sorted(found, key=lambda item: (item.created, item.name), reverse=True)

    def _refresh(self, entries: tuple[state_module.Entry, ...]) -> None:
        kinds = {items.kind_of(entry.key) for entry in entries}
        for entry in entries:
            self._update(entry)
        if "account" in kinds:
            self._rebuild_digest_index()

    def _update(self, entry: state_module.Entry) -> None:
        kind = items.kind_of(entry.key)
        if not kind:
            return
        name = entry.key.removeprefix(items.key_of(kind, ""))
        try:
            item = _item(entry)
        except (ValueError, TypeError, AttributeError) as error:
            events.emit(UNREADABLE, key=entry.key, version=entry.version, error=error)
            return
        self._replace(kind, name, item)

    def _replace(self, kind: str, name: str, item: items.Item | None) -> None:
        held = self._items[kind]
        old = held.pop(name, None)
        if item is not None:
            held[name] = item
        if kind == "target":
            self._index.replace(old, item)

    def _rebuild_digest_index(self) -> None:
        self._by_digest = {}
        for account in self.accounts.values():
            for digest in account.key_digests:
                lower = digest.lower()
                bucket = self._by_digest.setdefault(lower[:BUCKET_PREFIX_LENGTH], [])
                bucket.append((lower, account.name))


def _item(entry: state_module.Entry) -> items.Item | None:
    """Decode the item of an entry; None for a deletion. Raises if it is malformed."""
    if entry.value is None:
        return None
    item = items.convert(entry.key, entry.value)
    if isinstance(item, items.Override):
        datetime.datetime.fromisoformat(item.ends)
    return item


def ended(override: items.Override, wall_ms: float) -> bool:
    """Return whether an exception has ended; an end without time zone is in UTC."""
    ends = datetime.datetime.fromisoformat(override.ends)
    if ends.tzinfo is None:
        ends = ends.replace(tzinfo=datetime.UTC)
    return ends.timestamp() * 1_000 <= wall_ms
