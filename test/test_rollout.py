"""Test of a weight version that is rolled out under load over real processes."""

import asyncio
import unittest

import msgspec

from cornelreach.http import client
from cornelreach.settings import items
from test import sites


class Rollout(unittest.IsolatedAsyncioTestCase):
    """A model's version changes while callers go on, and a holder dies."""

    async def asyncSetUp(self):
        self.site = await sites.start(self)

    async def platform(self, method, path, body=b"", headers=()):
        """Call the platform; returns the decoded body."""
        address = client.parse_address(self.site.platform)
        _, answer, _ = await self.site.http.call(address, method, path, body, headers)
        return msgspec.json.decode(answer)

    async def get(self, key):
        """Return an object of the platform."""
        kind, _, name = key.partition("/")
        path = f"/api/objects/{kind}/{name.replace('/', '%2F')}"
        return await self.platform("GET", path)

    async def rolled(self):
        """Return whether the rollout's record says that it is done."""
        found = await self.get("settings/rollout/drafter")
        value = found.get("spec", {})
        return value.get("version") == "2" and value["phase"] == "done"

    async def test_new_version_under_load_with_its_holder_killed(self):
        await sites.until(lambda: self.recorded("1"))
        refused = set()
        stop = asyncio.Event()
        load = asyncio.ensure_future(self.load(stop, refused))
        key = items.key_of("model", "drafter")
        held = await self.get(key)
        held["spec"]["version"] = "2"
        kind, _, name = key.partition("/")
        path = f"/api/objects/{kind}/{name.replace('/', '%2F')}"
        await self.platform("PUT", path, msgspec.json.encode(held))
        await sites.until(lambda: self.recorded("2"))
        lease = await self.get("leases/rollout/drafter")
        holder = lease["spec"]["holder"]
        self.survivors = [one for one in self.site.instances if one.name != holder]
        sites.kill(self.site, holder)
        await sites.until(self.rolled, tries=300)
        stop.set()
        await load
        self.assertEqual(refused, {""})
        self.assertEqual(await self.versions(), {"2"})

    async def recorded(self, version):
        """Return whether the rollout's record names a version."""
        found = await self.get("settings/rollout/drafter")
        return found.get("spec", {}).get("version") == version

    async def load(self, stop, refused):
        """Send calls to the instances that live, one after another."""
        self.survivors = self.site.instances[:1]
        number = 0
        while not stop.is_set():
            number += 1
            member = self.survivors[number % len(self.survivors)]
            try:
                content = f"notice {number}"
                _, body = await sites.chat(self.site, member, content, max_tokens=4)
            except (client.ResponseLost, client.RequestNotSent):
                continue
            refused.add(body.get("error", {}).get("message", ""))

    async def versions(self):
        """Return the versions that the drafters have loaded."""
        found = set()
        for one in self.site.instances:
            engine = sites.process(self.site, f"drafter-{one.data_centre}")
            address = client.parse_address(engine.address)
            _, body, _ = await self.site.http.call(address, "GET", "/v1/state")
            found.add(msgspec.json.decode(body)["version"])
        return found
