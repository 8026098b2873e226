"""A fake engine or store that answers cache and transfer calls on loopback."""

import asyncio

import msgspec

from cornelreach.http import client, messages, server
from cornelreach.util import hashing


def checksum(data):
    """Return the checksum of a block's content."""
    return hashing.digest(data.encode()).hex()


class FakeTarget:
    """Blocks with generations; ``on_call`` runs before each call, to inject faults."""

    def __init__(self):
        self.boot, self.seq, self.generation = "boot-1", 0, 0
        self.blocks, self.events, self.staged, self.calls = {}, [], {}, []
        self.on_call = lambda path: None
        self.delay_s, self.used, self.export_target = 0.0, 0, None

    async def start(self):
        """Listen on loopback."""
        self.server = await server.start("127.0.0.1", 0, self.handle)
        self.address = client.Address("127.0.0.1", self.server.port)

    def stop(self):
        """Close every connection."""
        self.server.stop_listening()
        self.server.abort()

    def store(self, key, data):
        """Write a block and publish its event."""
        self.generation += 1
        self.blocks[key] = (self.generation, data)
        self.publish("stored", key)

    def remove(self, key):
        """Delete a block and publish its event."""
        if self.blocks.pop(key, None):
            self.publish("removed", key)

    def publish(self, op, key):
        """Append a cache event with the next sequence number."""
        self.seq += 1
        self.events.append({"seq": self.seq, "op": op, "key": key})

    def restart(self, boot):
        """Lose all blocks and events, and take a new boot identity."""
        self.boot, self.seq, self.generation = boot, 0, 0
        self.blocks, self.events = {}, []

    async def handle(self, request):
        """Answer an HTTP request."""
        self.calls.append(request.path)
        self.on_call(request.path)
        await asyncio.sleep(self.delay_s)
        body = msgspec.json.decode(request.body) if request.body else {}
        routes = {
            "/v1/kv/stat": self.stat,
            "/v1/kv/import": self.import_blocks,
            "/v1/kv/commit": self.commit,
            "/v1/kv/export": self.export,
            "/v1/cache": self.listing,
            "/v1/state": self.state,
            "/v1/cache/events": self.cache_events,
        }
        handler = routes.get(request.path)
        if handler is None:
            if request.method == "DELETE":
                self.remove(request.path.rpartition("/")[2])
            return messages.json_response(404, {})
        answer = await handler(request, body)
        headers = ((b"x-boot-id", self.boot.encode()),)
        return messages.json_response(200, answer, headers)

    async def stat(self, request, body):
        """Answer with the state of the requested blocks."""
        return {
            "blocks": [
                {
                    "key": key,
                    "generation": self.blocks[key][0],
                    "checksum": checksum(self.blocks[key][1]),
                    "committed": True,
                    "bytes": 1,
                    "tier": "memory",
                }
                for key in body["keys"]
                if key in self.blocks
            ]
        }

    async def import_blocks(self, request, body):
        """Stage the content that the test has set as ``import_content``."""
        keys = [block["key"] for block in body["blocks"]]
        self.staged["import-1"] = {key: self.import_content[key] for key in keys}
        staged = [
            {"key": key, "checksum": checksum(self.import_content[key])} for key in keys
        ]
        return {"import": "import-1", "staged": staged, "failed": []}

    async def commit(self, request, body):
        """Store staged blocks."""
        staged = self.staged.pop(body["import"], {})
        for key in body["keys"]:
            self.store(key, staged[key])
        return {"committed": body["keys"]}

    async def export(self, request, body):
        """Copy blocks to the fake that the test has set as ``export_target``."""
        for key in body["keys"]:
            self.export_target.store(key, self.blocks[key][1])
        return {"exported": body["keys"], "failed": []}

    async def state(self, request, body):
        """Answer with a store's state; ``used`` is its use of memory."""
        sizes = {"memory_bytes": 100, "disk_bytes": 0, "disk_used": 0}
        link = {"link_bytes_per_s": 50_000_000, "link_backlog_bytes": 0}
        return {"boot_id": self.boot, "memory_used": self.used, **sizes, **link}

    async def listing(self, request, body):
        """Answer with all keys."""
        return {"boot_id": self.boot, "seq": self.seq, "keys": list(self.blocks)}

    async def cache_events(self, request, body):
        """Answer with the events after ``since``; wait up to 50 ms for one."""
        since = int(request.query["since"])
        deadline = asyncio.get_running_loop().time() + 0.05
        while True:
            new_events = [event for event in self.events if event["seq"] > since]
            if new_events or asyncio.get_running_loop().time() >= deadline:
                break
            await asyncio.sleep(0.005)
        after = max([since, *(event["seq"] for event in new_events)])
        return {"boot_id": self.boot, "events": new_events, "next": after}
