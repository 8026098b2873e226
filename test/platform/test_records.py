"""Tests of the decoding of platform objects, valid and invalid."""

import unittest

import hypothesis
from hypothesis import strategies

from cornelreach.gateway import catalogue
from cornelreach.platform import records, results

SERVER = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "lj",
    "version": "v1",
    "slots": 48,
    "state": "ready",
    "cold_remaining_ms": 700,
    "models": [{"name": "m", "version": 2, "adapters": []}],
    "sequence": 4,
    "born": 17,
}
ROUTE = {
    "name": "r",
    "hostname": "Pool.example",
    "path_prefix": "/a/",
    "route_type": "streaming",
    "timeout_ms": 5_000,
    "target_latency_ms": 300,
    "priority": 1,
    "max_attempts": 2,
    "resumable": True,
    "traffic_split": [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}],
}
CONFIG = {
    "version": 7,
    "routes": [ROUTE, {**ROUTE, "path_prefix": "/a/b/", "traffic_split": None}],
    "services": [
        {
            "name": "s",
            "health_path": "/health",
            "max_connections": 300,
            "cold_per_s": 13.0,
            "engine": {
                "slots": 48,
                "kv_capacity_tokens": 63_375,
                "models": [{"name": "m"}],
            },
        },
        {
            "name": "k",
            "kv_store_addr": "172.20.0.6:80",
            "zone": "lj",
            "kv_capacity_tokens": 9,
            "link_mbps": 2.0,
            "first_ms": 0.5,
        },
    ],
    "limits": {
        "max_header_bytes": 16_384,
        "max_body_bytes": 4_194_304,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    },
    "tenants": [{"name": "t1", "api_keys": ["k1", "k2"], "priority": 1}],
}


def record(value, key="servers/i-1"):
    """Return a record with a value."""
    return results.Record(key, 5, value)


class Targets(unittest.TestCase):
    """Entries of service discovery."""

    def test_entry_is_decoded_to_a_target(self):
        found = records.decode_target(record(SERVER))
        self.assertEqual(found.cold_ms, 700)
        self.assertEqual(found.target.id, "i-1")
        self.assertEqual(found.target.versions, {"m": 2})
        self.assertEqual(found.target.born_ms, 17)

    def test_invalid_entries_yield_no_target(self):
        invalid = [{**SERVER, "state": "sleeping"}, {**SERVER, "slots": "48"}, None, 7]
        for name in ("service", "address", "zone", "state", "slots"):
            incomplete = dict(SERVER)
            del incomplete[name]
            invalid.append(incomplete)
        for value in invalid:
            self.assertIsNone(records.decode_target(record(value)), value)

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        strategies.dictionaries(
            strategies.sampled_from(sorted(SERVER)),
            strategies.none() | strategies.integers() | strategies.text(),
        )
    )
    def test_no_entry_raises(self, changed):
        records.decode_target(record({**SERVER, **changed}))


class Configs(unittest.TestCase):
    """The configuration object."""

    def setUp(self):
        self.found = records.decode_catalogue(record(CONFIG, records.CONFIG_MAIN))

    def test_longest_prefix_matches_first(self):
        match = self.found.match
        self.assertEqual(match("pool.example", "/a/x").prefix, "/a/")
        self.assertEqual(match("pool.example", "/a/b/x").prefix, "/a/b/")
        self.assertEqual(match("pool.example", "/a/b").prefix, "/a/")
        self.assertIsNone(match("pool.example", "/b/x"))
        self.assertIsNone(match("other.example", "/a/x"))

    def test_routes_services_stores_and_accounts_are_decoded(self):
        route = self.found.match("pool.example", "/a/x")
        self.assertEqual(route.kind, catalogue.Kind.STREAM)
        self.assertTrue(route.repeatable)
        self.assertEqual([one.weight for one in route.shares], [90, 10])
        self.assertEqual(self.found.services["s"].engine.memory_tokens, 63_375)
        self.assertEqual(self.found.stores[0].address, "172.20.0.6:80")
        self.assertEqual(self.found.accounts["k2"].name, "t1")
        self.assertTrue(self.found.needs_key(route))

    def test_no_key_is_required_without_accounts(self):
        open_config = {**CONFIG, "tenants": None}
        found = records.decode_catalogue(record(open_config, records.CONFIG_MAIN))
        self.assertFalse(found.needs_key(found.match("pool.example", "/a/x")))
