"""Rollouts of a process: orders and status in the platform, requests over HTTP."""

import asyncio
import time
import unittest

import msgspec

from test.gateway import harness as harness_module, test_releaserules
from test.platform import test_records
from test.ui import edgeprocess

DURATION_S = 4.0
CALLERS = 6
PAUSE_S = 0.02


class Process(edgeprocess.Case):
    """One process with two targets of the old version, and two of a new one."""

    async def order(self, script):
        """Order a rollout to targets that answer by a script; return its state."""
        value = edgeprocess.config(1)
        value["routes"][0]["route_type"] = "idempotent"
        self.seed("config/main", value)
        self.list_target(self.engine, "1.0", 1)
        await self.start(contracts='contracts = ["rollout"]\n')
        callers = [asyncio.ensure_future(self.send(one)) for one in range(CALLERS)]
        self.statuses = []
        self.ordered_s = time.monotonic()
        spec = {"service": "s", "target": "2.0", "duration_s": DURATION_S}
        self.seed("rollouts/s", spec)
        await asyncio.sleep(0.3)
        self.new = harness_module.Engine("e2", script)
        await self.new.start()
        self.addCleanup(self.new.server.close)
        self.list_target(self.new, "2.0", 2)
        await self.until(self.is_over)
        self.took_s = time.monotonic() - self.ordered_s
        self.new_count = len(self.new.requests)
        self.old_count = len(self.engine.requests)
        await asyncio.sleep(0.3)
        for one in callers:
            one.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        return self.state()

    def list_target(self, engine, software, born_ms):
        """Write the entry of a target."""
        value = {
            **test_records.SERVER,
            "service": "s",
            "address": engine.address,
            "version": software,
            "born": born_ms,
            "models": [],
        }
        self.seed(f"servers/{engine.name}", value)

    async def send(self, caller):
        """Send requests one after the other."""
        number = 0
        while True:
            number += 1
            self.statuses.append(await self.ask(f"{caller}-{number}"))
            await asyncio.sleep(PAUSE_S)

    def state(self):
        """Return the state in the order's status."""
        status = self.store.model.stored("rollouts/s").status
        return msgspec.json.decode(status)["state"] if status else ""

    async def is_over(self):
        """Return whether the order has a final state."""
        return self.state() in ("succeeded", "reverted")

    # Guards against parts that work alone, and not as the process wires them.
    async def test_a_good_version_takes_over(self):
        state = await self.order(harness_module.answer_ok)
        self.assertEqual(state, "succeeded")
        self.assertEqual(set(self.statuses), {200})
        self.assertEqual(len(self.engine.requests), self.old_count)
        self.assertGreater(len(self.new.requests), self.new_count)

    async def test_a_bad_version_is_rolled_back(self):
        state = await self.order(test_releaserules.answer_failure)
        self.assertEqual(state, "reverted")
        self.assertEqual(len(self.new.requests), self.new_count)
        self.assertGreater(len(self.engine.requests), self.old_count)
        self.assertLessEqual(self.new_count, 0.1 * self.old_count + 50)


if __name__ == "__main__":
    unittest.main()
