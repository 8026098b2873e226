"""Typed access to the items in force.

A view follows a state and keeps one typed item for each key. A value that cannot be
read leaves the former item in force and is reported::

    view = View(state)
    account = view.account_of("bearer key")
    view.effective("deadline_ms", wall_ms, account=account.name)
"""

import datetime
import hashlib
import hmac
import typing

from cornelreach.settings import items, pools, state as state_module
from cornelreach.util import events

UNREADABLE = events.define(
    1101,
    "ERROR",
    "Item {key} version {version} is unreadable: {error}.",
    "Correct the item with `cornelreach apply`; the former value stays in force.",
)

IN_SERVICE = "in_service"
BUCKET_CHARACTERS = 8


Directed = typing.Callable[[str], str | None]


class View:
    """The typed items of a state, kept up to date as the state changes.

    ``directed`` returns the state that operators gave directly to an instance for a
    key, or None; see ``fleet.takeout``.
    """

    def __init__(
        self, state: state_module.State, directed: Directed | None = None
    ) -> None:
        self.state = state
        self.directed = directed
        self._items: dict[str, dict[str, items.Item]] = {
            kind: {} for kind in items.KINDS
        }
        self._by_digest: dict[str, list[tuple[str, str]]] = {}
        self._pools = pools.Index()
        self._refresh(tuple(state.live()))
        state.subscribe(lambda changed: self._refresh(changed.entries))

    @property
    def revision(self) -> int:
        """Return the revision that the view shows."""
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
        return self._pools.stores

    def targets_of(self, data_centre: str) -> dict[str, items.Target]:
        """Return the targets of a data centre by name."""
        return self._pools.sites.get(data_centre, {})

    @property
    def data_centres(self) -> dict[str, items.DataCentre]:
        """Return the data centres by name, those taken out included."""
        return self._items["data-centre"]

    @property
    def overrides(self) -> dict[str, items.Override]:
        """Return the exceptions by name, those that have ended included."""
        return self._items["exception"]

    def account_of(self, bearer: str) -> items.Account | None:
        """Return the account of a bearer key; whole digests compare in constant time.

        The digest's first characters choose a bucket; they tell nothing of a key.
        """
        digest = hashlib.sha256(bearer.encode()).hexdigest()
        found = None
        for held, name in self._by_digest.get(digest[:BUCKET_CHARACTERS], ()):
            if hmac.compare_digest(held, digest):
                found = self.accounts.get(name)
        return found

    def data_centre_state(self, name: str) -> str:
        """Return ``in_service`` or ``taken_out``; in service if it has no item."""
        held = self.data_centres.get(name)
        stated = held.state if held is not None else IN_SERVICE
        return self._directed("data-centre", name) or stated

    def takes_work(self, target: items.Target) -> bool:
        """Return whether new work may go to a target and its data centre."""
        state = self._directed("target", target.name) or target.state
        return (
            state == IN_SERVICE
            and self.data_centre_state(target.data_centre) == IN_SERVICE
        )

    def _directed(self, kind: str, name: str) -> str | None:
        if self.directed is None:
            return None
        return self.directed(items.key_of(kind, name))

    def in_service(self) -> frozenset[str]:
        """Return the data centres that take new work by the settings."""
        named = self.named_data_centres()
        return frozenset(
            name for name in named if self.data_centre_state(name) == IN_SERVICE
        )

    def named_data_centres(self) -> set[str]:
        """Return the data centres that have an item or a target."""
        return {*self.data_centres, *self._pools.sites}

    def pools(self, serves: str) -> dict[str, list[items.Target]]:
        """Return the pools of a model or service, each with its targets by name."""
        return self._pools.serving.get(serves, {})

    def pool(self, name: str) -> list[items.Target]:
        """Return the targets of one pool."""
        return self._pools.pools.get(name, [])

    def effective(
        self,
        setting: str,
        wall_ms: float,
        account: str | None = None,
        model: str | None = None,
    ) -> typing.Any:
        """Return a default after the exceptions that apply and have not ended.

        An exception of the account goes before one of the model. The value has the
        type of the default.
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
            self._take(entry)
        if "account" in kinds:
            self._index_accounts()

    def _take(self, entry: state_module.Entry) -> None:
        kind = items.kind_of(entry.key)
        if not kind:
            return
        name = entry.key.removeprefix(items.key_of(kind, ""))
        try:
            item = _item(entry)
        except (ValueError, TypeError, AttributeError) as error:
            events.emit(UNREADABLE, key=entry.key, version=entry.version, error=error)
            return
        self._hold(kind, name, item)

    def _hold(self, kind: str, name: str, item: items.Item | None) -> None:
        held = self._items[kind]
        former = held.pop(name, None)
        if item is not None:
            held[name] = item
        if kind == "target":
            self._pools.replace(former, item)

    def _index_accounts(self) -> None:
        self._by_digest = {}
        for account in self.accounts.values():
            for digest in account.key_digests:
                lower = digest.lower()
                bucket = self._by_digest.setdefault(lower[:BUCKET_CHARACTERS], [])
                bucket.append((lower, account.name))


def _item(entry: state_module.Entry) -> items.Item | None:
    """Return the item of an entry, None for a deletion; raises if it is unreadable."""
    if entry.value is None:
        return None
    item = items.convert(entry.key, entry.value)
    if isinstance(item, items.Override):
        datetime.datetime.fromisoformat(item.ends)
    return item


def ended(override: items.Override, wall_ms: float) -> bool:
    """Return whether an exception's end has passed; one without a zone is in UTC."""
    ends = datetime.datetime.fromisoformat(override.ends)
    if ends.tzinfo is None:
        ends = ends.replace(tzinfo=datetime.UTC)
    return ends.timestamp() * 1_000 <= wall_ms
