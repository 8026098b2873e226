"""The operator of a soak run, who writes configurations and names weights."""

import typing

import msgspec

from standins import platform as platform_module
from tools.soak import callers

PLAIN_SERVICE, POOL_SERVICE = "s", "p"
MODEL = "m"
COLD_PER_S = 10.0
KEYS = ("key-0", "key-1", "key-2", "key-3", "key-4", "key-5")
SMALL_BODY_BYTES, LARGE_BODY_BYTES = 2_000, 1_048_576
LONG_BODY_BYTES = 20_000
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": SMALL_BODY_BYTES,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}
ROUTES = {
    "/once/": ("non_idempotent", PLAIN_SERVICE),
    "/read/": ("idempotent", PLAIN_SERVICE),
    "/stream/": ("streaming", POOL_SERVICE),
    "/resume/": ("streaming", POOL_SERVICE),
}


class Operator:
    """The objects that the operator and the engines have written to the store."""

    def __init__(self, store: platform_module.Platform) -> None:
        self.store = store
        self.keys = list(KEYS)
        self.config_version = 1
        self.model_version = 1
        self.extra_routes: list[str] = []
        self.limits = dict(LIMITS)
        self.prompt_store = ""  # its address
        self.padding = b""  # of the bodies of calls that may run once
        self.is_changing_limits = False
        self._written: dict[str, typing.Any] = {}

    def write(self, key: str, value: typing.Any) -> None:
        """Write an object directly, bypassing the store's faults; bytes as they are."""
        self._written[key] = value
        raw = value is None or isinstance(value, bytes)
        body = value if raw else msgspec.json.encode(value)
        self.store.model.seed(key, body)
        self.store.notify_watches()

    def write_again(self) -> None:
        """Write all objects again, after the store has lost some."""
        for key, value in list(self._written.items()):
            self.write(key, value)

    def write_version(self) -> None:
        """Name the current version of the weights."""
        self.write(f"versions/{MODEL}", {"model": MODEL, "version": self.model_version})

    def write_config(self) -> None:
        """Write the current configuration."""
        routes = [self._route_document(*one) for one in self._route_parts()]
        engine = {"slots": 8, "kv_capacity_tokens": 60_000, "models": [{"name": MODEL}]}
        services = [
            {"name": PLAIN_SERVICE, "health_path": "/health", "max_connections": 90},
            {
                "name": POOL_SERVICE,
                "health_path": "/health",
                "max_connections": 90,
                "engine": engine,
            },
        ]
        for service in services:
            service["cold_per_s"] = COLD_PER_S
        if self.prompt_store:
            services.append(
                {
                    "name": "prompt-store",
                    "kv_store_addr": self.prompt_store,
                    "kv_capacity_tokens": 1_000_000,
                    "link_mbps": 100_000.0,
                }
            )
        account = {"name": "tirnica", "api_keys": list(self.keys)}
        self.write(
            "config/main",
            {
                "version": self.config_version,
                "routes": routes,
                "services": services,
                "limits": self.limits,
                "tenants": [account],
            },
        )

    def write_body_limit(self, max_body_bytes: int) -> None:
        """Write a configuration with another limit of bodies."""
        self.limits["max_body_bytes"] = max_body_bytes
        self.config_version += 1
        self.write_config()

    def _route_parts(self) -> list[tuple[str, str, str]]:
        routes = [(prefix, *rest) for prefix, rest in ROUTES.items()]
        return routes + [
            (prefix, "idempotent", PLAIN_SERVICE) for prefix in self.extra_routes
        ]

    def _route_document(
        self, prefix: str, kind: str, service: str
    ) -> dict[str, typing.Any]:
        return {
            "name": f"r{prefix}",
            "hostname": callers.HOST,
            "path_prefix": prefix,
            "route_type": kind,
            "timeout_ms": 1_900,
            "target_latency_ms": 300,
            "max_attempts": 2,
            "priority": 1,
            "service": service,
            "resumable": prefix == "/resume/",
        }
