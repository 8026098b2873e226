"""An instance whose settings file changes."""

import pathlib
import re
import tempfile
import unittest

from cornelreach.gateway import edge as edge_module
from cornelreach.platform import site as site_module
from tools.soak import edges


class Settings(unittest.TestCase):
    """What keeps copies of settings follows the file."""

    # Guards against a part that stays bound to the settings of its start.
    def test_a_reloaded_instance_has_the_bounds_of_one_that_starts(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name, "settings.toml")
        text = edges.SETTINGS.format(
            name="edge-1", zone="lj", host="127.0.0.1", zones='lj = "c"', store="h:1"
        )
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
