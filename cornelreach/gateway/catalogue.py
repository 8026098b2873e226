"""The operators' configuration: routes, services, prompt stores, accounts and limits.

A catalogue is one version of the configuration, decoded and indexed once::

    route = catalogue.match("pule25.example", b"/puxa400/2f")
    account = catalogue.accounts.get(key)
"""

import enum
import typing


class Kind(enum.StrEnum):
    """Whether a request may be retried, and whether its response is a stream."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


class Share(typing.NamedTuple):
    """A service and its weight in the traffic split of a route."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """How requests for one host and path prefix are handled.

    ``priority`` 0 is the highest. ``attempts`` bounds how many targets may execute one
    request. An empty ``regions`` allows targets in any region.
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
        """Return whether a request may run again if no response bytes were sent yet."""
        return self.kind is Kind.IDEMPOTENT or self.resumable


class Engine(typing.NamedTuple):
    """The capacity of each model engine of a service."""

    slots: int
    memory_tokens: int
    models: tuple[str, ...]


class Service(typing.NamedTuple):
    """A group of targets.

    ``connections`` bounds the connections of the whole fleet to one target.
    """

    name: str
    health_path: str
    connections: int
    cold_per_s: float
    engine: Engine | None


class PromptStore(typing.NamedTuple):
    """A store of cached prompt parts."""

    name: str
    address: str
    zone: str
    tokens: int
    link_mbps: float
    first_ms: float


class Account(typing.NamedTuple):
    """A client account; an isolated one shares no cached prompts with others."""

    name: str
    isolated: bool
    priority: int | None
    regions: frozenset[str]


class Limits(typing.NamedTuple):
    """Bounds on the size and duration of a caller's request and on idle time."""

    header_bytes: int
    body_bytes: int
    header_ms: float
    idle_ms: float


class Catalogue:
    """One version of the configuration.

    ``accounts`` are found by their keys; ``isolated`` names all isolated accounts, also
    those without a key.
    """

    def __init__(
        self,
        version: int,
        routes: typing.Iterable[Route],
        services: typing.Iterable[Service],
        stores: typing.Iterable[PromptStore],
        accounts: typing.Mapping[str, Account] | None,
        limits: Limits,
        isolated: typing.Iterable[str] = (),
    ) -> None:
        self.version = version
        self.services = {one.name: one for one in services}
        self.stores = tuple(stores)
        self.accounts = accounts
        self.limits = limits
        self.isolated = frozenset(isolated)
        self._routes: dict[str, dict[str, Route]] = {}
        # The longest that a stream which may be resumed lasts, by service.
        self.resumable_ms: dict[str, float] = {}
        # The services with a route whose requests may run more than once.
        self.repeatable_services: set[str] = set()
        for route in routes:
            self._routes.setdefault(route.host, {})[route.prefix] = route
            if route.repeatable:
                self.repeatable_services.update(one.service for one in route.shares)
            for share in route.shares if route.resumable else ():
                longest_ms = self.resumable_ms.get(share.service, 0.0)
                timeout_ms = max(longest_ms, route.timeout_ms)
                self.resumable_ms[share.service] = timeout_ms

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None.

        Prefixes end with a slash, so only substrings that end with one are looked up.
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
        """Return whether requests for a route must carry an account's API key."""
        return self.accounts is not None and not route.anonymous
