"""An instance whose settings file changes."""

import asyncio
import pathlib
import re
import tempfile
import unittest
from unittest import mock

from returns import result

from cornelreach.gateway import edge as edge_module, mirror, quotas
from cornelreach.platform import results, site as site_module
from cornelreach.util import errors
from tools.soak import edges


class Settings(unittest.TestCase):
    """What keeps copies of settings follows the file."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name, "settings.toml")
        self.text = edges.SETTINGS.format(
            name="edge-1", zone="lj", host="127.0.0.1", zones='lj = "c"', store="h:1"
        )

    def load(self, **changes):
        """Load the settings file with other values of some fields."""
        text = self.text
        for name, value in changes.items():
            line = f"{name} = {value}" if value is not None else ""
            text = re.sub(rf"(?m)^{name} = .*$", line, text)
        self.path.write_text(text)
        return site_module.load(str(self.path))

    # Guards against a bound on retries that has no meaning being divided by, or
    # admitting any number.
    def test_bounds_on_retries_without_a_meaning_are_refused_by_name(self):
        for name, values in (
            ("budget_window_s", (0, -1, "inf", None)),
            ("retry_budget", (-0.1, "nan", None)),
            ("retry_slack", (-1, "inf", None)),
        ):
            for value in values:
                with (
                    self.subTest(name, value=value),
                    self.assertRaisesRegex(errors.UserError, name),
                ):
                    self.load(**{name: value})
        bounds = self.load(retry_budget=0, retry_slack=0).bounds
        self.assertEqual((bounds.retry_ratio, bounds.retry_slack), (0, 0))

    # Guards against a process that begins with a budget which the one before it, under
    # the same name, has spent; and against holding it back from the first one.
    def test_only_the_first_process_of_a_name_begins_with_its_budget(self):
        registered = result.Success(mock.sentinel.stored)
        known = result.Failure(mock.sentinel.conflict)
        for bootstrap, outcome, expected in (
            ("true", registered, quotas.Admission.ADMITTED),
            ("true", known, quotas.Admission.AFTER_START),
            ("false", registered, quotas.Admission.AFTER_START),
        ):
            with self.subTest(bootstrap=bootstrap, outcome=outcome):
                site = self.load(bootstrap=bootstrap)
                edge = edge_module.Edge(site, str(self.path))
                edge.selector.count_request("s")
                edge.objects.put = mock.AsyncMock(return_value=outcome)
                asyncio.run(edge._register_first())
                found = edge.selector._budget("s").admits_retry(
                    edge.mirror.fleet, edge.clock.now_ms()
                )
                self.assertIs(found, expected)

    # Guards against rollouts that are watched or counted where none are ordered.
    def test_orders_of_rollouts_are_watched_only_where_the_contract_says_so(self):
        for line, expected in (("", False), ('contracts = ["rollout"]\n', True)):
            self.path.write_text(line + self.text)
            site = site_module.load(str(self.path))
            edge = edge_module.Edge(site, str(self.path))
            prefixes = [one.handler.prefix for one in edge.watchers]
            self.assertEqual("rollouts/" in prefixes, expected)
            self.assertNotIn("rollouts/", edge.proofs.watchers)
            self.assertEqual(edge.releases is not None, expected)
            if expected:
                self.assertIs(edge.selector.rules, edge.releases.rules)
        self.path.write_text(line + self.text.replace("thaw_ms", "rollback_ms"))
        edge.reload()
        self.assertEqual(edge.releases.bounds.rollback_ms, 300)

    # Guards against a process that starts again and sends requests to a version which
    # was rolled back, because it has read the targets and not yet the orders.
    def test_nothing_is_forwarded_before_the_orders_have_been_read(self):
        for line, expected in (("", True), ('contracts = ["rollout"]\n', False)):
            self.path.write_text(line + self.text)
            edge = edge_module.Edge(site_module.load(str(self.path)), str(self.path))
            edge.mirror.synced = set(mirror.REQUIRED)
            self.assertEqual(edge.mirror.is_synced(), expected)
            order = {"service": "s", "target": "2.0", "duration_s": 12}
            status = {"state": "reverted", "target": "2.0"}
            record = results.Record("rollouts/s", 3, order, "1", status)
            if edge.releases is not None:
                asyncio.run(edge.watchers[-1].handler.on_list((record,), False))
                self.assertTrue(edge.mirror.is_synced())
                edge.front, edge.peer_server = mock.MagicMock(), mock.MagicMock()
                found = mock.MagicMock(services={"s": None})
                found.limits.header_bytes = 1
                edge.mirror.catalogue = found
                edge._apply_catalogue()
                self.assertTrue(edge.releases.release("s").is_reverting)

    def test_bounds_on_rollouts_without_a_meaning_are_refused_by_name(self):
        for name, value in (
            ("exposure_share", 1.5),
            ("exposure_share", -0.1),
            ("exposure_slack", -1),
            ("rollback_ms", "nan"),
            ("max_skew_ms", "inf"),
        ):
            text = self.text.replace("thaw_ms = 300", f"{name} = {value}")
            self.path.write_text(text)
            with self.assertRaisesRegex(errors.UserError, name):
                site_module.load(str(self.path))

    # Guards against deployments without heavy load whose prompts are made to wait.
    def test_admission_by_room_follows_the_contracts(self):
        self.path.write_text('contracts = ["pressure"]\n' + self.text)
        edge = edge_module.Edge(site_module.load(str(self.path)), str(self.path))
        self.assertIsNotNone(edge.selector.room)
        self.path.write_text(self.text)
        edge.reload()
        self.assertIsNone(edge.selector.room)

    # Guards against a part that stays bound to the settings of its start.
    def test_a_reloaded_instance_has_the_bounds_of_one_that_starts(self):
        path, text = self.path, self.text
        path.write_text("heartbeat_ms = 1200\n" + text)
        reloaded = edge_module.Edge(site_module.load(str(path)), str(path))
        reloaded.selector.count_request("s")
        raised = re.sub(r"(_ms|_s|_budget|slack|overage) = ([0-9]+)", r"\1 = 2\2", text)
        raised = raised.replace("strict = true", "strict = false")
        path.write_text("heartbeat_ms = 2200\n" + raised)
        before = self.kept(reloaded)
        reloaded.reload()
        started = edge_module.Edge(site_module.load(str(path)), str(path))
        started.selector.count_request("s")
        self.assertEqual(self.kept(reloaded), self.kept(started))
        for name, value in self.kept(started).items():
            self.assertNotEqual(value, before[name], name)

    def kept(self, edge):
        """Return what parts of an instance keep of its settings."""
        budget = edge.selector._budget("s")
        return {
            "bounds": edge.selector.bounds,
            "budget": (budget.ratio, budget.slack, budget.window_ms),
            "keys": edge.mirror.revoke_ms,
            "strict": edge.mirror.revoke_strict,
            "weights": edge.weights.version_ms,
            "lapse": edge.outages.lapse_ms,
            **{
                one.handler.prefix: one.timing
                for one in edge.watchers
                if one.handler.prefix in edge_module._timings(edge.site.bounds)
                and one.handler.prefix != "evacuations/"
            },
        }
