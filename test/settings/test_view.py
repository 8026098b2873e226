"""Tests of typed access to the settings."""

import hashlib
import unittest

from cornelreach.settings import items, state, view

DAY_MS = 86_400_000


def put(held, version, item, kind, **extra):
    """Apply one item to a state, with extra fields."""
    key = items.key_of(kind, item.name)
    value = items.encode(item) | extra
    record = state.Entry(key, version, value)
    held.apply(state.Delta(version - 1, version, (record,)))


class ViewTest(unittest.TestCase):
    """Accounts, pools, data centres and effective settings."""

    def setUp(self):
        self.state = state.State()
        self.view = view.View(self.state)

    def test_account_by_bearer_key(self):
        digest = hashlib.sha256(b"secret").hexdigest()
        account = items.Account("tirnica", [digest.upper()])
        put(self.state, 1, account, "account", newer_field=3)
        self.assertEqual(self.view.account_by_key("secret"), account)
        self.assertIsNone(self.view.account_by_key("other"))
        kept = self.state.get("settings/account/tirnica").value
        self.assertEqual(kept["newer_field"], 3)

    def test_effective_value_depends_on_scope_and_end(self):
        ends = "1970-01-02T00:00:00+00:00"
        for version, scope in enumerate(("model:m", "account:a"), 1):
            name = scope.replace(":", "-")
            override = items.Override(name, scope, "deadline_ms", version, "why", ends)
            put(self.state, version, override, "exception")
        effective = self.view.effective
        self.assertEqual(effective("deadline_ms", 0, account="a", model="m"), 2)
        self.assertEqual(effective("deadline_ms", 0, model="m"), 1)
        self.assertEqual(effective("deadline_ms", DAY_MS, "a", "m"), 60_000)

    def test_pools_and_data_centres(self):
        for version, name in enumerate(("e1", "e2"), 1):
            target = items.Target(name, "engine", "north", "h:1", "m")
            put(self.state, version, target, "target")
        put(self.state, 3, items.DataCentre("south", "", "taken_out"), "data-centre")
        self.assertEqual(list(self.view.pools("m")), ["north/m"])
        self.assertEqual(len(self.view.pool("north/m")), 2)
        self.assertEqual(self.view.in_service(), {"north"})
        deletion = state.Entry("settings/target/e1", 4, None)
        self.state.apply(state.Delta(3, 4, (deletion,)))
        self.assertEqual(len(self.view.pools("m")["north/m"]), 1)

    def test_malformed_value_leaves_the_old_one_in_force(self):
        model = items.Model("m", "2")
        put(self.state, 1, model, "model")
        malformed = state.Entry("settings/model/m", 2, {"name": "m", "version": 7})
        self.state.apply(state.Delta(1, 2, (malformed,)))
        self.assertEqual(self.view.models["m"], model)
