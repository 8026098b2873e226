"""What operators configured: routes, services, prompt stores, accounts and limits.

A catalogue is one version of the configuration, decoded and indexed once::

    route = catalogue.match("pule25.example", b"/puxa400/2f")
    account = catalogue.accounts.get(key)
"""

import enum
import typing


class Kind(enum.StrEnum):
    """What may be repeated of a request."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


class Share(typing.NamedTuple):
    """A service that takes a share of a route's requests."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Requests of one host and path prefix; ``priority`` 0 goes first.

    ``attempts`` bounds the targets that may run one request. ``regions`` is empty
    where any region may serve.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[Share, ...]
    kind: Kind
    timeout_ms: float
    objective_ms: float
    attempts: int
    priority: int
    anonymous: bool
    resumable: bool
    regions: frozenset[str]

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run again before any of its answer went out."""
        return self.kind is Kind.IDEMPOTENT or self.resumable


class Engine(typing.NamedTuple):
    """What each model engine of a service can hold."""

    slots: int
    memory_tokens: int
    models: tuple[str, ...]


class Service(typing.NamedTuple):
    """A group of targets; ``connections`` bounds all callers of one target together."""

    name: str
    health_path: str
    connections: int
    cold_per_s: float
    engine: Engine | None


class PromptStore(typing.NamedTuple):
    """A store of kept prompts."""

    name: str
    address: str
    zone: str
    tokens: int
    link_mbps: float
    first_ms: float


class Account(typing.NamedTuple):
    """A client account; an isolated one shares no cached prompt with any other."""

    name: str
    isolated: bool
    priority: int | None
    regions: frozenset[str]


class Limits(typing.NamedTuple):
    """Bounds on what a caller may send and how long it may take or stay idle."""

    header_bytes: int
    body_bytes: int
    header_ms: float
    idle_ms: float


class Catalogue:
    """One version of the configuration."""

    def __init__(
        self,
        version: int,
        routes: typing.Iterable[Route],
        services: typing.Iterable[Service],
        stores: typing.Iterable[PromptStore],
        accounts: typing.Mapping[str, Account] | None,
        limits: Limits,
    ) -> None:
        self.version = version
        self.services = {one.name: one for one in services}
        self.stores = tuple(stores)
        self.accounts = accounts
        self.limits = limits
        self._routes: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._routes.setdefault(route.host, {})[route.prefix] = route

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or None.

        Prefixes end with a slash, so only the cuts behind a slash are looked up.
        """
        prefixes = self._routes.get(host)
        if not prefixes:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def needs_key(self, route: Route) -> bool:
        """Return whether requests of a route must carry an account's key."""
        return self.accounts is not None and not route.anonymous
