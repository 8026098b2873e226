"""End-to-end test of a model version rollout under load with real processes."""

import asyncio
import unittest

import msgspec

from cornelreach.http import client
from cornelreach.settings import items
from test import sites


class RolloutTest(unittest.IsolatedAsyncioTestCase):
    """A rollout continues under load when the holder of its lease is killed."""

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

    async def rollout_done(self):
        """Return whether the rollout's record has phase ``done``."""
        document = await self.get("settings/rollout/drafter")
        value = document.get("spec", {})
        return value.get("version") == "2" and value["phase"] == "done"

    async def test_rollout_under_load_with_holder_killed(self):
        await sites.until(lambda: self.rollout_names("1"))
        refusal_messages = set()
        stop = asyncio.Event()
        load = asyncio.ensure_future(self.load(stop, refusal_messages))
        key = items.key_of("model", "drafter")
        model_document = await self.get(key)
        model_document["spec"]["version"] = "2"
        kind, _, name = key.partition("/")
        path = f"/api/objects/{kind}/{name.replace('/', '%2F')}"
        await self.platform("PUT", path, msgspec.json.encode(model_document))
        await sites.until(lambda: self.rollout_names("2"))
        lease = await self.get("leases/rollout/drafter")
        holder = lease["spec"]["holder"]
        self.survivors = [one for one in self.site.instances if one.name != holder]
        sites.kill(self.site, holder)
        await sites.until(self.rollout_done, tries=300)
        stop.set()
        await load
        self.assertEqual(refusal_messages, {""})
        self.assertEqual(await self.loaded_versions(), {"2"})

    async def rollout_names(self, version):
        """Return whether the rollout's record has a version."""
        document = await self.get("settings/rollout/drafter")
        return document.get("spec", {}).get("version") == version

    async def load(self, stop, refusal_messages):
        """Send calls to the running instances in turn, and collect refusal messages."""
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
            refusal_messages.add(body.get("error", {}).get("message", ""))

    async def loaded_versions(self):
        """Return the versions that the drafter engines have loaded."""
        versions = set()
        for one in self.site.instances:
            engine = sites.process(self.site, f"drafter-{one.data_centre}")
            address = client.parse_address(engine.address)
            _, body, _ = await self.site.http.call(address, "GET", "/v1/state")
            versions.add(msgspec.json.decode(body)["version"])
        return versions
