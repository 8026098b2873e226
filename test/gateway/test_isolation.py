"""Tests of the compartments of KV cache, while accounts become isolated or not."""

import unittest

from cornelreach.gateway import calls, catalogue, requeststate
from cornelreach.http import messages
from cornelreach.platform import records
from test.gateway import harness as harness_module
from test.platform import test_records

ENGINE = catalogue.Engine(48, 60_000, ("m",))
KEYS = {"bank": "key-a", "shop": "key-b", "desk": "key-c"}
NOBODY = "nobody"


class Address:
    """The address of an engine that is never called."""

    name, address = "e", "127.0.0.1:9"


class Instance:
    """An instance that follows configurations, or starts with one of them."""

    def __init__(self):
        self.route = harness_module.route("/s/", "s", catalogue.Kind.STREAM)
        self.harness = harness_module.Harness(None, [], "s")
        self.version = 0

    def follow(self, isolated, accounts=("bank", "shop", "desk"), keyless=()):
        """Apply a configuration in which some accounts are isolated."""
        self.version += 1
        tenants = [
            {
                "name": name,
                "api_keys": [] if name in keyless else [KEYS[name]],
                "isolated": name in isolated,
            }
            for name in accounts
        ]
        config = {
            **test_records.CONFIG,
            "version": self.version,
            "services": [
                {**test_records.CONFIG["services"][0], "cold_per_s": 0.0},
            ],
            "tenants": tenants,
        }
        record = test_records.record(config, records.CONFIG_MAIN)
        self.harness.mirror.apply_catalogue(records.decode_catalogue(record))
        self.harness.register(Address(), "s", versions={"m": 1}, slots=48)
        return self

    def admit(self, name):
        """Return a request of an account, or of nobody, as it is admitted now."""
        accounts = self.harness.mirror.catalogue.accounts
        account = accounts.get(KEYS.get(name))
        parts = (calls.Part("doc", 4_000), calls.Part("own", 100))
        call = calls.Call("id", 2_000, None, "m", 4_100, 50, parts, None)
        request = messages.Request("POST", "/s/", {}, (), b"", b"/s/", 0.0)
        return requeststate.RequestState(request, call, self.route, account, "s", 0.015)

    def salt(self, name):
        """Return the cache salt of an account's next request."""
        return self.salt_of(self.admit(name))

    def salt_of(self, request_state):
        """Return the cache salt of a request that was admitted before."""
        return self.harness.selector.choose(request_state).salt


class Isolation(unittest.TestCase):
    """What an account has shared is found by nobody once it is isolated."""

    def setUp(self):
        self.instance = Instance().follow(())

    def assert_apart(self, first, second):
        """Check that none of two sets of salts is in the other one."""
        self.assertFalse(set(first) & set(second))

    # Guards against KV cache that an account made before it became isolated being used
    # by others afterwards, also by those without an account.
    def test_what_an_isolated_account_shared_before_is_left(self):
        made = [self.instance.salt("bank")]
        self.instance.follow(("bank",))
        used = [self.instance.salt(one) for one in ("shop", "desk", NOBODY)]
        self.assertEqual(len(set(used)), 1)
        self.assert_apart(made, used)
        self.assert_apart(made + used, [self.instance.salt("bank")])

    # Guards against the same as a second account becomes isolated, or the first one
    # once more.
    def test_each_account_that_becomes_isolated_leaves_what_it_shared(self):
        made = [self.instance.salt("bank")]
        self.instance.follow(("bank",))
        made.append(self.instance.salt("shop"))
        self.instance.follow(("bank", "shop"))
        self.assert_apart(made, [self.instance.salt("desk")])
        self.instance.follow(("shop",))
        again = [self.instance.salt("bank")]
        self.assertEqual(again, [self.instance.salt("desk")])
        self.instance.follow(("shop", "bank"))
        self.assert_apart(made + again, [self.instance.salt("desk")])

    # Guards against an account's cache being shared because all its keys were revoked.
    def test_an_isolated_account_without_keys_stays_isolated(self):
        made = [self.instance.salt("bank")]
        self.instance.follow(("bank",), keyless=("bank",))
        self.assert_apart(made, [self.instance.salt("shop")])

    # Guards against requests that were admitted by the configuration before sharing
    # what they make with those that were admitted by the next one.
    def test_requests_admitted_before_follow_the_configuration_in_force(self):
        waiting = self.instance.admit("bank")
        self.instance.follow(("bank",))
        self.assertEqual(self.instance.salt_of(waiting), self.instance.salt("bank"))
        self.assert_apart(
            [self.instance.salt_of(waiting)], [self.instance.salt("shop")]
        )

    # Guards against instances that start later, or follow an older configuration, using
    # a cache that an isolated account shares with those instances.
    def test_instances_agree_by_the_configuration_alone(self):
        self.instance.follow(("bank",)).follow(("bank", "shop"))
        started = Instance().follow(("shop", "bank"))
        self.assertEqual(started.salt("desk"), self.instance.salt("desk"))
        behind = Instance().follow(())
        self.assert_apart([behind.salt("bank")], [self.instance.salt("desk")])

    # Guards against prompts that are read anew at changes that isolate nobody.
    def test_other_changes_keep_what_is_cached(self):
        self.instance.follow(("bank",))
        before = self.instance.salt("desk")
        self.instance.follow(("bank",), accounts=("bank", "desk"))
        self.instance.follow(("bank",), keyless=("shop",))
        self.assertEqual(self.instance.salt("desk"), before)
