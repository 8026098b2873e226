"""A stand-in prompt store over HTTP.

Usage:
  store --name=NAME [options]

Options:
  --name=NAME             Name of the store.
  --port=PORT             Port on loopback; 0 takes a free one. [default: 0]
  --memory-bytes=N        Size of the memory tier. [default: 1000000000]
  --disk-bytes=N          Size of the disk tier. [default: 8000000000]
  --link-rate=N           Link, in bytes a second. [default: 50000000]
  --disk-rate=N           Disk, in bytes a second. [default: 25000000]
  --event-lag-ms=MS       Lag of cache events. [default: 200]
  --event-gaps=SHARE      Share of cache events lost. [default: 0]
  --event-repeats=SHARE   Share of cache events repeated. [default: 0]
  --speed=FACTOR          Run faster than real time. [default: 1]
  --seed=SEED             Seed of the event faults. [default: 0]
"""

import asyncio
import os
import typing

import docopt

from cornelreach.http import messages
from standins import cachehttp, httpcommon, kvcache, storemodel


class Store:
    """The HTTP API of one store, see docs/ARCHITECTURE.md."""

    def __init__(
        self, settings: storemodel.Settings, timers: httpcommon.ScaledTimers
    ) -> None:
        boot = f"{settings.name}-{os.urandom(4).hex()}"
        self.model = storemodel.Store(settings, timers, boot)
        self.timers = timers
        self.data: dict[str, bytes] = {}
        self.partial_writes = False
        self.routes = httpcommon.Routes(self._headers)
        add = self.routes.add
        add("GET", "/v1/state", self.state)
        add("GET", "/v1/cache/events", self.cache_events)
        add("GET", "/v1/cache", self.cache)
        add("POST", "/v1/kv/stat", self.stats)
        add("PUT", "/v1/kv/([^/]+)", self.write)
        add("POST", "/v1/kv/([^/]+)/commit", self.commit)
        add("DELETE", "/v1/kv/([^/]+)", self.delete)
        add("GET", "/v1/kv/([^/]+)/data", self.read)
        add("GET", "/v1/kv/([^/]+)", self.stat)
        add("POST", "/control/faults", self.set_faults)

    def _headers(self) -> messages.Headers:
        return ((b"x-boot-id", self.model.boot_id.encode()),)

    async def state(self, request: messages.Request) -> messages.Response:
        """Return sizes, usage and the backlog of the link."""
        return messages.json_response(200, self.model.state())

    async def cache_events(self, request: messages.Request) -> messages.Response:
        """Return the cache events after ``since``, waiting up to ``wait_ms``."""
        value = await cachehttp.poll_events(request, self.model.events, self.timers)
        return messages.json_response(200, {"boot_id": self.model.boot_id, **value})

    async def cache(self, request: messages.Request) -> messages.Response:
        """Return the keys of all readable blocks."""
        blocks = self.model.blocks.values()
        value = {
            "boot_id": self.model.boot_id,
            "seq": self.model.events.seq,
            "keys": [block.key for block in blocks if block.committed],
        }
        return messages.json_response(200, value)

    async def write(self, request: messages.Request, key: str) -> messages.Response:
        """Accept the bytes of a block; respond with 507 if the store is full."""
        try:
            wait_ms = self.model.write(key, len(request.body))
        except storemodel.Full:
            return httpcommon.failure(507, "full", "delete blocks first")
        body = request.body
        self.data[key] = body[: len(body) // 2] if self.partial_writes else body
        generation = self.model.generation
        await self.timers.sleep(wait_ms)
        return messages.json_response(200, {"key": key, "generation": generation})

    async def commit(self, request: messages.Request, key: str) -> messages.Response:
        """Make a block readable; drop it with 409 if the checksum doesn't match."""
        if key not in self.model.blocks:
            return httpcommon.failure(404, "not_found", key)
        expected = httpcommon.body(request)["checksum"]
        if kvcache.checksum(self.data[key]) != expected:
            self._drop(key)
            return httpcommon.failure(409, "checksum", key)
        self.model.commit(key)
        return messages.json_response(200, {"key": key})

    def _drop(self, key: str) -> bool:
        self.data.pop(key, None)
        return self.model.delete(key)

    async def delete(self, request: messages.Request, key: str) -> messages.Response:
        """Delete a block; idempotent."""
        return messages.json_response(200, {"deleted": self._drop(key)})

    async def read(self, request: messages.Request, key: str) -> messages.Response:
        """Return the bytes of a committed block over the limited link."""
        wait_ms = self.model.read_ms(key)
        if wait_ms is None:
            return httpcommon.failure(404, "not_found", key)
        data = self.data[key]
        await self.timers.sleep(wait_ms)
        return messages.Response(200, data)

    async def stat(self, request: messages.Request, key: str) -> messages.Response:
        """Return generation, checksum, size and tier of a block."""
        if key not in self.model.blocks:
            return httpcommon.failure(404, "not_found", key)
        return messages.json_response(200, self._stat(key))

    async def stats(self, request: messages.Request) -> messages.Response:
        """Return the stats of several blocks, without those that are not stored."""
        keys = httpcommon.body(request)["keys"]
        stats = [self._stat(key) for key in keys if key in self.model.blocks]
        return messages.json_response(200, {"blocks": stats})

    def _stat(self, key: str) -> dict[str, typing.Any]:
        block = self.model.blocks[key]
        return {
            "key": key,
            "generation": block.generation,
            "checksum": kvcache.checksum(self.data[key]),
            "committed": block.committed,
            "bytes": block.size_bytes,
            "tier": block.tier,
        }

    async def set_faults(self, request: messages.Request) -> messages.Response:
        """Set faults: ``die``, ``restart``, ``stall_link_ms``, ``partial_writes``."""
        changes = httpcommon.body(request)
        if changes.get("die"):
            os._exit(1)
        if changes.get("restart"):
            self.model.restart()
            self.data.clear()
        self.model.link.stall(changes.get("stall_link_ms", 0.0))
        self.partial_writes = changes.get("partial_writes", self.partial_writes)
        events = self.model.events
        events.faults = cachehttp.update_faults(events.faults, changes)
        return messages.json_response(200, {})


def settings_from_flags(flags: dict[str, typing.Any]) -> storemodel.Settings:
    """Return the store's settings from its flags."""
    return storemodel.Settings(
        name=flags["--name"],
        memory_bytes=int(flags["--memory-bytes"]),
        disk_bytes=int(flags["--disk-bytes"]),
        link_bytes_per_s=int(flags["--link-rate"]),
        disk_bytes_per_s=int(flags["--disk-rate"]),
        events=cachehttp.faults_from_flags(flags),
        seed=int(flags["--seed"]),
    )


async def _run(flags: dict[str, typing.Any]) -> None:
    store = Store(
        settings_from_flags(flags), httpcommon.ScaledTimers(float(flags["--speed"]))
    )
    await httpcommon.serve(int(flags["--port"]), store.routes.handle, flags["--name"])


def main() -> None:
    """Run one store until a signal."""
    asyncio.run(_run(docopt.docopt(__doc__)))


if __name__ == "__main__":
    main()
